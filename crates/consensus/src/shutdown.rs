//! Orderly shutdown: a member that is about to end hands over leadership, and finds out whether others have what is counted
//! on its disk.

use types::{LogIndex, Micros, VoterId};

use crate::Rpc;
use crate::fingerprint::FingerprintHasher;
use crate::leader::Peer;
use crate::raft_node::{RaftNode, Role};

/// What a node that is about to end knows about the entries on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownReadiness {
    /// It still leads, or has asked the leader and has no answer yet.
    Pending,
    /// All entries on its disk are on the disks of others, too.
    Replicated,
    /// It is no voter, so nothing was counted on its disk.
    NotVoter,
    /// It is the only voter, so nobody else has its entries.
    OnlyVoter,
}

/// The state of a shutdown that is being prepared.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShutdownState {
    next_query_at: Micros,
    /// The end of the log when the shutdown began or, on a leader, when it stepped down. Nothing beyond is acknowledged, so
    /// that the entries to be waited for come to an end even if proposals never do.
    acknowledgement_limit: Option<LogIndex>,
    /// The newest answer of the leader: entries up to this one are on the disks of others.
    approved_up_to: LogIndex,
}

impl ShutdownState {
    pub(crate) fn add_to_fingerprint(&self, hasher: &mut FingerprintHasher) {
        let ShutdownState { next_query_at, acknowledgement_limit, approved_up_to } = self;
        hasher.add((hasher.time_until(*next_query_at), acknowledgement_limit, approved_up_to));
    }
}

impl RaftNode {
    /// Whether a node that is about to end may do so without taking away entries that a majority counts on its disk.
    pub fn shutdown_readiness(&self) -> ShutdownReadiness {
        match &self.shutdown {
            _ if !self.is_member() => ShutdownReadiness::NotVoter,
            _ if self.log.members().0.len() == 1 => ShutdownReadiness::OnlyVoter,
            Some(ShutdownState { acknowledgement_limit: Some(limit), approved_up_to, .. })
                if approved_up_to >= limit =>
            {
                ShutdownReadiness::Replicated
            }
            _ => ShutdownReadiness::Pending,
        }
    }

    /// The last entry that this node can have acknowledged, or may still acknowledge.
    pub fn acknowledgement_limit(&self) -> LogIndex {
        let limit = self.shutdown.as_ref().and_then(|shutdown| shutdown.acknowledgement_limit);
        limit.unwrap_or(self.log.last_index())
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// On a leader that is about to end: once its whole log is committed and a recently heard voter has all of it on disk,
    /// that voter is told to start an election at once, and the others not to wait for this leader. Otherwise each orderly
    /// stop of a leader would leave the group without one for an election timeout. Without such a voter it goes on leading.
    pub(crate) fn transfer_leadership(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let last_index = self.log.last_index();
        let members = &self.log.members().0;
        let is_eligible = |peer: &&Peer| {
            peer.match_index == last_index
                && peer.last_heard.is_some()
                && peer.silence(self.now) < 2 * self.timing.heartbeat_interval
                && members.contains(&peer.id)
        };
        let successor =
            state.peers.iter().filter(is_eligible).max_by_key(|peer| peer.last_heard).map(|peer| peer.id);
        let is_settled = self.commit_index == last_index && state.pending_reads.is_empty();
        let (Some(successor), true) = (successor, is_settled) else { return };
        let others: Vec<VoterId> =
            members.iter().copied().filter(|voter| *voter != self.own_id && *voter != successor).collect();
        // The successor is told last, so that the others already expect its vote request.
        for voter in others.into_iter().chain([successor]) {
            self.send_rpc(voter, Rpc::TransferLeadership { successor });
        }
        self.become_follower(self.term, None);
    }

    /// When a follower that is about to end asks its leader next, if it has to.
    pub(crate) fn shutdown_query_due(&self) -> Option<Micros> {
        let must_ask = !self.is_leader()
            && self.leader.is_some()
            && self.shutdown_readiness() == ShutdownReadiness::Pending;
        self.shutdown.as_ref().filter(|_| must_ask).map(|shutdown| shutdown.next_query_at)
    }

    /// On a follower that is about to end: asks its leader whether others have on disk all that is on its own. The leader
    /// can only answer for entries of its own log, so it is asked once the two logs are known to be equal.
    pub(crate) fn query_shutdown(&mut self) {
        let (now, last_index, is_leader) = (self.now, self.log.last_index(), self.is_leader());
        if let Some(shutdown) = self.shutdown.as_mut().filter(|_| !is_leader) {
            shutdown.acknowledgement_limit = shutdown.acknowledgement_limit.or(Some(last_index));
        }
        if self.shutdown_query_due().is_none_or(|at| now < at) {
            return;
        }
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.next_query_at = now + self.timing.heartbeat_interval;
        }
        let last_index = self.acknowledgement_limit();
        if let Some(leader) = self.leader.filter(|_| self.verified_index >= last_index) {
            self.send_rpc(leader, Rpc::ShutdownQuery { last_index });
        }
    }

    /// A voter is about to end. It is answered once a majority of the other voters, or all of them that are being heard, have
    /// its entries on disk. So it waits for none that is stopped for good or out of reach.
    pub(crate) fn handle_shutdown_query(&mut self, from: VoterId, last_index: LogIndex) {
        let now = self.now;
        let Some(peer) = self.record_contact(from, 0) else { return };
        peer.shutdown_notice = Some(now);
        let Role::Leader(state) = &self.role else { return };
        let others = || self.log.members().0.iter().filter(|voter| **voter != from);
        let has_entries = |voter: &&VoterId| match state.peer(**voter) {
            Some(peer) => peer.match_index >= last_index,
            None => **voter == self.own_id && self.disk.stable_index() >= last_index,
        };
        let may_catch_up =
            |voter: &&VoterId| !has_entries(voter) && self.count_recently_heard(&[**voter]) > 0;
        let is_replicated = others().filter(has_entries).count() > others().count() / 2
            || !others().any(|voter| may_catch_up(&voter));
        if is_replicated && others().any(|voter| has_entries(&voter)) {
            self.send_rpc(from, Rpc::ShutdownApproved { up_to: last_index });
        }
    }

    pub(crate) fn handle_shutdown_approved(&mut self, from: VoterId, up_to: LogIndex) {
        if self.leader == Some(from)
            && let Some(shutdown) = &mut self.shutdown
        {
            shutdown.approved_up_to = shutdown.approved_up_to.max(up_to);
        }
    }
}
