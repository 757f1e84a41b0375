//! What is found on disk at a start: the ledger's values, the file of the store below it, the note of instances.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use consensus::{Entry, EntryPayload, Members, RaftNode, Snapshot, Write, WriteId};
use control_state::{Command, ControlState};
use membership::{Member, Role};
use playhouse::node::NodeCore;
use playhouse::settings::DerivedTimings;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use storage::{Batch, KeyValuePairs, LogStore, Operation, StorageError, Store, StoreError, checksummed};
use transport::{Directory, DiskStore};
use types::{LogIndex, NodeAddress, RunId, Term, VoterId};

use super::BILL;
use crate::shapes::{frames, joined};
use crate::{Cost, Shape, Signature, Target};

/// A store in memory that holds what is laid into it.
#[derive(Clone, Debug, Default)]
struct Laid(Arc<Mutex<BTreeMap<Vec<u8>, Vec<u8>>>>);

impl Laid {
    fn pairs(&self) -> MutexGuard<'_, BTreeMap<Vec<u8>, Vec<u8>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for Laid {
    fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let mut pairs = self.pairs();
        for step in batch.operations.clone() {
            match step {
                Operation::Put { key, value } => drop(pairs.insert(key, value)),
                Operation::Delete { key } => drop(pairs.remove(&key)),
                Operation::DeleteRange { from, until } => pairs.retain(|key, _| *key < from || *key >= until),
            }
        }
        Ok(())
    }

    fn scan(&mut self, _: &[u8], _: &[u8]) -> Result<KeyValuePairs, StoreError> {
        Ok(self.pairs().clone().into_iter().collect())
    }
}

/// A value a frame: flags, an entry's index, then the value without form and checksum, which are made here, so that
/// changes come past them.
pub struct LedgerStore;

const KINDS: [u8; 4] = *b"lhse";
/// Flags beside the kind.
const WRONG_SUM: u8 = 4;
const NEWER_FORM: u8 = 8;
const STRAY_KEY: u8 = 16;
const HEAD: usize = 5;

fn laid(input: &[u8]) -> Laid {
    let store = Laid::default();
    for frame in frames(input) {
        let Some(([flags, number], bytes)) = frame.split_first_chunk::<2>() else { continue };
        let kind = KINDS[usize::from(flags & 3)];
        let mut key = vec![kind];
        if kind == b'e' {
            // The highest numbers stand for the highest indices.
            let index = if *number > 250 { u64::MAX - u64::from(255 - number) } else { u64::from(*number) };
            key.extend_from_slice(&index.to_be_bytes());
        }
        if flags & STRAY_KEY != 0 {
            key.push(*number);
        }
        let form = if flags & NEWER_FORM != 0 { 2 } else { 1 };
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&key);
        hasher.update(&[form]);
        hasher.update(bytes);
        let sum = hasher.finalize() ^ u32::from(flags & WRONG_SUM != 0);
        store.pairs().insert(key, [&[form], &sum.to_le_bytes()[..], bytes].concat());
    }
    store
}

/// The opposite of `laid`, for what a ledger wrote.
fn taken_down(store: &Laid) -> Vec<u8> {
    let frame = |(key, value): (&Vec<u8>, &Vec<u8>)| {
        let kind = KINDS.iter().position(|kind| *kind == key[0]).unwrap_or(0) as u8;
        let number = if key.len() == 9 { key[8] } else { 0 };
        [&[kind, number], &value[HEAD..]].concat()
    };
    joined(store.pairs().iter().map(frame))
}

fn seat(machine: u8) -> VoterId {
    VoterId { address: NodeAddress([10, 0, 0, machine].into()), disk_id: RunId(machine.into()) }
}

fn entry(index: u64) -> Entry {
    let what = match index % 4 {
        0 => EntryPayload::Noop,
        1 => EntryPayload::Members(Members(vec![seat(1), seat(2)])),
        _ => EntryPayload::Command(Command::Seen { service: "s".into(), version: "v1".into() }.encode_v1()),
    };
    Entry { index: LogIndex(index), term: Term(1), payload: what }
}

fn writes() -> Vec<Write> {
    let write = |entries: &[u64], snapshot| Write {
        id: WriteId(1),
        term: Term(2),
        voted_for: Some(seat(1)),
        commit_index: LogIndex(3),
        truncate_from: None,
        entries: entries.iter().map(|index| entry(*index)).collect(),
        snapshot,
    };
    let mut script = ControlState::new();
    script.apply(
        0,
        LogIndex(3),
        &Command::Replace { base: types::ConfigVersion(0), text: BILL.into() }.encode_v1(),
    );
    let data = script.snapshot();
    let snapshot = Snapshot { index: LogIndex(3), term: Term(1), members: Members(vec![seat(1)]), data };
    vec![write(&[1, 2, 3, 4, 5, 6], None), write(&[], Some(snapshot))]
}

impl Target for LedgerStore {
    fn name(&self) -> &'static str {
        "ledger"
    }

    fn shape(&self) -> Shape {
        Shape::Frames(&Shape::Packed)
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let store = Laid::default();
        let (mut ledger, _) = LogStore::open(store.clone(), RunId(7)).expect("an empty one opens");
        let states = writes().into_iter().map(|write| {
            ledger.write(&write).expect("it fits");
            taken_down(&store)
        });
        let mut seeds: Vec<_> = states.collect();
        // A log that is next to its last index: sums on indices that come from a disk must hold there too.
        let store = Laid::default();
        let (mut ledger, _) = LogStore::open(store.clone(), RunId(7)).expect("an empty one opens");
        let mut last = writes().remove(1);
        if let Some(snapshot) = &mut last.snapshot {
            (snapshot.index, snapshot.data) = (LogIndex((u64::MAX >> 1) - 1), vec![1, 2, 3]);
        }
        ledger.write(&last).expect("it fits");
        seeds.push(taken_down(&store));
        seeds
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 3 << 20, each: 2_000 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let store = laid(input);
        let before = store.pairs().clone();
        let (mut ledger, opened) = match LogStore::open(store.clone(), RunId(7)) {
            Ok(opened) => opened,
            Err(error) => {
                assert_eq!(*store.pairs(), before, "a refusal changes nothing");
                let kind = match &error {
                    StorageError::Damaged { reason: why, .. } => why,
                    StorageError::Missing { .. } => "missing",
                    StorageError::UnknownFormat { .. } => "newer",
                    StorageError::Store(_) | StorageError::NonContiguous { .. } => {
                        panic!("no error of a start: {error}")
                    }
                };
                signature.text("error", kind);
                let at = error.to_string();
                signature.text("at", at.split(' ').next().unwrap_or(""));
                return signature;
            }
        };
        signature.mark("fresh", u64::from(opened.is_new));
        signature.bucket("entries", opened.state.entries.len() as u64);
        signature.mark("snapshot", u64::from(opened.state.snapshot.is_some()));
        signature.mark("voted", u64::from(opened.state.voted_for.is_some()));
        signature.bucket("term", opened.state.term.0);
        signature.bucket("committed", opened.state.commit_index.0);
        let (_, again) = LogStore::open(store.clone(), RunId(8)).expect("it opens again");
        assert_eq!((&again.state, again.disk_id), (&opened.state, opened.disk_id), "it reads back the same");
        // Whoever starts on it goes on, or says that it can't.
        let (book, effects) =
            RaftNode::start(seat(1), None, opened.state.clone(), DerivedTimings::default().consensus, 5, 0);
        signature.bucket("effects", effects.len() as u64);
        signature.mark("member", u64::from(book.is_member()));
        if let Some(snapshot) = &opened.state.snapshot {
            let restored = ControlState::new().restore(0, snapshot.index, &snapshot.data);
            let error = restored.err().map(|error| error.to_string()).unwrap_or_default();
            signature.text("restored", error.split(':').next().unwrap_or(""));
        }
        // The next entry fits, where there is an index left for one.
        let next = ledger.last_index().0 + 1;
        if next <= u64::MAX >> 1 {
            let write = Write { entries: vec![entry(next)], snapshot: None, ..writes()[0].clone() };
            let kept = ledger.write(&write);
            assert_eq!(kept, Ok(()), "what follows is kept");
            let (_, again) = LogStore::open(store, RunId(8)).expect("it opens again");
            assert_eq!(again.state.entries.len(), opened.state.entries.len() + 1);
        }
        signature
    }
}

/// Files in memory by name.
#[derive(Clone, Debug, Default)]
struct Files(Arc<Mutex<BTreeMap<String, Arc<InMemoryBackend>>>>);

#[derive(Debug)]
struct Held(Arc<InMemoryBackend>);

impl StorageBackend for Held {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let end = offset.checked_add(out.len() as u64);
        // As a file does, and unlike the memory below, which would panic.
        if end.is_none_or(|end| self.0.len().is_ok_and(|length| end > length)) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.0.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        if length > IMAGE_MOST {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.0.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let end = offset.checked_add(data.len() as u64);
        if end.is_none_or(|end| self.0.len().is_ok_and(|length| end > length)) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.0.write(offset, data)
    }
}

/// The disk is so large.
const IMAGE_MOST: u64 = 64 << 20;
const STORE_NAME: &str = "ledger.redb";

impl Directory for Files {
    type File = Held;

    fn open(&self, name: &str) -> io::Result<Option<Held>> {
        Ok(self.files().get(name).cloned().map(Held))
    }

    fn create(&self, name: &str) -> io::Result<Held> {
        let file = Arc::new(InMemoryBackend::new());
        self.files().insert(name.to_owned(), file.clone());
        Ok(Held(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.files();
        let file = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Files {
    fn files(&self) -> MutexGuard<'_, BTreeMap<String, Arc<InMemoryBackend>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn of(image: &[u8]) -> Files {
        let all = Files::default();
        let file = InMemoryBackend::new();
        file.set_len(image.len() as u64).and_then(|()| file.write(0, image)).expect("memory takes it");
        all.files().insert(STORE_NAME.to_owned(), Arc::new(file));
        all
    }

    fn image(&self) -> Vec<u8> {
        let file = self.files().get(STORE_NAME).cloned().expect("it was made");
        let mut image = vec![0; file.len().expect("memory has a length") as usize];
        file.read(0, &mut image).expect("it can be read");
        image
    }
}

/// The store's file with some of its bytes changed: a frame is a place (4 bytes, little-endian) and what stands
/// there instead; one of 4 bytes alone cuts the file there.
pub struct RedbFile {
    image: Vec<u8>,
    pairs: KeyValuePairs,
    /// Where bytes stand that are not 0, first of each run.
    written: Vec<usize>,
}

impl RedbFile {
    pub fn new() -> RedbFile {
        let folder = Files::default();
        let mut store = DiskStore::open_in(folder.clone()).expect("an empty one is made");
        let mut batch = Batch::default();
        for number in 0..40u8 {
            batch.put(vec![b'e', number], vec![number; usize::from(number) * 20]);
        }
        store.commit(&batch).expect("it is kept");
        let pairs = store.scan(&[], &[]).expect("it can be read");
        drop(store);
        let image = folder.image();
        let first = |at: &usize| image[*at] != 0 && (*at == 0 || image[at - 1] == 0);
        let written = (0..image.len()).filter(first).collect();
        RedbFile { image, pairs, written }
    }
}

impl Default for RedbFile {
    fn default() -> RedbFile {
        RedbFile::new()
    }
}

impl Target for RedbFile {
    fn name(&self) -> &'static str {
        "redb"
    }

    fn shape(&self) -> Shape {
        Shape::Frames(&Shape::Packed)
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let patch = |at: &usize| [&(*at as u32).to_le_bytes()[..], &self.image[*at..*at + 8]].concat();
        let some: Vec<Vec<u8>> =
            self.written.iter().step_by(self.written.len().div_ceil(48)).map(patch).collect();
        let head: Vec<Vec<u8>> = (0..320).step_by(8).map(|at| patch(&at)).collect();
        vec![joined(&some[..8.min(some.len())]), joined(&some), joined(&head)]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 64 << 20, each: 1 << 16 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let mut image = self.image.clone();
        let mut first = None;
        for frame in frames(input).into_iter().take(64) {
            let Some((at, bytes)) = frame.split_first_chunk::<4>() else { continue };
            let at = u32::from_le_bytes(*at) as usize % (image.len().max(1));
            let end = (at + bytes.len()).min(image.len());
            if bytes.is_empty() {
                image.truncate(at);
            } else if image[at..end] != bytes[..end - at] {
                first = first.or(Some(at));
                image[at..end].copy_from_slice(&bytes[..end - at]);
            }
        }
        let sound = image == self.image;
        signature.bucket("place", first.unwrap_or(0) as u64);
        let folder = Files::of(&image);
        match DiskStore::open_in(folder.clone()) {
            Ok(mut store) => {
                signature.mark("opened", 1);
                let pairs = store.scan(&[], &[]).expect("what was opened can be read");
                assert!(!sound || pairs == self.pairs, "a sound file gives all back");
                signature.bucket("pairs", pairs.len() as u64);
                signature.mark("same", u64::from(pairs == self.pairs));
                let mut batch = Batch::default();
                batch.put(b"new".to_vec(), vec![1; 100]);
                store.commit(&batch).expect("what was opened can be written");
                drop(store);
                let again = DiskStore::open_in(folder).expect("it opens again").scan(&[], &[]);
                let known = pairs.iter().any(|(key, _)| key == b"new");
                assert_eq!(again.map(|pairs| pairs.len()), Ok(pairs.len() + usize::from(!known)));
            }
            Err(error) => {
                assert!(!sound, "a sound file is no damage: {error}");
                assert!(folder.image() == image, "what is damaged is left as it is");
                signature.text("error", &error.to_string());
            }
        }
        signature
    }
}

/// The file `instances` that a prompter's house takes up at its start: one byte that tells whether the checksum
/// is right, then the bytes below it.
pub struct NoteFile;

fn house(seed: u64) -> NodeCore {
    let own = Member {
        address: NodeAddress([10, 0, 0, 1].into()),
        run_id: RunId(1),
        role: Role::ControlNode,
        zone: "z".into(),
        name: "n".into(),
        version: types::NodeVersion::CURRENT,
    };
    NodeCore::start(own, vec![NodeAddress([10, 0, 0, 2].into())], 1_500_000, seed, 0)
}

/// A house's memory holds spans, so that it is written at the moment of reading.
const NOW: i64 = 5_000_000;

impl Target for NoteFile {
    fn name(&self) -> &'static str {
        "note"
    }

    fn shape(&self) -> Shape {
        Shape::Packed
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let mut some = house(1);
        for number in 0..3u8 {
            let beat = registry::Heartbeat {
                id: registry::InstanceId(format!("i{number}")),
                service: "s".into(),
                address: format!("10.0.1.{number}:80").parse().expect("an address"),
                zone: "z".into(),
                version: "v1".into(),
                slots: 4,
                draining: number == 2,
                warmup_left: 1_000_000 * i64::from(number),
                sequence: 7,
            };
            some.heartbeat(1_000, types::CallId(number.into()), beat);
        }
        let memory = some.encode_instances(NOW);
        assert!(memory.len() > 60, "it remembers instances");
        vec![
            [&[1], &memory[..]].concat(),
            [&[1], &house(1).encode_instances(NOW)[..]].concat(),
            vec![0, 1, 2],
        ]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 3 << 20, each: 4_000 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let (sound, bytes) = input.split_first().map_or((0, input), |(flag, bytes)| (flag & 1, bytes));
        let mut sealed = checksummed::encode(bytes);
        if sound == 0
            && let Some(byte) = sealed.first_mut()
        {
            *byte ^= 1;
        }
        let opened = checksummed::decode(&sealed);
        assert_eq!(opened, (sound == 1).then_some(bytes), "what is damaged is dropped, and nothing else");
        let mut fresh = house(1);
        let nothing = fresh.encode_instances(NOW);
        fresh.restore_instances(NOW, bytes);
        let memory = fresh.encode_instances(NOW);
        signature.mark("sound", u64::from(sound));
        signature.mark("nothing", u64::from(memory == nothing));
        let records: Vec<_> = fresh.registry.instances().map(|record| record.state as u64).collect();
        signature.bucket("records", records.len() as u64);
        for state in records {
            signature.mark("state", state);
        }
        let mut again = house(1);
        again.restore_instances(NOW, &memory);
        assert_eq!(again.encode_instances(NOW), memory, "it reads back the same");
        fresh.tick(i64::MAX / 4);
        signature
    }
}
