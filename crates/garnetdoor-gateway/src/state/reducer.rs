//! The only place where the gateway's state changes: [`Reducer::reduce`] takes an event, lets the decisions
//! act on it, and returns the effects that are to be carried out outside. It reads no clock and uses no
//! socket.

use std::cell::{RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;

use garnetdoor::balance::Balancer;
use garnetdoor::host::{AttemptOutcome, Condition, Host, Micros, RolloutStatus, ServerId, VoteResult};
use garnetdoor_operator::Operator;

use super::connections::{ConnectionKind, ConnectionState, ServerCall};
use super::gateway_state::{GatewayState, MS, Report};
use super::host::SharedState;
use super::refusals::Cause;
use super::request::OpenRequest;
use super::servers::ListedServer;
use super::sessions::UpgradeRejected;
use super::timers::Timer;
use crate::config::Config;
use crate::event::{CloseReason, ConnectionId, Effect, Event};
use crate::wire::client::{self, ClientMessage};
use crate::wire::discovery::{self, List};
use crate::wire::http::{self, Fault, MAX_UNREAD_BYTES, Message, StreamEnd};
use crate::wire::instance;
use crate::wire::platform::{self, StreamEvent};

/// How long new connections are accepted after the signal to stop, since a load balancer in front may still
/// assign some.
const ACCEPT_AFTER_STOP: Micros = 500 * MS;
/// How long a server may take for the rest of an answer of which a part has arrived; servers write an answer
/// at once.
const ANSWER_REST_TIMEOUT: Micros = 250 * MS;
/// All open requests are answered so long after the signal to stop, however long their clients would wait:
/// SIGKILL follows 3.7 s after the signal at the earliest.
const ANSWER_ALL_AFTER_STOP: Micros = 3_500 * MS;
/// The process exits so long after the signal to stop, even if something is left to do.
const EXIT_AFTER_STOP: Micros = 3_600 * MS;

impl From<Fault> for CloseReason {
    fn from(fault: Fault) -> CloseReason {
        if fault == Fault::Malformed { CloseReason::Malformed } else { CloseReason::TooLarge }
    }
}

/// The decisions and the gateway's state, which only events change.
pub struct Reducer {
    pub(super) decisions: Balancer<SharedState>,
    pub(super) state: Rc<RefCell<GatewayState>>,
    seed: u64,
}

impl Reducer {
    /// Starts the decisions with the configuration and the operator file. If the configuration holds a server
    /// list and the platform's state, the list is applied first.
    pub fn start(now: Micros, config: &Config, operator: &Operator) -> (Self, Vec<Effect>) {
        let mut state = GatewayState::new(now, config);
        state.apply_operator_file(operator.clone(), config.seed);
        let state = Rc::new(RefCell::new(state));
        let decisions = Balancer::start(SharedState(state.clone()), config.seed, config.settings.clone());
        let mut reducer = Reducer { decisions, state, seed: config.seed };
        let initial_list = config
            .initial_list
            .as_ref()
            .map(|list| discovery::list_from_json(list, &reducer.state().known_names));
        match initial_list {
            Some(Ok(list)) => reducer.list_received(list),
            Some(Err(fault)) => reducer.state().log(format!("known list left out: {fault}")),
            None => {}
        }
        if let Some(status) = config.initial_rollout_status {
            reducer.decisions.rollout_updated(status);
        }
        reducer.state().open_event_stream();
        reducer.settle();
        let effects = std::mem::take(&mut reducer.state().effects);
        (reducer, effects)
    }

    pub(super) fn state(&self) -> RefMut<'_, GatewayState> {
        self.state.borrow_mut()
    }

    /// Whether it needs an [`Event::ClientAddress`] for each connection of a client.
    pub fn wants_client_addresses(&self) -> bool {
        self.state().session_table.is_some()
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Micros> {
        self.state().timers.next_due()
    }

    /// Handles an event that happened at `now`, and all timers that are due by then. Returns the effects in
    /// order.
    pub fn reduce(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.state().now = now;
        self.handle_event(event);
        self.settle();
        loop {
            let due = self.state().timers.take_due(now);
            let Some(timer) = due else { break };
            self.handle_timer(timer);
            self.settle();
        }
        let mut state = self.state();
        if is_stop_complete(&state) {
            state.effects.push(Effect::Exit);
        }
        std::mem::take(&mut state.effects)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Connected(id) => self.connected(id),
            Event::Received(id, arrived_at, bytes) => self.received(id, arrived_at, &bytes),
            Event::Written(id) => self.written(id),
            Event::Stale(id, message) => self.state().resend_from_stale(id, message),
            Event::Closed(id) => self.closed(id),
            Event::Datagram(from, bytes) => {
                // Peers are identified by their addresses; datagrams from other addresses are dropped.
                let peer = self.state().peer_at(from);
                match peer {
                    Some(peer) => self.decisions.peer_message_received(peer, &bytes),
                    None => self.state().log(format!("datagram from {from} left out")),
                }
            }
            Event::ClientAddress(id, address) => self.state().remember_client_address(id, address),
            Event::Joined(session, joined) => self.session_joined(session, joined),
            Event::Session(session, end) => self.session_event(session, end),
            Event::SessionActivity(samples) => self.sessions_sampled(samples),
            Event::Tick => {}
            Event::Reload(discovery, platform) => self.reload(discovery, platform),
            Event::OperatorFile(operator) => {
                let seed = self.seed;
                self.state().apply_operator_file(*operator, seed);
            }
            Event::Stop => self.stop(),
        }
    }

    /// Passes on what an event has caused, to the decisions and to the sessions.
    fn settle(&mut self) {
        self.deliver_reports();
        self.run_sessions();
    }

    /// Delivers all pending reports to the decisions, in order. What the decisions do may add further ones.
    pub(super) fn deliver_reports(&mut self) {
        loop {
            let report = self.state().pending_reports.pop_front();
            match report {
                None => return,
                Some(Report::Attempt(id, attempt, outcome, load)) => {
                    let state = self.state();
                    let request = &state.requests[&id];
                    let duration = state.now - request.attempts[attempt.0 as usize].sent_at;
                    let is_answered = request.client.is_none();
                    drop(state);
                    self.decisions.attempt_ended(id, attempt, duration, outcome, is_answered, &load);
                    self.state().remove_if_finished(id);
                }
                Some(Report::Probe(server, outcome, duration, load)) => {
                    self.decisions.probe_ended(server, outcome, duration, &load);
                }
                Some(Report::Vote(result)) => self.decisions.vote_answered(result),
                Some(Report::ListFailed) => self.decisions.server_list_failed(),
            }
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Decisions(kind) => self.decisions.timer_fired(kind),
            Timer::Attempt(id, attempt) => {
                self.state().abandon_attempt(id, attempt, AttemptOutcome::TimedOut, CloseReason::TimedOut);
            }
            Timer::Connection(id) => {
                let is_passed = self.state().is_deadline_passed(id);
                if is_passed {
                    self.connection_timed_out(id);
                }
            }
            Timer::EventStream => self.state().open_event_stream(),
            Timer::RefusalSummary => self.state().log_refusal_summary(),
            Timer::Sessions => self.session_timer_due(),
            Timer::SessionSamples => self.sample_timer_due(),
            Timer::StopListening => {
                let mut state = self.state();
                state.listening = false;
                state.effects.push(Effect::StopListening);
                close_idle_clients(&mut state);
            }
            // Requests whose clients wait longer than the process has to stop would be lost if it exited
            // without answering them. The drawback: requests that would have finished in the last 0.1 s do
            // not.
            Timer::AnswerAll => self.decisions.stop(),
            Timer::Exit => self.state().effects.push(Effect::Exit),
        }
    }

    fn stop(&mut self) {
        let mut state = self.state();
        if !std::mem::replace(&mut state.stopping, true) {
            let now = state.now;
            state.log("stopping".to_owned());
            state.timers.set(now + ACCEPT_AFTER_STOP, Timer::StopListening);
            state.timers.set(now + ANSWER_ALL_AFTER_STOP, Timer::AnswerAll);
            state.timers.set(now + EXIT_AFTER_STOP, Timer::Exit);
            close_idle_clients(&mut state);
            if let Some(table) = &mut state.session_table {
                table.sessions.stop(now);
            }
        }
    }

    /// The platform has sent its state.
    fn rollout_status_received(&mut self, status: RolloutStatus) {
        if let Some(table) = &mut self.state().session_table {
            table.shares_outdated = true;
        }
        self.decisions.rollout_updated(status);
    }

    /// Changes the addresses of the list service and of the platform; what they have sent so far remains
    /// valid. The old addresses will soon be silent, so that calls to them are ended and made to the new ones
    /// at once. A vote whose answer is cut off may or may not be counted, and is cast again.
    fn reload(&mut self, discovery: SocketAddr, platform: SocketAddr) {
        let mut state = self.state();
        state.log(format!("reload: discovery={discovery} rollouts.address={platform}"));
        let discovery_moved = std::mem::replace(&mut state.discovery, discovery) != discovery;
        let platform_moved = std::mem::replace(&mut state.platform, platform) != platform;
        let is_moved = |kind: &ConnectionKind| match kind {
            ConnectionKind::List | ConnectionKind::Watch(_) => discovery_moved,
            ConnectionKind::Vote | ConnectionKind::EventStream(_) => platform_moved,
            ConnectionKind::Client { .. } | ConnectionKind::Server { .. } => false,
        };
        let is_stream =
            |kind: &ConnectionKind| matches!(kind, ConnectionKind::Watch(_) | ConnectionKind::EventStream(_));
        let moved = state.connections.iter().filter(|(_, connection)| is_moved(&connection.kind));
        let moved: Vec<_> = moved.map(|(id, connection)| (*id, is_stream(&connection.kind))).collect();
        let reopen_watch = state.follows_list && discovery_moved;
        drop(state);
        for (id, is_stream) in moved {
            if is_stream {
                // Opened again below, without the wait that follows a failure.
                self.state().close(id, CloseReason::Moved);
            } else {
                self.connection_failed(id, CloseReason::Moved, false);
            }
        }
        if platform_moved {
            self.state().open_event_stream();
        }
        if reopen_watch {
            SharedState(self.state.clone()).watch_server_list(true);
        }
    }

    // ---- connections ----

    fn connected(&mut self, id: ConnectionId) {
        let mut state = self.state();
        if id.is_client() {
            return state.client_connected(id);
        }
        let Some(connection) = state.connections.get_mut(&id) else { return };
        let message = connection.first_message.take();
        if let ConnectionKind::Server { server, process, call: Some(call) } = connection.kind {
            // If connecting took long, the server may be draining by now, and its grace period over; or
            // another build may run at its address, which must not get more than its cap.
            let is_unchanged =
                |listed: &ListedServer| listed.condition == Condition::Healthy && listed.process == process;
            if !state.servers.get(&server).is_some_and(is_unchanged) {
                if let ServerCall::Attempt(request, attempt) = call {
                    state.abandon_attempt(
                        request,
                        attempt,
                        AttemptOutcome::ConnectFailed,
                        CloseReason::Unlisted,
                    );
                }
                return;
            }
            if let ServerCall::Attempt(..) = call {
                state.set_deadline(id, None);
            }
        }
        if let Some(message) = message {
            state.write(id, message);
        }
    }

    fn written(&mut self, id: ConnectionId) {
        let mut state = self.state();
        let now = state.now;
        let Some(connection) = state.connections.get_mut(&id) else { return };
        (connection.write_pending, connection.idle_since) = (false, now);
        if let ConnectionKind::Client { request: None, last: false, .. } = connection.kind {
            drop(state);
            self.read_client(id);
            self.state().shed_idle_clients();
        }
    }

    fn received(&mut self, id: ConnectionId, arrived_at: Micros, bytes: &[u8]) {
        let mut state = self.state();
        let Some(connection) = state.connections.get_mut(&id) else {
            drop(state);
            return self.session_bytes_received(id, bytes);
        };
        connection.buffer.push(bytes);
        (connection.last_received_at, connection.closing) = (arrived_at, None);
        match connection.kind {
            ConnectionKind::Client { last: true, .. } => state.consume(id, bytes.len()),
            ConnectionKind::Client { .. } => {
                drop(state);
                self.read_client(id);
            }
            ConnectionKind::Server { .. } | ConnectionKind::List | ConnectionKind::Vote => {
                drop(state);
                self.read_answer(id, false);
            }
            ConnectionKind::Watch(_) | ConnectionKind::EventStream(_) => {
                drop(state);
                self.read_stream(id);
            }
        }
    }

    /// The peer has closed a connection.
    fn closed(&mut self, id: ConnectionId) {
        let expects_answer = |kind: &ConnectionKind| {
            matches!(kind, ConnectionKind::Server { .. } | ConnectionKind::List | ConnectionKind::Vote)
        };
        let has_partial_answer = |connection: &ConnectionState| {
            expects_answer(&connection.kind) && !connection.buffer.is_empty() && !connection.write_pending
        };
        let has_partial_answer = self.state().connections.get(&id).map(has_partial_answer);
        let Some(has_partial_answer) = has_partial_answer else { return self.session_connection_ended(id) };
        // An answer without a length ends with its connection.
        if has_partial_answer && self.read_answer(id, true) {
            return;
        }
        let write_pending =
            self.state().connections.get(&id).is_some_and(|connection| connection.write_pending);
        let reason =
            if write_pending && !id.is_client() { CloseReason::NoConnect } else { CloseReason::Broke };
        self.connection_failed(id, reason, true);
    }

    /// A connection's deadline has passed.
    fn connection_timed_out(&mut self, id: ConnectionId) {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return };
        let reason = match connection.kind {
            ConnectionKind::Client { last: true, .. } => CloseReason::LastMessage,
            ConnectionKind::Client { .. } if connection.write_pending => CloseReason::Slow,
            ConnectionKind::Client { .. } if !connection.buffer.is_empty() => {
                state.log(format!("client conn={id} answered 408"));
                return state.answer(id, client::status_only(408, true), true);
            }
            ConnectionKind::Client { answered: true, .. } => {
                return state.close_if_idle(id, CloseReason::Idle);
            }
            ConnectionKind::Client { .. } => return state.close_if_idle(id, CloseReason::Mute),
            ConnectionKind::Server { call: None, .. } => CloseReason::Idle,
            ConnectionKind::Server { .. } if connection.write_pending => CloseReason::NoConnect,
            ConnectionKind::Server { .. } if !connection.buffer.is_empty() => CloseReason::Slow,
            _ => CloseReason::Silent,
        };
        drop(state);
        self.connection_failed(id, reason, false);
    }

    /// A connection ends without a complete answer. `closed_by_peer` says that it has ended already;
    /// otherwise it is closed from this side.
    pub(super) fn connection_failed(&mut self, id: ConnectionId, reason: CloseReason, closed_by_peer: bool) {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return };
        let write_pending = connection.write_pending;
        let reason = match connection.kind {
            _ if closed_by_peer && connection.closing.is_some() => connection.closing.unwrap_or(reason),
            ConnectionKind::Client { request: Some(_), .. } if closed_by_peer => CloseReason::ClientLeft,
            ConnectionKind::Client { .. } | ConnectionKind::Server { call: None, .. } if closed_by_peer => {
                CloseReason::PeerClosed
            }
            _ => reason,
        };
        let removed =
            if closed_by_peer { state.remove_connection(id, reason) } else { state.close(id, reason) };
        let Some(connection) = removed else { return };
        let now = state.now;
        match connection.kind {
            ConnectionKind::Client { request: Some(request), .. } => {
                if let Some(request) = state.requests.get_mut(&request) {
                    request.client = None;
                }
                drop(state);
                self.decisions.client_disconnected(request);
                self.state().remove_if_finished(request);
            }
            ConnectionKind::Server { server, call: Some(call), .. } => {
                // A request can't have been executed before its last byte was written; after that it may have
                // been.
                let outcome =
                    if write_pending { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Reset };
                match call {
                    ServerCall::Attempt(request, attempt) => {
                        state.end_attempt(request, attempt, outcome, Vec::new());
                    }
                    ServerCall::Probe(sent_at) => {
                        state.pending_reports.push_back(Report::Probe(
                            server,
                            outcome,
                            now - sent_at,
                            vec![],
                        ));
                    }
                }
            }
            ConnectionKind::List | ConnectionKind::Watch(_) => {
                state.pending_reports.push_back(Report::ListFailed);
            }
            ConnectionKind::Vote => {
                let result = if write_pending { VoteResult::Error } else { VoteResult::Unknown };
                state.pending_reports.push_back(Report::Vote(result));
            }
            ConnectionKind::EventStream(_) => state.retry_event_stream_later(),
            ConnectionKind::Client { request: None, .. } | ConnectionKind::Server { call: None, .. } => {}
        }
    }

    // ---- clients ----

    /// Handles the messages of a client that has no open request and has read its last answer.
    fn read_client(&mut self, id: ConnectionId) {
        loop {
            let mut state = self.state();
            let now = state.now;
            let Some(connection) = state.connections.get(&id) else { return };
            let ConnectionKind::Client { request: None, last: false, surplus, .. } = connection.kind else {
                return;
            };
            if connection.write_pending {
                return;
            }
            let waited = now - connection.last_received_at;
            let message = match http::parse_request(connection.buffer.data()) {
                Ok(Some((message, used))) => {
                    state.consume(id, used);
                    message
                }
                Ok(None) if connection.buffer.data().len() < MAX_UNREAD_BYTES => {
                    return state.await_client_message(id);
                }
                Ok(None) => return state.answer(id, client::status_only(413, true), true),
                Err(fault) => {
                    // The connection ends: where its next message begins is unknown.
                    state.log(format!("client conn={id} unreadable: {fault:?}"));
                    let status = client::status_of_fault(fault);
                    return state.answer(id, client::status_only(status, true), true);
                }
            };
            let last = !message.keep_alive || state.stopping || surplus;
            let upgrades = state.session_table.as_ref().and_then(|table| table.settings.as_ref());
            match client::classify(message, &state.profiles, waited, upgrades) {
                ClientMessage::HealthCheck => {
                    let status = if state.stopping || state.servers.is_empty() { 503 } else { 200 };
                    state.answer(id, client::status_only(status, last), last);
                }
                ClientMessage::Invalid(status) => {
                    state.log(format!("client conn={id} answered {status}"));
                    state.answer(id, client::status_only(status, last), last);
                }
                ClientMessage::UpgradeRefused(refusal) => {
                    state.log(format!("client conn={id} upgrade refused: {refusal:?}"));
                    state.answer(id, client::upgrade_refused(refusal, last), last);
                }
                ClientMessage::Request { request, .. } if state.is_open(&request.id) => {
                    // With the same id twice, an answer or an attempt could be taken for the other request's.
                    state.log(format!("client conn={id} answered 400: its id is open already"));
                    state.answer(id, client::status_only(400, true), true);
                }
                ClientMessage::Request { .. }
                    if surplus || state.requests.len() >= state.max_open_requests =>
                {
                    state.count_refusal(if surplus { Cause::Descriptors } else { Cause::MaxOpen });
                    state.answer(id, client::rejected(None, last), last);
                }
                ClientMessage::Request { arrival, mut request } => {
                    let session = match state.admit_upgrade(id, &arrival, &mut request) {
                        Ok(session) => session,
                        Err(UpgradeRejected { retry_after }) => {
                            state.count_refusal(Cause::Session);
                            state.answer(id, client::rejected(Some(retry_after), last), last);
                            continue;
                        }
                    };
                    if session.is_some() {
                        // An opening that it replaces is abandoned before its first attempt is sent.
                        drop(state);
                        self.run_sessions();
                        state = self.state();
                    }
                    let deadline = state.answer_deadline(arrival.time_left);
                    let open_request =
                        OpenRequest { client: Some(id), request, deadline, attempts: Vec::new() };
                    let number = state.add_request(open_request);
                    session.into_iter().for_each(|session| state.add_session(session, number));
                    if let Some(ConnectionState {
                        kind: ConnectionKind::Client { request, last: is_last, .. },
                        ..
                    }) = state.connections.get_mut(&id)
                    {
                        (*request, *is_last) = (Some(number), last);
                    }
                    state.set_deadline(id, None);
                    drop(state);
                    self.decisions.request_arrived(number, arrival);
                    self.state().remove_if_finished(number);
                }
            }
        }
    }

    // ---- answers to the gateway's own requests ----

    /// Reads the answer on a connection. True if it was complete, or can't be read; false if more of it is to
    /// come.
    fn read_answer(&mut self, id: ConnectionId, ended: bool) -> bool {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return true };
        let is_server = matches!(connection.kind, ConnectionKind::Server { .. });
        let is_idle = matches!(connection.kind, ConnectionKind::Server { call: None, .. });
        // Bytes that arrived before the attempt was completely written are not its answer, but belong to an
        // earlier one and arrived late. The drawback: if the system clock is set forward, the running
        // attempts fail.
        let is_unasked =
            is_idle || connection.write_pending || connection.last_received_at < connection.last_request_at;
        if is_server && is_unasked {
            if let Some(connection) = state.connections.get_mut(&id) {
                connection.write_pending = false;
            }
            drop(state);
            self.connection_failed(id, CloseReason::Unasked, ended);
            return true;
        }
        if let ConnectionKind::Server { call: Some(ServerCall::Attempt(request, _)), .. } = connection.kind
            && state.is_upgrade(request)
            && let Ok(Some((answer, used))) = http::parse_switching_protocols(connection.buffer.data())
        {
            drop(state);
            self.open_session(id, &answer, used, ended);
            return true;
        }
        match http::parse_answer(connection.buffer.data(), ended) {
            Ok(None) if connection.buffer.data().len() < MAX_UNREAD_BYTES => {
                if is_server {
                    // An answer that never becomes complete is recognized while its request may still be
                    // retried. The drawback: an answer that is written this slowly is lost.
                    let deadline = state.now + ANSWER_REST_TIMEOUT;
                    let deadline = connection.deadline.map_or(deadline, |earlier| earlier.min(deadline));
                    state.set_deadline(id, Some(deadline));
                }
                false
            }
            Ok(Some((message, used))) => {
                state.consume(id, used);
                drop(state);
                self.handle_answer(id, message, ended);
                true
            }
            fault => {
                drop(state);
                let reason = fault.err().map_or(CloseReason::TooLarge, CloseReason::from);
                self.connection_failed(id, reason, ended);
                true
            }
        }
    }

    /// Handles a complete answer to an attempt, a probe, a vote or a call for the list.
    fn handle_answer(&mut self, id: ConnectionId, answer: Message, ended: bool) {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return };
        match connection.kind {
            ConnectionKind::Server { server, call: Some(call), .. } => {
                drop(state);
                self.handle_server_answer(id, server, call, &answer, ended);
            }
            ConnectionKind::Vote => {
                let (result, status) = platform::vote_result(&answer);
                state.log(format!("vote taken: {result:?}"));
                state.close(id, CloseReason::LastMessage);
                drop(state);
                if let Some(status) = status {
                    self.rollout_status_received(status);
                }
                self.decisions.vote_answered(result);
            }
            ConnectionKind::List if answer.status == 200 => {
                let list = discovery::parse_list(&answer.body, &state.known_names);
                drop(state);
                match list {
                    Ok(list) => {
                        self.state().close(id, CloseReason::LastMessage);
                        self.list_received(list);
                    }
                    Err(fault) => {
                        self.state().log(format!("list unreadable: {fault}"));
                        self.connection_failed(id, CloseReason::Malformed, false);
                    }
                }
            }
            ConnectionKind::List => {
                drop(state);
                self.connection_failed(id, CloseReason::Refused, false);
            }
            _ => {}
        }
    }

    fn handle_server_answer(
        &mut self, id: ConnectionId, server: ServerId, call: ServerCall, answer: &Message, ended: bool,
    ) {
        let mut state = self.state();
        let now = state.now;
        let mut outcome = instance::attempt_outcome(answer);
        let load = instance::load_report(answer, &state.load_fields);
        match call {
            ServerCall::Probe(sent_at) => {
                state.pending_reports.push_back(Report::Probe(server, outcome, now - sent_at, load));
            }
            ServerCall::Attempt(request, attempt) => {
                if outcome == AttemptOutcome::Succeeded && state.is_upgrade(request) {
                    // The server executed the request, but did not open a session.
                    outcome = AttemptOutcome::Error;
                }
                if outcome == AttemptOutcome::Succeeded {
                    state.answer_request(request, |last| client::finished(&answer.body, last));
                }
                state.end_attempt(request, attempt, outcome, load);
            }
        }
        state.release_server_connection(id, answer.keep_alive && !ended);
    }

    fn list_received(&mut self, list: List) {
        let whole = list.whole;
        let servers = self.state().apply_list(list);
        match servers {
            Some(servers) if whole => self.decisions.server_list_replaced(servers),
            Some(servers) => self.decisions.server_list_updated(servers),
            None => {}
        }
    }

    // ---- streams ----

    /// Reads the stream of the list's changes, or of the platform's events.
    fn read_stream(&mut self, id: ConnectionId) {
        let mut state = self.state();
        let Some(connection) = state.connections.get_mut(&id) else { return };
        let (ConnectionKind::Watch(stream) | ConnectionKind::EventStream(stream)) = &mut connection.kind
        else {
            return;
        };
        let fed = stream.feed(connection.buffer.data());
        let text = std::mem::take(&mut stream.text);
        let is_watch = matches!(connection.kind, ConnectionKind::Watch(_));
        match fed {
            Ok(used) => state.consume(id, used),
            Err(end) => {
                drop(state);
                let reason = match end {
                    StreamEnd::Refused => CloseReason::Refused,
                    StreamEnd::LastChunk => CloseReason::LastMessage,
                    StreamEnd::Fault(fault) => fault.into(),
                };
                return self.connection_failed(id, reason, false);
            }
        }
        let deadline = if is_watch { state.list_deadline() } else { state.event_stream_deadline() };
        state.set_deadline(id, Some(deadline));
        drop(state);
        let rest = if is_watch { self.read_list_changes(id, text) } else { self.read_events(id, text) };
        let mut state = self.state();
        if let Some(ConnectionKind::Watch(stream) | ConnectionKind::EventStream(stream)) =
            state.connections.get_mut(&id).map(|connection| &mut connection.kind)
        {
            stream.text = rest;
        }
    }

    /// Applies the complete lines of the list's changes; returns the incomplete line at the end.
    fn read_list_changes(&mut self, id: ConnectionId, mut text: Vec<u8>) -> Vec<u8> {
        while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            let list = discovery::parse_list(&line, &self.state().known_names);
            match list {
                Ok(list) => self.list_received(list),
                Err(fault) => {
                    self.state().log(format!("list unreadable: {fault}"));
                    self.connection_failed(id, CloseReason::Malformed, false);
                    return Vec::new();
                }
            }
        }
        text
    }

    /// Handles the complete events of the platform; returns the incomplete event at the end. A stream with an
    /// unreadable event is closed: the event would not be sent again, whereas a new stream begins with the
    /// platform's state.
    fn read_events(&mut self, id: ConnectionId, mut text: Vec<u8>) -> Vec<u8> {
        for event in platform::take_events(&mut text) {
            match event {
                StreamEvent::RolloutStatus(status) => self.rollout_status_received(status),
                StreamEvent::KeepAlive => {}
                StreamEvent::UnknownKind(text) => {
                    self.state().log(format!("notice left out: {text:?}"));
                }
                StreamEvent::Unreadable(text) => {
                    self.state().log(format!("notice unreadable: {text:?}"));
                    self.connection_failed(id, CloseReason::Malformed, false);
                    return Vec::new();
                }
            }
            self.state().reset_event_stream_backoff();
        }
        text
    }
}

/// Whether the process may exit after the signal to stop: the listener is closed, all requests are answered,
/// all answers are written, and no session is left.
fn is_stop_complete(state: &GatewayState) -> bool {
    let is_answered = || state.requests.values().all(|request| request.client.is_none());
    let is_written =
        || !state.connections.iter().any(|(id, connection)| id.is_client() && connection.write_pending);
    state.stopping && !state.listening && is_answered() && !state.has_sessions() && is_written()
}

/// Closes the clients' idle connections. A client whose message crosses the close sends it once more.
fn close_idle_clients(state: &mut GatewayState) {
    let idle = state.connections.iter().filter(|(_, connection)| connection.is_idle_client());
    for id in idle.map(|(id, _)| *id).collect::<Vec<_>>() {
        state.close_if_idle(id, CloseReason::Stopping);
    }
}
