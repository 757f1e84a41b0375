//! How many share: the most foyers that were known at one time lately.

use types::{Micros, SECOND};

/// How long a larger number holds on. Longer than any cut that is expected: who sees only its own side of a cut
/// must not take the other side's part.
const KEPT: Micros = 600 * SECOND;
/// Most steps remembered; beyond, neighbours are joined at the larger number.
const MOST: usize = 64;

/// The number of foyers over time.
#[derive(Debug, Default)]
pub struct GatewayCounts {
    now: usize,
    /// Earlier numbers, each with the moment at which it ended. Falling: a smaller one before a larger one
    /// never counts.
    earlier: Vec<(Micros, usize)>,
}

impl GatewayCounts {
    /// How many are known at `now`, this one counted.
    pub fn record(&mut self, now: Micros, count: usize) {
        let count = count.max(1);
        if count == self.now {
            return;
        }
        if count < self.now {
            self.earlier.push((now, self.now));
        }
        self.earlier.retain(|(ended, most)| now - ended < KEPT && *most > count);
        if self.earlier.len() > MOST {
            let (ended, _) = self.earlier.remove(1);
            self.earlier[0].0 = self.earlier[0].0.max(ended);
        }
        self.now = count;
    }

    /// The most that were known at one time in the last ten minutes.
    pub fn peak(&self, now: Micros) -> usize {
        let earlier = self.earlier.iter().filter(|(ended, _)| now - ended < KEPT);
        earlier.map(|(_, most)| *most).max().unwrap_or(0).max(self.now).max(1)
    }

    /// One foyer's part of what is for all: one more than are known share, and an eighth more, for machines that
    /// were added and are not known to all.
    pub fn share_of(&self, now: Micros, whole: f64) -> f64 {
        let most = self.peak(now);
        whole / (most + 1 + most / 8) as f64
    }
}
