//! The daemon's room for sessions: what `garnetdoor-sessions` decides on meets connections and tickets here.
//! Plain tickets never come by; without the operator file's section there is no room at all.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use garnetdoor::host::{
    Arrival, AttemptNo, AttemptOutcome, BuildNo, Condition, Micros, ProfileId, RequestId, ServerId,
};
use garnetdoor_operator::{OperatorConfig, Websocket};
use garnetdoor_sessions::{
    Action, Admission, Party, Repeatability, SessionId, SessionKey, Sessions, Side, SideEvent, UpgradeRequest,
};

use super::conns::{Kind, Work};
use super::desk::{Desk, MS};
use super::reducer::Reducer;
use super::refusals::Cause;
use super::ticket::Process;
use super::timers::{Set, Timer};
use crate::event::{ConnId, Effect, Join, Parting, Reason};
use crate::wire::client::{self, Request};
use crate::wire::http::Message;

/// A session's ticket and connections.
struct Lines {
    ticket: RequestId,
    /// Once it is open: the client's and the server's.
    conns: Option<[ConnId; 2]>,
    gone: [bool; 2],
    /// Until its connections are joined.
    join: Option<Box<Join>>,
}

/// All that is kept of sessions beside their own package's state.
pub struct Room {
    pub sessions: Sessions,
    /// What the operator file says; `None` once a reload took the section out.
    pub settings: Option<Websocket>,
    by_ticket: BTreeMap<RequestId, SessionId>,
    by_conn: BTreeMap<ConnId, (SessionId, Side)>,
    lines: BTreeMap<SessionId, Lines>,
    /// Where clients connect from.
    origins: BTreeMap<ConnId, IpAddr>,
    /// The list or the news have changed since the shares were told.
    pub stale: bool,
    armed: Option<Set>,
    glances: bool,
}

/// An upgrade's ticket that is turned back, and for how long.
pub struct TurnedBack(pub Micros);

impl Desk {
    /// Sets up, changes or closes the room for sessions by the operator file, and sets descriptors aside.
    pub fn operate(&mut self, operator: OperatorConfig, seed: u64) {
        let settings = operator.websocket;
        let limits = settings
            .as_ref()
            .map(|settings| settings.session_limits().capped_by_descriptors(self.most_of_all));
        let reserved = limits.as_ref().map_or(0, |(_, reserved)| *reserved);
        self.share_out(reserved);
        let now = self.now;
        match (&mut self.room, limits) {
            (Some(room), limits) => {
                let limits = limits.map_or_else(|| room.sessions.limits().clone(), |(limits, _)| limits);
                let profiles = &self.profiles;
                let listed = |profile: ProfileId| {
                    let names = settings.iter().flat_map(|settings| &settings.profiles);
                    names.into_iter().any(|name| name == profiles.name(profile))
                };
                room.sessions.reload(now, limits, listed);
                room.settings = settings;
            }
            (None, Some((limits, _))) => {
                self.room = Some(Room {
                    sessions: Sessions::new(limits, seed),
                    settings,
                    by_ticket: BTreeMap::new(),
                    by_conn: BTreeMap::new(),
                    lines: BTreeMap::new(),
                    origins: BTreeMap::new(),
                    stale: true,
                    armed: None,
                    glances: false,
                });
            }
            (None, None) => {}
        }
    }

    /// A client connects from there.
    pub fn comes_from(&mut self, id: ConnId, from: IpAddr) {
        if let Some(room) = &mut self.room {
            room.origins.insert(id, from);
        }
    }

    /// A plain connection has ended or become a session's.
    pub(super) fn origin_over(&mut self, id: ConnId) {
        if let Some(room) = &mut self.room {
            room.origins.remove(&id);
        }
    }

    /// Whether an upgrade may become a session; `None` for an ordinary ticket.
    pub fn admit(
        &mut self, id: ConnId, arrival: &Arrival, request: &mut Request,
    ) -> Result<Option<SessionId>, TurnedBack> {
        let (Some(room), Some(upgrade)) = (&mut self.room, &request.upgrade) else { return Ok(None) };
        if request.id.is_empty() {
            request.id = format!("g{:016x}{:04x}", self.chance.rand_u64(), id.0 & 0xffff);
        }
        let from = || room.origins.get(&id).map_or_else(|| "?".to_owned(), ToString::to_string);
        let party = upgrade.party.clone().unwrap_or_else(from);
        let repeatability = if self.profiles.is_repeatable(arrival.profile) {
            Repeatability::Repeatable
        } else {
            Repeatability::NotRepeatable
        };
        let key = upgrade.key.as_deref().map(|key| SessionKey(key.into()));
        let opening =
            UpgradeRequest { profile: arrival.profile, repeatability, party: Party(party.into()), key };
        match room.sessions.request_upgrade(self.now, opening) {
            Admission::Accepted(session) => Ok(Some(session)),
            Admission::Rejected { reason, retry_after } => {
                self.log(format!("upgrade conn={id} turned back: {}", reason.code()));
                Err(TurnedBack(retry_after))
            }
        }
    }

    /// The ticket of an upgrade that was admitted.
    pub fn opens(&mut self, session: SessionId, ticket: RequestId) {
        if let Some(room) = &mut self.room {
            room.by_ticket.insert(ticket, session);
            room.lines.insert(session, Lines { ticket, conns: None, gone: [false; 2], join: None });
        }
    }

    /// Whether a ticket is an upgrade.
    pub fn is_upgrade(&self, ticket: RequestId) -> bool {
        self.tickets.get(&ticket).is_some_and(|ticket| ticket.request.upgrade.is_some())
    }

    /// Whether a ticket's session, if it leaves one, may stand there.
    pub(super) fn session_has_room(&self, ticket: RequestId, server: ServerId, build: BuildNo) -> bool {
        let opening = self.room.as_ref().filter(|room| room.by_ticket.contains_key(&ticket));
        opening.is_none_or(|room| room.sessions.has_room(server, build))
    }

    /// A trip of a ticket goes out.
    pub(super) fn session_sent(&mut self, ticket: RequestId, server: ServerId) {
        let Some(build) = self.servers.get(&server).map(|place| place.process.build) else { return };
        if let Some(room) = &mut self.room
            && let Some(session) = room.by_ticket.get(&ticket)
        {
            room.sessions.attempt_sent(*session, server, build);
        }
    }

    /// Nothing is left of a ticket.
    pub(super) fn session_ticket_over(&mut self, ticket: RequestId) {
        let now = self.now;
        if let Some(room) = &mut self.room
            && let Some(session) = room.by_ticket.remove(&ticket)
            && room.lines.get(&session).is_some_and(|lines| lines.conns.is_none())
        {
            room.lines.remove(&session);
            room.sessions.opening_failed(now, session);
        }
    }

    /// What servers there were before a list is taken, if anyone wants to know.
    pub(super) fn servers_before(&self) -> Option<BTreeMap<ServerId, (Process, Condition)>> {
        self.room.as_ref()?;
        Some(self.servers.iter().map(|(id, place)| (*id, (place.process, place.condition))).collect())
    }

    /// Tells the sessions what a list changed.
    pub(super) fn servers_listed(&mut self, before: BTreeMap<ServerId, (Process, Condition)>) {
        let now = self.now;
        let Some(room) = &mut self.room else { return };
        room.stale = true;
        for (server, (process, condition)) in before {
            let place = self.servers.get(&server);
            let after = place.map_or((process, Condition::Gone), |place| (place.process, place.condition));
            if after != (process, condition) {
                room.sessions.update_server(now, server, after.1, after.0 == process);
            }
        }
    }

    /// Sessions that must end before the gateway may.
    pub fn sessions_stand(&self) -> bool {
        self.room.as_ref().is_some_and(|room| room.sessions.count() > 0)
    }
}

impl Reducer {
    /// Does what the sessions ask for, and sees to it that they are woken when something is due.
    pub(super) fn sessions(&mut self) {
        if self.desk().room.is_none() {
            return;
        }
        self.tell_shares();
        loop {
            let acts = self.desk().room.as_mut().map(|room| room.sessions.take_actions()).unwrap_or_default();
            if acts.is_empty() {
                break;
            }
            acts.into_iter().for_each(|act| self.act(act));
        }
        let desk = &mut *self.desk();
        let Some(room) = &mut desk.room else { return };
        let due = room.sessions.next_due();
        if room.armed.map(|(at, _)| at) != due {
            if let Some(armed) = room.armed.take() {
                desk.timers.unset(armed);
            }
            room.armed = due.map(|at| desk.timers.set(at, Timer::Sessions));
        }
        if !room.glances && !room.by_conn.is_empty() {
            room.glances = true;
            desk.timers.set(desk.now + room.sessions.limits().activity_check_interval(), Timer::Glance);
        }
    }

    /// Tells the sessions which builds are on trial, and their shares, as the decisions see them.
    fn tell_shares(&mut self) {
        let desk = &mut *self.desk.borrow_mut();
        let Some(room) = desk.room.as_mut().filter(|room| room.stale) else { return };
        room.stale = false;
        let builds: BTreeSet<BuildNo> = desk.servers.values().map(|place| place.process.build).collect();
        let shares = builds.into_iter().filter_map(|build| Some((build, self.gate.exposure_cap(build)?)));
        room.sessions.set_shares(desk.now, shares.collect());
    }

    pub(super) fn session_timer(&mut self) {
        let mut desk = self.desk();
        let now = desk.now;
        if let Some(room) = &mut desk.room {
            room.armed = None;
            room.sessions.tick(now);
        }
    }

    pub(super) fn glance_timer(&mut self) {
        let mut desk = self.desk();
        if let Some(room) = &mut desk.room {
            room.glances = false;
            if !room.by_conn.is_empty() {
                desk.effects.push(Effect::Glance);
            }
        }
    }

    fn act(&mut self, act: Action) {
        let mut desk = self.desk();
        match act {
            Action::AbandonOpening { session, retry_after } => {
                let lines = desk.room.as_mut().and_then(|room| room.lines.remove(&session));
                drop(desk);
                if let Some(lines) = lines {
                    self.give_opening_up(lines.ticket, retry_after);
                }
            }
            Action::Close { session, client_code, server_code, reconnect_after, .. } => {
                let again = reconnect_after.map(|wait| format!("again-in-ms={}", wait / MS));
                let reasons = [again.unwrap_or_default(), String::new()];
                let mask = (desk.chance.rand_u64() as u32).to_be_bytes();
                let parting = Parting { codes: [client_code, server_code], reasons, mask };
                desk.effects.push(Effect::Part(session, Box::new(parting)));
            }
            Action::Abort { session, client_code, .. } => {
                let lines = desk.room.as_ref().and_then(|room| room.lines.get(&session));
                if let Some(conns) = lines.and_then(|lines| lines.conns) {
                    desk.effects.push(Effect::Cut(session, client_code, conns));
                    desk.client_of_cut(session);
                }
            }
            Action::Ping(session, side) => {
                let mask = (desk.chance.rand_u64() as u32).to_be_bytes();
                desk.effects.push(Effect::Ping(session, side, mask));
            }
            Action::RecordOutcome { server, build, profile, failed } => {
                drop(desk);
                self.gate.session_judged(server, build, profile, failed);
            }
            Action::Ended { session, reason, lifetime } => {
                desk.effects.push(Effect::Forget(session));
                let Some(room) = &mut desk.room else { return };
                let conns = room.lines.remove(&session).and_then(|lines| lines.conns);
                for conn in conns.iter().flatten() {
                    room.by_conn.remove(conn);
                }
                let ms = lifetime / MS;
                desk.log(format!("end session={session} code={} stood_ms={ms}", reason.code()));
            }
        }
    }

    /// Another opening took this one's place: its client is answered at once, and its trips are given up.
    fn give_opening_up(&mut self, ticket: RequestId, come_back_in: Micros) {
        let mut desk = self.desk();
        desk.refused_for(Cause::Session);
        desk.finish(ticket, |last| client::turned_back(Some(come_back_in), last));
        drop(desk);
        self.gate.client_disconnected(ticket);
        self.stop_trips(ticket, None);
        self.tell();
        self.desk().tidy(ticket);
    }

    /// Gives up the trips of a ticket that are still out, but for one.
    fn stop_trips(&mut self, ticket: RequestId, but: Option<AttemptNo>) {
        let mut desk = self.desk();
        let trips = desk.tickets.get(&ticket).map_or(0, |ticket| ticket.trips.len() as u32);
        for trip in (0..trips).map(AttemptNo).filter(|trip| Some(*trip) != but) {
            desk.give_up(ticket, trip, AttemptOutcome::Cancelled, Reason::Stopped);
        }
    }

    /// A server has answered an upgrade with a whole 101, which takes this much of what has come.
    pub(super) fn switched(&mut self, id: ConnId, answer: &Message, used: usize, ended: bool) {
        let mut desk = self.desk();
        let Some(conn) = desk.conns.get(&id) else { return };
        let Kind::Server { server, process, work: Some(Work::Trip(ticket, trip)) } = conn.kind else {
            return;
        };
        let Some(found) = desk.tickets.get(&ticket) else { return };
        let Some(upgrade) = &found.request.upgrade else { return };
        let agreement = match upgrade.offer.check_response(answer.fields()) {
            Ok(agreement) if !ended => agreement,
            Ok(_) => {
                drop(desk);
                return self.failed(id, Reason::Broke, true);
            }
            Err(lie) => {
                desk.log(format!("server conn={id} answered an upgrade wrongly: {lie:?}"));
                drop(desk);
                return self.failed(id, Reason::Malformed, ended);
            }
        };
        let session = desk.room.as_ref().and_then(|room| room.by_ticket.get(&ticket)).copied();
        let (Some(client), Some(session)) = (found.client, session) else {
            // Its client has left or was answered; the server is left with nothing.
            desk.close(id, Reason::Stopped);
            return desk.trip_over(ticket, trip, AttemptOutcome::Succeeded, Vec::new());
        };
        desk.consume(id, used);
        let (Some(client_conn), Some(server_conn)) = (desk.conns.remove(&client), desk.conns.remove(&id))
        else {
            return;
        };
        desk.origin_over(client);
        if let Some(ticket) = desk.tickets.get_mut(&ticket) {
            ticket.client = None;
        }
        desk.write_to_session(client, agreement.response_head());
        desk.trip_over(ticket, trip, AttemptOutcome::Succeeded, Vec::new());
        let listed = match desk.servers.get(&server) {
            Some(place) if place.process == process => place.condition,
            _ => Condition::Gone,
        };
        let now = desk.now;
        let Some(room) = &mut desk.room else { return };
        let join = Box::new(Join {
            session,
            conns: [client, id],
            first: [client_conn.buffer.data().to_vec(), server_conn.buffer.data().to_vec()],
            compressed: agreement.allows_compression(),
            message_most: room.sessions.limits().max_message_bytes,
        });
        room.by_conn.extend([(client, (session, Side::Client)), (id, (session, Side::Server))]);
        if let Some(lines) = room.lines.get_mut(&session) {
            lines.conns = Some([client, id]);
            lines.join = Some(join.clone());
        }
        room.sessions.opened(now, session, server, process.build, listed);
        desk.effects.push(Effect::Join(join));
        desk.log(format!("session={session} open conns={client},{id} build={}", process.build.0));
        drop(desk);
        self.stop_trips(ticket, Some(trip));
    }

    /// Bytes of a connection that is a session's, which were read before it was joined.
    pub(super) fn session_bytes(&mut self, id: ConnId, bytes: &[u8]) {
        let mut desk = self.desk();
        let Some(room) = &mut desk.room else { return };
        let Some((session, side)) = room.by_conn.get(&id).copied() else { return };
        if let Some(join) = room.lines.get_mut(&session).and_then(|lines| lines.join.as_mut()) {
            join.first[side as usize].extend_from_slice(bytes);
            let join = join.clone();
            desk.effects.push(Effect::Join(join));
        }
    }

    /// Whether a session's connections are joined now; if not, bytes of one are still to come.
    pub(super) fn session_joined(&mut self, session: SessionId, joined: bool) {
        let mut desk = self.desk();
        if let Some(lines) = desk.room.as_mut().and_then(|room| room.lines.get_mut(&session))
            && joined
        {
            lines.join = None;
        }
    }

    /// One of a session's connections has ended.
    pub(super) fn session_conn_ended(&mut self, id: ConnId) {
        let mut desk = self.desk();
        let now = desk.now;
        let Some(room) = &mut desk.room else { return };
        let Some((session, side)) = room.by_conn.remove(&id) else { return };
        if let Some(lines) = room.lines.get_mut(&session) {
            lines.gone[side as usize] = true;
            if lines.join.take().is_some() {
                // It ended before the two were joined: there is nothing to relay, and the other one ends too.
                let other = lines.conns.map(|conns| conns[side.other() as usize]);
                room.sessions.handle_side_event(now, session, SideEvent::Disconnected(side));
                if let Some(other) = other {
                    desk.effects.push(Effect::Finish(other));
                }
                return;
            }
        }
        room.sessions.handle_side_event(now, session, SideEvent::Disconnected(side));
    }

    /// What the connections of a session have met.
    pub(super) fn session_ends(&mut self, session: SessionId, end: SideEvent) {
        let mut desk = self.desk();
        let now = desk.now;
        if let Some(room) = &mut desk.room {
            room.sessions.handle_side_event(now, session, end);
        }
        if let SideEvent::InvalidFrame(side, code) = end {
            desk.log(format!("session={session} bad frame from {side:?}: {code}"));
        }
    }

    /// What the sessions' connections show.
    pub(super) fn glanced(&mut self, seen: Vec<(SessionId, garnetdoor_sessions::ConnectionActivity)>) {
        let mut desk = self.desk();
        let now = desk.now;
        if let Some(room) = &mut desk.room {
            seen.into_iter()
                .for_each(|(session, glance)| room.sessions.observe_activity(now, session, glance));
        }
    }
}

impl Desk {
    /// Writes to a connection that is no plain one any more.
    fn write_to_session(&mut self, id: ConnId, bytes: Vec<u8>) {
        self.effects.push(Effect::Write(id, bytes));
    }

    /// The client's connection of a session that is cut is a plain one again that has had its last message: it has
    /// a moment to take the close frame and to end by itself.
    fn client_of_cut(&mut self, session: SessionId) {
        let lines = self.room.as_ref().and_then(|room| room.lines.get(&session));
        let Some([client, _]) = lines.filter(|lines| !lines.gone[0]).and_then(|lines| lines.conns) else {
            return;
        };
        self.add(
            client,
            Kind::Client { ticket: None, last: true, surplus: false, answered: true, begun: false },
        );
        self.lingers(client);
    }
}
