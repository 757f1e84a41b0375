//! The list service: its calls, and the lists that it answers.

use std::net::SocketAddr;

use garnetdoor::host::{
    BuildNo, CellId, Condition, MachineTypeId, Micros, ServerId, ServerInfo, Settings, ZoneId,
};
use garnetdoor::names::value_of_name;
use serde_json::Value;

/// The call for the whole list.
pub fn whole(service: SocketAddr) -> Vec<u8> {
    format!("GET /catalog/members HTTP/1.1\r\nHost: {service}\r\n\r\n").into_bytes()
}

/// The call for changes after a version.
pub fn watch(service: SocketAddr, after: u64) -> Vec<u8> {
    let head = format!("GET /catalog/members?watch=1&after={after} HTTP/1.1\r\nHost: {service}\r\n\r\n");
    head.into_bytes()
}

/// One entry; its listing still lacks the gateway's own number for the server.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub listing: ServerInfo,
}

/// A list or changes of it.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub version: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
    /// What is wrong with entries that were left out.
    pub faults: Vec<String>,
}

/// The names that entries use.
pub struct Words {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Words {
    pub fn new(settings: &Settings) -> Self {
        let names = |list| settings.items(list).into_iter().map(str::to_owned).collect();
        Words { zones: names("areas"), kinds: names("machine_types") }
    }
}

/// Reads a list as text. Guards against noise in the place of words: a whole list with one entry less would
/// have that server gone, and the version moved past it. Harm: with one entry of an unknown kind no list is
/// taken until it is gone.
pub fn list(text: &[u8], words: &Words) -> Result<List, String> {
    let value: Value = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let mut list = list_of(&value, words)?;
    list.faults.pop().map_or(Ok(list), Err)
}

/// Reads a list from JSON that has been parsed.
pub fn list_of(value: &Value, words: &Words) -> Result<List, String> {
    let version = value["rev"].as_u64().ok_or("rev: not a whole number")?;
    let whole = value["all"].as_bool().ok_or("all: neither true nor false")?;
    let targets = value["targets"].as_array().ok_or("targets: not a list")?;
    let mut list = List { version, whole, ..List::default() };
    for target in targets {
        match entry(target, words) {
            Ok(entry) => list.entries.push(entry),
            Err(fault) => list.faults.push(fault),
        }
    }
    Ok(list)
}

fn entry(value: &Value, words: &Words) -> Result<Entry, String> {
    let name = value["uid"].as_str().filter(|name| !name.is_empty()).ok_or("uid: absent")?.to_owned();
    let bad = |field: &str| format!("{name}: {field}: {}", value[field]);
    let text = |field: &str| value[field].as_str().ok_or_else(|| bad(field));
    let number = |field: &str| value[field].as_u64().ok_or_else(|| bad(field));
    let index = |field: &str, known: &[String]| {
        let name = Settings::sanitize(text(field)?);
        known.iter().position(|other| *other == name).ok_or_else(|| bad(field))
    };
    let condition = value_of_name(Condition::ALL, ["up", "draining", "removed"], text("state")?);
    let condition = condition.ok_or_else(|| bad("state"))?;
    let started =
        value["boot_ms"].as_f64().filter(|ms| (0.0..9e15).contains(ms)).ok_or_else(|| bad("boot_ms"))?;
    let listing = ServerInfo {
        server: ServerId::default(),
        build: BuildNo(u32::try_from(number("image_id")?).map_err(|_| bad("image_id"))?),
        zone: ZoneId(index("az", &words.zones)?),
        machine_type: MachineTypeId(index("model", &words.kinds)?),
        cell: CellId(number("pod_group")?),
        condition,
        capacity: value["capacity_hint"]
            .as_f64()
            .filter(|size| *size > 0.0)
            .ok_or_else(|| bad("capacity_hint"))?,
        started: Some((started * 1_000.0) as Micros).filter(|at| *at != 0),
    };
    let address = text("endpoint")?.parse().map_err(|_| bad("endpoint"))?;
    Ok(Entry { address, listing, name })
}
