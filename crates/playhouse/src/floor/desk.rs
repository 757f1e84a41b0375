//! Desk (one service at one foyer): hosts the decisions of `garnetdoor` for one service: names to numbers,
//! settings handed on, and what the decisions ask for kept until it is carried out. It decides nothing.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use bill::{Bill, Kind};
use cast::{InstanceId, State};
use garnetdoor::balance::Balancer;
use garnetdoor::host::{
    AttemptNo, BuildNo, CellId, Condition, GatewayId, Host, MachineTypeId, ProfileId, Refusal, RequestId,
    RolloutPhase, RolloutStatus, ServerId, ServerInfo, Settings as Given, StageNo, TimerKind, Vote, ZoneId,
};
use indexmap::IndexMap;
use load::{Bounds, Fleet, Profiles, Share, VOTE_LIFE};
use props::Micros;
use purse::Purse;
use script::{Rollout, Tally, Voice};

/// What the decisions have asked for.
#[derive(Debug)]
pub(super) enum Do {
    Send { ticket: RequestId, server: ServerId, until: Option<Micros> },
    Stop { ticket: RequestId, trip: AttemptNo },
    TurnBack { ticket: RequestId, wait: Option<Micros> },
    Forfeit { ticket: RequestId },
    Refused { why: Refusal },
    Vote { build: BuildNo, vote: Vote },
    Wake { at: Micros, wake: TimerKind },
}

/// Outcomes that were judged, and how many of them failed, by build and profile.
type Judged = IndexMap<(BuildNo, ProfileId), (u32, u32)>;

/// The host as the decisions see it.
pub struct Hand {
    now: Rc<Cell<Micros>>,
    judged: Rc<RefCell<Judged>>,
    asked: Rc<RefCell<VecDeque<Do>>>,
    purse: Rc<RefCell<Purse>>,
    service: Rc<str>,
    room: Rc<RefCell<Room>>,
}

/// How much may go to each instance from here.
struct Room {
    /// By the instances' numbers.
    at: Vec<Reach>,
    share: Share,
}

/// How much may go to one of them.
#[derive(Clone, Copy, Default)]
struct Reach {
    /// How many foyers come before this one at it, and whether this one may use it.
    before: usize,
    mine: bool,
    /// Of the version on trial, and not among those that are loaded.
    spared: bool,
    /// Trips that are out there.
    out: usize,
}

impl Hand {
    fn ask(&self, what: Do) {
        self.asked.borrow_mut().push_back(what);
    }
}

impl Host for Hand {
    fn now(&self) -> Micros {
        self.now.get()
    }
    fn send_attempt(&mut self, ticket: RequestId, server: ServerId, until: Option<Micros>) {
        self.ask(Do::Send { ticket, server, until });
    }
    fn cancel_attempt(&mut self, ticket: RequestId, trip: AttemptNo) {
        self.ask(Do::Stop { ticket, trip });
    }
    fn reject(&mut self, ticket: RequestId, come_back_in: Option<Micros>) {
        self.ask(Do::TurnBack { ticket, wait: come_back_in });
    }
    fn fail(&mut self, ticket: RequestId) {
        self.ask(Do::Forfeit { ticket });
    }
    fn cast_vote(&mut self, build: BuildNo, _stage: StageNo, vote: Vote) {
        self.ask(Do::Vote { build, vote });
    }
    fn set_timer(&mut self, at: Micros, wake: TimerKind) {
        self.ask(Do::Wake { at, wake });
    }
    // A foyer probes nothing, and the list and the news of others come unasked.
    fn probe(&mut self, _server: ServerId) {}
    fn send_to_peers(&mut self, _to: Option<GatewayId>, _bytes: &[u8]) {}
    fn fetch_server_list(&mut self) {}
    fn watch_server_list(&mut self, _on: bool) {}
    fn close_idle_connections(&mut self, _server: ServerId) {}
    fn has_capacity(&self, _ticket: RequestId, server: ServerId, _build: BuildNo) -> bool {
        let room = self.room.borrow();
        let may = |at: &Reach| at.mine && !at.spared && at.out < room.share.connections;
        room.at.get(server.0 as usize).is_some_and(may)
    }
    fn has_retry_budget(&self) -> bool {
        self.purse.borrow_mut().may_known(self.now.get(), &self.service)
    }
    fn outcome_judged(&mut self, build: BuildNo, profile: ProfileId, failed: bool) {
        let mut judged = self.judged.borrow_mut();
        let entry = judged.entry((build, profile)).or_default();
        *entry = (entry.0.saturating_add(1), entry.1.saturating_add(u32::from(failed)));
    }
    fn request_refused(&mut self, _ticket: RequestId, why: Refusal) {
        self.ask(Do::Refused { why });
    }
    fn log(&mut self, text: &str) {
        log::info!("{text}");
    }
}

/// An instance as the desk numbers it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: InstanceId,
    pub address: SocketAddrV4,
}

/// A trial that is under way: its build, since when it is known here, and its part of the requests at most.
struct Trial {
    number: u32,
    since: Micros,
    cap: f64,
}

/// Routes told of in one vote.
const ROUTES_MOST: usize = 16;

pub struct Desk {
    now: Rc<Cell<Micros>>,
    pub balance: Balancer<Hand>,
    pub(super) asked: Rc<RefCell<VecDeque<Do>>>,
    pub service: Rc<str>,
    given: Given,
    /// What the settings were worked out from: all but the profiles' numbers, which follow.
    from: (Arc<Bill>, Fleet, bool),
    servers: IndexMap<InstanceId, Seen>,
    /// What the decisions were told of each, by number.
    listed: Vec<ServerInfo>,
    profiles: Profiles,
    bounds: Bounds,
    told: Option<(u32, RolloutPhase)>,
    /// The trial that is known, and the last vote on it, with its moment.
    trial: Option<Trial>,
    voted: Option<(u32, Vote, Micros)>,
    /// Outcomes that were judged, by build and profile: how many, and how many failed.
    judged: Rc<RefCell<Judged>>,
    room: Rc<RefCell<Room>>,
    /// The share, or the order of foyers at an instance, has changed since the usable instances were worked out.
    reach_changed: bool,
    zones: Vec<String>,
}

impl Desk {
    /// `now` is the time, set by whoever drives the desk; `seed` moves what the decisions leave to chance.
    pub fn start(
        service: &str, now: Rc<Cell<Micros>>, bounds: Bounds, purse: Rc<RefCell<Purse>>, bill: &Arc<Bill>,
        fleet: &Fleet, seed: u64,
    ) -> Desk {
        let asked = Rc::new(RefCell::new(VecDeque::new()));
        let judged: Rc<RefCell<Judged>> = Rc::default();
        // No connection to any instance before the share is told.
        let share = Share { gateways: 0, connections: 0 };
        let room = Rc::new(RefCell::new(Room { at: Vec::new(), share }));
        let hand = Hand {
            now: now.clone(),
            judged: judged.clone(),
            asked: asked.clone(),
            purse,
            service: service.into(),
            room: room.clone(),
        };
        let mut profiles = Profiles::default();
        let given = load::settings(service, &bounds, bill, fleet, false, &mut profiles);
        Desk {
            now,
            balance: Balancer::start(hand, seed, given.clone()),
            asked,
            service: service.into(),
            given,
            from: (bill.clone(), fleet.clone(), false),
            servers: IndexMap::new(),
            listed: Vec::new(),
            profiles,
            bounds,
            told: None,
            trial: None,
            voted: None,
            judged,
            room,
            reach_changed: false,
            zones: fleet.zones.clone(),
        }
    }

    /// The configuration, or what is known of the fleet, has changed.
    pub fn bill_changed(&mut self, bill: &Arc<Bill>, fleet: &Fleet, settled: bool) {
        let (known, of, was) = &self.from;
        if Arc::ptr_eq(known, bill) && of == fleet && *was == settled {
            return;
        }
        self.from = (bill.clone(), fleet.clone(), settled);
        let given = load::settings(&self.service, &self.bounds, bill, fleet, settled, &mut self.profiles);
        if given != self.given {
            self.given = given.clone();
            self.balance.settings_changed(given);
        }
    }

    pub fn profile(&self, route: &str, kind: Kind) -> Option<ProfileId> {
        self.profiles.number(route, kind).map(ProfileId)
    }

    pub fn server(&self, server: ServerId) -> Option<&Seen> {
        self.servers.get_index(server.0 as usize).map(|(_, seen)| seen)
    }

    /// Tells the decisions of instances as they are known now, and how many foyers come before this one at each: what they
    /// were told already is not told again.
    pub fn instances<'a>(
        &mut self, known: impl Iterator<Item = (&'a cast::Known, usize)>, rollout: Option<&Rollout>,
    ) {
        let news: Vec<ServerInfo> =
            known.filter_map(|(known, before)| self.instance(known, rollout, before)).collect();
        if !news.is_empty() || self.reach_changed {
            self.reach_changed = false;
            self.load_usable();
        }
        if !news.is_empty() {
            self.balance.server_list_updated(news);
            self.load_trial();
        }
    }

    /// Keeps which of the instances in service this foyer may use.
    fn load_usable(&mut self) {
        let mut room = self.room.borrow_mut();
        let healthy = |at: &usize| self.listed[*at].condition == Condition::Healthy;
        let numbers: Vec<usize> = (0..self.listed.len()).filter(healthy).collect();
        let before: Vec<usize> = numbers.iter().map(|at| room.at[*at].before).collect();
        let usable = room.share.usable(&before);
        for (number, usable) in numbers.into_iter().zip(usable) {
            room.at[number].mine = usable;
        }
    }

    /// Keeps to which of the trial's instances its requests go; with none under way, none is spared.
    fn load_trial(&mut self) {
        let mut room = self.room.borrow_mut();
        room.at.iter_mut().for_each(|at| at.spared = false);
        let Some(trial) = &self.trial else { return };
        let of = |at: &usize| {
            let listing = &self.listed[*at];
            listing.build.0 == trial.number && listing.condition == Condition::Healthy
        };
        let numbers: Vec<usize> = (0..self.listed.len()).filter(of).collect();
        let names: Vec<&str> = numbers.iter().map(|at| &*self.servers[*at].id.0).collect();
        let tried = load::tried(trial.cap, &names);
        for (number, tried) in numbers.into_iter().zip(tried) {
            room.at[number].spared = !tried;
        }
    }

    /// One of them; `None`: it never may get tickets, or nothing is new.
    fn instance(
        &mut self, known: &cast::Known, rollout: Option<&Rollout>, before: usize,
    ) -> Option<ServerInfo> {
        let build = rollout.and_then(|rollout| rollout.build_of(&known.version));
        let condition = match (build, known.state) {
            (Some(_), State::InService) => Condition::Healthy,
            (Some(_), State::Draining) => Condition::Draining,
            _ => Condition::Gone,
        };
        if condition == Condition::Gone && !self.servers.contains_key(&known.id) {
            return None;
        }
        let seen = Seen { id: known.id.clone(), address: known.address };
        let (number, _) = self.servers.insert_full(known.id.clone(), seen);
        {
            let mut room = self.room.borrow_mut();
            let most = room.at.len().max(number + 1);
            room.at.resize(most, Reach::default());
            self.reach_changed |= std::mem::replace(&mut room.at[number].before, before) != before;
        }
        let zone = self.zones.iter().position(|zone| *zone == known.zone).unwrap_or(self.zones.len());
        let listing = ServerInfo {
            server: ServerId(number as u32),
            build: BuildNo(build.unwrap_or(0)),
            zone: ZoneId(zone),
            machine_type: MachineTypeId(0),
            cell: CellId(0),
            condition,
            capacity: f64::from(known.slots.max(1)),
            started: Some(known.first_seen),
        };
        let fresh = number >= self.listed.len();
        if fresh {
            self.listed.resize(number + 1, ServerInfo::default());
        }
        let told = std::mem::replace(&mut self.listed[number], listing.clone());
        (fresh || told != listing).then_some(listing)
    }

    /// How many foyers may use each instance, and how many connections each of them.
    pub fn share(&mut self, share: Share) {
        let mut room = self.room.borrow_mut();
        self.reach_changed |= std::mem::replace(&mut room.share, share) != share;
    }

    /// A trip goes out to an instance, or has ended there.
    pub fn out(&mut self, server: ServerId, more: bool) {
        if let Some(at) = self.room.borrow_mut().at.get_mut(server.0 as usize) {
            at.out = if more { at.out + 1 } else { at.out.saturating_sub(1) };
        }
    }

    /// Tells the decisions of the service's roll-out, where that has changed.
    pub fn rollout(&mut self, now: Micros, cap: f64, rollout: &Rollout) {
        let phase = match rollout.state {
            None => return,
            Some(script::State::InProgress) => RolloutPhase::InTrial,
            Some(script::State::Completed) => RolloutPhase::Released,
            Some(script::State::Reverted) => RolloutPhase::RolledBack,
        };
        let (number, since) = (rollout.number, rollout.since);
        self.trial = rollout.in_progress().then_some(Trial { number, since, cap });
        self.load_trial();
        if self.told != Some((rollout.number, phase)) {
            // Older builds than the last say nothing of any to come.
            self.judged.borrow_mut().retain(|(build, _), _| build.0 + 2 >= rollout.number);
            self.told = Some((rollout.number, phase));
            self.balance.rollout_updated(RolloutStatus {
                build: BuildNo(rollout.number),
                stage: StageNo(0),
                phase,
                exposure_cap: cap,
                age: now - rollout.since,
            });
        }
    }
}

impl Desk {
    /// The decisions have voted.
    pub fn voted(&mut self, build: BuildNo, vote: Vote) {
        self.voted = Some((build.0, vote, self.now.get()));
    }

    /// This foyer's word on the trial of the service, if there is one.
    pub fn vote(&self, now: Micros) -> Option<script::Vote> {
        let Trial { number, since, .. } = *self.trial.as_ref()?;
        let back = self.voted.is_some_and(|(build, vote, at)| {
            build == number && vote == Vote::RollBack && now - at <= VOTE_LIFE
        });
        let on = self.voted.is_some_and(|(build, vote, _)| build == number && vote == Vote::Promote);
        let voice = match (back, on) {
            (true, _) => Voice::Back,
            (_, true) => Voice::On,
            _ => Voice::Wait,
        };
        let (service, age) = (self.service.to_string(), now - since);
        let mut vote = script::Vote {
            service,
            number,
            voice,
            trial: 0,
            failed: 0,
            base: 0,
            base_failed: 0,
            age,
            routes: Vec::new(),
        };
        let mut routes: IndexMap<usize, Tally> = IndexMap::new();
        for ((build, profile), (count, failed)) in self.judged.borrow().iter() {
            let Some(name) = self.profiles.route(profile.0) else { continue };
            let fresh = || Tally { route: named(name), ..Tally::default() };
            let tally = routes.entry(profile.0).or_insert_with(fresh);
            if build.0 == number {
                (tally.trial, tally.failed) = (tally.trial + count, tally.failed + failed);
                (vote.trial, vote.failed) = (vote.trial + count, vote.failed + failed);
            } else if build.0 < number {
                (tally.base, tally.base_failed) = (tally.base + count, tally.base_failed + failed);
                (vote.base, vote.base_failed) = (vote.base + count, vote.base_failed + failed);
            }
        }
        vote.routes = routes.into_values().filter(|tally| tally.trial > 0).take(ROUTES_MOST).collect();
        Some(vote)
    }
}

/// A route's name as all foyers number it alike (FNV-1a, 32 bits).
fn named(route: &str) -> u32 {
    route.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
