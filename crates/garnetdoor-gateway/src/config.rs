//! The configuration: read, checked and given defaults here and nowhere else.
//!
//! Variables win over the file, which may be shared or older; where both tell and differ, a log line says so.

use std::fmt;
use std::net::SocketAddr;

use garnetdoor::host::{RolloutStatus, Settings};
use serde_json::Value;

use crate::wire::platform;

/// One thing wrong: where, what was found, and what is expected.
#[derive(Debug, PartialEq, Eq)]
pub struct Fault {
    pub key: String,
    pub found: String,
    pub expected: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}: found {}, expected {}", self.key, self.found, self.expected)
    }
}

/// All that a gateway is told at its start, and at a reload.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The same as the file has it, whatever a variable says.
    pub filed_discovery: Option<SocketAddr>,
    pub platform: SocketAddr,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may take.
    pub memory_mb: usize,
    pub settings: Settings,
    /// The list as this gateway last had it, in the list service's form.
    pub known: Option<Value>,
    pub news: Option<RolloutStatus>,
    /// Where a variable has overruled the file.
    pub overruled: Vec<String>,
}

const ADDRESS: &str = "an address and port such as 127.0.0.1:8081";
const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 192;

struct Source<'a> {
    file: &'a Value,
    faults: Vec<Fault>,
}

impl Source<'_> {
    fn fault(&mut self, key: &str, found: &Value, expected: &'static str) {
        let found = if found.is_null() { "nothing".to_owned() } else { found.to_string() };
        self.faults.push(Fault { key: key.to_owned(), found, expected });
    }

    /// What stands at a path of keys; null where nothing does.
    fn find(&self, key: &str) -> &Value {
        key.split('.').fold(self.file, |value, part| &value[part])
    }

    /// Reads what stands at a path of keys; `None`, with a fault, where it can't be read.
    fn read<T>(
        &mut self, key: &str, expected: &'static str, read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = read(self.find(key));
        if value.is_none() {
            self.fault(key, &self.find(key).clone(), expected);
        }
        value
    }

    /// The same for what may be absent.
    fn maybe<T>(
        &mut self, key: &str, expected: &'static str, read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        if self.find(key).is_null() { None } else { self.read(key, expected, read) }
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Reads and checks the file at a path, else the one that `EDGE_CONFIG` names; reports faults as lines.
pub fn read(file: Option<String>) -> Result<Config, Vec<String>> {
    let variable = |name: &str| std::env::var(name).ok();
    let path = file.or_else(|| variable("EDGE_CONFIG"));
    let path = path.ok_or_else(|| vec!["EDGE_CONFIG: found nothing, expected a file's path".to_owned()])?;
    let text = std::fs::read_to_string(&path).map_err(|error| {
        vec![format!("EDGE_CONFIG: found {path} ({error}), expected a file that can be read")]
    })?;
    check(&text, variable).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// Checks a configuration file's text, with variables laid over it; reports all faults together.
pub fn check(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, Vec<Fault>> {
    let mut file: Value = serde_json::from_str(text).map_err(|error| {
        vec![Fault { key: "(file)".to_owned(), found: error.to_string(), expected: "a JSON object" }]
    })?;
    if !file.is_object() {
        let found = "JSON of another kind".to_owned();
        return Err(vec![Fault { key: "(file)".to_owned(), found, expected: "a JSON object" }]);
    }
    let filed_discovery = address(&file["discovery"]);
    let mut overruled = Vec::new();
    for (name, key) in [("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"), ("EDGE_DISCOVERY", "discovery")] {
        let Some(told) = variable(name).map(Value::String) else { continue };
        if !file[key].is_null() && file[key] != told {
            overruled.push(format!("{name} overrules {key}: {told} instead of {}", file[key]));
        }
        file[key] = told;
    }
    let mut source = Source { file: &file, faults: Vec::new() };
    let text = |value: &Value| value.as_str().filter(|text| !text.is_empty()).map(str::to_owned);
    let name = source.read("name", "a name", text);
    let listen = source.read("listen", ADDRESS, address);
    let discovery = source.read("discovery", ADDRESS, address);
    let platform = source.read("rollouts.address", ADDRESS, address);
    let hex = |value: &Value| u64::from_str_radix(value.as_str()?, 16).ok();
    let seed = source.read("seed", "up to 16 hex digits", hex);
    let sockets = source.maybe("limits.sockets", "a whole number, 64 at least", |value| {
        value.as_u64().filter(|count| *count >= 64)
    });
    let memory_mb = source.maybe("limits.memory_mb", "a whole number, 16 at least", |value| {
        value.as_u64().filter(|count| *count >= 16)
    });
    let peer_listen = source.maybe("peer_listen", ADDRESS, address);
    let list = |value: &Value| value.as_array()?.iter().map(address).collect::<Option<Vec<_>>>();
    let peers = source.maybe("peers", "a list of addresses and ports", list).unwrap_or_default();
    let peers_all = source.maybe("peers_all", ADDRESS, address);
    let news = source.maybe("rollouts.news", "the state of the newest build", news);
    let known = source.maybe("known", "a list as the list service gives it", |value| {
        value["targets"].is_array().then(|| value.clone())
    });
    let settings =
        source.read("settings", "the settings, an object", |value| value.is_object().then(|| flat(value)));
    if let Some(settings) = &settings
        && settings.number("classes.count").unwrap_or(0.0) < 1.0
    {
        source.fault("settings.classes", &file["settings"]["classes"], "a list of one profile at least");
    }
    for (key, other) in [("discovery", discovery), ("rollouts.address", platform), ("peers_all", peers_all)] {
        if listen.is_some() && listen == other {
            source.fault(key, &file["listen"], "another address than listen's");
        }
    }
    let faults = source.faults;
    match (name, listen, discovery, platform, seed, settings) {
        (Some(name), Some(listen), Some(discovery), Some(platform), Some(seed), Some(settings))
            if faults.is_empty() =>
        {
            let sockets = sockets.unwrap_or(SOCKETS) as usize;
            let memory_mb = memory_mb.unwrap_or(MEMORY_MB) as usize;
            Ok(Config {
                name,
                listen,
                discovery,
                filed_discovery,
                platform,
                peer_listen,
                peers,
                peers_all,
                seed,
                sockets,
                memory_mb,
                settings,
                known,
                news,
                overruled,
            })
        }
        _ => Err(faults),
    }
}

impl Config {
    /// Takes over what a reload may change from the file as it stands now. Returns the keys that differ and
    /// wait for the next start. The list service's address is the file's newer one even where a variable
    /// overruled the file at the start: the variable can't be replaced under way.
    pub fn reload(&mut self, newer: Config) -> Vec<&'static str> {
        if newer.filed_discovery != self.filed_discovery {
            self.discovery = newer.filed_discovery.unwrap_or(newer.discovery);
        }
        (self.filed_discovery, self.platform) = (newer.filed_discovery, newer.platform);
        let differs = [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("limits", (self.sockets, self.memory_mb) != (newer.sockets, newer.memory_mb)),
            ("peer_listen", self.peer_listen != newer.peer_listen),
            ("peers", self.peers != newer.peers),
            ("peers_all", self.peers_all != newer.peers_all),
            ("settings", self.settings != newer.settings),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

fn news(value: &Value) -> Option<RolloutStatus> {
    let fields = value.as_object()?;
    let texts: Vec<(&str, String)> =
        fields.iter().map(|(name, value)| (name.as_str(), plain(value))).collect();
    platform::news(|name| texts.iter().find(|(field, _)| *field == name).map(|(_, text)| text.as_str()))
}

/// A plain value as the settings' map holds it.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => Settings::sanitize(text),
        other => other.to_string(),
    }
}

/// Nested settings as the decisions take them: names joined by points, lists of plain values by commas, lists
/// of objects with their count.
pub fn flat(value: &Value) -> Settings {
    let mut pairs = Vec::new();
    flatten(String::new(), value, &mut pairs);
    pairs.into_iter().collect()
}

fn flatten(name: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let inner = |part: &str| if name.is_empty() { part.to_owned() } else { format!("{name}.{part}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(part, value)| flatten(inner(part), value, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((inner("count"), items.len().to_string()));
            for (number, item) in items.iter().enumerate() {
                flatten(inner(&number.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            pairs.push((name, items.iter().map(plain).collect::<Vec<_>>().join(",")));
        }
        plain_value => pairs.push((name, plain(plain_value))),
    }
}
