//! The interface between the balancer and the gateway that hosts it: ids, plain types, the settings, and the
//! [`Host`] trait through which the balancer acts. Nothing here decides anything.

use std::collections::BTreeMap;
use std::fmt;

/// A point in time or a duration, in whole microseconds.
pub type Micros = i64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids! {
    /// A client's request. The host uses each number only once between its start and its end.
    RequestId(u64);
    /// An attempt of a request, numbered from 0 in the order of `Host::send_attempt`.
    AttemptNo(u32);
    /// A server, by a number that the host chooses.
    ServerId(u32);
    /// A request profile: an index into the settings' `classes`. Requests of a profile share a target
    /// latency, a priority and whether they may be repeated.
    ProfileId(usize);
    /// An index into the settings' `areas`.
    ZoneId(usize);
    /// A small group of servers that share their memory of idempotency keys.
    CellId(u64);
    /// An index into the settings' `machine_types`.
    MachineTypeId(usize);
    /// The number of a build of the service; a later build has a higher one.
    BuildNo(u32);
    /// A stage of a rollout, from 0.
    StageNo(usize);
    /// A gateway's index in the fleet of gateways.
    GatewayId(usize);
    /// The key of a request: its idempotency key, which also ties the requests of one subject together.
    KeyId(u64);
    /// A group of clients: an index into the settings' `parties`.
    PartyId(usize);
}

impl ProfileId {
    /// The full name of a setting of this profile.
    pub fn setting_name(self, name: &str) -> String {
        format!("classes.{}.{name}", self.0)
    }
}

/// What is known of a request when it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub profile: ProfileId,
    /// Expected work, as time on a standard core.
    pub cost: Option<Micros>,
    pub key: Option<KeyId>,
    /// Time until the client gives up waiting.
    pub time_left: Micros,
    /// It may change data.
    pub writes: bool,
    /// The client says that it repeats an earlier request.
    pub is_retry: bool,
    pub party: Option<PartyId>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, and not with an error.
    Succeeded,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server rejected it without running it.
    Rejected,
    TimedOut,
    ConnectFailed,
    /// The connection broke after the request had been sent; it may have run.
    Reset,
    /// The balancer cancelled it, or its client disconnected; it may have run.
    Cancelled,
    /// The host could not send it.
    NeverSent,
    /// Another server has taken over the address and said so (421): the request arrived there, but has not
    /// run.
    Misdirected,
}

impl AttemptOutcome {
    /// Whether it says anything about the server that the attempt was meant for.
    pub fn is_server_evidence(self) -> bool {
        !matches!(self, AttemptOutcome::NeverSent | AttemptOutcome::Misdirected)
    }
}

/// The state of a server by the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    Healthy,
    /// It finishes its work and takes no new requests.
    Draining,
    /// It is not listed any more.
    #[default]
    Gone,
}

impl Condition {
    /// All variants, in the order in which protocols number or name them.
    pub const ALL: [Condition; 3] = [Condition::Healthy, Condition::Draining, Condition::Gone];
}

/// What the server list says of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerInfo {
    pub server: ServerId,
    pub build: BuildNo,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub cell: CellId,
    pub condition: Condition,
    /// Relative to other servers.
    pub capacity: f64,
    /// When its process started; `None`: long ago.
    pub started: Option<Micros>,
}

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    /// The build runs in stages, each with a cap on its share of the requests, while gateways vote on it.
    InTrial,
    RollingBack,
    /// The build may get all requests.
    Released,
    RolledBack,
}

impl RolloutPhase {
    /// All variants, in the order in which protocols number or name them.
    pub const ALL: [RolloutPhase; 4] =
        [RolloutPhase::InTrial, RolloutPhase::RollingBack, RolloutPhase::Released, RolloutPhase::RolledBack];

    /// Whether the build is being rolled back or has been.
    pub fn is_rollback(self) -> bool {
        matches!(self, RolloutPhase::RollingBack | RolloutPhase::RolledBack)
    }
}

/// What the platform announces about the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    pub build: BuildNo,
    pub stage: StageNo,
    pub phase: RolloutPhase,
    /// The share of the requests that may go to the build.
    pub exposure_cap: f64,
    /// How long the build has been in this stage and phase.
    pub age: Micros,
}

/// A gateway's vote on the build on trial.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Vote {
    /// Withdraws the former vote.
    Abstain,
    /// The next stage may begin.
    Promote,
    /// The stage should not end yet.
    Hold,
    RollBack,
}

/// The words for log lines. Operators match them, so they stay as they are.
impl fmt::Debug for Vote {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Vote::Abstain => "None",
            Vote::Promote => "On",
            Vote::Hold => "Hold",
            Vote::RollBack => "Back",
        })
    }
}

impl Vote {
    /// All variants, in the order in which protocols number or name them.
    pub const ALL: [Vote; 4] = [Vote::Abstain, Vote::Promote, Vote::Hold, Vote::RollBack];
}

/// The platform's answer to a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteResult {
    /// The vote counts for its lifetime.
    Counted,
    /// The build or stage is no longer voted on.
    Moot,
    /// The limit of votes per second is reached; the vote does not count.
    Full,
    /// The platform failed; the vote does not count.
    Error,
    /// No answer came; the vote may count.
    Unknown,
}

/// The platform's count of the outcomes of one build and profile over one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tally {
    pub build: BuildNo,
    pub profile: ProfileId,
    pub attempts: u64,
    pub failed: u64,
    /// Mean latency of those that did not fail.
    pub mean_latency: Option<Micros>,
    /// Time since the period ended.
    pub age: Micros,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKind {
    /// An attempt of the request has been in flight for long.
    Request(RequestId),
    /// A vote is due, or a batch of tallies is complete.
    Vote,
    /// The server list should be watched from now on.
    ServerList,
    /// A regular check of whether the gateway has stalled.
    StallCheck,
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// No healthy server that it may go to has room for it.
    NoServer,
    /// The best server that it may go to is expected to answer too late.
    TooLate {
        server: ServerId,
        /// How long the attempt is expected to take.
        expected: Micros,
        /// How long it may take.
        allowed: Micros,
        /// Attempts that this gateway has in flight at the server.
        in_flight: usize,
    },
    /// An attempt failed, and too little time is left for another one.
    NoTime,
    /// An attempt failed, and repeat safety, the limit of attempts or the retry budget allows no other one.
    RetriesExhausted,
    /// The gateway is stopping.
    Stopping,
}

impl Refusal {
    /// The name of the cause in logs and metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            Refusal::NoServer => "no-server",
            Refusal::TooLate { .. } => "too-late",
            Refusal::NoTime => "no-time",
            Refusal::RetriesExhausted => "spent",
            Refusal::Stopping => "stopping",
        }
    }
}

/// What the balancer asks of the gateway that hosts it.
pub trait Host {
    /// The current time; it never goes back.
    fn now(&self) -> Micros;
    /// Sends an attempt of a request. It times out at `until`, or, without that, when the client gives up.
    fn send_attempt(&mut self, request: RequestId, server: ServerId, until: Option<Micros>);
    /// Whether the server and the build have room for what the request would occupy there beyond its answer,
    /// such as a session or a connection. Requests that occupy nothing always have room.
    fn has_capacity(&self, _request: RequestId, _server: ServerId, _build: BuildNo) -> bool {
        true
    }
    /// Stops waiting for an attempt, which may have run all the same.
    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNo);
    /// Gives the final answer that the request was rejected. It promises that a repeat does no harm.
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>);
    /// Gives the final answer that the request failed. It may have run, so that a repeat may do harm.
    fn fail(&mut self, request: RequestId);
    /// Casts this gateway's vote.
    fn cast_vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote);
    /// Has `Balancer::timer_fired` called at that time or soon after. A timer can't be cancelled.
    fn set_timer(&mut self, at: Micros, timer: TimerKind);
    /// Asks a server whether it answers.
    fn probe(&mut self, server: ServerId);
    /// Sends a message to one peer, or to all of them.
    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]);
    /// Fetches the whole server list once.
    fn fetch_server_list(&mut self);
    /// Starts or stops watching the server list for changes.
    fn watch_server_list(&mut self, on: bool);
    /// Closes the idle connections to a server.
    fn close_idle_connections(&mut self, server: ServerId);
    /// Whether this gateway's share of a retry budget that all gateways have in common has room for one more.
    fn has_retry_budget(&self) -> bool {
        true
    }
    /// An outcome has been judged as evidence on a build, for hosts that report it to others.
    fn outcome_judged(&mut self, _build: BuildNo, _profile: ProfileId, _failed: bool) {}
    /// A request is about to get its final answer without a server's, for this reason.
    fn request_refused(&mut self, _request: RequestId, _reason: Refusal) {}
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}

/// The settings as text: a map of names to values. Reading an absent or unreadable value gives `None`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings(BTreeMap<String, String>);

impl Settings {
    /// A text with the separators of lists replaced, as the settings hold it.
    pub fn sanitize(text: &str) -> String {
        text.replace([' ', ','], "_")
    }

    /// All names and values, in the order of the names.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// A value as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// A value that is a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.text(name)?.parse().ok()
    }

    /// A value that is a time in seconds.
    pub fn micros(&self, name: &str) -> Option<Micros> {
        parse_seconds(self.text(name)?)
    }

    /// A value that is true or false.
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.text(name)? {
            "true" | "1" => Some(true),
            "false" | "0" => Some(false),
            _ => None,
        }
    }

    /// The items of a value that is a list; none where the value is absent.
    pub fn items(&self, name: &str) -> Vec<&str> {
        self.text(name)
            .map_or_else(Vec::new, |text| text.split(',').filter(|item| !item.is_empty()).collect())
    }
}

impl<N: Into<String>, V: Into<String>> FromIterator<(N, V)> for Settings {
    fn from_iter<I: IntoIterator<Item = (N, V)>>(pairs: I) -> Self {
        Settings(pairs.into_iter().map(|(name, value)| (name.into(), value.into())).collect())
    }
}

/// Parses decimal seconds, rounded to whole microseconds. Only numbers with an exponent go through a float,
/// so that others lose no digits.
pub fn parse_seconds(text: &str) -> Option<Micros> {
    let (negative, digits) = text.strip_prefix('-').map_or((false, text), |rest| (true, rest));
    let is_decimal = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    if !is_decimal(whole) || !is_decimal(fraction) || (whole.is_empty() && fraction.is_empty()) {
        let seconds: f64 = text.parse().ok()?;
        let value = seconds * 1e6;
        return (value.is_finite() && value.abs() < 9e18).then_some(value.round() as Micros);
    }
    let seconds: Micros = if whole.is_empty() { 0 } else { whole.parse().ok()? };
    let digit = |index: usize| fraction.as_bytes().get(index).map(|byte| Micros::from(byte - b'0'));
    let mut micros: Micros = 0;
    for index in 0..6 {
        micros = micros * 10 + digit(index).unwrap_or(0);
    }
    micros += Micros::from(digit(6).is_some_and(|digit| digit >= 5));
    let value = seconds.checked_mul(SECOND)?.checked_add(micros)?;
    Some(if negative { -value } else { value })
}
