//! The HTTP calls that a control node serves, as in `api/openapi.yaml`: parses paths, headers and bodies into typed
//! values. No I/O.

use std::net::SocketAddrV4;

use hyper::{HeaderMap, Method};
use registry::{Heartbeat, InstanceId};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::{ConfigVersion, Micros};

use crate::settings::seconds_to_micros;

/// Every method and path that is served, as named in the OpenAPI file.
pub const SERVED_CALLS: [(&str, &str); 8] = [
    ("post", "/api/Configuration.Replace"),
    ("post", "/api/Configuration.Modify"),
    ("get", "/api/Configuration.Retrieve"),
    ("post", "/api/Rollouts.Initiate"),
    ("get", "/api/Rollouts.Retrieve/{service}"),
    ("post", "/api/Instances.Heartbeat/{id}"),
    ("post", "/api/Instances.Detach/{id}"),
    ("get", "/api/Status"),
];

/// The call that a request's method and path name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiCall {
    ReplaceConfiguration,
    ModifyConfiguration,
    RetrieveConfiguration,
    InitiateRollout,
    RetrieveRollout(String),
    Heartbeat(InstanceId),
    Detach(InstanceId),
    Status,
}

/// Why a request is not a valid call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    #[error("no such call")]
    NotFound,
    #[error("{0}")]
    Invalid(String),
}

/// Maximum number of bytes of an invalid value that an error quotes.
const MAX_QUOTED_BYTES: usize = 80;
/// Maximum length of an id in a path and of a text in a body.
const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of capacity slots of an instance; larger values are reduced to it.
const MAX_CAPACITY_SLOTS: u64 = 100_000;
/// Whole numbers in bodies must be below this, so that a 64-bit float holds them exactly.
const WHOLE_NUMBER_LIMIT: f64 = 9e15;

fn invalid<T>(text: impl Into<String>) -> Result<T, CallError> {
    Err(CallError::Invalid(text.into()))
}

impl ApiCall {
    /// The call that is served under this method and path.
    pub fn from_request(method: &Method, path: &str) -> Result<ApiCall, CallError> {
        let rest = path.strip_prefix("/api/").ok_or(CallError::NotFound)?;
        let (name, id) = rest.split_once('/').map_or((rest, None), |(name, id)| (name, Some(id)));
        let id = id
            .filter(|id| !id.is_empty() && id.len() <= MAX_TEXT_BYTES && !id.contains('/'))
            .map(str::to_owned);
        Ok(match (method, name, id) {
            (&Method::POST, "Configuration.Replace", None) => ApiCall::ReplaceConfiguration,
            (&Method::POST, "Configuration.Modify", None) => ApiCall::ModifyConfiguration,
            (&Method::GET, "Configuration.Retrieve", None) => ApiCall::RetrieveConfiguration,
            (&Method::POST, "Rollouts.Initiate", None) => ApiCall::InitiateRollout,
            (&Method::GET, "Rollouts.Retrieve", Some(id)) => ApiCall::RetrieveRollout(id),
            (&Method::POST, "Instances.Heartbeat", Some(id)) => ApiCall::Heartbeat(InstanceId(id)),
            (&Method::POST, "Instances.Detach", Some(id)) => ApiCall::Detach(InstanceId(id)),
            (&Method::GET, "Status", None) => ApiCall::Status,
            _ => return Err(CallError::NotFound),
        })
    }
}

/// The configuration version that a change is based on, from the header `Base-Version`; 0, the first, if it is absent.
pub fn parse_base_version(headers: &HeaderMap) -> Result<ConfigVersion, CallError> {
    let Some(value) = headers.get("Base-Version") else { return Ok(ConfigVersion(0)) };
    let text = value.to_str().unwrap_or("").trim();
    match u32::from_str_radix(text, 16) {
        Ok(number) if text.len() <= 8 && !text.starts_with('+') => Ok(ConfigVersion(number)),
        _ => {
            // A header may be as long as a whole request head; the answer and its log line must stay short.
            let found = &text[..text.floor_char_boundary(MAX_QUOTED_BYTES)];
            invalid(format!("Base-Version: {found:?} found, up to eight hexadecimal digits expected"))
        }
    }
}

/// Parses a body as JSON. Its depth is limited since values are built and dropped by recursion: a body of a few
/// thousand brackets would overflow the stack and so end the process.
fn parse_json(body: &[u8]) -> Result<OwnedValue, CallError> {
    if configuration::exceeds_max_depth(body) {
        return invalid(format!("body: nested at most {} deep expected", configuration::MAX_DEPTH));
    }
    let mut bytes = body.to_vec();
    simd_json::to_owned_value(&mut bytes).or_else(|error| invalid(format!("body: {error}")))
}

fn text_field(value: &OwnedValue, parent: &str, key: &str) -> Result<String, CallError> {
    match value.get(key).and_then(|found| found.as_str()) {
        Some(found) if found.len() <= MAX_TEXT_BYTES => Ok(found.to_owned()),
        _ => invalid(format!("{parent}/{key}: a text of at most {MAX_TEXT_BYTES} bytes expected")),
    }
}

fn duration_field(value: &OwnedValue, parent: &str, key: &str) -> Result<Micros, CallError> {
    match value.get(key).and_then(|found| found.cast_f64()) {
        Some(found) if found.is_finite() && found >= 0.0 => Ok(seconds_to_micros(found)),
        _ => invalid(format!("{parent}/{key}: seconds of 0 or more expected")),
    }
}

/// Parses the body of `Rollouts.Initiate`: the service, its target version, and the rollout period.
pub fn parse_rollout_order(body: &[u8]) -> Result<(String, String, Micros), CallError> {
    let value = parse_json(body)?;
    Ok((
        text_field(&value, "", "TargetService")?,
        text_field(&value, "", "TargetVersion")?,
        duration_field(&value, "", "RolloutPeriodS")?,
    ))
}

/// Parses the body of `Instances.Heartbeat`.
pub fn parse_heartbeat(id: InstanceId, body: &[u8]) -> Result<Heartbeat, CallError> {
    let value = parse_json(body)?;
    let object = |key: &str| match value.get(key) {
        Some(object) if object.is_object() => Ok(object),
        _ => invalid(format!("/{key}: an object expected")),
    };
    let (info, status) = (object("NodeInfo")?, object("Status")?);
    let address = text_field(&value, "", "Address")?;
    let Ok(address) = address.parse::<SocketAddrV4>() else {
        return invalid(format!("/Address: {address:?} found, IP:port expected"));
    };
    let draining = match text_field(status, "/Status", "State")?.as_str() {
        "in_service" => false,
        "draining" => true,
        other => {
            return invalid(format!("/Status/State: {other:?} found, in_service or draining expected"));
        }
    };
    let whole_number = |value: &OwnedValue, parent: &str, key: &str| match value
        .get(key)
        .and_then(|number| number.cast_f64())
    {
        Some(number) if (0.0..WHOLE_NUMBER_LIMIT).contains(&number) => Ok(number as u64),
        _ => invalid(format!("{parent}/{key}: a whole number expected")),
    };
    Ok(Heartbeat {
        id,
        service: text_field(info, "/NodeInfo", "TargetService")?,
        address,
        zone: text_field(info, "/NodeInfo", "Zone")?,
        version: text_field(info, "/NodeInfo", "ConfigVersion")?,
        slots: whole_number(info, "/NodeInfo", "CapacitySlots")?.min(MAX_CAPACITY_SLOTS) as u32,
        draining,
        warmup_left: duration_field(status, "/Status", "WarmupLeftS").unwrap_or(0),
        sequence: whole_number(status, "/Status", "CallSequence")?,
    })
}
