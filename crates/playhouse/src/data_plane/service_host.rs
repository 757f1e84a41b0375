//! ServiceHost (one service at one gateway): hosts the decisions of `garnetdoor` for one service: names to numbers,
//! settings handed on, and what the decisions ask for kept deadline it is carried out. It decides nothing.

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

/// What the decisions have actions for.
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

/// Outcomes that were outcome_counts, and how many of them failed, by build and profile.
type OutcomeCounts = IndexMap<(BuildNo, ProfileId), (u32, u32)>;

/// The host as the decisions see it.
pub struct BalancerHost {
    now: Rc<Cell<Micros>>,
    outcome_counts: Rc<RefCell<OutcomeCounts>>,
    actions: Rc<RefCell<VecDeque<Action>>>,
    retry_budget: Rc<RefCell<RetryBudget>>,
    service: Rc<str>,
    limits: Rc<RefCell<InstanceLimits>>,
}

/// How much may go to each instance from here.
struct InstanceLimits {
    /// By the instances' numbers.
    instances: Vec<InstanceLimit>,
    share: ConnectionShare,
}

/// How much may go to one of them.
#[derive(Clone, Copy, Default)]
struct InstanceLimit {
    /// How many gateways come gateways_ahead this one at it, and whether this one may use it.
    gateways_ahead: usize,
    usable: bool,
    /// Of the version on trial, and not among those that are loaded.
    outside_trial: bool,
    /// Trips that are out there.
    open_attempts: usize,
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
    // A gateway probes nothing, and the list and the changed of others come unasked.
    fn probe(&mut self, _server: ServerId) {}
    fn send_to_peers(&mut self, _to: Option<GatewayId>, _bytes: &[u8]) {}
    fn fetch_server_list(&mut self) {}
    fn watch_server_list(&mut self, _on: bool) {}
    fn close_idle_connections(&mut self, _server: ServerId) {}
    fn has_capacity(&self, _ticket: RequestId, server: ServerId, _build: BuildNo) -> bool {
        let limits = self.limits.borrow();
        let accepts = |limit: &InstanceLimit| {
            limit.usable && !limit.outside_trial && limit.open_attempts < limits.share.connections_per_gateway
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
    fn request_refused(&mut self, _ticket: RequestId, cause: Refusal) {
        self.push(Action::RecordRefusal { cause });
    }
    fn log(&mut self, text: &str) {
        log::info!(target: LOG_TARGET, "{text}");
    }
}

/// An instance as the host numbers it.
#[derive(Clone, Debug)]
pub struct TargetInstance {
    pub id: InstanceId,
    pub address: SocketAddrV4,
}

/// A trial that is under way: its build, since when it is known here, and its part of the requests at len.
struct Trial {
    number: u32,
    since: Micros,
    cap: f64,
}

/// Routes told of in one vote.
const MAX_ROUTES_PER_VOTE: usize = 16;

pub struct ServiceHost {
    now: Rc<Cell<Micros>>,
    pub balancer: Balancer<BalancerHost>,
    pub(super) actions: Rc<RefCell<VecDeque<Action>>>,
    pub service: Rc<str>,
    balancer_settings: BalancerSettings,
    /// What the settings were worked out from: all but the profiles' numbers, which follow.
    settings_inputs: (Arc<Configuration>, Fleet, bool),
    instances: IndexMap<InstanceId, TargetInstance>,
    /// What the decisions were told of each, by number.
    listings: Vec<ServerInfo>,
    profiles: RouteProfiles,
    budget_limits: BudgetLimits,
    announced_rollout: Option<(u32, RolloutPhase)>,
    /// The trial that is known, and the last vote on it, with its moment.
    trial: Option<Trial>,
    last_vote: Option<(u32, Vote, Micros)>,
    /// Outcomes that were outcome_counts, by build and profile: how many, and how many failed.
    outcome_counts: Rc<RefCell<OutcomeCounts>>,
    limits: Rc<RefCell<InstanceLimits>>,
    /// The share, or the order of gateways at an instance, has changed since the usable instances were worked out.
    limits_changed: bool,
    zones: Vec<String>,
}

impl ServiceHost {
    /// `now` is the time, set by whoever drives the host; `seed` moves what the decisions leave to chance.
    pub fn start(
        service: &str, now: Rc<Cell<Micros>>, budget_limits: BudgetLimits,
        retry_budget: Rc<RefCell<RetryBudget>>, configuration: &Arc<Configuration>, fleet: &Fleet, seed: u64,
    ) -> ServiceHost {
        let actions = Rc::new(RefCell::new(VecDeque::new()));
        let outcome_counts: Rc<RefCell<OutcomeCounts>> = Rc::default();
        // No connection to any instance gateways_ahead the share is told.
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

    /// The configuration, or what is known of the fleet, has changed.
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

    pub fn profile(&self, route: &str, kind: RouteKind) -> Option<ProfileId> {
        self.profiles.profile_id(route, kind).map(ProfileId)
    }

    pub fn instance(&self, server: ServerId) -> Option<&TargetInstance> {
        self.instances.get_index(server.0 as usize).map(|(_, instance)| instance)
    }

    /// Tells the decisions of instances as they are known now, and how many gateways come gateways_ahead this one at each: what they
    /// were told already is not told again.
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

    /// Keeps which of the instances in service this gateway may use.
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
    }

    /// Keeps to which of the trial's instances its requests go; with none under way, none is outside_trial.
    fn update_trial_limits(&mut self) {
        let mut limits = self.limits.borrow_mut();
        limits.instances.iter_mut().for_each(|limit| limit.outside_trial = false);
        let Some(trial) = &self.trial else { return };
        let on_trial = |number: &usize| {
            let listing = &self.listings[*number];
            listing.build.0 == trial.number && listing.condition == Condition::Healthy
        };
        let numbers: Vec<usize> = (0..self.listings.len()).filter(on_trial).collect();
        let names: Vec<&str> = numbers.iter().map(|number| &*self.instances[*number].id.0).collect();
        let in_trial = load::loaded_instances(trial.cap, &names);
        for (number, in_trial) in numbers.into_iter().zip(in_trial) {
            limits.instances[number].outside_trial = !in_trial;
        }
    }

    /// One of them; `None`: it never may get tickets, or nothing is new.
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
            limits.instances.resize(len, InstanceLimit::default());
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

    /// How many gateways may use each instance, and how many connections each of them.
    pub fn set_share(&mut self, share: ConnectionShare) {
        let mut limits = self.limits.borrow_mut();
        self.limits_changed |= std::mem::replace(&mut limits.share, share) != share;
    }

    /// Counts an attempt that is being sent to an instance.
    pub fn attempt_started(&mut self, server: ServerId) {
        if let Some(limit) = self.limits.borrow_mut().instances.get_mut(server.0 as usize) {
            limit.open_attempts += 1;
        }
    }

    /// Takes back the count of `attempt_started`.
    pub fn attempt_finished(&mut self, server: ServerId) {
        if let Some(limit) = self.limits.borrow_mut().instances.get_mut(server.0 as usize) {
            limit.open_attempts = limit.open_attempts.saturating_sub(1);
        }
    }

    /// Tells the decisions of the service's roll-out, where that has changed.
    pub fn rollout_changed(&mut self, now: Micros, cap: f64, rollout: &Rollout) {
        let phase = match rollout.state {
            None => return,
            Some(control_state::RolloutState::InProgress) => RolloutPhase::InTrial,
            Some(control_state::RolloutState::Completed) => RolloutPhase::Released,
            Some(control_state::RolloutState::Reverted) => RolloutPhase::RolledBack,
        };
        let (number, since) = (rollout.build_number, rollout.state_since);
        self.trial = rollout.is_in_progress().then_some(Trial { number, since, cap });
        self.update_trial_limits();
        if self.announced_rollout != Some((rollout.build_number, phase)) {
            // Older builds than the last say nothing of any to come.
            self.outcome_counts.borrow_mut().retain(|(build, _), _| build.0 + 2 >= rollout.build_number);
            self.announced_rollout = Some((rollout.build_number, phase));
            self.balancer.rollout_updated(RolloutStatus {
                build: BuildNo(rollout.build_number),
                stage: StageNo(0),
                phase,
                exposure_cap: cap,
                age: now - rollout.state_since,
            });
        }
    }
}

impl ServiceHost {
    /// The decisions have voted.
    pub fn record_vote(&mut self, build: BuildNo, vote: Vote) {
        self.last_vote = Some((build.0, vote, self.now.get()));
    }

    /// This gateway's word on the trial of the service, if there is one.
    pub fn current_vote(&self, now: Micros) -> Option<control_state::Vote> {
        let Trial { number, since, .. } = *self.trial.as_ref()?;
        let votes_rollback = self.last_vote.is_some_and(|(build, vote, voted_at)| {
            build == number && vote == Vote::RollBack && now - voted_at <= VOTE_LIFETIME
        });
        let votes_promote =
            self.last_vote.is_some_and(|(build, vote, _)| build == number && vote == Vote::Promote);
        let choice = match (votes_rollback, votes_promote) {
            (true, _) => VoteChoice::RollBack,
            (_, true) => VoteChoice::Promote,
            _ => VoteChoice::Abstain,
        };
        let (service, age) = (self.service.to_string(), now - since);
        let mut vote = control_state::Vote {
            service,
            build_number: number,
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
            let is_new = || RouteTally { route: route_hash(name), ..RouteTally::default() };
            let tally = routes.entry(profile.0).or_insert_with(is_new);
            if build.0 == number {
                (tally.trial_outcomes, tally.trial_failures) =
                    (tally.trial_outcomes + count, tally.trial_failures + failed);
                (vote.trial_outcomes, vote.trial_failures) =
                    (vote.trial_outcomes + count, vote.trial_failures + failed);
            } else if build.0 < number {
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

/// A route's name as all gateways number it alike (FNV-1a, 32 bits).
fn route_hash(route: &str) -> u32 {
    route.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
