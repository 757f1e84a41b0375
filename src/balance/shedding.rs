//! Load shedding: how long requests may wait where there is not room for all, and how they are refused.

use super::*;
use AttemptOutcome::{Cancelled, Rejected, Succeeded, TimedOut};

const OVERLOAD_SHARE: f64 = 1.5; // share of the target latency that an attempt without an answer counts as
const MIN_WAIT_SHARE: f64 = 0.4; // of the time left, that a wait may fill for the least valuable profile
const VALUE_WAIT_SHARE: f64 = 0.3; // that it may fill in addition for the most valuable profile
const RANKED_WAIT_FACTOR: f64 = 2.0; // how much longer requests may wait where ranks decide
const RETRY_AFTER_MARGIN: Micros = 20 * MS; // of the time left, as the answer takes a while to arrive
const OTHERS_IN_FLIGHT: f64 = 3.0; // attempts of other gateways that a server is assumed to have
const MAX_LOAD_GROWTH: f64 = 2.0; // times the highest load of an answer: up to it latency is predicted
const LOST_FACTOR: f64 = 4.0; // of the mean of many answers, the most that an attempt without one counts as

impl<H: Host> Balancer<H> {
    /// The share of their target latency that recent attempts took, by zone, or over all zones where a zone
    /// has too few. Profiles count together, as a small gateway has no more to go by. An attempt without an
    /// answer counts as late, once in flight for long even before it ends. Where answers are quick, it counts
    /// as lost instead of queued: one answer in ten that is lost is no overload.
    pub(super) fn pressure(&self) -> impl Fn(ZoneId) -> Option<f64> + use<H> {
        let now = self.host.now();
        let target = |profile| self.config.profile(profile).target_latency as f64;
        let ended = self.state.samples.iter().flat_map(|(profile, samples)| {
            let (recent, target) = (samples_after(samples, now - SAMPLE_WINDOW), target(*profile));
            recent.filter_map(move |sample| match sample.outcome {
                Succeeded => Some(LatencyShare::answered(sample.zone, sample.latency as f64 / target)),
                Rejected => Some(LatencyShare::answered(sample.zone, OVERLOAD_SHARE)),
                TimedOut | Cancelled => Some(LatencyShare::unanswered(sample.zone, OVERLOAD_SHARE)),
                _ => None,
            })
        });
        let late = self.state.in_flight_times(now).map(|(profile, zone, time)| {
            let share = time as f64 / target(profile);
            LatencyShare::unanswered(zone, share.min(OVERLOAD_SHARE))
        });
        let late = late.filter(|late| late.share >= LONG_IN_FLIGHT_SHARE);
        let shares = LatencyShares(ended.chain(late).collect());
        let limit = |sum: f64, count: usize| match count {
            ..SAMPLES_PER_SERVER => OVERLOAD_SHARE,
            _ => LOST_FACTOR * sum / count as f64,
        };
        move |zone| shares.mean(Some(zone), 2, limit).or_else(|| shares.mean(None, 2, limit))
    }

    /// The latency to expect of a server: the usual one, times its recent slowness, times the growth of its
    /// load since then. Without the load a queue that is gone would have requests refused. Load counts up to
    /// a factor beyond the highest one that an answer came under, as nothing shows that more load matters.
    pub(super) fn expected_latency(&self, server: &Server, usual: f64) -> f64 {
        let Some(seen) = server.answer_totals(self.host.now(), SAMPLE_WINDOW) else { return usual };
        let slowness = (PRIOR_ANSWERS + seen.latency_ratios) / (PRIOR_ANSWERS + seen.count);
        let load = |in_flight: f64| in_flight + OTHERS_IN_FLIGHT;
        let present = load(server.in_flight.len() as f64).min(MAX_LOAD_GROWTH * load(seen.max_in_flight));
        usual * slowness * present / load(seen.in_flight / seen.count)
    }

    /// The share of its time left that a request may wait before it is refused. It is highest for the profile
    /// with the highest value per time, or per work where that counts, or for the highest rank seen lately.
    /// With ranks, late answers have value too and servers' queues are short, so that waits may be longer.
    pub(super) fn wait_share(&self, view: &FleetView, profile: ProfileId) -> f64 {
        let value = |profile: ProfileId| self.config.profile(profile).value;
        let rank = |profile: &ProfileId| self.config.profile(*profile).rank;
        let relative = if let Some(own) = rank(&profile) {
            let widen = |(first, last): (f64, f64), rank: f64| (first.min(rank), last.max(rank));
            let (first, last) = self.state.samples.keys().filter_map(rank).fold((own, own), widen);
            Some(1.0 - (own - first) / (last - first).max(f64::MIN_POSITIVE))
        } else if self.config.value_by_work {
            Some(value(profile) / self.config.highest_value)
        } else {
            let per_time = |profile, latency: Micros| value(profile) / latency.max(1) as f64;
            let densities = view.usual_latencies.iter().map(|(profile, usual)| per_time(*profile, *usual));
            let highest = densities.fold(f64::MIN_POSITIVE, f64::max);
            view.usual_latency(profile).map(|usual| per_time(profile, usual) / highest)
        };
        let factor = if rank(&profile).is_some() { RANKED_WAIT_FACTOR } else { 1.0 };
        (MIN_WAIT_SHARE + VALUE_WAIT_SHARE * relative.unwrap_or(1.0)) * factor
    }

    /// Gives a request its final answer when it gets no further attempt. It is rejected, which promises that
    /// a repeat does no harm, only if that is true, with a `Retry-After` that its client will keep to.
    pub(super) fn refuse(&mut self, id: RequestId, reason: Refusal) {
        self.host.request_refused(id, reason);
        let request = &self.state.requests[&id];
        let may_have_run = request.attempts.iter().any(Attempt::may_have_run);
        let profile = self.config.profile(request.arrival.profile);
        let deduplicated =
            profile.repeat_safety == RepeatSafety::Keyed && profile.dedup_scope == DedupScope::All;
        if !may_have_run || profile.repeat_safety == RepeatSafety::Safe || deduplicated {
            let time_left = request.arrived_at + request.arrival.time_left - self.host.now();
            let kept_to = |share: f64| (share * time_left as f64) as Micros - RETRY_AFTER_MARGIN;
            let kept_to = self.config.retry_after_share.map_or(Micros::MAX, kept_to);
            let longest = self.config.max_retry_after.map(|longest| longest.min(kept_to));
            let retry_after = longest.filter(|longest| *longest > 0);
            let retry_after = retry_after.map(|longest| self.random_between(longest / 2, longest));
            self.host.reject(id, retry_after);
        } else {
            self.host.fail(id);
        }
        self.state.finish(id);
    }
}
