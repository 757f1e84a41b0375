//! The listener, and the socket for peers.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use may::coroutine;
use may::net::{TcpListener, TcpStream, UdpSocket};

use crate::event::Event;
use crate::log;

/// Connections that were taken and that the reducer's thread has not seen yet.
pub type Arrived = Arc<Mutex<Vec<(TcpStream, SocketAddr)>>>;

/// Takes connections in a coroutine of its own until it is cancelled.
pub fn listen(listener: TcpListener, arrived: Arrived, events: Sender<Event>) -> coroutine::JoinHandle<()> {
    // SAFETY: the coroutine uses no thread-local storage and calls nothing deep.
    unsafe {
        coroutine::spawn::<_, ()>(move || {
            loop {
                match listener.accept() {
                    Ok(client) => {
                        arrived.lock().unwrap_or_else(PoisonError::into_inner).push(client);
                        let _ = events.send(Event::Time);
                    }
                    // No descriptor is free, or the client left before it was taken: the next may go better,
                    // but at once would only spin.
                    Err(_) => coroutine::sleep(Duration::from_millis(20)),
                }
            }
        })
    }
}

/// Binds the address that the configuration names under `key`. One that is in use is tried again for a while, so that a
/// start does not fail for a process that is about to let go of it.
pub fn bind<T>(key: &str, at: SocketAddr, bind: impl Fn(SocketAddr) -> io::Result<T>) -> io::Result<T> {
    let waits = |error: &io::Error| log!("{key}: {error}; tried again for {:?}", garnetdoor_bind::WAIT_MOST);
    garnetdoor_bind::when_free(at, || bind(at), waits)
        .map_err(|error| io::Error::new(error.kind(), format!("{key}: {error}")))
}

/// Reads peers' datagrams in a coroutine.
pub fn peers(socket: UdpSocket, events: Sender<Event>) -> Arc<UdpSocket> {
    let socket = Arc::new(socket);
    let reader = socket.clone();
    // SAFETY: as above.
    unsafe {
        coroutine::spawn::<_, ()>(move || {
            // One more than a message may have, so that a longer one shows.
            let mut room = [0; 257];
            loop {
                match reader.recv_from(&mut room) {
                    Ok((count, from)) if count <= 256 => {
                        let _ = events.send(Event::Datagram(from, room[..count].to_vec()));
                    }
                    Ok(_) => {}
                    Err(_) => coroutine::sleep(Duration::from_millis(20)),
                }
            }
        })
    };
    socket
}
