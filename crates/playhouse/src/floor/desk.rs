//! Desk (one service at one foyer): hosts the decisions of `garnetdoor` for one service: names to numbers,
//! settings handed on, and what the decisions ask for kept until it is carried out. It decides nothing.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bill::{Bill, Kind};
use cast::{InstanceId, State};
use garnetdoor::balance::Balance;
use garnetdoor::host::{
    BuildNo, CellId, Condition, GatewayId, Host, KindId, Listing, News, Phase, ProfileId, ServerId,
    Settings as Given, StageNo, TicketId, TripNo, Vote, Wake, ZoneId,
};
use indexmap::IndexMap;
use props::{MS, Micros, SECOND};
use script::{Rollout, Tally, Voice};

use crate::settings::Settings;

/// What the decisions have asked for.
#[derive(Debug)]
pub(super) enum Do {
    Send { ticket: TicketId, server: ServerId, until: Option<Micros> },
    Stop { ticket: TicketId, trip: TripNo },
    TurnBack { ticket: TicketId, wait: Option<Micros> },
    Forfeit { ticket: TicketId },
    Vote { build: BuildNo, vote: Vote },
    Wake { at: Micros, wake: Wake },
}

/// Outcomes that were judged, and how many of them failed, by build and profile.
type Judged = IndexMap<(BuildNo, ProfileId), (u32, u32)>;

/// The host as the decisions see it.
pub struct Hand {
    now: Rc<Cell<Micros>>,
    judged: Rc<RefCell<Judged>>,
    asked: Rc<RefCell<VecDeque<Do>>>,
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
    fn send_trip(&mut self, ticket: TicketId, server: ServerId, until: Option<Micros>) {
        self.ask(Do::Send { ticket, server, until });
    }
    fn stop_trip(&mut self, ticket: TicketId, trip: TripNo) {
        self.ask(Do::Stop { ticket, trip });
    }
    fn turn_back(&mut self, ticket: TicketId, come_back_in: Option<Micros>) {
        self.ask(Do::TurnBack { ticket, wait: come_back_in });
    }
    fn forfeit(&mut self, ticket: TicketId) {
        self.ask(Do::Forfeit { ticket });
    }
    fn vote(&mut self, build: BuildNo, _stage: StageNo, vote: Vote) {
        self.ask(Do::Vote { build, vote });
    }
    fn wake_at(&mut self, at: Micros, wake: Wake) {
        self.ask(Do::Wake { at, wake });
    }
    // A foyer probes nothing, and the list and the news of others come unasked.
    fn probe(&mut self, _server: ServerId) {}
    fn tell_peers(&mut self, _to: Option<GatewayId>, _bytes: &[u8]) {}
    fn ask_list(&mut self) {}
    fn follow_list(&mut self, _on: bool) {}
    fn close_idle(&mut self, _server: ServerId) {}
    fn judged(&mut self, build: BuildNo, profile: ProfileId, failed: bool) {
        let mut judged = self.judged.borrow_mut();
        let entry = judged.entry((build, profile)).or_default();
        *entry = (entry.0.saturating_add(1), entry.1.saturating_add(u32::from(failed)));
    }
    fn note(&mut self, text: &str) {
        log::info!("{text}");
    }
}

/// An instance as the desk numbers it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: InstanceId,
    pub address: SocketAddrV4,
}

/// A vote back that is not renewed for so long stands no more: as `domain.vote_life` below.
const VOTE_LIFE: Micros = 3 * SECOND;
/// Routes told of in one vote.
const ROUTES_MOST: usize = 16;

pub struct Desk {
    now: Rc<Cell<Micros>>,
    pub balance: Balance<Hand>,
    pub(super) asked: Rc<RefCell<VecDeque<Do>>>,
    pub service: Rc<str>,
    given: Given,
    servers: IndexMap<InstanceId, Seen>,
    profiles: IndexMap<String, ()>,
    told: Option<(u32, Phase)>,
    /// The trial that is known, since when, and the last vote on it, with its moment.
    trial: Option<(u32, Micros)>,
    voted: Option<(u32, Vote, Micros)>,
    /// Outcomes that were judged, by build and profile: how many, and how many failed.
    judged: Rc<RefCell<Judged>>,
    zones: Vec<String>,
}

/// What settings follow from beside the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    pub foyers: usize,
    pub index: usize,
    /// The longest warm-up that an instance has told of.
    pub warmup: Micros,
}

impl Desk {
    /// `now` is the time, set by whoever drives the desk; `seed` moves what the decisions leave to chance.
    pub fn start(
        service: &str, now: Rc<Cell<Micros>>, settings: &Settings, bill: &Bill, fleet: Fleet, seed: u64,
    ) -> Desk {
        let asked = Rc::new(RefCell::new(VecDeque::new()));
        let judged: Rc<RefCell<Judged>> = Rc::default();
        let hand = Hand { now: now.clone(), judged: judged.clone(), asked: asked.clone() };
        let zones: Vec<String> = settings.zones.keys().cloned().collect();
        let mut profiles = IndexMap::new();
        let given = given(service, settings, bill, fleet, &mut profiles);
        Desk {
            now,
            balance: Balance::start(hand, seed, given.clone()),
            asked,
            service: service.into(),
            given,
            servers: IndexMap::new(),
            profiles,
            told: None,
            trial: None,
            voted: None,
            judged,
            zones,
        }
    }

    /// The configuration, or what is known of the fleet, has changed.
    pub fn bill_changed(&mut self, settings: &Settings, bill: &Bill, fleet: Fleet) {
        let given = given(&self.service, settings, bill, fleet, &mut self.profiles);
        if given != self.given {
            self.given = given.clone();
            self.balance.settings_changed(given);
        }
    }

    pub fn profile(&self, route: &str) -> Option<ProfileId> {
        self.profiles.get_index_of(route).map(ProfileId)
    }

    pub fn server(&self, server: ServerId) -> Option<&Seen> {
        self.servers.get_index(server.0 as usize).map(|(_, seen)| seen)
    }

    /// Tells the decisions of one instance as it is known now; `None`: of nothing that may get tickets.
    pub fn instance(&mut self, known: &cast::Known, rollout: Option<&Rollout>) {
        let build = rollout.and_then(|rollout| rollout.build_of(&known.version));
        let condition = match (build, known.state) {
            (Some(_), State::InService) => Condition::Healthy,
            (Some(_), State::Draining) => Condition::Draining,
            _ => Condition::Gone,
        };
        if condition == Condition::Gone && !self.servers.contains_key(&known.id) {
            return;
        }
        let seen = Seen { id: known.id.clone(), address: known.address };
        let (number, _) = self.servers.insert_full(known.id.clone(), seen);
        let zone = self.zones.iter().position(|zone| *zone == known.zone).unwrap_or(self.zones.len());
        self.balance.list_changed(vec![Listing {
            server: ServerId(number as u32),
            build: BuildNo(build.unwrap_or(0)),
            zone: ZoneId(zone),
            kind: KindId(0),
            cell: CellId(0),
            condition,
            size: f64::from(known.slots.max(1)),
            started: Some(known.first_seen),
        }]);
    }

    /// Tells the decisions of the service's roll-out, where that has changed.
    pub fn rollout(&mut self, now: Micros, cap: f64, rollout: &Rollout) {
        let phase = match rollout.state {
            None => return,
            Some(script::State::InProgress) => Phase::OnTrial,
            Some(script::State::Completed) => Phase::Released,
            Some(script::State::Reverted) => Phase::Withdrawn,
        };
        self.trial = rollout.in_progress().then_some((rollout.number, rollout.since));
        if self.told != Some((rollout.number, phase)) {
            // Older builds than the last say nothing of any to come.
            self.judged.borrow_mut().retain(|(build, _), _| build.0 + 2 >= rollout.number);
            self.told = Some((rollout.number, phase));
            self.balance.news_came(News {
                build: BuildNo(rollout.number),
                stage: StageNo(0),
                phase,
                cap,
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
        let (number, since) = self.trial?;
        let back = self
            .voted
            .is_some_and(|(build, vote, at)| build == number && vote == Vote::Back && now - at <= VOTE_LIFE);
        let on = self.voted.is_some_and(|(build, vote, _)| build == number && vote == Vote::On);
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
            let Some((name, ())) = self.profiles.get_index(profile.0) else { continue };
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

/// The decisions' settings for one service: its routes as profiles, by numbers that stay.
fn given(
    service: &str, settings: &Settings, bill: &Bill, fleet: Fleet, profiles: &mut IndexMap<String, ()>,
) -> Given {
    let bounds = &settings.timer_bounds;
    let foyers = fleet.foyers.max(1) as f64;
    let seconds = |span: Micros| format!("{:.6}", span as f64 / 1e6);
    let mut pairs: Vec<(String, String)> = Vec::new();
    let mut tries = 1;
    for route in bill.routes.values() {
        if !route.targets.iter().any(|target| &*target.service == service) {
            continue;
        }
        let (number, _) = profiles.insert_full(route.name.to_string(), ());
        let mut class = |what: &str, value: String| pairs.push((format!("classes.{number}.{what}"), value));
        class("repeat", if route.kind == Kind::Safe { "safe" } else { "unsafe" }.to_owned());
        class("on_time", seconds(route.aim));
        class("rank", route.rank.to_string());
        class("try_limit", route.attempts.to_string());
        class("worth", "1".to_owned());
        tries = tries.max(route.attempts);
    }
    let zone = settings.zones.keys().position(|zone| *zone == settings.zone).unwrap_or(0);
    let areas: Vec<&str> = settings.zones.keys().map(String::as_str).collect();
    let mut set = |name: &str, value: String| pairs.push((name.to_owned(), value));
    set("classes.count", profiles.len().to_string());
    set("areas", areas.join(","));
    set("zone", zone.to_string());
    set("index", fleet.index.to_string());
    set("fleet_size", foyers.to_string());
    set("policy_limits.try_limit", tries.to_string());
    set("policy_limits.retry_after", "true".to_owned());
    set("policy_limits.max_retry_after", seconds(300 * MS));
    set("policy_limits.retry_ratio", bounds.retry_budget_ratio.to_string());
    set("policy_limits.retry_slack", (bounds.retry_budget_slack / 2.0 / foyers).to_string());
    set("policy_limits.retry_window", bounds.retry_window_s.to_string());
    set("policy_limits.idle_close", "4".to_owned());
    set("safety.cold", seconds(fleet.warmup));
    set("safety.cold_from", "0.5".to_owned());
    set("safety.fall", "3".to_owned());
    set("domain.gate_mode", "share".to_owned());
    set("domain.ayes_needed", (foyers / 2.0).ceil().to_string());
    set("domain.noes_needed", (foyers / 4.0).ceil().to_string());
    set("domain.exposure_caps", "0".to_owned());
    set("domain.exposure_since", "order".to_owned());
    set("domain.zones_near", "true".to_owned());
    set("domain.young_err", "true".to_owned());
    set("domain.exposure_window", "60".to_owned());
    set("domain.free", (bounds.exposure_slack / 4.0 / foyers).to_string());
    set("domain.vote_wait", "0.4".to_owned());
    set("domain.vote_life", "3".to_owned());
    set("domain.votes_per_s", "1000".to_owned());
    pairs.into_iter().collect()
}
