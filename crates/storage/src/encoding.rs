//! Keys, and the form of the values under them: a version, a checksum, the bytes.

use consensus::{Entry, EntryPayload, Members, PersistentState, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::{LogIndex, RunId, Term, VoterId};

use crate::{KeyValuePairs, StorageError};

pub(crate) const HARD: &[u8] = b"h";
pub(crate) const LIFE: &[u8] = b"l";
pub(crate) const SNAPSHOT: &[u8] = b"s";
const ENTRY: u8 = b'e';
/// Above every entry's key, below every other one.
pub(crate) const AFTER_ENTRIES: &[u8] = b"f";
const FORM: u8 = 1;
/// No log comes so far; above it sums on indices could pass the end of their type.
pub(crate) const INDEX_MOST: u64 = u64::MAX >> 1;
/// Version, then the checksum of key, version and bytes, little-endian.
const HEAD: usize = 5;

/// The hard state, and which entries there must be: those after `base` up to `last`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hard {
    pub term: Term,
    pub voted: Option<VoterId>,
    pub base: u64,
    pub last: u64,
    /// Behind the rest in the value; a value that ends before it tells of nothing committed.
    #[serde(skip)]
    pub committed: u64,
}

/// An entry without its index, which is in the key; a command's bytes follow as they are.
#[derive(Serialize, Deserialize)]
enum Kind {
    Nothing,
    Command,
    Members(Members),
}

pub(crate) struct Recovered {
    pub life: RunId,
    pub hard: Hard,
    pub saved: PersistentState,
}

/// Entries by big-endian index, so that their keys have the log's order.
pub(crate) fn entry_key(index: u64) -> [u8; 9] {
    let mut key = [ENTRY; 9];
    key[1..].copy_from_slice(&index.to_be_bytes());
    key
}

pub(crate) fn seal_life(life: RunId) -> Vec<u8> {
    seal(LIFE, &life, &[])
}

pub(crate) fn seal_hard(hard: &Hard) -> Vec<u8> {
    seal(HARD, hard, &hard.committed.to_le_bytes())
}

pub(crate) fn seal_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    seal(SNAPSHOT, &(snapshot.index, snapshot.term, &snapshot.members), &snapshot.data)
}

pub(crate) fn seal_entry(entry: &Entry) -> Vec<u8> {
    let (kind, tail) = match &entry.payload {
        EntryPayload::Noop => (Kind::Nothing, &[][..]),
        EntryPayload::Command(data) => (Kind::Command, &data[..]),
        EntryPayload::Members(members) => (Kind::Members(members.clone()), &[][..]),
    };
    seal(&entry_key(entry.index.0), &(entry.term, kind), tail)
}

fn seal(key: &[u8], head: &impl Serialize, tail: &[u8]) -> Vec<u8> {
    let mut value = Vec::with_capacity(HEAD + 64 + tail.len());
    value.extend_from_slice(&[FORM, 0, 0, 0, 0]);
    // Plain types into a growing vector: this fails only where a type can't be written at all.
    let mut value = postcard::to_extend(head, value).expect("a type that postcard can't write");
    value.extend_from_slice(tail);
    let crc = checksum(key, FORM, &value[HEAD..]);
    value[1..HEAD].copy_from_slice(&crc.to_le_bytes());
    value
}

fn checksum(key: &[u8], form: u8, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(key);
    hasher.update(&[form]);
    hasher.update(bytes);
    hasher.finalize()
}

/// Checks a value and splits it into what is typed and the bytes after that.
fn unseal<'a, T: DeserializeOwned>(key: &[u8], value: &'a [u8]) -> Result<(T, &'a [u8]), StorageError> {
    let damaged = |why| StorageError::Damaged { key: name(key), reason: why };
    let [form, c0, c1, c2, c3, bytes @ ..] = value else { return Err(damaged("it is too short")) };
    if checksum(key, *form, bytes) != u32::from_le_bytes([*c0, *c1, *c2, *c3]) {
        return Err(damaged("its checksum does not match"));
    }
    if *form != FORM {
        return Err(StorageError::UnknownFormat { key: name(key), format: *form });
    }
    postcard::take_from_bytes(bytes).map_err(|_| damaged("it can't be read"))
}

fn name(key: &[u8]) -> String {
    match key {
        HARD => "hard state".into(),
        LIFE => "disk's life".into(),
        SNAPSHOT => "snapshot".into(),
        [ENTRY, rest @ ..] => match <[u8; 8]>::try_from(rest) {
            Ok(index) => format!("entry {}", u64::from_be_bytes(index)),
            Err(_) => format!("key {key:02x?}"),
        },
        _ => format!("key {key:02x?}"),
    }
}

/// Reads a whole store that is not empty. The hard state is written with every batch, so whatever it names
/// must be there and nothing else may be.
pub(crate) fn read_all(all: KeyValuePairs) -> Result<Recovered, StorageError> {
    let (mut life, mut hard, mut snapshot) = (None, None, None);
    let mut entries = Vec::new();
    for (key, value) in all {
        match &key[..] {
            HARD => {
                let (mut read, tail) = unseal::<Hard>(&key, &value)?;
                read.committed = tail.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes));
                hard = Some(read);
            }
            LIFE => life = Some(unseal::<RunId>(&key, &value)?.0),
            SNAPSHOT => snapshot = Some(read_snapshot(&key, &value)?),
            _ => entries.push(read_entry(&key, &value)?),
        }
    }
    let missing = |key: &[u8]| StorageError::Missing { key: name(key) };
    let life = life.ok_or_else(|| missing(LIFE))?;
    let hard = hard.ok_or_else(|| missing(HARD))?;
    let base = snapshot.as_ref().map_or(0, |s: &Snapshot| s.index.0);
    if base != hard.base {
        return Err(StorageError::Damaged {
            key: name(SNAPSHOT),
            reason: "it is not the one of the hard state",
        });
    }
    if hard.base.max(hard.last) > INDEX_MOST {
        return Err(StorageError::Damaged { key: name(HARD), reason: "no log is so long" });
    }
    if hard.last < hard.base {
        return Err(StorageError::Damaged { key: name(HARD), reason: "it ends before its snapshot" });
    }
    let mut next = base + 1;
    for entry in &entries {
        if entry.index.0 > next && next <= hard.last {
            return Err(missing(&entry_key(next)));
        }
        if entry.index.0 != next || next > hard.last {
            let at = name(&entry_key(entry.index.0));
            return Err(StorageError::Damaged { key: at, reason: "the hard state knows of no such entry" });
        }
        next += 1;
    }
    if next <= hard.last {
        return Err(missing(&entry_key(next)));
    }
    let committed = LogIndex(hard.committed);
    let saved = PersistentState {
        term: hard.term,
        voted_for: hard.voted,
        commit_index: committed,
        snapshot,
        entries,
    };
    Ok(Recovered { life, hard, saved })
}

fn read_snapshot(key: &[u8], value: &[u8]) -> Result<Snapshot, StorageError> {
    let ((index, term, members), data) = unseal::<(LogIndex, Term, Members)>(key, value)?;
    Ok(Snapshot { index, term, members, data: data.to_vec() })
}

fn read_entry(key: &[u8], value: &[u8]) -> Result<Entry, StorageError> {
    let index = match key {
        [ENTRY, rest @ ..] => <[u8; 8]>::try_from(rest).ok(),
        _ => None,
    };
    let Some(index) = index else {
        return Err(StorageError::Damaged { key: name(key), reason: "it is no key of a ledger" });
    };
    let ((term, kind), tail) = unseal::<(Term, Kind)>(key, value)?;
    let what = match kind {
        Kind::Nothing => EntryPayload::Noop,
        Kind::Command => EntryPayload::Command(tail.to_vec()),
        Kind::Members(members) => EntryPayload::Members(members),
    };
    Ok(Entry { index: LogIndex(u64::from_be_bytes(index)), term, payload: what })
}
