//! SocketTransport (network transport): short messages by datagram, long ones by a stream to the same port number.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::incoming::{self, Door};
use crate::outgoing::Outgoing;
use crate::stats::{Counters, TransportStats};
use crate::{MessageReceiver, Transport};

/// Operators filter log lines by this name, which is older than the package's.
const LOG_TARGET: &str = "wings::post";

/// Bounds of a post; sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransportLimits {
    /// Messages up to this long go by datagram.
    pub max_datagram_bytes: usize,
    /// Longer messages are dropped, and a stream that announces one is closed.
    pub max_message_bytes: usize,
    /// What may wait for one peer; the oldest go when it is more.
    pub max_queue_bytes: usize,
    /// Peers that long messages go to at one time.
    pub max_peers: usize,
    /// Streams from others at one time.
    pub max_incoming_streams: usize,
    /// Long messages being read at one time, in all streams together.
    pub max_reading_bytes: usize,
    /// Messages that wait for the receiver's owner; datagrams beyond are dropped, streams wait.
    pub max_undelivered_messages: usize,
    pub connect_timeout: Duration,
    /// A write that makes no progress for so long drops the stream and what waits for it.
    pub write_timeout: Duration,
    /// An outgoing stream without use is closed after this; an incoming one after twice as long.
    pub idle_timeout: Duration,
    /// A message that takes longer to come in, beside 10 µs for each of its bytes, drops its stream.
    pub frame_timeout: Duration,
}

impl Default for TransportLimits {
    fn default() -> Self {
        Self {
            max_datagram_bytes: types::DATAGRAM_MAX_BYTES,
            max_message_bytes: 16 << 20,
            max_queue_bytes: 4 << 20,
            max_peers: 128,
            max_incoming_streams: 256,
            max_reading_bytes: 32 << 20,
            max_undelivered_messages: 256,
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(10),
            frame_timeout: Duration::from_secs(10),
        }
    }
}

/// The transport of one process. Clones share it; it ends with the last of them.
#[derive(Clone)]
pub struct SocketTransport(Rc<Inner>);

struct Inner {
    socket: Rc<UdpSocket>,
    port: u16,
    limits: TransportLimits,
    outgoing: Outgoing,
    counters: Rc<Counters>,
    listeners: [AbortHandle; 2],
}

impl SocketTransport {
    /// Binds `port` at this machine's address for datagrams and streams. To be called within a `LocalSet`.
    pub fn bind(own: Ipv4Addr, port: u16, limits: TransportLimits) -> io::Result<(Self, MessageReceiver)> {
        let at = SocketAddrV4::new(own, port);
        let waits = |error: &io::Error| log::warn!(target: LOG_TARGET, "{error}; tried again");
        let socket = garnetdoor_bind::bind_with_retry(at, || std::net::UdpSocket::bind(at), waits)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(UdpSocket::from_std(socket)?);
        let listener = garnetdoor_bind::bind_with_retry(at, || listen(at), waits)?;
        let (arrived, receiver) = mpsc::channel(limits.max_undelivered_messages);
        let counters = Rc::new(Counters::default());
        let datagrams =
            incoming::datagrams(socket.clone(), arrived.clone(), limits.max_datagram_bytes, counters.clone());
        let door = Door::new(listener, arrived, limits);
        let listeners = [
            tokio::task::spawn_local(datagrams).abort_handle(),
            tokio::task::spawn_local(door.run()).abort_handle(),
        ];
        let outgoing = Outgoing::new(own, port, limits);
        Ok((Self(Rc::new(Inner { socket, port, limits, outgoing, counters, listeners })), receiver))
    }

    pub fn stats(&self) -> TransportStats {
        self.0.counters.stats()
    }

    /// Sends without waiting: whole and once, or not at all.
    pub fn send(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        let inner = &*self.0;
        if bytes.len() <= inner.limits.max_datagram_bytes {
            // Not by way of the runtime, which lets nothing out before it has heard of the socket. A datagram
            // that the system won't take now is dropped like one that the network loses.
            let to = SocketAddrV4::new(to, inner.port);
            match SockRef::from(&*inner.socket).send_to(&bytes, &to.into()) {
                Ok(_) => inner.counters.count(|stats| stats.datagrams_sent += 1),
                Err(error) => {
                    inner.counters.count(|stats| stats.datagrams_refused += 1);
                    log::debug!(target: LOG_TARGET, "datagram to {to} dropped: {error}");
                }
            }
        } else {
            self.send_by_stream(to, bytes);
        }
    }

    /// As `send`, by a stream whatever its length.
    pub fn send_by_stream(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        let inner = &*self.0;
        if bytes.len() > inner.limits.max_message_bytes {
            return log::warn!(target: LOG_TARGET, "message of {} bytes to {to} is over the limit", bytes.len());
        }
        inner.counters.count(|stats| stats.stream_messages_sent += 1);
        inner.outgoing.send(to, &bytes);
    }
}

impl Transport for SocketTransport {
    fn send(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        SocketTransport::send(self, to, bytes);
    }

    fn send_by_stream(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        SocketTransport::send_by_stream(self, to, bytes);
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        for listener in &self.listeners {
            listener.abort();
        }
    }
}

impl fmt::Debug for SocketTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SocketTransport").field("port", &self.0.port).finish()
    }
}

fn listen(at: SocketAddrV4) -> io::Result<TcpListener> {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    // A process that is started again must get its port although old streams linger.
    listener.set_reuse_address(true)?;
    listener.set_nonblocking(true)?;
    listener.bind(&at.into())?;
    listener.listen(128)?;
    TcpListener::from_std(listener.into())
}
