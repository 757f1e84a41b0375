//! Every decision of a gateway; whatever carries the traffic hosts it. `Balancer::start` takes a host, a seed
//! and the settings; then the host calls one method for each thing that happens, and the decisions act at
//! once by calling back the trait `Host` of `src/host.rs`; `src/state.rs` is their memory, `src/config.rs` the
//! settings. The vote is Bayraktar and Lai's: each runs its own CUSUM on the build on trial and votes back
//! on alarm. Here is what comes in; the folder beside has what is made of it, a file for each concern.

use std::collections::BTreeMap;

use crate::config::{Budget, Repeat, Scope, Terms};
use crate::host::*;
use crate::state::{Record, Sample, Seen, Server, Sign, Ticket, Told, Trip, View, from, keep};

mod evidence;
mod exposure;
mod retry;
mod selection;
mod shedding;
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

pub struct Balancer<H: Host> {
    host: H,
    terms: Terms,
    chance: oorandom::Rand64,
    pub seen: Seen,
    kept: Micros, // nothing is counted over longer: what came before is forgotten, however long a day is
}

impl<H: Host> Balancer<H> {
    pub fn start(host: H, seed: u64, settings: Settings) -> Self {
        let chance = oorandom::Rand64::new(u128::from(seed));
        let mut balance = Balancer { host, terms: Terms::default(), chance, seen: Seen::default(), kept: 0 };
        balance.settings_changed(settings);
        balance.timer_fired(TimerKind::StallCheck);
        if balance.terms.follows_list {
            let first = balance.host.now() + balance.between(0, balance.in_turn(LIST_EACH));
            balance.host.set_timer(first, TimerKind::ServerList);
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

    pub fn server_list_replaced(&mut self, list: Vec<ServerInfo>) {
        self.seen.servers.values_mut().for_each(|server| server.listing.condition = Condition::Gone);
        self.server_list_updated(list);
    }

    pub fn server_list_updated(&mut self, list: Vec<ServerInfo>) {
        self.seen.listed(list);
        self.speak();
    }

    /// Asked again after a while that differs between gateways: a service that fails fails all at once.
    pub fn server_list_failed(&mut self) {
        let at = self.host.now() + self.between(400 * MS, 1600 * MS + self.in_turn(LIST_EACH));
        self.host.set_timer(at, TimerKind::ServerList);
    }

    pub fn request_arrived(&mut self, id: RequestId, arrival: Arrival) {
        let came = self.host.now();
        self.seen.took(arrival.profile, came, came - self.kept);
        self.seen.tickets.insert(id, Ticket { arrival, came, trips: Vec::new(), over: false });
        if let Err(why) = self.send(id) {
            self.give_up(id, why);
        }
    }

    /// A begun answer belongs to its client: nothing more is owed.
    pub fn response_started(&mut self, id: RequestId, _trip: AttemptNo) {
        self.client_disconnected(id);
    }

    pub fn attempt_ended(
        &mut self, id: RequestId, trip: AttemptNo, took: Micros, ending: AttemptOutcome, over: bool,
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
        if let Some((zone, silent)) = landed.filter(|_| ending.is_server_evidence() && !self.stood_still()) {
            let usual = self.seen.usual(profile, now - self.span());
            let stretch = took as f64 / usual.unwrap_or(took).max(1) as f64;
            let sample = Sample { at: now, ending, took, zone, silent, stretch, beside: on.beside };
            self.seen.sampled(on.server, profile, sample, [SAMPLES, NORMAL_KEPT], now - FRESH_MOST);
        }
        if ending == AttemptOutcome::Succeeded {
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

    pub fn client_disconnected(&mut self, id: RequestId) {
        self.seen.end(id);
    }

    /// The gateway ends: every ticket still open gets its final answer now.
    pub fn stop(&mut self) {
        let open = self.seen.tickets.iter().filter(|(_, ticket)| !ticket.over).map(|(id, _)| *id);
        open.collect::<Vec<_>>().into_iter().for_each(|id| self.give_up(id, Refusal::Stopping));
    }

    pub fn rollout_updated(&mut self, news: RolloutStatus) {
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
    pub fn tally_received(&mut self, tally: Tally) {
        self.seen.tallies.push(tally);
        self.host.set_timer(self.host.now() + 1, TimerKind::Vote);
    }

    pub fn timer_fired(&mut self, wake: TimerKind) {
        match wake {
            TimerKind::Request(id) => self.overdue(id),
            TimerKind::Vote => self.weigh_tallies(),
            TimerKind::ServerList => self.host.watch_server_list(true),
            TimerKind::StallCheck => {
                let now = self.host.now();
                if self.stood_still() {
                    self.seen.stalled = now;
                }
                self.seen.forget_times(now - FRESH_MOST);
                self.seen.beat = now + BEAT;
                self.host.set_timer(self.seen.beat, TimerKind::StallCheck);
            }
        }
    }

    pub fn probe_ended(&mut self, _: ServerId, _: AttemptOutcome, _took: Micros, _load: &[Option<f64>]) {}

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
