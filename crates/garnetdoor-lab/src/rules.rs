//! The rules on sessions, checked on a record.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Entry, Saw};

const SECOND: u64 = 1_000_000;

/// What is allowed past a told share: so many sessions, and this part of all that stand.
pub const OVER: (f64, f64) = (2.0, 0.04);

/// What a record shows.
#[derive(Debug, Default, PartialEq)]
pub struct Found {
    pub upgrades: usize,
    pub finished: usize,
    pub turned_back: usize,
    /// Answers that are neither: forfeits and errors.
    pub failed: usize,
    pub answers_missing: usize,
    pub answers_double: usize,
    pub upgrades_after_drain: usize,
    /// From a server's drain to the end of its last session, the worst.
    pub drain_close_worst_s: f64,
    /// Standing sessions on the build on trial beyond its share, the worst, and the mean distance from it where
    /// anything stood; counted a second after a change and later.
    pub share_worst_excess: f64,
    pub share_mean_error: f64,
    /// How often the worst bound on it, 2 and 4%, was passed.
    pub share_misses: usize,
    /// Twice a live session of one key.
    pub double_sessions: usize,
    /// A once-only opening that a server got twice.
    pub once_twice: usize,
    /// Sessions that clients were left with that no box had closed or kept.
    pub turned_back_without_time: usize,
}

/// Goes through a record once.
pub fn check(entries: &[Entry]) -> Found {
    let mut found = Found::default();
    let mut answers: BTreeMap<u64, usize> = BTreeMap::new();
    let mut once: BTreeSet<u64> = BTreeSet::new();
    let mut trips: BTreeMap<u64, usize> = BTreeMap::new();
    let mut draining: BTreeMap<usize, u64> = BTreeMap::new();
    let mut live: BTreeMap<usize, usize> = BTreeMap::new();
    let mut keys: BTreeMap<String, usize> = BTreeMap::new();
    let mut builds: BTreeMap<u32, usize> = BTreeMap::new();
    let mut key_of: BTreeMap<(u64, usize), String> = BTreeMap::new();
    let (mut told, mut changed): (Option<(u32, f64)>, u64) = (None, 0);
    let (mut weight, mut error, mut since) = (0.0, 0.0, 0);
    for (at, saw) in entries {
        // What has stood since the entry before.
        if let Some((build, cap)) = told.filter(|(_, cap)| *cap < 1.0 && since >= changed + SECOND) {
            let (on, all) =
                (builds.get(&build).copied().unwrap_or(0) as f64, builds.values().sum::<usize>() as f64);
            let excess = on - cap * all;
            found.share_worst_excess = found.share_worst_excess.max(excess);
            found.share_misses += usize::from(excess > OVER.0 + OVER.1 * all);
            let time = (at - since) as f64;
            weight += time * all;
            error += time * excess.abs();
        }
        since = *at;
        match saw {
            Saw::Asked { id, once: is_once, .. } => {
                found.upgrades += 1;
                answers.entry(*id).or_default();
                if *is_once {
                    once.insert(*id);
                }
            }
            Saw::Answered { id, status, advised } => {
                *answers.entry(*id).or_default() += usize::from(*status != 0);
                match status {
                    101 => found.finished += 1,
                    503 => {
                        found.turned_back += 1;
                        found.turned_back_without_time += usize::from(!advised);
                    }
                    _ => found.failed += 1,
                }
            }
            Saw::ClientEnd { .. } => {}
            Saw::Trip { id, server, .. } => {
                let late = draining.get(server).is_some_and(|told| *at > told + SECOND);
                found.upgrades_after_drain += usize::from(late);
                let times = trips.entry(*id).or_default();
                *times += 1;
                found.once_twice += usize::from(*times > 1 && once.contains(id));
            }
            Saw::Open { id, server, build, key } => {
                *live.entry(*server).or_default() += 1;
                *builds.entry(*build).or_default() += 1;
                if !key.is_empty() {
                    let holders = keys.entry(key.clone()).or_default();
                    *holders += 1;
                    found.double_sessions += usize::from(*holders > 1);
                    key_of.insert((*id, *server), key.clone());
                }
            }
            Saw::Shut { id, server, build, .. } => {
                let left = live.entry(*server).or_default();
                *left = left.saturating_sub(1);
                if let (0, Some(told)) = (*left, draining.get(server)) {
                    found.drain_close_worst_s =
                        found.drain_close_worst_s.max((at - told) as f64 / SECOND as f64);
                }
                let on = builds.entry(*build).or_default();
                *on = on.saturating_sub(1);
                if let Some(holders) = key_of.remove(&(*id, *server)).and_then(|key| keys.get_mut(&key)) {
                    *holders -= 1;
                }
            }
            Saw::Listed { server, state } => {
                changed = *at;
                if *state == "up" {
                    draining.remove(server);
                } else {
                    draining.entry(*server).or_insert(*at);
                }
            }
            Saw::Told { build, cap } => {
                changed = *at;
                told = Some((*build, *cap));
            }
        }
    }
    found.answers_missing = answers.values().filter(|count| **count == 0).count();
    found.answers_double = answers.values().filter(|count| **count > 1).count();
    found.share_mean_error = if weight > 0.0 { error / weight } else { 0.0 };
    found
}

/// The most of some moments that fall within 100 ms, over what an even spread over `span` would have there.
pub fn herd(moments: &[u64], span: u64) -> f64 {
    const WINDOW: u64 = 100_000;
    let mut sorted = moments.to_vec();
    sorted.sort_unstable();
    let within = |from: &u64| sorted.iter().filter(|at| (*from..from + WINDOW).contains(*at)).count();
    let worst = sorted.iter().map(within).max().unwrap_or(0) as f64;
    let even = sorted.len() as f64 * WINDOW as f64 / span.max(WINDOW) as f64;
    if sorted.is_empty() { 0.0 } else { worst / even.max(1.0) }
}
