//! Reads a whole configuration from its JSON values: everything is looked at, so that all faults are told at
//! once.

use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use indexmap::IndexMap;
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::{ConfigVersion, Micros, SECOND};

use crate::faults::{Faults, quoted};
use crate::{Limits, RolloutOrder, Route, RouteKind, Service, Target, routes};

/// Times over 30 years are taken for mistakes; they fit their type in microseconds many times over.
const MAX_SECONDS: f64 = 1e9;
/// Up to here (2^53) every whole number is exact, also when it is written with a point.
const MAX_WHOLE: u64 = 1 << 53;

const FEW_FIELDS: usize = 32;

pub(crate) const ROUTE: &str = "RouteTable";
pub(crate) const SERVICE: &str = "ServiceTable";
pub(crate) const LIMITS: &str = "LimitSet";

pub(crate) struct Parts {
    pub version: ConfigVersion,
    pub routes: IndexMap<String, Route>,
    pub services: IndexMap<String, Service>,
    pub limits: Limits,
}

/// Where a value stands; written out only for a fault.
#[derive(Clone, Copy)]
pub(crate) enum Place<'a> {
    Top,
    Field(&'a Place<'a>, &'a str),
    Item(&'a Place<'a>, usize),
    /// An entry of the list, with its kind and name, as a change moves its place in the list.
    Entry(&'a Place<'a>, usize, &'a str, &'a str),
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Top => Ok(()),
            Place::Field(Place::Top, name) => f.write_str(name),
            Place::Field(of, name) => write!(f, "{of}.{name}"),
            Place::Item(of, at) => write!(f, "{of}[{at}]"),
            Place::Entry(of, at, "", "") => write!(f, "{of}[{at}]"),
            Place::Entry(of, at, kind, name) => write!(f, "{of}[{at}: {kind} {}]", quoted(name)),
        }
    }
}

/// An object with its place, and where faults go.
pub(crate) struct Fields<'a> {
    value: &'a OwnedValue,
    place: Place<'a>,
}

impl<'a> Fields<'a> {
    /// A field that stands there twice could be read either way, so it is a fault.
    pub fn new(value: &'a OwnedValue, place: Place<'a>, faults: &mut Faults) -> Option<Fields<'a>> {
        let Some(object) = value.as_object() else {
            faults.add(place, "an object");
            return None;
        };
        // Objects of more fields are none of ours, and comparing each with each would take long.
        if object.len() <= FEW_FIELDS {
            for (at, name) in object.keys().enumerate() {
                if object.keys().take(at).any(|other| other == name) {
                    faults.add(place, format_args!("the field {} only once", quoted(name)));
                }
            }
        }
        Some(Fields { value, place })
    }

    pub fn at<'p>(&'p self, name: &'p str) -> Place<'p> {
        Place::Field(&self.place, name)
    }

    pub fn object(&self, name: &str, faults: &mut Faults) -> Option<&'a OwnedValue> {
        self.wanted(name, "an object", faults, |value| value.as_object().map(|_| value))
    }

    /// Null is as good as missing.
    pub fn get(&self, name: &str) -> Option<&'a OwnedValue> {
        self.value.get(name).filter(|value| !value.is_null())
    }

    pub fn wanted<T>(
        &self, name: &str, expected: impl fmt::Display, faults: &mut Faults,
        read: impl FnOnce(&'a OwnedValue) -> Option<T>,
    ) -> Option<T> {
        let found = self.get(name);
        let read = found.and_then(read);
        if read.is_none() {
            let place = self.at(name);
            match found {
                Some(value) => faults.add(place, format_args!("{expected}; there is {}", told(value))),
                None => faults.add(place, format_args!("{expected}; it is missing")),
            }
        }
        read
    }

    fn text(&self, name: &str, faults: &mut Faults) -> Option<&'a str> {
        self.wanted(name, "a text of at least one character", faults, |value| {
            value.as_str().filter(|text| !text.is_empty())
        })
    }

    fn whole(&self, name: &str, least: u64, most: u64, faults: &mut Faults) -> Option<u64> {
        self.wanted(name, format_args!("a whole number from {least} to {most}"), faults, |value| {
            let number = value.as_u64().or_else(|| {
                let number = value.as_f64()?;
                // Written with a point, such as 2.0.
                (number.fract() == 0.0 && (0.0..=MAX_WHOLE as f64).contains(&number)).then_some(number as u64)
            })?;
            (least..=most).contains(&number).then_some(number)
        })
    }

    fn whole32(&self, name: &str, least: u32, faults: &mut Faults) -> Option<u32> {
        let number = self.whole(name, least.into(), u32::MAX.into(), faults)?;
        u32::try_from(number).ok()
    }

    fn seconds(&self, name: &str, faults: &mut Faults) -> Option<Micros> {
        self.wanted(name, "seconds from 0 to 1e9", faults, |value| {
            let seconds = number(value)?;
            (0.0..=MAX_SECONDS).contains(&seconds).then(|| (seconds * SECOND as f64).round() as Micros)
        })
    }
}

fn number(value: &OwnedValue) -> Option<f64> {
    value.cast_f64().filter(|number| number.is_finite())
}

/// What stands in a value's stead in a fault.
pub(crate) fn told(value: &OwnedValue) -> String {
    match value {
        OwnedValue::String(text) => quoted(text),
        OwnedValue::Static(_) => value.encode(),
        OwnedValue::Array(_) => "a list".to_owned(),
        OwnedValue::Object(_) => "an object".to_owned(),
    }
}

/// The kind and name of an entry; each empty where it has none.
pub(crate) fn title(entry: &OwnedValue) -> (&str, &str) {
    let name = entry.get("HeaderBlock").and_then(|header| header.get("Name"));
    (entry.get_str("ResourceType").unwrap_or(""), name.and_then(|name| name.as_str()).unwrap_or(""))
}

pub(crate) fn top_version(
    top: &Fields<'_>, above: Option<ConfigVersion>, faults: &mut Faults,
) -> Option<ConfigVersion> {
    let expected = "a text of eight hexadecimal digits";
    let version =
        top.wanted("ConfigVersion", expected, faults, |value| value.as_str().and_then(crate::parse_version))?;
    if above.is_some_and(|above| version <= above) {
        let above = above.unwrap_or_default();
        faults.add(
            "ConfigVersion",
            format_args!("a version above {above}, which is current; there is {version}"),
        );
    }
    Some(version)
}

/// An operator's order of a roll-out.
pub(crate) fn order(value: &OwnedValue) -> Result<RolloutOrder, Faults> {
    let mut faults = Faults::default();
    let order = Fields::new(value, Place::Top, &mut faults).and_then(|top| {
        let service = top.text("TargetService", &mut faults);
        let target = top.text("TargetVersion", &mut faults);
        let period = top.seconds("RolloutPeriodS", &mut faults);
        Some(RolloutOrder {
            service: service?.to_owned(),
            target_version: target?.to_owned(),
            period: period?,
        })
    });
    order.filter(|_| faults.is_empty()).ok_or(faults)
}

pub(crate) fn parts(value: &OwnedValue, above: Option<ConfigVersion>) -> Result<Parts, Faults> {
    let mut faults = Faults::default();
    let parts = gathered(value, above, &mut faults);
    match parts {
        Some(parts) if faults.is_empty() => Ok(parts),
        _ => Err(faults),
    }
}

fn gathered(value: &OwnedValue, above: Option<ConfigVersion>, faults: &mut Faults) -> Option<Parts> {
    let top = Fields::new(value, Place::Top, faults)?;
    let version = top_version(&top, above, faults);
    let entries = top.wanted("ResourceSet", "a list of entries", faults, |value| value.as_array())?;
    let list = Place::Field(&Place::Top, "ResourceSet");
    // Routes may stand before the services that they name.
    let known = entries.iter().map(title).filter(|title| title.0 == SERVICE).map(|title| title.1).collect();
    let mut titles = HashSet::with_capacity(entries.len());
    let mut places = HashSet::new();
    let (mut routes, mut services, mut limits) = (IndexMap::new(), IndexMap::new(), None);
    let mut limit_sets = 0;
    for (at, entry) in entries.iter().enumerate() {
        let (kind, name) = title(entry);
        let place = Place::Entry(&list, at, kind, name);
        let Some(fields) = Fields::new(entry, place, faults) else { continue };
        fields.text("ResourceType", faults);
        if !name.is_empty() && !titles.insert((kind, name)) {
            faults.add(place, "a name that no other entry of its kind has");
        }
        if kind == ROUTE || kind == SERVICE {
            let header = fields.object("HeaderBlock", faults);
            header.and_then(|header| {
                Fields::new(header, fields.at("HeaderBlock"), faults)?.text("Name", faults)
            });
        }
        match kind {
            ROUTE => {
                let spec = fields.object("SpecBody", faults);
                let spec = spec.and_then(|spec| Fields::new(spec, fields.at("SpecBody"), faults));
                let Some(route) = spec.and_then(|spec| route(&spec, name, &known, faults)) else { continue };
                if places.insert((route.host.clone(), route.path_prefix.clone())) {
                    routes.insert(name.to_owned(), route);
                } else {
                    faults.add(place, "a host and prefix that no other route has together");
                }
            }
            SERVICE => {
                let spec = fields.object("SpecBody", faults);
                let spec = spec.and_then(|spec| Fields::new(spec, fields.at("SpecBody"), faults));
                if let Some(service) = spec.and_then(|spec| service(&spec, name, faults)) {
                    services.insert(name.to_owned(), service);
                }
            }
            LIMITS => {
                limit_sets += 1;
                let spec = fields.object("SpecBody", faults);
                let spec = spec.and_then(|spec| Fields::new(spec, fields.at("SpecBody"), faults));
                limits = spec.and_then(|spec| limits_of(&spec, faults));
            }
            // Kept for those who understand it.
            _ => {}
        }
    }
    if limit_sets != 1 {
        faults.add(list, format_args!("one entry of the kind {LIMITS}; there are {limit_sets}"));
    }
    Some(Parts { version: version?, routes, services, limits: limits? })
}

fn route(spec: &Fields<'_>, name: &str, known: &HashSet<&str>, faults: &mut Faults) -> Option<Route> {
    let host = spec.text("HostName", faults).map(routes::normal);
    let prefix = spec.wanted("PathPrefix", "a path that begins and ends with a slash", faults, |value| {
        value.as_str().filter(|path| path.starts_with('/') && path.ends_with('/'))
    });
    let kind =
        spec.wanted("RouteType", "'safe', 'unsafe' or 'upload'", faults, |value| match value.as_str()? {
            "safe" => Some(RouteKind::Safe),
            "unsafe" => Some(RouteKind::Unsafe),
            "upload" => Some(RouteKind::Upload),
            _ => None,
        });
    let timeout = spec.seconds("TimeoutS", faults);
    let aim = spec.seconds("TargetLatencyS", faults);
    let rank = spec.whole32("Priority", 0, faults);
    let attempts = spec.whole32("MaxAttempts", 1, faults);
    let targets = targets(spec, known, faults);
    Some(Route {
        name: name.into(),
        host: host?,
        path_prefix: prefix?.to_owned(),
        kind: kind?,
        timeout: timeout?,
        target_latency: aim?,
        priority: rank?,
        targets: targets?,
        max_attempts: attempts?,
    })
}

fn targets(spec: &Fields<'_>, known: &HashSet<&str>, faults: &mut Faults) -> Option<Vec<Target>> {
    match (spec.get("TargetService"), spec.get("WeightedSplit")) {
        (Some(_), None) => {
            let service = target(spec, known, faults)?;
            Some(vec![Target { service, weight: 1.0 }])
        }
        (None, Some(_)) => split(spec, known, faults),
        _ => {
            faults.add(spec.place, "either TargetService or WeightedSplit");
            None
        }
    }
}

fn split(spec: &Fields<'_>, known: &HashSet<&str>, faults: &mut Faults) -> Option<Vec<Target>> {
    let parts =
        spec.wanted("WeightedSplit", "a list of services with weights", faults, |value| value.as_array())?;
    let place = spec.at("WeightedSplit");
    let mut targets = Vec::with_capacity(parts.len());
    for (at, part) in parts.iter().enumerate() {
        let Some(part) = Fields::new(part, Place::Item(&place, at), faults) else { continue };
        let service = target(&part, known, faults);
        let weight = part.wanted("Weight", "a number of at least 0", faults, |value| {
            number(value).filter(|weight| *weight >= 0.0)
        });
        if let (Some(service), Some(weight)) = (service, weight) {
            targets.push(Target { service, weight });
        }
    }
    if targets.len() < parts.len() {
        return None;
    }
    let sum: f64 = targets.iter().map(|target| target.weight).sum();
    if sum > 0.0 && sum.is_finite() {
        return Some(targets);
    }
    faults.add(place, "weights that add up to more than 0");
    None
}

fn target(fields: &Fields<'_>, known: &HashSet<&str>, faults: &mut Faults) -> Option<Arc<str>> {
    let name = fields.text("TargetService", faults)?;
    if !known.contains(name) {
        faults.add(
            fields.at("TargetService"),
            format_args!("a service that is listed; there is {}", quoted(name)),
        );
        return None;
    }
    Some(name.into())
}

fn service(spec: &Fields<'_>, name: &str, faults: &mut Faults) -> Option<Service> {
    // It stands in a request line as it is: a space or a line's end there would be another request.
    let health =
        spec.wanted("HealthPath", "a path of visible ASCII that begins with a slash", faults, |value| {
            value.as_str().filter(|path| path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic()))
        });
    let max_connections = spec.whole32("MaxConnections", 0, faults);
    let name = name.into();
    Some(Service { name, health_path: health?.to_owned(), max_connections: max_connections? })
}

fn limits_of(spec: &Fields<'_>, faults: &mut Faults) -> Option<Limits> {
    let header_bytes = spec.whole("MaxHeaderBytes", 0, MAX_WHOLE, faults);
    let body_bytes = spec.whole("MaxBodyBytes", 0, MAX_WHOLE, faults);
    let header_time = spec.seconds("HeaderTimeoutS", faults);
    let idle_time = spec.seconds("IdleTimeoutS", faults);
    Some(Limits {
        max_header_bytes: header_bytes?,
        max_body_bytes: body_bytes?,
        header_timeout: header_time?,
        idle_timeout: idle_time?,
    })
}
