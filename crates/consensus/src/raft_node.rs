//! The Raft server as a whole: its state, how events come in and effects go out, and what all roles share.

use std::mem;

use types::{LogIndex, MS, Micros, NodeAddress, Term, VoterId};

use crate::disk::Disk;
use crate::election::Votes;
use crate::fingerprint::FingerprintHasher;
use crate::follower::IncomingSnapshot;
use crate::leader::{LeaderState, NOTHING_NEEDED};
use crate::log::Log;
use crate::shutdown::ShutdownState;
use crate::{Effect, Entry, EntryPayload, Event, Members, Message, PersistentState, Rpc, Timing};

/// Most addresses that are kept for join requests.
const MAX_PEER_ADDRESSES: usize = 64;
/// A leader steps down once a write has hung for this many election timeouts.
const DISK_STALL_ELECTION_TIMEOUTS: Micros = 4;
/// The candidate writes its own vote, then the others write theirs; one more leaves room for a write that was in progress.
const WRITES_OF_AN_ELECTION: Micros = 3;
/// A restarted node starts its first pre-vote after a random delay in this range: long enough to hear a leader that is
/// still alive, and spread so that few nodes ask at the same moment.
const RESTART_PRE_VOTE_DELAY: (Micros, Micros) = (30 * MS, 250 * MS);
/// The first election after a restart times out after a random span in this range, and then pre-votes begin again.
pub(crate) const RESTART_ELECTION_TIMEOUT: (Micros, Micros) = (300 * MS, 600 * MS);

#[derive(Clone)]
pub(crate) enum Role {
    /// Follows a leader or waits for one. A node that is no member of the group has this role, too.
    Follower,
    /// Asks for pre-votes, without beginning a new term.
    PreCandidate(Votes),
    /// Asks for votes in its current term.
    Candidate(Votes),
    Leader(Box<LeaderState>),
}

/// One server of the Raft group.
///
/// The driver carries out the effects in order, one at a time, and reads `next_tick_at` again after each step. It hands over
/// received messages before a tick that is due; otherwise a slow machine would start an election although the leader's
/// message is waiting in its socket. It must hand over `Event::SnapshotTaken` regularly, since all entries after the newest
/// snapshot stay in memory.
#[derive(Clone)]
pub struct RaftNode {
    pub(crate) own_id: VoterId,
    pub(crate) timing: Timing,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) now: Micros,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<VoterId>,
    pub(crate) log: Log,
    pub(crate) disk: Disk,
    pub(crate) commit_index: LogIndex,
    applied_index: LogIndex,
    pub(crate) role: Role,
    /// The leader of `term`, where it is known.
    pub(crate) leader: Option<VoterId>,
    pub(crate) last_leader_contact: Option<Micros>,
    /// When a majority was last known to follow a leader, and in which term.
    pub(crate) quorum_contact: Option<(Term, Micros)>,
    /// Messages received before this moment may have been queued in the sockets while the process was stalled.
    pub(crate) backlog_until: Micros,
    /// When a follower starts a pre-vote, or a candidate a new one.
    pub(crate) election_deadline: Micros,
    /// Entries up to this one are known to equal those in the log of the current term's leader.
    pub(crate) verified_index: LogIndex,
    /// A vote was granted in this term and is sent once it is on disk.
    pub(crate) vote_pending: bool,
    /// The round of an append response that is sent once the entries are on disk.
    pub(crate) pending_round: Option<u64>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    peer_addresses: Vec<NodeAddress>,
    next_join_request: Micros,
    /// The node has restarted, and has neither heard a leader nor started an election since: its first election has the
    /// shorter timeout `RESTART_ELECTION_TIMEOUT`.
    pub(crate) is_first_election: bool,
    /// Set once the process is about to end: the node then accepts no proposals and never becomes a candidate.
    pub(crate) shutdown: Option<ShutdownState>,
    /// The leader and term in the last `Effect::LeaderChanged`.
    announced_leader: (Option<VoterId>, Term),
    pub(crate) effects: Vec<Effect>,
}

impl RaftNode {
    /// Starts a node from what its disk holds. `initial_members` are given only on the very first start of the whole system
    /// and with an empty disk; they must be the same on all first nodes and contain `own_id`. Without them and with an empty
    /// `saved` the node is no member, and asks others to let it join.
    pub fn start(
        own_id: VoterId, initial_members: Option<Members>, saved: PersistentState, timing: Timing, seed: u64,
        now: Micros,
    ) -> (RaftNode, Vec<Effect>) {
        let empty = saved.term == Term(0) && saved.snapshot.is_none() && saved.entries.is_empty();
        let last_on_disk = saved.entries.iter().map(|entry| entry.index).max().unwrap_or_default();
        let log = Log::restore(saved.snapshot, saved.entries);
        let snapshot_index = log.snapshot_index();
        // An entry that was committed stays committed whoever leads now, so it is applied without asking anybody.
        let commit_index = saved.commit_index.min(log.last_index()).max(snapshot_index);
        let disk = Disk::restore(saved.term, saved.voted_for, &log, last_on_disk, commit_index);
        let mut node = RaftNode {
            own_id,
            timing,
            rng: oorandom::Rand64::new(u128::from(seed)),
            now,
            term: saved.term.max(log.last_term()),
            voted_for: saved.voted_for.filter(|_| saved.term >= log.last_term()),
            log,
            disk,
            commit_index,
            applied_index: snapshot_index,
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            quorum_contact: None,
            backlog_until: now,
            election_deadline: 0,
            verified_index: commit_index,
            vote_pending: false,
            pending_round: None,
            incoming_snapshot: None,
            peer_addresses: Vec::new(),
            next_join_request: now,
            is_first_election: false,
            shutdown: None,
            announced_leader: (None, Term(0)),
            effects: Vec::new(),
        };
        if let (true, Some(members)) = (empty, initial_members) {
            // All first nodes have the same first entry, in a term in which nobody is elected.
            node.term = Term(1);
            node.log.append(Entry {
                index: LogIndex(1),
                term: Term(1),
                payload: EntryPayload::Members(members),
            });
        }
        node.announced_leader.1 = node.term;
        if node.is_member() {
            node.next_join_request = now + timing.join_interval;
        }
        node.reset_election_deadline();
        if !empty {
            // All nodes may have been down, so don't wait for a full election timeout. If a leader is alive, the nodes that
            // hear it deny the pre-vote.
            node.set_election_deadline_within(RESTART_PRE_VOTE_DELAY);
            node.is_first_election = true;
        }
        if let Some(snapshot) = node.log.snapshot().filter(|snapshot| snapshot.index > LogIndex(0)) {
            node.effects.push(Effect::Restore { index: snapshot.index, data: snapshot.data.clone() });
        }
        let effects = node.finish_step();
        (node, effects)
    }

    /// Handles one event at `now` (steady clock, microseconds). The effects are to be carried out in order.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.detect_stall(now);
        self.now = self.now.max(now);
        // Before anything else, since the process may have been frozen since the last event.
        self.check_leadership();
        match event {
            Event::Tick => self.tick(),
            Event::Received { from, message } => self.handle_message(from, message),
            Event::Propose { call, data } => self.propose(call, data),
            Event::Read { call } => self.read(call),
            Event::Synced { write } => {
                if self.disk.synced(self.now, write, self.log.last_index()) {
                    self.after_sync();
                }
            }
            Event::WriteFailed { write } => {
                if self.disk.failed(write, self.now + self.timing.election_timeout) {
                    self.step_down();
                }
            }
            Event::Peers { mut addresses } => {
                addresses.truncate(MAX_PEER_ADDRESSES);
                if self.peer_addresses.is_empty() && !self.is_member() {
                    self.next_join_request = self.now;
                }
                self.peer_addresses = addresses;
            }
            Event::SnapshotTaken { index, data } => self.handle_snapshot_taken(index, data),
            Event::ConfirmQuorum => self.request_quorum_probe(),
            Event::PrepareShutdown => {
                self.shutdown = self.shutdown.take().or_else(|| Some(ShutdownState::default()));
            }
        }
        self.finish_step()
    }

    /// The latest time for the next `Event::Tick`; it may lie in the past.
    pub fn next_tick_at(&self) -> Micros {
        let mut due = match &self.role {
            Role::Leader(state) => state.next_heartbeat,
            Role::PreCandidate(votes) | Role::Candidate(votes) => {
                self.election_deadline.min(votes.next_request_at)
            }
            Role::Follower if self.is_member() => self.election_deadline,
            Role::Follower => Micros::MAX,
        };
        if self.has_no_leader() {
            due = due.min(self.next_join_request);
        } else if !self.is_member() {
            due = due.min(self.election_deadline);
        }
        if let Some(query_at) = self.shutdown_query_due() {
            due = due.min(query_at);
        }
        self.disk.due().map_or(due, |write_at| due.min(write_at))
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// How long a write takes: as long as the last one, or as the one in progress has taken already.
    pub fn write_time(&self) -> Micros {
        self.disk.expected_write_time(self.now)
    }

    /// The leader of the current term, where it is known.
    pub fn leader(&self) -> Option<VoterId> {
        self.leader
    }

    /// The newest members in this node's log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// All entries up to this one are known to be committed, and their commands were passed to `Effect::Apply`.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// The index of the last entry in this node's log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The entry at an index, if it is in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// A hash of everything that determines what the node does from `now` on, by which a model checker recognises equal
    /// states. Instants enter as distances from `now`, capped where a longer distance makes no difference.
    ///
    /// The random election deadline enters only as a number of election timeouts, rounded up, and the random generator does
    /// not enter: a checker that fires timers in any order loses nothing but the exact delays. Write ids and the last
    /// `Effect::LeaderChanged` are left out because they follow from the rest.
    pub fn fingerprint(&self, now: Micros) -> u64 {
        let mut hasher = FingerprintHasher::new(self.now.max(now));
        let RaftNode {
            own_id,
            timing,
            rng: _,
            now: _,
            term,
            voted_for,
            log,
            disk,
            commit_index,
            applied_index,
            role,
            leader,
            last_leader_contact,
            quorum_contact: _,
            backlog_until: _,
            election_deadline,
            verified_index,
            vote_pending,
            pending_round,
            incoming_snapshot,
            peer_addresses,
            next_join_request,
            is_first_election,
            shutdown,
            announced_leader: _,
            effects: _,
        } = self;
        hasher.add((own_id, term, voted_for, log, commit_index, applied_index, leader, verified_index));
        hasher.add((
            vote_pending,
            pending_round,
            incoming_snapshot,
            peer_addresses,
            is_first_election,
            shutdown.is_some(),
        ));
        if let Some(shutdown) = shutdown {
            shutdown.add_to_fingerprint(&mut hasher);
        }
        disk.add_to_fingerprint(&mut hasher, DISK_STALL_ELECTION_TIMEOUTS * timing.election_timeout);
        if leader.is_none() {
            // With a leader this has no effect: losing the leader sets the next join request anew.
            hasher.add(hasher.time_until(*next_join_request));
        } else if !self.is_leader() {
            // The last contact only counts as that of a leader that is still followed.
            let timeout = timing.election_timeout;
            hasher.add(last_leader_contact.map_or(timeout, |at| hasher.time_since(at, timeout)));
        }
        if !self.is_leader() {
            let timeout = timing.election_timeout.max(1);
            hasher.add((hasher.time_until(*election_deadline) + timeout - 1) / timeout);
            hasher.add(self.vote_timeout() / timeout);
        }
        match role {
            Role::Follower => hasher.add(0u8),
            Role::PreCandidate(votes) => {
                hasher.add(1u8);
                votes.add_to_fingerprint(&mut hasher);
            }
            Role::Candidate(votes) => {
                hasher.add(2u8);
                votes.add_to_fingerprint(&mut hasher);
            }
            Role::Leader(state) => {
                hasher.add(3u8);
                state.add_to_fingerprint(&mut hasher, timing, log.exceeds_tail());
            }
        }
        hasher.value()
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// Bytes of memory taken by entries and snapshots, including snapshots that are being sent or received.
    pub fn memory_bytes(&self) -> usize {
        let outgoing = match &self.role {
            Role::Leader(state) => state.outgoing_snapshot_bytes(&self.log),
            _ => 0,
        };
        self.log.bytes() + outgoing + self.incoming_snapshot.as_ref().map_or(0, IncomingSnapshot::bytes)
    }

    /// Whether the newest members in this node's log include it.
    pub fn is_member(&self) -> bool {
        self.is_voter(self.own_id)
    }

    pub(crate) fn is_voter(&self, voter: VoterId) -> bool {
        self.log.members().0.contains(&voter)
    }

    pub(crate) fn quorum_size(&self) -> usize {
        self.log.members().0.len() / 2 + 1
    }

    /// False after a failed write and while a write hangs. Such a node neither leads nor votes.
    pub(crate) fn disk_is_healthy(&self) -> bool {
        self.disk.is_healthy(self.now, DISK_STALL_ELECTION_TIMEOUTS * self.timing.election_timeout)
    }

    pub(crate) fn send_rpc(&mut self, to: VoterId, rpc: Rpc) {
        self.send_rpc_in_term(self.term, to, rpc);
    }

    pub(crate) fn send_rpc_in_term(&mut self, term: Term, to: VoterId, rpc: Rpc) {
        self.effects.push(Effect::Send { to: to.address, message: Message::Rpc { to, term, rpc } });
    }

    /// Draws a new election deadline, one to two election timeouts from now.
    pub(crate) fn reset_election_deadline(&mut self) {
        self.draw_election_deadline(self.timing.election_timeout);
    }

    /// Draws the deadline of an election that this node has a part in, as a candidate or by its vote: long enough for the
    /// writes that it takes, if the other disks are as slow as this node's.
    pub(crate) fn set_vote_deadline(&mut self) {
        self.draw_election_deadline(self.vote_timeout());
    }

    fn vote_timeout(&self) -> Micros {
        self.timing.election_timeout.max(WRITES_OF_AN_ELECTION * self.write_time())
    }

    fn draw_election_deadline(&mut self, timeout: Micros) {
        let timeout = timeout.max(1);
        self.election_deadline = self.now + timeout + self.rng.rand_range(0..timeout as u64) as Micros;
    }

    /// Draws a new election deadline in a given range from now.
    pub(crate) fn set_election_deadline_within(&mut self, (from, to): (Micros, Micros)) {
        self.election_deadline = self.now + from + self.rng.rand_range(0..(to - from) as u64) as Micros;
    }

    /// Becomes a follower in `term`, which is the current term or a newer one. All role and term changes to follower go
    /// through here. A leader rejects its pending calls first.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<VoterId>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.vote_pending = false;
            self.pending_round = None;
            // Committed entries are in the log of every later leader.
            self.verified_index = self.commit_index;
        }
        if self.leader.is_some() && leader.is_none() {
            self.next_join_request = self.now + self.timing.join_interval;
        }
        self.leader = leader;
        self.is_first_election &= leader.is_none();
        if let Role::Leader(state) = mem::replace(&mut self.role, Role::Follower) {
            self.verified_index = self.commit_index;
            state.reject_pending(leader.map(|voter| voter.address), &mut self.effects);
            self.log.compact(NOTHING_NEEDED);
            self.reset_election_deadline();
        }
    }

    /// Gives up leadership or a candidacy, as the disk has failed or no majority answers.
    pub(crate) fn step_down(&mut self) {
        if !matches!(self.role, Role::Follower) {
            self.become_follower(self.term, None);
            self.reset_election_deadline();
        }
    }

    fn has_no_leader(&self) -> bool {
        self.leader.is_none()
    }

    /// Sends heartbeats, starts elections and sends join requests when it is time.
    fn tick(&mut self) {
        if self.is_leader() {
            return self.send_heartbeats();
        }
        if self.now >= self.election_deadline {
            self.reset_election_deadline();
            if self.is_member() && self.disk_is_healthy() && !self.is_shutting_down() {
                self.start_pre_vote();
            } else if !matches!(self.role, Role::Follower) || self.leader.is_some() {
                self.become_follower(self.term, None);
                self.next_join_request = self.now;
            }
        }
        self.request_votes();
        if self.has_no_leader() && self.now >= self.next_join_request {
            self.send_join_requests();
        }
    }

    /// Asks all known nodes to let this one join or to name the leader.
    fn send_join_requests(&mut self) {
        self.next_join_request = self.now + self.timing.join_interval;
        let mut addresses = self.peer_addresses.clone();
        addresses.extend(self.log.members().0.iter().map(|voter| voter.address));
        addresses.sort_unstable();
        addresses.dedup();
        for to in addresses.into_iter().filter(|address| *address != self.own_id.address) {
            self.effects.push(Effect::Send { to, message: Message::JoinRequest });
        }
    }

    fn handle_message(&mut self, from: VoterId, message: Message) {
        if from == self.own_id {
            return;
        }
        match message {
            Message::JoinRequest if self.is_leader() => self.handle_join_request(from),
            Message::JoinRequest => {
                let leader =
                    self.leader.map(|voter| voter.address).filter(|address| *address != from.address);
                if let Some(address) = leader {
                    self.effects
                        .push(Effect::Send { to: from.address, message: Message::LeaderHint { address } });
                }
            }
            Message::LeaderHint { address } => {
                // A known address gets a join request at each interval anyway.
                let known = self.peer_addresses.contains(&address) || address == self.own_id.address;
                if self.has_no_leader()
                    && !known
                    && !self.log.members().0.iter().any(|voter| voter.address == address)
                {
                    self.effects.push(Effect::Send { to: address, message: Message::JoinRequest });
                }
            }
            Message::Rpc { to, term, rpc } if to == self.own_id => self.handle_rpc(from, term, rpc),
            Message::Rpc { .. } => {}
        }
    }

    /// Handles a request or response according to its term. Senders of older terms are told so if they act as leaders, and
    /// ignored otherwise, except that votes and pre-votes have rules of their own.
    fn handle_rpc(&mut self, from: VoterId, term: Term, rpc: Rpc) {
        match rpc {
            Rpc::PreVoteRequest { last_index, last_term } => {
                self.handle_pre_vote_request(from, term, last_index, last_term)
            }
            Rpc::PreVoteResponse { granted: true } => self.handle_pre_vote_granted(from, term),
            Rpc::VoteRequest { last_index, last_term } => {
                self.handle_vote_request(from, term, last_index, last_term)
            }
            Rpc::AppendEntries { .. } | Rpc::Heartbeat { .. } | Rpc::InstallSnapshot { .. } => {
                if term < self.term {
                    self.send_rpc(from, Rpc::StaleTerm);
                } else if self.accept_leader(from, term) {
                    self.handle_leader_rpc(from, rpc);
                }
            }
            _ if term > self.term => {
                if self.is_voter(from) || self.tracks_peer(from) {
                    self.become_follower(term, None);
                }
            }
            _ if term < self.term => {}
            Rpc::VoteResponse { granted: true } => self.handle_vote_granted(from),
            Rpc::VoteResponse { granted: false }
            | Rpc::PreVoteResponse { granted: false }
            | Rpc::StaleTerm => {}
            Rpc::AppendResponse { match_index, received_index, round } => {
                self.handle_append_response(from, match_index, received_index, round)
            }
            Rpc::AppendRejected { prev_index, retry_index, round } => {
                self.handle_append_rejected(from, prev_index, retry_index, round)
            }
            Rpc::SnapshotProgress { last_included_index, received_bytes, round } => {
                self.handle_snapshot_progress(from, last_included_index, received_bytes, round)
            }
            Rpc::TransferLeadership { successor } => self.handle_transfer(from, successor),
            Rpc::ShutdownQuery { last_index } => self.handle_shutdown_query(from, last_index),
            Rpc::ShutdownApproved { up_to } => self.handle_shutdown_approved(from, up_to),
        }
    }

    /// Replaces the snapshot by the newer state that the driver has handed over.
    fn handle_snapshot_taken(&mut self, index: LogIndex, data: Vec<u8>) {
        if index > self.log.snapshot_index() && index <= self.applied_index {
            let term = self.log.term_at(index).expect("entries after the snapshot are in memory");
            let members = self.log.members_at(index).clone();
            self.log.install_snapshot(crate::Snapshot { index, term, members, data });
            self.log.compact(self.oldest_needed_index());
            self.limit_old_snapshots();
        }
    }

    /// Takes a leader's snapshot as the state up to its index, in place of the commands.
    pub(crate) fn restore_state(&mut self, index: LogIndex, data: Vec<u8>) {
        self.commit_index = index;
        self.applied_index = index;
        self.effects.push(Effect::Restore { index, data });
    }

    /// Does what any event may lead to besides its own effects: commits, membership changes, answers to reads, sends, and
    /// the next write.
    fn finish_step(&mut self) -> Vec<Effect> {
        if self.is_leader() {
            self.commit_replicated();
            if !self.is_shutting_down() {
                self.maintain_members();
                self.commit_replicated();
            }
        }
        if self.applied_index < self.commit_index {
            self.disk.note_commit_index(self.now, self.commit_index);
        }
        self.apply_committed();
        if self.is_leader() {
            self.complete_quorum_probe();
            self.answer_ready_reads();
            self.send_to_peers();
            if self.is_shutting_down() {
                self.transfer_leadership();
            }
        }
        self.query_shutdown();
        if let Some(write) =
            self.disk.next_write(self.now, self.term, self.voted_for, &self.log, self.commit_index)
        {
            self.effects.push(Effect::Write(write));
        }
        if self.announced_leader != (self.leader, self.term)
            && (self.announced_leader.0 != self.leader || self.leader.is_some())
        {
            self.announced_leader = (self.leader, self.term);
            self.effects.push(Effect::LeaderChanged { leader: self.leader, term: self.term });
        }
        mem::take(&mut self.effects)
    }

    fn apply_committed(&mut self) {
        while self.applied_index < self.commit_index {
            let index = LogIndex(self.applied_index.0 + 1);
            let entry = self.log.get(index).expect("committed entries that are not applied are in memory");
            if let EntryPayload::Command(data) = &entry.payload {
                let data = data.clone();
                let call = match &mut self.role {
                    Role::Leader(state) => state.take_proposal(index),
                    _ => None,
                };
                self.effects.push(Effect::Apply { index, data, call });
            }
            self.applied_index = index;
        }
    }
}
