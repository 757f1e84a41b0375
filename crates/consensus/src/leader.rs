//! The leader: replication to followers and learners, commits, and reads that confirm leadership first.

use std::collections::VecDeque;
use std::sync::Arc;

use types::{CallId, LogIndex, Micros, NodeAddress, Term, VoterId};

use crate::fingerprint::FingerprintHasher;
use crate::log::{Log, entry_bytes};
use crate::membership::{CatchUpRounds, LEARNER_ELECTION_TIMEOUTS};
use crate::quorum_contact::QuorumProbe;
use crate::raft_node::{RaftNode, Role};
use crate::{Effect, Entry, EntryPayload, Message, Rpc, Snapshot, Timing};

/// Most bytes of uncommitted entries; proposals beyond that are rejected.
const MAX_UNCOMMITTED_BYTES: usize = 4 * 1024 * 1024;
/// Most appends with entries that one follower may leave unanswered.
const MAX_APPENDS_IN_FLIGHT: usize = 2;
/// Time allowed for each byte in flight before it counts as lost, in microseconds: a link of 6 Mbit/s carries three bytes in
/// four microseconds, and others share it. If the bytes arrive after all, the allowance is doubled, up to
/// `MAX_TIMEOUT_DOUBLINGS` times.
const RESPONSE_TIMEOUT_PER_BYTE: Micros = 3;
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// A message of up to this size is delivered or lost within a heartbeat interval.
const SMALL_MESSAGE_BYTES: usize = 8 * 1024;
/// Entries are retained for a follower that has made progress within this many election timeouts.
const RETENTION_ELECTION_TIMEOUTS: Micros = 16;
/// Most snapshots other than the newest that are being sent.
const MAX_OLD_SNAPSHOTS: usize = 2;
/// Stands for "no follower needs any entry that the snapshot covers".
pub(crate) const NOTHING_NEEDED: LogIndex = LogIndex(u64::MAX);
/// Most reads that wait for a confirmation of leadership; more are rejected.
const MAX_PENDING_READS: usize = 4096;

/// How a leader replicates to one peer.
#[derive(Clone)]
enum ReplicationMode {
    /// It is unknown where the peer's log departs from the leader's: one append at a time, from `next_index` on.
    /// `without_entries` is set if the last append was not answered.
    Probe { without_entries: bool, sent: bool },
    /// Appends are sent without waiting for the responses to earlier ones.
    Pipeline { in_flight: VecDeque<AppendInFlight> },
    /// The peer needs entries that are no longer in memory. `sent_at` is when the chunk at `offset` was sent, or `None` if it
    /// is still to be sent. `awaiting_contact` is set after a time-out, and if the peer was never heard in this term: no chunk
    /// is sent until it is heard.
    Snapshot { snapshot: Arc<Snapshot>, offset: usize, sent_at: Option<Micros>, awaiting_contact: bool },
}

/// An append that is not answered yet.
#[derive(Clone)]
struct AppendInFlight {
    last_index: LogIndex,
    sent_at: Micros,
    bytes: usize,
}

/// What a leader knows of one other node, be it a voter or a learner.
#[derive(Clone)]
pub(crate) struct Peer {
    pub(crate) id: VoterId,
    /// Since when the leader replicates to it in this term.
    pub(crate) tracked_since: Micros,
    /// When it was last heard in this term.
    pub(crate) last_heard: Option<Micros>,
    /// Entries up to this one are on its disk as in the leader's log.
    pub(crate) match_index: LogIndex,
    next_index: LogIndex,
    mode: ReplicationMode,
    /// When a message that wants an answer was last sent, and its round.
    last_request_at: Micros,
    last_request_round: u64,
    /// The highest round that it has answered.
    pub(crate) acked_round: u64,
    /// The commit index that was last sent to it.
    announced_commit: LogIndex,
    /// Bytes of the last append sent to probe, or of the last snapshot chunk.
    sent_bytes: usize,
    /// How often the response timeout was doubled lately because a large message seemed lost.
    timeout_doublings: u32,
    /// Whether what it receives next has been sent more than once.
    was_resent: bool,
    /// When it was last seen to have more than before.
    last_progress_at: Micros,
    /// Set for a learner that has asked this leader to join.
    pub(crate) catch_up: Option<CatchUpRounds>,
    /// When it last announced that it is about to end.
    pub(crate) shutdown_notice: Option<Micros>,
}

impl Peer {
    pub(crate) fn new(id: VoterId, next_index: LogIndex, now: Micros) -> Peer {
        Peer {
            id,
            tracked_since: now,
            last_heard: None,
            match_index: LogIndex(0),
            next_index,
            mode: ReplicationMode::Probe { without_entries: false, sent: false },
            last_request_at: now,
            last_request_round: 0,
            acked_round: 0,
            announced_commit: LogIndex(0),
            sent_bytes: 0,
            timeout_doublings: 0,
            was_resent: false,
            last_progress_at: now,
            catch_up: None,
            shutdown_notice: None,
        }
    }

    /// How long the peer has not been heard.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        now - self.last_heard.unwrap_or(self.tracked_since)
    }

    /// Whether the peer has announced its end and was not heard any more `grace` after that, so it has not come back since.
    pub(crate) fn is_shutting_down(&self, grace: Micros) -> bool {
        matches!(
            (self.shutdown_notice, self.last_heard),
            (Some(notice), Some(heard)) if heard - notice < grace
        )
    }

    /// `max_silence` is the longest silence that makes a difference to anything. `log_exceeds_tail`: see
    /// `Log::exceeds_tail`.
    fn add_to_fingerprint(
        &self, hasher: &mut FingerprintHasher, timing: &Timing, max_silence: Micros, log_exceeds_tail: bool,
    ) {
        let Peer {
            id,
            tracked_since,
            last_heard,
            match_index,
            next_index,
            mode,
            last_request_at,
            last_request_round,
            acked_round,
            announced_commit,
            sent_bytes,
            timeout_doublings,
            was_resent,
            last_progress_at,
            catch_up,
            shutdown_notice,
        } = self;
        let timeout = self.response_timeout(2 * timing.heartbeat_interval);
        if let Some(catch_up) = catch_up {
            catch_up.add_to_fingerprint(hasher, timing.election_timeout);
        }
        if let Some(notice) = shutdown_notice {
            hasher.add(hasher.time_since(*notice, max_silence));
        }
        let silence = hasher.time_since(last_heard.unwrap_or(*tracked_since), max_silence);
        hasher.add((id, last_heard.is_some(), silence, match_index, next_index));
        let since_request = hasher.time_since(*last_request_at, timeout);
        hasher.add((since_request, last_request_round, acked_round, announced_commit));
        hasher.add((sent_bytes.saturating_sub(SMALL_MESSAGE_BYTES), timeout_doublings, was_resent));
        // The last progress only decides how much of a long log is retained.
        let max_retention = max_silence.max(RETENTION_ELECTION_TIMEOUTS * timing.election_timeout);
        hasher.add(log_exceeds_tail.then(|| hasher.time_since(*last_progress_at, max_retention)));
        match mode {
            ReplicationMode::Probe { without_entries, sent } => hasher.add((0u8, without_entries, sent)),
            ReplicationMode::Pipeline { in_flight } => {
                hasher.add((1u8, in_flight.len()));
                for AppendInFlight { last_index, sent_at, bytes } in in_flight {
                    let since_sent = hasher.time_since(*sent_at, timeout);
                    hasher.add((last_index, since_sent, bytes.saturating_sub(SMALL_MESSAGE_BYTES)));
                }
            }
            ReplicationMode::Snapshot { snapshot, offset, sent_at, awaiting_contact } => {
                let since_sent = sent_at.map(|at| hasher.time_since(at, timeout));
                hasher.add((2u8, snapshot, offset, since_sent, awaiting_contact));
            }
        }
    }

    /// The snapshot that is being sent to it.
    fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        match &self.mode {
            ReplicationMode::Snapshot { snapshot, .. } => Some(snapshot),
            ReplicationMode::Probe { .. } | ReplicationMode::Pipeline { .. } => None,
        }
    }

    fn bytes_in_flight(&self) -> usize {
        match &self.mode {
            ReplicationMode::Pipeline { in_flight } => in_flight.iter().map(|append| append.bytes).sum(),
            ReplicationMode::Probe { .. } | ReplicationMode::Snapshot { .. } => self.sent_bytes,
        }
    }

    /// How long to wait for a response: `base`, and what the bytes in flight take on a slow link. Resending what is only
    /// delayed would slow the link down further.
    fn response_timeout(&self, base: Micros) -> Micros {
        let large_bytes = self.bytes_in_flight().saturating_sub(SMALL_MESSAGE_BYTES);
        base + ((large_bytes as Micros * RESPONSE_TIMEOUT_PER_BYTE) << self.timeout_doublings)
    }

    /// Doubles the response timeout if a large message was not answered in time.
    fn record_loss(&mut self, bytes: usize) {
        if bytes > SMALL_MESSAGE_BYTES {
            self.timeout_doublings = (self.timeout_doublings + 1).min(MAX_TIMEOUT_DOUBLINGS);
            self.was_resent = true;
        }
    }

    /// The peer has more than before. If it arrived at the first attempt, one doubling of the response timeout is taken back.
    /// What was sent twice says nothing about the link and leaves the timeout as it is (Karn and Partridge, "Improving
    /// round-trip time estimates", 1987).
    fn record_progress(&mut self, now: Micros) {
        self.last_progress_at = now;
        if !std::mem::take(&mut self.was_resent) {
            self.timeout_doublings = self.timeout_doublings.saturating_sub(1);
        }
    }

    /// The peer has all entries up to this one, or will have them once the snapshot that is being sent is complete.
    fn known_index(&self) -> LogIndex {
        match &self.mode {
            ReplicationMode::Snapshot { snapshot, .. } => snapshot.index,
            _ if self.match_index > LogIndex(0) => self.match_index,
            _ => LogIndex(self.next_index.0.saturating_sub(1)),
        }
    }

    fn start_probe(&mut self, next_index: LogIndex, without_entries: bool) {
        self.next_index = next_index;
        self.mode = ReplicationMode::Probe { without_entries, sent: false };
    }
}

/// Sends to the peers in one step; holds what is the same for all of them.
struct PeerSender<'a> {
    now: Micros,
    term: Term,
    log: &'a Log,
    commit_index: LogIndex,
    round: u64,
    max_chunk_bytes: usize,
    effects: &'a mut Vec<Effect>,
}

impl PeerSender<'_> {
    fn send_rpc(&mut self, peer: &mut Peer, rpc: Rpc) {
        let wants_answer = !matches!(rpc, Rpc::Heartbeat { round: None, .. });
        if wants_answer {
            peer.last_request_at = self.now;
            peer.last_request_round = self.round;
        }
        if !matches!(rpc, Rpc::InstallSnapshot { .. }) {
            peer.announced_commit = self.commit_index;
        }
        let message = Message::Rpc { to: peer.id, term: self.term, rpc };
        self.effects.push(Effect::Send { to: peer.id.address, message });
    }

    fn send_append(&mut self, peer: &mut Peer, entries: Vec<Entry>) {
        let prev_index = LogIndex(peer.next_index.0 - 1);
        let prev_term =
            self.log.term_at(prev_index).expect("a peer that needs dropped entries gets a snapshot");
        let (commit_index, round) = (self.commit_index, self.round);
        self.send_rpc(peer, Rpc::AppendEntries { prev_index, prev_term, entries, commit_index, round });
    }

    fn send_heartbeat(&mut self, peer: &mut Peer, round: Option<u64>) {
        self.send_rpc(peer, Rpc::Heartbeat { commit_index: self.commit_index, round });
    }

    /// Sends what the peer can take now: entries, a snapshot chunk, a new round or a new commit index.
    fn send_due(&mut self, peer: &mut Peer) {
        if peer.next_index <= self.log.base_index()
            && !matches!(peer.mode, ReplicationMode::Snapshot { .. })
            && let Some(snapshot) = self.log.snapshot()
        {
            peer.mode = ReplicationMode::Snapshot {
                snapshot: snapshot.clone(),
                offset: 0,
                sent_at: None,
                awaiting_contact: peer.last_heard.is_none(),
            };
            peer.record_progress(self.now);
        }
        match &mut peer.mode {
            ReplicationMode::Probe { sent: true, .. } => {}
            ReplicationMode::Probe { without_entries, sent } => {
                *sent = true;
                let max_bytes = if *without_entries { None } else { Some(self.max_chunk_bytes) };
                let entries = max_bytes
                    .map_or(Vec::new(), |max_bytes| self.log.entries_from(peer.next_index, max_bytes));
                peer.sent_bytes = entries.iter().map(entry_bytes).sum();
                self.send_append(peer, entries);
            }
            ReplicationMode::Pipeline { .. } => self.fill_pipeline(peer),
            ReplicationMode::Snapshot { snapshot, offset, sent_at, awaiting_contact: false }
                if sent_at.is_none() =>
            {
                *sent_at = Some(self.now);
                let end = snapshot.data.len().min(*offset + self.max_chunk_bytes.max(1));
                peer.sent_bytes = end - *offset;
                let chunk = Rpc::InstallSnapshot {
                    last_included_index: snapshot.index,
                    last_included_term: snapshot.term,
                    members: snapshot.members.clone(),
                    total_bytes: snapshot.data.len() as u64,
                    offset: *offset as u64,
                    data: snapshot.data[*offset..end].to_vec(),
                    round: self.round,
                };
                self.send_rpc(peer, chunk);
            }
            ReplicationMode::Snapshot { .. } => {}
        }
        if peer.last_request_round < self.round {
            self.send_heartbeat(peer, Some(self.round));
        } else if peer.announced_commit < self.commit_index
            && matches!(peer.mode, ReplicationMode::Pipeline { .. })
        {
            self.send_heartbeat(peer, None);
        }
    }

    /// Sends appends until the peer has all entries or as many in flight as allowed.
    fn fill_pipeline(&mut self, peer: &mut Peer) {
        while peer.next_index <= self.log.last_index()
            && matches!(
                &peer.mode,
                ReplicationMode::Pipeline { in_flight } if in_flight.len() < MAX_APPENDS_IN_FLIGHT
            )
        {
            let entries = self.log.entries_from(peer.next_index, self.max_chunk_bytes);
            let last_index = LogIndex(peer.next_index.0 + entries.len() as u64 - 1);
            let bytes = entries.iter().map(entry_bytes).sum();
            self.send_append(peer, entries);
            peer.next_index = LogIndex(last_index.0 + 1);
            if let ReplicationMode::Pipeline { in_flight } = &mut peer.mode {
                in_flight.push_back(AppendInFlight { last_index, sent_at: self.now, bytes });
            }
        }
    }

    /// Called once per heartbeat interval: prepares what was not answered in time to be sent again, sends what is due, and a
    /// heartbeat if nothing that wants an answer was sent lately.
    fn heartbeat(&mut self, peer: &mut Peer, interval: Micros) {
        let (timeout, bytes) = (peer.response_timeout(interval), peer.bytes_in_flight());
        let is_overdue = |sent_at: Micros| self.now - sent_at >= timeout;
        match &mut peer.mode {
            ReplicationMode::Probe { without_entries, sent } if is_overdue(peer.last_request_at) => {
                (*without_entries, *sent) = (true, false);
                peer.record_loss(bytes);
            }
            ReplicationMode::Pipeline { in_flight }
                if in_flight.front().is_some_and(|oldest| is_overdue(oldest.sent_at)) =>
            {
                peer.start_probe(LogIndex(peer.match_index.0 + 1), true);
                peer.record_loss(bytes);
            }
            ReplicationMode::Snapshot { sent_at, awaiting_contact, .. }
                if sent_at.is_some_and(|at| is_overdue(at + interval)) =>
            {
                (*sent_at, *awaiting_contact) = (None, true);
                peer.record_loss(bytes);
            }
            _ => {}
        }
        self.send_due(peer);
        if self.now - peer.last_request_at >= interval / 2 {
            self.send_heartbeat(peer, Some(self.round));
        }
    }
}

/// A leader's state, from its election until it steps down.
#[derive(Clone)]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Micros,
    /// The leader's first entry. Once it is committed, so are all entries of earlier terms.
    pub(crate) first_index: LogIndex,
    pub(crate) peers: Vec<Peer>,
    pub(crate) next_heartbeat: Micros,
    /// Proposals that are not committed yet, by the index of their entry.
    pending_proposals: VecDeque<(LogIndex, CallId)>,
    /// Reads, each with the round that a majority must answer first.
    pub(crate) pending_reads: VecDeque<(u64, CallId)>,
    /// The newest round. A peer that answers a round confirms that it followed this leader after the round began.
    pub(crate) round: u64,
    uncommitted_bytes: usize,
    /// The voter that is to be removed, and the round that the remaining voters must answer first.
    pub(crate) planned_removal: Option<(VoterId, u64)>,
    pub(crate) quorum_probe: QuorumProbe,
}

impl LeaderState {
    /// Rejects all pending calls: proposals may still be committed by a later leader, reads were not done.
    pub(crate) fn reject_pending(self, leader: Option<NodeAddress>, effects: &mut Vec<Effect>) {
        let rejected = |call, may_commit| Effect::Rejected { call, leader, may_commit };
        effects.extend(self.pending_proposals.into_iter().map(|(_, call)| rejected(call, true)));
        effects.extend(self.pending_reads.into_iter().map(|(_, call)| rejected(call, false)));
    }

    /// `log_exceeds_tail`: see `Log::exceeds_tail`.
    pub(crate) fn add_to_fingerprint(
        &self, hasher: &mut FingerprintHasher, timing: &Timing, log_exceeds_tail: bool,
    ) {
        let LeaderState {
            elected_at,
            first_index,
            peers,
            next_heartbeat,
            pending_proposals,
            pending_reads,
            round,
            uncommitted_bytes,
            planned_removal,
            quorum_probe,
        } = self;
        hasher.add((
            hasher.time_since(*elected_at, timing.election_timeout),
            first_index,
            hasher.time_until(*next_heartbeat),
            pending_proposals,
            pending_reads,
            round,
            uncommitted_bytes,
            planned_removal,
        ));
        quorum_probe.add_to_fingerprint(hasher);
        let max_silence = timing
            .removal_timeout
            .max(timing.replacement_timeout)
            .max(LEARNER_ELECTION_TIMEOUTS * timing.election_timeout);
        for peer in peers {
            peer.add_to_fingerprint(hasher, timing, max_silence, log_exceeds_tail);
        }
    }

    /// Removes and returns the call that proposed the entry at `index`.
    pub(crate) fn take_proposal(&mut self, index: LogIndex) -> Option<CallId> {
        self.pending_proposals.pop_front_if(|(at, _)| *at == index).map(|(_, call)| call)
    }

    /// Bytes of the snapshots being sent that are no longer the log's own, each counted once.
    pub(crate) fn outgoing_snapshot_bytes(&self, log: &Log) -> usize {
        let mut sent: Vec<_> = self.peers.iter().filter_map(Peer::snapshot).collect();
        sent.sort_unstable_by_key(|snapshot| snapshot.index);
        sent.dedup_by_key(|snapshot| snapshot.index);
        let outdated = sent.iter().filter(|snapshot| snapshot.index != log.snapshot_index());
        outdated.map(|snapshot| snapshot.data.len()).sum()
    }

    pub(crate) fn peer(&self, id: VoterId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == id)
    }
}

impl RaftNode {
    /// Called when a majority has voted for this node.
    pub(crate) fn become_leader(&mut self) {
        let next_index = LogIndex(self.log.last_index().0 + 1);
        let others = self.log.members().0.iter().filter(|voter| **voter != self.own_id);
        let peers = others.map(|voter| Peer::new(*voter, next_index, self.now)).collect();
        self.role = Role::Leader(Box::new(LeaderState {
            elected_at: self.now,
            first_index: next_index,
            peers,
            next_heartbeat: self.now + self.timing.heartbeat_interval,
            pending_proposals: VecDeque::new(),
            pending_reads: VecDeque::new(),
            round: 1,
            uncommitted_bytes: self.log.bytes_after(self.commit_index),
            planned_removal: None,
            quorum_probe: QuorumProbe::default(),
        }));
        self.leader = Some(self.own_id);
        self.append_entry(EntryPayload::Noop);
    }

    /// Appends an entry of the current term to this leader's log.
    pub(crate) fn append_entry(&mut self, payload: EntryPayload) -> LogIndex {
        let index = LogIndex(self.log.last_index().0 + 1);
        let entry = Entry { index, term: self.term, payload };
        if let Role::Leader(state) = &mut self.role {
            state.uncommitted_bytes += entry_bytes(&entry);
        }
        self.log.append(entry);
        index
    }

    fn reject(&mut self, call: CallId) {
        let leader = self.leader.map(|voter| voter.address);
        self.effects.push(Effect::Rejected { call, leader, may_commit: false });
    }

    pub(crate) fn propose(&mut self, call: CallId, data: Vec<u8>) {
        let has_capacity = matches!(
            &self.role,
            Role::Leader(state) if state.uncommitted_bytes + data.len() <= MAX_UNCOMMITTED_BYTES
        );
        if self.is_shutting_down() || !has_capacity {
            return self.reject(call);
        }
        let index = self.append_entry(EntryPayload::Command(data));
        if let Role::Leader(state) = &mut self.role {
            state.pending_proposals.push_back((index, call));
        }
    }

    pub(crate) fn read(&mut self, call: CallId) {
        let is_shutting_down = self.is_shutting_down();
        match &mut self.role {
            // Only a round that begins after the call can confirm that this node still leads.
            Role::Leader(state) if !is_shutting_down && state.pending_reads.len() < MAX_PENDING_READS => {
                state.pending_reads.push_back((state.round + 1, call))
            }
            _ => self.reject(call),
        }
    }

    /// Whether this node is a leader that replicates to `id`.
    pub(crate) fn tracks_peer(&self, id: VoterId) -> bool {
        matches!(&self.role, Role::Leader(state) if state.peer(id).is_some())
    }

    /// A leader steps down if no majority was heard within an election timeout, or if its own disk hangs. Called before each
    /// event, as the process may have been frozen.
    pub(crate) fn check_leadership(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let is_newly_elected = self.now - state.elected_at < self.timing.election_timeout;
        if !(is_newly_elected || self.has_recent_quorum(&self.log.members().0)) || !self.disk_is_healthy() {
            self.step_down();
        }
    }

    /// How many of `voters` were heard within the last election timeout; this node itself always counts.
    pub(crate) fn count_recently_heard(&self, voters: &[VoterId]) -> usize {
        let Role::Leader(state) = &self.role else { return 0 };
        let is_recent =
            |peer: &Peer| peer.last_heard.is_some() && peer.silence(self.now) < self.timing.election_timeout;
        let is_heard = |voter: &VoterId| *voter == self.own_id || state.peer(*voter).is_some_and(is_recent);
        voters.iter().filter(|voter| is_heard(voter)).count()
    }

    /// Whether a majority of `voters` was heard within the last election timeout.
    pub(crate) fn has_recent_quorum(&self, voters: &[VoterId]) -> bool {
        self.count_recently_heard(voters) > voters.len() / 2
    }

    /// The highest value that a majority of the members has reached; `own` is this node's.
    fn quorum_value<T: Ord + Copy>(&self, own: T, value_of: impl Fn(&Peer) -> T) -> Option<T> {
        let Role::Leader(state) = &self.role else { return None };
        let value = |voter: &VoterId| {
            if *voter == self.own_id { Some(own) } else { state.peer(*voter).map(&value_of) }
        };
        let mut values: Vec<Option<T>> = self.log.members().0.iter().map(value).collect();
        values.sort_unstable();
        values[(values.len() - 1) / 2]
    }

    /// Commits the entries that a majority has on disk.
    pub(crate) fn commit_replicated(&mut self) {
        let replicated = self.quorum_value(self.disk.stable_index(), |peer| peer.match_index);
        let Some(up_to) = replicated.filter(|up_to| *up_to > self.commit_index) else { return };
        // Entries of earlier terms are only committed together with one of the current term after them.
        if self.log.term_at(up_to) == Some(self.term)
            && let Role::Leader(state) = &mut self.role
        {
            let committed_bytes = self.log.bytes_after(self.commit_index) - self.log.bytes_after(up_to);
            state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(committed_bytes);
            self.commit_index = up_to;
        }
    }

    /// Ends the quorum probe once a majority has answered its round.
    pub(crate) fn complete_quorum_probe(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let Some((round, sent_at)) = state.quorum_probe.in_flight else { return };
        if self.quorum_value(u64::MAX, |peer| peer.acked_round).is_some_and(|acked| round <= acked) {
            self.record_quorum_contact(sent_at);
            if let Role::Leader(state) = &mut self.role {
                state.quorum_probe.in_flight = None;
            }
        }
    }

    /// Answers the reads whose round a majority has answered. A leader that is the only member needs no round.
    pub(crate) fn answer_ready_reads(&mut self) {
        let acked_round = self.quorum_value(u64::MAX, |peer| peer.acked_round).unwrap_or(0);
        let Role::Leader(state) = &mut self.role else { return };
        if self.commit_index < state.first_index {
            return;
        }
        while let Some((_, call)) = state.pending_reads.pop_front_if(|(round, _)| *round <= acked_round) {
            self.effects.push(Effect::ReadReady { call, index: self.commit_index });
        }
        // One round at a time; reads that arrive meanwhile share the next one.
        if acked_round >= state.round && !state.pending_reads.is_empty() {
            state.round += 1;
        }
    }

    fn for_each_peer(&mut self, mut action: impl FnMut(&mut PeerSender, &mut Peer)) {
        let Role::Leader(state) = &mut self.role else { return };
        let mut sender = PeerSender {
            now: self.now,
            term: self.term,
            log: &self.log,
            commit_index: self.commit_index,
            round: state.round,
            max_chunk_bytes: self.timing.max_chunk_bytes,
            effects: &mut self.effects,
        };
        for peer in &mut state.peers {
            action(&mut sender, peer);
        }
    }

    pub(crate) fn send_to_peers(&mut self) {
        self.for_each_peer(|sender, peer| sender.send_due(peer));
    }

    /// Does what a leader does once per heartbeat interval, if it is time.
    pub(crate) fn send_heartbeats(&mut self) {
        let interval = self.timing.heartbeat_interval;
        let Role::Leader(state) = &mut self.role else { return };
        if self.now < state.next_heartbeat {
            return;
        }
        state.next_heartbeat = self.now + interval;
        let starts_probe = state.quorum_probe.requested && state.quorum_probe.in_flight.is_none();
        if !state.pending_reads.is_empty() || starts_probe {
            state.round += 1;
        }
        if starts_probe {
            state.quorum_probe = QuorumProbe { requested: false, in_flight: Some((state.round, self.now)) };
        }
        if self.log.retains_extra() {
            self.log.compact(self.oldest_needed_index());
        }
        self.for_each_peer(|sender, peer| sender.heartbeat(peer, interval));
    }

    /// The last entry of the follower that is farthest behind, among those that are alive and make progress.
    pub(crate) fn oldest_needed_index(&self) -> LogIndex {
        let Role::Leader(state) = &self.role else { return NOTHING_NEEDED };
        let election_timeout = self.timing.election_timeout;
        let is_progressing = |peer: &&Peer| {
            peer.last_heard.is_some()
                && peer.silence(self.now) < LEARNER_ELECTION_TIMEOUTS * election_timeout
                && self.now - peer.last_progress_at < RETENTION_ELECTION_TIMEOUTS * election_timeout
        };
        state.peers.iter().filter(is_progressing).map(Peer::known_index).min().unwrap_or(NOTHING_NEEDED)
    }

    /// Bounds the number of snapshots in memory: a peer that is being sent the oldest one starts again with the newest.
    pub(crate) fn limit_old_snapshots(&mut self) {
        let newest = self.log.snapshot_index();
        let Role::Leader(state) = &mut self.role else { return };
        let old_snapshot =
            |peer: &Peer| peer.snapshot().map(|snapshot| snapshot.index).filter(|index| *index < newest);
        let mut sent: Vec<LogIndex> = state.peers.iter().filter_map(old_snapshot).collect();
        sent.sort_unstable();
        sent.dedup();
        let last_excess = sent.len().checked_sub(MAX_OLD_SNAPSHOTS + 1).map(|position| sent[position]);
        let Some(last_excess) = last_excess else { return };
        let is_excess = |peer: &Peer| old_snapshot(peer).is_some_and(|index| index <= last_excess);
        for peer in state.peers.iter_mut().filter(|peer| is_excess(peer)) {
            peer.start_probe(LogIndex(peer.match_index.0 + 1), true);
        }
    }

    /// Records that a peer was heard, and the round that it answered. Returns the peer if this node leads and tracks it.
    pub(crate) fn record_contact(&mut self, from: VoterId, round: u64) -> Option<&mut Peer> {
        let Role::Leader(state) = &mut self.role else { return None };
        let newest_round = state.round;
        let peer = state.peers.iter_mut().find(|peer| peer.id == from)?;
        peer.last_heard = Some(self.now);
        peer.acked_round = peer.acked_round.max(round.min(newest_round));
        if let ReplicationMode::Snapshot { awaiting_contact, .. } = &mut peer.mode {
            *awaiting_contact = false;
        }
        Some(peer)
    }

    pub(crate) fn handle_append_response(
        &mut self, from: VoterId, match_index: LogIndex, received_index: LogIndex, round: u64,
    ) {
        let (now, last_index) = (self.now, self.log.last_index());
        let Some(peer) = self.record_contact(from, round) else { return };
        if match_index > received_index || received_index > last_index {
            return;
        }
        if match_index > peer.match_index {
            peer.match_index = match_index;
            peer.record_progress(now);
        }
        let next_index = LogIndex(received_index.0 + 1);
        match &mut peer.mode {
            ReplicationMode::Probe { .. } if next_index >= peer.next_index => {
                peer.next_index = next_index;
                peer.mode = ReplicationMode::Pipeline { in_flight: VecDeque::new() };
            }
            ReplicationMode::Snapshot { snapshot, .. } if received_index >= snapshot.index => {
                peer.next_index = next_index;
                peer.mode = ReplicationMode::Pipeline { in_flight: VecDeque::new() };
            }
            ReplicationMode::Pipeline { in_flight } => {
                while in_flight.pop_front_if(|append| append.last_index <= match_index).is_some() {}
                peer.next_index = peer.next_index.max(next_index);
            }
            ReplicationMode::Probe { .. } | ReplicationMode::Snapshot { .. } => {}
        }
    }

    pub(crate) fn handle_append_rejected(
        &mut self, from: VoterId, prev_index: LogIndex, retry_index: LogIndex, round: u64,
    ) {
        let now = self.now;
        let Some(peer) = self.record_contact(from, round) else { return };
        // A rejection of an append that this leader is not waiting for is outdated.
        let is_current = match peer.mode {
            ReplicationMode::Probe { .. } => prev_index.0 == peer.next_index.0 - 1,
            ReplicationMode::Pipeline { .. } => prev_index < peer.next_index,
            ReplicationMode::Snapshot { .. } => false,
        };
        if is_current && prev_index > peer.match_index {
            let prev_index = retry_index.min(LogIndex(prev_index.0 - 1)).max(peer.match_index);
            peer.start_probe(LogIndex(prev_index.0 + 1), false);
            peer.last_progress_at = now;
        }
    }

    pub(crate) fn handle_snapshot_progress(
        &mut self, from: VoterId, index: LogIndex, received_bytes: u64, round: u64,
    ) {
        let now = self.now;
        let Some(peer) = self.record_contact(from, round) else { return };
        if let ReplicationMode::Snapshot { snapshot, offset, sent_at, .. } = &mut peer.mode
            && snapshot.index == index
            && let Ok(received_bytes) = usize::try_from(received_bytes)
            && received_bytes < snapshot.data.len()
            && received_bytes != *offset
        {
            (*offset, *sent_at) = (received_bytes, None);
            peer.record_progress(now);
        }
    }
}
