//! Floor (a foyer's core): the common part, a desk for each service, and the tickets that are open, joined
//! without I/O: time and events in, effects out. What is decided is decided in `garnetdoor` and the rooms.

pub mod desk;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use configuration::{Configuration, RouteKind};
use garnetdoor::host::{
    Arrival, AttemptNo, AttemptOutcome, RequestId, ServerId, TimerKind, Vote, VoteResult,
};
use indexmap::IndexMap;
use intent::{Intent, Usher, usher, ward};
use membership::Role;
use types::{Carrier, MS, Micros, NodeAddress, SECOND};

use crate::node::{Envelope, NodeCore, NodeEvent, NodeMessage};
use crate::settings::{Settings, micros};
use budgets::{GatewayCounts, RetryBudget};
use control_state::CommandOutcome;
use desk::{Desk, Do, Seen};
use load::{BudgetLimits, ConnectionShare, Fleet};

const VOTES_EVERY: Micros = SECOND;
/// A foyer that knows instances of some services opens after this without the others: two beats are under it.
const PARTLY: Micros = 1_500 * MS;
/// Foyers that come or go are gathered for so long, as each one moves every service's settings and this foyer's part of
/// the instances: where many go at once that is worked out a few times, not once for each. Well under the second or
/// more in which they are found to be gone.
const PEERS_GATHER: Micros = 200 * MS;
/// The cause of a refusal where the service or route is not known here any more.
const UNKNOWN_SERVICE: &str = "unknown-service";
/// A foyer that has been up for less when a roll-out comes may have had an earlier life that served in it.
const SETTLED: Micros = 5 * SECOND;

/// What a foyer is told.
#[derive(Debug)]
pub enum In<'a> {
    Tick,
    Mail {
        from: NodeAddress,
        bytes: &'a [u8],
        carrier: Carrier,
    },
    /// A ticket that goes to one of its route's services; `left` is the client's time.
    Came {
        ticket: RequestId,
        service: &'a str,
        route: &'a str,
        kind: RouteKind,
        left: Micros,
    },
    /// A trip has ended; `over`: the ticket has its answer.
    Ended {
        ticket: RequestId,
        trip: AttemptNo,
        took: Micros,
        ending: AttemptOutcome,
        over: bool,
    },
    /// The client has its answer, or has gone.
    Left {
        ticket: RequestId,
    },
    Seeds {
        places: Vec<NodeAddress>,
    },
    Leave,
    /// The process ends: every open ticket gets its final answer.
    Stops,
}

/// What a foyer asks of its driver.
#[derive(Debug)]
pub enum Out {
    Send {
        to: NodeAddress,
        word: Envelope,
    },
    /// Send the ticket to an instance, over `connections` to it at most.
    Trip {
        ticket: RequestId,
        trip: AttemptNo,
        to: Seen,
        until: Option<Micros>,
        connections: usize,
    },
    Stop {
        ticket: RequestId,
        trip: AttemptNo,
    },
    /// Final answers: not run and never will be, with a time to come back; or nothing promised.
    TurnBack {
        ticket: RequestId,
        wait: Option<Micros>,
    },
    Forfeit {
        ticket: RequestId,
    },
}

/// A ticket that is open: its service, and which of its trips have ended.
struct Open {
    service: Rc<str>,
    /// Where each trip went, until it has ended.
    out: Vec<Option<ServerId>>,
}

pub struct Floor {
    pub house: NodeCore,
    now: Rc<Cell<Micros>>,
    settings: Rc<Settings>,
    bill: Option<Arc<Configuration>>,
    desks: IndexMap<Rc<str>, Desk>,
    wakes: BinaryHeap<Reverse<(Micros, u64)>>,
    waking: HashMap<u64, (Rc<str>, TimerKind)>,
    next_wake: u64,
    open: BTreeMap<RequestId, Open>,
    fleet: Fleet,
    /// All foyers that are up, this one too, in order.
    foyers: Vec<NodeAddress>,
    bounds: BudgetLimits,
    purse: Rc<RefCell<RetryBudget>>,
    /// How many foyers were known over time, for this one's part of what is shared.
    party: GatewayCounts,
    began: Micros,
    votes_due: Micros,
    /// When foyers that came or went are to count, where some did.
    peers_due: Micros,
    seed: u64,
    leaving: bool,
    /// Whether what is here was once known to be new, whether clients may be sent here, and since when a
    /// configuration is known.
    proved: bool,
    opened: bool,
    partly: Option<Micros>,
    /// Final answers of the decisions that were no instance's, since the start.
    turned_back: u64,
    forfeited: u64,
    /// Requests refused since the start, by cause.
    refusals: BTreeMap<&'static str, u64>,
    /// What it says of itself, and whom it looks at; none unless `check_intent` was called.
    usher: Option<Usher>,
    out: Vec<Out>,
}

impl Floor {
    pub fn start(mut house: NodeCore, settings: Rc<Settings>, seed: u64, now: Micros) -> Floor {
        house.registry.set_drain_limit(micros(settings.timer_bounds.drain_s));
        let bounds = &settings.timer_bounds;
        let bounds = BudgetLimits {
            retry_ratio: bounds.retry_budget_ratio,
            retry_slack: bounds.retry_budget_slack,
            retry_window: micros(bounds.retry_window_s),
            exposure_slack: bounds.exposure_slack,
        };
        let zones: Vec<String> = settings.zones.keys().cloned().collect();
        let zone = zones.iter().position(|zone| *zone == settings.zone).unwrap_or(0);
        let purse = RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        Floor {
            house,
            now: Rc::new(Cell::new(now)),
            settings,
            bill: None,
            desks: IndexMap::new(),
            wakes: BinaryHeap::new(),
            waking: HashMap::new(),
            next_wake: 0,
            open: BTreeMap::new(),
            fleet: Fleet {
                gateways: 1,
                gateway_index: 0,
                longest_warmup: 0,
                zones,
                own_zone: zone,
                budget_share: 0.0,
            },
            foyers: vec![],
            bounds,
            purse: Rc::new(RefCell::new(purse)),
            party: GatewayCounts::default(),
            began: now,
            votes_due: now,
            peers_due: Micros::MAX,
            seed,
            leaving: false,
            proved: false,
            opened: false,
            partly: None,
            turned_back: 0,
            forfeited: 0,
            refusals: BTreeMap::new(),
            usher: None,
            out: Vec::new(),
        }
    }

    pub fn bill(&self) -> Option<&Arc<Configuration>> {
        self.bill.as_ref()
    }

    /// The version of the configuration that requests are routed by; 0 before the first.
    pub fn version(&self) -> u64 {
        self.bill.as_ref().map_or(0, |bill| u64::from(bill.version.0))
    }

    /// Whether clients may be sent here. Once it is so it stays so until the process leaves: what is missing
    /// later is missing everywhere. Only the check of intents may withdraw it, where that is on.
    pub fn ready(&self) -> bool {
        !self.leaving
            && self.opened
            && self.house.unreadable_entry().is_none()
            && self.usher.as_ref().is_none_or(|usher| usher.ward.open())
    }

    /// How this foyer stands, for people and scripts.
    pub fn status(&self) -> simd_json::OwnedValue {
        let of = |state: registry::InstanceState| {
            self.house.registry.instances().filter(|known| known.state == state).count() as u64
        };
        let why = match (self.leaving, &self.bill, self.house.unreadable_reason()) {
            (true, ..) => "it is leaving",
            (_, _, Some(why)) => why,
            (_, None, _) => "no configuration is known",
            _ if !self.proved => "no prompter has shown that what is known here is new",
            _ if !self.opened => "instances of some services are not known",
            _ => "",
        };
        simd_json::json!({
            "Node": self.house.own.name.as_str(),
            "Program": self.house.own.version.program.to_string(),
            "OldestForm": self.house.own.version.formats.oldest.0,
            "NewestForm": self.house.own.version.formats.newest.0,
            "AgreedForm": self.house.state.agreed_format().0,
            "WordsRefused": self.house.rejected_messages(),
            "Ready": self.ready(),
            "NotReadyFor": why,
            "ConfigVersion": self.bill.as_ref().map(|bill| bill.version.to_string()),
            "LogIndex": self.house.state.last_applied().0,
            "Prompters": self.house.live_peers(Role::ControlNode).len() as u64,
            "Foyers": self.foyers.len() as u64,
            "RequestsInHand": self.open.len() as u64,
            "TurnedBack": self.turned_back,
            "Forfeited": self.forfeited,
            "InService": of(registry::InstanceState::InService),
            "Silent": of(registry::InstanceState::Silent),
            "Draining": of(registry::InstanceState::Draining),
        })
    }

    /// Takes part in the check of `docs/intent.md`, which is off unless this is called: looks at other foyers
    /// and restarts are not driven yet, so that nobody who was accused could show that it is well.
    pub fn check_intent(&mut self, now: Micros) {
        let own = &self.house.own;
        let tuning = intent::Tuning::of_apply(micros(self.settings.timer_bounds.config_apply_s));
        self.usher = Some(Usher::start(own.address, own.run_id, tuning, self.seed ^ 5, now));
        self.tell_usher(now);
    }

    /// Opens once a configuration is there, and instances of each service that a route leads to; without some
    /// of them after a while, since a service may have none. Guards against requests for services whose
    /// instances are not known here yet, while other foyers know them. What is here has to be known as new
    /// besides: guards against serving from a prompter that is cut off what has long been replaced.
    fn open(&mut self, now: Micros) {
        self.proved = self.proved || self.house.is_fresh();
        let Some(bill) = self.bill.as_ref().filter(|_| !self.opened) else { return };
        let cast = &self.house.registry;
        let known: HashSet<&str> = cast
            .instances()
            .filter(|known| known.state == registry::InstanceState::InService)
            .map(|known| known.service.as_str())
            .collect();
        let mut targets = bill.routes.values().flat_map(|route| &route.targets);
        let all = targets.all(|target| known.contains(&*target.service));
        let since = *self.partly.get_or_insert(now);
        self.opened = self.proved && !known.is_empty() && (all || now - since >= PARTLY);
    }

    pub fn leaving(&self) -> bool {
        self.leaving
    }

    pub fn due(&self) -> Micros {
        let woken = self.wakes.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        let ushered = self.usher.as_ref().map_or(Micros::MAX, Usher::due);
        self.house.due().min(woken).min(self.votes_due).min(self.peers_due).min(ushered)
    }

    pub fn step(&mut self, now: Micros, event: In<'_>) -> Vec<Out> {
        self.now.set(now);
        match event {
            In::Tick => self.tick(now),
            In::Mail { from, bytes, carrier } => self.house.received(now, from, bytes, carrier),
            In::Came { ticket, service, route, kind, left } => self.came(ticket, service, route, kind, left),
            In::Ended { ticket, trip, took, ending, over } => self.ended(ticket, trip, took, ending, over),
            In::Left { ticket } => self.left(ticket),
            In::Seeds { places } => self.house.seeds_changed(now, places),
            In::Leave => {
                self.leaving = true;
                self.house.leave(now);
            }
            In::Stops => {
                for service in self.desks.keys().cloned().collect::<Vec<_>>() {
                    self.decide(&service, |desk| desk.balance.stop());
                }
            }
        }
        self.settle(now);
        let letters = self.house.take_envelopes().into_iter();
        let mut out: Vec<Out> = letters.map(|(to, word)| Out::Send { to, word }).collect();
        out.append(&mut self.out);
        out
    }

    fn tick(&mut self, now: Micros) {
        self.house.tick(now);
        while let Some(Reverse((at, number))) = self.wakes.peek().copied()
            && at <= now
        {
            self.wakes.pop();
            if let Some((service, wake)) = self.waking.remove(&number) {
                self.decide(&service, |desk| desk.balance.timer_fired(wake));
            }
        }
        if self.peers_due <= now {
            self.script_changed(now);
        }
        if self.votes_due <= now {
            self.tell_votes(now);
        }
        if self.usher.as_ref().is_some_and(|usher| usher.due() <= now) {
            self.ushered(now, usher::Event::Tick);
        }
    }

    /// Carries on what has happened in the common part.
    fn settle(&mut self, now: Micros) {
        let (mut changed, mut told) = (false, false);
        while let Some(happened) = self.house.next_event() {
            match happened {
                NodeEvent::Applied { outcome: CommandOutcome::Applied, .. } | NodeEvent::Restored => {
                    changed = true
                }
                // What was refused changes nothing, but the index goes on.
                NodeEvent::Applied { .. } => told = true,
                NodeEvent::PeersChanged => {
                    told = true;
                    changed |= self.peers_changed(now);
                }
                NodeEvent::InstanceChanged(id) => self.instance(&id),
                // What is for prompters only.
                NodeEvent::HeartbeatAccepted { .. }
                | NodeEvent::HeartbeatRejected { .. }
                | NodeEvent::Consensus { .. }
                | NodeEvent::Vote { .. } => {}
                NodeEvent::Intent { from, message: word } => {
                    self.ushered(now, usher::Event::Word { from, word })
                }
            }
        }
        if changed {
            self.script_changed(now);
        }
        if changed || told {
            self.tell_usher(now);
        }
        self.open(now);
    }

    /// The part of what is shared is this foyer's at once; all else is worked out soon, or now (`true`) where
    /// there is no configuration to work it out from.
    fn peers_changed(&mut self, now: Micros) -> bool {
        let foyers = self.house.live_peers(Role::Gateway).len() + 1;
        self.party.record(now, foyers);
        self.purse.borrow_mut().set_gateway_count(now, foyers);
        if self.bill.is_some() {
            self.peers_due = self.peers_due.min(now + PEERS_GATHER);
        }
        self.bill.is_none()
    }

    /// The configuration, a roll-out or the number of foyers is another.
    fn script_changed(&mut self, now: Micros) {
        self.peers_due = Micros::MAX;
        let mut foyers = self.house.live_peers(Role::Gateway);
        foyers.push(self.house.own.address);
        foyers.sort_unstable();
        let index = foyers.iter().position(|place| *place == self.house.own.address).unwrap_or(0);
        (self.fleet.gateways, self.fleet.gateway_index) = (foyers.len(), index);
        self.foyers.clone_from(&foyers);
        self.party.record(now, foyers.len());
        self.fleet.budget_share = self.party.share_of(now, 1.0);
        self.purse.borrow_mut().set_gateway_count(now, foyers.len());
        self.bill = self.house.state.configuration().cloned();
        let Some(bill) = self.bill.clone() else { return };
        let cap = self.settings.timer_bounds.exposure_share;
        for service in bill.services.keys() {
            if !self.desks.contains_key(&**service) {
                self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let (clock, purse) = (self.now.clone(), self.purse.clone());
                let desk = Desk::start(service, clock, self.bounds, purse, &bill, &self.fleet, self.seed);
                self.desks.insert((&**service).into(), desk);
            }
        }
        for service in self.desks.keys().cloned().collect::<Vec<_>>() {
            let Some(desk) = self.desks.get_mut(&service) else { continue };
            let rollout = self.house.state.rollouts.get(&*service);
            let settled = rollout.is_some_and(|rollout| rollout.state_since - self.began >= SETTLED);
            desk.bill_changed(&bill, &self.fleet, settled);
            let share = share(Some(&bill), &service, foyers.len());
            desk.share(share);
            let known = self.house.registry.instances().filter(|known| *known.service == *service);
            let own = self.house.own.address;
            let known = known.map(|known| (known, share.gateways_ahead(own, &foyers, &known.id.0)));
            desk.instances(known, rollout);
            if let Some(rollout) = rollout {
                desk.rollout(now, cap, rollout);
            }
            self.decide(&service, |_| {});
        }
    }

    /// Tells the check what is ordered, what the tables hold, and who is there.
    fn tell_usher(&mut self, now: Micros) {
        if self.usher.is_none() {
            return;
        }
        let (foyers, hubs) = (self.foyers.clone(), self.house.live_peers(Role::ControlNode));
        self.ushered(now, usher::Event::Peers { foyers, hubs });
        if let Some(taken) = self.house.intent() {
            self.ushered(now, usher::Event::Taken(Arc::new(taken)));
        }
        if let Some(tables) = self.tables() {
            self.ushered(now, usher::Event::Tables(tables));
        }
    }

    /// Read back from what requests are handled by.
    fn tables(&self) -> Option<Arc<Intent>> {
        let script = &self.house.state;
        Some(Arc::new(Intent::read(script.last_applied(), self.bill.as_ref()?, script.rollouts.values())))
    }

    fn ushered(&mut self, now: Micros, event: usher::Event) {
        let Some(usher) = &mut self.usher else { return };
        for effect in usher.step(now, event) {
            match effect {
                usher::Effect::Send { to, word } => self.house.send(to, NodeMessage::Intent(word)),
                usher::Effect::ReadBack { to, nonce } => {
                    if let Some(tables) = self.tables() {
                        self.ushered(now, usher::Event::ReadBack { to, nonce, tables });
                    }
                }
                usher::Effect::Ward(ward::Effect::Rebuild { .. }) => {
                    self.script_changed(now);
                    self.tell_usher(now);
                }
                // The replication asks by its own digests; `ready` reads the ward's door.
                usher::Effect::Ward(ward::Effect::AskAgain | ward::Effect::Open(_)) => {}
                // For the driver, in the next step.
                usher::Effect::Ward(ward::Effect::Restart) | usher::Effect::Look { .. } => {}
            }
        }
    }

    fn instance(&mut self, id: &registry::InstanceId) {
        let Some(known) = self.house.registry.get(id) else { return };
        let warmup = known.warm_at - known.first_seen;
        if warmup > self.fleet.longest_warmup {
            self.fleet.longest_warmup = warmup.min(60 * SECOND);
        }
        let Some(desk) = self.desks.get_mut(known.service.as_str()) else { return };
        let share = share(self.bill.as_deref(), &known.service, self.foyers.len());
        let before = share.gateways_ahead(self.house.own.address, &self.foyers, &known.id.0);
        desk.instances([(known, before)].into_iter(), self.house.state.rollouts.get(&known.service));
        let service = desk.service.clone();
        self.decide(&service, |_| {});
    }

    /// A ticket of a service or route that is not here any more is turned back: it has not run.
    fn came(&mut self, ticket: RequestId, service: &str, route: &str, kind: RouteKind, left: Micros) {
        let found =
            self.desks.get(service).and_then(|desk| Some((desk.service.clone(), desk.profile(route, kind)?)));
        let Some((service, profile)) = found else {
            let wait = Some(load::retry_after(left));
            self.count_refusal(UNKNOWN_SERVICE);
            return self.out.push(Out::TurnBack { ticket, wait });
        };
        self.open.insert(ticket, Open { service: service.clone(), out: Vec::new() });
        self.purse.borrow_mut().record_request(self.now.get(), &service);
        let arrival = Arrival {
            profile,
            cost: None,
            key: None,
            time_left: left,
            writes: kind != RouteKind::Safe,
            is_retry: false,
            party: None,
        };
        self.decide(&service, |desk| desk.balance.request_arrived(ticket, arrival));
    }

    fn ended(
        &mut self, ticket: RequestId, trip: AttemptNo, took: Micros, ending: AttemptOutcome, over: bool,
    ) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let Some(server) = open.out.get_mut(trip.0 as usize).and_then(Option::take) else { return };
        let service = open.service.clone();
        self.decide(&service, |desk| {
            desk.out(server, false);
            desk.balance.attempt_ended(ticket, trip, took, ending, over, &[]);
        });
    }

    fn left(&mut self, ticket: RequestId) {
        let Some(open) = self.open.remove(&ticket) else { return };
        self.decide(&open.service, |desk| desk.balance.client_disconnected(ticket));
        for (number, server) in open.out.iter().enumerate().filter_map(|(n, out)| Some((n, (*out)?))) {
            let trip = AttemptNo(number as u32);
            self.out.push(Out::Stop { ticket, trip });
            self.decide(&open.service, |desk| {
                desk.out(server, false);
                desk.balance.attempt_ended(ticket, trip, 0, AttemptOutcome::Cancelled, true, &[]);
            });
        }
    }

    /// Lets the decisions act on something, and carries out what they ask for.
    fn decide(&mut self, service: &Rc<str>, act: impl FnOnce(&mut Desk)) {
        let Some(desk) = self.desks.get_mut(service) else { return };
        act(desk);
        loop {
            let asked = self.desks.get(service).and_then(|desk| desk.asked.borrow_mut().pop_front());
            let Some(what) = asked else { break };
            self.carry(service, what);
        }
    }

    fn carry(&mut self, service: &Rc<str>, what: Do) {
        match what {
            Do::Send { ticket, server, until } => self.send(service, ticket, server, until),
            Do::Stop { ticket, trip } => {
                let open = self.open.get(&ticket);
                if open.is_some_and(|open| open.out.get(trip.0 as usize).is_some_and(Option::is_some)) {
                    self.out.push(Out::Stop { ticket, trip });
                    self.ended(ticket, trip, 0, AttemptOutcome::Cancelled, false);
                }
            }
            Do::TurnBack { ticket, wait } => {
                self.turned_back += 1;
                self.out.push(Out::TurnBack { ticket, wait });
            }
            Do::Forfeit { ticket } => {
                self.forfeited += 1;
                self.out.push(Out::Forfeit { ticket });
            }
            Do::Refused { why } => self.count_refusal(why.cause()),
            Do::Vote { build, vote } => {
                self.decide(service, |desk| {
                    desk.voted(build, vote);
                    desk.balance.vote_answered(VoteResult::Counted);
                });
                if vote == Vote::RollBack {
                    self.tell_votes(self.now.get());
                }
            }
            Do::Wake { at, wake } => {
                self.next_wake += 1;
                self.wakes.push(Reverse((at, self.next_wake)));
                self.waking.insert(self.next_wake, (service.clone(), wake));
            }
        }
    }

    fn count_refusal(&mut self, cause: &'static str) {
        *self.refusals.entry(cause).or_default() += 1;
    }

    /// Requests refused since the start, by cause.
    pub fn refusals(&self) -> &BTreeMap<&'static str, u64> {
        &self.refusals
    }

    fn send(&mut self, service: &Rc<str>, ticket: RequestId, server: ServerId, until: Option<Micros>) {
        let Some(desk) = self.desks.get_mut(service) else { return };
        let (Some(to), Some(open)) = (desk.server(server).cloned(), self.open.get_mut(&ticket)) else {
            return;
        };
        desk.out(server, true);
        let connections = share(self.bill.as_deref(), service, self.fleet.gateways).connections_per_gateway;
        let trip = AttemptNo(open.out.len() as u32);
        if trip.0 > 0 {
            self.purse.borrow_mut().record_retry(self.now.get(), service);
        }
        open.out.push(Some(server));
        self.out.push(Out::Trip { ticket, trip, to, until, connections });
    }

    /// Tells the prompters how each trial looks from here.
    fn tell_votes(&mut self, now: Micros) {
        self.votes_due = now + VOTES_EVERY;
        let votes: Vec<control_state::Vote> = self.desks.values().filter_map(|desk| desk.vote(now)).collect();
        if votes.is_empty() {
            return;
        }
        for place in self.house.live_peers(Role::ControlNode) {
            for vote in &votes {
                self.house.send(place, NodeMessage::Vote(vote.clone()));
            }
        }
    }
}

/// What each foyer may use of a service's instances; one connection where the configuration has no such service.
fn share(bill: Option<&Configuration>, service: &str, foyers: usize) -> ConnectionShare {
    let accepts = bill.and_then(|bill| bill.services.get(service)).map_or(1, |found| found.max_connections);
    ConnectionShare::new(accepts, foyers)
}
