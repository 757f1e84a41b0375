//! Upgrades: whether they are accepted, and their way to an open session.

use std::collections::BTreeSet;

use garnetdoor::host::{BuildNo, Condition, Micros, ServerId};

use super::{ScopedKey, Session, Sessions, Stage, close_code};
use crate::end_reason::EndReason;
use crate::share::{self, ShareEnforcement};
use crate::types::{Action, Admission, Repeatability, SessionId, UpgradeRequest};

/// Takeovers that are remembered at most, for [`EndReason::KeyContested`].
const MAX_RECENT_TAKEOVERS: usize = 10_000;

impl Sessions {
    /// Decides on an upgrade. Of two sessions with the same key the newer one takes the older one's place: a client that
    /// opens a session again knows that its last one is of no use, though that may look alive here for long.
    pub fn request_upgrade(&mut self, now: Micros, request: UpgradeRequest) -> Admission {
        let key = request.key.clone().map(|key| (request.party.clone(), request.profile, key));
        let older = key.as_ref().and_then(|key| self.key_holders.get(key)).copied();
        if let Some(reason) = self.rejection_reason(now, &request, key.as_ref(), older) {
            return Admission::Rejected { reason, retry_after: self.draw_retry_after() };
        }
        if let (Some(older), Some(key)) = (older, &key) {
            self.replace(now, older);
            self.recent_takeovers.push_back((now, key.clone()));
            if self.recent_takeovers.len() > MAX_RECENT_TAKEOVERS {
                self.recent_takeovers.pop_front();
            }
        }
        let id = SessionId(self.next_id);
        self.next_id += 1;
        if let Some(key) = key {
            self.key_holders.insert(key, id);
        }
        *self.party_counts.entry(request.party.clone()).or_default() += 1;
        let session = Session {
            request,
            stage: Stage::Opening(None),
            server: ServerId::default(),
            build: BuildNo::default(),
            opened: now,
            end_reason: None,
            scheduled_close: None,
            disconnected: [false; 2],
            last_ping: [0; 2],
            outcome_recorded: false,
        };
        self.sessions.insert(id, session);
        Admission::Accepted(id)
    }

    /// Why an upgrade is rejected, if it is. One that takes the place of the session `older`, which holds its key, is
    /// not checked against the limits, since it adds no session.
    fn rejection_reason(
        &mut self, now: Micros, request: &UpgradeRequest, key: Option<&ScopedKey>, older: Option<SessionId>,
    ) -> Option<EndReason> {
        let of_party = self.party_counts.get(&request.party).copied().unwrap_or(0);
        let older = older.and_then(|id| self.sessions.get(&id));
        while self.recent_takeovers.front().is_some_and(|(at, _)| now - at >= self.limits.takeover_cooldown) {
            self.recent_takeovers.pop_front();
        }
        if self.stopping {
            Some(EndReason::Stopping)
        } else if let Some(older) = older {
            // An upgrade that may have run must not run again under another request's id.
            let attempt_out = matches!(older.stage, Stage::Opening(Some(_)));
            let not_repeatable = request.repeatability == Repeatability::NotRepeatable
                || older.request.repeatability == Repeatability::NotRepeatable;
            // Two clients of one party that use the same key would otherwise replace each other's sessions as fast as
            // they can reconnect. The cost: a client that reconnects twice within the cooldown has to wait for it.
            let contested =
                key.is_some_and(|key| self.recent_takeovers.iter().any(|(_, other)| other == key));
            (attempt_out && not_repeatable)
                .then_some(EndReason::KeyOpening)
                .or(contested.then_some(EndReason::KeyContested))
        } else if self.sessions.len() >= self.limits.max_sessions {
            Some(EndReason::TooManySessions)
        } else {
            (of_party >= self.limits.max_per_party).then_some(EndReason::TooManyForParty)
        }
    }

    /// Ends a session whose key another upgrade takes over.
    fn replace(&mut self, now: Micros, older: SessionId) {
        match self.sessions.get(&older).map(|session| session.stage) {
            Some(Stage::Opening(_)) => {
                let retry_after = self.draw_retry_after();
                self.actions.push(Action::AbandonOpening { session: older, retry_after });
                self.opening_failed(now, older);
            }
            // Aborted without a closing handshake: the server must not see both sessions at once, and the client has
            // most likely lost the old connection.
            Some(Stage::Open | Stage::Closing(_)) => {
                self.abort(now, older, EndReason::Replaced, close_code::NORMAL);
            }
            None => {}
        }
    }

    /// Whether the limit on the server and the share of its build allow one more session there. Attempts that are out
    /// count as open sessions.
    pub fn has_room(&self, server: ServerId, build: BuildNo) -> bool {
        let on_server = self.by_server.get(&server).map_or(0, BTreeSet::len);
        let share =
            self.build_shares.get(&build).filter(|_| self.enforcement != ShareEnforcement::Unenforced);
        let opening = self.opening_counts.get(&build).copied().unwrap_or(0);
        let (on_build, total) = self.open_counts(build);
        on_server < self.limits.max_per_server
            && share.is_none_or(|share| share::may_open(*share, on_build + opening, total))
    }

    /// An attempt to open the session has been sent to a server; an earlier attempt no longer counts.
    pub fn attempt_sent(&mut self, id: SessionId, server: ServerId, build: BuildNo) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Opening(earlier) = session.stage else { return };
        session.stage = Stage::Opening(Some((server, build)));
        self.forget_attempt(id, earlier);
        self.by_server.entry(server).or_default().insert(id);
        *self.opening_counts.entry(build).or_default() += 1;
    }

    /// Takes an attempt off the counts of its server and build.
    pub(super) fn forget_attempt(&mut self, id: SessionId, attempt: Option<(ServerId, BuildNo)>) {
        let Some((server, build)) = attempt else { return };
        self.remove_from_server(id, server);
        if let Some(count) = self.opening_counts.get_mut(&build) {
            *count -= 1;
            if *count == 0 {
                self.opening_counts.remove(&build);
            }
        }
    }

    pub(super) fn remove_from_server(&mut self, id: SessionId, server: ServerId) {
        if let Some(sessions) = self.by_server.get_mut(&server) {
            sessions.remove(&id);
            if sessions.is_empty() {
                self.by_server.remove(&server);
            }
        }
    }

    /// The session is open: the server's 101 response is complete and valid, and the client's is being sent. `listed` is
    /// the server's condition in the service list now.
    pub fn opened(
        &mut self, now: Micros, id: SessionId, server: ServerId, build: BuildNo, listed: Condition,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Opening(attempt) = session.stage else { return };
        (session.stage, session.server, session.build, session.opened) = (Stage::Open, server, build, now);
        self.forget_attempt(id, attempt);
        self.by_server.entry(server).or_default().insert(id);
        self.open_by_build.entry(build).or_default().insert(id);
        self.open_count += 1;
        self.settle_deadlines.push_back((now + self.limits.settle_time, id));
        match listed {
            Condition::Healthy => {}
            // The server began to drain while the attempt was out: the session is closed among the others there.
            Condition::Draining => {
                let delay = self.draw_between(0, self.limits.drain_period);
                self.schedule_close(id, now + delay, EndReason::Drain);
            }
            Condition::Gone => self.abort(now, id, EndReason::ServerGone, close_code::SERVICE_RESTART),
        }
        self.enforce_shares(now);
    }

    /// The upgrade's request is over without a session.
    pub fn opening_failed(&mut self, now: Micros, id: SessionId) {
        if self.sessions.get(&id).is_some_and(|session| matches!(session.stage, Stage::Opening(_))) {
            self.remove(now, id);
        }
    }
}
