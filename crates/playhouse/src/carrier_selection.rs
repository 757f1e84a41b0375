//! Chooses the carrier of the messages to each node: datagram or stream. No I/O.
//!
//! Datagrams are cheap but are lost on a saturated link, for seconds at a time; streams wait there and arrive. A node is
//! therefore written to by datagram, except:
//!
//! - for a while by stream after one of its acknowledgements or answers did not come (`require_stream`);
//! - by stream in reply to a message that it sent by stream although a datagram would have held it;
//! - by stream from a gateway whose link is degraded to any control node. The link counts as degraded if probes of
//!   several members fail, or if a control node sent an unprompted stream message, which it does after a missing
//!   acknowledgement.
//!
//! Only what a node observed itself begins or renews such a period: if a stream in reply counted as a sign too, two
//! nodes that talk often would never go back to datagrams.

use std::collections::BTreeMap;

use types::{Carrier, DATAGRAM_MAX_BYTES, Micros, NodeAddress, SECOND};

/// How long a node is written to by stream after one of its answers did not come.
const STREAM_PERIOD: Micros = 5 * SECOND;
/// How long the link counts as degraded after an unprompted stream message of a control node. Within the same time
/// after an own stream message to a control node, a stream message from it counts as a reply.
const DEGRADED_PERIOD: Micros = 2 * SECOND;
/// Maximum number of nodes that are written to by stream at once. If more seem to need it, the cause is one that
/// streams would not cure.
const MAX_STREAM_PEERS: usize = 128;

/// Keeps which nodes are written to by stream.
#[derive(Debug, Default)]
pub struct CarrierSelector {
    /// Until when each node is written to by stream.
    stream_until: BTreeMap<NodeAddress, Micros>,
    /// When each node was last written to by stream.
    stream_sent_at: BTreeMap<NodeAddress, Micros>,
    /// The sender of the message being replied to, if that message came by stream without need.
    replying_to: Option<NodeAddress>,
    probes_failing: bool,
    degraded_until: Micros,
}

impl CarrierSelector {
    /// Something that `address` should have answered was not answered: use streams to it for a while.
    pub fn require_stream(&mut self, now: Micros, address: NodeAddress) {
        self.stream_until.retain(|_, until| *until > now);
        if self.stream_until.len() < MAX_STREAM_PEERS || self.stream_until.contains_key(&address) {
            self.stream_until.insert(address, now + STREAM_PERIOD);
        }
    }

    /// Records a received message. Until the next one or `finish_reply`, messages to its sender are replies to it.
    pub fn received(
        &mut self, now: Micros, from: NodeAddress, is_control_node: bool, carrier: Carrier, bytes: usize,
    ) {
        let without_need = carrier == Carrier::Stream && bytes <= DATAGRAM_MAX_BYTES;
        self.replying_to = without_need.then_some(from);
        let prompted = self.stream_sent_at.get(&from).is_some_and(|at| now - at < DEGRADED_PERIOD);
        if without_need && is_control_node && !prompted {
            self.degraded_until = now + DEGRADED_PERIOD;
        }
    }

    /// All replies to the last received message were sent.
    pub fn finish_reply(&mut self) {
        self.replying_to = None;
    }

    /// Sets whether probes of several members failed at once.
    pub fn set_probes_failing(&mut self, failing: bool) {
        self.probes_failing = failing;
    }

    /// Whether this node's own link seems to lose datagrams.
    pub fn link_degraded(&self, now: Micros) -> bool {
        self.probes_failing || now < self.degraded_until
    }

    /// The carrier for a message to `address`. `is_control_node`: a node with a degraded link uses streams to all
    /// control nodes, to reach any of them.
    pub fn carrier(&self, now: Micros, address: NodeAddress, is_control_node: bool) -> Carrier {
        let required = self.stream_until.get(&address).is_some_and(|until| *until > now);
        let stream =
            required || self.replying_to == Some(address) || (is_control_node && self.link_degraded(now));
        if stream { Carrier::Stream } else { Carrier::Datagram }
    }

    /// Records that a message that would fit into a datagram goes to `address` by stream.
    pub fn record_stream_send(&mut self, now: Micros, address: NodeAddress) {
        self.stream_sent_at.retain(|_, at| now - *at < DEGRADED_PERIOD);
        if self.stream_sent_at.len() < MAX_STREAM_PEERS || self.stream_sent_at.contains_key(&address) {
            self.stream_sent_at.insert(address, now);
        }
    }

    /// Number of nodes that are written to by stream, whatever the message.
    pub fn stream_peer_count(&self, now: Micros) -> usize {
        self.stream_until.values().filter(|until| **until > now).count()
    }
}
