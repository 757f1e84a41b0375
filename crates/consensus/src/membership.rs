//! Single-server membership changes: voters are added and removed one at a time, by entries of the log.

use types::{LogIndex, Micros, VoterId};

use crate::fingerprint::FingerprintHasher;
use crate::leader::Peer;
use crate::raft_node::{RaftNode, Role};
use crate::{EntryPayload, Members};

/// Most voters; no group is larger.
const MAX_VOTERS: usize = 15;
/// Most learners that catch up at the same time.
const MAX_LEARNERS: usize = 4;
/// Most entries that a learner may lack when it becomes a voter. The limit in bytes is `Timing::max_chunk_bytes`.
const MAX_LEARNER_LAG_ENTRIES: u64 = 256;
/// A learner that is not heard for this many election timeouts is forgotten; it may ask to join again.
pub(crate) const LEARNER_ELECTION_TIMEOUTS: Micros = 4;
/// The earlier removal from an even number of voters (`EVEN_REMOVAL_DIVISOR`) leaves at least this many.
const MIN_VOTERS_LEFT_OF_EVEN: usize = 3;
/// Of an even number of voters, a silent one is removed after the removal timeout divided by this. One voter fewer tolerates
/// as many losses, and one loss more once the silent voter is lost for good.
const EVEN_REMOVAL_DIVISOR: Micros = 4;
/// A voter that has announced its end and is not heard any more this many election timeouts after that was stopped in order.
const SHUTDOWN_ELECTION_TIMEOUTS: Micros = 2;

/// The rounds in which a learner catches up (Ongaro's dissertation, section 4.2.1): a round ends once the learner has on disk
/// all that the log had when the round began. Without them a voter could count in the majority while it waits for megabytes
/// and can't help.
#[derive(Clone)]
pub(crate) struct CatchUpRounds {
    target_index: LogIndex,
    started_at: Micros,
    /// The last round took less than an election timeout, and the current one has not exceeded it yet.
    is_short: bool,
}

impl CatchUpRounds {
    pub(crate) fn new(target_index: LogIndex, now: Micros) -> CatchUpRounds {
        CatchUpRounds { target_index, started_at: now, is_short: false }
    }

    /// `last_index` is the end of the leader's log.
    fn update(&mut self, now: Micros, match_index: LogIndex, last_index: LogIndex, election_timeout: Micros) {
        let elapsed = now - self.started_at;
        if match_index >= self.target_index && match_index > LogIndex(0) {
            let is_short = elapsed < election_timeout;
            *self = CatchUpRounds { target_index: last_index, started_at: now, is_short };
        } else if elapsed >= election_timeout {
            self.is_short = false;
        }
    }

    pub(crate) fn add_to_fingerprint(&self, hasher: &mut FingerprintHasher, election_timeout: Micros) {
        let CatchUpRounds { target_index, started_at, is_short } = self;
        hasher.add((target_index, hasher.time_since(*started_at, election_timeout), is_short));
    }
}

/// A membership change, with the members after it.
enum Change {
    Remove(VoterId, Members),
    Add(Members),
}

impl RaftNode {
    /// A node has asked this leader to join. It becomes a learner unless it is known already.
    pub(crate) fn handle_join_request(&mut self, from: VoterId) {
        let next_index = LogIndex(self.log.last_index().0 + 1);
        if from.address == self.own_id.address || self.tracks_peer(from) || self.is_voter(from) {
            return;
        }
        let (now, election_timeout) = (self.now, self.timing.election_timeout);
        let members = self.log.members();
        let Role::Leader(state) = &mut self.role else { return };
        let is_learner = |peer: &Peer| !members.0.contains(&peer.id);
        // A learner with an earlier disk at the same address is gone, unless it is still heard: the request may be late.
        state.peers.retain(|peer| {
            !is_learner(peer) || peer.id.address != from.address || peer.silence(now) < election_timeout
        });
        let learners = || state.peers.iter().filter(|peer| is_learner(peer));
        if learners().count() < MAX_LEARNERS && !learners().any(|peer| peer.id.address == from.address) {
            let mut peer = Peer::new(from, next_index, now);
            peer.catch_up = Some(CatchUpRounds::new(self.log.last_index(), now));
            state.peers.push(peer);
        }
    }

    /// Forgets silent learners, and appends at most one membership change if one is due and none is uncommitted.
    pub(crate) fn maintain_members(&mut self) {
        let (now, election_timeout) = (self.now, self.timing.election_timeout);
        let members = self.log.members();
        let Role::Leader(state) = &mut self.role else { return };
        state.peers.retain(|peer| {
            members.0.contains(&peer.id) || peer.silence(now) < LEARNER_ELECTION_TIMEOUTS * election_timeout
        });
        for peer in &mut state.peers {
            if let Some(catch_up) = &mut peer.catch_up {
                catch_up.update(now, peer.match_index, self.log.last_index(), election_timeout);
            }
        }
        if state.first_index > self.commit_index || self.log.members_since() > self.commit_index {
            return;
        }
        let change = self.next_change();
        let Role::Leader(state) = &mut self.role else { return };
        let next_members = match change {
            Some(Change::Remove(removed, remaining)) => {
                // The remaining voters must answer a round that begins now. If a majority of them had died within the last
                // election timeout, nothing could be committed after the change, nor could it be undone.
                let round = match state.planned_removal {
                    Some((voter, round)) if voter == removed => round,
                    _ => {
                        state.round += 1;
                        state.planned_removal = Some((removed, state.round));
                        state.round
                    }
                };
                self.quorum_answered_round(&remaining.0, round).then_some(remaining)
            }
            Some(Change::Add(members)) => Some(members),
            None => {
                state.planned_removal = None;
                None
            }
        };
        let (Some(next_members), Role::Leader(state)) = (next_members, &mut self.role) else { return };
        state.planned_removal = None;
        // A removed voter is no peer any more, and an added one no learner.
        state
            .peers
            .retain(|peer| next_members.0.contains(&peer.id) || !self.log.members().0.contains(&peer.id));
        for peer in state.peers.iter_mut().filter(|peer| next_members.0.contains(&peer.id)) {
            peer.catch_up = None;
        }
        self.append_entry(EntryPayload::Members(next_members));
    }

    /// Whether a majority of `voters` has answered a round; this node itself always counts.
    fn quorum_answered_round(&self, voters: &[VoterId], round: u64) -> bool {
        let Role::Leader(state) = &self.role else { return false };
        let has_answered = |peer: &Peer| peer.acked_round >= round;
        let answered = voters
            .iter()
            .filter(|voter| **voter == self.own_id || state.peer(**voter).is_some_and(has_answered));
        answered.count() > voters.len() / 2
    }

    /// Whether a learner could help as a voter at once: by its rounds, and by the entries and bytes that its disk lacks.
    fn is_caught_up(&self, learner: &Peer) -> bool {
        let (match_index, last_index) = (learner.match_index, self.log.last_index());
        learner.catch_up.as_ref().is_some_and(|catch_up| catch_up.is_short)
            && match_index > LogIndex(0)
            && match_index.0 + MAX_LEARNER_LAG_ENTRIES >= last_index.0
            && self.log.bytes_after(match_index) <= self.timing.max_chunk_bytes
    }

    /// The membership change that is due, if any: removals come before additions.
    fn next_change(&self) -> Option<Change> {
        let Role::Leader(state) = &self.role else { return None };
        let is_live_learner = |peer: &&Peer| {
            !self.is_voter(peer.id)
                && peer.last_heard.is_some()
                && peer.silence(self.now) < self.timing.election_timeout
        };
        let learners: Vec<&Peer> = state.peers.iter().filter(is_live_learner).collect();
        let ready_learner = learners.iter().find(|learner| self.is_caught_up(learner));
        let ready_learner = ready_learner.map(|learner| learner.id);
        self.removal_of_replaced(&learners)
            .or_else(|| self.removal_of_silent(ready_learner))
            .or_else(|| self.addition_of(ready_learner?))
    }

    /// The removal of a voter at whose address a learner with another disk runs: the voter's disk is gone for good, with all
    /// that it promised.
    fn removal_of_replaced(&self, learners: &[&Peer]) -> Option<Change> {
        let is_replaced = |peer: &&Peer| {
            learners.iter().any(|learner| learner.id.address == peer.id.address)
                && peer.silence(self.now) >= self.timing.election_timeout
        };
        self.voter_peers().filter(is_replaced).find_map(|peer| self.removal_of(peer.id))
    }

    /// The removal of a voter that has been silent for too long.
    fn removal_of_silent(&self, ready_learner: Option<VoterId>) -> Option<Change> {
        let (voter_count, timing) = (self.log.members().0.len(), self.timing);
        let is_even = voter_count.is_multiple_of(2) && voter_count > MIN_VOTERS_LEFT_OF_EVEN;
        let has_spare = voter_count > timing.fault_tolerance.min_voters(voter_count);
        // How long a voter may be silent before it is removed. A voter that was stopped in order has announced it; unless a
        // learner is ready to replace it, it is expected back with its disk, as in a rolling restart.
        let max_silence = |peer: &Peer| match ready_learner {
            Some(_) if peer.is_shutting_down(self.shutdown_grace()) => Some(timing.election_timeout),
            Some(_) => Some(timing.replacement_timeout.max(timing.election_timeout)),
            None if is_even => Some(timing.removal_timeout / EVEN_REMOVAL_DIVISOR),
            None => has_spare.then_some(timing.removal_timeout),
        };
        let is_overdue = |peer: &&Peer| max_silence(peer).is_some_and(|max| peer.silence(self.now) >= max);
        let mut overdue: Vec<&Peer> = self.voter_peers().filter(is_overdue).collect();
        // The voter that has been silent longest goes first: the others may only be stalled.
        overdue.sort_by_key(|peer| std::cmp::Reverse(peer.silence(self.now)));
        overdue.into_iter().find_map(|peer| self.removal_of(peer.id))
    }

    /// The addition of a learner that has caught up, if the group can commit it safely.
    fn addition_of(&self, learner: VoterId) -> Option<Change> {
        let Role::Leader(state) = &self.role else { return None };
        let members = self.log.members();
        // The larger majority must be available even without the new voter, or its loss would stop the whole group. If it is
        // not, a silent voter is removed first. A single voter has no choice.
        let is_staying = |voter: &VoterId| {
            state.peer(*voter).is_none_or(|peer| !peer.is_shutting_down(self.shutdown_grace()))
        };
        let staying: Vec<VoterId> = members.0.iter().copied().filter(is_staying).collect();
        let voter_count = members.0.len();
        let tolerates_loss =
            voter_count == 1 || self.count_recently_heard(&staying) > voter_count.div_ceil(2);
        let is_address_free = members.0.iter().all(|member| member.address != learner.address);
        if !is_address_free || !tolerates_loss || voter_count >= MAX_VOTERS {
            return None;
        }
        let mut next_members = members.clone();
        next_members.0.push(learner);
        Some(Change::Add(next_members))
    }

    /// The removal of a voter, if a majority of the remaining ones was heard lately.
    fn removal_of(&self, removed: VoterId) -> Option<Change> {
        let members = self.log.members().0.iter().copied();
        let remaining: Vec<VoterId> = members.filter(|voter| *voter != removed).collect();
        self.has_recent_quorum(&remaining).then_some(Change::Remove(removed, Members(remaining)))
    }

    /// The peers that are voters; none if this node does not lead.
    fn voter_peers(&self) -> impl Iterator<Item = &Peer> {
        let peers = match &self.role {
            Role::Leader(state) => &state.peers[..],
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => &[],
        };
        peers.iter().filter(|peer| self.is_voter(peer.id))
    }

    /// How long after its shutdown notice a voter may be heard last and still count as shut down.
    fn shutdown_grace(&self) -> Micros {
        SHUTDOWN_ELECTION_TIMEOUTS * self.timing.election_timeout
    }
}
