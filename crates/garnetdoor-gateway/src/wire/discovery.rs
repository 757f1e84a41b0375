//! The list service: requests to it, and the server lists that it answers with.

use std::net::SocketAddr;

use garnetdoor::host::{
    BuildNo, CellId, Condition, MachineTypeId, Micros, ServerId, ServerInfo, Settings, ZoneId,
};
use garnetdoor::names::value_of_name;
use serde_json::Value;

/// The protocol's names for `Condition::ALL`, in the same order.
const STATES: [&str; 3] = ["up", "draining", "removed"];

/// Upper bound, in milliseconds of Unix time, of a start time that is accepted.
const START_TIME_LIMIT_MS: f64 = 9e15;
const MICROS_PER_MS: f64 = 1_000.0;

/// The request for the whole list.
pub fn list_request(service: SocketAddr) -> Vec<u8> {
    format!("GET /catalog/members HTTP/1.1\r\nHost: {service}\r\n\r\n").into_bytes()
}

/// The request for a stream of the list's changes after a version.
pub fn watch_request(service: SocketAddr, after: u64) -> Vec<u8> {
    let head = format!("GET /catalog/members?watch=1&after={after} HTTP/1.1\r\nHost: {service}\r\n\r\n");
    head.into_bytes()
}

/// One server of a list. Its `info` does not have the gateway's own number for the server yet.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub info: ServerInfo,
}

/// A whole list, or changes to it.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub version: u64,
    /// Whether it is the whole list: servers without an entry are gone.
    pub whole: bool,
    pub entries: Vec<Entry>,
    /// The faults of entries that were left out.
    pub faults: Vec<String>,
}

/// The names of zones and machine types in the settings, which entries refer to.
pub struct KnownNames {
    zones: Vec<String>,
    machine_types: Vec<String>,
}

impl KnownNames {
    pub fn new(settings: &Settings) -> Self {
        let names = |list| settings.items(list).into_iter().map(str::to_owned).collect();
        KnownNames { zones: names("areas"), machine_types: names("machine_types") }
    }
}

/// Reads a list from text; a single faulty entry makes the whole list unreadable. A whole list without that
/// entry would mean that its server is gone, and changes without it would advance the version past it. The
/// drawback: while one entry has an unknown machine type, no list is taken.
pub fn parse_list(text: &[u8], names: &KnownNames) -> Result<List, String> {
    let value: Value = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let mut list = list_from_json(&value, names)?;
    list.faults.pop().map_or(Ok(list), Err)
}

/// Reads a list from parsed JSON. Faulty entries are left out, and their faults are kept with the list.
pub fn list_from_json(value: &Value, names: &KnownNames) -> Result<List, String> {
    let version = value["rev"].as_u64().ok_or("rev: not a whole number")?;
    let whole = value["all"].as_bool().ok_or("all: neither true nor false")?;
    let targets = value["targets"].as_array().ok_or("targets: not a list")?;
    let mut list = List { version, whole, ..List::default() };
    for target in targets {
        match parse_entry(target, names) {
            Ok(entry) => list.entries.push(entry),
            Err(fault) => list.faults.push(fault),
        }
    }
    Ok(list)
}

fn parse_entry(value: &Value, names: &KnownNames) -> Result<Entry, String> {
    let name = value["uid"].as_str().filter(|name| !name.is_empty()).ok_or("uid: absent")?.to_owned();
    let fault = |field: &str| format!("{name}: {field}: {}", value[field]);
    let text = |field: &str| value[field].as_str().ok_or_else(|| fault(field));
    let number = |field: &str| value[field].as_u64().ok_or_else(|| fault(field));
    let index = |field: &str, known: &[String]| {
        let name = Settings::sanitize(text(field)?);
        known.iter().position(|other| *other == name).ok_or_else(|| fault(field))
    };
    let condition = value_of_name(Condition::ALL, STATES, text("state")?);
    let condition = condition.ok_or_else(|| fault("state"))?;
    let started_ms = value["boot_ms"]
        .as_f64()
        .filter(|ms| (0.0..START_TIME_LIMIT_MS).contains(ms))
        .ok_or_else(|| fault("boot_ms"))?;
    let info = ServerInfo {
        server: ServerId::default(),
        build: BuildNo(u32::try_from(number("image_id")?).map_err(|_| fault("image_id"))?),
        zone: ZoneId(index("az", &names.zones)?),
        machine_type: MachineTypeId(index("model", &names.machine_types)?),
        cell: CellId(number("pod_group")?),
        condition,
        capacity: value["capacity_hint"]
            .as_f64()
            .filter(|capacity| *capacity > 0.0)
            .ok_or_else(|| fault("capacity_hint"))?,
        started: Some((started_ms * MICROS_PER_MS) as Micros).filter(|at| *at != 0),
    };
    let address = text("endpoint")?.parse().map_err(|_| fault("endpoint"))?;
    Ok(Entry { address, info, name })
}
