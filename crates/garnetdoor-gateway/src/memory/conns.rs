//! Connections: what each is for, room for them, what is written to them, and how they end.

use std::net::SocketAddr;

use garnetdoor::host::{AttemptNo, Micros, RequestId, ServerId};

use super::desk::{CLIENT_ASKS, Desk, MS, SECOND};
use super::ticket::Process;
use super::timers::Timer;
use crate::event::{ConnId, Effect, Reason};
use crate::wire::buffer::Buffer;
use crate::wire::http::Stream;

/// A client that is one too many has so long for its ticket: it is to be turned back and gone.
const SURPLUS_SLOW: Micros = SECOND;
/// A client that has had nothing to do for so long has no ticket under way.
const CLIENT_RESTS: Micros = 500 * MS;
/// The same where clients that rest hold much of what clients may hold at all.
const CLIENT_RESTS_LEAST: Micros = 250 * MS;
/// One that came so long ago and has said nothing is not about to.
const CLIENT_MUTE: Micros = 50 * MS;

/// What a connection to a server is busy with.
#[derive(Clone, Copy)]
pub enum Work {
    Trip(RequestId, AttemptNo),
    Probe(Micros),
}

/// What a connection is for.
pub enum Kind {
    Client {
        ticket: Option<RequestId>,
        /// Nothing more is read from it.
        last: bool,
        /// It is one too many: its ticket is turned back unseen.
        surplus: bool,
        answered: bool,
        /// A part of its next message has come.
        begun: bool,
    },
    Server {
        server: ServerId,
        process: Process,
        work: Option<Work>,
    },
    List,
    Watch(Stream),
    Vote,
    Notices(Stream),
}

impl Kind {
    fn name(&self) -> &'static str {
        match self {
            Kind::Client { .. } => "client",
            Kind::Server { .. } => "server",
            Kind::List => "list",
            Kind::Watch(_) => "watch",
            Kind::Vote => "vote",
            Kind::Notices(_) => "notices",
        }
    }
}

/// One connection, whoever made it.
pub struct Conn {
    pub kind: Kind,
    pub buffer: Buffer,
    /// What is written once it is up.
    pub pending: Option<Vec<u8>>,
    /// Something is not written yet.
    pub unwritten: bool,
    /// When the bytes read last had come.
    pub heard: Micros,
    /// When it was last asked something.
    pub asked: Micros,
    /// Since when it has had nothing to do, if it has.
    pub since: Micros,
    /// It is a client's that is to end unless something has come just now.
    pub leaves: Option<Reason>,
    /// When it has stood as it does for too long, and the earliest timer that will look.
    pub due: Option<Micros>,
    looked: Option<Micros>,
}

impl Conn {
    /// Whether it is a client's with nothing to do that stays.
    pub fn is_idle_client(&self) -> bool {
        let waits = matches!(self.kind, Kind::Client { ticket: None, last: false, .. });
        waits && self.buffer.is_empty() && !self.unwritten && self.leaves.is_none()
    }
}

impl Desk {
    /// Takes in a connection that stands or is being made.
    pub fn add(&mut self, id: ConnId, kind: Kind) -> &mut Conn {
        let (buffer, heard, since) = (Buffer::default(), self.now, self.now);
        let conn = Conn {
            kind,
            buffer,
            pending: None,
            unwritten: false,
            heard,
            asked: self.now,
            since,
            leaves: None,
            due: None,
            looked: None,
        };
        self.conns.entry(id).insert_entry(conn).into_mut()
    }

    /// Makes room for one more connection, if some can be given up: clients that came and say nothing first,
    /// then idle clients, then idle servers. A client that came or was answered just now is likely to have a
    /// ticket under way, and sends what crosses the closing only once more. With no old ones left, new
    /// clients are turned back instead.
    fn room(&mut self, most: usize) -> bool {
        let leaving = || self.conns.values().filter(|conn| conn.leaves.is_some()).count();
        if self.conns.len() < most || self.conns.len() - leaving() < most {
            return true;
        }
        let idle = |conn: &Conn| match conn.kind {
            Kind::Server { work: None, .. } => Some(2),
            Kind::Client { answered, .. } => {
                let (rank, least) = if answered { (1, CLIENT_RESTS) } else { (0, CLIENT_MUTE) };
                (conn.is_idle_client() && self.now - conn.since >= least).then_some(rank)
            }
            _ => None,
        };
        let ranked = self.conns.iter().filter_map(|(id, conn)| Some((idle(conn)?, conn.since, *id)));
        let Some((.., id)) = ranked.min() else { return false };
        if id.is_client() {
            self.close_unused(id, Reason::Shed)
        } else {
            drop(self.close(id, Reason::Shed))
        }
        true
    }

    /// Ends a client's idle connection. What is read from it and not seen here yet counts first: its client
    /// would take an orderly end for a lost ticket.
    pub fn close_unused(&mut self, id: ConnId, reason: Reason) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.leaves = Some(reason);
            self.effects.push(Effect::CloseUnused(id));
        }
    }

    /// Lets the clients go that have rested longest, where many rest. Guards against clients that ask once
    /// and keep their connection: together they may hold a third of the descriptors, and until some are let
    /// go no other client gets one. Harm: a client that would have asked again connects anew.
    pub fn rested(&mut self) {
        let rests =
            |conn: &Conn| matches!(conn.kind, Kind::Client { answered: true, .. }) && conn.is_idle_client();
        let resting = || self.conns.iter().filter(|(_, conn)| rests(conn));
        let many = resting().count().saturating_sub(self.resting_most);
        if many == 0 {
            return;
        }
        let mut idle: Vec<_> = resting().map(|(id, conn)| (conn.since, *id)).collect();
        idle.sort_unstable();
        idle.truncate(many);
        idle.retain(|(since, _)| self.now - since >= CLIENT_RESTS_LEAST);
        idle.into_iter().for_each(|(_, id)| self.close_unused(id, Reason::Shed));
    }

    /// A client has connected.
    pub fn client_came(&mut self, id: ConnId) {
        let surplus = !self.room(self.clients_most);
        self.add(id, Kind::Client { ticket: None, last: false, surplus, answered: false, begun: false });
        self.due_at(id, Some(self.now + if surplus { SURPLUS_SLOW } else { CLIENT_ASKS }));
        // Guards the last descriptors, which servers and votes need, against a flood. Harm: a client whose
        // ticket crosses two such closings has lost it.
        if self.conns.len() > self.most - self.most / 8 {
            self.close_unused(id, Reason::Shed);
        }
    }

    pub(super) fn dial(
        &mut self, to: SocketAddr, kind: Kind, message: Vec<u8>, due: Micros,
    ) -> Option<ConnId> {
        if !self.room(self.most) {
            return None;
        }
        let id = ConnId(self.next_conn);
        self.next_conn += 2;
        self.effects.push(Effect::Dial(id, to, self.dial_within));
        let conn = self.add(id, kind);
        conn.pending = Some(message);
        conn.unwritten = true;
        self.due_at(id, Some(due));
        Some(id)
    }

    /// Writes to a connection that is up.
    pub fn write(&mut self, id: ConnId, bytes: Vec<u8>) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.unwritten = true;
            self.effects.push(Effect::Write(id, bytes));
        }
    }

    /// Forgets the first bytes that a connection holds.
    pub fn consume(&mut self, id: ConnId, count: usize) {
        if let Some(conn) = self.conns.get_mut(&id).filter(|_| count > 0) {
            conn.buffer.consume(count);
            self.effects.push(Effect::Consumed(id, count));
        }
    }

    /// Sets when a connection will have stood as it does for too long.
    pub fn due_at(&mut self, id: ConnId, due: Option<Micros>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.due = due;
        if let Some(at) = due.filter(|at| conn.looked.is_none_or(|looked| looked > *at)) {
            conn.looked = Some(at);
            self.timers.set(at, Timer::Conn(id));
        }
    }

    /// Whether the connection has stood as it does for too long; if not, looks again later.
    pub fn is_due(&mut self, id: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        conn.looked = None;
        let due = conn.due;
        self.due_at(id, due.filter(|at| *at > self.now));
        due.is_some_and(|at| at <= self.now)
    }

    /// Ends a connection from this side.
    pub fn close(&mut self, id: ConnId, reason: Reason) -> Option<Conn> {
        let conn = self.forget(id, reason)?;
        self.effects.push(Effect::Close(id));
        Some(conn)
    }

    /// Forgets a connection that has ended.
    pub fn forget(&mut self, id: ConnId, reason: Reason) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        self.origin_over(id);
        match &conn.kind {
            Kind::Server { server, work: None, .. } => {
                if let Some(place) = self.servers.get_mut(server) {
                    place.idle.retain(|idle| *idle != id);
                }
            }
            Kind::Watch(_) => self.watch = None,
            Kind::Notices(_) => self.notices = None,
            _ => {}
        }
        self.log(format!("end conn={id} kind={} code={}", conn.kind.name(), reason.code()));
        Some(conn)
    }
}
