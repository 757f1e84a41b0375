//! Connections on `may`: one coroutine each, which only moves bytes. It reads until the reducer holds enough
//! unread, writes what the reducer's thread could not write at once, and tells how the connection ended.

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

use super::http::HELD_MOST;
use super::relay::{Next, Relay};
use crate::clock::{self, Clock};
use crate::event::{ConnId, Event};

/// One read takes at most this much; the worker's only copy of it is shared by its connections.
const READ_MOST: usize = 16 * 1024;

/// What a connection may hold unread though all together hold enough.
const HELD_LEAST: usize = 4 * 1024;

/// Bytes that all connections hold unread, and how many they may before each gets little room.
static HELD: AtomicUsize = AtomicUsize::new(0);
static HELD_ALL: AtomicUsize = AtomicUsize::new(usize::MAX);

thread_local! {
    static READ: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_MOST].into_boxed_slice());
}

#[derive(Default)]
struct Out {
    bytes: Vec<u8>,
    /// Something was written that the reducer has not been told of.
    untold: bool,
    /// Once all is written, the sending side ends.
    last: bool,
    /// It has ended.
    shut: bool,
    /// The session that it is one side of. Its reads and writes are the relay's then.
    relay: Option<(Arc<Relay>, Side)>,
    /// Since when something of a session waits to be written, and how many bytes count as held for it.
    stuck: Option<Micros>,
    waits: usize,
}

/// A connection as the reducer's thread holds it.
pub struct Link {
    id: ConnId,
    stream: OnceLock<(TcpStream, WaitIoWaker)>,
    out: Mutex<Out>,
    closed: AtomicBool,
    /// Bytes read and not consumed yet.
    unread: AtomicUsize,
}

impl Link {
    pub fn new(id: ConnId) -> Arc<Self> {
        let (stream, out, closed, unread) = Default::default();
        Arc::new(Link { id, stream, out, closed, unread })
    }

    fn out(&self) -> MutexGuard<'_, Out> {
        self.out.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn wake(&self) {
        if let Some((_, waker)) = self.stream.get() {
            waker.wakeup();
        }
    }

    /// Writes as much as goes at once; the coroutine does the rest. True once all is written.
    pub fn write(&self, bytes: &[u8]) -> bool {
        self.put(self.out(), bytes)
    }

    /// The same where nothing has come that is not consumed, not even an end; else `None`, and nothing is
    /// written.
    pub fn write_unused(&self, bytes: &[u8]) -> Option<bool> {
        let out = self.out();
        let (stream, _) = self.stream.get()?;
        let come = recv(stream.inner().as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT);
        let unused = self.unread.load(Ordering::Acquire) == 0 && come == Err(Errno::EAGAIN);
        unused.then(|| self.put(out, bytes))
    }

    fn put(&self, mut out: MutexGuard<'_, Out>, bytes: &[u8]) -> bool {
        out.bytes.extend_from_slice(bytes);
        out.untold = true;
        let done = self.push(&mut out);
        drop(out);
        if !done {
            self.wake();
        }
        done
    }

    /// True if all is written just now. A failure shows when the coroutine reads.
    fn push(&self, out: &mut Out) -> bool {
        let Some((stream, _)) = self.stream.get() else { return false };
        while !out.bytes.is_empty() {
            match stream.inner().write(&out.bytes) {
                Ok(0) => return false,
                Ok(count) => drop(out.bytes.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        out.stuck = None;
        HELD.fetch_sub(std::mem::take(&mut out.waits), Ordering::AcqRel);
        if out.last && !std::mem::replace(&mut out.shut, true) {
            let _ = stream.shutdown(Shutdown::Write);
        }
        // Sessions stand idle for long: what they do not need they do not keep.
        out.bytes.shrink_to(if out.relay.is_some() { 0 } else { READ_MOST });
        std::mem::take(&mut out.untold)
    }

    /// Makes two connections the sides of a session, if so many bytes and no more have been read of them and not
    /// consumed; these count as consumed then.
    pub(super) fn relayed(links: [&Arc<Link>; 2], sizes: [usize; 2], relay: &Arc<Relay>) -> bool {
        let [mut client, mut server] = links.map(|link| link.out());
        let seen = links.iter().zip(sizes).all(|(link, size)| link.unread.load(Ordering::Acquire) == size);
        if !seen {
            return false;
        }
        (client.relay, server.relay) =
            (Some((relay.clone(), Side::Client)), Some((relay.clone(), Side::Server)));
        drop((client, server));
        for (link, size) in links.into_iter().zip(sizes) {
            link.unread.fetch_sub(size, Ordering::AcqRel);
            HELD.fetch_sub(size, Ordering::AcqRel);
            link.wake();
        }
        true
    }

    /// It is no session's any more.
    pub(super) fn unrelay(&self) {
        self.out().relay = None;
    }

    /// Writes a session's bytes, without a copy of what goes at once.
    pub(super) fn pass(&self, first: &[u8], rest: &[u8], now: Micros) {
        let mut out = self.out();
        let waits = !out.bytes.is_empty();
        for part in [first, rest] {
            let mut part = part;
            if out.bytes.is_empty()
                && let Some((stream, _)) = self.stream.get()
            {
                while !part.is_empty() {
                    match stream.inner().write(part) {
                        Ok(count) if count > 0 => part = &part[count..],
                        Err(error) if error.kind() == ErrorKind::Interrupted => {}
                        // The rest waits; a failure shows when the coroutine reads.
                        Ok(_) | Err(_) => break,
                    }
                }
            }
            out.bytes.extend_from_slice(part);
        }
        HELD.fetch_add(out.bytes.len() - out.waits, Ordering::AcqRel);
        out.waits = out.bytes.len();
        if !waits && !out.bytes.is_empty() {
            (out.stuck, out.untold) = (Some(now), true);
            drop(out);
            self.wake();
        }
    }

    /// Whether something waits to be written.
    pub(super) fn is_stuck(&self) -> bool {
        !self.out().bytes.is_empty()
    }

    /// Since when something of a session has waited to be written.
    pub(super) fn stuck(&self) -> Option<Micros> {
        self.out().stuck
    }

    /// Ends the sending side once all is written; the coroutine tells of what it still writes.
    pub fn finish(&self) {
        self.out().last = true;
        self.wake();
    }

    /// Ends the connection if nothing has been read that is not consumed. What comes from now on stays
    /// unread, so that the other side is told by a reset.
    pub fn close_unused(&self) -> bool {
        let held = self.out();
        let unused = self.unread.load(Ordering::Acquire) == 0;
        if unused {
            self.closed.store(true, Ordering::Release);
        }
        drop(held);
        // No shutdown: an orderly end that goes ahead of the reset would hide it.
        self.wake();
        unused
    }

    /// Ends the connection at once, whatever its coroutine waits for.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        if let Some((stream, _)) = self.stream.get() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.wake();
    }

    /// So many bytes of it are held no longer; it may read on.
    pub fn consumed(&self, count: usize) {
        let before = self.unread.fetch_sub(count, Ordering::AcqRel);
        HELD.fetch_sub(count, Ordering::AcqRel);
        if before >= HELD_LEAST {
            self.wake();
        }
    }

    /// Reads what is there, unless enough is held or the connection has been closed. Guards against many
    /// connections that each hold a little less than one may: beyond what all may hold together, each gets
    /// room for a small message only.
    fn read(&self, stream: &TcpStream) -> nix::Result<Option<(Vec<u8>, Micros)>> {
        let held = self.out();
        if held.relay.is_some() {
            // Joined just now: what is there is the session's.
            return Ok(None);
        }
        let all = HELD.load(Ordering::Acquire);
        let most = if all < HELD_ALL.load(Ordering::Acquire) { HELD_MOST } else { HELD_LEAST };
        let room = most.saturating_sub(self.unread.load(Ordering::Acquire)).min(READ_MOST);
        if self.closed.load(Ordering::Acquire) || room == 0 {
            return Ok(None);
        }
        let read = READ.with_borrow_mut(|all| read(stream, &mut all[..room]))?;
        self.unread.fetch_add(read.0.len(), Ordering::AcqRel);
        HELD.fetch_add(read.0.len(), Ordering::AcqRel);
        Ok(Some(read))
    }

    /// Throws away what is there once the last answer is on its way. Guards against a client that sends far
    /// more than it was let: unread, it would hold up its own reading of the answer. False once it has ended.
    fn discard(&self, stream: &TcpStream) -> nix::Result<bool> {
        let fd = stream.inner().as_raw_fd();
        READ.with_borrow_mut(|room| recv(fd, room, MsgFlags::MSG_TRUNC)).map(|count| count > 0)
    }

    /// Runs in a coroutine of its own until the connection ends.
    fn run(&self, stream: TcpStream, clock: Clock, events: &Sender<Event>) {
        // Answers and trips are small, and each waits for the other side.
        let _ = stream.set_nodelay(true);
        let waker = stream.waker();
        let (stream, _) = self.stream.get_or_init(|| (stream, waker));
        let _ = events.send(Event::Up(self.id));
        while !self.closed.load(Ordering::Acquire) {
            let mut out = self.out();
            let (written, last) = (self.push(&mut out), out.last);
            let relay = out.relay.clone();
            drop(out);
            if written {
                match &relay {
                    Some((relay, side)) => relay.drained(*side),
                    None => drop(events.send(Event::Written(self.id))),
                }
            }
            if last {
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
                    Next::More => may::coroutine::yield_now(),
                    Next::Wait => drop(stream.wait_io()),
                    Next::Over => break,
                }
                continue;
            }
            match self.read(stream) {
                Ok(Some((bytes, _))) if bytes.is_empty() => break,
                Ok(Some((bytes, waited))) => {
                    let full = bytes.len() == READ_MOST;
                    let _ = events.send(Event::Bytes(self.id, clock.now() - waited, bytes));
                    if full {
                        // One that sends as fast as it is read leaves the others their turn.
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
        let relay = self.out().relay.take();
        if let Some((relay, side)) = relay {
            relay.gone(side);
        }
        let _ = events.send(Event::Ended(self.id));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let held = self.unread.load(Ordering::Acquire) + self.out().waits;
        HELD.fetch_sub(held, Ordering::AcqRel);
    }
}

/// Whether all connections together hold as much as they may.
pub(super) fn holds_much() -> bool {
    HELD.load(Ordering::Acquire) >= HELD_ALL.load(Ordering::Acquire)
}

/// Bounds what all connections together may hold unread.
pub fn hold_at_most(bytes: usize) {
    HELD_ALL.store(bytes, Ordering::Release);
}

/// Reads what is there, and for how long it has been there: the kernel stamps what comes, so that a ticket
/// which came while the process stood still is known to be old. Both times are of the same clock, so that a
/// step of it can't make everything look old for long.
fn read(stream: &TcpStream, room: &mut [u8]) -> nix::Result<(Vec<u8>, Micros)> {
    let mut stamps = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(room)];
    let fd = stream.inner().as_raw_fd();
    let message = recvmsg::<()>(fd, &mut parts, Some(&mut stamps), MsgFlags::empty())?;
    let stamp = message.cmsgs()?.find_map(|stamp| match stamp {
        ControlMessageOwned::ScmTimestampns(at) => Some(Duration::from(at)),
        _ => None,
    });
    let count = message.bytes;
    let waited = stamp.and_then(|stamp| clock::unix().checked_sub(stamp)).unwrap_or_default();
    Ok((room[..count].to_vec(), waited.as_micros() as Micros))
}

/// Has the kernel stamp what comes on a socket, or on what a listener takes from now on.
pub fn stamp(socket: &impl AsFd) {
    let _ = setsockopt(socket, ReceiveTimestampns, &true);
}

/// Lets a connection run that a client has made.
pub fn accepted(link: Arc<Link>, stream: TcpStream, clock: Clock, events: Sender<Event>) {
    // SAFETY: `may` asks that no coroutine that uses thread-local storage moves between threads while it
    // does, and that stacks suffice: the read buffer is borrowed within one read, with no wait inside, there
    // is one worker, and the coroutine calls nothing deep.
    unsafe { may::coroutine::spawn(move || link.run(stream, clock, &events)) };
}

/// Makes a connection and lets it run. One that was closed meanwhile ends as soon as it is up.
pub fn dial(link: Arc<Link>, to: SocketAddr, within: Duration, clock: Clock, events: Sender<Event>) {
    // SAFETY: as above.
    unsafe {
        may::coroutine::spawn(move || match TcpStream::connect_timeout(&to, within) {
            Ok(stream) => link.run(stream, clock, &events),
            Err(_) => {
                let _ = events.send(Event::Ended(link.id));
            }
        })
    };
}
