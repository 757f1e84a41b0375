//! The proof of the rehearsal: days of the whole system's cores in simulated time break no rule, and every planted
//! fault is found.

use std::io;
use std::time::Duration;

use rehearsal::plant::Planted;
use rehearsal::play;
use rehearsal::rules::Terms;
use rehearsal::scenario::{MOMENTS, Scenario};

use super::hunts::{self, Job};
use super::{Limit, Proof};

/// Drawn days at most; a busy machine plays fewer, and not under a fifth of them.
const DAYS: u64 = 300;
const LEAST: u64 = DAYS / 5;
/// Days are begun for so long; the planted faults come first.
const TIME: Duration = Duration::from_secs(38);

/// Plays `days` drawn days, a day of each worst moment, and the hunts.
pub fn cases(seed: u64, days: u64, time: Duration) -> Proof {
    // Those of the worst days are hunted by the proof of `control`.
    let planted: Vec<Planted> =
        Planted::ALL.into_iter().filter(|planted| planted.point().is_none()).collect();
    let jobs = hunts::jobs(&planted, MOMENTS, days);
    let mut all = hunts::all(&jobs, LEAST, time, |job| played(job, seed), Tally::add);
    all.misses.sort();
    let mut proof = Proof::new("rehearsal", seed);
    let terms = Terms::default();
    proof.figure("days", all.days as f64, Limit::AtLeast(days.min(LEAST) as f64));
    proof.figure("rules_broken", all.broken as f64, Limit::Is(0.0));
    proof.figure("planted", planted.len() as f64, Limit::None);
    proof.figure("planted_found", all.found as f64, Limit::Is(planted.len() as f64));
    proof.figure("planted_seeds_most", all.seeds as f64, Limit::AtMost(Planted::SEEDS as f64));
    proof.figure("progress_worst_s", all.progress, Limit::AtMost(terms.progress as f64 / 1e6));
    proof.figure("changes_acknowledged", all.acked as f64, Limit::AtLeast(1.0));
    proof.figure("requests", all.requests as f64, Limit::AtLeast(1.0));
    for miss in all.misses {
        proof.must(false, miss);
    }
    proof
}

/// What has been seen so far.
#[derive(Default)]
struct Tally {
    days: u64,
    broken: usize,
    found: u64,
    seeds: u64,
    progress: f64,
    acked: usize,
    requests: usize,
    misses: Vec<String>,
}

impl Tally {
    fn add(&mut self, one: Tally) {
        self.days += one.days;
        self.broken += one.broken;
        self.found += one.found;
        self.seeds = self.seeds.max(one.seeds);
        self.progress = self.progress.max(one.progress);
        self.acked += one.acked;
        self.requests += one.requests;
        self.misses.extend(one.misses);
    }
}

fn played(job: &Job, seed: u64) -> Tally {
    let (scenario, seed) = match job {
        Job::Hunt(planted) => {
            let hunts::Hunted { found, seeds, misses } = hunts::hunt(*planted, seed);
            return Tally { found, seeds, misses, ..Tally::default() };
        }
        Job::Moment(number) => (Scenario::moment(seed, *number), seed),
        Job::Drawn(number) => {
            let seed = hunts::drawn(seed, *number);
            (Scenario::drawn(seed), seed)
        }
    };
    let day = play::play(scenario, seed, None);
    let progress = day.progress.map_or(0.0, |after| after as f64 / 1e6);
    let misses = if day.ok() { Vec::new() } else { vec![day.line()] };
    let (broken, acked, requests) = (day.broken.len(), day.acked, day.requests);
    Tally { days: 1, broken, progress, acked, requests, misses, ..Tally::default() }
}

pub fn prove(seed: u64) -> io::Result<Proof> {
    Ok(cases(seed, DAYS, TIME))
}
