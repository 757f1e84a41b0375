//! Pool of connections to instances: opens them, keeps them while idle, and hands them out again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::TcpStream;
use types::{Micros, SECOND};

use super::connection_state::{ConnectionState, ExchangeEnd, SocketState};
use crate::data_plane::service_host::ConnectionLimit;

// Operators filter log lines by this name, which is older than the module's.
const LOG_TARGET: &str = "playhouse::foyer::pool";

/// Error while reading or sending a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A connection to an instance. Dropping it closes it at once, even with an exchange in progress: any answer still to
/// come belongs to no request, and left open it would still take up capacity of the instance.
pub struct Connection {
    pub sender: SendRequest<Body>,
    task: tokio::task::AbortHandle,
    socket: Rc<SharedSocket>,
}

/// State shared by the connection's task and its owner.
struct SharedSocket {
    io: RefCell<TokioIo<TcpStream>>,
    state: Cell<ConnectionState>,
}

impl SharedSocket {
    /// Checks the socket itself: the runtime learns of received bytes only at its next poll of the kernel, and hyper
    /// writes before that.
    fn socket_state(&self) -> SocketState {
        let io = self.io.borrow();
        match SockRef::from(io.inner()).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => SocketState::Closed,
            Ok(_) => SocketState::Readable,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => SocketState::Empty,
            Err(_) => SocketState::Closed,
        }
    }
}

impl Connection {
    /// Takes the connection for one exchange; `false` if it is not proved empty, and then it must never be used.
    fn acquire(&self) -> bool {
        self.socket.state.set(self.socket.state.get().acquire(self.socket_state()));
        self.is_unsent()
    }

    fn finish(&self, end: ExchangeEnd) -> ConnectionState {
        self.socket.state.set(self.socket.state.get().finish(end));
        self.socket.state.get()
    }

    /// Whether it is known that none of the exchange's bytes were sent.
    pub fn is_unsent(&self) -> bool {
        self.socket.state.get().is_unsent()
    }

    /// State of the socket's input. Reported as closed if hyper has closed the connection or it is still busy with
    /// its last request.
    fn socket_state(&self) -> SocketState {
        if self.sender.is_ready() { self.socket.socket_state() } else { SocketState::Closed }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Longest idle time if the instance announces none. It is well under the usual idle time-out of servers, since a
/// request that crosses the server's close may have run.
const DEFAULT_IDLE_LIFETIME: Micros = 4 * SECOND;
/// Subtracted from the time-out that an instance announces in `Keep-Alive`, to allow for the transit time.
const KEEP_ALIVE_MARGIN: Micros = SECOND;
/// Upper limit of the idle time, whatever the instance announces.
const MAX_IDLE_LIFETIME: Micros = 60 * SECOND;
/// Limit per connection on bytes read ahead and on the size of an answer's head.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// A connection whose written bytes are not acknowledged within this time is broken; detects links that were cut.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection that waits for its next exchange.
struct IdleConnection {
    connection: Connection,
    expires_at: Micros,
}

/// The connections to one address.
#[derive(Default)]
struct AddressConnections {
    /// Longest idle first.
    idle: Vec<IdleConnection>,
    in_use: usize,
    /// Most connections, as the last instance that was used at the address has it.
    limit: ConnectionLimit,
}

impl AddressConnections {
    /// Closes idle connections that have expired or were closed by the instance, and the longest idle ones of those that
    /// are over the limit.
    fn evict(&mut self, now: Micros) {
        self.idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let allowed = self.limit.get().saturating_sub(self.in_use);
        let excess = self.idle.len().saturating_sub(allowed);
        self.idle.drain(..excess);
    }
}

/// Connections to instances, by address.
#[derive(Default)]
pub struct Pool {
    by_address: HashMap<SocketAddrV4, AddressConnections>,
}

impl Pool {
    /// Takes the most recently used idle connection that is proved empty; the others can then expire.
    pub fn take(
        &mut self, now: Micros, address: SocketAddrV4, limit: &ConnectionLimit,
    ) -> Option<Connection> {
        let connections = self.by_address.get_mut(&address)?;
        connections.limit = limit.clone();
        while let Some(idle) = connections.idle.pop() {
            if idle.expires_at > now && idle.connection.acquire() {
                connections.in_use += 1;
                return Some(idle.connection);
            }
        }
        None
    }

    /// Reserves one more connection within `limit`; false if there is no room. If only idle connections stand in the way,
    /// they cannot be used for this request, and the one idle for longest is closed.
    pub fn reserve(&mut self, now: Micros, address: SocketAddrV4, limit: &ConnectionLimit) -> bool {
        let connections = self.by_address.entry(address).or_default();
        connections.limit = limit.clone();
        connections.evict(now);
        if connections.in_use + connections.idle.len() >= limit.get().max(1) {
            if connections.idle.is_empty() {
                return false;
            }
            connections.idle.remove(0);
        }
        connections.in_use += 1;
        true
    }

    /// Releases a connection that was handed out, or only its slot if `connection` is `None`. A connection is kept if
    /// it has served its request completely and the limit has room for it; `keep_alive` is the idle time-out that the
    /// instance announced.
    pub fn release(
        &mut self, now: Micros, address: SocketAddrV4, connection: Option<Connection>,
        keep_alive: Option<Micros>,
    ) {
        let Some(connections) = self.by_address.get_mut(&address) else { return };
        connections.in_use = connections.in_use.saturating_sub(1);
        let lifetime = keep_alive
            .map_or(DEFAULT_IDLE_LIFETIME, |keep_alive| keep_alive - KEEP_ALIVE_MARGIN)
            .min(MAX_IDLE_LIFETIME);
        let Some(connection) = connection else { return };
        // If not ready, hyper is still writing a request whose answer has already arrived, or has read more than the
        // answer.
        let has_room = connections.in_use + connections.idle.len() < connections.limit.get();
        let reusable = has_room && lifetime > 0 && connection.sender.is_ready();
        if connection.finish(if reusable { ExchangeEnd::Clean } else { ExchangeEnd::Broken })
            == ConnectionState::Idle
        {
            connections.idle.push(IdleConnection { connection, expires_at: now + lifetime });
        }
    }

    /// State of the input of each idle connection to an address.
    pub fn idle_socket_states(&self, address: SocketAddrV4) -> Vec<SocketState> {
        let connections = self.by_address.get(&address);
        connections.map_or_else(Vec::new, |connections| {
            connections.idle.iter().map(|idle| idle.connection.socket_state()).collect()
        })
    }

    /// Closes connections that were idle for too long or are over their limit, and forgets addresses without
    /// connections.
    pub fn evict(&mut self, now: Micros) {
        self.by_address.retain(|_, connections| {
            connections.evict(now);
            connections.in_use > 0 || !connections.idle.is_empty()
        });
    }
}

/// Connects to an instance. The caller limits the time.
pub async fn connect(address: SocketAddrV4) -> std::io::Result<Connection> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let stream = tokio::net::TcpSocket::from_std_stream(socket.into()).connect(address.into()).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(WRITE_TIMEOUT))?;
    handshake(stream).await.map_err(std::io::Error::other)
}

async fn handshake(stream: TcpStream) -> hyper::Result<Connection> {
    // A new connection is in use by the exchange that it was opened for.
    let state = Cell::new(ConnectionState::NEW.acquire(SocketState::Empty));
    let socket = Rc::new(SharedSocket { io: RefCell::new(TokioIo::new(stream)), state });
    let (sender, connection) = Builder::new()
        .max_header_size(READ_AHEAD_BYTES)
        .max_buf_size(READ_AHEAD_BYTES)
        .handshake(CountedIo(socket.clone()))
        .await?;
    let task = crate::tasks::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(target: LOG_TARGET, "a connection to an instance ended: {error}");
        }
    });
    Ok(Connection { sender, task: task.abort_handle(), socket })
}

/// I/O that counts the bytes written.
struct CountedIo(Rc<SharedSocket>);

impl CountedIo {
    fn with_io<T>(&self, act: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> T) -> T {
        act(Pin::new(&mut *self.0.io.borrow_mut()))
    }

    fn count_written(&self, wrote: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &wrote {
            self.0.state.set(self.0.state.get().bytes_written(*bytes));
        }
        wrote
    }
}

impl Read for CountedIo {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.with_io(|io| io.poll_read(context, buffer))
    }
}

impl Write for CountedIo {
    fn poll_write(
        self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.count_written(self.with_io(|io| io.poll_write(context, bytes)))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.with_io(|io| io.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.with_io(|io| io.poll_shutdown(context))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.io.borrow().is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.count_written(self.with_io(|io| io.poll_write_vectored(context, parts)))
    }
}
