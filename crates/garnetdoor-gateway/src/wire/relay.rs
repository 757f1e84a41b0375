//! A session's two connections joined: what one reads the other writes, checked on its way. Nothing of it
//! passes through the reducer but what changes a session.

use std::cell::RefCell;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use garnetdoor::host::Micros;
use garnetdoor_sessions::{ConnectionActivity, SessionId, Side, SideEvent};
use garnetdoor_websocket::frames::{self, FrameFilter};
use may::net::TcpStream;
use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, recv};

use super::socket::{self, Link};
use crate::clock::Clock;
use crate::event::{Event, Join, Parting};

/// One read of a session takes at most this much, which is held if the other side takes nothing of it; and this
/// much where all connections together hold enough already.
const READ_MOST: usize = 128 * 1024;
const READ_LEAST: usize = 2 * 1024;

thread_local! {
    /// The worker's only one, made with the first session.
    static READ: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_MOST].into_boxed_slice());
}

/// What goes from one side to the other.
struct Way {
    flow: FrameFilter,
    /// The close frame that goes once the message under way is over.
    ends: Option<Vec<u8>>,
    /// A close frame has gone, or can't any more: nothing follows.
    done: bool,
    /// The side that sends has ended or is not heard any more: no message under way gets whole.
    cut_off: bool,
}

/// A session's connections.
pub struct Relay {
    session: SessionId,
    links: [Weak<Link>; 2],
    /// By the side that sends.
    ways: Mutex<[Way; 2]>,
    heard: [AtomicI64; 2],
    moved: AtomicI64,
    clock: Clock,
    events: Sender<Event>,
}

/// What the coroutine of a connection does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// There may be more to read; others get their turn first.
    More,
    /// Wait until something can be read or written.
    Wait,
    /// The connection has ended.
    Over,
}

impl Relay {
    /// Joins two connections, if all that was read of them is in `join`; `None` else, and nothing has changed.
    pub fn join(
        links: [&Arc<Link>; 2], join: &Join, clock: Clock, events: Sender<Event>,
    ) -> Option<Arc<Self>> {
        let way = |side| Way {
            flow: FrameFilter::new(side, join.compressed, join.message_most),
            ends: None,
            done: false,
            cut_off: false,
        };
        let now = clock.now();
        let relay = Arc::new(Relay {
            session: join.session,
            links: links.map(Arc::downgrade),
            ways: Mutex::new(Side::BOTH.map(way)),
            heard: [now, now].map(AtomicI64::new),
            moved: AtomicI64::new(now),
            clock,
            events,
        });
        // Held until what was read before has gone on: the connections' coroutines may read more at once.
        let mut ways = relay.ways();
        let sizes = [join.first[0].len(), join.first[1].len()];
        if !Link::relayed(links, sizes, &relay) {
            return None;
        }
        for side in Side::BOTH {
            relay.pass(&mut ways, side, links[side.other() as usize], &join.first[side as usize]);
        }
        drop(ways);
        Some(relay)
    }

    fn ways(&self) -> MutexGuard<'_, [Way; 2]> {
        self.ways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads what is there on a side's connection and has it go on. Nothing is read while the other side has not
    /// taken what was read before, so that no more than one read is held for it.
    pub(super) fn pump(&self, side: Side, stream: &TcpStream) -> Next {
        let Some(other) = self.links[side.other() as usize].upgrade() else { return Next::Wait };
        let mut ways = self.ways();
        if !ways[side as usize].done && other.is_stuck() {
            return Next::Wait;
        }
        let most = if socket::holds_much() { READ_LEAST } else { READ_MOST };
        READ.with_borrow_mut(|room| {
            let room = &mut room[..most];
            // Not blocking: the descriptor is `may`'s.
            match recv(stream.inner().as_raw_fd(), room, MsgFlags::MSG_DONTWAIT) {
                Ok(0) => Next::Over,
                Ok(count) => {
                    self.heard[side as usize].store(self.clock.now(), Ordering::Relaxed);
                    self.pass(&mut ways, side, &other, &room[..count]);
                    Next::More
                }
                Err(Errno::EAGAIN) => Next::Wait,
                Err(Errno::EINTR) => Next::More,
                Err(_) => Next::Over,
            }
        })
    }

    /// Has bytes of a side go on to the other, as far as they are good.
    fn pass(&self, ways: &mut [Way; 2], side: Side, to: &Link, bytes: &[u8]) {
        let way = &mut ways[side as usize];
        let fed = way.flow.feed(bytes);
        if !way.done && (!fed.prefix.is_empty() || fed.accepted > 0) {
            to.pass(&fed.prefix, &bytes[..fed.accepted], self.clock.now());
        }
        if fed.message_data {
            self.moved.store(self.clock.now(), Ordering::Relaxed);
        }
        if fed.end_reached {
            if let Some(frame) = way.ends.take().filter(|_| !way.done) {
                to.pass(&frame, &[], self.clock.now());
            }
            way.done = true;
        }
        if let Some(code) = fed.close_frame {
            way.done = true;
            self.tell(SideEvent::CloseFrame(side, code));
        }
        if let Some(fault) = fed.error {
            way.cut_off = true;
            self.tell(SideEvent::InvalidFrame(side, fault.close_code()));
        }
        self.finish_if_done(ways);
    }

    fn tell(&self, end: SideEvent) {
        let _ = self.events.send(Event::Session(self.session, end));
    }

    /// Once both sides have been told of the end, both sending sides end: what still comes is thrown away.
    fn finish_if_done(&self, ways: &[Way; 2]) {
        if ways.iter().all(|way| way.done) {
            self.links.iter().filter_map(Weak::upgrade).for_each(|link| link.finish());
        }
    }

    /// A side's connection has ended: of a message under way nothing more comes.
    pub fn gone(&self, side: Side) {
        self.ways()[side as usize].cut_off = true;
    }

    /// Has both sides told, each at the end of the message under way towards it, or now if that gets no end.
    pub fn part(&self, parting: &Parting) {
        let mut ways = self.ways();
        for to in Side::BOTH {
            let way = &mut ways[to.other() as usize];
            if way.done {
                continue;
            }
            let mask = (to == Side::Server).then_some(parting.mask);
            let frame = frames::close_frame(parting.codes[to as usize], &parting.reasons[to as usize], mask);
            let link = self.links[to as usize].upgrade();
            let now = way.flow.end_after_message();
            if now || (way.cut_off && way.flow.at_frame_end()) {
                link.iter().for_each(|link| link.pass(&frame, &[], self.clock.now()));
            }
            // Within a frame that gets no end there is no room for a close: the other side sees an orderly end.
            way.done |= now || way.cut_off;
            if way.cut_off {
                way.flow.end_now();
            }
            if !way.done {
                way.ends = Some(frame);
            }
        }
        self.finish_if_done(&ways);
    }

    /// Ends the session now. The server's connection is closed; the client's is told, if a frame may go there, and
    /// its sending side ends.
    pub fn cut(&self, code: u16) {
        let mut ways = self.ways();
        let [_, way] = &mut *ways;
        let [client, server] = self.links.each_ref().map(Weak::upgrade);
        if let Some(client) = client {
            if !way.done && way.flow.at_frame_end() {
                client.pass(&frames::close_frame(code, "", None), &[], self.clock.now());
            }
            client.unrelay();
            client.finish();
        }
        ways.iter_mut().for_each(|way| way.done = true);
        server.iter().for_each(|server| server.close());
    }

    /// Pings a side, where no frame is under way towards it.
    pub fn ping(&self, to: Side, mask: [u8; 4]) {
        let ways = self.ways();
        let way = &ways[to.other() as usize];
        if !way.done && way.flow.at_frame_end() {
            let frame = frames::ping_frame(b"", (to == Side::Server).then_some(mask));
            self.links[to as usize]
                .upgrade()
                .iter()
                .for_each(|link| link.pass(&frame, &[], self.clock.now()));
        }
    }

    /// One side has taken all that waited for it: the other may be read again.
    pub(super) fn drained(&self, side: Side) {
        self.links[side.other() as usize].upgrade().iter().for_each(|link| link.wake());
    }

    pub fn glance(&self) -> ConnectionActivity {
        let heard = self.heard.each_ref().map(|at| at.load(Ordering::Relaxed));
        let stuck = self.links.each_ref().map(|link| link.upgrade().and_then(|link| link.stuck()));
        ConnectionActivity {
            last_received: heard,
            write_blocked_since: stuck,
            last_message: self.moved.load(Ordering::Relaxed) as Micros,
        }
    }
}
