//! Targets: one for each reader of bytes of the system, with its contract.

mod calls;
mod disk;
mod orders;
mod stream;
mod texts;
mod words;

pub use calls::{BeatCall, HeadCall, OrderCall};
pub use disk::{LedgerStore, NoteFile, RedbFile};
pub use orders::{Commands, State};
pub use stream::Stream;
pub use texts::{ModifyText, ReplaceText, ScenarioText, SettingsText};
pub use words::Words;

use crate::{Signature, Target};

/// All of them.
pub fn all() -> Vec<Box<dyn Target>> {
    vec![
        Box::new(Words::new()),
        Box::new(Stream::new()),
        Box::new(LedgerStore),
        Box::new(RedbFile::new()),
        Box::new(NoteFile),
        Box::new(State::new()),
        Box::new(Commands),
        Box::new(ReplaceText),
        Box::new(ModifyText::new()),
        Box::new(BeatCall),
        Box::new(OrderCall),
        Box::new(HeadCall),
        Box::new(SettingsText),
        Box::new(ScenarioText),
    ]
}

/// A sound configuration.
pub const BILL: &str = r#"{"ConfigVersion":"00000002","ResourceSet":[
 {"ResourceType":"RouteTable","HeaderBlock":{"Name":"r"},"SpecBody":{"HostName":"h.example",
  "PathPrefix":"/a/",
  "RouteType":"safe","TimeoutS":1,"TargetLatencyS":0.25,"Priority":2,"TargetService":"s","MaxAttempts":2}},
 {"ResourceType":"RouteTable","HeaderBlock":{"Name":"w"},"SpecBody":{"HostName":"h.example","PathPrefix":"/",
  "RouteType":"upload","TimeoutS":5.5,"TargetLatencyS":1,"Priority":0,
  "WeightedSplit":[{"TargetService":"s","Weight":3},{"TargetService":"t","Weight":0.5}],"MaxAttempts":1}},
 {"ResourceType":"ServiceTable","HeaderBlock":{"Name":"s"},"SpecBody":{"HealthPath":"/health",
  "MaxConnections":9,"Protocol":"h1","Tls":false}},
 {"ResourceType":"ServiceTable","HeaderBlock":{"Name":"t"},"SpecBody":{"HealthPath":"/","MaxConnections":9}},
 {"ResourceType":"Unknown","HeaderBlock":{"Name":"k\u00e9"},"SpecBody":{"x":[1.5e3,null,true,{"y":"\n"}]}},
 {"ResourceType":"LimitSet","HeaderBlock":{},"SpecBody":{"MaxHeaderBytes":16384,
  "MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}]}"#;

/// A sound change of it.
pub const CHANGE: &str = r#"{"ConfigVersion":"00000003","Remove":{"RouteTable":["r"],"Unknown":["z"]},
 "Upsert":{"ResourceSet":[
 {"ResourceType":"ServiceTable","HeaderBlock":{"Name":"t"},"SpecBody":{"HealthPath":"/t","MaxConnections":0}},
 {"ResourceType":"RouteTable","HeaderBlock":{"Name":"n"},"SpecBody":{"HostName":"H.example:80",
  "PathPrefix":"/n/","RouteType":"unsafe","TimeoutS":1e1,"TargetLatencyS":0.25,"Priority":2,
  "TargetService":"t","MaxAttempts":2}}]}}"#;

/// Names that faults' places are made of; any other name comes from the input and says nothing new.
const KNOWN: [&str; 28] = [
    "ConfigVersion",
    "ResourceSet",
    "ResourceType",
    "HeaderBlock",
    "Name",
    "SpecBody",
    "HostName",
    "PathPrefix",
    "RouteType",
    "TimeoutS",
    "TargetLatencyS",
    "Priority",
    "TargetService",
    "TargetVersion",
    "RolloutPeriodS",
    "WeightedSplit",
    "Weight",
    "MaxAttempts",
    "HealthPath",
    "MaxConnections",
    "MaxHeaderBytes",
    "MaxBodyBytes",
    "HeaderTimeoutS",
    "IdleTimeoutS",
    "Remove",
    "Upsert",
    "RouteTable",
    "ServiceTable",
];

fn mark_faults(signature: &mut Signature, faults: &configuration::Faults) {
    signature.bucket("faults", (faults.list.len() + faults.omitted) as u64);
    for fault in &faults.list {
        let pieces = fault.place.split(|byte: char| !byte.is_ascii_alphanumeric());
        let place: Vec<&str> = pieces.filter(|piece| KNOWN.contains(piece)).collect();
        let expected = fault.expected.split(';').next().unwrap_or("");
        // An answer's own words; what follows a semicolon is what was found.
        signature.text("fault", &format!("{} {}", place.join("."), expected));
    }
}
