//! The operators' configuration: parsing and validation, changes to single entries, and the route of a request.
//!
//! No I/O. A `Configuration` that exists has passed every check, so its users need not check again.

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

/// The largest configuration or change that is accepted, in bytes. 310 routes take about 120 KB.
pub const MAX_BYTES: usize = 8 << 20;
/// The deepest nesting of objects and lists that is accepted, to guard the stack; the known fields need 6.
pub const MAX_DEPTH: usize = 32;

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once, so it may be retried.
    Safe,
    /// Runs at most once for each time that the client sends it.
    Unsafe,
    /// As `Unsafe`, with large bodies.
    Upload,
}

impl RouteKind {
    /// Whether a request that may have run already may be sent again.
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }
}

/// A service that a route sends requests to, with its share of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub service: Arc<str>,
    /// Not negative; the sum of a route's weights is positive and finite.
    pub weight: f64,
}

/// Matches requests by host and path prefix, and says how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    /// In lower case and without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// The longest that a request may be held.
    pub timeout: Micros,
    /// An answer within this time counts as on time.
    pub target_latency: Micros,
    /// 0 is the highest priority.
    pub priority: u32,
    /// At least one, in the operator's order.
    pub targets: Vec<Target>,
    /// The largest number of instances that one request of a client may be sent to; at least 1.
    pub max_attempts: u32,
}

/// A service that routes may send requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: Arc<str>,
    /// Begins with a slash and contains visible ASCII only, so that it can be used in a request line as it is.
    pub health_path: String,
    /// Connections that one instance accepts from all callers together.
    pub max_connections: u32,
}

/// Limits on clients' requests and connections, for all routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    /// How long a client may take to send the header of a request.
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
    route_index: routes::RouteIndex,
    /// As it was sent, or as changes made it.
    json: Vec<u8>,
}

impl Configuration {
    /// Parses a whole configuration. The error contains every fault, up to `MAX_FAULTS` in full.
    pub fn parse(text: &[u8]) -> Result<Configuration, Faults> {
        let value = json::parse(text)?;
        Configuration::from_value(&value, None, || text.to_vec())
    }

    /// As `parse`; a version that is not above `current` is one more fault.
    pub fn parse_newer_than(text: &[u8], current: ConfigVersion) -> Result<Configuration, Faults> {
        let value = json::parse(text)?;
        Configuration::from_value(&value, Some(current), || text.to_vec())
    }

    /// This configuration with entries added, replaced or removed by kind and name, checked as a whole. The change's
    /// version must be above this one's. Entries that it does not name stay as they were sent, unknown fields included.
    pub fn with_change(&self, text: &[u8]) -> Result<Configuration, Faults> {
        let merged = change::merge(&self.json, text)?;
        Configuration::from_merged(&merged, self.version)
    }

    /// What a change makes if there is no configuration yet: its entries must make a whole configuration.
    pub fn from_change(text: &[u8]) -> Result<Configuration, Faults> {
        let merged = change::merge(br#"{"ResourceSet":[]}"#, text)?;
        Configuration::from_merged(&merged, ConfigVersion(0))
    }

    /// The result of a change may be longer than both texts that it was made from, since characters may be escaped
    /// differently: a line break is `\n` in one text and `\u000a` here. A result that is too long to be parsed again,
    /// from a disk or by another node, is refused.
    fn from_merged(merged: &simd_json::OwnedValue, current: ConfigVersion) -> Result<Configuration, Faults> {
        let configuration = Configuration::from_value(merged, Some(current), || json::encode(merged))?;
        if configuration.json.len() > MAX_BYTES {
            let expected =
                format!("a whole of at most {MAX_BYTES} bytes; there are {}", configuration.json.len());
            return Err(Faults::single("", expected));
        }
        Ok(configuration)
    }

    /// The whole configuration as JSON: as it was sent, or as changes made it. Parsing it gives the same
    /// configuration.
    pub fn to_json(&self) -> Vec<u8> {
        self.json.clone()
    }

    /// As `to_json`, without a copy.
    pub fn as_json(&self) -> &[u8] {
        &self.json
    }

    /// The route of a request: among the routes of its host, the one with the longest prefix of `path`, which must not
    /// contain the query. The case of `host` does not matter, and a port is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let index = self.route_index.find(host, path)?;
        self.routes.get_index(index).map(|(_, route)| route)
    }

    /// Validates a parsed text; a version that is not above `newer_than` is a fault. `json` is only called if there are
    /// no faults.
    fn from_value(
        value: &simd_json::OwnedValue, newer_than: Option<ConfigVersion>, json: impl FnOnce() -> Vec<u8>,
    ) -> Result<Configuration, Faults> {
        let parsed = read::read_configuration(value, newer_than)?;
        let route_index = routes::RouteIndex::new(parsed.routes.values());
        Ok(Configuration {
            version: parsed.version,
            routes: parsed.routes,
            services: parsed.services,
            limits: parsed.limits,
            route_index,
            json: json(),
        })
    }
}

impl PartialEq for Configuration {
    fn eq(&self, other: &Configuration) -> bool {
        self.json == other.json
    }
}

/// An order of a roll-out: the body of the call `Rollouts.Initiate`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    pub service: String,
    /// The version that is to take over the service.
    pub target_version: String,
    /// Time for the roll-out to complete in.
    pub period: Micros,
}

impl RolloutOrder {
    pub fn parse(text: &[u8]) -> Result<RolloutOrder, Faults> {
        read::read_rollout_order(&json::parse(text)?)
    }
}

/// Parses a version as bodies contain it: exactly eight hexadecimal digits of either case.
pub fn parse_version(text: &str) -> Option<ConfigVersion> {
    if text.len() == 8 { parse_base_version(text) } else { None }
}

/// Parses a version as the header `Base-Version` may contain it: one to eight hexadecimal digits, so that a plain `0`
/// is accepted for the time before the first configuration.
pub fn parse_base_version(text: &str) -> Option<ConfigVersion> {
    let is_hexadecimal = (1..=8).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    if is_hexadecimal { u32::from_str_radix(text, 16).ok().map(ConfigVersion) } else { None }
}
