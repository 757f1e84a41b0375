//! How sessions end: scheduled closes, the closing handshake with its time-out, and aborts.

use garnetdoor::host::Micros;

use super::{MILLISECOND, Sessions, Stage, close_code};
use crate::end_reason::EndReason;
use crate::share::{self, ShareEnforcement};
use crate::types::{Action, SessionId, UpgradeRequest};

/// Sessions above their build's share are closed over this period. With [`SHARE_CLOSE_TIMEOUT`] all are gone within a
/// second.
const SHARE_CLOSE_SPREAD: Micros = 500 * MILLISECOND;
/// Time that a session above its build's share has to close, including the message under way.
const SHARE_CLOSE_TIMEOUT: Micros = 300 * MILLISECOND;
/// Time that each session has to close when the gateway stops. Added to the spread it ends well within the 3.6 s that
/// the gateway has to stop.
const STOP_CLOSE_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// The longest time that clients of closed sessions are told to wait before they reconnect. Short, since the closes
/// themselves are already spread over time.
const MAX_RECONNECT_DELAY: Micros = 1_000 * MILLISECOND;

impl Sessions {
    /// Closes the sessions whose scheduled close is due.
    pub(super) fn close_due(&mut self, now: Micros) {
        while let Some((at, id)) = self.scheduled_closes.first().copied().filter(|(at, _)| *at <= now) {
            self.scheduled_closes.remove(&(at, id));
            let scheduled = self.sessions.get_mut(&id).and_then(|session| session.scheduled_close.take());
            let Some((_, reason)) = scheduled else { continue };
            let timeout = match reason {
                EndReason::OverShare if !self.exceeds_share(id) => continue,
                EndReason::OverShare => SHARE_CLOSE_TIMEOUT,
                EndReason::Stopping => STOP_CLOSE_TIMEOUT,
                _ => self.limits.close_timeout,
            };
            let client_code = match reason {
                EndReason::Stopping => close_code::GOING_AWAY,
                _ => close_code::SERVICE_RESTART,
            };
            self.close(now, id, reason, (client_code, close_code::GOING_AWAY), timeout);
        }
    }

    /// Aborts the sessions that did not close in time.
    pub(super) fn abort_due(&mut self, now: Micros) {
        while let Some((at, id)) = self.abort_deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.abort_deadlines.remove(&(at, id));
            self.abort(now, id, EndReason::CloseTimeout, close_code::SERVICE_RESTART);
        }
    }

    /// Schedules the closes of sessions evenly over a period, except for those already scheduled. Closed all at once, a
    /// thousand clients would reconnect in the same moment and overload the remaining servers, some of which are cold.
    pub(super) fn schedule_closes(
        &mut self, now: Micros, ids: &[SessionId], period: Micros, reason: EndReason,
    ) {
        let ids: Vec<_> =
            ids.iter().filter(|id| self.sessions[id].scheduled_close.is_none()).copied().collect();
        for (index, id) in ids.iter().enumerate() {
            self.schedule_close(*id, now + period * index as Micros / ids.len() as Micros, reason);
        }
    }

    pub(super) fn schedule_close(&mut self, id: SessionId, at: Micros, reason: EndReason) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.scheduled_close = Some((at, reason));
            self.scheduled_closes.insert((at, id));
        }
    }

    /// Cancels a session's scheduled close if it has this reason.
    pub(super) fn cancel_close_for(&mut self, id: SessionId, reason: EndReason) {
        let scheduled = self.sessions.get(&id).and_then(|session| session.scheduled_close);
        if scheduled.is_some_and(|(_, other)| other == reason) {
            self.cancel_close(id);
        }
    }

    /// Cancels a session's scheduled close, if there is one.
    pub(super) fn cancel_close(&mut self, id: SessionId) {
        let scheduled = self.sessions.get_mut(&id).and_then(|session| session.scheduled_close.take());
        if let Some((at, _)) = scheduled {
            self.scheduled_closes.remove(&(at, id));
        }
    }

    /// Whether the session's build has more open sessions than an upgrade could have brought it up to.
    fn exceeds_share(&self, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let (on_build, total) = self.open_counts(session.build);
        self.build_shares
            .get(&session.build)
            .is_some_and(|share| on_build > 0 && !share::may_open(*share, on_build - 1, total.max(1) - 1))
    }

    /// Schedules closes for the sessions above their build's share, newest first by default: these have produced the
    /// least evidence and cost their clients the least, and the oldest are most likely in the middle of something.
    /// Paced, since all of their clients reconnect.
    pub(super) fn enforce_shares(&mut self, now: Micros) {
        let period = match self.enforcement {
            ShareEnforcement::Unenforced | ShareEnforcement::AdmissionOnly => return,
            ShareEnforcement::CloseAtOnce => 0,
            ShareEnforcement::PacedOldestFirst | ShareEnforcement::PacedNewestFirst => SHARE_CLOSE_SPREAD,
        };
        for (build, share) in self.build_shares.clone() {
            let (on_build, total) = self.open_counts(build);
            let excess = share::excess(share, on_build, total);
            if excess == 0 {
                continue;
            }
            let newest_first = self.open_by_build.get(&build).into_iter().flatten().rev();
            let mut candidates: Vec<_> = newest_first.copied().collect();
            if self.enforcement == ShareEnforcement::PacedOldestFirst {
                candidates.reverse();
            }
            let soon = now + SHARE_CLOSE_SPREAD;
            let closes_soon =
                |id: &SessionId| self.sessions[id].scheduled_close.is_some_and(|(at, _)| at <= soon);
            let closing_soon = candidates.iter().filter(|id| closes_soon(id)).count();
            let to_close: Vec<_> = candidates
                .iter()
                .filter(|id| !closes_soon(id))
                .take(excess.saturating_sub(closing_soon))
                .copied()
                .collect();
            // A close that is scheduled much later, as for a drain, is brought forward.
            to_close.iter().for_each(|id| self.cancel_close(*id));
            self.schedule_closes(now, &to_close, period, EndReason::OverShare);
        }
    }

    /// Starts the closing handshake with both sides, by the close codes for the client and for the server.
    pub(super) fn close(
        &mut self, now: Micros, id: SessionId, reason: EndReason, codes: (u16, u16), timeout: Micros,
    ) {
        let (client_code, server_code) = codes;
        let reconnects = client_code == close_code::SERVICE_RESTART || client_code == close_code::GOING_AWAY;
        let reconnect_after = reconnects.then(|| self.draw_between(0, MAX_RECONNECT_DELAY));
        self.begin_closing(now, id, reason, timeout);
        self.actions.push(Action::Close { session: id, reason, client_code, server_code, reconnect_after });
    }

    /// Takes an open session off the counts of open sessions and sets the deadline at which it is aborted.
    pub(super) fn begin_closing(&mut self, now: Micros, id: SessionId, reason: EndReason, timeout: Micros) {
        self.cancel_close(id);
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.stage == Stage::Open) else {
            return;
        };
        session.stage = Stage::Closing(now + timeout);
        session.end_reason = Some(reason);
        self.abort_deadlines.insert((now + timeout, id));
        self.remove_from_open(id);
        self.enforce_shares(now);
    }

    fn remove_from_open(&mut self, id: SessionId) {
        let build = self.sessions[&id].build;
        self.open_count -= 1;
        if let Some(sessions) = self.open_by_build.get_mut(&build) {
            sessions.remove(&id);
            if sessions.is_empty() {
                self.open_by_build.remove(&build);
            }
        }
    }

    /// Ends an open or closing session now. A closing session keeps the reason for which it was closed.
    pub(super) fn abort(&mut self, now: Micros, id: SessionId, reason: EndReason, client_code: u16) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.stage, Stage::Opening(_)) {
            return;
        }
        let reason = *session.end_reason.get_or_insert(reason);
        self.actions.push(Action::Abort { session: id, reason, client_code });
        self.remove(now, id);
    }

    /// Forgets a session in any stage.
    pub(super) fn remove(&mut self, now: Micros, id: SessionId) {
        self.cancel_close(id);
        let Some(stage) = self.sessions.get(&id).map(|session| session.stage) else { return };
        match stage {
            Stage::Opening(attempt) => self.forget_attempt(id, attempt),
            Stage::Open => self.remove_from_open(id),
            Stage::Closing(deadline) => drop(self.abort_deadlines.remove(&(deadline, id))),
        }
        let Some(session) = self.sessions.remove(&id) else { return };
        if !matches!(stage, Stage::Opening(_)) {
            self.remove_from_server(id, session.server);
            let reason = session.end_reason.unwrap_or(EndReason::ClientDisconnected);
            self.actions.push(Action::Ended { session: id, reason, lifetime: now - session.opened });
        }
        self.release_party_and_key(id, session.request);
        self.enforce_shares(now);
    }

    /// Takes a removed session off its party's count, and frees its key unless another session has taken it over.
    fn release_party_and_key(&mut self, id: SessionId, request: UpgradeRequest) {
        let UpgradeRequest { party, key, profile, .. } = request;
        if let Some(count) = self.party_counts.get_mut(&party) {
            *count -= 1;
            if *count == 0 {
                self.party_counts.remove(&party);
            }
        }
        if let Some(key) = key {
            let key = (party, profile, key);
            if self.key_holders.get(&key) == Some(&id) {
                self.key_holders.remove(&key);
            }
        }
    }
}
