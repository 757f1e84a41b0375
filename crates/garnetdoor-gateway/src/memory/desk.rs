//! All that a gateway keeps but the decisions' own memory, and the decisions' host: what they ask for is done
//! to this state at once, and what must happen outside becomes an effect.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use garnetdoor::host::{
    BuildNo, Condition, Ending, GatewayId, Host, Listing, Micros, ServerId, StageNo, Taken, TicketId, TripNo,
    Vote, Wake,
};
use garnetdoor::names::Names;

use super::event::{ConnId, Effect, Reason};
use super::ticket::{Place, Ticket, Trip};
use super::timers::{Timer, Timers};
use crate::config::Config;
use crate::wire::buffer::Buffer;
use crate::wire::client::{self, Profiles};
use crate::wire::discovery::{self, List, Words};
use crate::wire::http::Stream;
use crate::wire::{instance, platform};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// Properties of the protocol and its connections; no decision rests on them.
/// The final answer is under way so long before the client's time is up, to be there in time.
const AHEAD: Micros = 20 * MS;
/// The list service says something every 2 s, and what it has to tell counts as told after 6 s.
const LIST_SILENT: Micros = 4_500 * MS;
/// The platform's stream says something every second.
const NOTICES_SILENT: Micros = 3_500 * MS;
/// First wait before the stream is asked for again; doubles up to the second.
const NOTICES_AGAIN: (Micros, Micros) = (100 * MS, SECOND);
/// A client has so long for the rest of a ticket, or to take an answer.
const CLIENT_SLOW: Micros = 10 * SECOND;
/// A client that is one too many has less: it is to be turned back and gone.
const SURPLUS_SLOW: Micros = SECOND;
/// A client that has had nothing to do for so long has no ticket under way.
const CLIENT_RESTS: Micros = 500 * MS;
/// How long a client may take to see an answer that ends its connection.
const LINGER: Micros = SECOND;
/// Descriptors that are no connections: standard streams, listener, peers, signals, `may`.
const NO_CONNECTIONS: usize = 14;
/// One in so many stays for dials given up, which end a little later.
const DIALS_GIVEN_UP: usize = 32;
/// A client with a ticket of full size out takes up to a quarter of a megabyte, its server's side included.
const CLIENTS_PER_MB: usize = 4;
/// Calls to the platform at one time, of the 32 connections that it holds.
const CALLS_MOST: usize = 16;

/// What a connection to a server is busy with.
pub enum Work {
    Trip(TicketId, TripNo),
    Probe(Micros),
}

pub enum Kind {
    Client {
        ticket: Option<TicketId>,
        /// Nothing more is read from it.
        last: bool,
        /// It is one too many: its ticket is turned back unseen.
        surplus: bool,
    },
    Server {
        server: ServerId,
        address: SocketAddr,
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

pub struct Conn {
    pub kind: Kind,
    pub buffer: Buffer,
    /// What is written once it is up.
    pub pending: Option<Vec<u8>>,
    /// Something is not written yet.
    pub unwritten: bool,
    /// When the bytes read last had come.
    pub heard: Micros,
    /// Since when it has had nothing to do, if it has.
    pub since: Micros,
    /// It is a client's that is to end unless something has come just now.
    pub leaves: Option<Reason>,
    /// When it has stood as it does for too long, and the earliest timer that will look.
    pub due: Option<Micros>,
    looked: Option<Micros>,
}

impl Conn {
    pub fn is_idle_client(&self) -> bool {
        let waits = matches!(self.kind, Kind::Client { ticket: None, last: false, .. });
        waits && self.buffer.is_empty() && !self.unwritten && self.leaves.is_none()
    }
}

/// What the decisions must still hear.
pub enum Told {
    Trip(TicketId, TripNo, Ending, Vec<Option<f64>>),
    Probe(ServerId, Ending, Micros, Vec<Option<f64>>),
    Vote(Taken),
    ListFailed,
}

pub struct Desk {
    pub now: Micros,
    pub effects: Vec<Effect>,
    pub told: VecDeque<Told>,
    pub timers: Timers,
    pub conns: BTreeMap<ConnId, Conn>,
    pub tickets: BTreeMap<TicketId, Ticket>,
    pub servers: BTreeMap<ServerId, Place>,
    pub profiles: Profiles,
    pub words: Words,
    pub load_fields: Vec<String>,
    pub stopping: bool,
    pub listening: bool,
    pub max_open: usize,
    names: Names,
    version: u64,
    watch: Option<ConnId>,
    notices_again: Micros,
    next_conn: u64,
    next_ticket: u64,
    chance: oorandom::Rand64,
    most: usize,
    clients_most: usize,
    tries: usize,
    dial_within: Micros,
    idle_for: Micros,
    vote_wait: Micros,
    discovery: SocketAddr,
    platform: SocketAddr,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
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
            stopping: false,
            listening: true,
            max_open: count("policy_limits.max_open"),
            names: Names::default(),
            version: 0,
            watch: None,
            notices_again: NOTICES_AGAIN.0,
            next_conn: 1,
            next_ticket: 0,
            chance: oorandom::Rand64::new(u128::from(config.seed) << 1 | 1),
            most,
            // A quarter of the descriptors stays for servers and services.
            clients_most: (most - most / 4).min(config.memory_mb * CLIENTS_PER_MB),
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

    pub fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    // ---- connections ----

    pub fn add(&mut self, id: ConnId, kind: Kind) -> &mut Conn {
        let (buffer, heard, since) = (Buffer::default(), self.now, self.now);
        let conn = Conn {
            kind,
            buffer,
            pending: None,
            unwritten: false,
            heard,
            since,
            leaves: None,
            due: None,
            looked: None,
        };
        self.conns.entry(id).insert_entry(conn).into_mut()
    }

    /// Makes room for one more connection, if some can be given up: idle clients first, then idle servers. A
    /// client that came or was answered just now is likely to have a ticket under way, and sends what crosses
    /// the closing only once more. With no old ones left, new clients are turned back instead.
    fn room(&mut self, most: usize) -> bool {
        let leaving = self.conns.values().filter(|conn| conn.leaves.is_some()).count();
        if self.conns.len() - leaving < most {
            return true;
        }
        let idle = |conn: &Conn| match conn.kind {
            Kind::Server { work: None, .. } => Some(1),
            _ => (conn.is_idle_client() && self.now - conn.since >= CLIENT_RESTS).then_some(0),
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

    /// A client has connected.
    pub fn client_came(&mut self, id: ConnId) {
        let surplus = !self.room(self.clients_most);
        self.add(id, Kind::Client { ticket: None, last: false, surplus });
        if surplus {
            self.due_at(id, Some(self.now + SURPLUS_SLOW));
        }
        // Guards the last descriptors, which servers and votes need, against a flood. Harm: a client whose ticket
        // crosses two such closings has lost it.
        if self.conns.len() > self.most - self.most / 8 {
            self.close_unused(id, Reason::Shed);
        }
    }

    fn dial(&mut self, to: SocketAddr, kind: Kind, message: Vec<u8>, due: Micros) -> Option<ConnId> {
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

    pub fn write(&mut self, id: ConnId, bytes: Vec<u8>) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.unwritten = true;
            self.effects.push(Effect::Write(id, bytes));
        }
    }

    pub fn consume(&mut self, id: ConnId, count: usize) {
        if let Some(conn) = self.conns.get_mut(&id).filter(|_| count > 0) {
            conn.buffer.consume(count);
            self.effects.push(Effect::Consumed(id, count));
        }
    }

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
        match &conn.kind {
            Kind::Server { server, work: None, .. } => {
                if let Some(place) = self.servers.get_mut(server) {
                    place.idle.retain(|idle| *idle != id);
                }
            }
            Kind::Watch(_) => self.watch = None,
            _ => {}
        }
        self.log(format!("end conn={id} kind={} code={}", conn.kind.name(), reason.code()));
        Some(conn)
    }

    // ---- clients and tickets ----

    pub fn new_ticket(&mut self, ticket: Ticket) -> TicketId {
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        self.tickets.insert(id, ticket);
        id
    }

    /// The client's time, less what the answer needs to get there.
    pub fn until(&self, left: Micros) -> Micros {
        self.now + left - AHEAD
    }

    /// Whether the next answer on a connection is its last.
    pub fn is_last(&self, id: ConnId) -> bool {
        let last = |conn: &Conn| matches!(conn.kind, Kind::Client { last: true, .. });
        self.stopping || self.conns.get(&id).is_some_and(last)
    }

    /// Writes an answer to a client.
    pub fn answer(&mut self, id: ConnId, bytes: Vec<u8>, ends: bool) {
        self.write(id, bytes);
        self.due_at(id, Some(self.now + if ends { LINGER } else { CLIENT_SLOW }));
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Kind::Client { ticket, last, .. } = &mut conn.kind {
            (*ticket, *last) = (None, ends);
        }
        if ends {
            self.effects.push(Effect::Finish(id));
        }
    }

    /// How long a client may keep its ticket or answer half done.
    pub fn client_waits(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get(&id) else { return };
        match conn.kind {
            // Its time runs from its coming.
            Kind::Client { surplus: true, .. } => {}
            _ if conn.buffer.is_empty() => self.due_at(id, None),
            _ => self.due_at(id, Some(self.now + CLIENT_SLOW)),
        }
    }

    /// Gives a ticket its final answer, if it has none and its client is there.
    pub fn finish(&mut self, id: TicketId, bytes: impl FnOnce(bool) -> Vec<u8>) {
        let client = self.tickets.get_mut(&id).and_then(|ticket| ticket.client.take());
        if let Some(client) = client {
            let last = self.is_last(client);
            self.answer(client, bytes(last), last);
        }
    }

    /// Forgets a ticket that is over, has no trip out and none that the decisions must still hear of.
    pub fn tidy(&mut self, id: TicketId) {
        let over = |ticket: &Ticket| ticket.client.is_none() && ticket.trips.iter().all(|t| t.ended);
        let untold = self.told.iter().any(|told| matches!(told, Told::Trip(ticket, ..) if *ticket == id));
        if !untold && self.tickets.get(&id).is_some_and(over) {
            self.tickets.remove(&id);
        }
    }

    fn out(&mut self, id: TicketId, trip: TripNo) -> Option<&mut Trip> {
        let trip = self.tickets.get_mut(&id)?.trips.get_mut(trip.0 as usize)?;
        (!trip.ended).then_some(trip)
    }

    /// Ends a trip that is out: the decisions hear of it, and its connection carries nothing else.
    pub fn trip_over(&mut self, id: TicketId, trip: TripNo, ending: Ending, load: Vec<Option<f64>>) {
        let Some(found) = self.out(id, trip) else { return };
        found.ended = true;
        self.told.push_back(Told::Trip(id, trip, ending, load));
    }

    /// Gives a trip up: its connection is closed.
    pub fn give_up(&mut self, id: TicketId, trip: TripNo, ending: Ending, reason: Reason) {
        let Some(on) = self.out(id, trip).map(|trip| trip.on) else { return };
        if let Some(on) = on {
            self.close(on, reason);
        }
        self.trip_over(id, trip, ending, Vec::new());
    }

    // ---- servers ----

    /// Sends a message to a server on its idle connection used last, or on a new one.
    fn ask(&mut self, server: ServerId, work: Work, message: Vec<u8>, due: Micros) -> Option<ConnId> {
        let place = self.servers.get_mut(&server)?;
        let address = place.address;
        let Some(id) = place.idle.pop() else {
            let due = due.min(self.now + self.dial_within);
            return self.dial(address, Kind::Server { server, address, work: Some(work) }, message, due);
        };
        if let Some(Kind::Server { work: idle, .. }) = self.conns.get_mut(&id).map(|conn| &mut conn.kind) {
            *idle = Some(work);
        }
        self.write(id, message);
        self.due_at(id, None);
        Some(id)
    }

    /// Keeps a connection to a server for the next trip there, or closes it.
    pub fn keep(&mut self, id: ConnId, keep: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let whole = keep && conn.buffer.is_empty() && !conn.unwritten;
        let Kind::Server { server, address, work } = &mut conn.kind else { return };
        *work = None;
        let place = self.servers.get_mut(server);
        let listed = |place: &&mut Place| place.condition == Condition::Healthy && place.address == *address;
        match place.filter(listed) {
            Some(place) if whole => {
                place.idle.push(id);
                conn.since = self.now;
                self.due_at(id, Some(self.now + self.idle_for));
            }
            Some(_) => drop(self.close(id, Reason::LastMessage)),
            None => drop(self.close(id, Reason::Unlisted)),
        }
    }

    fn close_all_idle(&mut self, server: ServerId, reason: Reason) {
        let idle = self.servers.get_mut(&server).map(|place| std::mem::take(&mut place.idle));
        for id in idle.unwrap_or_default() {
            self.close(id, reason);
        }
    }

    // ---- the list ----

    /// Takes a list in; `None` if it is older than what is known.
    pub fn take_list(&mut self, list: List, asked: bool) -> Option<Vec<Listing>> {
        for fault in &list.faults {
            self.log(format!("list entry left out: {fault}"));
        }
        if list.version < self.version || (list.version == self.version && !list.whole) {
            if asked {
                self.log(format!("old list ignored: {} after {}", list.version, self.version));
            }
            return None;
        }
        self.version = list.version;
        if list.whole {
            self.servers.values_mut().for_each(|place| place.condition = Condition::Gone);
        }
        let mut listings = Vec::new();
        for entry in list.entries {
            let server = ServerId(self.names.number(&entry.name) as u32);
            let (address, condition) = (entry.address, entry.listing.condition);
            if self.servers.get(&server).is_some_and(|place| place.address != address) {
                self.close_all_idle(server, Reason::Unlisted);
            }
            let place = self.servers.entry(server).or_insert(Place { address, condition, idle: Vec::new() });
            (place.address, place.condition) = (address, condition);
            listings.push(Listing { server, ..entry.listing });
        }
        let unlisted = self.servers.iter().filter(|(_, place)| place.condition != Condition::Healthy);
        for server in unlisted.map(|(server, _)| *server).collect::<Vec<_>>() {
            self.close_all_idle(server, Reason::Unlisted);
        }
        self.forget_gone();
        Some(listings)
    }

    /// Forgets servers that are gone and have no connection left, so that releases do not add up.
    fn forget_gone(&mut self) {
        let used: BTreeSet<ServerId> = self
            .conns
            .values()
            .filter_map(|conn| if let Kind::Server { server, .. } = conn.kind { Some(server) } else { None })
            .collect();
        let names = &mut self.names;
        self.servers.retain(|server, place| {
            let kept = place.condition != Condition::Gone || used.contains(server);
            if !kept {
                names.forget(server.0 as usize);
            }
            kept
        });
    }

    pub fn list_due(&self) -> Micros {
        self.now + LIST_SILENT
    }

    // ---- the platform ----

    pub fn notices_due(&self) -> Micros {
        self.now + NOTICES_SILENT
    }

    /// The stream works: the next break is answered soon.
    pub fn notices_work(&mut self) {
        self.notices_again = NOTICES_AGAIN.0;
    }

    pub fn ask_notices(&mut self) {
        let message = platform::notices(self.platform);
        if self.dial(self.platform, Kind::Notices(Stream::default()), message, self.notices_due()).is_none() {
            self.ask_notices_later();
        }
    }

    /// Asks again after a while that differs between gateways, so that they don't all come back at once.
    pub fn ask_notices_later(&mut self) {
        let wait = self.notices_again as f64 * (0.5 + self.chance.rand_float());
        self.notices_again = (2 * self.notices_again).min(NOTICES_AGAIN.1);
        self.timers.set(self.now + wait as Micros, Timer::Notices);
    }

    // ---- peers ----

    pub fn peer(&self, address: SocketAddr) -> Option<GatewayId> {
        self.peers.iter().position(|peer| *peer == address).map(GatewayId)
    }
}

/// The desk as the decisions hold it.
#[derive(Clone)]
pub struct Handle(pub Rc<RefCell<Desk>>);

impl Host for Handle {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn send_trip(&mut self, id: TicketId, server: ServerId, until: Option<Micros>) {
        let desk = &mut *self.0.borrow_mut();
        let now = desk.now;
        let Some(ticket) = desk.tickets.get_mut(&id) else { return };
        let trip = TripNo(ticket.trips.len() as u32);
        let until = until.unwrap_or(ticket.until).min(ticket.until);
        let allowed = ticket.client.is_some() && now < until && ticket.trips.len() < desk.tries;
        ticket.trips.push(Trip { server, sent: now, on: None, ended: false });
        let address = desk.servers.get(&server).map(|place| place.address).filter(|_| allowed);
        let message = address.map(|address| instance::trip(&ticket.request, address, until - now));
        let on = message.and_then(|message| desk.ask(server, Work::Trip(id, trip), message, until));
        if on.is_none() {
            return desk.trip_over(id, trip, Ending::NeverSent, Vec::new());
        }
        if let Some(trip) = desk.out(id, trip) {
            trip.on = on;
        }
        desk.timers.set(until, Timer::Trip(id, trip));
    }

    fn stop_trip(&mut self, id: TicketId, trip: TripNo) {
        self.0.borrow_mut().give_up(id, trip, Ending::Stopped, Reason::Stopped);
    }

    fn turn_back(&mut self, id: TicketId, come_back_in: Option<Micros>) {
        self.0.borrow_mut().finish(id, |last| client::turned_back(come_back_in, last));
    }

    fn forfeit(&mut self, id: TicketId) {
        self.0.borrow_mut().finish(id, client::forfeited);
    }

    fn vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote) {
        let desk = &mut *self.0.borrow_mut();
        let calls = desk.conns.values().filter(|conn| matches!(conn.kind, Kind::Vote)).count();
        let message = platform::vote(desk.platform, build, stage, vote);
        let due = desk.now + desk.vote_wait;
        desk.log(format!("vote build={} stage={} {vote:?}", build.0, stage.0));
        if calls >= CALLS_MOST || desk.dial(desk.platform, Kind::Vote, message, due).is_none() {
            desk.told.push_back(Told::Vote(Taken::Error));
        }
    }

    fn wake_at(&mut self, at: Micros, wake: Wake) {
        self.0.borrow_mut().timers.set(at, Timer::Wake(wake));
    }

    fn probe(&mut self, server: ServerId) {
        let desk = &mut *self.0.borrow_mut();
        let (now, address) = (desk.now, desk.servers.get(&server).map(|place| place.address));
        let due = now + desk.dial_within;
        let sent = address.and_then(|at| desk.ask(server, Work::Probe(now), instance::probe(at), due));
        match sent {
            Some(id) => desk.due_at(id, Some(due)),
            None => desk.told.push_back(Told::Probe(server, Ending::NeverSent, 0, Vec::new())),
        }
    }

    fn tell_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        let desk = &mut *self.0.borrow_mut();
        let address = match to {
            Some(peer) => desk.peers.get(peer.0).copied(),
            None => desk.peers_all,
        };
        if let Some(address) = address.filter(|_| bytes.len() <= 256) {
            desk.effects.push(Effect::Datagram(address, bytes.to_vec()));
        }
    }

    fn ask_list(&mut self) {
        let desk = &mut *self.0.borrow_mut();
        let due = desk.list_due();
        if desk.dial(desk.discovery, Kind::List, discovery::whole(desk.discovery), due).is_none() {
            desk.told.push_back(Told::ListFailed);
        }
    }

    fn follow_list(&mut self, on: bool) {
        let desk = &mut *self.0.borrow_mut();
        match (on, desk.watch) {
            (true, None) => {
                let message = discovery::watch(desk.discovery, desk.version);
                let due = desk.list_due();
                desk.watch = desk.dial(desk.discovery, Kind::Watch(Stream::default()), message, due);
                if desk.watch.is_none() {
                    desk.told.push_back(Told::ListFailed);
                }
            }
            (false, Some(watch)) => drop(desk.close(watch, Reason::Asked)),
            _ => {}
        }
    }

    fn close_idle(&mut self, server: ServerId) {
        self.0.borrow_mut().close_all_idle(server, Reason::Asked);
    }

    fn note(&mut self, text: &str) {
        self.0.borrow_mut().log(text.to_owned());
    }
}
