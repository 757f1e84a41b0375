//! What control is called with: bodies of beats and orders, and heads.

use configuration::RolloutOrder;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method};
use playhouse::api::{self, ApiCall, CallError};
use registry::{Heartbeat, InstanceId};
use simd_json::json;
use simd_json::prelude::*;

use super::mark_faults;
use crate::{Cost, Shape, Signature, Target};

const BEAT: &str = r#"{"Address":"10.0.0.9:80","NodeInfo":{"TargetService":"s","ConfigVersion":"v1","Zone":"z",
 "CapacitySlots":3},"Status":{"State":"in_service","CallSequence":4,"WarmupLeftS":1.5}}"#;
const ORDER: &str = r#"{"TargetService":"s","TargetVersion":"v2","RolloutPeriodS":12.5}"#;

fn wrong(signature: &mut Signature, wrong: &CallError) {
    match wrong {
        CallError::NotFound => signature.mark("no such", 1),
        CallError::Invalid(why) => {
            assert!(why.len() < 4_096, "a refusal is short: {}", why.len());
            // Between the outermost quotes stands what was found.
            let told = why.split_once('"').map_or(&**why, |(told, _)| told);
            signature.text("bad", told);
            signature.text("expected", why.rsplit_once('"').map_or("", |(_, expected)| expected));
        }
    }
}

pub struct BeatCall;

/// A beat as an instance would write it.
fn written(beat: &Heartbeat) -> Vec<u8> {
    let value = json!({
        "Address": beat.address.to_string(),
        "NodeInfo": {
            "TargetService": beat.service.clone(),
            "ConfigVersion": beat.version.clone(),
            "Zone": beat.zone.clone(),
            "CapacitySlots": beat.slots,
        },
        "Status": {
            "State": if beat.draining { "draining" } else { "in_service" },
            "CallSequence": beat.sequence,
            "WarmupLeftS": beat.warmup_left as f64 / 1e6,
        },
    });
    value.encode().into_bytes()
}

impl Target for BeatCall {
    fn name(&self) -> &'static str {
        "beat"
    }

    fn shape(&self) -> Shape {
        Shape::Json
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        vec![BEAT.into(), BEAT.replace("in_service", "draining").into()]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 64 << 10, each: 160 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        match api::parse_heartbeat(InstanceId("i".into()), input) {
            Ok(beat) => {
                let again =
                    api::parse_heartbeat(beat.id.clone(), &written(&beat)).expect("it can be written again");
                assert!((again.warmup_left - beat.warmup_left).abs() <= 1, "seconds are told as micros");
                let again = Heartbeat { warmup_left: beat.warmup_left, ..again };
                assert_eq!(again, beat, "it reads back the same");
                signature.mark("draining", u64::from(beat.draining));
                signature.bucket("slots", u64::from(beat.slots));
                signature.bucket("sequence", beat.sequence);
                signature.bucket("warm", beat.warmup_left.unsigned_abs());
                for text in [&beat.service, &beat.version, &beat.zone] {
                    signature.bucket("text", text.len() as u64);
                }
            }
            Err(why) => wrong(&mut signature, &why),
        }
        signature
    }
}

pub struct OrderCall;

impl Target for OrderCall {
    fn name(&self) -> &'static str {
        "order"
    }

    fn shape(&self) -> Shape {
        Shape::Json
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        vec![ORDER.into()]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 64 << 10, each: 160 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        match api::parse_rollout_order(input) {
            Ok((service, target, period)) => {
                assert!(service.len() <= 256 && target.len() <= 256 && period >= 0);
                signature.bucket("service", service.len() as u64);
                signature.bucket("target", target.len() as u64);
                signature.bucket("period", period.unsigned_abs());
                let text = json!({"TargetService": service.clone(), "TargetVersion": target.clone(),
                    "RolloutPeriodS": period as f64 / 1e6});
                let again =
                    api::parse_rollout_order(text.encode().as_bytes()).expect("it can be written again");
                assert_eq!((again.0, again.1), (service, target), "it reads back the same");
            }
            Err(why) => wrong(&mut signature, &why),
        }
        // The other reader of the same body tells all faults at once.
        match RolloutOrder::parse(input) {
            Ok(order) => {
                assert!(!order.service.is_empty() && !order.target_version.is_empty() && order.period >= 0)
            }
            Err(faults) => {
                assert!(!faults.is_empty() && !faults.to_json().is_empty(), "a refusal says why");
                mark_faults(&mut signature, &faults);
            }
        }
        signature
    }
}

/// A request's first line and the header `Base-Version`: lines of method, path, value.
pub struct HeadCall;

impl Target for HeadCall {
    fn name(&self) -> &'static str {
        "head"
    }

    fn shape(&self) -> Shape {
        Shape::Toml
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let served = api::SERVED_CALLS.iter();
        let lines = served.map(|(method, path)| format!("{}\n{path}\n0000001f", method.to_uppercase()));
        lines.map(String::into_bytes).collect()
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 16 << 10, each: 16 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let mut lines = input.split(|byte| *byte == b'\n');
        let mut line = || lines.next().unwrap_or(&[]);
        let (method, path, value) = (line(), line(), line());
        if let (Ok(method), Ok(path)) = (Method::from_bytes(method), std::str::from_utf8(path)) {
            match ApiCall::from_request(&method, path) {
                Ok(call) => {
                    let id = match &call {
                        ApiCall::RetrieveRollout(id)
                        | ApiCall::Heartbeat(InstanceId(id))
                        | ApiCall::Detach(InstanceId(id)) => id,
                        _ => "",
                    };
                    assert!(id.len() <= 256 && !id.contains('/'), "{id}");
                    signature.bucket("id", id.len() as u64);
                    signature.text("call", format!("{call:?}").split('(').next().unwrap_or(""));
                }
                Err(why) => wrong(&mut signature, &why),
            }
        }
        if let Ok(value) = HeaderValue::from_bytes(value) {
            match api::parse_base_version(&HeaderMap::from_iter([(
                hyper::header::HeaderName::from_static("base-version"),
                value,
            )])) {
                Ok(version) => {
                    assert_eq!(
                        configuration::parse_version(&version.to_string()),
                        Some(version),
                        "it reads back the same"
                    );
                    signature.bucket("base", u64::from(version.0));
                }
                Err(why) => wrong(&mut signature, &why),
            }
        }
        signature
    }
}
