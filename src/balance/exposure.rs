//! Exposure: which builds a request may go to, by sticky keys, repeat safety and the caps on builds on trial.

use super::*;

impl<H: Host> Balancer<H> {
    /// Whether a request may go to a build now. A lowered cap applies at once, with what was sent before
    /// still counted against it, which is stricter than the rule. Where exposure counts from the start of a
    /// rollout, a build without a rollout gets nothing.
    pub(super) fn build_allowed(&self, request: &Request, build: BuildNo) -> bool {
        // A key stays with a newer build until that build is rolled back.
        let newest = request.arrival.key.and_then(|key| self.state.build_of_key.get(&key));
        if newest.is_some_and(|newest| build < *newest && !self.state.is_rolled_back(*newest)) {
            return false;
        }
        let Some(cap) = self.exposure_cap(build) else { return true };
        let profile = request.arrival.profile;
        let stage = self.state.stage_of(build).0 as f64;
        let counts = if self.config.exposure_since_start {
            self.state.rollout_counts.filter(|counts| counts.build == build)
        } else {
            let since = self.host.now() - self.config.exposure_window.unwrap_or(0);
            let counted = self.config.exposure_by_profile.then_some(profile);
            Some(self.state.exposure_since(since, build, counted))
        };
        let limit = |requests: u64| self.config.free_attempts + cap * requests as f64;
        let within_cap = counts.is_some_and(|it| (it.attempts + 1) as f64 <= limit(it.requests));
        let safe = self.config.profile(profile).repeat_safety == RepeatSafety::Safe;
        (safe || stage >= self.config.first_unshielded_stage) && cap > 0.0 && within_cap
    }

    /// The cap on a build's share of the requests; `None` if it does not count as on trial. A build newer
    /// than the announced one is in its first stage; before any announcement, all builds but the oldest are.
    pub fn exposure_cap(&self, build: BuildNo) -> Option<f64> {
        let oldest = || self.state.servers.values().map(|server| server.info.build).min();
        match &self.state.rollout {
            Some(rollout) if build < rollout.build => None,
            Some(rollout) if build == rollout.build => {
                (rollout.phase != RolloutPhase::Released).then_some(rollout.exposure_cap)
            }
            None if oldest() == Some(build) => None,
            _ => Some(self.config.first_stage_cap),
        }
    }
}
