//! Choice (selection): which build and which server a ticket goes to, on its first and each further trip.

use super::*;

const SHARP: f64 = 4.0; // how sharply the draw among servers follows their cost
const USES: f64 = 8.0; // trips at each server of the own part while a connection may rest, for one to be there
const SHARED: f64 = 16.0; // gateways that each server is of the own part of, at least, so that load stays even
const APART: f64 = 3.0; // what the draw counts for at the others: an 81st of them is drawn, unless it is needed
const COLD_GROWTH: f64 = 1.5; // a cold machine's part of the finished work may grow by this much in a window
const REST: Micros = 250 * MS; // first rest of a server that fails; doubles with each further failure
const REST_MOST: Micros = 4 * SECOND; // and no longer, so that one that recovered is found soon

/// What a server's last trips took, in usual times.
fn strains(server: &Server, now: Micros, span: Micros) -> impl Iterator<Item = f64> {
    let told = server.fresh(now, span).filter(|s| s.ending != AttemptOutcome::Cancelled || s.silent);
    told.map(|s| if s.ending == AttemptOutcome::Succeeded { s.stretch.min(FAILURE) } else { FAILURE })
}

impl View {
    /// The part of its capacity that a machine has for certain.
    fn warmth(&self, server: &Server) -> f64 {
        let Some(started) = server.listing.started.filter(|_| self.cold > 0) else { return 1.0 };
        let part = (self.now - started).max(0) as f64 / self.cold as f64;
        (self.cold_from + (1.0 - self.cold_from) * part).min(1.0)
    }

    /// What a trip there costs beside the queue: how slow its last trips were and how often they failed, by
    /// its zone's where they are few (against cut and slow links), and the price of crossing zones.
    fn strain(&self, server: &Server) -> f64 {
        let zone = self.zones.get(&server.listing.zone).copied().unwrap_or(1.0);
        let strains = strains(server, self.now, self.span);
        let (sum, count) = strains.fold((PRIOR * zone, PRIOR), |(sum, n), strain| (sum + strain, n + 1.0));
        let here = self.zone.is_none_or(|zone| zone == server.listing.zone);
        sum / count * if here { 1.0 } else { self.crossing }
    }

    /// Whether a server should get nothing for now: it is silent with trips long out, or its last trips
    /// failed and the rest that follows is not over. After a rest one trip at a time tries it.
    fn rests(&self, server: &Server) -> bool {
        if server.out.first().is_some_and(|sent| self.now - sent > self.silence && server.heard <= *sent) {
            return true;
        }
        let strikes = server.samples.iter().rev().take_while(|s| s.failed()).count();
        let Some(last) = server.samples.back().filter(|_| strikes > 0) else { return false };
        let hard = last.silent || last.connection_failed();
        let rest = (REST << (strikes - 1).min(8)).min(REST_MOST);
        (hard || strikes > 1) && (self.now - last.at < rest || !server.out.is_empty())
    }
}

impl<H: Host> Balancer<H> {
    /// The ordinary path of a ticket, and of each further trip: which build, which server, whether it can
    /// be in time, and off it goes; or why nothing was sent.
    pub(super) fn send(&mut self, id: RequestId) -> Result<(), Refusal> {
        let now = self.host.now();
        let ticket = &self.seen.tickets[&id];
        let profile = ticket.arrival.profile;
        let further = !ticket.trips.is_empty();
        let draws = self.draws(ticket);
        let room = || self.host.has_retry_budget() && self.retry_room();
        let again = self.effect_allows(ticket, None) && (!draws || room());
        let most = self.terms.class(profile).try_limit.unwrap_or(self.terms.try_limit);
        if ticket.trips.len() >= most || !again {
            return Err(Refusal::RetriesExhausted);
        }
        // The build on trial by its share of the listed machines, cold ones by what they can do, and capped.
        let view = self.view();
        let mut builds: BTreeMap<BuildNo, (bool, bool)> = BTreeMap::new();
        let mut alike: BTreeMap<(ZoneId, BuildNo), (usize, usize)> = BTreeMap::new();
        let (mut all, mut trial, mut fleet, mut open) = (0.0, 0.0, 0.0, 0.0);
        for server in self.seen.servers.values().filter(|s| s.listing.condition != Condition::Gone) {
            let (build, warm) = (server.listing.build, view.warmth(server));
            fleet += server.listing.capacity * warm;
            if server.listing.condition == Condition::Healthy {
                let known = || (self.exposure_cap(build).is_some(), self.build_allows(ticket, build));
                let (on_trial, allowed) = *builds.entry(build).or_insert_with(known);
                alike.entry((server.listing.zone, build)).or_default().0 += 1;
                all += warm;
                trial += if on_trial { warm } else { 0.0 };
                open += if allowed { server.listing.capacity * warm } else { 0.0 };
            }
        }
        let aim = self.terms.class(profile).on_time;
        let late_counts = (further && self.terms.late_counts) || !self.terms.class(profile).agreed;
        let counts = if late_counts { Micros::MAX } else { aim };
        let left = (ticket.came + counts.min(ticket.arrival.time_left)) - now;
        let most = (left as f64 * self.patience(&view, profile)) as Micros;
        let pressure = self.pressure();
        let lately = view.zones.keys().filter_map(|z| Some((*z, pressure(*z)? * aim as f64)));
        let lately: BTreeMap<ZoneId, f64> = lately.collect();
        let expected = |s: &Server| {
            lately.get(&s.listing.zone).map_or(f64::NEG_INFINITY, |usual| self.expected(s, *usual))
        };
        let mut chance = self.chance;
        let drawn = chance.rand_float() * all < trial;
        // The cheapest server of that build, first of those in time, since one that a heavy ticket made look
        // slow never shows that it is not if all are turned back at it; else of others, at worst one that rests.
        // Gateways that see no difference must not all choose the same one, so each draws by size; own trips
        // out and strain outweigh the draw. Where a zone is jammed, an even load counts for more than the own
        // part of the list, which spares handshakes.
        let jammed = lately.values().any(|usual| *usual >= LONG_OUT * aim as f64);
        let part = self.own_part(alike.values().map(|(count, _)| count).sum());
        let mut cheapest = None;
        for (name, server) in &self.seen.servers {
            let own = match alike.get_mut(&(server.listing.zone, server.listing.build)) {
                Some((count, rank)) if server.listing.condition == Condition::Healthy => {
                    *rank += 1;
                    let at = *rank as f64 / *count as f64 - part.0;
                    at - at.floor() < part.1.max(1.0 / *count as f64)
                }
                _ => true,
            };
            let (on_trial, allowed) = builds.get(&server.listing.build).copied().unwrap_or((false, false));
            let tried = ticket.trips.iter().any(|trip| trip.server == *name);
            let healthy = server.listing.condition == Condition::Healthy;
            let room = || self.host.has_capacity(id, *name, server.listing.build);
            if !healthy || !allowed || tried || !self.effect_allows(ticket, Some(&server.listing)) || !room()
            {
                continue;
            }
            let warm = view.warmth(server);
            let able = (server.listing.capacity * warm).max(f64::MIN_POSITIVE);
            if warm < 1.0 && chance.rand_float() >= self.cold_room(server, able / fleet, able / open) {
                continue;
            }
            let draw = (-(1.0 - chance.rand_float()).ln() / able).powf(1.0 / SHARP);
            let draw = if own || jammed { draw } else { APART * draw };
            let cost = view.strain(server) * (server.out.len() as f64 / able + draw);
            let expected = expected(server) as Micros;
            let last = (view.rests(server), on_trial != drawn, expected > most);
            if cheapest.is_none_or(|(least, than, _)| (last, cost) < (least, than)) {
                cheapest = Some((last, cost, (*name, expected)));
            }
        }
        self.chance = chance;
        let Some(((.., too_late), _, (chosen, expected))) = cheapest else { return Err(Refusal::NoServer) };
        // A ticket that can't be in time only delays others. It is a failure of the build, else a slow one hides
        // behind turn-backs; once between two answers, where it answers and is not the build's only server.
        let server = &self.seen.servers[&chosen];
        let ServerInfo { build, started, zone, .. } = server.listing;
        let young = started.is_some_and(|at| now - at < YOUNG);
        let near = self.terms.zones_near || view.zone.is_none_or(|own| own == zone);
        let in_flight = server.out.len();
        let beside = in_flight as f64;
        let trip = Trip { server: chosen, build, sent: now, beside, young, near, ended: None };
        let usual = view.usual(profile);
        if too_late {
            let own = server.fresh_answers(now, FRESH).next().is_some();
            let several = self.seen.healthy().filter(|s| s.listing.build == build).count() > 1;
            let counted =
                self.seen.servers.get_mut(&chosen).is_some_and(|s| std::mem::replace(&mut s.turned, true));
            if !further && own && several && !counted {
                self.judge(&trip, profile, Micros::MAX, AttemptOutcome::TimedOut);
            }
            return Err(Refusal::TooLate { server: chosen, expected, allowed: most, in_flight });
        }
        if further && left <= usual.unwrap_or(0) / 2 {
            return Err(Refusal::NoTime);
        }
        if self.exposure_cap(build).is_some() {
            let since = (!self.terms.exposure_since_order).then_some(now - self.kept);
            self.seen.exposes(build, profile, now, since);
        }
        if draws {
            self.seen.further.add(now, (), now - self.kept);
        }
        let server = self.seen.servers.get_mut(&chosen).expect("just chosen");
        server.out.push(now);
        server.sent.add(now, (), now - self.kept);
        self.seen.tickets.get_mut(&id).expect("just read").trips.push(trip);
        self.host.send_attempt(id, chosen, None);
        let wait = usual.map_or(aim / 2, |usual| (3 * usual).min(aim / 2));
        self.host.set_timer(now + wait, TimerKind::Request(id));
        Ok(())
    }

    /// Where a gateway's own part of each zone's and build's servers begins, by its number, and how large it is:
    /// as many as its tickets keep a connection to. Guards against a handshake for nearly every ticket where
    /// hundreds of gateways meet each server seldom. Harm: less even loads; those outside are drawn seldom.
    fn own_part(&self, servers: usize) -> (f64, f64) {
        let (Some(index), Some(fleet)) = (self.terms.index, self.terms.fleet_size) else { return (0.0, 1.0) };
        let rests = self.terms.idle_close.unwrap_or(Micros::MAX / 2);
        let lately = self.seen.taken.count_since(self.host.now() - RETRY_OVER) as f64;
        let kept = lately * rests as f64 / RETRY_OVER as f64 / USES;
        (index / fleet.max(1.0), (kept / servers as f64).max(SHARED / fleet.max(1.0)))
    }

    /// A cold machine is not pushed over: within any window that counts it gets from this gateway at most its
    /// part, by size and sure warmth, of what the fleet finished here, and half again. Less than a whole trip
    /// is left to chance, by how often a ticket would be drawn there: on a way back all would.
    fn cold_room(&self, server: &Server, part: f64, drawn: f64) -> f64 {
        let since = self.host.now() - self.terms.fall.unwrap_or(SECOND);
        let finished = self.seen.finished.count_since(since).max(1);
        let room = COLD_GROWTH * part * finished as f64 - server.sent.count_since(since) as f64;
        if room >= 1.0 { 1.0 } else { room / (drawn * self.seen.taken.count_since(since) as f64) }
    }

    /// What servers are looked at by, worked out once for all of them.
    fn view(&self) -> View {
        let (now, span) = (self.host.now(), self.span());
        let mut zones: BTreeMap<ZoneId, (f64, f64)> = BTreeMap::new();
        for server in self.seen.healthy() {
            let (sum, count) = zones.entry(server.listing.zone).or_insert((PRIOR, PRIOR));
            for strain in strains(server, now, span) {
                (*sum, *count) = (*sum + strain, *count + 1.0);
            }
        }
        let usuals = self.seen.times.keys().filter_map(|p| Some((*p, self.seen.usual(*p, now - span)?)));
        let usuals: BTreeMap<ProfileId, Micros> = usuals.collect();
        View {
            now,
            span,
            silence: (3 * usuals.values().copied().max().unwrap_or(SECOND)).max(200 * MS),
            usuals,
            cold: self.terms.cold,
            cold_from: self.terms.cold_from,
            zone: self.terms.zone.map(ZoneId),
            crossing: 1.0 + 8.0 * self.terms.price_crossing,
            zones: zones.into_iter().map(|(zone, (sum, count))| (zone, sum / count)).collect(),
        }
    }
}
