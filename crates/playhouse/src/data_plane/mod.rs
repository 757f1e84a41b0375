//! DataPlane (a gateway's core): the common part, a host for each service, and the tickets that are open, joined
//! without I/O: time and events in, effects out. What is decided is decided in `garnetdoor` and the rooms.

pub mod service_host;

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

use crate::house::{Happened, House, Letter, Word};
use crate::settings::{Settings, micros};
use budgets::{GatewayCounts, RetryBudget};
use control_state::CommandOutcome;
use load::{BudgetLimits, ConnectionShare, Fleet};
use service_host::{Action, ServiceHost, TargetInstance};

const VOTE_INTERVAL: Micros = SECOND;
/// A gateway that knows instances of some services opens after this without the others: two beats are under it.
const PARTIAL_REGISTRY_WAIT: Micros = 1_500 * MS;
/// Foyers that come or go are gathered for so long, as each one moves every service's settings and this gateway's part of
/// the instances: where many go at once that is worked out a few times, not once for each. Well under the second or
/// more in which they are found to be gone.
const MEMBERSHIP_CHANGE_DELAY: Micros = 200 * MS;
/// The cause of a refusal where the service or route is not known here any more.
const UNKNOWN_SERVICE: &str = "unknown-service";
/// A gateway that has been up for less when a roll-out comes may have had an earlier life that served in it.
const MIN_UPTIME_WITHOUT_EARLIER_RUN: Micros = 5 * SECOND;

/// What a gateway is index_changed.
#[derive(Debug)]
pub enum Input<'a> {
    Tick,
    MessageReceived {
        from: NodeAddress,
        bytes: &'a [u8],
        carrier: Carrier,
    },
    /// A request that goes to one of its route's services; `left` is the client's time.
    RequestArrived {
        request: RequestId,
        service: &'a str,
        route: &'a str,
        kind: RouteKind,
        time_left: Micros,
    },
    /// A attempt has ended; `over`: the request has its answer.
    AttemptEnded {
        request: RequestId,
        attempt: AttemptNo,
        elapsed: Micros,
        outcome: AttemptOutcome,
        answered: bool,
    },
    /// The client has its answer, or has gone.
    RequestClosed {
        request: RequestId,
    },
    SeedsChanged {
        seeds: Vec<NodeAddress>,
    },
    Leave,
    /// The process ends: every open request gets its final answer.
    Stop,
}

/// What a gateway asks of its driver.
#[derive(Debug)]
pub enum Effect {
    Send {
        to: NodeAddress,
        message: Letter,
    },
    /// Send the request to an instance, over `connections` to it at most.
    StartAttempt {
        request: RequestId,
        attempt: AttemptNo,
        target: TargetInstance,
        deadline: Option<Micros>,
        max_connections: usize,
    },
    CancelAttempt {
        request: RequestId,
        attempt: AttemptNo,
    },
    /// Final answers: not run and never will be, with a time to come back; or nothing promised.
    Reject {
        request: RequestId,
        retry_after: Option<Micros>,
    },
    Fail {
        request: RequestId,
    },
}

/// A request that is open: its service, and which of its attempts have ended.
struct OpenRequest {
    service: Rc<str>,
    /// Where each attempt went, until it has ended.
    attempts: Vec<Option<ServerId>>,
}

pub struct DataPlane {
    pub node: House,
    now: Rc<Cell<Micros>>,
    settings: Rc<Settings>,
    configuration: Option<Arc<Configuration>>,
    services: IndexMap<Rc<str>, ServiceHost>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    timer_targets: HashMap<u64, (Rc<str>, TimerKind)>,
    next_timer_id: u64,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    fleet: Fleet,
    /// All gateways that are up, this one too, in order.
    gateways: Vec<NodeAddress>,
    budget_limits: BudgetLimits,
    retry_budget: Rc<RefCell<RetryBudget>>,
    /// How many gateways were known over time, for this one's part of what is shared.
    gateway_counts: GatewayCounts,
    started_at: Micros,
    votes_due: Micros,
    /// When gateways that came or went are to count, where some did.
    membership_change_due: Micros,
    seed: u64,
    leaving: bool,
    /// Whether what is here was once known to be new, whether clients may be sent here, and since when a
    /// configuration is known.
    freshness_proved: bool,
    opened: bool,
    configuration_known_since: Option<Micros>,
    /// Final answers of the decisions that were no instance's, since the start.
    rejected_count: u64,
    failed_count: u64,
    /// Requests refused since the start, by cause.
    refusals: BTreeMap<&'static str, u64>,
    /// What it says of itself, and whom it looks at; none unless `check_intent` was called.
    intent_checker: Option<Usher>,
    effects: Vec<Effect>,
}

impl DataPlane {
    pub fn start(mut house: House, settings: Rc<Settings>, seed: u64, now: Micros) -> DataPlane {
        house.cast.set_drain_limit(micros(settings.timer_bounds.drain_s));
        let timer_bounds = &settings.timer_bounds;
        let budget_limits = BudgetLimits {
            retry_ratio: timer_bounds.retry_budget_ratio,
            retry_slack: timer_bounds.retry_budget_slack,
            retry_window: micros(timer_bounds.retry_window_s),
            exposure_slack: timer_bounds.exposure_slack,
        };
        let zones: Vec<String> = settings.zones.keys().cloned().collect();
        let zone = zones.iter().position(|zone| *zone == settings.zone).unwrap_or(0);
        let retry_budget = RetryBudget::new(
            budget_limits.retry_ratio,
            budget_limits.retry_slack,
            budget_limits.retry_window,
        );
        DataPlane {
            node: house,
            now: Rc::new(Cell::new(now)),
            settings,
            configuration: None,
            services: IndexMap::new(),
            timers: BinaryHeap::new(),
            timer_targets: HashMap::new(),
            next_timer_id: 0,
            open_requests: BTreeMap::new(),
            fleet: Fleet {
                gateways: 1,
                gateway_index: 0,
                longest_warmup: 0,
                zones,
                own_zone: zone,
                budget_share: 0.0,
            },
            gateways: vec![],
            budget_limits,
            retry_budget: Rc::new(RefCell::new(retry_budget)),
            gateway_counts: GatewayCounts::default(),
            started_at: now,
            votes_due: now,
            membership_change_due: Micros::MAX,
            seed,
            leaving: false,
            freshness_proved: false,
            opened: false,
            configuration_known_since: None,
            rejected_count: 0,
            failed_count: 0,
            refusals: BTreeMap::new(),
            intent_checker: None,
            effects: Vec::new(),
        }
    }

    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The version of the configuration that requests are routed by; 0 before the first.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| u64::from(configuration.version.0))
    }

    /// Whether clients may be sent here. Once it is so it stays so until the process leaves: what is missing
    /// later is missing everywhere. Only the check of intents may withdraw it, where that is on.
    pub fn ready(&self) -> bool {
        !self.leaving
            && self.opened
            && self.node.unreadable().is_none()
            && self.intent_checker.as_ref().is_none_or(|checker| checker.ward.open())
    }

    /// How this gateway stands, for people and scripts.
    pub fn status(&self) -> simd_json::OwnedValue {
        let count_in = |state: registry::InstanceState| {
            self.node.cast.instances().filter(|known| known.state == state).count() as u64
        };
        let not_ready_because = match (self.leaving, &self.configuration, self.node.why_unreadable()) {
            (true, ..) => "it is leaving",
            (_, _, Some(reason)) => reason,
            (_, None, _) => "no configuration is known",
            _ if !self.freshness_proved => "no prompter has shown that what is known here is new",
            _ if !self.opened => "instances of some services are not known",
            _ => "",
        };
        simd_json::json!({
            "Node": self.node.own.name.as_str(),
            "Program": self.node.own.version.program.to_string(),
            "OldestForm": self.node.own.version.formats.oldest.0,
            "NewestForm": self.node.own.version.formats.newest.0,
            "AgreedForm": self.node.script.agreed_format().0,
            "WordsRefused": self.node.refused(),
            "Ready": self.ready(),
            "NotReadyFor": not_ready_because,
            "ConfigVersion": self.configuration.as_ref().map(|configuration| configuration.version.to_string()),
            "LogIndex": self.node.script.last_applied().0,
            "Prompters": self.node.up(Role::ControlNode).len() as u64,
            "Foyers": self.gateways.len() as u64,
            "RequestsInHand": self.open_requests.len() as u64,
            "TurnedBack": self.rejected_count,
            "Forfeited": self.failed_count,
            "InService": count_in(registry::InstanceState::InService),
            "Silent": count_in(registry::InstanceState::Silent),
            "Draining": count_in(registry::InstanceState::Draining),
        })
    }

    /// Takes part in the check of `docs/intent.md`, which is off unless this is called: looks at other gateways
    /// and restarts are not driven yet, so that nobody who was accused could show that it is well.
    pub fn check_intent(&mut self, now: Micros) {
        let own = &self.node.own;
        let tuning = intent::Tuning::of_apply(micros(self.settings.timer_bounds.config_apply_s));
        self.intent_checker = Some(Usher::start(own.address, own.run_id, tuning, self.seed ^ 5, now));
        self.notify_intent_checker(now);
    }

    /// Opens once a configuration is there, and instances of each service that a route leads to; without some
    /// of them after a while, since a service may have none. Guards against requests for services whose
    /// instances are not known here yet, while other gateways know them. What is here has to be known as new
    /// besides: guards against serving from a prompter that is cut off what has long been replaced.
    fn update_readiness(&mut self, now: Micros) {
        self.freshness_proved = self.freshness_proved || self.node.proved();
        let Some(configuration) = self.configuration.as_ref().filter(|_| !self.opened) else { return };
        let registry = &self.node.cast;
        let services_in_service: HashSet<&str> = registry
            .instances()
            .filter(|known| known.state == registry::InstanceState::InService)
            .map(|known| known.service.as_str())
            .collect();
        let mut targets = configuration.routes.values().flat_map(|route| &route.targets);
        let all_known = targets.all(|target| services_in_service.contains(&*target.service));
        let since = *self.configuration_known_since.get_or_insert(now);
        self.opened = self.freshness_proved
            && !services_in_service.is_empty()
            && (all_known || now - since >= PARTIAL_REGISTRY_WAIT);
    }

    pub fn leaving(&self) -> bool {
        self.leaving
    }

    pub fn due(&self) -> Micros {
        let next_timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        let step_intent_checker = self.intent_checker.as_ref().map_or(Micros::MAX, Usher::due);
        self.node
            .due()
            .min(next_timer)
            .min(self.votes_due)
            .min(self.membership_change_due)
            .min(step_intent_checker)
    }

    pub fn step(&mut self, now: Micros, event: Input<'_>) -> Vec<Effect> {
        self.now.set(now);
        match event {
            Input::Tick => self.tick(now),
            Input::MessageReceived { from, bytes, carrier } => self.node.received(now, from, bytes, carrier),
            Input::RequestArrived { request, service, route, kind, time_left } => {
                self.request_arrived(request, service, route, kind, time_left)
            }
            Input::AttemptEnded { request, attempt, elapsed, outcome, answered } => {
                self.attempt_ended(request, attempt, elapsed, outcome, answered)
            }
            Input::RequestClosed { request } => self.request_closed(request),
            Input::SeedsChanged { seeds } => self.node.seeds_changed(now, seeds),
            Input::Leave => {
                self.leaving = true;
                self.node.leave(now);
            }
            Input::Stop => {
                for service in self.services.keys().cloned().collect::<Vec<_>>() {
                    self.with_service(&service, |host| host.balancer.stop());
                }
            }
        }
        self.handle_node_events(now);
        let messages = self.node.letters().into_iter();
        let mut effects: Vec<Effect> = messages.map(|(to, message)| Effect::Send { to, message }).collect();
        effects.append(&mut self.effects);
        effects
    }

    fn tick(&mut self, now: Micros) {
        self.node.tick(now);
        while let Some(Reverse((at, number))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            if let Some((service, timer)) = self.timer_targets.remove(&number) {
                self.with_service(&service, |host| host.balancer.timer_fired(timer));
            }
        }
        if self.membership_change_due <= now {
            self.state_changed(now);
        }
        if self.votes_due <= now {
            self.send_votes(now);
        }
        if self.intent_checker.as_ref().is_some_and(|checker| checker.due() <= now) {
            self.step_intent_checker(now, usher::Event::Tick);
        }
    }

    /// Carries on what has happened in the common part.
    fn handle_node_events(&mut self, now: Micros) {
        let (mut changed, mut index_changed) = (false, false);
        while let Some(happened) = self.node.happened() {
            match happened {
                Happened::Applied { outcome: CommandOutcome::Applied, .. } | Happened::Restored => {
                    changed = true
                }
                // What was refused changes nothing, but the index goes on.
                Happened::Applied { .. } => index_changed = true,
                Happened::Peers => {
                    index_changed = true;
                    changed |= self.peers_changed(now);
                }
                Happened::Instance(id) => self.instance_changed(&id),
                // What is for prompters only.
                Happened::BeatTaken { .. }
                | Happened::BeatNotTaken { .. }
                | Happened::Book { .. }
                | Happened::Vote { .. } => {}
                Happened::Intent { from, word } => {
                    self.step_intent_checker(now, usher::Event::Word { from, word })
                }
            }
        }
        if changed {
            self.state_changed(now);
        }
        if changed || index_changed {
            self.notify_intent_checker(now);
        }
        self.update_readiness(now);
    }

    /// The part of what is shared is this gateway's at once; all else is worked out soon, or now (`true`) where
    /// there is no configuration to work it out from.
    fn peers_changed(&mut self, now: Micros) -> bool {
        let gateways = self.node.up(Role::Gateway).len() + 1;
        self.gateway_counts.record(now, gateways);
        self.retry_budget.borrow_mut().set_gateway_count(now, gateways);
        if self.configuration.is_some() {
            self.membership_change_due = self.membership_change_due.min(now + MEMBERSHIP_CHANGE_DELAY);
        }
        self.configuration.is_none()
    }

    /// The configuration, a roll-out or the number of gateways is another.
    fn state_changed(&mut self, now: Micros) {
        self.membership_change_due = Micros::MAX;
        let mut gateways = self.node.up(Role::Gateway);
        gateways.push(self.node.own.address);
        gateways.sort_unstable();
        let index = gateways.iter().position(|place| *place == self.node.own.address).unwrap_or(0);
        (self.fleet.gateways, self.fleet.gateway_index) = (gateways.len(), index);
        self.gateways.clone_from(&gateways);
        self.gateway_counts.record(now, gateways.len());
        self.fleet.budget_share = self.gateway_counts.share_of(now, 1.0);
        self.retry_budget.borrow_mut().set_gateway_count(now, gateways.len());
        self.configuration = self.node.script.configuration().cloned();
        let Some(configuration) = self.configuration.clone() else { return };
        let cap = self.settings.timer_bounds.exposure_share;
        for service in configuration.services.keys() {
            if !self.services.contains_key(&**service) {
                self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let (clock, retry_budget) = (self.now.clone(), self.retry_budget.clone());
                let host = ServiceHost::start(
                    service,
                    clock,
                    self.budget_limits,
                    retry_budget,
                    &configuration,
                    &self.fleet,
                    self.seed,
                );
                self.services.insert((&**service).into(), host);
            }
        }
        for service in self.services.keys().cloned().collect::<Vec<_>>() {
            let Some(host) = self.services.get_mut(&service) else { continue };
            let rollout = self.node.script.rollouts.get(&*service);
            let settled = rollout.is_some_and(|rollout| {
                rollout.state_since - self.started_at >= MIN_UPTIME_WITHOUT_EARLIER_RUN
            });
            host.configuration_changed(&configuration, &self.fleet, settled);
            let share = connection_share(Some(&configuration), &service, gateways.len());
            host.set_share(share);
            let known = self.node.cast.instances().filter(|known| *known.service == *service);
            let own_address = self.node.own.address;
            let known = known.map(|known| (known, share.gateways_ahead(own_address, &gateways, &known.id.0)));
            host.instances_changed(known, rollout);
            if let Some(rollout) = rollout {
                host.rollout_changed(now, cap, rollout);
            }
            self.with_service(&service, |_| {});
        }
    }

    /// Tells the check what is ordered, what the tables hold, and who is there.
    fn notify_intent_checker(&mut self, now: Micros) {
        if self.intent_checker.is_none() {
            return;
        }
        let (foyers, hubs) = (self.gateways.clone(), self.node.up(Role::ControlNode));
        self.step_intent_checker(now, usher::Event::Peers { foyers, hubs });
        if let Some(taken) = self.node.intent() {
            self.step_intent_checker(now, usher::Event::Taken(Arc::new(taken)));
        }
        if let Some(tables) = self.intent_in_force() {
            self.step_intent_checker(now, usher::Event::Tables(tables));
        }
    }

    /// Read back from what requests are handled by.
    fn intent_in_force(&self) -> Option<Arc<Intent>> {
        let state = &self.node.script;
        Some(Arc::new(Intent::read(
            state.last_applied(),
            self.configuration.as_ref()?,
            state.rollouts.values(),
        )))
    }

    fn step_intent_checker(&mut self, now: Micros, event: usher::Event) {
        let Some(checker) = &mut self.intent_checker else { return };
        for effect in checker.step(now, event) {
            match effect {
                usher::Effect::Send { to, word } => self.node.send(to, Word::Intent(word)),
                usher::Effect::ReadBack { to, nonce } => {
                    if let Some(tables) = self.intent_in_force() {
                        self.step_intent_checker(now, usher::Event::ReadBack { to, nonce, tables });
                    }
                }
                usher::Effect::Ward(ward::Effect::Rebuild { .. }) => {
                    self.state_changed(now);
                    self.notify_intent_checker(now);
                }
                // The replication asks by its own digests; `ready` reads the ward's door.
                usher::Effect::Ward(ward::Effect::AskAgain | ward::Effect::Open(_)) => {}
                // For the driver, in the next step.
                usher::Effect::Ward(ward::Effect::Restart) | usher::Effect::Look { .. } => {}
            }
        }
    }

    fn instance_changed(&mut self, id: &registry::InstanceId) {
        let Some(known) = self.node.cast.get(id) else { return };
        let warmup = known.warm_at - known.first_seen;
        if warmup > self.fleet.longest_warmup {
            self.fleet.longest_warmup = warmup.min(60 * SECOND);
        }
        let Some(host) = self.services.get_mut(known.service.as_str()) else { return };
        let share = connection_share(self.configuration.as_deref(), &known.service, self.gateways.len());
        let gateways_ahead = share.gateways_ahead(self.node.own.address, &self.gateways, &known.id.0);
        host.instances_changed(
            [(known, gateways_ahead)].into_iter(),
            self.node.script.rollouts.get(&known.service),
        );
        let service = host.service.clone();
        self.with_service(&service, |_| {});
    }

    /// A request of a service or route that is not here any more is turned back: it has not run.
    fn request_arrived(
        &mut self, request: RequestId, service: &str, route: &str, kind: RouteKind, time_left: Micros,
    ) {
        let found = self
            .services
            .get(service)
            .and_then(|host| Some((host.service.clone(), host.profile(route, kind)?)));
        let Some((service, profile)) = found else {
            let retry_after = Some(load::retry_after(time_left));
            self.count_refusal(UNKNOWN_SERVICE);
            return self.effects.push(Effect::Reject { request, retry_after });
        };
        self.open_requests.insert(request, OpenRequest { service: service.clone(), attempts: Vec::new() });
        self.retry_budget.borrow_mut().record_request(self.now.get(), &service);
        let arrival = Arrival {
            profile,
            cost: None,
            key: None,
            time_left,
            writes: kind != RouteKind::Safe,
            is_retry: false,
            party: None,
        };
        self.with_service(&service, |host| host.balancer.request_arrived(request, arrival));
    }

    fn attempt_ended(
        &mut self, request: RequestId, attempt: AttemptNo, elapsed: Micros, outcome: AttemptOutcome,
        answered: bool,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let Some(server) = open.attempts.get_mut(attempt.0 as usize).and_then(Option::take) else { return };
        let service = open.service.clone();
        self.with_service(&service, |host| {
            host.attempt_finished(server);
            host.balancer.attempt_ended(request, attempt, elapsed, outcome, answered, &[]);
        });
    }

    fn request_closed(&mut self, request: RequestId) {
        let Some(open) = self.open_requests.remove(&request) else { return };
        self.with_service(&open.service, |host| host.balancer.client_disconnected(request));
        for (number, server) in open.attempts.iter().enumerate().filter_map(|(n, out)| Some((n, (*out)?))) {
            let attempt = AttemptNo(number as u32);
            self.effects.push(Effect::CancelAttempt { request, attempt });
            self.with_service(&open.service, |host| {
                host.attempt_finished(server);
                host.balancer.attempt_ended(request, attempt, 0, AttemptOutcome::Cancelled, true, &[]);
            });
        }
    }

    /// Lets the decisions act on something, and carries out what they ask for.
    fn with_service(&mut self, service: &Rc<str>, act: impl FnOnce(&mut ServiceHost)) {
        let Some(host) = self.services.get_mut(service) else { return };
        act(host);
        loop {
            let action = self.services.get(service).and_then(|host| host.actions.borrow_mut().pop_front());
            let Some(next) = action else { break };
            self.perform(service, next);
        }
    }

    fn perform(&mut self, service: &Rc<str>, action: Action) {
        match action {
            Action::StartAttempt { request, server, deadline } => {
                self.start_attempt(service, request, server, deadline)
            }
            Action::CancelAttempt { request, attempt } => {
                let open = self.open_requests.get(&request);
                if open.is_some_and(|open| open.attempts.get(attempt.0 as usize).is_some_and(Option::is_some))
                {
                    self.effects.push(Effect::CancelAttempt { request, attempt });
                    self.attempt_ended(request, attempt, 0, AttemptOutcome::Cancelled, false);
                }
            }
            Action::Reject { request, retry_after } => {
                self.rejected_count += 1;
                self.effects.push(Effect::Reject { request, retry_after });
            }
            Action::Fail { request } => {
                self.failed_count += 1;
                self.effects.push(Effect::Fail { request });
            }
            Action::RecordRefusal { cause } => self.count_refusal(cause.cause()),
            Action::CastVote { build, vote } => {
                self.with_service(service, |host| {
                    host.record_vote(build, vote);
                    host.balancer.vote_answered(VoteResult::Counted);
                });
                if vote == Vote::RollBack {
                    self.send_votes(self.now.get());
                }
            }
            Action::SetTimer { at, timer } => {
                self.next_timer_id += 1;
                self.timers.push(Reverse((at, self.next_timer_id)));
                self.timer_targets.insert(self.next_timer_id, (service.clone(), timer));
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

    fn start_attempt(
        &mut self, service: &Rc<str>, request: RequestId, server: ServerId, deadline: Option<Micros>,
    ) {
        let Some(host) = self.services.get_mut(service) else { return };
        let (Some(target), Some(open)) =
            (host.instance(server).cloned(), self.open_requests.get_mut(&request))
        else {
            return;
        };
        host.attempt_started(server);
        let max_connections = connection_share(self.configuration.as_deref(), service, self.fleet.gateways)
            .connections_per_gateway;
        let attempt = AttemptNo(open.attempts.len() as u32);
        if attempt.0 > 0 {
            self.retry_budget.borrow_mut().record_retry(self.now.get(), service);
        }
        open.attempts.push(Some(server));
        self.effects.push(Effect::StartAttempt { request, attempt, target, deadline, max_connections });
    }

    /// Tells the prompters how each trial looks from here.
    fn send_votes(&mut self, now: Micros) {
        self.votes_due = now + VOTE_INTERVAL;
        let votes: Vec<control_state::Vote> =
            self.services.values().filter_map(|host| host.current_vote(now)).collect();
        if votes.is_empty() {
            return;
        }
        for place in self.node.up(Role::ControlNode) {
            for vote in &votes {
                self.node.send(place, Word::Vote(vote.clone()));
            }
        }
    }
}

/// What each gateway may use of a service's instances; one connection where the configuration has no such service.
fn connection_share(
    configuration: Option<&Configuration>, service: &str, gateways: usize,
) -> ConnectionShare {
    let accepts = configuration
        .and_then(|configuration| configuration.services.get(service))
        .map_or(1, |found| found.max_connections);
    ConnectionShare::new(accepts, gateways)
}
