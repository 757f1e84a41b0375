//! Durable storage of a control node's Raft state: how it is laid out on disk, and how it is recovered, over any `Store`.
//!
//! Each value carries a format version and a checksum over its key and bytes, so a value that is torn, corrupted or under the
//! wrong key is detected when it is read. The hard state also names the entries that must be there: a missing entry, even the
//! newest one, is an error and never a shorter log.

pub mod checksummed;
mod encoding;
mod store;

use consensus::{PersistentState, Write};
use thiserror::Error;
use types::{LogIndex, RunId};

use encoding::{HardState, entry_key};
pub use store::{Batch, KeyValuePairs, Operation, Store, StoreError};

/// Why a log store can't be opened, or a write is not stored. The texts are read by operators.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum StorageError {
    /// The store failed. It is unknown whether the batch that it was given is stored, until the same batch is written again.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A value that is torn, corrupted or not part of a log store.
    #[error("{key} is damaged: {reason}")]
    Damaged { key: String, reason: &'static str },
    /// A value that must be there is not.
    #[error("{key} is missing")]
    Missing { key: String },
    /// A value that a newer program wrote.
    #[error("{key} has the form {format}, which this program does not know")]
    UnknownFormat { key: String, format: u8 },
    /// A write that does not continue the stored log: it would leave a gap, or overwrite entries that it does not truncate.
    #[error("entry {found} can't follow entry {last} of the log")]
    NonContiguous { last: u64, found: u64 },
}

/// What a disk held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedLog {
    /// The id that the disk got when it was initialised.
    pub disk_id: RunId,
    pub state: PersistentState,
    /// The disk was empty, so the node has promised nothing before.
    pub is_new: bool,
}

/// The Raft state of one control node in its store.
#[derive(Debug)]
pub struct LogStore<S> {
    store: S,
    /// The stored part of the log, as of the last write that succeeded.
    range: StoredRange,
}

/// Which part of the log is stored: the entries after `snapshot_index` up to `last_index`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StoredRange {
    snapshot_index: u64,
    last_index: u64,
}

impl<S: Store> LogStore<S> {
    /// Recovers what is in the store. An empty store is initialised with `new_disk_id`, durably before this returns. Damage
    /// is an error that names the damaged key: nothing is dropped to go on, since everything that was ever stored may have
    /// been acknowledged.
    pub fn open(mut store: S, new_disk_id: RunId) -> Result<(Self, OpenedLog), StorageError> {
        let pairs = store.scan(&[], &[])?;
        if pairs.is_empty() {
            let mut batch = Batch::default();
            batch.put(encoding::DISK_ID_KEY.to_vec(), encoding::encode_disk_id(new_disk_id));
            let hard_state = encoding::encode_hard_state(&HardState::default());
            batch.put(encoding::HARD_STATE_KEY.to_vec(), hard_state);
            store.commit(&batch)?;
            let opened = OpenedLog { disk_id: new_disk_id, state: PersistentState::default(), is_new: true };
            return Ok((Self { store, range: StoredRange::default() }, opened));
        }
        let recovered = encoding::read_all(pairs)?;
        let range = StoredRange {
            snapshot_index: recovered.hard_state.snapshot_index,
            last_index: recovered.hard_state.last_index,
        };
        let opened = OpenedLog { disk_id: recovered.disk_id, state: recovered.state, is_new: false };
        Ok((Self { store, range }, opened))
    }

    /// Stores one write, durably before this returns. See `write_all`.
    pub fn write(&mut self, write: &Write) -> Result<(), StorageError> {
        self.write_all(std::slice::from_ref(write))
    }

    /// Stores writes in order in one batch, all or none, durably before this returns. After an error of the store it is
    /// unknown whether they are stored. Writing the same ones again is safe, and must be done before any other write.
    pub fn write_all(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let Some(newest) = writes.last() else { return Ok(()) };
        let mut batch = Batch::default();
        let mut range = self.range;
        for write in writes {
            range = add_write(&mut batch, range, write)?;
        }
        let hard_state = HardState {
            term: newest.term,
            voted_for: newest.voted_for,
            snapshot_index: range.snapshot_index,
            last_index: range.last_index,
            commit_index: newest.commit_index.0,
        };
        batch.put(encoding::HARD_STATE_KEY.to_vec(), encoding::encode_hard_state(&hard_state));
        self.store.commit(&batch)?;
        self.range = range;
        Ok(())
    }

    /// The index of the last stored entry, or the snapshot's index if there is none.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.range.last_index)
    }

    pub fn into_store(self) -> S {
        self.store
    }
}

/// Adds the operations of one write to a batch. Returns the part of the log that is stored after it.
fn add_write(batch: &mut Batch, mut range: StoredRange, write: &Write) -> Result<StoredRange, StorageError> {
    if let Some(LogIndex(from)) = write.truncate_from {
        let from = from.max(range.snapshot_index + 1);
        if from <= range.last_index {
            batch.delete_range(entry_key(from).to_vec(), encoding::AFTER_ENTRIES.to_vec());
            range.last_index = from - 1;
        }
    }
    if let Some(snapshot) = &write.snapshot {
        let LogIndex(index) = snapshot.index;
        // Recovery rejects larger indices, so they are not written either.
        if index < range.snapshot_index || index > encoding::MAX_INDEX {
            return Err(StorageError::NonContiguous { last: range.snapshot_index, found: index });
        }
        batch.put(encoding::SNAPSHOT_KEY.to_vec(), encoding::encode_snapshot(snapshot));
        batch.delete_range(entry_key(0).to_vec(), entry_key(index + 1).to_vec());
        range = StoredRange { snapshot_index: index, last_index: range.last_index.max(index) };
    }
    for entry in &write.entries {
        let LogIndex(index) = entry.index;
        if index <= range.snapshot_index {
            continue;
        }
        if index != range.last_index + 1 || index > encoding::MAX_INDEX {
            return Err(StorageError::NonContiguous { last: range.last_index, found: index });
        }
        batch.put(entry_key(index).to_vec(), encoding::encode_entry(entry));
        range.last_index = index;
    }
    Ok(range)
}
