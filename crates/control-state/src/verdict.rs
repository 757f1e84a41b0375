//! VerdictTally (of votes): the control plane's part of the design after Bayraktar and Lai. Each foyer is a sensor
//! with its own CUSUM and sends its alarm as a standing vote back; the count of those that stand raises the
//! final alarm. Foyers also tell what they saw, so that where each sees too little for an alarm of its own,
//! the same statistic runs here on what all saw together. Soft state: a new leader has it again within a
//! vote's life.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{MS, Micros, NodeAddress, SECOND};

use crate::{Command, ControlState, Rollout};

/// Trials, foyers of a trial and routes of a vote that are kept: several times the largest deployment, so
/// that wrong numbers or addresses can't fill the memory.
const MAX_TRIALS: usize = 256;
const MAX_FOYERS: usize = 1024;
const MAX_ROUTES: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteChoice {
    /// Neither yet: too early, or too little seen. Only what it tells counts.
    Abstain,
    /// Nothing against the version on trial.
    Promote,
    /// The foyer's own statistic stands at or over its height.
    RollBack,
}

/// What one foyer judged on one route since the order; numbers only rise within a life of the foyer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Names the route alike at all foyers, such as a hash of its name.
    pub route: u32,
    pub trial_outcomes: u32,
    pub trial_failures: u32,
    /// Outcomes of the version in service, and how many of them failed.
    pub base_outcomes: u32,
    pub base_failures: u32,
}

/// Sent about once a second by each foyer for each trial that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub service: String,
    /// The trial's build number.
    pub build_number: u32,
    pub choice: VoteChoice,
    /// Outcomes of the version on trial that this foyer judged since the order, and how many of them failed.
    pub trial_outcomes: u32,
    pub trial_failures: u32,
    /// As much of the version in service.
    pub base_outcomes: u32,
    pub base_failures: u32,
    /// For how long this foyer has known of the order: never longer than it stands. A core that was restarted
    /// as a whole learns from it how much of the period is over.
    pub order_age: Micros,
    /// The same by route, where outcomes are many enough to be worth their bytes; may be empty.
    pub routes: Vec<RouteTally>,
}

/// Where the bounds come from stands in `docs/configuration-system.md`; none was fitted to a deployment.
#[derive(Clone, Debug)]
pub struct VerdictSettings {
    /// A vote stands for so long: three of its renewals, so that one lost datagram takes none down.
    pub vote_lifetime: Micros,
    /// A verdict that is not ordered yet is told again after so long.
    pub verdict_repeat_interval: Micros,
    /// Under so many foyers up, a single back vote is enough: there may be no second one that sees the
    /// version.
    pub few_gateways: usize,
    /// Otherwise so many at least, as in the paper: one foyer with trouble of its own raises nothing alone.
    pub min_roll_back_votes: usize,
    /// And this share of the foyers that have evidence. Low, because alarms of a bad version come one after
    /// the other while its bad answers run, and a good version sent back costs far less than a bad one kept.
    pub roll_back_share: f64,
    /// Outcomes on trial from which on a foyer has evidence: those that its own statistic asks for.
    pub min_evidence_outcomes: u32,
    /// One back vote that has stood for so long without a gap is enough too, where foyers tell nothing of the
    /// version in service to weigh it by: alarms by chance fall again with the next few good answers, and the
    /// rules leave 5 s after the 50th bad answer for everything.
    pub lone_roll_back_duration: Micros,
    /// Part of the period before which nothing completes: versions may turn bad late, or under load only.
    pub early_completion_fraction: f64,
    /// Part of the period from which on half of the foyers is enough, and doubt sends the version back.
    pub final_decision_fraction: f64,
    /// Periods after which a version completes that has had fewer than `joint_least` requests: an idle service is
    /// not held for ever, and what had so few by then gets few bad answers before a new order.
    pub untried_completion_periods: f64,
    /// Outcomes on trial, over all foyers, without which nothing completes before `complete_by`.
    pub min_trial_outcomes: u64,
    /// Failure rates of the version in service as they are taken: a few late answers of few instances are no
    /// fault, and a rate over a half can't be told from a worse one.
    pub base_failure_rate_range: (f64, f64),
    /// Outcomes of the version in service without which the joint statistics stay silent.
    pub min_base_outcomes: u64,
    /// Joint outcomes on trial without which a joint statistic is no alarm.
    pub min_joint_outcomes: u64,
    /// Height of a joint statistic that is an alarm by itself. Over the 6 of a single foyer: there is one for
    /// each route and the whole, and what they see is not independent.
    pub joint_alarm_threshold_nats: f64,
    /// At most so much of a joint statistic is one foyer's: half, so that no foyer's own trouble raises it
    /// alone.
    pub joint_gateway_cap_nats: f64,
    /// As much from foyers that do not vote back backs up a single back vote: half of a foyer's height.
    pub joint_backing_threshold_nats: f64,
    /// A single foyer's height: here it sends the version back at `complete_by`.
    pub joint_final_threshold_nats: f64,
    /// Height that stands in the way of completion: three failures in a row. So does a whole trial that
    /// speaks for the worse rate at all, as a route with a dozen outcomes has no more to say. Waiting costs
    /// little.
    pub joint_doubt_threshold_nats: f64,
    /// Nothing may have stood in the way for so long, one vote of every foyer: with few outcomes, a statistic
    /// of a bad version is low for a moment, and a wrong completion can't be undone.
    pub clear_duration: Micros,
    /// Bad answers that may come before the clock of 5 s runs: at this many, a version that is clearly worse
    /// goes back without waiting for a height.
    pub prompt_roll_back_failures: u64,
}

impl Default for VerdictSettings {
    fn default() -> VerdictSettings {
        VerdictSettings {
            vote_lifetime: 3 * SECOND,
            verdict_repeat_interval: SECOND,
            few_gateways: 4,
            min_roll_back_votes: 2,
            roll_back_share: 0.25,
            min_evidence_outcomes: 10,
            lone_roll_back_duration: 2 * SECOND,
            early_completion_fraction: 0.75,
            final_decision_fraction: 0.93,
            untried_completion_periods: 4.0,
            min_trial_outcomes: 30,
            base_failure_rate_range: (0.05, 0.5),
            min_base_outcomes: 30,
            min_joint_outcomes: 10,
            joint_alarm_threshold_nats: 10.0,
            joint_gateway_cap_nats: 5.0,
            joint_backing_threshold_nats: 3.0,
            joint_final_threshold_nats: 6.0,
            joint_doubt_threshold_nats: 3.0,
            clear_duration: SECOND,
            prompt_roll_back_failures: 35,
        }
    }
}

/// A CUSUM over what all foyers tell of one route, or of the service as a whole.
#[derive(Clone, Debug, Default)]
struct Joint {
    height: f64,
    /// The same without the floor at 0: over 0, the whole of the trial speaks for the worse rate.
    sum: f64,
    trial: u64,
    /// What each foyer added since the height was last 0.
    parts: BTreeMap<NodeAddress, f64>,
}

#[derive(Clone, Debug)]
struct Cast {
    at: Micros,
    vote: Vote,
    /// Since when its votes are back without a gap.
    back_since: Option<Micros>,
    /// By route, the outcomes on trial and failures among them that the joint statistics have taken in.
    fed: BTreeMap<Option<u32>, (u32, u32)>,
}

#[derive(Clone, Debug)]
struct Trial {
    number: u32,
    heard: Micros,
    /// The last vote of each foyer; kept after it has lapsed, so that what it told is not counted twice.
    foyers: BTreeMap<NodeAddress, Cast>,
    /// By route; `None` is the service as a whole.
    joints: BTreeMap<Option<u32>, Joint>,
    /// Since when nothing stands in the way of completion.
    clear_since: Option<Micros>,
    told: Option<Micros>,
}

/// The votes on one trial that stand, and what the foyers told with their last ones; for those who look on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VoteSummary {
    pub promote_votes: usize,
    pub roll_back_votes: usize,
    /// Outcomes of the version on trial, and those of them that failed.
    pub trial_outcomes: u64,
    pub trial_failures: u64,
    /// Of the version in service.
    pub base_outcomes: u64,
    pub base_failures: u64,
}

/// VoteSummary of all trials.
#[derive(Clone, Debug)]
pub struct VerdictTally {
    settings: VerdictSettings,
    trials: BTreeMap<String, Trial>,
}

/// What stands now.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    ons: usize,
    backs: usize,
    with_evidence: usize,
    /// The longest time for which one back vote has stood.
    lone: Micros,
    age: Micros,
    trial: u64,
    failed: u64,
    base: u64,
    base_failed: u64,
}

impl VerdictTally {
    pub fn new(settings: VerdictSettings) -> VerdictTally {
        VerdictTally { settings, trials: BTreeMap::new() }
    }

    /// Takes a foyer's vote. One of an older trial than the newest heard of is dropped; its order is known
    /// here or will be, whatever is counted meanwhile.
    pub fn record(&mut self, now: Micros, foyer: NodeAddress, mut vote: Vote) {
        vote.routes.truncate(MAX_ROUTES);
        match self.trials.get(&vote.service) {
            Some(trial) if trial.number > vote.build_number => return,
            Some(trial) if trial.number == vote.build_number => {}
            None if self.trials.len() >= MAX_TRIALS => return,
            _ => drop(self.trials.insert(vote.service.clone(), Trial::new(now, vote.build_number))),
        }
        if let Some(trial) = self.trials.get_mut(&vote.service) {
            trial.cast(&self.settings, now, foyer, vote);
        }
    }

    /// What stands at `now` on a service's trial, as it was heard here; `None` where nobody has voted.
    pub fn summary(&self, now: Micros, service: &str) -> Option<VoteSummary> {
        let sum = self.trials.get(service)?.standing(&self.settings, now);
        let Standing { ons, backs, trial, failed, base, base_failed, .. } = sum;
        Some(VoteSummary {
            promote_votes: ons,
            roll_back_votes: backs,
            trial_outcomes: trial,
            trial_failures: failed,
            base_outcomes: base,
            base_failures: base_failed,
        })
    }

    /// The ends of trials that the votes that stand now call for, to be ordered by the leader. `foyers_up`
    /// are those that the members list has as up.
    pub fn verdicts(&mut self, now: Micros, script: &ControlState, foyers_up: usize) -> Vec<Command> {
        let settings = &self.settings;
        let mut verdicts = Vec::new();
        self.trials.retain(|service, trial| {
            let Some(rollout) = script.rollouts.get(service).filter(|r| r.build_number >= trial.number)
            else {
                // VoteSummary may be ahead of the log here; if nothing comes of them, they go.
                return now - trial.heard <= 10 * settings.vote_lifetime;
            };
            if rollout.build_number > trial.number || !rollout.is_in_progress() {
                return false;
            }
            let told = trial.told.is_some_and(|at| now - at < settings.verdict_repeat_interval);
            if let Some(completed) = trial.verdict(settings, now, rollout, foyers_up).filter(|_| !told) {
                trial.told = Some(now);
                verdicts.push(Command::Verdict { service: service.clone(), number: trial.number, completed });
            }
            true
        });
        verdicts
    }
}

/// A vote is no longer on its way than this, but where the way or its end stood still.
const ON_ITS_WAY: Micros = SECOND;

impl Cast {
    /// Whether a vote is an older one of the same life: it knows of the order for a shorter time than the last one,
    /// and for longer than a life that began after the last one was sent.
    fn is_after(&self, vote: &Vote, now: Micros) -> bool {
        vote.order_age < self.vote.order_age && vote.order_age > now - self.at + ON_ITS_WAY
    }

    fn stands(&self, settings: &VerdictSettings, now: Micros) -> bool {
        now - self.at <= settings.vote_lifetime
    }
}

impl Trial {
    fn new(now: Micros, number: u32) -> Trial {
        Trial {
            number,
            heard: now,
            foyers: BTreeMap::new(),
            joints: BTreeMap::new(),
            clear_since: None,
            told: None,
        }
    }

    fn cast(&mut self, settings: &VerdictSettings, now: Micros, foyer: NodeAddress, vote: Vote) {
        self.heard = now;
        if self.foyers.len() >= MAX_FOYERS && !self.foyers.contains_key(&foyer) {
            return;
        }
        // What the last one told would be counted once more with the next.
        let late = |last: &Cast| last.stands(settings, now) && last.is_after(&vote, now);
        if self.foyers.get(&foyer).is_some_and(late) {
            return;
        }
        let last = self.foyers.remove(&foyer);
        let steady = last.as_ref().filter(|last| last.stands(settings, now));
        let back_since = match vote.choice {
            VoteChoice::RollBack => Some(steady.and_then(|last| last.back_since).unwrap_or(now)),
            VoteChoice::Promote | VoteChoice::Abstain => None,
        };
        let fed = last.map(|last| last.fed).unwrap_or_default();
        self.foyers.insert(foyer, Cast { at: now, vote, back_since, fed });
        self.joined(settings, foyer);
    }

    /// Feeds the joint statistics with what a foyer's last vote told beyond what they have. What comes before a
    /// base rate is known waits for it: a leader that starts anew hears of all foyers one by one.
    fn joined(&mut self, settings: &VerdictSettings, foyer: NodeAddress) {
        let Some(cast) = self.foyers.get(&foyer) else { return };
        let whole = std::iter::once((None, cast.vote.whole()));
        let routes = cast.vote.routes.iter().map(|tally| (Some(tally.route), *tally));
        let news: Vec<(Option<u32>, RouteTally, (u32, u32))> = whole
            .chain(routes)
            .map(|(route, tally)| (route, tally, cast.fed.get(&route).copied().unwrap_or_default()))
            .collect();
        for (route, tally, before) in news {
            let told = (tally.trial_outcomes, tally.trial_failures);
            // Fewer than before: the foyer began a new life.
            let (Some(trial), Some(failed)) = (told.0.checked_sub(before.0), told.1.checked_sub(before.1))
            else {
                self.fed(foyer, route, told);
                continue;
            };
            if trial == 0 || self.joints.len() > MAX_ROUTES && !self.joints.contains_key(&route) {
                continue;
            }
            let Some(rate) = self.base_rate(settings, route) else { continue };
            let joint = self.joints.entry(route).or_default();
            joint.add(settings, foyer, rate, trial.into(), failed.min(trial).into());
            self.fed(foyer, route, told);
        }
    }

    fn fed(&mut self, foyer: NodeAddress, route: Option<u32>, told: (u32, u32)) {
        let Some(cast) = self.foyers.get_mut(&foyer) else { return };
        if cast.fed.len() <= MAX_ROUTES || cast.fed.contains_key(&route) {
            cast.fed.insert(route, told);
        }
    }

    /// The failure rate of the version in service on a route, or on all where the route has too few outcomes.
    fn base_rate(&self, settings: &VerdictSettings, route: Option<u32>) -> Option<f64> {
        let sums = |route: Option<u32>| {
            let tallies = self.foyers.values().filter_map(|cast| cast.vote.tally(route));
            tallies.fold((0u64, 0u64), |sum, t| {
                (sum.0 + u64::from(t.base_outcomes), sum.1 + u64::from(t.base_failures))
            })
        };
        let enough = |sum: &(u64, u64)| sum.0 >= settings.min_base_outcomes;
        let (base, failed) = Some(sums(route)).filter(enough).or_else(|| Some(sums(None)).filter(enough))?;
        Some(
            (failed as f64 / base as f64)
                .clamp(settings.base_failure_rate_range.0, settings.base_failure_rate_range.1),
        )
    }

    fn standing(&self, settings: &VerdictSettings, now: Micros) -> Standing {
        let mut sum = Standing::default();
        for cast in self.foyers.values() {
            let vote = &cast.vote;
            sum.age = sum.age.max(vote.order_age.saturating_add(now - cast.at));
            sum.trial += u64::from(vote.trial_outcomes);
            sum.failed += u64::from(vote.trial_failures);
            sum.base += u64::from(vote.base_outcomes);
            sum.base_failed += u64::from(vote.base_failures);
            if !cast.stands(settings, now) {
                continue;
            }
            match vote.choice {
                VoteChoice::Abstain => {}
                VoteChoice::Promote => sum.ons += 1,
                VoteChoice::RollBack => sum.backs += 1,
            }
            if vote.choice == VoteChoice::RollBack || vote.trial_outcomes >= settings.min_evidence_outcomes {
                sum.with_evidence += 1;
            }
            sum.lone = sum.lone.max(cast.back_since.map_or(0, |since| now - since));
        }
        sum
    }

    /// The most that foyers without a standing back vote add to any joint statistic.
    fn backing(&self, settings: &VerdictSettings, now: Micros) -> f64 {
        let back = |place: &NodeAddress| {
            self.foyers.get(place).is_some_and(|cast| cast.back_since.is_some() && cast.stands(settings, now))
        };
        let others = |joint: &Joint| joint.parts.iter().filter(|part| !back(part.0)).map(|part| part.1).sum();
        self.joints.values().map(others).fold(0.0, f64::max)
    }

    /// Whether the trial ends now, and how.
    fn verdict(
        &mut self, settings: &VerdictSettings, now: Micros, rollout: &Rollout, foyers_up: usize,
    ) -> Option<bool> {
        let sum = self.standing(settings, now);
        let alarms = self.joints.values().filter(|joint| joint.trial >= settings.min_joint_outcomes);
        let alarm = alarms.map(|joint| joint.height).fold(0.0, f64::max);
        if goes_back(settings, &sum, alarm, self.backing(settings, now), foyers_up) {
            return Some(false);
        }
        let height = self.joints.values().map(|joint| joint.height).fold(0.0, f64::max);
        let whole = self.joints.values().map(|joint| joint.sum).fold(f64::NEG_INFINITY, f64::max);
        let doubt = sum.backs > 0 || height >= settings.joint_doubt_threshold_nats || whole > 0.0;
        self.clear_since = if doubt { None } else { Some(self.clear_since.unwrap_or(now)) };
        let part = sum.age.max(now - rollout.state_since) as f64 / rollout.period.max(MS) as f64;
        if part >= settings.final_decision_fraction
            && (sum.backs > 0
                || height >= settings.joint_final_threshold_nats
                || whole >= settings.joint_doubt_threshold_nats)
        {
            // What was not cleared by its term goes back: once it is completed the old instances stop for
            // good.
            return Some(false);
        }
        // Nothing weighs its failures against the version in service, or they are few: a tenth is too much.
        let unweighed = sum.base < settings.min_base_outcomes || sum.trial < settings.min_trial_outcomes;
        if part >= settings.final_decision_fraction
            && unweighed
            && sum.failed > 0
            && sum.failed * 10 >= sum.trial
        {
            return Some(false);
        }
        let clear = self.clear_since.is_some_and(|since| now - since >= settings.clear_duration);
        let enough = if part >= settings.final_decision_fraction {
            // A version that next to nobody has tried is not cleared by its term alone: it waits for requests.
            let tried =
                sum.trial >= settings.min_joint_outcomes || part >= settings.untried_completion_periods;
            tried && sum.ons > 0 && sum.ons * 2 >= foyers_up
        } else {
            part >= settings.early_completion_fraction
                && sum.trial >= settings.min_trial_outcomes
                && sum.ons * 2 > foyers_up
        };
        (clear && enough).then_some(true)
    }
}

fn goes_back(settings: &VerdictSettings, sum: &Standing, joint: f64, backing: f64, foyers_up: usize) -> bool {
    let share = (settings.roll_back_share * sum.with_evidence as f64).ceil() as usize;
    let needed = if foyers_up < settings.few_gateways { 1 } else { share.max(settings.min_roll_back_votes) };
    if sum.backs >= needed || joint >= settings.joint_alarm_threshold_nats {
        return true;
    }
    let unweighed = sum.base < settings.min_base_outcomes && sum.lone >= settings.lone_roll_back_duration;
    if sum.backs > 0 && (backing >= settings.joint_backing_threshold_nats || unweighed) {
        return true;
    }
    let rate = |failed: u64, all: u64| failed as f64 / all.max(1) as f64;
    // Half as much again, and a twentieth more: three standard deviations of a hundred outcomes or so.
    sum.failed >= settings.prompt_roll_back_failures
        && sum.base >= settings.min_base_outcomes
        && rate(sum.failed, sum.trial) >= 1.5 * rate(sum.base_failed, sum.base) + 0.05
}

impl Joint {
    /// The design's step for each outcome, against a rate of failures three times the base's.
    fn add(&mut self, settings: &VerdictSettings, foyer: NodeAddress, p0: f64, trial: u64, failed: u64) {
        let p1 = (3.0 * p0).min((1.0 + p0) / 2.0);
        let up = (p1 / p0).ln() * failed as f64;
        let down = ((1.0 - p1) / (1.0 - p0)).ln() * (trial - failed) as f64;
        let part = self.parts.entry(foyer).or_default();
        let step = (up + down).min(settings.joint_gateway_cap_nats - *part);
        *part += step;
        self.height += step;
        self.sum += step;
        self.trial += trial;
        if self.height <= 0.0 {
            self.height = 0.0;
            self.parts.clear();
        }
    }
}

impl Vote {
    fn whole(&self) -> RouteTally {
        let Vote {
            trial_outcomes: trial,
            trial_failures: failed,
            base_outcomes: base,
            base_failures: base_failed,
            ..
        } = *self;
        RouteTally {
            route: 0,
            trial_outcomes: trial,
            trial_failures: failed,
            base_outcomes: base,
            base_failures: base_failed,
        }
    }

    fn tally(&self, route: Option<u32>) -> Option<RouteTally> {
        match route {
            None => Some(self.whole()),
            Some(route) => self.routes.iter().find(|tally| tally.route == route).copied(),
        }
    }
}
