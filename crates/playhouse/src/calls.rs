//! The calls that `control` takes, as api/openapi.yaml has them: paths, headers and bodies to typed calls.

use std::net::SocketAddrV4;

use hyper::{HeaderMap, Method};
use registry::{Heartbeat, InstanceId};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::{ConfigVersion, Micros};

use crate::settings::seconds_to_micros;

/// Every method and path served, as the OpenAPI file names them.
pub const SERVED: [(&str, &str); 8] = [
    ("post", "/api/Configuration.Replace"),
    ("post", "/api/Configuration.Modify"),
    ("get", "/api/Configuration.Retrieve"),
    ("post", "/api/Rollouts.Initiate"),
    ("get", "/api/Rollouts.Retrieve/{service}"),
    ("post", "/api/Instances.Heartbeat/{id}"),
    ("post", "/api/Instances.Detach/{id}"),
    ("get", "/api/Status"),
];

/// Which call a request is, before its body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Replace,
    Modify,
    Retrieve,
    Initiate,
    Rollout(String),
    Heartbeat(InstanceId),
    Detach(InstanceId),
    Status,
}

/// Why a request is no call; the answer's status and text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Wrong {
    #[error("no such call")]
    NoSuch,
    #[error("{0}")]
    Bad(String),
}

/// Bytes of what was sent that a refusal quotes.
const QUOTED_MOST: usize = 80;

fn bad<T>(text: impl Into<String>) -> Result<T, Wrong> {
    Err(Wrong::Bad(text.into()))
}

impl Call {
    pub fn of(method: &Method, path: &str) -> Result<Call, Wrong> {
        let rest = path.strip_prefix("/api/").ok_or(Wrong::NoSuch)?;
        let (name, id) = rest.split_once('/').map_or((rest, None), |(name, id)| (name, Some(id)));
        let id = id.filter(|id| !id.is_empty() && id.len() <= 256 && !id.contains('/')).map(str::to_owned);
        Ok(match (method, name, id) {
            (&Method::POST, "Configuration.Replace", None) => Call::Replace,
            (&Method::POST, "Configuration.Modify", None) => Call::Modify,
            (&Method::GET, "Configuration.Retrieve", None) => Call::Retrieve,
            (&Method::POST, "Rollouts.Initiate", None) => Call::Initiate,
            (&Method::GET, "Rollouts.Retrieve", Some(id)) => Call::Rollout(id),
            (&Method::POST, "Instances.Heartbeat", Some(id)) => Call::Heartbeat(InstanceId(id)),
            (&Method::POST, "Instances.Detach", Some(id)) => Call::Detach(InstanceId(id)),
            (&Method::GET, "Status", None) => Call::Status,
            _ => return Err(Wrong::NoSuch),
        })
    }
}

/// The version that a change says it builds on; absent is the first, 0.
pub fn base(headers: &HeaderMap) -> Result<ConfigVersion, Wrong> {
    let Some(value) = headers.get("Base-Version") else { return Ok(ConfigVersion(0)) };
    let text = value.to_str().unwrap_or("").trim();
    match u32::from_str_radix(text, 16) {
        Ok(number) if text.len() <= 8 && !text.starts_with('+') => Ok(ConfigVersion(number)),
        _ => {
            // A header may be as long as a head; an answer and its line in the log need not be.
            let found = &text[..text.floor_char_boundary(QUOTED_MOST)];
            bad(format!("Base-Version: {found:?} found, up to eight hexadecimal digits expected"))
        }
    }
}

/// Values are built and dropped by recursion: a body of a few thousand brackets would end the stack, and with
/// it the process.
fn read(body: &[u8]) -> Result<OwnedValue, Wrong> {
    if configuration::exceeds_max_depth(body) {
        return bad(format!("body: nested at most {} deep expected", configuration::MAX_DEPTH));
    }
    let mut bytes = body.to_vec();
    simd_json::to_owned_value(&mut bytes).or_else(|error| bad(format!("body: {error}")))
}

fn text(value: &OwnedValue, at: &str, key: &str) -> Result<String, Wrong> {
    match value.get(key).and_then(|found| found.as_str()) {
        Some(found) if found.len() <= 256 => Ok(found.to_owned()),
        _ => bad(format!("{at}/{key}: a text of at most 256 bytes expected")),
    }
}

fn span(value: &OwnedValue, at: &str, key: &str) -> Result<Micros, Wrong> {
    match value.get(key).and_then(|found| found.cast_f64()) {
        Some(found) if found.is_finite() && found >= 0.0 => Ok(seconds_to_micros(found)),
        _ => bad(format!("{at}/{key}: seconds of 0 or more expected")),
    }
}

/// The body of `Rollouts.Initiate`: service, version, period.
pub fn initiate(body: &[u8]) -> Result<(String, String, Micros), Wrong> {
    let value = read(body)?;
    Ok((
        text(&value, "", "TargetService")?,
        text(&value, "", "TargetVersion")?,
        span(&value, "", "RolloutPeriodS")?,
    ))
}

/// The body of a beat.
pub fn beat(id: InstanceId, body: &[u8]) -> Result<Heartbeat, Wrong> {
    let value = read(body)?;
    let part = |key: &str| match value.get(key) {
        Some(part) if part.is_object() => Ok(part),
        _ => bad(format!("/{key}: an object expected")),
    };
    let (info, status) = (part("NodeInfo")?, part("Status")?);
    let address = text(&value, "", "Address")?;
    let Ok(address) = address.parse::<SocketAddrV4>() else {
        return bad(format!("/Address: {address:?} found, IP:port expected"));
    };
    let draining = match text(status, "/Status", "State")?.as_str() {
        "in_service" => false,
        "draining" => true,
        other => return bad(format!("/Status/State: {other:?} found, in_service or draining expected")),
    };
    let number = |value: &OwnedValue, at: &str, key: &str| match value.get(key).and_then(|n| n.cast_f64()) {
        Some(n) if (0.0..9e15).contains(&n) => Ok(n as u64),
        _ => bad(format!("{at}/{key}: a whole number expected")),
    };
    Ok(Heartbeat {
        id,
        service: text(info, "/NodeInfo", "TargetService")?,
        address,
        zone: text(info, "/NodeInfo", "Zone")?,
        version: text(info, "/NodeInfo", "ConfigVersion")?,
        slots: number(info, "/NodeInfo", "CapacitySlots")?.min(100_000) as u32,
        draining,
        warmup_left: span(status, "/Status", "WarmupLeftS").unwrap_or(0),
        sequence: number(status, "/Status", "CallSequence")?,
    })
}
