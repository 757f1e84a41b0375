//! Contracts: what every transport and every store must keep.

mod common;

use common::{body, free_port, next, place, play};
use storage::{Batch, Store};
use transport::{
    DiskStore, MemoryNetwork, MemoryStore, MessageReceiver, ReceivedMessage, SocketTransport, Transport,
    TransportLimits,
};
use types::Carrier;

/// Short and long messages come whole, from the place that sent them, both ways; words to a place where
/// nobody is, and words over every limit, harm nobody.
async fn transport_contract(
    a: impl Transport, mut at_a: MessageReceiver, b: impl Transport, mut at_b: MessageReceiver,
) {
    a.send(place(99), body(10, 0));
    a.send(place(99), body(5_000, 0));
    a.send(place(2), body((16 << 20) + 1, 0));
    let lengths = [0, 1, 1_200, 1_201, 70_000, 3 << 20];
    for (salt, &length) in lengths.iter().enumerate() {
        a.send(place(2), body(length, salt));
        b.send(place(1), body(length, salt + 100));
        let (from, bytes) = next(&mut at_b).await;
        assert_eq!((from, bytes.len()), (place(1), length));
        assert!(bytes == body(length, salt));
        let (from, bytes) = next(&mut at_a).await;
        assert_eq!((from, bytes.len()), (place(2), length));
        assert!(bytes == body(length, salt + 100));
    }
    // By stream whatever its length, and told apart where it arrives.
    for (length, carrier) in [(40, Carrier::Datagram), (40, Carrier::Stream)] {
        match carrier {
            Carrier::Datagram => a.send(place(2), body(length, 7)),
            Carrier::Stream => a.send_by_stream(place(2), body(length, 7)),
        }
        let arrived = at_b.recv().await.expect("it arrives");
        assert_eq!(arrived, ReceivedMessage { from: place(1), bytes: body(length, 7), carrier });
    }
    a.send_by_stream(place(2), body((16 << 20) + 1, 0));
    let mut waiting: Vec<usize> = (0..50).map(|i| if i % 2 == 0 { 300 + i } else { 9_000 + i }).collect();
    for &length in &waiting {
        a.send(place(2), body(length, length));
    }
    while !waiting.is_empty() {
        let (_, bytes) = next(&mut at_b).await;
        let at = waiting.iter().position(|&length| length == bytes.len()).expect("came twice, or cut off");
        assert!(bytes == body(bytes.len(), bytes.len()));
        waiting.swap_remove(at);
    }
}

#[test]
fn post_keeps_the_transport_contract() {
    play(async {
        let port = free_port(&[place(1), place(2)]);
        let (a, at_a) = SocketTransport::bind(place(1), port, TransportLimits::default()).unwrap();
        let (b, at_b) = SocketTransport::bind(place(2), port, TransportLimits::default()).unwrap();
        transport_contract(a, at_a, b, at_b).await;
    });
}

#[test]
fn memory_post_keeps_the_transport_contract() {
    play(async {
        let network = MemoryNetwork::new(1, 0, 16 << 20);
        let (a, at_a) = network.attach(place(1));
        let (b, at_b) = network.attach(place(2));
        transport_contract(a, at_a, b, at_b).await;
    });
}

/// Batches are carried out in order, a repeated one changes nothing, ranges end where they should, and all of
/// it is there when the store is opened again.
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
