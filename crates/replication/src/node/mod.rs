//! One node's board: explicit states, and one function for each change of state.

mod commands;
mod pulls;
mod pushing;
mod snapshots;

use std::collections::BTreeMap;

use oorandom::Rand64;
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

use crate::freshness::{Contact, Proofs};
use crate::gap::{Gap, Gaps, ReplicationStats};
use crate::pushes::{Overdue, Pushes};
use crate::recent::{Early, Ring};
use crate::watch::Watches;
use crate::watchers::Watchers;
use crate::{
    ChainedCommand, Effect, Event, Freshness, INLINE_BYTES_MAX, Message, Mode, PEERS_MAX, RECENT_BYTES_MAX,
    WatchStats,
};

/// How many a hub tells at once of a big command, and when the next so many of those that it serves hear of it.
const BIG_FANOUT: usize = 3;
const TELL_LATER: Micros = 200 * MS;
/// To how many others a node passes fresh commands on, and tells of big ones.
const PASS_ON: usize = 2;
const PASS_ON_BIG: usize = 3;
/// Digests: after news, and when calm.
const DIGEST_SOON: Micros = 500 * MS;
const DIGEST_CALM: Micros = SECOND;
const CALM_AFTER: Micros = 2 * SECOND;
/// Until another is asked: this, plus what the bytes take at 330 KB a second; longer with each try.
const ASK_BASE: Micros = 250 * MS;
const ASK_BYTE: Micros = 3;
const ASK_TRIES_MAX: u32 = 2;
/// One that was asked and has said nothing for so long gives way to another that speaks.
const SILENT: Micros = 100 * MS;
const TELLERS_MAX: usize = 8;
/// The most bytes of commands in answer to one ask; what is left is asked for again.
const ANSWER_BYTES_MAX: usize = 128 * 1024;
/// Below this, commands are sent even where a whole state may be smaller.
const WHOLE_ABOVE: usize = 64 * 1024;
/// Pushed commands up to so many bytes together are sent again without an ask.
const AGAIN_BYTES: usize = 4 * INLINE_BYTES_MAX;
/// A whole state is kept for others that ask for the same one within this time.
const WHOLE_KEPT: Micros = 2 * SECOND;
/// Bytes of whole states that a node sends at once, and in a millisecond after that; a larger one goes alone. Whoever
/// asks for more gets no answer, asks another, and is served by those who have it by then. Guards against a start of
/// all, in which each follower's copy would wait in the memory of a few hubs.
const WHOLES_MOST: i64 = 4_000_000;
const WHOLES_MILLI: i64 = 500;
/// After a whole state was sent, what is committed meanwhile is kept for the one that it goes to, for so long beside the
/// time that its bytes are given, and in so many bytes at most beside the ring's own.
const CHAIN_KEPT: Micros = 5 * SECOND;
const CHAIN_BYTES_MAX: usize = 4_000_000;
const WANTING_MAX: usize = 128;
/// Commands pushed within a second; a log that is read again at the start must not flood the fleet.
const PUSHES_MAX: u32 = 32;

/// An ask that is out.
#[derive(Debug)]
struct Asked {
    from: NodeAddress,
    at: Micros,
    /// Another is asked from then on.
    until: Micros,
    tries: u32,
    /// What is asked for was committed just now.
    fresh: bool,
    /// The most bytes that it told of since.
    told: u32,
}

/// A whole state as the driver told it.
#[derive(Debug)]
struct Kept {
    index: LogIndex,
    data: Vec<u8>,
    at: Micros,
}

/// What this node holds of the ordered news, and whom it asks and tells.
pub struct Replicator {
    own: NodeAddress,
    mode: Mode,
    index: LogIndex,
    /// The highest index heard of anywhere.
    known: LogIndex,
    /// Bytes of the command at `known`.
    known_bytes: u32,
    rand: Rand64,
    hubs: Vec<NodeAddress>,
    others: Vec<NodeAddress>,
    /// Others that keep no watch, as their programs are older.
    unwatching: Vec<NodeAddress>,
    ring: Ring,
    early: Early,
    /// Who told of more than is held here, latest last.
    tellers: Vec<(NodeAddress, LogIndex)>,
    asked: Option<Asked>,
    /// Whom to tell of a big command later, and when the next lot.
    tell_later: (Micros, Vec<NodeAddress>),
    kept: Option<Kept>,
    whole_bytes: usize,
    /// Who waits for `Kept`.
    wanting: Vec<NodeAddress>,
    /// Bytes of whole states that may be sent now, and since when.
    may_send: (i64, Micros),
    /// Until when the ring keeps more, and how many bytes more.
    chain: (Micros, usize),
    pushes: (Micros, u32),
    changed: Micros,
    next_digest: Micros,
    digest_hub: bool,
    /// Hubs that are to hear what is held here, the next one last: each in its turn, so that none is left out for long
    /// by chance.
    turn: Vec<NodeAddress>,
    /// At a follower: whether what is held is known to be new.
    proofs: Proofs,
    /// At a follower: the sources that are to serve it.
    watches: Watches,
    /// At a source: the followers that it serves.
    watchers: Watchers,
    /// At a source: how it stands, and as of when.
    stands: (Freshness, Micros),
    /// At a source: when the leader that it follows was last known to hear it.
    contact: Contact,
    gaps: Gaps,
    /// At a source: the followers that have not acknowledged what was pushed to them.
    unacknowledged: Pushes,
    /// At a follower: the hubs that pushed a command, to be told once it is held here.
    acknowledge: BTreeMap<NodeAddress, LogIndex>,
    degraded: bool,
    now: Micros,
}

impl Replicator {
    /// A board that holds all up to `start` and neither sends nor applies anything below it. Times are of a
    /// steady clock in microseconds, `seed` is for chance.
    pub fn start(own: NodeAddress, mode: Mode, start: LogIndex, seed: u64, now: Micros) -> Replicator {
        let mut rand = Rand64::new(u128::from(seed));
        let next_digest = now + rand.rand_range(0..DIGEST_SOON as u64) as Micros;
        Replicator {
            own,
            mode,
            index: start,
            known: start,
            known_bytes: 0,
            rand,
            hubs: Vec::new(),
            others: Vec::new(),
            unwatching: Vec::new(),
            ring: Ring::default(),
            early: Early::default(),
            tellers: Vec::new(),
            asked: None,
            tell_later: (Micros::MAX, Vec::new()),
            kept: None,
            whole_bytes: 0,
            wanting: Vec::new(),
            may_send: (WHOLES_MOST, now),
            chain: (now, 0),
            pushes: (now, 0),
            changed: now,
            next_digest,
            digest_hub: true,
            turn: Vec::new(),
            proofs: Proofs::default(),
            watches: Watches::of(own),
            watchers: Watchers::default(),
            stands: (Freshness::Unproven, now),
            contact: Contact::default(),
            gaps: Gaps::default(),
            unacknowledged: Pushes::default(),
            acknowledge: BTreeMap::new(),
            degraded: false,
            now,
        }
    }

    /// Takes one event; an earlier `now` than the last is read as the last one.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.received(from, message, &mut out),
            Event::Committed { index, data } => self.committed(index, data, &mut out),
            Event::SnapshotTaken { index, data } => self.whole_told(index, data, &mut out),
            Event::Restored { index } => self.restored(index),
            Event::Peers { sources: hubs, others } => self.peers(hubs, others, &mut out),
            Event::NonWatching { addresses } => self.unwatching(addresses),
            Event::LinkDegraded { degraded } => self.degraded(degraded),
            Event::FreshnessChanged { freshness } => self.stands = (freshness, self.now),
            Event::FollowsLeader { leader } => self.contact.follows(self.now, leader, &mut out),
        }
        self.acknowledge(&mut out);
        self.timers(&mut out);
        self.proofs.holds(self.index);
        if self.mode == Mode::Follower {
            self.watches.holds(self.index);
            self.gaps.update(self.now, self.index, self.known);
        }
        out
    }

    /// When `step` wants a `Tick` at the latest.
    pub fn due(&self) -> Micros {
        let asked = self.asked.as_ref().map_or(Micros::MAX, |asked| asked.until);
        let proofs = match self.mode {
            Mode::Source => Micros::MAX,
            Mode::Follower => self.proofs.due(&self.hubs).min(self.watches.due()),
        };
        self.next_digest.min(asked).min(self.tell_later.0).min(proofs).min(self.unacknowledged.due())
    }

    /// Whether what is held here was once known, in this life, to be as new as what a majority had ordered.
    pub fn is_fresh(&self) -> bool {
        self.proofs.done()
    }

    /// At a source: the last moment of the own clock for which the leader that it follows, or followed, is known to have
    /// heard it since, by an answer to its ask.
    pub fn leader_contact(&self) -> Option<Micros> {
        self.contact.at()
    }

    /// For people who look after the system.
    pub fn stats(&self) -> ReplicationStats {
        self.gaps.stats(self.now, self.index, self.known)
    }

    /// At a follower: of the sources that it watches.
    pub fn watch_stats(&self) -> WatchStats {
        self.watches.stats()
    }

    /// At a source: the followers that asked to be served, in order. `watchers_revision` rises whenever they are others.
    pub fn watchers(&self) -> impl Iterator<Item = NodeAddress> {
        self.watchers.addresses()
    }

    pub fn watchers_revision(&self) -> u64 {
        self.watchers.changes()
    }

    /// At a follower: the latest gap that has closed since this was asked last.
    pub fn take_closed_gap(&mut self) -> Option<Gap> {
        self.gaps.take_closed()
    }

    /// All commands up to here are applied (or, at a source, committed).
    pub fn index(&self) -> LogIndex {
        self.index
    }

    fn timers(&mut self, out: &mut Vec<Effect>) {
        if self.kept.as_ref().is_some_and(|kept| self.now - kept.at > WHOLE_KEPT) {
            self.kept = None;
        }
        if self.chain.1 > 0 && self.now >= self.chain.0 {
            self.chain.1 = 0;
            self.ring.trim(RECENT_BYTES_MAX);
        }
        if self.asked.as_ref().is_some_and(|asked| self.now >= asked.until) {
            self.gaps.pulls_unanswered += 1;
            self.ask_another(out);
        }
        if self.now >= self.tell_later.0 {
            self.tell_lot(out);
        }
        self.watchers.expire(self.now);
        for overdue in self.unacknowledged.overdue(self.now) {
            self.push_again(overdue, out);
        }
        if self.now >= self.next_digest {
            self.digest(out);
        }
        if self.mode == Mode::Follower {
            self.proofs.ask(self.now, &self.hubs, out);
            self.watches.tend(self.now, &self.hubs, out);
            self.ask_for_missed(out);
        }
    }

    /// Tells what is held: a follower to a hub, each in its turn, and to another follower by chance, one after the other
    /// when it is calm and both at once after news; a hub to a follower by chance.
    fn digest(&mut self, out: &mut Vec<Effect>) {
        let calm = self.now - self.changed > CALM_AFTER && self.index >= self.known && !self.degraded;
        self.next_digest = self.now + if calm { DIGEST_CALM } else { DIGEST_SOON };
        self.digest_hub = !self.digest_hub;
        let (hub, other) = match self.mode {
            Mode::Source => (false, true),
            Mode::Follower => (self.digest_hub || !calm, !self.digest_hub || !calm),
        };
        let hub = if hub { self.next_hub() } else { None };
        let other = if other || hub.is_none() { pick(&mut self.rand, &self.others) } else { None };
        for to in hub.into_iter().chain(other) {
            self.tell(to, false, out);
        }
    }

    fn degraded(&mut self, degraded: bool) {
        if degraded && !self.degraded {
            self.next_digest = self.next_digest.min(self.now + DIGEST_SOON);
        }
        self.degraded = degraded;
    }

    /// Tells hubs that what they pushed is held here.
    fn acknowledge(&mut self, out: &mut Vec<Effect>) {
        let held = self.index;
        let ready = self.acknowledge.iter().filter(|(_, index)| **index <= held).map(|(hub, _)| *hub);
        for hub in ready.collect::<Vec<NodeAddress>>() {
            self.acknowledge.remove(&hub);
            self.tell(hub, false, out);
        }
    }

    /// A hub has told of a command that was committed just now, and waits to hear that it is held here.
    fn pushed_by(&mut self, hub: NodeAddress, index: LogIndex) {
        if self.mode == Mode::Follower && (self.hubs.contains(&hub) || self.watches.has(hub)) {
            let wanted = self.acknowledge.entry(hub).or_insert(index);
            *wanted = index.max(*wanted);
        }
    }

    /// Each hub that is up once, in an order by chance; then a new order.
    fn next_hub(&mut self) -> Option<NodeAddress> {
        if self.turn.is_empty() {
            self.turn.clone_from(&self.hubs);
            shuffle(&mut self.rand, &mut self.turn);
        }
        self.turn.pop()
    }

    fn peers(&mut self, hubs: Vec<NodeAddress>, others: Vec<NodeAddress>, out: &mut Vec<Effect>) {
        let own = self.own;
        let sorted = |addresses: Vec<NodeAddress>| {
            let mut addresses: Vec<NodeAddress> =
                addresses.into_iter().filter(|address| *address != own).collect();
            addresses.sort_unstable();
            addresses.dedup();
            addresses.truncate(PEERS_MAX);
            addresses
        };
        let (hubs, others) = (sorted(hubs), sorted(others));
        let new: Vec<NodeAddress> = hubs.iter().copied().filter(|hub| !self.hubs.contains(hub)).collect();
        (self.hubs, self.others) = (hubs, others);
        let (watchers, others) = (&self.watchers, &self.others);
        self.unacknowledged.keep(|address| watchers.has(address) || others.binary_search(&address).is_ok());
        let (watches, hubs) = (&self.watches, &self.hubs);
        self.acknowledge.retain(|hub, _| hubs.contains(hub) || watches.has(*hub));
        self.watches.sources_changed();
        self.turn.retain(|hub| self.hubs.contains(hub));
        self.turn.extend(&new);
        shuffle(&mut self.rand, &mut self.turn);
        self.tellers.retain(|(address, _)| self.hubs.contains(address) || self.others.contains(address));
        if let Some(asked) = &mut self.asked
            && !self.hubs.contains(&asked.from)
            && !self.others.contains(&asked.from)
        {
            asked.until = self.now;
        }
        // A hub that was out of reach, or is new, may know more: it is asked at once.
        if self.mode == Mode::Follower
            && self.asked.is_none()
            && let Some(hub) = pick(&mut self.rand, &new)
        {
            self.ask(hub, 0, false, out);
        }
    }

    fn unwatching(&mut self, mut addresses: Vec<NodeAddress>) {
        addresses.sort_unstable();
        addresses.dedup();
        addresses.truncate(PEERS_MAX);
        self.unwatching = addresses;
    }

    fn received(&mut self, from: NodeAddress, message: Message, out: &mut Vec<Effect>) {
        if from == self.own {
            return;
        }
        match message {
            Message::Commands { fresh, more, commands } => self.commands(from, fresh, more, commands, out),
            Message::Digest { index, latest_bytes, fresh } => {
                self.have(from, index, latest_bytes, fresh, out)
            }
            Message::Pull { held: have } => self.want(from, have, out),
            Message::Snapshot { index, data } => self.whole(from, index, data, out),
            Message::FreshnessRequest => self.tell_standing(from, out),
            Message::FreshnessProof { index, freshness } => self.proof(from, index, freshness, out),
        }
    }

    /// A source that holds more than is here is asked for it at once by one that has just started, as if it had told by a
    /// digest. Later it is expected to push it.
    fn proof(&mut self, from: NodeAddress, index: LogIndex, freshness: Freshness, out: &mut Vec<Effect>) {
        if self.mode == Mode::Source {
            self.contact.answered(from);
        } else {
            self.proofs.answered(self.now, from, index, freshness);
            self.watches.answered(self.now, from, index, freshness);
            if index > self.index && self.proofs.done() {
                self.watches.misses(self.now, from, index);
            } else if index > self.index {
                self.have(from, index, 0, false, out);
            }
        }
    }

    fn commands(
        &mut self, from: NodeAddress, fresh: bool, more: bool, commands: Vec<ChainedCommand>,
        out: &mut Vec<Effect>,
    ) {
        if self.mode == Mode::Source {
            return;
        }
        let before = self.index;
        if fresh && let Some(last) = commands.last() {
            self.pushed_by(from, last.index);
        }
        let answer = self.asked.as_ref().is_some_and(|asked| asked.from == from);
        let fresh = fresh || (answer && self.asked.as_ref().is_some_and(|asked| asked.fresh));
        for piece in commands {
            if piece.index <= self.index || piece.prev >= piece.index || self.early.has(piece.index) {
                continue;
            }
            self.heard_of(from, piece.index, piece.data.len() as u32);
            if fresh && piece.index >= self.known {
                self.pass_on(from, &piece, out);
            }
            if piece.prev <= self.index {
                self.apply(piece, out);
            } else {
                self.early.keep(piece);
            }
        }
        self.apply_early(out);
        self.go_on(from, more, self.index > before, out);
    }

    fn apply(&mut self, piece: ChainedCommand, out: &mut Vec<Effect>) {
        self.advance(piece.index, piece.data.len() as u32);
        out.push(Effect::Apply { index: piece.index, data: piece.data.clone() });
        self.ring.push(piece, RECENT_BYTES_MAX + self.chain.1);
    }

    fn apply_early(&mut self, out: &mut Vec<Effect>) {
        while let Some(piece) = self.early.next(self.index) {
            self.apply(piece, out);
        }
    }

    /// The only address where `index` moves, and it only rises.
    fn advance(&mut self, index: LogIndex, latest_bytes: u32) {
        debug_assert!(index > self.index);
        self.index = index;
        if index > self.known {
            (self.known, self.known_bytes) = (index, latest_bytes);
        }
        self.changed = self.now;
        self.next_digest = self.next_digest.min(self.now + DIGEST_SOON);
        self.kept = None;
    }

    fn heard_of(&mut self, from: NodeAddress, index: LogIndex, latest_bytes: u32) {
        if index > self.known {
            (self.known, self.known_bytes) = (index, latest_bytes);
        }
        if index > self.index {
            self.tellers.retain(|(address, _)| *address != from);
            if self.tellers.len() >= TELLERS_MAX {
                self.tellers.remove(0);
            }
            self.tellers.push((from, index));
        }
    }

    fn have(
        &mut self, from: NodeAddress, index: LogIndex, latest_bytes: u32, fresh: bool, out: &mut Vec<Effect>,
    ) {
        self.heard_of(from, index, latest_bytes);
        self.unacknowledged.holds(from, index);
        if fresh {
            self.pushed_by(from, index);
        }
        if index > self.index {
            if self.mode == Mode::Follower && (self.asked.is_none() || self.asked_in_vain(from)) {
                self.ask(from, 0, fresh, out);
            } else {
                self.told_while_asking(from, latest_bytes);
            }
            return;
        }
        if index < self.index && !self.hubs.contains(&from) {
            self.mend(from, index, out);
        }
        if self.asked.as_ref().is_some_and(|asked| asked.from == from) {
            self.nothing_there(out);
        }
    }
}

/// The most that a piece takes on the wire beside its data.
const PIECE_HEAD: usize = 24;

fn pick(rand: &mut Rand64, addresses: &[NodeAddress]) -> Option<NodeAddress> {
    (!addresses.is_empty()).then(|| addresses[rand.rand_range(0..addresses.len() as u64) as usize])
}

fn shuffle(rand: &mut Rand64, addresses: &mut [NodeAddress]) {
    for last in (1..addresses.len()).rev() {
        addresses.swap(last, rand.rand_range(0..last as u64 + 1) as usize);
    }
}
