//! The operator file: what is switched on beside the platform's configuration. Types derive the reader and the
//! schema; a file is checked against the schema, so that all its faults come together, and then for what a
//! schema can't say. A section that is absent is off.

mod websocket;

use std::fmt;

use jsonschema::error::ValidationErrorKind as Kind;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use websocket::Websocket;

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(title = "garnetdoor operator file")]
pub struct OperatorConfig {
    /// WebSocket upgrades and their sessions; absent: an upgrade is an ordinary ticket.
    #[schemars(with = "Websocket")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub websocket: Option<Websocket>,
}

/// One thing wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Where, as a JSON pointer (RFC 6901).
    pub pointer: String,
    pub found: String,
    pub expected: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let at = if self.pointer.is_empty() { "(file)" } else { &self.pointer };
        write!(to, "{at}: found {}, expected {}", self.found, self.expected)
    }
}

/// The file's JSON schema (draft 2020-12).
pub fn schema() -> Value {
    schemars::schema_for!(OperatorConfig).to_value()
}

/// Reads a file's text; reports all faults together. `profiles` are the names that the platform's configuration
/// knows, or `None` where there is none at hand.
pub fn parse(text: &str, profiles: Option<&[String]>) -> Result<OperatorConfig, Vec<ConfigError>> {
    let whole = |found: String, expected: &str| {
        vec![ConfigError { pointer: String::new(), found, expected: expected.to_owned() }]
    };
    let file: Value =
        serde_json::from_str(text).map_err(|error| whole(error.to_string(), "a JSON object"))?;
    let schema = jsonschema::validator_for(&schema());
    let schema = schema.map_err(|error| whole(error.to_string(), "a schema of this program"))?;
    let mut faults: Vec<ConfigError> =
        schema.iter_errors(&file).flat_map(|error| faults(&file, &error)).collect();
    // What the schema faults is left out, so that the rest is checked all the same and all faults come together.
    let mut rest = file;
    faults.iter().for_each(|fault| remove(&mut rest, &fault.pointer));
    // A number may be whole and still too large for its type; the schema's ranges leave little of that.
    let operator = serde_json::from_value::<OperatorConfig>(rest);
    match operator {
        Ok(operator) => {
            if let Some(websocket) = &operator.websocket {
                faults.extend(websocket.faults(profiles));
            }
            if faults.is_empty() { Ok(operator) } else { Err(faults) }
        }
        Err(error) if faults.is_empty() => Err(whole(error.to_string(), "the types of the schema")),
        Err(_) => Err(faults),
    }
}

/// Takes out what stands at a pointer, if anything does.
fn remove(file: &mut Value, at: &str) {
    let Some((parent, key)) = at.rsplit_once('/') else { return };
    if let Some(object) = file.pointer_mut(parent).and_then(Value::as_object_mut) {
        object.remove(&key.replace("~1", "/").replace("~0", "~"));
    }
}

/// What the schema's checker found, in our words; one fault for each unknown key.
fn faults(file: &Value, error: &jsonschema::ValidationError) -> Vec<ConfigError> {
    let at = error.instance_path().as_str().to_owned();
    let value = file.pointer(&at).map_or_else(|| "nothing".to_owned(), short);
    let fault = |expected: String| vec![ConfigError { pointer: at.clone(), found: value.clone(), expected }];
    match error.kind() {
        Kind::AdditionalProperties { unexpected } => {
            let known = known(&at);
            let near = |key: &str| {
                let best = known.iter().map(|other| (strsim::damerau_levenshtein(key, other), other)).min();
                best.filter(|(distance, _)| *distance <= 3).map(|(_, other)| other)
            };
            let unknown = |key: &String| ConfigError {
                pointer: format!("{at}/{}", key.replace('~', "~0").replace('/', "~1")),
                found: "an unknown key".to_owned(),
                expected: match near(key) {
                    Some(near) => format!("a known one, perhaps {near}"),
                    None => format!("one of {}", known.join(", ")),
                },
            };
            unexpected.iter().map(unknown).collect()
        }
        Kind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let expected = "a value, since there is no default".to_owned();
            vec![ConfigError { pointer: format!("{at}/{key}"), found: "nothing".to_owned(), expected }]
        }
        Kind::Minimum { limit } => fault(format!("{limit} at least")),
        Kind::Maximum { limit } => fault(format!("{limit} at most")),
        Kind::MinItems { limit } => fault(format!("{limit} entries at least")),
        Kind::MaxItems { limit } => fault(format!("{limit} entries at most")),
        Kind::Pattern { pattern } => fault(format!("text like {pattern}")),
        Kind::Type { .. } => fault(
            error
                .to_string()
                .rsplit(" is not of type")
                .next()
                .unwrap_or("")
                .replace('"', "")
                .trim()
                .to_owned(),
        ),
        _ => fault(error.to_string()),
    }
}

/// The keys that the object at a pointer may have.
fn known(at: &str) -> Vec<String> {
    let schema = schema();
    let section = at.trim_start_matches('/');
    let object = match section {
        "" => &schema,
        _ => {
            let name = schema["properties"][section]["$ref"].as_str().unwrap_or_default();
            schema.pointer(name.trim_start_matches('#')).unwrap_or(&Value::Null)
        }
    };
    let keys = object["properties"].as_object().map(|keys| keys.keys().cloned().collect::<Vec<_>>());
    keys.unwrap_or_default()
}

fn short(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= 60 { text } else { text.chars().take(60).chain("…".chars()).collect() }
}
