//! The only place where the gateway's state changes: [`Reducer::reduce`] takes an event, lets the decisions
//! act on it, and returns the effects that are to be carried out outside. It reads no clock and uses no
//! socket.

mod clients;
mod connections;
mod responses;
mod sessions;
mod streams;

use std::cell::{RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;

use garnetdoor::balance::Balancer;
use garnetdoor::host::{AttemptOutcome, Host, Micros, RolloutStatus};
use garnetdoor_operator::OperatorConfig;

use super::connections::ConnectionKind;
use super::gateway_state::{GatewayState, MS, Report};
use super::host::SharedState;
use super::timers::Timer;
use crate::config::Config;
use crate::event::{CloseReason, Effect, Event};
use crate::wire::discovery::{self, List};
use crate::wire::http::Fault;

/// How long new connections are accepted after the signal to stop, since a load balancer in front may still
/// assign some.
const ACCEPT_AFTER_STOP: Micros = 500 * MS;
/// When all open requests are answered after the signal to stop, however long their clients would wait:
/// SIGKILL follows 3.7 s after the signal at the earliest.
const ANSWER_ALL_AFTER_STOP: Micros = 3_500 * MS;
/// When the process exits after the signal to stop, even if something is left to do.
const EXIT_AFTER_STOP: Micros = 3_600 * MS;

impl From<Fault> for CloseReason {
    fn from(fault: Fault) -> CloseReason {
        if fault == Fault::Malformed { CloseReason::Malformed } else { CloseReason::TooLarge }
    }
}

/// The decisions and the gateway's state, which only events change.
pub struct Reducer {
    decisions: Balancer<SharedState>,
    state: Rc<RefCell<GatewayState>>,
    seed: u64,
}

impl Reducer {
    /// Starts the decisions with the configuration and the operator file. If the configuration holds a server
    /// list and the platform's state, the list is applied first.
    pub fn start(now: Micros, config: &Config, operator: &OperatorConfig) -> (Self, Vec<Effect>) {
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

    fn state(&self) -> RefMut<'_, GatewayState> {
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
    fn deliver_reports(&mut self) {
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
    /// at once. A vote whose response is cut off may or may not be counted, and is cast again.
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

    /// Applies a list of servers, or changes to it, and passes it on to the decisions.
    fn list_received(&mut self, list: List) {
        let whole = list.whole;
        let servers = self.state().apply_list(list);
        match servers {
            Some(servers) if whole => self.decisions.server_list_replaced(servers),
            Some(servers) => self.decisions.server_list_updated(servers),
            None => {}
        }
    }
}

/// Whether the process may exit after the signal to stop: the listener is closed, all requests are answered,
/// all responses are written, and no session is left.
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
