//! Proof of age (a lease over steady clocks): how long ago a majority was last known to follow one leader.

use types::{Micros, Term};

use crate::book::{RaftNode, Role};
use crate::mark::FingerprintHasher;

/// A process that did nothing for so many election spans stood still; for so many beats after its return what it
/// hears may have lain in its sockets all the while, and proves nothing.
const STOOD_ELECTIONS: Micros = 2;
const THAW_BEATS: Micros = 2;

/// The round by which a leader proves that it leads, where one is wanted or under way.
#[derive(Clone, Default)]
pub(crate) struct Proof {
    pub(crate) wanted: bool,
    /// Its number, and when it was sent.
    pub(crate) asked: Option<(u64, Micros)>,
}

impl Proof {
    pub(crate) fn mark(&self, marks: &mut FingerprintHasher) {
        // When it was sent is told to others, and decides nothing here.
        marks.add((self.wanted, self.asked.map(|(round, _)| round)));
    }
}

impl RaftNode {
    /// The term and the moment, of the own clock, at which a majority was last known to follow this seat's leader: all
    /// that was acknowledged before is in the log of that leader. At a leader, when the newest round that a majority
    /// has answered was sent; at a follower, an election span before it heard its leader, which gives up where it
    /// hears of no majority for one. A word that is late on its way makes a follower's moment late by as much.
    pub fn quorum_contact(&self) -> Option<(Term, Micros)> {
        self.proved
    }

    /// Whether this seat leads, or has heard its leader within a span.
    pub fn hears_leader(&self, now: Micros, within: Micros) -> bool {
        let heard = self.heard_leader.is_some_and(|at| now - at < within && at >= self.thaw);
        self.is_leader() || (self.leader().is_some() && heard)
    }

    /// A leader's next beat is to begin a round; at most one is under way.
    pub(crate) fn want_proof(&mut self) {
        if let Role::Leading(lead) = &mut self.role {
            lead.proof.wanted = true;
        }
    }

    /// The only place where what is proved changes, and it only gets younger.
    pub(crate) fn prove(&mut self, at: Micros) {
        if self.proved.is_none_or(|(_, known)| known < at) {
            self.proved = Some((self.term, at));
        }
    }

    /// The leader's word has come: at the latest an election span before it was sent, a majority followed it.
    pub(crate) fn prove_by_leader(&mut self) {
        if self.now >= self.thaw {
            self.prove(self.now - self.timing.election_timeout);
        }
    }

    /// Called before each event. Guards against words of long ago in the sockets of a process that was frozen.
    pub(crate) fn notice_stall(&mut self, now: Micros) {
        if now - self.now >= STOOD_ELECTIONS * self.timing.election_timeout {
            self.thaw = now + THAW_BEATS * self.timing.heartbeat_interval;
        }
    }
}
