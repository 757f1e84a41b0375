//! Connects the decisions on sessions, which `garnetdoor-sessions` makes, with connections and requests.
//! Ordinary requests are not affected; without the operator file's `websocket` section there is no session
//! table at all.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use garnetdoor::host::{
    Arrival, AttemptNo, AttemptOutcome, BuildNo, Condition, Micros, ProfileId, RequestId, ServerId,
};
use garnetdoor_operator::{Operator, Websocket};
use garnetdoor_sessions::{
    Act, Admission, End, Glance, Key, Opening, Party, Repeats, SessionId, Sessions, Side,
};

use super::connections::{ConnectionKind, ServerCall};
use super::gateway_state::{GatewayState, MS};
use super::reducer::Reducer;
use super::refusals::Cause;
use super::servers::{ListedServer, ServerProcess};
use super::timers::{Timer, TimerKey};
use crate::event::{CloseReason, ConnectionId, Effect, SessionClose, SessionJoin};
use crate::wire::client::{self, ForwardedRequest};
use crate::wire::http::Message;

/// The request and the connections of a session.
struct SessionEntry {
    request: RequestId,
    /// The client's and the server's connection, once the session is open.
    connections: Option<[ConnectionId; 2]>,
    /// Whether each of the two connections has ended.
    ended: [bool; 2],
    /// Set until the two connections are joined.
    pending_join: Option<Box<SessionJoin>>,
}

/// What is kept of sessions in addition to the state of `garnetdoor-sessions`.
pub struct SessionTable {
    pub sessions: Sessions,
    /// The operator file's section; `None` once a reload has removed it.
    pub settings: Option<Websocket>,
    by_request: BTreeMap<RequestId, SessionId>,
    by_connection: BTreeMap<ConnectionId, (SessionId, Side)>,
    entries: BTreeMap<SessionId, SessionEntry>,
    /// The addresses that ordinary client connections come from.
    client_addresses: BTreeMap<ConnectionId, IpAddr>,
    /// Whether the list or the platform's state has changed since the shares of builds were passed on.
    pub shares_outdated: bool,
    /// The timer for what is due next at the sessions.
    timer: Option<TimerKey>,
    sample_timer_set: bool,
}

/// An upgrade is rejected; the client may retry after this time.
pub struct UpgradeRejected {
    pub retry_after: Micros,
}

impl GatewayState {
    /// Applies the operator file: sets up, changes or closes the session table, and reserves descriptors for
    /// sessions.
    pub fn apply_operator_file(&mut self, operator: Operator, seed: u64) {
        let settings = operator.websocket;
        let limits =
            settings.as_ref().map(|settings| settings.limits().within(self.max_connections_and_sessions));
        let reserved = limits.as_ref().map_or(0, |(_, reserved)| *reserved);
        self.reserve_descriptors(reserved);
        let now = self.now;
        match (&mut self.session_table, limits) {
            (Some(table), limits) => {
                let limits = limits.map_or_else(|| table.sessions.limits().clone(), |(limits, _)| limits);
                let profiles = &self.profiles;
                let is_listed = |profile: ProfileId| {
                    let names = settings.iter().flat_map(|settings| &settings.profiles);
                    names.into_iter().any(|name| name == profiles.name(profile))
                };
                table.sessions.reload(now, limits, is_listed);
                table.settings = settings;
            }
            (None, Some((limits, _))) => {
                self.session_table = Some(SessionTable {
                    sessions: Sessions::new(limits, seed),
                    settings,
                    by_request: BTreeMap::new(),
                    by_connection: BTreeMap::new(),
                    entries: BTreeMap::new(),
                    client_addresses: BTreeMap::new(),
                    shares_outdated: true,
                    timer: None,
                    sample_timer_set: false,
                });
            }
            (None, None) => {}
        }
    }

    /// Remembers the address that a client connects from.
    pub fn remember_client_address(&mut self, id: ConnectionId, address: IpAddr) {
        if let Some(table) = &mut self.session_table {
            table.client_addresses.insert(id, address);
        }
    }

    /// Forgets a client's address: its connection has ended, or belongs to a session now.
    pub(super) fn forget_client_address(&mut self, id: ConnectionId) {
        if let Some(table) = &mut self.session_table {
            table.client_addresses.remove(&id);
        }
    }

    /// Decides whether an upgrade may become a session; `None` for an ordinary request. The party of an
    /// upgrade that names none is its client's address.
    pub fn admit_upgrade(
        &mut self, id: ConnectionId, arrival: &Arrival, request: &mut ForwardedRequest,
    ) -> Result<Option<SessionId>, UpgradeRejected> {
        let (Some(table), Some(upgrade)) = (&mut self.session_table, &request.upgrade) else {
            return Ok(None);
        };
        if request.id.is_empty() {
            request.id = format!("g{:016x}{:04x}", self.random.rand_u64(), id.0 & 0xffff);
        }
        let address = || table.client_addresses.get(&id).map_or_else(|| "?".to_owned(), ToString::to_string);
        let party = upgrade.party.clone().unwrap_or_else(address);
        let repeats =
            if self.profiles.is_repeatable(arrival.profile) { Repeats::Harmless } else { Repeats::Never };
        let key = upgrade.key.as_deref().map(|key| Key(key.into()));
        let opening = Opening { profile: arrival.profile, repeats, party: Party(party.into()), key };
        match table.sessions.asked(self.now, opening) {
            Admission::Taken(session) => Ok(Some(session)),
            Admission::TurnedBack { why, come_back_in } => {
                self.log(format!("upgrade conn={id} turned back: {}", why.code()));
                Err(UpgradeRejected { retry_after: come_back_in })
            }
        }
    }

    /// Adds the session that an admitted upgrade is to become.
    pub fn add_session(&mut self, session: SessionId, request: RequestId) {
        if let Some(table) = &mut self.session_table {
            table.by_request.insert(request, session);
            let entry = SessionEntry { request, connections: None, ended: [false; 2], pending_join: None };
            table.entries.insert(session, entry);
        }
    }

    /// Whether a request is an upgrade.
    pub fn is_upgrade(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|request| request.request.upgrade.is_some())
    }

    /// Whether a server, and its build, have room for the session that a request is to become. Always true
    /// for an ordinary request.
    pub(super) fn has_room_for_session(&self, request: RequestId, server: ServerId, build: BuildNo) -> bool {
        let table = self.session_table.as_ref().filter(|table| table.by_request.contains_key(&request));
        table.is_none_or(|table| table.sessions.has_room(server, build))
    }

    /// An attempt of a request is being sent.
    pub(super) fn session_attempt_sent(&mut self, request: RequestId, server: ServerId) {
        let Some(build) = self.servers.get(&server).map(|listed| listed.process.build) else { return };
        if let Some(table) = &mut self.session_table
            && let Some(session) = table.by_request.get(&request)
        {
            table.sessions.sent(*session, server, build);
        }
    }

    /// A request is finished: if it was an upgrade that did not open a session, the session is dropped.
    pub(super) fn session_request_finished(&mut self, request: RequestId) {
        let now = self.now;
        if let Some(table) = &mut self.session_table
            && let Some(session) = table.by_request.remove(&request)
            && table.entries.get(&session).is_some_and(|entry| entry.connections.is_none())
        {
            table.entries.remove(&session);
            table.sessions.not_opened(now, session);
        }
    }

    /// The servers before a list is applied, for [`GatewayState::report_servers_to_sessions`]; `None` if
    /// there is no session table.
    pub(super) fn servers_for_sessions(&self) -> Option<BTreeMap<ServerId, (ServerProcess, Condition)>> {
        self.session_table.as_ref()?;
        let server = |listed: &ListedServer| (listed.process, listed.condition);
        Some(self.servers.iter().map(|(id, listed)| (*id, server(listed))).collect())
    }

    /// Reports to the sessions how a list has changed the servers.
    pub(super) fn report_servers_to_sessions(
        &mut self, servers_before: BTreeMap<ServerId, (ServerProcess, Condition)>,
    ) {
        let now = self.now;
        let Some(table) = &mut self.session_table else { return };
        table.shares_outdated = true;
        for (server, (process, condition)) in servers_before {
            let listed = self.servers.get(&server);
            let (process_now, condition_now) =
                listed.map_or((process, Condition::Gone), |listed| (listed.process, listed.condition));
            if (process_now, condition_now) != (process, condition) {
                table.sessions.listed(now, server, condition_now, process_now == process);
            }
        }
    }

    /// Whether there are sessions, which must end before the gateway exits.
    pub fn has_sessions(&self) -> bool {
        self.session_table.as_ref().is_some_and(|table| table.sessions.count() > 0)
    }

    /// Writes to a connection that belongs to a session, and is not among the ordinary connections any more.
    fn write_to_session(&mut self, id: ConnectionId, bytes: Vec<u8>) {
        self.effects.push(Effect::Write(id, bytes));
    }

    /// Makes the client's connection of an aborted session an ordinary one that has had its last message. The
    /// client has a short time to read the close frame and to close the connection.
    fn release_client_of_aborted(&mut self, session: SessionId) {
        let entry = self.session_table.as_ref().and_then(|table| table.entries.get(&session));
        let Some([client, _]) = entry.filter(|entry| !entry.ended[0]).and_then(|entry| entry.connections)
        else {
            return;
        };
        let kind = ConnectionKind::Client {
            request: None,
            last: true,
            surplus: false,
            answered: true,
            message_started: false,
        };
        self.add_connection(client, kind);
        self.set_linger_deadline(client);
    }
}

impl Reducer {
    /// Carries out what the sessions ask for, and sets the timers for what is due next.
    pub(super) fn run_sessions(&mut self) {
        if self.state().session_table.is_none() {
            return;
        }
        self.report_shares();
        loop {
            let acts =
                self.state().session_table.as_mut().map(|table| table.sessions.acts()).unwrap_or_default();
            if acts.is_empty() {
                break;
            }
            acts.into_iter().for_each(|act| self.carry_out(act));
        }
        let state = &mut *self.state();
        let Some(table) = &mut state.session_table else { return };
        let due = table.sessions.due();
        if table.timer.map(|(at, _)| at) != due {
            if let Some(timer) = table.timer.take() {
                state.timers.cancel(timer);
            }
            table.timer = due.map(|at| state.timers.set(at, Timer::Sessions));
        }
        if !table.sample_timer_set && !table.by_connection.is_empty() {
            table.sample_timer_set = true;
            state.timers.set(state.now + table.sessions.limits().glances(), Timer::SessionSamples);
        }
    }

    /// Reports to the sessions which builds are on trial, and the shares that the decisions allow them.
    fn report_shares(&mut self) {
        let state = &mut *self.state.borrow_mut();
        let Some(table) = state.session_table.as_mut().filter(|table| table.shares_outdated) else { return };
        table.shares_outdated = false;
        let builds: BTreeSet<BuildNo> = state.servers.values().map(|listed| listed.process.build).collect();
        let shares =
            builds.into_iter().filter_map(|build| Some((build, self.decisions.exposure_cap(build)?)));
        table.sessions.told(state.now, shares.collect());
    }

    pub(super) fn session_timer_due(&mut self) {
        let mut state = self.state();
        let now = state.now;
        if let Some(table) = &mut state.session_table {
            table.timer = None;
            table.sessions.tick(now);
        }
    }

    pub(super) fn sample_timer_due(&mut self) {
        let mut state = self.state();
        if let Some(table) = &mut state.session_table {
            table.sample_timer_set = false;
            if !table.by_connection.is_empty() {
                state.effects.push(Effect::SampleSessions);
            }
        }
    }

    fn carry_out(&mut self, act: Act) {
        let mut state = self.state();
        match act {
            Act::GiveUp { session, come_back_in } => {
                let entry = state.session_table.as_mut().and_then(|table| table.entries.remove(&session));
                drop(state);
                if let Some(entry) = entry {
                    self.abandon_upgrade(entry.request, come_back_in);
                }
            }
            Act::Close { session, client, server, again_in, .. } => {
                let again = again_in.map(|wait| format!("again-in-ms={}", wait / MS));
                let reasons = [again.unwrap_or_default(), String::new()];
                let mask = (state.random.rand_u64() as u32).to_be_bytes();
                let close = SessionClose { codes: [client, server], reasons, mask };
                state.effects.push(Effect::CloseSession(session, Box::new(close)));
            }
            Act::Cut { session, client, .. } => {
                let entry = state.session_table.as_ref().and_then(|table| table.entries.get(&session));
                if let Some(connections) = entry.and_then(|entry| entry.connections) {
                    state.effects.push(Effect::AbortSession(session, client, connections));
                    state.release_client_of_aborted(session);
                }
            }
            Act::Ping(session, side) => {
                let mask = (state.random.rand_u64() as u32).to_be_bytes();
                state.effects.push(Effect::Ping(session, side, mask));
            }
            Act::Judge { server, build, profile, failed } => {
                drop(state);
                self.decisions.session_judged(server, build, profile, failed);
            }
            Act::Ended { session, why, stood } => {
                state.effects.push(Effect::ForgetSession(session));
                let Some(table) = &mut state.session_table else { return };
                let connections = table.entries.remove(&session).and_then(|entry| entry.connections);
                for connection in connections.iter().flatten() {
                    table.by_connection.remove(connection);
                }
                let stood_ms = stood / MS;
                state.log(format!("end session={session} code={} stood_ms={stood_ms}", why.code()));
            }
        }
    }

    /// Abandons an upgrade because another one has replaced it: its client is answered at once, and its
    /// attempts are stopped.
    fn abandon_upgrade(&mut self, request: RequestId, retry_after: Micros) {
        let mut state = self.state();
        state.count_refusal(Cause::Session);
        state.answer_request(request, |last| client::rejected(Some(retry_after), last));
        drop(state);
        self.decisions.client_disconnected(request);
        self.stop_attempts(request, None);
        self.deliver_reports();
        self.state().remove_if_finished(request);
    }

    /// Stops the running attempts of a request, except for one.
    fn stop_attempts(&mut self, request: RequestId, except: Option<AttemptNo>) {
        let mut state = self.state();
        let count = state.requests.get(&request).map_or(0, |request| request.attempts.len() as u32);
        for attempt in (0..count).map(AttemptNo).filter(|attempt| Some(*attempt) != except) {
            state.abandon_attempt(request, attempt, AttemptOutcome::Cancelled, CloseReason::Stopped);
        }
    }

    /// A server has answered an upgrade with a complete 101 answer, which takes `used` of the bytes that were
    /// read. Opens the session, if the answer agrees with the offer and the client is still there.
    pub(super) fn open_session(&mut self, id: ConnectionId, answer: &Message, used: usize, ended: bool) {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return };
        let ConnectionKind::Server { server, process, call: Some(ServerCall::Attempt(request, attempt)) } =
            connection.kind
        else {
            return;
        };
        let Some(open_request) = state.requests.get(&request) else { return };
        let Some(upgrade) = &open_request.request.upgrade else { return };
        let agreement = match upgrade.offer.agreed(answer.fields()) {
            Ok(agreement) if !ended => agreement,
            Ok(_) => {
                drop(state);
                return self.connection_failed(id, CloseReason::Broke, true);
            }
            Err(lie) => {
                state.log(format!("server conn={id} answered an upgrade wrongly: {lie:?}"));
                drop(state);
                return self.connection_failed(id, CloseReason::Malformed, ended);
            }
        };
        let session = state.session_table.as_ref().and_then(|table| table.by_request.get(&request)).copied();
        let (Some(client), Some(session)) = (open_request.client, session) else {
            // The client has left or was answered, so that there is nothing to join the server's connection
            // with.
            state.close(id, CloseReason::Stopped);
            return state.end_attempt(request, attempt, AttemptOutcome::Succeeded, Vec::new());
        };
        state.consume(id, used);
        let (Some(client_connection), Some(server_connection)) =
            (state.connections.remove(&client), state.connections.remove(&id))
        else {
            return;
        };
        state.forget_client_address(client);
        if let Some(request) = state.requests.get_mut(&request) {
            request.client = None;
        }
        state.write_to_session(client, agreement.head());
        state.end_attempt(request, attempt, AttemptOutcome::Succeeded, Vec::new());
        let condition = match state.servers.get(&server) {
            Some(listed) if listed.process == process => listed.condition,
            _ => Condition::Gone,
        };
        let now = state.now;
        let Some(table) = &mut state.session_table else { return };
        let join = Box::new(SessionJoin {
            session,
            connections: [client, id],
            already_read: [
                client_connection.buffer.data().to_vec(),
                server_connection.buffer.data().to_vec(),
            ],
            compressed: agreement.compresses(),
            max_message_bytes: table.sessions.limits().message_most,
        });
        table.by_connection.extend([(client, (session, Side::Client)), (id, (session, Side::Server))]);
        if let Some(entry) = table.entries.get_mut(&session) {
            entry.connections = Some([client, id]);
            entry.pending_join = Some(join.clone());
        }
        table.sessions.opened(now, session, server, process.build, condition);
        state.effects.push(Effect::JoinSession(join));
        state.log(format!("session={session} open conns={client},{id} build={}", process.build.0));
        drop(state);
        self.stop_attempts(request, Some(attempt));
    }

    /// Bytes of a session's connection that were read before the connections were joined: the join is tried
    /// again with them.
    pub(super) fn session_bytes_received(&mut self, id: ConnectionId, bytes: &[u8]) {
        let mut state = self.state();
        let Some(table) = &mut state.session_table else { return };
        let Some((session, side)) = table.by_connection.get(&id).copied() else { return };
        if let Some(join) = table.entries.get_mut(&session).and_then(|entry| entry.pending_join.as_mut()) {
            join.already_read[side as usize].extend_from_slice(bytes);
            let join = join.clone();
            state.effects.push(Effect::JoinSession(join));
        }
    }

    /// Whether a session's connections are joined now; if not, more bytes of one of them are still to come.
    pub(super) fn session_joined(&mut self, session: SessionId, joined: bool) {
        let mut state = self.state();
        if let Some(entry) = state.session_table.as_mut().and_then(|table| table.entries.get_mut(&session))
            && joined
        {
            entry.pending_join = None;
        }
    }

    /// One of a session's connections has ended.
    pub(super) fn session_connection_ended(&mut self, id: ConnectionId) {
        let mut state = self.state();
        let now = state.now;
        let Some(table) = &mut state.session_table else { return };
        let Some((session, side)) = table.by_connection.remove(&id) else { return };
        if let Some(entry) = table.entries.get_mut(&session) {
            entry.ended[side as usize] = true;
            if entry.pending_join.take().is_some() {
                // It ended before the two were joined: there is nothing to relay, and the other connection
                // ends too.
                let other = entry.connections.map(|connections| connections[side.other() as usize]);
                table.sessions.ends(now, session, End::Gone(side));
                if let Some(other) = other {
                    state.effects.push(Effect::ShutdownWrite(other));
                }
                return;
            }
        }
        table.sessions.ends(now, session, End::Gone(side));
    }

    /// The relay has seen something that ends or changes a session.
    pub(super) fn session_event(&mut self, session: SessionId, end: End) {
        let mut state = self.state();
        let now = state.now;
        if let Some(table) = &mut state.session_table {
            table.sessions.ends(now, session, end);
        }
        if let End::Fault(side, code) = end {
            state.log(format!("session={session} bad frame from {side:?}: {code}"));
        }
    }

    /// The activity on the sessions' connections has been sampled.
    pub(super) fn sessions_sampled(&mut self, samples: Vec<(SessionId, Glance)>) {
        let mut state = self.state();
        let now = state.now;
        if let Some(table) = &mut state.session_table {
            samples.into_iter().for_each(|(session, sample)| table.sessions.glanced(now, session, sample));
        }
    }
}
