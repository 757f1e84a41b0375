//! The operator file: optional features that an operator enables beside the platform's configuration.
//!
//! Both the parser and the JSON schema are derived from the types. A file is first validated against the schema, so that
//! all errors are reported together, and then checked for what a schema can't express. A section that is absent disables
//! its feature.

mod websocket;

use std::fmt;

use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

pub use websocket::Websocket;

/// The largest edit distance (Damerau-Levenshtein) at which a known key is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;
/// Characters of a wrong value that an error shows.
const MAX_FOUND_CHARS: usize = 60;

/// The operator file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(title = "garnetdoor operator file")]
pub struct OperatorConfig {
    /// WebSocket upgrades and their sessions. Without this section an upgrade is handled as an ordinary request.
    #[schemars(with = "Websocket")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub websocket: Option<Websocket>,
}

/// An error in an operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The place of the error, as a JSON pointer (RFC 6901); empty for the file as a whole.
    pub pointer: String,
    pub found: String,
    pub expected: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let place = if self.pointer.is_empty() { "(file)" } else { &self.pointer };
        write!(formatter, "{place}: found {}, expected {}", self.found, self.expected)
    }
}

/// The JSON schema of the operator file (draft 2020-12).
pub fn schema() -> Value {
    schemars::schema_for!(OperatorConfig).to_value()
}

/// Parses a file and reports all errors together. `profiles` are the names of the profiles in the platform's
/// configuration, or `None` where it is not available, in which case profile names are not checked.
pub fn parse(text: &str, profiles: Option<&[String]>) -> Result<OperatorConfig, Vec<ConfigError>> {
    let file_error = |found: String, expected: &str| {
        vec![ConfigError { pointer: String::new(), found, expected: expected.to_owned() }]
    };
    let file: Value =
        serde_json::from_str(text).map_err(|error| file_error(error.to_string(), "a JSON object"))?;
    let validator = jsonschema::validator_for(&schema());
    let validator = validator.map_err(|error| file_error(error.to_string(), "a schema of this program"))?;
    let mut errors: Vec<ConfigError> =
        validator.iter_errors(&file).flat_map(|error| config_errors(&file, &error)).collect();
    // What the schema rejects is removed, so that the rest can still be checked and all errors are reported together.
    let mut remaining = file;
    errors.iter().for_each(|error| remove(&mut remaining, &error.pointer));
    // Fails on a number that is too large for its type, which the ranges in the schema mostly exclude.
    match serde_json::from_value::<OperatorConfig>(remaining) {
        Ok(config) => {
            if let Some(websocket) = &config.websocket {
                errors.extend(websocket.check(profiles));
            }
            if errors.is_empty() { Ok(config) } else { Err(errors) }
        }
        Err(error) if errors.is_empty() => Err(file_error(error.to_string(), "the types of the schema")),
        Err(_) => Err(errors),
    }
}

/// Removes the object entry at a pointer, if there is one.
fn remove(file: &mut Value, pointer: &str) {
    let Some((parent, key)) = pointer.rsplit_once('/') else { return };
    if let Some(object) = file.pointer_mut(parent).and_then(Value::as_object_mut) {
        object.remove(&unescape_pointer(key));
    }
}

/// Escapes a key for use in a JSON pointer.
fn escape_pointer(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

fn unescape_pointer(key: &str) -> String {
    key.replace("~1", "/").replace("~0", "~")
}

/// Rewords an error of the schema validator for operators; an object's unknown keys are an error each.
fn config_errors(file: &Value, error: &jsonschema::ValidationError) -> Vec<ConfigError> {
    let pointer = error.instance_path().as_str().to_owned();
    let expected = match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            return unknown_key_errors(&pointer, unexpected);
        }
        ValidationErrorKind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let expected = "a value, since there is no default".to_owned();
            let pointer = format!("{pointer}/{key}");
            return vec![ConfigError { pointer, found: "nothing".to_owned(), expected }];
        }
        ValidationErrorKind::Minimum { limit } => format!("{limit} at least"),
        ValidationErrorKind::Maximum { limit } => format!("{limit} at most"),
        ValidationErrorKind::MinItems { limit } => format!("{limit} entries at least"),
        ValidationErrorKind::MaxItems { limit } => format!("{limit} entries at most"),
        ValidationErrorKind::Pattern { pattern } => format!("text like {pattern}"),
        ValidationErrorKind::Type { .. } => expected_types(&error.to_string()),
        _ => error.to_string(),
    };
    let found = file.pointer(&pointer).map_or_else(|| "nothing".to_owned(), shortened);
    vec![ConfigError { pointer, found, expected }]
}

/// The types in the validator's message `... is not of type "integer"`, without quotes.
fn expected_types(message: &str) -> String {
    message.rsplit(" is not of type").next().unwrap_or("").replace('"', "").trim().to_owned()
}

/// The errors for unknown keys of the object at a pointer, each with the most similar known key if there is one.
fn unknown_key_errors(pointer: &str, unknown: &[String]) -> Vec<ConfigError> {
    let known = known_keys(pointer);
    let most_similar = |key: &str| {
        let best = known.iter().map(|other| (strsim::damerau_levenshtein(key, other), other)).min();
        best.filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE).map(|(_, other)| other)
    };
    let unknown_key_error = |key: &String| ConfigError {
        pointer: format!("{pointer}/{}", escape_pointer(key)),
        found: "an unknown key".to_owned(),
        expected: match most_similar(key) {
            Some(similar) => format!("a known one, perhaps {similar}"),
            None => format!("one of {}", known.join(", ")),
        },
    };
    unknown.iter().map(unknown_key_error).collect()
}

/// The keys that the object at a pointer may have.
fn known_keys(pointer: &str) -> Vec<String> {
    let schema = schema();
    let section = pointer.trim_start_matches('/');
    let object = match section {
        "" => &schema,
        _ => {
            let reference = schema["properties"][section]["$ref"].as_str().unwrap_or_default();
            schema.pointer(reference.trim_start_matches('#')).unwrap_or(&Value::Null)
        }
    };
    let keys = object["properties"].as_object().map(|keys| keys.keys().cloned().collect::<Vec<_>>());
    keys.unwrap_or_default()
}

/// A value as JSON text, cut off after [`MAX_FOUND_CHARS`].
fn shortened(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_FOUND_CHARS {
        text
    } else {
        text.chars().take(MAX_FOUND_CHARS).chain("…".chars()).collect()
    }
}
