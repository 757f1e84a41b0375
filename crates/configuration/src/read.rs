//! Reads a whole configuration from JSON values. Everything is checked, so that all faults are reported at once.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::{ConfigVersion, Micros, SECOND};

use crate::faults::{Faults, quoted};
use crate::{Limits, RolloutOrder, Route, RouteKind, Service, Target, routes};

/// Durations over 30 years are taken for mistakes. Shorter ones are far from the limit of `Micros`.
const MAX_SECONDS: f64 = 1e9;
/// Up to 2^53 every whole number is exact, also if it is written with a decimal point.
const MAX_EXACT_INTEGER: u64 = 1 << 53;

/// Objects with more fields than this are not checked for duplicates: no known object has as many, and comparing each
/// field with each other would take long.
const MAX_CHECKED_FIELDS: usize = 32;

// Kinds of entries.
pub(crate) const ROUTE_KIND: &str = "RouteTable";
pub(crate) const SERVICE_KIND: &str = "ServiceTable";
pub(crate) const LIMITS_KIND: &str = "LimitSet";

/// The contents of a valid configuration.
pub(crate) struct ParsedConfiguration {
    pub version: ConfigVersion,
    pub routes: IndexMap<String, Route>,
    pub services: IndexMap<String, Service>,
    pub limits: Limits,
}

/// The path of a value in the text; formatted only for a fault.
#[derive(Clone, Copy)]
pub(crate) enum FaultPath<'a> {
    Root,
    Field(&'a FaultPath<'a>, &'a str),
    Item(&'a FaultPath<'a>, usize),
    /// An entry of a list with its kind and name, since changes move entries to other positions.
    Entry(&'a FaultPath<'a>, usize, &'a str, &'a str),
}

impl fmt::Display for FaultPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultPath::Root => Ok(()),
            FaultPath::Field(FaultPath::Root, name) => f.write_str(name),
            FaultPath::Field(parent, name) => write!(f, "{parent}.{name}"),
            FaultPath::Item(parent, index) => write!(f, "{parent}[{index}]"),
            FaultPath::Entry(parent, index, "", "") => write!(f, "{parent}[{index}]"),
            FaultPath::Entry(parent, index, kind, name) => {
                write!(f, "{parent}[{index}: {kind} {}]", quoted(name))
            }
        }
    }
}

/// An object with its path. The methods add a fault for each value that is not as expected, and return `None` then.
pub(crate) struct JsonObject<'a> {
    value: &'a OwnedValue,
    path: FaultPath<'a>,
}

impl<'a> JsonObject<'a> {
    /// A field that occurs twice could be read either way, so it is a fault.
    pub fn new(value: &'a OwnedValue, path: FaultPath<'a>, faults: &mut Faults) -> Option<JsonObject<'a>> {
        let Some(object) = value.as_object() else {
            faults.add(path, "an object");
            return None;
        };
        if object.len() <= MAX_CHECKED_FIELDS {
            for (index, name) in object.keys().enumerate() {
                if object.keys().take(index).any(|other| other == name) {
                    faults.add(path, format_args!("the field {} only once", quoted(name)));
                }
            }
        }
        Some(JsonObject { value, path })
    }

    /// The path of one of the object's fields.
    pub fn field_path<'p>(&'p self, name: &'p str) -> FaultPath<'p> {
        FaultPath::Field(&self.path, name)
    }

    /// Reads a field that must be an object.
    pub fn required_child<'p>(&'p self, name: &'p str, faults: &mut Faults) -> Option<JsonObject<'p>> {
        let child = self.required(name, "an object", faults, |value| value.as_object().map(|_| value))?;
        JsonObject::new(child, self.field_path(name), faults)
    }

    /// The value of a field; null counts as missing.
    pub fn optional(&self, name: &str) -> Option<&'a OwnedValue> {
        self.value.get(name).filter(|value| !value.is_null())
    }

    /// Reads a field that must be there; `expected` describes valid values.
    pub fn required<T>(
        &self, name: &str, expected: impl fmt::Display, faults: &mut Faults,
        read: impl FnOnce(&'a OwnedValue) -> Option<T>,
    ) -> Option<T> {
        let found = self.optional(name);
        let read = found.and_then(read);
        if read.is_none() {
            let path = self.field_path(name);
            match found {
                Some(value) => faults.add(path, format_args!("{expected}; there is {}", describe(value))),
                None => faults.add(path, format_args!("{expected}; it is missing")),
            }
        }
        read
    }

    fn required_text(&self, name: &str, faults: &mut Faults) -> Option<&'a str> {
        self.required(name, "a text of at least one character", faults, |value| {
            value.as_str().filter(|text| !text.is_empty())
        })
    }

    fn required_integer(&self, name: &str, min: u64, max: u64, faults: &mut Faults) -> Option<u64> {
        self.required(name, format_args!("a whole number from {min} to {max}"), faults, |value| {
            let number = value.as_u64().or_else(|| {
                let number = value.as_f64()?;
                // Written with a decimal point, such as 2.0.
                (number.fract() == 0.0 && (0.0..=MAX_EXACT_INTEGER as f64).contains(&number))
                    .then_some(number as u64)
            })?;
            (min..=max).contains(&number).then_some(number)
        })
    }

    fn required_u32(&self, name: &str, min: u32, faults: &mut Faults) -> Option<u32> {
        let number = self.required_integer(name, min.into(), u32::MAX.into(), faults)?;
        u32::try_from(number).ok()
    }

    fn required_seconds(&self, name: &str, faults: &mut Faults) -> Option<Micros> {
        self.required(name, "seconds from 0 to 1e9", faults, |value| {
            let seconds = finite_number(value)?;
            (0.0..=MAX_SECONDS).contains(&seconds).then(|| (seconds * SECOND as f64).round() as Micros)
        })
    }
}

fn finite_number(value: &OwnedValue) -> Option<f64> {
    value.cast_f64().filter(|number| number.is_finite())
}

/// Describes a value in a fault.
pub(crate) fn describe(value: &OwnedValue) -> String {
    match value {
        OwnedValue::String(text) => quoted(text),
        OwnedValue::Static(_) => value.encode(),
        OwnedValue::Array(_) => "a list".to_owned(),
        OwnedValue::Object(_) => "an object".to_owned(),
    }
}

/// The kind and name of an entry; each is empty if it is missing.
pub(crate) fn entry_key(entry: &OwnedValue) -> (&str, &str) {
    let name = entry.get("HeaderBlock").and_then(|header| header.get("Name"));
    (entry.get_str("ResourceType").unwrap_or(""), name.and_then(|name| name.as_str()).unwrap_or(""))
}

/// Reads the version of a configuration or a change; one that is not above `current` is a fault.
pub(crate) fn read_version(
    top: &JsonObject<'_>, current: Option<ConfigVersion>, faults: &mut Faults,
) -> Option<ConfigVersion> {
    let expected = "a text of eight hexadecimal digits";
    let version = top
        .required("ConfigVersion", expected, faults, |value| value.as_str().and_then(crate::parse_version))?;
    if current.is_some_and(|current| version <= current) {
        let current = current.unwrap_or_default();
        faults.add(
            "ConfigVersion",
            format_args!("a version above {current}, which is current; there is {version}"),
        );
    }
    Some(version)
}

/// An operator's order of a roll-out.
pub(crate) fn read_rollout_order(value: &OwnedValue) -> Result<RolloutOrder, Faults> {
    let mut faults = Faults::default();
    let order = JsonObject::new(value, FaultPath::Root, &mut faults).and_then(|top| {
        let service = top.required_text("TargetService", &mut faults);
        let target_version = top.required_text("TargetVersion", &mut faults);
        let period = top.required_seconds("RolloutPeriodS", &mut faults);
        Some(RolloutOrder {
            service: service?.to_owned(),
            target_version: target_version?.to_owned(),
            period: period?,
        })
    });
    order.filter(|_| faults.is_empty()).ok_or(faults)
}

/// Reads a whole configuration; a version that is not above `current` is a fault.
pub(crate) fn read_configuration(
    value: &OwnedValue, current: Option<ConfigVersion>,
) -> Result<ParsedConfiguration, Faults> {
    let mut faults = Faults::default();
    let parsed = read_parts(value, current, &mut faults);
    match parsed {
        Some(parsed) if faults.is_empty() => Ok(parsed),
        _ => Err(faults),
    }
}

/// Reads everything that can be read, also after faults.
fn read_parts(
    value: &OwnedValue, current: Option<ConfigVersion>, faults: &mut Faults,
) -> Option<ParsedConfiguration> {
    let top = JsonObject::new(value, FaultPath::Root, faults)?;
    let version = read_version(&top, current, faults);
    let entries = top.required("ResourceSet", "a list of entries", faults, |value| value.as_array())?;
    let list_path = FaultPath::Field(&FaultPath::Root, "ResourceSet");
    // Routes may come before the services that they name.
    let service_names = entries
        .iter()
        .map(entry_key)
        .filter(|(kind, _)| *kind == SERVICE_KIND)
        .map(|(_, name)| name)
        .collect();
    let mut keys = HashSet::with_capacity(entries.len());
    let mut host_prefixes = HashSet::new();
    let (mut routes, mut services, mut limits) = (IndexMap::new(), IndexMap::new(), None);
    let mut limit_set_count = 0;
    for (index, entry) in entries.iter().enumerate() {
        let (kind, name) = entry_key(entry);
        let path = FaultPath::Entry(&list_path, index, kind, name);
        let Some(fields) = JsonObject::new(entry, path, faults) else { continue };
        fields.required_text("ResourceType", faults);
        if !name.is_empty() && !keys.insert((kind, name)) {
            faults.add(path, "a name that no other entry of its kind has");
        }
        if kind == ROUTE_KIND || kind == SERVICE_KIND {
            let header = fields.required_child("HeaderBlock", faults);
            header.and_then(|header| header.required_text("Name", faults).map(drop));
        }
        match kind {
            ROUTE_KIND => {
                let spec = fields.required_child("SpecBody", faults);
                let Some(route) = spec.and_then(|spec| read_route(&spec, name, &service_names, faults))
                else {
                    continue;
                };
                if host_prefixes.insert((route.host.clone(), route.path_prefix.clone())) {
                    routes.insert(name.to_owned(), route);
                } else {
                    faults.add(path, "a host and prefix that no other route has together");
                }
            }
            SERVICE_KIND => {
                let spec = fields.required_child("SpecBody", faults);
                if let Some(service) = spec.and_then(|spec| read_service(&spec, name, faults)) {
                    services.insert(name.to_owned(), service);
                }
            }
            LIMITS_KIND => {
                limit_set_count += 1;
                let spec = fields.required_child("SpecBody", faults);
                limits = spec.and_then(|spec| read_limits(&spec, faults));
            }
            // Other kinds are kept for programs that know them.
            _ => {}
        }
    }
    if limit_set_count != 1 {
        faults
            .add(list_path, format_args!("one entry of the kind {LIMITS_KIND}; there are {limit_set_count}"));
    }
    Some(ParsedConfiguration { version: version?, routes, services, limits: limits? })
}

fn read_route(
    spec: &JsonObject<'_>, name: &str, service_names: &HashSet<&str>, faults: &mut Faults,
) -> Option<Route> {
    let host = spec.required_text("HostName", faults).map(routes::normalize_host);
    let path_prefix =
        spec.required("PathPrefix", "a path that begins and ends with a slash", faults, |value| {
            value.as_str().filter(|path| path.starts_with('/') && path.ends_with('/'))
        });
    let kind =
        spec.required("RouteType", "'safe', 'unsafe' or 'upload'", faults, |value| match value.as_str()? {
            "safe" => Some(RouteKind::Safe),
            "unsafe" => Some(RouteKind::Unsafe),
            "upload" => Some(RouteKind::Upload),
            _ => None,
        });
    let timeout = spec.required_seconds("TimeoutS", faults);
    let target_latency = spec.required_seconds("TargetLatencyS", faults);
    let priority = spec.required_u32("Priority", 0, faults);
    let max_attempts = spec.required_u32("MaxAttempts", 1, faults);
    let targets = read_targets(spec, service_names, faults);
    Some(Route {
        name: name.into(),
        host: host?,
        path_prefix: path_prefix?.to_owned(),
        kind: kind?,
        timeout: timeout?,
        target_latency: target_latency?,
        priority: priority?,
        targets: targets?,
        max_attempts: max_attempts?,
    })
}

fn read_targets(
    spec: &JsonObject<'_>, service_names: &HashSet<&str>, faults: &mut Faults,
) -> Option<Vec<Target>> {
    match (spec.optional("TargetService"), spec.optional("WeightedSplit")) {
        (Some(_), None) => {
            let service = read_target(spec, service_names, faults)?;
            Some(vec![Target { service, weight: 1.0 }])
        }
        (None, Some(_)) => read_weighted_split(spec, service_names, faults),
        _ => {
            faults.add(spec.path, "either TargetService or WeightedSplit");
            None
        }
    }
}

fn read_weighted_split(
    spec: &JsonObject<'_>, service_names: &HashSet<&str>, faults: &mut Faults,
) -> Option<Vec<Target>> {
    let items =
        spec.required("WeightedSplit", "a list of services with weights", faults, |value| value.as_array())?;
    let path = spec.field_path("WeightedSplit");
    let mut targets = Vec::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        let Some(item) = JsonObject::new(item, FaultPath::Item(&path, index), faults) else { continue };
        let service = read_target(&item, service_names, faults);
        let weight = item.required("Weight", "a number of at least 0", faults, |value| {
            finite_number(value).filter(|weight| *weight >= 0.0)
        });
        if let (Some(service), Some(weight)) = (service, weight) {
            targets.push(Target { service, weight });
        }
    }
    if targets.len() < items.len() {
        return None;
    }
    let sum: f64 = targets.iter().map(|target| target.weight).sum();
    if sum > 0.0 && sum.is_finite() {
        return Some(targets);
    }
    faults.add(path, "weights that add up to more than 0");
    None
}

fn read_target(
    fields: &JsonObject<'_>, service_names: &HashSet<&str>, faults: &mut Faults,
) -> Option<Arc<str>> {
    let name = fields.required_text("TargetService", faults)?;
    if !service_names.contains(name) {
        faults.add(
            fields.field_path("TargetService"),
            format_args!("a service that is listed; there is {}", quoted(name)),
        );
        return None;
    }
    Some(name.into())
}

fn read_service(spec: &JsonObject<'_>, name: &str, faults: &mut Faults) -> Option<Service> {
    // The path is used in a request line as it is: a space or a line break in it would start another request.
    let health_path =
        spec.required("HealthPath", "a path of visible ASCII that begins with a slash", faults, |value| {
            value.as_str().filter(|path| path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic()))
        });
    let max_connections = spec.required_u32("MaxConnections", 0, faults);
    let name = name.into();
    Some(Service { name, health_path: health_path?.to_owned(), max_connections: max_connections? })
}

fn read_limits(spec: &JsonObject<'_>, faults: &mut Faults) -> Option<Limits> {
    let max_header_bytes = spec.required_integer("MaxHeaderBytes", 0, MAX_EXACT_INTEGER, faults);
    let max_body_bytes = spec.required_integer("MaxBodyBytes", 0, MAX_EXACT_INTEGER, faults);
    let header_timeout = spec.required_seconds("HeaderTimeoutS", faults);
    let idle_timeout = spec.required_seconds("IdleTimeoutS", faults);
    Some(Limits {
        max_header_bytes: max_header_bytes?,
        max_body_bytes: max_body_bytes?,
        header_timeout: header_timeout?,
        idle_timeout: idle_timeout?,
    })
}
