//! A whole fleet in simulated time: gateways, each the real module, over servers with cores and queues, one list
//! service and one platform, and what befalls them together. It counts over all gateways what none of them sees.
//! What it takes for granted: links take no time, a server serves in the order of coming, a connection that has
//! rested for half of `idle_close` is closed, and messages between gateways take 5 ms.

use std::collections::{BTreeMap, VecDeque};

use garnetdoor::balance::Balancer;
use garnetdoor::host::*;

use crate::port::Port;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const OLD: BuildNo = BuildNo(41);
const NEW: BuildNo = BuildNo(42);
const CORES: usize = 4;
/// Mean work of a ticket on one core.
const WORK: f64 = 90e3;
const LOAD: f64 = 0.5;
const DEADLINE: Micros = 2 * S;
const RESTS: Micros = 15 * S;
const COLD: Micros = 4 * S;
const COLD_FROM: f64 = 0.3;
const FALL: Micros = 3 * S;
const MULTIPLE: f64 = 2.0;
const CAP: f64 = 0.1;
const FREE: f64 = 3.0;
const WINDOW: Micros = 4 * S;
const LIFE: Micros = 6 * S;
/// Shares of all gateways that move a build on, and that send it back.
const AYES: f64 = 0.6;
const NOES: f64 = 0.25;
/// Votes a second that the platform takes.
const CALLS: usize = 16;
/// Calls a second that the list service works through.
const LISTS: f64 = 100.0;

// What happens when.
const OFFERED: Micros = 8 * S;
const LOST: Micros = 22 * S;
const RETURNS: Micros = 27 * S;
const KILLED: Micros = 33 * S;
const LAST: Micros = 40 * S;
const ENDS: Micros = 44 * S;

/// What is played.
#[derive(Clone, Debug)]
pub struct World {
    pub gateways: usize,
    /// Tickets a second of a gateway, in the mean.
    pub rate: f64,
    /// One gateway has eight times the mean, and half have a fifth.
    pub uneven: bool,
    /// The build on trial fails half of its tickets.
    pub bad: bool,
    /// Messages between gateways are lost, all of them.
    pub mute: bool,
    /// A zone is lost and returns cold, and later seven in ten gateways are killed at once.
    pub trouble: bool,
    /// Gateways are told their number and the platform's true calls; else they keep to no part of the list and
    /// spare no calls, as 0.4.0 did.
    pub told: bool,
    /// The size of the fleet that they are told, if any.
    pub size: Option<usize>,
    /// They are told of a cap that is too high: the check on exposure must show it.
    pub misled: bool,
    pub seed: u64,
}

impl World {
    /// A calm day of so many gateways with a good build, all told as it is.
    pub fn new(gateways: usize, seed: u64) -> Self {
        let rate = if gateways < 10 { 20.0 } else { 2.5 };
        let (size, told) = (Some(gateways), true);
        World {
            gateways,
            rate,
            uneven: false,
            bad: false,
            mute: false,
            trouble: false,
            told,
            size,
            misled: false,
            seed,
        }
    }

    /// How many gateways' votes a share of them is.
    fn needed(&self, share: f64) -> usize {
        (share * self.gateways as f64).ceil().max(1.0) as usize
    }
}

/// What came of it, counted over the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub tickets: usize,
    pub finished: usize,
    pub turned_back: usize,
    pub answers_missing: usize,
    pub answers_twice: usize,
    /// Trips that a cold server got beyond what it may get in a window.
    pub cold_overrun: usize,
    pub exposure_excess: usize,
    pub drain_sends_late: usize,
    pub list_calls_peak_ratio: f64,
    pub vote_calls_peak_ratio: f64,
    pub handshakes_per_ticket: f64,
    pub connections_per_server_peak: usize,
    /// Trips of the busiest over those of the mean server, of those that nothing befell.
    pub load_skew: f64,
    pub votes_standing_most: usize,
    /// Whether the build was bad, was released, and went back.
    pub bad: bool,
    pub released: bool,
    pub back: bool,
    /// From the first listing of the build to its way back, in seconds.
    pub verdict_s: f64,
    pub bytes_told_per_ticket: f64,
}

enum Event {
    Comes(usize),
    Ends {
        gateway: usize,
        epoch: u32,
        ticket: u64,
        trip: u32,
        server: usize,
        ending: AttemptOutcome,
        sent: Micros,
    },
    Due {
        gateway: usize,
        epoch: u32,
        ticket: u64,
    },
    Woken(usize, u32, TimerKind),
    Listed(usize, u32, Vec<ServerInfo>),
    News(usize, u32, RolloutStatus),
    Answered(usize, u32, VoteResult),
    Told(usize, usize, Vec<u8>),
    Cue(fn(&mut Fleet)),
}

struct Server {
    listing: ServerInfo,
    up: bool,
    started: Option<Micros>,
    /// When each core is free.
    free: [Micros; CORES],
    /// Work sent lately while it was cold.
    lately: VecDeque<(Micros, f64)>,
    conns: usize,
    trips: usize,
    /// Nothing has befallen it.
    whole: bool,
}

struct Gateway {
    port: Port,
    balance: Balancer<Port>,
    epoch: u32,
    rate: f64,
    /// Each open ticket's trips so far, and when its client's time is up.
    tickets: BTreeMap<u64, (u32, Micros)>,
    next: u64,
    /// Idle connections to each server, with since when.
    idle: BTreeMap<usize, Vec<Micros>>,
    listed: BTreeMap<ServerId, (ServerInfo, Micros)>,
    taken: VecDeque<Micros>,
    exposed: VecDeque<Micros>,
    news: Option<RolloutStatus>,
}

struct Fleet {
    world: World,
    now: Micros,
    number: u64,
    queue: BTreeMap<(Micros, u64), Event>,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    chance: oorandom::Rand64,
    standing: BTreeMap<usize, (Vote, Micros)>,
    /// Votes taken in this second, and which second it is.
    calls: (Micros, usize),
    asked: BTreeMap<Micros, [usize; 2]>,
    news: RolloutStatus,
    handshakes: usize,
    bytes: usize,
    outcome: Outcome,
}

/// Plays a world to its end.
pub fn play(world: &World) -> Outcome {
    let mut fleet = Fleet::new(world.clone());
    while let Some(((at, _), event)) = fleet.queue.pop_first() {
        if at > ENDS {
            break;
        }
        fleet.now = at;
        fleet.happens(event);
    }
    fleet.ends()
}

fn settings(world: &World, index: usize) -> Settings {
    let mut pairs: Vec<_> = world.size.iter().map(|size| ("fleet_size", size.to_string())).collect();
    pairs.extend([
        ("domain.ayes_needed", world.needed(AYES).to_string()),
        ("domain.noes_needed", world.needed(NOES).to_string()),
    ]);
    if world.told {
        pairs.extend([("index", index.to_string()), ("domain.votes_per_s", CALLS.to_string())]);
    } else {
        // Without a number there is no own part, and with calls enough votes are renewed as 0.4.0 did.
        pairs.push(("domain.votes_per_s", "100000".to_owned()));
    }
    let fixed = "classes.count=1 classes.0.repeat=safe classes.0.on_time=0.5 classes.0.worth=1 zone=0 \
        policy_limits.try_limit=3 policy_limits.retry_after=true policy_limits.max_retry_after=0.5 \
        policy_limits.may_tell=true policy_limits.idle_close=30 prices.peer=0.01 discovery=subscribe \
        domain.exposure_caps=0.1 domain.exposure_window=4 domain.free=3 domain.gate_mode=share \
        domain.vote_life=6 domain.vote_wait=2 safety.cold=4 safety.cold_from=0.3 safety.fall=3";
    let fixed = fixed.split_whitespace().filter_map(|pair| pair.split_once('='));
    fixed.map(|(name, value)| (name, value.to_owned())).chain(pairs).collect()
}

impl Server {
    fn new(number: usize) -> Self {
        let listing = ServerInfo {
            server: ServerId(number as u32),
            build: OLD,
            zone: ZoneId(number % 2),
            condition: Condition::Healthy,
            capacity: 1.0,
            ..ServerInfo::default()
        };
        let (free, lately) = ([0; CORES], VecDeque::new());
        Server { listing, up: true, started: None, free, lately, conns: 0, trips: 0, whole: true }
    }

    /// The part of its capacity that it has.
    fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        (COLD_FROM + (1.0 - COLD_FROM) * (now - started) as f64 / COLD as f64).min(1.0)
    }

    /// Adds a trip's work; whether a cold server then has more than it may get within a window. A window that
    /// counts is a whole one: a burst may stand in it anywhere.
    fn is_pushed_over(&mut self, now: Micros, work: f64) -> bool {
        if self.started.is_none_or(|started| now >= started + COLD) {
            return false;
        }
        self.lately.push_back((now, work));
        self.lately.retain(|(at, _)| *at > now - FALL);
        let sent: f64 = self.lately.iter().map(|(_, work)| work).sum();
        sent > MULTIPLE * self.warmth(now) * CORES as f64 * FALL as f64
    }

    fn starts(&mut self, now: Micros, build: BuildNo) {
        (self.up, self.started, self.free, self.whole) = (true, Some(now), [now; CORES], false);
        self.lately.clear();
        self.listing =
            ServerInfo { build, condition: Condition::Healthy, started: Some(now), ..self.listing };
    }
}

/// Of trips, each at its time and of so many microseconds of work, the first that pushes a server over: one that
/// started cold at `started`, or that never was cold.
pub fn first_pushed_over(
    started: Option<Micros>, trips: impl IntoIterator<Item = (Micros, f64)>,
) -> Option<usize> {
    let mut server = Server::new(0);
    if let Some(at) = started {
        server.starts(at, NEW);
    }
    trips.into_iter().position(|(now, work)| server.is_pushed_over(now, work))
}

impl Fleet {
    fn new(world: World) -> Self {
        let count =
            (world.gateways as f64 * world.rate * WORK / 1e6 / (CORES as f64 * LOAD)).round().max(12.0);
        let mut fleet = Fleet {
            now: 0,
            number: 0,
            queue: BTreeMap::new(),
            gateways: Vec::new(),
            servers: (0..count as usize).map(Server::new).collect(),
            chance: oorandom::Rand64::new(u128::from(world.seed)),
            standing: BTreeMap::new(),
            calls: (0, 0),
            asked: BTreeMap::new(),
            news: RolloutStatus {
                build: OLD,
                stage: StageNo(0),
                phase: RolloutPhase::Released,
                exposure_cap: 1.0,
                age: 0,
            },
            handshakes: 0,
            bytes: 0,
            outcome: Outcome { bad: world.bad, ..Outcome::default() },
            world,
        };
        for index in 0..fleet.world.gateways {
            let share = match (fleet.world.uneven, index) {
                (false, _) => 1.0,
                (true, 0) => 8.0,
                (true, n) => [0.2, 1.8][n % 2],
            };
            let gateway = fleet.gateway(index, 0, share * fleet.world.rate);
            fleet.gateways.push(gateway);
            fleet.knows(index);
            let first = fleet.between(0, S);
            fleet.at(first, Event::Comes(index));
        }
        fleet.at(OFFERED, Event::Cue(Fleet::offered));
        if fleet.world.trouble {
            fleet.at(LOST, Event::Cue(Fleet::zone_lost));
            fleet.at(RETURNS, Event::Cue(Fleet::zone_returns));
            fleet.at(KILLED, Event::Cue(Fleet::killed));
        }
        fleet
    }

    fn between(&mut self, least: Micros, most: Micros) -> Micros {
        least + (self.chance.rand_float() * (most - least) as f64) as Micros
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.insert((at, self.number), event);
    }

    fn gateway(&mut self, index: usize, epoch: u32, rate: f64) -> Gateway {
        let port = Port::default();
        port.0.borrow_mut().now = self.now;
        let seed = self.chance.rand_u64();
        let balance = Balancer::start(port.clone(), seed, settings(&self.world, index));
        let (tickets, idle, listed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (taken, exposed) = (VecDeque::new(), VecDeque::new());
        Gateway { port, balance, epoch, rate, tickets, next: 0, idle, listed, taken, exposed, news: None }
    }

    /// A gateway that starts has a list and the news.
    fn knows(&mut self, index: usize) {
        let list: Vec<_> = self.servers.iter().map(|server| server.listing.clone()).collect();
        let (now, news) = (self.now, self.news);
        let here = &mut self.gateways[index];
        here.listed = list.iter().map(|entry| (entry.server, (entry.clone(), now))).collect();
        here.news = Some(news);
        here.balance.server_list_replaced(list);
        here.balance.rollout_updated(news);
        self.settle(index);
    }

    fn happens(&mut self, event: Event) {
        let index = match &event {
            Event::Comes(index)
            | Event::Ends { gateway: index, .. }
            | Event::Due { gateway: index, .. }
            | Event::Woken(index, ..)
            | Event::Listed(index, ..)
            | Event::News(index, ..)
            | Event::Answered(index, ..)
            | Event::Told(index, ..) => *index,
            Event::Cue(cue) => return cue(self),
        };
        self.gateways[index].port.0.borrow_mut().now = self.now;
        let (now, here) = (self.now, &mut self.gateways[index]);
        let current = here.epoch;
        match event {
            Event::Comes(_) => self.comes(index),
            Event::Ends { epoch, ticket, trip, server, ending, sent, .. } if epoch == current => {
                self.trip_ends(index, ticket, trip, server, ending, sent);
            }
            Event::Due { epoch, ticket, .. } => {
                let held = epoch == current && here.tickets.remove(&ticket).is_some();
                self.outcome.answers_missing += usize::from(held);
            }
            Event::Woken(_, epoch, wake) if epoch == current => here.balance.timer_fired(wake),
            Event::Listed(_, epoch, list) if epoch == current => {
                here.listed.extend(list.iter().map(|entry| (entry.server, (entry.clone(), now))));
                here.balance.server_list_updated(list);
            }
            Event::News(_, epoch, news) if epoch == current => {
                here.news = Some(news);
                here.exposed.clear();
                here.balance.rollout_updated(news);
            }
            Event::Answered(_, epoch, taken) if epoch == current => here.balance.vote_answered(taken),
            Event::Told(_, from, bytes) => here.balance.peer_message_received(GatewayId(from), &bytes),
            _ => {}
        }
        self.settle(index);
    }

    fn comes(&mut self, index: usize) {
        let here = &mut self.gateways[index];
        let (ticket, epoch) = (here.next, here.epoch);
        here.next += 1;
        here.tickets.insert(ticket, (0, self.now + DEADLINE));
        here.taken.push_back(self.now);
        here.taken.retain(|at| *at > self.now - WINDOW);
        self.outcome.tickets += 1;
        let profile = ProfileId(0);
        let arrival = Arrival {
            profile,
            cost: None,
            key: None,
            time_left: DEADLINE,
            writes: false,
            is_retry: false,
            party: None,
        };
        let gap = -(1.0 - self.chance.rand_float()).ln() / here.rate * 1e6;
        here.balance.request_arrived(RequestId(ticket), arrival);
        self.at(self.now + DEADLINE + 50 * MS, Event::Due { gateway: index, epoch, ticket });
        if self.now + (gap as Micros) < LAST {
            self.at(self.now + gap as Micros, Event::Comes(index));
        }
    }

    fn trip_ends(
        &mut self, index: usize, ticket: u64, trip: u32, server: usize, ending: AttemptOutcome, sent: Micros,
    ) {
        let here = &mut self.gateways[index];
        let finished = ending == AttemptOutcome::Succeeded;
        if matches!(ending, AttemptOutcome::Succeeded | AttemptOutcome::Error) {
            here.idle.entry(server).or_default().push(self.now);
        } else if ending != AttemptOutcome::ConnectFailed {
            self.servers[server].conns = self.servers[server].conns.saturating_sub(1);
        }
        if finished && here.tickets.remove(&ticket).is_some() {
            self.outcome.finished += 1;
        }
        here.balance.attempt_ended(
            RequestId(ticket),
            AttemptNo(trip),
            self.now - sent,
            ending,
            finished,
            &[],
        );
    }

    /// Does what a gateway's decisions have asked for.
    fn settle(&mut self, index: usize) {
        let port = self.gateways[index].port.clone();
        let asked = &mut *port.0.borrow_mut();
        let epoch = self.gateways[index].epoch;
        for (ticket, server) in asked.trips.drain(..) {
            self.send(index, ticket.0, server.0 as usize);
        }
        for (ticket, _) in asked.turned_back.drain(..) {
            let open = self.gateways[index].tickets.remove(&ticket.0).is_some();
            self.outcome.turned_back += usize::from(open);
            self.outcome.answers_twice += usize::from(!open);
        }
        for (at, wake) in asked.wakes.drain(..) {
            self.at(at.max(self.now), Event::Woken(index, epoch, wake));
        }
        let second = self.now / S;
        let counted = self.asked.entry(second).or_default();
        counted[0] += std::mem::take(&mut asked.lists);
        counted[1] += asked.votes.len();
        for (build, _, vote) in asked.votes.drain(..) {
            let taken = self.voted(index, build, vote);
            self.at(self.now + 50 * MS, Event::Answered(index, epoch, taken));
        }
        for (to, bytes) in asked.told.drain(..) {
            self.bytes += bytes.len();
            if !self.world.mute && to.0 < self.gateways.len() {
                self.at(self.now + 5 * MS, Event::Told(to.0, index, bytes));
            }
        }
    }

    fn send(&mut self, index: usize, ticket: u64, server: usize) {
        let (now, here, to) = (self.now, &mut self.gateways[index], &mut self.servers[server]);
        let Some((trip, until)) = here.tickets.get_mut(&ticket) else { return };
        let (number, until) = (*trip, *until);
        *trip += 1;
        if let Some((told, at)) = here.listed.get(&to.listing.server) {
            let late = told.condition != Condition::Healthy && now > at + S;
            self.outcome.drain_sends_late += usize::from(late);
            if here.news.is_some_and(|news| news.phase == RolloutPhase::InTrial && told.build >= news.build) {
                here.exposed.push_back(now);
                here.exposed.retain(|at| *at > now - WINDOW);
                let may = FREE + CAP * here.taken.len() as f64;
                self.outcome.exposure_excess += usize::from(here.exposed.len() as f64 > may);
            }
        }
        let work = -(1.0 - self.chance.rand_float()).ln() * WORK;
        let warm = to.warmth(now);
        self.outcome.cold_overrun += usize::from(to.is_pushed_over(now, work));
        to.trips += 1;
        let idle = here.idle.entry(server).or_default();
        let before = idle.len();
        idle.retain(|since| now - since < RESTS);
        to.conns = to.conns.saturating_sub(before - idle.len());
        let epoch = here.epoch;
        let ends =
            |ending| Event::Ends { gateway: index, epoch, ticket, trip: number, server, ending, sent: now };
        if !to.up {
            return self.at((now + MS).min(until.max(now)), ends(AttemptOutcome::ConnectFailed));
        }
        if idle.pop().is_none() {
            self.handshakes += 1;
            to.conns += 1;
            let peak = &mut self.outcome.connections_per_server_peak;
            *peak = (*peak).max(to.conns);
        }
        let core = to.free.iter_mut().min().expect("servers have cores");
        *core = now.max(*core) + (work / warm) as Micros;
        let done = *core;
        let fails = self.world.bad && to.listing.build == NEW && self.chance.rand_float() < 0.5;
        let (at, ending) = match done {
            done if done > until => (until.max(now), AttemptOutcome::TimedOut),
            done => (done, if fails { AttemptOutcome::Error } else { AttemptOutcome::Succeeded }),
        };
        self.at(at, ends(ending));
    }

    /// The platform takes a vote, or not.
    fn voted(&mut self, index: usize, build: BuildNo, vote: Vote) -> VoteResult {
        if build != self.news.build || self.news.phase.is_rollback() {
            return VoteResult::Moot;
        }
        if self.calls.0 != self.now / S {
            self.calls = (self.now / S, 0);
        }
        if self.calls.1 >= CALLS {
            return VoteResult::Full;
        }
        self.calls.1 += 1;
        self.standing.insert(index, (vote, self.now + LIFE));
        let now = self.now;
        self.standing.retain(|_, (_, until)| *until > now);
        let stand = |of: Vote| self.standing.values().filter(|(vote, _)| *vote == of).count();
        let (ayes, noes) = (stand(Vote::Promote), stand(Vote::RollBack));
        self.outcome.votes_standing_most = self.outcome.votes_standing_most.max(ayes + noes);
        if noes >= self.world.needed(NOES) {
            self.outcome.back = true;
            self.outcome.verdict_s = (now - OFFERED) as f64 / 1e6;
            self.goes_back();
        } else if ayes >= self.world.needed(AYES)
            && self.news.phase == RolloutPhase::InTrial
            && now > OFFERED + 3 * S
        {
            self.outcome.released = true;
            self.tells(RolloutStatus { phase: RolloutPhase::Released, exposure_cap: 1.0, ..self.news });
        }
        VoteResult::Counted
    }

    /// The platform's news reach each gateway a while later.
    fn tells(&mut self, news: RolloutStatus) {
        self.news = news;
        for index in 0..self.gateways.len() {
            let (at, epoch) = (self.now + self.between(100 * MS, 500 * MS), self.gateways[index].epoch);
            self.at(at, Event::News(index, epoch, news));
        }
    }

    /// Each gateway hears of these servers some time later.
    fn lists(&mut self, changed: &[usize]) {
        let list: Vec<_> = changed.iter().map(|server| self.servers[*server].listing.clone()).collect();
        for index in 0..self.gateways.len() {
            let (at, epoch) = (self.now + self.between(300 * MS, 1200 * MS), self.gateways[index].epoch);
            self.at(at, Event::Listed(index, epoch, list.clone()));
        }
    }

    /// The first servers of a list: one of twelve, two at least.
    fn trial(&self) -> Vec<usize> {
        (0..(self.servers.len() / 12).max(2)).collect()
    }

    fn offered(&mut self) {
        let (trial, now) = (self.trial(), self.now);
        trial.iter().for_each(|server| self.servers[*server].starts(now, NEW));
        self.lists(&trial);
        let cap = if self.world.misled { 1.0 } else { CAP };
        self.tells(RolloutStatus {
            build: NEW,
            stage: StageNo(0),
            phase: RolloutPhase::InTrial,
            exposure_cap: cap,
            age: 0,
        });
    }

    fn goes_back(&mut self) {
        let trial = self.trial();
        trial.iter().for_each(|server| self.servers[*server].listing.condition = Condition::Draining);
        self.lists(&trial);
        self.tells(RolloutStatus { phase: RolloutPhase::RollingBack, exposure_cap: 0.0, ..self.news });
    }

    fn zone_lost(&mut self) {
        let zone = self.servers.iter_mut().filter(|server| server.listing.zone == ZoneId(1));
        zone.for_each(|server| (server.up, server.whole) = (false, false));
    }

    fn zone_returns(&mut self) {
        let now = self.now;
        let zone: Vec<_> = (0..self.servers.len()).filter(|server| !self.servers[*server].up).collect();
        for server in &zone {
            let server = &mut self.servers[*server];
            let ServerInfo { build, condition, .. } = server.listing;
            server.starts(now, build);
            server.listing.condition = condition;
        }
        self.lists(&zone);
    }

    fn killed(&mut self) {
        for index in 0..self.gateways.len() {
            if index % 10 >= 3 {
                let (epoch, rate) = (self.gateways[index].epoch + 1, self.gateways[index].rate);
                // Its number goes on, so that no ticket's is used twice; its tickets are lost with it.
                let next = self.gateways[index].next;
                self.gateways[index] = Gateway { next, ..self.gateway(index, epoch, rate) };
                self.knows(index);
            }
        }
    }

    fn ends(mut self) -> Outcome {
        let after = self.asked.range(if self.world.trouble { KILLED / S } else { 0 }..);
        let peaks = after.fold([0, 0], |most, (_, asked)| [most[0].max(asked[0]), most[1].max(asked[1])]);
        self.outcome.list_calls_peak_ratio = peaks[0] as f64 / LISTS;
        self.outcome.vote_calls_peak_ratio = peaks[1] as f64 / CALLS as f64;
        self.outcome.handshakes_per_ticket = self.handshakes as f64 / self.outcome.tickets as f64;
        self.outcome.bytes_told_per_ticket = self.bytes as f64 / self.outcome.tickets as f64;
        let loads: Vec<_> =
            self.servers.iter().filter(|server| server.whole).map(|server| server.trips).collect();
        let mean = loads.iter().sum::<usize>() as f64 / loads.len().max(1) as f64;
        self.outcome.load_skew = loads.iter().max().map_or(0.0, |most| *most as f64 / mean);
        self.outcome
    }
}
