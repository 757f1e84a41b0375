//! Every decision of a gateway; whatever carries the traffic hosts it. `Balance::start` takes a host, a seed
//! and the settings; then the host calls one method for each thing that happens, and the decisions act at
//! once by calling back the trait `Host` of `src/host.rs`; `src/seen.rs` is their memory, `src/terms.rs` the
//! settings. The vote is Bayraktar and Lai's: each runs its own CUSUM on the build on trial and votes back
//! on alarm. Here is what comes in; the folder beside has what is made of it, a file for each concern.

use std::collections::BTreeMap;

use crate::host::{
    Arrival, BuildNo, Condition, Ending, GatewayId, Host, Listing, MS, Micros, News, Phase, ProfileId,
    Refusal, SECOND, ServerId, Settings, Taken, Tally, TicketId, TripNo, Vote, Wake, ZoneId,
};
use crate::seen::{Record, Sample, Seen, Server, Sign, Ticket, Told, Trip, View, from, keep};
use crate::terms::{Budget, Repeat, Scope, Terms};

mod choice;
mod evidence;
mod exposure;
mod further;
mod scarcity;
mod verdict;

// Figures that more than one concern goes by; the design page's moved where docs/design.md tells why.
const H: f64 = 6.0; // alarm height, in nats
const LEAST_EARLIER: f64 = 30.0; // outcomes of the earlier build, before any vote back
const LEAST_ON_TRIAL: f64 = 10.0; // outcomes of the build on trial, before any vote back
const YOUNG: Micros = 5 * SECOND; // machines on trial younger than this are not judged
const KEYS_MOST: usize = 100_000; // keys whose build is remembered; the rest is forgotten rather than run out
const SAMPLES: usize = 16; // trips remembered a server: enough to see a failing share, short enough to forget
const NORMAL_KEPT: usize = 64; // answers a profile, for its usual time
const PRIOR: f64 = 2.0; // usual answers that a zone's or server's slowness starts from
const FRESH: Micros = 4 * SECOND; // older samples say nothing of a server's present
const FRESH_MOST: Micros = 20 * SECOND; // unless trips are so few that this long must serve
const FAILURE: f64 = 8.0; // a failed trip weighs like an answer that takes so many usual times
const LONG_OUT: f64 = 0.5; // of the agreed time: a trip out for so long tells of a jam before it ends
const RETRY_OVER: Micros = 10 * SECOND; // tickets are counted over this long, so that few suffice
const LIST_EACH: Micros = 10 * MS; // of the list service's time, for each gateway that may ask at once
const BEAT: Micros = 100 * MS; // a wake-up this often; one late by half shows that the gateway stood still

pub struct Balance<H: Host> {
    host: H,
    terms: Terms,
    chance: oorandom::Rand64,
    pub seen: Seen,
    kept: Micros, // nothing is counted over longer: what came before is forgotten, however long a day is
}

impl<H: Host> Balance<H> {
    pub fn start(host: H, seed: u64, settings: Settings) -> Self {
        let chance = oorandom::Rand64::new(u128::from(seed));
        let mut balance = Balance { host, terms: Terms::default(), chance, seen: Seen::default(), kept: 0 };
        balance.settings_changed(settings);
        balance.woke(Wake::Beat);
        if balance.terms.follows_list {
            let first = balance.host.now() + balance.between(0, balance.in_turn(LIST_EACH));
            balance.host.wake_at(first, Wake::List);
        }
        balance
    }

    /// Other settings hold from now on. A profile's number keeps its meaning, so what was seen stays; of one
    /// that is no longer listed it is forgotten. A route that changes its kind wants a new number.
    pub fn settings_changed(&mut self, settings: Settings) {
        self.terms = Terms::new(&settings);
        self.seen.forget_profiles(|profile| self.terms.class(profile).listed);
        self.kept = self.terms.longest_window().max(FRESH_MOST);
    }

    pub fn list_came(&mut self, list: Vec<Listing>) {
        self.seen.servers.values_mut().for_each(|server| server.listing.condition = Condition::Gone);
        self.list_changed(list);
    }

    pub fn list_changed(&mut self, list: Vec<Listing>) {
        self.seen.listed(list);
        self.speak();
    }

    /// Asked again after a while that differs between gateways: a service that fails fails all at once.
    pub fn list_failed(&mut self) {
        let at = self.host.now() + self.between(400 * MS, 1600 * MS + self.in_turn(LIST_EACH));
        self.host.wake_at(at, Wake::List);
    }

    pub fn ticket_came(&mut self, id: TicketId, arrival: Arrival) {
        let came = self.host.now();
        self.seen.took(arrival.profile, came, came - self.kept);
        self.seen.tickets.insert(id, Ticket { arrival, came, trips: Vec::new(), over: false });
        if let Err(why) = self.send(id) {
            self.give_up(id, why);
        }
    }

    /// A begun answer belongs to its client: nothing more is owed.
    pub fn answer_began(&mut self, id: TicketId, _trip: TripNo) {
        self.client_left(id);
    }

    pub fn trip_ended(
        &mut self, id: TicketId, trip: TripNo, took: Micros, ending: Ending, over: bool,
        _load: &[Option<f64>],
    ) {
        let now = self.host.now();
        let Some(ticket) = self.seen.tickets.get_mut(&id) else { return };
        ticket.over |= over;
        let Some(trip) = ticket.trips.get_mut(trip.0 as usize) else { return };
        trip.ended = Some(ending);
        let on = *trip;
        let (profile, key) = (ticket.arrival.profile, ticket.arrival.key);
        let landed = self.seen.landed(&on, ending, now);
        if let Some((zone, silent)) = landed.filter(|_| ending.tells_of_server() && !self.stood_still()) {
            let usual = self.seen.usual(profile, now - self.span());
            let stretch = took as f64 / usual.unwrap_or(took).max(1) as f64;
            let sample = Sample { at: now, ending, took, zone, silent, stretch, beside: on.beside };
            self.seen.sampled(on.server, profile, sample, [SAMPLES, NORMAL_KEPT], now - FRESH_MOST);
        }
        if ending == Ending::Finished {
            self.seen.finished.add(now, (), now - self.kept);
            if let Some(key) = key.filter(|_| self.terms.keys_stay) {
                self.seen.key_answered(key, on.build, KEYS_MOST);
            }
        }
        self.judge(&on, profile, took, ending);
        let ticket = &self.seen.tickets[&id];
        if !ticket.over
            && ticket.none_out()
            && let Err(why) = self.send(id)
        {
            self.give_up(id, why);
        }
        self.seen.close(id);
        self.speak();
    }

    pub fn client_left(&mut self, id: TicketId) {
        self.seen.end(id);
    }

    /// The gateway ends: every ticket still open gets its final answer now.
    pub fn stops(&mut self) {
        let open = self.seen.tickets.iter().filter(|(_, ticket)| !ticket.over).map(|(id, _)| *id);
        open.collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id, Refusal::Stopping));
    }

    pub fn news_came(&mut self, news: News) {
        if self.seen.news.is_some_and(|old| old.build < news.build) {
            // The time that nine in ten answers kept, where they are enough; none if all was worse already,
            // else a good build is held for the last one's faults. What slows all from then on shows late.
            let calm = self.seen.worse.take().is_none();
            let since = self.host.now() - self.span();
            let tail = |profile: &ProfileId| {
                let mut times: Vec<_> = self.seen.answers(*profile, since).collect();
                times.sort_unstable();
                (times.len() as f64 >= LEAST_ON_TRIAL).then(|| (*profile, times[times.len() * 9 / 10]))
            };
            self.seen.before = self.seen.times.keys().filter(|_| calm).filter_map(tail).collect();
            // What is older than the last build but one says nothing of any build to come.
            self.seen.forget_before(BuildNo(news.build.0.saturating_sub(2)));
        }
        self.seen.told_news(news, self.host.now());
        self.speak();
    }

    /// A tally waits until the rest of its batch is in: with the earlier build's still missing, trouble that
    /// all share would look like the new build's.
    pub fn tally_came(&mut self, tally: Tally) {
        self.seen.tallies.push(tally);
        self.host.wake_at(self.host.now() + 1, Wake::Vote);
    }

    pub fn woke(&mut self, wake: Wake) {
        match wake {
            Wake::Ticket(id) => self.overdue(id),
            Wake::Vote => self.weigh_tallies(),
            Wake::List => self.host.follow_list(true),
            Wake::Beat => {
                let now = self.host.now();
                if self.stood_still() {
                    self.seen.stalled = now;
                }
                self.seen.forget_times(now - FRESH_MOST);
                self.seen.beat = now + BEAT;
                self.host.wake_at(self.seen.beat, Wake::Beat);
            }
        }
    }

    pub fn probe_ended(&mut self, _: ServerId, _: Ending, _took: Micros, _load: &[Option<f64>]) {}

    /// Whether this gateway stood still until just now. What piled up meanwhile comes late for that reason
    /// alone, and says nothing of a server or build but whether it erred.
    fn stood_still(&self) -> bool {
        let now = self.host.now();
        now == self.seen.stalled || (self.seen.beat > 0 && now > self.seen.beat + BEAT / 2)
    }

    /// How far back samples tell of a server's present: 4 s, or longer where trips are few.
    fn span(&self) -> Micros {
        let many = self.seen.taken.0.len().checked_sub(2 * self.seen.servers.len() + 1);
        many.map_or(FRESH_MOST, |at| self.host.now() - self.seen.taken.0[at].0).clamp(FRESH, FRESH_MOST)
    }

    /// Room for every gateway in turn, at this much for each; 5 s at most, as a list must be asked for.
    fn in_turn(&self, each: Micros) -> Micros {
        (each * self.terms.fleet() as Micros).min(5 * SECOND)
    }

    fn between(&mut self, least: Micros, most: Micros) -> Micros {
        least + (self.chance.rand_float() * (most - least) as f64) as Micros
    }
}
