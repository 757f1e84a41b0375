//! Drains in progress: which nodes were notified, which have acknowledged, and which calls wait for the
//! result.

use types::{CallId, MS, Micros, NodeAddress, SECOND};

use crate::InstanceId;

/// Most drains in progress at once.
pub(crate) const MAX_ROUNDS: usize = 1024;
/// Most calls that wait for one drain.
const MAX_WAITING_CALLS: usize = 16;
/// Time between two notices to nodes that have not acknowledged, while a call waits; after that it is
/// `Timing::drain_resend_interval`.
const RESEND_INTERVAL: Micros = 100 * MS;
/// Gateways that have not acknowledged this many notices should get the next ones by stream.
const MAX_DATAGRAM_SENDS: u32 = 2;
/// How long nodes that don't acknowledge are notified again.
const ROUND_DURATION: Micros = 2 * SECOND;
/// How long the acknowledgements of all gateways are waited for.
const GATEWAY_ACK_WAIT: Micros = 250 * MS;

/// Notices of one instance that is draining or gone, until enough other nodes know.
#[derive(Debug)]
pub(crate) struct DrainRound {
    pub number: u64,
    pub id: InstanceId,
    /// Until when the acknowledgements of all gateways are waited for.
    gateways_deadline: Micros,
    /// When nodes that don't acknowledge are given up.
    gives_up_at: Micros,
    /// Waiting calls, each with the time at which its answer is due.
    waiting_calls: Vec<(CallId, Micros)>,
    /// Gateways that are notified directly.
    pub gateways: Vec<NodeAddress>,
    /// Whether all gateways are notified directly and still waited for. Their acknowledgements are worth a
    /// short wait; without them the drain succeeds all the same.
    awaits_all_gateways: bool,
    acknowledged_by: Vec<NodeAddress>,
    next_send: Micros,
    sends: u32,
    /// Whether enough other nodes know.
    confirmed: bool,
}

/// The nodes that have to know of a drain before it is acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AckQuorum<'a> {
    /// The voters of the replicated log, including this node if it is one.
    pub voters: &'a [NodeAddress],
    pub own_address: NodeAddress,
}

impl DrainRound {
    pub fn new(
        number: u64, id: InstanceId, now: Micros, gateways: Vec<NodeAddress>, awaits_all_gateways: bool,
    ) -> DrainRound {
        DrainRound {
            number,
            id,
            gateways_deadline: if awaits_all_gateways { now + GATEWAY_ACK_WAIT } else { Micros::MAX },
            gives_up_at: now + ROUND_DURATION,
            waiting_calls: Vec::new(),
            gateways,
            awaits_all_gateways,
            acknowledged_by: Vec::new(),
            next_send: now,
            sends: 0,
            confirmed: false,
        }
    }

    /// Adds a call whose answer is due at `deadline`. Returns false if too many wait already.
    pub fn add_call(&mut self, call: CallId, deadline: Micros) -> bool {
        let has_room = self.waiting_calls.len() < MAX_WAITING_CALLS;
        if has_room {
            self.waiting_calls.push((call, deadline));
            self.gives_up_at = self.gives_up_at.max(deadline);
        }
        has_room
    }

    /// Records an acknowledgement. It counts only if `from` was notified: one of `registry_nodes` or of the
    /// gateways.
    pub fn acknowledged(&mut self, from: NodeAddress, registry_nodes: &[NodeAddress]) {
        let was_notified = registry_nodes.contains(&from) || self.gateways.contains(&from);
        if !self.acknowledged_by.contains(&from) && was_notified {
            self.acknowledged_by.push(from);
        }
    }

    /// Whether a majority of the voters, and at least one other node in any case, knows. The majority is
    /// never taken among the nodes that this node considers up: a node that has been cut off for long
    /// considers no other node up and would be a majority on its own.
    fn quorum_reached(&self, quorum: AckQuorum) -> bool {
        let knows =
            |voter: &&NodeAddress| **voter == quorum.own_address || self.acknowledged_by.contains(voter);
        let voters = quorum.voters.iter().filter(knows).count();
        2 * voters > quorum.voters.len() && !self.acknowledged_by.is_empty()
    }

    /// Once enough nodes know, returns the calls to acknowledge now; the caller then marks the entry as
    /// confirmed.
    pub fn take_confirmed(&mut self, now: Micros, quorum: AckQuorum) -> Option<Vec<CallId>> {
        if now >= self.gateways_deadline {
            (self.gateways_deadline, self.awaits_all_gateways) = (Micros::MAX, false);
        }
        let gateways_know = !self.awaits_all_gateways
            || self.gateways.iter().all(|gateway| self.acknowledged_by.contains(gateway));
        self.confirmed |= gateways_know && self.quorum_reached(quorum);
        self.confirmed.then(|| self.waiting_calls.drain(..).map(|(call, _)| call).collect())
    }

    /// Removes and returns the calls whose deadline has passed.
    pub fn take_expired(&mut self, now: Micros) -> Vec<CallId> {
        let expired = self.waiting_calls.iter().filter(|(_, deadline)| *deadline <= now);
        let expired = expired.map(|(call, _)| *call).collect();
        self.waiting_calls.retain(|(_, deadline)| *deadline > now);
        expired
    }

    /// If notices are due, the nodes to notify now: all of `registry_nodes` and of the gateways that have not
    /// acknowledged. `resend_interval` applies once no call waits.
    pub fn take_recipients(
        &mut self, now: Micros, registry_nodes: &[NodeAddress], resend_interval: Micros,
    ) -> Vec<NodeAddress> {
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + if self.waiting_calls.is_empty() { resend_interval } else { RESEND_INTERVAL };
        self.sends += 1;
        let notified = registry_nodes.iter().chain(&self.gateways);
        notified.filter(|node| !self.acknowledged_by.contains(node)).copied().collect()
    }

    /// Whether a node that is notified now has not answered for so long that datagrams to or from it seem to
    /// get lost. Only for gateways: a registry node that does not answer is more likely down, as its link
    /// carries no requests.
    pub fn prefers_stream(&self, node: NodeAddress) -> bool {
        self.sends > MAX_DATAGRAM_SENDS && self.gateways.contains(&node)
    }

    /// Stops notifying gateways that are no longer reachable.
    pub fn retain_gateways(&mut self, is_reachable: impl Fn(NodeAddress) -> bool) {
        self.gateways.retain(|gateway| is_reachable(*gateway));
    }

    /// Starts the notices anew, for a call that came after the round had gone on for a while.
    pub fn restart(&mut self, now: Micros) {
        self.gives_up_at = now + ROUND_DURATION;
        self.next_send = now;
    }

    /// Whether no call waits and either all notified nodes have acknowledged or the rest is given up.
    pub fn is_finished(&self, now: Micros, registry_nodes: &[NodeAddress]) -> bool {
        let mut notified = registry_nodes.iter().chain(&self.gateways);
        let all_know = notified.all(|node| self.acknowledged_by.contains(node));
        self.waiting_calls.is_empty() && (now >= self.gives_up_at || (self.confirmed && all_know))
    }

    /// When the round has something to do next, at the latest.
    pub fn next_due(&self) -> Micros {
        let calls = self.waiting_calls.iter().map(|(_, deadline)| *deadline).min().unwrap_or(Micros::MAX);
        self.next_send.min(self.gives_up_at).min(self.gateways_deadline).min(calls)
    }
}
