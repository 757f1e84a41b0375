//! The configuration: this module alone reads it, checks it and fills in defaults.
//!
//! Environment variables take precedence over the file, which may be shared between gateways or older. If
//! both set a value and they differ, a log line says so.

use std::fmt;
use std::net::SocketAddr;

use garnetdoor::host::{RolloutStatus, Settings};
use serde_json::Value;

use crate::wire::platform;

/// A fault in the configuration: the key, what was found, and what is expected.
#[derive(Debug, PartialEq, Eq)]
pub struct Fault {
    pub key: String,
    pub found: String,
    pub expected: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}: found {}, expected {}", self.key, self.found, self.expected)
    }
}

/// A gateway's configuration, as checked at its start or at a reload.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The list service's address.
    pub discovery: SocketAddr,
    /// The list service's address in the file, whether or not a variable overrides it.
    pub discovery_in_file: Option<SocketAddr>,
    /// The address of the platform that runs the roll-outs.
    pub platform: SocketAddr,
    /// Where datagrams of peer gateways arrive.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all peers.
    pub peer_broadcast: Option<SocketAddr>,
    /// The seed of the gateway's random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// The decisions' settings.
    pub settings: Settings,
    /// The server list that the gateway starts with, in the list service's format.
    pub initial_list: Option<Value>,
    /// The state of the newest release that the gateway starts with.
    pub initial_rollout_status: Option<RolloutStatus>,
    /// Log lines about values of the file that a variable overrides.
    pub overrides: Vec<String>,
}

const ADDRESS_EXPECTED: &str = "an address and port such as 127.0.0.1:8081";
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_MEMORY_MB: u64 = 192;
const MIN_MEMORY_MB: u64 = 16;

/// The configuration file as it is being checked, with the faults found so far.
struct Source<'a> {
    file: &'a Value,
    faults: Vec<Fault>,
}

impl Source<'_> {
    fn fault(&mut self, key: &str, found: &Value, expected: &'static str) {
        let found = if found.is_null() { "nothing".to_owned() } else { found.to_string() };
        self.faults.push(Fault { key: key.to_owned(), found, expected });
    }

    /// The value at a path of keys, which are separated by dots; null if there is none.
    fn value_at(&self, key: &str) -> &Value {
        key.split('.').fold(self.file, |value, part| &value[part])
    }

    /// Parses the required value at a path of keys; records a fault and returns `None` if that fails.
    fn required<T>(
        &mut self, key: &str, expected: &'static str, parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = parse(self.value_at(key));
        if value.is_none() {
            self.fault(key, &self.value_at(key).clone(), expected);
        }
        value
    }

    /// Parses the value at a path of keys if there is one; records a fault if that fails.
    fn optional<T>(
        &mut self, key: &str, expected: &'static str, parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        if self.value_at(key).is_null() { None } else { self.required(key, expected, parse) }
    }
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Reads and checks the file at the given path, or else the one that `EDGE_CONFIG` names.
///
/// # Errors
///
/// One line for each fault.
pub fn read(file: Option<String>) -> Result<Config, Vec<String>> {
    let environment = |name: &str| std::env::var(name).ok();
    let path = file.or_else(|| environment("EDGE_CONFIG"));
    let path = path.ok_or_else(|| vec!["EDGE_CONFIG: found nothing, expected a file's path".to_owned()])?;
    let text = std::fs::read_to_string(&path).map_err(|error| {
        vec![format!("EDGE_CONFIG: found {path} ({error}), expected a file that can be read")]
    })?;
    check(&text, environment).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// Replaces values of the file by those of environment variables. Returns a line for each value that differs.
fn apply_environment(file: &mut Value, environment: impl Fn(&str) -> Option<String>) -> Vec<String> {
    let mut overrides = Vec::new();
    for (name, key) in [("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"), ("EDGE_DISCOVERY", "discovery")] {
        let Some(value) = environment(name).map(Value::String) else { continue };
        if !file[key].is_null() && file[key] != value {
            overrides.push(format!("{name} overrules {key}: {value} instead of {}", file[key]));
        }
        file[key] = value;
    }
    overrides
}

/// Checks the text of a configuration file, overridden by environment variables.
///
/// # Errors
///
/// All faults, not only the first one.
pub fn check(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Config, Vec<Fault>> {
    let mut file: Value = serde_json::from_str(text).map_err(|error| {
        vec![Fault { key: "(file)".to_owned(), found: error.to_string(), expected: "a JSON object" }]
    })?;
    if !file.is_object() {
        let found = "JSON of another kind".to_owned();
        return Err(vec![Fault { key: "(file)".to_owned(), found, expected: "a JSON object" }]);
    }
    let discovery_in_file = parse_address(&file["discovery"]);
    let overrides = apply_environment(&mut file, environment);
    let mut source = Source { file: &file, faults: Vec::new() };
    let non_empty_text = |value: &Value| value.as_str().filter(|text| !text.is_empty()).map(str::to_owned);
    let name = source.required("name", "a name", non_empty_text);
    let listen = source.required("listen", ADDRESS_EXPECTED, parse_address);
    let discovery = source.required("discovery", ADDRESS_EXPECTED, parse_address);
    let platform = source.required("rollouts.address", ADDRESS_EXPECTED, parse_address);
    let parse_hex = |value: &Value| u64::from_str_radix(value.as_str()?, 16).ok();
    let seed = source.required("seed", "up to 16 hex digits", parse_hex);
    let max_descriptors = source.optional("limits.sockets", "a whole number, 64 at least", |value| {
        value.as_u64().filter(|count| *count >= MIN_DESCRIPTORS)
    });
    let memory_mb = source.optional("limits.memory_mb", "a whole number, 16 at least", |value| {
        value.as_u64().filter(|megabytes| *megabytes >= MIN_MEMORY_MB)
    });
    let peer_listen = source.optional("peer_listen", ADDRESS_EXPECTED, parse_address);
    let parse_addresses =
        |value: &Value| value.as_array()?.iter().map(parse_address).collect::<Option<Vec<_>>>();
    let peers =
        source.optional("peers", "a list of addresses and ports", parse_addresses).unwrap_or_default();
    let peer_broadcast = source.optional("peers_all", ADDRESS_EXPECTED, parse_address);
    let initial_rollout_status =
        source.optional("rollouts.news", "the state of the newest build", parse_rollout_status);
    let initial_list = source.optional("known", "a list as the list service gives it", |value| {
        value["targets"].is_array().then(|| value.clone())
    });
    let settings = source.required("settings", "the settings, an object", |value| {
        value.is_object().then(|| flatten_settings(value))
    });
    if let Some(settings) = &settings
        && settings.number("classes.count").unwrap_or(0.0) < 1.0
    {
        source.fault("settings.classes", &file["settings"]["classes"], "a list of one profile at least");
    }
    for (key, other) in
        [("discovery", discovery), ("rollouts.address", platform), ("peers_all", peer_broadcast)]
    {
        if listen.is_some() && listen == other {
            source.fault(key, &file["listen"], "another address than listen's");
        }
    }
    let faults = source.faults;
    match (name, listen, discovery, platform, seed, settings) {
        (Some(name), Some(listen), Some(discovery), Some(platform), Some(seed), Some(settings))
            if faults.is_empty() =>
        {
            let max_descriptors = max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS) as usize;
            let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize;
            Ok(Config {
                name,
                listen,
                discovery,
                discovery_in_file,
                platform,
                peer_listen,
                peers,
                peer_broadcast,
                seed,
                max_descriptors,
                memory_mb,
                settings,
                initial_list,
                initial_rollout_status,
                overrides,
            })
        }
        _ => Err(faults),
    }
}

impl Config {
    /// Takes over the values of a newer configuration that a reload may change, and returns the keys that
    /// differ but only take effect at the next start. If the file's list service address has changed, it is
    /// used even if a variable overrode the file at the start: the variable of a running process can't be
    /// changed.
    pub fn reload(&mut self, newer: Config) -> Vec<&'static str> {
        if newer.discovery_in_file != self.discovery_in_file {
            self.discovery = newer.discovery_in_file.unwrap_or(newer.discovery);
        }
        (self.discovery_in_file, self.platform) = (newer.discovery_in_file, newer.platform);
        let differs = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("limits", (self.max_descriptors, self.memory_mb) != (newer.max_descriptors, newer.memory_mb)),
            ("peer_listen", self.peer_listen != newer.peer_listen),
            ("peers", self.peers != newer.peers),
            ("peers_all", self.peer_broadcast != newer.peer_broadcast),
            ("settings", self.settings != newer.settings),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

fn parse_rollout_status(value: &Value) -> Option<RolloutStatus> {
    let fields = value.as_object()?;
    let texts: Vec<(&str, String)> =
        fields.iter().map(|(name, value)| (name.as_str(), setting_text(value))).collect();
    platform::parse_rollout_status(|name| {
        texts.iter().find(|(field, _)| *field == name).map(|(_, text)| text.as_str())
    })
}

/// A value that is no object or list, as text for the settings.
fn setting_text(value: &Value) -> String {
    match value {
        Value::String(text) => Settings::sanitize(text),
        other => other.to_string(),
    }
}

/// Turns nested settings into the flat map that the decisions take: names are joined by dots, lists of plain
/// values by commas, and a list of objects gets a `count` and one numbered name for each object.
pub fn flatten_settings(value: &Value) -> Settings {
    let mut pairs = Vec::new();
    flatten(String::new(), value, &mut pairs);
    pairs.into_iter().collect()
}

fn flatten(name: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let inner_name = |part: &str| if name.is_empty() { part.to_owned() } else { format!("{name}.{part}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            fields.iter().for_each(|(part, value)| flatten(inner_name(part), value, pairs))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((inner_name("count"), items.len().to_string()));
            for (number, item) in items.iter().enumerate() {
                flatten(inner_name(&number.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            pairs.push((name, items.iter().map(setting_text).collect::<Vec<_>>().join(",")));
        }
        plain_value => pairs.push((name, setting_text(plain_value))),
    }
}
