//! Hunts: what the proofs that play days in simulated time share: planted faults that are to be found, and many days on
//! all cores of the machine.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use rehearsal::plant::Planted;

pub(super) enum Job {
    Hunt(Planted),
    /// A day of a worst moment.
    Moment(u64),
    Drawn(u64),
}

/// Hunts first, then a day of each moment, then drawn days.
pub(super) fn jobs(planted: &[Planted], moments: u64, days: u64) -> Vec<Job> {
    let mut jobs: Vec<Job> = planted.iter().copied().map(Job::Hunt).collect();
    jobs.extend((0..moments).map(Job::Moment));
    jobs.extend((0..days).map(Job::Drawn));
    jobs
}

/// The seed of a drawn day.
pub(super) fn drawn(seed: u64, number: u64) -> u64 {
    seed.wrapping_mul(1_000_003).wrapping_add(number)
}

/// Of one planted fault: whether it was found, after how many seeds, and the miss where it was not.
pub(super) struct Hunted {
    pub found: u64,
    pub seeds: u64,
    pub misses: Vec<String>,
}

pub(super) fn hunt(planted: Planted, seed: u64) -> Hunted {
    let found = planted.found_after(seed, Planted::SEEDS);
    let miss = format!("{} is not found within {} seeds", planted.name(), Planted::SEEDS);
    let misses = if found.is_some() { Vec::new() } else { vec![miss] };
    Hunted { found: u64::from(found.is_some()), seeds: found.unwrap_or(0), misses }
}

/// Plays all jobs, several at once, and adds up what they come to. After `time` no drawn day beyond `least` is begun.
pub(super) fn all<T: Default + Send>(
    jobs: &[Job], least: u64, time: Duration, play: impl Fn(&Job) -> T + Sync, add: fn(&mut T, T),
) -> T {
    let began = Instant::now();
    let bar = ProgressBar::new(jobs.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} days and hunts, {elapsed}") {
        bar.set_style(style);
    }
    let (next, done) = (AtomicUsize::new(0), Mutex::new(T::default()));
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let spare = matches!(job, Job::Drawn(number) if *number >= least);
                    if !spare || began.elapsed() <= time {
                        let one = play(job);
                        add(&mut done.lock().unwrap_or_else(|poisoned| poisoned.into_inner()), one);
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    done.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())
}
