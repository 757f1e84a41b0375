//! What a gateway remembers: plain state that the balancer fills and reads. Nothing here decides anything.
//!
//! Samples, counts and records are bounded, by a number of entries or by an age. Requests and servers are
//! dropped once they are done or gone and have no attempt in flight.

use std::collections::{BTreeMap, VecDeque};

use crate::host::{
    Arrival, AttemptOutcome, BuildNo, Condition, GatewayId, KeyId, Micros, ProfileId, RequestId,
    RolloutPhase, RolloutStatus, ServerId, ServerInfo, StageNo, Tally, Vote, ZoneId,
};

mod evidence;
mod fleet;
mod requests;

pub use evidence::{Baseline, CusumRecord, OutcomeCount, PeerOutcome, RolloutCounts, Signal};
pub use fleet::{
    BuildPermission, Candidate, FleetTotals, FleetView, LatencyShare, LatencyShares, ServerGroup, Subset,
};
pub use requests::{AnswerTotals, Attempt, Recent, Request, Sample, Server, push_bounded, samples_after};

/// A profile's usual latency rests on at least so many answers.
const MIN_USUAL_ANSWERS: usize = 5;

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
    /// The newest build that the platform has announced.
    pub rollout: Option<RolloutStatus>,
    /// When `rollout` was last updated.
    pub rollout_at: Micros,
    /// The last vote cast.
    pub last_vote: Option<(BuildNo, StageNo, Vote)>,
    /// When that vote is due again.
    pub next_vote_at: Micros,
    /// When the vote to promote is due; a timer is set for it.
    pub promotion_due_at: Micros,
    /// The signal that raises an alarm on the newest build.
    pub alarm: Option<Signal>,
    /// The evidence on each build.
    pub records: BTreeMap<BuildNo, BTreeMap<Signal, CusumRecord>>,
    /// Tallies that wait for the rest of their batch.
    pub pending_tallies: Vec<Tally>,
    /// When the period of the last tally ended.
    pub last_tally_end: BTreeMap<(BuildNo, ProfileId), Micros>,
    /// Sequence number of this gateway's last message to its peers.
    pub peer_sequence: u16,
    /// By sender, and whether the messages were about the build on trial.
    peer_records: BTreeMap<(GatewayId, bool), PeerRecord>,
    /// When the next stall check is due; 0 before the first one.
    pub stall_check_due_at: Micros,
    /// When a stall check last came too late.
    pub stalled_at: Micros,
    /// The latest samples of each profile, oldest first.
    pub samples: BTreeMap<ProfileId, VecDeque<Sample>>,
    /// The latency that nearly all answers kept just before the trial of the newest build began.
    pub latency_before: BTreeMap<ProfileId, Micros>,
    /// Since when latencies have been worse than before the trial.
    pub slower_since: Option<Micros>,
    /// Requests received lately, by profile.
    pub recent_requests: Recent<ProfileId>,
    /// Attempts that succeeded lately.
    pub recent_successes: Recent<()>,
    /// What has been counted since the rollout began.
    pub rollout_counts: Option<RolloutCounts>,
    /// Recent attempts at builds on trial.
    pub trial_attempts: Recent<(BuildNo, ProfileId)>,
    /// Recent attempts that used the retry budget.
    pub recent_retries: Recent<()>,
    /// The newest build that answered each key, where keys are sticky.
    pub build_of_key: BTreeMap<KeyId, BuildNo>,
}

impl BalancerState {
    /// The servers that take new requests.
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

    /// The usual latency of a profile: the mean since then; unknown if it rests on too few answers.
    pub fn usual_latency(&self, profile: ProfileId, since: Micros) -> Option<Micros> {
        if self.samples.get(&profile)?.len() < MIN_USUAL_ANSWERS {
            return None;
        }
        let add = |(sum, count), latency| (sum + latency, count + 1);
        let (sum, count) = self.latencies(profile, since).fold((0, 0), add);
        (count >= MIN_USUAL_ANSWERS).then(|| sum / count as Micros)
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
    pub fn record_end(
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
