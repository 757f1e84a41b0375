//! Failures: a disk that fails under the writer thread, and peers that die, are slow, send wrong lengths or
//! don't read.

mod common;

use std::time::Duration;

use common::{STEP_TIMEOUT, address, body, free_port, receive, run_local};
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

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

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

/// Each write is reported as not durable once, none is lost or skipped, and all are reported as durable in
/// order once the disk works again; few syncs cover them.
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
    let failed_puts = store.put_count();
    store.set_fault(Fault::None);
    for no in 1..=300 {
        assert_eq!(outcomes.blocking_recv(), Some(WriteOutcome { write_no: WriteId(no), durable: true }));
    }
    assert!(
        store.put_count() - failed_puts < 10,
        "{} puts after the disk worked again",
        store.put_count() - failed_puts
    );
    assert!(writer.stop().is_some());
    store.lose_power();
    let (_, opened) = LogStore::open(store, RunId(2)).unwrap();
    assert_eq!((opened.disk_id, opened.state.entries.len()), (RunId(1), 300));
}

/// After a write that leaves a gap, all further writes are rejected, as they could depend on the missing one.
#[test]
fn a_write_that_does_not_fit_stops_the_writer_and_leaves_the_ledger_sound() {
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

/// A peer that was down, and one that died with an open stream, are reached again once they run again.
#[test]
fn a_restarted_peer_is_reached_again() {
    run_local(async {
        let port = free_port(&[address(1), address(2)]);
        let (a, _received_by_a) =
            SocketTransport::bind(address(1), port, TransportLimits::default()).unwrap();
        a.send(address(2), body(5_000, 0));
        for run in 1..=3 {
            let (b, mut received_by_b) =
                SocketTransport::bind(address(2), port, TransportLimits::default()).unwrap();
            let mut message = None;
            while message.is_none() {
                a.send(address(2), body(5_000, run));
                // Messages sent on a dead stream are lost: retry, as all users of a transport do.
                message = timeout(SHORT_TIMEOUT, received_by_b.recv()).await.ok().flatten();
            }
            assert_eq!(message.unwrap().from, address(1));
            // The stream is closed and the port freed when the aborted tasks are next polled.
            drop((b, received_by_b));
            while std::net::UdpSocket::bind((address(2), port)).is_err() {
                tokio::task::yield_now().await;
            }
        }
    });
}

/// The bytes waiting for one peer are bounded: the oldest messages are dropped, the newest arrive in order.
#[test]
fn the_oldest_messages_are_dropped_when_too_many_bytes_wait() {
    run_local(async {
        let port = free_port(&[address(1), address(2)]);
        let (a, _received_by_a) =
            SocketTransport::bind(address(1), port, TransportLimits::default()).unwrap();
        let (_b, mut received_by_b) =
            SocketTransport::bind(address(2), port, TransportLimits::default()).unwrap();
        for salt in 1..=6 {
            a.send(address(2), body(1 << 20, salt));
        }
        for salt in 4..=6 {
            assert!(receive(&mut received_by_b).await.1 == body(1 << 20, salt), "message {salt}");
        }
        a.send(address(2), body(2_000, 7));
        assert!(receive(&mut received_by_b).await.1 == body(2_000, 7));
    });
}

/// A peer that reads nothing loses its stream and its queue, without effect on other peers; later messages go
/// by a new stream.
#[test]
fn the_stream_of_a_peer_that_does_not_read_is_dropped() {
    run_local(async {
        let port = free_port(&[address(1), address(2), address(3)]);
        let limits = TransportLimits { write_timeout: SHORT_TIMEOUT, ..TransportLimits::default() };
        let (a, _received_by_a) = SocketTransport::bind(address(1), port, limits).unwrap();
        let (_c, mut received_by_c) = SocketTransport::bind(address(3), port, limits).unwrap();
        let silent_peer = TcpListener::bind((address(2), port)).await.unwrap();
        a.send(address(2), vec![1; 15 << 20]);
        let (mut stream, from) = silent_peer.accept().await.unwrap();
        assert_eq!((from.ip(), stream.read_u32().await.unwrap()), (address(1).into(), 15 << 20));
        a.send(address(2), vec![2; 2_000]);
        a.send(address(3), body(2_000, 3));
        assert!(receive(&mut received_by_c).await.1 == body(2_000, 3));
        // The next stream can only be one opened after the first was dropped.
        let reconnect = async {
            loop {
                a.send(address(2), vec![3; 2_000]);
                if let Ok(accepted) = timeout(SHORT_TIMEOUT, silent_peer.accept()).await {
                    return accepted.unwrap().0;
                }
            }
        };
        let mut second = timeout(STEP_TIMEOUT, reconnect).await.expect("no second stream");
        let length = timeout(STEP_TIMEOUT, second.read_u32()).await.unwrap().unwrap();
        assert_eq!((length, second.read_u8().await.unwrap()), (2_000, 3));
        let mut all = Vec::new();
        let _ =
            timeout(STEP_TIMEOUT, stream.read_to_end(&mut all)).await.expect("the first stream stays open");
        assert!(all.len() < 15 << 20);
    });
}

/// Streams with wrong lengths, slow streams and streams that break off within a message are closed, and no
/// message of theirs is delivered.
#[test]
fn faulty_streams_are_closed_and_deliver_nothing() {
    run_local(async {
        let port = free_port(&[address(1), address(2)]);
        let limits = TransportLimits {
            frame_timeout: SHORT_TIMEOUT,
            idle_timeout: SHORT_TIMEOUT,
            ..TransportLimits::default()
        };
        let (a, mut received_by_a) = SocketTransport::bind(address(1), port, limits).unwrap();
        let connect = || TcpStream::connect((address(1), port));
        let mut wrong_length = connect().await.unwrap();
        wrong_length.write_u32(u32::MAX).await.unwrap();
        let mut slow = connect().await.unwrap();
        slow.write_all(&[0, 0, 8, 0, 1, 2, 3]).await.unwrap();
        let mut silent = connect().await.unwrap();
        let mut cut_off = connect().await.unwrap();
        cut_off.write_all(&[0, 0, 8, 0, 1, 2, 3]).await.unwrap();
        drop(cut_off);
        for stream in [&mut wrong_length, &mut slow, &mut silent] {
            let mut end = Vec::new();
            let _ = timeout(STEP_TIMEOUT, stream.read_to_end(&mut end))
                .await
                .expect("a faulty stream stays open");
            assert!(end.is_empty());
        }
        let (b, _received_by_b) = SocketTransport::bind(address(2), port, limits).unwrap();
        b.send(address(1), body(3_000, 9));
        assert!(receive(&mut received_by_a).await.1 == body(3_000, 9), "another message was delivered first");
        drop(a);
    });
}

/// The same seed loses the same messages, about as many as configured.
#[test]
fn losses_of_the_memory_network_depend_on_the_seed() {
    let received = |seed| {
        run_local(async move {
            let network = MemoryNetwork::new(seed, 300, 1_000);
            let (a, _received_by_a) = network.attach(address(1));
            let (_b, mut received_by_b) = network.attach(address(2));
            let mut received = Vec::new();
            for no in 0..200u8 {
                a.send(address(2), vec![no]);
            }
            while let Ok(ReceivedMessage { bytes, .. }) = received_by_b.try_recv() {
                received.push(bytes[0]);
            }
            received
        })
    };
    assert_eq!(received(5), received(5));
    assert_ne!(received(5), received(6));
    assert!((110..170).contains(&received(5).len()), "{}", received(5).len());
}

/// A file that can't be read is reported as damaged, wherever the damage is, and not replaced until it is set
/// aside.
#[test]
fn a_damaged_file_is_an_error_until_it_is_set_aside() {
    let dir = tempfile::tempdir().unwrap();
    let (mut ledger, _) = LogStore::open(DiskStore::open(dir.path()).unwrap(), RunId(1)).unwrap();
    (1..=50).for_each(|no| ledger.write(&write(no)).unwrap());
    drop(ledger);
    let file = dir.path().join("ledger.redb");
    let sound = std::fs::read(&file).unwrap();
    let mut detected = 0;
    for at in (0..sound.len()).step_by(4_096) {
        let mut damaged = sound.clone();
        damaged[at..at + 64].fill(0xa5);
        std::fs::write(&file, damaged).unwrap();
        match DiskStore::open(dir.path()) {
            Err(StoreError::Damaged { .. }) => detected += 1,
            Ok(store) => assert_eq!(LogStore::open(store, RunId(2)).unwrap().1.state.entries.len(), 50),
            Err(error) => panic!("{error}"),
        }
    }
    assert!(detected > 0, "no damage to {} bytes was detected", sound.len());
    // A newer version of the library's format is stated in both slots and is no damage; in one slot, it is.
    let mut newer = sound.clone();
    newer[64] = 4;
    std::fs::write(&file, &newer).unwrap();
    assert!(matches!(DiskStore::open(dir.path()), Err(StoreError::Damaged { .. })));
    newer[192] = 4;
    std::fs::write(&file, &newer).unwrap();
    let error = DiskStore::open(dir.path()).unwrap_err();
    assert!(error.to_string().contains("version 4"), "{error}");
    assert!(matches!(error, StoreError::Failed { .. }));
    assert_eq!(std::fs::read(&file).unwrap(), newer, "the file is unchanged");
    std::fs::write(&file, &sound[..sound.len() / 2]).unwrap();
    assert!(matches!(DiskStore::open(dir.path()), Err(StoreError::Damaged { .. })));
    DiskStore::set_aside(dir.path()).unwrap();
    let (_, opened) = LogStore::open(DiskStore::open(dir.path()).unwrap(), RunId(2)).unwrap();
    assert_eq!((opened.disk_id, opened.is_new), (RunId(2), true));
}
