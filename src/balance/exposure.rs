//! Exposure: what the rules let a build get, on trial or not.

use super::*;

impl<H: Host> Balancer<H> {
    /// Whether the rules let this ticket go to this build now: keys, effects, exposure. A lower cap is taken
    /// at once, and what went before still counts against it, which is stricter than the rule. Where all that
    /// came since the order counts, a build that no order names gets nothing.
    pub(super) fn build_allows(&self, ticket: &Ticket, build: BuildNo) -> bool {
        // A key stays with a newer build until that build goes back.
        let kept = |build| self.seen.news.is_none_or(|n| n.build != build || !n.phase.is_rollback());
        let newest = ticket.arrival.key.and_then(|key| self.seen.answered.get(&key));
        if newest.is_some_and(|newest| build < *newest && kept(*newest)) {
            return false;
        }
        let Some(cap) = self.exposure_cap(build) else { return true };
        let profile = ticket.arrival.profile;
        let stage = self.seen.news.filter(|news| news.build == build).map_or(0, |news| news.stage.0) as f64;
        let counts = |other: ProfileId| !self.terms.counted_by_class || other == profile;
        let since = self.host.now() - self.terms.exposure_window.unwrap_or(0);
        let taken = self.seen.taken.since(since).filter(|p| counts(**p)).count();
        let sent = self.seen.exposed.since(since - 1).filter(|(to, p)| *to == build && counts(*p)).count();
        let room = |taken: u64, sent: u64| (sent + 1) as f64 <= self.terms.free + cap * taken as f64;
        let room = match self.seen.order.filter(|order| order.build == build) {
            _ if !self.terms.exposure_since_order => room(taken as u64, sent as u64),
            order => order.is_some_and(|order| room(order.taken, order.sent)),
        };
        let safe = self.terms.class(profile).repeat == Repeat::Safe;
        (safe || stage >= self.terms.shielded) && cap > 0.0 && room
    }

    /// The cap of a build that counts as on trial here; `None` for one that does not. A build that the news
    /// does not name yet is on trial in its first stage; before any news, every build but the oldest is.
    pub fn exposure_cap(&self, build: BuildNo) -> Option<f64> {
        let oldest = || self.seen.servers.values().map(|server| server.listing.build).min();
        match &self.seen.news {
            Some(news) if build < news.build => return None,
            Some(news) if build == news.build => {
                return (news.phase != RolloutPhase::Released).then_some(news.exposure_cap);
            }
            None if oldest() == Some(build) => return None,
            _ => {}
        }
        Some(self.terms.first_cap)
    }
}
