//! The followers that watch a source: each has asked to be pushed to, and renews that request regularly. Whom a source
//! pushes to is decided by the followers, not by what the source believes of their health.

use std::collections::BTreeMap;

use types::{Micros, NodeAddress, SECOND};

use crate::PEERS_MAX;

/// A follower that has not renewed its watch within this time is no longer pushed to; it is six renewal intervals.
const WATCH_DURATION: Micros = 3 * SECOND;
/// Time between searches for watches that have expired.
const EXPIRY_CHECK_INTERVAL: Micros = SECOND / 2;

/// The followers that watch this source.
#[derive(Debug, Default)]
pub(crate) struct Watchers {
    expires_at: BTreeMap<NodeAddress, Micros>,
    revision: u64,
    next_expiry_check: Micros,
}

impl Watchers {
    /// Starts or renews a follower's watch. New ones beyond `PEERS_MAX` are ignored.
    pub fn renew(&mut self, now: Micros, follower: NodeAddress) {
        let known = self.expires_at.contains_key(&follower);
        if known || self.expires_at.len() < PEERS_MAX {
            self.expires_at.insert(follower, now + WATCH_DURATION);
            self.revision += u64::from(!known);
        }
    }

    /// Drops the followers whose watch has expired.
    pub fn expire(&mut self, now: Micros) {
        if now < self.next_expiry_check {
            return;
        }
        self.next_expiry_check = now + EXPIRY_CHECK_INTERVAL;
        let before = self.expires_at.len();
        self.expires_at.retain(|_, expires_at| *expires_at > now);
        self.revision += u64::from(self.expires_at.len() != before);
    }

    pub fn contains(&self, follower: NodeAddress) -> bool {
        self.expires_at.contains_key(&follower)
    }

    pub fn addresses(&self) -> impl Iterator<Item = NodeAddress> {
        self.expires_at.keys().copied()
    }

    /// Rises whenever the set of followers changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}
