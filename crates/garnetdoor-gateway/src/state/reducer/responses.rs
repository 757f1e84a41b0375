//! Responses to the gateway's own requests: attempts and probes at servers, votes, and calls for the list.

use garnetdoor::host::{AttemptOutcome, Micros, ServerId};

use super::Reducer;
use crate::event::{CloseReason, ConnectionId};
use crate::state::connections::{ConnectionKind, ServerCall};
use crate::state::gateway_state::{MS, Report};
use crate::wire::http::{self, MAX_UNREAD_BYTES, Message};
use crate::wire::{client, discovery, instance, platform};

/// How long a server may take for the rest of a response of which a part has arrived; servers write a
/// response at once.
const RESPONSE_REST_TIMEOUT: Micros = 250 * MS;

impl Reducer {
    /// Reads the response on a connection. True if it was complete, or can't be read; false if more of it is
    /// to come.
    pub(super) fn read_response(&mut self, id: ConnectionId, ended: bool) -> bool {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return true };
        let is_server = matches!(connection.kind, ConnectionKind::Server { .. });
        let is_idle = matches!(connection.kind, ConnectionKind::Server { call: None, .. });
        // Bytes that arrived before the attempt was completely written are not its response, but belong to an
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
            && let Ok(Some((response, used))) = http::parse_switching_protocols(connection.buffer.data())
        {
            drop(state);
            self.open_session(id, &response, used, ended);
            return true;
        }
        match http::parse_response(connection.buffer.data(), ended) {
            Ok(None) if connection.buffer.data().len() < MAX_UNREAD_BYTES => {
                if is_server {
                    // A response that never becomes complete is recognized while its request may still be
                    // retried. The drawback: a response that is written this slowly is lost.
                    let deadline = state.now + RESPONSE_REST_TIMEOUT;
                    let deadline = connection.deadline.map_or(deadline, |earlier| earlier.min(deadline));
                    state.set_deadline(id, Some(deadline));
                }
                false
            }
            Ok(Some((message, used))) => {
                state.consume(id, used);
                drop(state);
                self.handle_response(id, message, ended);
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

    /// Handles a complete response to an attempt, a probe, a vote or a call for the list.
    fn handle_response(&mut self, id: ConnectionId, response: Message, ended: bool) {
        let mut state = self.state();
        let Some(connection) = state.connections.get(&id) else { return };
        match connection.kind {
            ConnectionKind::Server { server, call: Some(call), .. } => {
                drop(state);
                self.handle_server_response(id, server, call, &response, ended);
            }
            ConnectionKind::Vote => {
                let (result, status) = platform::vote_result(&response);
                state.log(format!("vote taken: {result:?}"));
                state.close(id, CloseReason::LastMessage);
                drop(state);
                if let Some(status) = status {
                    self.rollout_status_received(status);
                }
                self.decisions.vote_answered(result);
            }
            ConnectionKind::List if response.status == 200 => {
                let list = discovery::parse_list(&response.body, &state.known_names);
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

    fn handle_server_response(
        &mut self, id: ConnectionId, server: ServerId, call: ServerCall, response: &Message, ended: bool,
    ) {
        let mut state = self.state();
        let now = state.now;
        let mut outcome = instance::attempt_outcome(response);
        let load = instance::load_report(response, &state.load_fields);
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
                    state.respond_to_request(request, |last| client::finished(&response.body, last));
                }
                state.end_attempt(request, attempt, outcome, load);
            }
        }
        state.release_server_connection(id, response.keep_alive && !ended);
    }
}
