//! Messages of clients: health checks, requests and upgrades.

use garnetdoor::host::Arrival;

use super::Reducer;
use crate::event::ConnectionId;
use crate::state::connections::{ConnectionKind, ConnectionState};
use crate::state::refusals::Cause;
use crate::state::request::OpenRequest;
use crate::state::sessions::UpgradeRejected;
use crate::wire::client::{self, ClientMessage, ForwardedRequest};
use crate::wire::http::{self, MAX_UNREAD_BYTES};

impl Reducer {
    /// Handles the messages of a client that has no open request and has read its last response.
    pub(super) fn read_client(&mut self, id: ConnectionId) {
        while self.read_client_message(id) {}
    }

    /// Handles the next message of a client. False if there is no complete message that may be handled now.
    fn read_client_message(&mut self, id: ConnectionId) -> bool {
        let mut state = self.state();
        let now = state.now;
        let Some(connection) = state.connections.get(&id) else { return false };
        let ConnectionKind::Client { request: None, last_message_read: false, surplus, .. } = connection.kind
        else {
            return false;
        };
        if connection.write_pending {
            return false;
        }
        let waited = now - connection.last_received_at;
        let message = match http::parse_request(connection.buffer.data()) {
            Ok(Some((message, used))) => {
                state.consume(id, used);
                message
            }
            Ok(None) if connection.buffer.data().len() < MAX_UNREAD_BYTES => {
                state.await_client_message(id);
                return false;
            }
            Ok(None) => {
                state.respond(id, client::status_only(413, true), true);
                return false;
            }
            Err(fault) => {
                // The connection ends: where its next message begins is unknown.
                state.log(format!("client conn={id} unreadable: {fault:?}"));
                let status = client::status_of_fault(fault);
                state.respond(id, client::status_only(status, true), true);
                return false;
            }
        };
        let last = !message.keep_alive || state.stopping || surplus;
        let upgrades = state.session_table.as_ref().and_then(|table| table.settings.as_ref());
        match client::classify(message, &state.profiles, waited, upgrades) {
            ClientMessage::HealthCheck => {
                let status = if state.stopping || state.servers.is_empty() { 503 } else { 200 };
                state.respond(id, client::status_only(status, last), last);
            }
            ClientMessage::Invalid(status) => {
                state.log(format!("client conn={id} answered {status}"));
                state.respond(id, client::status_only(status, last), last);
            }
            ClientMessage::UpgradeRefused(refusal) => {
                state.log(format!("client conn={id} upgrade refused: {refusal:?}"));
                state.respond(id, client::upgrade_refused(refusal, last), last);
            }
            ClientMessage::Request { request, .. } if state.is_open(&request.id) => {
                // With the same id twice, a response or an attempt could be taken for the other request's.
                state.log(format!("client conn={id} answered 400: its id is open already"));
                state.respond(id, client::status_only(400, true), true);
            }
            ClientMessage::Request { .. } if surplus || state.requests.len() >= state.max_open_requests => {
                state.count_refusal(if surplus { Cause::Descriptors } else { Cause::MaxOpen });
                state.respond(id, client::rejected(None, last), last);
            }
            ClientMessage::Request { arrival, request } => {
                drop(state);
                self.open_request(id, arrival, request, last);
            }
        }
        true
    }

    /// Opens a client's request and passes it to the decisions, unless it is an upgrade that is not admitted.
    /// `last` says that it is the last one on its connection.
    fn open_request(
        &mut self, id: ConnectionId, arrival: Arrival, mut request: ForwardedRequest, last: bool,
    ) {
        let mut state = self.state();
        let session = match state.admit_upgrade(id, &arrival, &mut request) {
            Ok(session) => session,
            Err(UpgradeRejected { retry_after }) => {
                state.count_refusal(Cause::Session);
                return state.respond(id, client::rejected(Some(retry_after), last), last);
            }
        };
        if session.is_some() {
            // An opening that it replaces is abandoned before its first attempt is sent.
            drop(state);
            self.run_sessions();
            state = self.state();
        }
        let deadline = state.response_deadline(arrival.time_left);
        let open_request = OpenRequest { client: Some(id), request, deadline, attempts: Vec::new() };
        let number = state.add_request(open_request);
        session.into_iter().for_each(|session| state.add_session(session, number));
        if let Some(ConnectionState {
            kind: ConnectionKind::Client { request, last_message_read, .. }, ..
        }) = state.connections.get_mut(&id)
        {
            (*request, *last_message_read) = (Some(number), last);
        }
        state.set_deadline(id, None);
        drop(state);
        self.decisions.request_arrived(number, arrival);
        self.state().remove_if_finished(number);
    }
}
