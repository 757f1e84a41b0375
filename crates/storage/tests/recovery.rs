//! Recovery: what was written is read back unchanged, and damage is reported with its place.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use consensus::{Entry, EntryPayload, Members, PersistentState, Snapshot, Write, WriteId};
use storage::{Batch, KeyValuePairs, LogStore, OpenedLog, Operation, StorageError, Store, StoreError};
use types::{LogIndex, NodeAddress, RunId, Term, VoterId};

type Contents = BTreeMap<Vec<u8>, Vec<u8>>;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CommitFailure {
    #[default]
    None,
    /// The commit fails and changes nothing.
    NotStored,
    /// The commit fails although its changes are made.
    StoredAnyway,
}

/// A store whose clones share its contents.
#[derive(Clone, Debug, Default)]
struct MemoryStore(Arc<Mutex<(Contents, CommitFailure)>>);

impl MemoryStore {
    fn contents(&self) -> Contents {
        self.0.lock().unwrap().0.clone()
    }

    fn set_failure(&self, failure: CommitFailure) {
        self.0.lock().unwrap().1 = failure;
    }

    fn of(contents: Contents) -> Self {
        Self(Arc::new(Mutex::new((contents, CommitFailure::None))))
    }
}

impl Store for MemoryStore {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let (pairs, failure) = &mut *self.0.lock().unwrap();
        let operations = if *failure == CommitFailure::NotStored { vec![] } else { batch.operations.clone() };
        for operation in operations {
            match operation {
                Operation::Put { key, value } => drop(pairs.insert(key, value)),
                Operation::Delete { key } => drop(pairs.remove(&key)),
                Operation::DeleteRange { from, until } => pairs.retain(|key, _| *key < from || *key >= until),
            }
        }
        if *failure == CommitFailure::None {
            return Ok(());
        }
        Err(StoreError::Failed { operation: "writing", reason: "as asked".into() })
    }

    fn scan(&mut self, _: &[u8], _: &[u8]) -> Result<KeyValuePairs, StoreError> {
        Ok(self.contents().into_iter().collect())
    }
}

const DISK_ID: RunId = RunId(0xfeed);

fn voter(number: u8) -> VoterId {
    VoterId { address: NodeAddress([10, 0, 0, number].into()), disk_id: RunId(number.into()) }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = match index % 4 {
        0 => EntryPayload::Noop,
        1 => EntryPayload::Members(Members(vec![voter(1), voter(2)])),
        _ => EntryPayload::Command(vec![index as u8; index as usize * 100]),
    };
    Entry { index: LogIndex(index), term: Term(term), payload }
}

fn write(term: u64, truncate_from: Option<u64>, entries: &[Entry]) -> Write {
    Write {
        id: WriteId(1),
        term: Term(term),
        voted_for: Some(voter(term as u8)),
        commit_index: LogIndex(term + 2),
        truncate_from: truncate_from.map(LogIndex),
        entries: entries.to_vec(),
        snapshot: None,
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot { index: LogIndex(index), term: Term(1), members: Members(vec![voter(3)]), data: vec![9; 5_000] }
}

fn reopen(log: LogStore<MemoryStore>) -> (LogStore<MemoryStore>, OpenedLog) {
    LogStore::open(log.into_store(), RunId(1)).expect("an undamaged log opens")
}

/// A log with entries 4 to 6 and a snapshot of entries 1 to 3.
fn log_with_snapshot() -> LogStore<MemoryStore> {
    let (mut log, opened) = LogStore::open(MemoryStore::default(), DISK_ID).unwrap();
    assert_eq!(opened, OpenedLog { disk_id: DISK_ID, state: PersistentState::default(), is_new: true });
    log.write(&write(1, None, &[1, 2, 3, 4, 5, 6].map(|i| entry(i, 1)))).unwrap();
    log.write(&Write { snapshot: Some(snapshot(3)), ..write(1, None, &[]) }).unwrap();
    log
}

#[test]
fn what_was_written_is_recovered() {
    let (mut log, opened) = reopen(log_with_snapshot());
    let state = PersistentState {
        term: Term(1),
        voted_for: Some(voter(1)),
        commit_index: LogIndex(3),
        snapshot: Some(snapshot(3)),
        entries: [4, 5, 6].map(|i| entry(i, 1)).to_vec(),
    };
    assert_eq!(opened, OpenedLog { disk_id: DISK_ID, state, is_new: false });
    // Two writes in one batch: a new leader's entries, then a vote in the next term.
    log.write_all(&[write(2, Some(5), &[entry(5, 2)]), write(3, None, &[entry(6, 3)])]).unwrap();
    let (mut log, opened) = reopen(log);
    assert_eq!(opened.state.entries, [entry(4, 1), entry(5, 2), entry(6, 3)]);
    assert_eq!((opened.state.term, opened.state.voted_for), (Term(3), Some(voter(3))));
    // A leader's snapshot that is ahead of the whole log, with entries before and after its index.
    let snapshot_ahead =
        Write { snapshot: Some(snapshot(9)), ..write(3, None, &[8, 9, 10].map(|i| entry(i, 3))) };
    log.write(&snapshot_ahead).unwrap();
    let (log, opened) = reopen(log);
    assert_eq!((opened.state.snapshot, opened.state.entries), (Some(snapshot(9)), vec![entry(10, 3)]));
    assert_eq!(log.last_index(), LogIndex(10));
}

#[test]
fn a_write_that_leaves_a_gap_or_goes_back_is_rejected_and_changes_nothing() {
    let store = log_with_snapshot().into_store();
    let (mut log, _) = LogStore::open(store.clone(), DISK_ID).unwrap();
    let before = store.contents();
    let non_contiguous = |last, found| Err(StorageError::NonContiguous { last, found });
    assert_eq!(log.write(&write(1, None, &[entry(8, 1)])), non_contiguous(6, 8));
    assert_eq!(log.write(&write(1, None, &[entry(6, 1)])), non_contiguous(6, 6));
    assert_eq!(log.write(&write(1, Some(5), &[entry(6, 1)])), non_contiguous(4, 6));
    let older_snapshot = Write { snapshot: Some(snapshot(2)), ..write(1, None, &[]) };
    assert_eq!(log.write_all(&[write(1, None, &[entry(7, 1)]), older_snapshot]), non_contiguous(3, 2));
    assert_eq!(store.contents(), before);
    assert_eq!(log.write(&write(1, None, &[entry(7, 1)])), Ok(()));
}

#[test]
fn a_failed_write_can_be_repeated_whether_or_not_it_was_stored() {
    for failure in [CommitFailure::NotStored, CommitFailure::StoredAnyway] {
        let store = log_with_snapshot().into_store();
        let (mut log, _) = LogStore::open(store.clone(), DISK_ID).unwrap();
        store.set_failure(failure);
        let mut writes = vec![write(2, Some(6), &[entry(6, 2), entry(7, 2)])];
        assert!(matches!(log.write_all(&writes), Err(StorageError::Store(_))));
        // What has gathered meanwhile is written with it.
        writes.push(Write { snapshot: Some(snapshot(6)), ..write(3, Some(7), &[entry(7, 3)]) });
        assert!(matches!(log.write_all(&writes), Err(StorageError::Store(_))));
        store.set_failure(CommitFailure::None);
        assert_eq!(log.write_all(&writes), Ok(()));
        let (_, opened) = reopen(log);
        assert_eq!((opened.state.snapshot, opened.state.entries), (Some(snapshot(6)), vec![entry(7, 3)]));
        assert_eq!((opened.disk_id, opened.state.term), (DISK_ID, Term(3)));
    }
}

#[test]
fn any_corrupted_byte_is_detected_and_its_key_named() {
    let undamaged = log_with_snapshot().into_store().contents();
    let keys: Vec<_> = undamaged.keys().cloned().collect();
    assert_eq!(keys.len(), 6);
    for key in &keys {
        for position in 0..undamaged[key].len() {
            let mut corrupted = undamaged.clone();
            corrupted.get_mut(key).unwrap()[position] ^= 1 << (position % 8);
            let result = LogStore::open(MemoryStore::of(corrupted), DISK_ID).map(|_| ());
            assert!(
                matches!(result, Err(StorageError::Damaged { .. })),
                "{key:?} at byte {position}: {result:?}"
            );
        }
        let mut torn = undamaged.clone();
        torn.get_mut(key).unwrap().pop();
        assert!(matches!(LogStore::open(MemoryStore::of(torn), DISK_ID), Err(StorageError::Damaged { .. })));
    }
    // An undamaged value under another key.
    let mut swapped = undamaged.clone();
    swapped.insert(keys[1].clone(), undamaged[&keys[0]].clone());
    let result = LogStore::open(MemoryStore::of(swapped), DISK_ID).map(|_| ());
    assert_eq!(
        result,
        Err(StorageError::Damaged { key: "entry 5".into(), reason: "its checksum does not match" })
    );
}

#[test]
fn a_missing_value_is_an_error_and_never_a_shorter_log() {
    let undamaged = log_with_snapshot().into_store().contents();
    for key in undamaged.keys() {
        let mut incomplete = undamaged.clone();
        incomplete.remove(key);
        let result = LogStore::open(MemoryStore::of(incomplete), DISK_ID).map(|_| ());
        let is_reported = matches!(result, Err(StorageError::Missing { .. } | StorageError::Damaged { .. }));
        assert!(is_reported, "{key:?}: {result:?}");
    }
    let mut stray = undamaged.clone();
    stray.insert(b"x".to_vec(), vec![1]);
    assert!(matches!(LogStore::open(MemoryStore::of(stray), DISK_ID), Err(StorageError::Damaged { .. })));
}
