//! Watch (over a client's connection): tells idle, sending a head, and served apart, so that each has its own
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

use crate::node::Clock;

/// How long, and for how many bytes, a client that still sends what nobody wants is read after its answer.
/// Closed with bytes unread, the connection would be reset, and the answer be lost with it.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 4 << 20;

/// What a connection is about, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    Idle(Micros),
    /// Some of a request has come, and not its whole head.
    Head(Micros),
    Served,
}

/// Shared between the connection's bytes, its service and the task that ends it.
#[derive(Clone)]
pub struct Watch {
    clock: Clock,
    doing: Rc<Cell<Doing>>,
    /// Since when the client has taken nothing of what is to be written.
    stuck: Rc<Cell<Option<Micros>>>,
    /// Some of the request's body has not been read. Bodies, which tell it, must be `Send`.
    unread: Arc<AtomicBool>,
}

/// What is due of a connection that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing before this.
    At(Micros),
    /// It has been idle for too long: it may end.
    End,
    /// A head has taken too long, or a client takes nothing of its answer: it is cut, to hold nothing.
    Cut,
}

impl Watch {
    pub fn start(clock: Clock) -> Watch {
        let doing = Rc::new(Cell::new(Doing::Idle(clock.now())));
        Watch { clock, doing, stuck: Rc::default(), unread: Arc::default() }
    }

    pub fn doing(&self) -> Doing {
        self.doing.get()
    }

    /// Whether some of the request's body is unread; shared with the body.
    pub fn unread(&self) -> &Arc<AtomicBool> {
        &self.unread
    }

    /// A whole head has been read, or its answer is done.
    pub fn served(&self, done: bool) {
        self.doing.set(if done { Doing::Idle(self.clock.now()) } else { Doing::Served });
    }

    /// Some bytes have come.
    pub fn bytes_came(&self) {
        if let Doing::Idle(_) = self.doing.get() {
            self.doing.set(Doing::Head(self.clock.now()));
        }
    }

    /// Some of what is to be written could go out, or nothing of it.
    pub fn wrote(&self, some: bool) {
        match (some, self.stuck.get()) {
            (false, None) => self.stuck.set(Some(self.clock.now())),
            (true, Some(_)) => {
                self.stuck.set(None);
                // What came of the next head meanwhile was not waited for.
                if let Doing::Head(_) = self.doing.get() {
                    self.doing.set(Doing::Head(self.clock.now()));
                }
            }
            _ => {}
        }
    }

    /// What is due now, by `head` and `idle` at most; a client that takes nothing has as long as an idle one.
    pub fn due(&self, head: Micros, idle: Micros) -> Due {
        let now = self.clock.now();
        if let Some(since) = self.stuck.get() {
            return if now >= since + idle { Due::Cut } else { Due::At((since + idle).min(now + head)) };
        }
        match self.doing.get() {
            Doing::Idle(since) if now >= since + idle => Due::End,
            Doing::Head(since) if now >= since + head => Due::Cut,
            // A head may begin at any moment while it is idle.
            Doing::Idle(since) => Due::At((since + idle).min(now + head)),
            Doing::Head(since) => Due::At(since + head),
            Doing::Served => Due::At(now + head),
        }
    }
}

/// A connection whose bytes are watched.
pub struct Watched<T> {
    io: T,
    watch: Watch,
    /// Nothing more is written; until then, and for so many bytes more, the client is read.
    lingers: Option<(Pin<Box<tokio::time::Sleep>>, usize)>,
}

impl<T> Watched<T> {
    pub fn new(io: T, watch: Watch) -> Watched<T> {
        Watched { io, watch, lingers: None }
    }
}

impl<T: Read + Unpin> Read for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
        self.watch.bytes_came();
        Poll::Ready(Ok(()))
    }
}

impl<T: Read + Write + Unpin> Write for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write(context, bytes);
        self.watch.wrote(wrote.is_ready());
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.lingers.is_none() {
            ready!(Pin::new(&mut self.io).poll_shutdown(context))?;
            let head = matches!(self.watch.doing(), Doing::Head(_));
            if !head && !self.watch.unread.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
        }
        let this = &mut *self;
        let (until, left) =
            this.lingers.get_or_insert_with(|| (Box::pin(tokio::time::sleep(LINGER)), LINGER_BYTES));
        let mut bytes = [std::mem::MaybeUninit::uninit(); 4096];
        while *left > 0 && until.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match Pin::new(&mut this.io).poll_read(context, buffer.unfilled()) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    *left = left.saturating_sub(buffer.filled().len());
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
        let wrote = Pin::new(&mut self.io).poll_write_vectored(context, parts);
        self.watch.wrote(wrote.is_ready());
        wrote
    }
}
