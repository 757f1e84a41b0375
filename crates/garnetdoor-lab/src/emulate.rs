//! The emulator: many gateways in simulated time, each the real module and the real sessions' package, over boxes
//! that take a while for each opening and guests that stay, leave and come back. It tries designs at sizes that
//! sockets do not reach. What it takes for granted: gateways see news and lists at once, boxes never fail, an
//! opening takes a box a fixed time after those ahead of it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use garnetdoor::balance::Balancer;
use garnetdoor::host::*;
use garnetdoor_sessions::share::ShareEnforcement;
use garnetdoor_sessions::{
    Action, Admission, Limits, Party, Repeatability, SessionId, Sessions, Side, SideEvent, UpgradeRequest,
};

use crate::port::Port;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const OLD: BuildNo = BuildNo(41);
const NEW: BuildNo = BuildNo(42);

/// What is played.
#[derive(Clone, Debug)]
pub struct World {
    pub gateways: usize,
    /// Guests of each gateway; most of them have a session at any time.
    pub guests: usize,
    pub boxes: usize,
    /// How the standing share is held.
    pub holding: ShareEnforcement,
    /// Over what a drain is spread; `None`: its sessions are left until the box goes, 12 s later.
    pub drain: Option<Micros>,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub openings: usize,
    pub turned_back: usize,
    pub standing_most: usize,
    /// The worst standing of the trial build beyond its share, over all gateways, as a part of all; a second after a
    /// change and later.
    pub excess: f64,
    /// Sessions that a gateway closed for the share, and for the drain.
    pub closed_for_share: usize,
    pub closed_for_drain: usize,
    /// Openings in the worst 100 ms after the cap fell, and after the drain began, over the usual ones.
    pub herd_share: f64,
    pub herd_drain: f64,
    /// The longest that an opening took then.
    pub slowest_ms: f64,
}

/// When what happens, in the world's time.
const RAMP: Micros = 15 * S;
const TRIAL: Micros = 18 * S;
const RAISED: Micros = 30 * S;
const LOWERED: Micros = 90 * S;
const DRAINED: Micros = 110 * S;
const GONE: Micros = 122 * S;
const ENDS: Micros = 128 * S;
/// How long a guest stays, in the mean.
const STAYS: f64 = 30.0 * 1e6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A guest wants a session.
    Opens(usize, u32),
    /// A box has answered a trip.
    Answered(usize, u64, u32, u32),
    /// A guest has had enough, if its session is still this one.
    Leaves(usize, u32, u64),
    Woken(usize, WakeOf),
    /// The sessions' package has something due.
    Due(usize),
    Cue(u8),
    Sample,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WakeOf {
    Ticket(u64),
    Vote,
    List,
    Beat,
}

/// A ticket that is under way.
struct Open {
    guest: u32,
    session: SessionId,
    server: ServerId,
    since: Micros,
}

struct Gateway {
    port: Port,
    balance: Balancer<Port>,
    tickets: BTreeMap<u64, Open>,
    guest_of: BTreeMap<SessionId, u32>,
    next: u64,
    due: Micros,
}

struct Emulator {
    world: World,
    now: Micros,
    number: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    gateways: Vec<Gateway>,
    /// Until when each box is busy with openings.
    busy: Vec<Micros>,
    listings: Vec<ServerInfo>,
    chance: oorandom::Rand64,
    cap: Option<f64>,
    changed: Micros,
    outcome: Outcome,
    /// Openings by 100 ms.
    moments: Vec<usize>,
}

/// How long a box is busy with an opening.
const OPENING: Micros = 2 * MS;

/// Plays a world to its end.
pub fn play(world: &World) -> Outcome {
    let mut emulator = Emulator::new(world.clone());
    while let Some(Reverse((at, _, event))) = emulator.queue.pop() {
        if at > ENDS {
            break;
        }
        emulator.now = at;
        emulator.happens(event);
    }
    emulator.ends()
}

fn settings(gateways: usize) -> Settings {
    let gateways = gateways.to_string();
    let pairs = [
        ("classes.count", "1"),
        ("classes.0.repeat", "safe"),
        ("classes.0.on_time", "0.5"),
        ("classes.0.worth", "1"),
        ("policy_limits.try_limit", "3"),
        ("policy_limits.retry_after", "true"),
        ("policy_limits.max_retry_after", "0.5"),
        ("domain.exposure_caps", "0.1,0.5,1.0"),
        ("domain.exposure_window", "4.0"),
        ("domain.free", "3"),
        ("domain.gate_mode", "share"),
        ("fleet_size", gateways.as_str()),
    ];
    pairs.into_iter().collect()
}

impl Emulator {
    fn new(world: World) -> Self {
        let listing = |n: usize| ServerInfo {
            server: ServerId(n as u32),
            build: if n < world.boxes * 2 / 3 { OLD } else { NEW },
            condition: Condition::Healthy,
            capacity: 1.0,
            ..ServerInfo::default()
        };
        let listings: Vec<_> = (0..world.boxes).map(listing).collect();
        let mut emulator = Emulator {
            now: 0,
            number: 0,
            queue: BinaryHeap::new(),
            gateways: Vec::new(),
            busy: vec![0; world.boxes],
            chance: oorandom::Rand64::new(u128::from(world.seed)),
            cap: None,
            changed: 0,
            outcome: Outcome::default(),
            moments: vec![0; (ENDS / (100 * MS)) as usize + 1],
            listings,
            world,
        };
        for number in 0..emulator.world.gateways {
            emulator.add_gateway(number);
        }
        for (at, cue) in [(TRIAL, 0), (RAISED, 1), (LOWERED, 2), (DRAINED, 3), (GONE, 4)] {
            emulator.at(at, Event::Cue(cue));
        }
        emulator.at(RAMP, Event::Sample);
        emulator
    }

    fn add_gateway(&mut self, number: usize) {
        let port = Port::default();
        let limits = Limits {
            max_sessions: usize::MAX,
            drain_period: self.world.drain.unwrap_or(0),
            ..Limits::default()
        };
        let seed = self.world.seed << 16 | number as u64;
        port.0.borrow_mut().sessions =
            Some(Sessions::new(limits, seed).with_share_enforcement(self.world.holding));
        let mut balance = Balancer::start(port.clone(), seed, settings(self.world.gateways));
        // Boxes of the new build are listed with the trial.
        balance.server_list_replaced(
            self.listings.iter().filter(|listing| listing.build == OLD).cloned().collect(),
        );
        balance.rollout_updated(RolloutStatus {
            build: OLD,
            stage: StageNo(0),
            phase: RolloutPhase::Released,
            exposure_cap: 1.0,
            age: 0,
        });
        let (tickets, guest_of) = (BTreeMap::new(), BTreeMap::new());
        self.gateways.push(Gateway { port, balance, tickets, guest_of, next: 0, due: Micros::MAX });
        for guest in 0..self.world.guests as u32 {
            let at = (self.chance.rand_float() * RAMP as f64) as Micros;
            self.at(at, Event::Opens(number, guest));
        }
        self.settle(number);
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Opens(gateway, guest) => self.opens(gateway, guest),
            Event::Answered(gateway, ticket, trip, server) => self.answered(gateway, ticket, trip, server),
            Event::Leaves(gateway, guest, session) => {
                let session = SessionId(session);
                if self.gateways[gateway].guest_of.get(&session) == Some(&guest) {
                    self.gateways[gateway].guest_of.remove(&session);
                    let now = self.now;
                    self.sessions(gateway, |sessions| {
                        Side::BOTH.iter().for_each(|side| {
                            sessions.handle_side_event(now, session, SideEvent::Disconnected(*side))
                        });
                    });
                    let away = now + (self.chance.rand_float() * 4e6) as Micros;
                    self.at(away, Event::Opens(gateway, guest));
                }
            }
            Event::Woken(gateway, wake) => {
                self.tell_time(gateway);
                let wake = match wake {
                    WakeOf::Ticket(ticket) => TimerKind::Request(RequestId(ticket)),
                    WakeOf::Vote => TimerKind::Vote,
                    WakeOf::List => TimerKind::ServerList,
                    WakeOf::Beat => TimerKind::StallCheck,
                };
                self.gateways[gateway].balance.timer_fired(wake);
            }
            Event::Due(gateway) => {
                let now = self.now;
                self.gateways[gateway].due = Micros::MAX;
                self.sessions(gateway, |sessions| sessions.tick(now));
            }
            Event::Cue(cue) => return (0..self.world.gateways).for_each(|gateway| self.cue(gateway, cue)),
            Event::Sample => return self.sample(),
        }
        let (Event::Opens(gateway, ..)
        | Event::Answered(gateway, ..)
        | Event::Leaves(gateway, ..)
        | Event::Woken(gateway, _)
        | Event::Due(gateway)) = event
        else {
            return;
        };
        self.settle(gateway);
    }

    fn sessions<T>(&mut self, gateway: usize, does: impl FnOnce(&mut Sessions) -> T) -> Option<T> {
        self.gateways[gateway].port.0.borrow_mut().sessions.as_mut().map(does)
    }

    fn tell_time(&mut self, gateway: usize) {
        self.gateways[gateway].port.0.borrow_mut().now = self.now;
    }

    fn opens(&mut self, gateway: usize, guest: u32) {
        self.tell_time(gateway);
        let now = self.now;
        let opening = UpgradeRequest {
            profile: ProfileId(0),
            repeatability: Repeatability::Repeatable,
            party: Party(format!("{guest}").into()),
            key: None,
        };
        self.outcome.openings += 1;
        self.moments[(now / (100 * MS)) as usize] += 1;
        match self.sessions(gateway, |sessions| sessions.request_upgrade(now, opening)) {
            Some(Admission::Accepted(session)) => {
                let here = &mut self.gateways[gateway];
                let ticket = here.next;
                here.next += 1;
                here.tickets.insert(ticket, Open { guest, session, server: ServerId(0), since: now });
                let arrival = Arrival {
                    profile: ProfileId(0),
                    cost: None,
                    key: None,
                    time_left: 2 * S,
                    writes: false,
                    is_retry: false,
                    party: None,
                };
                here.balance.request_arrived(RequestId(ticket), arrival);
            }
            Some(Admission::Rejected { retry_after, .. }) => {
                self.turned_back(gateway, guest, Some(retry_after))
            }
            None => {}
        }
    }

    fn turned_back(&mut self, gateway: usize, guest: u32, wait: Option<Micros>) {
        self.outcome.turned_back += 1;
        let wait = wait.unwrap_or(S / 2) + (self.chance.rand_float() * 1e5) as Micros;
        self.at(self.now + wait, Event::Opens(gateway, guest));
    }

    fn answered(&mut self, gateway: usize, ticket: u64, trip: u32, server: u32) {
        self.tell_time(gateway);
        let now = self.now;
        let listing = &self.listings[server as usize];
        let (build, condition) = (listing.build, listing.condition);
        let here = &mut self.gateways[gateway];
        let Some(open) = here.tickets.remove(&ticket) else { return };
        let took = now - open.since;
        self.outcome.slowest_ms = self.outcome.slowest_ms.max(took as f64 / 1e3);
        here.guest_of.insert(open.session, open.guest);
        here.balance.attempt_ended(
            RequestId(ticket),
            AttemptNo(trip),
            took,
            AttemptOutcome::Succeeded,
            true,
            &[],
        );
        let (session, guest) = (open.session, open.guest);
        self.sessions(gateway, |sessions| sessions.opened(now, session, ServerId(server), build, condition));
        let stays = -(1.0 - self.chance.rand_float()).ln() * STAYS;
        self.at(now + stays as Micros, Event::Leaves(gateway, guest, session.0));
    }

    /// Does what a gateway's decisions and its sessions have asked for.
    fn settle(&mut self, gateway: usize) {
        loop {
            let port = self.gateways[gateway].port.clone();
            let (trips, turned, wakes, acts) = {
                let asked = &mut *port.0.borrow_mut();
                asked.votes.clear();
                let acts = asked.sessions.as_mut().map(Sessions::take_actions).unwrap_or_default();
                (
                    std::mem::take(&mut asked.trips),
                    std::mem::take(&mut asked.turned_back),
                    std::mem::take(&mut asked.wakes),
                    acts,
                )
            };
            if trips.is_empty() && turned.is_empty() && wakes.is_empty() && acts.is_empty() {
                break;
            }
            for (ticket, server) in trips {
                self.trip(gateway, ticket, server);
            }
            for (ticket, wait) in turned {
                if let Some(open) = self.gateways[gateway].tickets.remove(&ticket.0) {
                    let now = self.now;
                    self.sessions(gateway, |sessions| sessions.opening_failed(now, open.session));
                    self.turned_back(gateway, open.guest, wait);
                }
            }
            for (at, wake) in wakes {
                let wake = match wake {
                    TimerKind::Request(ticket) => WakeOf::Ticket(ticket.0),
                    TimerKind::Vote => WakeOf::Vote,
                    TimerKind::ServerList => WakeOf::List,
                    TimerKind::StallCheck => WakeOf::Beat,
                };
                self.at(at, Event::Woken(gateway, wake));
            }
            for act in acts {
                self.act(gateway, act);
            }
        }
        let due = self.sessions(gateway, |sessions| sessions.next_due()).flatten();
        if let Some(due) = due.filter(|due| *due < self.gateways[gateway].due) {
            self.gateways[gateway].due = due;
            self.at(due.max(self.now), Event::Due(gateway));
        }
    }

    fn trip(&mut self, gateway: usize, ticket: RequestId, server: ServerId) {
        let build = self.listings[server.0 as usize].build;
        let Some(open) = self.gateways[gateway].tickets.get_mut(&ticket.0) else { return };
        open.server = server;
        let session = open.session;
        self.sessions(gateway, |sessions| sessions.attempt_sent(session, server, build));
        let busy = &mut self.busy[server.0 as usize];
        *busy = (*busy).max(self.now) + OPENING;
        let at = *busy;
        self.at(at, Event::Answered(gateway, ticket.0, 0, server.0));
    }

    fn act(&mut self, gateway: usize, act: Action) {
        let (session, reason, again) = match act {
            Action::Close { session, reason, reconnect_after, .. } => (session, reason, reconnect_after),
            Action::Abort { session, reason, .. } => (session, reason, None),
            _ => return,
        };
        let Some(guest) = self.gateways[gateway].guest_of.remove(&session) else { return };
        match reason.code() {
            "over-share" => self.outcome.closed_for_share += 1,
            "drain" | "gone" => self.outcome.closed_for_drain += 1,
            _ => {}
        }
        let now = self.now;
        self.sessions(gateway, |sessions| {
            Side::BOTH
                .iter()
                .for_each(|side| sessions.handle_side_event(now, session, SideEvent::Disconnected(*side)));
        });
        // A guest comes back by itself within a moment, and as told where it is told.
        let wait = 50 * MS + (self.chance.rand_float() * 1e5) as Micros + again.unwrap_or(0) / 4;
        self.at(now + wait, Event::Opens(gateway, guest));
    }

    fn cue(&mut self, gateway: usize, cue: u8) {
        self.tell_time(gateway);
        let now = self.now;
        let cap = [0.1, 0.5, 0.1].get(usize::from(cue)).copied();
        if let Some(cap) = cap {
            (self.cap, self.changed) = (Some(cap), now);
            let news = RolloutStatus {
                build: NEW,
                stage: StageNo(0),
                phase: RolloutPhase::InTrial,
                exposure_cap: cap,
                age: 0,
            };
            let here = &mut self.gateways[gateway];
            if cue == 0 {
                here.balance.server_list_updated(self.listings.clone());
            }
            here.balance.rollout_updated(news);
            self.sessions(gateway, |sessions| sessions.set_shares(now, BTreeMap::from([(NEW, cap)])));
        } else {
            let condition = if cue == 3 { Condition::Draining } else { Condition::Gone };
            self.listings[0].condition = condition;
            self.gateways[gateway].balance.server_list_updated(vec![self.listings[0].clone()]);
            if cue == 4 || self.world.drain.is_some() {
                self.sessions(gateway, |sessions| sessions.update_server(now, ServerId(0), condition, true));
            }
        }
        self.settle(gateway);
    }

    fn sample(&mut self) {
        let standing = |gateway: &Gateway| {
            gateway.port.0.borrow().sessions.as_ref().map_or((0, 0), |sessions| sessions.open_counts(NEW))
        };
        let all = self.gateways.iter().map(standing).fold((0, 0), |(on, all), (a, b)| (on + a, all + b));
        self.outcome.standing_most = self.outcome.standing_most.max(all.1);
        if let Some(cap) = self.cap.filter(|_| self.now >= self.changed + S && all.1 > 0) {
            self.outcome.excess = self.outcome.excess.max(all.0 as f64 / all.1 as f64 - cap);
        }
        self.at(self.now + 50 * MS, Event::Sample);
    }

    fn ends(mut self) -> Outcome {
        let moment = |at: Micros| (at / (100 * MS)) as usize;
        let usual = &self.moments[moment(LOWERED - 20 * S)..moment(LOWERED)];
        let usual = (usual.iter().sum::<usize>() as f64 / usual.len() as f64).max(1.0);
        let worst = |from: Micros, to: Micros| {
            self.moments[moment(from)..moment(to)].iter().max().copied().unwrap_or(0) as f64 / usual
        };
        self.outcome.herd_share = worst(LOWERED, LOWERED + 3 * S);
        self.outcome.herd_drain = worst(DRAINED, ENDS);
        self.outcome
    }
}
