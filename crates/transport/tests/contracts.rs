//! Contracts that every transport and every store has to fulfil.

mod common;

use common::{address, body, free_port, receive, run_local};
use storage::{Batch, Store};
use transport::{
    DiskStore, MemoryNetwork, MemoryStore, MessageReceiver, ReceivedMessage, SocketTransport, Transport,
    TransportLimits,
};
use types::Carrier;

/// Short and long messages arrive complete in both directions, with the sender's address. Messages to an
/// address without a node, and messages over every limit, do no harm.
async fn transport_contract(
    a: impl Transport, mut received_by_a: MessageReceiver, b: impl Transport,
    mut received_by_b: MessageReceiver,
) {
    a.send(address(99), body(10, 0));
    a.send(address(99), body(5_000, 0));
    a.send(address(2), body((16 << 20) + 1, 0));
    let lengths = [0, 1, 1_200, 1_201, 70_000, 3 << 20];
    for (salt, &length) in lengths.iter().enumerate() {
        a.send(address(2), body(length, salt));
        b.send(address(1), body(length, salt + 100));
        let (from, bytes) = receive(&mut received_by_b).await;
        assert_eq!((from, bytes.len()), (address(1), length));
        assert!(bytes == body(length, salt));
        let (from, bytes) = receive(&mut received_by_a).await;
        assert_eq!((from, bytes.len()), (address(2), length));
        assert!(bytes == body(length, salt + 100));
    }
    // By stream whatever the length; the receiver can tell how a message came.
    for (length, carrier) in [(40, Carrier::Datagram), (40, Carrier::Stream)] {
        match carrier {
            Carrier::Datagram => a.send(address(2), body(length, 7)),
            Carrier::Stream => a.send_by_stream(address(2), body(length, 7)),
        }
        let message = received_by_b.recv().await.expect("the message arrives");
        assert_eq!(message, ReceivedMessage { from: address(1), bytes: body(length, 7), carrier });
    }
    a.send_by_stream(address(2), body((16 << 20) + 1, 0));
    let mut expected: Vec<usize> = (0..50).map(|i| if i % 2 == 0 { 300 + i } else { 9_000 + i }).collect();
    for &length in &expected {
        a.send(address(2), body(length, length));
    }
    while !expected.is_empty() {
        let (_, bytes) = receive(&mut received_by_b).await;
        let index = expected
            .iter()
            .position(|&length| length == bytes.len())
            .expect("a message came twice or incomplete");
        assert!(bytes == body(bytes.len(), bytes.len()));
        expected.swap_remove(index);
    }
}

#[test]
fn socket_transport_keeps_the_transport_contract() {
    run_local(async {
        let port = free_port(&[address(1), address(2)]);
        let (a, received_by_a) = SocketTransport::bind(address(1), port, TransportLimits::default()).unwrap();
        let (b, received_by_b) = SocketTransport::bind(address(2), port, TransportLimits::default()).unwrap();
        transport_contract(a, received_by_a, b, received_by_b).await;
    });
}

#[test]
fn memory_transport_keeps_the_transport_contract() {
    run_local(async {
        let network = MemoryNetwork::new(1, 0, 16 << 20);
        let (a, received_by_a) = network.attach(address(1));
        let (b, received_by_b) = network.attach(address(2));
        transport_contract(a, received_by_a, b, received_by_b).await;
    });
}

/// Batches are applied in order, a repeated one changes nothing, ranges end where they should, and everything
/// is there after the store is opened again.
fn store_contract<S: Store>(mut open: impl FnMut() -> S) {
    let pair = |key: &[u8], value: &[u8]| (key.to_vec(), value.to_vec());
    let mut store = open();
    assert_eq!(store.scan(&[], &[]), Ok(vec![]));
    let mut batch = Batch::default();
    for key in [&b"a"[..], b"b", b"bb", b"c", b"d"] {
        batch.put(key.to_vec(), body(key.len() * 9_000, 3));
    }
    batch.delete_range(b"b".to_vec(), b"c".to_vec());
    batch.delete_range(b"z".to_vec(), b"a".to_vec());
    batch.put(b"bb".to_vec(), b"after the cut".to_vec());
    batch.put(b"a".to_vec(), b"over".to_vec());
    batch.delete(b"d".to_vec());
    batch.delete(b"nothing there".to_vec());
    let all = vec![pair(b"a", b"over"), pair(b"bb", b"after the cut"), pair(b"c", &body(9_000, 3))];
    for _ in 0..2 {
        store.commit(&batch).unwrap();
        assert_eq!(store.scan(&[], &[]).as_ref(), Ok(&all));
    }
    assert_eq!(store.scan(b"b", b"c").unwrap(), all[1..2]);
    assert_eq!(store.scan(b"b", &[]).unwrap(), all[1..]);
    assert_eq!(store.scan(b"c", b"b"), Ok(vec![]));
    drop(store);
    assert_eq!(open().scan(&[], &[]), Ok(all));
}

#[test]
fn disk_store_keeps_the_store_contract() {
    let dir = tempfile::tempdir().unwrap();
    store_contract(|| DiskStore::open(&dir.path().join("data")).unwrap());
}

#[test]
fn memory_store_keeps_the_store_contract() {
    let store = MemoryStore::default();
    store_contract(|| store.clone());
}
