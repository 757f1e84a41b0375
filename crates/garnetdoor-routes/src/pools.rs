//! Pools: named parts of the server list, each with a fallback pool for when it can't carry its requests.
//!
//! The open fraction of a pool is the warmth of its healthy servers over the largest size that the pool had within
//! [`SIZE_MEMORY`]: servers that are no longer listed count as missing for that long. If too little is open, requests go
//! to the fallback pool. A pool that recovers gets its requests back slowly, and only once it stays open, because its
//! servers are cold and traffic that switches back and forth overloads both pools.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use garnetdoor::host::{Condition, MachineTypeId, Micros, ServerId, ZoneId};

const SECOND: Micros = 1_000_000;

/// How long a pool's largest size is remembered.
pub const SIZE_MEMORY: Micros = 600 * SECOND;
/// How long a closed pool must be open enough before it gets requests again.
const RECOVERY_TIME: Micros = 5 * SECOND;
/// The fraction of its requests that a pool gets grows by at most this much per second.
const MAX_RISE_PER_SECOND: f64 = 0.1;

/// When requests go to the fallback pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FallbackMode {
    /// Only when no server of the pool is open.
    OnlyWhenEmpty,
    /// All requests as soon as less than `fallback_below` is open.
    AllAtOnce,
    /// As soon as less than `fallback_below` is open, the fraction of requests that the pool can't carry.
    #[default]
    Proportional,
}

/// A pool's configuration.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    /// The zones of its servers; empty: any.
    pub zones: BTreeSet<ZoneId>,
    /// The machine types of its servers; empty: any.
    pub machine_types: BTreeSet<MachineTypeId>,
    /// The prefix of its servers' names; empty: any.
    pub prefix: String,
    /// The open fraction below which requests go to the fallback pool.
    pub fallback_below: f64,
    /// The open fraction at which a closed pool recovers; at least `fallback_below`.
    pub recover_at: f64,
    pub fallback_mode: FallbackMode,
    /// The name of the fallback pool.
    pub fallback: Option<String>,
}

/// A server of the service list.
#[derive(Clone, Debug)]
pub struct PoolServer {
    pub server: ServerId,
    pub name: String,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub condition: Condition,
    /// The fraction of its capacity that it can carry for sure while it warms up, from 0 to 1.
    pub warmth: f64,
}

/// An error in a pool's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolError {
    /// The pool's name.
    pub pool: String,
    pub found: String,
    pub expected: &'static str,
}

struct State {
    pool: Pool,
    /// The index of the fallback pool.
    fallback: Option<usize>,
    /// Its healthy servers.
    open: BTreeSet<ServerId>,
    /// The fraction of it that is open, by warmth.
    open_fraction: f64,
    /// Its sizes within [`SIZE_MEMORY`] with the times at which they were seen, without those that a later one exceeds.
    recent_sizes: VecDeque<(Micros, usize)>,
    /// Whether too little of it is open, or too recently was.
    closed: bool,
    /// Since when enough of it has been open to recover.
    recovering_since: Option<Micros>,
    /// The fraction of its requests that it gets, as of `updated_at`.
    traffic_fraction: f64,
    updated_at: Micros,
    /// How often it has closed or recovered.
    transitions: usize,
}

/// All pools.
pub struct Pools {
    states: Vec<State>,
}

impl Pools {
    /// Checks the configuration of pools and reports all errors together. All pools are open until the first list.
    pub fn new(pools: Vec<Pool>) -> Result<Pools, Vec<PoolError>> {
        let indices: BTreeMap<&str, usize> =
            pools.iter().enumerate().map(|(index, pool)| (pool.name.as_str(), index)).collect();
        let fallback = |pool: &Pool| pool.fallback.as_deref().and_then(|name| indices.get(name)).copied();
        let mut errors = Vec::new();
        for (index, pool) in pools.iter().enumerate() {
            let mut report =
                |found: String, expected| errors.push(PoolError { pool: pool.name.clone(), found, expected });
            if indices.get(pool.name.as_str()) != Some(&index) {
                report("its name twice".to_owned(), "each name once");
            }
            if let (Some(name), None) = (&pool.fallback, fallback(pool)) {
                report(format!("fallback {name:?}"), "the name of a pool");
            }
            let (fallback_below, recover_at) = (pool.fallback_below, pool.recover_at);
            if !(0.0..=1.0).contains(&fallback_below) || !(fallback_below..=1.0).contains(&recover_at) {
                report(
                    format!("fallback_below {fallback_below} and recover_at {recover_at}"),
                    "fractions of 1, recover_at the larger",
                );
            }
            if leads_back(index, fallback(pool), |next| fallback(&pools[next]), pools.len()) {
                report("fallbacks that lead back to it".to_owned(), "fallbacks that end");
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let fallbacks: Vec<_> = pools.iter().map(fallback).collect();
        let states = pools.into_iter().zip(fallbacks).map(|(pool, fallback)| State::new(pool, fallback));
        Ok(Pools { states: states.collect() })
    }

    /// The index of a pool.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.states.iter().position(|state| state.pool.name == name)
    }

    /// How often a pool has closed or recovered.
    pub fn transition_count(&self, pool: usize) -> usize {
        self.states.get(pool).map_or(0, |state| state.transitions)
    }

    /// Takes over the whole server list; to be called at each change, and now and then while servers warm up.
    pub fn update_servers(&mut self, now: Micros, servers: &[PoolServer]) {
        self.states.iter_mut().for_each(|state| state.update_servers(now, servers));
    }

    /// The pool that serves a request of this pool, by a random draw from 0 up to 1: the pool itself or one of its
    /// fallbacks, of which the last with an open server takes what is left. `None` if no server of any of them is open.
    pub fn select(&mut self, now: Micros, pool: usize, draw: f64) -> Option<usize> {
        let (mut candidate, mut last_open) = (Some(pool), None);
        while let Some(index) = candidate {
            let state = self.states.get_mut(index)?;
            if !state.open.is_empty() {
                last_open = Some(index);
                // The same draw is used for all pools, so that a request's pool does not depend on further draws.
                if draw < state.update_traffic_fraction(now) {
                    return Some(index);
                }
            }
            candidate = state.fallback;
        }
        last_open
    }

    /// Whether a server is an open one of a pool.
    pub fn has_open(&self, pool: usize, server: ServerId) -> bool {
        self.states.get(pool).is_some_and(|state| state.open.contains(&server))
    }
}

/// Whether the fallbacks of a pool, the first of which is given, lead back to it. A cycle that does not contain the pool
/// itself is reported for the pools in it.
fn leads_back(
    pool: usize, first: Option<usize>, fallback: impl Fn(usize) -> Option<usize>, pool_count: usize,
) -> bool {
    let mut next = first;
    for _ in 0..pool_count {
        if next == Some(pool) {
            return true;
        }
        next = next.and_then(&fallback);
    }
    false
}

impl State {
    fn new(pool: Pool, fallback: Option<usize>) -> Self {
        State {
            pool,
            fallback,
            open: BTreeSet::new(),
            open_fraction: 1.0,
            recent_sizes: VecDeque::new(),
            closed: false,
            recovering_since: None,
            traffic_fraction: 1.0,
            updated_at: 0,
            transitions: 0,
        }
    }

    /// Whether a server belongs to the pool.
    fn includes(&self, server: &PoolServer) -> bool {
        let Pool { zones, machine_types, prefix, .. } = &self.pool;
        (zones.is_empty() || zones.contains(&server.zone))
            && (machine_types.is_empty() || machine_types.contains(&server.machine_type))
            && server.name.starts_with(prefix)
    }

    fn update_servers(&mut self, now: Micros, servers: &[PoolServer]) {
        // The traffic fraction up to now depends on the servers that were open until now.
        if self.updated_at > 0 {
            self.update_traffic_fraction(now);
        }
        let own: Vec<&PoolServer> = servers.iter().filter(|server| self.includes(server)).collect();
        let healthy = || own.iter().filter(|server| server.condition == Condition::Healthy);
        let size = own.iter().filter(|server| server.condition != Condition::Gone).count();
        self.open = healthy().map(|server| server.server).collect();
        self.remember_size(now, size);
        let largest = self.recent_sizes.iter().map(|(_, size)| *size).max().unwrap_or(0).max(1);
        self.open_fraction = healthy().map(|server| server.warmth).sum::<f64>() / largest as f64;
        self.recovering_since =
            (self.open_fraction >= self.pool.recover_at).then(|| self.recovering_since.unwrap_or(now));
        let least_open = match self.pool.fallback_mode {
            FallbackMode::OnlyWhenEmpty => f64::MIN_POSITIVE,
            FallbackMode::AllAtOnce | FallbackMode::Proportional => self.pool.fallback_below,
        };
        if !self.closed && (self.open_fraction < least_open || self.open.is_empty()) {
            self.closed = true;
            self.transitions += 1;
        }
    }

    fn remember_size(&mut self, now: Micros, size: usize) {
        let sizes = &mut self.recent_sizes;
        sizes.push_back((now, size));
        // For the maximum, sizes that a later one reaches or exceeds do not matter.
        while sizes.len() > 1 && sizes[sizes.len() - 2].1 <= size {
            let before_last = sizes.len() - 2;
            sizes.remove(before_last);
        }
        // The newest size is kept however old it is, since it held until now.
        while sizes.len() > 1 && now - sizes[0].0 > SIZE_MEMORY {
            sizes.pop_front();
        }
    }

    /// Brings the fraction of its requests that the pool gets up to date, and returns it. It falls at once and rises
    /// slowly.
    fn update_traffic_fraction(&mut self, now: Micros) -> f64 {
        if self.closed && self.recovering_since.is_some_and(|since| now - since >= RECOVERY_TIME) {
            self.closed = false;
            self.transitions += 1;
        }
        let target = match (self.pool.fallback_mode, self.closed) {
            (_, _) if self.open.is_empty() => 0.0,
            (_, false) => 1.0,
            (FallbackMode::OnlyWhenEmpty, true) => 1.0,
            (FallbackMode::AllAtOnce, true) => 0.0,
            (FallbackMode::Proportional, true) => {
                (self.open_fraction / self.pool.fallback_below.max(f64::MIN_POSITIVE)).min(1.0)
            }
        };
        let rise = MAX_RISE_PER_SECOND * (now - self.updated_at) as f64 / SECOND as f64;
        // Before the first update there is no earlier fraction to rise from.
        self.traffic_fraction =
            if self.updated_at == 0 { target } else { target.min(self.traffic_fraction + rise) };
        self.updated_at = now;
        self.traffic_fraction
    }
}
