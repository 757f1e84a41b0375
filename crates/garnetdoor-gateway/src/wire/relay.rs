//! The relay between a session's two connections: what is read from one is checked and written to the other.
//! Only what changes the session's state is reported to the reducer.

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

use super::socket::{self, Connection};
use crate::clock::Clock;
use crate::event::{Event, SessionClose, SessionJoin};

/// Largest single read of a session; this much is held if the other side takes none of it.
const MAX_READ_BYTES: usize = 128 * 1024;
/// Largest single read once all connections together hold as many bytes as they may.
const MAX_READ_BYTES_AT_LIMIT: usize = 2 * 1024;

thread_local! {
    /// The worker's only read buffer for sessions, allocated with the first session.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_READ_BYTES].into_boxed_slice());
}

/// One direction of a session, from the side that sends.
struct Direction {
    flow: FrameFilter,
    /// The close frame that is to be written once the current message is over.
    pending_close: Option<Vec<u8>>,
    /// A close frame was written, or can't be written any more: nothing follows.
    finished: bool,
    /// The sending side has ended or is not read any more: its current message will never be complete.
    cut_off: bool,
}

/// A session's connections.
pub struct Relay {
    session: SessionId,
    /// By side.
    connections: [Weak<Connection>; 2],
    /// By the side that sends.
    directions: Mutex<[Direction; 2]>,
    /// When bytes were last read from each side.
    last_read: [AtomicI64; 2],
    /// When data was last relayed, in either direction.
    last_data: AtomicI64,
    clock: Clock,
    events: Sender<Event>,
}

/// What a connection's coroutine is to do after a read for a session.
#[derive(Debug, PartialEq, Eq)]
pub enum PumpResult {
    /// There may be more to read; other connections get their turn first.
    MayHaveMore,
    /// Wait until the connection is readable or writable.
    Wait,
    /// The connection has ended.
    Ended,
}

impl Relay {
    /// Joins two connections into a session, if everything that was read from them is in `join`; otherwise
    /// nothing changes, and the result is `None`.
    pub fn join(
        connections: [&Arc<Connection>; 2], join: &SessionJoin, clock: Clock, events: Sender<Event>,
    ) -> Option<Arc<Self>> {
        let direction = |from| Direction {
            flow: FrameFilter::new(from, join.compressed, join.message_limit.clone()),
            pending_close: None,
            finished: false,
            cut_off: false,
        };
        let now = clock.now();
        let relay = Arc::new(Relay {
            session: join.session,
            connections: connections.map(Arc::downgrade),
            directions: Mutex::new(Side::BOTH.map(direction)),
            last_read: [now, now].map(AtomicI64::new),
            last_data: AtomicI64::new(now),
            clock,
            events,
        });
        // Locked until what was read before has been relayed: the connections' coroutines may read more at
        // once.
        let mut directions = relay.directions();
        let unread_bytes = [join.already_read[0].len(), join.already_read[1].len()];
        if !Connection::attach_relay(connections, unread_bytes, &relay) {
            return None;
        }
        for from in Side::BOTH {
            let to = connections[from.other() as usize];
            relay.relay_bytes(&mut directions, from, to, &join.already_read[from as usize]);
        }
        drop(directions);
        Some(relay)
    }

    fn directions(&self) -> MutexGuard<'_, [Direction; 2]> {
        self.directions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads what has arrived from a side, and relays it. Nothing is read until the other side has taken what
    /// was read before, so that at most one read is held for it.
    pub(super) fn pump(&self, from: Side, stream: &TcpStream) -> PumpResult {
        let Some(to) = self.connections[from.other() as usize].upgrade() else { return PumpResult::Wait };
        let mut directions = self.directions();
        if !directions[from as usize].finished && to.is_stalled() {
            return PumpResult::Wait;
        }
        let max_bytes =
            if socket::is_buffer_limit_reached() { MAX_READ_BYTES_AT_LIMIT } else { MAX_READ_BYTES };
        READ_BUFFER.with_borrow_mut(|buffer| {
            let buffer = &mut buffer[..max_bytes];
            // Does not block: `may` has made the descriptor non-blocking.
            match recv(stream.inner().as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
                Ok(0) => PumpResult::Ended,
                Ok(count) => {
                    self.last_read[from as usize].store(self.clock.now(), Ordering::Relaxed);
                    self.relay_bytes(&mut directions, from, &to, &buffer[..count]);
                    PumpResult::MayHaveMore
                }
                Err(Errno::EAGAIN) => PumpResult::Wait,
                Err(Errno::EINTR) => PumpResult::MayHaveMore,
                Err(_) => PumpResult::Ended,
            }
        })
    }

    /// Checks bytes of one side, and writes to the other those that are valid.
    fn relay_bytes(&self, directions: &mut [Direction; 2], from: Side, to: &Connection, bytes: &[u8]) {
        let direction = &mut directions[from as usize];
        let fed = direction.flow.feed(bytes);
        if !direction.finished && (!fed.prefix.is_empty() || fed.accepted > 0) {
            to.relay_write(&fed.prefix, &bytes[..fed.accepted], self.clock.now());
        }
        if fed.message_data {
            self.last_data.store(self.clock.now(), Ordering::Relaxed);
        }
        if fed.end_reached {
            if let Some(frame) = direction.pending_close.take().filter(|_| !direction.finished) {
                to.relay_write(&frame, &[], self.clock.now());
            }
            direction.finished = true;
        }
        if let Some(code) = fed.close_frame {
            direction.finished = true;
            self.report(SideEvent::CloseFrame(from, code));
        }
        if let Some(error) = fed.error {
            direction.cut_off = true;
            self.report(SideEvent::InvalidFrame(from, error.close_code()));
        }
        self.shutdown_if_finished(directions);
    }

    fn report(&self, end: SideEvent) {
        let _ = self.events.send(Event::Session(self.session, end));
    }

    /// Shuts down both sending sides once both directions are finished; what still arrives is discarded.
    fn shutdown_if_finished(&self, directions: &[Direction; 2]) {
        if directions.iter().all(|direction| direction.finished) {
            self.connections
                .iter()
                .filter_map(Weak::upgrade)
                .for_each(|connection| connection.shutdown_write());
        }
    }

    /// A side's connection has ended: its current message will never be complete.
    pub fn connection_ended(&self, side: Side) {
        self.directions()[side as usize].cut_off = true;
    }

    /// Closes the session in order: each side gets a close frame after the current message towards it, or now
    /// if there is none or it can't be completed any more.
    pub fn close(&self, close: &SessionClose) {
        let mut directions = self.directions();
        for to in Side::BOTH {
            let direction = &mut directions[to.other() as usize];
            if direction.finished {
                continue;
            }
            let mask = (to == Side::Server).then_some(close.mask);
            let frame = frames::close_frame(close.codes[to as usize], &close.reasons[to as usize], mask);
            let connection = self.connections[to as usize].upgrade();
            let is_between_messages = direction.flow.end_after_message();
            if is_between_messages || (direction.cut_off && direction.flow.at_frame_end()) {
                connection
                    .iter()
                    .for_each(|connection| connection.relay_write(&frame, &[], self.clock.now()));
            }
            // Inside a frame that will never be complete no close frame can be written: the other side sees
            // an orderly end of its connection.
            direction.finished |= is_between_messages || direction.cut_off;
            if direction.cut_off {
                direction.flow.end_now();
            }
            if !direction.finished {
                direction.pending_close = Some(frame);
            }
        }
        self.shutdown_if_finished(&directions);
    }

    /// Ends the session now. The server's connection is closed. The client gets a close frame with this code,
    /// unless a frame towards it is incomplete, and its sending side is shut down.
    pub fn abort(&self, code: u16) {
        let mut directions = self.directions();
        let [_, to_client] = &mut *directions;
        let [client, server] = self.connections.each_ref().map(Weak::upgrade);
        if let Some(client) = client {
            if !to_client.finished && to_client.flow.at_frame_end() {
                client.relay_write(&frames::close_frame(code, "", None), &[], self.clock.now());
            }
            client.detach_relay();
            client.shutdown_write();
        }
        directions.iter_mut().for_each(|direction| direction.finished = true);
        server.iter().for_each(|server| server.close());
    }

    /// Pings a side, unless a frame towards it is incomplete. `mask` is used if the side is the server.
    pub fn ping(&self, to: Side, mask: [u8; 4]) {
        let directions = self.directions();
        let direction = &directions[to.other() as usize];
        if !direction.finished && direction.flow.at_frame_end() {
            let frame = frames::ping_frame(b"", (to == Side::Server).then_some(mask));
            self.connections[to as usize]
                .upgrade()
                .iter()
                .for_each(|connection| connection.relay_write(&frame, &[], self.clock.now()));
        }
    }

    /// A side has taken everything that was waiting for it: the other side may be read again.
    pub(super) fn writes_completed(&self, side: Side) {
        self.connections[side.other() as usize].upgrade().iter().for_each(|connection| connection.wake());
    }

    /// A sample of the session's activity.
    pub fn sample(&self) -> ConnectionActivity {
        let last_received = self.last_read.each_ref().map(|at| at.load(Ordering::Relaxed));
        let write_blocked_since = self
            .connections
            .each_ref()
            .map(|connection| connection.upgrade().and_then(|connection| connection.stalled_since()));
        ConnectionActivity {
            last_received,
            write_blocked_since,
            last_message: self.last_data.load(Ordering::Relaxed) as Micros,
        }
    }
}
