//! The follower: entries, heartbeats and snapshots from a leader, and the responses to them.

use types::{LogIndex, Term, VoterId};

use crate::leader::NOTHING_NEEDED;
use crate::raft_node::{RaftNode, Role};
use crate::{Entry, Members, Rpc, Snapshot};

/// Largest snapshot that is accepted from a leader.
const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// A snapshot that is only partly received. It is kept when its leader is gone: snapshots hold only committed state, and
/// snapshots after the same entry have the same bytes on every node, so another leader can continue the transfer.
#[derive(Clone, Hash)]
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    term: Term,
    total_bytes: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    pub(crate) fn bytes(&self) -> usize {
        self.data.len()
    }
}

impl RaftNode {
    /// Accepts `from` as the leader of `term`, which is the current term or a newer one. Returns false if this term has
    /// another leader.
    pub(crate) fn accept_leader(&mut self, from: VoterId, term: Term) -> bool {
        if term == self.term && (self.is_leader() || self.leader.is_some_and(|leader| leader != from)) {
            return false;
        }
        if self.leader != Some(from) || term > self.term || !matches!(self.role, Role::Follower) {
            self.become_follower(term, Some(from));
            if self.log.last_term() == term {
                // All entries of a term come from its one leader, each on top of everything before it, so the whole log
                // equals the leader's. A node that restarts within a term depends on this: the leader knows that the
                // entries are on its disk and does not send them again.
                self.verified_index = self.verified_index.max(self.log.last_index());
            }
        }
        self.last_leader_contact = Some(self.now);
        self.record_leader_contact();
        self.reset_election_deadline();
        true
    }

    /// Handles a request from the leader that `accept_leader` has accepted.
    pub(crate) fn handle_leader_rpc(&mut self, from: VoterId, rpc: Rpc) {
        match rpc {
            Rpc::AppendEntries { prev_index, prev_term, entries, commit_index, round } => {
                self.handle_append_entries(prev_index, prev_term, entries, commit_index, round);
            }
            Rpc::Heartbeat { commit_index, round } => {
                self.raise_commit_index(commit_index);
                if let Some(round) = round {
                    self.send_append_response(round);
                }
            }
            Rpc::InstallSnapshot {
                last_included_index: index,
                last_included_term: term,
                members,
                total_bytes,
                offset,
                data,
                round,
            } => {
                let chunk = Snapshot { index, term, members, data };
                self.handle_snapshot_chunk(from, chunk, total_bytes, offset, round);
            }
            _ => {}
        }
    }

    fn handle_append_entries(
        &mut self, prev_index: LogIndex, prev_term: Term, entries: Vec<Entry>, commit_index: LogIndex,
        round: u64,
    ) {
        let Some(leader) = self.leader else { return };
        let mut next = prev_index.0;
        let in_order = entries.iter().all(|entry| {
            next = next.saturating_add(1);
            entry.index.0 == next && entry.term <= self.term
        });
        if !in_order {
            return;
        }
        // Committed entries are the same in the leader's log, so they need no check.
        if prev_index > self.commit_index && self.log.term_at(prev_index) != Some(prev_term) {
            let retry_index = match self.log.last_index() {
                last if last < prev_index => last,
                _ => LogIndex(self.log.term_start(prev_index).0.saturating_sub(1)),
            };
            let retry_index = retry_index.max(self.commit_index);
            return self.send_rpc(leader, Rpc::AppendRejected { prev_index, retry_index, round });
        }
        let last_received = LogIndex(prev_index.0.saturating_add(entries.len() as u64));
        for entry in entries {
            if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.log.truncate_from(entry.index);
                self.disk.truncate_from(entry.index);
            }
            self.log.append(entry);
        }
        self.verified_index = self.verified_index.max(last_received);
        self.raise_commit_index(commit_index);
        if last_received <= self.disk.stable_index() {
            self.send_append_response(round);
        } else {
            self.pending_round = self.pending_round.max(Some(round));
        }
    }

    /// Raises the commit index to the leader's, as far as the log is known to equal the leader's.
    fn raise_commit_index(&mut self, leader_commit: LogIndex) {
        self.commit_index = self.commit_index.max(leader_commit.min(self.verified_index));
        self.incoming_snapshot.take_if(|incoming| incoming.index <= self.commit_index);
    }

    fn send_append_response(&mut self, round: u64) {
        let Some(leader) = self.leader else { return };
        let received_index = self.verified_index;
        let match_index = received_index.min(self.disk.stable_index()).min(self.acknowledgement_limit());
        self.send_rpc(leader, Rpc::AppendResponse { match_index, received_index, round });
    }

    /// Sends the append response that waited for the disk, if there is one.
    pub(crate) fn send_pending_append_response(&mut self) {
        if let Some(round) = self.pending_round {
            if self.verified_index <= self.disk.stable_index() {
                self.pending_round = None;
            }
            self.send_append_response(round);
        }
    }

    fn handle_snapshot_chunk(
        &mut self, leader: VoterId, chunk: Snapshot, total_bytes: u64, offset: u64, round: u64,
    ) {
        let Snapshot { index, term, members, data } = chunk;
        if index <= self.commit_index {
            return self.send_append_response(round);
        }
        let is_same = |incoming: &IncomingSnapshot| {
            (incoming.index, incoming.term, incoming.total_bytes) == (index, term, total_bytes)
        };
        if !self.incoming_snapshot.as_ref().is_some_and(is_same) {
            self.incoming_snapshot = Some(IncomingSnapshot { index, term, total_bytes, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return };
        let held_bytes = incoming.data.len() as u64;
        if offset == held_bytes
            && held_bytes + data.len() as u64 <= total_bytes
            && total_bytes <= MAX_SNAPSHOT_BYTES
        {
            incoming.data.extend_from_slice(&data);
        }
        let received_bytes = incoming.data.len() as u64;
        if received_bytes < total_bytes {
            let progress = Rpc::SnapshotProgress { last_included_index: index, received_bytes, round };
            return self.send_rpc(leader, progress);
        }
        let data = self.incoming_snapshot.take().map(|incoming| incoming.data).unwrap_or_default();
        self.install_snapshot(index, term, members, data);
        self.pending_round = self.pending_round.max(Some(round));
    }

    fn install_snapshot(&mut self, index: LogIndex, term: Term, members: Members, data: Vec<u8>) {
        if !self.log.install_snapshot(Snapshot { index, term, members, data: data.clone() }) {
            self.disk.truncate_from(LogIndex(1));
        }
        self.log.compact(NOTHING_NEEDED);
        self.verified_index = self.verified_index.max(index);
        self.restore_state(index, data);
    }
}
