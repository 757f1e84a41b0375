//! The list of known members, and the rules by which an update about a member is accepted or ignored.

use std::collections::BTreeMap;

use types::{MS, Micros, NodeAddress, RunId};

use crate::{Incarnation, MEMBERS_MAX, Member, MemberStatus, MemberUpdate};

/// For this long after a run was replaced, its late datagrams are dropped. Afterwards its messages count again, so that a
/// wrong decision about which of two runs is the newer one corrects itself.
const REPLACED_RUN_IGNORED_FOR: Micros = 1_000 * MS;

/// For this long after a run was heard itself, it is replaced only by a message of another run from the same address, not
/// by updates of third nodes.
const DIRECT_CONTACT_PRECEDENCE: Micros = 2_000 * MS;

/// What is known of the node at one address.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub member: Member,
    pub incarnation: Incarnation,
    pub status: MemberStatus,
    /// When it got this status.
    pub status_since: Micros,
    /// When a suspect is declared dead.
    pub suspicion_deadline: Micros,
    /// The last message from this run itself.
    pub last_heard: Micros,
    /// When it was last notified of what is believed of it, other than by a regular message.
    pub last_notified: Micros,
    /// The run that it replaced by a message of its own.
    pub replaced: Option<ReplacedRun>,
}

/// An earlier run at the same address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacedRun {
    pub run_id: RunId,
    /// When it was replaced.
    pub at: Micros,
}

impl Peer {
    pub fn update(&self) -> MemberUpdate {
        MemberUpdate { member: self.member.clone(), incarnation: self.incarnation, status: self.status }
    }

    /// Whether a message from `run_id` is a late one of the run that was just replaced, and must be dropped.
    pub fn ignores(&self, run_id: RunId, now: Micros) -> bool {
        self.replaced
            .is_some_and(|replaced| replaced.run_id == run_id && now - replaced.at < REPLACED_RUN_IGNORED_FOR)
    }
}

/// What an update means, given what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateKind {
    /// Known or outdated: nothing changes.
    Ignored,
    /// A member that was unknown, and is up.
    NewMember,
    /// Another run at a known address, which replaces the one known.
    NewRun,
    /// The same run is alive at a higher incarnation.
    Refuted,
    /// Believed alive here, and suspect or dead elsewhere: it becomes a suspect, and so gets the time to refute.
    Accused,
    /// Believed dead here and elsewhere, there at a higher incarnation.
    DeadAgain,
    /// It has left in order.
    Left,
    /// About a run that was replaced, at an incarnation that would win: the newer run has to rank above it.
    ReplacedRunAhead,
    /// About another run, from a third node, and not winning: whoever is at that address should hear what is believed.
    ConflictingRun,
}

/// Classifies an update. `direct` says that the member itself sent it: a run that was unknown then replaces the old one
/// at once, whatever its incarnation, since a process that starts can't know which incarnation its last run had reached.
pub(crate) fn classify(known: Option<&Peer>, update: &MemberUpdate, direct: bool, now: Micros) -> UpdateKind {
    let Some(peer) = known else {
        return if update.status.is_up() { UpdateKind::NewMember } else { UpdateKind::Ignored };
    };
    if peer.member.run_id != update.member.run_id {
        return classify_other_run(peer, update, direct, now);
    }
    match update.status {
        _ if peer.status == MemberStatus::Left => UpdateKind::Ignored,
        MemberStatus::Left => UpdateKind::Left,
        MemberStatus::Alive if update.incarnation > peer.incarnation => UpdateKind::Refuted,
        MemberStatus::Dead if peer.status == MemberStatus::Dead && update.incarnation > peer.incarnation => {
            UpdateKind::DeadAgain
        }
        MemberStatus::Suspect | MemberStatus::Dead
            if update.incarnation > peer.incarnation
                || (update.incarnation == peer.incarnation && peer.status == MemberStatus::Alive) =>
        {
            UpdateKind::Accused
        }
        _ => UpdateKind::Ignored,
    }
}

/// Classifies an update about another run than the one known at that address.
fn classify_other_run(peer: &Peer, update: &MemberUpdate, direct: bool, now: Micros) -> UpdateKind {
    let wins = (update.incarnation, update.member.run_id) > (peer.incarnation, peer.member.run_id);
    if direct {
        let ignored = peer.ignores(update.member.run_id, now) || !update.status.is_up();
        return if ignored { UpdateKind::Ignored } else { UpdateKind::NewRun };
    }
    if peer.replaced.is_some_and(|replaced| replaced.run_id == update.member.run_id) {
        return if wins { UpdateKind::ReplacedRunAhead } else { UpdateKind::Ignored };
    }
    // A run that was heard itself just now is not replaced on the word of a third node: nodes that don't know a freshly
    // started run may take its predecessor for the newer one. The address itself is asked instead.
    let heard_recently = now - peer.last_heard < DIRECT_CONTACT_PRECEDENCE;
    match (wins && !heard_recently, update.status.is_up()) {
        (true, true) => UpdateKind::NewRun,
        (false, true) => UpdateKind::ConflictingRun,
        (_, false) => UpdateKind::Ignored,
    }
}

/// All other nodes that are known, at most `MEMBERS_MAX`.
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

    /// Inserts or replaces a peer. If the roster is full, the one that has been down longest is dropped; false if all of
    /// them are up.
    pub fn insert(&mut self, peer: Peer) -> bool {
        if self.peers.len() >= MEMBERS_MAX && !self.peers.contains_key(&peer.member.address) {
            let down = self.peers.values().filter(|peer| !peer.status.is_up());
            let Some(oldest) = down.min_by_key(|peer| peer.status_since).map(|peer| peer.member.address)
            else {
                return false;
            };
            self.peers.remove(&oldest);
        }
        self.peers.insert(peer.member.address, peer);
        true
    }

    /// Drops the peers that have been dead or gone since `before` or longer.
    pub fn forget_down_since(&mut self, before: Micros) {
        self.peers.retain(|_, peer| peer.status.is_up() || peer.status_since > before);
    }
}

/// Number of ranges by which the digests of members are compared.
pub(crate) const DIGEST_RANGES: usize = 8;

/// The range that an address belongs to, by a hash of it.
pub(crate) fn digest_range(address: NodeAddress) -> usize {
    (mix(u64::from(u32::from(address.0))) % DIGEST_RANGES as u64) as usize
}

/// Digest of one member that is up. The digest of a set of members is the exclusive or of theirs.
pub(crate) fn member_digest(address: NodeAddress, run_id: RunId, incarnation: Incarnation) -> u32 {
    mix(mix(u64::from(u32::from(address.0)) ^ run_id.0) ^ u64::from(incarnation.0)) as u32
}

/// Mixes all bits of a number (the finalizer of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
