//! Data plane core of a gateway: the shared node state, one service host per service, and the open requests. It does
//! no I/O: the driver passes in time and events and carries out the effects that are returned. Load balancing itself
//! is decided in the `garnetdoor` library and in the packages that this module combines.

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

use crate::node::{Envelope, NodeCore, NodeEvent, NodeMessage};
use crate::settings::{Settings, seconds_to_micros};
use budgets::{GatewayCounts, RetryBudget};
use control_state::CommandOutcome;
use load::{BudgetLimits, ConnectionShare, Fleet};
use service_host::{Action, ConnectionLimit, ServiceHost, TargetInstance};

const VOTE_INTERVAL: Micros = SECOND;
/// A gateway that knows instances of some services becomes ready after this time without the others. Two heartbeat
/// intervals are shorter.
const PARTIAL_REGISTRY_WAIT: Micros = 1_500 * MS;
/// Changes of the gateway membership are collected for this long, because each one changes the settings of every
/// service and this gateway's share of the instances. When many gateways fail at once, these are then recomputed a
/// few times instead of once for each. This is well under the second or more that it takes to detect a failed
/// gateway.
const MEMBERSHIP_CHANGE_DELAY: Micros = 200 * MS;
/// Longest warm-up of an instance that is taken into account.
const MAX_WARMUP: Micros = 60 * SECOND;
/// Cause of a refusal when the service or route is no longer known here.
const UNKNOWN_SERVICE: &str = "unknown-service";
/// A gateway with a shorter uptime when a roll-out begins may have had an earlier run that took part in it.
const MIN_UPTIME_WITHOUT_EARLIER_RUN: Micros = 5 * SECOND;

/// An event for the data plane.
#[derive(Debug)]
pub enum Input<'a> {
    Tick,
    /// A message from another node.
    MessageReceived {
        from: NodeAddress,
        bytes: &'a [u8],
        carrier: Carrier,
    },
    /// A client request for one of its route's services; `time_left` is the time until its deadline.
    RequestArrived {
        request: RequestId,
        service: &'a str,
        route: &'a str,
        kind: RouteKind,
        time_left: Micros,
    },
    /// An attempt has ended; `answered` is true if the request has its final answer.
    AttemptEnded {
        request: RequestId,
        attempt: AttemptNo,
        elapsed: Micros,
        outcome: AttemptOutcome,
        answered: bool,
    },
    /// The client has its answer, or has disconnected.
    RequestClosed {
        request: RequestId,
    },
    /// The addresses of seed nodes were reloaded.
    SeedsChanged {
        seeds: Vec<NodeAddress>,
    },
    /// The process begins to drain and leaves the membership.
    Leave,
    /// The process is stopping: every open request gets its final answer.
    Stop,
}

/// What the data plane asks of its driver.
#[derive(Debug)]
pub enum Effect {
    Send {
        to: NodeAddress,
        message: Envelope,
    },
    /// Sends the request to an instance, over at most as many connections to it as `connections` allows.
    StartAttempt {
        request: RequestId,
        attempt: AttemptNo,
        target: TargetInstance,
        deadline: Option<Micros>,
        connections: ConnectionLimit,
    },
    /// Aborts an attempt.
    CancelAttempt {
        request: RequestId,
        attempt: AttemptNo,
    },
    /// Final answer: the request has not run and never will; `retry_after` is the suggested delay before a retry.
    Reject {
        request: RequestId,
        retry_after: Option<Micros>,
    },
    /// Final answer without a promise that the request did not run.
    Fail {
        request: RequestId,
    },
}

/// An open request: its service and its attempts.
struct OpenRequest {
    service: Rc<str>,
    /// The instance of each attempt by attempt number; `None` once the attempt has ended.
    attempts: Vec<Option<ServerId>>,
}

/// State machine of a gateway's data plane; see the module documentation.
pub struct DataPlane {
    pub node: NodeCore,
    now: Rc<Cell<Micros>>,
    settings: Rc<Settings>,
    configuration: Option<Arc<Configuration>>,
    services: IndexMap<Rc<str>, ServiceHost>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    timer_targets: HashMap<u64, (Rc<str>, TimerKind)>,
    next_timer_id: u64,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    fleet: Fleet,
    /// All gateways that are up, including this one, in order of their addresses.
    gateways: Vec<NodeAddress>,
    budget_limits: BudgetLimits,
    retry_budget: Rc<RefCell<RetryBudget>>,
    /// The number of known gateways over time, from which this gateway's share of the shared budgets follows.
    gateway_counts: GatewayCounts,
    started_at: Micros,
    votes_due: Micros,
    /// When collected membership changes take effect; `Micros::MAX` if there are none.
    membership_change_due: Micros,
    seed: u64,
    leaving: bool,
    /// Whether the state held here was once shown to be fresh.
    freshness_proved: bool,
    /// Whether the conditions of `ready` were met once.
    opened: bool,
    /// When a configuration was first known.
    configuration_known_since: Option<Micros>,
    /// Final answers given by the balancer rather than by an instance, since the start.
    rejected_count: u64,
    failed_count: u64,
    /// Requests refused since the start, by cause.
    refusals: BTreeMap<&'static str, u64>,
    /// Takes part in the intent check; `None` unless `check_intent` was called.
    intent_checker: Option<Usher>,
    effects: Vec<Effect>,
}

impl DataPlane {
    /// Starts without a configuration. `seed` determines every random choice of the balancers.
    pub fn start(mut node: NodeCore, settings: Rc<Settings>, seed: u64, now: Micros) -> DataPlane {
        node.registry.set_drain_limit(seconds_to_micros(settings.timer_bounds.drain_s));
        let timer_bounds = &settings.timer_bounds;
        let budget_limits = BudgetLimits {
            retry_ratio: timer_bounds.retry_budget_ratio,
            retry_slack: timer_bounds.retry_budget_slack,
            retry_window: seconds_to_micros(timer_bounds.retry_window_s),
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
            node,
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

    /// Version of the configuration that requests are routed by; 0 before the first one.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| u64::from(configuration.version.0))
    }

    /// Whether clients may be sent here. Once true it stays true until the process leaves, because whatever goes
    /// missing later is missing at every gateway. Only the intent check may withdraw it, where it is enabled.
    pub fn ready(&self) -> bool {
        !self.leaving
            && self.opened
            && self.node.unreadable_entry().is_none()
            && self.intent_checker.as_ref().is_none_or(|checker| checker.ward.open())
    }

    /// Status of this gateway for operators and scripts.
    pub fn status(&self) -> simd_json::OwnedValue {
        let count_in = |state: registry::InstanceState| {
            self.node.registry.instances().filter(|instance| instance.state == state).count() as u64
        };
        let not_ready_because = match (self.leaving, &self.configuration, self.node.unreadable_reason()) {
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
            "AgreedForm": self.node.state.agreed_format().0,
            "WordsRefused": self.node.rejected_messages(),
            "Ready": self.ready(),
            "NotReadyFor": not_ready_because,
            "ConfigVersion": self.configuration.as_ref().map(|configuration| configuration.version.to_string()),
            "LogIndex": self.node.state.last_applied().0,
            "Prompters": self.node.live_peers(Role::ControlNode).len() as u64,
            "Foyers": self.gateways.len() as u64,
            "RequestsInHand": self.open_requests.len() as u64,
            "TurnedBack": self.rejected_count,
            "Forfeited": self.failed_count,
            "InService": count_in(registry::InstanceState::InService),
            "Silent": count_in(registry::InstanceState::Silent),
            "Draining": count_in(registry::InstanceState::Draining),
        })
    }

    /// Enables the check described in `docs/intent.md`. It is off unless this is called, because looking at other
    /// gateways and restarts are not driven yet: a gateway that was accused could not show that it is healthy.
    pub fn check_intent(&mut self, now: Micros) {
        let own = &self.node.own;
        let tuning = intent::Tuning::of_apply(seconds_to_micros(self.settings.timer_bounds.config_apply_s));
        self.intent_checker = Some(Usher::start(own.address, own.run_id, tuning, self.seed ^ 5, now));
        self.notify_intent_checker(now);
    }

    /// Sets ready once there is a configuration and instances of each service that a route leads to; after
    /// `PARTIAL_REGISTRY_WAIT` without some of them, since a service may have none. This prevents requests for
    /// services whose instances are not known here yet while other gateways know them. The state must also have been
    /// shown to be fresh: otherwise a gateway that learns from a partitioned control node could serve a configuration
    /// that was replaced long ago.
    fn update_readiness(&mut self, now: Micros) {
        self.freshness_proved = self.freshness_proved || self.node.is_fresh();
        let Some(configuration) = self.configuration.as_ref().filter(|_| !self.opened) else { return };
        let registry = &self.node.registry;
        let services_in_service: HashSet<&str> = registry
            .instances()
            .filter(|instance| instance.state == registry::InstanceState::InService)
            .map(|instance| instance.service.as_str())
            .collect();
        let mut targets = configuration.routes.values().flat_map(|route| &route.targets);
        let all_known = targets.all(|target| services_in_service.contains(&*target.service));
        let since = *self.configuration_known_since.get_or_insert(now);
        self.opened = self.freshness_proved
            && !services_in_service.is_empty()
            && (all_known || now - since >= PARTIAL_REGISTRY_WAIT);
    }

    /// Whether `Input::Leave` was received.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// When the next `Input::Tick` is needed.
    pub fn due(&self) -> Micros {
        let next_timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, _))| *at);
        let checker_due = self.intent_checker.as_ref().map_or(Micros::MAX, Usher::due);
        self.node.due().min(next_timer).min(self.votes_due).min(self.membership_change_due).min(checker_due)
    }

    /// Handles one event and returns the effects to carry out, in order.
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
        let messages = self.node.take_envelopes().into_iter();
        let mut effects: Vec<Effect> = messages.map(|(to, message)| Effect::Send { to, message }).collect();
        effects.append(&mut self.effects);
        effects
    }

    fn tick(&mut self, now: Micros) {
        self.node.tick(now);
        while let Some(Reverse((at, timer_id))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            if let Some((service, timer)) = self.timer_targets.remove(&timer_id) {
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

    /// Handles the events of the shared node state.
    fn handle_node_events(&mut self, now: Micros) {
        let (mut changed, mut notify_checker) = (false, false);
        while let Some(happened) = self.node.next_event() {
            match happened {
                NodeEvent::Applied { outcome: CommandOutcome::Applied, .. } | NodeEvent::Restored => {
                    changed = true
                }
                // A rejected command changes nothing, but the log index advances.
                NodeEvent::Applied { .. } => notify_checker = true,
                NodeEvent::PeersChanged => {
                    notify_checker = true;
                    changed |= self.peers_changed(now);
                }
                NodeEvent::InstanceChanged(id) => self.instance_changed(&id),
                // For control nodes only.
                NodeEvent::HeartbeatAccepted { .. }
                | NodeEvent::HeartbeatRejected { .. }
                | NodeEvent::Consensus { .. }
                | NodeEvent::Vote { .. } => {}
                NodeEvent::Intent { from, message: word } => {
                    self.step_intent_checker(now, usher::Event::Word { from, word })
                }
            }
        }
        if changed {
            self.state_changed(now);
        }
        if changed || notify_checker {
            self.notify_intent_checker(now);
        }
        self.update_readiness(now);
    }

    /// Updates this gateway's share of the budgets at once and schedules the rest. Returns true if the rest is to be
    /// recomputed now, because there is no configuration yet.
    fn peers_changed(&mut self, now: Micros) -> bool {
        let gateways = self.node.live_peers(Role::Gateway).len() + 1;
        self.gateway_counts.record(now, gateways);
        self.retry_budget.borrow_mut().set_gateway_count(now, gateways);
        if self.configuration.is_some() {
            self.membership_change_due = self.membership_change_due.min(now + MEMBERSHIP_CHANGE_DELAY);
        }
        self.configuration.is_none()
    }

    /// Recomputes everything that depends on the configuration, a roll-out, or the number of gateways.
    fn state_changed(&mut self, now: Micros) {
        self.membership_change_due = Micros::MAX;
        let mut gateways = self.node.live_peers(Role::Gateway);
        gateways.push(self.node.own.address);
        gateways.sort_unstable();
        let index = gateways.iter().position(|address| *address == self.node.own.address).unwrap_or(0);
        (self.fleet.gateways, self.fleet.gateway_index) = (gateways.len(), index);
        self.gateways.clone_from(&gateways);
        self.gateway_counts.record(now, gateways.len());
        self.fleet.budget_share = self.gateway_counts.share_of(now, 1.0);
        self.retry_budget.borrow_mut().set_gateway_count(now, gateways.len());
        self.configuration = self.node.state.configuration().cloned();
        let Some(configuration) = self.configuration.clone() else { return };
        let exposure_cap = self.settings.timer_bounds.exposure_share;
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
            let rollout = self.node.state.rollouts.get(&*service);
            let settled = rollout.is_some_and(|rollout| {
                rollout.state_since - self.started_at >= MIN_UPTIME_WITHOUT_EARLIER_RUN
            });
            host.configuration_changed(&configuration, &self.fleet, settled);
            let share = connection_share(Some(&configuration), &service, gateways.len());
            host.set_share(share);
            let instances = self.node.registry.instances().filter(|instance| *instance.service == *service);
            let own_address = self.node.own.address;
            let instances = instances
                .map(|instance| (instance, share.gateways_ahead(own_address, &gateways, &instance.id.0)));
            host.instances_changed(instances, rollout);
            if let Some(rollout) = rollout {
                host.rollout_changed(now, exposure_cap, rollout);
            }
            self.with_service(&service, |_| {});
        }
    }

    /// Reports to the intent check what is ordered, what is in force, and which nodes are up.
    fn notify_intent_checker(&mut self, now: Micros) {
        if self.intent_checker.is_none() {
            return;
        }
        let (foyers, hubs) = (self.gateways.clone(), self.node.live_peers(Role::ControlNode));
        self.step_intent_checker(now, usher::Event::Peers { foyers, hubs });
        if let Some(taken) = self.node.intent() {
            self.step_intent_checker(now, usher::Event::Taken(Arc::new(taken)));
        }
        if let Some(tables) = self.intent_in_force() {
            self.step_intent_checker(now, usher::Event::Tables(tables));
        }
    }

    /// The intent in force, read back from the tables that requests are handled by.
    fn intent_in_force(&self) -> Option<Arc<Intent>> {
        let state = &self.node.state;
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
                usher::Effect::Send { to, word } => self.node.send(to, NodeMessage::Intent(word)),
                usher::Effect::ReadBack { to, nonce } => {
                    if let Some(tables) = self.intent_in_force() {
                        self.step_intent_checker(now, usher::Event::ReadBack { to, nonce, tables });
                    }
                }
                usher::Effect::Ward(ward::Effect::Rebuild { .. }) => {
                    self.state_changed(now);
                    self.notify_intent_checker(now);
                }
                // Replication pulls by its own digests, and `ready` reads the ward's gate.
                usher::Effect::Ward(ward::Effect::AskAgain | ward::Effect::Open(_)) => {}
                // To be handled by the driver, which does not drive these yet.
                usher::Effect::Ward(ward::Effect::Restart) | usher::Effect::Look { .. } => {}
            }
        }
    }

    fn instance_changed(&mut self, id: &registry::InstanceId) {
        let Some(instance) = self.node.registry.get(id) else { return };
        let warmup = instance.warm_at - instance.first_seen;
        if warmup > self.fleet.longest_warmup {
            self.fleet.longest_warmup = warmup.min(MAX_WARMUP);
        }
        let Some(host) = self.services.get_mut(instance.service.as_str()) else { return };
        let share = connection_share(self.configuration.as_deref(), &instance.service, self.gateways.len());
        let gateways_ahead = share.gateways_ahead(self.node.own.address, &self.gateways, &instance.id.0);
        host.instances_changed(
            [(instance, gateways_ahead)].into_iter(),
            self.node.state.rollouts.get(&instance.service),
        );
        let service = host.service.clone();
        self.with_service(&service, |_| {});
    }

    /// Hands a request to its service. One for an unknown service or route is rejected: it has not run.
    fn request_arrived(
        &mut self, request: RequestId, service: &str, route: &str, kind: RouteKind, time_left: Micros,
    ) {
        let service_and_profile = self
            .services
            .get(service)
            .and_then(|host| Some((host.service.clone(), host.profile(route, kind)?)));
        let Some((service, profile)) = service_and_profile else {
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

    /// Runs `act` on the service's host, then performs the actions that the balancer asked for.
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
        let connections = host.connection_limit(server);
        let attempt = AttemptNo(open.attempts.len() as u32);
        if attempt.0 > 0 {
            self.retry_budget.borrow_mut().record_retry(self.now.get(), service);
        }
        open.attempts.push(Some(server));
        self.effects.push(Effect::StartAttempt { request, attempt, target, deadline, connections });
    }

    /// Sends this gateway's vote on each trial to the control nodes.
    fn send_votes(&mut self, now: Micros) {
        self.votes_due = now + VOTE_INTERVAL;
        let votes: Vec<control_state::Vote> =
            self.services.values().filter_map(|host| host.current_vote(now)).collect();
        if votes.is_empty() {
            return;
        }
        for place in self.node.live_peers(Role::ControlNode) {
            for vote in &votes {
                self.node.send(place, NodeMessage::Vote(vote.clone()));
            }
        }
    }
}

/// What each gateway may use of a service's instances; one connection if the configuration has no such service.
fn connection_share(
    configuration: Option<&Configuration>, service: &str, gateways: usize,
) -> ConnectionShare {
    let accepts = configuration
        .and_then(|configuration| configuration.services.get(service))
        .map_or(1, |found| found.max_connections);
    ConnectionShare::new(accepts, gateways)
}
