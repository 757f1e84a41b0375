//! The state of all sessions of a gateway, and one method for each kind of event.
//!
//! Upgrades are handled in `opening`, and all that ends a session in `closing`; this file holds the state itself and
//! the events from outside that concern open sessions.

mod closing;
mod opening;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use garnetdoor::host::{BuildNo, Condition, Micros, ProfileId, ServerId};
use garnetdoor_websocket::frames::Side;

use crate::end_reason::EndReason;
use crate::limits::Limits;
use crate::share::ShareEnforcement;
use crate::types::{Action, ConnectionActivity, Party, SessionId, SessionKey, SideEvent, UpgradeRequest};

const MILLISECOND: Micros = 1_000;

/// Sessions are closed over this period when the gateway stops.
const STOP_CLOSE_SPREAD: Micros = 2_000 * MILLISECOND;

/// Close codes of RFC 6455, section 7.4.1, and of the IANA registry.
mod close_code {
    pub const NORMAL: u16 = 1000;
    pub const GOING_AWAY: u16 = 1001;
    pub const INTERNAL_ERROR: u16 = 1011;
    pub const SERVICE_RESTART: u16 = 1012;
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stage {
    /// Being opened. The server and build of the attempt that is out, if one has been sent.
    Opening(Option<(ServerId, BuildNo)>),
    Open,
    /// Both sides have been told to close; aborted at this time.
    Closing(Micros),
}

struct Session {
    request: UpgradeRequest,
    stage: Stage,
    /// The server that it is open on; not set while it is being opened.
    server: ServerId,
    /// The server's build; not set while it is being opened.
    build: BuildNo,
    opened: Micros,
    /// Why it ends, once it does.
    end_reason: Option<EndReason>,
    /// When it is going to be closed, and why.
    scheduled_close: Option<(Micros, EndReason)>,
    /// Whether each side's connection has ended.
    disconnected: [bool; 2],
    /// When each side was last pinged.
    last_ping: [Micros; 2],
    /// Whether an outcome has been recorded for its build.
    outcome_recorded: bool,
}

/// A session key with what it is unique within: only sessions of one party and profile can share a key.
type ScopedKey = (Party, ProfileId, SessionKey);

/// All sessions of a gateway.
pub struct Sessions {
    limits: Limits,
    enforcement: ShareEnforcement,
    rng: oorandom::Rand64,
    next_id: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// The session that holds each key.
    key_holders: BTreeMap<ScopedKey, SessionId>,
    /// Keys that were taken over within the takeover cooldown, oldest first.
    recent_takeovers: VecDeque<(Micros, ScopedKey)>,
    /// Number of sessions of each party.
    party_counts: BTreeMap<Party, usize>,
    /// Sessions by server, including those being opened: counted against the limit on a server.
    by_server: BTreeMap<ServerId, BTreeSet<SessionId>>,
    /// Open sessions by build: counted against the build's share.
    open_by_build: BTreeMap<BuildNo, BTreeSet<SessionId>>,
    /// Number of attempts to open a session that are out, by build.
    opening_counts: BTreeMap<BuildNo, usize>,
    /// Number of open sessions.
    open_count: usize,
    /// The share of each build on trial, from 0 to 1.
    build_shares: BTreeMap<BuildNo, f64>,
    /// Sessions that are going to be closed, by time.
    scheduled_closes: BTreeSet<(Micros, SessionId)>,
    /// Closing sessions, by the time at which they are aborted.
    abort_deadlines: BTreeSet<(Micros, SessionId)>,
    /// Sessions by the end of their settle time, at which those still open count as successes.
    settle_deadlines: VecDeque<(Micros, SessionId)>,
    stopping: bool,
    actions: Vec<Action>,
}

impl Sessions {
    /// Starts without sessions. `seed` is for all random draws.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Sessions {
            limits,
            enforcement: ShareEnforcement::default(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            next_id: 0,
            sessions: BTreeMap::new(),
            key_holders: BTreeMap::new(),
            recent_takeovers: VecDeque::new(),
            party_counts: BTreeMap::new(),
            by_server: BTreeMap::new(),
            open_by_build: BTreeMap::new(),
            opening_counts: BTreeMap::new(),
            open_count: 0,
            build_shares: BTreeMap::new(),
            scheduled_closes: BTreeSet::new(),
            abort_deadlines: BTreeSet::new(),
            settle_deadlines: VecDeque::new(),
            stopping: false,
            actions: Vec::new(),
        }
    }

    /// Replaces the default way of keeping builds within their shares.
    pub fn with_share_enforcement(mut self, enforcement: ShareEnforcement) -> Self {
        self.enforcement = enforcement;
        self
    }

    /// Takes the queued actions, which the caller has to carry out in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Number of sessions, including those being opened or closed.
    pub fn count(&self) -> usize {
        self.sessions.len()
    }

    /// Number of open sessions on a build, and of all open sessions.
    pub fn open_counts(&self, build: BuildNo) -> (usize, usize) {
        (self.open_by_build.get(&build).map_or(0, BTreeSet::len), self.open_count)
    }

    /// When [`tick`](Self::tick) has to be called next, if at all.
    pub fn next_due(&self) -> Option<Micros> {
        let earliest =
            [self.scheduled_closes.first(), self.abort_deadlines.first(), self.settle_deadlines.front()];
        earliest.into_iter().flatten().map(|(at, _)| *at).min()
    }

    /// Takes over a server's condition from the service list. `same_process` is false where another process now runs
    /// under the server's id, so that the sessions on it are gone.
    pub fn update_server(&mut self, now: Micros, server: ServerId, condition: Condition, same_process: bool) {
        let on_server: Vec<_> = self.by_server.get(&server).into_iter().flatten().copied().collect();
        let is_open = |id: &SessionId| self.sessions.get(id).is_some_and(|s| s.stage == Stage::Open);
        let open: Vec<_> = on_server.into_iter().filter(is_open).collect();
        if !same_process || condition == Condition::Gone {
            for id in open {
                self.abort(now, id, EndReason::ServerGone, close_code::SERVICE_RESTART);
            }
        } else if condition == Condition::Draining {
            self.schedule_closes(now, &open, self.limits.drain_period, EndReason::Drain);
        } else {
            // The drain was cancelled: the sessions that are left stay open.
            open.iter().for_each(|id| self.cancel_close_for(*id, EndReason::Drain));
        }
    }

    /// Takes over the builds that are on trial or being rolled back, with the share that each may have, from 0 to 1.
    pub fn set_shares(&mut self, now: Micros, shares: BTreeMap<BuildNo, f64>) {
        if self.build_shares != shares {
            self.build_shares = shares;
            self.enforce_shares(now);
        }
    }

    /// Checks a session for slow, silent and idle connections; called at every [`Limits::activity_check_interval`].
    pub fn observe_activity(&mut self, now: Micros, id: SessionId, activity: ConnectionActivity) {
        let limits = &self.limits;
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.stage == Stage::Open) else { return };
        for (side, reason) in Side::BOTH.into_iter().zip([EndReason::ClientSlow, EndReason::ServerSlow]) {
            let blocked_since = activity.write_blocked_since[side as usize];
            if blocked_since.is_some_and(|since| now - since > limits.write_timeout) {
                return self.abort_unresponsive(now, id, side, reason);
            }
        }
        for (side, reason) in Side::BOTH.into_iter().zip([EndReason::ClientSilent, EndReason::ServerSilent]) {
            if now - activity.last_received[side as usize] > limits.silence_timeout {
                return self.abort_unresponsive(now, id, side, reason);
            }
        }
        for side in Side::BOTH {
            let last_sign = activity.last_received[side as usize].max(session.last_ping[side as usize]);
            if now - last_sign > limits.ping_after {
                session.last_ping[side as usize] = now;
                self.actions.push(Action::Ping(id, side));
            }
        }
        let last_message = activity.last_message.max(session.opened);
        let is_idle = limits.idle_timeout.is_some_and(|timeout| now - last_message > timeout);
        if is_idle && session.scheduled_close.is_none() {
            let codes = (close_code::GOING_AWAY, close_code::GOING_AWAY);
            self.close(now, id, EndReason::Idle, codes, self.limits.close_timeout);
        }
    }

    /// Aborts a session of which one side is slow or silent. A silent server counts as gone: its client is told to come
    /// back. A client's failure is told to its server.
    fn abort_unresponsive(&mut self, now: Micros, id: SessionId, side: Side, reason: EndReason) {
        if reason == EndReason::ServerSilent {
            self.record_outcome(id, true);
        }
        let client_code = match side {
            Side::Server => close_code::SERVICE_RESTART,
            Side::Client => close_code::GOING_AWAY,
        };
        self.abort(now, id, reason, client_code);
    }

    /// One side has ended the session, in an orderly way or not.
    pub fn handle_side_event(&mut self, now: Micros, id: SessionId, event: SideEvent) {
        let Some(session) = self.sessions.get(&id) else { return };
        let open = session.stage == Stage::Open;
        match event {
            SideEvent::CloseFrame(side, code) if open => self.close_frame_received(now, id, side, code),
            SideEvent::InvalidFrame(side, code) if open => self.invalid_frame_received(now, id, side, code),
            SideEvent::Disconnected(side) => self.side_disconnected(now, id, side),
            SideEvent::CloseFrame(..) | SideEvent::InvalidFrame(..) => {}
        }
    }

    fn close_frame_received(&mut self, now: Micros, id: SessionId, side: Side, code: Option<u16>) {
        // A server that reports an internal error is evidence against its build, however late that comes.
        if side == Side::Server && code == Some(close_code::INTERNAL_ERROR) {
            self.record_outcome(id, true);
        }
        let reason = match side {
            Side::Client => EndReason::ClientClosed,
            Side::Server => EndReason::ServerClosed,
        };
        // The frame itself has been relayed, and the other side answers it: there is none to send.
        self.begin_closing(now, id, reason, self.limits.close_timeout);
    }

    fn invalid_frame_received(&mut self, now: Micros, id: SessionId, side: Side, code: u16) {
        let (reason, client_code, server_code) = match side {
            Side::Client => (EndReason::ClientProtocolError, code, close_code::GOING_AWAY),
            Side::Server => (EndReason::ServerProtocolError, close_code::INTERNAL_ERROR, code),
        };
        if side == Side::Server {
            self.record_outcome(id, true);
        }
        self.close(now, id, reason, (client_code, server_code), self.limits.close_timeout);
    }

    fn side_disconnected(&mut self, now: Micros, id: SessionId, side: Side) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.disconnected[side as usize] = true;
        if session.disconnected == [true; 2] {
            return self.remove(now, id);
        }
        if session.stage != Stage::Open {
            return;
        }
        let reason = match side {
            Side::Client => EndReason::ClientDisconnected,
            Side::Server => EndReason::ServerDisconnected,
        };
        let settled = now - session.opened >= self.limits.settle_time;
        let close_expected = session.scheduled_close.is_some();
        if side == Side::Server && !settled && !close_expected {
            self.record_outcome(id, true);
        }
        let codes = (close_code::SERVICE_RESTART, close_code::GOING_AWAY);
        self.close(now, id, reason, codes, self.limits.close_timeout);
    }

    /// Takes over other limits. Sessions of profiles that may no longer be upgraded, by `is_upgradable`, and sessions
    /// beyond a lowered limit are closed as those of a draining server are. Older sessions keep their place.
    pub fn reload(&mut self, now: Micros, limits: Limits, is_upgradable: impl Fn(ProfileId) -> bool) {
        self.limits = limits;
        let stays = |s: &Session| s.stage == Stage::Open && s.scheduled_close.is_none();
        let open: Vec<_> = self.sessions.iter().filter(|(_, s)| stays(s)).map(|(id, _)| *id).collect();
        let (kept, not_upgradable): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|id| is_upgradable(self.sessions[id].request.profile));
        self.schedule_closes(now, &not_upgradable, self.limits.drain_period, EndReason::UpgradeDisabled);
        let over_limit = self.over_limit(&kept);
        self.schedule_closes(now, &over_limit, self.limits.drain_period, EndReason::OverLimit);
    }

    /// Those of the sessions, given oldest first, that exceed a limit.
    fn over_limit(&self, sessions: &[SessionId]) -> Vec<SessionId> {
        let limits = &self.limits;
        let mut server_counts: BTreeMap<ServerId, usize> = BTreeMap::new();
        let mut party_counts: BTreeMap<&Party, usize> = BTreeMap::new();
        let mut over_limit = Vec::new();
        for (index, id) in sessions.iter().enumerate() {
            let session = &self.sessions[id];
            let on_server = server_counts.entry(session.server).or_default();
            let of_party = party_counts.entry(&session.request.party).or_default();
            (*on_server, *of_party) = (*on_server + 1, *of_party + 1);
            if index >= limits.max_sessions
                || *on_server > limits.max_per_server
                || *of_party > limits.max_per_party
            {
                over_limit.push(*id);
            }
        }
        over_limit
    }

    /// Stops the gateway: open sessions are closed over the time that is left, and no upgrade is accepted.
    pub fn stop(&mut self, now: Micros) {
        self.stopping = true;
        let is_open = |s: &Session| s.stage == Stage::Open;
        let open: Vec<_> = self.sessions.iter().filter(|(_, s)| is_open(s)).map(|(id, _)| *id).collect();
        open.iter().for_each(|id| self.cancel_close(*id));
        self.schedule_closes(now, &open, STOP_CLOSE_SPREAD, EndReason::Stopping);
    }

    /// Does what has become due; see [`next_due`](Self::next_due).
    pub fn tick(&mut self, now: Micros) {
        self.close_due(now);
        self.abort_due(now);
        self.settle_due(now);
    }

    /// Counts sessions that are still open at the end of their settle time as successes.
    fn settle_due(&mut self, now: Micros) {
        while let Some((_, id)) = self.settle_deadlines.front().copied().filter(|(at, _)| *at <= now) {
            self.settle_deadlines.pop_front();
            if self.sessions.get(&id).is_some_and(|session| session.stage == Stage::Open) {
                self.record_outcome(id, false);
            }
        }
    }

    /// Records a session as a success or failure of its build, once.
    fn record_outcome(&mut self, id: SessionId, failed: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let recorded = std::mem::replace(&mut session.outcome_recorded, true);
        // A failure counts even for a session already recorded as a success, since a server's own report does.
        if !recorded || failed {
            let Session { server, build, .. } = *session;
            let profile = session.request.profile;
            self.actions.push(Action::RecordOutcome { server, build, profile, failed });
        }
    }

    /// Draws the time after which a client whose upgrade is rejected may try again.
    fn draw_retry_after(&mut self) -> Micros {
        let (least, greatest) = self.limits.retry_after_range;
        self.draw_between(least, greatest)
    }

    fn draw_between(&mut self, least: Micros, greatest: Micros) -> Micros {
        least + (self.rng.rand_float() * (greatest - least).max(0) as f64) as Micros
    }
}
