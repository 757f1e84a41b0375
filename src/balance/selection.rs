//! Selection: the build and the server that each attempt of a request goes to.

use super::*;

const DRAW_SHARPNESS: f64 = 4.0; // the higher, the closer the random draw among servers follows their cost
const ATTEMPTS_PER_IDLE_TIMEOUT: f64 = 8.0; // at each server of the subset, to find a connection open there
const MIN_GATEWAYS_PER_SERVER: f64 = 16.0; // that have a server in their subset, so that load stays even
const OUTSIDE_DRAW_FACTOR: f64 = 3.0; // outside the subset: 1 server in 81 (3^4) is drawn, unless needed
const COLD_GROWTH: f64 = 1.5; // by which a warming machine's share of the finished work may grow per window
const FIRST_BACKOFF: Micros = 250 * MS; // of a server that fails; doubles with each further failure
const MAX_BACKOFF: Micros = 4 * SECOND; // so that a server that has recovered is found soon

/// The costs of a server's recent attempts, in usual latencies.
fn attempt_costs(server: &Server, now: Micros, window: Micros) -> impl Iterator<Item = f64> {
    let samples = server.recent_samples(now, window);
    let known = samples.filter(|sample| sample.outcome != AttemptOutcome::Cancelled || sample.silent);
    known.map(|sample| sample.answer_ratio().map_or(FAILURE_COST, |ratio| ratio.min(FAILURE_COST)))
}

impl FleetView {
    /// The share of its capacity that a machine surely has, less than 1 while it warms up.
    fn warmth(&self, server: &Server) -> f64 {
        let Some(started) = server.info.started.filter(|_| self.warmup > 0) else { return 1.0 };
        let elapsed = (self.now - started).max(0) as f64 / self.warmup as f64;
        (self.cold_capacity + (1.0 - self.cold_capacity) * elapsed).min(1.0)
    }

    /// The cost of an attempt apart from the queue: how slow and how often failed recent ones were, with the
    /// zone's mean as prior, as a cut or slow link affects a whole zone, and the price of crossing zones.
    fn cost_factor(&self, server: &Server) -> f64 {
        let prior = self.zone_slowness.get(&server.info.zone).copied().unwrap_or(1.0);
        let costs = attempt_costs(server, self.now, self.sample_window);
        let add = |(sum, count), cost| (sum + cost, count + 1.0);
        let (sum, count) = costs.fold((PRIOR_ANSWERS * prior, PRIOR_ANSWERS), add);
        let own_zone = self.own_zone.is_none_or(|zone| zone == server.info.zone);
        sum / count * if own_zone { 1.0 } else { self.crossing_factor }
    }

    /// Whether a server should get no attempt for now: it is silent with attempts long in flight, or its last
    /// ones failed and the backoff is not over. After that, it gets one attempt at a time until one succeeds.
    fn backs_off(&self, server: &Server) -> bool {
        let silent = |sent: &Micros| self.now - sent > self.max_silence && server.last_answer_at <= *sent;
        if server.in_flight.first().is_some_and(silent) {
            return true;
        }
        let failures = server.samples.iter().rev().take_while(|sample| sample.failed()).count();
        let Some(last) = server.samples.back().filter(|_| failures > 0) else { return false };
        let unreachable = last.silent || last.connection_failed();
        let backoff = (FIRST_BACKOFF << (failures - 1).min(8)).min(MAX_BACKOFF);
        let waits = self.now - last.at < backoff || !server.in_flight.is_empty();
        (unreachable || failures > 1) && waits
    }
}

impl<H: Host> Balancer<H> {
    /// Sends an attempt of a request, unless it can't be sent or would only delay others.
    pub(super) fn send(&mut self, id: RequestId) -> Result<(), Refusal> {
        let now = self.host.now();
        let request = &self.state.requests[&id];
        let profile = request.arrival.profile;
        let config = self.config.profile(profile);
        let is_retry = !request.attempts.is_empty();
        let uses_budget = self.uses_retry_budget(request);
        let has_budget = || self.host.has_retry_budget() && self.is_within_retry_budget();
        let may_run = self.may_repeat(request, None) && (!uses_budget || has_budget());
        if request.attempts.len() >= config.max_attempts.unwrap_or(self.config.max_attempts) || !may_run {
            return Err(Refusal::RetriesExhausted);
        }
        let target = config.target_latency;
        let late_counts = (is_retry && self.config.late_answers_count) || !config.has_target_latency;
        let limit = if late_counts { Micros::MAX } else { target };
        let time_left = (request.arrived_at + limit.min(request.arrival.time_left)) - now;
        let view = self.fleet_view();
        let allowed = (time_left as f64 * self.wait_share(&view, profile)) as Micros;
        let Some(chosen) = self.select_server(id, &view, allowed) else { return Err(Refusal::NoServer) };
        let Candidate { server, expected, too_late, .. } = chosen;
        let ServerInfo { build, started, zone, .. } = self.state.servers[&server].info;
        let young = started.is_some_and(|at| now - at < MIN_JUDGED_AGE);
        let comparable = self.config.zones_comparable || view.own_zone.is_none_or(|own| own == zone);
        let attempt = self.state.servers[&server].new_attempt(now, young, comparable);
        if too_late {
            self.judge_rejection(&attempt, profile, is_retry);
            return Err(Refusal::TooLate { server, expected, allowed, in_flight: attempt.in_flight() });
        }
        let usual = view.usual_latency(profile);
        if is_retry && time_left <= usual.unwrap_or(0) / 2 {
            return Err(Refusal::NoTime);
        }
        if self.exposure_cap(build).is_some() {
            let oldest = (!self.config.exposure_since_start).then_some(now - self.retention);
            self.state.count_exposure(build, profile, now, oldest);
        }
        self.state.add_attempt(id, attempt, uses_budget, now - self.retention);
        self.host.send_attempt(id, server, None);
        let wait = usual.map_or(target / 2, |usual| (3 * usual).min(target / 2));
        self.host.set_timer(now + wait, TimerKind::Request(id));
        Ok(())
    }

    /// The best server that the request may go to. Servers that back off come last, then those of another
    /// build than the drawn one, then those that would answer after `allowed`: a server that only looks slow
    /// after a heavy request could never show that it is not, if all were refused because of it. Then the
    /// cheapest wins: queue and slowness outweigh a random draw by capacity, which keeps gateways that see no
    /// difference from all choosing the same one. In an overload, even load matters more than the subset.
    fn select_server(&mut self, id: RequestId, view: &FleetView, allowed: Micros) -> Option<Candidate> {
        let request = &self.state.requests[&id];
        // A build on trial is drawn by its share of the servers, where those that warm up count in part.
        let permission = |build| BuildPermission {
            on_trial: self.exposure_cap(build).is_some(),
            allowed: self.build_allowed(request, build),
        };
        let mut totals = self.state.fleet_totals(|server| view.warmth(server), permission);
        let target = self.config.profile(request.arrival.profile).target_latency as f64;
        let pressure = self.pressure();
        let usual = view.zone_slowness.keys().filter_map(|zone| Some((*zone, pressure(*zone)? * target)));
        let usual: BTreeMap<ZoneId, f64> = usual.collect();
        let mut random = self.random;
        let trial_drawn = random.rand_float() * totals.healthy < totals.on_trial;
        let overloaded = usual.values().any(|latency| *latency >= LONG_IN_FLIGHT_SHARE * target);
        let subset = self.own_subset(totals.groups.values().map(|group| group.size).sum());
        let mut best: Option<Candidate> = None;
        for (server_id, server) in &self.state.servers {
            let info = &server.info;
            let in_subset = totals.next_position(info).is_none_or(|(at, one)| subset.contains(at, one));
            let build = totals.builds.get(&info.build).copied().unwrap_or_default();
            let tried = request.attempts.iter().any(|attempt| attempt.server == *server_id);
            let usable = info.condition == Condition::Healthy && build.allowed && !tried;
            let has_capacity = || self.host.has_capacity(id, *server_id, info.build);
            if !usable || !self.may_repeat(request, Some(info)) || !has_capacity() {
                continue;
            }
            let warmth = view.warmth(server);
            let capacity = (info.capacity * warmth).max(f64::MIN_POSITIVE);
            let [share, drawn] = [capacity / totals.capacity, capacity / totals.allowed_capacity];
            if warmth < 1.0 && random.rand_float() >= self.cold_probability(server, share, drawn) {
                continue;
            }
            let draw = (-(1.0 - random.rand_float()).ln() / capacity).powf(1.0 / DRAW_SHARPNESS);
            let draw = if in_subset || overloaded { draw } else { OUTSIDE_DRAW_FACTOR * draw };
            let cost = view.cost_factor(server) * (server.in_flight.len() as f64 / capacity + draw);
            let expected = usual.get(&info.zone).map(|usual| self.expected_latency(server, *usual));
            let expected = expected.unwrap_or(f64::NEG_INFINITY) as Micros;
            let too_late = expected > allowed;
            let order = ((view.backs_off(server), build.on_trial != trial_drawn, too_late), cost);
            if best.is_none_or(|best| order < best.order) {
                best = Some(Candidate { order, server: *server_id, expected, too_late });
            }
        }
        self.random = random;
        best
    }

    /// The gateway's subset of the servers of each zone and build: it starts at a position that follows from
    /// the gateway's index and is as large as its requests can keep connections to. Guards against a
    /// handshake for nearly every request, where hundreds of gateways each use a server seldom. Harm: load is
    /// less even, and servers outside the subset are drawn seldom.
    fn own_subset(&self, servers: usize) -> Subset {
        let config = &self.config;
        let (Some(index), Some(fleet)) = (config.gateway_index, config.fleet_size) else {
            return Subset::ALL;
        };
        let idle_timeout = config.idle_timeout.unwrap_or(Micros::MAX / 2);
        let requests = self.state.recent_requests.count_since(self.host.now() - REQUEST_COUNT_WINDOW) as f64;
        let per_timeout = requests * idle_timeout as f64 / REQUEST_COUNT_WINDOW as f64;
        let kept = per_timeout / ATTEMPTS_PER_IDLE_TIMEOUT / servers as f64;
        let size = kept.max(MIN_GATEWAYS_PER_SERVER / fleet.max(1.0));
        Subset { start: index / fleet.max(1.0), size }
    }

    /// The probability with which a machine that warms up may be used, so that it is not overloaded: in any
    /// window it gets from this gateway at most its `share`, by capacity, of the work finished here, times
    /// `COLD_GROWTH`. If less than one attempt is left of that, chance decides, divided by how often a
    /// request would be `drawn` there; else, during a rollback, all gateways would send their requests to it.
    fn cold_probability(&self, server: &Server, share: f64, drawn: f64) -> f64 {
        let since = self.host.now() - self.config.cold_load_window.unwrap_or(SECOND);
        let finished = self.state.recent_successes.count_since(since).max(1);
        let room = COLD_GROWTH * share * finished as f64 - server.recent_sends.count_since(since) as f64;
        let requests = self.state.recent_requests.count_since(since) as f64;
        if room >= 1.0 { 1.0 } else { room / (drawn * requests) }
    }

    fn fleet_view(&self) -> FleetView {
        let (now, sample_window) = (self.host.now(), self.sample_window());
        let usual_latencies = self.state.usual_latencies(now - sample_window);
        let slowest = usual_latencies.values().copied().max().unwrap_or(SECOND);
        FleetView {
            now,
            sample_window,
            max_silence: (3 * slowest).max(200 * MS),
            usual_latencies,
            warmup: self.config.warmup,
            cold_capacity: self.config.cold_capacity,
            own_zone: self.config.zone.map(ZoneId),
            crossing_factor: 1.0 + 8.0 * self.config.crossing_price,
            zone_slowness: self.state.zone_means(PRIOR_ANSWERS, |s| attempt_costs(s, now, sample_window)),
        }
    }
}
