//! Verdict (fusion): whether the statistics alarm, and the vote that follows.

use super::*;
use RolloutPhase::{InTrial, Released, RolledBack, RollingBack};

const H_COUNTED: f64 = 10.0; // of counts that reach all gateways, whose alarms are not independent
const ON_WAIT: Micros = 3 * SECOND; // from the latest start among the trial build's machines
const WORSE_WAIT: Micros = 12 * SECOND; // longer than most passing slowdowns last
const STAGE_WAIT: Micros = 10 * SECOND; // for a stage's machines to be listed

impl<H: Host> Balancer<H> {
    /// Casts the vote that stands to reason now, if it is another than the last or due again.
    pub(super) fn speak(&mut self) {
        let now = self.host.now();
        let Some(news) = self.seen.news else { return };
        // Any statistic may rise by chance: the more there are, the higher they stand, less so where many
        // must rise together. Disputes come one by one: the more gateways must alarm, the less each need see.
        let alone = H - self.terms.noes_needed.ln();
        let statistics = self.terms.fleet().max(1.0) * self.terms.listed.max(1) as f64;
        let any = H + statistics.ln() / self.terms.noes_needed;
        let up = |(sign, record): &(&Sign, &Record)| {
            let own = if **sign == Sign::Disputed { alone.max(H / 4.0) } else { any };
            let height = if matches!(sign, Sign::Counted(_)) { H_COUNTED } else { own };
            record.y >= height
                && record.outcomes.iter().map(|(.., count)| count).sum::<f64>() >= LEAST_ON_TRIAL
                && self.past(news.build, **sign).1 >= LEAST_EARLIER
        };
        let records = self.seen.records.get(&news.build).into_iter().flatten();
        let risen: Vec<Sign> = records.filter(up).map(|(sign, _)| *sign).collect();
        let worse = risen.contains(&Sign::Worse).then(|| self.seen.worse.unwrap_or(now));
        let lasting = worse.filter(|since| now - since >= WORSE_WAIT).map(|_| Sign::Worse);
        let alarm = risen.into_iter().find(|sign| *sign != Sign::Worse).or(lasting);
        self.seen.worse = worse;
        if alarm != self.seen.alarm {
            let sign = alarm.map_or("none".to_owned(), |sign| format!("{sign:?}"));
            self.host.log(&format!("alarm on build {}: {sign}", news.build.0));
            self.seen.alarm = alarm;
        }
        let timer = self.terms.by_timer;
        let ripe = if news.phase == InTrial { self.ripe(news) } else { 0 };
        let vote = match news.phase {
            RollingBack | RolledBack => return,
            _ if alarm.is_some() => Vote::RollBack,
            Released => return,
            InTrial if worse.is_some() && timer => Vote::Hold,
            InTrial if worse.is_some() && self.seen.cast.is_some() => Vote::Abstain,
            InTrial if timer || worse.is_some() => return,
            InTrial if std::mem::replace(&mut self.seen.ripe, ripe) == ripe && ripe > now => return,
            InTrial if ripe > now => return self.host.set_timer(ripe, TimerKind::Vote),
            InTrial if !self.may_pass() => return,
            InTrial => Vote::Promote,
        };
        let cast = Some((news.build, news.stage, vote));
        if self.seen.cast == cast && now < self.seen.again {
            return;
        }
        self.host.cast_vote(news.build, news.stage, vote);
        self.seen.cast = cast;
        self.again_in(self.terms.vote_wait + 100 * MS);
    }

    fn again_in(&mut self, wait: Micros) {
        self.seen.again = self.host.now() + wait;
        self.host.set_timer(self.seen.again, TimerKind::Vote);
    }

    /// When the vote on is due: 3 s after the latest start among the trial build's listed machines; where
    /// none is ever listed, after `STAGE_WAIT`.
    fn ripe(&self, news: RolloutStatus) -> Micros {
        let trial = self.seen.healthy().filter(|s| s.listing.build == news.build);
        let latest = trial.map(|server| server.listing.started.unwrap_or(0)).max();
        latest.map_or(self.seen.news_at - news.age + STAGE_WAIT, |started| started + ON_WAIT)
    }

    /// A vote that counted is renewed well within its life; one that did not is cast again after a while
    /// that differs between gateways, since the platform's calls are shared. A moot one waits for news.
    /// Where calls are so few that not all votes can stand at once, one that stands is not renewed before its
    /// end: it would take the call of another, and less than half of what can stand would. Harm: it lapses
    /// for a moment. One back asks again at once, as it must get through before those on.
    pub fn vote_answered(&mut self, taken: VoteResult) {
        let (life, answer) = (self.terms.vote_life.unwrap_or(SECOND), self.terms.vote_wait);
        let turn = (self.terms.fleet() / self.terms.votes_per_s * SECOND as f64) as Micros;
        let back = matches!(self.seen.cast, Some((.., Vote::RollBack)));
        let wait = match taken {
            VoteResult::Counted => {
                let least = (life / 2).max(turn.min(life));
                self.between(least, (life - answer).max(least))
            }
            VoteResult::Moot => SECOND,
            _ => self.between(200 * MS, 600 * MS + if back { 0 } else { turn.min(5 * SECOND) }),
        };
        self.again_in(wait);
    }

    /// Whether votes on can stand in time at all; where not, they only take the calls of those back.
    fn may_pass(&self) -> bool {
        self.terms.ayes_needed <= (self.terms.votes_per_s * self.terms.vote_life_s).max(1.0)
    }
}
