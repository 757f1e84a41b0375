//! What the tests on real sockets share.

use std::future::Future;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::timeout;
use transport::MessageReceiver;

/// Until a test gives up; nothing waits so long when all is well.
pub const LONG: Duration = Duration::from_secs(10);

/// Runs a future as the programs do: one thread, one local set.
pub fn play<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(LONG * 2, work).await.expect("took too long") })
}

/// A port that is free at all the places, for datagrams and streams.
pub fn free_port(places: &[Ipv4Addr]) -> u16 {
    for _ in 0..100 {
        let probe = TcpListener::bind((places[0], 0)).unwrap();
        let port = probe.local_addr().unwrap().port();
        let free =
            |&at: &Ipv4Addr| UdpSocket::bind((at, port)).is_ok() && TcpListener::bind((at, port)).is_ok();
        drop(probe);
        if places.iter().all(free) {
            return port;
        }
    }
    panic!("no free port");
}

pub fn place(machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 47, machine)
}

pub fn body(length: usize, salt: usize) -> Vec<u8> {
    (0..length).map(|i| ((i * 31 + i / 251) ^ salt) as u8).collect()
}

pub async fn next(incoming: &mut MessageReceiver) -> (Ipv4Addr, Vec<u8>) {
    let arrived = timeout(LONG, incoming.recv()).await.expect("nothing arrived").expect("closed");
    (arrived.from, arrived.bytes)
}
