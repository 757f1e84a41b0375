//! Pools: named parts of the server list, each with the pool that follows when it can't carry its tickets.
//!
//! How much of a pool is open is its healthy servers by warmth, over the most that it had within [`REMEMBERED`]: servers
//! that the list no longer has are missing, and not forgotten at once. Where too little is open, tickets go down to the next
//! pool. A pool that comes back is taken up again slowly and only once it stays: its servers are cold, and traffic that
//! goes back and forth fits neither pool.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use garnetdoor::host::{Condition, MachineTypeId, Micros, ServerId, ZoneId};

const SECOND: Micros = 1_000_000;

/// How long a pool's former size counts.
pub const REMEMBERED: Micros = 600 * SECOND;
/// A pool that was closed must be open enough for so long before it is taken up again.
const STEADY: Micros = 5 * SECOND;
/// The part of its tickets that goes to a pool grows by so much a second at most.
const RISE: f64 = 0.1;

/// How tickets go down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// Only once nothing of the pool is open.
    Last,
    /// All of them once less than `less_than` is open.
    AtOnce,
    /// As many as the open part can't carry.
    #[default]
    Share,
}

/// A pool as it is told.
#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    /// What its servers have; empty: any.
    pub zones: BTreeSet<ZoneId>,
    pub kinds: BTreeSet<MachineTypeId>,
    /// How their names begin; empty: any way.
    pub prefix: String,
    /// The part that must be open for all of its tickets.
    pub less_than: f64,
    /// The part at which a closed pool is taken up again; more than `less_than`.
    pub back_at: f64,
    pub way: Way,
    /// The name of the pool that follows.
    pub next: Option<String>,
}

/// A server as the list shows it.
#[derive(Clone, Debug)]
pub struct Member {
    pub server: ServerId,
    pub name: String,
    pub zone: ZoneId,
    pub kind: MachineTypeId,
    pub condition: Condition,
    /// The part of its capacity that it surely has.
    pub warmth: f64,
}

/// What is wrong with a pool: its name, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolFault {
    pub pool: String,
    pub found: String,
    pub expected: &'static str,
}

struct State {
    pool: Pool,
    next: Option<usize>,
    open: BTreeSet<ServerId>,
    /// The part that is open.
    part: f64,
    /// Sizes lately, with when they were seen.
    sizes: VecDeque<(Micros, usize)>,
    /// Closed, and since when it has been open enough.
    closed: bool,
    enough_since: Option<Micros>,
    /// The part of its tickets that it gets, and when that was worked out.
    gets: f64,
    at: Micros,
    switches: usize,
}

/// All pools.
pub struct Pools {
    states: Vec<State>,
}

impl Pools {
    /// Checks pools and their ways down; reports all faults together. All are open until a list says otherwise.
    pub fn read(pools: Vec<Pool>) -> Result<Pools, Vec<PoolFault>> {
        let numbers: BTreeMap<&str, usize> =
            pools.iter().enumerate().map(|(n, pool)| (pool.name.as_str(), n)).collect();
        let next = |pool: &Pool| pool.next.as_deref().and_then(|name| numbers.get(name)).copied();
        let mut faults = Vec::new();
        for (number, pool) in pools.iter().enumerate() {
            let mut fault =
                |found: String, expected| faults.push(PoolFault { pool: pool.name.clone(), found, expected });
            if numbers.get(pool.name.as_str()) != Some(&number) {
                fault("its name twice".to_owned(), "each name once");
            }
            if let (Some(name), None) = (&pool.next, next(pool)) {
                fault(format!("next {name:?}"), "the name of a pool");
            }
            if !(0.0..=1.0).contains(&pool.less_than) || !(pool.less_than..=1.0).contains(&pool.back_at) {
                fault(
                    format!("less_than {} and back_at {}", pool.less_than, pool.back_at),
                    "parts of 1, back_at the larger",
                );
            }
            // A way down that comes by itself again never ends.
            let mut at = next(pool);
            for _ in 0..pools.len() {
                if at == Some(number) {
                    fault("a way down that leads back to it".to_owned(), "ways down that end");
                    break;
                }
                at = at.and_then(|at| next(&pools[at]));
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let nexts: Vec<_> = pools.iter().map(next).collect();
        let state = |(pool, next)| State {
            pool,
            next,
            open: BTreeSet::new(),
            part: 1.0,
            sizes: VecDeque::new(),
            closed: false,
            enough_since: None,
            gets: 1.0,
            at: 0,
            switches: 0,
        };
        Ok(Pools { states: pools.into_iter().zip(nexts).map(state).collect() })
    }

    /// The number of a pool.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.states.iter().position(|state| state.pool.name == name)
    }

    /// How often a pool has closed or been taken up again.
    pub fn switches(&self, pool: usize) -> usize {
        self.states.get(pool).map_or(0, |state| state.switches)
    }

    /// The whole list as it stands now; also told now and then while servers warm up.
    pub fn listed(&mut self, now: Micros, members: &[Member]) {
        self.states.iter_mut().for_each(|state| state.listed(now, members));
    }

    /// The pool that a ticket of this pool goes to, by a draw from 0 up to 1; `None` where nothing of it, or of any that
    /// follows, is open. Of a way down the last pool that has anything open takes what is left.
    pub fn choose(&mut self, now: Micros, pool: usize, draw: f64) -> Option<usize> {
        let (mut at, mut last) = (Some(pool), None);
        while let Some(number) = at {
            let state = self.states.get_mut(number)?;
            if !state.open.is_empty() {
                last = Some(number);
                // The same draw serves on the whole way, so that a ticket's pool does not change by drawing again.
                if draw < state.gets(now) {
                    return Some(number);
                }
            }
            at = state.next;
        }
        last
    }

    /// Whether a server is an open one of a pool.
    pub fn has(&self, pool: usize, server: ServerId) -> bool {
        self.states.get(pool).is_some_and(|state| state.open.contains(&server))
    }
}

impl State {
    fn takes(&self, member: &Member) -> bool {
        let any = |empty: bool, has: bool| empty || has;
        any(self.pool.zones.is_empty(), self.pool.zones.contains(&member.zone))
            && any(self.pool.kinds.is_empty(), self.pool.kinds.contains(&member.kind))
            && member.name.starts_with(&self.pool.prefix)
    }

    fn listed(&mut self, now: Micros, members: &[Member]) {
        // What it gets is worked out up to now by what was open until now.
        if self.at > 0 {
            self.gets(now);
        }
        let own: Vec<&Member> = members.iter().filter(|member| self.takes(member)).collect();
        let healthy = || own.iter().filter(|member| member.condition == Condition::Healthy);
        let size = own.iter().filter(|member| member.condition != Condition::Gone).count();
        self.open = healthy().map(|member| member.server).collect();
        self.sizes.push_back((now, size));
        // Only sizes that no later one exceeds matter; the newest of those too old is what held until then.
        while self.sizes.len() > 1 && self.sizes[self.sizes.len() - 2].1 <= size {
            let before = self.sizes.len() - 2;
            self.sizes.remove(before);
        }
        while self.sizes.len() > 1 && now - self.sizes[0].0 > REMEMBERED {
            self.sizes.pop_front();
        }
        let most = self.sizes.iter().map(|(_, size)| *size).max().unwrap_or(0).max(1);
        self.part = healthy().map(|member| member.warmth).sum::<f64>() / most as f64;
        self.enough_since = (self.part >= self.pool.back_at).then(|| self.enough_since.unwrap_or(now));
        let floor = if self.pool.way == Way::Last { f64::MIN_POSITIVE } else { self.pool.less_than };
        if !self.closed && (self.part < floor || self.open.is_empty()) {
            self.closed = true;
            self.switches += 1;
        }
    }

    /// The part of its tickets that the pool gets now. It falls at once and rises slowly.
    fn gets(&mut self, now: Micros) -> f64 {
        if self.closed && self.enough_since.is_some_and(|since| now - since >= STEADY) {
            self.closed = false;
            self.switches += 1;
        }
        let carries = match (self.pool.way, self.closed) {
            (_, _) if self.open.is_empty() => 0.0,
            (_, false) => 1.0,
            (Way::Last, true) => 1.0,
            (Way::AtOnce, true) => 0.0,
            (Way::Share, true) => (self.part / self.pool.less_than.max(f64::MIN_POSITIVE)).min(1.0),
        };
        let rise = RISE * (now - self.at) as f64 / SECOND as f64;
        // The first list finds a pool as open as it is.
        self.gets = if self.at == 0 { carries } else { carries.min(self.gets + rise) };
        self.at = now;
        self.gets
    }
}
