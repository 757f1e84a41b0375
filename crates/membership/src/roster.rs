//! Roster (member list): who is known, and which word about a member holds against what is known of it.

use std::collections::BTreeMap;

use types::{MS, Micros, NodeAddress, RunId};

use crate::{Incarnation, MEMBERS_MAX, Member, MemberStatus, MemberUpdate};

/// Late datagrams of a run_id that was replaced are dropped for this long; later its word counts again, so that
/// a mistake about which of two lives is the newer one mends itself.
const FORMER_MUTE: Micros = 1_000 * MS;

/// So long after its own word, a run_id is replaced by nothing but the own word of another run_id there.
const HEARD_HOLDS: Micros = 2_000 * MS;

/// What is held of one address.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub member: Member,
    pub incarnation: Incarnation,
    pub status: MemberStatus,
    /// Since when it has this status.
    pub since: Micros,
    /// A suspect is held dead from then on.
    pub until: Micros,
    /// Last message from this run_id itself.
    pub heard: Micros,
    /// Last time it was told what is said of it, outside the common messages.
    pub told: Micros,
    /// The run_id that it replaced by its own word, and when.
    pub former: Option<(RunId, Micros)>,
}

impl Peer {
    pub fn rumor(&self) -> MemberUpdate {
        MemberUpdate { member: self.member.clone(), incarnation: self.incarnation, status: self.status }
    }

    /// Is this a late word of the run_id that was replaced?
    pub fn mutes(&self, run_id: RunId, now: Micros) -> bool {
        self.former.is_some_and(|(former, at)| former == run_id && now - at < FORMER_MUTE)
    }
}

/// What a rumor is worth against what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Worth {
    /// Known or older: nothing changes.
    Nothing,
    /// Unknown until now, and up.
    Newcomer,
    /// Another run_id at a known address.
    NewLife,
    /// The same run_id says that it lives.
    Refuted,
    /// It is held alive here and dead or suspect elsewhere: it gets the time to refute.
    Accused,
    /// Held dead here and elsewhere, there at a later incarnation.
    DeadAgain,
    /// It ended in order.
    Gone,
    /// A run_id that was replaced is told of at an incarnation that would win: the newer run_id goes above it.
    Outdated,
    /// Another run_id, told of by hearsay that does not win: whoever is there should hear what is held of it.
    Contradicted,
}

/// Weighs a rumor. `direct` says that the member itself told it: a run_id unknown so far then replaces the old one
/// at once, whatever its incarnation, as a process that starts can't know how far its last run_id had got.
pub(crate) fn weigh(known: Option<&Peer>, rumor: &MemberUpdate, direct: bool, now: Micros) -> Worth {
    let Some(peer) = known else {
        return if rumor.status.is_up() { Worth::Newcomer } else { Worth::Nothing };
    };
    if peer.member.run_id != rumor.member.run_id {
        return weigh_lives(peer, rumor, direct, now);
    }
    match rumor.status {
        _ if peer.status == MemberStatus::Left => Worth::Nothing,
        MemberStatus::Left => Worth::Gone,
        MemberStatus::Alive if rumor.incarnation > peer.incarnation => Worth::Refuted,
        MemberStatus::Dead if peer.status == MemberStatus::Dead && rumor.incarnation > peer.incarnation => {
            Worth::DeadAgain
        }
        MemberStatus::Suspect | MemberStatus::Dead
            if rumor.incarnation > peer.incarnation
                || (rumor.incarnation == peer.incarnation && peer.status == MemberStatus::Alive) =>
        {
            Worth::Accused
        }
        _ => Worth::Nothing,
    }
}

fn weigh_lives(peer: &Peer, rumor: &MemberUpdate, direct: bool, now: Micros) -> Worth {
    let ahead = (rumor.incarnation, rumor.member.run_id) > (peer.incarnation, peer.member.run_id);
    if direct {
        let void = peer.mutes(rumor.member.run_id, now) || !rumor.status.is_up();
        return if void { Worth::Nothing } else { Worth::NewLife };
    }
    if peer.former.is_some_and(|(former, _)| former == rumor.member.run_id) {
        return if ahead { Worth::Outdated } else { Worth::Nothing };
    }
    // Who was heard itself this lately is not replaced by hearsay: a node that just began may be taken for older
    // than its last run_id by those that do not know it yet. The address itself is asked.
    let heard_lately = now - peer.heard < HEARD_HOLDS;
    match (ahead && !heard_lately, rumor.status.is_up()) {
        (true, true) => Worth::NewLife,
        (false, true) => Worth::Contradicted,
        (_, false) => Worth::Nothing,
    }
}

/// All that is known of others, bounded.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    peers: BTreeMap<NodeAddress, Peer>,
}

impl Roster {
    pub fn get(&self, address: NodeAddress) -> Option<&Peer> {
        self.peers.get(&address)
    }

    pub fn get_mut(&mut self, address: NodeAddress) -> Option<&mut Peer> {
        self.peers.get_mut(&address)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    pub fn up(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.status.is_up())
    }

    pub fn is_up(&self, address: NodeAddress) -> bool {
        self.get(address).is_some_and(|peer| peer.status.is_up())
    }

    /// Puts a peer in; false where the roster is full of those that are up.
    pub fn put(&mut self, peer: Peer) -> bool {
        if self.peers.len() >= MEMBERS_MAX && !self.peers.contains_key(&peer.member.address) {
            let down = self.peers.values().filter(|peer| !peer.status.is_up());
            let Some(oldest) = down.min_by_key(|peer| peer.since).map(|peer| peer.member.address) else {
                return false;
            };
            self.peers.remove(&oldest);
        }
        self.peers.insert(peer.member.address, peer);
        true
    }

    /// Drops those that have been dead or gone since before `before`.
    pub fn forget(&mut self, before: Micros) {
        self.peers.retain(|_, peer| peer.status.is_up() || peer.since > before);
    }
}

/// The range of addresses that a address belongs to, of eight.
pub(crate) fn range_of(address: NodeAddress) -> usize {
    (mix(u64::from(u32::from(address.0))) % 8) as usize
}

/// Digest of one living member; digests of ranges and of all are these, by exclusive or.
pub(crate) fn digest_of(address: NodeAddress, run_id: RunId, incarnation: Incarnation) -> u32 {
    mix(mix(u64::from(u32::from(address.0)) ^ run_id.0) ^ u64::from(incarnation.0)) as u32
}

/// Spreads a number over all bits.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
