//! The key-value store that a log store is built on.

use thiserror::Error;

/// Why a store failed. After a failed `commit` the batch is stored as a whole or not at all.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The disk is full, gone or failing; later tries may succeed.
    #[error("{operation}: {reason}")]
    Failed { operation: &'static str, reason: String },
    /// The data on disk can no longer be read as a store.
    #[error("store is damaged: {reason}")]
    Damaged { reason: String },
}

/// One change of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
    },
    Delete {
        key: Vec<u8>,
    },
    /// Deletes all keys from `from` (included) to `until` (not included).
    DeleteRange {
        from: Vec<u8>,
        until: Vec<u8>,
    },
}

/// Changes that are made in order and atomically: all or none. Committing the same batch twice gives the same store as
/// committing it once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    pub operations: Vec<Operation>,
}

impl Batch {
    pub fn put(&mut self, key: Vec<u8>, value: Vec<u8>) {
        self.operations.push(Operation::Put { key, value });
    }

    pub fn delete(&mut self, key: Vec<u8>) {
        self.operations.push(Operation::Delete { key });
    }

    pub fn delete_range(&mut self, from: Vec<u8>, until: Vec<u8>) {
        self.operations.push(Operation::DeleteRange { from, until });
    }
}

/// Keys with their values, sorted by key.
pub type KeyValuePairs = Vec<(Vec<u8>, Vec<u8>)>;

/// An ordered key-value store whose contents survive the end of the process and a loss of power. Its methods may block on
/// the disk.
pub trait Store: Send {
    /// Makes the changes of a batch, atomically, and durably before this returns.
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError>;

    /// Returns the keys from `from` (included) to `until` (not included; no bound if empty) with their values, sorted by key.
    fn scan(&mut self, from: &[u8], until: &[u8]) -> Result<KeyValuePairs, StoreError>;
}

impl<S: Store + ?Sized> Store for Box<S> {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        (**self).commit(batch)
    }

    fn scan(&mut self, from: &[u8], until: &[u8]) -> Result<KeyValuePairs, StoreError> {
        (**self).scan(from, until)
    }
}
