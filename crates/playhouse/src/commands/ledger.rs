//! `ledger`: the data folder of a prompter that does not run, read without touching it.

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
use super::{Done, Failed, print, print_json};

/// The file within a data folder.
const NAME: &str = "ledger.redb";
/// A new core's entries and terms begin so far above those of the old one's disk, which may lack the newest:
/// whoever saw those takes the new core's state for newer than anything it holds.
const ABOVE: u64 = 1 << 32;

#[derive(Debug, clap::Subcommand)]
pub enum LedgerVerb {
    /// Print what a ledger holds.
    Inspect {
        /// The data folder.
        dir: PathBuf,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Read all of a ledger and check it: checksums, gaps, commands, the state they make. Exit code 1 where
    /// it is damaged.
    Verify {
        /// The data folder.
        dir: PathBuf,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Write the state that a ledger holds as files: configuration.json, state.json.
    Export {
        /// The data folder.
        dir: PathBuf,
        /// The folder that the files are written to.
        #[arg(long, value_name = "FOLDER", default_value = ".")]
        to: PathBuf,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
    /// Begin a new core from one disk of an old one, of which a majority is lost for good. What that disk had
    /// not heard of is lost. Without --the-others-are-gone it tells what would be kept, and writes nothing.
    Begin {
        /// The data folder that is left; it stays as it is.
        dir: PathBuf,
        /// The data folder of the new core's first voter: new, or empty.
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
        /// IpAddress of the machine that will run on the new folder.
        #[arg(long, value_name = "IP")]
        address: Ipv4Addr,
        /// No other prompter of the old core runs, nor will again on its old folder. Else there are two cores.
        #[arg(long)]
        the_others_are_gone: bool,
        /// Print JSON, for scripts.
        #[arg(long)]
        json: bool,
    },
}

/// What a ledger holds, and the state after its last entry.
struct Held {
    opened: OpenedLog,
    script: ControlState,
    /// Commands that can't be read, by their entries.
    unreadable: Vec<u64>,
    /// Commands that changed the state, and those that were refused when they were carried out.
    taken: usize,
    refused: usize,
}

/// A folder for the copy that is read; it goes when this does.
struct Passing(PathBuf);

impl Passing {
    fn make() -> Result<Passing, Failed> {
        let name = format!("playhouse-ledger-{}-{:x}", std::process::id(), crate::node::random_u64());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).map_err(|error| Failed::File { path: path.clone(), error })?;
        Ok(Passing(path))
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn damaged(dir: &Path, why: impl std::fmt::Display) -> Failed {
    Failed::Process(format!("{}: {why}", dir.display()).into())
}

/// Why there is nothing to look at.
fn nothing(dir: &Path) -> String {
    let is = match dir.metadata() {
        Ok(found) if !found.is_dir() => "it is no folder; name the DataDirectory of a prompter",
        Ok(_) if DiskStore::was_set_aside(dir) => {
            "no ledger.redb here, but one that was set aside: ledger.bad"
        }
        Ok(_) => "no ledger.redb here; name the DataDirectory of a prompter",
        Err(_) => "there is no such folder",
    };
    format!("{}: {is}", dir.display())
}

/// Reads a copy, since opening a store rewrites it, and a damaged one is to stay as it was found.
fn hold(dir: &Path) -> Result<Held, Failed> {
    let path = dir.join(NAME);
    let at = |error| Failed::File { path: path.clone(), error };
    let file = match File::open(&path) {
        Ok(file) => file,
        Err(error) if error.kind() == ErrorKind::NotFound => return Err(Failed::Wrong(nothing(dir))),
        Err(error) => return Err(at(error)),
    };
    if file.metadata().map_err(at)?.len() == 0 {
        return Err(damaged(dir, "ledger.redb is empty: no program of ours left it so"));
    }
    match file.try_lock_shared() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => {
            return Err(Failed::Wrong(format!("{}: a process uses it; stop that first", dir.display())));
        }
        Err(TryLockError::Error(error)) => return Err(at(error)),
    }
    let passing = Passing::make()?;
    fs::copy(&path, passing.0.join(NAME)).map_err(at)?;
    drop(file);
    let store = DiskStore::open(&passing.0).map_err(StorageError::from);
    let (_, opened) =
        store.and_then(|store| LogStore::open(store, RunId(0))).map_err(|error| damaged(dir, error))?;
    let mut held = Held { opened, script: ControlState::new(), unreadable: Vec::new(), taken: 0, refused: 0 };
    if let Some(snapshot) = &held.opened.state.snapshot {
        let restored = held.script.restore(0, snapshot.index, &snapshot.data);
        restored.map_err(|error| damaged(dir, format!("snapshot {}: {error}", snapshot.index.0)))?;
    }
    for entry in &held.opened.state.entries {
        let EntryPayload::Command(data) = &entry.payload else { continue };
        if Command::decode(data).is_none() {
            held.unreadable.push(entry.index.0);
        }
        match held.script.apply(0, entry.index, data) {
            CommandOutcome::Applied => held.taken += 1,
            beyond @ CommandOutcome::UnsupportedFormat { .. } => {
                return Err(damaged(
                    dir,
                    format!("entry {}: {}", entry.index.0, crate::control_node::refusal_text(&beyond)),
                ));
            }
            _ => held.refused += 1,
        }
    }
    Ok(held)
}

impl Held {
    fn last(&self) -> LogIndex {
        let snapshot = self.opened.state.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
        self.opened.state.entries.last().map_or(snapshot, |entry| entry.index)
    }

    /// Of the entry that `last` names: of two disks, the one with the higher has the newer state.
    fn last_term(&self) -> u64 {
        let snapshot = self.opened.state.snapshot.as_ref().map_or(0, |snapshot| snapshot.term.0);
        self.opened.state.entries.last().map_or(snapshot, |entry| entry.term.0)
    }

    /// Who votes after the last entry.
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
            .map(|seat| simd_json::json!({ "Place": seat.address.to_string(), "Life": format!("{:x}", seat.disk_id.0) }))
            .collect();
        let rollouts: Vec<OwnedValue> = (self.script.rollouts.values())
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
            "VotedFor": saved.voted_for.map(|seat| seat.to_string()),
            "SnapshotAt": saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0),
            "SnapshotBytes": saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len()),
            "Entries": saved.entries.len(),
            "Last": self.last().0,
            "LastTerm": self.last_term(),
            "Committed": saved.commit_index.0,
            "Taken": self.taken,
            "Refused": self.refused,
            "Unreadable": self.unreadable.clone(),
            "Voters": voters,
            "ConfigVersion": self.script.configuration_version().to_string(),
            "AgreedForm": self.script.agreed_format().0,
            "Rollouts": rollouts,
        })
    }
}

impl LedgerVerb {
    pub fn run(&self) -> Done {
        match self {
            LedgerVerb::Inspect { dir, json } => {
                let held = hold(dir)?;
                if *json { print_json(&held.json()) } else { print(words(&held).as_bytes()) }
            }
            LedgerVerb::Verify { dir, json } => verify(dir, *json),
            LedgerVerb::Export { dir, to, json } => export(dir, to, *json),
            LedgerVerb::Begin { dir, to, address, the_others_are_gone, json } => {
                begin(dir, to, NodeAddress(*address), *the_others_are_gone, *json)
            }
        }
    }
}

fn words(held: &Held) -> String {
    let value = held.json();
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

fn verify(dir: &Path, json: bool) -> Done {
    let (last, wrong) = match hold(dir) {
        Ok(held) if held.unreadable.is_empty() => (held.last().0, String::new()),
        Ok(held) => (held.last().0, format!("entries that hold no command of ours: {:?}", held.unreadable)),
        Err(Failed::Process(error)) => (0, error.to_string()),
        Err(error) => return Err(error),
    };
    let sound = wrong.is_empty();
    if json {
        print_json(&simd_json::json!({ "Sound": sound, "Last": last, "Wrong": wrong }))?;
    } else if sound {
        print(format!("{}: sound, up to entry {last}\n", dir.display()).as_bytes())?;
    } else {
        print(format!("{wrong}\n").as_bytes())?;
    }
    if sound { Ok(()) } else { Err(Failed::NotWell) }
}

fn export(dir: &Path, to: &Path, json: bool) -> Done {
    let held = hold(dir)?;
    fs::create_dir_all(to).map_err(|error| Failed::File { path: to.to_owned(), error })?;
    let write = |name: &str, bytes: &[u8]| {
        let path = to.join(name);
        fs::write(&path, bytes).map_err(|error| Failed::File { path, error })
    };
    write("state.json", format!("{}\n", held.json().encode()).as_bytes())?;
    let version = held.script.configuration_version();
    if let Some(bill) = held.script.configuration() {
        write("configuration.json", &bill.to_json())?;
    }
    if json {
        return print_json(&simd_json::json!({
            "Folder": to.display().to_string(), "ConfigVersion": version.to_string(), "Last": held.last().0,
        }));
    }
    print(
        format!("configuration {version}, as of entry {}, is in {}\n", held.last().0, to.display())
            .as_bytes(),
    )
}

/// Writes the state of one disk as the first of a new core of one voter, into a folder of its own. The new
/// disk has a new life, so that nothing is expected of it that the old one promised, and nobody of the old
/// core takes its voice for one of theirs.
fn begin(dir: &Path, to: &Path, place: NodeAddress, sure: bool, json: bool) -> Done {
    let held = hold(dir)?;
    if !held.unreadable.is_empty() {
        return Err(damaged(dir, format!("entries that hold no command of ours: {:?}", held.unreadable)));
    }
    if held.last() == LogIndex(0) {
        let text = format!("{}: it holds nothing; start as on the first start of all", dir.display());
        return Err(Failed::Wrong(text));
    }
    let at = |error| Failed::File { path: to.to_owned(), error };
    let found = match fs::read_dir(to) {
        Ok(mut found) => found.next().is_some(),
        Err(error) if error.kind() == ErrorKind::NotFound => false,
        Err(error) => return Err(at(error)),
    };
    if found {
        return Err(Failed::Wrong(format!("{}: not empty; name a new folder", to.display())));
    }
    let told = |voter: Option<VoterId>| {
        if json {
            let voter = voter.map(|seat| seat.to_string());
            return print_json(&simd_json::json!({
                "Folder": to.display().to_string(), "Begun": voter.is_some(), "Voter": voter,
                "ConfigVersion": held.script.configuration_version().to_string(), "Last": held.last().0,
                "LastTerm": held.last_term(), "Committed": held.opened.state.commit_index.0,
            }));
        }
        let old: Vec<String> = held.members().0.iter().map(|seat| seat.address.to_string()).collect();
        let begun =
            voter.map(|seat| format!("{} begins a new core: its one voter is {seat}\n", to.display()));
        let kept = format!(
            "kept: configuration {}, roll-outs of {} services, all up to entry {} of term {}\n\
             lost: what {} had not heard of, perhaps changes that were acknowledged\n\
             also kept: entries after {}, perhaps never acknowledged\n\
             voters before: {}\n{}",
            held.script.configuration_version(),
            held.script.rollouts.len(),
            held.last().0,
            held.last_term(),
            dir.display(),
            held.opened.state.commit_index.0,
            old.join(", "),
            begun.unwrap_or_default(),
        );
        print(kept.as_bytes())
    };
    if !sure {
        told(None)?;
        return Err(Failed::Wrong(
            "nothing is written: stop the others, put their data folders out of reach, and add \
             --the-others-are-gone"
                .to_owned(),
        ));
    }
    let failed = |error: StorageError| Failed::Process(format!("{}: {error}", to.display()).into());
    let life = RunId(crate::node::random_u64() | 1);
    let store = DiskStore::open(to).map_err(|error| failed(error.into()))?;
    let (mut ledger, _) = LogStore::open(store, life).map_err(failed)?;
    let term = Term(held.opened.state.term.0.max(held.last_term()) + ABOVE);
    let index = LogIndex(held.last().0 + ABOVE);
    let members = Members(vec![VoterId { address: place, disk_id: life }]);
    let snapshot = Some(Snapshot { index, term, members, data: held.script.snapshot() });
    let (no, voted, cut_from, entries) = (WriteId(1), None, None, Vec::new());
    let write = Write {
        id: no,
        term,
        voted_for: voted,
        commit_index: index,
        truncate_from: cut_from,
        entries,
        snapshot,
    };
    ledger.write(&write).map_err(failed)?;
    told(Some(VoterId { address: place, disk_id: life }))
}
