//! The disk store on a simulated, seeded disk with power failures, failing calls and torn writes.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use consensus::{Entry, EntryPayload, Members, PersistentState, Snapshot, Write, WriteId};
use redb::StorageBackend;
use storage::{Batch, LogStore, Store, StoreError};
use transport::{Directory, DiskStore};
use types::{LogIndex, RunId, Term};

#[derive(Clone, Debug)]
enum Change {
    Bytes(usize, Vec<u8>),
    Length(usize),
}

/// Contents of a file: what is on the disk, what a reader sees, and the changes in between.
#[derive(Clone, Debug, Default)]
struct Data {
    durable: Vec<u8>,
    live: Vec<u8>,
    unsynced: Vec<Change>,
}

/// A simulated disk: files by number, and the names as they are visible and as they are durable.
#[derive(Debug, Default)]
struct Disk {
    files: Vec<Data>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    rng_state: u64,
    /// Number of modifying calls that still succeed before calls begin to fail. `None`: no call fails.
    calls_until_failure: Option<u64>,
    failed_calls: u64,
}

#[derive(Clone, Debug, Default)]
struct FaultyDirectory(Arc<Mutex<Disk>>);

#[derive(Debug)]
struct FaultyFile {
    disk: Arc<Mutex<Disk>>,
    number: usize,
}

impl Change {
    /// Applies the change; of a torn write, only the first `torn` bytes.
    fn apply(&self, data: &mut Vec<u8>, torn: Option<usize>) {
        match self {
            Self::Bytes(at, bytes) => {
                let bytes = &bytes[..torn.unwrap_or(bytes.len()).min(bytes.len())];
                if data.len() < at + bytes.len() {
                    data.resize(at + bytes.len(), 0);
                }
                data[*at..at + bytes.len()].copy_from_slice(bytes);
            }
            Self::Length(length) => data.resize(*length, 0),
        }
    }
}

impl Disk {
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % bound
    }

    /// Counts a modifying call, and fails it if no more calls are to succeed.
    fn count_call(&mut self) -> io::Result<()> {
        match &mut self.calls_until_failure {
            Some(0) => {
                self.failed_calls += 1;
                Err(io::Error::other("disk fails"))
            }
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// A sync that fails drops the changes it should have written, as kernels do: no later sync makes them
    /// durable.
    fn sync(&mut self, number: usize) -> io::Result<()> {
        let result = self.count_call();
        let data = &mut self.files[number];
        for change in data.unsynced.drain(..) {
            if result.is_ok() {
                change.apply(&mut data.durable, None);
            }
        }
        result?;
        let names: Vec<_> = self.names.iter().filter(|(_, at)| **at == number).collect();
        for (name, _) in names {
            // The sync of a new file makes its name durable; a name it got by renaming needs a sync of the
            // directory.
            if !self.durable_names.values().any(|at| *at == number) {
                self.durable_names.insert(name.clone(), number);
            }
        }
        Ok(())
    }

    /// After a power failure, each change since the last sync is applied, missing or torn; sometimes all are
    /// missing.
    fn lose_power(&mut self) {
        let all_missing = self.random_below(3) == 0;
        for number in 0..self.files.len() {
            for change in std::mem::take(&mut self.files[number].unsynced) {
                let torn = match if all_missing { 2 } else { self.random_below(3) } {
                    0 => None,
                    1 => Some(self.random_below(5_000) as usize),
                    _ => continue,
                };
                change.apply(&mut self.files[number].durable, torn);
            }
            self.files[number].live = self.files[number].durable.clone();
        }
        // The unsynced changes of the directory survive together or not at all.
        if self.random_below(2) == 0 {
            self.durable_names = self.names.clone();
        }
        self.names = self.durable_names.clone();
        self.calls_until_failure = None;
    }
}

impl FaultyDirectory {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap()
    }
}

impl Directory for FaultyDirectory {
    type File = FaultyFile;

    fn open(&self, name: &str) -> io::Result<Option<FaultyFile>> {
        let number = self.disk().names.get(name).copied();
        Ok(number.map(|number| FaultyFile { disk: self.0.clone(), number }))
    }

    fn create(&self, name: &str) -> io::Result<FaultyFile> {
        let mut disk = self.disk();
        disk.count_call()?;
        let number = disk.files.len();
        disk.files.push(Data::default());
        disk.names.insert(name.into(), number);
        Ok(FaultyFile { disk: self.0.clone(), number })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_call()?;
        let number = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.into(), number);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_call()?;
        disk.durable_names = disk.names.clone();
        Ok(())
    }
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.disk.lock().unwrap().files[self.number].live.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let disk = self.disk.lock().unwrap();
        let at = offset as usize;
        let bytes = disk.files[self.number].live.get(at..at + out.len());
        out.copy_from_slice(bytes.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::Length(len as usize))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.disk.lock().unwrap().sync(self.number)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Bytes(offset as usize, data.to_vec()))
    }
}

impl FaultyFile {
    fn change(&self, change: Change) -> io::Result<()> {
        let mut disk = self.disk.lock().unwrap();
        disk.count_call()?;
        let data = &mut disk.files[self.number];
        change.apply(&mut data.live, None);
        data.unsynced.push(change);
        Ok(())
    }
}

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

/// A random batch, and the contents after it.
fn random_batch(disk: &FaultyDirectory, before: &Model) -> (Batch, Model) {
    let mut disk = disk.disk();
    let (mut batch, mut after) = (Batch::default(), before.clone());
    for _ in 0..=disk.random_below(4) {
        let key = vec![disk.random_below(20) as u8];
        match disk.random_below(6) {
            0 => {
                let until = vec![key[0] + disk.random_below(6) as u8];
                after.retain(|k, _| *k < key || *k >= until);
                batch.delete_range(key, until);
            }
            1 => {
                after.remove(&key);
                batch.delete(key);
            }
            kind => {
                let longest = if kind == 5 { 40_000 } else { 300 };
                let value = vec![disk.random_below(256) as u8; disk.random_below(longest) as usize];
                after.insert(key.clone(), value.clone());
                batch.put(key, value);
            }
        }
    }
    (batch, after)
}

fn contents(directory: &FaultyDirectory) -> (DiskStore<FaultyDirectory>, Model) {
    let mut store = DiskStore::open_in(directory.clone()).expect("a store on a working disk opens");
    let all = store.scan(&[], &[]).expect("a working disk can be read");
    (store, all.into_iter().collect())
}

/// Many disks, each with several sessions of batches that end in a power failure, a kill, or a disk that
/// fails at any call (also during its first creation). Acknowledged batches survive; a batch in doubt is
/// there completely or not at all.
#[test]
fn acknowledged_batches_survive_power_failures_kills_and_failing_disks() {
    let mut batches = 0;
    for seed in 0..16 {
        let directory = FaultyDirectory::default();
        directory.disk().rng_state = seed;
        let (mut acknowledged_state, mut state_in_doubt) = (Model::new(), None);
        for session in 0..8 {
            let calls = directory.disk().random_below(if session == 0 { 40 } else { 120 });
            directory.disk().calls_until_failure = Some(calls);
            if let Ok(mut store) = DiskStore::open_in(directory.clone()) {
                for _ in 0..20 {
                    let (batch, after) = random_batch(&directory, &acknowledged_state);
                    match store.commit(&batch) {
                        Ok(()) => acknowledged_state = after,
                        Err(error) => {
                            assert!(matches!(error, StoreError::Failed { .. }), "seed {seed}: {error}");
                            state_in_doubt = Some(after);
                            break;
                        }
                    }
                    batches += 1;
                }
            }
            if directory.disk().random_below(4) > 0 {
                directory.disk().lose_power();
            }
            directory.disk().calls_until_failure = None;
            let (_, found) = contents(&directory);
            assert!(
                found == acknowledged_state || Some(&found) == state_in_doubt.as_ref(),
                "seed {seed}, session {session}"
            );
            (acknowledged_state, state_in_doubt) = (found, None);
        }
    }
    assert!(batches > 200, "{batches} batches: the disks failed too early for the test to mean anything");
}

/// A sync fails and then works again while the process goes on: what the store acknowledges after that
/// survives, although the pages of the failed sync never reached the disk.
#[test]
fn a_failed_sync_is_not_masked_by_a_later_one() {
    let mut recoveries = 0;
    for seed in 0..24 {
        let directory = FaultyDirectory::default();
        directory.disk().rng_state = seed;
        let (mut store, mut acknowledged) = contents(&directory);
        for _ in 0..3 {
            let calls = directory.disk().random_below(25);
            directory.disk().calls_until_failure = Some(calls);
            for _ in 0..6 {
                let (batch, after) = random_batch(&directory, &acknowledged);
                if store.commit(&batch).is_err() {
                    directory.disk().calls_until_failure = None;
                    store.commit(&batch).expect("the disk works again");
                    recoveries += 1;
                }
                acknowledged = after;
            }
        }
        directory.disk().lose_power();
        assert_eq!(contents(&directory).1, acknowledged, "seed {seed}");
    }
    assert!(recoveries > 20, "{recoveries}");
}

/// The first start of a ledger is interrupted at every second call in turn: the next start never fails, and
/// keeps the disk's id if the first one had returned it.
#[test]
fn a_first_start_may_be_interrupted_at_any_call() {
    let mut opened_count = 0;
    for calls in (0..120).step_by(2) {
        let directory = FaultyDirectory::default();
        directory.disk().rng_state = calls;
        directory.disk().calls_until_failure = Some(calls);
        let first = DiskStore::open_in(directory.clone()).map(|store| LogStore::open(store, RunId(7)));
        let opened_first = matches!(first, Ok(Ok(_)));
        opened_count += u64::from(opened_first);
        drop(first);
        directory.disk().lose_power();
        let store = DiskStore::open_in(directory.clone()).expect("an interrupted first start is no damage");
        let (mut ledger, opened) = LogStore::open(store, RunId(8)).expect("nor is it damage to the ledger");
        assert!(
            !opened_first || (opened.disk_id == RunId(7) && !opened.is_new),
            "interrupted after {calls} calls"
        );
        let entry = Entry { index: LogIndex(1), term: Term(1), payload: EntryPayload::Noop };
        let write = Write {
            id: WriteId(1),
            term: Term(1),
            voted_for: None,
            commit_index: LogIndex(0),
            truncate_from: None,
            entries: vec![entry],
            snapshot: None,
        };
        assert_eq!(ledger.write(&write), Ok(()));
    }
    assert!(opened_count > 10 && opened_count < 55, "{opened_count}");
}

fn entries(from: u64, to: u64, term: u64) -> Vec<Entry> {
    let what = |index: u64| EntryPayload::Command(vec![index as u8; 40 + 97 * (index % 40) as usize]);
    (from..=to)
        .map(|index| Entry { index: LogIndex(index), term: Term(term), payload: what(index) })
        .collect()
}

fn snapshot(index: u64, term: u64) -> Option<Snapshot> {
    let data = vec![index as u8; 20_000 + 400 * index as usize];
    Some(Snapshot { index: LogIndex(index), term: Term(term), members: Members::default(), data })
}

/// All kinds of writes of a voter: entries, an own snapshot with new entries, entries of another leader that
/// replace some, a leader's snapshot within the log with the entries after it cut off, one beyond the end of
/// the log, and one followed by entries.
fn sequence_of_writes() -> Vec<Write> {
    let write = |term: u64, cut: Option<u64>, entries: Vec<Entry>, snapshot: Option<Snapshot>| Write {
        id: WriteId(1),
        term: Term(term),
        voted_for: None,
        commit_index: LogIndex(snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0)),
        truncate_from: cut.map(LogIndex),
        entries,
        snapshot,
    };
    vec![
        write(1, None, entries(1, 20, 1), None),
        write(1, None, entries(21, 24, 1), snapshot(15, 1)),
        write(2, Some(22), entries(22, 30, 2), None),
        write(3, Some(27), Vec::new(), snapshot(26, 2)),
        write(3, None, Vec::new(), snapshot(60, 3)),
        write(3, None, entries(61, 70, 3), None),
        write(4, None, entries(71, 80, 4), snapshot(70, 3)),
    ]
}

/// Performs the writes from index `next` on, until one fails. Returns the acknowledged state, the state after
/// the failed write, which is in doubt, and the index of the next write.
fn continue_writes(
    directory: &FaultyDirectory, mut acknowledged: PersistentState, mut next: usize,
) -> (PersistentState, Option<PersistentState>, usize) {
    let Ok(Ok((mut ledger, opened))) =
        DiskStore::open_in(directory.clone()).map(|store| LogStore::open(store, RunId(7)))
    else {
        return (acknowledged, None, next);
    };
    assert_eq!(opened.state, acknowledged, "the ledger starts with the acknowledged state");
    for write in &sequence_of_writes()[next..] {
        let mut after = acknowledged.clone();
        after.apply_write(write.clone());
        match ledger.write(write) {
            Ok(()) => (acknowledged, next) = (after, next + 1),
            Err(_) => return (acknowledged, Some(after), next),
        }
    }
    (acknowledged, None, next)
}

/// A crash, a power failure or both at every call of a sequence in which snapshots are taken and installed.
/// EntryPayload is read back is the acknowledged state, or that with the complete write in doubt, and the sequence
/// continues from there to the same final state.
#[test]
fn a_snapshot_may_be_interrupted_at_every_call() {
    let writes = sequence_of_writes();
    let mut final_state = PersistentState::default();
    writes.iter().for_each(|write| final_state.apply_write(write.clone()));
    let (mut doubtful_writes, mut durable_writes, mut calls) = (0, 0, 0);
    loop {
        let directory = FaultyDirectory::default();
        directory.disk().rng_state = calls;
        drop(continue_writes(&directory, PersistentState::default(), writes.len()));
        directory.disk().calls_until_failure = Some(calls);
        let (acknowledged, in_doubt, next) = continue_writes(&directory, PersistentState::default(), 0);
        let failed = directory.disk().failed_calls > 0;
        if calls % 3 > 0 {
            directory.disk().lose_power();
        }
        directory.disk().calls_until_failure = None;
        let store = DiskStore::open_in(directory.clone()).expect("an interrupted write is no damage");
        let opened = LogStore::open(store, RunId(8)).expect("nor is it damage to the ledger").1;
        assert!(
            opened.state == acknowledged || Some(&opened.state) == in_doubt.as_ref(),
            "call {calls}, write {next}"
        );
        assert_eq!(opened.disk_id, RunId(7), "call {calls}");
        let write_survived = in_doubt.is_some() && opened.state != acknowledged;
        doubtful_writes += u64::from(in_doubt.is_some());
        durable_writes += u64::from(write_survived);
        let (continued_state, none, _) =
            continue_writes(&directory, opened.state, next + usize::from(write_survived));
        assert_eq!(
            (continued_state, none),
            (final_state.clone(), None),
            "call {calls}: not the same final state"
        );
        if !failed {
            break;
        }
        calls += 1;
    }
    println!("{calls} calls, {doubtful_writes} writes in doubt, {durable_writes} of them durable");
    assert!(
        calls > 60 && doubtful_writes > 40 && durable_writes > 0 && durable_writes < doubtful_writes,
        "{calls} {doubtful_writes} {durable_writes}"
    );
}

/// A damaged file is set aside and an empty one created, with a crash or a power failure at every call. A
/// disk with a new file always shows that it was in use before, so that it is never taken for the disk of a
/// first voter.
#[test]
fn setting_aside_may_be_interrupted_at_every_call() {
    let (mut still_damaged, mut recreated, mut calls) = (0, 0, 0);
    loop {
        let directory = FaultyDirectory::default();
        directory.disk().rng_state = calls;
        let (acknowledged, ..) = continue_writes(&directory, PersistentState::default(), 0);
        {
            let mut disk = directory.disk();
            let number = disk.names["ledger.redb"];
            for data in [&mut disk.files[number].live.clone(), &mut disk.files[number].durable.clone()] {
                let half = data.len() / 2;
                data[..half].fill(0xa5);
                disk.files[number] = Data { durable: data.clone(), live: data.clone(), unsynced: Vec::new() };
            }
        }
        let open_or_recreate = |disk_id: u64| -> Result<PersistentState, StoreError> {
            let store = match DiskStore::open_in(directory.clone()) {
                Err(StoreError::Damaged { .. }) => {
                    DiskStore::set_aside_in(&directory)?;
                    DiskStore::open_in(directory.clone())?
                }
                store => store?,
            };
            let opened = LogStore::open(store, RunId(disk_id))
                .map_err(|error| StoreError::Failed { operation: "opening", reason: error.to_string() })?;
            Ok(opened.1.state)
        };
        directory.disk().calls_until_failure = Some(calls);
        let first = open_or_recreate(11);
        if calls % 3 > 0 {
            directory.disk().lose_power();
        }
        directory.disk().calls_until_failure = None;
        let was_set_aside = || directory.disk().names.contains_key("ledger.bad");
        match DiskStore::open_in(directory.clone()) {
            Err(StoreError::Damaged { .. }) => {
                assert!(first.is_err(), "call {calls}");
                still_damaged += 1;
            }
            Err(error) => panic!("call {calls}: {error}"),
            Ok(_) => {
                assert!(was_set_aside(), "call {calls}: recreated without a trace of the damaged file");
                recreated += 1;
            }
        }
        assert_eq!(open_or_recreate(12), Ok(PersistentState::default()), "call {calls}");
        assert!(was_set_aside() && acknowledged != PersistentState::default());
        if first.is_ok() {
            break;
        }
        calls += 1;
    }
    println!("{calls} calls, {still_damaged} still damaged, {recreated} recreated");
    assert!(still_damaged > 0 && recreated > 5, "{still_damaged} {recreated}");
}
