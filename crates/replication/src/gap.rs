//! How long a node has been behind what it has heard of, for people who look after the system. Nothing is decided by it.

use types::{LogIndex, Micros};

/// Counters and gauges of the ordered news at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// The last command held here, and the newest one heard of.
    pub held: LogIndex,
    pub known: LogIndex,
    /// Asks for what is missing, and those that another one had to follow, since the start.
    pub asks: u64,
    pub asks_unanswered: u64,
    /// The longest time between hearing of a command and holding it, in microseconds.
    pub longest_gap: Micros,
}

/// A gap that has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    pub lasted: Micros,
    /// Asks that got no answer meanwhile.
    pub unanswered: u64,
}

/// Measures gaps: from the first word of a command that is not held here until all that was heard of is held.
#[derive(Debug, Default)]
pub(crate) struct Gaps {
    pub asks: u64,
    pub unanswered: u64,
    longest: Micros,
    /// Since when, and how many asks had got no answer by then.
    open: Option<(Micros, u64)>,
    closed: Option<Gap>,
}

impl Gaps {
    pub fn see(&mut self, now: Micros, held: LogIndex, known: LogIndex) {
        if held < known {
            self.open.get_or_insert((now, self.unanswered));
        } else if let Some((since, unanswered)) = self.open.take() {
            let gap = Gap { lasted: now - since, unanswered: self.unanswered - unanswered };
            self.longest = self.longest.max(gap.lasted);
            self.closed = Some(gap);
        }
    }

    /// The latest gap that has closed since this was asked last.
    pub fn closed(&mut self) -> Option<Gap> {
        self.closed.take()
    }

    pub fn stats(&self, now: Micros, held: LogIndex, known: LogIndex) -> Stats {
        let open = self.open.map_or(0, |(since, _)| now - since);
        Stats {
            held,
            known,
            asks: self.asks,
            asks_unanswered: self.unanswered,
            longest_gap: self.longest.max(open),
        }
    }
}
