//! `config`: the configuration in force, got, compared and changed.

use std::path::{Path, PathBuf};

use configuration::Configuration;
use hyper::{Method, StatusCode};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::ConfigVersion;

use super::call::{Target, good};
use super::{CommandError, CommandResult, print, print_json, read, text};
use crate::demo::client::HttpRequest;
use crate::demo::operator::{ConfigurationItems, parse_items, parse_json};

#[derive(Debug, clap::Subcommand)]
pub enum Config {
    /// Print the newest configuration, as a leader that has proved that it leads gives it.
    Get {
        #[command(flatten)]
        at: Target,
    },
    /// Compare the configuration in force with a file: a whole one, or a change (Upsert, Remove) to be made.
    /// Exit code 1 where they differ.
    Diff {
        #[command(flatten)]
        at: Target,
        /// The file (JSON); - is standard input.
        file: PathBuf,
    },
    /// Put a file in force: a whole configuration, or a change (Upsert, Remove).
    Apply {
        #[command(flatten)]
        at: Target,
        /// The file (JSON); - is standard input.
        file: PathBuf,
        /// The version that it builds on, in hexadecimal; without it, the one in force now. Give it where
        /// others may change the configuration too: of two changes on one base only one is taken.
        #[arg(long, value_name = "V", value_parser = version)]
        base: Option<ConfigVersion>,
    },
}

fn version(text: &str) -> Result<ConfigVersion, String> {
    configuration::parse_base_version(text)
        .ok_or_else(|| "one to eight hexadecimal digits expected".to_owned())
}

impl Config {
    pub async fn run(&self) -> CommandResult {
        match self {
            Config::Get { at } => match current(at).await? {
                Some(text) => print(&text),
                None => Err(CommandError::Refused {
                    status: 404,
                    text: "no configuration has been taken yet".into(),
                }),
            },
            Config::Diff { at, file } => diff(at, file).await,
            Config::Apply { at, file, base } => apply(at, file, *base).await,
        }
    }
}

/// The configuration in force; `None` before the first.
async fn current(at: &Target) -> Result<Option<Vec<u8>>, CommandError> {
    let answer = at.send(&HttpRequest::new(Method::GET, "/api/Configuration.Retrieve")).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    Ok(Some(good(answer)?.body.to_vec()))
}

/// A whole configuration, or a change of named items.
fn is_whole(path: &Path, bytes: &[u8]) -> Result<bool, CommandError> {
    let value =
        parse_json(bytes).ok_or_else(|| CommandError::Usage(format!("{}: it is no JSON", path.display())))?;
    let changes = value.get("Upsert").is_some() || value.get("Remove").is_some();
    Ok(value.get("ResourceSet").is_some() || !changes)
}

/// The whole that a file would make, checked here.
fn meant(path: &Path, bytes: &[u8], now: Option<&[u8]>) -> Result<Vec<u8>, CommandError> {
    let bad = |faults: configuration::Faults| CommandError::Usage(format!("{}: {faults}", path.display()));
    if is_whole(path, bytes)? {
        return Configuration::parse(bytes).map(|bill| bill.to_json()).map_err(bad);
    }
    let made = match now {
        Some(now) => Configuration::parse(now).and_then(|bill| bill.with_change(bytes)),
        None => Configuration::from_change(bytes),
    };
    made.map(|bill| bill.to_json()).map_err(bad)
}

/// One item that differs.
struct Differs {
    sign: char,
    kind: String,
    name: String,
    before: Option<OwnedValue>,
    after: Option<OwnedValue>,
}

fn differences(before: &ConfigurationItems, after: &ConfigurationItems) -> Vec<Differs> {
    let mut keys: Vec<_> = before.items.keys().chain(after.items.keys()).collect();
    keys.sort();
    keys.dedup();
    let differs = |key: &(String, String)| {
        let (was, is) = (before.items.get(key).cloned(), after.items.get(key).cloned());
        let sign = match (&was, &is) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        let (kind, name) = key.clone();
        (was != is).then_some(Differs { sign, kind, name, before: was, after: is })
    };
    keys.into_iter().filter_map(differs).collect()
}

/// The fields in which two values differ, a line each: its path, what it was, what it is.
fn fields(path: &str, before: &OwnedValue, after: &OwnedValue, out: &mut String) {
    if before == after {
        return;
    }
    let (Some(was), Some(is)) = (before.as_object(), after.as_object()) else {
        out.push_str(&format!("    {path}: {} -> {}\n", before.encode(), after.encode()));
        return;
    };
    let mut keys: Vec<&String> = was.keys().chain(is.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let path = joined(path, key);
        match (was.get(key), is.get(key)) {
            (Some(was), Some(is)) => fields(&path, was, is, out),
            (Some(was), None) => out.push_str(&format!("    {path}: {} -> nothing\n", was.encode())),
            (None, Some(is)) => out.push_str(&format!("    {path}: nothing -> {}\n", is.encode())),
            (None, None) => {}
        }
    }
}

/// All fields of an item that comes or goes.
fn leaves(path: &str, value: &OwnedValue, out: &mut String) {
    let Some(object) = value.as_object().filter(|object| !object.is_empty()) else {
        return out.push_str(&format!("    {path}: {}\n", value.encode()));
    };
    let mut keys: Vec<&String> = object.keys().collect();
    keys.sort();
    for key in keys {
        leaves(&joined(path, key), &object[key], out);
    }
}

fn joined(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

async fn diff(at: &Target, path: &Path) -> CommandResult {
    let bytes = read(path)?;
    let now = current(at).await?;
    let meant = meant(path, &bytes, now.as_deref())?;
    let nothing = ConfigurationItems { version: "00000000".to_owned(), items: Default::default() };
    let unreadable = || CommandError::NoAnswer("the configuration in force can't be compared".to_owned());
    let before = match &now {
        Some(text) => parse_items(text).ok_or_else(unreadable)?,
        None => nothing,
    };
    let after = parse_items(&meant).ok_or_else(unreadable)?;
    let found = differences(&before, &after);
    if at.json {
        let list: Vec<OwnedValue> = (found.iter())
            .map(|differs| {
                simd_json::json!({
                    "Sign": differs.sign.to_string(), "ResourceType": differs.kind.clone(),
                    "Name": differs.name.clone(), "Before": differs.before.clone(), "After": differs.after.clone(),
                })
            })
            .collect();
        print_json(&simd_json::json!({
            "From": before.version.clone(), "To": after.version.clone(), "Differences": list,
        }))?;
    } else {
        let mut out = format!("{} in force, {} in {}\n", before.version, after.version, path.display());
        for differs in &found {
            out.push_str(&format!("{} {} {}\n", differs.sign, differs.kind, differs.name));
            match (&differs.before, &differs.after) {
                (Some(before), Some(after)) => fields("", before, after, &mut out),
                (one, other) => {
                    for value in one.iter().chain(other) {
                        leaves("", value, &mut out);
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

async fn apply(at: &Target, path: &Path, base: Option<ConfigVersion>) -> CommandResult {
    let bytes = read(path)?;
    let call = if is_whole(path, &bytes)? { "Replace" } else { "Modify" };
    let base = match base {
        Some(base) => base,
        None => match current(at).await? {
            Some(text) => Configuration::parse(&text).map(|bill| bill.version).map_err(|faults| {
                CommandError::NoAnswer(format!("the configuration in force can't be read: {faults}"))
            })?,
            None => ConfigVersion(0),
        },
    };
    let taken = parse_json(&bytes).map(|value| text(&value, "ConfigVersion").to_owned()).unwrap_or_default();
    let ask = HttpRequest::new(Method::POST, &format!("/api/Configuration.{call}"));
    let ask = ask.with_header("Base-Version", base.to_string()).json(bytes);
    good(at.send(&ask).await?)?;
    if at.json {
        return print_json(&simd_json::json!({ "Taken": taken, "Base": base.to_string() }));
    }
    print(format!("{taken} is taken, on top of {base}\n").as_bytes())
}
