//! Search (guided): a corpus of scenarios that grows when a day shows something new or comes nearer to a bound, and
//! whose members are changed to make the next ones. One seed searches the same each time.

use std::collections::BTreeSet;

use oorandom::Rand64;

use crate::plant::Planted;
use crate::play::{self, Day};
use crate::scenario::{Draw, Scenario, What};
use crate::widen;

/// Scenarios that are kept, the newest ones.
const KEPT: usize = 64;
/// Troubles of one scenario.
const TROUBLES: usize = 60;

/// What was kept of a day.
struct Known {
    scenario: Scenario,
    seed: u64,
}

pub struct Search {
    draw: Draw,
    corpus: Vec<Known>,
    seen: BTreeSet<(usize, u64)>,
    nearest: [f64; 7],
    seed: u64,
    planted: Option<Planted>,
    start: fn(Planted, u64) -> Scenario,
}

impl Search {
    pub fn new(seed: u64, planted: Option<Planted>) -> Search {
        let draw = Draw(Rand64::new(u128::from(seed) ^ 0x0005_ea2c));
        let start = |planted: Planted, seed| planted.scenario(seed);
        Search { draw, corpus: Vec::new(), seen: BTreeSet::new(), nearest: [0.0; 7], seed, planted, start }
    }

    /// Scenarios kept so far, and how near days came to each bound of `rules::Margins`.
    pub fn kept(&self) -> (usize, [f64; 7]) {
        (self.corpus.len(), self.nearest)
    }

    /// Plays the next day: every fourth one is drawn, the others are changed ones of the corpus.
    pub fn day(&mut self) -> Day {
        let number = self.seed;
        self.seed = self.seed.wrapping_add(1);
        let drawn = self.corpus.len() < 4 || self.draw.one(4);
        let (scenario, seed) = if drawn {
            let scenario = match self.planted {
                Some(planted) => (self.start)(planted, number),
                None => Scenario::drawn(number),
            };
            (scenario, number)
        } else {
            let at = self.draw.of(0, self.corpus.len() as u64) as usize;
            let other = self.draw.of(0, self.corpus.len() as u64) as usize;
            let (one, other) = (&self.corpus[at], &self.corpus[other]);
            // The same seed keeps what led there; another one moves what the scenario leaves open.
            let seed = if self.draw.one(2) { one.seed } else { number };
            (changed(&one.scenario, &other.scenario, &mut self.draw), seed)
        };
        let day = play::play(scenario, seed, self.planted);
        if self.tells(&day) {
            if self.corpus.len() == KEPT {
                self.corpus.remove(0);
            }
            self.corpus.push(Known { scenario: day.scenario.clone(), seed });
        }
        day
    }

    /// Whether a day shows what none before did.
    fn tells(&mut self, day: &Day) -> bool {
        let mut new = false;
        for (at, margin) in day.margins.all().into_iter().enumerate() {
            // Eighths of a bound.
            new |= self.seen.insert((at, (margin * 8.0).clamp(0.0, 80.0) as u64));
            self.nearest[at] = self.nearest[at].max(margin);
        }
        let counts = &day.counts;
        let tells = [
            day.leaders as u64,
            counts.states.min(64) as u64 / 2,
            counts.votes as u64 / 4,
            counts.asked_again as u64,
            counts.terms(),
            day.refusals(),
            day.acked.min(64) as u64 / 4,
        ];
        for (at, tell) in tells.into_iter().enumerate() {
            new |= self.seen.insert((100 + at, tell));
        }
        new
    }
}

/// One scenario, changed in one to three places.
fn changed(one: &Scenario, other: &Scenario, draw: &mut Draw) -> Scenario {
    let mut day = one.clone();
    for _ in 0..draw.of(1, 4) {
        let last = day.length.saturating_sub(17_000).max(6_100);
        let many = day.troubles.len() as u64;
        match draw.of(0, 6) {
            0 if many > 0 => {
                // Moved a little.
                let at = draw.of(0, many) as usize;
                let when = (day.troubles[at].at + draw.of(0, 1_000)).saturating_sub(500);
                day.troubles[at].at = when.clamp(5_000, last.max(5_001));
            }
            1 if many > 0 => {
                let mut again = day.troubles[draw.of(0, many) as usize].clone();
                again.at = (again.at + draw.of(0, 3_000)).min(last);
                day.troubles.push(again);
            }
            2 if many > 1 => drop(day.troubles.remove(draw.of(0, many) as usize)),
            3 if !other.troubles.is_empty() => {
                let more = other.troubles.iter().filter(|_| draw.one(3)).cloned();
                let more: Vec<_> = more.filter(|trouble| trouble.at <= last).collect();
                day.troubles.extend(more);
            }
            4 => {
                let (at, what) = (draw.of(6_000, last), widen::trouble(draw, &day));
                day.add(at, what);
            }
            _ if draw.one(4) => widen::reshaped(&mut day, draw),
            _ => {}
        }
    }
    lawful(&mut day);
    day
}

/// Drops what is more than must be borne, and what would come too late in the day.
fn lawful(day: &mut Scenario) {
    let (most, mut lost) = (day.site.losses, 0);
    let end = day.length.saturating_sub(10_500);
    day.troubles.sort_by_key(|trouble| trouble.at);
    day.troubles.truncate(TROUBLES);
    day.troubles.retain_mut(|trouble| {
        let disk = match &mut trouble.what {
            What::Wipe { .. } | What::Replace { .. } => true,
            What::AfterAck { wiped, .. } | What::AfterAckAll { wiped, .. } => {
                *wiped &= lost < most;
                *wiped
            }
            _ => false,
        };
        let kept = (!disk || lost < most) && (!trouble.faulty() || trouble.over() <= end);
        lost += usize::from(disk && kept);
        kept
    });
}

/// After how many days a planted fault is found by search, from a seed on; none within `most`.
pub fn found_after(planted: Planted, seed: u64, most: u64) -> Option<u64> {
    let mut search = Search::new(seed, Some(planted));
    (1..=most).find(|_| planted.found_on(&search.day()))
}
