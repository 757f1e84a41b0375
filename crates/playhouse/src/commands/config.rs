//! `config`: prints, compares and changes the configuration in force.

use std::path::{Path, PathBuf};

use configuration::Configuration;
use hyper::{Method, StatusCode};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::ConfigVersion;

use super::call::{Target, require_ok};
use super::{CommandError, CommandResult, print, print_json, read, text};
use crate::demo::client::HttpRequest;
use crate::demo::operator::{ConfigurationItems, parse_items, parse_json};

#[derive(Debug, clap::Subcommand)]
pub enum Config {
    /// Print the newest configuration, as read from a leader that has confirmed its leadership.
    Get {
        #[command(flatten)]
        target: Target,
    },
    /// Compare the configuration in force with a file: a whole configuration, or a change (Upsert, Remove). Exit code 1
    /// if they differ.
    Diff {
        #[command(flatten)]
        target: Target,
        /// The file (JSON); - is standard input.
        file: PathBuf,
    },
    /// Apply a file: a whole configuration, or a change (Upsert, Remove).
    Apply {
        #[command(flatten)]
        target: Target,
        /// The file (JSON); - is standard input.
        file: PathBuf,
        /// The version that the change is based on, in hexadecimal; default: the version in force. Give it if others may
        /// change the configuration too: of two changes on the same base only one is accepted.
        #[arg(long, value_name = "V", value_parser = version)]
        base: Option<ConfigVersion>,
    },
}

/// Parses a configuration version.
fn version(text: &str) -> Result<ConfigVersion, String> {
    configuration::parse_base_version(text)
        .ok_or_else(|| "one to eight hexadecimal digits expected".to_owned())
}

impl Config {
    pub async fn run(&self) -> CommandResult {
        match self {
            Config::Get { target } => match current(target).await? {
                Some(text) => print(&text),
                None => Err(CommandError::Refused {
                    status: 404,
                    text: "no configuration has been taken yet".into(),
                }),
            },
            Config::Diff { target, file } => diff(target, file).await,
            Config::Apply { target, file, base } => apply(target, file, *base).await,
        }
    }
}

/// The configuration in force; `None` before the first.
async fn current(target: &Target) -> Result<Option<Vec<u8>>, CommandError> {
    let response = target.send(&HttpRequest::new(Method::GET, "/api/Configuration.Retrieve")).await?;
    if response.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    Ok(Some(require_ok(response)?.body.to_vec()))
}

/// Whether a file holds a whole configuration (true) or a change of named items (false).
fn is_whole(path: &Path, bytes: &[u8]) -> Result<bool, CommandError> {
    let value =
        parse_json(bytes).ok_or_else(|| CommandError::Usage(format!("{}: it is no JSON", path.display())))?;
    let changes = value.get("Upsert").is_some() || value.get("Remove").is_some();
    Ok(value.get("ResourceSet").is_some() || !changes)
}

/// The whole configuration that applying the file would give, validated locally.
fn resulting(path: &Path, bytes: &[u8], current_text: Option<&[u8]>) -> Result<Vec<u8>, CommandError> {
    let invalid =
        |faults: configuration::Faults| CommandError::Usage(format!("{}: {faults}", path.display()));
    if is_whole(path, bytes)? {
        return Configuration::parse(bytes).map(|configuration| configuration.to_json()).map_err(invalid);
    }
    let changed = match current_text {
        Some(current_text) => {
            Configuration::parse(current_text).and_then(|configuration| configuration.with_change(bytes))
        }
        None => Configuration::from_change(bytes),
    };
    changed.map(|configuration| configuration.to_json()).map_err(invalid)
}

/// One item that differs; `sign` is `+` (added), `-` (removed) or `~` (changed).
struct Difference {
    sign: char,
    kind: String,
    name: String,
    before: Option<OwnedValue>,
    after: Option<OwnedValue>,
}

/// The items that differ, ordered by kind and name.
fn differences(before: &ConfigurationItems, after: &ConfigurationItems) -> Vec<Difference> {
    let mut keys: Vec<_> = before.items.keys().chain(after.items.keys()).collect();
    keys.sort();
    keys.dedup();
    let difference = |key: &(String, String)| {
        let (old, new) = (before.items.get(key).cloned(), after.items.get(key).cloned());
        let sign = match (&old, &new) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        let (kind, name) = key.clone();
        (old != new).then_some(Difference { sign, kind, name, before: old, after: new })
    };
    keys.into_iter().filter_map(difference).collect()
}

/// Appends a line for each field in which two values differ: path, old value, new value.
fn append_changed_fields(path: &str, before: &OwnedValue, after: &OwnedValue, out: &mut String) {
    if before == after {
        return;
    }
    let (Some(old), Some(new)) = (before.as_object(), after.as_object()) else {
        out.push_str(&format!("    {path}: {} -> {}\n", before.encode(), after.encode()));
        return;
    };
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let path = join_path(path, key);
        match (old.get(key), new.get(key)) {
            (Some(old), Some(new)) => append_changed_fields(&path, old, new, out),
            (Some(old), None) => out.push_str(&format!("    {path}: {} -> nothing\n", old.encode())),
            (None, Some(new)) => out.push_str(&format!("    {path}: nothing -> {}\n", new.encode())),
            (None, None) => {}
        }
    }
}

/// Appends a line for each field of an item that is added or removed.
fn append_fields(path: &str, value: &OwnedValue, out: &mut String) {
    let Some(object) = value.as_object().filter(|object| !object.is_empty()) else {
        return out.push_str(&format!("    {path}: {}\n", value.encode()));
    };
    let mut keys: Vec<&String> = object.keys().collect();
    keys.sort();
    for key in keys {
        append_fields(&join_path(path, key), &object[key], out);
    }
}

/// A field path with one more key.
fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// Prints the differences between the configuration in force and the one that a file would give.
async fn diff(target: &Target, path: &Path) -> CommandResult {
    let bytes = read(path)?;
    let current_text = current(target).await?;
    let result = resulting(path, &bytes, current_text.as_deref())?;
    let empty = ConfigurationItems { version: "00000000".to_owned(), items: Default::default() };
    let unreadable = || CommandError::NoAnswer("the configuration in force can't be compared".to_owned());
    let before = match &current_text {
        Some(text) => parse_items(text).ok_or_else(unreadable)?,
        None => empty,
    };
    let after = parse_items(&result).ok_or_else(unreadable)?;
    let found = differences(&before, &after);
    if target.json {
        let list: Vec<OwnedValue> = (found.iter())
            .map(|difference| {
                simd_json::json!({
                    "Sign": difference.sign.to_string(), "ResourceType": difference.kind.clone(),
                    "Name": difference.name.clone(), "Before": difference.before.clone(), "After": difference.after.clone(),
                })
            })
            .collect();
        print_json(&simd_json::json!({
            "From": before.version.clone(), "To": after.version.clone(), "Differences": list,
        }))?;
    } else {
        let mut out = format!("{} in force, {} in {}\n", before.version, after.version, path.display());
        for difference in &found {
            out.push_str(&format!("{} {} {}\n", difference.sign, difference.kind, difference.name));
            match (&difference.before, &difference.after) {
                (Some(before), Some(after)) => append_changed_fields("", before, after, &mut out),
                (before, after) => {
                    for value in before.iter().chain(after) {
                        append_fields("", value, &mut out);
                    }
                }
            }
        }
        if found.is_empty() {
            out.push_str("no difference\n");
        }
        print(out.as_bytes())?;
    }
    if found.is_empty() { Ok(()) } else { Err(CommandError::CheckFailed) }
}

/// Applies a file on top of `base`, or of the version in force.
async fn apply(target: &Target, path: &Path, base: Option<ConfigVersion>) -> CommandResult {
    let bytes = read(path)?;
    let operation = if is_whole(path, &bytes)? { "Replace" } else { "Modify" };
    let base = match base {
        Some(base) => base,
        None => match current(target).await? {
            Some(text) => {
                Configuration::parse(&text).map(|configuration| configuration.version).map_err(|faults| {
                    CommandError::NoAnswer(format!("the configuration in force can't be read: {faults}"))
                })?
            }
            None => ConfigVersion(0),
        },
    };
    let new_version =
        parse_json(&bytes).map(|value| text(&value, "ConfigVersion").to_owned()).unwrap_or_default();
    let request = HttpRequest::new(Method::POST, &format!("/api/Configuration.{operation}"));
    let request = request.with_header("Base-Version", base.to_string()).json(bytes);
    require_ok(target.send(&request).await?)?;
    if target.json {
        return print_json(&simd_json::json!({ "Taken": new_version, "Base": base.to_string() }));
    }
    print(format!("{new_version} is taken, on top of {base}\n").as_bytes())
}
