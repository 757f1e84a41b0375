//! Connections to instances: made, kept while idle, and handed out again.

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

use super::exchange::{End, Look, State};

pub type Failed = Box<dyn std::error::Error + Send + Sync>;
pub type Body = UnsyncBoxBody<Bytes, Failed>;

/// A connection to an instance. Dropped, it is closed at once, whatever is still under way on it: what it
/// would still bring belongs to no request, and what it still takes counts at the instance.
pub struct Wire {
    pub sender: SendRequest<Body>,
    carries: tokio::task::AbortHandle,
    socket: Rc<Socketed>,
}

/// What the connection's task and its owner share.
struct Socketed {
    io: RefCell<TokioIo<TcpStream>>,
    state: Cell<State>,
}

impl Socketed {
    /// Looks at the socket itself: the runtime learns of bytes only when it asks the kernel next, and hyper
    /// writes before that.
    fn look(&self) -> Look {
        let io = self.io.borrow();
        match SockRef::from(io.inner()).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Look::Ended,
            Ok(_) => Look::Bytes,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Look::Nothing,
            Err(_) => Look::Ended,
        }
    }
}

impl Wire {
    /// Takes it for one exchange; `false` where it is not proved empty, and it is never used then.
    fn lend(&self) -> bool {
        self.socket.state.set(self.socket.state.get().lend(self.look()));
        self.unheard()
    }

    fn end(&self, end: End) -> State {
        self.socket.state.set(self.socket.state.get().end(end));
        self.socket.state.get()
    }

    /// Whether it is known that the instance has heard nothing of this exchange.
    pub fn unheard(&self) -> bool {
        self.socket.state.get().unheard()
    }

    /// What lies unread in it now. One that hyper has closed, or that still works on what it was asked, is ended.
    fn look(&self) -> Look {
        if self.sender.is_ready() { self.socket.look() } else { Look::Ended }
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.carries.abort();
    }
}

/// How long a connection lies idle at most where the instance has told nothing of its own: well under what
/// servers usually keep, since one that crosses its closing may have run.
const IDLE: Micros = 4 * SECOND;
/// Of what an instance tells in `Keep-Alive`, so much is left for the way there.
const SPARE: Micros = SECOND;
/// Bytes read ahead of what is wanted, and of an answer's head, on one connection.
const READ_AHEAD: usize = 64 << 10;
/// A connection that takes none of what is written for so long is broken; guards against cut links.
const STUCK: Duration = Duration::from_secs(5);

struct Idle {
    wire: Wire,
    until: Micros,
}

/// The connections to one address.
#[derive(Default)]
struct Line {
    idle: Vec<Idle>,
    out: usize,
}

#[derive(Default)]
pub struct Pool {
    lines: HashMap<SocketAddrV4, Line>,
}

impl Pool {
    /// An idle connection that is proved empty, the one used last first, so that the others can end.
    pub fn take(&mut self, now: Micros, to: SocketAddrV4) -> Option<Wire> {
        let line = self.lines.get_mut(&to)?;
        while let Some(idle) = line.idle.pop() {
            if idle.until > now && idle.wire.lend() {
                line.out += 1;
                return Some(idle.wire);
            }
        }
        None
    }

    /// Whether one more may be made, of `most`; it then counts as made. Where only idle ones stand in its way, they
    /// are none that may be used for this, and the one that has lain longest goes.
    pub fn room(&mut self, now: Micros, to: SocketAddrV4, most: usize) -> bool {
        let line = self.lines.entry(to).or_default();
        line.idle.retain(|idle| idle.until > now && !idle.wire.sender.is_closed());
        if line.out + line.idle.len() >= most.max(1) {
            if line.idle.is_empty() {
                return false;
            }
            line.idle.remove(0);
        }
        line.out += 1;
        true
    }

    /// A connection that was handed out is not used any more, or has served one request whole.
    pub fn back(&mut self, now: Micros, to: SocketAddrV4, wire: Option<Wire>, told: Option<Micros>) {
        let Some(line) = self.lines.get_mut(&to) else { return };
        line.out = line.out.saturating_sub(1);
        let rest = told.map_or(IDLE, |told| told - SPARE).min(60 * SECOND);
        let Some(wire) = wire else { return };
        // One that is not ready still writes a request whose answer has come already, or has read more than that.
        let clean = rest > 0 && wire.sender.is_ready();
        if wire.end(if clean { End::Clean } else { End::Broken }) == State::Idle {
            line.idle.push(Idle { wire, until: now + rest });
        }
    }

    /// What lies unread in the idle connections to an address.
    pub fn looks(&self, to: SocketAddrV4) -> Vec<Look> {
        let line = self.lines.get(&to);
        line.map_or_else(Vec::new, |line| line.idle.iter().map(|idle| idle.wire.look()).collect())
    }

    /// Ends what has lain idle for too long, and forgets addresses without connections.
    pub fn tidy(&mut self, now: Micros) {
        self.lines.retain(|_, line| {
            line.idle.retain(|idle| idle.until > now && !idle.wire.sender.is_closed());
            line.out > 0 || !line.idle.is_empty()
        });
    }
}

/// Connects; what the caller waits for at most is the caller's.
pub async fn connect(to: SocketAddrV4) -> std::io::Result<Wire> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let stream = tokio::net::TcpSocket::from_std_stream(socket.into()).connect(to.into()).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(STUCK))?;
    shake(stream).await.map_err(std::io::Error::other)
}

async fn shake(stream: TcpStream) -> hyper::Result<Wire> {
    // One that has just come up is lent to whom it was made for.
    let state = Cell::new(State::FRESH.lend(Look::Nothing));
    let socket = Rc::new(Socketed { io: RefCell::new(TokioIo::new(stream)), state });
    let (sender, connection) = Builder::new()
        .max_header_size(READ_AHEAD)
        .max_buf_size(READ_AHEAD)
        .handshake(Counted(socket.clone()))
        .await?;
    let task = crate::tasks::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to an instance ended: {error}");
        }
    });
    Ok(Wire { sender, carries: task.abort_handle(), socket })
}

/// A connection whose written bytes are counted.
struct Counted(Rc<Socketed>);

impl Counted {
    fn with<T>(&self, act: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> T) -> T {
        act(Pin::new(&mut *self.0.io.borrow_mut()))
    }

    fn counts(&self, wrote: Poll<std::io::Result<usize>>) -> Poll<std::io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &wrote {
            self.0.state.set(self.0.state.get().wrote(*bytes));
        }
        wrote
    }
}

impl Read for Counted {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.with(|io| io.poll_read(context, buffer))
    }
}

impl Write for Counted {
    fn poll_write(
        self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.counts(self.with(|io| io.poll_write(context, bytes)))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.with(|io| io.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.with(|io| io.poll_shutdown(context))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.io.borrow().is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.counts(self.with(|io| io.poll_write_vectored(context, parts)))
    }
}
