//! Connections on `may`, with one coroutine each that only moves bytes. It reads until the reducer holds as
//! many unread bytes as it may, writes what the reducer's thread could not write at once, and reports how the
//! connection ended.

use std::cell::RefCell;
use std::io::{ErrorKind, IoSliceMut, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, AsRawFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use garnetdoor::host::Micros;
use garnetdoor_sessions::Side;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use nix::errno::Errno;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recv, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;

use super::http::MAX_UNREAD_BYTES;
use super::relay::{PumpResult, Relay};
use crate::clock::{self, Clock};
use crate::event::{ConnectionId, Event};

/// Largest single read. The worker has one buffer of this size, which its connections share.
const MAX_READ_BYTES: usize = 16 * 1024;

/// What a connection may hold unread even if all connections together have reached their limit.
const MIN_UNREAD_BYTES: usize = 4 * 1024;

/// Bytes that all connections together hold: read and not consumed, or waiting to be written to a session.
static BUFFERED_BYTES: AtomicUsize = AtomicUsize::new(0);
/// Above this many buffered bytes, each connection is limited to [`MIN_UNREAD_BYTES`].
static BUFFERED_BYTES_LIMIT: AtomicUsize = AtomicUsize::new(usize::MAX);

thread_local! {
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_READ_BYTES].into_boxed_slice());
}

/// The sending side of a connection.
#[derive(Default)]
struct Outgoing {
    /// Bytes that are still to be written.
    bytes: Vec<u8>,
    /// A write was requested whose completion has not been reported.
    completion_unreported: bool,
    /// The sending side is to be shut down once everything is written.
    shutdown_requested: bool,
    shut_down: bool,
    /// The session that the connection is one side of. The relay then handles its reads and writes.
    relay: Option<(Arc<Relay>, Side)>,
    /// Since when bytes of a session have been waiting to be written.
    stalled_since: Option<Micros>,
    /// How many of the waiting bytes of a session are counted in [`BUFFERED_BYTES`].
    counted_bytes: usize,
}

/// A connection, shared by the reducer's thread and the connection's coroutine.
pub struct Connection {
    id: ConnectionId,
    stream: OnceLock<(TcpStream, WaitIoWaker)>,
    outgoing: Mutex<Outgoing>,
    closed: AtomicBool,
    /// Bytes that were read and are not consumed yet.
    unread: AtomicUsize,
}

impl Connection {
    pub fn new(id: ConnectionId) -> Arc<Self> {
        let (stream, outgoing, closed, unread) = Default::default();
        Arc::new(Connection { id, stream, outgoing, closed, unread })
    }

    fn outgoing(&self) -> MutexGuard<'_, Outgoing> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the connection's coroutine.
    pub(super) fn wake(&self) {
        if let Some((_, waker)) = self.stream.get() {
            waker.wakeup();
        }
    }

    /// Writes as much as the socket takes at once; the coroutine writes the rest. True if everything has been
    /// written.
    pub fn write(&self, bytes: &[u8]) -> bool {
        self.enqueue(self.outgoing(), bytes)
    }

    /// Like [`Connection::write`], but only if nothing has arrived that is not consumed, not even the
    /// connection's end; otherwise nothing is written, and the result is `None`.
    pub fn write_if_idle(&self, bytes: &[u8]) -> Option<bool> {
        let outgoing = self.outgoing();
        let (stream, _) = self.stream.get()?;
        let arrived = recv(stream.inner().as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT);
        let is_idle = self.unread.load(Ordering::Acquire) == 0 && arrived == Err(Errno::EAGAIN);
        is_idle.then(|| self.enqueue(outgoing, bytes))
    }

    fn enqueue(&self, mut outgoing: MutexGuard<'_, Outgoing>, bytes: &[u8]) -> bool {
        outgoing.bytes.extend_from_slice(bytes);
        outgoing.completion_unreported = true;
        let completed = self.flush(&mut outgoing);
        drop(outgoing);
        if !completed {
            self.wake();
        }
        completed
    }

    /// Writes what is waiting. True if this completed a write that has not been reported yet. A failure to
    /// write is noticed when the coroutine reads.
    fn flush(&self, outgoing: &mut Outgoing) -> bool {
        let Some((stream, _)) = self.stream.get() else { return false };
        while !outgoing.bytes.is_empty() {
            match stream.inner().write(&outgoing.bytes) {
                Ok(0) => return false,
                Ok(count) => drop(outgoing.bytes.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        outgoing.stalled_since = None;
        BUFFERED_BYTES.fetch_sub(std::mem::take(&mut outgoing.counted_bytes), Ordering::AcqRel);
        if outgoing.shutdown_requested && !std::mem::replace(&mut outgoing.shut_down, true) {
            let _ = stream.shutdown(Shutdown::Write);
        }
        // Sessions are idle for long times, so that their connections keep no buffer.
        outgoing.bytes.shrink_to(if outgoing.relay.is_some() { 0 } else { MAX_READ_BYTES });
        std::mem::take(&mut outgoing.completion_unreported)
    }

    /// Attaches two connections to a session's relay, if exactly `unread_bytes` have been read from each and
    /// not consumed. These bytes then count as consumed. False if more has been read; nothing has changed
    /// then.
    pub(super) fn attach_relay(
        connections: [&Arc<Connection>; 2], unread_bytes: [usize; 2], relay: &Arc<Relay>,
    ) -> bool {
        let [mut client, mut server] = connections.map(|connection| connection.outgoing());
        let nothing_more = connections
            .iter()
            .zip(unread_bytes)
            .all(|(connection, count)| connection.unread.load(Ordering::Acquire) == count);
        if !nothing_more {
            return false;
        }
        (client.relay, server.relay) =
            (Some((relay.clone(), Side::Client)), Some((relay.clone(), Side::Server)));
        drop((client, server));
        for (connection, count) in connections.into_iter().zip(unread_bytes) {
            connection.unread.fetch_sub(count, Ordering::AcqRel);
            BUFFERED_BYTES.fetch_sub(count, Ordering::AcqRel);
            connection.wake();
        }
        true
    }

    /// Detaches the connection from its session's relay.
    pub(super) fn detach_relay(&self) {
        self.outgoing().relay = None;
    }

    /// Writes bytes of a session. What the socket takes at once is not copied.
    pub(super) fn relay_write(&self, first: &[u8], rest: &[u8], now: Micros) {
        let mut outgoing = self.outgoing();
        let was_waiting = !outgoing.bytes.is_empty();
        for part in [first, rest] {
            let mut part = part;
            if outgoing.bytes.is_empty()
                && let Some((stream, _)) = self.stream.get()
            {
                while !part.is_empty() {
                    match stream.inner().write(part) {
                        Ok(count) if count > 0 => part = &part[count..],
                        Err(error) if error.kind() == ErrorKind::Interrupted => {}
                        // The rest waits; a failure is noticed when the coroutine reads.
                        Ok(_) | Err(_) => break,
                    }
                }
            }
            outgoing.bytes.extend_from_slice(part);
        }
        BUFFERED_BYTES.fetch_add(outgoing.bytes.len() - outgoing.counted_bytes, Ordering::AcqRel);
        outgoing.counted_bytes = outgoing.bytes.len();
        if !was_waiting && !outgoing.bytes.is_empty() {
            (outgoing.stalled_since, outgoing.completion_unreported) = (Some(now), true);
            drop(outgoing);
            self.wake();
        }
    }

    /// Whether bytes are waiting to be written.
    pub(super) fn is_stalled(&self) -> bool {
        !self.outgoing().bytes.is_empty()
    }

    /// Since when bytes of a session have been waiting to be written.
    pub(super) fn stalled_since(&self) -> Option<Micros> {
        self.outgoing().stalled_since
    }

    /// Shuts down the sending side once everything is written; the coroutine reports what it still writes.
    pub fn shutdown_write(&self) {
        self.outgoing().shutdown_requested = true;
        self.wake();
    }

    /// Closes the connection if nothing has been read that is not consumed; returns whether it did. What
    /// arrives from now on stays unread, so that the kernel resets the connection and the peer notices that
    /// it was not read.
    pub fn close_if_idle(&self) -> bool {
        // The lock keeps the coroutine from reading meanwhile.
        let outgoing = self.outgoing();
        let is_idle = self.unread.load(Ordering::Acquire) == 0;
        if is_idle {
            self.closed.store(true, Ordering::Release);
        }
        drop(outgoing);
        // No shutdown here: an orderly end ahead of the reset would hide the reset from the peer.
        self.wake();
        is_idle
    }

    /// Closes the connection at once, whatever its coroutine waits for.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        if let Some((stream, _)) = self.stream.get() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.wake();
    }

    /// Marks bytes that were read as consumed, so that the connection may read more.
    pub fn consumed(&self, count: usize) {
        let unread_before = self.unread.fetch_sub(count, Ordering::AcqRel);
        BUFFERED_BYTES.fetch_sub(count, Ordering::AcqRel);
        if unread_before >= MIN_UNREAD_BYTES {
            self.wake();
        }
    }

    /// Reads what has arrived, and for how long it has waited; `None` if the connection holds as much as it
    /// may, was closed, or is a session's. Above the limit for all connections together, each has room for a
    /// small message only: otherwise, many connections could each hold slightly less than the limit of one.
    fn read(&self, stream: &TcpStream) -> nix::Result<Option<(Vec<u8>, Micros)>> {
        let outgoing = self.outgoing();
        if outgoing.relay.is_some() {
            // Joined since the coroutine last looked: what has arrived belongs to the session.
            return Ok(None);
        }
        let limit = if is_buffer_limit_reached() { MIN_UNREAD_BYTES } else { MAX_UNREAD_BYTES };
        let room = limit.saturating_sub(self.unread.load(Ordering::Acquire)).min(MAX_READ_BYTES);
        if self.closed.load(Ordering::Acquire) || room == 0 {
            return Ok(None);
        }
        let read = READ_BUFFER.with_borrow_mut(|buffer| receive(stream, &mut buffer[..room]))?;
        self.unread.fetch_add(read.0.len(), Ordering::AcqRel);
        BUFFERED_BYTES.fetch_add(read.0.len(), Ordering::AcqRel);
        Ok(Some(read))
    }

    /// Discards what has arrived after the last response was written. A client that sends far more than it
    /// may would otherwise be blocked in its sending, and never read the response. False once the connection
    /// has ended.
    fn discard(&self, stream: &TcpStream) -> nix::Result<bool> {
        let fd = stream.inner().as_raw_fd();
        READ_BUFFER.with_borrow_mut(|buffer| recv(fd, buffer, MsgFlags::MSG_TRUNC)).map(|count| count > 0)
    }

    /// The connection's coroutine: runs until the connection ends.
    fn run(&self, stream: TcpStream, clock: Clock, events: &Sender<Event>) {
        // Messages are small, and their sender waits for the response: Nagle's algorithm would only delay
        // them.
        let _ = stream.set_nodelay(true);
        let waker = stream.waker();
        let (stream, _) = self.stream.get_or_init(|| (stream, waker));
        let _ = events.send(Event::Connected(self.id));
        while !self.closed.load(Ordering::Acquire) {
            let mut outgoing = self.outgoing();
            let (written, is_last) = (self.flush(&mut outgoing), outgoing.shutdown_requested);
            let relay = outgoing.relay.clone();
            drop(outgoing);
            if written {
                match &relay {
                    Some((relay, side)) => relay.writes_completed(*side),
                    None => drop(events.send(Event::Written(self.id))),
                }
            }
            if is_last {
                match self.discard(stream) {
                    Ok(true) => may::coroutine::yield_now(),
                    Err(Errno::EINTR) => {}
                    Err(Errno::EAGAIN) => drop(stream.wait_io()),
                    Ok(false) | Err(_) => break,
                }
                continue;
            }
            if let Some((relay, side)) = relay {
                match relay.pump(side, stream) {
                    PumpResult::MayHaveMore => may::coroutine::yield_now(),
                    PumpResult::Wait => drop(stream.wait_io()),
                    PumpResult::Ended => break,
                }
                continue;
            }
            match self.read(stream) {
                Ok(Some((bytes, _))) if bytes.is_empty() => break,
                Ok(Some((bytes, waited))) => {
                    let is_full_read = bytes.len() == MAX_READ_BYTES;
                    let _ = events.send(Event::Received(self.id, clock.now() - waited, bytes));
                    if is_full_read {
                        // A connection that sends as fast as it is read must not starve the others.
                        may::coroutine::yield_now();
                    }
                    continue;
                }
                Err(Errno::EINTR) => continue,
                Ok(None) | Err(Errno::EAGAIN) => {}
                Err(_) => break,
            }
            stream.wait_io();
        }
        let relay = self.outgoing().relay.take();
        if let Some((relay, side)) = relay {
            relay.connection_ended(side);
        }
        let _ = events.send(Event::Closed(self.id));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let buffered = self.unread.load(Ordering::Acquire) + self.outgoing().counted_bytes;
        BUFFERED_BYTES.fetch_sub(buffered, Ordering::AcqRel);
    }
}

/// Whether all connections together hold as many bytes as they may.
pub(super) fn is_buffer_limit_reached() -> bool {
    BUFFERED_BYTES.load(Ordering::Acquire) >= BUFFERED_BYTES_LIMIT.load(Ordering::Acquire)
}

/// Limits the bytes that all connections together hold.
pub fn set_buffer_limit(bytes: usize) {
    BUFFERED_BYTES_LIMIT.store(bytes, Ordering::Release);
}

/// Reads what has arrived, and for how long it has waited by the kernel's receive timestamp. A request that
/// arrived while the process was stopped is thereby known to be old. Both times are of the system clock, so
/// that a step of that clock makes requests look old for a short time only.
fn receive(stream: &TcpStream, buffer: &mut [u8]) -> nix::Result<(Vec<u8>, Micros)> {
    let mut control = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(buffer)];
    let fd = stream.inner().as_raw_fd();
    let message = recvmsg::<()>(fd, &mut parts, Some(&mut control), MsgFlags::empty())?;
    let arrived_at = message.cmsgs()?.find_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(at) => Some(Duration::from(at)),
        _ => None,
    });
    let count = message.bytes;
    let waited = arrived_at.and_then(|at| clock::unix_time().checked_sub(at)).unwrap_or_default();
    Ok((buffer[..count].to_vec(), waited.as_micros() as Micros))
}

/// Has the kernel timestamp what arrives on a socket, or on the connections that a listener accepts from now
/// on.
pub fn enable_receive_timestamps(socket: &impl AsFd) {
    let _ = setsockopt(socket, ReceiveTimestampns, &true);
}

/// Starts the coroutine of a connection that a client has opened.
pub fn run_accepted(connection: Arc<Connection>, stream: TcpStream, clock: Clock, events: Sender<Event>) {
    // SAFETY: `may` requires that a coroutine does not move between threads while it uses thread-local
    // storage, and that its stack suffices. The read buffer is borrowed within one read, with no wait inside;
    // there is one worker; and the coroutine makes no deep calls.
    unsafe { may::coroutine::spawn(move || connection.run(stream, clock, &events)) };
}

/// Connects to an address within a time, and runs the connection. One that was closed meanwhile ends as soon
/// as it is established.
pub fn dial(
    connection: Arc<Connection>, address: SocketAddr, timeout: Duration, clock: Clock, events: Sender<Event>,
) {
    // SAFETY: as for `run_accepted`.
    unsafe {
        may::coroutine::spawn(move || match TcpStream::connect_timeout(&address, timeout) {
            Ok(stream) => connection.run(stream, clock, &events),
            Err(_) => {
                let _ = events.send(Event::Closed(connection.id));
            }
        })
    };
}
