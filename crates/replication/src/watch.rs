//! Watches, at a follower: it chooses the sources that are to serve it, and renews its watch at each of them by asking how
//! old their news is. An answer is a sign of life and tells up to where the log is ordered, so that a gap is found by
//! silence or by age, and not only by what others believe of this node. A source that is silent, or whose news gets old, is
//! left for another one.
//!
//! Guards against duties that each source works out from its own view of who is up: whoever falls between the views, is
//! held dead, or belongs to a source that is cut off, would be missed by nobody. See `docs/replication.md`, "Watches".

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

use crate::{Effect, Freshness, Message};

/// Sources that are watched at once: with one, each failure of it would be a wait.
const SOURCES: usize = 2;
/// And while it goes from one to another, as the one before is left only once the new one serves.
const SOURCES_MAX: usize = 4;
/// Between an ask that was answered and the next one; and after one that was not.
const RENEW: Micros = 500 * MS;
const RENEW_UNANSWERED: Micros = 250 * MS;
/// A source that has been silent for so long is asked by stream, and for so long is left for another one.
const INSIST_AFTER: Micros = SECOND;
const LEAVE_AFTER: Micros = 1_500 * MS;
/// A source whose news are older than this is left as well. Followers of a leader prove theirs by an election span, 0.7 s
/// at most, before its last beat.
const OLD: Micros = 2 * SECOND;
/// What a source proves to have is pushed by it as well, or told of where it is much; if it is not held here by then, it is
/// asked for.
const MISSED_AFTER: Micros = 600 * MS;
/// So many sources are left one after the other before the waits grow, up to this many times as long. Guards against a
/// crowd that goes from source to source while none has a majority.
const LEAVES_BEFORE_BACKOFF: u32 = 4;
const BACKOFF_MAX: u32 = 4;
/// One that was left is not wanted again for so long, where there are others.
const LEFT_FOR: Micros = 5 * SECOND;

/// One source that is watched.
#[derive(Debug)]
struct Watch {
    source: NodeAddress,
    since: Micros,
    asked: Option<Micros>,
    heard: Option<Micros>,
    /// As of when its news were known to be the newest, by the own clock.
    as_of: Option<Micros>,
    insisted: bool,
}

impl Watch {
    fn at(source: NodeAddress, now: Micros) -> Watch {
        Watch { source, since: now, asked: None, heard: None, as_of: None, insisted: false }
    }

    fn silent_for(&self, now: Micros) -> Micros {
        now - self.heard.unwrap_or(self.since)
    }

    /// Whether it answers, and what it answers is new.
    fn serves(&self, now: Micros) -> bool {
        self.as_of.is_some_and(|at| now - at <= OLD)
    }

    fn next_ask(&self) -> Micros {
        let Some(asked) = self.asked else { return self.since };
        let answered = self.heard.is_some_and(|heard| heard >= asked);
        asked + if answered { RENEW } else { RENEW_UNANSWERED }
    }
}

/// A proof of more than was held here.
#[derive(Debug)]
struct Missing {
    index: LogIndex,
    source: NodeAddress,
    /// Asked for from then on.
    until: Micros,
}

/// Counters and gauges of a follower's watches, for people who look after the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchStats {
    /// Sources that were left as they were silent, or as their news got old, since the start.
    pub dropped_silent: u64,
    pub dropped_stale: u64,
    /// Since when what is held here may not be the newest, by the own clock; none before the first proof.
    pub up_to_date_at: Option<Micros>,
}

/// The sources that one follower watches.
#[derive(Debug)]
pub(crate) struct Watches {
    own: NodeAddress,
    watches: Vec<Watch>,
    left: BTreeMap<NodeAddress, Micros>,
    left_in_a_row: u32,
    /// A proof of more than is held here yet: what is to be held, and as of when that is the newest.
    pending: Option<(LogIndex, Micros)>,
    missing: Option<Missing>,
    next: Micros,
    stats: WatchStats,
}

impl Watches {
    pub fn of(own: NodeAddress) -> Watches {
        Watches {
            own,
            watches: Vec::new(),
            left: BTreeMap::new(),
            left_in_a_row: 0,
            pending: None,
            missing: None,
            next: 0,
            stats: WatchStats::default(),
        }
    }

    pub fn stats(&self) -> WatchStats {
        self.stats
    }

    pub fn has(&self, source: NodeAddress) -> bool {
        self.watches.iter().any(|watch| watch.source == source)
    }

    /// When `tend` has something to do, at the latest.
    pub fn due(&self) -> Micros {
        let missing = self.missing.as_ref().map_or(Micros::MAX, |missing| missing.until);
        self.next.min(missing)
    }

    /// Other sources are up than before.
    pub fn sources_changed(&mut self) {
        self.next = 0;
    }

    /// A source has told how old its news is, and up to where they go.
    pub fn answered(&mut self, now: Micros, from: NodeAddress, index: LogIndex, freshness: Freshness) {
        let Some(watch) = self.watches.iter_mut().find(|watch| watch.source == from) else { return };
        watch.heard = Some(now);
        watch.insisted = false;
        let Freshness::Proven { age, .. } = freshness else { return };
        let as_of = now - age.max(0);
        watch.as_of = watch.as_of.max(Some(as_of));
        if now - as_of <= OLD {
            self.left_in_a_row = 0;
        }
        if self.pending.is_none_or(|(_, at)| at < as_of) {
            self.pending = Some((index, as_of));
        }
    }

    /// A source proved to have what is not held here; it is expected to push it.
    pub fn misses(&mut self, now: Micros, source: NodeAddress, index: LogIndex) {
        self.missing.get_or_insert(Missing { index, source, until: now + MISSED_AFTER });
    }

    /// What was expected and did not come: whom to ask for it now.
    pub fn overdue(&mut self, now: Micros) -> Option<NodeAddress> {
        let missing = self.missing.as_mut().filter(|missing| now >= missing.until)?;
        missing.until = now + MISSED_AFTER;
        Some(missing.source)
    }

    /// All up to `index` is held here.
    pub fn holds(&mut self, index: LogIndex) {
        self.missing.take_if(|missing| missing.index <= index);
        if let Some((_, as_of)) = self.pending.take_if(|(needs, _)| *needs <= index) {
            self.stats.up_to_date_at = self.stats.up_to_date_at.max(Some(as_of));
        }
    }

    /// Leaves sources that are silent or old, goes to others among those that are `up`, and asks those whose time has come.
    pub fn tend(&mut self, now: Micros, up: &[NodeAddress], out: &mut Vec<Effect>) {
        if now < self.next {
            return;
        }
        let by_stream = self.leave(now);
        self.go_to_wanted(now, up, by_stream, out);
        for watch in &mut self.watches {
            if !watch.insisted && watch.silent_for(now) >= INSIST_AFTER {
                watch.insisted = true;
                out.push(Effect::PreferStream { to: watch.source });
            }
            if now >= watch.next_ask() {
                watch.asked = Some(now);
                out.push(Effect::Send { to: watch.source, message: Message::FreshnessRequest });
            }
        }
        self.next = self.watches.iter().map(Watch::next_ask).min().unwrap_or(Micros::MAX);
    }

    /// Leaves those that are silent or old; whether one was silent.
    fn leave(&mut self, now: Micros) -> bool {
        self.left.retain(|_, at| now - *at < LEFT_FOR);
        let longer = (1 + self.left_in_a_row / LEAVES_BEFORE_BACKOFF).min(BACKOFF_MAX);
        let patience = LEAVE_AFTER * Micros::from(longer);
        let before = self.stats;
        let (left, stats, in_a_row) = (&mut self.left, &mut self.stats, &mut self.left_in_a_row);
        self.watches.retain(|watch| {
            let silent = watch.silent_for(now) >= patience;
            // One that is silent gets old as well: it is the silence that counts, and that is answered by a stream.
            let speaks = watch.silent_for(now) < INSIST_AFTER;
            let old = speaks && now - watch.since >= patience && !watch.serves(now);
            if silent || old {
                left.insert(watch.source, now);
                *in_a_row += 1;
                stats.dropped_silent += u64::from(silent);
                stats.dropped_stale += u64::from(!silent);
            }
            !(silent || old)
        });
        self.stats.dropped_silent > before.dropped_silent
    }

    /// Adds those that are wanted and not watched; those that are watched and not wanted go once the others serve.
    fn go_to_wanted(&mut self, now: Micros, up: &[NodeAddress], by_stream: bool, out: &mut Vec<Effect>) {
        let wanted = self.wanted(up);
        for source in &wanted {
            if !self.has(*source) && self.watches.len() < SOURCES_MAX {
                self.watches.push(Watch::at(*source, now));
                out.extend(by_stream.then_some(Effect::PreferStream { to: *source }));
            }
        }
        let serves = |source: &NodeAddress| {
            self.watches.iter().any(|watch| watch.source == *source && watch.serves(now))
        };
        if !wanted.is_empty() && wanted.iter().all(serves) {
            self.watches.retain(|watch| wanted.contains(&watch.source));
        }
    }

    /// The sources that are to serve this node: by rendezvous hashing, so that followers spread evenly and few move
    /// where a source comes or goes. One that was left lately only where there are no others.
    fn wanted(&self, up: &[NodeAddress]) -> Vec<NodeAddress> {
        let mut ranked: Vec<NodeAddress> = up.to_vec();
        ranked.sort_by_cached_key(|source| (self.left.contains_key(source), rank(self.own, *source)));
        ranked.truncate(SOURCES);
        ranked
    }
}

fn rank(follower: NodeAddress, source: NodeAddress) -> u64 {
    let mut hasher = DefaultHasher::new();
    (follower, source).hash(&mut hasher);
    hasher.finish()
}
