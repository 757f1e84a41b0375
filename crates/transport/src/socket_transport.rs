//! Network transport: short messages go by datagram (UDP), long ones by a stream (TCP) to the same port
//! number.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::incoming::{self, StreamListener};
use crate::outgoing::Outgoing;
use crate::stats::{Counters, TransportStats};
use crate::{MessageReceiver, Transport};

/// Operators filter log lines by this target, which is older than the module's name.
const LOG_TARGET: &str = "wings::post";

const LISTEN_BACKLOG: i32 = 128;

/// Limits and timeouts of a [`SocketTransport`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransportLimits {
    /// Messages up to this length go by datagram.
    pub max_datagram_bytes: usize,
    /// Longer messages are dropped, and a stream that announces one is closed.
    pub max_message_bytes: usize,
    /// Most bytes that wait to be sent to one peer; beyond that, the oldest messages are dropped.
    pub max_queue_bytes: usize,
    /// Most peers that long messages are sent to at one time.
    pub max_peers: usize,
    /// Most streams from other nodes at one time.
    pub max_incoming_streams: usize,
    /// Most bytes of long messages being read at one time, on all streams together.
    pub max_reading_bytes: usize,
    /// Most messages that wait for the owner of the receiver; beyond that, datagrams are dropped and streams
    /// wait.
    pub max_undelivered_messages: usize,
    pub connect_timeout: Duration,
    /// A stream on which a write makes no progress for this long is dropped with the messages that wait for
    /// it.
    pub write_timeout: Duration,
    /// An outgoing stream is closed after this long without use, an incoming one after twice as long.
    pub idle_timeout: Duration,
    /// A stream is dropped if one of its messages takes longer to arrive than this and 10 µs for each byte.
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

/// The network transport of one process. Clones share it; dropping the last one closes it.
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
    /// Binds `port` of `own_address` for datagrams and streams. Has to be called within a `LocalSet`.
    pub fn bind(
        own_address: Ipv4Addr, port: u16, limits: TransportLimits,
    ) -> io::Result<(Self, MessageReceiver)> {
        let address = SocketAddrV4::new(own_address, port);
        let log_retry = |error: &io::Error| log::warn!(target: LOG_TARGET, "{error}; tried again");
        let socket =
            garnetdoor_bind::bind_with_retry(address, || std::net::UdpSocket::bind(address), log_retry)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(UdpSocket::from_std(socket)?);
        let listener = garnetdoor_bind::bind_with_retry(address, || listen(address), log_retry)?;
        let (messages, receiver) = mpsc::channel(limits.max_undelivered_messages);
        let counters = Rc::new(Counters::default());
        let datagrams = incoming::receive_datagrams(
            socket.clone(),
            messages.clone(),
            limits.max_datagram_bytes,
            counters.clone(),
        );
        let stream_listener = StreamListener::new(listener, messages, limits);
        let listeners = [
            tokio::task::spawn_local(datagrams).abort_handle(),
            tokio::task::spawn_local(stream_listener.run()).abort_handle(),
        ];
        let outgoing = Outgoing::new(own_address, port, limits);
        Ok((Self(Rc::new(Inner { socket, port, limits, outgoing, counters, listeners })), receiver))
    }

    pub fn stats(&self) -> TransportStats {
        self.0.counters.stats()
    }

    /// Sends a message without waiting; it arrives complete and once, or not at all.
    pub fn send(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        let inner = &*self.0;
        if bytes.len() <= inner.limits.max_datagram_bytes {
            // Bypasses the runtime, which sends nothing before it has seen that the socket is writable. A
            // datagram that the system does not accept now is dropped, like one that the network loses.
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

    /// Like `send`, but by a stream, whatever the length.
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

fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let listener = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    // A restarted process must get its port although old connections linger.
    listener.set_reuse_address(true)?;
    listener.set_nonblocking(true)?;
    listener.bind(&address.into())?;
    listener.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(listener.into())
}
