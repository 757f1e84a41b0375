//! Further trips (retries): when a ticket may go out again, and when one long out is given up.

use super::*;

const RETRY_SHARE: f64 = 0.2; // further trips: one and this share of the tickets, not to feed an overload

impl<H: Host> Balancer<H> {
    /// A trip is long out. If its server has answered nothing since, and not only this one trip says so but
    /// another there or a silent one lately, it may hang or its answer be lost: another server gets the
    /// ticket, as its kind allows. Else the ticket may be heavy, and sending that again would feed the load.
    pub(super) fn overdue(&mut self, id: RequestId) {
        let Some(ticket) = self.seen.tickets.get(&id).filter(|ticket| !ticket.over) else { return };
        let Some((number, trip)) = ticket.trips.iter().enumerate().next_back() else { return };
        if trip.ended.is_some() || !self.effect_allows(ticket, None) {
            return;
        }
        if self.stood_still() {
            return self.host.set_timer(self.host.now() + BEAT / 2, TimerKind::Request(id));
        }
        let (now, span) = (self.host.now(), self.span());
        let before = || self.seen.servers.values().any(|s| s.fresh(now, span).any(Sample::lost));
        let pressed = |zone| self.pressure()(zone).is_some_and(|pressure| pressure >= LONG_OUT);
        let silent =
            |s: &Server| s.heard <= trip.sent && (s.out.len() > 1 || before()) && !pressed(s.listing.zone);
        if !self.seen.servers.get(&trip.server).is_none_or(silent) {
            return;
        }
        if self.terms.second_copies {
            let _ = self.send(id);
        } else if self.terms.cancelling && self.retry_room() {
            self.host.cancel_attempt(id, AttemptNo(number as u32));
        }
    }

    /// No effect twice: whether a ticket may go to this server, or a further trip of it anywhere.
    pub(super) fn effect_allows(&self, ticket: &Ticket, to: Option<&ServerInfo>) -> bool {
        let Some(first) = ticket.trips.iter().find(|trip| trip.may_have_run()) else { return true };
        let class = self.terms.class(ticket.arrival.profile);
        let remembered = self.host.now() - first.sent < class.window - 10 * MS;
        let known = self.seen.servers.get(&first.server).map(|server| &server.listing);
        let within = match (to, class.scope, known) {
            (None, ..) | (_, Scope::All, _) => true,
            (Some(to), Scope::Zone, Some(from)) => from.zone == to.zone,
            (Some(to), Scope::Cell, Some(from)) => from.cell == to.cell,
            _ => false,
        };
        class.repeat == Repeat::Safe || (class.repeat == Repeat::Keyed && remembered && within)
    }

    /// Whether a further trip keeps to the budget: the platform's where there is one, of all gateways' this
    /// one's part, over the window that ends now; else one and `RETRY_SHARE` of the tickets.
    pub(super) fn retry_room(&self) -> bool {
        let (now, seen) = (self.host.now(), &self.seen);
        if let Some(Budget { ratio, slack, window }) = self.terms.budget {
            let further = seen.further.count_since(now - window - 1) + 1;
            return further as f64 <= ratio * seen.taken.count_since(now - window) as f64 + slack;
        }
        let since = now - RETRY_OVER;
        seen.further.count_since(since) <= (RETRY_SHARE * seen.taken.count_since(since) as f64) as usize
    }

    /// Whether the ticket's next trip draws on the budget. The platform counts what reaches a server beyond
    /// the first: where only trips that never got there went before, the next is no further one.
    pub(super) fn draws(&self, ticket: &Ticket) -> bool {
        ticket.trips.iter().any(|trip| self.terms.budget.is_none() || trip.may_have_arrived())
    }
}
