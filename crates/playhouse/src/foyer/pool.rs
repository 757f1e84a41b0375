//! Connections to instances: made, kept while idle, and handed out again.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use props::{Micros, SECOND};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::TcpStream;

pub type Failed = Box<dyn std::error::Error + Send + Sync>;
pub type Body = UnsyncBoxBody<Bytes, Failed>;

/// A connection to an instance. Dropped, it is closed at once, whatever is still under way on it: what it
/// would still bring belongs to no request, and what it still takes counts at the instance.
pub struct Wire {
    pub sender: SendRequest<Body>,
    carries: tokio::task::AbortHandle,
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
    /// An idle connection, the one used last first, so that the others can end.
    pub fn take(&mut self, now: Micros, to: SocketAddrV4) -> Option<Wire> {
        let line = self.lines.get_mut(&to)?;
        while let Some(idle) = line.idle.pop() {
            if idle.until > now && !idle.wire.sender.is_closed() {
                line.out += 1;
                return Some(idle.wire);
            }
        }
        None
    }

    /// Whether one more may be made, of `most`; it then counts as made.
    pub fn room(&mut self, now: Micros, to: SocketAddrV4, most: usize) -> bool {
        let line = self.lines.entry(to).or_default();
        line.idle.retain(|idle| idle.until > now && !idle.wire.sender.is_closed());
        if line.out + line.idle.len() >= most.max(1) {
            return false;
        }
        line.out += 1;
        true
    }

    /// A connection that was handed out is not used any more, or has served one request whole.
    pub fn back(&mut self, now: Micros, to: SocketAddrV4, wire: Option<Wire>, told: Option<Micros>) {
        let Some(line) = self.lines.get_mut(&to) else { return };
        line.out = line.out.saturating_sub(1);
        let rest = told.map_or(IDLE, |told| told - SPARE).min(60 * SECOND);
        // One that is not ready still writes a request whose answer has come already.
        if let Some(wire) = wire.filter(|wire| rest > 0 && wire.sender.is_ready()) {
            line.idle.push(Idle { wire, until: now + rest });
        }
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
    let (sender, connection) = Builder::new()
        .max_header_size(READ_AHEAD)
        .max_buf_size(READ_AHEAD)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = crate::tasks::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to an instance ended: {error}");
        }
    });
    Ok(Wire { sender, carries: task.abort_handle() })
}
