//! How many gateways share a budget: the most that were known at one time recently.

use types::{Micros, SECOND};

/// How long a larger number of gateways counts after it was last known. Longer than any network partition that is
/// expected: a gateway that sees only its own side must not use the part of the other side.
const RETENTION: Micros = 600 * SECOND;
/// Maximum number of earlier counts; beyond it, two neighbours are merged into the larger one.
const MAX_EARLIER_COUNTS: usize = 64;

/// The number of known gateways over time.
#[derive(Debug, Default)]
pub struct GatewayCounts {
    current: usize,
    /// Earlier counts, each with the time at which it ended, in descending order: a smaller count that precedes a
    /// larger one never matters.
    earlier: Vec<(Micros, usize)>,
}

impl GatewayCounts {
    /// Records how many gateways are known at `now`, including this one.
    pub fn record(&mut self, now: Micros, count: usize) {
        let count = count.max(1);
        if count == self.current {
            return;
        }
        if count < self.current {
            self.earlier.push((now, self.current));
        }
        self.earlier.retain(|(ended_at, earlier_count)| now - ended_at < RETENTION && *earlier_count > count);
        if self.earlier.len() > MAX_EARLIER_COUNTS {
            let (ended_at, _) = self.earlier.remove(1);
            self.earlier[0].0 = self.earlier[0].0.max(ended_at);
        }
        self.current = count;
    }

    /// The most gateways that were known at one time in the last ten minutes; at least 1.
    pub fn peak(&self, now: Micros) -> usize {
        let earlier = self.earlier.iter().filter(|(ended_at, _)| now - ended_at < RETENTION);
        earlier.map(|(_, count)| *count).max().unwrap_or(0).max(self.current).max(1)
    }

    /// One gateway's part of an amount that is shared by all. It assumes one more gateway than the peak, and an eighth
    /// more, for machines that were added and are not known everywhere yet.
    pub fn share_of(&self, now: Micros, total: f64) -> f64 {
        let peak = self.peak(now);
        total / (peak + 1 + peak / 8) as f64
    }
}
