//! Watch (over a client's connection): tells idle, sending a head, and served apart, so that each has its own
//! bound. hyper's own time for heads runs while a connection is idle too, and can't keep them apart.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use props::Micros;

use crate::house::Clock;

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
}

/// What is due of a connection that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing before this.
    At(Micros),
    /// It has been idle for too long: it may end.
    End,
    /// A head has taken too long: it is cut, so that slow senders hold nothing.
    Cut,
}

impl Watch {
    pub fn start(clock: Clock) -> Watch {
        Watch { clock, doing: Rc::new(Cell::new(Doing::Idle(clock.now()))) }
    }

    /// A whole head has been read, or its answer is done.
    pub fn served(&self, done: bool) {
        self.doing.set(if done { Doing::Idle(self.clock.now()) } else { Doing::Served });
    }

    fn bytes_came(&self) {
        if let Doing::Idle(_) = self.doing.get() {
            self.doing.set(Doing::Head(self.clock.now()));
        }
    }

    /// What is due now, by `head` and `idle` at most.
    pub fn due(&self, head: Micros, idle: Micros) -> Due {
        let now = self.clock.now();
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
    pub io: T,
    pub watch: Watch,
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

impl<T: Write + Unpin> Write for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, parts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_head_and_idleness_have_bounds_of_their_own() {
        let watch = Watch::start(Clock::start());
        let (head, idle) = (3_000_000, 15_000_000);
        assert!(matches!(watch.due(head, idle), Due::At(_)), "a fresh connection may wait");
        assert_eq!(watch.due(head, 0), Due::End, "it is idle");
        watch.bytes_came();
        assert_eq!(watch.due(0, idle), Due::Cut, "some of a head has come and no more");
        watch.served(false);
        assert!(matches!(watch.due(0, 0), Due::At(_)), "what is served is not ended");
        watch.served(true);
        assert_eq!(watch.due(head, 0), Due::End, "its answer is done: it is idle again");
    }
}
