//! Connections: what each is for, how room is made for them, what is written to them, and how they end.

use std::net::SocketAddr;

use garnetdoor::host::{AttemptNo, Micros, RequestId, ServerId};

use super::gateway_state::{CLIENT_MESSAGE_TIMEOUT, GatewayState, MS, SECOND};
use super::servers::ServerProcess;
use super::timers::Timer;
use crate::event::{CloseReason, ConnectionId, Effect};
use crate::wire::buffer::Buffer;
use crate::wire::http::ChunkedStream;

/// How long a surplus client may take to send its request, which is rejected before the connection is closed.
const SURPLUS_CLIENT_TIMEOUT: Micros = SECOND;
/// After this idle time an answered client is assumed to have no request on its way, and may be shed.
const SHED_ANSWERED_AFTER: Micros = 500 * MS;
/// The same, while more clients are idle than the limit allows.
const SHED_CROWDED_AFTER: Micros = 250 * MS;
/// After this time a client that has connected and sent nothing is not expected to send soon, and may be
/// shed.
const SHED_MUTE_AFTER: Micros = 50 * MS;
/// The share of connections (1/8) that a flood of clients leaves free for servers and votes.
const FLOOD_RESERVE_DIVISOR: usize = 8;

/// What a connection to a server is used for at present.
#[derive(Clone, Copy)]
pub enum ServerCall {
    Attempt(RequestId, AttemptNo),
    /// A probe, and when it was sent.
    Probe(Micros),
}

/// What a connection is for.
pub enum ConnectionKind {
    Client {
        /// Its open request.
        request: Option<RequestId>,
        /// Its last message has been read; anything further is discarded.
        last_message_read: bool,
        /// There are too many clients: its request is rejected without a decision.
        surplus: bool,
        /// It has been answered at least once.
        answered: bool,
        /// A part of its next message has arrived.
        message_started: bool,
    },
    Server {
        server: ServerId,
        process: ServerProcess,
        call: Option<ServerCall>,
    },
    /// A call for the whole list.
    List,
    /// The stream of the list's changes.
    Watch(ChunkedStream),
    /// A vote.
    Vote,
    /// The platform's stream of events.
    EventStream(ChunkedStream),
}

impl ConnectionKind {
    /// The kind's name in log lines.
    fn name(&self) -> &'static str {
        match self {
            ConnectionKind::Client { .. } => "client",
            ConnectionKind::Server { .. } => "server",
            ConnectionKind::List => "list",
            ConnectionKind::Watch(_) => "watch",
            ConnectionKind::Vote => "vote",
            ConnectionKind::EventStream(_) => "notices",
        }
    }
}

/// The state of one connection, whichever side opened it.
pub struct ConnectionState {
    pub kind: ConnectionKind,
    pub buffer: Buffer,
    /// The message that is written once the connection is established.
    pub first_message: Option<Vec<u8>>,
    /// Whether something is not completely written yet.
    pub write_pending: bool,
    /// When the bytes that were read last had arrived.
    pub last_received_at: Micros,
    /// When it was last sent a request.
    pub last_request_at: Micros,
    /// Since when it has had nothing to do, if it has.
    pub idle_since: Micros,
    /// A client's connection that is to be closed for this reason, unless something has just arrived.
    pub closing: Option<CloseReason>,
    /// When it will have been in its present state for too long.
    pub deadline: Option<Micros>,
    /// When the earliest timer that checks the deadline is due.
    deadline_timer: Option<Micros>,
}

impl ConnectionState {
    /// Whether it is a client's connection that is idle and not about to be closed.
    pub fn is_idle_client(&self) -> bool {
        let is_waiting =
            matches!(self.kind, ConnectionKind::Client { request: None, last_message_read: false, .. });
        is_waiting && self.buffer.is_empty() && !self.write_pending && self.closing.is_none()
    }
}

/// The order in which idle connections are shed.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ShedRank {
    /// A client that has sent nothing since it connected.
    MuteClient,
    AnsweredClient,
    Server,
}

impl GatewayState {
    /// Adds a connection that is established or being established.
    pub fn add_connection(&mut self, id: ConnectionId, kind: ConnectionKind) -> &mut ConnectionState {
        let connection = ConnectionState {
            kind,
            buffer: Buffer::default(),
            first_message: None,
            write_pending: false,
            last_received_at: self.now,
            last_request_at: self.now,
            idle_since: self.now,
            closing: None,
            deadline: None,
            deadline_timer: None,
        };
        self.connections.entry(id).insert_entry(connection).into_mut()
    }

    /// Makes room for one more connection if there are `max` already, by shedding an idle one; false if there
    /// is none to shed. Clients that connected and sent nothing go first, then answered clients, then
    /// servers, each time the one that has been idle longest. A client that connected or was answered just
    /// now probably has a request on its way, and retries a request that crosses the close only once; if all
    /// clients are that recent, new ones are rejected instead.
    fn make_room(&mut self, max: usize) -> bool {
        let closing = || self.connections.values().filter(|connection| connection.closing.is_some()).count();
        if self.connections.len() < max || self.connections.len() - closing() < max {
            return true;
        }
        let rank = |connection: &ConnectionState| match connection.kind {
            ConnectionKind::Server { call: None, .. } => Some(ShedRank::Server),
            ConnectionKind::Client { answered, .. } => {
                let (rank, min_idle) = if answered {
                    (ShedRank::AnsweredClient, SHED_ANSWERED_AFTER)
                } else {
                    (ShedRank::MuteClient, SHED_MUTE_AFTER)
                };
                let is_shed = connection.is_idle_client() && self.now - connection.idle_since >= min_idle;
                is_shed.then_some(rank)
            }
            _ => None,
        };
        let candidates = self
            .connections
            .iter()
            .filter_map(|(id, connection)| Some((rank(connection)?, connection.idle_since, *id)));
        let Some((.., id)) = candidates.min() else { return false };
        if id.is_client() {
            self.close_if_idle(id, CloseReason::Shed)
        } else {
            drop(self.close(id, CloseReason::Shed))
        }
        true
    }

    /// Closes a client's idle connection, unless bytes from it have been read that were not seen here yet;
    /// these are handled first. The client would take an orderly end after its request for a lost request.
    pub fn close_if_idle(&mut self, id: ConnectionId, reason: CloseReason) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closing = Some(reason);
            self.effects.push(Effect::CloseIfIdle(id));
        }
    }

    /// Closes the clients' connections that have been idle longest, if more are idle than may be. Clients
    /// that send one request and keep their connection could otherwise hold a third of the descriptors
    /// together, and no other client would get one until some of them are closed. The drawback: a client that
    /// would have sent another request has to reconnect.
    pub fn shed_idle_clients(&mut self) {
        let is_idle = |connection: &ConnectionState| {
            matches!(connection.kind, ConnectionKind::Client { answered: true, .. })
                && connection.is_idle_client()
        };
        let idle = || self.connections.iter().filter(|(_, connection)| is_idle(connection));
        let surplus = idle().count().saturating_sub(self.max_idle_clients);
        if surplus == 0 {
            return;
        }
        let mut longest_idle: Vec<_> = idle().map(|(id, connection)| (connection.idle_since, *id)).collect();
        longest_idle.sort_unstable();
        longest_idle.truncate(surplus);
        longest_idle.retain(|(idle_since, _)| self.now - idle_since >= SHED_CROWDED_AFTER);
        longest_idle.into_iter().for_each(|(_, id)| self.close_if_idle(id, CloseReason::Shed));
    }

    /// A client has connected.
    pub fn client_connected(&mut self, id: ConnectionId) {
        let surplus = !self.make_room(self.max_clients);
        let kind = ConnectionKind::Client {
            request: None,
            last_message_read: false,
            surplus,
            answered: false,
            message_started: false,
        };
        self.add_connection(id, kind);
        let timeout = if surplus { SURPLUS_CLIENT_TIMEOUT } else { CLIENT_MESSAGE_TIMEOUT };
        self.set_deadline(id, Some(self.now + timeout));
        // Keeps the last descriptors, which servers and votes need, free in a flood of clients. The drawback:
        // a client whose request crosses two such closes has lost it.
        if self.connections.len() > self.max_connections - self.max_connections / FLOOD_RESERVE_DIVISOR {
            self.close_if_idle(id, CloseReason::Shed);
        }
    }

    /// Opens a connection on which a message is to be written; `None` if there is no room for it.
    pub(super) fn dial(
        &mut self, address: SocketAddr, kind: ConnectionKind, message: Vec<u8>, deadline: Micros,
    ) -> Option<ConnectionId> {
        if !self.make_room(self.max_connections) {
            return None;
        }
        let id = ConnectionId(self.next_connection);
        self.next_connection += 2;
        self.effects.push(Effect::Dial(id, address, self.dial_timeout));
        let connection = self.add_connection(id, kind);
        connection.first_message = Some(message);
        connection.write_pending = true;
        self.set_deadline(id, Some(deadline));
        Some(id)
    }

    /// Writes to an established connection.
    pub fn write(&mut self, id: ConnectionId, bytes: Vec<u8>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.write_pending = true;
            self.effects.push(Effect::Write(id, bytes));
        }
    }

    /// Drops the first `count` bytes of a connection's buffer.
    pub fn consume(&mut self, id: ConnectionId, count: usize) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|_| count > 0) {
            connection.buffer.consume(count);
            self.effects.push(Effect::Consumed(id, count));
        }
    }

    /// Sets or clears a connection's deadline, after which it will have been in its present state for too
    /// long. A timer that is already set for an earlier time is used again, so that a deadline that is often
    /// moved sets few timers.
    pub fn set_deadline(&mut self, id: ConnectionId, deadline: Option<Micros>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.deadline = deadline;
        if let Some(at) = deadline.filter(|at| connection.deadline_timer.is_none_or(|timer| timer > *at)) {
            connection.deadline_timer = Some(at);
            self.timers.set(at, Timer::Connection(id));
        }
    }

    /// Whether a connection's deadline has passed; if not, sets a timer for it.
    pub fn is_deadline_passed(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.deadline_timer = None;
        let deadline = connection.deadline;
        self.set_deadline(id, deadline.filter(|at| *at > self.now));
        deadline.is_some_and(|at| at <= self.now)
    }

    /// Closes a connection from this side.
    pub fn close(&mut self, id: ConnectionId, reason: CloseReason) -> Option<ConnectionState> {
        let connection = self.remove_connection(id, reason)?;
        self.effects.push(Effect::Close(id));
        Some(connection)
    }

    /// Removes a connection that has ended.
    pub fn remove_connection(&mut self, id: ConnectionId, reason: CloseReason) -> Option<ConnectionState> {
        let connection = self.connections.remove(&id)?;
        self.forget_client_address(id);
        match &connection.kind {
            ConnectionKind::Server { server, call: None, .. } => {
                if let Some(listed) = self.servers.get_mut(server) {
                    listed.idle.retain(|idle| *idle != id);
                }
            }
            ConnectionKind::Watch(_) => self.watch = None,
            ConnectionKind::EventStream(_) => self.event_stream = None,
            _ => {}
        }
        self.log(format!("end conn={id} kind={} code={}", connection.kind.name(), reason.code()));
        Some(connection)
    }
}
