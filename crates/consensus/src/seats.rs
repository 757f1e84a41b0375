//! Who votes: seats let in and dismissed, one at a time, through the log.

use types::{LogIndex, Micros, NodeAddress, VoterId};

use crate::book::{RaftNode, Role};
use crate::lead::Peer;
use crate::mark::FingerprintHasher;
use crate::{EntryPayload, Members};

/// Most voters; more than any core has.
const MOST_VOTERS: usize = 15;
/// Most seats that are caught up at the same time.
const MOST_LEARNERS: usize = 4;
/// Most entries that a learner may be behind when it becomes a voter; of bytes it is `Timing::piece`.
const NEARLY: u64 = 256;
/// A learner silent for so many election spans is let go; it may knock again.
pub(crate) const LEARNER_ELECTIONS: Micros = 4;
/// Fewest voters that are left by a dismissal from an even number.
const FEWEST_OF_EVEN: usize = 3;
/// Among an even number of voters a silent one goes after this part of the span for dismissal: fewer by one bear as
/// many losses, and one more than that once this one is lost for good.
const SOONER: Micros = 4;
/// A voter said that it was about to end, and has said nothing later than so many election spans after: it was stopped
/// in order.
const ENDED_ELECTIONS: Micros = 2;

/// A learner's rounds of catching up (dissertation, 4.2.1): each ends once it has on disk all that the log had when
/// the round began. Guards against a voter that counts in the majority and can't help, as it waits for megabytes.
#[derive(Clone)]
pub(crate) struct Rounds {
    goal: LogIndex,
    since: Micros,
    /// The last one was shorter than an election span, and so is the one under way.
    short: bool,
}

impl Rounds {
    pub(crate) fn new(goal: LogIndex, now: Micros) -> Rounds {
        Rounds { goal, since: now, short: false }
    }

    /// `last`: the end of the leader's log.
    fn tend(&mut self, now: Micros, matched: LogIndex, last: LogIndex, election: Micros) {
        let took = now - self.since;
        if matched >= self.goal && matched > LogIndex(0) {
            *self = Rounds { goal: last, since: now, short: took < election };
        } else if took >= election {
            self.short = false;
        }
    }

    pub(crate) fn mark(&self, marks: &mut FingerprintHasher, election: Micros) {
        let Rounds { goal, since, short } = self;
        marks.add((goal, marks.time_since(*since, election), short));
    }
}

/// The next members, where there is a change to make.
enum Change {
    Without(VoterId, Members),
    With(Members),
}

impl RaftNode {
    /// A seat knocked at this leader: it becomes a learner, unless it is served already.
    pub(crate) fn knocked(&mut self, from: VoterId) {
        let next = LogIndex(self.log.last().0 + 1);
        if from.address == self.own.address || self.knows_peer(from) || self.votes_in(from) {
            return;
        }
        let (now, election) = (self.now, self.timing.election_timeout);
        let members = self.log.members();
        let Role::Leading(lead) = &mut self.role else { return };
        let learner = |peer: &Peer| !members.0.contains(&peer.seat);
        // An older life of the same place is over, unless it still speaks (a knock may come late).
        lead.peers.retain(|peer| {
            !learner(peer) || peer.seat.address != from.address || peer.silent(now) < election
        });
        let learners = || lead.peers.iter().filter(|peer| learner(peer));
        if learners().count() < MOST_LEARNERS && !learners().any(|peer| peer.seat.address == from.address) {
            let mut peer = Peer::new(from, next, now);
            peer.rounds = Some(Rounds::new(self.log.last(), now));
            lead.peers.push(peer);
        }
    }

    /// Makes at most one change of the members, where one is due and none is under way.
    pub(crate) fn tend_members(&mut self) {
        let (now, election) = (self.now, self.timing.election_timeout);
        let members = self.log.members();
        let Role::Leading(lead) = &mut self.role else { return };
        lead.peers
            .retain(|peer| members.0.contains(&peer.seat) || peer.silent(now) < LEARNER_ELECTIONS * election);
        for peer in &mut lead.peers {
            if let Some(rounds) = &mut peer.rounds {
                rounds.tend(now, peer.matched, self.log.last(), election);
            }
        }
        if lead.first > self.commit || self.log.members_since() > self.commit {
            return;
        }
        let next = self.next_members();
        let Role::Leading(lead) = &mut self.role else { return };
        let next = match next {
            Some(Change::Without(gone, rest)) => {
                // Who stays has to answer a round that begins now. Guards against a majority that died within the
                // last election span: nothing could be ordered without it any more, nor the change be taken back.
                let round = match lead.wish {
                    Some((seat, round)) if seat == gone => round,
                    _ => {
                        lead.round += 1;
                        lead.wish = Some((gone, lead.round));
                        lead.round
                    }
                };
                self.answered(&rest.0, round).then_some(rest)
            }
            Some(Change::With(all)) => Some(all),
            None => {
                lead.wish = None;
                None
            }
        };
        let (Some(next), Role::Leading(lead)) = (next, &mut self.role) else { return };
        lead.wish = None;
        lead.peers.retain(|peer| next.0.contains(&peer.seat) || !self.log.members().0.contains(&peer.seat));
        lead.peers.iter_mut().filter(|peer| next.0.contains(&peer.seat)).for_each(|peer| peer.rounds = None);
        self.place(EntryPayload::Members(next));
    }

    /// True if a majority of `seats` has answered a round; the own one always does.
    fn answered(&self, seats: &[VoterId], round: u64) -> bool {
        let Role::Leading(lead) = &self.role else { return false };
        let spoke = |peer: &Peer| peer.round >= round;
        let count = seats.iter().filter(|seat| **seat == self.own || lead.peer(**seat).is_some_and(spoke));
        count.count() > seats.len() / 2
    }

    /// Whether a learner can help from the moment that it counts: by rounds, entries and bytes, all of them on its disk.
    fn caught_up(&self, learner: &Peer) -> bool {
        let (matched, last) = (learner.matched, self.log.last());
        learner.rounds.as_ref().is_some_and(|rounds| rounds.short)
            && matched > LogIndex(0)
            && matched.0 + NEARLY >= last.0
            && self.log.weight_after(matched) <= self.timing.max_chunk_bytes
    }

    fn next_members(&self) -> Option<Change> {
        let Role::Leading(lead) = &self.role else { return None };
        let members = self.log.members();
        let without = |gone: VoterId| -> Option<Change> {
            let rest: Vec<VoterId> = members.0.iter().copied().filter(|seat| *seat != gone).collect();
            self.can_commit(&rest).then_some(Change::Without(gone, Members(rest)))
        };
        let (mut learners, mut ready) = (Vec::new(), None);
        for peer in lead.peers.iter().filter(|peer| !members.0.contains(&peer.seat)) {
            if peer.heard.is_some() && peer.silent(self.now) < self.timing.election_timeout {
                learners.push(peer.seat.address);
                if self.caught_up(peer) {
                    ready = ready.or(Some(peer.seat));
                }
            }
        }
        let voters = || lead.peers.iter().filter(|peer| members.0.contains(&peer.seat));
        // Another life sits at its place: it is gone for good, and so is what it promised.
        let replaced = |place: NodeAddress| learners.contains(&place);
        let gone = voters().filter(|peer| {
            replaced(peer.seat.address) && peer.silent(self.now) >= self.timing.election_timeout
        });
        if let Some(next) = gone.filter_map(|peer| without(peer.seat)).next() {
            return Some(next);
        }
        let (all, timing) = (members.0.len(), self.timing);
        let even = all.is_multiple_of(2) && all > FEWEST_OF_EVEN;
        let spare = all > timing.fault_tolerance.min_voters(all);
        let ends = ENDED_ELECTIONS * timing.election_timeout;
        // How long a voter may be silent. One that was stopped in order has said so; where nobody waits for its place
        // it comes back with its disk, as in a rolling restart.
        let allowed = |peer: &Peer| match ready {
            Some(_) if peer.ends(ends) => Some(timing.election_timeout),
            Some(_) => Some(timing.replacement_timeout.max(timing.election_timeout)),
            None if even => Some(timing.removal_timeout / SOONER),
            None => spare.then_some(timing.removal_timeout),
        };
        let late = |peer: &&Peer| allowed(peer).is_some_and(|span| peer.silent(self.now) >= span);
        let mut silent: Vec<&Peer> = voters().filter(late).collect();
        // The one that is silent longest first: others may only stand still.
        silent.sort_by_key(|peer| std::cmp::Reverse(peer.silent(self.now)));
        if let Some(next) = silent.into_iter().filter_map(|peer| without(peer.seat)).next() {
            return Some(next);
        }
        // Without it there must be enough for the larger majority, or its loss would stop everybody; where there
        // are not, a silent voter goes first. A seat that is alone has no choice.
        let stay = |seat: &VoterId| lead.peer(*seat).is_none_or(|peer| !peer.ends(ends));
        let staying: Vec<VoterId> = members.0.iter().copied().filter(stay).collect();
        let lately = self.lately(&staying);
        let borne = all == 1 || lately > all.div_ceil(2);
        let free = |seat: &VoterId| members.0.iter().all(|member| member.address != seat.address);
        ready.filter(|seat| free(seat) && borne && all < MOST_VOTERS).map(|seat| {
            let mut next = members.clone();
            next.0.push(seat);
            Change::With(next)
        })
    }
}
