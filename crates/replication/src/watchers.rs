//! Watchers, at a source: the followers that have asked it to serve them, each for a while. Who is pushed to is decided by
//! them and not by what this source believes of their health.

use std::collections::BTreeMap;

use types::{Micros, NodeAddress, SECOND};

use crate::PEERS_MAX;

/// A follower that has not renewed its watch within this is served no more: six of its asks.
const LASTS: Micros = 3 * SECOND;
const LOOK_EVERY: Micros = SECOND / 2;

/// The followers that watch this source.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    /// Until when each is served.
    until: BTreeMap<NodeAddress, Micros>,
    changes: u64,
    next_look: Micros,
}

impl Watchers {
    /// A follower has asked; more than `PEERS_MAX` at once are not taken.
    pub fn renewed(&mut self, now: Micros, follower: NodeAddress) {
        let known = self.until.contains_key(&follower);
        if known || self.until.len() < PEERS_MAX {
            self.until.insert(follower, now + LASTS);
            self.changes += u64::from(!known);
        }
    }

    /// Forgets those that have not renewed their watch.
    pub fn expire(&mut self, now: Micros) {
        if now < self.next_look {
            return;
        }
        self.next_look = now + LOOK_EVERY;
        let before = self.until.len();
        self.until.retain(|_, until| *until > now);
        self.changes += u64::from(self.until.len() != before);
    }

    pub fn has(&self, follower: NodeAddress) -> bool {
        self.until.contains_key(&follower)
    }

    pub fn addresses(&self) -> impl Iterator<Item = NodeAddress> {
        self.until.keys().copied()
    }

    /// Rises whenever another one watches, or one no longer does.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}
