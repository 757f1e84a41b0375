//! Verdict: whether the statistics raise an alarm on the newest build, and the vote that follows from it.

use super::*;
use RolloutPhase::{InTrial, Released, RolledBack, RollingBack};
use Signal::SlowerThanBefore;

const SHARED_ALARM_THRESHOLD_NATS: f64 = 10.0; // of counts that all gateways get: alarms are not independent
const PROMOTION_DELAY: Micros = 3 * SECOND; // after the latest start among the trial build's machines
const SLOWDOWN_DELAY: Micros = 12 * SECOND; // before it counts against a build: most pass sooner
const LISTING_DELAY: Micros = 10 * SECOND; // for a stage's machines to be listed

impl<H: Host> Balancer<H> {
    /// Updates the alarm, and casts a vote if it differs from the last one or that one is due again.
    pub(super) fn update_vote(&mut self) {
        let Some(rollout) = self.state.rollout else { return };
        self.update_alarm(rollout.build);
        let (now, alarm) = (self.host.now(), self.state.alarm.is_some());
        let slower = self.state.slower_since.is_some();
        let due_at = if rollout.phase == InTrial { self.promotion_due_at(rollout) } else { 0 };
        let vote = match rollout.phase {
            RollingBack | RolledBack => return,
            _ if alarm => Vote::RollBack,
            Released => return,
            InTrial if slower && self.config.promoted_by_timer => Vote::Hold,
            InTrial if slower && self.state.last_vote.is_some() => Vote::Abstain,
            InTrial if self.config.promoted_by_timer || slower => return,
            InTrial if self.state.set_promotion_due_at(due_at) && due_at > now => return,
            InTrial if due_at > now => return self.host.set_timer(due_at, TimerKind::Vote),
            InTrial if !self.promotion_is_possible() => return,
            InTrial => Vote::Promote,
        };
        let cast = Some((rollout.build, rollout.stage, vote));
        if self.state.last_vote == cast && now < self.state.next_vote_at {
            return;
        }
        self.host.cast_vote(rollout.build, rollout.stage, vote);
        self.state.last_vote = cast;
        self.schedule_vote(self.config.vote_timeout + 100 * MS);
    }

    /// Finds the signal that raises an alarm on a build and logs changes. A slowdown of all builds must last.
    /// Statistics may rise by chance, so that the threshold grows with their number, less so where many
    /// gateways must vote alike. Disputes come one by one: the more votes are needed, the less each takes.
    fn update_alarm(&mut self, build: BuildNo) {
        let now = self.host.now();
        let votes_needed = self.config.votes_to_roll_back;
        let statistics = self.config.gateways().max(1.0) * self.config.listed_profiles.max(1) as f64;
        let dispute_threshold = (ALARM_THRESHOLD_NATS - votes_needed.ln()).max(ALARM_THRESHOLD_NATS / 4.0);
        let own_threshold = ALARM_THRESHOLD_NATS + statistics.ln() / votes_needed;
        let raised = |(signal, record): &(&Signal, &CusumRecord)| {
            let threshold = match signal {
                Signal::SharedFailures(_) => SHARED_ALARM_THRESHOLD_NATS,
                Signal::DisputedAnswers => dispute_threshold,
                _ => own_threshold,
            };
            record.statistic_nats >= threshold
                && record.total() >= MIN_OUTCOMES
                && self.baseline(build, **signal).total >= MIN_EARLIER_OUTCOMES
        };
        let records = self.state.records.get(&build).into_iter().flatten();
        let raised: Vec<Signal> = records.filter(raised).map(|(signal, _)| *signal).collect();
        let slower_since = raised.contains(&SlowerThanBefore).then(|| self.state.slower_since.unwrap_or(now));
        let lasting = slower_since.filter(|since| now - since >= SLOWDOWN_DELAY).map(|_| SlowerThanBefore);
        let alarm = raised.into_iter().find(|signal| *signal != SlowerThanBefore).or(lasting);
        self.state.slower_since = slower_since;
        if alarm != self.state.alarm {
            let signal = alarm.map_or("none".to_owned(), |signal| signal.to_string());
            self.host.log(&format!("alarm on build {}: {signal}", build.0));
            self.state.alarm = alarm;
        }
    }

    fn schedule_vote(&mut self, wait: Micros) {
        self.state.next_vote_at = self.host.now() + wait;
        self.host.set_timer(self.state.next_vote_at, TimerKind::Vote);
    }

    /// When the vote to promote is due: a while after the latest start among the trial build's machines, or,
    /// if none is ever listed, after the stage began.
    fn promotion_due_at(&self, rollout: RolloutStatus) -> Micros {
        let latest = self.state.latest_start(rollout.build);
        let unlisted = self.state.rollout_at - rollout.age + LISTING_DELAY;
        latest.map_or(unlisted, |started| started + PROMOTION_DELAY)
    }

    /// The platform has answered a vote. One that counts is renewed well within its lifetime. One that failed
    /// is cast again after a random time, since all gateways share the platform's calls, but one to roll back
    /// soon, as it must get through first. A moot one waits for news of the rollout. Where calls are so few
    /// that not all votes can count at once, a vote is renewed only at its end: sooner would take the calls
    /// of others, and fewer than half of the votes possible would count. Harm: it lapses for a moment.
    pub fn vote_answered(&mut self, result: VoteResult) {
        let (lifetime, timeout) = (self.config.vote_lifetime.unwrap_or(SECOND), self.config.vote_timeout);
        let all_gateways = (self.config.gateways() / self.config.votes_per_s * SECOND as f64) as Micros;
        let roll_back = matches!(self.state.last_vote, Some((.., Vote::RollBack)));
        let wait = match result {
            VoteResult::Counted => {
                let least = (lifetime / 2).max(all_gateways.min(lifetime));
                self.random_between(least, (lifetime - timeout).max(least))
            }
            VoteResult::Moot => SECOND,
            _ if roll_back => self.random_between(200 * MS, 600 * MS),
            _ => self.random_between(200 * MS, 600 * MS + all_gateways.min(5 * SECOND)),
        };
        self.schedule_vote(wait);
    }

    /// Whether enough votes to promote can count at once; else they would only take calls from the others.
    fn promotion_is_possible(&self) -> bool {
        self.config.votes_to_promote <= (self.config.votes_per_s * self.config.vote_lifetime_s).max(1.0)
    }
}
