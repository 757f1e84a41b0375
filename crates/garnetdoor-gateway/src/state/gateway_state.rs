//! The gateway's whole state apart from the decisions' own: connections, servers, open requests, the
//! platform's event stream, and the limits of the settings.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use garnetdoor::host::{
    AttemptNo, AttemptOutcome, GatewayId, Micros, Refusal, RequestId, ServerId, VoteResult,
};
use garnetdoor::names::NameTable;

use super::connections::{ConnectionKind, ConnectionState};
use super::refusals::{Cause, Refusals, SUMMARY_INTERVAL};
use super::request::{Attempt, OpenRequest};
use super::servers::ListedServer;
use super::sessions::SessionTable;
use super::timers::{Timer, Timers};
use crate::config::Config;
use crate::event::{CloseReason, ConnectionId, Effect};
use crate::wire::client::Profiles;
use crate::wire::discovery::KnownNames;
use crate::wire::http::ChunkedStream;
use crate::wire::platform;

pub(super) const MS: Micros = 1_000;
pub(super) const SECOND: Micros = 1_000_000;

// These constants, and those of the other files of this module, are properties of the protocol and its
// connections; no decision depends on them.

/// How long before the client's deadline the final response is sent, so that it arrives in time.
const RESPONSE_LEAD_TIME: Micros = 20 * MS;
/// After this time without data the event stream has failed; the platform sends something every second.
const EVENT_STREAM_TIMEOUT: Micros = 3_500 * MS;
/// First wait before the event stream is asked for again; it doubles up to [`EVENT_STREAM_MAX_BACKOFF`].
const EVENT_STREAM_MIN_BACKOFF: Micros = 100 * MS;
const EVENT_STREAM_MAX_BACKOFF: Micros = SECOND;
/// How long a client may take to read a response.
const CLIENT_READ_TIMEOUT: Micros = 10 * SECOND;
/// How long a client may take for a whole message: the first one from when it connected, a further one from
/// its first byte.
pub(super) const CLIENT_MESSAGE_TIMEOUT: Micros = 2_500 * MS;
/// How long a client may be idle after a response. Some never send again and never close.
const CLIENT_IDLE_TIMEOUT: Micros = 2_200 * MS;
/// How long a client may take to notice a response that ends its connection.
const LINGER_TIMEOUT: Micros = SECOND;
/// Descriptors other than connections: standard streams, listener, peers' socket, signals, `may`.
const NON_CONNECTION_DESCRIPTORS: usize = 14;
/// The share of descriptors (1/32) left for abandoned dials, whose sockets are closed a little later.
const ABANDONED_DIALS_DIVISOR: usize = 32;
/// The share of connections (1/4) left for servers and services; clients may hold the others.
const NON_CLIENT_DIVISOR: usize = 4;
/// The share of descriptors (1/6) that idle clients may hold: half of the third that ordinary clients may
/// hold.
const IDLE_CLIENTS_DIVISOR: usize = 6;
const DEFAULT_DIAL_TIMEOUT: Micros = 250 * MS;
/// How long a server keeps an idle connection, by default.
const DEFAULT_SERVER_IDLE_CLOSE: Micros = 10 * SECOND;
const DEFAULT_VOTE_TIMEOUT: Micros = 2 * SECOND;

/// A report to the decisions that is not delivered yet.
pub enum Report {
    /// An attempt has ended; with the load that its server reported.
    Attempt(RequestId, AttemptNo, AttemptOutcome, Vec<Option<f64>>),
    /// A probe has ended after this time; with the load that its server reported.
    Probe(ServerId, AttemptOutcome, Micros, Vec<Option<f64>>),
    Vote(VoteResult),
    ListFailed,
}

/// The state that the reducer and the decisions' host share.
pub struct GatewayState {
    pub now: Micros,
    pub effects: Vec<Effect>,
    pub pending_reports: VecDeque<Report>,
    pub timers: Timers,
    pub connections: BTreeMap<ConnectionId, ConnectionState>,
    pub requests: BTreeMap<RequestId, OpenRequest>,
    pub servers: BTreeMap<ServerId, ListedServer>,
    pub profiles: Profiles,
    pub known_names: KnownNames,
    /// The fields of servers' load reports, in the order that the decisions take them in.
    pub load_fields: Vec<String>,
    /// `None` until the operator file allows sessions.
    pub session_table: Option<SessionTable>,
    pub stopping: bool,
    pub listening: bool,
    pub max_open_requests: usize,
    pub(super) server_names: NameTable,
    pub(super) refusals: Refusals,
    /// The version of the list that was applied last.
    pub(super) list_version: u64,
    /// Whether the decisions want the changes of the list.
    pub(super) follows_list: bool,
    /// The connection with the changes of the list.
    pub(super) watch: Option<ConnectionId>,
    /// The connection with the platform's events.
    pub(super) event_stream: Option<ConnectionId>,
    pub(super) event_stream_backoff: Micros,
    pub(super) next_connection: u64,
    pub(super) next_request: u64,
    pub(super) random: oorandom::Rand64,
    /// How many connections there may be, with those reserved for sessions.
    pub(super) max_connections_and_sessions: usize,
    /// How many connections there may be, without those reserved for sessions.
    pub(super) max_connections: usize,
    pub(super) max_clients: usize,
    pub(super) max_idle_clients: usize,
    /// How many attempts a request may have.
    pub(super) max_attempts: usize,
    pub(super) dial_timeout: Micros,
    /// How long a server's connection is kept idle.
    pub(super) idle_timeout: Micros,
    pub(super) vote_timeout: Micros,
    /// The list service's address.
    pub(super) discovery: SocketAddr,
    /// The platform's address.
    pub(super) platform: SocketAddr,
    /// The addresses of the other gateways, by `GatewayId`.
    pub(super) peers: Vec<SocketAddr>,
    /// The address that reaches all other gateways.
    pub(super) peer_broadcast: Option<SocketAddr>,
}

/// How many of the connections clients may hold.
fn max_clients(max_connections: usize) -> usize {
    max_connections - max_connections / NON_CLIENT_DIVISOR
}

impl GatewayState {
    pub fn new(now: Micros, config: &Config) -> Self {
        let settings = &config.settings;
        let duration = |name: &str, default| settings.micros(name).unwrap_or(default);
        let limit = |name: &str| settings.number(name).map_or(usize::MAX, |number| number as usize);
        let max_connections = config
            .max_descriptors
            .saturating_sub(NON_CONNECTION_DESCRIPTORS + config.max_descriptors / ABANDONED_DIALS_DIVISOR);
        GatewayState {
            now,
            effects: Vec::new(),
            pending_reports: VecDeque::new(),
            timers: Timers::default(),
            connections: BTreeMap::new(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            profiles: Profiles::new(settings),
            known_names: KnownNames::new(settings),
            load_fields: settings.items("report.fields").into_iter().map(str::to_owned).collect(),
            session_table: None,
            stopping: false,
            listening: true,
            max_open_requests: limit("policy_limits.max_open"),
            server_names: NameTable::default(),
            refusals: Refusals::default(),
            list_version: 0,
            follows_list: false,
            watch: None,
            event_stream: None,
            event_stream_backoff: EVENT_STREAM_MIN_BACKOFF,
            next_connection: 1,
            next_request: 0,
            random: oorandom::Rand64::new(u128::from(config.seed) << 1 | 1),
            max_connections_and_sessions: max_connections,
            max_connections,
            max_clients: max_clients(max_connections),
            max_idle_clients: config.max_descriptors / IDLE_CLIENTS_DIVISOR,
            max_attempts: limit("policy_limits.try_limit"),
            dial_timeout: duration("policy_limits.dial_timeout", DEFAULT_DIAL_TIMEOUT),
            // Half of the time after which the server closes it: an attempt that crosses that close may have
            // been executed.
            idle_timeout: duration("policy_limits.idle_close", DEFAULT_SERVER_IDLE_CLOSE) / 2,
            vote_timeout: duration("domain.vote_wait", DEFAULT_VOTE_TIMEOUT),
            discovery: config.discovery,
            platform: config.platform,
            peers: config.peers.clone(),
            peer_broadcast: config.peer_broadcast,
        }
    }

    /// Reserves descriptors for sessions; the others remain for ordinary connections.
    pub(super) fn reserve_descriptors(&mut self, reserved: usize) {
        self.max_connections = self.max_connections_and_sessions - reserved;
        self.max_clients = max_clients(self.max_connections);
    }

    /// Writes a log line.
    pub fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    /// Counts a request that the decisions refuse.
    pub(super) fn count_decided_refusal(&mut self, why: Refusal) {
        let server = match why {
            Refusal::TooLate { server, .. } => self.servers.get(&server).map(|listed| listed.process.address),
            _ => None,
        };
        self.count_refusal(Cause::Decided(why, server));
    }

    /// Counts a refused request, and logs the first one of its cause since the last summary.
    pub(super) fn count_refusal(&mut self, cause: Cause) {
        if self.refusals.is_empty() {
            self.timers.set(self.now + SUMMARY_INTERVAL, Timer::RefusalSummary);
        }
        if let Some(line) = self.refusals.add(&cause) {
            self.log(line);
        }
    }

    /// Logs how many more requests were refused since the last summary.
    pub(super) fn log_refusal_summary(&mut self) {
        self.refusals.take_summary().into_iter().for_each(|line| self.log(line));
    }

    // ---- clients and requests ----

    /// Adds a request under a new number.
    pub fn add_request(&mut self, request: OpenRequest) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(id, request);
        id
    }

    /// When a client with so much time left must be answered, so that the response arrives in time.
    pub fn response_deadline(&self, time_left: Micros) -> Micros {
        self.now + time_left - RESPONSE_LEAD_TIME
    }

    /// Whether the next response on a connection is its last. It is also the last if the client has sent more
    /// without waiting for the response; otherwise one connection could bring hundreds of requests at once,
    /// which would all be executed.
    pub fn is_last_response(&self, id: ConnectionId) -> bool {
        let is_last = |connection: &ConnectionState| {
            !connection.buffer.is_empty()
                || matches!(connection.kind, ConnectionKind::Client { last_message_read: true, .. })
        };
        self.stopping || self.connections.get(&id).is_some_and(is_last)
    }

    /// Whether a request with this id is open, or an attempt of it is still running.
    pub fn is_open(&self, id: &str) -> bool {
        self.requests.values().any(|request| request.request.id == id)
    }

    /// Writes a response to a client; `last` ends the connection after it.
    pub fn respond(&mut self, id: ConnectionId, bytes: Vec<u8>, last: bool) {
        self.write(id, bytes);
        self.set_deadline(id, Some(self.now + if last { LINGER_TIMEOUT } else { CLIENT_READ_TIMEOUT }));
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let ConnectionKind::Client { request, last_message_read, answered, message_started, .. } =
            &mut connection.kind
        {
            (*request, *last_message_read, *answered, *message_started) = (None, last, true, false);
        }
        if last {
            self.effects.push(Effect::ShutdownWrite(id));
        }
    }

    /// Limits how long a client's connection remains after its last message.
    pub(super) fn set_linger_deadline(&mut self, id: ConnectionId) {
        self.set_deadline(id, Some(self.now + LINGER_TIMEOUT));
    }

    /// Limits how long a client may take for its next whole message. Bytes that arrive do not extend this
    /// time, so that clients which send nothing, or a byte now and then, do not hold a connection. The
    /// drawback: a client whose request takes longer to arrive is cut off.
    pub fn await_client_message(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_empty = connection.buffer.is_empty();
        // The deadline of the first message runs from when the client connected, and was set then.
        let ConnectionKind::Client { answered: true, message_started, .. } = &mut connection.kind else {
            return;
        };
        let had_started = std::mem::replace(message_started, !is_empty);
        if is_empty {
            self.set_deadline(id, Some(self.now + CLIENT_IDLE_TIMEOUT));
        } else if !had_started {
            self.set_deadline(id, Some(self.now + CLIENT_MESSAGE_TIMEOUT));
        }
    }

    /// Gives a request its final response, unless it has one or its client has left. `response` gets whether
    /// it is the last one on the connection.
    pub fn respond_to_request(&mut self, id: RequestId, response: impl FnOnce(bool) -> Vec<u8>) {
        let client = self.requests.get_mut(&id).and_then(|request| request.client.take());
        if let Some(client) = client {
            let last = self.is_last_response(client);
            self.respond(client, response(last), last);
        }
    }

    /// Removes a request if it is answered, none of its attempts is running, and the decisions have been told
    /// of all of them.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &OpenRequest| {
            request.client.is_none() && request.attempts.iter().all(|attempt| attempt.ended)
        };
        let is_unreported = self
            .pending_reports
            .iter()
            .any(|report| matches!(report, Report::Attempt(request, ..) if *request == id));
        if !is_unreported && self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
            self.session_request_finished(id);
        }
    }

    /// An attempt that has not ended yet.
    pub(super) fn running_attempt(&mut self, id: RequestId, attempt: AttemptNo) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id)?.attempts.get_mut(attempt.0 as usize)?;
        (!attempt.ended).then_some(attempt)
    }

    /// Ends a running attempt; the decisions will be told.
    pub fn end_attempt(
        &mut self, id: RequestId, attempt: AttemptNo, outcome: AttemptOutcome, load: Vec<Option<f64>>,
    ) {
        let Some(running) = self.running_attempt(id, attempt) else { return };
        running.ended = true;
        if let Some(timeout) = running.timeout.take() {
            self.timers.cancel(timeout);
        }
        self.pending_reports.push_back(Report::Attempt(id, attempt, outcome, load));
    }

    /// Abandons a running attempt: closes its connection and ends it.
    pub fn abandon_attempt(
        &mut self, id: RequestId, attempt: AttemptNo, outcome: AttemptOutcome, reason: CloseReason,
    ) {
        let Some(connection) = self.running_attempt(id, attempt).map(|attempt| attempt.connection) else {
            return;
        };
        if let Some(connection) = connection {
            self.close(connection, reason);
        }
        self.end_attempt(id, attempt, outcome, Vec::new());
    }

    // ---- the platform ----

    /// When the platform's event stream counts as failed if nothing more arrives.
    pub fn event_stream_deadline(&self) -> Micros {
        self.now + EVENT_STREAM_TIMEOUT
    }

    /// The event stream works: after its next failure it is asked for again soon.
    pub fn reset_event_stream_backoff(&mut self) {
        self.event_stream_backoff = EVENT_STREAM_MIN_BACKOFF;
    }

    /// Asks for the platform's event stream, unless there is one.
    pub fn open_event_stream(&mut self) {
        if self.event_stream.is_none() {
            let message = platform::event_stream_request(self.platform);
            let deadline = self.event_stream_deadline();
            let kind = ConnectionKind::EventStream(ChunkedStream::default());
            self.event_stream = self.dial(self.platform, kind, message, deadline);
            if self.event_stream.is_none() {
                self.retry_event_stream_later();
            }
        }
    }

    /// Asks for the event stream again after a wait with random jitter, so that not all gateways reconnect at
    /// once.
    pub fn retry_event_stream_later(&mut self) {
        let wait = self.event_stream_backoff as f64 * (0.5 + self.random.rand_float());
        self.event_stream_backoff = (2 * self.event_stream_backoff).min(EVENT_STREAM_MAX_BACKOFF);
        self.timers.set(self.now + wait as Micros, Timer::EventStream);
    }

    // ---- peers ----

    /// The gateway that sends from an address.
    pub fn peer_at(&self, address: SocketAddr) -> Option<GatewayId> {
        self.peers.iter().position(|peer| *peer == address).map(GatewayId)
    }
}
