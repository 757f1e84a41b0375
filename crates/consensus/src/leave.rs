//! Leaving: a member that is told to end hands over what only it has, the lead first.

use types::{LogIndex, Micros, VoterId};

use crate::Rpc;
use crate::book::{RaftNode, Role};
use crate::lead::Peer;
use crate::mark::FingerprintHasher;

/// What a member that is about to end has found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownReadiness {
    /// It leads, or has asked and has no answer yet.
    Pending,
    /// Whatever is on its disk is on others' too.
    Replicated,
    /// It is no voter, so nothing was counted on its disk.
    NotVoter,
    /// It is the only voter: what it has nobody else has.
    OnlyVoter,
}

/// The asking of a member that is about to end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leaving {
    next_ask: Micros,
    /// The end of its log when it left, or when it gave up the lead: nothing beyond is acknowledged any more, so that
    /// what is counted on its disk ends somewhere also where changes never do.
    upto: Option<LogIndex>,
    /// The newest answer: entries up to there are on others' disks.
    released: LogIndex,
}

impl Leaving {
    pub(crate) fn mark(&self, marks: &mut FingerprintHasher) {
        let Leaving { next_ask, upto, released } = self;
        marks.add((marks.time_until(*next_ask), upto, released));
    }
}

impl RaftNode {
    /// Whether a member that is about to end may go: what the majority has counted on its disk is on others'.
    pub fn shutdown_readiness(&self) -> ShutdownReadiness {
        match &self.leaving {
            _ if !self.is_member() => ShutdownReadiness::NotVoter,
            _ if self.log.members().0.len() == 1 => ShutdownReadiness::OnlyVoter,
            Some(Leaving { upto: Some(upto), released, .. }) if released >= upto => {
                ShutdownReadiness::Replicated
            }
            _ => ShutdownReadiness::Pending,
        }
    }

    /// The last entry that can have been counted on the own disk.
    pub fn acknowledgement_limit(&self) -> LogIndex {
        self.leaving.as_ref().and_then(|leaving| leaving.upto).unwrap_or(self.log.last())
    }

    pub(crate) fn leaves(&self) -> bool {
        self.leaving.is_some()
    }

    /// Of a leader about to end: once all that it placed is committed and a voter that answered lately has all of
    /// it on disk, that voter is to stand at once, and the rest are told not to wait for this one. Guards against
    /// an election's span without a leader whenever a machine is stopped in order. Without such a voter it goes on
    /// leading until it ends.
    pub(crate) fn hand_over(&mut self) {
        let Role::Leading(lead) = &self.role else { return };
        let last = self.log.last();
        let members = &self.log.members().0;
        let fit = |peer: &&Peer| {
            peer.matched == last
                && peer.heard.is_some()
                && peer.silent(self.now) < 2 * self.timing.heartbeat_interval
                && members.contains(&peer.seat)
        };
        let next = lead.peers.iter().filter(fit).max_by_key(|peer| peer.heard).map(|peer| peer.seat);
        let (Some(next), true) = (next, self.commit == last && lead.reads.is_empty()) else { return };
        let others: Vec<VoterId> =
            members.iter().copied().filter(|seat| *seat != self.own && *seat != next).collect();
        // The one that stands is told last, so that its question finds the others ready.
        for seat in others.into_iter().chain([next]) {
            self.say(seat, Rpc::TransferLeadership { successor: next });
        }
        self.follow(self.term, None);
    }

    /// When a follower that is about to end asks next, where it has to.
    pub(crate) fn release_due(&self) -> Option<Micros> {
        let asks = !self.is_leader()
            && self.leader.is_some()
            && self.shutdown_readiness() == ShutdownReadiness::Pending;
        self.leaving.as_ref().filter(|_| asks).map(|leaving| leaving.next_ask)
    }

    /// Of a follower about to end: asks its leader who else has on disk all that is on its own. The leader counts only
    /// what is in its own log, so it is asked once the two logs are known to be alike.
    pub(crate) fn ask_release(&mut self) {
        let (now, last, leads) = (self.now, self.log.last(), self.is_leader());
        if let Some(leaving) = self.leaving.as_mut().filter(|_| !leads) {
            leaving.upto = leaving.upto.or(Some(last));
        }
        if self.release_due().is_none_or(|at| now < at) {
            return;
        }
        if let Some(leaving) = &mut self.leaving {
            leaving.next_ask = now + self.timing.heartbeat_interval;
        }
        let last = self.acknowledgement_limit();
        if let Some(leader) = self.leader.filter(|_| self.verified >= last) {
            self.say(leader, Rpc::ShutdownQuery { last_index: last });
        }
    }

    /// A voter is about to end. It is answered once a majority of the others, or all of them that speak, have on disk
    /// what it has: none that was stopped for good is waited for, nor one that is out of reach.
    pub(crate) fn asked_release(&mut self, from: VoterId, last: LogIndex) {
        let now = self.now;
        let Some(peer) = self.peer_spoke(from, 0) else { return };
        peer.leaving = Some(now);
        let Role::Leading(lead) = &self.role else { return };
        let others = || self.log.members().0.iter().filter(|seat| **seat != from);
        let has = |seat: &&VoterId| match lead.peer(**seat) {
            Some(peer) => peer.matched >= last,
            None => **seat == self.own && self.disk.stable() >= last,
        };
        let lacks = |seat: &&VoterId| !has(seat) && self.lately(&[**seat]) > 0;
        let enough =
            others().filter(has).count() > others().count() / 2 || !others().any(|seat| lacks(&seat));
        if enough && others().any(|seat| has(&seat)) {
            self.say(from, Rpc::ShutdownApproved { up_to: last });
        }
    }

    pub(crate) fn released(&mut self, from: VoterId, upto: LogIndex) {
        if self.leader == Some(from)
            && let Some(leaving) = &mut self.leaving
        {
            leaving.released = leaving.released.max(upto);
        }
    }
}
