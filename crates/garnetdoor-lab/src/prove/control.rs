//! The proof of control's worst days: for each of the five points of docs/control.md days in simulated time break no
//! rule, and the planted faults that go against it are found.

use std::io;
use std::time::Duration;

use rehearsal::plant::Planted;
use rehearsal::play::{self, Day};
use rehearsal::rules::{Rule, Terms};
use rehearsal::scenario::Scenario;
use rehearsal::worst;

use super::hunts::{self, Job};
use super::{Limit, Proof};

/// Drawn days at most; a busy machine plays fewer, and not under a fifth of them.
const DAYS: u64 = 300;
const LEAST: u64 = DAYS / 5;
/// Days are begun for so long; the planted faults come first.
const TIME: Duration = Duration::from_secs(28);

/// What a broken rule counts as; all others are `other_rules`.
const COUNTED: [(&str, &[Rule]); 8] = [
    ("stale_confirmed", &[Rule::Lost, Rule::Stale, Rule::Back, Rule::Applied, Rule::Drain, Rule::Untold]),
    ("repeats_refused", &[Rule::Repeat, Rule::Newest]),
    ("two_winners", &[Rule::Winner, Rule::Leader, Rule::Invalid, Rule::Trial]),
    ("quorum_lost", &[Rule::Progress, Rule::Unanswered]),
    ("never_caught_up", &[Rule::Behind]),
    ("wrong_caller", &[Rule::Mixed, Rule::Route]),
    ("ran_twice", &[Rule::Twice, Rule::Refused]),
    ("calls_held", &[Rule::Answered]),
];

/// What has been seen so far.
#[derive(Default)]
struct Tally {
    days: u64,
    answer: i64,
    counted: [u64; COUNTED.len()],
    other: u64,
    acked: u64,
    found: u64,
    seeds: u64,
    misses: Vec<String>,
}

impl Tally {
    fn of(day: &Day) -> Tally {
        let mut tally = Tally { days: 1, answer: day.answer, acked: day.acked as u64, ..Tally::default() };
        for broken in &day.broken {
            match COUNTED.iter().position(|(_, rules)| rules.contains(&broken.rule)) {
                Some(place) => tally.counted[place] += 1,
                None => tally.other += 1,
            }
        }
        if !day.ok() {
            tally.misses.push(day.line());
        }
        tally
    }

    fn add(&mut self, one: Tally) {
        self.days += one.days;
        self.answer = self.answer.max(one.answer);
        for (sum, count) in self.counted.iter_mut().zip(one.counted) {
            *sum += count;
        }
        self.other += one.other;
        self.acked += one.acked;
        self.found += one.found;
        self.seeds = self.seeds.max(one.seeds);
        self.misses.extend(one.misses);
    }

    /// The figures of days alone.
    fn told(&mut self, proof: &mut Proof, least: u64) {
        let most = Terms::default().answer as f64 / 1e3;
        proof.figure("days", self.days as f64, Limit::AtLeast(least as f64));
        proof.figure("cut_worst_answer_ms", self.answer as f64 / 1e3, Limit::AtMost(most));
        for ((name, _), count) in COUNTED.iter().zip(self.counted) {
            proof.figure(name, count as f64, Limit::Is(0.0));
        }
        proof.figure("other_rules", self.other as f64, Limit::Is(0.0));
        proof.figure("changes_acknowledged", self.acked as f64, Limit::AtLeast(1.0));
        self.misses.sort();
        for miss in self.misses.drain(..) {
            proof.must(false, miss);
        }
    }
}

/// What days show that have been played already.
pub fn judged<'a>(seed: u64, days: impl IntoIterator<Item = &'a Day>) -> Proof {
    let mut tally = Tally::default();
    days.into_iter().for_each(|day| tally.add(Tally::of(day)));
    let mut proof = Proof::new("control", seed);
    tally.told(&mut proof, 1);
    proof
}

/// Plays `days` drawn days, a day of each worst moment, and the hunts.
pub fn cases(seed: u64, days: u64, time: Duration) -> Proof {
    let planted: Vec<Planted> =
        Planted::ALL.into_iter().filter(|planted| planted.point().is_some()).collect();
    let jobs = hunts::jobs(&planted, worst::MOMENTS, days);
    let mut all = hunts::all(&jobs, LEAST, time, |job| played(job, seed), Tally::add);
    let mut proof = Proof::new("control", seed);
    all.told(&mut proof, days.min(LEAST));
    proof.figure("planted", planted.len() as f64, Limit::AtLeast(10.0));
    proof.figure("planted_found", all.found as f64, Limit::Is(planted.len() as f64));
    proof.figure("planted_seeds_most", all.seeds as f64, Limit::AtMost(Planted::SEEDS as f64));
    proof
}

fn played(job: &Job, seed: u64) -> Tally {
    let (scenario, seed) = match job {
        Job::Hunt(planted) => {
            let hunts::Hunted { found, seeds, misses } = hunts::hunt(*planted, seed);
            return Tally { found, seeds, misses, ..Tally::default() };
        }
        Job::Moment(number) => (Scenario::control_moment(seed, *number), seed),
        Job::Drawn(number) => {
            let seed = hunts::drawn(seed, *number);
            (worst::drawn(seed), seed)
        }
    };
    Tally::of(&play::play(scenario, seed, None))
}

pub fn prove(seed: u64) -> io::Result<Proof> {
    Ok(cases(seed, DAYS, TIME))
}
