//! Trouble: a disk that fails under the write thread, and peers that die, dawdle, lie or don't read.

mod common;

use std::time::Duration;

use common::{LONG, body, free_port, next, place, play};
use consensus::{Entry, EntryPayload, Write, WriteId};
use storage::{LogStore, StoreError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use transport::{
    DiskStore, DiskWriter, Fault, MemoryNetwork, MemoryStore, ReceivedMessage, SocketTransport, Transport,
    TransportLimits, WriteOutcome,
};
use types::{LogIndex, RunId, Term};

const SHORT: Duration = Duration::from_millis(200);

fn write(no: u64) -> Write {
    let entry =
        Entry { index: LogIndex(no), term: Term(1), payload: EntryPayload::Command(vec![no as u8; 50]) };
    Write {
        id: WriteId(no),
        term: Term(1),
        voted_for: None,
        commit_index: LogIndex(0),
        truncate_from: None,
        entries: vec![entry],
        snapshot: None,
    }
}

/// Every write is told of the failure once, none is lost or passed over, and all are answered in order when
/// the disk is well again; few syncs cover them.
#[test]
fn writes_wait_out_a_failing_disk_in_order() {
    let store = MemoryStore::default();
    let (ledger, _) = LogStore::open(store.clone(), RunId(1)).unwrap();
    let (mut writer, mut outcomes) = DiskWriter::start(ledger).unwrap();
    store.set_fault(Fault::Unsynced);
    for no in 1..=300 {
        assert!(writer.submit(write(no)));
    }
    for no in 1..=300 {
        assert_eq!(outcomes.blocking_recv(), Some(WriteOutcome { write_no: WriteId(no), durable: false }));
    }
    let tries = store.put_count();
    store.set_fault(Fault::None);
    for no in 1..=300 {
        assert_eq!(outcomes.blocking_recv(), Some(WriteOutcome { write_no: WriteId(no), durable: true }));
    }
    assert!(store.put_count() - tries < 10, "{} puts after the disk was well", store.put_count() - tries);
    assert!(writer.stop().is_some());
    store.lose_power();
    let (_, opened) = LogStore::open(store, RunId(2)).unwrap();
    assert_eq!((opened.disk_id, opened.state.entries.len()), (RunId(1), 300));
}

/// After a write that leaves a gap nothing more is taken: it could stand on what is not there.
#[test]
fn a_write_that_does_not_fit_ends_the_hand_with_the_ledger_sound() {
    let store = MemoryStore::default();
    let (ledger, _) = LogStore::open(store.clone(), RunId(1)).unwrap();
    let (mut writer, mut outcomes) = DiskWriter::start(ledger).unwrap();
    writer.submit(write(1));
    assert_eq!(outcomes.blocking_recv(), Some(WriteOutcome { write_no: WriteId(1), durable: true }));
    assert!(!writer.is_rejecting());
    writer.submit(write(3));
    assert_eq!(outcomes.blocking_recv(), Some(WriteOutcome { write_no: WriteId(3), durable: false }));
    assert!(writer.is_rejecting());
    writer.submit(write(2));
    writer.submit(write(4));
    for no in [2, 4] {
        assert_eq!(outcomes.blocking_recv(), Some(WriteOutcome { write_no: WriteId(no), durable: false }));
    }
    writer.stop();
    assert_eq!(LogStore::open(store, RunId(2)).unwrap().1.state.entries.len(), 1);
}

/// A peer that was away, and one that died with a stream open, are reached again in their next life.
#[test]
fn a_peer_that_comes_back_is_reached_again() {
    play(async {
        let port = free_port(&[place(1), place(2)]);
        let (a, _at_a) = SocketTransport::bind(place(1), port, TransportLimits::default()).unwrap();
        a.send(place(2), body(5_000, 0));
        for life in 1..=3 {
            let (b, mut at_b) = SocketTransport::bind(place(2), port, TransportLimits::default()).unwrap();
            let mut heard = None;
            while heard.is_none() {
                a.send(place(2), body(5_000, life));
                // What is sent into a dead stream is lost: ask again, as all who use a transport do.
                heard = timeout(SHORT, at_b.recv()).await.ok().flatten();
            }
            assert_eq!(heard.unwrap().from, place(1));
            // The stream's end and the freeing of the port come with the next turn of its tasks.
            drop((b, at_b));
            while std::net::UdpSocket::bind((place(2), port)).is_err() {
                tokio::task::yield_now().await;
            }
        }
    });
}

/// What waits for one peer is bounded by bytes: the oldest go, the newest arrive, in order.
#[test]
fn the_oldest_go_when_too_much_waits() {
    play(async {
        let port = free_port(&[place(1), place(2)]);
        let (a, _at_a) = SocketTransport::bind(place(1), port, TransportLimits::default()).unwrap();
        let (_b, mut at_b) = SocketTransport::bind(place(2), port, TransportLimits::default()).unwrap();
        for salt in 1..=6 {
            a.send(place(2), body(1 << 20, salt));
        }
        for salt in 4..=6 {
            assert!(next(&mut at_b).await.1 == body(1 << 20, salt), "message {salt}");
        }
        a.send(place(2), body(2_000, 7));
        assert!(next(&mut at_b).await.1 == body(2_000, 7));
    });
}

/// A peer that takes nothing costs its stream and its queue, nothing else; later words go by a new stream.
#[test]
fn a_peer_that_does_not_read_is_given_up() {
    play(async {
        let port = free_port(&[place(1), place(2), place(3)]);
        let limits = TransportLimits { write_timeout: SHORT, ..TransportLimits::default() };
        let (a, _at_a) = SocketTransport::bind(place(1), port, limits).unwrap();
        let (_c, mut at_c) = SocketTransport::bind(place(3), port, limits).unwrap();
        let mute = TcpListener::bind((place(2), port)).await.unwrap();
        a.send(place(2), vec![1; 15 << 20]);
        let (mut stream, from) = mute.accept().await.unwrap();
        assert_eq!((from.ip(), stream.read_u32().await.unwrap()), (place(1).into(), 15 << 20));
        a.send(place(2), vec![2; 2_000]);
        a.send(place(3), body(2_000, 3));
        assert!(next(&mut at_c).await.1 == body(2_000, 3));
        // The next stream can only be the one made after the first was given up.
        let again = async {
            loop {
                a.send(place(2), vec![3; 2_000]);
                if let Ok(accepted) = timeout(SHORT, mute.accept()).await {
                    return accepted.unwrap().0;
                }
            }
        };
        let mut second = timeout(LONG, again).await.expect("no second stream");
        let length = timeout(LONG, second.read_u32()).await.unwrap().unwrap();
        assert_eq!((length, second.read_u8().await.unwrap()), (2_000, 3));
        let mut all = Vec::new();
        let _ = timeout(LONG, stream.read_to_end(&mut all)).await.expect("first stream stays open");
        assert!(all.len() < 15 << 20);
    });
}

/// Streams that lie about lengths, dawdle or break off in a message are closed and hand on nothing.
#[test]
fn strange_streams_are_closed_and_hand_on_nothing() {
    play(async {
        let port = free_port(&[place(1), place(2)]);
        let limits =
            TransportLimits { frame_timeout: SHORT, idle_timeout: SHORT, ..TransportLimits::default() };
        let (a, mut at_a) = SocketTransport::bind(place(1), port, limits).unwrap();
        let connect = || TcpStream::connect((place(1), port));
        let mut liar = connect().await.unwrap();
        liar.write_u32(u32::MAX).await.unwrap();
        let mut dawdler = connect().await.unwrap();
        dawdler.write_all(&[0, 0, 8, 0, 1, 2, 3]).await.unwrap();
        let mut mute = connect().await.unwrap();
        let mut broken = connect().await.unwrap();
        broken.write_all(&[0, 0, 8, 0, 1, 2, 3]).await.unwrap();
        drop(broken);
        for stream in [&mut liar, &mut dawdler, &mut mute] {
            let mut end = Vec::new();
            let _ = timeout(LONG, stream.read_to_end(&mut end)).await.expect("a strange stream stays open");
            assert!(end.is_empty());
        }
        let (b, _at_b) = SocketTransport::bind(place(2), port, limits).unwrap();
        b.send(place(1), body(3_000, 9));
        assert!(next(&mut at_a).await.1 == body(3_000, 9), "something came before it");
        drop(a);
    });
}

/// The same seed loses the same messages, about as many as asked for.
#[test]
fn losses_in_memory_go_by_the_seed() {
    let heard = |seed| {
        play(async move {
            let network = MemoryNetwork::new(seed, 300, 1_000);
            let (a, _at_a) = network.attach(place(1));
            let (_b, mut at_b) = network.attach(place(2));
            let mut heard = Vec::new();
            for no in 0..200u8 {
                a.send(place(2), vec![no]);
            }
            while let Ok(ReceivedMessage { bytes, .. }) = at_b.try_recv() {
                heard.push(bytes[0]);
            }
            heard
        })
    };
    assert_eq!(heard(5), heard(5));
    assert_ne!(heard(5), heard(6));
    assert!((110..170).contains(&heard(5).len()), "{}", heard(5).len());
}

/// A file that can't be read is damage, whatever hit it, and nothing is begun over it until it is put aside.
#[test]
fn a_damaged_file_is_an_error_until_it_is_put_aside() {
    let dir = tempfile::tempdir().unwrap();
    let (mut ledger, _) = LogStore::open(DiskStore::open(dir.path()).unwrap(), RunId(1)).unwrap();
    (1..=50).for_each(|no| ledger.write(&write(no)).unwrap());
    drop(ledger);
    let file = dir.path().join("ledger.redb");
    let sound = std::fs::read(&file).unwrap();
    let mut found = 0;
    for at in (0..sound.len()).step_by(4_096) {
        let mut rotten = sound.clone();
        rotten[at..at + 64].fill(0xa5);
        std::fs::write(&file, rotten).unwrap();
        match DiskStore::open(dir.path()) {
            Err(StoreError::Damaged { .. }) => found += 1,
            Ok(store) => assert_eq!(LogStore::open(store, RunId(2)).unwrap().1.state.entries.len(), 50),
            Err(error) => panic!("{error}"),
        }
    }
    assert!(found > 0, "nothing of {} bytes mattered", sound.len());
    // A newer version of the library's format is named twice, and is no damage; once is.
    let mut newer = sound.clone();
    newer[64] = 4;
    std::fs::write(&file, &newer).unwrap();
    assert!(matches!(DiskStore::open(dir.path()), Err(StoreError::Damaged { .. })));
    newer[192] = 4;
    std::fs::write(&file, &newer).unwrap();
    let error = DiskStore::open(dir.path()).unwrap_err();
    assert!(error.to_string().contains("version 4"), "{error}");
    assert!(matches!(error, StoreError::Failed { .. }));
    assert_eq!(std::fs::read(&file).unwrap(), newer, "it is left as it is");
    std::fs::write(&file, &sound[..sound.len() / 2]).unwrap();
    assert!(matches!(DiskStore::open(dir.path()), Err(StoreError::Damaged { .. })));
    DiskStore::set_aside(dir.path()).unwrap();
    let (_, opened) = LogStore::open(DiskStore::open(dir.path()).unwrap(), RunId(2)).unwrap();
    assert_eq!((opened.disk_id, opened.is_new), (RunId(2), true));
}
