//! Intervals and timeouts of the membership protocol.

use types::{MS, Micros, SECOND};

/// Intervals and timeouts. The default suits 15 to 70 small machines on links that now and then lose a datagram.
#[derive(Clone, Debug)]
pub struct Timing {
    /// From one probe to the next; each probes one member.
    pub probe_interval: Micros,
    /// Without an `Ack` after this, other members are asked for indirect probes. The probe has failed after two and a half
    /// times this.
    pub ack_timeout: Micros,
    /// Members asked for an indirect probe.
    pub indirect_probe_count: usize,
    /// From suspicion to death among 15 nodes; scaled with the logarithm of their number by `suspicion_timeout`.
    pub base_suspicion_timeout: Micros,
    /// Between messages that carry nothing but gossip, while there is any.
    pub gossip_interval: Micros,
    /// Members that get such a message each time.
    pub gossip_fanout: usize,
    /// Between requests to all seeds while no control node is known to be up.
    pub isolated_seed_interval: Micros,
    /// The same during the first `startup_period` of a node.
    pub startup_seed_interval: Micros,
    pub startup_period: Micros,
    /// Between requests to one seed that is not known to be up, once a control node is.
    pub seed_interval: Micros,
    /// Between probes of a dead member, by which the two sides of a partition find each other again.
    pub dead_probe_interval: Micros,
    /// Members that are dead or have left are forgotten after this.
    pub forget_after: Micros,
    /// A step that comes this much later than `Membership::due` means that this node itself was stalled.
    pub stall_threshold: Micros,
    /// Least time between comparisons of digests.
    pub compare_interval: Micros,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe_interval: 500 * MS,
            ack_timeout: 200 * MS,
            indirect_probe_count: 3,
            base_suspicion_timeout: 2 * SECOND,
            gossip_interval: 200 * MS,
            gossip_fanout: 3,
            isolated_seed_interval: SECOND,
            startup_seed_interval: 120 * MS,
            startup_period: 4 * SECOND,
            seed_interval: 5 * SECOND,
            dead_probe_interval: 2 * SECOND,
            forget_after: 60 * SECOND,
            stall_threshold: 150 * MS,
            compare_interval: 2 * SECOND,
        }
    }
}

impl Timing {
    /// From suspicion to death where `nodes` are up: 2 s for 15, 3.1 s for 70.
    pub fn suspicion_timeout(&self, nodes: usize) -> Micros {
        let scale = (nodes.max(3) as f64).ln() / 15f64.ln();
        (self.base_suspicion_timeout as f64 * scale) as Micros
    }

    /// How often each update is sent where `nodes` are up: 3 ln(nodes + 2), rounded up.
    pub fn gossip_transmissions(&self, nodes: usize) -> u32 {
        (3.0 * (nodes as f64 + 2.0).ln()).ceil() as u32
    }
}
