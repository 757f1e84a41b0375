//! LogStore (durable state): the form of the core's state on disk and its recovery, over a `Store`.
//!
//! Each value carries a format version and a checksum over its key and bytes, so that what is torn, rotten or
//! misplaced is found out when it is read. The record of the hard state also tells which entries there must
//! be: an entry that is missing, even the newest, is an error and never a shorter log.

pub mod checksummed;
mod form;
mod store;

use consensus::{PersistentState, Write};
use thiserror::Error;
use types::{LogIndex, RunId};

use form::{Hard, entry_key};
pub use store::{Batch, KeyValuePairs, Operation, Store, StoreError};

/// Why a ledger can't be opened, or a write is not kept.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum StorageError {
    /// The store failed. Whether a batch it was handed is there is unknown until it has been kept again.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A value that is torn, rotten or not of this ledger; `at` names its key.
    #[error("{key} is damaged: {reason}")]
    Damaged { key: String, reason: &'static str },
    /// What must be there is not.
    #[error("{key} is missing")]
    Missing { key: String },
    /// A value written by a newer program.
    #[error("{key} has the form {format}, which this program does not know")]
    UnknownFormat { key: String, format: u8 },
    /// A write that does not follow on what is kept: it would leave a gap, or write over entries without a
    /// cut.
    #[error("entry {found} can't follow entry {last} of the log")]
    NonContiguous { last: u64, found: u64 },
}

/// What a disk held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedLog {
    /// The disk's life, the one it got when it was first opened.
    pub disk_id: RunId,
    pub state: PersistentState,
    /// The disk was empty; it promised nothing before.
    pub is_new: bool,
}

/// The state of one core machine on its store.
#[derive(Debug)]
pub struct LogStore<S> {
    store: S,
    /// What is kept, as of the last write that succeeded.
    span: Span,
}

/// Which part of the log is kept: entries after `base` (the snapshot's index) up to `last`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Span {
    base: u64,
    last: u64,
}

impl<S: Store> LogStore<S> {
    /// Opens what is in the store, or begins it with the life `fresh` if it is empty; the beginning is
    /// durable at return. Damage is an error that names its place: nothing is dropped to get on, since all
    /// that was ever kept may have been acknowledged.
    pub fn open(mut store: S, fresh: RunId) -> Result<(Self, OpenedLog), StorageError> {
        let all = store.scan(&[], &[])?;
        if all.is_empty() {
            let mut batch = Batch::default();
            batch.put(form::LIFE.to_vec(), form::seal_life(fresh));
            batch.put(form::HARD.to_vec(), form::seal_hard(&Hard::default()));
            store.commit(&batch)?;
            let opened = OpenedLog { disk_id: fresh, state: PersistentState::default(), is_new: true };
            return Ok((Self { store, span: Span::default() }, opened));
        }
        let recovered = form::read_all(all)?;
        let span = Span { base: recovered.hard.base, last: recovered.hard.last };
        let opened = OpenedLog { disk_id: recovered.life, state: recovered.saved, is_new: false };
        Ok((Self { store, span }, opened))
    }

    /// Keeps one write: durable at return. See `keep_all`.
    pub fn write(&mut self, write: &Write) -> Result<(), StorageError> {
        self.write_all(std::slice::from_ref(write))
    }

    /// Keeps writes in order in one batch, all or none: durable at return. After an error of the store it is
    /// unknown whether they are there; keeping the same ones again is safe, and must come before any other.
    pub fn write_all(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let Some(newest) = writes.last() else { return Ok(()) };
        let mut batch = Batch::default();
        let mut span = self.span;
        for write in writes {
            span = lay(&mut batch, span, write)?;
        }
        let (Write { term, voted_for: voted, .. }, LogIndex(committed)) = (newest, newest.commit_index);
        let hard = Hard { term: *term, voted: *voted, base: span.base, last: span.last, committed };
        batch.put(form::HARD.to_vec(), form::seal_hard(&hard));
        self.store.commit(&batch)?;
        self.span = span;
        Ok(())
    }

    /// The newest entry kept, or the snapshot's index where there is none.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.span.last)
    }

    pub fn into_store(self) -> S {
        self.store
    }
}

/// Adds one write's steps to a batch; tells what is kept after it.
fn lay(batch: &mut Batch, mut span: Span, write: &Write) -> Result<Span, StorageError> {
    if let Some(LogIndex(from)) = write.truncate_from {
        let from = from.max(span.base + 1);
        if from <= span.last {
            batch.delete_range(entry_key(from).to_vec(), form::AFTER_ENTRIES.to_vec());
            span.last = from - 1;
        }
    }
    if let Some(snapshot) = &write.snapshot {
        let LogIndex(index) = snapshot.index;
        // The second bound as in recovery: what could not be read back is not written.
        if index < span.base || index > form::INDEX_MOST {
            return Err(StorageError::NonContiguous { last: span.base, found: index });
        }
        batch.put(form::SNAPSHOT.to_vec(), form::seal_snapshot(snapshot));
        batch.delete_range(entry_key(0).to_vec(), entry_key(index + 1).to_vec());
        span = Span { base: index, last: span.last.max(index) };
    }
    for entry in &write.entries {
        let LogIndex(index) = entry.index;
        if index <= span.base {
            continue;
        }
        if index != span.last + 1 || index > form::INDEX_MOST {
            return Err(StorageError::NonContiguous { last: span.last, found: index });
        }
        batch.put(entry_key(index).to_vec(), form::seal_entry(entry));
        span.last = index;
    }
    Ok(span)
}
