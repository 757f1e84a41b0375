//! Helpers for tests on real sockets.

use std::future::Future;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::timeout;
use transport::MessageReceiver;

/// How long a test waits before it fails; no step takes that long if all is well.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a future as the programs do: on one thread, in a `LocalSet`.
pub fn run_local<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new()
        .block_on(&runtime, async { timeout(STEP_TIMEOUT * 2, future).await.expect("took too long") })
}

/// A port that is free at all addresses, for datagrams and streams.
pub fn free_port(addresses: &[Ipv4Addr]) -> u16 {
    for _ in 0..100 {
        let probe = TcpListener::bind((addresses[0], 0)).unwrap();
        let port = probe.local_addr().unwrap().port();
        let free = |&address: &Ipv4Addr| {
            UdpSocket::bind((address, port)).is_ok() && TcpListener::bind((address, port)).is_ok()
        };
        drop(probe);
        if addresses.iter().all(free) {
            return port;
        }
    }
    panic!("no free port");
}

/// Loopback address of a test node.
pub fn address(node: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 47, node)
}

/// Content of a test message; different for each salt.
pub fn body(length: usize, salt: usize) -> Vec<u8> {
    (0..length).map(|i| ((i * 31 + i / 251) ^ salt) as u8).collect()
}

pub async fn receive(receiver: &mut MessageReceiver) -> (Ipv4Addr, Vec<u8>) {
    let message = timeout(STEP_TIMEOUT, receiver.recv()).await.expect("nothing arrived").expect("closed");
    (message.from, message.bytes)
}
