//! Who votes: seats let in and dismissed, one at a time, through the log.

use props::{Index, Micros, Place, Seat};

use crate::book::{Promptbook, Role};
use crate::lead::Peer;
use crate::{Members, What};

/// Most voters; more than any core has.
const MOST_VOTERS: usize = 15;
/// Most seats that are caught up at the same time.
const MOST_LEARNERS: usize = 4;
/// Entries that a learner may be behind when it becomes a voter.
const NEARLY: u64 = 32;
/// A learner silent for so many election spans is let go; it may knock again.
pub(crate) const LEARNER_ELECTIONS: Micros = 4;
/// Fewest voters that are left by a dismissal with nobody to take the place.
const FEWEST_LEFT: usize = 3;
/// With a learner that can take its place, or among an even number of voters, a silent one goes after this part
/// of the span for dismissal. Guards against the loss of a second voter before a machine that came for a removed
/// one counts: it is at another address, so that nothing but silence tells whose place it takes. Fewer by one of
/// an even number bear as many losses.
const SOONER: Micros = 4;

/// The next members, where there is a change to make.
enum Change {
    Without(Seat, Members),
    With(Members),
}

impl Promptbook {
    /// A seat knocked at this leader: it becomes a learner, unless it is served already.
    pub(crate) fn knocked(&mut self, from: Seat) {
        let next = Index(self.log.last().0 + 1);
        if from.place == self.own.place || self.knows_peer(from) || self.votes_in(from) {
            return;
        }
        let (now, election) = (self.now, self.timing.election);
        let members = self.log.members();
        let Role::Leading(lead) = &mut self.role else { return };
        let learner = |peer: &Peer| !members.0.contains(&peer.seat);
        // An older life of the same place is over, unless it still speaks (a knock may come late).
        lead.peers
            .retain(|peer| !learner(peer) || peer.seat.place != from.place || peer.silent(now) < election);
        let learners = || lead.peers.iter().filter(|peer| learner(peer));
        if learners().count() < MOST_LEARNERS && !learners().any(|peer| peer.seat.place == from.place) {
            lead.peers.push(Peer::new(from, next, now));
        }
    }

    /// Makes at most one change of the members, where one is due and none is under way.
    pub(crate) fn tend_members(&mut self) {
        let (now, election) = (self.now, self.timing.election);
        let members = self.log.members();
        let Role::Leading(lead) = &mut self.role else { return };
        lead.peers
            .retain(|peer| members.0.contains(&peer.seat) || peer.silent(now) < LEARNER_ELECTIONS * election);
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
        self.place(What::Members(next));
    }

    /// True if a majority of `seats` has answered a round; the own one always does.
    fn answered(&self, seats: &[Seat], round: u64) -> bool {
        let Role::Leading(lead) = &self.role else { return false };
        let spoke = |peer: &Peer| peer.round >= round;
        let count = seats.iter().filter(|seat| **seat == self.own || lead.peer(**seat).is_some_and(spoke));
        count.count() > seats.len() / 2
    }

    fn next_members(&self) -> Option<Change> {
        let Role::Leading(lead) = &self.role else { return None };
        let members = self.log.members();
        let without = |gone: Seat| -> Option<Change> {
            let rest: Vec<Seat> = members.0.iter().copied().filter(|seat| *seat != gone).collect();
            self.can_commit(&rest).then_some(Change::Without(gone, Members(rest)))
        };
        let (mut learners, mut ready) = (Vec::new(), None);
        for peer in lead.peers.iter().filter(|peer| !members.0.contains(&peer.seat)) {
            if peer.heard.is_some() && peer.silent(self.now) < self.timing.election {
                learners.push(peer.seat.place);
                if peer.matched.0 + NEARLY >= self.log.last().0 && peer.matched.0 > 0 {
                    ready = ready.or(Some(peer.seat));
                }
            }
        }
        let voters = || lead.peers.iter().filter(|peer| members.0.contains(&peer.seat));
        // Another life sits at its place: it is gone for good, and so is what it promised.
        let replaced = |place: Place| learners.contains(&place);
        let gone = voters()
            .filter(|peer| replaced(peer.seat.place) && peer.silent(self.now) >= self.timing.election);
        if let Some(next) = gone.filter_map(|peer| without(peer.seat)).next() {
            return Some(next);
        }
        let spare = members.0.len() > FEWEST_LEFT || ready.is_some();
        let sooner = ready.is_some() || members.0.len().is_multiple_of(2);
        let dismiss = self.timing.dismiss / if sooner { SOONER } else { 1 };
        let mut silent: Vec<&Peer> =
            voters().filter(|peer| spare && peer.silent(self.now) >= dismiss).collect();
        // The one that is silent longest first: others may only stand still.
        silent.sort_by_key(|peer| std::cmp::Reverse(peer.silent(self.now)));
        if let Some(next) = silent.into_iter().filter_map(|peer| without(peer.seat)).next() {
            return Some(next);
        }
        // Without it there must be enough for the larger majority, or its loss would stop everybody; where there
        // are not, a silent voter goes first. A seat that is alone has no choice.
        let (all, lately) = (members.0.len(), self.lately(&members.0));
        let borne = all == 1 || lately > all.div_ceil(2);
        let free = |seat: &Seat| members.0.iter().all(|member| member.place != seat.place);
        ready.filter(|seat| free(seat) && borne && all < MOST_VOTERS).map(|seat| {
            let mut next = members.clone();
            next.0.push(seat);
            Change::With(next)
        })
    }
}
