//! Quorum contact: how long ago a majority was last known to follow one leader. It works like a lease and relies on clocks
//! that run at a steady rate.

use types::{Micros, Term};

use crate::fingerprint::FingerprintHasher;
use crate::raft_node::{RaftNode, Role};

/// A process that handled no event for this many election timeouts was stalled, for example frozen.
const STALL_ELECTION_TIMEOUTS: Micros = 2;
/// For this many heartbeat intervals after a stall, received messages may have been queued in the sockets all the while, and
/// prove nothing.
const BACKLOG_HEARTBEATS: Micros = 2;

/// The round by which a leader confirms that a majority follows it.
#[derive(Clone, Default)]
pub(crate) struct QuorumProbe {
    /// The next heartbeat is to begin a probe.
    pub(crate) requested: bool,
    /// The round of the probe that is under way, and when it was sent.
    pub(crate) in_flight: Option<(u64, Micros)>,
}

impl QuorumProbe {
    pub(crate) fn add_to_fingerprint(&self, hasher: &mut FingerprintHasher) {
        // The time at which the probe was sent is only reported to others and decides nothing here.
        hasher.add((self.requested, self.in_flight.map(|(round, _)| round)));
    }
}

impl RaftNode {
    /// The term and the moment, by this node's clock, at which a majority was last known to follow this node's leader. All
    /// that was acknowledged before that moment is in the log of that leader.
    ///
    /// On a leader it is when the newest round that a majority has answered was sent. On a follower it is one election
    /// timeout before it last heard its leader, since a leader that hears no majority for that long steps down; a message
    /// that was delayed on its way makes this moment too late by the delay.
    pub fn quorum_contact(&self) -> Option<(Term, Micros)> {
        self.quorum_contact
    }

    /// Whether this node leads or has heard its leader within `window`.
    pub fn hears_leader(&self, now: Micros, window: Micros) -> bool {
        let is_recent =
            self.last_leader_contact.is_some_and(|at| now - at < window && at >= self.backlog_until);
        self.is_leader() || (self.leader().is_some() && is_recent)
    }

    /// Lets the leader's next heartbeat begin a probe. At most one probe is under way.
    pub(crate) fn request_quorum_probe(&mut self) {
        if let Role::Leader(state) = &mut self.role {
            state.quorum_probe.requested = true;
        }
    }

    /// The only place that changes `quorum_contact`; it only moves forward.
    pub(crate) fn record_quorum_contact(&mut self, at: Micros) {
        if self.quorum_contact.is_none_or(|(_, known)| known < at) {
            self.quorum_contact = Some((self.term, at));
        }
    }

    /// A message from the leader has arrived: a majority followed it at most one election timeout before it was sent.
    pub(crate) fn record_leader_contact(&mut self) {
        if self.now >= self.backlog_until {
            self.record_quorum_contact(self.now - self.timing.election_timeout);
        }
    }

    /// Called before each event. After a stall, messages from long ago may wait in the sockets.
    pub(crate) fn detect_stall(&mut self, now: Micros) {
        if now - self.now >= STALL_ELECTION_TIMEOUTS * self.timing.election_timeout {
            self.backlog_until = now + BACKLOG_HEARTBEATS * self.timing.heartbeat_interval;
        }
    }
}
