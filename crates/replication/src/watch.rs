//! The sources that a follower watches. The follower chooses them itself, and renews its watch at each by asking how fresh
//! the source's state is. An answer is a sign of life and says up to where the log is committed, so that a gap is found by
//! a source's silence or by the age of its state, and not only by what others believe of this node. A source that is
//! silent, or whose state is stale, is dropped for another one.
//!
//! The alternative, each source working out from its own view of the membership whom to push to, fails where the views
//! differ: nobody would push to a follower that falls between two views, is wrongly believed dead, or is assigned to a
//! source that is cut off. See `docs/replication.md`, "Watches".

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

use crate::{Effect, Freshness, Message};

/// Sources watched at the same time. With only one, each failure of it would be a pause.
const WATCHED_SOURCES: usize = 2;
/// The same while changing from one to another, since the old one is dropped only once the new one answers.
const WATCHED_SOURCES_MAX: usize = 4;
/// From a request that was answered to the next one.
const RENEWAL_INTERVAL: Micros = 500 * MS;
/// From a request that was not answered to the next one.
const RETRY_INTERVAL: Micros = 250 * MS;
/// A source that has been silent for this long is asked by stream.
const STREAM_AFTER_SILENCE: Micros = SECOND;
/// A source that has been silent or stale for this long is dropped for another one.
const DROP_AFTER: Micros = 1_500 * MS;
/// Largest age of a source's state that is not stale. A follower of a leader proves its state for the time of the leader's
/// last heartbeat less one election timeout, which is at most 0.7 s.
const STATE_AGE_MAX: Micros = 2 * SECOND;
/// A source is expected to push what it has proved to hold, or to announce it if it is large. What is not held here after
/// this time is pulled.
const PUSH_TIMEOUT: Micros = 600 * MS;
/// After each such number of sources dropped in a row, `DROP_AFTER` grows by its base value. Guards against many followers
/// moving from source to source while none of the sources has a majority.
const DROPS_PER_BACKOFF_STEP: u32 = 4;
/// Largest multiple of `DROP_AFTER`.
const BACKOFF_FACTOR_MAX: u32 = 4;
/// A source that was dropped is not chosen again for this long, if there are others.
const AVOIDED_AFTER_DROP: Micros = 5 * SECOND;

/// One source that is watched.
#[derive(Debug)]
struct Watch {
    source: NodeAddress,
    started_at: Micros,
    last_request: Option<Micros>,
    last_answer: Option<Micros>,
    /// The latest time of this node's clock for which the source's state is proved to have been the newest.
    fresh_as_of: Option<Micros>,
    /// A stream was asked for since the last answer.
    stream_preferred: bool,
}

impl Watch {
    fn new(source: NodeAddress, now: Micros) -> Watch {
        Watch {
            source,
            started_at: now,
            last_request: None,
            last_answer: None,
            fresh_as_of: None,
            stream_preferred: false,
        }
    }

    fn silent_for(&self, now: Micros) -> Micros {
        now - self.last_answer.unwrap_or(self.started_at)
    }

    /// Whether it answers, and its state is not stale.
    fn is_fresh(&self, now: Micros) -> bool {
        self.fresh_as_of.is_some_and(|at| now - at <= STATE_AGE_MAX)
    }

    fn next_request(&self) -> Micros {
        let Some(requested) = self.last_request else { return self.started_at };
        let answered = self.last_answer.is_some_and(|answered| answered >= requested);
        requested + if answered { RENEWAL_INTERVAL } else { RETRY_INTERVAL }
    }
}

/// A command that a source has proved to hold, and is expected to push.
#[derive(Debug)]
struct ExpectedPush {
    index: LogIndex,
    source: NodeAddress,
    /// When it is pulled.
    deadline: Micros,
}

/// A proof that at the time `as_of` of this node's clock, nothing after `index` had been committed.
#[derive(Clone, Copy, Debug)]
struct PendingProof {
    index: LogIndex,
    as_of: Micros,
}

/// Counters and gauges of a follower's watches, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchStats {
    /// Sources dropped since the start because they were silent.
    pub dropped_silent: u64,
    /// Sources dropped since the start because their state was stale.
    pub dropped_stale: u64,
    /// The latest time of this node's clock for which the state held here is proved to have been the newest; `None` before
    /// the first proof.
    pub up_to_date_at: Option<Micros>,
}

/// The watches of one follower.
#[derive(Debug)]
pub(crate) struct Watches {
    own: NodeAddress,
    watches: Vec<Watch>,
    /// When sources were dropped, of those that are to be avoided.
    dropped: BTreeMap<NodeAddress, Micros>,
    /// Sources dropped since one last proved a fresh state.
    dropped_in_a_row: u32,
    /// The latest proof of more than is held here.
    pending_proof: Option<PendingProof>,
    expected_push: Option<ExpectedPush>,
    next_maintenance: Micros,
    stats: WatchStats,
}

impl Watches {
    pub fn new(own: NodeAddress) -> Watches {
        Watches {
            own,
            watches: Vec::new(),
            dropped: BTreeMap::new(),
            dropped_in_a_row: 0,
            pending_proof: None,
            expected_push: None,
            next_maintenance: 0,
            stats: WatchStats::default(),
        }
    }

    pub fn stats(&self) -> WatchStats {
        self.stats
    }

    pub fn contains(&self, source: NodeAddress) -> bool {
        self.watches.iter().any(|watch| watch.source == source)
    }

    /// When `maintain` or `take_overdue_push` has something to do at the latest.
    pub fn due(&self) -> Micros {
        let push = self.expected_push.as_ref().map_or(Micros::MAX, |expected| expected.deadline);
        self.next_maintenance.min(push)
    }

    /// The set of sources that are up has changed.
    pub fn sources_changed(&mut self) {
        self.next_maintenance = 0;
    }

    /// Notes a source's answer: how old its state can be at most, and the index up to which it holds everything.
    pub fn record_answer(&mut self, now: Micros, from: NodeAddress, index: LogIndex, freshness: Freshness) {
        let Some(watch) = self.watches.iter_mut().find(|watch| watch.source == from) else { return };
        watch.last_answer = Some(now);
        watch.stream_preferred = false;
        let Freshness::Proven { age, .. } = freshness else { return };
        let as_of = now - age.max(0);
        watch.fresh_as_of = watch.fresh_as_of.max(Some(as_of));
        if now - as_of <= STATE_AGE_MAX {
            self.dropped_in_a_row = 0;
        }
        if self.pending_proof.is_none_or(|pending| pending.as_of < as_of) {
            self.pending_proof = Some(PendingProof { index, as_of });
        }
    }

    /// A source has proved to hold what is not held here, and is expected to push it.
    pub fn expect_push(&mut self, now: Micros, source: NodeAddress, index: LogIndex) {
        self.expected_push.get_or_insert(ExpectedPush { index, source, deadline: now + PUSH_TIMEOUT });
    }

    /// The source to pull from, if a push that was expected did not come in time.
    pub fn take_overdue_push(&mut self, now: Micros) -> Option<NodeAddress> {
        let expected = self.expected_push.as_mut().filter(|expected| now >= expected.deadline)?;
        expected.deadline = now + PUSH_TIMEOUT;
        Some(expected.source)
    }

    /// Notes that everything up to `index` is held here.
    pub fn index_held(&mut self, index: LogIndex) {
        self.expected_push.take_if(|expected| expected.index <= index);
        if let Some(proof) = self.pending_proof.take_if(|proof| proof.index <= index) {
            self.stats.up_to_date_at = self.stats.up_to_date_at.max(Some(proof.as_of));
        }
    }

    /// Drops sources that are silent or stale, watches others of those that are `up`, and sends the requests that are due.
    pub fn maintain(&mut self, now: Micros, up: &[NodeAddress], out: &mut Vec<Effect>) {
        if now < self.next_maintenance {
            return;
        }
        let prefer_streams = self.drop_failing(now);
        self.watch_wanted(now, up, prefer_streams, out);
        for watch in &mut self.watches {
            if !watch.stream_preferred && watch.silent_for(now) >= STREAM_AFTER_SILENCE {
                watch.stream_preferred = true;
                out.push(Effect::PreferStream { to: watch.source });
            }
            if now >= watch.next_request() {
                watch.last_request = Some(now);
                out.push(Effect::Send { to: watch.source, message: Message::FreshnessRequest });
            }
        }
        self.next_maintenance = self.watches.iter().map(Watch::next_request).min().unwrap_or(Micros::MAX);
    }

    /// Drops the sources that are silent or stale, and returns whether one of them was silent.
    fn drop_failing(&mut self, now: Micros) -> bool {
        self.dropped.retain(|_, at| now - *at < AVOIDED_AFTER_DROP);
        let backoff = (1 + self.dropped_in_a_row / DROPS_PER_BACKOFF_STEP).min(BACKOFF_FACTOR_MAX);
        let drop_after = DROP_AFTER * Micros::from(backoff);
        let before = self.stats;
        let (dropped, stats, in_a_row) = (&mut self.dropped, &mut self.stats, &mut self.dropped_in_a_row);
        self.watches.retain(|watch| {
            let silent = watch.silent_for(now) >= drop_after;
            // The state of a silent source gets stale as well. Such a source counts as silent, to which the answer is a
            // stream.
            let answering = watch.silent_for(now) < STREAM_AFTER_SILENCE;
            let stale = answering && now - watch.started_at >= drop_after && !watch.is_fresh(now);
            if silent || stale {
                dropped.insert(watch.source, now);
                *in_a_row += 1;
                stats.dropped_silent += u64::from(silent);
                stats.dropped_stale += u64::from(!silent);
            }
            !(silent || stale)
        });
        self.stats.dropped_silent > before.dropped_silent
    }

    /// Adds the sources that are wanted and not watched. Those that are no longer wanted are dropped once all that are
    /// wanted answer with a fresh state.
    fn watch_wanted(&mut self, now: Micros, up: &[NodeAddress], prefer_streams: bool, out: &mut Vec<Effect>) {
        let wanted = self.wanted(up);
        for source in &wanted {
            if !self.contains(*source) && self.watches.len() < WATCHED_SOURCES_MAX {
                self.watches.push(Watch::new(*source, now));
                out.extend(prefer_streams.then_some(Effect::PreferStream { to: *source }));
            }
        }
        let is_fresh = |source: &NodeAddress| {
            self.watches.iter().any(|watch| watch.source == *source && watch.is_fresh(now))
        };
        if !wanted.is_empty() && wanted.iter().all(is_fresh) {
            self.watches.retain(|watch| wanted.contains(&watch.source));
        }
    }

    /// The sources that this node should watch, by rendezvous hashing, so that followers spread evenly and few of them move
    /// when a source comes or goes. Sources dropped lately come last.
    fn wanted(&self, up: &[NodeAddress]) -> Vec<NodeAddress> {
        let mut ranked: Vec<NodeAddress> = up.to_vec();
        ranked.sort_by_cached_key(|source| {
            (self.dropped.contains_key(source), rendezvous_rank(self.own, *source))
        });
        ranked.truncate(WATCHED_SOURCES);
        ranked
    }
}

fn rendezvous_rank(follower: NodeAddress, source: NodeAddress) -> u64 {
    let mut hasher = DefaultHasher::new();
    (follower, source).hash(&mut hasher);
    hasher.finish()
}
