//! Hosts the balancer of `garnetdoor` for one service at one gateway: maps names to numbers, passes on settings, and
//! queues the balancer's actions until the data plane carries them out. It decides nothing itself.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use budgets::RetryBudget;
use configuration::{Configuration, RouteKind};
use control_state::{Rollout, RouteTally, VoteChoice};
use garnetdoor::balance::Balancer;
use garnetdoor::host::{
    AttemptNo, BuildNo, CellId, Condition, GatewayId, Host, MachineTypeId, ProfileId, Refusal, RequestId,
    RolloutPhase, RolloutStatus, ServerId, ServerInfo, Settings as BalancerSettings, StageNo, TimerKind,
    Vote, ZoneId,
};
use indexmap::IndexMap;
use load::{BudgetLimits, ConnectionShare, Fleet, RouteProfiles, VOTE_LIFETIME};
use registry::{InstanceId, InstanceState};
use types::Micros;

// Operators filter log lines by this name, which is older than the module's.
const LOG_TARGET: &str = "playhouse::floor::desk";

/// What the balancer has asked for.
#[derive(Debug)]
pub(super) enum Action {
    StartAttempt { request: RequestId, server: ServerId, deadline: Option<Micros> },
    CancelAttempt { request: RequestId, attempt: AttemptNo },
    Reject { request: RequestId, retry_after: Option<Micros> },
    Fail { request: RequestId },
    RecordRefusal { cause: Refusal },
    CastVote { build: BuildNo, vote: Vote },
    SetTimer { at: Micros, timer: TimerKind },
}

/// Judged outcomes and how many of them failed, by build and profile.
type OutcomeCounts = IndexMap<(BuildNo, ProfileId), (u32, u32)>;

/// The balancer's view of its environment.
pub struct BalancerHost {
    now: Rc<Cell<Micros>>,
    outcome_counts: Rc<RefCell<OutcomeCounts>>,
    actions: Rc<RefCell<VecDeque<Action>>>,
    retry_budget: Rc<RefCell<RetryBudget>>,
    service: Rc<str>,
    limits: Rc<RefCell<InstanceLimits>>,
}

/// Limits on what this gateway may send to each instance.
struct InstanceLimits {
    /// By instance number.
    instances: Vec<InstanceLimit>,
    share: ConnectionShare,
}

/// How many connections this gateway may hold to one instance. It is shared with the pool, which keeps connections for
/// longer than a configuration or a number of gateways holds.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimit(Rc<Cell<usize>>);

impl ConnectionLimit {
    pub fn new(max_connections: usize) -> ConnectionLimit {
        ConnectionLimit(Rc::new(Cell::new(max_connections)))
    }

    /// The limit in force now.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Changes the limit for all that share it.
    pub fn set(&self, max_connections: usize) {
        self.0.set(max_connections);
    }
}

/// The limits of one instance.
#[derive(Default)]
struct InstanceLimit {
    /// How many gateways precede this one in the instance's order of gateways.
    gateways_ahead: usize,
    /// Whether this gateway may use the instance.
    usable: bool,
    /// Runs the version on trial, but is not among the instances that receive the trial's requests.
    outside_trial: bool,
    /// Attempts that have not ended.
    open_attempts: usize,
    /// Follows from `usable` and this gateway's share.
    connections: ConnectionLimit,
}

impl BalancerHost {
    fn push(&self, action: Action) {
        self.actions.borrow_mut().push_back(action);
    }
}

impl Host for BalancerHost {
    fn now(&self) -> Micros {
        self.now.get()
    }
    fn send_attempt(&mut self, request: RequestId, server: ServerId, deadline: Option<Micros>) {
        self.push(Action::StartAttempt { request, server, deadline });
    }
    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNo) {
        self.push(Action::CancelAttempt { request, attempt });
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>) {
        self.push(Action::Reject { request, retry_after });
    }
    fn fail(&mut self, request: RequestId) {
        self.push(Action::Fail { request });
    }
    fn cast_vote(&mut self, build: BuildNo, _stage: StageNo, vote: Vote) {
        self.push(Action::CastVote { build, vote });
    }
    fn set_timer(&mut self, at: Micros, timer: TimerKind) {
        self.push(Action::SetTimer { at, timer });
    }
    // A gateway sends no probes, and the instance list and the state of peers arrive without being requested.
    fn probe(&mut self, _server: ServerId) {}
    fn send_to_peers(&mut self, _to: Option<GatewayId>, _bytes: &[u8]) {}
    fn fetch_server_list(&mut self) {}
    fn watch_server_list(&mut self, _on: bool) {}
    fn close_idle_connections(&mut self, _server: ServerId) {}
    fn has_capacity(&self, _request: RequestId, server: ServerId, _build: BuildNo) -> bool {
        let limits = self.limits.borrow();
        let accepts = |limit: &InstanceLimit| {
            limit.usable && !limit.outside_trial && limit.open_attempts < limit.connections.get()
        };
        limits.instances.get(server.0 as usize).is_some_and(accepts)
    }
    fn has_retry_budget(&self) -> bool {
        self.retry_budget.borrow_mut().may_retry_now(self.now.get(), &self.service)
    }
    fn outcome_judged(&mut self, build: BuildNo, profile: ProfileId, failed: bool) {
        let mut outcome_counts = self.outcome_counts.borrow_mut();
        let entry = outcome_counts.entry((build, profile)).or_default();
        *entry = (entry.0.saturating_add(1), entry.1.saturating_add(u32::from(failed)));
    }
    fn request_refused(&mut self, _request: RequestId, cause: Refusal) {
        self.push(Action::RecordRefusal { cause });
    }
    fn log(&mut self, text: &str) {
        log::info!(target: LOG_TARGET, "{text}");
    }
}

/// An instance to send attempts to.
#[derive(Clone, Debug)]
pub struct TargetInstance {
    pub id: InstanceId,
    pub address: SocketAddrV4,
}

/// A trial in progress: its build number, since when it is in progress, and the largest fraction of requests it may receive.
struct Trial {
    build_number: u32,
    since: Micros,
    exposure_cap: f64,
}

/// Most routes reported in one vote.
const MAX_ROUTES_PER_VOTE: usize = 16;

/// Balancer of one service with the state that it needs at a gateway.
pub struct ServiceHost {
    now: Rc<Cell<Micros>>,
    pub balancer: Balancer<BalancerHost>,
    pub(super) actions: Rc<RefCell<VecDeque<Action>>>,
    pub service: Rc<str>,
    balancer_settings: BalancerSettings,
    /// The inputs from which the settings were computed, except the profile numbers, which follow from them.
    settings_inputs: (Arc<Configuration>, Fleet, bool),
    instances: IndexMap<InstanceId, TargetInstance>,
    /// What the balancer was last told of each instance, by instance number.
    listings: Vec<ServerInfo>,
    profiles: RouteProfiles,
    budget_limits: BudgetLimits,
    announced_rollout: Option<(u32, RolloutPhase)>,
    /// The trial in progress.
    trial: Option<Trial>,
    /// The balancer's last vote: build number, vote, and time.
    last_vote: Option<(u32, Vote, Micros)>,
    /// Judged outcomes and failures by build and profile.
    outcome_counts: Rc<RefCell<OutcomeCounts>>,
    limits: Rc<RefCell<InstanceLimits>>,
    /// The connection share or an instance's order of gateways has changed since the usable instances were computed.
    limits_changed: bool,
    zones: Vec<String>,
}

impl ServiceHost {
    /// `now` is the current time, set by the caller; `seed` determines the balancer's random choices.
    pub fn start(
        service: &str, now: Rc<Cell<Micros>>, budget_limits: BudgetLimits,
        retry_budget: Rc<RefCell<RetryBudget>>, configuration: &Arc<Configuration>, fleet: &Fleet, seed: u64,
    ) -> ServiceHost {
        let actions = Rc::new(RefCell::new(VecDeque::new()));
        let outcome_counts: Rc<RefCell<OutcomeCounts>> = Rc::default();
        // No connection to any instance until the share is set.
        let share = ConnectionShare { max_gateways: 0, connections_per_gateway: 0 };
        let limits = Rc::new(RefCell::new(InstanceLimits { instances: Vec::new(), share }));
        let host = BalancerHost {
            now: now.clone(),
            outcome_counts: outcome_counts.clone(),
            actions: actions.clone(),
            retry_budget,
            service: service.into(),
            limits: limits.clone(),
        };
        let mut profiles = RouteProfiles::default();
        let balancer_settings =
            load::balancer_settings(service, &budget_limits, configuration, fleet, false, &mut profiles);
        ServiceHost {
            now,
            balancer: Balancer::start(host, seed, balancer_settings.clone()),
            actions,
            service: service.into(),
            balancer_settings,
            settings_inputs: (configuration.clone(), fleet.clone(), false),
            instances: IndexMap::new(),
            listings: Vec::new(),
            profiles,
            budget_limits,
            announced_rollout: None,
            trial: None,
            last_vote: None,
            outcome_counts,
            limits,
            limits_changed: false,
            zones: fleet.zones.clone(),
        }
    }

    /// Recomputes the balancer's settings after a change of the configuration or the fleet.
    pub fn configuration_changed(
        &mut self, configuration: &Arc<Configuration>, fleet: &Fleet, settled: bool,
    ) {
        let (last_configuration, last_fleet, last_settled) = &self.settings_inputs;
        if Arc::ptr_eq(last_configuration, configuration) && last_fleet == fleet && *last_settled == settled {
            return;
        }
        self.settings_inputs = (configuration.clone(), fleet.clone(), settled);
        let balancer_settings = load::balancer_settings(
            &self.service,
            &self.budget_limits,
            configuration,
            fleet,
            settled,
            &mut self.profiles,
        );
        if balancer_settings != self.balancer_settings {
            self.balancer_settings = balancer_settings.clone();
            self.balancer.settings_changed(balancer_settings);
        }
    }

    /// The profile of a route, as the balancer numbers it.
    pub fn profile(&self, route: &str, kind: RouteKind) -> Option<ProfileId> {
        self.profiles.profile_id(route, kind).map(ProfileId)
    }

    /// The instance with this number.
    pub fn instance(&self, server: ServerId) -> Option<&TargetInstance> {
        self.instances.get_index(server.0 as usize).map(|(_, instance)| instance)
    }

    /// Passes changed instances on to the balancer, each with the number of gateways that precede this one in its
    /// order of gateways.
    pub fn instances_changed<'a>(
        &mut self, known: impl Iterator<Item = (&'a registry::Instance, usize)>, rollout: Option<&Rollout>,
    ) {
        let changed: Vec<ServerInfo> = known
            .filter_map(|(known, gateways_ahead)| self.update_instance(known, rollout, gateways_ahead))
            .collect();
        if !changed.is_empty() || self.limits_changed {
            self.limits_changed = false;
            self.update_usable();
        }
        if !changed.is_empty() {
            self.balancer.server_list_updated(changed);
            self.update_trial_limits();
        }
    }

    /// Recomputes which of the healthy instances this gateway may use.
    fn update_usable(&mut self) {
        let mut limits = self.limits.borrow_mut();
        let healthy = |number: &usize| self.listings[*number].condition == Condition::Healthy;
        let numbers: Vec<usize> = (0..self.listings.len()).filter(healthy).collect();
        let gateways_ahead: Vec<usize> =
            numbers.iter().map(|number| limits.instances[*number].gateways_ahead).collect();
        let usable = limits.share.usable_instances(&gateways_ahead);
        for (number, usable) in numbers.into_iter().zip(usable) {
            limits.instances[number].usable = usable;
        }
        let connections_per_gateway = limits.share.connections_per_gateway;
        for limit in &limits.instances {
            limit.connections.set(if limit.usable { connections_per_gateway } else { 0 });
        }
    }

    /// Recomputes which of the trial's instances receive its requests; without a trial, none is excluded.
    fn update_trial_limits(&mut self) {
        let mut limits = self.limits.borrow_mut();
        limits.instances.iter_mut().for_each(|limit| limit.outside_trial = false);
        let Some(trial) = &self.trial else { return };
        let on_trial = |number: &usize| {
            let listing = &self.listings[*number];
            listing.build.0 == trial.build_number && listing.condition == Condition::Healthy
        };
        let numbers: Vec<usize> = (0..self.listings.len()).filter(on_trial).collect();
        let names: Vec<&str> = numbers.iter().map(|number| &*self.instances[*number].id.0).collect();
        let in_trial = load::loaded_instances(trial.exposure_cap, &names);
        for (number, in_trial) in numbers.into_iter().zip(in_trial) {
            limits.instances[number].outside_trial = !in_trial;
        }
    }

    /// Updates one instance; `None` if it may never get requests or nothing has changed.
    fn update_instance(
        &mut self, known: &registry::Instance, rollout: Option<&Rollout>, gateways_ahead: usize,
    ) -> Option<ServerInfo> {
        let build = rollout.and_then(|rollout| rollout.build_number_of(&known.version));
        let condition = match (build, known.state) {
            (Some(_), InstanceState::InService) => Condition::Healthy,
            (Some(_), InstanceState::Draining) => Condition::Draining,
            _ => Condition::Gone,
        };
        if condition == Condition::Gone && !self.instances.contains_key(&known.id) {
            return None;
        }
        let instance = TargetInstance { id: known.id.clone(), address: known.address };
        let (number, _) = self.instances.insert_full(known.id.clone(), instance);
        {
            let mut limits = self.limits.borrow_mut();
            let len = limits.instances.len().max(number + 1);
            limits.instances.resize_with(len, InstanceLimit::default);
            self.limits_changed |=
                std::mem::replace(&mut limits.instances[number].gateways_ahead, gateways_ahead)
                    != gateways_ahead;
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
        let is_new = number >= self.listings.len();
        if is_new {
            self.listings.resize(number + 1, ServerInfo::default());
        }
        let previous = std::mem::replace(&mut self.listings[number], listing.clone());
        (is_new || previous != listing).then_some(listing)
    }

    /// Sets how many gateways may use each instance, and with how many connections each.
    pub fn set_share(&mut self, share: ConnectionShare) {
        let mut limits = self.limits.borrow_mut();
        self.limits_changed |= std::mem::replace(&mut limits.share, share) != share;
    }

    /// How many connections this gateway may hold to an instance.
    pub fn connection_limit(&self, server: ServerId) -> ConnectionLimit {
        let limits = self.limits.borrow();
        limits
            .instances
            .get(server.0 as usize)
            .map_or_else(ConnectionLimit::default, |limit| limit.connections.clone())
    }

    /// Counts an attempt that is being sent to an instance.
    pub fn attempt_started(&mut self, server: ServerId) {
        if let Some(limit) = self.limits.borrow_mut().instances.get_mut(server.0 as usize) {
            limit.open_attempts += 1;
        }
    }

    /// Undoes `attempt_started` when the attempt ends.
    pub fn attempt_finished(&mut self, server: ServerId) {
        if let Some(limit) = self.limits.borrow_mut().instances.get_mut(server.0 as usize) {
            limit.open_attempts = limit.open_attempts.saturating_sub(1);
        }
    }

    /// Reports the service's roll-out to the balancer if it has changed.
    pub fn rollout_changed(&mut self, now: Micros, exposure_cap: f64, rollout: &Rollout) {
        let phase = match rollout.state {
            None => return,
            Some(control_state::RolloutState::InProgress) => RolloutPhase::InTrial,
            Some(control_state::RolloutState::Completed) => RolloutPhase::Released,
            Some(control_state::RolloutState::Reverted) => RolloutPhase::RolledBack,
        };
        let (build_number, since) = (rollout.build_number, rollout.state_since);
        self.trial = rollout.is_in_progress().then_some(Trial { build_number, since, exposure_cap });
        self.update_trial_limits();
        if self.announced_rollout != Some((rollout.build_number, phase)) {
            // Builds older than the previous one no longer matter for later trials.
            self.outcome_counts.borrow_mut().retain(|(build, _), _| build.0 + 2 >= rollout.build_number);
            self.announced_rollout = Some((rollout.build_number, phase));
            self.balancer.rollout_updated(RolloutStatus {
                build: BuildNo(rollout.build_number),
                stage: StageNo(0),
                phase,
                exposure_cap,
                age: now - rollout.state_since,
            });
        }
    }
}

impl ServiceHost {
    /// Records the balancer's vote.
    pub fn record_vote(&mut self, build: BuildNo, vote: Vote) {
        self.last_vote = Some((build.0, vote, self.now.get()));
    }

    /// This gateway's vote on the service's trial, if there is one.
    pub fn current_vote(&self, now: Micros) -> Option<control_state::Vote> {
        let Trial { build_number, since, .. } = *self.trial.as_ref()?;
        let votes_rollback = self.last_vote.is_some_and(|(build, vote, voted_at)| {
            build == build_number && vote == Vote::RollBack && now - voted_at <= VOTE_LIFETIME
        });
        let votes_promote =
            self.last_vote.is_some_and(|(build, vote, _)| build == build_number && vote == Vote::Promote);
        let choice = match (votes_rollback, votes_promote) {
            (true, _) => VoteChoice::RollBack,
            (_, true) => VoteChoice::Promote,
            _ => VoteChoice::Abstain,
        };
        let (service, age) = (self.service.to_string(), now - since);
        let mut vote = control_state::Vote {
            service,
            build_number,
            choice,
            trial_outcomes: 0,
            trial_failures: 0,
            base_outcomes: 0,
            base_failures: 0,
            order_age: age,
            routes: Vec::new(),
        };
        let mut routes: IndexMap<usize, RouteTally> = IndexMap::new();
        for ((build, profile), (count, failed)) in self.outcome_counts.borrow().iter() {
            let Some(name) = self.profiles.route_name(profile.0) else { continue };
            let empty_tally = || RouteTally { route: route_hash(name), ..RouteTally::default() };
            let tally = routes.entry(profile.0).or_insert_with(empty_tally);
            if build.0 == build_number {
                (tally.trial_outcomes, tally.trial_failures) =
                    (tally.trial_outcomes + count, tally.trial_failures + failed);
                (vote.trial_outcomes, vote.trial_failures) =
                    (vote.trial_outcomes + count, vote.trial_failures + failed);
            } else if build.0 < build_number {
                (tally.base_outcomes, tally.base_failures) =
                    (tally.base_outcomes + count, tally.base_failures + failed);
                (vote.base_outcomes, vote.base_failures) =
                    (vote.base_outcomes + count, vote.base_failures + failed);
            }
        }
        vote.routes =
            routes.into_values().filter(|tally| tally.trial_outcomes > 0).take(MAX_ROUTES_PER_VOTE).collect();
        Some(vote)
    }
}

/// Identifies a route by the same number at all gateways (FNV-1a hash of its name, 32 bits).
fn route_hash(route: &str) -> u32 {
    route.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
