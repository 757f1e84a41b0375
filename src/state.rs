//! What a gateway remembers: plain state that the balancer fills and reads. Nothing here decides anything.
//!
//! All collections are bounded, by a number of entries or by a time after which entries are dropped.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::host::{
    Arrival, AttemptNo, AttemptOutcome, BuildNo, Condition, GatewayId, KeyId, Micros, ProfileId, RequestId,
    RolloutPhase, RolloutStatus, ServerId, ServerInfo, StageNo, Tally, Vote, ZoneId,
};

/// Recent events with their times, oldest first.
#[derive(Default)]
pub struct Recent<T>(pub VecDeque<(Micros, T)>);

impl<T> Recent<T> {
    /// Adds an event and drops those from before `oldest`.
    pub fn add(&mut self, at: Micros, event: T, oldest: Micros) {
        self.0.push_back((at, event));
        while self.0.front().is_some_and(|(then, _)| *then < oldest) {
            self.0.pop_front();
        }
    }

    /// Number of events after `since`.
    pub fn count_since(&self, since: Micros) -> usize {
        self.0.len() - self.0.partition_point(|(at, _)| *at <= since)
    }

    /// The events after `since`, newest first.
    pub fn since(&self, since: Micros) -> impl Iterator<Item = &T> {
        self.0.iter().rev().take_while(move |(at, _)| *at > since).map(|(_, event)| event)
    }

    /// Time of the event that `later` other ones have followed.
    pub fn time_before(&self, later: usize) -> Option<Micros> {
        self.0.iter().rev().nth(later).map(|(at, _)| *at)
    }
}

/// One attempt of a request at a server.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    /// The build that the server ran when the attempt was sent.
    pub build: BuildNo,
    pub sent_at: Micros,
    /// Attempts of this gateway that were in flight at the server when this one was sent.
    pub in_flight_before: f64,
    /// The server had started too recently to be judged.
    pub server_young: bool,
    /// Its latency can be compared with others: it does not cross zones, or that makes no difference.
    pub latency_comparable: bool,
    /// `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Number of this gateway's attempts in flight at the server when it was sent.
    pub fn in_flight(&self) -> usize {
        self.in_flight_before as usize
    }

    /// Whether it may have reached the server, or still may.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self.outcome, Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent))
    }

    /// Whether the server may have executed it, or still may.
    pub fn may_have_run(&self) -> bool {
        use AttemptOutcome::{ConnectFailed, Misdirected, NeverSent, Rejected};
        !matches!(self.outcome, Some(Rejected | ConnectFailed | NeverSent | Misdirected))
    }
}

/// A client's request, kept until it is done and none of its attempts is in flight.
pub struct Request {
    pub arrival: Arrival,
    pub arrived_at: Micros,
    pub attempts: Vec<Attempt>,
    /// Its final answer has been sent or has begun, or its client has disconnected.
    pub done: bool,
}

impl Request {
    pub fn none_in_flight(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// Whether it still needs an answer that no attempt in flight can bring.
    pub fn needs_attempt(&self) -> bool {
        !self.done && self.none_in_flight()
    }

    /// The last attempt, if the request still needs an answer and the attempt is in flight.
    pub fn last_in_flight(&self) -> Option<(AttemptNo, &Attempt)> {
        let (number, attempt) = self.attempts.iter().enumerate().next_back()?;
        let in_flight = !self.done && attempt.outcome.is_none();
        in_flight.then_some((AttemptNo(number as u32), attempt))
    }

    /// Stores the outcome of an attempt and returns the attempt; `None` if there is no such attempt.
    pub fn end_attempt(&mut self, number: AttemptNo, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number.0 as usize)?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }
}

/// One ended attempt, as kept for its server and for its profile.
#[derive(Clone, Copy)]
pub struct Sample {
    /// When the attempt ended.
    pub at: Micros,
    pub outcome: AttemptOutcome,
    pub latency: Micros,
    pub zone: ZoneId,
    /// The server answered nothing at all while the attempt was in flight.
    pub silent: bool,
    /// Its latency divided by the usual latency of its profile.
    pub latency_ratio: f64,
    /// See [`Attempt::in_flight_before`].
    pub in_flight_before: f64,
}

impl Sample {
    /// The sample of an attempt that ended `now`; without a `usual` latency its own is the usual one.
    pub fn new(
        attempt: &Attempt, outcome: AttemptOutcome, now: Micros, latency: Micros, usual: Option<Micros>,
        zone: ZoneId, silent: bool,
    ) -> Sample {
        let latency_ratio = latency as f64 / usual.unwrap_or(latency).max(1) as f64;
        let in_flight_before = attempt.in_flight_before;
        Sample { at: now, outcome, latency, zone, silent, latency_ratio, in_flight_before }
    }

    /// Its latency ratio, if it succeeded.
    pub fn answer_ratio(&self) -> Option<f64> {
        (self.outcome == AttemptOutcome::Succeeded).then_some(self.latency_ratio)
    }

    /// Whether it counts as a failure of the server: a time-out does so only if the server was silent.
    pub fn failed(&self) -> bool {
        let late = matches!(self.outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
        self.outcome != AttemptOutcome::Succeeded && (!late || self.silent)
    }

    /// Whether its connection could not be opened, or broke.
    pub fn connection_failed(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::Reset)
    }

    /// Whether it timed out, and the server was silent all the while.
    pub fn timed_out_silently(&self) -> bool {
        self.silent && self.outcome == AttemptOutcome::TimedOut
    }
}

/// Sums over the recent answers of a server.
#[derive(Clone, Copy, Default)]
pub struct AnswerTotals {
    pub count: f64,
    /// Sum of `Sample::latency_ratio`.
    pub latency_ratios: f64,
    /// Sum and maximum of `Sample::in_flight_before`.
    pub in_flight: f64,
    pub max_in_flight: f64,
}

/// A server and what this gateway has seen of it.
#[derive(Default)]
pub struct Server {
    pub info: ServerInfo,
    /// When each attempt that is in flight was sent, oldest first.
    pub in_flight: Vec<Micros>,
    /// Attempts sent lately; they count against the load limit of a machine that warms up.
    pub recent_sends: Recent<()>,
    pub samples: VecDeque<Sample>,
    /// When it last answered, with success or failure.
    pub last_answer_at: Micros,
    /// A request rejected on its account has counted as its failure since its last answer.
    pub rejection_counted: bool,
}

impl Server {
    /// An attempt that is sent to this server now.
    pub fn new_attempt(&self, now: Micros, server_young: bool, latency_comparable: bool) -> Attempt {
        Attempt {
            server: self.info.server,
            build: self.info.build,
            sent_at: now,
            in_flight_before: self.in_flight.len() as f64,
            server_young,
            latency_comparable,
            outcome: None,
        }
    }

    /// Samples of the last `window`.
    pub fn recent_samples(&self, now: Micros, window: Micros) -> impl Iterator<Item = &Sample> {
        self.samples.iter().filter(move |sample| now - sample.at < window)
    }

    /// Samples of successful attempts of the last `window`.
    pub fn recent_answers(&self, now: Micros, window: Micros) -> impl Iterator<Item = &Sample> {
        self.recent_samples(now, window).filter(|sample| sample.outcome == AttemptOutcome::Succeeded)
    }

    /// Sums over the answers of the last `window`; `None` if there are none.
    pub fn answer_totals(&self, now: Micros, window: Micros) -> Option<AnswerTotals> {
        let totals =
            self.recent_answers(now, window).fold(AnswerTotals::default(), |totals, sample| AnswerTotals {
                count: totals.count + 1.0,
                latency_ratios: totals.latency_ratios + sample.latency_ratio,
                in_flight: totals.in_flight + sample.in_flight_before,
                max_in_flight: totals.max_in_flight.max(sample.in_flight_before),
            });
        (totals.count > 0.0).then_some(totals)
    }
}

/// The signals that a build is judged by; a CUSUM statistic is kept for each build and signal. The failures
/// of a profile at this gateway are the ones of `docs/design.md`; the others were added to it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Signal {
    /// Failed or late attempts of a profile at this gateway.
    Failures(ProfileId),
    /// Answers that clients found wrong.
    DisputedAnswers,
    /// Attempts at any build that are slower than nearly all were before the trial began.
    SlowerThanBefore,
    /// Failed or late attempts of a profile, as counted by several gateways or the platform.
    SharedFailures(ProfileId),
    /// Sessions of a profile that their servers broke.
    BrokenSessions(ProfileId),
}

impl Signal {
    /// The profile that the signal is about, if it is about one.
    pub fn profile(self) -> Option<ProfileId> {
        match self {
            Signal::Failures(profile) | Signal::SharedFailures(profile) | Signal::BrokenSessions(profile) => {
                Some(profile)
            }
            Signal::DisputedAnswers | Signal::SlowerThanBefore => None,
        }
    }
}

/// The words for log lines. Operators match them, so they stay as they are.
impl fmt::Display for Signal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Signal::Failures(profile) => write!(formatter, "Failed({profile:?})"),
            Signal::DisputedAnswers => formatter.write_str("Disputed"),
            Signal::SlowerThanBefore => formatter.write_str("Worse"),
            Signal::SharedFailures(profile) => write!(formatter, "Counted({profile:?})"),
            Signal::BrokenSessions(profile) => write!(formatter, "Broke({profile:?})"),
        }
    }
}

/// Outcomes that were counted together.
#[derive(Clone, Copy)]
pub struct OutcomeCount {
    pub at: Micros,
    pub failed: f64,
    pub total: f64,
}

/// What is known of a build by one signal.
#[derive(Default)]
pub struct CusumRecord {
    /// The statistic y of the paper, in nats: how much better the outcomes fit a bad build than a good one.
    pub statistic_nats: f64,
    /// The latest outcomes, oldest first.
    pub outcomes: VecDeque<OutcomeCount>,
}

impl CusumRecord {
    /// Number of outcomes kept.
    pub fn total(&self) -> f64 {
        self.outcomes.iter().map(|outcomes| outcomes.total).sum::<f64>()
    }
}

/// One outcome as gateways send it to each other, in five bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOutcome {
    /// The lowest byte of the number of the build on trial.
    pub build: u8,
    /// Number of the message, counted by its sender.
    pub sequence: u16,
    pub zone: u8,
    /// The profile's number, in six bits.
    pub profile: u8,
    /// The outcome is of the build on trial, not of an earlier one.
    pub on_trial: bool,
    pub failed: bool,
}

impl PeerOutcome {
    /// A message without a sequence number yet; of the other numbers it holds the lowest bits.
    pub fn new(
        build: BuildNo, zone: Option<usize>, profile: ProfileId, on_trial: bool, failed: bool,
    ) -> Self {
        let (build, zone, profile) = (build.0 as u8, zone.unwrap_or(0) as u8, profile.0 as u8);
        PeerOutcome { build, sequence: 0, zone, profile, on_trial, failed }
    }

    pub fn to_bytes(self) -> [u8; 5] {
        let [low, high] = self.sequence.to_le_bytes();
        let flags = self.profile << 2 | u8::from(self.on_trial) << 1 | u8::from(self.failed);
        [self.build, low, high, self.zone, flags]
    }

    /// `None` if the message has another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<PeerOutcome> {
        let [build, low, high, zone, flags] = *bytes else { return None };
        Some(PeerOutcome {
            build,
            sequence: u16::from_le_bytes([low, high]),
            zone,
            profile: flags >> 2,
            on_trial: flags & 2 > 0,
            failed: flags & 1 > 0,
        })
    }
}

/// What has been counted since a rollout began, as far as this gateway knows of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutCounts {
    pub build: BuildNo,
    /// Requests received.
    pub requests: u64,
    /// Attempts sent to the build.
    pub attempts: u64,
}

/// The messages of one peer on one build.
#[derive(Clone, Copy)]
struct PeerRecord {
    last_sequence: u16,
    /// How many messages reported success, and how many a failure.
    heard: [usize; 2],
}

/// The whole state of the balancer.
#[derive(Default)]
pub struct BalancerState {
    pub servers: BTreeMap<ServerId, Server>,
    pub requests: BTreeMap<RequestId, Request>,
    pub rollout: Option<RolloutStatus>,
    /// When `rollout` was last updated.
    pub rollout_at: Micros,
    /// The last vote cast, and when it is due again.
    pub last_vote: Option<(BuildNo, StageNo, Vote)>,
    pub next_vote_at: Micros,
    /// When the vote to promote is due; a timer is set for it.
    pub promotion_due_at: Micros,
    /// The signal that raises an alarm on the newest build.
    pub alarm: Option<Signal>,
    pub records: BTreeMap<BuildNo, BTreeMap<Signal, CusumRecord>>,
    /// Tallies that wait for the rest of their batch.
    pub pending_tallies: Vec<Tally>,
    /// When the period of the last tally ended.
    pub last_tally_end: BTreeMap<(BuildNo, ProfileId), Micros>,
    /// Sequence number of this gateway's last message to its peers.
    pub peer_sequence: u16,
    /// By sender, and whether the messages were about the build on trial.
    peer_records: BTreeMap<(GatewayId, bool), PeerRecord>,
    /// When the next stall check is due, and when one last came too late.
    pub stall_check_due_at: Micros,
    pub stalled_at: Micros,
    /// The latest samples of each profile, oldest first.
    pub samples: BTreeMap<ProfileId, VecDeque<Sample>>,
    /// The latency that nearly all answers kept just before the trial of the newest build began.
    pub latency_before: BTreeMap<ProfileId, Micros>,
    /// Since when latencies have been worse than before the trial.
    pub slower_since: Option<Micros>,
    pub recent_requests: Recent<ProfileId>,
    pub recent_successes: Recent<()>,
    pub rollout_counts: Option<RolloutCounts>,
    /// Recent attempts at builds on trial.
    pub trial_attempts: Recent<(BuildNo, ProfileId)>,
    pub recent_retries: Recent<()>,
    /// The newest build that answered each key, where keys are sticky.
    pub build_of_key: BTreeMap<KeyId, BuildNo>,
}

/// The samples after `since`, oldest first.
pub fn samples_after(samples: &VecDeque<Sample>, since: Micros) -> impl Iterator<Item = &Sample> {
    samples.range(samples.partition_point(|sample| sample.at <= since)..)
}

/// Appends an entry and drops the oldest one beyond `limit`.
pub fn push_bounded<T>(entries: &mut VecDeque<T>, entry: T, limit: usize) {
    entries.push_back(entry);
    if entries.len() > limit {
        entries.pop_front();
    }
}

impl BalancerState {
    pub fn healthy_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.info.condition == Condition::Healthy)
    }

    /// The healthy servers that run a build.
    pub fn healthy_servers_of(&self, build: BuildNo) -> impl Iterator<Item = &Server> {
        self.healthy_servers().filter(move |server| server.info.build == build)
    }

    /// Whether a build is the newest one that the platform has announced, or newer.
    pub fn is_newest(&self, build: BuildNo) -> bool {
        self.rollout.is_some_and(|rollout| build >= rollout.build)
    }

    /// The attempts in flight: the profile, the server's zone unless the server is gone, and since how long.
    pub fn in_flight_times(&self, now: Micros) -> impl Iterator<Item = (ProfileId, Option<ZoneId>, Micros)> {
        self.requests.values().flat_map(move |request| {
            let in_flight = request.attempts.iter().filter(|attempt| attempt.outcome.is_none());
            in_flight.map(move |attempt| {
                let zone = self.servers.get(&attempt.server).map(|server| server.info.zone);
                (request.arrival.profile, zone, now - attempt.sent_at)
            })
        })
    }

    /// Stores when the vote to promote is due; true if that has not changed.
    pub fn set_promotion_due_at(&mut self, due_at: Micros) -> bool {
        std::mem::replace(&mut self.promotion_due_at, due_at) == due_at
    }

    /// The latest start among the healthy servers of a build, 0 where it is unknown; `None`: no such server.
    pub fn latest_start(&self, build: BuildNo) -> Option<Micros> {
        self.healthy_servers_of(build).map(|server| server.info.started.unwrap_or(0)).max()
    }

    /// The mean of the servers' values in each zone, with `prior` values of 1 in addition.
    pub fn zone_means<'a, V: Iterator<Item = f64>>(
        &'a self, prior: f64, values: impl Fn(&'a Server) -> V,
    ) -> BTreeMap<ZoneId, f64> {
        let mut zones: BTreeMap<ZoneId, (f64, f64)> = BTreeMap::new();
        for server in self.healthy_servers() {
            let (sum, count) = zones.entry(server.info.zone).or_insert((prior, prior));
            for value in values(server) {
                (*sum, *count) = (*sum + value, *count + 1.0);
            }
        }
        zones.into_iter().map(|(zone, (sum, count))| (zone, sum / count)).collect()
    }

    /// Sums over the listed servers; machines that warm up count by their `warmth`.
    pub fn fleet_totals(
        &self, warmth: impl Fn(&Server) -> f64, permission: impl Fn(BuildNo) -> BuildPermission,
    ) -> FleetTotals {
        let mut totals = FleetTotals::default();
        for server in self.servers.values().filter(|server| server.info.condition != Condition::Gone) {
            let warmth = warmth(server);
            totals.capacity += server.info.capacity * warmth;
            if server.info.condition == Condition::Healthy {
                let build = server.info.build;
                let permission = *totals.builds.entry(build).or_insert_with(|| permission(build));
                totals.add_healthy(server, permission, warmth);
            }
        }
        totals
    }

    /// The requests that still need a final answer.
    pub fn open_requests(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, request)| !request.done).map(|(id, _)| *id).collect()
    }

    /// Stores the state of the rollout. Its counts begin anew when a build goes on trial, or on trial again.
    pub fn set_rollout(&mut self, rollout: RolloutStatus, now: Micros) {
        let continues = |old: RolloutStatus| old.build == rollout.build && old.phase == RolloutPhase::InTrial;
        if rollout.phase == RolloutPhase::InTrial && !self.rollout.is_some_and(continues) {
            self.rollout_counts = Some(RolloutCounts { build: rollout.build, ..RolloutCounts::default() });
        }
        (self.rollout, self.rollout_at) = (Some(rollout), now);
    }

    /// Stores a new request and counts it; counts from before `oldest` are dropped.
    pub fn add_request(&mut self, id: RequestId, arrival: Arrival, now: Micros, oldest: Micros) {
        self.recent_requests.add(now, arrival.profile, oldest);
        self.rollout_counts.iter_mut().for_each(|counts| counts.requests += 1);
        let request = Request { arrival, arrived_at: now, attempts: Vec::new(), done: false };
        self.requests.insert(id, request);
    }

    /// Stores an attempt that is sent now, and counts it as a retry if it uses the retry budget; counts from
    /// before `oldest` are dropped.
    pub fn add_attempt(&mut self, id: RequestId, attempt: Attempt, uses_budget: bool, oldest: Micros) {
        if uses_budget {
            self.recent_retries.add(attempt.sent_at, (), oldest);
        }
        let server = self.servers.get_mut(&attempt.server).expect("attempts go to known servers");
        server.in_flight.push(attempt.sent_at);
        server.recent_sends.add(attempt.sent_at, (), oldest);
        self.requests.get_mut(&id).expect("attempts belong to known requests").attempts.push(attempt);
    }

    /// Counts an attempt at a build on trial. It is also kept one by one where `oldest` is given, and those
    /// from before it are dropped.
    pub fn count_exposure(
        &mut self, build: BuildNo, profile: ProfileId, now: Micros, oldest: Option<Micros>,
    ) {
        if let Some(oldest) = oldest {
            self.trial_attempts.add(now, (build, profile), oldest);
        }
        let counts = self.rollout_counts.iter_mut().filter(|counts| counts.build == build);
        counts.for_each(|counts| counts.attempts += 1);
    }

    /// The requests after `since` and the attempts at a build from then on, of one profile or of all.
    pub fn exposure_since(&self, since: Micros, build: BuildNo, profile: Option<ProfileId>) -> RolloutCounts {
        let counts = |other: &ProfileId| profile.is_none_or(|profile| *other == profile);
        let requests = self.recent_requests.since(since).filter(|profile| counts(profile));
        let attempts = self.trial_attempts.since(since - 1);
        let attempts = attempts.filter(|(to, profile)| *to == build && counts(profile));
        RolloutCounts { build, requests: requests.count() as u64, attempts: attempts.count() as u64 }
    }

    /// The stage of a build, the first one if it is not announced.
    pub fn stage_of(&self, build: BuildNo) -> StageNo {
        let rollout = self.rollout.filter(|rollout| rollout.build == build);
        rollout.map_or(StageNo(0), |rollout| rollout.stage)
    }

    /// Whether a build is the announced one and is being, or has been, rolled back.
    pub fn is_rolled_back(&self, build: BuildNo) -> bool {
        self.rollout.is_some_and(|rollout| rollout.build == build && rollout.phase.is_rollback())
    }

    /// Stores what the server list says of some servers. A server that has started anew is another process,
    /// so what was seen of the former one is dropped. Servers that are gone are dropped once no attempt is in
    /// flight there.
    pub fn update_servers(&mut self, list: Vec<ServerInfo>) {
        for info in list {
            let server = self.servers.entry(info.server).or_default();
            if (server.info.build, server.info.started) != (info.build, info.started) {
                *server = Server { in_flight: std::mem::take(&mut server.in_flight), ..Server::default() };
            }
            server.info = info;
        }
        self.servers
            .retain(|_, server| server.info.condition != Condition::Gone || !server.in_flight.is_empty());
    }

    /// The latencies of a profile's successful attempts after `since`.
    pub fn latencies(&self, profile: ProfileId, since: Micros) -> impl Iterator<Item = Micros> {
        let samples =
            self.samples.get(&profile).into_iter().flat_map(move |samples| samples_after(samples, since));
        let answers = samples.filter(|sample| sample.outcome == AttemptOutcome::Succeeded);
        answers.map(|sample| sample.latency)
    }

    /// The usual latency of a profile: the mean since then; unknown if it rests on fewer than 5 answers.
    pub fn usual_latency(&self, profile: ProfileId, since: Micros) -> Option<Micros> {
        if self.samples.get(&profile)?.len() < 5 {
            return None;
        }
        let add = |(sum, count), latency| (sum + latency, count + 1);
        let (sum, count) = self.latencies(profile, since).fold((0, 0), add);
        (count >= 5).then(|| sum / count)
    }

    /// A quantile, as a fraction, of the latencies of each profile that has at least `min_count` of them.
    pub fn latency_quantiles(
        &self, since: Micros, min_count: f64, [numerator, denominator]: [usize; 2],
    ) -> BTreeMap<ProfileId, Micros> {
        let quantile = |profile: &ProfileId| {
            let mut latencies: Vec<_> = self.latencies(*profile, since).collect();
            latencies.sort_unstable();
            let enough = latencies.len() as f64 >= min_count;
            enough.then(|| (*profile, latencies[latencies.len() * numerator / denominator]))
        };
        self.samples.keys().filter_map(quantile).collect()
    }

    /// The usual latency of each profile that has one.
    pub fn usual_latencies(&self, since: Micros) -> BTreeMap<ProfileId, Micros> {
        let usual = |profile: &ProfileId| Some((*profile, self.usual_latency(*profile, since)?));
        self.samples.keys().filter_map(usual).collect()
    }

    /// Counts a peer's message and returns true, unless it is a repeat or out of order, or `limits` for
    /// successes and failures of that peer on the build have been reached.
    pub fn accept_peer_outcome(&mut self, from: GatewayId, outcome: PeerOutcome, limits: [usize; 2]) -> bool {
        let known = self.peer_records.get(&(from, outcome.on_trial)).copied();
        let first = PeerRecord { last_sequence: outcome.sequence, heard: [0; 2] };
        let mut record = known.unwrap_or(first);
        let ahead = outcome.sequence.wrapping_sub(record.last_sequence).wrapping_sub(1);
        let new = record.heard == [0; 2] || ahead < u16::MAX / 2;
        let failed = usize::from(outcome.failed);
        if !new || record.heard[failed] >= limits[failed] {
            return false;
        }
        record.heard[failed] += 1;
        record.last_sequence = outcome.sequence;
        self.peer_records.insert((from, outcome.on_trial), record);
        true
    }

    /// How many outcomes of the builds before this one failed since then, and how many there were.
    pub fn earlier_outcomes(&self, build: BuildNo, signal: Signal, since: Micros) -> (f64, f64) {
        let records = self.records.range(..build).filter_map(|(_, records)| records.get(&signal));
        let outcomes = records.flat_map(|record| record.outcomes.iter().filter(|one| one.at >= since));
        outcomes.fold((0.0, 0.0), |(failed, total), one| (failed + one.failed, total + one.total))
    }

    /// Drops what peers reported, and all outcomes of builds before `oldest`.
    pub fn forget_before(&mut self, oldest: BuildNo) {
        self.peer_records.clear();
        self.records.retain(|build, _| *build >= oldest);
        self.last_tally_end.retain(|(build, _), _| *build >= oldest);
        self.build_of_key.retain(|_, build| *build >= oldest);
    }

    /// Takes an ended attempt off its server. Returns the server's zone, and whether the server was silent
    /// while the attempt was in flight; `None` if the server is gone.
    pub fn server_answered(
        &mut self, attempt: &Attempt, outcome: AttemptOutcome, now: Micros,
    ) -> Option<(ZoneId, bool)> {
        use AttemptOutcome::{Error, Rejected, Succeeded};
        let server = self.servers.get_mut(&attempt.server)?;
        let index = server.in_flight.iter().position(|sent_at| *sent_at == attempt.sent_at);
        index.map(|index| server.in_flight.remove(index));
        let answered = matches!(outcome, Succeeded | Error | Rejected);
        let silent = !answered && server.last_answer_at <= attempt.sent_at;
        if answered {
            (server.last_answer_at, server.rejection_counted) = (now, false);
        }
        Some((server.info.zone, silent))
    }

    /// The record of a build by one signal. Beyond `limit` builds the oldest one is dropped.
    pub fn record(&mut self, build: BuildNo, signal: Signal, limit: usize) -> &mut CusumRecord {
        if self.records.len() >= limit && !self.records.contains_key(&build) {
            self.records.pop_first();
        }
        self.records.entry(build).or_default().entry(signal).or_default()
    }

    /// Drops what is known of profiles that are not `listed`.
    pub fn forget_profiles(&mut self, listed: impl Fn(ProfileId) -> bool) {
        self.samples.retain(|profile, _| listed(*profile));
        self.latency_before.retain(|profile, _| listed(*profile));
        self.last_tally_end.retain(|(_, profile), _| listed(*profile));
        self.records
            .values_mut()
            .for_each(|records| records.retain(|signal, _| signal.profile().is_none_or(&listed)));
    }

    /// Whether a tally's period ended at least `least` after that of the last one of its build and profile.
    pub fn is_new_tally(&self, tally: &Tally, end: Micros, least: Micros) -> bool {
        let last_end = self.last_tally_end.get(&(tally.build, tally.profile));
        last_end.is_none_or(|last_end| end >= last_end + least)
    }

    /// The share of a build's healthy servers that `counts`; `None` if it has no such servers.
    pub fn share_of_servers(&self, build: BuildNo, counts: impl Fn(&Server) -> bool) -> Option<f64> {
        let all = self.healthy_servers_of(build).count();
        let counted = self.healthy_servers_of(build).filter(|server| counts(server)).count();
        (all > 0).then(|| counted as f64 / all as f64)
    }

    /// Gives the next message to peers its sequence number.
    pub fn next_peer_message(&mut self, outcome: PeerOutcome) -> PeerOutcome {
        self.peer_sequence = self.peer_sequence.wrapping_add(1);
        PeerOutcome { sequence: self.peer_sequence, ..outcome }
    }

    /// Stores a sample for its server and its profile; `limits` are the numbers of samples kept for each.
    /// Samples of the profile up to `since` are dropped.
    pub fn add_sample(
        &mut self, server: ServerId, profile: ProfileId, sample: Sample, limits: [usize; 2], since: Micros,
    ) {
        if let Some(server) = self.servers.get_mut(&server) {
            push_bounded(&mut server.samples, sample, limits[0]);
        }
        let samples = self.samples.entry(profile).or_default();
        samples.drain(..samples.partition_point(|sample| sample.at <= since));
        push_bounded(samples, sample, limits[1]);
    }

    /// Drops the samples of profiles without any after `since`: over weeks, profiles come and go.
    pub fn forget_samples(&mut self, since: Micros) {
        self.samples.retain(|_, samples| samples.back().is_some_and(|last| last.at > since));
    }

    /// Stores the newest build that answered a key, for at most `limit` keys.
    pub fn key_answered(&mut self, key: KeyId, build: BuildNo, limit: usize) {
        let newest = self.build_of_key.entry(key).or_insert(build);
        *newest = build.max(*newest);
        if self.build_of_key.len() > limit {
            self.build_of_key.pop_first();
        }
    }

    /// Marks a request as done.
    pub fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.done = true;
        }
        self.remove_if_done(id);
    }

    /// Drops a request that is done and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|request| request.done && request.none_in_flight()) {
            self.requests.remove(&id);
        }
    }
}

/// What all servers are compared by, computed once for each selection.
pub struct FleetView {
    pub now: Micros,
    /// Samples of a server count for so long.
    pub sample_window: Micros,
    /// How long a server may answer nothing while an attempt is in flight.
    pub max_silence: Micros,
    /// The usual latency of each profile that has one.
    pub usual_latencies: BTreeMap<ProfileId, Micros>,
    /// How long machines warm up, and the share of their capacity that they have at their start.
    pub warmup: Micros,
    pub cold_capacity: f64,
    /// The zone of this gateway.
    pub own_zone: Option<ZoneId>,
    /// Cost factor of servers in other zones.
    pub crossing_factor: f64,
    /// The mean slowness of the servers in each zone, in usual latencies.
    pub zone_slowness: BTreeMap<ZoneId, f64>,
}

impl FleetView {
    pub fn usual_latency(&self, profile: ProfileId) -> Option<Micros> {
        self.usual_latencies.get(&profile).copied()
    }
}

/// Whether a build counts as on trial, and whether the request may go to it.
#[derive(Clone, Copy, Default)]
pub struct BuildPermission {
    pub on_trial: bool,
    pub allowed: bool,
}

/// The healthy servers of one zone and build.
#[derive(Clone, Copy, Default)]
pub struct ServerGroup {
    pub size: usize,
    /// Servers that the selection has passed so far.
    pub passed: usize,
}

/// Sums over the listed servers, for the selection of one for a request.
#[derive(Default)]
pub struct FleetTotals {
    pub builds: BTreeMap<BuildNo, BuildPermission>,
    pub groups: BTreeMap<(ZoneId, BuildNo), ServerGroup>,
    /// Warmth of the healthy servers, and of those of them whose build is on trial.
    pub healthy: f64,
    pub on_trial: f64,
    /// Capacity of all listed servers, and of the healthy ones whose build the request may go to.
    pub capacity: f64,
    pub allowed_capacity: f64,
}

impl FleetTotals {
    /// Counts a healthy server, whose capacity has been counted already.
    fn add_healthy(&mut self, server: &Server, permission: BuildPermission, warmth: f64) {
        self.groups.entry((server.info.zone, server.info.build)).or_default().size += 1;
        self.healthy += warmth;
        self.on_trial += if permission.on_trial { warmth } else { 0.0 };
        self.allowed_capacity += if permission.allowed { server.info.capacity * warmth } else { 0.0 };
    }

    /// The position of the next healthy server in its group and the part that one server is, both as
    /// fractions of the group. Servers must be passed in order, each one once; `None` for one that is in no
    /// group.
    pub fn next_position(&mut self, info: &ServerInfo) -> Option<(f64, f64)> {
        let group = self.groups.get_mut(&(info.zone, info.build))?;
        if info.condition != Condition::Healthy {
            return None;
        }
        group.passed += 1;
        Some((group.passed as f64 / group.size as f64, 1.0 / group.size as f64))
    }
}

/// A part of the servers of each group, from a start on, both as fractions of the group.
#[derive(Clone, Copy)]
pub struct Subset {
    pub start: f64,
    pub size: f64,
}

impl Subset {
    pub const ALL: Subset = Subset { start: 0.0, size: 1.0 };

    /// Whether a position is in the subset, which is at least as large as one server.
    pub fn contains(self, position: f64, one_server: f64) -> bool {
        let distance = position - self.start;
        distance - distance.floor() < self.size.max(one_server)
    }
}

/// A server that a request may go to.
#[derive(Clone, Copy)]
pub struct Candidate {
    /// The least is the best: whether it backs off, is not of the drawn build and is too late, then its cost.
    pub order: ((bool, bool, bool), f64),
    pub server: ServerId,
    /// How long the attempt is expected to take.
    pub expected: Micros,
    pub too_late: bool,
}

/// What a build's outcomes by one signal are compared with.
#[derive(Clone, Copy)]
pub struct Baseline {
    /// The failure rate p0 of a good build.
    pub rate: f64,
    /// The number of outcomes of earlier builds that it rests on.
    pub total: f64,
    /// How many of them are of the last seconds.
    pub present: f64,
}

impl Baseline {
    /// A fixed rate, which rests on no outcomes.
    pub fn constant(rate: f64) -> Baseline {
        Baseline { rate, total: f64::INFINITY, present: f64::INFINITY }
    }
}

/// Attempts by the share of the target latency that they took: the zone if it is known, the share, and
/// whether the server answered.
pub struct LatencyShares(pub Vec<(Option<ZoneId>, f64, bool)>);

impl LatencyShares {
    /// The shares of the attempts, answered or not, in a zone and in unknown ones, or in all.
    fn of(&self, zone: Option<ZoneId>, answered: bool) -> Vec<f64> {
        let here = |other: &Option<ZoneId>| other.is_none() || zone.is_none() || *other == zone;
        let chosen = self.0.iter().filter(|share| here(&share.0) && share.2 == answered);
        chosen.map(|(_, share, _)| *share).collect()
    }

    /// The mean share in a zone, or in all, of at least `min_count` attempts. Those without an answer count
    /// up to a limit, which depends on the sum and the number of those with one.
    pub fn mean(
        &self, zone: Option<ZoneId>, min_count: usize, limit: impl Fn(f64, usize) -> f64,
    ) -> Option<f64> {
        let [answered, unanswered] = [true, false].map(|answered| self.of(zone, answered));
        let sum = answered.iter().sum::<f64>();
        let limit = limit(sum, answered.len());
        let sum = unanswered.iter().fold(sum, |sum, share| sum + share.min(limit));
        let count = answered.len() + unanswered.len();
        (count >= min_count).then(|| sum / count as f64)
    }
}
