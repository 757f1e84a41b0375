//! Carries out what the sessions ask for, and passes the events of their connections on to them.

use std::collections::BTreeSet;

use garnetdoor::host::{AttemptNo, AttemptOutcome, BuildNo, Condition, Micros, RequestId};
use garnetdoor_sessions::{Action, ConnectionActivity, SessionId, Side, SideEvent};

use super::Reducer;
use crate::event::{CloseReason, ConnectionId, Effect, SessionClose, SessionJoin};
use crate::state::connections::{ConnectionKind, ServerCall};
use crate::state::gateway_state::MS;
use crate::state::refusals::Cause;
use crate::state::timers::Timer;
use crate::wire::client;
use crate::wire::http::Message;

impl Reducer {
    /// Carries out what the sessions ask for, and sets the timers for what is due next.
    pub(super) fn run_sessions(&mut self) {
        if self.state().session_table.is_none() {
            return;
        }
        self.report_shares();
        loop {
            let actions = self
                .state()
                .session_table
                .as_mut()
                .map(|table| table.sessions.take_actions())
                .unwrap_or_default();
            if actions.is_empty() {
                break;
            }
            actions.into_iter().for_each(|action| self.carry_out(action));
        }
        let state = &mut *self.state();
        let Some(table) = &mut state.session_table else { return };
        let due = table.sessions.next_due();
        if table.timer.map(|(at, _)| at) != due {
            if let Some(timer) = table.timer.take() {
                state.timers.cancel(timer);
            }
            table.timer = due.map(|at| state.timers.set(at, Timer::Sessions));
        }
        if !table.sample_timer_set && !table.by_connection.is_empty() {
            table.sample_timer_set = true;
            state
                .timers
                .set(state.now + table.sessions.limits().activity_check_interval(), Timer::SessionSamples);
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
        table.sessions.set_shares(state.now, shares.collect());
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

    fn carry_out(&mut self, action: Action) {
        let mut state = self.state();
        match action {
            Action::AbandonOpening { session, retry_after } => {
                let entry = state.session_table.as_mut().and_then(|table| table.entries.remove(&session));
                drop(state);
                if let Some(entry) = entry {
                    self.abandon_upgrade(entry.request, retry_after);
                }
            }
            Action::Close { session, client_code, server_code, reconnect_after, .. } => {
                let again = reconnect_after.map(|wait| format!("again-in-ms={}", wait / MS));
                let reasons = [again.unwrap_or_default(), String::new()];
                let mask = (state.random.rand_u64() as u32).to_be_bytes();
                let close = SessionClose { codes: [client_code, server_code], reasons, mask };
                state.effects.push(Effect::CloseSession(session, Box::new(close)));
            }
            Action::Abort { session, client_code, .. } => {
                let entry = state.session_table.as_ref().and_then(|table| table.entries.get(&session));
                if let Some(connections) = entry.and_then(|entry| entry.connections) {
                    state.effects.push(Effect::AbortSession(session, client_code, connections));
                    state.release_client_of_aborted(session);
                }
            }
            Action::Ping(session, side) => {
                let mask = (state.random.rand_u64() as u32).to_be_bytes();
                state.effects.push(Effect::Ping(session, side, mask));
            }
            Action::RecordOutcome { server, build, profile, failed } => {
                drop(state);
                self.decisions.session_judged(server, build, profile, failed);
            }
            Action::Ended { session, reason, lifetime } => {
                state.effects.push(Effect::ForgetSession(session));
                let Some(table) = &mut state.session_table else { return };
                let connections = table.entries.remove(&session).and_then(|entry| entry.connections);
                for connection in connections.iter().flatten() {
                    table.by_connection.remove(connection);
                }
                let stood_ms = lifetime / MS;
                state.log(format!("end session={session} code={} stood_ms={stood_ms}", reason.code()));
            }
        }
    }

    /// Abandons an upgrade because another one has replaced it: its client is answered at once, and its
    /// attempts are stopped.
    fn abandon_upgrade(&mut self, request: RequestId, retry_after: Micros) {
        let mut state = self.state();
        state.count_refusal(Cause::Session);
        state.respond_to_request(request, |last| client::rejected(Some(retry_after), last));
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

    /// A server has answered an upgrade with a complete 101 response, which takes `used` of the bytes that
    /// were read. Opens the session, if the response agrees with the offer and the client is still there.
    pub(super) fn open_session(&mut self, id: ConnectionId, response: &Message, used: usize, ended: bool) {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return };
        let ConnectionKind::Server { server, process, call: Some(ServerCall::Attempt(request, attempt)) } =
            connection.kind
        else {
            return;
        };
        let Some(open_request) = state.requests.get(&request) else { return };
        let Some(upgrade) = &open_request.request.upgrade else { return };
        let agreement = match upgrade.offer.check_response(response.fields()) {
            Ok(agreement) if !ended => agreement,
            Ok(_) => {
                drop(state);
                return self.connection_failed(id, CloseReason::Broke, true);
            }
            Err(error) => {
                state.log(format!("server conn={id} answered an upgrade wrongly: {error:?}"));
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
        state.write_to_session(client, agreement.response_head());
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
            compressed: agreement.allows_compression(),
            message_limit: table.message_limit.clone(),
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
                table.sessions.handle_side_event(now, session, SideEvent::Disconnected(side));
                if let Some(other) = other {
                    state.effects.push(Effect::ShutdownWrite(other));
                }
                return;
            }
        }
        table.sessions.handle_side_event(now, session, SideEvent::Disconnected(side));
    }

    /// The relay has seen something that ends or changes a session.
    pub(super) fn session_event(&mut self, session: SessionId, end: SideEvent) {
        let mut state = self.state();
        let now = state.now;
        if let Some(table) = &mut state.session_table {
            table.sessions.handle_side_event(now, session, end);
        }
        if let SideEvent::InvalidFrame(side, code) = end {
            state.log(format!("session={session} bad frame from {side:?}: {code}"));
        }
    }

    /// The activity on the sessions' connections has been sampled.
    pub(super) fn sessions_sampled(&mut self, samples: Vec<(SessionId, ConnectionActivity)>) {
        let mut state = self.state();
        let now = state.now;
        if let Some(table) = &mut state.session_table {
            samples
                .into_iter()
                .for_each(|(session, sample)| table.sessions.observe_activity(now, session, sample));
        }
    }
}
