//! The state, and one method for each thing that can happen.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

use garnetdoor::host::{BuildNo, Condition, Micros, ProfileId, ServerId};
use garnetdoor_websocket::frames::Side;

use crate::limits::Limits;
use crate::share::{self, ShareEnforcement};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Closings for a share spread over this; with [`SHARE_CLOSE`] they are done within a second.
const SHARE_SPREAD: Micros = 500 * MS;
/// And a session that is over its build's share has so long for the message under way.
const SHARE_CLOSE: Micros = 300 * MS;
/// On the word to stop, sessions are closed over this.
const STOP_SPREAD: Micros = 2_000 * MS;
/// And have so long each, which ends well within the 3.6 s that there are.
const STOP_CLOSE: Micros = 1_000 * MS;
/// What closed sessions are told to wait at most before they come back, where their closing was spread already.
const AGAIN_MOST: Micros = SECOND;
/// Keys remembered as taken over just now.
const REPLACED_MOST: usize = 10_000;

/// A session, by a number of its own. Later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

impl fmt::Display for SessionId {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "w{}", self.0)
    }
}

/// Whose session it is, for limits and for keys: an address, or what a trusted header says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Party(pub Rc<str>);

/// What a client calls its session, so that it can take it up again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub Rc<str>);

/// What a profile's openings do when they run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// No harm.
    Repeatable,
    /// An effect of its own: tagged and once-only ones.
    NotRepeatable,
}

/// An upgrade that asks to be taken.
#[derive(Clone, Debug)]
pub struct UpgradeRequest {
    pub profile: ProfileId,
    pub repeatability: Repeatability,
    pub party: Party,
    pub key: Option<SessionKey>,
}

macro_rules! end_reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// EndReason a session, or an opening, ended or was turned back; the code stands in its log line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum EndReason { $($(#[$doc])* $name,)* }

        impl EndReason {
            /// The word for it in log lines.
            pub fn code(self) -> &'static str {
                match self { $(EndReason::$name => $code,)* }
            }
        }
    };
}

end_reasons! {
    /// There are as many sessions as there may be.
    TooManySessions = "sessions-full",
    /// The party has as many as it may have.
    TooManyForParty = "party-full",
    /// The key was taken over just now.
    KeyContested = "key-contested",
    /// An opening of the same key may have run and must not run twice.
    KeyOpening = "key-opening",
    Stopping = "stopping",
    /// Another opening with the same key took its place.
    Replaced = "replaced",
    /// More sessions lifetime on a build than its share.
    OverShare = "over-share",
    Drain = "drain",
    /// The server is gone, or another process has its id.
    ServerGone = "gone",
    /// A reload lowered a limit.
    OverLimit = "over-limit",
    /// A reload took the profile, or all, out.
    UpgradeDisabled = "not-upgraded",
    ClientClosed = "client-closed",
    ServerClosed = "server-closed",
    /// The client's connection ended without a close.
    ClientDisconnected = "client-left",
    /// The server's did.
    ServerDisconnected = "server-broke",
    ClientSilent = "client-silent",
    ServerSilent = "server-silent",
    ClientSlow = "client-slow",
    ServerSlow = "server-slow",
    ClientProtocolError = "client-fault",
    ServerProtocolError = "server-fault",
    /// No message for long.
    Idle = "idle",
    /// It did not close in its time.
    CloseTimeout = "close-late",
}

/// How a session may go on, or that it may not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    Accepted(SessionId),
    /// Trying again does no harm, after this time.
    Rejected {
        reason: EndReason,
        retry_after: Micros,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// An opening is over: its ticket gets its final answer and its trips are given up.
    AbandonOpening {
        session: SessionId,
        retry_after: Micros,
    },
    /// Close frames at both sides, at a message's end; a time to come back is told to the client.
    Close {
        session: SessionId,
        reason: EndReason,
        client_code: u16,
        server_code: u16,
        reconnect_after: Option<Micros>,
    },
    /// Both connections end now, the client's after a close frame if there is room for one.
    Abort {
        session: SessionId,
        reason: EndReason,
        client_code: u16,
    },
    Ping(SessionId, Side),
    /// Nothing is left of a session, which lifetime for so long.
    Ended {
        session: SessionId,
        reason: EndReason,
        lifetime: Micros,
    },
    /// A session has lifetime, or has not, as its build's should.
    RecordOutcome {
        server: ServerId,
        build: BuildNo,
        profile: ProfileId,
        failed: bool,
    },
}

/// What the connections show of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// When each side was last_received last.
    pub last_received: [Micros; 2],
    /// Since when something waits that this side does not take.
    pub write_blocked_since: [Option<Micros>; 2],
    /// When a message last last_message.
    pub last_message: Micros,
}

/// What ended at a session, from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SideEvent {
    /// This side sent a close frame, with a code if there was one.
    CloseFrame(Side, Option<u16>),
    /// This side sent a bad frame; the code that it is told.
    InvalidFrame(Side, u16),
    /// This side's connection has ended.
    Disconnected(Side),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stage {
    /// No trip has been sent, or one has, to this server.
    Opening(Option<(ServerId, BuildNo)>),
    Open,
    /// Told to close; cut then.
    Closing(Micros),
}

struct Session {
    opening: UpgradeRequest,
    stage: Stage,
    server: ServerId,
    build: BuildNo,
    opened: Micros,
    /// EndReason it ends, once it does.
    reason: Option<EndReason>,
    plan: Option<(Micros, EndReason)>,
    gone: [bool; 2],
    pinged: [Micros; 2],
    judged: bool,
}

type Slot = (Party, ProfileId, SessionKey);

/// All sessions of a gateway.
pub struct Sessions {
    limits: Limits,
    enforcement: ShareEnforcement,
    chance: oorandom::Rand64,
    next: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// Who holds a key: only a party's own sessions of a profile can meet in it.
    keys: BTreeMap<Slot, SessionId>,
    /// Keys taken over lately, oldest first.
    replaced: VecDeque<(Micros, Slot)>,
    parties: BTreeMap<Party, usize>,
    /// Sessions by server, and open ones by build: what the limits and shares count.
    on_server: BTreeMap<ServerId, BTreeSet<SessionId>>,
    on_build: BTreeMap<BuildNo, BTreeSet<SessionId>>,
    /// Openings that are out, by build.
    opening: BTreeMap<BuildNo, usize>,
    /// Open ones in all.
    open: usize,
    /// The told share of each build on trial.
    shares: BTreeMap<BuildNo, f64>,
    /// Closings to come, cuts to come, and openings that are to settle.
    plan: BTreeSet<(Micros, SessionId)>,
    cuts: BTreeSet<(Micros, SessionId)>,
    settling: VecDeque<(Micros, SessionId)>,
    stopping: bool,
    actions: Vec<Action>,
}

impl Sessions {
    /// None yet; `seed` is for all that is drawn.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Sessions {
            limits,
            enforcement: ShareEnforcement::default(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            next: 0,
            sessions: BTreeMap::new(),
            keys: BTreeMap::new(),
            replaced: VecDeque::new(),
            parties: BTreeMap::new(),
            on_server: BTreeMap::new(),
            on_build: BTreeMap::new(),
            opening: BTreeMap::new(),
            open: 0,
            shares: BTreeMap::new(),
            plan: BTreeSet::new(),
            cuts: BTreeSet::new(),
            settling: VecDeque::new(),
            stopping: false,
            actions: Vec::new(),
        }
    }

    /// The same with another way of enforcement the share.
    pub fn with_share_enforcement(mut self, enforcement: ShareEnforcement) -> Self {
        self.enforcement = enforcement;
        self
    }

    /// Takes what is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Sessions that stand or are being opened.
    pub fn count(&self) -> usize {
        self.sessions.len()
    }

    /// Open sessions on a build, and in all.
    pub fn open_counts(&self, build: BuildNo) -> (usize, usize) {
        (self.on_build.get(&build).map_or(0, BTreeSet::len), self.open)
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Micros> {
        let firsts = [self.plan.first(), self.cuts.first(), self.settling.front()];
        firsts.into_iter().flatten().map(|(at, _)| *at).min()
    }

    // ---- openings ----

    /// An upgrade asks to be taken. Of two with the same key the newer one holds: a client that opens again knows
    /// that its last one is of no use, though that may look alive here for long.
    pub fn request_upgrade(&mut self, now: Micros, opening: UpgradeRequest) -> Admission {
        let slot = opening.key.clone().map(|key| (opening.party.clone(), opening.profile, key));
        let older = slot.as_ref().and_then(|slot| self.keys.get(slot)).copied();
        if let Some(reason) = self.refuses(now, &opening, slot.as_ref(), older) {
            return Admission::Rejected { reason, retry_after: self.come_back() };
        }
        if let (Some(older), Some(slot)) = (older, &slot) {
            self.replace(now, older);
            self.replaced.push_back((now, slot.clone()));
            if self.replaced.len() > REPLACED_MOST {
                self.replaced.pop_front();
            }
        }
        let id = SessionId(self.next);
        self.next += 1;
        if let Some(slot) = slot {
            self.keys.insert(slot, id);
        }
        *self.parties.entry(opening.party.clone()).or_default() += 1;
        let session = Session {
            opening,
            stage: Stage::Opening(None),
            server: ServerId::default(),
            build: BuildNo::default(),
            opened: now,
            reason: None,
            plan: None,
            gone: [false; 2],
            pinged: [0; 2],
            judged: false,
        };
        self.sessions.insert(id, session);
        Admission::Accepted(id)
    }

    /// EndReason an upgrade is turned back, if it is. One that takes another's place needs no room of its own.
    fn refuses(
        &mut self, now: Micros, opening: &UpgradeRequest, slot: Option<&Slot>, older: Option<SessionId>,
    ) -> Option<EndReason> {
        let of_party = self.parties.get(&opening.party).copied().unwrap_or(0);
        let stands = older.and_then(|id| self.sessions.get(&id));
        while self.replaced.front().is_some_and(|(at, _)| now - at >= self.limits.takeover_cooldown) {
            self.replaced.pop_front();
        }
        if self.stopping {
            Some(EndReason::Stopping)
        } else if let Some(stands) = stands {
            // No effect twice: what may have run is not run again under another ticket's id.
            let out = matches!(stands.stage, Stage::Opening(Some(_)));
            let never = opening.repeatability == Repeatability::NotRepeatable
                || stands.opening.repeatability == Repeatability::NotRepeatable;
            // Guards against two clients of one party that call their sessions the same and throw each other out
            // as fast as they can come back. Harm: one that comes back twice within that time waits for it.
            let contested = slot.is_some_and(|slot| self.replaced.iter().any(|(_, other)| other == slot));
            (out && never).then_some(EndReason::KeyOpening).or(contested.then_some(EndReason::KeyContested))
        } else if self.sessions.len() >= self.limits.max_sessions {
            Some(EndReason::TooManySessions)
        } else {
            (of_party >= self.limits.max_per_party).then_some(EndReason::TooManyForParty)
        }
    }

    fn replace(&mut self, now: Micros, older: SessionId) {
        match self.sessions.get(&older).map(|session| session.stage) {
            Some(Stage::Opening(_)) => {
                let retry_after = self.come_back();
                self.actions.push(Action::AbandonOpening { session: older, retry_after });
                self.opening_failed(now, older);
            }
            // Cut and not closed: the server must not have both, and the client of the old one is as good as gone.
            Some(Stage::Open | Stage::Closing(_)) => self.cut(now, older, EndReason::Replaced, 1000),
            None => {}
        }
    }

    /// Whether a session of this opening may stand on that server, by the server's limit and its build's share.
    /// Openings that are out count as if they lifetime.
    pub fn has_room(&self, server: ServerId, build: BuildNo) -> bool {
        let there = self.on_server.get(&server).map_or(0, BTreeSet::len);
        let share = self.shares.get(&build).filter(|_| self.enforcement != ShareEnforcement::Unenforced);
        let opening = self.opening.get(&build).copied().unwrap_or(0);
        let (on, all) = self.open_counts(build);
        there < self.limits.max_per_server
            && share.is_none_or(|share| share::may_open(*share, on + opening, all))
    }

    /// A trip of the opening goes out.
    pub fn attempt_sent(&mut self, id: SessionId, server: ServerId, build: BuildNo) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Opening(before) = session.stage else { return };
        session.stage = Stage::Opening(Some((server, build)));
        self.unsend(id, before);
        self.on_server.entry(server).or_default().insert(id);
        *self.opening.entry(build).or_default() += 1;
    }

    fn unsend(&mut self, id: SessionId, out: Option<(ServerId, BuildNo)>) {
        let Some((server, build)) = out else { return };
        self.leave_server(id, server);
        if let Some(count) = self.opening.get_mut(&build) {
            *count -= 1;
            if *count == 0 {
                self.opening.remove(&build);
            }
        }
    }

    fn leave_server(&mut self, id: SessionId, server: ServerId) {
        if let Some(there) = self.on_server.get_mut(&server) {
            there.remove(&id);
            if there.is_empty() {
                self.on_server.remove(&server);
            }
        }
    }

    /// The server's 101 is whole and right, and the client's is under way.
    pub fn opened(
        &mut self, now: Micros, id: SessionId, server: ServerId, build: BuildNo, listed: Condition,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Stage::Opening(out) = session.stage else { return };
        (session.stage, session.server, session.build, session.opened) = (Stage::Open, server, build, now);
        self.unsend(id, out);
        self.on_server.entry(server).or_default().insert(id);
        self.on_build.entry(build).or_default().insert(id);
        self.open += 1;
        self.settling.push_back((now + self.limits.settle_time, id));
        match listed {
            Condition::Healthy => {}
            // Its server was told to drain while the upgrade was out: it goes with the others there.
            Condition::Draining => {
                let wait = self.between(0, self.limits.drain_period);
                self.plan(id, now + wait, EndReason::Drain);
            }
            Condition::Gone => self.cut(now, id, EndReason::ServerGone, 1012),
        }
        self.level(now);
    }

    /// The opening's ticket is over without a session.
    pub fn opening_failed(&mut self, now: Micros, id: SessionId) {
        if self.sessions.get(&id).is_some_and(|session| matches!(session.stage, Stage::Opening(_))) {
            self.forget(now, id);
        }
    }

    // ---- what stands ----

    /// What the list says of a server now: `same` if it is the process that its sessions are on.
    pub fn update_server(&mut self, now: Micros, server: ServerId, condition: Condition, same: bool) {
        let there: Vec<_> = self.on_server.get(&server).into_iter().flatten().copied().collect();
        let open =
            there.into_iter().filter(|id| self.sessions.get(id).is_some_and(|s| s.stage == Stage::Open));
        let open: Vec<_> = open.collect();
        match condition {
            _ if !same => open.iter().for_each(|id| self.cut(now, *id, EndReason::ServerGone, 1012)),
            Condition::Gone => open.iter().for_each(|id| self.cut(now, *id, EndReason::ServerGone, 1012)),
            Condition::Draining => self.spread(now, &open, self.limits.drain_period, EndReason::Drain),
            // The drain was taken back: those that are left stay.
            Condition::Healthy => open.iter().for_each(|id| self.unplan(*id, EndReason::Drain)),
        }
    }

    /// The builds on trial or going back, and the share that each may have.
    pub fn set_shares(&mut self, now: Micros, shares: BTreeMap<BuildNo, f64>) {
        if self.shares != shares {
            self.shares = shares;
            self.level(now);
        }
    }

    /// What the connections show of a session; asked for every [`Limits::activity_check_interval`].
    pub fn observe_activity(&mut self, now: Micros, id: SessionId, seen: ConnectionActivity) {
        let limits = &self.limits;
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.stage == Stage::Open) else { return };
        for (side, reason) in Side::BOTH.into_iter().zip([EndReason::ClientSlow, EndReason::ServerSlow]) {
            if seen.write_blocked_since[side as usize].is_some_and(|since| now - since > limits.write_timeout)
            {
                return self.lost(now, id, side, reason);
            }
        }
        for (side, reason) in Side::BOTH.into_iter().zip([EndReason::ClientSilent, EndReason::ServerSilent]) {
            if now - seen.last_received[side as usize] > limits.silence_timeout {
                return self.lost(now, id, side, reason);
            }
        }
        for side in Side::BOTH {
            let quiet = now - seen.last_received[side as usize].max(session.pinged[side as usize]);
            if quiet > limits.ping_after {
                session.pinged[side as usize] = now;
                self.actions.push(Action::Ping(id, side));
            }
        }
        let idle =
            self.limits.idle_timeout.is_some_and(|idle| now - seen.last_message.max(session.opened) > idle);
        if idle && session.plan.is_none() {
            self.close(now, id, EndReason::Idle, (1001, 1001), self.limits.close_timeout);
        }
    }

    /// One side is of no more use. A server that falls silent is as good as gone, which its client is told, so
    /// that it comes back; a client's end is told to its server.
    fn lost(&mut self, now: Micros, id: SessionId, side: Side, reason: EndReason) {
        if reason == EndReason::ServerSilent {
            self.judge(id, true);
        }
        self.cut(now, id, reason, if side == Side::Server { 1012 } else { 1001 });
    }

    /// A side ends the session, well or badly.
    pub fn handle_side_event(&mut self, now: Micros, id: SessionId, end: SideEvent) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let open = session.stage == Stage::Open;
        match end {
            SideEvent::CloseFrame(side, code) if open => {
                // A server's own word that it erred speaks of its build, however late it comes.
                if side == Side::Server && code == Some(1011) {
                    self.judge(id, true);
                }
                let reason =
                    if side == Side::Client { EndReason::ClientClosed } else { EndReason::ServerClosed };
                // The frame itself has gone on; the other side answers it.
                self.closes(now, id, reason, self.limits.close_timeout);
            }
            SideEvent::InvalidFrame(side, code) if open => {
                let (reason, client, server) = match side {
                    Side::Client => (EndReason::ClientProtocolError, code, 1001),
                    Side::Server => (EndReason::ServerProtocolError, 1011, code),
                };
                if side == Side::Server {
                    self.judge(id, true);
                }
                self.close(now, id, reason, (client, server), self.limits.close_timeout);
            }
            SideEvent::Disconnected(side) => {
                session.gone[side as usize] = true;
                if session.gone == [true; 2] {
                    return self.forget(now, id);
                }
                if open {
                    let reason = if side == Side::Client {
                        EndReason::ClientDisconnected
                    } else {
                        EndReason::ServerDisconnected
                    };
                    let early = now - session.opened < self.limits.settle_time;
                    let planned = session.plan.is_some();
                    if side == Side::Server && early && !planned {
                        self.judge(id, true);
                    }
                    self.close(now, id, reason, (1012, 1001), self.limits.close_timeout);
                }
            }
            SideEvent::CloseFrame(..) | SideEvent::InvalidFrame(..) => {}
        }
    }

    /// Takes over other limits. What stands beyond them is closed as a draining server's sessions are.
    pub fn reload(&mut self, now: Micros, limits: Limits, keeps: impl Fn(ProfileId) -> bool) {
        self.limits = limits;
        let stands = |s: &Session| s.stage == Stage::Open && s.plan.is_none();
        let standing: Vec<_> = self.sessions.iter().filter(|(_, s)| stands(s)).map(|(id, _)| *id).collect();
        let (kept, unlisted): (Vec<_>, Vec<_>) =
            standing.into_iter().partition(|id| keeps(self.sessions[id].opening.profile));
        self.spread(now, &unlisted, self.limits.drain_period, EndReason::UpgradeDisabled);
        let mut over = BTreeSet::new();
        let (mut servers, mut parties): (BTreeMap<ServerId, usize>, BTreeMap<&Party, usize>) =
            Default::default();
        for (at, id) in kept.iter().enumerate() {
            let session = &self.sessions[id];
            let there = servers.entry(session.server).or_default();
            let own = parties.entry(&session.opening.party).or_default();
            (*there, *own) = (*there + 1, *own + 1);
            let limits = &self.limits;
            if at >= limits.max_sessions || *there > limits.max_per_server || *own > limits.max_per_party {
                over.insert(*id);
            }
        }
        let over: Vec<_> = over.into_iter().collect();
        self.spread(now, &over, self.limits.drain_period, EndReason::OverLimit);
    }

    /// The gateway stops: what stands is closed over the time that there is, and nothing more is taken.
    pub fn stop(&mut self, now: Micros) {
        self.stopping = true;
        let open: Vec<_> =
            self.sessions.iter().filter(|(_, s)| s.stage == Stage::Open).map(|(id, _)| *id).collect();
        open.iter().for_each(|id| self.unplan_any(*id));
        self.spread(now, &open, STOP_SPREAD, EndReason::Stopping);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        while let Some((at, id)) = self.plan.first().copied().filter(|(at, _)| *at <= now) {
            self.plan.remove(&(at, id));
            let planned = self.sessions.get_mut(&id).and_then(|session| session.plan.take());
            let Some((_, reason)) = planned else { continue };
            let within = match reason {
                EndReason::OverShare if !self.is_over(id) => continue,
                EndReason::OverShare => SHARE_CLOSE,
                EndReason::Stopping => STOP_CLOSE,
                _ => self.limits.close_timeout,
            };
            let code = if reason == EndReason::Stopping { 1001 } else { 1012 };
            self.close(now, id, reason, (code, 1001), within);
        }
        while let Some((at, id)) = self.cuts.first().copied().filter(|(at, _)| *at <= now) {
            self.cuts.remove(&(at, id));
            self.cut(now, id, EndReason::CloseTimeout, 1012);
        }
        while let Some((_, id)) = self.settling.front().copied().filter(|(at, _)| *at <= now) {
            self.settling.pop_front();
            if self.sessions.get(&id).is_some_and(|session| session.stage == Stage::Open) {
                self.judge(id, false);
            }
        }
    }

    // ---- closing ----

    /// Plans closings evenly over a time. Guards against a herd: a thousand clients that come back at once would
    /// meet what is left of the fleet, cold machines among it, within one moment.
    fn spread(&mut self, now: Micros, ids: &[SessionId], over: Micros, reason: EndReason) {
        let ids: Vec<_> = ids.iter().filter(|id| self.sessions[id].plan.is_none()).copied().collect();
        for (at, id) in ids.iter().enumerate() {
            self.plan(*id, now + over * at as Micros / ids.len() as Micros, reason);
        }
    }

    fn plan(&mut self, id: SessionId, at: Micros, reason: EndReason) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.plan = Some((at, reason));
            self.plan.insert((at, id));
        }
    }

    fn unplan(&mut self, id: SessionId, reason: EndReason) {
        if self
            .sessions
            .get(&id)
            .is_some_and(|session| session.plan.is_some_and(|(_, other)| other == reason))
        {
            self.unplan_any(id);
        }
    }

    fn unplan_any(&mut self, id: SessionId) {
        if let Some((at, _)) = self.sessions.get_mut(&id).and_then(|session| session.plan.take()) {
            self.plan.remove(&(at, id));
        }
    }

    fn is_over(&self, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return false };
        let (on, all) = self.open_counts(session.build);
        self.shares
            .get(&session.build)
            .is_some_and(|share| on > 0 && !share::may_open(*share, on - 1, all.max(1) - 1))
    }

    /// Closes what is over a build's share, newest first: those have shown least and cost their clients least,
    /// and the oldest are most likely to be in the middle of something. Paced, since all of them come back.
    fn level(&mut self, now: Micros) {
        let over = match self.enforcement {
            ShareEnforcement::Unenforced | ShareEnforcement::AdmissionOnly => return,
            ShareEnforcement::CloseAtOnce => 0,
            ShareEnforcement::PacedOldestFirst | ShareEnforcement::PacedNewestFirst => SHARE_SPREAD,
        };
        for (build, share) in self.shares.clone() {
            let (on, all) = self.open_counts(build);
            let excess = share::excess(share, on, all);
            if excess == 0 {
                continue;
            }
            let mut there: Vec<_> = self.on_build.get(&build).into_iter().flatten().rev().copied().collect();
            if self.enforcement == ShareEnforcement::PacedOldestFirst {
                there.reverse();
            }
            let soon = now + SHARE_SPREAD;
            let goes = |id: &SessionId| self.sessions[id].plan.is_some_and(|(at, _)| at <= soon);
            let going = there.iter().filter(|id| goes(id)).count();
            let more: Vec<_> =
                there.iter().filter(|id| !goes(id)).take(excess.saturating_sub(going)).copied().collect();
            // A closing that is due much later, as a drain's may be, comes sooner instead.
            more.iter().for_each(|id| self.unplan_any(*id));
            self.spread(now, &more, over, EndReason::OverShare);
        }
    }

    /// Has both sides told that the session closes.
    fn close(
        &mut self, now: Micros, id: SessionId, reason: EndReason, (client, server): (u16, u16),
        within: Micros,
    ) {
        let comes_back = client == 1012 || client == 1001;
        let reconnect_after = comes_back.then(|| self.between(0, AGAIN_MOST));
        self.closes(now, id, reason, within);
        self.actions.push(Action::Close {
            session: id,
            reason,
            client_code: client,
            server_code: server,
            reconnect_after,
        });
    }

    /// The session no longer stands; it is cut if it has not ended in time.
    fn closes(&mut self, now: Micros, id: SessionId, reason: EndReason, within: Micros) {
        self.unplan_any(id);
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.stage == Stage::Open) else {
            return;
        };
        session.stage = Stage::Closing(now + within);
        session.reason = Some(reason);
        self.cuts.insert((now + within, id));
        self.unstand(id);
        self.level(now);
    }

    fn unstand(&mut self, id: SessionId) {
        let build = self.sessions[&id].build;
        self.open -= 1;
        if let Some(there) = self.on_build.get_mut(&build) {
            there.remove(&id);
            if there.is_empty() {
                self.on_build.remove(&build);
            }
        }
    }

    /// Ends a session now.
    fn cut(&mut self, now: Micros, id: SessionId, reason: EndReason, client_code: u16) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.stage, Stage::Opening(_)) {
            return;
        }
        let reason = *session.reason.get_or_insert(reason);
        self.actions.push(Action::Abort { session: id, reason, client_code });
        self.forget(now, id);
    }

    fn forget(&mut self, now: Micros, id: SessionId) {
        self.unplan_any(id);
        let Some(stage) = self.sessions.get(&id).map(|session| session.stage) else { return };
        match stage {
            Stage::Opening(out) => self.unsend(id, out),
            Stage::Open => self.unstand(id),
            Stage::Closing(at) => drop(self.cuts.remove(&(at, id))),
        }
        let Some(session) = self.sessions.remove(&id) else { return };
        if !matches!(stage, Stage::Opening(_)) {
            self.leave_server(id, session.server);
            let (reason, lifetime) =
                (session.reason.unwrap_or(EndReason::ClientDisconnected), now - session.opened);
            self.actions.push(Action::Ended { session: id, reason, lifetime });
        }
        let UpgradeRequest { party, key, profile, .. } = session.opening;
        if let Some(count) = self.parties.get_mut(&party) {
            *count -= 1;
            if *count == 0 {
                self.parties.remove(&party);
            }
        }
        if let Some(key) = key {
            let slot = (party, profile, key);
            if self.keys.get(&slot) == Some(&id) {
                self.keys.remove(&slot);
            }
        }
        self.level(now);
    }

    // ---- evidence and chance ----

    /// Takes a session as evidence, once.
    fn judge(&mut self, id: SessionId, failed: bool) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        // A failure counts even where the session has counted as good before: a server's own word is.
        if !std::mem::replace(&mut session.judged, true) || failed {
            let Session { server, build, .. } = *session;
            let profile = session.opening.profile;
            self.actions.push(Action::RecordOutcome { server, build, profile, failed });
        }
    }

    fn come_back(&mut self) -> Micros {
        let (least, most) = self.limits.retry_after_range;
        self.between(least, most)
    }

    fn between(&mut self, least: Micros, most: Micros) -> Micros {
        least + (self.chance.rand_float() * (most - least).max(0) as f64) as Micros
    }
}
