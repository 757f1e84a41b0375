//! Evidence: what counts for or against a build, from this gateway, its peers and the platform.

use super::*;

const MIN_FAILURE_RATE: f64 = 0.05; // p0 at least, as a few trial machines are balanced worse than many
const MAX_FAILURE_RATE: f64 = 0.5; // p0 at most, so that a bad present does not excuse any build
const BAD_BUILD_FACTOR: f64 = 3.0; // p1, the failure rate of a bad build, in p0
const MIN_DISPUTE_RATE: f64 = 0.005; // p0 at least for disputes, as clients dispute some right answers
const SLOWER_RATE: f64 = 0.25; // p0 of being slower than nine in ten, with a margin for few servers
const PRESENT_WINDOW: Micros = 3 * SECOND; // an earlier build's rate over it counts where it is higher
const OUTCOMES_PER_RECORD: usize = 200; // seconds of traffic at a large gateway, minutes at a small one
const MAX_BUILDS: usize = 16; // that records are kept of, where no rollout ever has any forgotten
const PEER_MESSAGE_POINTS: f64 = 0.008; // price of messages about a trial, in points of the overall result
const MAX_PEERS_PER_OUTCOME: f64 = 64.0; // for the time that sending takes
const MAX_HEARD: [usize; 2] = [30, 3]; // successes and failures of a peer on a build: half an alarm each

impl<H: Host> Balancer<H> {
    /// Takes an ended attempt as evidence, if it is any. Latencies and resets are judged only while the
    /// earlier build still answers beside the one on trial: without that comparison, a slowdown or broken
    /// links that affect all servers would roll back a good released build. A released build that turns slow
    /// is left to [`Signal::SlowerThanBefore`]. Nor are they judged after a stall, or across zones, where
    /// they say as much about the link. The host gets latencies all the same: it compares for all gateways.
    pub(super) fn judge_attempt(
        &mut self, attempt: &Attempt, profile: ProfileId, latency: Micros, outcome: AttemptOutcome,
    ) {
        let build = attempt.build;
        let late = latency > self.config.profile(profile).target_latency;
        let succeeded = outcome == AttemptOutcome::Succeeded;
        if succeeded {
            self.add_outcomes(build, Signal::DisputedAnswers, 0.0, 1.0);
        }
        let newest = self.state.is_newest(build);
        let comparable = !newest || self.baseline(build, Signal::Failures(profile)).present >= MIN_OUTCOMES;
        let error = outcome == AttemptOutcome::Error || (comparable && outcome == AttemptOutcome::Reset);
        let timed_out = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled) && late;
        let timed = !self.has_stalled() && (attempt.latency_comparable || succeeded);
        let too_young = newest && attempt.server_young && !(error && self.config.judge_young_errors);
        if !(error || (timed && (succeeded || timed_out))) || too_young {
            return;
        }
        let failed = error || (attempt.latency_comparable && late);
        if self.sends_peer_messages() && latency < Micros::MAX {
            self.add_shared_outcomes(build, profile, f64::from(u8::from(failed)), 1.0);
            if let Some(rollout) = self.state.rollout.filter(|it| it.phase == RolloutPhase::InTrial) {
                self.send_outcome(rollout.build, profile, newest, failed);
            }
        }
        if comparable || error || succeeded {
            let counts = failed && (error || comparable);
            self.add_outcomes(build, Signal::Failures(profile), f64::from(u8::from(counts)), 1.0);
        }
        self.host.outcome_judged(build, profile, failed);
        // Compares the present with the seconds before the trial, whichever build answered.
        let limit = self.state.latency_before.get(&profile).filter(|_| attempt.latency_comparable && !error);
        if let (Some(limit), Some(rollout)) = (limit, self.state.rollout) {
            let slower = f64::from(u8::from(latency > *limit));
            self.add_outcomes(rollout.build, Signal::SlowerThanBefore, slower, 1.0);
        }
    }

    /// Counts a refusal as too late as a failure of the build, else a slow build would hide behind refusals.
    /// It counts once between two answers, if the server answers and is not the only one of its build.
    pub(super) fn judge_rejection(&mut self, attempt: &Attempt, profile: ProfileId, is_retry: bool) {
        let several = self.state.healthy_servers_of(attempt.build).count() > 1;
        let Some(server) = self.state.servers.get_mut(&attempt.server) else { return };
        let answers = server.recent_answers(self.host.now(), SAMPLE_WINDOW).next().is_some();
        let counted = std::mem::replace(&mut server.rejection_counted, true);
        if !is_retry && answers && several && !counted {
            self.judge_attempt(attempt, profile, Micros::MAX, AttemptOutcome::TimedOut);
        }
    }

    /// Updates the CUSUM statistic of a build, and the outcomes that later builds are compared with.
    fn add_outcomes(&mut self, build: BuildNo, signal: Signal, failed: f64, total: f64) {
        let p0 = self.baseline(build, signal).rate;
        let p1 = (BAD_BUILD_FACTOR * p0).min((1.0 + p0) / 2.0);
        let record = self.state.record(build, signal, MAX_BUILDS);
        let step = failed * (p1 / p0).ln() + (total - failed) * ((1.0 - p1) / (1.0 - p0)).ln();
        let slowdown = signal == Signal::SlowerThanBefore; // it must end its alarm soon after it is over
        let limit = if slowdown { 2.0 * ALARM_THRESHOLD_NATS } else { f64::INFINITY };
        record.statistic_nats = (record.statistic_nats + step).max(0.0).min(limit);
        let outcomes = OutcomeCount { at: self.host.now(), failed, total };
        push_bounded(&mut record.outcomes, outcomes, OUTCOMES_PER_RECORD);
    }

    /// Adds outcomes that other gateways count too, for bad builds that each gateway sends too few requests
    /// to. As with latencies, the newest build is judged only beside an earlier one. A fault at few trial
    /// machines reaches all gateways this way, so that their alarms are not independent.
    fn add_shared_outcomes(&mut self, build: BuildNo, profile: ProfileId, failed: f64, total: f64) {
        let signal = Signal::SharedFailures(profile);
        if !self.state.is_newest(build) || self.baseline(build, signal).present >= MIN_OUTCOMES {
            self.add_outcomes(build, signal, failed, total);
        }
    }

    /// What a build is compared with: the failure rate p0 of the builds before it, which is the higher one of
    /// the rates over all outcomes kept and over the last seconds.
    pub(super) fn baseline(&self, build: BuildNo, signal: Signal) -> Baseline {
        let least = match signal {
            Signal::SlowerThanBefore => return Baseline::constant(SLOWER_RATE),
            Signal::Failures(_) | Signal::SharedFailures(_) | Signal::BrokenSessions(_) => MIN_FAILURE_RATE,
            Signal::DisputedAnswers => MIN_DISPUTE_RATE,
        };
        let rate = |since: Micros, min_total: f64| {
            let (failed, total) = self.state.earlier_outcomes(build, signal, since);
            (if total < min_total { 0.0 } else { failed / f64::max(total, 1.0) }, total)
        };
        let (overall_rate, total) = rate(0, 1.0);
        let (present_rate, present) = rate(self.host.now() - PRESENT_WINDOW, MIN_OUTCOMES);
        let rate = overall_rate.max(present_rate).clamp(least, MAX_FAILURE_RATE);
        Baseline { rate, total, present }
    }

    /// A session lasted long enough to be judged, or its server broke it (`failed`). Other ends of a session,
    /// above all by its client, say nothing about the build.
    pub fn session_judged(&mut self, server: ServerId, build: BuildNo, profile: ProfileId, failed: bool) {
        let signal = Signal::BrokenSessions(profile);
        let newest = self.state.is_newest(build);
        let started = self.state.servers.get(&server).and_then(|server| server.info.started);
        let young = started.is_some_and(|at| self.host.now() - at < MIN_JUDGED_AGE);
        let comparable = !newest || self.baseline(build, signal).present >= MIN_OUTCOMES;
        if !(self.has_stalled() || (newest && young) || (failed && !comparable)) {
            self.add_outcomes(build, signal, f64::from(u8::from(failed)), 1.0);
            self.update_vote();
        }
    }

    /// Clients found an answer wrong. That concerns the build that the server ran when the attempt was sent.
    pub fn answer_disputed(&mut self, server: ServerId, _profile: ProfileId, age: Micros) {
        let sent_at = self.host.now() - age;
        let info = self.state.servers.get(&server).map(|server| &server.info);
        if let Some(info) = info.filter(|info| info.started.is_none_or(|started| started <= sent_at)) {
            self.add_outcomes(info.build, Signal::DisputedAnswers, 1.0, 1.0);
            self.update_vote();
        }
    }

    /// Adds the platform's tallies. As samples of all outcomes they have a signal of their own. Late answers
    /// are not in them; their share follows from the mean as if latencies were exponential. Machines too
    /// young to be judged are left out by their share.
    pub(super) fn judge_tallies(&mut self) {
        let period = self.config.tally_period;
        self.state.pending_tallies.sort_by_key(|tally| tally.build);
        for tally in std::mem::take(&mut self.state.pending_tallies) {
            let Tally { build, profile, attempts, failed, mean_latency, age } = tally;
            let end = self.host.now() - age;
            let newest = self.state.is_newest(build);
            let started = |at: Micros| end - period < at + MIN_JUDGED_AGE;
            let judged = |server: &Server| !(newest && server.info.started.is_some_and(started));
            let share = self.state.share_of_servers(build, judged);
            let new = age >= 0 && self.state.is_new_tally(&tally, end, period / 2);
            let valid = new && profile.0 < self.config.profiles.len();
            let Some(share) = share.filter(|_| valid) else { continue };
            let target = self.config.profile(profile).target_latency as f64;
            let late = mean_latency.map_or(0.0, |mean| (-target / mean.max(1) as f64).exp());
            self.state.last_tally_end.insert((build, profile), end);
            let (attempts, failed) = (attempts as f64, failed.min(attempts) as f64);
            let failed = (failed + (attempts - failed) * late) * share;
            self.add_shared_outcomes(build, profile, failed, attempts * share);
        }
        self.update_vote();
    }

    /// Whether outcomes are sent to peers: only if the settings allow it and the platform sends no tallies.
    fn sends_peer_messages(&self) -> bool {
        self.config.peer_messages && self.config.tally_period == 0
    }

    /// Sends one outcome to as many peers as the price allows, from a random one on, so that small gateways
    /// see together what one does not. `on_trial`: it is of the build on trial, not of an earlier one.
    fn send_outcome(&mut self, build: BuildNo, profile: ProfileId, on_trial: bool, failed: bool) {
        let outcome = PeerOutcome::new(build, self.config.zone, profile, on_trial, failed);
        let bytes = self.state.next_peer_message(outcome).to_bytes();
        let price = self.config.peer_price * bytes.len() as f64 / 256.0;
        let affordable = PEER_MESSAGE_POINTS / price.max(f64::MIN_POSITIVE);
        let limit = affordable.min(MAX_PEERS_PER_OUTCOME) as usize;
        let others = self.config.other_gateways(self.random.rand_float());
        others.take(limit).for_each(|peer| self.host.send_to_peers(Some(peer), &bytes));
    }

    /// A peer has sent an outcome. It counts if it is new, well formed and of this zone. Of each peer only a
    /// few count for a build, so that none can raise or prevent an alarm alone, by a fault or a lie.
    pub fn peer_message_received(&mut self, from: GatewayId, bytes: &[u8]) {
        let Some(outcome) = PeerOutcome::from_bytes(bytes) else { return };
        let rollout = self.state.rollout.filter(|rollout| rollout.build.0 as u8 == outcome.build);
        let Some(rollout) = rollout.filter(|_| self.sends_peer_messages()) else { return };
        let profile = ProfileId(outcome.profile.into());
        let fleet = self.config.fleet_size.unwrap_or(0.0);
        let known = fleet > from.0 as f64 && self.config.profiles.len() > profile.0;
        let own_zone = self.config.zone.unwrap_or(0) == usize::from(outcome.zone);
        if known && own_zone && self.state.accept_peer_outcome(from, outcome, MAX_HEARD) {
            let build = BuildNo(rollout.build.0.saturating_sub(u32::from(!outcome.on_trial)));
            self.add_shared_outcomes(build, profile, f64::from(u8::from(outcome.failed)), 1.0);
            if outcome.failed {
                self.update_vote();
            }
        }
    }
}
