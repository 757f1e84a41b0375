//! The interface between the decisions and whatever gateway hosts them: ids, plain types, settings,
//! and the [`Host`] trait by which the decisions act. Nothing here decides anything.

use std::collections::BTreeMap;

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
    TicketId(u64);
    /// A ticket's trips are numbered from 0 in the order of `Host::send_trip`.
    TripNo(u32);
    /// A server, by a number of the host's own choosing.
    ServerId(u32);
    /// An index into the settings' `classes`.
    ProfileId(usize);
    /// An index into the settings' `areas`.
    ZoneId(usize);
    /// A small set of servers that know each other's marks.
    CellId(u64);
    /// An index into the settings' `machine_types`.
    KindId(usize);
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
    pub fn setting(self, what: &str) -> String {
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
    pub left: Micros,
    pub writes: bool,
    /// The client says that it repeats an earlier try.
    pub repeat: bool,
    pub party: Option<PartyId>,
}

/// How a trip or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Finished,
    Error,
    /// Rejected unseen.
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Stopped,
    NeverSent,
    /// Another server has the address by now, and told so (421): it arrived there, and has not run.
    Misdirected,
}

impl Ending {
    /// Whether it tells anything of the server that the trip was for.
    pub fn tells_of_server(self) -> bool {
        !matches!(self, Ending::NeverSent | Ending::Misdirected)
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
pub struct Listing {
    pub server: ServerId,
    pub build: BuildNo,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub condition: Condition,
    /// Size to compare servers by.
    pub size: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

impl Phase {
    /// All of them, in the order in which protocols number or name them.
    pub const ALL: [Phase; 4] = [Phase::OnTrial, Phase::GoingBack, Phase::Released, Phase::Withdrawn];

    /// The build is on its way off, or off.
    pub fn goes_back(self) -> bool {
        matches!(self, Phase::GoingBack | Phase::Withdrawn)
    }
}

/// What the platform says of the newest build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    pub build: BuildNo,
    pub stage: StageNo,
    pub phase: Phase,
    /// The share of the tickets taken that may go to the build.
    pub cap: f64,
    /// How long this state has lasted.
    pub age: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    None,
    On,
    Hold,
    Back,
}

impl Vote {
    /// All of them, in the order in which protocols number or name them.
    pub const ALL: [Vote; 4] = [Vote::None, Vote::On, Vote::Hold, Vote::Back];
}

/// How the platform took a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
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
    pub trips: u64,
    pub failed: u64,
    /// Mean time of those that did not fail.
    pub mean: Option<Micros>,
    /// Time since the period ended.
    pub age: Micros,
}

/// What a wake-up is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    Ticket(TicketId),
    Vote,
    List,
    Beat,
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
        out: usize,
    },
    /// An attempt failed, and too little time is left for another one.
    NoTime,
    /// An attempt failed, and the kind of request, its number of attempts or the retry budget allows no other.
    Spent,
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
            Refusal::Spent => "spent",
            Refusal::Stopping => "stopping",
        }
    }
}

/// What the decisions ask of the gateway that hosts them.
pub trait Host {
    /// The time; it never goes back.
    fn now(&self) -> Micros;
    /// Sends a trip; it times out at `until`, or when the client quits if that is `None`.
    fn send_trip(&mut self, ticket: TicketId, server: ServerId, until: Option<Micros>);
    /// Whether what this ticket would leave standing has room at the server, and on its build. Tickets that
    /// leave nothing behind always have.
    fn has_room(&self, _ticket: TicketId, _server: ServerId, _build: BuildNo) -> bool {
        true
    }
    /// Waits no longer for a trip; it may have run.
    fn stop_trip(&mut self, ticket: TicketId, trip: TripNo);
    /// Final answer: trying again does no harm.
    fn turn_back(&mut self, ticket: TicketId, come_back_in: Option<Micros>);
    /// Final answer: nothing is promised.
    fn forfeit(&mut self, ticket: TicketId);
    /// Casts the gateway's vote.
    fn vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote);
    /// Calls `woke` at that time or soon after; it can't be taken back.
    fn wake_at(&mut self, at: Micros, wake: Wake);
    /// Asks whether a server answers.
    fn probe(&mut self, server: ServerId);
    /// Tells one peer, or all of them.
    fn tell_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]);
    /// Asks for the whole server list once.
    fn ask_list(&mut self);
    /// Asks for the list's changes from now on, or no longer.
    fn follow_list(&mut self, on: bool);
    /// Closes the idle connections to a server.
    fn close_idle(&mut self, server: ServerId);
    /// Whether this gateway's part of what all may spend on further trips has room for one more.
    fn may_go_further(&self) -> bool {
        true
    }
    /// An outcome has been judged as evidence on a build, for hosts that tell others of it.
    fn judged(&mut self, _build: BuildNo, _profile: ProfileId, _failed: bool) {}
    /// A request is about to get its final answer without a server's, for this reason.
    fn refused(&mut self, _ticket: TicketId, _why: Refusal) {}
    /// Writes a line to the log.
    fn note(&mut self, text: &str);
}

/// The settings as they came: a map of names to values. Absent or unreadable values are `None`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings(BTreeMap<String, String>);

impl Settings {
    /// A text as settings hold it.
    pub fn plain(text: &str) -> String {
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
        micros(self.text(name)?)
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
pub fn micros(text: &str) -> Option<Micros> {
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
