//! The list itself: one entry for each life, the order of two views of it, one function for each change, sums
//! over ranges. Knows nothing of other nodes.

use std::net::{Ipv4Addr, SocketAddrV4};

use indexmap::IndexMap;
use types::{Micros, NodeAddress, SECOND};

use crate::{DIGEST_RANGES, Heartbeat, Instance, InstanceId, InstanceState, LONGEST, Record, RecordVersion};

/// Most entries kept; beyond, the oldest that are gone make room, or newcomers are refused.
const MOST: usize = 4096;
/// How long one that is gone is remembered, so that late calls and lagging copies can't bring it back.
const GONE_KEPT: Micros = 60 * SECOND;
/// How long a silent one is remembered, in case that it beats again.
const SILENT_KEPT: Micros = 120 * SECOND;
/// This long before its end a memory is no longer compared or taken over: nodes that forget at slightly
/// different moments would hand it to each other for ever.
const UNLISTED: Micros = 15 * SECOND;

/// One life as it is kept here.
#[derive(Debug)]
pub(crate) struct Entry {
    pub known: Instance,
    /// The highest sequence heard here; above the known one at the owner, whose beats are not passed on.
    latest: u64,
    /// The last beat here, or when this node came to be its owner.
    pub heard: Micros,
    /// When another node's newer word on it was last taken over.
    pub told: Micros,
    /// Whether it was seen here that enough others know that it leaves.
    pub confirmed: bool,
    /// When it was last sent to another hub for balance.
    pub moved: Option<Micros>,
    /// Instance from before this process's start, and neither heard nor told anew since.
    pub remembered: bool,
    hash: u64,
    /// Whether it counts in the sums.
    listed: bool,
}

/// What came of a change: for other nodes and for the driver.
#[derive(Debug, Default)]
pub(crate) struct Learnt {
    /// Lives of which something new is known, and whether it is that they leave.
    pub news: Vec<(InstanceId, bool)>,
    /// Of these, the own knowledge proved newer than what another said: to be told to all.
    pub again: Vec<InstanceId>,
    pub shown: Vec<Instance>,
}

/// What a beat did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// Late, or as known.
    Nothing,
    Changed,
    /// No room for another life.
    Full,
}

#[derive(Debug, Default)]
pub(crate) struct List {
    entries: IndexMap<InstanceId, Entry>,
    sums: [u64; DIGEST_RANGES],
    /// How often anything changed.
    changes: u64,
}

impl List {
    pub fn get(&self, id: &InstanceId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub fn changes(&self) -> u64 {
        self.changes
    }

    pub fn sums(&self) -> &[u64; DIGEST_RANGES] {
        &self.sums
    }

    /// A beat at this node, which becomes the owner. One that is not above the last sequence changes nothing,
    /// except that a drain is believed whenever it comes: an acknowledged one must be kept.
    pub fn hear(&mut self, now: Micros, own: NodeAddress, beat: &Heartbeat, learnt: &mut Learnt) -> Heard {
        let Some(entry) = self.entries.get_mut(&beat.id) else {
            if !self.room() {
                return Heard::Full;
            }
            self.set(now, own, first(now, own, beat), learnt);
            self.supersede(now, own, &beat.id, true, learnt);
            return Heard::Changed;
        };
        let late = beat.sequence <= entry.latest;
        let drains = beat.draining && !entry.known.state.is_leaving();
        if entry.known.state == InstanceState::Gone || (late && !drains) {
            return Heard::Nothing;
        }
        if !late {
            entry.latest = beat.sequence;
            entry.heard = now;
            entry.remembered = false;
            if says(beat, &entry.known, now, own) {
                return Heard::Nothing;
            }
        }
        let mut next = if late { entry.known.clone() } else { first(now, own, beat) };
        next.sequence = entry.latest;
        next.first_seen = entry.known.first_seen;
        if entry.known.state == InstanceState::Draining {
            next.state = InstanceState::Draining;
        } else if drains {
            next.state = InstanceState::Draining;
            next.state_since = now;
        }
        if next.state == entry.known.state {
            next.state_since = entry.known.state_since;
        }
        let address_changed = next.address != entry.known.address;
        self.set(now, own, next, learnt);
        if address_changed {
            self.supersede(now, own, &beat.id, true, learnt);
        }
        Heard::Changed
    }

    /// The life says that it ends. One not known leaves a memory all the same, so that its late beats find it.
    /// Returns whether there was room for it.
    pub fn detach(&mut self, now: Micros, own: NodeAddress, id: &InstanceId, learnt: &mut Learnt) -> bool {
        if self.entries.contains_key(id) {
            self.end(now, own, id, learnt);
            return true;
        }
        if !self.room() {
            return false;
        }
        let known = Instance {
            id: id.clone(),
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            version: String::new(),
            slots: 0,
            state: InstanceState::Gone,
            sequence: 0,
            first_seen: now,
            warm_at: now,
            state_since: now,
            owner: own,
        };
        self.set(now, own, known, learnt);
        true
    }

    /// Nothing came from it for too long: silent, or gone if it was leaving.
    pub fn quiet(&mut self, now: Micros, own: NodeAddress, id: &InstanceId, learnt: &mut Learnt) {
        let Some(entry) = self.entries.get(id) else { return };
        match entry.known.state {
            InstanceState::Silent | InstanceState::Gone => {}
            InstanceState::Draining => self.end(now, own, id, learnt),
            InstanceState::InService => {
                let mut next = entry.known.clone();
                next.state = InstanceState::Silent;
                next.state_since = now;
                next.sequence = entry.latest;
                self.set(now, own, next, learnt);
            }
        }
    }

    fn end(&mut self, now: Micros, own: NodeAddress, id: &InstanceId, learnt: &mut Learnt) {
        let Some(entry) = self.entries.get(id) else { return };
        if entry.known.state == InstanceState::Gone {
            return;
        }
        let mut next = entry.known.clone();
        next.state = InstanceState::Gone;
        next.state_since = now;
        next.sequence = entry.latest;
        self.set(now, own, next, learnt);
    }

    /// What this node itself knew before its start; it is the older of two views by that.
    pub fn remember(&mut self, now: Micros, own: NodeAddress, record: Record, learnt: &mut Learnt) {
        let id = record.id.clone();
        if self.merge(now, own, record, learnt)
            && let Some(entry) = self.entries.get_mut(&id)
        {
            entry.remembered = true;
        }
    }

    /// Another node's view. Returns whether it was taken over; in any case, who leaves there leaves here.
    pub fn merge(&mut self, now: Micros, own: NodeAddress, record: Record, learnt: &mut Learnt) -> bool {
        if !record.fits() {
            return false;
        }
        let told = record.into_instance(now);
        let id = told.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else {
            if fading(&told, now) || !self.room() {
                return false;
            }
            self.set(now, own, told, learnt);
            self.supersede(now, own, &id, false, learnt);
            return true;
        };
        let first_seen = entry.known.first_seen.min(told.first_seen);
        entry.known.first_seen = first_seen;
        if order(&told) <= order(&entry.known) {
            return false;
        }
        let mut next = told;
        if next.sequence < entry.latest || (next.service.is_empty() && !entry.known.service.is_empty()) {
            // Later beats were heard here: they hold, save that a life which leaves leaves.
            let leaves = (next.state, next.state_since);
            next = entry.known.clone();
            next.sequence = entry.latest;
            if leaves.0.is_leaving() {
                (next.state, next.state_since) = leaves;
            } else {
                learnt.again.push(id.clone());
            }
        }
        next.first_seen = first_seen;
        entry.told = now;
        let address_changed = next.address != entry.known.address;
        self.set(now, own, next, learnt);
        if address_changed {
            self.supersede(now, own, &id, false, learnt);
        }
        true
    }

    /// Two lives at one address can't both be: the one first seen earlier is gone; a beat is always the later.
    fn supersede(
        &mut self, now: Micros, own: NodeAddress, id: &InstanceId, by_beat: bool, learnt: &mut Learnt,
    ) {
        let Some(entry) = self.entries.get(id) else { return };
        if entry.known.state == InstanceState::Gone {
            return;
        }
        let (address, mine) = (entry.known.address, (entry.known.first_seen, id.clone()));
        let rivals: Vec<(Micros, InstanceId)> = (self.entries.values().map(|other| &other.known))
            .filter(|other| other.address == address && other.state != InstanceState::Gone && other.id != *id)
            .map(|other| (other.first_seen, other.id.clone()))
            .collect();
        for rival in rivals {
            let loser = if by_beat || rival < mine { &rival.1 } else { id };
            self.end(now, own, loser, learnt);
        }
    }

    /// Every change of what is known of a life goes through here: sums, news and what the driver sees.
    fn set(&mut self, now: Micros, own: NodeAddress, next: Instance, learnt: &mut Learnt) {
        let id = next.id.clone();
        let listed = !fading(&next, now);
        let urgent;
        match self.entries.get_mut(&id) {
            None => {
                let hash = hash(&id);
                urgent = next.state.is_leaving();
                learnt.shown.push(next.clone());
                if listed {
                    add(&mut self.sums, hash, &next);
                }
                let latest = next.sequence;
                let entry = Entry {
                    known: next,
                    latest,
                    heard: now,
                    told: now,
                    confirmed: false,
                    moved: None,
                    remembered: false,
                    hash,
                    listed,
                };
                self.entries.insert(id.clone(), entry);
            }
            Some(entry) => {
                if entry.listed {
                    take(&mut self.sums, entry.hash, &entry.known);
                }
                if listed {
                    add(&mut self.sums, entry.hash, &next);
                }
                urgent = next.state.is_leaving() && !entry.known.state.is_leaving();
                if entry.known.differs(&next, now) {
                    learnt.shown.push(next.clone());
                }
                if next.owner == own && entry.known.owner != own {
                    entry.heard = now;
                }
                entry.latest = entry.latest.max(next.sequence);
                entry.listed = listed;
                entry.remembered = false;
                entry.known = next;
            }
        }
        self.changes += 1;
        learnt.news.push((id, urgent));
    }

    /// Drops what was remembered for long enough. `shown` gets silent ones that are forgotten, as gone.
    pub fn forget(&mut self, now: Micros, shown: &mut Vec<Instance>) {
        for entry in self.entries.values_mut() {
            if entry.listed && fading(&entry.known, now) {
                take(&mut self.sums, entry.hash, &entry.known);
                entry.listed = false;
            }
        }
        self.entries.retain(|_, entry| {
            let over = now - entry.known.state_since >= kept(entry.known.state);
            if over && entry.known.state != InstanceState::Gone {
                entry.known.state = InstanceState::Gone;
                shown.push(entry.known.clone());
            }
            !over
        });
    }

    /// Room for one more; the life that is gone for the longest is forgotten early if there is none.
    fn room(&mut self) -> bool {
        if self.entries.len() < MOST {
            return true;
        }
        let gone =
            self.entries.values().enumerate().filter(|(_, entry)| entry.known.state == InstanceState::Gone);
        let Some((index, _)) = gone.min_by_key(|(_, entry)| entry.known.state_since) else { return false };
        if let Some((_, entry)) = self.entries.swap_remove_index(index)
            && entry.listed
        {
            take(&mut self.sums, entry.hash, &entry.known);
        }
        true
    }

    /// Everything that is compared, as it travels.
    pub fn all(&self, now: Micros) -> Vec<Record> {
        self.entries.values().filter(|entry| entry.listed).map(|entry| entry.known.to_record(now)).collect()
    }

    pub fn records(&self, now: Micros, ids: &[InstanceId]) -> Vec<Record> {
        ids.iter().filter_map(|id| self.entries.get(id)).map(|entry| entry.known.to_record(now)).collect()
    }

    /// Keys of each range that differs from `sums`.
    pub fn keys_where_unlike(&self, sums: &[u64; DIGEST_RANGES]) -> Vec<(usize, Vec<RecordVersion>)> {
        let unlike = (0..DIGEST_RANGES).filter(|&range| sums[range] != self.sums[range]);
        let keys_in = |range| self.listed().filter(|entry| bucket(entry.hash) == range).map(key).collect();
        unlike.map(|range| (range, keys_in(range))).collect()
    }

    /// What the sender of keys lacks or has older, and the hashes of what is older or not known here.
    pub fn compare(&self, now: Micros, whole: u16, keys: &[RecordVersion]) -> (Vec<Record>, Vec<u64>) {
        let mut give = Vec::new();
        let mut want: Vec<u64> = keys.iter().map(|key| key.id_hash).collect();
        for entry in self.listed() {
            let theirs = keys.iter().find(|key| key.id_hash == entry.hash);
            let mine = order(&entry.known);
            let newer = match theirs {
                Some(theirs) => mine > order_of(theirs.state, theirs.sequence, theirs.owner),
                None => whole & (1 << bucket(entry.hash)) != 0,
            };
            if newer {
                give.push(entry.known.to_record(now));
            }
            if theirs.is_some_and(|theirs| mine >= order_of(theirs.state, theirs.sequence, theirs.owner)) {
                want.retain(|&hash| hash != entry.hash);
            }
        }
        (give, want)
    }

    pub fn wanted(&self, now: Micros, hashes: &[u64]) -> Vec<Record> {
        let asked = self.listed().filter(|entry| hashes.contains(&entry.hash));
        asked.map(|entry| entry.known.to_record(now)).collect()
    }

    fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.listed)
    }
}

fn first(now: Micros, own: NodeAddress, beat: &Heartbeat) -> Instance {
    Instance {
        id: beat.id.clone(),
        service: beat.service.clone(),
        address: beat.address,
        zone: beat.zone.clone(),
        version: beat.version.clone(),
        slots: beat.slots,
        state: if beat.draining { InstanceState::Draining } else { InstanceState::InService },
        sequence: beat.sequence,
        first_seen: now,
        warm_at: now + beat.warmup_left.clamp(0, LONGEST),
        state_since: now,
        owner: own,
    }
}

/// Whether a beat says what is known already.
fn says(beat: &Heartbeat, known: &Instance, now: Micros, own: NodeAddress) -> bool {
    known.owner == own
        && (known.state == InstanceState::Draining
            || (known.state == InstanceState::InService && !beat.draining))
        && known.address == beat.address
        && known.slots == beat.slots
        && known.service == beat.service
        && known.version == beat.version
        && known.zone == beat.zone
        && !crate::moved(known.warm_at, now + beat.warmup_left.clamp(0, LONGEST), now)
}

/// Which of two views of one life holds: gone over draining over the rest, then the later call, then silence.
fn order(known: &Instance) -> (u8, u64, bool, Option<NodeAddress>) {
    order_of(known.state, known.sequence, known.owner)
}

fn order_of(state: InstanceState, sequence: u64, owner: NodeAddress) -> (u8, u64, bool, Option<NodeAddress>) {
    match state {
        InstanceState::Gone => (2, 0, false, None),
        InstanceState::Draining => (1, sequence, false, Some(owner)),
        InstanceState::Silent => (0, sequence, true, Some(owner)),
        InstanceState::InService => (0, sequence, false, Some(owner)),
    }
}

fn kept(state: InstanceState) -> Micros {
    match state {
        InstanceState::Gone => GONE_KEPT,
        InstanceState::Silent => SILENT_KEPT,
        InstanceState::InService | InstanceState::Draining => Micros::MAX,
    }
}

/// Whether a memory is so near its end that it is neither compared nor taken over.
fn fading(known: &Instance, now: Micros) -> bool {
    now - known.state_since >= kept(known.state) - UNLISTED
}

fn key(entry: &Entry) -> RecordVersion {
    let Instance { state, sequence, owner, .. } = entry.known;
    RecordVersion { id_hash: entry.hash, state, sequence, owner }
}

fn bucket(hash: u64) -> usize {
    (hash >> 60) as usize
}

fn add(sums: &mut [u64; DIGEST_RANGES], hash: u64, known: &Instance) {
    let sum = &mut sums[bucket(hash)];
    *sum = sum.wrapping_add(mark(hash, known));
}

fn take(sums: &mut [u64; DIGEST_RANGES], hash: u64, known: &Instance) {
    let sum = &mut sums[bucket(hash)];
    *sum = sum.wrapping_sub(mark(hash, known));
}

/// One number for a view of a life: equal where `order` is.
fn mark(hash: u64, known: &Instance) -> u64 {
    let (rank, sequence, silent, owner) = order(known);
    let owner = owner.map_or(0, |place| u64::from(place.0.to_bits()));
    let state = u64::from(rank) << 1 | u64::from(silent);
    mix(mix(mix(hash ^ state) ^ sequence) ^ owner)
}

/// Of an id: the same on every node and in every build.
fn hash(id: &InstanceId) -> u64 {
    mix(id
        .0
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)))
}

/// Spreads every bit over all (finalizer of splitmix64, Steele, Lea, Flood 2014).
fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ number >> 31
}
