//! Measures for how long a node has been behind the newest command that it has heard of. For operators only: nothing is
//! decided by it.

use types::{LogIndex, Micros};

/// Counters and gauges of replication at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicationStats {
    /// The last command held here.
    pub held_index: LogIndex,
    /// The newest command heard of.
    pub known_index: LogIndex,
    /// Pulls sent since the start.
    pub pulls: u64,
    /// Those of them that got no answer in time.
    pub pulls_unanswered: u64,
    /// The longest time between hearing of a command and holding it.
    pub longest_gap: Micros,
}

/// A gap that has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    pub duration: Micros,
    /// Pulls that got no answer while the gap was open.
    pub pulls_unanswered: u64,
}

/// A gap that is still open.
#[derive(Clone, Copy, Debug)]
struct OpenGap {
    since: Micros,
    /// `Gaps::pulls_unanswered` when the gap opened.
    pulls_unanswered_before: u64,
}

/// Measures gaps: from hearing of a command that is not held until everything heard of is held.
#[derive(Debug, Default)]
pub(crate) struct Gaps {
    pub pulls: u64,
    pub pulls_unanswered: u64,
    longest: Micros,
    open: Option<OpenGap>,
    closed: Option<Gap>,
}

impl Gaps {
    /// Opens or closes the gap by what is held and known now.
    pub fn update(&mut self, now: Micros, held: LogIndex, known: LogIndex) {
        if held < known {
            let pulls_unanswered_before = self.pulls_unanswered;
            self.open.get_or_insert(OpenGap { since: now, pulls_unanswered_before });
        } else if let Some(open) = self.open.take() {
            let gap = Gap {
                duration: now - open.since,
                pulls_unanswered: self.pulls_unanswered - open.pulls_unanswered_before,
            };
            self.longest = self.longest.max(gap.duration);
            self.closed = Some(gap);
        }
    }

    /// Takes the latest gap that has closed since the last call.
    pub fn take_closed(&mut self) -> Option<Gap> {
        self.closed.take()
    }

    pub fn stats(&self, now: Micros, held_index: LogIndex, known_index: LogIndex) -> ReplicationStats {
        let open_for = self.open.map_or(0, |open| now - open.since);
        ReplicationStats {
            held_index,
            known_index,
            pulls: self.pulls,
            pulls_unanswered: self.pulls_unanswered,
            longest_gap: self.longest.max(open_for),
        }
    }
}
