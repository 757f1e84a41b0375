//! Power: the disk store on a seeded disk that loses power, fails and tears, as the pages on disks tell.

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

#[derive(Clone, Debug, Default)]
struct Data {
    durable: Vec<u8>,
    live: Vec<u8>,
    unsynced: Vec<Change>,
}

/// A disk: files by number, names by what lasts and what is seen.
#[derive(Debug, Default)]
struct Disk {
    files: Vec<Data>,
    names: BTreeMap<String, usize>,
    lasting: BTreeMap<String, usize>,
    chance: u64,
    /// Calls that change something until they begin to fail.
    left: Option<u64>,
    failed: u64,
}

#[derive(Clone, Debug, Default)]
struct ShakyFolder(Arc<Mutex<Disk>>);

#[derive(Debug)]
struct ShakyFile {
    disk: Arc<Mutex<Disk>>,
    number: usize,
}

impl Change {
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
    fn draw(&mut self, below: u64) -> u64 {
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.chance >> 33) % below
    }

    /// Counts a call that changes something; fails it when its time has come.
    fn step(&mut self) -> io::Result<()> {
        match &mut self.left {
            Some(0) => {
                self.failed += 1;
                Err(io::Error::other("disk fails"))
            }
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// A sync that fails forgets what it should have written, as kernels do: no later one makes that last.
    fn sync(&mut self, number: usize) -> io::Result<()> {
        let fate = self.step();
        let data = &mut self.files[number];
        for change in data.unsynced.drain(..) {
            if fate.is_ok() {
                change.apply(&mut data.durable, None);
            }
        }
        fate?;
        let names: Vec<_> = self.names.iter().filter(|(_, at)| **at == number).collect();
        for (name, _) in names {
            // A new file's own sync makes it last; a name it got by renaming needs the folder's.
            if !self.lasting.values().any(|at| *at == number) {
                self.lasting.insert(name.clone(), number);
            }
        }
        Ok(())
    }

    /// Each change since the last sync is there, missing or torn; at times all are missing.
    fn lose_power(&mut self) {
        let all_gone = self.draw(3) == 0;
        for number in 0..self.files.len() {
            for change in std::mem::take(&mut self.files[number].unsynced) {
                let torn = match if all_gone { 2 } else { self.draw(3) } {
                    0 => None,
                    1 => Some(self.draw(5_000) as usize),
                    _ => continue,
                };
                change.apply(&mut self.files[number].durable, torn);
            }
            self.files[number].live = self.files[number].durable.clone();
        }
        // The folder's changes of one moment last together, or not at all.
        if self.draw(2) == 0 {
            self.lasting = self.names.clone();
        }
        self.names = self.lasting.clone();
        self.left = None;
    }
}

impl ShakyFolder {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap()
    }
}

impl Directory for ShakyFolder {
    type File = ShakyFile;

    fn open(&self, name: &str) -> io::Result<Option<ShakyFile>> {
        let number = self.disk().names.get(name).copied();
        Ok(number.map(|number| ShakyFile { disk: self.0.clone(), number }))
    }

    fn create(&self, name: &str) -> io::Result<ShakyFile> {
        let mut disk = self.disk();
        disk.step()?;
        let number = disk.files.len();
        disk.files.push(Data::default());
        disk.names.insert(name.into(), number);
        Ok(ShakyFile { disk: self.0.clone(), number })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        let number = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.into(), number);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.step()?;
        disk.lasting = disk.names.clone();
        Ok(())
    }
}

impl StorageBackend for ShakyFile {
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

impl ShakyFile {
    fn change(&self, change: Change) -> io::Result<()> {
        let mut disk = self.disk.lock().unwrap();
        disk.step()?;
        let data = &mut disk.files[self.number];
        change.apply(&mut data.live, None);
        data.unsynced.push(change);
        Ok(())
    }
}

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

/// A batch by chance, and the contents after it.
fn some_batch(disk: &ShakyFolder, before: &Model) -> (Batch, Model) {
    let mut disk = disk.disk();
    let (mut batch, mut after) = (Batch::default(), before.clone());
    for _ in 0..=disk.draw(4) {
        let key = vec![disk.draw(20) as u8];
        match disk.draw(6) {
            0 => {
                let until = vec![key[0] + disk.draw(6) as u8];
                after.retain(|k, _| *k < key || *k >= until);
                batch.delete_range(key, until);
            }
            1 => {
                after.remove(&key);
                batch.delete(key);
            }
            kind => {
                let longest = if kind == 5 { 40_000 } else { 300 };
                let value = vec![disk.draw(256) as u8; disk.draw(longest) as usize];
                after.insert(key.clone(), value.clone());
                batch.put(key, value);
            }
        }
    }
    (batch, after)
}

fn contents(folder: &ShakyFolder) -> (DiskStore<ShakyFolder>, Model) {
    let mut store = DiskStore::open_in(folder.clone()).expect("a sound disk opens");
    let all = store.scan(&[], &[]).expect("a sound disk is read");
    (store, all.into_iter().collect())
}

/// Many disks, each with days of batches that end in a loss of power, a kill, or a disk that fails at any
/// call (during its first making too): what was acknowledged is there, and what was in doubt is there whole
/// or not.
#[test]
fn what_was_acknowledged_outlasts_power_kills_and_failing_disks() {
    let mut acknowledged = 0;
    for seed in 0..16 {
        let folder = ShakyFolder::default();
        folder.disk().chance = seed;
        let (mut sure, mut doubt) = (Model::new(), None);
        for day in 0..8 {
            let left = folder.disk().draw(if day == 0 { 40 } else { 120 });
            folder.disk().left = Some(left);
            if let Ok(mut store) = DiskStore::open_in(folder.clone()) {
                for _ in 0..20 {
                    let (batch, after) = some_batch(&folder, &sure);
                    match store.commit(&batch) {
                        Ok(()) => sure = after,
                        Err(error) => {
                            assert!(matches!(error, StoreError::Failed { .. }), "seed {seed}: {error}");
                            doubt = Some(after);
                            break;
                        }
                    }
                    acknowledged += 1;
                }
            }
            if folder.disk().draw(4) > 0 {
                folder.disk().lose_power();
            }
            folder.disk().left = None;
            let (_, found) = contents(&folder);
            assert!(found == sure || Some(&found) == doubt.as_ref(), "seed {seed}, day {day}");
            (sure, doubt) = (found, None);
        }
    }
    assert!(acknowledged > 200, "{acknowledged}: the disks failed too early to tell anything");
}

/// A sync that fails, then works again: the store goes on with the same process, and what it acknowledges
/// after that lasts although the pages of the failed sync never reached the disk.
#[test]
fn a_failed_sync_is_not_papered_over_by_the_next() {
    let mut went_on = 0;
    for seed in 0..24 {
        let folder = ShakyFolder::default();
        folder.disk().chance = seed;
        let (mut store, mut sure) = contents(&folder);
        for _ in 0..3 {
            let left = folder.disk().draw(25);
            folder.disk().left = Some(left);
            for _ in 0..6 {
                let (batch, after) = some_batch(&folder, &sure);
                if store.commit(&batch).is_err() {
                    folder.disk().left = None;
                    store.commit(&batch).expect("the disk works again");
                    went_on += 1;
                }
                sure = after;
            }
        }
        folder.disk().lose_power();
        assert_eq!(contents(&folder).1, sure, "seed {seed}");
    }
    assert!(went_on > 20, "{went_on}");
}

/// A ledger on a disk that is killed at its first start, at every call in turn: never an error, and the life
/// is the one that was answered, if one was.
#[test]
fn a_first_start_may_be_cut_short_anywhere() {
    let mut begun = 0;
    for left in (0..120).step_by(2) {
        let folder = ShakyFolder::default();
        folder.disk().chance = left;
        folder.disk().left = Some(left);
        let first = DiskStore::open_in(folder.clone()).map(|store| LogStore::open(store, RunId(7)));
        let answered = matches!(first, Ok(Ok(_)));
        begun += u64::from(answered);
        drop(first);
        folder.disk().lose_power();
        let store = DiskStore::open_in(folder.clone()).expect("a cut first start is no damage");
        let (mut ledger, opened) = LogStore::open(store, RunId(8)).expect("nor is it for the ledger");
        assert!(!answered || (opened.disk_id == RunId(7) && !opened.is_new), "cut after {left} calls");
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
    assert!(begun > 10 && begun < 55, "{begun}");
}

fn entries(from: u64, upto: u64, term: u64) -> Vec<Entry> {
    let what = |index: u64| EntryPayload::Command(vec![index as u8; 40 + 97 * (index % 40) as usize]);
    (from..=upto)
        .map(|index| Entry { index: LogIndex(index), term: Term(term), payload: what(index) })
        .collect()
}

fn snapshot(index: u64, term: u64) -> Option<Snapshot> {
    let data = vec![index as u8; 20_000 + 400 * index as usize];
    Some(Snapshot { index: LogIndex(index), term: Term(term), members: Members::default(), data })
}

/// What a member writes in its life: entries, an own snapshot beside new entries, entries of another leader in place of
/// some, a leader's snapshot in the middle of the log and what is after it cut, one that is ahead of the whole log, and
/// one with entries behind it.
fn life_of_writes() -> Vec<Write> {
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

/// Keeps the writes from the `at`th on, until one fails; the state that is sure then, and one that may be.
fn live_on(
    folder: &ShakyFolder, mut sure: PersistentState, mut at: usize,
) -> (PersistentState, Option<PersistentState>, usize) {
    let Ok(Ok((mut ledger, opened))) =
        DiskStore::open_in(folder.clone()).map(|store| LogStore::open(store, RunId(7)))
    else {
        return (sure, None, at);
    };
    assert_eq!(opened.state, sure, "it starts with what it had");
    for write in &life_of_writes()[at..] {
        let mut after = sure.clone();
        after.apply_write(write.clone());
        match ledger.write(write) {
            Ok(()) => (sure, at) = (after, at + 1),
            Err(_) => return (sure, Some(after), at),
        }
    }
    (sure, None, at)
}

/// A crash, a loss of power or both at every call of a life in which snapshots are taken and installed: what is read
/// back is what was answered, or that and the write in doubt, whole; and life goes on from there to the same end.
#[test]
fn a_snapshot_may_be_cut_short_at_every_step() {
    let writes = life_of_writes();
    let mut end = PersistentState::default();
    writes.iter().for_each(|write| end.apply_write(write.clone()));
    let (mut doubts, mut landed, mut left) = (0, 0, 0);
    loop {
        let folder = ShakyFolder::default();
        folder.disk().chance = left;
        drop(live_on(&folder, PersistentState::default(), writes.len()));
        folder.disk().left = Some(left);
        let (sure, doubt, at) = live_on(&folder, PersistentState::default(), 0);
        let failed = folder.disk().failed > 0;
        if left % 3 > 0 {
            folder.disk().lose_power();
        }
        folder.disk().left = None;
        let store = DiskStore::open_in(folder.clone()).expect("a cut write is no damage");
        let found = LogStore::open(store, RunId(8)).expect("nor is it for the ledger").1;
        assert!(found.state == sure || Some(&found.state) == doubt.as_ref(), "call {left}, write {at}");
        assert_eq!(found.disk_id, RunId(7), "call {left}");
        let whole = doubt.is_some() && found.state != sure;
        doubts += u64::from(doubt.is_some());
        landed += u64::from(whole);
        let (last, none, _) = live_on(&folder, found.state, at + usize::from(whole));
        assert_eq!((last, none), (end.clone(), None), "call {left}: not the same end");
        if !failed {
            break;
        }
        left += 1;
    }
    println!("{left} calls, {doubts} writes in doubt, {landed} of them landed");
    assert!(left > 60 && doubts > 40 && landed > 0 && landed < doubts, "{left} {doubts} {landed}");
}

/// A damaged file is set aside, and an empty one begun, with a crash or a loss of power at every call: a disk that has
/// begun anew shows always that it was in use before, so that it is never taken for the one of a first voter.
#[test]
fn setting_aside_may_be_cut_short_at_every_step() {
    let (mut still, mut begun, mut left) = (0, 0, 0);
    loop {
        let folder = ShakyFolder::default();
        folder.disk().chance = left;
        let (sure, ..) = live_on(&folder, PersistentState::default(), 0);
        {
            let mut disk = folder.disk();
            let number = disk.names["ledger.redb"];
            for data in [&mut disk.files[number].live.clone(), &mut disk.files[number].durable.clone()] {
                let half = data.len() / 2;
                data[..half].fill(0xa5);
                disk.files[number] = Data { durable: data.clone(), live: data.clone(), unsynced: Vec::new() };
            }
        }
        let begin = |life: u64| -> Result<PersistentState, StoreError> {
            let store = match DiskStore::open_in(folder.clone()) {
                Err(StoreError::Damaged { .. }) => {
                    DiskStore::set_aside_in(&folder)?;
                    DiskStore::open_in(folder.clone())?
                }
                store => store?,
            };
            let opened = LogStore::open(store, RunId(life))
                .map_err(|error| StoreError::Failed { operation: "opening", reason: error.to_string() })?;
            Ok(opened.1.state)
        };
        folder.disk().left = Some(left);
        let first = begin(11);
        if left % 3 > 0 {
            folder.disk().lose_power();
        }
        folder.disk().left = None;
        let aside = || folder.disk().names.contains_key("ledger.bad");
        match DiskStore::open_in(folder.clone()) {
            Err(StoreError::Damaged { .. }) => {
                assert!(first.is_err(), "call {left}");
                still += 1;
            }
            Err(error) => panic!("call {left}: {error}"),
            Ok(_) => {
                assert!(aside(), "call {left}: begun anew, and nothing tells of the life before");
                begun += 1;
            }
        }
        assert_eq!(begin(12), Ok(PersistentState::default()), "call {left}");
        assert!(aside() && sure != PersistentState::default());
        if first.is_ok() {
            break;
        }
        left += 1;
    }
    println!("{left} calls, {still} still damaged, {begun} begun anew");
    assert!(still > 0 && begun > 5, "{still} {begun}");
}
