//! Scarcity (load shedding): who waits and who is turned back where there is not room for all.

use super::*;

const JAMMED: f64 = 1.5; // agreed times that a trip without an answer counts for in the pressure
const RANKED: f64 = 2.0; // times as much is let wait where ranks decide
const COME_BACK_SPARE: Micros = 20 * MS; // of the time left: an answer is on its way for a while
const STEADY: f64 = 3.0; // trips beside those out here that a server's load is taken to have: other gateways'
const SEEN_LOAD: f64 = 2.0; // times the most load that an answer came under, for which growth is foretold
const LOST: f64 = 4.0; // of what many answers take, the most that a trip without one counts for as pressure

impl<H: Host> Balancer<H> {
    /// What part of their agreed time the last trips in a zone took, or in all where that tells nothing, and
    /// of all profiles, as a small gateway has no more to go by. A trip without an answer counts as late, and
    /// one long out before it ends; but where answers are quick it is lost, not queued: a tenth lost is no jam.
    pub(super) fn pressure(&self) -> impl Fn(ZoneId) -> Option<f64> + use<H> {
        let (now, aim) = (self.host.now(), |profile| self.terms.class(profile).on_time as f64);
        let ended = self.seen.times.iter().flat_map(|(profile, kept)| {
            let (fresh, aim) = (from(kept, now - FRESH), aim(*profile));
            fresh.filter_map(move |s| match s.ending {
                AttemptOutcome::Succeeded => Some((Some(s.zone), s.took as f64 / aim, true)),
                AttemptOutcome::Rejected => Some((Some(s.zone), JAMMED, true)),
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => Some((Some(s.zone), JAMMED, false)),
                _ => None,
            })
        });
        let out = self.seen.out().map(|(profile, trip)| {
            let there = self.seen.servers.get(&trip.server).map(|server| server.listing.zone);
            (there, (now - trip.sent) as f64 / aim(profile))
        });
        let long = out.filter(|(_, part)| *part >= LONG_OUT);
        let parts: Vec<_> = ended.chain(long.map(|(zone, part)| (zone, part.min(JAMMED), false))).collect();
        let mean = move |zone: Option<ZoneId>| {
            let here = |there: &Option<ZoneId>| there.is_none() || zone.is_none() || *there == zone;
            let of = |answers| {
                let chosen = parts.iter().filter(move |part| here(&part.0) && part.2 == answers);
                chosen.map(|(_, part, _)| *part)
            };
            let (sum, quick) = (of(true).sum::<f64>(), of(true).count());
            let most = if quick < SAMPLES { JAMMED } else { LOST * sum / quick as f64 };
            let sum = of(false).fold(sum, |sum, part| sum + part.min(most));
            let count = (quick + of(false).count()) as f64;
            (count >= 2.0).then(|| sum / count)
        };
        move |zone| mean(Some(zone)).or_else(|| mean(None))
    }

    /// The time that a trip should take at the server: as its last answers did beside what is usual, for more
    /// or fewer trips out now than then. Without that part a queue that has gone would turn tickets back. It
    /// grows up to twice the load that an answer came under: beyond, nothing shows that load matters there.
    pub(super) fn expected(&self, server: &Server, usual: f64) -> f64 {
        let Some(seen) = server.answered(self.host.now(), FRESH) else { return usual };
        let slowness = (PRIOR + seen.stretch) / (PRIOR + seen.count);
        let load = |out: f64| out + STEADY;
        let out = load(server.out.len() as f64).min(SEEN_LOAD * load(seen.beside_most));
        usual * slowness * out / load(seen.beside / seen.count)
    }

    /// The part of the time left that the expected time may fill before a ticket is turned back: most for the
    /// profile with most benefit for its time, or its work where that counts, or for the first of the ranks seen
    /// lately. With ranks a late answer has its worth too, and servers' queues are short: more is let wait.
    pub(super) fn patience(&self, view: &View, profile: ProfileId) -> f64 {
        let worth = |profile: ProfileId| self.terms.class(profile).worth;
        let rank = |profile: &ProfileId| self.terms.class(*profile).rank;
        let part = if let Some(own) = rank(&profile) {
            let widen = |(least, most): (f64, f64), rank: f64| (least.min(rank), most.max(rank));
            let (first, last) = self.seen.times.keys().filter_map(rank).fold((own, own), widen);
            Some(1.0 - (own - first) / (last - first).max(f64::MIN_POSITIVE))
        } else if self.terms.worth_by_work {
            Some(worth(profile) / self.terms.most_worth)
        } else {
            let densities = view.usuals.iter().map(|(p, usual)| worth(*p) / (*usual).max(1) as f64);
            let most = densities.fold(f64::MIN_POSITIVE, f64::max);
            view.usual(profile).map(|usual| worth(profile) / usual.max(1) as f64 / most)
        };
        (0.4 + 0.3 * part.unwrap_or(1.0)) * if rank(&profile).is_some() { RANKED } else { 1.0 }
    }

    /// The final answer of a ticket that gets no further trip: turned back where that promises no lie, with a
    /// time to come back that its client will keep to.
    pub(super) fn give_up(&mut self, id: RequestId, why: Refusal) {
        self.host.request_refused(id, why);
        let ticket = &self.seen.tickets[&id];
        let ran = ticket.trips.iter().any(Trip::may_have_run);
        let class = self.terms.class(ticket.arrival.profile);
        let drops_all = class.repeat == Repeat::Keyed && class.scope == Scope::All;
        let harmless = !ran || class.repeat == Repeat::Safe || drops_all;
        if harmless {
            let left = ticket.came + ticket.arrival.time_left - self.host.now();
            let heeded = |share: f64| (share * left as f64) as Micros - COME_BACK_SPARE;
            let heeded = self.terms.come_back_share.map_or(Micros::MAX, heeded);
            let most = self.terms.come_back.map(|most| most.min(heeded)).filter(|most| *most > 0);
            let wait = most.map(|most| self.between(most / 2, most));
            self.host.reject(id, wait);
        } else {
            self.host.fail(id);
        }
        self.seen.end(id);
    }
}
