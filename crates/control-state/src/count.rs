//! Count (of votes): the control plane's part of the design after Bayraktar and Lai. Each foyer is a sensor
//! with its own CUSUM and sends its alarm as a standing vote back; the count of those that stand raises the
//! final alarm. Foyers also tell what they saw, so that where each sees too little for an alarm of its own,
//! the same statistic runs here on what all saw together. Soft state: a new leader has it again within a
//! vote's life.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{MS, Micros, NodeAddress, SECOND};

use crate::{Command, Rollout, Script};

/// Trials, foyers of a trial and routes of a vote that are kept: several times the largest deployment, so
/// that wrong numbers or addresses can't fill the memory.
const MAX_TRIALS: usize = 256;
const MAX_FOYERS: usize = 1024;
const MAX_ROUTES: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Voice {
    /// Neither yet: too early, or too little seen. Only what it tells counts.
    Wait,
    /// Nothing against the version on trial.
    On,
    /// The foyer's own statistic stands at or over its height.
    Back,
}

/// What one foyer judged on one route since the order; numbers only rise within a life of the foyer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Names the route alike at all foyers, such as a hash of its name.
    pub route: u32,
    pub trial: u32,
    pub failed: u32,
    /// Outcomes of the version in service, and how many of them failed.
    pub base: u32,
    pub base_failed: u32,
}

/// Sent about once a second by each foyer for each trial that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    pub service: String,
    /// The trial's build number.
    pub number: u32,
    pub voice: Voice,
    /// Outcomes of the version on trial that this foyer judged since the order, and how many of them failed.
    pub trial: u32,
    pub failed: u32,
    /// As much of the version in service.
    pub base: u32,
    pub base_failed: u32,
    /// For how long this foyer has known of the order: never longer than it stands. A core that was restarted
    /// as a whole learns from it how much of the period is over.
    pub age: Micros,
    /// The same by route, where outcomes are many enough to be worth their bytes; may be empty.
    pub routes: Vec<Tally>,
}

/// Where the bounds come from stands in `docs/configuration-system.md`; none was fitted to a deployment.
#[derive(Clone, Debug)]
pub struct CountSettings {
    /// A vote stands for so long: three of its renewals, so that one lost datagram takes none down.
    pub vote_life: Micros,
    /// A verdict that is not ordered yet is told again after so long.
    pub again_after: Micros,
    /// Under so many foyers up, a single back vote is enough: there may be no second one that sees the
    /// version.
    pub few_foyers: usize,
    /// Otherwise so many at least, as in the paper: one foyer with trouble of its own raises nothing alone.
    pub least_backs: usize,
    /// And this share of the foyers that have evidence. Low, because alarms of a bad version come one after
    /// the other while its bad answers run, and a good version sent back costs far less than a bad one kept.
    pub back_share: f64,
    /// Outcomes on trial from which on a foyer has evidence: those that its own statistic asks for.
    pub evidence: u32,
    /// One back vote that has stood for so long without a gap is enough too, where foyers tell nothing of the
    /// version in service to weigh it by: alarms by chance fall again with the next few good answers, and the
    /// rules leave 5 s after the 50th bad answer for everything.
    pub lone_stands: Micros,
    /// Part of the period before which nothing completes: versions may turn bad late, or under load only.
    pub complete_from: f64,
    /// Part of the period from which on half of the foyers is enough, and doubt sends the version back.
    pub complete_by: f64,
    /// Periods after which a version completes that has had fewer than `joint_least` requests: an idle service is
    /// not held for ever, and what had so few by then gets few bad answers before a new order.
    pub unseen_by: f64,
    /// Outcomes on trial, over all foyers, without which nothing completes before `complete_by`.
    pub seen: u64,
    /// Failure rates of the version in service as they are taken: a few late answers of few instances are no
    /// fault, and a rate over a half can't be told from a worse one.
    pub base_rate: (f64, f64),
    /// Outcomes of the version in service without which the joint statistics stay silent.
    pub base_least: u64,
    /// Joint outcomes on trial without which a joint statistic is no alarm.
    pub joint_least: u64,
    /// Height of a joint statistic that is an alarm by itself. Over the 6 of a single foyer: there is one for
    /// each route and the whole, and what they see is not independent.
    pub joint_height: f64,
    /// At most so much of a joint statistic is one foyer's: half, so that no foyer's own trouble raises it
    /// alone.
    pub joint_part: f64,
    /// As much from foyers that do not vote back backs up a single back vote: half of a foyer's height.
    pub joint_backing: f64,
    /// A single foyer's height: here it sends the version back at `complete_by`.
    pub joint_guilt: f64,
    /// Height that stands in the way of completion: three failures in a row. So does a whole trial that
    /// speaks for the worse rate at all, as a route with a dozen outcomes has no more to say. Waiting costs
    /// little.
    pub joint_doubt: f64,
    /// Nothing may have stood in the way for so long, one vote of every foyer: with few outcomes, a statistic
    /// of a bad version is low for a moment, and a wrong completion can't be undone.
    pub clear_for: Micros,
    /// Bad answers that may come before the clock of 5 s runs: at this many, a version that is clearly worse
    /// goes back without waiting for a height.
    pub spent: u64,
}

impl Default for CountSettings {
    fn default() -> CountSettings {
        CountSettings {
            vote_life: 3 * SECOND,
            again_after: SECOND,
            few_foyers: 4,
            least_backs: 2,
            back_share: 0.25,
            evidence: 10,
            lone_stands: 2 * SECOND,
            complete_from: 0.75,
            complete_by: 0.93,
            unseen_by: 4.0,
            seen: 30,
            base_rate: (0.05, 0.5),
            base_least: 30,
            joint_least: 10,
            joint_height: 10.0,
            joint_part: 5.0,
            joint_backing: 3.0,
            joint_guilt: 6.0,
            joint_doubt: 3.0,
            clear_for: SECOND,
            spent: 35,
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
pub struct Votes {
    pub ons: usize,
    pub backs: usize,
    /// Outcomes of the version on trial, and those of them that failed.
    pub trial: u64,
    pub failed: u64,
    /// Of the version in service.
    pub base: u64,
    pub base_failed: u64,
}

/// Votes of all trials.
#[derive(Clone, Debug)]
pub struct Count {
    settings: CountSettings,
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

impl Count {
    pub fn new(settings: CountSettings) -> Count {
        Count { settings, trials: BTreeMap::new() }
    }

    /// Takes a foyer's vote. One of an older trial than the newest heard of is dropped; its order is known
    /// here or will be, whatever is counted meanwhile.
    pub fn cast(&mut self, now: Micros, foyer: NodeAddress, mut vote: Vote) {
        vote.routes.truncate(MAX_ROUTES);
        match self.trials.get(&vote.service) {
            Some(trial) if trial.number > vote.number => return,
            Some(trial) if trial.number == vote.number => {}
            None if self.trials.len() >= MAX_TRIALS => return,
            _ => drop(self.trials.insert(vote.service.clone(), Trial::new(now, vote.number))),
        }
        if let Some(trial) = self.trials.get_mut(&vote.service) {
            trial.cast(&self.settings, now, foyer, vote);
        }
    }

    /// What stands at `now` on a service's trial, as it was heard here; `None` where nobody has voted.
    pub fn votes(&self, now: Micros, service: &str) -> Option<Votes> {
        let sum = self.trials.get(service)?.standing(&self.settings, now);
        let Standing { ons, backs, trial, failed, base, base_failed, .. } = sum;
        Some(Votes { ons, backs, trial, failed, base, base_failed })
    }

    /// The ends of trials that the votes that stand now call for, to be ordered by the leader. `foyers_up`
    /// are those that the members list has as up.
    pub fn verdicts(&mut self, now: Micros, script: &Script, foyers_up: usize) -> Vec<Command> {
        let settings = &self.settings;
        let mut verdicts = Vec::new();
        self.trials.retain(|service, trial| {
            let Some(rollout) = script.rollouts.get(service).filter(|r| r.number >= trial.number) else {
                // Votes may be ahead of the log here; if nothing comes of them, they go.
                return now - trial.heard <= 10 * settings.vote_life;
            };
            if rollout.number > trial.number || !rollout.in_progress() {
                return false;
            }
            let told = trial.told.is_some_and(|at| now - at < settings.again_after);
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
        vote.age < self.vote.age && vote.age > now - self.at + ON_ITS_WAY
    }

    fn stands(&self, settings: &CountSettings, now: Micros) -> bool {
        now - self.at <= settings.vote_life
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

    fn cast(&mut self, settings: &CountSettings, now: Micros, foyer: NodeAddress, vote: Vote) {
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
        let back_since = match vote.voice {
            Voice::Back => Some(steady.and_then(|last| last.back_since).unwrap_or(now)),
            Voice::On | Voice::Wait => None,
        };
        let fed = last.map(|last| last.fed).unwrap_or_default();
        self.foyers.insert(foyer, Cast { at: now, vote, back_since, fed });
        self.joined(settings, foyer);
    }

    /// Feeds the joint statistics with what a foyer's last vote told beyond what they have. What comes before a
    /// base rate is known waits for it: a leader that starts anew hears of all foyers one by one.
    fn joined(&mut self, settings: &CountSettings, foyer: NodeAddress) {
        let Some(cast) = self.foyers.get(&foyer) else { return };
        let whole = std::iter::once((None, cast.vote.whole()));
        let routes = cast.vote.routes.iter().map(|tally| (Some(tally.route), *tally));
        let news: Vec<(Option<u32>, Tally, (u32, u32))> = whole
            .chain(routes)
            .map(|(route, tally)| (route, tally, cast.fed.get(&route).copied().unwrap_or_default()))
            .collect();
        for (route, tally, before) in news {
            let told = (tally.trial, tally.failed);
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
    fn base_rate(&self, settings: &CountSettings, route: Option<u32>) -> Option<f64> {
        let sums = |route: Option<u32>| {
            let tallies = self.foyers.values().filter_map(|cast| cast.vote.tally(route));
            tallies.fold((0u64, 0u64), |sum, t| (sum.0 + u64::from(t.base), sum.1 + u64::from(t.base_failed)))
        };
        let enough = |sum: &(u64, u64)| sum.0 >= settings.base_least;
        let (base, failed) = Some(sums(route)).filter(enough).or_else(|| Some(sums(None)).filter(enough))?;
        Some((failed as f64 / base as f64).clamp(settings.base_rate.0, settings.base_rate.1))
    }

    fn standing(&self, settings: &CountSettings, now: Micros) -> Standing {
        let mut sum = Standing::default();
        for cast in self.foyers.values() {
            let vote = &cast.vote;
            sum.age = sum.age.max(vote.age.saturating_add(now - cast.at));
            sum.trial += u64::from(vote.trial);
            sum.failed += u64::from(vote.failed);
            sum.base += u64::from(vote.base);
            sum.base_failed += u64::from(vote.base_failed);
            if !cast.stands(settings, now) {
                continue;
            }
            match vote.voice {
                Voice::Wait => {}
                Voice::On => sum.ons += 1,
                Voice::Back => sum.backs += 1,
            }
            if vote.voice == Voice::Back || vote.trial >= settings.evidence {
                sum.with_evidence += 1;
            }
            sum.lone = sum.lone.max(cast.back_since.map_or(0, |since| now - since));
        }
        sum
    }

    /// The most that foyers without a standing back vote add to any joint statistic.
    fn backing(&self, settings: &CountSettings, now: Micros) -> f64 {
        let back = |place: &NodeAddress| {
            self.foyers.get(place).is_some_and(|cast| cast.back_since.is_some() && cast.stands(settings, now))
        };
        let others = |joint: &Joint| joint.parts.iter().filter(|part| !back(part.0)).map(|part| part.1).sum();
        self.joints.values().map(others).fold(0.0, f64::max)
    }

    /// Whether the trial ends now, and how.
    fn verdict(
        &mut self, settings: &CountSettings, now: Micros, rollout: &Rollout, foyers_up: usize,
    ) -> Option<bool> {
        let sum = self.standing(settings, now);
        let alarms = self.joints.values().filter(|joint| joint.trial >= settings.joint_least);
        let alarm = alarms.map(|joint| joint.height).fold(0.0, f64::max);
        if goes_back(settings, &sum, alarm, self.backing(settings, now), foyers_up) {
            return Some(false);
        }
        let height = self.joints.values().map(|joint| joint.height).fold(0.0, f64::max);
        let whole = self.joints.values().map(|joint| joint.sum).fold(f64::NEG_INFINITY, f64::max);
        let doubt = sum.backs > 0 || height >= settings.joint_doubt || whole > 0.0;
        self.clear_since = if doubt { None } else { Some(self.clear_since.unwrap_or(now)) };
        let part = sum.age.max(now - rollout.since) as f64 / rollout.period.max(MS) as f64;
        if part >= settings.complete_by
            && (sum.backs > 0 || height >= settings.joint_guilt || whole >= settings.joint_doubt)
        {
            // What was not cleared by its term goes back: once it is completed the old instances stop for
            // good.
            return Some(false);
        }
        // Nothing weighs its failures against the version in service, or they are few: a tenth is too much.
        let unweighed = sum.base < settings.base_least || sum.trial < settings.seen;
        if part >= settings.complete_by && unweighed && sum.failed > 0 && sum.failed * 10 >= sum.trial {
            return Some(false);
        }
        let clear = self.clear_since.is_some_and(|since| now - since >= settings.clear_for);
        let enough = if part >= settings.complete_by {
            // A version that next to nobody has tried is not cleared by its term alone: it waits for requests.
            let tried = sum.trial >= settings.joint_least || part >= settings.unseen_by;
            tried && sum.ons > 0 && sum.ons * 2 >= foyers_up
        } else {
            part >= settings.complete_from && sum.trial >= settings.seen && sum.ons * 2 > foyers_up
        };
        (clear && enough).then_some(true)
    }
}

fn goes_back(settings: &CountSettings, sum: &Standing, joint: f64, backing: f64, foyers_up: usize) -> bool {
    let share = (settings.back_share * sum.with_evidence as f64).ceil() as usize;
    let needed = if foyers_up < settings.few_foyers { 1 } else { share.max(settings.least_backs) };
    if sum.backs >= needed || joint >= settings.joint_height {
        return true;
    }
    let unweighed = sum.base < settings.base_least && sum.lone >= settings.lone_stands;
    if sum.backs > 0 && (backing >= settings.joint_backing || unweighed) {
        return true;
    }
    let rate = |failed: u64, all: u64| failed as f64 / all.max(1) as f64;
    // Half as much again, and a twentieth more: three standard deviations of a hundred outcomes or so.
    sum.failed >= settings.spent
        && sum.base >= settings.base_least
        && rate(sum.failed, sum.trial) >= 1.5 * rate(sum.base_failed, sum.base) + 0.05
}

impl Joint {
    /// The design's step for each outcome, against a rate of failures three times the base's.
    fn add(&mut self, settings: &CountSettings, foyer: NodeAddress, p0: f64, trial: u64, failed: u64) {
        let p1 = (3.0 * p0).min((1.0 + p0) / 2.0);
        let up = (p1 / p0).ln() * failed as f64;
        let down = ((1.0 - p1) / (1.0 - p0)).ln() * (trial - failed) as f64;
        let part = self.parts.entry(foyer).or_default();
        let step = (up + down).min(settings.joint_part - *part);
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
    fn whole(&self) -> Tally {
        let Vote { trial, failed, base, base_failed, .. } = *self;
        Tally { route: 0, trial, failed, base, base_failed }
    }

    fn tally(&self, route: Option<u32>) -> Option<Tally> {
        match route {
            None => Some(self.whole()),
            Some(route) => self.routes.iter().find(|tally| tally.route == route).copied(),
        }
    }
}
