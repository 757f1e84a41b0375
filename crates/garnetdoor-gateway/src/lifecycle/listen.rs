//! The listener for clients, and the socket for datagrams of peer gateways.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use may::coroutine;
use may::net::{TcpListener, TcpStream, UdpSocket};

use crate::event::Event;
use crate::log;

/// Largest datagram that peers exchange.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after a failed accept or receive, so that a lasting failure does not become a busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Connections that were accepted and that the reducer's thread has not taken yet.
pub type AcceptedConnections = Arc<Mutex<Vec<(TcpStream, SocketAddr)>>>;

/// Accepts connections in a coroutine until it is cancelled.
pub fn accept_clients(
    listener: TcpListener, accepted: AcceptedConnections, events: Sender<Event>,
) -> coroutine::JoinHandle<()> {
    // SAFETY: the coroutine uses no thread-local storage and makes no deep calls.
    unsafe {
        coroutine::spawn::<_, ()>(move || {
            loop {
                match listener.accept() {
                    Ok(client) => {
                        accepted.lock().unwrap_or_else(PoisonError::into_inner).push(client);
                        let _ = events.send(Event::Tick);
                    }
                    // No descriptor is free, or the client left before it was accepted. The next accept may
                    // succeed, but trying at once would only spin.
                    Err(_) => coroutine::sleep(ERROR_PAUSE),
                }
            }
        })
    }
}

/// Binds the address that the configuration names under `key`. An address in use is retried for a while, so
/// that a start does not fail because of a process that is about to release it.
pub fn bind<T>(key: &str, address: SocketAddr, bind: impl Fn(SocketAddr) -> io::Result<T>) -> io::Result<T> {
    let log_retry =
        |error: &io::Error| log!("{key}: {error}; tried again for {:?}", garnetdoor_bind::RETRY_TIMEOUT);
    garnetdoor_bind::bind_with_retry(address, || bind(address), log_retry)
        .map_err(|error| io::Error::new(error.kind(), format!("{key}: {error}")))
}

/// Receives peers' datagrams in a coroutine. Datagrams over the size limit are dropped. Returns the socket,
/// for sending.
pub fn receive_datagrams(socket: UdpSocket, events: Sender<Event>) -> Arc<UdpSocket> {
    let socket = Arc::new(socket);
    let receiver = socket.clone();
    // SAFETY: as for `accept_clients`.
    unsafe {
        coroutine::spawn::<_, ()>(move || {
            // One byte more than a datagram may have, to recognize longer ones.
            let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
            loop {
                match receiver.recv_from(&mut buffer) {
                    Ok((count, from)) if count <= MAX_DATAGRAM_BYTES => {
                        let _ = events.send(Event::Datagram(from, buffer[..count].to_vec()));
                    }
                    Ok(_) => {}
                    Err(_) => coroutine::sleep(ERROR_PAUSE),
                }
            }
        })
    };
    socket
}
