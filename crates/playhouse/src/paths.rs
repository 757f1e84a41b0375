//! Paths: by what messages to each node travel. No I/O.
//!
//! Datagrams are cheap and are lost at a full link, for seconds at a time; streams wait there and arrive. So a node is
//! written to by datagram, but
//!
//! - by stream for a while where an acknowledgement or an answer of it did not come (`insist`);
//! - by stream in answer to what it sent by stream without need (`answers`);
//! - by stream from a strained gateway to any hub: one whose probes of several members fail, or to which a hub spoke by
//!   stream unasked, as that hub missed its acknowledgement.
//!
//! Only what a node saw itself begins or renews a span: were a stream in answer a sign as well, two nodes that talk often
//! would never go back to datagrams.

use std::collections::BTreeMap;

use types::{Carrier, DATAGRAM_MAX_BYTES, Micros, NodeAddress, SECOND};

/// How long a node is written to by stream after an answer of it stayed away.
const INSISTED: Micros = 5 * SECOND;
/// How long a node counts as strained after a hub spoke to it by stream unasked, and for how long after an own stream to a
/// hub that is rather its answer.
const STRAINED: Micros = 2 * SECOND;
/// Nodes that are written to by stream at once; for more there is a cause that streams would not cure.
const MOST: usize = 128;

/// Which nodes are written to by stream.
#[derive(Debug, Default)]
pub struct Paths {
    /// Until when.
    insisted: BTreeMap<NodeAddress, Micros>,
    /// When a node was written to by stream last.
    written: BTreeMap<NodeAddress, Micros>,
    /// Whose word, come by stream without need, is being answered.
    answers: Option<NodeAddress>,
    probes_fail: bool,
    strained_until: Micros,
}

impl Paths {
    /// Something that `place` should have answered was not: what goes there now is not left to datagrams.
    pub fn insist(&mut self, now: Micros, place: NodeAddress) {
        self.insisted.retain(|_, until| *until > now);
        if self.insisted.len() < MOST || self.insisted.contains_key(&place) {
            self.insisted.insert(place, now + INSISTED);
        }
    }

    /// A message came; until the next one, what goes to its sender answers it.
    pub fn heard(&mut self, now: Micros, from: NodeAddress, hub: bool, carrier: Carrier, bytes: usize) {
        let without_need = carrier == Carrier::Stream && bytes <= DATAGRAM_MAX_BYTES;
        self.answers = without_need.then_some(from);
        let asked = self.written.get(&from).is_some_and(|at| now - at < STRAINED);
        if without_need && hub && !asked {
            self.strained_until = now + STRAINED;
        }
    }

    /// What came last has been answered.
    pub fn answered(&mut self) {
        self.answers = None;
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
    pub fn carrier(&self, now: Micros, place: NodeAddress, hub: bool) -> Carrier {
        let insisted = self.insisted.get(&place).is_some_and(|until| *until > now);
        let stream = insisted || self.answers == Some(place) || (hub && self.strained(now));
        if stream { Carrier::Stream } else { Carrier::Datagram }
    }

    /// A message goes to `place` by stream that would fit a datagram.
    pub fn wrote(&mut self, now: Micros, place: NodeAddress) {
        self.written.retain(|_, at| now - *at < STRAINED);
        if self.written.len() < MOST || self.written.contains_key(&place) {
            self.written.insert(place, now);
        }
    }

    /// How many nodes are written to by stream, whatever they say.
    pub fn streams(&self, now: Micros) -> usize {
        self.insisted.values().filter(|until| **until > now).count()
    }
}
