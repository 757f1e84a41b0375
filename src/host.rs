//! The interface between the decisions and whatever gateway hosts them: ids, plain types, settings,
//! and the [`Host`] trait by which the decisions act. Nothing here decides anything.

use std::collections::BTreeMap;
use std::fmt;

/// A time or a span, in whole microseconds.
pub type Micros = i64;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($of:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids! {
    /// A client's ticket; the host never uses a number twice within one start.
    RequestId(u64);
    /// A ticket's trips are numbered from 0 in the order of `Host::send_trip`.
    AttemptNo(u32);
    /// A server, by a number of the host's own choosing.
    ServerId(u32);
    /// An index into the settings' `classes`.
    ProfileId(usize);
    /// An index into the settings' `areas`.
    ZoneId(usize);
    /// A small set of servers that know each other's marks.
    CellId(u64);
    /// An index into the settings' `machine_types`.
    MachineTypeId(usize);
    /// A build's number; a later build has a higher one.
    BuildNo(u32);
    /// A stage of a release, from 0.
    StageNo(usize);
    /// A gateway's number among its peers.
    GatewayId(usize);
    /// The subject of a ticket.
    KeyId(u64);
    /// An index into the settings' `parties`.
    PartyId(usize);
}

impl ProfileId {
    /// The full name of one of the profile's settings.
    pub fn setting_name(self, what: &str) -> String {
        format!("classes.{}.{what}", self.0)
    }
}

/// What a ticket brings along.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub profile: ProfileId,
    /// Expected work on a standard core.
    pub cost: Option<Micros>,
    pub key: Option<KeyId>,
    /// Time until the client gives this try up.
    pub time_left: Micros,
    pub writes: bool,
    /// The client says that it repeats an earlier try.
    pub is_retry: bool,
    pub party: Option<PartyId>,
}

/// How a trip or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Succeeded,
    Error,
    /// Rejected unseen.
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
    /// Another server has the address by now, and told so (421): it arrived there, and has not run.
    Misdirected,
}

impl AttemptOutcome {
    /// Whether it tells anything of the server that the trip was for.
    pub fn is_server_evidence(self) -> bool {
        !matches!(self, AttemptOutcome::NeverSent | AttemptOutcome::Misdirected)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    Healthy,
    Draining,
    #[default]
    Gone,
}

impl Condition {
    /// All of them, in the order in which protocols number or name them.
    pub const ALL: [Condition; 3] = [Condition::Healthy, Condition::Draining, Condition::Gone];
}

/// One server as the list shows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerInfo {
    pub server: ServerId,
    pub build: BuildNo,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub cell: CellId,
    pub condition: Condition,
    /// Size to compare servers by.
    pub capacity: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutPhase {
    InTrial,
    RollingBack,
    Released,
    RolledBack,
}

impl RolloutPhase {
    /// All of them, in the order in which protocols number or name them.
    pub const ALL: [RolloutPhase; 4] =
        [RolloutPhase::InTrial, RolloutPhase::RollingBack, RolloutPhase::Released, RolloutPhase::RolledBack];

    /// The build is on its way off, or off.
    pub fn is_rollback(self) -> bool {
        matches!(self, RolloutPhase::RollingBack | RolloutPhase::RolledBack)
    }
}

/// What the platform says of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    pub build: BuildNo,
    pub stage: StageNo,
    pub phase: RolloutPhase,
    /// The share of the tickets taken that may go to the build.
    pub exposure_cap: f64,
    /// How long this state has lasted.
    pub age: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Vote {
    Abstain,
    Promote,
    Hold,
    RollBack,
}

/// Log lines that operators match hold these words.
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
    /// All of them, in the order in which protocols number or name them.
    pub const ALL: [Vote; 4] = [Vote::Abstain, Vote::Promote, Vote::Hold, Vote::RollBack];
}

/// How the platform took a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteResult {
    Counted,
    Moot,
    Full,
    Error,
    /// No answer; it may count.
    Unknown,
}

/// The platform's count for one build and profile over one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tally {
    pub build: BuildNo,
    pub profile: ProfileId,
    pub attempts: u64,
    pub failed: u64,
    /// Mean time of those that did not fail.
    pub mean_latency: Option<Micros>,
    /// Time since the period ended.
    pub age: Micros,
}

/// What a wake-up is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerKind {
    Request(RequestId),
    Vote,
    ServerList,
    StallCheck,
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// No healthy server that may take it has room for it.
    NoServer,
    /// The best of those that may take it is expected to answer too late.
    TooLate {
        server: ServerId,
        /// How long the attempt is expected to take, and how long it may.
        expected: Micros,
        allowed: Micros,
        /// Attempts that this gateway has out at the server.
        in_flight: usize,
    },
    /// An attempt failed, and too little time is left for another one.
    NoTime,
    /// An attempt failed, and the kind of request, its number of attempts or the retry budget allows no other.
    RetriesExhausted,
    /// The gateway ends.
    Stopping,
}

impl Refusal {
    /// The words for its cause in logs and metrics.
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

/// What the decisions ask of the gateway that hosts them.
pub trait Host {
    /// The time; it never goes back.
    fn now(&self) -> Micros;
    /// Sends a trip; it times out at `until`, or when the client quits if that is `None`.
    fn send_attempt(&mut self, ticket: RequestId, server: ServerId, until: Option<Micros>);
    /// Whether what this ticket would leave standing has room at the server, and on its build. Tickets that
    /// leave nothing behind always have.
    fn has_capacity(&self, _ticket: RequestId, _server: ServerId, _build: BuildNo) -> bool {
        true
    }
    /// Waits no longer for a trip; it may have run.
    fn cancel_attempt(&mut self, ticket: RequestId, trip: AttemptNo);
    /// Final answer: trying again does no harm.
    fn reject(&mut self, ticket: RequestId, come_back_in: Option<Micros>);
    /// Final answer: nothing is promised.
    fn fail(&mut self, ticket: RequestId);
    /// Casts the gateway's vote.
    fn cast_vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote);
    /// Calls `woke` at that time or soon after; it can't be taken back.
    fn set_timer(&mut self, at: Micros, wake: TimerKind);
    /// Asks whether a server answers.
    fn probe(&mut self, server: ServerId);
    /// Tells one peer, or all of them.
    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]);
    /// Asks for the whole server list once.
    fn fetch_server_list(&mut self);
    /// Asks for the list's changes from now on, or no longer.
    fn watch_server_list(&mut self, on: bool);
    /// Closes the idle connections to a server.
    fn close_idle_connections(&mut self, server: ServerId);
    /// Whether this gateway's part of what all may spend on further trips has room for one more.
    fn has_retry_budget(&self) -> bool {
        true
    }
    /// An outcome has been judged as evidence on a build, for hosts that tell others of it.
    fn outcome_judged(&mut self, _build: BuildNo, _profile: ProfileId, _failed: bool) {}
    /// A request is about to get its final answer without a server's, for this reason.
    fn request_refused(&mut self, _ticket: RequestId, _why: Refusal) {}
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
}

/// The settings as they came: a map of names to values. Absent or unreadable values are `None`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings(BTreeMap<String, String>);

impl Settings {
    /// A text as settings hold it.
    pub fn sanitize(text: &str) -> String {
        text.replace([' ', ','], "_")
    }

    /// All names and values, in the order of the names.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// A value as it came.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// A value that is a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.text(name)?.parse().ok()
    }

    /// A value in seconds, as microseconds.
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

    /// The items of a list of plain values.
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

/// Reads decimal seconds as whole microseconds, to the nearest one, without passing through a float
/// unless the number is written with an exponent.
pub fn parse_seconds(text: &str) -> Option<Micros> {
    let (negative, digits) = text.strip_prefix('-').map_or((false, text), |rest| (true, rest));
    let plain = |part: &str| part.bytes().all(|b| b.is_ascii_digit());
    let (whole, part) = digits.split_once('.').unwrap_or((digits, ""));
    if !plain(whole) || !plain(part) || (whole.is_empty() && part.is_empty()) {
        let seconds: f64 = text.parse().ok()?;
        let value = seconds * 1e6;
        return (value.is_finite() && value.abs() < 9e18).then_some(value.round() as Micros);
    }
    let seconds: Micros = if whole.is_empty() { 0 } else { whole.parse().ok()? };
    let mut micros: Micros = 0;
    for at in 0..6 {
        micros = micros * 10 + part.as_bytes().get(at).map_or(0, |b| Micros::from(b - b'0'));
    }
    micros += Micros::from(part.as_bytes().get(6).is_some_and(|b| *b >= b'5'));
    let value = seconds.checked_mul(1_000_000)?.checked_add(micros)?;
    Some(if negative { -value } else { value })
}
