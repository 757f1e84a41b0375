//! All decisions of a gateway: the build and server of each attempt, retries, load shedding, and votes on
//! staged releases. The host calls a method for each event, and the balancer acts at once through the
//! [`Host`] trait; [`crate::state`] is its memory. Votes follow Bayraktar and Lai: each gateway runs its own
//! CUSUM statistic on the build on trial and votes to roll back on alarm. Each submodule holds one concern.

use std::collections::BTreeMap;

use crate::config::{BalancerConfig, DedupScope, RepeatSafety, RetryBudget};
use crate::host::*;
use crate::state::*;

mod evidence;
mod exposure;
mod retry;
mod selection;
mod shedding;
mod verdict;

// Constants of several submodules. docs/design.md says why some differ from the published design.
const ALARM_THRESHOLD_NATS: f64 = 6.0; // height of the statistic that raises an alarm
const MIN_EARLIER_OUTCOMES: f64 = 30.0; // of earlier builds, before any vote to roll back
const MIN_OUTCOMES: f64 = 10.0; // of the build on trial before such a vote; of any build in a comparison
const MIN_JUDGED_AGE: Micros = 5 * SECOND; // machines on trial are not judged for so long after their start
const MAX_STICKY_KEYS: usize = 100_000; // the builds of further keys are forgotten, to bound the memory
const SAMPLES_PER_SERVER: usize = 16; // enough to see a failing share, few enough to forget it soon
const SAMPLES_PER_PROFILE: usize = 64; // for the usual latency
const PRIOR_ANSWERS: f64 = 2.0; // answers of usual latency that the estimates of slowness start from
const SAMPLE_WINDOW: Micros = 4 * SECOND; // older samples say nothing about a server's present
const MAX_SAMPLE_WINDOW: Micros = 20 * SECOND; // where attempts are so few that older samples must serve
const FAILURE_COST: f64 = 8.0; // of a failed attempt, in usual latencies
const LONG_IN_FLIGHT_SHARE: f64 = 0.5; // of the target latency: longer shows overload before attempts end
const REQUEST_COUNT_WINDOW: Micros = 10 * SECOND; // long enough for a count where requests are few
const LIST_CALL_TIME: Micros = 10 * MS; // of the list service, per gateway that may call it at the same time
const STALL_CHECK_PERIOD: Micros = 100 * MS; // a check late by half of it shows that the gateway stalled

/// The decisions of one gateway.
pub struct Balancer<H: Host> {
    host: H,
    config: BalancerConfig,
    random: oorandom::Rand64,
    pub state: BalancerState,
    retention: Micros, // the longest window of any count; older events are dropped, to bound the memory
}

impl<H: Host> Balancer<H> {
    /// Starts with an empty state; all random draws follow from `seed`.
    pub fn start(host: H, seed: u64, settings: Settings) -> Self {
        let random = oorandom::Rand64::new(u128::from(seed));
        let (config, state) = (BalancerConfig::default(), BalancerState::default());
        let mut balancer = Balancer { host, config, random, state, retention: 0 };
        balancer.settings_changed(settings);
        balancer.timer_fired(TimerKind::StallCheck);
        if balancer.config.watches_server_list {
            let longest = balancer.time_for_all_gateways(LIST_CALL_TIME);
            let first = balancer.host.now() + balancer.random_between(0, longest);
            balancer.host.set_timer(first, TimerKind::ServerList);
        }
        balancer
    }

    /// Applies other settings. A profile's number must keep its meaning, so that the state of listed profiles
    /// stays; that of others is dropped. A route whose kind of request changes needs a new number.
    pub fn settings_changed(&mut self, settings: Settings) {
        self.config = BalancerConfig::new(&settings);
        self.state.forget_profiles(|profile| self.config.profile(profile).listed);
        self.retention = self.config.longest_window().max(MAX_SAMPLE_WINDOW);
    }

    /// A complete server list has arrived; servers that are not in it are gone.
    pub fn server_list_replaced(&mut self, list: Vec<ServerInfo>) {
        self.state.servers.values_mut().for_each(|server| server.info.condition = Condition::Gone);
        self.server_list_updated(list);
    }

    pub fn server_list_updated(&mut self, list: Vec<ServerInfo>) {
        self.state.update_servers(list);
        self.update_vote();
    }

    /// A call for the list failed. The next one has a random delay: a service fails for all gateways at once.
    pub fn server_list_failed(&mut self) {
        let longest = 1600 * MS + self.time_for_all_gateways(LIST_CALL_TIME);
        let at = self.host.now() + self.random_between(400 * MS, longest);
        self.host.set_timer(at, TimerKind::ServerList);
    }

    pub fn request_arrived(&mut self, id: RequestId, arrival: Arrival) {
        let now = self.host.now();
        self.state.add_request(id, arrival, now, now - self.retention);
        if let Err(reason) = self.send(id) {
            self.refuse(id, reason);
        }
    }

    /// A server's response is being passed on to the client, so that no other answer can follow.
    pub fn response_started(&mut self, id: RequestId, _attempt: AttemptNo) {
        self.client_disconnected(id);
    }

    /// An attempt has ended; `done`: its request has its final answer, or its client has disconnected.
    pub fn attempt_ended(
        &mut self, id: RequestId, number: AttemptNo, latency: Micros, outcome: AttemptOutcome, done: bool,
        _load: &[Option<f64>],
    ) {
        let now = self.host.now();
        let Some(request) = self.state.requests.get_mut(&id) else { return };
        request.done |= done;
        let Arrival { profile, key, .. } = request.arrival;
        let Some(attempt) = request.end_attempt(number, outcome) else { return };
        let seen = self.state.record_end(&attempt, outcome, now);
        if let Some((zone, silent)) = seen.filter(|_| outcome.is_server_evidence() && !self.has_stalled()) {
            let usual = self.state.usual_latency(profile, now - self.sample_window());
            let sample = Sample::new(&attempt, outcome, now, latency, usual, zone, silent);
            let limits = [SAMPLES_PER_SERVER, SAMPLES_PER_PROFILE];
            self.state.add_sample(attempt.server, profile, sample, limits, now - MAX_SAMPLE_WINDOW);
        }
        if outcome == AttemptOutcome::Succeeded {
            self.state.recent_successes.add(now, (), now - self.retention);
            if let Some(key) = key.filter(|_| self.config.sticky_keys) {
                self.state.key_answered(key, attempt.build, MAX_STICKY_KEYS);
            }
        }
        self.judge_attempt(&attempt, profile, latency, outcome);
        let needs_attempt = self.state.requests[&id].needs_attempt();
        if needs_attempt && let Err(reason) = self.send(id) {
            self.refuse(id, reason);
        }
        self.state.remove_if_done(id);
        self.update_vote();
    }

    pub fn client_disconnected(&mut self, id: RequestId) {
        self.state.finish(id);
    }

    /// The gateway stops: every open request gets its final answer now.
    pub fn stop(&mut self) {
        self.state.open_requests().into_iter().for_each(|id| self.refuse(id, Refusal::Stopping));
    }

    /// The platform has sent the state of the newest build's rollout.
    pub fn rollout_updated(&mut self, rollout: RolloutStatus) {
        if self.state.rollout.is_some_and(|old| old.build < rollout.build) {
            // Latencies are compared with those just before the trial, if there are enough. If all was slow
            // already they are not, as a good build would be held for the faults of the last one. Harm: a
            // build that slows all servers from then on is found out late.
            let normal = self.state.slower_since.take().is_none();
            let since = self.host.now() - self.sample_window();
            let slowest_tenth = self.state.latency_quantiles(since, MIN_OUTCOMES, [9, 10]);
            self.state.latency_before = if normal { slowest_tenth } else { BTreeMap::new() };
            // Builds before the last but one say nothing about any build to come.
            self.state.forget_before(BuildNo(rollout.build.0.saturating_sub(2)));
        }
        self.state.set_rollout(rollout, self.host.now());
        self.update_vote();
    }

    /// The platform has sent a tally. It is judged once the rest of its batch is in: while the earlier
    /// build's is missing, a fault that all builds share would look like the new build's.
    pub fn tally_received(&mut self, tally: Tally) {
        self.state.pending_tallies.push(tally);
        self.host.set_timer(self.host.now() + 1, TimerKind::Vote);
    }

    pub fn timer_fired(&mut self, timer: TimerKind) {
        match timer {
            TimerKind::Request(id) => self.attempt_overdue(id),
            TimerKind::Vote => self.judge_tallies(),
            TimerKind::ServerList => self.host.watch_server_list(true),
            TimerKind::StallCheck => {
                let now = self.host.now();
                if self.has_stalled() {
                    self.state.stalled_at = now;
                }
                self.state.forget_samples(now - MAX_SAMPLE_WINDOW);
                self.state.stall_check_due_at = now + STALL_CHECK_PERIOD;
                self.host.set_timer(self.state.stall_check_due_at, TimerKind::StallCheck);
            }
        }
    }

    /// A probe has ended. The balancer sends none, so that this does nothing.
    pub fn probe_ended(&mut self, _: ServerId, _: AttemptOutcome, _latency: Micros, _load: &[Option<f64>]) {}

    /// Whether this gateway stalled until just now. Events that piled up meanwhile come late for that reason
    /// alone: their times say nothing about a server or build, only errors do.
    fn has_stalled(&self) -> bool {
        let (now, due_at) = (self.host.now(), self.state.stall_check_due_at);
        now == self.state.stalled_at || (due_at > 0 && now > due_at + STALL_CHECK_PERIOD / 2)
    }

    /// How far back samples count: as far as two requests per server go back, within the two limits.
    fn sample_window(&self) -> Micros {
        let earliest = self.state.recent_requests.time_before(2 * self.state.servers.len());
        let window = earliest.map_or(MAX_SAMPLE_WINDOW, |at| self.host.now() - at);
        window.clamp(SAMPLE_WINDOW, MAX_SAMPLE_WINDOW)
    }

    /// Time for one call of each gateway in turn, at most 5 s, as the list must be fetched some time.
    fn time_for_all_gateways(&self, each: Micros) -> Micros {
        (each * self.config.gateways() as Micros).min(5 * SECOND)
    }

    fn random_between(&mut self, least: Micros, most: Micros) -> Micros {
        least + (self.random.rand_float() * (most - least) as f64) as Micros
    }
}
