//! Orders (of roll-outs) that were acknowledged lately: they bear no number, so that only their age tells a repeat from
//! a new wish, and age is told by the ordered clock.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::{Micros, SECOND};

use crate::idempotency::Digest;

/// Eight are under way at once; so many are acknowledged within no guard.
pub const MOST: usize = 256;

/// Where nothing else is told: twice the `AckS` of 5 s, for which callers repeat an order at most.
pub const GUARD: Micros = 10 * SECOND;
/// A longer one is a slip of the pen.
pub const LONGEST_GUARD: Micros = 600 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Order {
    digest: Digest,
    /// When it was first acknowledged.
    at: Micros,
}

/// Oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders(VecDeque<Order>);

impl Orders {
    /// Whether an order at `at` is a repeat of one that was acknowledged within `guard` before it.
    pub fn repeats(&self, digest: Digest, at: Micros, guard: Micros) -> bool {
        self.0.iter().any(|order| order.digest == digest && at - order.at < guard)
    }

    /// Notes one that is acknowledged and no repeat, and forgets those that nobody repeats any more.
    pub fn note(&mut self, digest: Digest, at: Micros, guard: Micros) {
        self.0.retain(|order| order.digest != digest && at - order.at < guard);
        self.0.push_back(Order { digest, at });
        while self.0.len() > MOST {
            self.0.pop_front();
        }
    }

    /// Whether a state that came may hold this.
    pub fn sound(&self, now: Micros) -> bool {
        self.0.len() <= MOST && self.0.iter().all(|order| (0..=now).contains(&order.at))
    }
}
