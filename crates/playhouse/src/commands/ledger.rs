//! `ledger`: reads the data directory of a control node that is not running, without changing it.

use std::fs::{self, File, TryLockError};
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use consensus::{EntryPayload, Members, Snapshot, Write, WriteId};
use control_state::{Command, CommandOutcome, ControlState};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use storage::{LogStore, OpenedLog, StorageError};
use transport::DiskStore;
use types::{LogIndex, NodeAddress, RunId, Term, VoterId};

use super::view::rollout_state;
use super::{CommandError, CommandResult, print, print_json};

/// The store's file within a data directory.
const STORE_FILE: &str = "ledger.redb";
/// Distance of the first index and term of a new control plane from the last ones on the old disk. That disk may lack
/// the newest entries; with the distance, nodes that have seen those still take the new state for the newer one.
const NEW_CORE_OFFSET: u64 = 1 << 32;

#[derive(Debug, clap::Subcommand)]
pub enum StorageCommand {
    /// Print the contents of a store.
    Inspect {
        /// The data directory.
        dir: PathBuf,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Read a whole store and check it: checksums, gaps, commands and the resulting state. Exit code 1 if it is damaged.
    Verify {
        /// The data directory.
        dir: PathBuf,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Write the state in a store to files: configuration.json, state.json.
    Export {
        /// The data directory.
        dir: PathBuf,
        /// Directory that the files are written to.
        #[arg(long, value_name = "FOLDER", default_value = ".")]
        to: PathBuf,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Start a new control plane from one disk of an old one whose majority is lost for good. What that disk had not
    /// received is lost. Without --the-others-are-gone, print what would be kept and write nothing.
    Begin {
        /// The remaining data directory; it is not changed.
        dir: PathBuf,
        /// Data directory of the new control plane's first voter: new, or empty.
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
        /// IpAddress of the machine that will run on the new directory.
        #[arg(long, value_name = "IP")]
        address: Ipv4Addr,
        /// Confirms that no other control node of the old control plane runs or will ever run on its old directory. Otherwise
        /// there would be two control planes.
        #[arg(long)]
        the_others_are_gone: bool,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
}

/// The contents of a store, and the state after its last entry.
struct LoadedStore {
    opened: OpenedLog,
    state: ControlState,
    /// Indexes of the entries whose commands can't be decoded.
    unreadable: Vec<u64>,
    /// Number of commands that changed the state, and of those that were rejected when they were applied.
    applied: usize,
    refused: usize,
}

/// A directory for the copy that is read; removed on drop.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    fn create() -> Result<TemporaryDirectory, CommandError> {
        let name = format!("playhouse-ledger-{}-{:x}", std::process::id(), crate::node::random_u64());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).map_err(|error| CommandError::File { path: path.clone(), error })?;
        Ok(TemporaryDirectory(path))
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An error about the store in `dir`.
fn store_error(dir: &Path, why: impl std::fmt::Display) -> CommandError {
    CommandError::Process(format!("{}: {why}", dir.display()).into())
}

/// Why `dir` holds no store.
fn missing_store_reason(dir: &Path) -> String {
    let reason = match dir.metadata() {
        Ok(metadata) if !metadata.is_dir() => "it is no folder; name the DataDirectory of a prompter",
        Ok(_) if DiskStore::was_set_aside(dir) => {
            "no ledger.redb here, but one that was set aside: ledger.bad"
        }
        Ok(_) => "no ledger.redb here; name the DataDirectory of a prompter",
        Err(_) => "there is no such folder",
    };
    format!("{}: {reason}", dir.display())
}

/// Loads a copy of the store, because opening a store writes to its file, and a damaged one must stay unchanged.
fn load(dir: &Path) -> Result<LoadedStore, CommandError> {
    let path = dir.join(STORE_FILE);
    let file_error = |error| CommandError::File { path: path.clone(), error };
    let file = match File::open(&path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => {
            return Err(CommandError::Usage(missing_store_reason(dir)));
        }
        Err(error) => return Err(file_error(error)),
    };
    if file.metadata().map_err(file_error)?.len() == 0 {
        return Err(store_error(dir, "ledger.redb is empty: no program of ours left it so"));
    }
    match file.try_lock_shared() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => {
            return Err(CommandError::Usage(format!(
                "{}: a process uses it; stop that first",
                dir.display()
            )));
        }
        Err(TryLockError::Error(error)) => return Err(file_error(error)),
    }
    let temporary = TemporaryDirectory::create()?;
    fs::copy(&path, temporary.0.join(STORE_FILE)).map_err(file_error)?;
    drop(file);
    let store = DiskStore::open(&temporary.0).map_err(StorageError::from);
    let (_, opened) =
        store.and_then(|store| LogStore::open(store, RunId(0))).map_err(|error| store_error(dir, error))?;
    let mut loaded =
        LoadedStore { opened, state: ControlState::new(), unreadable: Vec::new(), applied: 0, refused: 0 };
    if let Some(snapshot) = &loaded.opened.state.snapshot {
        let restored = loaded.state.restore(0, snapshot.index, &snapshot.data);
        restored.map_err(|error| store_error(dir, format!("snapshot {}: {error}", snapshot.index.0)))?;
    }
    for entry in &loaded.opened.state.entries {
        let EntryPayload::Command(data) = &entry.payload else { continue };
        if Command::decode(data).is_none() {
            loaded.unreadable.push(entry.index.0);
        }
        match loaded.state.apply(0, entry.index, data) {
            CommandOutcome::Applied => loaded.applied += 1,
            outcome @ CommandOutcome::UnsupportedFormat { .. } => {
                return Err(store_error(
                    dir,
                    format!("entry {}: {}", entry.index.0, crate::control_node::refusal_text(&outcome)),
                ));
            }
            _ => loaded.refused += 1,
        }
    }
    Ok(loaded)
}

impl LoadedStore {
    fn last_index(&self) -> LogIndex {
        let snapshot = self.opened.state.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
        self.opened.state.entries.last().map_or(snapshot, |entry| entry.index)
    }

    /// Term of the entry at `last_index`. Of two disks, the one with the higher term has the newer state.
    fn last_term(&self) -> u64 {
        let snapshot = self.opened.state.snapshot.as_ref().map_or(0, |snapshot| snapshot.term.0);
        self.opened.state.entries.last().map_or(snapshot, |entry| entry.term.0)
    }

    /// The voters after the last entry.
    fn members(&self) -> Members {
        let saved = &self.opened.state;
        let mut newest = None;
        for entry in &saved.entries {
            if let EntryPayload::Members(members) = &entry.payload {
                newest = Some(members.clone());
            }
        }
        newest
            .or_else(|| saved.snapshot.as_ref().map(|snapshot| snapshot.members.clone()))
            .unwrap_or_default()
    }

    fn json(&self) -> OwnedValue {
        let saved = &self.opened.state;
        let voters: Vec<OwnedValue> = (self.members().0.iter())
            .map(|voter| simd_json::json!({ "Place": voter.address.to_string(), "Life": format!("{:x}", voter.disk_id.0) }))
            .collect();
        let rollouts: Vec<OwnedValue> = (self.state.rollouts.values())
            .map(|rollout| {
                simd_json::json!({
                    "Service": rollout.service.clone(), "State": rollout.state.map(rollout_state),
                    "CurrentVersion": rollout.current_version.clone(), "TargetVersion": rollout.target_version.clone(),
                })
            })
            .collect();
        simd_json::json!({
            "Life": format!("{:x}", self.opened.disk_id.0),
            "Term": saved.term.0,
            "VotedFor": saved.voted_for.map(|voter| voter.to_string()),
            "SnapshotAt": saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0),
            "SnapshotBytes": saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len()),
            "Entries": saved.entries.len(),
            "Last": self.last_index().0,
            "LastTerm": self.last_term(),
            "Committed": saved.commit_index.0,
            "Taken": self.applied,
            "Refused": self.refused,
            "Unreadable": self.unreadable.clone(),
            "Voters": voters,
            "ConfigVersion": self.state.configuration_version().to_string(),
            "AgreedForm": self.state.agreed_format().0,
            "Rollouts": rollouts,
        })
    }
}

impl StorageCommand {
    pub fn run(&self) -> CommandResult {
        match self {
            StorageCommand::Inspect { dir, json } => {
                let loaded = load(dir)?;
                if *json { print_json(&loaded.json()) } else { print(render(&loaded).as_bytes()) }
            }
            StorageCommand::Verify { dir, json } => verify(dir, *json),
            StorageCommand::Export { dir, to, json } => export(dir, to, *json),
            StorageCommand::Begin { dir, to, address, the_others_are_gone, json } => {
                begin(dir, to, NodeAddress(*address), *the_others_are_gone, *json)
            }
        }
    }
}

/// Formats the contents as text, one line per key.
fn render(loaded: &LoadedStore) -> String {
    let value = loaded.json();
    let Some(fields) = value.as_object() else { return String::new() };
    let mut fields: Vec<(&String, &OwnedValue)> = fields.iter().collect();
    fields.sort_by_key(|(key, _)| *key);
    let line = |(key, value): (&String, &OwnedValue)| match value.as_array() {
        Some(list) if !list.is_empty() => {
            let lines: String = list.iter().map(|item| format!("  {}\n", item.encode())).collect();
            format!("{key}:\n{lines}")
        }
        _ => format!("{key}: {}\n", value.as_str().map_or_else(|| value.encode(), str::to_owned)),
    };
    fields.into_iter().map(line).collect()
}

/// Checks a store and prints the result.
fn verify(dir: &Path, json: bool) -> CommandResult {
    let (last, problem) = match load(dir) {
        Ok(loaded) if loaded.unreadable.is_empty() => (loaded.last_index().0, String::new()),
        Ok(loaded) => {
            (loaded.last_index().0, format!("entries that hold no command of ours: {:?}", loaded.unreadable))
        }
        Err(CommandError::Process(error)) => (0, error.to_string()),
        Err(error) => return Err(error),
    };
    let intact = problem.is_empty();
    if json {
        print_json(&simd_json::json!({ "Sound": intact, "Last": last, "Wrong": problem }))?;
    } else if intact {
        print(format!("{}: sound, up to entry {last}\n", dir.display()).as_bytes())?;
    } else {
        print(format!("{problem}\n").as_bytes())?;
    }
    if intact { Ok(()) } else { Err(CommandError::CheckFailed) }
}

/// Writes state and configuration of a store into a directory.
fn export(dir: &Path, to: &Path, json: bool) -> CommandResult {
    let loaded = load(dir)?;
    fs::create_dir_all(to).map_err(|error| CommandError::File { path: to.to_owned(), error })?;
    let write = |name: &str, bytes: &[u8]| {
        let path = to.join(name);
        fs::write(&path, bytes).map_err(|error| CommandError::File { path, error })
    };
    write("state.json", format!("{}\n", loaded.json().encode()).as_bytes())?;
    let version = loaded.state.configuration_version();
    if let Some(configuration) = loaded.state.configuration() {
        write("configuration.json", &configuration.to_json())?;
    }
    if json {
        return print_json(&simd_json::json!({
            "Folder": to.display().to_string(), "ConfigVersion": version.to_string(), "Last": loaded.last_index().0,
        }));
    }
    print(
        format!("configuration {version}, as of entry {}, is in {}\n", loaded.last_index().0, to.display())
            .as_bytes(),
    )
}

/// Writes the state of one disk as the initial state of a new control plane with one voter, into a new directory. The
/// new disk gets a new id: it isn't bound by promises of the old disk, and voters of the old control plane don't count
/// its votes.
fn begin(dir: &Path, to: &Path, address: NodeAddress, confirmed: bool, json: bool) -> CommandResult {
    let loaded = load(dir)?;
    if !loaded.unreadable.is_empty() {
        return Err(store_error(
            dir,
            format!("entries that hold no command of ours: {:?}", loaded.unreadable),
        ));
    }
    if loaded.last_index() == LogIndex(0) {
        let text = format!("{}: it holds nothing; start as on the first start of all", dir.display());
        return Err(CommandError::Usage(text));
    }
    let file_error = |error| CommandError::File { path: to.to_owned(), error };
    let not_empty = match fs::read_dir(to) {
        Ok(mut entries) => entries.next().is_some(),
        Err(error) if error.kind() == ErrorKind::NotFound => false,
        Err(error) => return Err(file_error(error)),
    };
    if not_empty {
        return Err(CommandError::Usage(format!("{}: not empty; name a new folder", to.display())));
    }
    let report = |voter: Option<VoterId>| {
        if json {
            let voter = voter.map(|voter| voter.to_string());
            return print_json(&simd_json::json!({
                "Folder": to.display().to_string(), "Begun": voter.is_some(), "Voter": voter,
                "ConfigVersion": loaded.state.configuration_version().to_string(), "Last": loaded.last_index().0,
                "LastTerm": loaded.last_term(), "Committed": loaded.opened.state.commit_index.0,
            }));
        }
        let old_voters: Vec<String> =
            loaded.members().0.iter().map(|voter| voter.address.to_string()).collect();
        let begun_line =
            voter.map(|voter| format!("{} begins a new core: its one voter is {voter}\n", to.display()));
        let report_text = format!(
            "kept: configuration {}, roll-outs of {} services, all up to entry {} of term {}\n\
             lost: what {} had not heard of, perhaps changes that were acknowledged\n\
             also kept: entries after {}, perhaps never acknowledged\n\
             voters before: {}\n{}",
            loaded.state.configuration_version(),
            loaded.state.rollouts.len(),
            loaded.last_index().0,
            loaded.last_term(),
            dir.display(),
            loaded.opened.state.commit_index.0,
            old_voters.join(", "),
            begun_line.unwrap_or_default(),
        );
        print(report_text.as_bytes())
    };
    if !confirmed {
        report(None)?;
        return Err(CommandError::Usage(
            "nothing is written: stop the others, put their data folders out of reach, and add \
             --the-others-are-gone"
                .to_owned(),
        ));
    }
    let storage_error =
        |error: StorageError| CommandError::Process(format!("{}: {error}", to.display()).into());
    let disk_id = RunId(crate::node::random_u64() | 1);
    let store = DiskStore::open(to).map_err(|error| storage_error(error.into()))?;
    let (mut store, _) = LogStore::open(store, disk_id).map_err(storage_error)?;
    let term = Term(loaded.opened.state.term.0.max(loaded.last_term()) + NEW_CORE_OFFSET);
    let index = LogIndex(loaded.last_index().0 + NEW_CORE_OFFSET);
    let members = Members(vec![VoterId { address, disk_id }]);
    let snapshot = Some(Snapshot { index, term, members, data: loaded.state.snapshot() });
    let (id, voted_for, truncate_from, entries) = (WriteId(1), None, None, Vec::new());
    let write = Write { id, term, voted_for, commit_index: index, truncate_from, entries, snapshot };
    store.write(&write).map_err(storage_error)?;
    report(Some(VoterId { address, disk_id }))
}
