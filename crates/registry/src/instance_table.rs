//! Table of instances: one entry for each incarnation, the precedence of two copies of a record, one method
//! for each kind of change, and checksums over ranges of ids. It neither sends nor knows of other nodes.

use std::net::{Ipv4Addr, SocketAddrV4};

use indexmap::IndexMap;
use types::{Micros, NodeAddress, SECOND};

use crate::{
    DIGEST_RANGES, Heartbeat, Instance, InstanceId, InstanceState, MAX_DURATION, Record, RecordVersion,
};

/// Most entries in the table. When it is full, the entry that has been gone for the longest makes room; if
/// none is gone, new instances are refused.
const MAX_ENTRIES: usize = 4096;
/// How long a gone instance is kept, so that late calls and outdated copies can't bring it back.
const GONE_RETENTION: Micros = 60 * SECOND;
/// How long a silent instance is kept in case it sends a heartbeat again.
const SILENT_RETENTION: Micros = 120 * SECOND;
/// This long before its retention ends, an entry is no longer compared or accepted from other nodes: nodes
/// that drop it at slightly different times would otherwise hand it back to each other for ever.
const EXPIRY_MARGIN: Micros = 15 * SECOND;

/// One incarnation of an instance.
#[derive(Debug)]
pub(crate) struct Entry {
    pub known: Instance,
    /// The highest sequence number received here. At the owner it may be above that of `known`, as heartbeats
    /// without a change are not passed on.
    latest_sequence: u64,
    /// Time of the last heartbeat here, or when this node became the owner.
    pub last_heartbeat: Micros,
    /// When a newer record from another node was last accepted.
    pub last_update: Micros,
    /// Whether this node has found that enough others know that the instance is draining or gone.
    pub drain_confirmed: bool,
    /// When the instance was last sent to another registry node to balance the load.
    pub last_rebalanced: Option<Micros>,
    /// Restored from before this process started, without a heartbeat or a newer record since.
    pub restored: bool,
    id_hash: u64,
    /// Whether the entry is included in the checksums and offered to other nodes.
    compared: bool,
}

/// Result of changes to the table, to be sent to other nodes and reported to the caller.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    /// Incarnations with new information, each with whether the news is that it is draining or gone.
    pub updates: Vec<(InstanceId, bool)>,
    /// Those of `updates` for which the local information was newer than the record of another node; to be
    /// sent to all nodes.
    pub corrections: Vec<InstanceId>,
    /// Instances to report by `Effect::Changed`.
    pub visible: Vec<Instance>,
}

/// Effect of a heartbeat on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatResult {
    /// The heartbeat was late or repeated what is known.
    Unchanged,
    Changed,
    /// There is no room for another incarnation.
    Full,
}

/// All instances that this node knows.
#[derive(Debug, Default)]
pub(crate) struct InstanceTable {
    entries: IndexMap<InstanceId, Entry>,
    /// Checksum of each range: the wrapping sum of the digests of its compared entries.
    sums: [u64; DIGEST_RANGES],
    /// Number of changes so far.
    revision: u64,
}

impl InstanceTable {
    pub fn get(&self, id: &InstanceId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn sums(&self) -> &[u64; DIGEST_RANGES] {
        &self.sums
    }

    /// Applies a heartbeat received by this node, which becomes the owner. A heartbeat whose sequence number
    /// is not above the last one changes nothing, except that a drain is always accepted: once acknowledged,
    /// it must not be lost.
    pub fn heartbeat_received(
        &mut self, now: Micros, own_address: NodeAddress, heartbeat: &Heartbeat, changes: &mut Changes,
    ) -> HeartbeatResult {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            if !self.make_room() {
                return HeartbeatResult::Full;
            }
            self.set(now, own_address, instance_from_heartbeat(now, own_address, heartbeat), changes);
            self.supersede(now, own_address, &heartbeat.id, true, changes);
            return HeartbeatResult::Changed;
        };
        let is_late = heartbeat.sequence <= entry.latest_sequence;
        let starts_draining = heartbeat.draining && !entry.known.state.is_leaving();
        if entry.known.state == InstanceState::Gone || (is_late && !starts_draining) {
            return HeartbeatResult::Unchanged;
        }
        if !is_late {
            entry.latest_sequence = heartbeat.sequence;
            entry.last_heartbeat = now;
            entry.restored = false;
            if repeats_known(heartbeat, &entry.known, now, own_address) {
                return HeartbeatResult::Unchanged;
            }
        }
        let mut next =
            if is_late { entry.known.clone() } else { instance_from_heartbeat(now, own_address, heartbeat) };
        next.sequence = entry.latest_sequence;
        next.first_seen = entry.known.first_seen;
        if entry.known.state == InstanceState::Draining {
            next.state = InstanceState::Draining;
        } else if starts_draining {
            next.state = InstanceState::Draining;
            next.state_since = now;
        }
        if next.state == entry.known.state {
            next.state_since = entry.known.state_since;
        }
        let address_changed = next.address != entry.known.address;
        self.set(now, own_address, next, changes);
        if address_changed {
            self.supersede(now, own_address, &heartbeat.id, true, changes);
        }
        HeartbeatResult::Changed
    }

    /// Marks an incarnation as gone at its own request. An unknown one gets an entry too, so that its late
    /// heartbeats don't bring it back. Returns whether there was room for it.
    pub fn detach(
        &mut self, now: Micros, own_address: NodeAddress, id: &InstanceId, changes: &mut Changes,
    ) -> bool {
        if self.entries.contains_key(id) {
            self.mark_gone(now, own_address, id, changes);
            return true;
        }
        if !self.make_room() {
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
            owner: own_address,
        };
        self.set(now, own_address, known, changes);
        true
    }

    /// Marks an instance without recent heartbeats as silent, or as gone if it was draining.
    pub fn mark_silent(
        &mut self, now: Micros, own_address: NodeAddress, id: &InstanceId, changes: &mut Changes,
    ) {
        let Some(entry) = self.entries.get(id) else { return };
        match entry.known.state {
            InstanceState::Silent | InstanceState::Gone => {}
            InstanceState::Draining => self.mark_gone(now, own_address, id, changes),
            InstanceState::InService => {
                let mut next = entry.known.clone();
                next.state = InstanceState::Silent;
                next.state_since = now;
                next.sequence = entry.latest_sequence;
                self.set(now, own_address, next, changes);
            }
        }
    }

    fn mark_gone(&mut self, now: Micros, own_address: NodeAddress, id: &InstanceId, changes: &mut Changes) {
        let Some(entry) = self.entries.get(id) else { return };
        if entry.known.state == InstanceState::Gone {
            return;
        }
        let mut next = entry.known.clone();
        next.state = InstanceState::Gone;
        next.state_since = now;
        next.sequence = entry.latest_sequence;
        self.set(now, own_address, next, changes);
    }

    /// Merges a record that this node saved before its start. Being the oldest copy, it gives way to any
    /// newer one.
    pub fn restore(&mut self, now: Micros, own_address: NodeAddress, record: Record, changes: &mut Changes) {
        let id = record.id.clone();
        if self.merge(now, own_address, record, changes)
            && let Some(entry) = self.entries.get_mut(&id)
        {
            entry.restored = true;
        }
    }

    /// Merges another node's record if it takes precedence. Returns whether it was accepted. A drain or end
    /// is accepted even where later heartbeats were received here.
    pub fn merge(
        &mut self, now: Micros, own_address: NodeAddress, record: Record, changes: &mut Changes,
    ) -> bool {
        if !record.within_limits() {
            return false;
        }
        let received = record.into_instance(now);
        let id = received.id.clone();
        let Some(entry) = self.entries.get_mut(&id) else {
            if near_expiry(&received, now) || !self.make_room() {
                return false;
            }
            self.set(now, own_address, received, changes);
            self.supersede(now, own_address, &id, false, changes);
            return true;
        };
        let first_seen = entry.known.first_seen.min(received.first_seen);
        entry.known.first_seen = first_seen;
        if precedence(&received) <= precedence(&entry.known) {
            return false;
        }
        let mut next = received;
        if next.sequence < entry.latest_sequence
            || (next.service.is_empty() && !entry.known.service.is_empty())
        {
            // Later heartbeats were received here, or the record comes from the detach of an instance that
            // the sender did not know. The data here take precedence, except over a drain or an end.
            let (state, state_since) = (next.state, next.state_since);
            next = entry.known.clone();
            next.sequence = entry.latest_sequence;
            if state.is_leaving() {
                (next.state, next.state_since) = (state, state_since);
            } else {
                changes.corrections.push(id.clone());
            }
        }
        next.first_seen = first_seen;
        entry.last_update = now;
        let address_changed = next.address != entry.known.address;
        self.set(now, own_address, next, changes);
        if address_changed {
            self.supersede(now, own_address, &id, false, changes);
        }
        true
    }

    /// Two incarnations can't exist at one address: the one first seen earlier is marked as gone. The
    /// incarnation that has just sent a heartbeat here always counts as the later one.
    fn supersede(
        &mut self, now: Micros, own_address: NodeAddress, id: &InstanceId, by_heartbeat: bool,
        changes: &mut Changes,
    ) {
        let Some(entry) = self.entries.get(id) else { return };
        if entry.known.state == InstanceState::Gone {
            return;
        }
        let (address, own_rank) = (entry.known.address, (entry.known.first_seen, id.clone()));
        let rivals: Vec<(Micros, InstanceId)> = (self.entries.values().map(|other| &other.known))
            .filter(|other| other.address == address && other.state != InstanceState::Gone && other.id != *id)
            .map(|other| (other.first_seen, other.id.clone()))
            .collect();
        for rival in rivals {
            let loser = if by_heartbeat || rival < own_rank { &rival.1 } else { id };
            self.mark_gone(now, own_address, loser, changes);
        }
    }

    /// Stores the new information on an incarnation. All changes go through here, so that checksums, updates
    /// and what is reported to the caller stay consistent.
    fn set(&mut self, now: Micros, own_address: NodeAddress, next: Instance, changes: &mut Changes) {
        let id = next.id.clone();
        let compared = !near_expiry(&next, now);
        let starts_leaving;
        match self.entries.get_mut(&id) {
            None => {
                let id_hash = hash_id(&id);
                starts_leaving = next.state.is_leaving();
                changes.visible.push(next.clone());
                if compared {
                    add_to_sums(&mut self.sums, id_hash, &next);
                }
                let latest_sequence = next.sequence;
                let entry = Entry {
                    known: next,
                    latest_sequence,
                    last_heartbeat: now,
                    last_update: now,
                    drain_confirmed: false,
                    last_rebalanced: None,
                    restored: false,
                    id_hash,
                    compared,
                };
                self.entries.insert(id.clone(), entry);
            }
            Some(entry) => {
                if entry.compared {
                    subtract_from_sums(&mut self.sums, entry.id_hash, &entry.known);
                }
                if compared {
                    add_to_sums(&mut self.sums, entry.id_hash, &next);
                }
                starts_leaving = next.state.is_leaving() && !entry.known.state.is_leaving();
                if entry.known.differs_visibly(&next, now) {
                    changes.visible.push(next.clone());
                }
                if next.owner == own_address && entry.known.owner != own_address {
                    entry.last_heartbeat = now;
                }
                entry.latest_sequence = entry.latest_sequence.max(next.sequence);
                entry.compared = compared;
                entry.restored = false;
                entry.known = next;
            }
        }
        self.revision += 1;
        changes.updates.push((id, starts_leaving));
    }

    /// Drops entries whose retention has ended. Silent instances among them are added to `visible` as gone.
    pub fn expire(&mut self, now: Micros, visible: &mut Vec<Instance>) {
        for entry in self.entries.values_mut() {
            if entry.compared && near_expiry(&entry.known, now) {
                subtract_from_sums(&mut self.sums, entry.id_hash, &entry.known);
                entry.compared = false;
            }
        }
        self.entries.retain(|_, entry| {
            let expired = now - entry.known.state_since >= retention(entry.known.state);
            if expired && entry.known.state != InstanceState::Gone {
                entry.known.state = InstanceState::Gone;
                visible.push(entry.known.clone());
            }
            !expired
        });
    }

    /// Makes room for one more entry, if need be by dropping the one that has been gone for the longest.
    /// Returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.entries.len() < MAX_ENTRIES {
            return true;
        }
        let gone =
            self.entries.values().enumerate().filter(|(_, entry)| entry.known.state == InstanceState::Gone);
        let Some((index, _)) = gone.min_by_key(|(_, entry)| entry.known.state_since) else { return false };
        if let Some((_, entry)) = self.entries.swap_remove_index(index)
            && entry.compared
        {
            subtract_from_sums(&mut self.sums, entry.id_hash, &entry.known);
        }
        true
    }

    /// Records of all entries that take part in comparisons.
    pub fn comparable_records(&self, now: Micros) -> Vec<Record> {
        self.entries.values().filter(|entry| entry.compared).map(|entry| entry.known.to_record(now)).collect()
    }

    pub fn records(&self, now: Micros, ids: &[InstanceId]) -> Vec<Record> {
        ids.iter().filter_map(|id| self.entries.get(id)).map(|entry| entry.known.to_record(now)).collect()
    }

    /// Versions of all records in each range whose checksum differs from `sums`.
    pub fn versions_in_differing_ranges(
        &self, sums: &[u64; DIGEST_RANGES],
    ) -> Vec<(usize, Vec<RecordVersion>)> {
        let differing = (0..DIGEST_RANGES).filter(|&range| sums[range] != self.sums[range]);
        let versions_in = |range| {
            self.compared_entries().filter(|entry| range_of(entry.id_hash) == range).map(version_of).collect()
        };
        differing.map(|range| (range, versions_in(range))).collect()
    }

    /// Compares another node's versions with the table. Returns the records that the other node lacks or has
    /// in an older version, and the id hashes of those that are unknown or older here. Only ranges in
    /// `complete_ranges` tell that the other node lacks a record.
    pub fn compare_versions(
        &self, now: Micros, complete_ranges: u16, versions: &[RecordVersion],
    ) -> (Vec<Record>, Vec<u64>) {
        let mut newer_here = Vec::new();
        let mut wanted: Vec<u64> = versions.iter().map(|version| version.id_hash).collect();
        for entry in self.compared_entries() {
            let theirs = versions.iter().find(|version| version.id_hash == entry.id_hash);
            let ours = precedence(&entry.known);
            let is_newer = match theirs {
                Some(theirs) => ours > precedence_of(theirs.state, theirs.sequence, theirs.owner),
                None => complete_ranges & (1 << range_of(entry.id_hash)) != 0,
            };
            if is_newer {
                newer_here.push(entry.known.to_record(now));
            }
            if theirs.is_some_and(|theirs| ours >= precedence_of(theirs.state, theirs.sequence, theirs.owner))
            {
                wanted.retain(|&hash| hash != entry.id_hash);
            }
        }
        (newer_here, wanted)
    }

    pub fn records_by_hash(&self, now: Micros, id_hashes: &[u64]) -> Vec<Record> {
        let requested = self.compared_entries().filter(|entry| id_hashes.contains(&entry.id_hash));
        requested.map(|entry| entry.known.to_record(now)).collect()
    }

    fn compared_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.compared)
    }
}

fn instance_from_heartbeat(now: Micros, own_address: NodeAddress, heartbeat: &Heartbeat) -> Instance {
    Instance {
        id: heartbeat.id.clone(),
        service: heartbeat.service.clone(),
        address: heartbeat.address,
        zone: heartbeat.zone.clone(),
        version: heartbeat.version.clone(),
        slots: heartbeat.slots,
        state: if heartbeat.draining { InstanceState::Draining } else { InstanceState::InService },
        sequence: heartbeat.sequence,
        first_seen: now,
        warm_at: now + heartbeat.warmup_left.clamp(0, MAX_DURATION),
        state_since: now,
        owner: own_address,
    }
}

/// Whether a heartbeat says only what this node, as the owner, knows already.
fn repeats_known(heartbeat: &Heartbeat, known: &Instance, now: Micros, own_address: NodeAddress) -> bool {
    known.owner == own_address
        && (known.state == InstanceState::Draining
            || (known.state == InstanceState::InService && !heartbeat.draining))
        && known.address == heartbeat.address
        && known.slots == heartbeat.slots
        && known.service == heartbeat.service
        && known.version == heartbeat.version
        && known.zone == heartbeat.zone
        && !crate::warmup_end_moved(known.warm_at, now + heartbeat.warmup_left.clamp(0, MAX_DURATION), now)
}

/// Sort key that decides which of two copies of one record wins. Gone ranks above draining, and that above
/// the other states; then the later call, then silent over in service, and last the higher owner address.
fn precedence(known: &Instance) -> (u8, u64, bool, Option<NodeAddress>) {
    precedence_of(known.state, known.sequence, known.owner)
}

fn precedence_of(
    state: InstanceState, sequence: u64, owner: NodeAddress,
) -> (u8, u64, bool, Option<NodeAddress>) {
    match state {
        InstanceState::Gone => (2, 0, false, None),
        InstanceState::Draining => (1, sequence, false, Some(owner)),
        InstanceState::Silent => (0, sequence, true, Some(owner)),
        InstanceState::InService => (0, sequence, false, Some(owner)),
    }
}

/// How long an entry in this state is kept.
fn retention(state: InstanceState) -> Micros {
    match state {
        InstanceState::Gone => GONE_RETENTION,
        InstanceState::Silent => SILENT_RETENTION,
        InstanceState::InService | InstanceState::Draining => Micros::MAX,
    }
}

/// Whether an entry is so close to the end of its retention that it is neither compared nor accepted from
/// others.
fn near_expiry(known: &Instance, now: Micros) -> bool {
    now - known.state_since >= retention(known.state) - EXPIRY_MARGIN
}

fn version_of(entry: &Entry) -> RecordVersion {
    let Instance { state, sequence, owner, .. } = entry.known;
    RecordVersion { id_hash: entry.id_hash, state, sequence, owner }
}

/// The range of a hash: its four highest bits, for `DIGEST_RANGES` of 16.
fn range_of(id_hash: u64) -> usize {
    (id_hash >> 60) as usize
}

fn add_to_sums(sums: &mut [u64; DIGEST_RANGES], id_hash: u64, known: &Instance) {
    let sum = &mut sums[range_of(id_hash)];
    *sum = sum.wrapping_add(record_digest(id_hash, known));
}

fn subtract_from_sums(sums: &mut [u64; DIGEST_RANGES], id_hash: u64, known: &Instance) {
    let sum = &mut sums[range_of(id_hash)];
    *sum = sum.wrapping_sub(record_digest(id_hash, known));
}

/// Digest of one record: equal for two copies whose `precedence` is equal.
fn record_digest(id_hash: u64, known: &Instance) -> u64 {
    let (rank, sequence, is_silent, owner) = precedence(known);
    let owner = owner.map_or(0, |address| u64::from(address.0.to_bits()));
    let state = u64::from(rank) << 1 | u64::from(is_silent);
    splitmix64(splitmix64(splitmix64(id_hash ^ state) ^ sequence) ^ owner)
}

/// Hash of an id, the same on every node and in every build: FNV-1a, finished by splitmix64.
fn hash_id(id: &InstanceId) -> u64 {
    splitmix64(
        id.0.bytes().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        }),
    )
}

/// Spreads every bit of the input over the whole output (finalizer of splitmix64, Steele, Lea, Flood 2014).
fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ number >> 31
}
