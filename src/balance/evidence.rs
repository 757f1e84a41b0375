//! Evidence: what counts for or against a build, of this gateway's own and of what others tell.

use super::*;

const P0_LEAST: f64 = 0.05; // held up: a few trial machines are balanced worse than many
const P0_MOST: f64 = 0.5; // held down, so that a bad present does not excuse any build
const P1_TIMES: f64 = 3.0; // what a bad build's rate is taken to be, in p0
const DISPUTED_LEAST: f64 = 0.005; // half of that for disputes: right answers are reported now and then
const TAIL_P0: f64 = 0.25; // p0 of trips slower than nine in ten, with room for a small pool
const PRESENT: Micros = 3 * SECOND; // the earlier build's rate over this long counts where it is higher
const EARLIER_KEPT: usize = 200; // outcomes a build and sign: seconds at a big gateway, else minutes
const BUILDS_MOST: usize = 16; // whose outcomes are kept, where news never forgets any
const TELL_POINTS: f64 = 0.008; // what messages may cost of the result while a build is on trial
const TELL_MOST: f64 = 64.0; // peers told of an outcome, for the time that it takes them
const HEARD_MOST: [usize; 2] = [30, 3]; // successes and failures of a peer on one build: half of h each

impl<H: Host> Balancer<H> {
    /// Takes one ended trip as evidence, where it is any. Times and resets are judged only while the earlier
    /// build still answers beside the one on trial: with none left to compare with, a slowdown or broken
    /// links that all share would send a good released build back. A build that turns slow after its release,
    /// which this lets through, `Worse` is there for. Nor are they judged after a stall, or across zones,
    /// where they tell as much of the link. The host hears of times all the same: it compares for all gateways.
    pub(super) fn judge(&mut self, on: &Trip, profile: ProfileId, took: Micros, ending: AttemptOutcome) {
        let (build, late, finished) =
            (on.build, took > self.terms.class(profile).on_time, ending == AttemptOutcome::Succeeded);
        if finished {
            self.weigh(build, Sign::Disputed, 0.0, 1.0);
        }
        let judged = self.seen.news.is_some_and(|news| build >= news.build);
        let compared = !judged || self.past(build, Sign::Failed(profile)).2 >= LEAST_ON_TRIAL;
        let errs = ending == AttemptOutcome::Error || (compared && ending == AttemptOutcome::Reset);
        let timed_out = matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled) && late;
        let told = !self.stood_still() && (on.near || finished);
        if !(errs || (told && (finished || timed_out)))
            || (judged && on.young && !(errs && self.terms.young_err))
        {
            return;
        }
        let failed = errs || (on.near && late);
        if self.may_tell() && took < Micros::MAX {
            self.count(build, profile, f64::from(u8::from(failed)), 1.0);
            if let Some(news) = self.seen.news.filter(|news| news.phase == RolloutPhase::InTrial) {
                self.tell(news.build, profile, judged, failed);
            }
        }
        if compared || errs || finished {
            self.weigh(build, Sign::Failed(profile), f64::from(u8::from(failed && (errs || compared))), 1.0);
        }
        self.host.outcome_judged(build, profile, failed);
        // The present against the seconds before the trial began, whichever build answered.
        let before = self.seen.before.get(&profile).filter(|_| on.near && !errs);
        if let (Some(tail), Some(news)) = (before, self.seen.news) {
            self.weigh(news.build, Sign::Worse, f64::from(u8::from(took > *tail)), 1.0);
        }
    }

    /// Adds outcomes to the statistic, and to what the build will be known by once it is the earlier one.
    fn weigh(&mut self, build: BuildNo, sign: Sign, failed: f64, count: f64) {
        let (p0, ..) = self.past(build, sign);
        let p1 = (P1_TIMES * p0).min((1.0 + p0) / 2.0);
        let record = self.seen.record(build, sign, BUILDS_MOST);
        let step = failed * (p1 / p0).ln() + (count - failed) * ((1.0 - p1) / (1.0 - p0)).ln();
        let most = if sign == Sign::Worse { 2.0 * H } else { f64::INFINITY }; // so that it can soon be over
        record.y = (record.y + step).max(0.0).min(most);
        let outcome = (self.host.now(), failed, count);
        keep(&mut record.outcomes, outcome, EARLIER_KEPT);
    }

    /// Outcomes that others count too. As with times, they are evidence on a build only while the earlier
    /// one still answers beside it. Guards against a bad build that each gateway meets too seldom; trouble
    /// at the build's few machines reaches all gateways by it, so that their alarms are not independent.
    fn count(&mut self, build: BuildNo, profile: ProfileId, failed: f64, count: f64) {
        let judged = self.seen.news.is_some_and(|news| build >= news.build);
        if !judged || self.past(build, Sign::Counted(profile)).2 >= LEAST_ON_TRIAL {
            self.weigh(build, Sign::Counted(profile), failed, count);
        }
    }

    /// p0 from the builds before this one, the higher of their rate over all outcomes kept and over the last
    /// seconds, how many outcomes it rests on, and how many of them are of the last seconds.
    pub(super) fn past(&self, build: BuildNo, sign: Sign) -> (f64, f64, f64) {
        let least = match sign {
            Sign::Worse => return (TAIL_P0, f64::INFINITY, f64::INFINITY),
            Sign::Failed(_) | Sign::Counted(_) | Sign::Broke(_) => P0_LEAST,
            Sign::Disputed => DISPUTED_LEAST,
        };
        let rate = |since: Micros, least: f64| {
            let (failed, count) = self.seen.earlier(build, sign, since);
            (if count < least { 0.0 } else { failed / f64::max(count, 1.0) }, count)
        };
        let (whole, count) = rate(0, 1.0);
        let (present, beside) = rate(self.host.now() - PRESENT, LEAST_ON_TRIAL);
        (whole.max(present).clamp(least, P0_MOST), count, beside)
    }

    /// A session has stood for as long as it takes to be judged, or its server has broken it. What else
    /// ends one, its client above all, says nothing of the build.
    pub fn session_judged(&mut self, server: ServerId, build: BuildNo, profile: ProfileId, failed: bool) {
        let now = self.host.now();
        let judged = self.seen.news.is_some_and(|news| build >= news.build);
        let started = self.seen.servers.get(&server).and_then(|server| server.listing.started);
        let young = started.is_some_and(|at| now - at < YOUNG);
        let compared = !judged || self.past(build, Sign::Broke(profile)).2 >= LEAST_ON_TRIAL;
        if !(self.stood_still() || (judged && young) || (failed && !compared)) {
            self.weigh(build, Sign::Broke(profile), f64::from(u8::from(failed)), 1.0);
            self.speak();
        }
    }

    /// Clients found an answer wrong. It speaks of the build that the server ran when the trip was sent.
    pub fn answer_disputed(&mut self, server: ServerId, _profile: ProfileId, age: Micros) {
        let sent = self.host.now() - age;
        let known = self.seen.servers.get(&server).map(|server| &server.listing);
        if let Some(listing) = known.filter(|listing| listing.started.is_none_or(|started| started <= sent)) {
            self.weigh(listing.build, Sign::Disputed, 1.0, 1.0);
            self.speak();
        }
    }

    /// A tally is a sample of all outcomes, so it has a sign of its own. Late answers are not in it: their share
    /// follows from the mean as if times were exponential. Machines too young to be judged are left out.
    pub(super) fn weigh_tallies(&mut self) {
        let period = self.terms.sums_every;
        self.seen.tallies.sort_by_key(|tally| tally.build);
        for tally in std::mem::take(&mut self.seen.tallies) {
            let (Tally { build, profile, mean_latency: mean, .. }, end) =
                (tally, self.host.now() - tally.age);
            let last = self.seen.tallied.get(&(build, profile));
            let old_news = tally.age < 0 || last.is_some_and(|at| end < at + period / 2);
            let of_build = || self.seen.healthy().filter(|s| s.listing.build == build);
            if old_news || profile.0 >= self.terms.classes.len() || of_build().next().is_none() {
                continue;
            }
            let judged = self.seen.news.is_some_and(|news| build >= news.build);
            let young = |s: &Server| judged && s.listing.started.is_some_and(|at| end - period < at + YOUNG);
            let old = of_build().filter(|s| !young(s)).count() as f64 / of_build().count() as f64;
            let late = mean
                .map_or(0.0, |mean| (-self.terms.class(profile).on_time as f64 / mean.max(1) as f64).exp());
            self.seen.tallied.insert((build, profile), end);
            let (trips, failed) = (tally.attempts as f64, tally.failed.min(tally.attempts) as f64);
            self.count(build, profile, (failed + (trips - failed) * late) * old, trips * old);
        }
        self.speak();
    }

    /// Peers are told where settings allow it and the platform counts nothing itself.
    fn may_tell(&self) -> bool {
        self.terms.may_tell && self.terms.sums_every == 0
    }

    /// Tells some peers one outcome: the build on trial, number of the message, zone, profile, whether the
    /// outcome is that build's or an earlier one's, and failed or not. They are as many as the price allows
    /// and others each time. Small gateways together see what one alone does not.
    fn tell(&mut self, build: BuildNo, profile: ProfileId, judged: bool, failed: bool) {
        self.seen.told = self.seen.told.wrapping_add(1);
        let peers = self.terms.fleet_size.unwrap_or(0.0) as usize;
        let own = self.terms.index.unwrap_or(0.0) as usize;
        let zone = self.terms.zone.unwrap_or(0) as u8;
        let (build, number, profile) = (build.0 as u8, self.seen.told, profile.0 as u8);
        let bytes = Told { build, number, zone, profile, judged, failed }.bytes();
        let full = self.terms.price_peer * bytes.len() as f64 / 256.0;
        let many = (TELL_POINTS / full.max(f64::MIN_POSITIVE)).min(TELL_MOST) as usize;
        let first = (self.chance.rand_float() * peers as f64) as usize;
        let round = (0..peers).map(|n| GatewayId((first + n) % peers)).filter(|peer| peer.0 != own);
        round.take(many).for_each(|peer| self.host.send_to_peers(Some(peer), &bytes));
    }

    /// A peer's outcome, if it is new, well formed and of this zone. No peer is heard more than a few times
    /// about one build, so that none can raise or hold down an alarm alone, by a fault or a lie.
    pub fn peer_message_received(&mut self, from: GatewayId, bytes: &[u8]) {
        let Some(told) = Told::read(bytes) else { return };
        let news = self.seen.news.filter(|news| news.build.0 as u8 == told.build && self.may_tell());
        let Some(news) = news else { return };
        let peers = self.terms.fleet_size.unwrap_or(0.0);
        let known = peers > from.0 as f64 && self.terms.classes.len() > usize::from(told.profile);
        let here = self.terms.zone.unwrap_or(0) == usize::from(told.zone);
        if known && here && self.seen.hears(from, told, HEARD_MOST) {
            let of = BuildNo(news.build.0.saturating_sub(u32::from(!told.judged)));
            self.count(of, ProfileId(told.profile.into()), f64::from(u8::from(told.failed)), 1.0);
            if told.failed {
                self.speak();
            }
        }
    }
}
