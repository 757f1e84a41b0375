//! In-memory store for tests that can fail like a disk. Clones share the contents, so that a test can
//! simulate a power failure under an open ledger and open it again.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use storage::{Batch, KeyValuePairs, Operation, Store, StoreError};

/// How the next writes fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Each write fails and changes nothing, as on a full disk.
    Refuse,
    /// Each write fails, but its changes are visible until a power failure, as when only the sync fails.
    Unsynced,
    /// Each write claims success, but its changes last only until a power failure, as on a disk that
    /// acknowledges syncs it has not done.
    Lying,
}

#[derive(Debug, Default)]
struct Contents {
    live: BTreeMap<Vec<u8>, Vec<u8>>,
    /// What survives a power failure, if it differs from `live`.
    durable: Option<BTreeMap<Vec<u8>, Vec<u8>>>,
    fault: Fault,
    put_count: u64,
}

/// Store in memory; clones share the contents.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore(Arc<Mutex<Contents>>);

impl MemoryStore {
    /// Sets how the next writes fail.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Simulates a power failure: changes that no write has made durable are lost, and writes succeed again.
    pub fn lose_power(&self) {
        let mut contents = self.lock();
        if let Some(durable) = contents.durable.take() {
            contents.live = durable;
        }
        contents.fault = Fault::None;
    }

    /// Changes a stored value as silent data corruption would. Returns whether the key exists.
    pub fn corrupt(&self, key: &[u8], change: impl FnOnce(&mut Vec<u8>)) -> bool {
        self.lock().live.get_mut(key).map(change).is_some()
    }

    /// Number of writes that were tried.
    pub fn put_count(&self) -> u64 {
        self.lock().put_count
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for MemoryStore {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let mut contents = self.lock();
        contents.put_count += 1;
        let injected_error =
            || Err(StoreError::Failed { operation: "writing", reason: "as the test asked".into() });
        match contents.fault {
            Fault::Refuse => return injected_error(),
            Fault::Unsynced | Fault::Lying if contents.durable.is_none() => {
                contents.durable = Some(contents.live.clone());
            }
            // A durable write makes all earlier ones durable.
            Fault::None => contents.durable = None,
            Fault::Unsynced | Fault::Lying => {}
        }
        for step in &batch.operations {
            match step {
                Operation::Put { key, value } => {
                    contents.live.insert(key.clone(), value.clone());
                }
                Operation::Delete { key } => {
                    contents.live.remove(key);
                }
                Operation::DeleteRange { from, until } => {
                    contents.live.retain(|key, _| key < from || key >= until);
                }
            }
        }
        if contents.fault == Fault::Unsynced { injected_error() } else { Ok(()) }
    }

    fn scan(&mut self, from: &[u8], until: &[u8]) -> Result<KeyValuePairs, StoreError> {
        let contents = self.lock();
        let range = (Bound::Included(from), Bound::Unbounded);
        let pairs = contents.live.range::<[u8], _>(range);
        let within = pairs.take_while(|(key, _)| until.is_empty() || &key[..] < until);
        Ok(within.map(|(key, value)| (key.clone(), value.clone())).collect())
    }
}
