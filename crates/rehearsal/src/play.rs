//! Play (whole days): one day from its scenario, its verdict, and a smaller scenario that breaks the same.

use types::Micros;

use crate::plant::Planted;
use crate::rules::{self, Broken, Margins};
use crate::scenario::Scenario;
use crate::seen::{Answer, Seen, What};
use crate::world::{Counts, World};

/// What came of a day.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub scenario: Scenario,
    pub broken: Vec<Broken>,
    /// Events played, and the event at which the first broken rule was seen.
    pub steps: u64,
    pub step: Option<u64>,
    pub progress: Option<Micros>,
    pub served: Option<f64>,
    pub requests: usize,
    pub good: usize,
    pub acked: usize,
    pub leaders: usize,
    /// How near the day came to each bound, and what else tells it from others.
    pub margins: Margins,
    pub counts: Counts,
    /// The last lines of each process, where a rule is broken.
    pub rings: String,
    /// The longest that a caller of control waited at a machine that ran.
    pub answer: Micros,
    pub log: Vec<Seen>,
}

impl Day {
    pub fn ok(&self) -> bool {
        self.broken.is_empty()
    }

    /// Kinds of refusals that operators got, as bits.
    pub fn refusals(&self) -> u64 {
        let kinds = self.log.iter().filter_map(|seen| match seen.what {
            What::Denied { status, .. } => Some(1 << (status % 32)),
            _ => None,
        });
        kinds.fold(0, |all, kind: u64| all | kind)
    }

    /// One line.
    pub fn line(&self) -> String {
        let verdict = match self.broken.first() {
            None => "holds".to_owned(),
            Some(broken) => format!("BROKEN {:?} at {:.3} s", broken.rule, broken.at as f64 / 1e6),
        };
        let progress = self.progress.map_or("-".into(), |after| format!("{:.1} s", after as f64 / 1e6));
        format!(
            "seed {}: {verdict}; {} troubles, {} steps, {} of {} requests served, {} changes acknowledged, \
             {} leaders, progress after {progress}",
            self.seed,
            self.scenario.troubles.len(),
            self.steps,
            self.good,
            self.requests,
            self.acked,
            self.leaders,
        )
    }
}

/// The day of a seed.
pub fn day(seed: u64, planted: Option<Planted>) -> Day {
    play(Scenario::drawn(seed), seed, planted)
}

/// Plays a scenario; the seed moves what it leaves open.
pub fn play(scenario: Scenario, seed: u64, planted: Option<Planted>) -> Day {
    let mut world = World::new(scenario.clone(), seed, planted);
    world.play();
    let broken = rules::check(&world.log, &world.terms);
    let rings = if broken.is_empty() { String::new() } else { world.rings() };
    let step = broken.first().and_then(|broken| {
        let entry = world.log.iter().position(|seen| seen.at >= broken.at);
        entry.and_then(|entry| world.log_steps.get(entry).copied())
    });
    let count = |of: fn(&What) -> bool| world.log.iter().filter(|seen| of(&seen.what)).count();
    Day {
        seed,
        step,
        steps: world.steps,
        progress: rules::progress_after(&world.log),
        served: rules::served_after(&world.log, &world.terms),
        requests: count(|what| matches!(what, What::Asked { .. })),
        good: count(|what| matches!(what, What::Answered { answer: Answer::Good, .. })),
        acked: count(|what| matches!(what, What::Acked { .. })),
        leaders: count(|what| matches!(what, What::Leads { .. })),
        answer: rules::worst_answer(&world.log),
        margins: rules::margins(&world.log, &world.terms),
        counts: world.counts().clone(),
        scenario,
        broken,
        rings,
        log: world.log,
    }
}

/// Drops troubles one by one while the same rule still breaks.
pub fn shrunk(day: &Day, planted: Option<Planted>, mut tried: impl FnMut()) -> Day {
    let Some(rule) = day.broken.first().map(|broken| broken.rule) else { return day.clone() };
    let mut best = day.clone();
    let mut again = true;
    while again {
        again = false;
        let mut at = best.scenario.troubles.len();
        while at > 0 {
            at -= 1;
            let mut scenario = best.scenario.clone();
            scenario.troubles.remove(at);
            tried();
            let found = play(scenario, day.seed, planted);
            if found.broken.iter().any(|broken| broken.rule == rule) {
                best = found;
                again = true;
            }
        }
    }
    best
}
