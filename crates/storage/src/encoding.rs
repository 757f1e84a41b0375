//! Keys, and how the values under them are encoded: a format version, a checksum, and the bytes.

use consensus::{Entry, EntryPayload, Members, PersistentState, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::{LogIndex, RunId, Term, VoterId};

use crate::{KeyValuePairs, StorageError};

pub(crate) const HARD_STATE_KEY: &[u8] = b"h";
pub(crate) const DISK_ID_KEY: &[u8] = b"l";
pub(crate) const SNAPSHOT_KEY: &[u8] = b"s";
const ENTRY_KEY_PREFIX: u8 = b'e';
/// Sorts after the key of every entry and before all other keys.
pub(crate) const AFTER_ENTRIES: &[u8] = b"f";
const FORMAT_VERSION: u8 = 1;
/// No log gets this long; with larger indices, sums could overflow.
pub(crate) const MAX_INDEX: u64 = u64::MAX >> 1;
/// The format version, then the checksum of key, version and bytes, little-endian.
const HEADER_BYTES: usize = 5;
/// Room for the typed part of a value, so that its buffer rarely has to grow.
const TYPED_PART_CAPACITY: usize = 64;

/// The hard state, and which entries there must be: those after `snapshot_index` up to `last_index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HardState {
    pub term: Term,
    pub voted_for: Option<VoterId>,
    pub snapshot_index: u64,
    pub last_index: u64,
    /// Stored after the other fields. A value that ends before it says that nothing is known to be committed.
    #[serde(skip)]
    pub commit_index: u64,
}

/// The kind of an entry. A command's bytes follow it as they are.
#[derive(Serialize, Deserialize)]
enum EntryKind {
    Noop,
    Command,
    Members(Members),
}

pub(crate) struct Recovered {
    pub disk_id: RunId,
    pub hard_state: HardState,
    pub state: PersistentState,
}

/// The key of an entry: its index is big-endian, so that the keys sort in the order of the log.
pub(crate) fn entry_key(index: u64) -> [u8; 9] {
    let mut key = [ENTRY_KEY_PREFIX; 9];
    key[1..].copy_from_slice(&index.to_be_bytes());
    key
}

pub(crate) fn encode_disk_id(disk_id: RunId) -> Vec<u8> {
    encode(DISK_ID_KEY, &disk_id, &[])
}

pub(crate) fn encode_hard_state(hard_state: &HardState) -> Vec<u8> {
    encode(HARD_STATE_KEY, hard_state, &hard_state.commit_index.to_le_bytes())
}

pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    encode(SNAPSHOT_KEY, &(snapshot.index, snapshot.term, &snapshot.members), &snapshot.data)
}

pub(crate) fn encode_entry(entry: &Entry) -> Vec<u8> {
    let (kind, raw) = match &entry.payload {
        EntryPayload::Noop => (EntryKind::Noop, &[][..]),
        EntryPayload::Command(data) => (EntryKind::Command, &data[..]),
        EntryPayload::Members(members) => (EntryKind::Members(members.clone()), &[][..]),
    };
    encode(&entry_key(entry.index.0), &(entry.term, kind), raw)
}

/// Encodes a value: the header, then `typed` in postcard's encoding, then `raw`.
fn encode(key: &[u8], typed: &impl Serialize, raw: &[u8]) -> Vec<u8> {
    let mut value = Vec::with_capacity(HEADER_BYTES + TYPED_PART_CAPACITY + raw.len());
    value.extend_from_slice(&[FORMAT_VERSION, 0, 0, 0, 0]);
    // A growing vector has room for any plain type, so this fails only for a type that postcard does not support.
    let mut value = postcard::to_extend(typed, value).expect("a type that postcard supports");
    value.extend_from_slice(raw);
    let crc = checksum(key, FORMAT_VERSION, &value[HEADER_BYTES..]);
    value[1..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    value
}

fn checksum(key: &[u8], format: u8, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(key);
    hasher.update(&[format]);
    hasher.update(bytes);
    hasher.finalize()
}

/// Checks a value, and splits it into its typed part and the raw bytes after that.
fn decode<'a, T: DeserializeOwned>(key: &[u8], value: &'a [u8]) -> Result<(T, &'a [u8]), StorageError> {
    let damaged = |reason| StorageError::Damaged { key: key_name(key), reason };
    let [format, crc0, crc1, crc2, crc3, bytes @ ..] = value else {
        return Err(damaged("it is too short"));
    };
    if checksum(key, *format, bytes) != u32::from_le_bytes([*crc0, *crc1, *crc2, *crc3]) {
        return Err(damaged("its checksum does not match"));
    }
    if *format != FORMAT_VERSION {
        return Err(StorageError::UnknownFormat { key: key_name(key), format: *format });
    }
    postcard::take_from_bytes(bytes).map_err(|_| damaged("it can't be read"))
}

/// What a key is called in error messages.
fn key_name(key: &[u8]) -> String {
    match key {
        HARD_STATE_KEY => "hard state".into(),
        DISK_ID_KEY => "disk's life".into(),
        SNAPSHOT_KEY => "snapshot".into(),
        [ENTRY_KEY_PREFIX, rest @ ..] => match <[u8; 8]>::try_from(rest) {
            Ok(index) => format!("entry {}", u64::from_be_bytes(index)),
            Err(_) => format!("key {key:02x?}"),
        },
        _ => format!("key {key:02x?}"),
    }
}

/// Reads a whole store that is not empty. The hard state is written with every batch, so everything that it names must be
/// there, and nothing else may be.
pub(crate) fn read_all(pairs: KeyValuePairs) -> Result<Recovered, StorageError> {
    let (mut disk_id, mut hard_state, mut snapshot) = (None, None, None);
    let mut entries = Vec::new();
    for (key, value) in pairs {
        match &key[..] {
            HARD_STATE_KEY => hard_state = Some(read_hard_state(&key, &value)?),
            DISK_ID_KEY => disk_id = Some(decode::<RunId>(&key, &value)?.0),
            SNAPSHOT_KEY => snapshot = Some(read_snapshot(&key, &value)?),
            _ => entries.push(read_entry(&key, &value)?),
        }
    }
    let missing = |key: &[u8]| StorageError::Missing { key: key_name(key) };
    let disk_id = disk_id.ok_or_else(|| missing(DISK_ID_KEY))?;
    let hard_state = hard_state.ok_or_else(|| missing(HARD_STATE_KEY))?;
    check_completeness(&hard_state, snapshot.as_ref(), &entries)?;
    let state = PersistentState {
        term: hard_state.term,
        voted_for: hard_state.voted_for,
        commit_index: LogIndex(hard_state.commit_index),
        snapshot,
        entries,
    };
    Ok(Recovered { disk_id, hard_state, state })
}

/// Checks that the snapshot and the entries are exactly those that the hard state names.
fn check_completeness(
    hard_state: &HardState, snapshot: Option<&Snapshot>, entries: &[Entry],
) -> Result<(), StorageError> {
    let damaged = |key: &[u8], reason| Err(StorageError::Damaged { key: key_name(key), reason });
    let missing_entry = |index: u64| Err(StorageError::Missing { key: key_name(&entry_key(index)) });
    let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.index.0);
    if snapshot_index != hard_state.snapshot_index {
        return damaged(SNAPSHOT_KEY, "it is not the one of the hard state");
    }
    if hard_state.snapshot_index.max(hard_state.last_index) > MAX_INDEX {
        return damaged(HARD_STATE_KEY, "no log is so long");
    }
    if hard_state.last_index < hard_state.snapshot_index {
        return damaged(HARD_STATE_KEY, "it ends before its snapshot");
    }
    let mut expected = snapshot_index + 1;
    for entry in entries {
        if entry.index.0 > expected && expected <= hard_state.last_index {
            return missing_entry(expected);
        }
        if entry.index.0 != expected || expected > hard_state.last_index {
            return damaged(&entry_key(entry.index.0), "the hard state knows of no such entry");
        }
        expected += 1;
    }
    if expected <= hard_state.last_index {
        return missing_entry(expected);
    }
    Ok(())
}

fn read_hard_state(key: &[u8], value: &[u8]) -> Result<HardState, StorageError> {
    let (mut hard_state, raw) = decode::<HardState>(key, value)?;
    hard_state.commit_index = raw.first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    Ok(hard_state)
}

fn read_snapshot(key: &[u8], value: &[u8]) -> Result<Snapshot, StorageError> {
    let ((index, term, members), data) = decode::<(LogIndex, Term, Members)>(key, value)?;
    Ok(Snapshot { index, term, members, data: data.to_vec() })
}

fn read_entry(key: &[u8], value: &[u8]) -> Result<Entry, StorageError> {
    let index = match key {
        [ENTRY_KEY_PREFIX, rest @ ..] => <[u8; 8]>::try_from(rest).ok(),
        _ => None,
    };
    let Some(index) = index else {
        return Err(StorageError::Damaged { key: key_name(key), reason: "it is no key of a ledger" });
    };
    let ((term, kind), raw) = decode::<(Term, EntryKind)>(key, value)?;
    let payload = match kind {
        EntryKind::Noop => EntryPayload::Noop,
        EntryKind::Command => EntryPayload::Command(raw.to_vec()),
        EntryKind::Members(members) => EntryPayload::Members(members),
    };
    Ok(Entry { index: LogIndex(u64::from_be_bytes(index)), term, payload })
}
