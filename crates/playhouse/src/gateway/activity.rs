//! Activity (over a client's connection): tells idle, sending a head, and served apart, so that each has its own
//! bound. hyper's own time for heads runs while a connection is idle too, and can't keep them apart.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use types::Micros;

use crate::house::Clock;

/// How long, and for how many bytes, a client that still sends what nobody wants is read after its answer.
/// Closed with bytes unread, the connection would be reset, and the answer be lost with it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 4 << 20;

/// What a connection is about, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Idle(Micros),
    /// Some of a request has come, and not its whole head.
    ReadingHead(Micros),
    Serving,
}

/// Shared between the connection's bytes, its service and the task that ends it.
#[derive(Clone)]
pub struct Activity {
    clock: Clock,
    phase: Rc<Cell<Phase>>,
    /// Since when the client has taken nothing of what is to be written.
    write_blocked_since: Rc<Cell<Option<Micros>>>,
    /// Some of the request's body has not been read. Bodies, which tell it, must be `Send`.
    unread: Arc<AtomicBool>,
}

/// What is due of a connection that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Nothing before this.
    CheckAt(Micros),
    /// It has been idle for too long: it may end.
    Close,
    /// A head has taken too long, or a client takes nothing of its answer: it is cut, to hold nothing.
    Abort,
}

impl Activity {
    pub fn start(clock: Clock) -> Activity {
        let phase = Rc::new(Cell::new(Phase::Idle(clock.now())));
        Activity { clock, phase, write_blocked_since: Rc::default(), unread: Arc::default() }
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Whether some of the request's body is unread; shared with the body.
    pub fn unread(&self) -> &Arc<AtomicBool> {
        &self.unread
    }

    /// A whole head has been read, or its answer is done.
    pub fn request_served(&self, done: bool) {
        self.phase.set(if done { Phase::Idle(self.clock.now()) } else { Phase::Serving });
    }

    /// Some bytes have come.
    pub fn bytes_received(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::ReadingHead(self.clock.now()));
        }
    }

    /// Some of what is to be written could go out, or nothing of it.
    pub fn write_progress(&self, progressed: bool) {
        match (progressed, self.write_blocked_since.get()) {
            (false, None) => self.write_blocked_since.set(Some(self.clock.now())),
            (true, Some(_)) => {
                self.write_blocked_since.set(None);
                // What came of the next head meanwhile was not waited for.
                if let Phase::ReadingHead(_) = self.phase.get() {
                    self.phase.set(Phase::ReadingHead(self.clock.now()));
                }
            }
            _ => {}
        }
    }

    /// What is due now, by `head` and `idle` at most; a client that takes nothing has as long as an idle one.
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
            // A head may begin at any moment while it is idle.
            Phase::Idle(since) => NextAction::CheckAt((since + idle_timeout).min(now + head_timeout)),
            Phase::ReadingHead(since) => NextAction::CheckAt(since + head_timeout),
            Phase::Serving => NextAction::CheckAt(now + head_timeout),
        }
    }
}

/// A connection whose bytes are watched.
pub struct MonitoredIo<T> {
    io: T,
    activity: Activity,
    /// Nothing more is written; until then, and for so many bytes more, the client is read.
    linger: Option<(Pin<Box<tokio::time::Sleep>>, usize)>,
}

impl<T> MonitoredIo<T> {
    pub fn new(io: T, activity: Activity) -> MonitoredIo<T> {
        MonitoredIo { io, activity, linger: None }
    }
}

impl<T: Read + Unpin> Read for MonitoredIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
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
