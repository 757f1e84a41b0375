//! Tracks whether a client connection is idle, sending a request head, or being served, so that each phase has its
//! own time limit. hyper's own timer for heads also runs while a connection is idle and cannot tell the two apart.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use types::{ConfigVersion, Micros};

use crate::node::Clock;

/// How long, and for how many bytes, input that a client still sends is read and dropped after its answer. Closing a
/// socket with unread bytes would reset the connection and could lose the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 4 << 20;

/// How much is read at most while reading is paused.
const READ_AHEAD_BYTES: usize = 1024;

/// The phase of a connection and when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Idle(Micros),
    /// Part of a request has arrived, but not its whole head.
    ReadingHead(Micros),
    Serving,
}

/// Activity of one connection, shared between its I/O, its service and the task that ends it.
#[derive(Clone)]
pub struct Activity {
    clock: Clock,
    phase: Rc<Cell<Phase>>,
    /// Since when the client has taken none of the bytes to be written.
    write_blocked_since: Rc<Cell<Option<Micros>>>,
    /// Whether part of the request's body is unread. An `Arc`, since bodies, which update it, must be `Send`.
    unread: Arc<AtomicBool>,
    /// Whether what the client sends next is kept back.
    reading_paused: Rc<Cell<bool>>,
    /// Whether the connection is being closed.
    shutting_down: Rc<Cell<bool>>,
    /// The configuration whose limits the connection goes by.
    limits_version: Rc<Cell<ConfigVersion>>,
}

/// What to do with a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Nothing; check again at this time.
    CheckAt(Micros),
    /// It has been idle for too long: close it gracefully.
    Close,
    /// A head has taken too long, or the client does not read its answer: drop the connection to free its resources.
    Abort,
}

impl Activity {
    /// Starts idle.
    pub fn start(clock: Clock) -> Activity {
        let phase = Rc::new(Cell::new(Phase::Idle(clock.now())));
        Activity {
            clock,
            phase,
            write_blocked_since: Rc::default(),
            unread: Arc::default(),
            reading_paused: Rc::default(),
            shutting_down: Rc::default(),
            limits_version: Rc::default(),
        }
    }

    /// The configuration whose limits the connection goes by; 0 before the first.
    pub fn limits_version(&self) -> ConfigVersion {
        self.limits_version.get()
    }

    /// Records that the connection goes by the limits of this configuration from now on.
    pub fn set_limits_version(&self, version: ConfigVersion) {
        self.limits_version.set(version);
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Whether part of the request's body is unread; shared with the body.
    pub fn unread(&self) -> &Arc<AtomicBool> {
        &self.unread
    }

    /// Whether the client takes none of the bytes to be written.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    /// Whether no request is being read or answered, all answers have been written, and the connection goes on.
    pub fn between_requests(&self) -> bool {
        self.phase.get() != Phase::Serving
            && !self.is_write_blocked()
            && !self.unread.load(Ordering::Relaxed)
            && !self.shutting_down.get()
    }

    /// Keeps what the client sends after the current request back, or hands it on again.
    pub fn pause_reading(&self, paused: bool) {
        self.reading_paused.set(paused);
    }

    /// Records that a whole head was read (`done` is false), or that its answer is complete (`done` is true).
    pub fn request_served(&self, done: bool) {
        self.phase.set(if done { Phase::Idle(self.clock.now()) } else { Phase::Serving });
    }

    /// Records that bytes were received.
    pub fn bytes_received(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::ReadingHead(self.clock.now()));
        }
    }

    /// Records whether a write made progress.
    pub fn write_progress(&self, progressed: bool) {
        match (progressed, self.write_blocked_since.get()) {
            (false, None) => self.write_blocked_since.set(Some(self.clock.now())),
            (true, Some(_)) => {
                self.write_blocked_since.set(None);
                // The head's time limit starts anew: while the answer was blocked, nobody waited for the next head.
                if let Phase::ReadingHead(_) = self.phase.get() {
                    self.phase.set(Phase::ReadingHead(self.clock.now()));
                }
            }
            _ => {}
        }
    }

    /// The action now, given the limits in force for a head and for idleness. A client that reads nothing has as long
    /// as an idle one.
    pub fn next_action(&self, head_timeout: Micros, idle_timeout: Micros) -> NextAction {
        let now = self.clock.now();
        if let Some(since) = self.write_blocked_since.get() {
            return if now >= since + idle_timeout {
                NextAction::Abort
            } else {
                NextAction::CheckAt((since + idle_timeout).min(now + head_timeout))
            };
        }
        match self.phase.get() {
            Phase::Idle(since) if now >= since + idle_timeout => NextAction::Close,
            Phase::ReadingHead(since) if now >= since + head_timeout => NextAction::Abort,
            // While the connection is idle, a head may begin at any moment.
            Phase::Idle(since) => NextAction::CheckAt((since + idle_timeout).min(now + head_timeout)),
            Phase::ReadingHead(since) => NextAction::CheckAt(since + head_timeout),
            Phase::Serving => NextAction::CheckAt(now + head_timeout),
        }
    }
}

/// I/O of a connection that reports to its `Activity`.
pub struct MonitoredIo<T> {
    io: T,
    activity: Activity,
    /// Bytes that were read from the socket before and are to be read first.
    read_ahead: Bytes,
    /// Set once writing is shut down: until this time, and for this many bytes, input is read and dropped.
    linger: Option<(Pin<Box<tokio::time::Sleep>>, usize)>,
}

impl<T> MonitoredIo<T> {
    pub fn new(io: T, activity: Activity) -> MonitoredIo<T> {
        MonitoredIo { io, activity, read_ahead: Bytes::new(), linger: None }
    }

    /// The same I/O with bytes in front that were read from it and not used.
    pub fn with_read_ahead(self, unused: Bytes) -> MonitoredIo<T> {
        let read_ahead = match self.read_ahead.is_empty() {
            true => unused,
            false => [unused, self.read_ahead].concat().into(),
        };
        MonitoredIo { read_ahead, ..self }
    }
}

impl<T: Read + Unpin> MonitoredIo<T> {
    /// Ready once the client has left, or at an error. What the client sends meanwhile is kept, to be read when reading
    /// goes on; whoever ends the pause polls again.
    fn poll_end_of_input(&mut self, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if !self.read_ahead.is_empty() {
            return Poll::Pending;
        }
        let mut bytes = [std::mem::MaybeUninit::uninit(); READ_AHEAD_BYTES];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut self.io).poll_read(context, buffer.unfilled()))?;
        if buffer.filled().is_empty() {
            return Poll::Ready(Ok(()));
        }
        self.read_ahead = Bytes::copy_from_slice(buffer.filled());
        Poll::Pending
    }
}

impl<T: Read + Unpin> Read for MonitoredIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, mut buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.activity.reading_paused.get() && !self.activity.unread.load(Ordering::Relaxed) {
            return self.poll_end_of_input(context);
        }
        if self.read_ahead.is_empty() {
            ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
        } else {
            let count = self.read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.read_ahead[..count]);
            self.read_ahead.advance(count);
        }
        self.activity.bytes_received();
        Poll::Ready(Ok(()))
    }
}

impl<T: Read + Write + Unpin> Write for MonitoredIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.activity.write_progress(written.is_ready());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.activity.shutting_down.set(true);
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.io).poll_shutdown(context))?;
            let reading_head = matches!(self.activity.phase(), Phase::ReadingHead(_));
            if !reading_head && !self.activity.unread.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
        }
        let this = &mut *self;
        let (linger_until, bytes_left) =
            this.linger.get_or_insert_with(|| (Box::pin(tokio::time::sleep(LINGER_TIMEOUT)), LINGER_BYTES));
        let mut bytes = [std::mem::MaybeUninit::uninit(); 4096];
        while *bytes_left > 0 && linger_until.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match Pin::new(&mut this.io).poll_read(context, buffer.unfilled()) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    *bytes_left = bytes_left.saturating_sub(buffer.filled().len());
                }
                Poll::Ready(_) => break,
            }
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, parts);
        self.activity.write_progress(written.is_ready());
        written
    }
}
