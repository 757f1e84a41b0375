//! Commands and a seeded random generator for tests.
#![allow(dead_code, reason = "each test file uses some of these")]

use configuration::ConfigVersion;
use control_state::Command;
use types::SECOND;

/// A configuration with one route, one service and the limits.
pub fn text(version: u32, weight: u32) -> Vec<u8> {
    format!(
        r#"{{"ConfigVersion":"{version:08x}","ResourceSet":[
        {{"ResourceType":"RouteTable","HeaderBlock":{{"Name":"r"}},"SpecBody":{{"HostName":"h","PathPrefix":"/",
        "RouteType":"safe","TimeoutS":1,"TargetLatencyS":1,"Priority":1,"MaxAttempts":1,
        "WeightedSplit":[{{"TargetService":"box","Weight":{weight}}}]}}}},
        {{"ResourceType":"ServiceTable","HeaderBlock":{{"Name":"box"}},"SpecBody":{{"HealthPath":"/","MaxConnections":9}}}},
        {{"ResourceType":"LimitSet","SpecBody":{{"MaxHeaderBytes":1,"MaxBodyBytes":1,"HeaderTimeoutS":1,"IdleTimeoutS":1}}}}]}}"#
    )
    .into_bytes()
}

pub fn replace(base: u32, version: u32, weight: u32) -> Command {
    Command::Replace { base: ConfigVersion(base), text: text(version, weight) }
}

/// A change that removes an unknown route, so that only the version changes.
pub fn modify(base: u32, version: u32) -> Command {
    let text = format!(r#"{{"ConfigVersion":"{version:08x}","Remove":{{"RouteTable":["x"]}}}}"#);
    Command::Modify { base: ConfigVersion(base), text: text.into_bytes() }
}

pub fn order(service: &str, target_version: &str) -> Command {
    Command::Rollout { service: service.into(), target_version: target_version.into(), period: 12 * SECOND }
}

pub fn seen(version: &str) -> Command {
    Command::Seen { service: "box".into(), version: version.into() }
}

/// A linear congruential generator.
pub fn seeded_random(mut state: u64) -> impl FnMut() -> u32 {
    move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 33) as u32
    }
}
