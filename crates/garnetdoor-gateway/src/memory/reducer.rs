//! The one place where anything changes: [`Reducer::reduce`] takes what has happened, lets the decisions act,
//! and returns what is to be done outside. It reads no clock and touches no socket.

use std::cell::{RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;

use garnetdoor::balance::Balancer;
use garnetdoor::host::{AttemptOutcome, Condition, Host, Micros, RolloutStatus, VoteResult};
use garnetdoor_operator::OperatorConfig;

use super::conns::{Conn, Kind, Work};
use super::desk::{Desk, Told};
use super::host::Handle;
use super::refusals::Cause;
use super::sessions::TurnedBack;
use super::ticket::{Place, Ticket};
use super::timers::Timer;
use crate::config::Config;
use crate::event::{ConnId, Effect, Event, Reason};
use crate::wire::client::{self, Asked};
use crate::wire::discovery::{self, List};
use crate::wire::http::{self, Fault, HELD_MOST, Message, StreamEnd};
use crate::wire::instance;
use crate::wire::platform::{self, Notice};

/// How long new connections are taken after the word to stop: a front may still deal some out.
const STILL_LISTENS: Micros = 500_000;
/// The rest of an answer of which a part has come: servers write it at once.
const ANSWER_SLOW: Micros = 250_000;
/// Held tickets are answered by then at the latest, since SIGKILL follows 3.7 s after the word to stop at the
/// soonest, however long clients wait; and what is left to do then may take so long.
const ANSWERS_WITHIN: Micros = 3_500_000;
const STOPS_WITHIN: Micros = 3_600_000;

impl From<Fault> for Reason {
    fn from(fault: Fault) -> Reason {
        if fault == Fault::Malformed { Reason::Malformed } else { Reason::TooLarge }
    }
}

/// The decisions and the state, changed by events alone.
pub struct Reducer {
    pub(super) gate: Balancer<Handle>,
    pub(super) desk: Rc<RefCell<Desk>>,
    seed: u64,
}

impl Reducer {
    /// Starts the decisions with what the configuration and the operator file hold; the configuration's list
    /// comes first, then its news.
    pub fn start(now: Micros, config: &Config, operator: &OperatorConfig) -> (Self, Vec<Effect>) {
        let mut desk = Desk::new(now, config);
        desk.operate(operator.clone(), config.seed);
        let desk = Rc::new(RefCell::new(desk));
        let gate = Balancer::start(Handle(desk.clone()), config.seed, config.settings.clone());
        let mut reducer = Reducer { gate, desk, seed: config.seed };
        let known = config.known.as_ref().map(|known| discovery::list_of(known, &reducer.desk().words));
        match known {
            Some(Ok(list)) => reducer.list_came(list),
            Some(Err(fault)) => reducer.desk().log(format!("known list left out: {fault}")),
            None => {}
        }
        if let Some(news) = config.news {
            reducer.gate.rollout_updated(news);
        }
        reducer.desk().ask_notices();
        reducer.settle();
        let effects = std::mem::take(&mut reducer.desk().effects);
        (reducer, effects)
    }

    pub(super) fn desk(&self) -> RefMut<'_, Desk> {
        self.desk.borrow_mut()
    }

    /// Whether it wants to know where clients connect from.
    pub fn asks_origins(&self) -> bool {
        self.desk().room.is_some()
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        self.desk().timers.next()
    }

    /// Takes what has happened at `now` and returns what is to be done, in order.
    pub fn reduce(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.desk().now = now;
        match event {
            Event::Up(id) => self.up(id),
            Event::Bytes(id, read, bytes) => self.bytes(id, read, &bytes),
            Event::Written(id) => self.written(id),
            Event::Stale(id, message) => self.desk().stale(id, message),
            Event::Ended(id) => self.ended(id),
            Event::Datagram(from, bytes) => {
                // Gateways are known by their addresses; whoever else sends is no peer.
                let peer = self.desk().peer(from);
                match peer {
                    Some(peer) => self.gate.peer_message_received(peer, &bytes),
                    None => self.desk().log(format!("datagram from {from} left out")),
                }
            }
            Event::From(id, from) => self.desk().comes_from(id, from),
            Event::Joined(session, joined) => self.session_joined(session, joined),
            Event::Session(session, end) => self.session_ends(session, end),
            Event::Glanced(seen) => self.glanced(seen),
            Event::Time => {}
            Event::Reload(discovery, platform) => self.reload(discovery, platform),
            Event::Operate(operator) => {
                let seed = self.seed;
                self.desk().operate(*operator, seed);
            }
            Event::Stop => self.stop(),
        }
        self.settle();
        loop {
            let due = self.desk().timers.take_due(now);
            let Some(timer) = due else { break };
            self.timer(timer);
            self.settle();
        }
        let stopped = |desk: &Desk| {
            let answered = || desk.tickets.values().all(|ticket| ticket.client.is_none());
            desk.stopping && !desk.listening && answered() && !desk.sessions_stand()
        };
        let mut desk = self.desk();
        if stopped(&desk) && !desk.conns.iter().any(|(id, conn)| id.is_client() && conn.unwritten) {
            desk.effects.push(Effect::Exit);
        }
        std::mem::take(&mut desk.effects)
    }

    /// Lets what has happened take its course, at the decisions and at the sessions.
    fn settle(&mut self) {
        self.tell();
        self.sessions();
    }

    /// Tells the decisions what they have not heard yet, in order. What they do may add to it.
    pub(super) fn tell(&mut self) {
        loop {
            let told = self.desk().told.pop_front();
            match told {
                None => return,
                Some(Told::Trip(id, trip, ending, load)) => {
                    let desk = self.desk();
                    let ticket = &desk.tickets[&id];
                    let took = desk.now - ticket.trips[trip.0 as usize].sent;
                    let over = ticket.client.is_none();
                    drop(desk);
                    self.gate.attempt_ended(id, trip, took, ending, over, &load);
                    self.desk().tidy(id);
                }
                Some(Told::Probe(server, ending, took, load)) => {
                    self.gate.probe_ended(server, ending, took, &load);
                }
                Some(Told::Vote(taken)) => self.gate.vote_answered(taken),
                Some(Told::ListFailed) => self.gate.server_list_failed(),
            }
        }
    }

    fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::Wake(wake) => self.gate.timer_fired(wake),
            Timer::Trip(id, trip) => {
                self.desk().give_up(id, trip, AttemptOutcome::TimedOut, Reason::TimedOut)
            }
            Timer::Conn(id) => {
                let due = self.desk().is_due(id);
                if due {
                    self.stood_too_long(id);
                }
            }
            Timer::Notices => self.desk().ask_notices(),
            Timer::Refusals => self.desk().tell_refusals(),
            Timer::Sessions => self.session_timer(),
            Timer::Glance => self.glance_timer(),
            Timer::StopListening => {
                let mut desk = self.desk();
                desk.listening = false;
                desk.effects.push(Effect::StopListening);
                close_idle_clients(&mut desk);
            }
            // Guards against tickets whose clients wait longer than there is time to stop: an end without their
            // answers loses them all. Harm: those that would have been finished in the last 0.1 s are not.
            Timer::AnswerAll => self.gate.stop(),
            Timer::Exit => self.desk().effects.push(Effect::Exit),
        }
    }

    fn stop(&mut self) {
        let mut desk = self.desk();
        if !std::mem::replace(&mut desk.stopping, true) {
            let now = desk.now;
            desk.log("stopping".to_owned());
            desk.timers.set(now + STILL_LISTENS, Timer::StopListening);
            desk.timers.set(now + ANSWERS_WITHIN, Timer::AnswerAll);
            desk.timers.set(now + STOPS_WITHIN, Timer::Exit);
            close_idle_clients(&mut desk);
            if let Some(room) = &mut desk.room {
                room.sessions.stop(now);
            }
        }
    }

    /// The platform told its state.
    fn news_came(&mut self, news: RolloutStatus) {
        if let Some(room) = &mut self.desk().room {
            room.stale = true;
        }
        self.gate.rollout_updated(news);
    }

    /// The services have these addresses from now on. What was known stays until told otherwise. The old
    /// addresses fall silent soon, so that what is asked there is asked at the new ones at once; a vote whose
    /// answer is cut off may or may not count and is cast again.
    fn reload(&mut self, discovery: SocketAddr, platform: SocketAddr) {
        let mut desk = self.desk();
        desk.log(format!("reload: discovery={discovery} rollouts.address={platform}"));
        let list = std::mem::replace(&mut desk.discovery, discovery) != discovery;
        let votes = std::mem::replace(&mut desk.platform, platform) != platform;
        let moved = |kind: &Kind| match kind {
            Kind::List | Kind::Watch(_) => list,
            Kind::Vote | Kind::Notices(_) => votes,
            Kind::Client { .. } | Kind::Server { .. } => false,
        };
        let stream = |kind: &Kind| matches!(kind, Kind::Watch(_) | Kind::Notices(_));
        let old = desk.conns.iter().filter(|(_, conn)| moved(&conn.kind));
        let old: Vec<_> = old.map(|(id, conn)| (*id, stream(&conn.kind))).collect();
        let follows = desk.follows && list;
        drop(desk);
        for (id, stream) in old {
            if stream {
                // Asked for again below, and not after a while, as one that failed is.
                self.desk().close(id, Reason::Moved);
            } else {
                self.failed(id, Reason::Moved, false);
            }
        }
        if votes {
            self.desk().ask_notices();
        }
        if follows {
            Handle(self.desk.clone()).watch_server_list(true);
        }
    }

    // ---- connections ----

    fn up(&mut self, id: ConnId) {
        let mut desk = self.desk();
        if id.is_client() {
            return desk.client_came(id);
        }
        let Some(conn) = desk.conns.get_mut(&id) else { return };
        let message = conn.pending.take();
        if let Kind::Server { server, process, work: Some(work) } = conn.kind {
            // Guards against a first byte after a drain's grace, for a dial that took long, and against one
            // to another build than was meant, past the cap of its exposure.
            let meant = |place: &Place| place.condition == Condition::Healthy && place.process == process;
            if !desk.servers.get(&server).is_some_and(meant) {
                if let Work::Trip(ticket, trip) = work {
                    desk.give_up(ticket, trip, AttemptOutcome::ConnectFailed, Reason::Unlisted);
                }
                return;
            }
            if let Work::Trip(..) = work {
                desk.due_at(id, None);
            }
        }
        if let Some(message) = message {
            desk.write(id, message);
        }
    }

    fn written(&mut self, id: ConnId) {
        let mut desk = self.desk();
        let now = desk.now;
        let Some(conn) = desk.conns.get_mut(&id) else { return };
        (conn.unwritten, conn.since) = (false, now);
        if let Kind::Client { ticket: None, last: false, .. } = conn.kind {
            drop(desk);
            self.client(id);
            self.desk().rested();
        }
    }

    fn bytes(&mut self, id: ConnId, read: Micros, bytes: &[u8]) {
        let mut desk = self.desk();
        let Some(conn) = desk.conns.get_mut(&id) else {
            drop(desk);
            return self.session_bytes(id, bytes);
        };
        conn.buffer.push(bytes);
        (conn.heard, conn.leaves) = (read, None);
        match conn.kind {
            Kind::Client { last: true, .. } => desk.consume(id, bytes.len()),
            Kind::Client { .. } => {
                drop(desk);
                self.client(id);
            }
            Kind::Server { .. } | Kind::List | Kind::Vote => {
                drop(desk);
                self.answered(id, false);
            }
            Kind::Watch(_) | Kind::Notices(_) => {
                drop(desk);
                self.streamed(id);
            }
        }
    }

    /// The other side has ended a connection.
    fn ended(&mut self, id: ConnId) {
        let calls = |kind: &Kind| matches!(kind, Kind::Server { .. } | Kind::List | Kind::Vote);
        let begun = |conn: &Conn| calls(&conn.kind) && !conn.buffer.is_empty() && !conn.unwritten;
        let begun = self.desk().conns.get(&id).map(begun);
        let Some(begun) = begun else { return self.session_conn_ended(id) };
        // An answer without a length ends with its connection.
        if begun && self.answered(id, true) {
            return;
        }
        let unwritten = self.desk().conns.get(&id).is_some_and(|conn| conn.unwritten);
        self.failed(id, if unwritten && !id.is_client() { Reason::NoConnect } else { Reason::Broke }, true);
    }

    fn stood_too_long(&mut self, id: ConnId) {
        let mut desk = self.desk();
        let Some(conn) = desk.conns.get(&id) else { return };
        let reason = match conn.kind {
            Kind::Client { last: true, .. } => Reason::LastMessage,
            Kind::Client { .. } if conn.unwritten => Reason::Slow,
            Kind::Client { .. } if !conn.buffer.is_empty() => {
                desk.log(format!("client conn={id} answered 408"));
                return desk.answer(id, client::plain(408, true), true);
            }
            Kind::Client { answered: true, .. } => return desk.close_unused(id, Reason::Idle),
            Kind::Client { .. } => return desk.close_unused(id, Reason::Mute),
            Kind::Server { work: None, .. } => Reason::Idle,
            Kind::Server { .. } if conn.unwritten => Reason::NoConnect,
            Kind::Server { .. } if !conn.buffer.is_empty() => Reason::Slow,
            _ => Reason::Silent,
        };
        drop(desk);
        self.failed(id, reason, false);
    }

    /// A connection has ended otherwise than by a whole answer, from the other side or for a reason of ours.
    pub(super) fn failed(&mut self, id: ConnId, reason: Reason, gone: bool) {
        let mut desk = self.desk();
        let Some(conn) = desk.conns.get(&id) else { return };
        let unwritten = conn.unwritten;
        let reason = match conn.kind {
            _ if gone && conn.leaves.is_some() => conn.leaves.unwrap_or(reason),
            Kind::Client { ticket: Some(_), .. } if gone => Reason::ClientLeft,
            Kind::Client { .. } | Kind::Server { work: None, .. } if gone => Reason::PeerClosed,
            _ => reason,
        };
        let ended = if gone { desk.forget(id, reason) } else { desk.close(id, reason) };
        let Some(conn) = ended else { return };
        let now = desk.now;
        match conn.kind {
            Kind::Client { ticket: Some(ticket), .. } => {
                if let Some(ticket) = desk.tickets.get_mut(&ticket) {
                    ticket.client = None;
                }
                drop(desk);
                self.gate.client_disconnected(ticket);
                self.desk().tidy(ticket);
            }
            Kind::Server { server, work: Some(work), .. } => {
                // Before the last byte is written it has not run; after that it may have.
                let ending = if unwritten { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Reset };
                match work {
                    Work::Trip(ticket, trip) => desk.trip_over(ticket, trip, ending, Vec::new()),
                    Work::Probe(sent) => desk.told.push_back(Told::Probe(server, ending, now - sent, vec![])),
                }
            }
            Kind::List | Kind::Watch(_) => desk.told.push_back(Told::ListFailed),
            Kind::Vote => {
                let taken = if unwritten { VoteResult::Error } else { VoteResult::Unknown };
                desk.told.push_back(Told::Vote(taken));
            }
            Kind::Notices(_) => desk.ask_notices_later(),
            Kind::Client { ticket: None, .. } | Kind::Server { work: None, .. } => {}
        }
    }

    // ---- clients ----

    /// Takes the next message of a client that has no ticket open and has taken its last answer.
    fn client(&mut self, id: ConnId) {
        loop {
            let mut desk = self.desk();
            let now = desk.now;
            let Some(conn) = desk.conns.get(&id) else { return };
            let Kind::Client { ticket: None, last: false, surplus, .. } = conn.kind else { return };
            if conn.unwritten {
                return;
            }
            let waited = now - conn.heard;
            let message = match http::request(conn.buffer.data()) {
                Ok(Some((message, used))) => {
                    desk.consume(id, used);
                    message
                }
                Ok(None) if conn.buffer.data().len() < HELD_MOST => return desk.client_waits(id),
                Ok(None) => return desk.answer(id, client::plain(413, true), true),
                Err(fault) => {
                    // Where the next message begins is not known any more.
                    desk.log(format!("client conn={id} unreadable: {fault:?}"));
                    return desk.answer(id, client::plain(client::status(fault), true), true);
                }
            };
            let last = !message.keep || desk.stopping || surplus;
            let upgrades = desk.room.as_ref().and_then(|room| room.settings.as_ref());
            match client::asked(message, &desk.profiles, waited, upgrades) {
                Asked::Health => {
                    let status = if desk.stopping || desk.servers.is_empty() { 503 } else { 200 };
                    desk.answer(id, client::plain(status, last), last);
                }
                Asked::Wrong(status) => {
                    desk.log(format!("client conn={id} answered {status}"));
                    desk.answer(id, client::plain(status, last), last);
                }
                Asked::Refused(refusal) => {
                    desk.log(format!("client conn={id} upgrade refused: {refusal:?}"));
                    desk.answer(id, client::refused(refusal, last), last);
                }
                Asked::Ticket { request, .. } if desk.is_open(&request.id) => {
                    // Guards against an answer or a trip taken for another ticket's.
                    desk.log(format!("client conn={id} answered 400: its id is open already"));
                    desk.answer(id, client::plain(400, true), true);
                }
                Asked::Ticket { .. } if surplus || desk.tickets.len() >= desk.max_open => {
                    desk.refused_for(if surplus { Cause::Descriptors } else { Cause::MostOpen });
                    desk.answer(id, client::turned_back(None, last), last);
                }
                Asked::Ticket { arrival, mut request } => {
                    let session = match desk.admit(id, &arrival, &mut request) {
                        Ok(session) => session,
                        Err(TurnedBack(wait)) => {
                            desk.refused_for(Cause::Session);
                            desk.answer(id, client::turned_back(Some(wait), last), last);
                            continue;
                        }
                    };
                    if session.is_some() {
                        // What gives way to it does so before its first trip goes out.
                        drop(desk);
                        self.sessions();
                        desk = self.desk();
                    }
                    let until = desk.until(arrival.time_left);
                    let ticket = Ticket { client: Some(id), request, until, trips: Vec::new() };
                    let number = desk.new_ticket(ticket);
                    session.into_iter().for_each(|session| desk.opens(session, number));
                    if let Some(Conn { kind: Kind::Client { ticket, last: is_last, .. }, .. }) =
                        desk.conns.get_mut(&id)
                    {
                        (*ticket, *is_last) = (Some(number), last);
                    }
                    desk.due_at(id, None);
                    drop(desk);
                    self.gate.request_arrived(number, arrival);
                    self.desk().tidy(number);
                }
            }
        }
    }

    // ---- answers to calls of ours ----

    /// Reads an answer, if it is whole. True if it was, or can't be read.
    fn answered(&mut self, id: ConnId, ended: bool) -> bool {
        let mut desk = self.desk();
        let Some(conn) = desk.conns.get(&id) else { return true };
        let server = matches!(conn.kind, Kind::Server { .. });
        let idle = matches!(conn.kind, Kind::Server { work: None, .. });
        // Nor is it an answer to this trip that came before the trip was written, or all of it. Guards
        // against a surplus behind the last answer that arrives late. Harm: a clock set forward fails the
        // trips that are out.
        if server && (idle || conn.unwritten || conn.heard < conn.asked) {
            if let Some(conn) = desk.conns.get_mut(&id) {
                conn.unwritten = false;
            }
            drop(desk);
            self.failed(id, Reason::Unasked, ended);
            return true;
        }
        if let Kind::Server { work: Some(Work::Trip(ticket, _)), .. } = conn.kind
            && desk.is_upgrade(ticket)
            && let Ok(Some((answer, used))) = http::switched(conn.buffer.data())
        {
            drop(desk);
            self.switched(id, &answer, used, ended);
            return true;
        }
        match http::answer(conn.buffer.data(), ended) {
            Ok(None) if conn.buffer.data().len() < HELD_MOST => {
                if server {
                    // Guards against an answer that never gets whole: it is known to be spoilt while its
                    // ticket may still go elsewhere. Harm: one that is written this slowly is lost.
                    let due = desk.now + ANSWER_SLOW;
                    let due = conn.due.map_or(due, |before| before.min(due));
                    desk.due_at(id, Some(due));
                }
                false
            }
            Ok(Some((message, used))) => {
                desk.consume(id, used);
                drop(desk);
                self.take_answer(id, message, ended);
                true
            }
            fault => {
                drop(desk);
                self.failed(id, fault.err().map_or(Reason::TooLarge, Reason::from), ended);
                true
            }
        }
    }

    fn take_answer(&mut self, id: ConnId, answer: Message, ended: bool) {
        let mut desk = self.desk();
        let now = desk.now;
        let Some(conn) = desk.conns.get(&id) else { return };
        match conn.kind {
            Kind::Server { server, work: Some(work), .. } => {
                let (mut ending, load) =
                    (instance::ending(&answer), instance::load(&answer, &desk.load_fields));
                match work {
                    Work::Probe(sent) => {
                        desk.told.push_back(Told::Probe(server, ending, now - sent, load));
                    }
                    Work::Trip(ticket, trip) => {
                        if ending == AttemptOutcome::Succeeded && desk.is_upgrade(ticket) {
                            // It has run, and there is no session.
                            ending = AttemptOutcome::Error;
                        }
                        if ending == AttemptOutcome::Succeeded {
                            desk.finish(ticket, |last| client::finished(&answer.body, last));
                        }
                        desk.trip_over(ticket, trip, ending, load);
                    }
                }
                desk.keep(id, answer.keep && !ended);
            }
            Kind::Vote => {
                let (taken, news) = platform::taken(&answer);
                desk.log(format!("vote taken: {taken:?}"));
                desk.close(id, Reason::LastMessage);
                drop(desk);
                if let Some(news) = news {
                    self.news_came(news);
                }
                self.gate.vote_answered(taken);
            }
            Kind::List if answer.status == 200 => {
                let list = discovery::list(&answer.body, &desk.words);
                drop(desk);
                match list {
                    Ok(list) => {
                        self.desk().close(id, Reason::LastMessage);
                        self.list_came(list);
                    }
                    Err(fault) => {
                        self.desk().log(format!("list unreadable: {fault}"));
                        self.failed(id, Reason::Malformed, false);
                    }
                }
            }
            Kind::List => {
                drop(desk);
                self.failed(id, Reason::Refused, false);
            }
            _ => {}
        }
    }

    fn list_came(&mut self, list: List) {
        let whole = list.whole;
        let listings = self.desk().take_list(list);
        match listings {
            Some(listings) if whole => self.gate.server_list_replaced(listings),
            Some(listings) => self.gate.server_list_updated(listings),
            None => {}
        }
    }

    // ---- streams ----

    fn streamed(&mut self, id: ConnId) {
        let mut desk = self.desk();
        let Some(conn) = desk.conns.get_mut(&id) else { return };
        let (Kind::Watch(stream) | Kind::Notices(stream)) = &mut conn.kind else { return };
        let fed = stream.feed(conn.buffer.data());
        let text = std::mem::take(&mut stream.text);
        let watch = matches!(conn.kind, Kind::Watch(_));
        match fed {
            Ok(used) => desk.consume(id, used),
            Err(end) => {
                drop(desk);
                let reason = match end {
                    StreamEnd::Refused => Reason::Refused,
                    StreamEnd::Last => Reason::LastMessage,
                    StreamEnd::Fault(fault) => fault.into(),
                };
                return self.failed(id, reason, false);
            }
        }
        let due = if watch { desk.list_due() } else { desk.notices_due() };
        desk.due_at(id, Some(due));
        drop(desk);
        let rest = if watch { self.watched(id, text) } else { self.noticed(id, text) };
        let mut desk = self.desk();
        if let Some(Kind::Watch(stream) | Kind::Notices(stream)) =
            desk.conns.get_mut(&id).map(|c| &mut c.kind)
        {
            stream.text = rest;
        }
    }

    /// Takes the whole lines of a watch; returns what is not whole yet.
    fn watched(&mut self, id: ConnId, mut text: Vec<u8>) -> Vec<u8> {
        while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            let list = discovery::list(&line, &self.desk().words);
            match list {
                Ok(list) => self.list_came(list),
                Err(fault) => {
                    self.desk().log(format!("list unreadable: {fault}"));
                    self.failed(id, Reason::Malformed, false);
                    return Vec::new();
                }
            }
        }
        text
    }

    /// Takes the whole events of the platform; returns what is not whole yet. A new stream begins with the
    /// state, so that one with noise in it is given up: what the noise stood for would not be told again.
    fn noticed(&mut self, id: ConnId, mut text: Vec<u8>) -> Vec<u8> {
        for notice in platform::told(&mut text) {
            match notice {
                Notice::News(news) => self.news_came(news),
                Notice::Life => {}
                Notice::Other(text) => self.desk().log(format!("notice left out: {text:?}")),
                Notice::Noise(text) => {
                    self.desk().log(format!("notice unreadable: {text:?}"));
                    self.failed(id, Reason::Malformed, false);
                    return Vec::new();
                }
            }
            self.desk().notices_work();
        }
        text
    }
}

/// Closes the clients' connections that carry nothing; a message that crosses this is sent once more.
fn close_idle_clients(desk: &mut Desk) {
    let idle = desk.conns.iter().filter(|(_, conn)| conn.is_idle_client()).map(|(id, _)| *id);
    for id in idle.collect::<Vec<_>>() {
        desk.close_unused(id, Reason::Stopping);
    }
}
