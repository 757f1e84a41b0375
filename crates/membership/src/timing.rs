//! Timing (time-outs and paces of membership), in microseconds.

use types::{MS, Micros, SECOND};

/// Paces and time-outs; `usual` is made for 15 to 70 small machines on links that lose a datagram now and then.
#[derive(Clone, Debug)]
pub struct Timing {
    /// From one probe to the next, of one member each.
    pub probe_every: Micros,
    /// Until others are asked for a second opinion; the verdict falls at two and a half of it.
    pub answer_within: Micros,
    /// How many others are asked.
    pub opinions: usize,
    /// From suspicion to death in a fleet of 15; grows with the logarithm of the fleet's size.
    pub suspect_for: Micros,
    /// While there is news, so often it is told by itself.
    pub gossip_every: Micros,
    /// To so many others.
    pub gossip_fanout: usize,
    /// While nobody, or no prompter, is known to be up, all seeds are asked so often.
    pub seeds_every_alone: Micros,
    /// Before that, for `first_for` after its start, a node that knows no prompter asks so often.
    pub seeds_every_first: Micros,
    pub first_for: Micros,
    /// Later one seed that isn't known to be up.
    pub seeds_every: Micros,
    /// One of the dead is tried so often.
    pub dead_every: Micros,
    /// The dead and gone are forgotten after this time.
    pub forget_after: Micros,
    /// A step that comes later than this after `due` counts as a stall of this node itself.
    pub late_after: Micros,
    /// Members are compared at most so often.
    pub compare_every: Micros,
}

impl Timing {
    pub fn usual() -> Timing {
        Timing {
            probe_every: 500 * MS,
            answer_within: 200 * MS,
            opinions: 3,
            suspect_for: 2 * SECOND,
            gossip_every: 200 * MS,
            gossip_fanout: 3,
            seeds_every_alone: SECOND,
            seeds_every_first: 120 * MS,
            first_for: 4 * SECOND,
            seeds_every: 5 * SECOND,
            dead_every: 2 * SECOND,
            forget_after: 60 * SECOND,
            late_after: 150 * MS,
            compare_every: 2 * SECOND,
        }
    }

    /// From suspicion to death where `nodes` are up: 2 s at 15, 3.1 s at 70.
    pub fn suspect_for(&self, nodes: usize) -> Micros {
        let scale = (nodes.max(3) as f64).ln() / 15f64.ln();
        (self.suspect_for as f64 * scale) as Micros
    }

    /// How often each piece of news is sent where `nodes` are up: 3 ln n.
    pub fn sends(&self, nodes: usize) -> u32 {
        (3.0 * (nodes as f64 + 2.0).ln()).ceil() as u32
    }
}
