//! Load (on a version on trial): which of its instances its requests go to: so few that each bears what it will bear in
//! service. Guards against a version that fails under load only: a trial gets a small part of the requests, and
//! spread over all its instances they never fill one. All gateways work it out alike, from the list of instances; no
//! messages.

use crate::share::{START, fold, stir};

/// How many of `instances` get all of the trial's requests, where `part` of the service's go to it.
fn loaded(part: f64, instances: usize) -> usize {
    ((part.clamp(0.0, 1.0) * instances as f64).ceil() as usize).max(1)
}

/// Of the names of a trial's instances, for each whether it is among those that are loaded: those that a hash of
/// their names ranks first. One that goes moves one place.
pub fn loaded_instances(part: f64, instances: &[&str]) -> Vec<bool> {
    let ranks: Vec<(u64, &str)> =
        instances.iter().map(|name| (stir(fold(START, name.as_bytes())), *name)).collect();
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    let last = sorted.get(loaded(part, sorted.len()) - 1);
    ranks.iter().map(|rank| last.is_none_or(|last| rank <= last)).collect()
}
