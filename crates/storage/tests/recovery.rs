//! Recovery: what is kept comes back as it was, and what is damaged says so.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use consensus::{Entry, EntryPayload, Members, PersistentState, Snapshot, Write, WriteId};
use storage::{Batch, KeyValuePairs, LogStore, OpenedLog, Operation, StorageError, Store, StoreError};
use types::{LogIndex, NodeAddress, RunId, Term, VoterId};

type Contents = BTreeMap<Vec<u8>, Vec<u8>>;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fails {
    #[default]
    Never,
    /// The put changes nothing.
    Before,
    /// The put's changes are made all the same.
    After,
}

/// A store whose clones share its contents.
#[derive(Clone, Debug, Default)]
struct Memory(Arc<Mutex<(Contents, Fails)>>);

impl Memory {
    fn contents(&self) -> Contents {
        self.0.lock().unwrap().0.clone()
    }

    fn fails(&self, fails: Fails) {
        self.0.lock().unwrap().1 = fails;
    }

    fn of(contents: Contents) -> Self {
        Self(Arc::new(Mutex::new((contents, Fails::Never))))
    }
}

impl Store for Memory {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let (pairs, fails) = &mut *self.0.lock().unwrap();
        let steps = if *fails == Fails::Before { vec![] } else { batch.operations.clone() };
        for step in steps {
            match step {
                Operation::Put { key, value } => drop(pairs.insert(key, value)),
                Operation::Delete { key } => drop(pairs.remove(&key)),
                Operation::DeleteRange { from, until } => pairs.retain(|key, _| *key < from || *key >= until),
            }
        }
        if *fails == Fails::Never {
            return Ok(());
        }
        Err(StoreError::Failed { operation: "writing", reason: "as asked".into() })
    }

    fn scan(&mut self, _: &[u8], _: &[u8]) -> Result<KeyValuePairs, StoreError> {
        Ok(self.contents().into_iter().collect())
    }
}

const LIFE: RunId = RunId(0xfeed);

fn seat(machine: u8) -> VoterId {
    VoterId { address: NodeAddress([10, 0, 0, machine].into()), disk_id: RunId(machine.into()) }
}

fn entry(index: u64, term: u64) -> Entry {
    let what = match index % 4 {
        0 => EntryPayload::Noop,
        1 => EntryPayload::Members(Members(vec![seat(1), seat(2)])),
        _ => EntryPayload::Command(vec![index as u8; index as usize * 100]),
    };
    Entry { index: LogIndex(index), term: Term(term), payload: what }
}

fn write(term: u64, cut_from: Option<u64>, entries: &[Entry]) -> Write {
    Write {
        id: WriteId(1),
        term: Term(term),
        voted_for: Some(seat(term as u8)),
        commit_index: LogIndex(term + 2),
        truncate_from: cut_from.map(LogIndex),
        entries: entries.to_vec(),
        snapshot: None,
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot { index: LogIndex(index), term: Term(1), members: Members(vec![seat(3)]), data: vec![9; 5_000] }
}

fn reopen(ledger: LogStore<Memory>) -> (LogStore<Memory>, OpenedLog) {
    LogStore::open(ledger.into_store(), RunId(1)).expect("a sound ledger opens")
}

/// Entries 4 to 6 after a snapshot of 1 to 3.
fn some() -> LogStore<Memory> {
    let (mut ledger, opened) = LogStore::open(Memory::default(), LIFE).unwrap();
    assert_eq!(opened, OpenedLog { disk_id: LIFE, state: PersistentState::default(), is_new: true });
    ledger.write(&write(1, None, &[1, 2, 3, 4, 5, 6].map(|i| entry(i, 1)))).unwrap();
    ledger.write(&Write { snapshot: Some(snapshot(3)), ..write(1, None, &[]) }).unwrap();
    ledger
}

#[test]
fn what_is_kept_comes_back() {
    let (mut ledger, opened) = reopen(some());
    let saved = PersistentState {
        term: Term(1),
        voted_for: Some(seat(1)),
        commit_index: LogIndex(3),
        snapshot: Some(snapshot(3)),
        entries: [4, 5, 6].map(|i| entry(i, 1)).to_vec(),
    };
    assert_eq!(opened, OpenedLog { disk_id: LIFE, state: saved, is_new: false });
    // Two writes in one batch: a new leader's entries, then the next term's vote.
    ledger.write_all(&[write(2, Some(5), &[entry(5, 2)]), write(3, None, &[entry(6, 3)])]).unwrap();
    let (mut ledger, opened) = reopen(ledger);
    assert_eq!(opened.state.entries, [entry(4, 1), entry(5, 2), entry(6, 3)]);
    assert_eq!((opened.state.term, opened.state.voted_for), (Term(3), Some(seat(3))));
    // A leader's snapshot that is ahead of the whole log, with entries about it.
    let ahead = Write { snapshot: Some(snapshot(9)), ..write(3, None, &[8, 9, 10].map(|i| entry(i, 3))) };
    ledger.write(&ahead).unwrap();
    let (ledger, opened) = reopen(ledger);
    assert_eq!((opened.state.snapshot, opened.state.entries), (Some(snapshot(9)), vec![entry(10, 3)]));
    assert_eq!(ledger.last_index(), LogIndex(10));
}

#[test]
fn a_write_that_leaves_a_gap_or_goes_back_is_refused_and_changes_nothing() {
    let store = some().into_store();
    let (mut ledger, _) = LogStore::open(store.clone(), LIFE).unwrap();
    let before = store.contents();
    let misfit = |last, found| Err(StorageError::NonContiguous { last, found });
    assert_eq!(ledger.write(&write(1, None, &[entry(8, 1)])), misfit(6, 8));
    assert_eq!(ledger.write(&write(1, None, &[entry(6, 1)])), misfit(6, 6));
    assert_eq!(ledger.write(&write(1, Some(5), &[entry(6, 1)])), misfit(4, 6));
    let older = Write { snapshot: Some(snapshot(2)), ..write(1, None, &[]) };
    assert_eq!(ledger.write_all(&[write(1, None, &[entry(7, 1)]), older]), misfit(3, 2));
    assert_eq!(store.contents(), before);
    assert_eq!(ledger.write(&write(1, None, &[entry(7, 1)])), Ok(()));
}

#[test]
fn a_write_that_failed_can_be_kept_again_whether_or_not_it_was() {
    for fails in [Fails::Before, Fails::After] {
        let store = some().into_store();
        let (mut ledger, _) = LogStore::open(store.clone(), LIFE).unwrap();
        store.fails(fails);
        let mut writes = vec![write(2, Some(6), &[entry(6, 2), entry(7, 2)])];
        assert!(matches!(ledger.write_all(&writes), Err(StorageError::Store(_))));
        // What came meanwhile is kept with it.
        writes.push(Write { snapshot: Some(snapshot(6)), ..write(3, Some(7), &[entry(7, 3)]) });
        assert!(matches!(ledger.write_all(&writes), Err(StorageError::Store(_))));
        store.fails(Fails::Never);
        assert_eq!(ledger.write_all(&writes), Ok(()));
        let (_, opened) = reopen(ledger);
        assert_eq!((opened.state.snapshot, opened.state.entries), (Some(snapshot(6)), vec![entry(7, 3)]));
        assert_eq!((opened.disk_id, opened.state.term), (LIFE, Term(3)));
    }
}

#[test]
fn any_byte_that_rots_is_found_and_named() {
    let sound = some().into_store().contents();
    let keys: Vec<_> = sound.keys().cloned().collect();
    assert_eq!(keys.len(), 6);
    for key in &keys {
        for at in 0..sound[key].len() {
            let mut rotten = sound.clone();
            rotten.get_mut(key).unwrap()[at] ^= 1 << (at % 8);
            let found = LogStore::open(Memory::of(rotten), LIFE).map(|_| ());
            assert!(matches!(found, Err(StorageError::Damaged { .. })), "{key:?} at {at}: {found:?}");
        }
        let mut torn = sound.clone();
        torn.get_mut(key).unwrap().pop();
        assert!(matches!(LogStore::open(Memory::of(torn), LIFE), Err(StorageError::Damaged { .. })));
    }
    // A sound value in another's place.
    let mut swapped = sound.clone();
    swapped.insert(keys[1].clone(), sound[&keys[0]].clone());
    let found = LogStore::open(Memory::of(swapped), LIFE).map(|_| ());
    assert_eq!(
        found,
        Err(StorageError::Damaged { key: "entry 5".into(), reason: "its checksum does not match" })
    );
}

#[test]
fn whatever_is_missing_is_an_error_and_never_a_shorter_log() {
    let sound = some().into_store().contents();
    for key in sound.keys() {
        let mut robbed = sound.clone();
        robbed.remove(key);
        let found = LogStore::open(Memory::of(robbed), LIFE).map(|_| ());
        let named = matches!(found, Err(StorageError::Missing { .. } | StorageError::Damaged { .. }));
        assert!(named, "{key:?}: {found:?}");
    }
    let mut stray = sound.clone();
    stray.insert(b"x".to_vec(), vec![1]);
    assert!(matches!(LogStore::open(Memory::of(stray), LIFE), Err(StorageError::Damaged { .. })));
}
