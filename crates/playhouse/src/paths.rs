//! Paths: by what messages to each node travel. No I/O.
//!
//! Datagrams are cheap and are lost at a full link, for seconds at a time; streams wait there and arrive. So a node is
//! written to by datagram until something shows that they are lost: an acknowledgement or an answer that did not come
//! (`insist`), the other node's own use of a stream for what would fit a datagram (`heard`), or failed probes of several
//! members, which tell of this node's own link (`probes_fail`). After a while it is tried by datagram again.

use std::collections::BTreeMap;

use props::{Carrier, DATAGRAM_BYTES, Micros, Place, SECOND};

/// How long a node is written to by stream after the last sign that datagrams are lost.
const HOLDS: Micros = 5 * SECOND;
/// Nodes that are written to by stream at once; for more there is a cause that streams would not cure.
const MOST: usize = 128;

/// Which nodes are written to by stream.
#[derive(Debug, Default)]
pub struct Paths {
    /// Until when.
    by_stream: BTreeMap<Place, Micros>,
    /// This node's own link seems to lose datagrams, by failed probes; or until when, by what control machines did.
    probes_fail: bool,
    strained_until: Micros,
}

impl Paths {
    /// Something that `place` should have answered was not: what goes there now is not left to datagrams.
    pub fn insist(&mut self, now: Micros, place: Place) {
        self.by_stream.retain(|_, until| *until > now);
        if self.by_stream.len() < MOST || self.by_stream.contains_key(&place) {
            self.by_stream.insert(place, now + HOLDS);
        }
    }

    /// A message came from a node that is known. One that speaks by stream without need is answered alike; a hub that
    /// does so has missed this node's acknowledgement.
    pub fn heard(&mut self, now: Micros, from: Place, hub: bool, carrier: Carrier, bytes: usize) {
        if carrier == Carrier::Stream && bytes <= DATAGRAM_BYTES {
            self.insist(now, from);
            if hub {
                self.strained_until = now + HOLDS;
            }
        }
    }

    /// Whether probes of several members failed at once.
    pub fn probes_fail(&mut self, fail: bool) {
        self.probes_fail = fail;
    }

    /// Whether this node's own link seems to lose datagrams.
    pub fn strained(&self, now: Micros) -> bool {
        self.probes_fail || now < self.strained_until
    }

    /// By what a message to `place` is to go. `hub`: it is a control machine, of which a strained node tries to reach any.
    pub fn carrier(&self, now: Micros, place: Place, hub: bool) -> Carrier {
        let insisted = self.by_stream.get(&place).is_some_and(|until| *until > now);
        if insisted || (hub && self.strained(now)) { Carrier::Stream } else { Carrier::Datagram }
    }

    /// How many nodes are written to by stream.
    pub fn streams(&self, now: Micros) -> usize {
        self.by_stream.values().filter(|until| **until > now).count()
    }
}
