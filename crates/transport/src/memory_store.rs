//! Memory store: a store without a disk, with the failures of one. Its clones share the contents, so that a
//! test can lose power under a ledger and open it again.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use storage::{Batch, KeyValuePairs, Operation, Store, StoreError};

/// How the next puts fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Each put fails and changes nothing, as on a full disk.
    Refuse,
    /// Each put fails, but its changes are there until power is lost, as when only the sync fails.
    Unsynced,
    /// Each put claims success, but its changes last only until power is lost, as on a disk that lies.
    Lying,
}

#[derive(Debug, Default)]
struct Contents {
    live: BTreeMap<Vec<u8>, Vec<u8>>,
    /// What outlasts a loss of power, where it differs from `live`.
    durable: Option<BTreeMap<Vec<u8>, Vec<u8>>>,
    fault: Fault,
    puts: u64,
}

#[derive(Clone, Debug, Default)]
pub struct MemoryStore(Arc<Mutex<Contents>>);

impl MemoryStore {
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// All that no put has made durable is gone; puts work again.
    pub fn lose_power(&self) {
        let mut contents = self.lock();
        if let Some(durable) = contents.durable.take() {
            contents.live = durable;
        }
        contents.fault = Fault::None;
    }

    /// Changes the value of a key behind the back of whoever uses the store, as rot does; tells if there is
    /// one.
    pub fn corrupt(&self, key: &[u8], change: impl FnOnce(&mut Vec<u8>)) -> bool {
        self.lock().live.get_mut(key).map(change).is_some()
    }

    /// How many puts were tried.
    pub fn put_count(&self) -> u64 {
        self.lock().puts
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for MemoryStore {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let mut contents = self.lock();
        contents.puts += 1;
        let error = || Err(StoreError::Failed { operation: "writing", reason: "as the test asked".into() });
        match contents.fault {
            Fault::Refuse => return error(),
            Fault::Unsynced | Fault::Lying if contents.durable.is_none() => {
                contents.durable = Some(contents.live.clone());
            }
            // A put that is durable makes all before it so.
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
        if contents.fault == Fault::Unsynced { error() } else { Ok(()) }
    }

    fn scan(&mut self, from: &[u8], until: &[u8]) -> Result<KeyValuePairs, StoreError> {
        let contents = self.lock();
        let range = (Bound::Included(from), Bound::Unbounded);
        let pairs = contents.live.range::<[u8], _>(range);
        let within = pairs.take_while(|(key, _)| until.is_empty() || &key[..] < until);
        Ok(within.map(|(key, value)| (key.clone(), value.clone())).collect())
    }
}
