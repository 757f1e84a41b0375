//! Verdicts on trials, reached from the gateways' votes: the control plane's part of the design after Bayraktar and
//! Lai. Each gateway is a sensor with its own CUSUM statistic and sends its alarm as a standing vote to roll back; the
//! number of standing votes raises the final alarm.
//!
//! Gateways also report the outcomes that they saw. Where each gateway sees too little for an alarm of its own, the
//! same statistic runs here on what all of them saw together. All of this is soft state: a new leader has it again
//! within the lifetime of a vote.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{MS, Micros, NodeAddress, SECOND};

use crate::{Command, ControlState, Rollout};

// Limits on what is kept: several times the largest deployment, so that wrong numbers or addresses cannot fill the
// memory.

/// Trials, one per service.
const MAX_TRIALS: usize = 256;
/// Gateways of one trial.
const MAX_GATEWAYS: usize = 1024;
/// Routes of one vote.
const MAX_ROUTES: usize = 32;

/// What a gateway votes for. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteChoice {
    /// No choice yet: too early, or too few outcomes seen. Only the reported outcomes count.
    Abstain,
    /// Nothing speaks against the version on trial.
    Promote,
    /// The gateway's own statistic is at or above its alarm threshold.
    RollBack,
}

/// Outcomes that one gateway judged on one route since the roll-out order. Counters never decrease while the gateway
/// runs. Encoded by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Identifies the route alike at all gateways, such as a hash of its name.
    pub route: u32,
    /// Outcomes of the version on trial.
    pub trial_outcomes: u32,
    /// Failures among `trial_outcomes`.
    pub trial_failures: u32,
    /// Outcomes of the version in service.
    pub base_outcomes: u32,
    /// Failures among `base_outcomes`.
    pub base_failures: u32,
}

/// Sent about once a second by each gateway for each trial that it knows. Encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub service: String,
    /// Build number of the trial.
    pub build_number: u32,
    pub choice: VoteChoice,
    /// Outcomes of the version on trial that this gateway judged since the order.
    pub trial_outcomes: u32,
    /// Failures among `trial_outcomes`.
    pub trial_failures: u32,
    /// Outcomes of the version in service that this gateway judged since the order.
    pub base_outcomes: u32,
    /// Failures among `base_outcomes`.
    pub base_failures: u32,
    /// How long this gateway has known of the order; never longer than the order exists. After a restart of all
    /// control nodes, they learn from it how much of the period is over.
    pub order_age: Micros,
    /// The same outcomes by route, where there are enough of them to be worth their bytes; may be empty.
    pub routes: Vec<RouteTally>,
}

/// Thresholds for verdicts. `docs/configuration-system.md` says where they come from; none was fitted to a deployment.
///
/// Heights of a statistic are sums of log-likelihood ratios, in nats.
#[derive(Clone, Debug)]
pub struct VerdictSettings {
    /// How long a vote counts: three of its renewals, so that one lost datagram does not remove it.
    pub vote_lifetime: Micros,
    /// A verdict that is not in the log yet is proposed again after this.
    pub verdict_repeat_interval: Micros,
    /// With fewer gateways up than this, a single vote to roll back is enough: there may be no second gateway that
    /// sees the version.
    pub few_gateways: usize,
    /// Otherwise at least this many votes to roll back are needed, as in the paper: a gateway with a fault of its own
    /// raises nothing alone.
    pub min_roll_back_votes: usize,
    /// And this share of the gateways that have evidence. It is low, because alarms about a bad version come one after
    /// the other while it keeps giving bad answers, and rolling back a good version costs far less than keeping a bad
    /// one.
    pub roll_back_share: f64,
    /// Trial outcomes from which on a gateway has evidence: as many as its own statistic requires.
    pub min_evidence_outcomes: u32,
    /// A single vote to roll back that has stood this long without a gap is enough too, if the gateways report too
    /// little of the version in service to compare with. Chance alarms go away with the next few good answers, and the
    /// acceptance rules leave 5 s after the 50th bad answer for everything.
    pub lone_roll_back_duration: Micros,
    /// Fraction of the period before which no trial completes: versions may turn bad late, or only under load.
    pub early_completion_fraction: f64,
    /// Fraction of the period from which on the votes of half of the gateways are enough to complete, and doubt rolls
    /// the version back.
    pub final_decision_fraction: f64,
    /// Number of periods after which a trial completes that has had fewer than `min_joint_outcomes` outcomes: an idle
    /// service is not held up for ever, and one with so few requests gives few bad answers before a new order.
    pub untried_completion_periods: f64,
    /// Trial outcomes over all gateways without which no trial completes before `final_decision_fraction`.
    pub min_trial_outcomes: u64,
    /// Lowest and highest failure rate that the version in service is assumed to have: a few late answers of few
    /// instances are no fault, and above a half a worse rate cannot be told apart.
    pub base_failure_rate_range: (f64, f64),
    /// Outcomes of the version in service without which the joint statistics are not computed.
    pub min_base_outcomes: u64,
    /// Joint trial outcomes without which a joint statistic raises no alarm.
    pub min_joint_outcomes: u64,
    /// Height at which a joint statistic is an alarm by itself. It is above the 6 nats of a single gateway, since
    /// there is one statistic for each route and one for the whole service, and what they see is not independent.
    pub joint_alarm_threshold_nats: f64,
    /// The most that one gateway contributes to a joint statistic: half of the alarm threshold, so that the fault of
    /// one gateway does not raise the alarm alone.
    pub joint_gateway_cap_nats: f64,
    /// Contribution of gateways that do not vote to roll back which confirms a single vote that does: half of a
    /// gateway's own threshold.
    pub joint_backing_threshold_nats: f64,
    /// Height that rolls the version back from `final_decision_fraction` on: a single gateway's own threshold.
    pub joint_final_threshold_nats: f64,
    /// Height that prevents completion: three failures in a row. So does a trial that as a whole speaks for the worse
    /// rate at all, since a route with a dozen outcomes cannot show more. Waiting costs little.
    pub joint_doubt_threshold_nats: f64,
    /// For this long nothing may have prevented completion, which is one vote of every gateway: with few outcomes, the
    /// statistic of a bad version is low for a moment, and a wrong completion cannot be undone.
    pub clear_duration: Micros,
    /// Failures from which on a version that is clearly worse is rolled back without an alarm. It is below the 50 bad
    /// answers after which the acceptance rules allow 5 s.
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

/// A CUSUM over the outcomes that all gateways report for one route, or for the service as a whole.
#[derive(Clone, Debug, Default)]
struct JointStatistic {
    /// In nats, never below 0.
    height: f64,
    /// The same without the floor at 0: above 0, the whole of the trial speaks for the worse rate.
    unfloored_sum: f64,
    trial_outcomes: u64,
    /// What each gateway contributed since `height` was last 0, in nats.
    contributions: BTreeMap<NodeAddress, f64>,
}

/// Trial outcomes and the failures among them.
#[derive(Clone, Copy, Debug, Default)]
struct CountedOutcomes {
    outcomes: u32,
    failures: u32,
}

/// The last vote of one gateway.
#[derive(Clone, Debug)]
struct GatewayRecord {
    received_at: Micros,
    vote: Vote,
    /// Since when the gateway has voted to roll back without a gap.
    roll_back_since: Option<Micros>,
    /// By route, what the joint statistics already contain; `None` is the service as a whole.
    counted: BTreeMap<Option<u32>, CountedOutcomes>,
}

/// The votes and statistics of one trial.
#[derive(Clone, Debug)]
struct Trial {
    build_number: u32,
    /// When the last vote was received.
    last_vote_at: Micros,
    /// Kept after the vote has expired, so that the outcomes that it reported are not counted twice.
    gateways: BTreeMap<NodeAddress, GatewayRecord>,
    /// By route; `None` is the service as a whole.
    joint_statistics: BTreeMap<Option<u32>, JointStatistic>,
    /// Since when nothing prevents completion.
    clear_since: Option<Micros>,
    /// When the last verdict was proposed.
    verdict_proposed_at: Option<Micros>,
}

/// The standing votes on one trial and the outcomes that gateways reported last, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VoteSummary {
    pub promote_votes: usize,
    pub roll_back_votes: usize,
    /// Outcomes of the version on trial.
    pub trial_outcomes: u64,
    /// Failures among `trial_outcomes`.
    pub trial_failures: u64,
    /// Outcomes of the version in service.
    pub base_outcomes: u64,
    /// Failures among `base_outcomes`.
    pub base_failures: u64,
}

/// Collects the votes on all trials and decides when a trial ends.
#[derive(Clone, Debug)]
pub struct VerdictTally {
    settings: VerdictSettings,
    /// By service.
    trials: BTreeMap<String, Trial>,
}

/// What the votes on one trial add up to at a moment.
#[derive(Clone, Copy, Debug, Default)]
struct TrialTotals {
    promote_votes: usize,
    roll_back_votes: usize,
    gateways_with_evidence: usize,
    /// The longest time for which one gateway has voted to roll back without a gap.
    longest_roll_back: Micros,
    /// The longest time for which a gateway has known of the order.
    order_age: Micros,
    trial_outcomes: u64,
    trial_failures: u64,
    base_outcomes: u64,
    base_failures: u64,
}

impl VerdictTally {
    pub fn new(settings: VerdictSettings) -> VerdictTally {
        VerdictTally { settings, trials: BTreeMap::new() }
    }

    /// Records a gateway's vote. One on an older trial than the newest known is dropped. One on a newer trial starts
    /// that trial here, whether or not its order has been applied here yet.
    pub fn record(&mut self, now: Micros, gateway: NodeAddress, mut vote: Vote) {
        vote.routes.truncate(MAX_ROUTES);
        match self.trials.get(&vote.service) {
            Some(trial) if trial.build_number > vote.build_number => return,
            Some(trial) if trial.build_number == vote.build_number => {}
            None if self.trials.len() >= MAX_TRIALS => return,
            _ => drop(self.trials.insert(vote.service.clone(), Trial::new(now, vote.build_number))),
        }
        if let Some(trial) = self.trials.get_mut(&vote.service) {
            trial.record(&self.settings, now, gateway, vote);
        }
    }

    /// The votes on a service's trial that stand at `now`, as received here; `None` if nobody has voted.
    pub fn summary(&self, now: Micros, service: &str) -> Option<VoteSummary> {
        let totals = self.trials.get(service)?.totals(&self.settings, now);
        Some(VoteSummary {
            promote_votes: totals.promote_votes,
            roll_back_votes: totals.roll_back_votes,
            trial_outcomes: totals.trial_outcomes,
            trial_failures: totals.trial_failures,
            base_outcomes: totals.base_outcomes,
            base_failures: totals.base_failures,
        })
    }

    /// The verdicts that the standing votes call for, to be written to the log by the leader. `gateways_up` is the
    /// number of gateways that are up by the membership list.
    pub fn verdicts(&mut self, now: Micros, state: &ControlState, gateways_up: usize) -> Vec<Command> {
        let settings = &self.settings;
        let mut verdicts = Vec::new();
        self.trials.retain(|service, trial| {
            let known_rollout =
                state.rollouts.get(service).filter(|rollout| rollout.build_number >= trial.build_number);
            let Some(rollout) = known_rollout else {
                // Votes may be ahead of the log here. They are dropped if their order does not follow.
                return now - trial.last_vote_at <= 10 * settings.vote_lifetime;
            };
            if rollout.build_number > trial.build_number || !rollout.is_in_progress() {
                return false;
            }
            let proposed_recently =
                trial.verdict_proposed_at.is_some_and(|at| now - at < settings.verdict_repeat_interval);
            let verdict = trial.verdict(settings, now, rollout, gateways_up);
            if let Some(completed) = verdict.filter(|_| !proposed_recently) {
                trial.verdict_proposed_at = Some(now);
                let number = trial.build_number;
                verdicts.push(Command::Verdict { service: service.clone(), number, completed });
            }
            true
        });
        verdicts
    }
}

/// The longest that a vote is on its way, unless the network or one of the nodes stalls.
const MAX_VOTE_DELAY: Micros = SECOND;

impl GatewayRecord {
    /// Whether `vote`, received at `now`, was sent before the recorded one by the same run of the gateway. It knows of
    /// the order for a shorter time than the recorded one, and for longer than a run that began after the recorded one
    /// was sent.
    fn is_newer_than(&self, vote: &Vote, now: Micros) -> bool {
        vote.order_age < self.vote.order_age && vote.order_age > now - self.received_at + MAX_VOTE_DELAY
    }

    /// Whether the vote has not expired.
    fn is_standing(&self, settings: &VerdictSettings, now: Micros) -> bool {
        now - self.received_at <= settings.vote_lifetime
    }
}

impl Trial {
    fn new(now: Micros, build_number: u32) -> Trial {
        Trial {
            build_number,
            last_vote_at: now,
            gateways: BTreeMap::new(),
            joint_statistics: BTreeMap::new(),
            clear_since: None,
            verdict_proposed_at: None,
        }
    }

    /// Records a gateway's vote, unless it is older than the recorded one.
    fn record(&mut self, settings: &VerdictSettings, now: Micros, gateway: NodeAddress, vote: Vote) {
        self.last_vote_at = now;
        if self.gateways.len() >= MAX_GATEWAYS && !self.gateways.contains_key(&gateway) {
            return;
        }
        // After an outdated vote, the outcomes of the recorded one would be counted again with the next.
        let is_outdated =
            |last: &GatewayRecord| last.is_standing(settings, now) && last.is_newer_than(&vote, now);
        if self.gateways.get(&gateway).is_some_and(is_outdated) {
            return;
        }
        let last = self.gateways.remove(&gateway);
        let standing = last.as_ref().filter(|last| last.is_standing(settings, now));
        let roll_back_since = match vote.choice {
            VoteChoice::RollBack => Some(standing.and_then(|last| last.roll_back_since).unwrap_or(now)),
            VoteChoice::Promote | VoteChoice::Abstain => None,
        };
        let counted = last.map(|last| last.counted).unwrap_or_default();
        self.gateways.insert(gateway, GatewayRecord { received_at: now, vote, roll_back_since, counted });
        self.update_joint_statistics(settings, gateway);
    }

    /// Adds the outcomes of a gateway's last vote that the joint statistics do not contain yet. Outcomes that arrive
    /// before the base failure rate is known wait for it: a leader that starts anew hears from the gateways one by one.
    fn update_joint_statistics(&mut self, settings: &VerdictSettings, gateway: NodeAddress) {
        let Some(record) = self.gateways.get(&gateway) else { return };
        let whole_service = std::iter::once((None, record.vote.whole_service()));
        let by_route = record.vote.routes.iter().map(|tally| (Some(tally.route), *tally));
        let updates: Vec<(Option<u32>, RouteTally, CountedOutcomes)> = whole_service
            .chain(by_route)
            .map(|(route, tally)| (route, tally, record.counted.get(&route).copied().unwrap_or_default()))
            .collect();
        for (route, tally, before) in updates {
            let reported = CountedOutcomes { outcomes: tally.trial_outcomes, failures: tally.trial_failures };
            // Fewer than before: the gateway was restarted.
            let (Some(outcomes), Some(failures)) = (
                reported.outcomes.checked_sub(before.outcomes),
                reported.failures.checked_sub(before.failures),
            ) else {
                self.mark_counted(gateway, route, reported);
                continue;
            };
            let is_full = self.joint_statistics.len() > MAX_ROUTES;
            if outcomes == 0 || is_full && !self.joint_statistics.contains_key(&route) {
                continue;
            }
            let Some(base_rate) = self.base_failure_rate(settings, route) else { continue };
            let statistic = self.joint_statistics.entry(route).or_default();
            statistic.add(settings, gateway, base_rate, outcomes.into(), failures.min(outcomes).into());
            self.mark_counted(gateway, route, reported);
        }
    }

    /// Notes that the joint statistics contain what a gateway reported for a route.
    fn mark_counted(&mut self, gateway: NodeAddress, route: Option<u32>, reported: CountedOutcomes) {
        let Some(record) = self.gateways.get_mut(&gateway) else { return };
        if record.counted.len() <= MAX_ROUTES || record.counted.contains_key(&route) {
            record.counted.insert(route, reported);
        }
    }

    /// The failure rate of the version in service on a route, or of the whole service if the route has too few
    /// outcomes. `None` if the service has too few as well.
    fn base_failure_rate(&self, settings: &VerdictSettings, route: Option<u32>) -> Option<f64> {
        let sums = |route: Option<u32>| {
            let tallies = self.gateways.values().filter_map(|record| record.vote.tally(route));
            tallies.fold((0u64, 0u64), |sum, tally| {
                (sum.0 + u64::from(tally.base_outcomes), sum.1 + u64::from(tally.base_failures))
            })
        };
        let is_enough = |sum: &(u64, u64)| sum.0 >= settings.min_base_outcomes;
        let (outcomes, failures) =
            Some(sums(route)).filter(is_enough).or_else(|| Some(sums(None)).filter(is_enough))?;
        let (lowest, highest) = settings.base_failure_rate_range;
        Some((failures as f64 / outcomes as f64).clamp(lowest, highest))
    }

    /// Adds up the last votes. Outcomes count also from expired votes; choices only from standing ones.
    fn totals(&self, settings: &VerdictSettings, now: Micros) -> TrialTotals {
        let mut totals = TrialTotals::default();
        for record in self.gateways.values() {
            let vote = &record.vote;
            totals.order_age = totals.order_age.max(vote.order_age.saturating_add(now - record.received_at));
            totals.trial_outcomes += u64::from(vote.trial_outcomes);
            totals.trial_failures += u64::from(vote.trial_failures);
            totals.base_outcomes += u64::from(vote.base_outcomes);
            totals.base_failures += u64::from(vote.base_failures);
            if !record.is_standing(settings, now) {
                continue;
            }
            match vote.choice {
                VoteChoice::Abstain => {}
                VoteChoice::Promote => totals.promote_votes += 1,
                VoteChoice::RollBack => totals.roll_back_votes += 1,
            }
            if vote.choice == VoteChoice::RollBack || vote.trial_outcomes >= settings.min_evidence_outcomes {
                totals.gateways_with_evidence += 1;
            }
            let roll_back_for = record.roll_back_since.map_or(0, |since| now - since);
            totals.longest_roll_back = totals.longest_roll_back.max(roll_back_for);
        }
        totals
    }

    /// The most that gateways without a standing vote to roll back contribute to any joint statistic, in nats.
    fn backing_nats(&self, settings: &VerdictSettings, now: Micros) -> f64 {
        let votes_to_roll_back = |gateway: &NodeAddress| {
            self.gateways
                .get(gateway)
                .is_some_and(|record| record.roll_back_since.is_some() && record.is_standing(settings, now))
        };
        let from_others = |statistic: &JointStatistic| {
            let others = statistic.contributions.iter().filter(|(gateway, _)| !votes_to_roll_back(gateway));
            others.map(|(_, nats)| nats).sum()
        };
        self.joint_statistics.values().map(from_others).fold(0.0, f64::max)
    }

    /// The largest height of a joint statistic with enough outcomes for an alarm.
    fn alarm_height(&self, settings: &VerdictSettings) -> f64 {
        let with_enough_outcomes = self
            .joint_statistics
            .values()
            .filter(|statistic| statistic.trial_outcomes >= settings.min_joint_outcomes);
        with_enough_outcomes.map(|statistic| statistic.height).fold(0.0, f64::max)
    }

    /// The largest height of any joint statistic.
    fn max_height(&self) -> f64 {
        self.joint_statistics.values().map(|statistic| statistic.height).fold(0.0, f64::max)
    }

    /// The largest sum without a floor of any joint statistic; minus infinity without statistics.
    fn max_unfloored_sum(&self) -> f64 {
        let sums = self.joint_statistics.values().map(|statistic| statistic.unfloored_sum);
        sums.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Whether the trial ends now, and if so, whether the version on trial is completed (`true`) or rolled back.
    fn verdict(
        &mut self, settings: &VerdictSettings, now: Micros, rollout: &Rollout, gateways_up: usize,
    ) -> Option<bool> {
        let totals = self.totals(settings, now);
        let backing_nats = self.backing_nats(settings, now);
        if must_roll_back(settings, &totals, self.alarm_height(settings), backing_nats, gateways_up) {
            return Some(false);
        }
        self.update_clear_since(settings, now, &totals);
        let elapsed = totals.order_age.max(now - rollout.state_since);
        let period_fraction = elapsed as f64 / rollout.period.max(MS) as f64;
        if period_fraction >= settings.final_decision_fraction && self.is_not_cleared(settings, &totals) {
            // After a completion, the old instances are stopped for good.
            return Some(false);
        }
        let is_clear = self.clear_since.is_some_and(|since| now - since >= settings.clear_duration);
        (is_clear && has_support(settings, &totals, period_fraction, gateways_up)).then_some(true)
    }

    /// Updates since when nothing prevents completion.
    fn update_clear_since(&mut self, settings: &VerdictSettings, now: Micros, totals: &TrialTotals) {
        let in_doubt = totals.roll_back_votes > 0
            || self.max_height() >= settings.joint_doubt_threshold_nats
            || self.max_unfloored_sum() > 0.0;
        self.clear_since = if in_doubt { None } else { Some(self.clear_since.unwrap_or(now)) };
    }

    /// Whether the version must be rolled back at the end of its period, since it was not cleared by then.
    fn is_not_cleared(&self, settings: &VerdictSettings, totals: &TrialTotals) -> bool {
        if totals.roll_back_votes > 0
            || self.max_height() >= settings.joint_final_threshold_nats
            || self.max_unfloored_sum() >= settings.joint_doubt_threshold_nats
        {
            return true;
        }
        // If failures cannot be compared with the version in service, or the outcomes are few, a tenth is too much.
        let no_comparison = totals.base_outcomes < settings.min_base_outcomes
            || totals.trial_outcomes < settings.min_trial_outcomes;
        no_comparison && totals.trial_failures > 0 && totals.trial_failures * 10 >= totals.trial_outcomes
    }
}

/// Whether enough gateways vote to promote the version, by what is over of its period.
fn has_support(
    settings: &VerdictSettings, totals: &TrialTotals, period_fraction: f64, gateways_up: usize,
) -> bool {
    if period_fraction >= settings.final_decision_fraction {
        // The end of the period alone does not clear a version that has had next to no requests; it waits for them.
        let is_tried = totals.trial_outcomes >= settings.min_joint_outcomes
            || period_fraction >= settings.untried_completion_periods;
        is_tried && totals.promote_votes > 0 && totals.promote_votes * 2 >= gateways_up
    } else {
        period_fraction >= settings.early_completion_fraction
            && totals.trial_outcomes >= settings.min_trial_outcomes
            && totals.promote_votes * 2 > gateways_up
    }
}

/// Whether the votes and statistics call for a roll-back, however much of the period is over.
fn must_roll_back(
    settings: &VerdictSettings, totals: &TrialTotals, alarm_height: f64, backing_nats: f64,
    gateways_up: usize,
) -> bool {
    let share = (settings.roll_back_share * totals.gateways_with_evidence as f64).ceil() as usize;
    let votes_needed =
        if gateways_up < settings.few_gateways { 1 } else { share.max(settings.min_roll_back_votes) };
    if totals.roll_back_votes >= votes_needed || alarm_height >= settings.joint_alarm_threshold_nats {
        return true;
    }
    let stands_without_comparison = totals.base_outcomes < settings.min_base_outcomes
        && totals.longest_roll_back >= settings.lone_roll_back_duration;
    let is_confirmed = backing_nats >= settings.joint_backing_threshold_nats || stands_without_comparison;
    if totals.roll_back_votes > 0 && is_confirmed {
        return true;
    }
    let rate = |failures: u64, outcomes: u64| failures as f64 / outcomes.max(1) as f64;
    // Half as much again, and a twentieth more: about three standard deviations of a hundred outcomes.
    totals.trial_failures >= settings.prompt_roll_back_failures
        && totals.base_outcomes >= settings.min_base_outcomes
        && rate(totals.trial_failures, totals.trial_outcomes)
            >= 1.5 * rate(totals.base_failures, totals.base_outcomes) + 0.05
}

impl JointStatistic {
    /// Adds one gateway's outcomes: for each the log-likelihood ratio of three times the base's failure rate against
    /// the base's failure rate itself.
    fn add(
        &mut self, settings: &VerdictSettings, gateway: NodeAddress, base_rate: f64, outcomes: u64,
        failures: u64,
    ) {
        let worse_rate = (3.0 * base_rate).min((1.0 + base_rate) / 2.0);
        let up = (worse_rate / base_rate).ln() * failures as f64;
        let down = ((1.0 - worse_rate) / (1.0 - base_rate)).ln() * (outcomes - failures) as f64;
        let contribution = self.contributions.entry(gateway).or_default();
        let step = (up + down).min(settings.joint_gateway_cap_nats - *contribution);
        *contribution += step;
        self.height += step;
        self.unfloored_sum += step;
        self.trial_outcomes += outcomes;
        if self.height <= 0.0 {
            self.height = 0.0;
            self.contributions.clear();
        }
    }
}

impl Vote {
    /// The outcomes of the service as a whole, as a tally.
    fn whole_service(&self) -> RouteTally {
        RouteTally {
            route: 0,
            trial_outcomes: self.trial_outcomes,
            trial_failures: self.trial_failures,
            base_outcomes: self.base_outcomes,
            base_failures: self.base_failures,
        }
    }

    /// The tally of a route, or of the service as a whole.
    fn tally(&self, route: Option<u32>) -> Option<RouteTally> {
        match route {
            None => Some(self.whole_service()),
            Some(route) => self.routes.iter().find(|tally| tally.route == route).copied(),
        }
    }
}
