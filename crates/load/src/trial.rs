//! Which instances of a version on trial receive its requests: few enough that each bears the load that it will bear
//! in service. A trial gets a small part of the requests; spread over all of its instances, they would never fill one,
//! and a version that fails only under load would not be noticed.
//!
//! Every gateway computes the same result from the list of instances; no messages are needed.

use crate::share::{FNV_OFFSET_BASIS, finalize, fnv1a};

/// How many of `instances` receive the trial's requests, if the trial gets the fraction `request_share` of the
/// service's requests. At least 1.
fn loaded_count(request_share: f64, instances: usize) -> usize {
    ((request_share.clamp(0.0, 1.0) * instances as f64).ceil() as usize).max(1)
}

/// For each of a trial's instances, given by name, whether it receives requests: those whose names have the lowest
/// hashes do. If one instance goes away, at most one other takes its place.
pub fn loaded_instances(request_share: f64, instances: &[&str]) -> Vec<bool> {
    let ranks: Vec<(u64, &str)> =
        instances.iter().map(|name| (finalize(fnv1a(FNV_OFFSET_BASIS, name.as_bytes())), *name)).collect();
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    let last_loaded = sorted.get(loaded_count(request_share, sorted.len()) - 1);
    ranks.iter().map(|rank| last_loaded.is_none_or(|last| rank <= last)).collect()
}
