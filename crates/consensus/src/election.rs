//! Elections: pre-votes, candidacies and votes.

use types::{LogIndex, Micros, Term, VoterId};

use crate::Rpc;
use crate::fingerprint::FingerprintHasher;
use crate::raft_node::{RESTART_ELECTION_TIMEOUT, RaftNode, Role};

/// The votes or pre-votes that a candidate has, and when it asks the other members again.
#[derive(Clone)]
pub(crate) struct Votes {
    granted: Vec<VoterId>,
    pub(crate) next_request_at: Micros,
}

impl Votes {
    /// Adds a vote if it comes from a member. Returns the number of votes.
    fn add(&mut self, from: VoterId, members: &[VoterId]) -> usize {
        if members.contains(&from) && !self.granted.contains(&from) {
            self.granted.push(from);
        }
        self.granted.len()
    }

    pub(crate) fn add_to_fingerprint(&self, hasher: &mut FingerprintHasher) {
        let Votes { granted, next_request_at } = self;
        let mut granted = granted.clone();
        granted.sort_unstable();
        hasher.add((granted, hasher.time_until(*next_request_at)));
    }
}

impl RaftNode {
    /// Begins a pre-vote. It changes nobody's term, so a node that was cut off does not disturb the others.
    pub(crate) fn start_pre_vote(&mut self) {
        self.become_follower(self.term, None);
        self.role = Role::PreCandidate(Votes { granted: vec![self.own_id], next_request_at: self.now });
        if self.quorum_size() == 1 {
            self.start_election();
        }
    }

    /// Becomes a candidate in a new term. Votes are requested, and the node's own vote counts, only once term, vote and log
    /// are on disk.
    fn start_election(&mut self) {
        let term = Term(self.term.0 + 1);
        self.become_follower(term, None);
        self.voted_for = Some(self.own_id);
        self.role = Role::Candidate(Votes { granted: Vec::new(), next_request_at: Micros::MAX });
        self.set_vote_deadline();
        if std::mem::take(&mut self.is_first_election) {
            self.set_election_deadline_within(RESTART_ELECTION_TIMEOUT);
        }
    }

    /// Sends vote or pre-vote requests to the members that have not granted one, if it is time.
    pub(crate) fn request_votes(&mut self) {
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let next_request_at = self.now + self.timing.heartbeat_interval;
        let (term, request, votes) = match &mut self.role {
            Role::PreCandidate(votes) => {
                (Term(self.term.0 + 1), Rpc::PreVoteRequest { last_index, last_term }, votes)
            }
            Role::Candidate(votes) => (self.term, Rpc::VoteRequest { last_index, last_term }, votes),
            Role::Follower | Role::Leader(_) => return,
        };
        if self.now < votes.next_request_at {
            return;
        }
        votes.next_request_at = next_request_at;
        let granted = votes.granted.clone();
        for voter in self.log.members().0.clone() {
            if voter != self.own_id && !granted.contains(&voter) {
                self.send_rpc_in_term(term, voter, request.clone());
            }
        }
    }

    /// Whether a log that ends with this entry is behind this node's log.
    fn is_log_outdated(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) < (self.log.last_term(), self.log.last_index())
    }

    /// Whether, as far as this node knows, there is a live leader, which may be itself. An election is not needed then.
    fn has_live_leader(&self) -> bool {
        let is_recent =
            self.last_leader_contact.is_some_and(|at| self.now - at < self.timing.election_timeout);
        self.is_leader() || (self.leader.is_some() && is_recent)
    }

    /// The leader of this term steps down and names its successor. The successor needs no pre-vote, as all nodes that would
    /// deny it get the same message.
    pub(crate) fn handle_transfer(&mut self, from: VoterId, successor: VoterId) {
        if self.leader != Some(from) {
            return;
        }
        self.become_follower(self.term, None);
        // The message may not have reached the successor: it has two heartbeat intervals, then the others start pre-votes.
        self.set_election_deadline_within((
            2 * self.timing.heartbeat_interval,
            4 * self.timing.heartbeat_interval,
        ));
        if successor == self.own_id && self.is_member() && self.disk_is_healthy() && !self.is_shutting_down()
        {
            self.start_election();
        }
    }

    /// A node with an empty log never votes, since it has not joined the group.
    fn can_vote(&self) -> bool {
        self.disk_is_healthy() && self.log.last_index() > LogIndex(0)
    }

    pub(crate) fn handle_pre_vote_request(
        &mut self, from: VoterId, term: Term, last_index: LogIndex, last_term: Term,
    ) {
        let granted = term > self.term
            && !self.has_live_leader()
            && self.can_vote()
            && !self.is_log_outdated(last_index, last_term);
        let response_term = if granted { term } else { self.term };
        self.send_rpc_in_term(response_term, from, Rpc::PreVoteResponse { granted });
    }

    pub(crate) fn handle_pre_vote_granted(&mut self, from: VoterId, term: Term) {
        if let Role::PreCandidate(votes) = &mut self.role
            && term.0 == self.term.0 + 1
            && votes.add(from, &self.log.members().0) >= self.quorum_size()
            && self.disk_is_healthy()
        {
            self.start_election();
        }
    }

    pub(crate) fn handle_vote_request(
        &mut self, from: VoterId, term: Term, last_index: LogIndex, last_term: Term,
    ) {
        if term > self.term {
            if self.has_live_leader() {
                return;
            }
            self.become_follower(term, None);
        }
        let is_vote_free = self.voted_for.is_none_or(|voted_for| voted_for == from);
        if term < self.term
            || !is_vote_free
            || !self.can_vote()
            || self.is_log_outdated(last_index, last_term)
        {
            return self.send_rpc(from, Rpc::VoteResponse { granted: false });
        }
        self.become_follower(term, self.leader);
        self.voted_for = Some(from);
        self.set_vote_deadline();
        self.vote_pending = true;
        self.send_pending_vote();
    }

    /// Sends the granted vote once it is on disk.
    fn send_pending_vote(&mut self) {
        let is_saved = self.disk.has_saved_vote(self.term, self.voted_for);
        if let Some(candidate) = self.voted_for.filter(|_| self.vote_pending && is_saved) {
            self.vote_pending = false;
            self.send_rpc(candidate, Rpc::VoteResponse { granted: true });
        }
    }

    pub(crate) fn handle_vote_granted(&mut self, from: VoterId) {
        if let Role::Candidate(votes) = &mut self.role
            && votes.add(from, &self.log.members().0) >= self.quorum_size()
        {
            self.become_leader();
        }
    }

    /// Does what waited for the disk: sends a granted vote, begins to request votes, or answers the leader.
    pub(crate) fn after_sync(&mut self) {
        self.send_pending_vote();
        let is_saved = self.disk.has_saved_vote(self.term, self.voted_for)
            && self.disk.stable_index() == self.log.last_index();
        if let Role::Candidate(votes) = &mut self.role
            && votes.granted.is_empty()
            && is_saved
        {
            votes.next_request_at = self.now;
            self.handle_vote_granted(self.own_id);
            self.request_votes();
        }
        self.send_pending_append_response();
    }
}
