//! The replicator of one node: its explicit state, and one function for each transition.

mod pulls;
mod pushing;
mod serving;
mod snapshots;

use std::collections::BTreeMap;

use oorandom::Rand64;
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

use crate::freshness::{FreshnessCheck, LeaderContact};
use crate::gap::{Gap, Gaps, ReplicationStats};
use crate::pushes::{OverduePush, UnacknowledgedPushes};
use crate::recent::{EarlyCommands, Missing, RecentCommands};
use crate::watch::Watches;
use crate::watchers::Watchers;
use crate::{
    ChainedCommand, Effect, Event, Freshness, INLINE_BYTES_MAX, Message, Mode, PEERS_MAX, RECENT_BYTES_MAX,
    WatchStats,
};

/// Followers to which a source announces a large command at the same time.
const ANNOUNCE_BATCH: usize = 3;
/// Time until the next batch.
const ANNOUNCE_INTERVAL: Micros = 200 * MS;
/// Other followers to which a follower forwards a fresh command.
const FORWARD_FANOUT: usize = 2;
/// Other followers to which a follower announces a fresh command that is too large to forward.
const FORWARD_ANNOUNCE_FANOUT: usize = 3;
/// Time between digests after a change, while something is missing, and while this node's link is degraded.
const ACTIVE_DIGEST_INTERVAL: Micros = 500 * MS;
/// Time between digests otherwise.
const IDLE_DIGEST_INTERVAL: Micros = SECOND;
/// The node is idle once nothing has changed for this long.
const IDLE_AFTER: Micros = 2 * SECOND;
/// A pull that is not answered within this time, plus that of the transfer, is sent to another node. Multiplied by the
/// number of the attempt.
const PULL_TIMEOUT_BASE: Micros = 250 * MS;
/// Transfer time per byte that is expected, which is that of 330 KB a second.
const TRANSFER_MICROS_PER_BYTE: Micros = 3;
/// Attempts after the first; timeouts don't grow beyond them, and a pull of nothing known to be missing ends with them.
const PULL_RETRIES_MAX: u32 = 2;
/// A pull that has got no sign of an answer for this long may be replaced by one to a node that announces something now.
const PULL_SILENCE: Micros = 100 * MS;
/// Nodes remembered that announced more than is held here.
const ANNOUNCERS_MAX: usize = 8;
/// Largest answer to one pull; the rest is pulled again.
const PULL_ANSWER_BYTES_MAX: usize = 128 * 1024;
/// Up to this size, commands are sent even where a snapshot may be smaller.
const SNAPSHOT_THRESHOLD_BYTES: usize = 64 * 1024;
/// Unacknowledged commands up to this total size are repeated unasked.
const REPEAT_BYTES_MAX: usize = 4 * INLINE_BYTES_MAX;
/// A snapshot is kept this long for others that need the same one.
const SNAPSHOT_CACHED_FOR: Micros = 2 * SECOND;
/// Bytes of snapshots that a node sends at once; a larger one is sent alone. A node whose pull exceeds this and the rate
/// below gets no answer, pulls from another node, and is served by those that have the snapshot by then. Guards against a
/// start of all nodes at once, in which the copies for all followers would wait in the memory of a few sources.
const SNAPSHOT_BURST_BYTES: i64 = 4_000_000;
/// Bytes of snapshots that a node sends per millisecond after such a burst.
const SNAPSHOT_BYTES_PER_MS: i64 = 500;
/// After a snapshot was sent, the commands committed meanwhile are kept for its receiver for this long, plus the time of
/// the transfer.
const EXTENDED_RETENTION: Micros = 5 * SECOND;
/// Bytes of commands that are kept in this way on top of `RECENT_BYTES_MAX`.
const EXTENDED_RETENTION_BYTES_MAX: usize = 4_000_000;
/// Nodes that wait for the same snapshot; the pulls of others get no answer.
const SNAPSHOT_WAITERS_MAX: usize = 128;
/// Commands pushed within a second; a source that reads its log again at the start must not flood the followers.
const PUSHES_PER_SECOND_MAX: u32 = 32;
/// The most bytes that a command takes in an encoded message in addition to its data.
const COMMAND_OVERHEAD_BYTES: usize = 24;

/// A pull that is in progress.
#[derive(Debug)]
struct Pull {
    from: NodeAddress,
    sent_at: Micros,
    /// When another node is asked instead.
    deadline: Micros,
    /// Attempts before this one.
    retries: u32,
    /// What is pulled was committed just now.
    fresh: bool,
    /// The largest size that the node has announced since the pull was sent.
    announced_bytes: u32,
}

/// A snapshot as the driver gave it.
#[derive(Debug)]
struct CachedSnapshot {
    index: LogIndex,
    data: Vec<u8>,
    at: Micros,
}

/// Announcements of a large command that are still to be sent.
#[derive(Debug)]
struct DeferredAnnouncements {
    at: Micros,
    receivers: Vec<NodeAddress>,
}

/// Bytes of snapshots that may be sent; refilled at `SNAPSHOT_BYTES_PER_MS` up to `SNAPSHOT_BURST_BYTES`. Negative after a
/// snapshot that is larger than the burst.
#[derive(Debug)]
struct SnapshotAllowance {
    bytes: i64,
    refilled_at: Micros,
}

/// Commands kept longer for the receivers of snapshots.
#[derive(Debug)]
struct ExtendedRetention {
    until: Micros,
    /// Bytes on top of `RECENT_BYTES_MAX`.
    bytes: usize,
}

/// Counts the commands pushed in the current second.
#[derive(Debug)]
struct PushRate {
    window_start: Micros,
    pushes: u32,
}

/// A source's freshness, as of a time.
#[derive(Debug)]
struct OwnFreshness {
    freshness: Freshness,
    at: Micros,
}

/// What one node holds of the committed commands, and its exchange with others.
pub struct Replicator {
    own: NodeAddress,
    mode: Mode,
    index: LogIndex,
    /// The highest index heard of from any node.
    known_index: LogIndex,
    /// Size of the command at `known_index`.
    known_bytes: u32,
    rand: Rand64,
    sources: Vec<NodeAddress>,
    others: Vec<NodeAddress>,
    /// Others that can't watch sources, because their programs are older.
    non_watching: Vec<NodeAddress>,
    recent: RecentCommands,
    early: EarlyCommands,
    /// The nodes that announced more than is held here, and up to where; the latest last.
    announcers: Vec<(NodeAddress, LogIndex)>,
    pull: Option<Pull>,
    deferred: DeferredAnnouncements,
    cached_snapshot: Option<CachedSnapshot>,
    /// Size of the last snapshot seen.
    snapshot_bytes: usize,
    /// The nodes that get the snapshot asked of the driver.
    snapshot_waiters: Vec<NodeAddress>,
    snapshot_allowance: SnapshotAllowance,
    extended_retention: ExtendedRetention,
    push_rate: PushRate,
    last_advance: Micros,
    next_digest: Micros,
    /// Whether the last digest of an idle follower went to a source.
    digest_to_source: bool,
    /// Sources that are to get a digest, the next one last. Taking each in turn ensures that none is left out for long by
    /// chance.
    digest_order: Vec<NodeAddress>,
    /// At a follower: whether the state held here is fresh.
    freshness_check: FreshnessCheck,
    /// At a follower: the sources that push to it.
    watches: Watches,
    /// At a source: the followers that it pushes to.
    watchers: Watchers,
    /// At a source: its own freshness.
    own_freshness: OwnFreshness,
    /// At a source: whether the leader that it follows hears it.
    leader_contact: LeaderContact,
    gaps: Gaps,
    /// At a source: the followers that have not acknowledged what was pushed to them.
    unacknowledged: UnacknowledgedPushes,
    /// At a follower: the sources that pushed a command, and the index to acknowledge once it is held here.
    owed_acks: BTreeMap<NodeAddress, LogIndex>,
    link_degraded: bool,
    now: Micros,
}

impl Replicator {
    /// A replicator that holds everything up to `start`, and neither sends nor applies anything below. `seed` initialises
    /// the random generator; `now` and all other times are those of a monotonic clock.
    pub fn start(own: NodeAddress, mode: Mode, start: LogIndex, seed: u64, now: Micros) -> Replicator {
        let mut rand = Rand64::new(u128::from(seed));
        let next_digest = now + rand.rand_range(0..ACTIVE_DIGEST_INTERVAL as u64) as Micros;
        Replicator {
            own,
            mode,
            index: start,
            known_index: start,
            known_bytes: 0,
            rand,
            sources: Vec::new(),
            others: Vec::new(),
            non_watching: Vec::new(),
            recent: RecentCommands::default(),
            early: EarlyCommands::default(),
            announcers: Vec::new(),
            pull: None,
            deferred: DeferredAnnouncements { at: Micros::MAX, receivers: Vec::new() },
            cached_snapshot: None,
            snapshot_bytes: 0,
            snapshot_waiters: Vec::new(),
            snapshot_allowance: SnapshotAllowance { bytes: SNAPSHOT_BURST_BYTES, refilled_at: now },
            extended_retention: ExtendedRetention { until: now, bytes: 0 },
            push_rate: PushRate { window_start: now, pushes: 0 },
            last_advance: now,
            next_digest,
            digest_to_source: true,
            digest_order: Vec::new(),
            freshness_check: FreshnessCheck::default(),
            watches: Watches::new(own),
            watchers: Watchers::default(),
            own_freshness: OwnFreshness { freshness: Freshness::Unproven, at: now },
            leader_contact: LeaderContact::default(),
            gaps: Gaps::default(),
            unacknowledged: UnacknowledgedPushes::default(),
            owed_acks: BTreeMap::new(),
            link_degraded: false,
            now,
        }
    }

    /// Handles one event. A `now` before that of the last step is taken as the same.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.handle_message(from, message, &mut out),
            Event::Committed { index, data } => self.handle_committed(index, data, &mut out),
            Event::SnapshotTaken { index, data } => self.handle_snapshot_taken(index, data, &mut out),
            Event::Restored { index } => self.handle_restored(index),
            Event::Peers { sources, others } => self.set_peers(sources, others, &mut out),
            Event::NonWatching { addresses } => self.set_non_watching(addresses),
            Event::LinkDegraded { degraded } => self.set_link_degraded(degraded),
            Event::FreshnessChanged { freshness } => {
                self.own_freshness = OwnFreshness { freshness, at: self.now };
            }
            Event::FollowsLeader { leader } => self.leader_contact.follow(self.now, leader, &mut out),
        }
        self.send_owed_acks(&mut out);
        self.run_timers(&mut out);
        self.freshness_check.index_held(self.index);
        if self.mode == Mode::Follower {
            self.watches.index_held(self.index);
            self.gaps.update(self.now, self.index, self.known_index);
        }
        out
    }

    /// When `step` must be called with `Event::Tick` at the latest.
    pub fn due(&self) -> Micros {
        let pull = self.pull.as_ref().map_or(Micros::MAX, |pull| pull.deadline);
        let follower = match self.mode {
            Mode::Source => Micros::MAX,
            Mode::Follower => self.freshness_check.due(&self.sources).min(self.watches.due()),
        };
        self.next_digest.min(pull).min(self.deferred.at).min(follower).min(self.unacknowledged.due())
    }

    /// At a follower: whether the state held here was known, once in this run, to be as new as what a majority had
    /// committed.
    pub fn is_fresh(&self) -> bool {
        self.freshness_check.is_done()
    }

    /// At a source: the latest time of this node's clock since which the leader that it follows, or followed, is known to
    /// have heard it.
    pub fn leader_contact(&self) -> Option<Micros> {
        self.leader_contact.confirmed_at()
    }

    /// Counters and gauges, for operators.
    pub fn stats(&self) -> ReplicationStats {
        self.gaps.stats(self.now, self.index, self.known_index)
    }

    /// At a follower: counters and gauges of its watches, for operators.
    pub fn watch_stats(&self) -> WatchStats {
        self.watches.stats()
    }

    /// At a source: the followers that watch it, in order of their addresses.
    pub fn watchers(&self) -> impl Iterator<Item = NodeAddress> {
        self.watchers.addresses()
    }

    /// Rises whenever the set of `watchers` changes.
    pub fn watchers_revision(&self) -> u64 {
        self.watchers.revision()
    }

    /// At a follower: takes the latest gap that has closed since the last call.
    pub fn take_closed_gap(&mut self) -> Option<Gap> {
        self.gaps.take_closed()
    }

    /// All commands up to here are applied (at a source: committed).
    pub fn index(&self) -> LogIndex {
        self.index
    }

    fn run_timers(&mut self, out: &mut Vec<Effect>) {
        if self.cached_snapshot.as_ref().is_some_and(|cached| self.now - cached.at > SNAPSHOT_CACHED_FOR) {
            self.cached_snapshot = None;
        }
        if self.extended_retention.bytes > 0 && self.now >= self.extended_retention.until {
            self.extended_retention.bytes = 0;
            self.recent.trim(RECENT_BYTES_MAX);
        }
        if self.pull.as_ref().is_some_and(|pull| self.now >= pull.deadline) {
            self.gaps.pulls_unanswered += 1;
            self.retry_pull(out);
        }
        if self.now >= self.deferred.at {
            self.announce_batch(out);
        }
        self.watchers.expire(self.now);
        for overdue in self.unacknowledged.take_overdue(self.now) {
            self.repeat_push(overdue, out);
        }
        if self.now >= self.next_digest {
            self.send_digests(out);
        }
        if self.mode == Mode::Follower {
            self.freshness_check.send_requests(self.now, &self.sources, out);
            self.watches.maintain(self.now, &self.sources, out);
            self.pull_overdue_push(out);
        }
    }

    /// Sends digests. A follower sends them to the sources in turn and to other followers at random: alternately while it
    /// is idle, and otherwise to one of each. A source sends them to followers at random.
    fn send_digests(&mut self, out: &mut Vec<Effect>) {
        let idle = self.now - self.last_advance > IDLE_AFTER
            && self.index >= self.known_index
            && !self.link_degraded;
        self.next_digest = self.now + if idle { IDLE_DIGEST_INTERVAL } else { ACTIVE_DIGEST_INTERVAL };
        self.digest_to_source = !self.digest_to_source;
        let (to_source, to_other) = match self.mode {
            Mode::Source => (false, true),
            Mode::Follower => (self.digest_to_source || !idle, !self.digest_to_source || !idle),
        };
        let source = if to_source { self.next_digest_source() } else { None };
        let other = if to_other || source.is_none() { pick(&mut self.rand, &self.others) } else { None };
        for to in source.into_iter().chain(other) {
            self.send_digest(to, false, out);
        }
    }

    fn set_link_degraded(&mut self, degraded: bool) {
        if degraded && !self.link_degraded {
            self.next_digest = self.next_digest.min(self.now + ACTIVE_DIGEST_INTERVAL);
        }
        self.link_degraded = degraded;
    }

    /// Acknowledges the pushed commands that are held by now.
    fn send_owed_acks(&mut self, out: &mut Vec<Effect>) {
        let held = self.index;
        let ready = self.owed_acks.iter().filter(|(_, index)| **index <= held).map(|(source, _)| *source);
        for source in ready.collect::<Vec<NodeAddress>>() {
            self.owed_acks.remove(&source);
            self.send_digest(source, false, out);
        }
    }

    /// Notes that a source has pushed or announced a fresh command, and waits for an acknowledgement.
    fn note_push(&mut self, from: NodeAddress, index: LogIndex) {
        if self.mode == Mode::Follower && (self.sources.contains(&from) || self.watches.contains(from)) {
            let owed = self.owed_acks.entry(from).or_insert(index);
            *owed = index.max(*owed);
        }
    }

    /// Yields each source that is up once, in random order, and then begins again in another order.
    fn next_digest_source(&mut self) -> Option<NodeAddress> {
        if self.digest_order.is_empty() {
            self.digest_order.clone_from(&self.sources);
            shuffle(&mut self.rand, &mut self.digest_order);
        }
        self.digest_order.pop()
    }

    fn set_peers(&mut self, sources: Vec<NodeAddress>, others: Vec<NodeAddress>, out: &mut Vec<Effect>) {
        let own = self.own;
        let normalized = |addresses: Vec<NodeAddress>| {
            let mut addresses: Vec<NodeAddress> =
                addresses.into_iter().filter(|address| *address != own).collect();
            addresses.sort_unstable();
            addresses.dedup();
            addresses.truncate(PEERS_MAX);
            addresses
        };
        let (sources, others) = (normalized(sources), normalized(others));
        let new_sources: Vec<NodeAddress> =
            sources.iter().copied().filter(|source| !self.sources.contains(source)).collect();
        (self.sources, self.others) = (sources, others);
        self.drop_state_of_former_peers();
        self.digest_order.extend(&new_sources);
        shuffle(&mut self.rand, &mut self.digest_order);
        // A source that is new, or was out of reach, may hold more: it is asked at once.
        if self.mode == Mode::Follower
            && self.pull.is_none()
            && let Some(source) = pick(&mut self.rand, &new_sources)
        {
            self.start_pull(source, 0, false, out);
        }
    }

    /// Drops what was kept for nodes that are no longer peers, and ends a pull from one of them.
    fn drop_state_of_former_peers(&mut self) {
        let (watchers, others) = (&self.watchers, &self.others);
        self.unacknowledged
            .retain(|address| watchers.contains(address) || others.binary_search(&address).is_ok());
        let (watches, sources) = (&self.watches, &self.sources);
        self.owed_acks.retain(|source, _| sources.contains(source) || watches.contains(*source));
        self.watches.sources_changed();
        self.digest_order.retain(|source| self.sources.contains(source));
        self.announcers
            .retain(|(address, _)| self.sources.contains(address) || self.others.contains(address));
        if let Some(pull) = &mut self.pull
            && !self.sources.contains(&pull.from)
            && !self.others.contains(&pull.from)
        {
            pull.deadline = self.now;
        }
    }

    fn set_non_watching(&mut self, mut addresses: Vec<NodeAddress>) {
        addresses.sort_unstable();
        addresses.dedup();
        addresses.truncate(PEERS_MAX);
        self.non_watching = addresses;
    }

    fn handle_message(&mut self, from: NodeAddress, message: Message, out: &mut Vec<Effect>) {
        if from == self.own {
            return;
        }
        match message {
            Message::Commands { fresh, more, commands } => {
                self.handle_commands(from, fresh, more, commands, out);
            }
            Message::Digest { index, latest_bytes, fresh } => {
                self.handle_digest(from, index, latest_bytes, fresh, out);
            }
            Message::Pull { held } => self.handle_pull(from, held, out),
            Message::Snapshot { index, data } => self.handle_snapshot(from, index, data, out),
            Message::FreshnessRequest => self.answer_freshness_request(from, out),
            Message::FreshnessProof { index, freshness } => {
                self.handle_freshness_proof(from, index, freshness, out);
            }
        }
    }

    /// Handles a source's answer. If it holds more than this node, a node that has just started takes the answer as a
    /// digest and pulls at once; later the source is expected to push.
    fn handle_freshness_proof(
        &mut self, from: NodeAddress, index: LogIndex, freshness: Freshness, out: &mut Vec<Effect>,
    ) {
        if self.mode == Mode::Source {
            self.leader_contact.record_answer(from);
        } else {
            self.freshness_check.record_answer(self.now, from, index, freshness);
            self.watches.record_answer(self.now, from, index, freshness);
            if index > self.index && self.freshness_check.is_done() {
                self.watches.expect_push(self.now, from, index);
            } else if index > self.index {
                self.handle_digest(from, index, 0, false, out);
            }
        }
    }

    fn handle_commands(
        &mut self, from: NodeAddress, fresh: bool, more: bool, commands: Vec<ChainedCommand>,
        out: &mut Vec<Effect>,
    ) {
        if self.mode == Mode::Source {
            return;
        }
        let before = self.index;
        if fresh && let Some(last) = commands.last() {
            self.note_push(from, last.index);
        }
        let answers_fresh_pull = self.pull.as_ref().is_some_and(|pull| pull.from == from && pull.fresh);
        let fresh = fresh || answers_fresh_pull;
        for command in commands {
            if command.index <= self.index
                || command.prev >= command.index
                || self.early.contains(command.index)
            {
                continue;
            }
            self.note_announcement(from, command.index, command.data.len() as u32);
            if fresh && command.index >= self.known_index {
                self.forward(from, &command, out);
            }
            if command.prev <= self.index {
                self.apply(command, out);
            } else {
                self.early.insert(command);
            }
        }
        self.apply_early(out);
        self.continue_pull(from, more, self.index > before, out);
    }

    fn apply(&mut self, command: ChainedCommand, out: &mut Vec<Effect>) {
        self.advance(command.index, command.data.len() as u32);
        out.push(Effect::Apply { index: command.index, data: command.data.clone() });
        self.recent.push(command, RECENT_BYTES_MAX + self.extended_retention.bytes);
    }

    /// Applies the commands that arrived early and can be applied by now.
    fn apply_early(&mut self, out: &mut Vec<Effect>) {
        while let Some(command) = self.early.take_next(self.index) {
            self.apply(command, out);
        }
    }

    /// The only function that changes `index`, which never decreases.
    fn advance(&mut self, index: LogIndex, latest_bytes: u32) {
        debug_assert!(index > self.index);
        self.index = index;
        if index > self.known_index {
            (self.known_index, self.known_bytes) = (index, latest_bytes);
        }
        self.last_advance = self.now;
        self.next_digest = self.next_digest.min(self.now + ACTIVE_DIGEST_INTERVAL);
        self.cached_snapshot = None;
    }

    /// Notes that a node holds everything up to `index`, where a command has `latest_bytes` bytes.
    fn note_announcement(&mut self, from: NodeAddress, index: LogIndex, latest_bytes: u32) {
        if index > self.known_index {
            (self.known_index, self.known_bytes) = (index, latest_bytes);
        }
        if index > self.index {
            self.announcers.retain(|(address, _)| *address != from);
            if self.announcers.len() >= ANNOUNCERS_MAX {
                self.announcers.remove(0);
            }
            self.announcers.push((from, index));
        }
    }

    fn handle_digest(
        &mut self, from: NodeAddress, index: LogIndex, latest_bytes: u32, fresh: bool, out: &mut Vec<Effect>,
    ) {
        self.note_announcement(from, index, latest_bytes);
        self.unacknowledged.acknowledge(from, index);
        if fresh {
            self.note_push(from, index);
        }
        if index > self.index {
            if self.mode == Mode::Follower && (self.pull.is_none() || self.should_replace_pull(from)) {
                self.start_pull(from, 0, fresh, out);
            } else {
                self.extend_pull(from, latest_bytes);
            }
            return;
        }
        if index < self.index && !self.sources.contains(&from) {
            self.repair(from, index, out);
        }
        if self.pull.as_ref().is_some_and(|pull| pull.from == from) {
            self.pull_found_nothing(out);
        }
    }
}

fn pick(rand: &mut Rand64, addresses: &[NodeAddress]) -> Option<NodeAddress> {
    (!addresses.is_empty()).then(|| addresses[rand.rand_range(0..addresses.len() as u64) as usize])
}

fn shuffle(rand: &mut Rand64, addresses: &mut [NodeAddress]) {
    for last in (1..addresses.len()).rev() {
        addresses.swap(last, rand.rand_range(0..last as u64 + 1) as usize);
    }
}
