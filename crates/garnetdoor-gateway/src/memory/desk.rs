//! All that a gateway keeps but the decisions' own memory: plain state, its tickets, and its figures.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use garnetdoor::host::{
    AttemptNo, AttemptOutcome, GatewayId, Micros, Refusal, RequestId, ServerId, VoteResult,
};
use garnetdoor::names::NameTable;

use super::conns::{Conn, Kind};
use super::refusals::{Cause, Refusals, SUMMARY_AFTER};
use super::sessions::Room;
use super::ticket::{Place, Ticket, Trip};
use super::timers::{Timer, Timers};
use crate::config::Config;
use crate::event::{ConnId, Effect, Reason};
use crate::wire::client::Profiles;
use crate::wire::discovery::Words;
use crate::wire::http::Stream;
use crate::wire::platform;

pub(super) const MS: Micros = 1_000;
pub(super) const SECOND: Micros = 1_000_000;

// Here and beside it: properties of the protocol and its connections; no decision rests on them.
/// The final answer is under way so long before the client's time is up, to be there in time.
const AHEAD: Micros = 20 * MS;
/// The platform's stream says something every second.
const NOTICES_SILENT: Micros = 3_500 * MS;
/// First wait before the stream is asked for again; doubles up to the second.
const NOTICES_AGAIN: (Micros, Micros) = (100 * MS, SECOND);
/// A client has so long to take an answer.
const CLIENT_SLOW: Micros = 10 * SECOND;
/// And so long for a whole message: its first one from its coming, another one from its first byte.
pub(super) const CLIENT_ASKS: Micros = 2_500 * MS;
/// A client that has been answered may rest so long. Some never ask again and never go.
const CLIENT_STAYS: Micros = 2_200 * MS;
/// How long a client may take to see an answer that ends its connection.
const LINGER: Micros = SECOND;
/// Descriptors that are no connections: standard streams, listener, peers, signals, `may`.
const NO_CONNECTIONS: usize = 14;
/// One in so many stays for dials given up, which end a little later.
const DIALS_GIVEN_UP: usize = 32;

/// What the decisions must still hear.
pub enum Told {
    Trip(RequestId, AttemptNo, AttemptOutcome, Vec<Option<f64>>),
    Probe(ServerId, AttemptOutcome, Micros, Vec<Option<f64>>),
    Vote(VoteResult),
    ListFailed,
}

/// The state, as the reducer and the decisions' host share it.
pub struct Desk {
    pub now: Micros,
    pub effects: Vec<Effect>,
    pub told: VecDeque<Told>,
    pub timers: Timers,
    pub conns: BTreeMap<ConnId, Conn>,
    pub tickets: BTreeMap<RequestId, Ticket>,
    pub servers: BTreeMap<ServerId, Place>,
    pub profiles: Profiles,
    pub words: Words,
    pub load_fields: Vec<String>,
    /// Sessions, where the operator file allows any.
    pub room: Option<Room>,
    pub stopping: bool,
    pub listening: bool,
    pub max_open: usize,
    pub(super) names: NameTable,
    pub(super) refusals: Refusals,
    pub(super) version: u64,
    /// The decisions want the list followed.
    pub(super) follows: bool,
    pub(super) watch: Option<ConnId>,
    pub(super) notices: Option<ConnId>,
    pub(super) notices_again: Micros,
    pub(super) next_conn: u64,
    pub(super) next_ticket: u64,
    pub(super) chance: oorandom::Rand64,
    /// Descriptors for connections, those that are set aside for sessions included, and without them.
    pub(super) most_of_all: usize,
    pub(super) most: usize,
    pub(super) clients_most: usize,
    /// Half of the third that usual clients may hold.
    pub(super) resting_most: usize,
    pub(super) tries: usize,
    pub(super) dial_within: Micros,
    pub(super) idle_for: Micros,
    pub(super) vote_wait: Micros,
    pub(super) discovery: SocketAddr,
    pub(super) platform: SocketAddr,
    pub(super) peers: Vec<SocketAddr>,
    pub(super) peers_all: Option<SocketAddr>,
}

/// How many of the connections may be clients'. A quarter of the descriptors stays for servers and services.
fn clients_most(most: usize) -> usize {
    most - most / 4
}

impl Desk {
    pub fn new(now: Micros, config: &Config) -> Self {
        let settings = &config.settings;
        let span = |name: &str, otherwise| settings.micros(name).unwrap_or(otherwise);
        let count = |name: &str| settings.number(name).map_or(usize::MAX, |number| number as usize);
        let most = config.sockets.saturating_sub(NO_CONNECTIONS + config.sockets / DIALS_GIVEN_UP);
        Desk {
            now,
            effects: Vec::new(),
            told: VecDeque::new(),
            timers: Timers::default(),
            conns: BTreeMap::new(),
            tickets: BTreeMap::new(),
            servers: BTreeMap::new(),
            profiles: Profiles::new(settings),
            words: Words::new(settings),
            load_fields: settings.items("report.fields").into_iter().map(str::to_owned).collect(),
            room: None,
            stopping: false,
            listening: true,
            max_open: count("policy_limits.max_open"),
            names: NameTable::default(),
            refusals: Refusals::default(),
            version: 0,
            follows: false,
            watch: None,
            notices: None,
            notices_again: NOTICES_AGAIN.0,
            next_conn: 1,
            next_ticket: 0,
            chance: oorandom::Rand64::new(u128::from(config.seed) << 1 | 1),
            most_of_all: most,
            most,
            clients_most: clients_most(most),
            resting_most: config.sockets / 6,
            tries: count("policy_limits.try_limit"),
            dial_within: span("policy_limits.dial_timeout", 250 * MS),
            // Well before the server's machine closes it: a trip that crosses that closing may have run.
            idle_for: span("policy_limits.idle_close", 10 * SECOND) / 2,
            vote_wait: span("domain.vote_wait", 2 * SECOND),
            discovery: config.discovery,
            platform: config.platform,
            peers: config.peers.clone(),
            peers_all: config.peers_all,
        }
    }

    /// Sets descriptors aside for what is no plain connection.
    pub(super) fn share_out(&mut self, reserved: usize) {
        self.most = self.most_of_all - reserved;
        self.clients_most = clients_most(self.most);
    }

    /// Asks for a log line.
    pub fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    /// Tells in the log why the decisions refuse a request.
    pub(super) fn refused(&mut self, why: Refusal) {
        let server = match why {
            Refusal::TooLate { server, .. } => self.servers.get(&server).map(|place| place.process.address),
            _ => None,
        };
        self.refused_for(Cause::Decided(why, server));
    }

    /// Tells in the log why a request is refused.
    pub(super) fn refused_for(&mut self, cause: Cause) {
        if self.refusals.is_empty() {
            self.timers.set(self.now + SUMMARY_AFTER, Timer::Refusals);
        }
        if let Some(line) = self.refusals.add(&cause) {
            self.log(line);
        }
    }

    /// Tells in the log how many more requests were refused since the last summary.
    pub(super) fn tell_refusals(&mut self) {
        self.refusals.summary().into_iter().for_each(|line| self.log(line));
    }

    // ---- clients and tickets ----

    /// Takes in a ticket under a number of its own.
    pub fn new_ticket(&mut self, ticket: Ticket) -> RequestId {
        let id = RequestId(self.next_ticket);
        self.next_ticket += 1;
        self.tickets.insert(id, ticket);
        id
    }

    /// The client's time, less what the answer needs to get there.
    pub fn until(&self, left: Micros) -> Micros {
        self.now + left - AHEAD
    }

    /// Whether the next answer on a connection is its last; so it is for a client that has sent more without
    /// waiting for it. Guards against hundreds of tickets at once on one connection, which would all run.
    pub fn is_last(&self, id: ConnId) -> bool {
        let last =
            |conn: &Conn| !conn.buffer.is_empty() || matches!(conn.kind, Kind::Client { last: true, .. });
        self.stopping || self.conns.get(&id).is_some_and(last)
    }

    /// Whether a ticket of this id is still open here, or one of its trips out.
    pub fn is_open(&self, id: &str) -> bool {
        self.tickets.values().any(|ticket| ticket.request.id == id)
    }

    /// Writes an answer to a client.
    pub fn answer(&mut self, id: ConnId, bytes: Vec<u8>, ends: bool) {
        self.write(id, bytes);
        self.due_at(id, Some(self.now + if ends { LINGER } else { CLIENT_SLOW }));
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Kind::Client { ticket, last, answered, begun, .. } = &mut conn.kind {
            (*ticket, *last, *answered, *begun) = (None, ends, true, false);
        }
        if ends {
            self.effects.push(Effect::Finish(id));
        }
    }

    /// A client's connection that has had its last message stays for so long.
    pub(super) fn lingers(&mut self, id: ConnId) {
        self.due_at(id, Some(self.now + LINGER));
    }

    /// How long a client may go on with nothing whole to show. Guards against connections that say nothing,
    /// or a byte now and then: the time is not renewed by what comes. Harm: a client whose ticket takes
    /// longer to come is cut off.
    pub fn client_waits(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let empty = conn.buffer.is_empty();
        // The time of a first message runs from its client's coming, and is set then.
        let Kind::Client { answered: true, begun, .. } = &mut conn.kind else { return };
        let began = std::mem::replace(begun, !empty);
        if empty {
            self.due_at(id, Some(self.now + CLIENT_STAYS));
        } else if !began {
            self.due_at(id, Some(self.now + CLIENT_ASKS));
        }
    }

    /// Gives a ticket its final answer, if it has none and its client is there.
    pub fn finish(&mut self, id: RequestId, bytes: impl FnOnce(bool) -> Vec<u8>) {
        let client = self.tickets.get_mut(&id).and_then(|ticket| ticket.client.take());
        if let Some(client) = client {
            let last = self.is_last(client);
            self.answer(client, bytes(last), last);
        }
    }

    /// Forgets a ticket that is over, has no trip out and none that the decisions must still hear of.
    pub fn tidy(&mut self, id: RequestId) {
        let over = |ticket: &Ticket| ticket.client.is_none() && ticket.trips.iter().all(|t| t.ended);
        let untold = self.told.iter().any(|told| matches!(told, Told::Trip(ticket, ..) if *ticket == id));
        if !untold && self.tickets.get(&id).is_some_and(over) {
            self.tickets.remove(&id);
            self.session_ticket_over(id);
        }
    }

    /// A trip that is still out.
    pub(super) fn out(&mut self, id: RequestId, trip: AttemptNo) -> Option<&mut Trip> {
        let trip = self.tickets.get_mut(&id)?.trips.get_mut(trip.0 as usize)?;
        (!trip.ended).then_some(trip)
    }

    /// Ends a trip that is out: the decisions hear of it, and its connection carries nothing else.
    pub fn trip_over(
        &mut self, id: RequestId, trip: AttemptNo, ending: AttemptOutcome, load: Vec<Option<f64>>,
    ) {
        let Some(found) = self.out(id, trip) else { return };
        found.ended = true;
        if let Some(due) = found.due.take() {
            self.timers.unset(due);
        }
        self.told.push_back(Told::Trip(id, trip, ending, load));
    }

    /// Gives a trip up: its connection is closed.
    pub fn give_up(&mut self, id: RequestId, trip: AttemptNo, ending: AttemptOutcome, reason: Reason) {
        let Some(on) = self.out(id, trip).map(|trip| trip.on) else { return };
        if let Some(on) = on {
            self.close(on, reason);
        }
        self.trip_over(id, trip, ending, Vec::new());
    }

    // ---- the platform ----

    /// When the platform's stream counts as broken if nothing more comes.
    pub fn notices_due(&self) -> Micros {
        self.now + NOTICES_SILENT
    }

    /// The stream works: the next break is answered soon.
    pub fn notices_work(&mut self) {
        self.notices_again = NOTICES_AGAIN.0;
    }

    /// Asks for the platform's stream of events, unless there is one.
    pub fn ask_notices(&mut self) {
        if self.notices.is_none() {
            let message = platform::notices(self.platform);
            let due = self.notices_due();
            self.notices = self.dial(self.platform, Kind::Notices(Stream::default()), message, due);
            if self.notices.is_none() {
                self.ask_notices_later();
            }
        }
    }

    /// Asks again after a while that differs between gateways, so that they don't all come back at once.
    pub fn ask_notices_later(&mut self) {
        let wait = self.notices_again as f64 * (0.5 + self.chance.rand_float());
        self.notices_again = (2 * self.notices_again).min(NOTICES_AGAIN.1);
        self.timers.set(self.now + wait as Micros, Timer::Notices);
    }

    // ---- peers ----

    /// The gateway that sends from an address.
    pub fn peer(&self, address: SocketAddr) -> Option<GatewayId> {
        self.peers.iter().position(|peer| *peer == address).map(GatewayId)
    }
}
