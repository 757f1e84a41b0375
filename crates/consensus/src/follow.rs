//! Following: entries, beats and snapshots from a leader, and the answers to them.

use types::{LogIndex, Term, VoterId};

use crate::book::{RaftNode, Role};
use crate::lead::NOBODY;
use crate::{Entry, Members, Rpc, Snapshot};

/// Most bytes of a snapshot that is taken from a leader.
const MOST_SNAPSHOT: u64 = 64 * 1024 * 1024;

/// A snapshot that is not yet whole. It outlasts its leader: snapshots hold only what is committed, and those after
/// the same entry are the same bytes at every seat, so that another leader may go on where the first one ended.
#[derive(Clone, Hash)]
pub(crate) struct Coming {
    index: LogIndex,
    term: Term,
    total: u64,
    data: Vec<u8>,
}

impl Coming {
    pub(crate) fn bytes(&self) -> usize {
        self.data.len()
    }
}

impl RaftNode {
    /// Takes `from` for the leader of `term`, which is the own one or newer. False if it can't be.
    pub(crate) fn accept(&mut self, from: VoterId, term: Term) -> bool {
        if term == self.term && (self.is_leader() || self.leader.is_some_and(|leader| leader != from)) {
            return false;
        }
        if self.leader != Some(from) || term > self.term || !matches!(self.role, Role::Following) {
            self.follow(term, Some(from));
            if self.log.last_term() == term {
                // Entries of a term come from its one leader, each on top of all before it. A seat that
                // starts again in the middle of a term has no need to be told them a second time, and is not:
                // the leader knows that they are on its disk.
                self.verified = self.verified.max(self.log.last());
            }
        }
        self.heard_leader = Some(self.now);
        self.prove_by_leader();
        self.arm();
        true
    }

    pub(crate) fn by_leader(&mut self, from: VoterId, word: Rpc) {
        match word {
            Rpc::AppendEntries { prev_index: prev, prev_term, entries, commit_index: commit, round } => {
                self.take_entries(prev, prev_term, entries, commit, round);
            }
            Rpc::Heartbeat { commit_index: commit, round } => {
                self.take_commit(commit);
                if let Some(round) = round {
                    self.answer(round);
                }
            }
            Rpc::InstallSnapshot {
                last_included_index: index,
                last_included_term: index_term,
                members,
                total_bytes: total,
                offset: at,
                data,
                round,
            } => {
                self.take_piece(from, Snapshot { index, term: index_term, members, data }, total, at, round);
            }
            _ => {}
        }
    }

    fn take_entries(
        &mut self, prev: LogIndex, prev_term: Term, entries: Vec<Entry>, commit: LogIndex, round: u64,
    ) {
        let Some(leader) = self.leader else { return };
        let mut next = prev.0;
        let in_order = entries.iter().all(|entry| {
            next = next.saturating_add(1);
            entry.index.0 == next && entry.term <= self.term
        });
        if !in_order {
            return;
        }
        // What is committed here is the same there.
        if prev > self.commit && self.log.term_at(prev) != Some(prev_term) {
            let hint = match self.log.last() {
                last if last < prev => last,
                _ => LogIndex(self.log.run_start(prev).0.saturating_sub(1)),
            };
            return self.say(
                leader,
                Rpc::AppendRejected { prev_index: prev, retry_index: hint.max(self.commit), round },
            );
        }
        let upto = LogIndex(prev.0.saturating_add(entries.len() as u64));
        for entry in entries {
            if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last() {
                self.log.cut(entry.index);
                self.disk.cut(entry.index);
            }
            self.log.append(entry);
        }
        self.verified = self.verified.max(upto);
        self.take_commit(commit);
        if upto <= self.disk.stable() {
            self.answer(round);
        } else {
            self.owes_round = self.owes_round.max(Some(round));
        }
    }

    fn take_commit(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit.min(self.verified));
        self.coming.take_if(|coming| coming.index <= self.commit);
    }

    fn answer(&mut self, round: u64) {
        let Some(leader) = self.leader else { return };
        let got = self.verified;
        self.say(
            leader,
            Rpc::AppendResponse {
                match_index: got.min(self.disk.stable()).min(self.acknowledgement_limit()),
                received_index: got,
                round,
            },
        );
    }

    /// The answer that waited for the disk.
    pub(crate) fn pay_round(&mut self) {
        if let Some(round) = self.owes_round {
            if self.verified <= self.disk.stable() {
                self.owes_round = None;
            }
            self.answer(round);
        }
    }

    fn take_piece(&mut self, leader: VoterId, piece: Snapshot, total: u64, at: u64, round: u64) {
        let Snapshot { index, term, members, data } = piece;
        if index <= self.commit {
            return self.answer(round);
        }
        let same = |coming: &Coming| (coming.index, coming.term, coming.total) == (index, term, total);
        if !self.coming.as_ref().is_some_and(same) {
            self.coming = Some(Coming { index, term, total, data: Vec::new() });
        }
        let Some(coming) = &mut self.coming else { return };
        let have = coming.data.len() as u64;
        if at == have && have + data.len() as u64 <= total && total <= MOST_SNAPSHOT {
            coming.data.extend_from_slice(&data);
        }
        let upto = coming.data.len() as u64;
        if upto < total {
            return self.say(
                leader,
                Rpc::SnapshotProgress { last_included_index: index, received_bytes: upto, round },
            );
        }
        let data = self.coming.take().map(|coming| coming.data).unwrap_or_default();
        self.install(index, term, members, data);
        self.owes_round = self.owes_round.max(Some(round));
    }

    fn install(&mut self, index: LogIndex, term: Term, members: Members, data: Vec<u8>) {
        if !self.log.replace(Snapshot { index, term, members, data: data.clone() }) {
            self.disk.cut(LogIndex(1));
        }
        self.log.trim(NOBODY);
        self.verified = self.verified.max(index);
        self.restored(index, data);
    }
}
