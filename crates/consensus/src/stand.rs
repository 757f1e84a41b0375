//! Elections: asking whether one may stand, standing, voting.

use types::{LogIndex, Micros, Term, VoterId};

use crate::Rpc;
use crate::book::{FIRST_STAND, RaftNode, Role};
use crate::mark::FingerprintHasher;

#[derive(Clone)]
pub(crate) struct Votes {
    granted: Vec<VoterId>,
    pub(crate) next_ask: Micros,
}

impl Votes {
    pub(crate) fn mark(&self, marks: &mut FingerprintHasher) {
        let Votes { granted, next_ask } = self;
        let mut granted = granted.clone();
        granted.sort_unstable();
        marks.add((granted, marks.time_until(*next_ask)));
    }
}

impl RaftNode {
    /// First round: nobody's term changes for it, so that a seat that was cut off disturbs nobody.
    pub(crate) fn ask_to_stand(&mut self) {
        self.follow(self.term, None);
        self.role = Role::Asking(Votes { granted: vec![self.own], next_ask: self.now });
        if self.majority() == 1 {
            self.stand();
        }
    }

    /// Second round. Votes are asked for, and the own one counts, once term, vote and log are on disk.
    fn stand(&mut self) {
        let term = Term(self.term.0 + 1);
        self.follow(term, None);
        self.voted = Some(self.own);
        self.role = Role::Standing(Votes { granted: Vec::new(), next_ask: Micros::MAX });
        self.arm();
        if std::mem::take(&mut self.hasty) {
            self.arm_within(FIRST_STAND);
        }
    }

    pub(crate) fn ask_again(&mut self) {
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let next = self.now + self.timing.heartbeat_interval;
        let (term, word, votes) = match &mut self.role {
            Role::Asking(votes) => {
                (Term(self.term.0 + 1), Rpc::PreVoteRequest { last_index: last, last_term }, votes)
            }
            Role::Standing(votes) => (self.term, Rpc::VoteRequest { last_index: last, last_term }, votes),
            Role::Following | Role::Leading(_) => return,
        };
        if self.now < votes.next_ask {
            return;
        }
        votes.next_ask = next;
        let granted = votes.granted.clone();
        for seat in self.log.members().0.clone() {
            if seat != self.own && !granted.contains(&seat) {
                self.say_in(term, seat, word.clone());
            }
        }
    }

    fn log_is_old(&self, last: LogIndex, last_term: Term) -> bool {
        (last_term, last) < (self.log.last_term(), self.log.last())
    }

    /// Led by another or by itself, as far as it can know: no time for an election.
    fn led(&self) -> bool {
        let lately = self.heard_leader.is_some_and(|at| self.now - at < self.timing.election_timeout);
        self.is_leader() || (self.leader.is_some() && lately)
    }

    /// The leader of this term leads no more, and names the seat that is to stand: that one asks nobody first
    /// whether it may, as all that would refuse are told the same.
    pub(crate) fn handed(&mut self, from: VoterId, next: VoterId) {
        if self.leader != Some(from) {
            return;
        }
        self.follow(self.term, None);
        // The word may not have reached the one that is named: it has two beats, then the others ask.
        self.arm_within((2 * self.timing.heartbeat_interval, 4 * self.timing.heartbeat_interval));
        if next == self.own && self.is_member() && self.disk_well() && !self.leaves() {
            self.stand();
        }
    }

    /// A seat without any log never votes, be it asked or not: it has not been let in.
    fn may_vote(&self) -> bool {
        self.disk_well() && self.log.last() > LogIndex(0)
    }

    pub(crate) fn may_stand(&mut self, from: VoterId, term: Term, last: LogIndex, last_term: Term) {
        let granted = term > self.term && !self.led() && self.may_vote() && !self.log_is_old(last, last_term);
        self.say_in(if granted { term } else { self.term }, from, Rpc::PreVoteResponse { granted });
    }

    pub(crate) fn may_stood(&mut self, from: VoterId, term: Term) {
        if let Role::Asking(votes) = &mut self.role
            && term.0 == self.term.0 + 1
            && count(votes, from, &self.log.members().0) >= self.majority()
            && self.disk_well()
        {
            self.stand();
        }
    }

    pub(crate) fn stand_asked(&mut self, from: VoterId, term: Term, last: LogIndex, last_term: Term) {
        if term > self.term {
            if self.led() {
                return;
            }
            self.follow(term, None);
        }
        let free = self.voted.is_none_or(|voted| voted == from);
        if term < self.term || !free || !self.may_vote() || self.log_is_old(last, last_term) {
            return self.say(from, Rpc::VoteResponse { granted: false });
        }
        self.follow(term, self.leader);
        self.voted = Some(from);
        self.arm();
        self.owes_vote = true;
        self.pay_vote();
    }

    /// Sends the grant that waited for the disk.
    fn pay_vote(&mut self) {
        if let Some(seat) = self.voted.filter(|_| self.owes_vote && self.disk.knows(self.term, self.voted)) {
            self.owes_vote = false;
            self.say(seat, Rpc::VoteResponse { granted: true });
        }
    }

    pub(crate) fn stood(&mut self, from: VoterId) {
        if let Role::Standing(votes) = &mut self.role
            && count(votes, from, &self.log.members().0) >= self.majority()
        {
            self.lead();
        }
    }

    pub(crate) fn after_sync(&mut self) {
        self.pay_vote();
        let ready = self.disk.knows(self.term, self.voted) && self.disk.stable() == self.log.last();
        if let Role::Standing(votes) = &mut self.role
            && votes.granted.is_empty()
            && ready
        {
            votes.next_ask = self.now;
            self.stood(self.own);
            self.ask_again();
        }
        self.pay_round();
    }
}

/// The votes of members, with this one.
fn count(votes: &mut Votes, from: VoterId, members: &[VoterId]) -> usize {
    if members.contains(&from) && !votes.granted.contains(&from) {
        votes.granted.push(from);
    }
    votes.granted.len()
}
