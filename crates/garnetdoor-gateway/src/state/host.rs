//! The decisions' host: what they ask for is applied to the gateway's state at once, and what must happen
//! outside becomes an effect.

use std::cell::RefCell;
use std::rc::Rc;

use garnetdoor::host::{
    AttemptNo, AttemptOutcome, BuildNo, GatewayId, Host, Micros, Refusal, RequestId, ServerId, StageNo,
    TimerKind, Vote, VoteResult,
};

use super::connections::{ConnectionKind, ServerCall};
use super::gateway_state::{GatewayState, Report};
use super::request::Attempt;
use super::timers::Timer;
use crate::event::{CloseReason, Effect};
use crate::lifecycle::listen::MAX_DATAGRAM_BYTES;
use crate::wire::http::ChunkedStream;
use crate::wire::{client, discovery, instance, platform};

/// Vote calls that may be open at one time, of the 32 connections that the platform accepts.
const MAX_VOTE_CALLS: usize = 16;

/// The gateway's state, shared between the reducer and the decisions.
#[derive(Clone)]
pub struct SharedState(pub Rc<RefCell<GatewayState>>);

impl Host for SharedState {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn send_attempt(&mut self, id: RequestId, server: ServerId, until: Option<Micros>) {
        let state = &mut *self.0.borrow_mut();
        let now = state.now;
        let Some(request) = state.requests.get_mut(&id) else { return };
        let attempt = AttemptNo(request.attempts.len() as u32);
        let deadline = until.unwrap_or(request.deadline).min(request.deadline);
        let is_allowed =
            request.client.is_some() && now < deadline && request.attempts.len() < state.max_attempts;
        request.attempts.push(Attempt {
            server,
            sent_at: now,
            connection: None,
            timeout: None,
            ended: false,
        });
        let address = state.servers.get(&server).map(|listed| listed.process.address).filter(|_| is_allowed);
        let message =
            address.map(|address| instance::attempt_request(&request.request, address, deadline - now));
        let Some(message) = message else {
            return state.end_attempt(id, attempt, AttemptOutcome::NeverSent, Vec::new());
        };
        state.session_attempt_sent(id, server);
        state.send_to_server(server, ServerCall::Attempt(id, attempt), message, deadline);
        if state.running_attempt(id, attempt).is_some() {
            let timeout = Some(state.timers.set(deadline, Timer::Attempt(id, attempt)));
            state.running_attempt(id, attempt).into_iter().for_each(|attempt| attempt.timeout = timeout);
        }
    }

    fn has_capacity(&self, request: RequestId, server: ServerId, build: BuildNo) -> bool {
        self.0.borrow().has_room_for_session(request, server, build)
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: AttemptNo) {
        self.0.borrow_mut().abandon_attempt(id, attempt, AttemptOutcome::Cancelled, CloseReason::Stopped);
    }

    fn reject(&mut self, id: RequestId, retry_after: Option<Micros>) {
        self.0.borrow_mut().respond_to_request(id, |last| client::rejected(retry_after, last));
    }

    fn fail(&mut self, id: RequestId) {
        self.0.borrow_mut().respond_to_request(id, client::failed);
    }

    fn cast_vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote) {
        let state = &mut *self.0.borrow_mut();
        let is_vote = |kind: &ConnectionKind| matches!(kind, ConnectionKind::Vote);
        let calls = state.connections.values().filter(|connection| is_vote(&connection.kind)).count();
        let message = platform::vote_request(state.platform, build, stage, vote);
        let deadline = state.now + state.vote_timeout;
        state.log(format!("vote build={} stage={} {vote:?}", build.0, stage.0));
        if calls >= MAX_VOTE_CALLS
            || state.dial(state.platform, ConnectionKind::Vote, message, deadline).is_none()
        {
            state.pending_reports.push_back(Report::Vote(VoteResult::Error));
        }
    }

    fn set_timer(&mut self, at: Micros, kind: TimerKind) {
        self.0.borrow_mut().timers.set(at, Timer::Decisions(kind));
    }

    fn probe(&mut self, server: ServerId) {
        let state = &mut *self.0.borrow_mut();
        let now = state.now;
        let address = state.servers.get(&server).map(|listed| listed.process.address);
        let deadline = now + state.dial_timeout;
        match address {
            Some(address) => {
                let message = instance::probe_request(address);
                state.send_to_server(server, ServerCall::Probe(now), message, deadline);
            }
            None => {
                state.pending_reports.push_back(Report::Probe(
                    server,
                    AttemptOutcome::NeverSent,
                    0,
                    Vec::new(),
                ));
            }
        }
    }

    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        let state = &mut *self.0.borrow_mut();
        let address = match to {
            Some(peer) => state.peers.get(peer.0).copied(),
            None => state.peer_broadcast,
        };
        if let Some(address) = address.filter(|_| bytes.len() <= MAX_DATAGRAM_BYTES) {
            state.effects.push(Effect::Datagram(address, bytes.to_vec()));
        }
    }

    fn fetch_server_list(&mut self) {
        let state = &mut *self.0.borrow_mut();
        let message = discovery::list_request(state.discovery);
        let deadline = state.list_deadline();
        if state.dial(state.discovery, ConnectionKind::List, message, deadline).is_none() {
            state.pending_reports.push_back(Report::ListFailed);
        }
    }

    fn watch_server_list(&mut self, on: bool) {
        let state = &mut *self.0.borrow_mut();
        state.follows_list = on;
        match (on, state.watch) {
            (true, None) => {
                let message = discovery::watch_request(state.discovery, state.list_version);
                let deadline = state.list_deadline();
                let kind = ConnectionKind::Watch(ChunkedStream::default());
                state.watch = state.dial(state.discovery, kind, message, deadline);
                if state.watch.is_none() {
                    state.pending_reports.push_back(Report::ListFailed);
                }
            }
            (false, Some(watch)) => drop(state.close(watch, CloseReason::Asked)),
            _ => {}
        }
    }

    fn close_idle_connections(&mut self, server: ServerId) {
        self.0.borrow_mut().close_idle_connections(server, CloseReason::Asked);
    }

    fn request_refused(&mut self, _: RequestId, why: Refusal) {
        self.0.borrow_mut().count_decided_refusal(why);
    }

    fn log(&mut self, text: &str) {
        self.0.borrow_mut().log(text.to_owned());
    }
}
