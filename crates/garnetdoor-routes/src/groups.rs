//! Limit groups: how many requests pass per second and how many are in flight, for a whole group or for each key.
//!
//! Rates are limited by GCRA (the "virtual scheduling" algorithm of ITU-T I.371): for each key it keeps one time, at which
//! the next request is due at the configured rate, and a request may be ahead of it by the burst. Idle keys are forgotten.
//! Where more keys are active than may be kept, the others share one bucket, so that an endless supply of keys can't use
//! up the memory.

use std::collections::{BTreeMap, BTreeSet};

use garnetdoor::host::Micros;

const MICROS_PER_SECOND: f64 = 1e6;
/// The shortest retry time where a group is at its concurrency limit: it is not known when a request in flight ends.
const MIN_RETRY_WHEN_FULL: Micros = 100_000;
/// The shortest retry time where a group is at its rate limit.
const MIN_RETRY: Micros = 1_000;

/// A limit on the rate of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    pub per_second: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

impl RateLimit {
    /// The time between requests at this rate.
    fn interval(self) -> f64 {
        MICROS_PER_SECOND / self.per_second
    }
}

/// A group's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub rate: Option<RateLimit>,
    /// The most requests in flight.
    pub max_concurrent: Option<usize>,
    /// Whether the limits are for each key by itself, else for all requests together.
    pub by_key: bool,
    /// The most keys that are kept at one time.
    pub max_keys: usize,
}

/// The permission for a request, to be given back by [`Groups::release`] when the request ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permit {
    group: usize,
    bucket: Bucket,
}

/// The group is at its limit. The request has not run, so it may be repeated safely after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    pub retry_after: Micros,
}

/// What a request is counted in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Bucket {
    /// All requests of a group that is not limited by key, or without a key.
    Shared,
    Key(String),
    /// All keys for which there is no bucket of their own.
    Overflow,
}

#[derive(Clone, Copy, Debug, Default)]
struct BucketState {
    /// When the next request is due at the configured rate.
    next_due: Micros,
    in_flight: usize,
}

struct Group {
    limit: Limit,
    buckets: BTreeMap<Bucket, BucketState>,
    /// Buckets without requests in flight, by the time from which they are idle.
    idle: BTreeSet<(Micros, Bucket)>,
}

/// All limit groups of a gateway.
pub struct Groups {
    groups: Vec<Group>,
    rng: oorandom::Rand64,
}

impl Groups {
    /// Groups with these limits, by their index. `seed` is for the spread of retry times.
    pub fn new(limits: Vec<Limit>, seed: u64) -> Self {
        Groups {
            groups: limits.into_iter().map(Group::new).collect(),
            rng: oorandom::Rand64::new(u128::from(seed)),
        }
    }

    /// Number of buckets kept in a group.
    pub fn bucket_count(&self, group: usize) -> usize {
        self.groups.get(group).map_or(0, |group| group.buckets.len())
    }

    /// Takes over other limits by the index of their groups. Groups that remain keep their counts.
    pub fn reload(&mut self, limits: Vec<Limit>) {
        self.groups.truncate(limits.len());
        for (index, limit) in limits.into_iter().enumerate() {
            match self.groups.get_mut(index) {
                Some(group) => group.limit = limit,
                None => self.groups.push(Group::new(limit)),
            }
        }
    }

    /// Asks for a request of a group to pass; `key` is the request's, if it has one. A group that does not exist has no
    /// limits.
    pub fn acquire(&mut self, now: Micros, group: usize, key: Option<&str>) -> Result<Permit, Rejected> {
        let index = group;
        let Some(group) = self.groups.get_mut(index) else {
            return Ok(Permit { group: index, bucket: Bucket::Shared });
        };
        let bucket = group.bucket(now, key);
        let state = group.buckets.get(&bucket).copied().unwrap_or_default();
        let interval = group.limit.rate.map(RateLimit::interval);
        let allowed_ahead =
            group.limit.rate.map_or(0.0, |rate| rate.interval() * (rate.burst - 1.0).max(0.0));
        let too_early_by = state.next_due - now - allowed_ahead as Micros;
        let full = group.limit.max_concurrent.is_some_and(|most| state.in_flight >= most);
        if (interval.is_some() && too_early_by > 0) || full {
            // Retries are spread over as long again, so that not all come back at once.
            let wait = too_early_by.max(if full { MIN_RETRY_WHEN_FULL } else { MIN_RETRY });
            let spread =
                (self.rng.rand_float() * wait.max(interval.unwrap_or(0.0) as Micros) as f64) as Micros;
            return Err(Rejected { retry_after: wait + spread });
        }
        let next_due = state.next_due.max(now) + interval.map_or(0, |interval| interval.round() as Micros);
        group.set_state(&bucket, BucketState { next_due, in_flight: state.in_flight + 1 });
        Ok(Permit { group: index, bucket })
    }

    /// The request of a permit has ended.
    pub fn release(&mut self, permit: Permit) {
        let Some(group) = self.groups.get_mut(permit.group) else { return };
        if let Some(state) = group.buckets.get(&permit.bucket).copied() {
            let in_flight = state.in_flight.saturating_sub(1);
            group.set_state(&permit.bucket, BucketState { in_flight, ..state });
        }
    }
}

impl Group {
    fn new(limit: Limit) -> Self {
        Group { limit, buckets: BTreeMap::new(), idle: BTreeSet::new() }
    }

    /// The bucket that a request is counted in. For a new key it first forgets idle buckets.
    fn bucket(&mut self, now: Micros, key: Option<&str>) -> Bucket {
        let Some(key) = key.filter(|_| self.limit.by_key) else { return Bucket::Shared };
        let bucket = Bucket::Key(key.to_owned());
        if self.buckets.contains_key(&bucket) {
            return bucket;
        }
        while let Some((idle_from, idle)) = self.idle.first().cloned().filter(|(at, _)| *at <= now) {
            self.idle.remove(&(idle_from, idle.clone()));
            self.buckets.remove(&idle);
        }
        if self.buckets.len() < self.limit.max_keys { bucket } else { Bucket::Overflow }
    }

    fn set_state(&mut self, bucket: &Bucket, state: BucketState) {
        if let Some(previous) = self.buckets.insert(bucket.clone(), state) {
            self.idle.remove(&(previous.next_due, bucket.clone()));
        }
        if state.in_flight == 0 {
            self.idle.insert((state.next_due, bucket.clone()));
        }
    }
}
