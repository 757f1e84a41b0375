//! Configuration (the operators' configuration): reads it, checks it whole, changes it by name, and finds the route of
//! a request. No I/O. A bill that exists has passed every check, so nothing behind it has to ask again.

mod change;
mod faults;
mod json;
mod read;
mod routes;

use std::sync::Arc;

pub use faults::{Fault, Faults, MAX_FAULTS};
use indexmap::IndexMap;
pub use json::exceeds_max_depth;
pub use types::{ConfigVersion, Micros};

/// The largest configuration or change that is read, in bytes. 310 routes take about 120 KB.
pub const MAX_BYTES: usize = 8 << 20;
/// The deepest nesting of objects and lists that is read; our own fields need 6. Guards the stack.
pub const MAX_DEPTH: usize = 32;

/// What a route's requests allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once per try.
    Unsafe,
    /// Large bodies; otherwise as `Unsafe`.
    Upload,
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }
}

/// One service of a route, with its part of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub service: Arc<str>,
    /// At least 0; the weights of one route add up to more than 0, and to a finite number.
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    /// In lower case and without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// The longest that the operator wants a request held.
    pub timeout: Micros,
    /// Inside it an answer earns its full worth.
    pub target_latency: Micros,
    /// 0 is served first.
    pub priority: u32,
    /// One or more, in the operator's order.
    pub targets: Vec<Target>,
    /// The largest number of instances that one try may be sent to; at least 1.
    pub max_attempts: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: Arc<str>,
    /// Begins with a slash; visible ASCII only, so that it can stand in a request line as it is.
    pub health_path: String,
    /// What one instance accepts from all callers together.
    pub max_connections: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    /// How long a client may take to send a request's head.
    pub header_timeout: Micros,
    /// How long a client's connection may stay idle.
    pub idle_timeout: Micros,
}

/// A whole configuration that has passed every check.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub version: ConfigVersion,
    pub routes: IndexMap<String, Route>,
    pub services: IndexMap<String, Service>,
    pub limits: Limits,
    finder: routes::Finder,
    text: Vec<u8>,
}

impl Configuration {
    /// Reads a whole configuration; every fault is told, up to `MAX_FAULTS`.
    pub fn parse(text: &[u8]) -> Result<Configuration, Faults> {
        let value = json::parse(text)?;
        Configuration::built(&value, None, || text.to_vec())
    }

    /// As `read`; a version that is not above `above` is a fault beside the others.
    pub fn parse_newer_than(text: &[u8], above: ConfigVersion) -> Result<Configuration, Faults> {
        let value = json::parse(text)?;
        Configuration::built(&value, Some(above), || text.to_vec())
    }

    /// This configuration with the items of a change added, replaced or removed by kind and name, checked as
    /// a whole. Its version must be above this one's. What is not named stays as it came, unknown fields
    /// included.
    pub fn with_change(&self, text: &[u8]) -> Result<Configuration, Faults> {
        let whole = change::merged(&self.text, text)?;
        Configuration::of_whole(&whole, self.version)
    }

    /// What a change makes where there is no configuration yet: the items that it brings must make a whole.
    pub fn from_change(text: &[u8]) -> Result<Configuration, Faults> {
        let whole = change::merged(br#"{"ResourceSet":[]}"#, text)?;
        Configuration::of_whole(&whole, ConfigVersion(0))
    }

    /// What a change makes may be longer than both texts that it is made of: a line's end is one escape there,
    /// and another here. What could not be read again, from a disk or by another node, is no configuration.
    fn of_whole(whole: &simd_json::OwnedValue, above: ConfigVersion) -> Result<Configuration, Faults> {
        let bill = Configuration::built(whole, Some(above), || json::written(whole))?;
        if bill.text.len() > MAX_BYTES {
            let expected = format!("a whole of at most {MAX_BYTES} bytes; there are {}", bill.text.len());
            return Err(Faults::single("", expected));
        }
        Ok(bill)
    }

    /// The whole as JSON: as it was sent, or as changes made it. Reading it gives the same bill again.
    pub fn to_json(&self) -> Vec<u8> {
        self.text.clone()
    }

    /// `text` without a copy.
    pub fn as_json(&self) -> &[u8] {
        &self.text
    }

    /// The route of a request: of those of its host (whatever its case, a port is left out) the one with the
    /// longest prefix that begins the path. `path` is without the query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let at = self.finder.find(host, path)?;
        self.routes.get_index(at).map(|(_, route)| route)
    }

    fn built(
        value: &simd_json::OwnedValue, above: Option<ConfigVersion>, text: impl FnOnce() -> Vec<u8>,
    ) -> Result<Configuration, Faults> {
        let parts = read::parts(value, above)?;
        let finder = routes::Finder::new(parts.routes.values());
        Ok(Configuration {
            version: parts.version,
            routes: parts.routes,
            services: parts.services,
            limits: parts.limits,
            finder,
            text: text(),
        })
    }
}

impl PartialEq for Configuration {
    fn eq(&self, other: &Configuration) -> bool {
        self.text == other.text
    }
}

/// What the body of `Rollouts.Initiate` asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    pub service: String,
    /// The version that is to take the service over.
    pub target_version: String,
    pub period: Micros,
}

impl RolloutOrder {
    pub fn parse(text: &[u8]) -> Result<RolloutOrder, Faults> {
        read::order(&json::parse(text)?)
    }
}

/// A version as bodies write it: exactly eight hexadecimal digits of either case.
pub fn parse_version(text: &str) -> Option<ConfigVersion> {
    if text.len() == 8 { parse_base_version(text) } else { None }
}

/// A version as the header `Base-Version` may write it: one to eight hexadecimal digits, so that a plain `0`
/// for the first is understood too.
pub fn parse_base_version(text: &str) -> Option<ConfigVersion> {
    let plain = (1..=8).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    if plain { u32::from_str_radix(text, 16).ok().map(ConfigVersion) } else { None }
}
