//! Retries: when a request may be sent again, and when an attempt without an answer is given up.

use super::*;

const RETRY_RATIO: f64 = 0.2; // of the requests, plus one retry, if no budget is set: more feeds an overload
const DEDUP_MARGIN: Micros = 10 * MS; // before servers forget a key, as a repeat takes a while to arrive

impl<H: Host> Balancer<H> {
    /// The last attempt of a request has been in flight for long. If its server has answered nothing since,
    /// and another attempt there or a recent silent time-out confirms that, the server may hang or the answer
    /// be lost: the request goes to another one, if it may. Else it may be heavy; a repeat would add load.
    pub(super) fn attempt_overdue(&mut self, id: RequestId) {
        let request = self.state.requests.get(&id).filter(|request| self.may_repeat(request, None));
        let Some((number, attempt)) = request.and_then(Request::last_in_flight) else { return };
        if self.has_stalled() {
            return self.host.set_timer(self.host.now() + STALL_CHECK_PERIOD / 2, TimerKind::Request(id));
        }
        let (now, window) = (self.host.now(), self.sample_window());
        let timed_out = |server: &Server| server.recent_samples(now, window).any(Sample::timed_out_silently);
        let confirmed = || self.state.servers.values().any(timed_out);
        let overloaded =
            |zone| self.pressure()(zone).is_some_and(|pressure| pressure >= LONG_IN_FLIGHT_SHARE);
        let silent = |server: &Server| {
            let confirmed = server.in_flight.len() > 1 || confirmed();
            server.last_answer_at <= attempt.sent_at && confirmed && !overloaded(server.info.zone)
        };
        if !self.state.servers.get(&attempt.server).is_none_or(silent) {
            return;
        }
        if self.config.hedging {
            let _ = self.send(id);
        } else if self.config.cancelling && self.is_within_retry_budget() {
            self.host.cancel_attempt(id, number);
        }
    }

    /// Whether a request may go to a server, or again to any, without a risk that it takes effect twice.
    pub(super) fn may_repeat(&self, request: &Request, to: Option<&ServerInfo>) -> bool {
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run()) else { return true };
        let profile = self.config.profile(request.arrival.profile);
        let remembered = self.host.now() - first.sent_at < profile.dedup_window - DEDUP_MARGIN;
        let from = self.state.servers.get(&first.server).map(|server| &server.info);
        let in_scope = match (to, profile.dedup_scope, from) {
            (None, ..) | (_, DedupScope::All, _) => true,
            (Some(to), DedupScope::Zone, Some(from)) => from.zone == to.zone,
            (Some(to), DedupScope::Cell, Some(from)) => from.cell == to.cell,
            _ => false,
        };
        let keyed = profile.repeat_safety == RepeatSafety::Keyed;
        profile.repeat_safety == RepeatSafety::Safe || (keyed && remembered && in_scope)
    }

    /// Whether one more retry is within this gateway's budget: its share of the platform's, over the window
    /// that ends now, or else one plus `RETRY_RATIO` of the requests.
    pub(super) fn is_within_retry_budget(&self) -> bool {
        let (now, state) = (self.host.now(), &self.state);
        if let Some(RetryBudget { ratio, slack, window }) = self.config.retry_budget {
            let retries = state.recent_retries.count_since(now - window - 1) + 1;
            return retries as f64 <= ratio * state.recent_requests.count_since(now - window) as f64 + slack;
        }
        let since = now - REQUEST_COUNT_WINDOW;
        let requests = state.recent_requests.count_since(since) as f64;
        state.recent_retries.count_since(since) <= (RETRY_RATIO * requests) as usize
    }

    /// Whether the next attempt uses the retry budget. The platform counts attempts that reach a server
    /// beyond the first one, so that attempts that reached none are free.
    pub(super) fn uses_retry_budget(&self, request: &Request) -> bool {
        request.attempts.iter().any(|it| self.config.retry_budget.is_none() || it.may_have_arrived())
    }
}
