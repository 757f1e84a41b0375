//! Events of connections: established, read, written, closed or timed out.

use garnetdoor::host::{AttemptOutcome, Condition, Micros, VoteResult};

use super::Reducer;
use crate::event::{CloseReason, ConnectionId};
use crate::state::connections::{ConnectionKind, ConnectionState, ServerCall};
use crate::state::gateway_state::Report;
use crate::state::servers::ListedServer;
use crate::wire::client;

impl Reducer {
    pub(super) fn connected(&mut self, id: ConnectionId) {
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

    pub(super) fn written(&mut self, id: ConnectionId) {
        let mut state = self.state();
        let now = state.now;
        let Some(connection) = state.connections.get_mut(&id) else { return };
        (connection.write_pending, connection.idle_since) = (false, now);
        if let ConnectionKind::Client { request: None, last_message_read: false, .. } = connection.kind {
            drop(state);
            self.read_client(id);
            self.state().shed_idle_clients();
        }
    }

    pub(super) fn received(&mut self, id: ConnectionId, arrived_at: Micros, bytes: &[u8]) {
        let mut state = self.state();
        let Some(connection) = state.connections.get_mut(&id) else {
            drop(state);
            return self.session_bytes_received(id, bytes);
        };
        connection.buffer.push(bytes);
        (connection.last_received_at, connection.closing) = (arrived_at, None);
        match connection.kind {
            ConnectionKind::Client { last_message_read: true, .. } => state.consume(id, bytes.len()),
            ConnectionKind::Client { .. } => {
                drop(state);
                self.read_client(id);
            }
            ConnectionKind::Server { .. } | ConnectionKind::List | ConnectionKind::Vote => {
                drop(state);
                self.read_response(id, false);
            }
            ConnectionKind::Watch(_) | ConnectionKind::EventStream(_) => {
                drop(state);
                self.read_stream(id);
            }
        }
    }

    /// The peer has closed a connection.
    pub(super) fn closed(&mut self, id: ConnectionId) {
        let expects_response = |kind: &ConnectionKind| {
            matches!(kind, ConnectionKind::Server { .. } | ConnectionKind::List | ConnectionKind::Vote)
        };
        let has_partial_response = |connection: &ConnectionState| {
            expects_response(&connection.kind) && !connection.buffer.is_empty() && !connection.write_pending
        };
        let has_partial_response = self.state().connections.get(&id).map(has_partial_response);
        let Some(has_partial_response) = has_partial_response else {
            return self.session_connection_ended(id);
        };
        // A response without a length ends with its connection.
        if has_partial_response && self.read_response(id, true) {
            return;
        }
        let write_pending =
            self.state().connections.get(&id).is_some_and(|connection| connection.write_pending);
        let reason =
            if write_pending && !id.is_client() { CloseReason::NoConnect } else { CloseReason::Broke };
        self.connection_failed(id, reason, true);
    }

    /// A connection's deadline has passed.
    pub(super) fn connection_timed_out(&mut self, id: ConnectionId) {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return };
        let reason = match connection.kind {
            ConnectionKind::Client { last_message_read: true, .. } => CloseReason::LastMessage,
            ConnectionKind::Client { .. } if connection.write_pending => CloseReason::Slow,
            ConnectionKind::Client { .. } if !connection.buffer.is_empty() => {
                state.log(format!("client conn={id} answered 408"));
                return state.respond(id, client::status_only(408, true), true);
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

    /// A connection ends without a complete response. `closed_by_peer` says that it has ended already;
    /// otherwise it is closed from this side.
    pub(in crate::state) fn connection_failed(
        &mut self, id: ConnectionId, reason: CloseReason, closed_by_peer: bool,
    ) {
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
}
