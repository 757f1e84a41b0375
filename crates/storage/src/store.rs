//! What a ledger asks of a store.

use thiserror::Error;

/// Why a store could not do what it was asked to. After a failed `put` the batch is there whole or not at
/// all.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The disk is full, gone or failing; later tries may succeed.
    #[error("{operation}: {reason}")]
    Failed { operation: &'static str, reason: String },
    /// What is on disk can't be read as a store any more.
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

/// Changes that are made together, in order: all or none. Carrying out the same batch again, whether or not
/// it was carried out before, gives the same store.
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

/// Keys with their values, in the order of the keys.
pub type KeyValuePairs = Vec<(Vec<u8>, Vec<u8>)>;

/// Ordered keys with values that outlast the process and a loss of power. May wait for the disk.
pub trait Store: Send {
    /// Makes the batch's changes, atomic and durable at return.
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError>;

    /// Keys from `from` (included) to `until` (not included; empty: no bound), in order, with their values.
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
