//! Roll-out orders that were acknowledged recently. Orders bear no sequence number, so only the time since the first
//! one tells a repeat from a new order; that time is measured by the replicated clock.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::{Micros, SECOND};

use crate::idempotency::Digest;

/// Eight orders are in progress at once; this many are never acknowledged within one repeat window.
pub const MAX_ORDERS: usize = 256;

/// Used for commands without a timestamp and before settings are known: twice the default of the setting `AckS`
/// (5 s), for which callers repeat an order at most.
pub const DEFAULT_REPEAT_WINDOW: Micros = 10 * SECOND;
/// A longer window is taken for a mistake in the settings.
pub const MAX_REPEAT_WINDOW: Micros = 600 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcknowledgedOrder {
    digest: Digest,
    /// Time of the first acknowledgement, by the replicated clock.
    acknowledged_at: Micros,
}

/// Oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentOrders(VecDeque<AcknowledgedOrder>);

impl RecentOrders {
    /// Whether an order at `now` repeats one that was acknowledged less than `repeat_window` before.
    pub fn is_repeat(&self, digest: Digest, now: Micros, repeat_window: Micros) -> bool {
        self.0.iter().any(|order| order.digest == digest && now - order.acknowledged_at < repeat_window)
    }

    /// Records a new order that is acknowledged now, and drops those whose repeat window is over.
    pub fn record(&mut self, digest: Digest, now: Micros, repeat_window: Micros) {
        self.0.retain(|order| order.digest != digest && now - order.acknowledged_at < repeat_window);
        self.0.push_back(AcknowledgedOrder { digest, acknowledged_at: now });
        while self.0.len() > MAX_ORDERS {
            self.0.pop_front();
        }
    }

    /// Whether a snapshot taken at `now` may contain these orders.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.0.len() <= MAX_ORDERS && self.0.iter().all(|order| (0..=now).contains(&order.acknowledged_at))
    }
}
