//! Clock (ordered): the time that has passed by what leaders wrote into the log, in microseconds since form 2 was agreed.
//! A leader writes before each command how long ago, by its own steady clock, it applied the last one that changed
//! something, and which that was. Where that is still the last one when the command is applied, the clock goes on by so
//! much; where others came between, by nothing. So of any two entries the later is told to be younger, or as old as it
//! is, whoever wrote them: no steady clock is compared with another's, and each entry is applied after it was written.
//! What passes while nobody leads, before a state was restored, or while orders overtake each other, is not counted: ages
//! are never too long, and guards only grow.

use serde::{Deserialize, Serialize};
use types::{LogIndex, Micros};

use crate::recent_orders;

/// No deployment is so old: 36,000 years.
const LAST: Micros = 1 << 60;

/// What a leader writes before a command, from form 2 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// The last entry that the leader had applied and that changed something.
    pub since_entry: LogIndex,
    /// So long ago.
    pub elapsed: Micros,
    /// For so long callers may repeat an order, as the leader's settings say: settings may differ between nodes,
    /// what is applied may not.
    pub repeat_window: Micros,
}

impl Timestamp {
    /// Whether a leader may have written it.
    pub(crate) fn sound(self) -> bool {
        (0..=LAST).contains(&self.elapsed) && (0..=recent_orders::LONGEST_GUARD).contains(&self.repeat_window)
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    /// The moment of the last entry that changed something, and which that was; ordered.
    pub moment: Micros,
    pub last: LogIndex,
    /// Local: when that was applied, or came as a state.
    here: Micros,
}

impl Clock {
    pub fn at(now: Micros, moment: Micros, last: LogIndex) -> Clock {
        Clock { moment, last, here: now }
    }

    pub fn timestamp(&self, now: Micros, guard: Micros) -> Timestamp {
        let passed = now.saturating_sub(self.here).clamp(0, LAST);
        Timestamp { since_entry: self.last, elapsed: passed, repeat_window: guard }
    }

    /// The moment of a command that is applied next.
    pub fn moment(&self, stamp: &Timestamp) -> Micros {
        let passed = if stamp.since_entry == self.last { stamp.elapsed } else { 0 };
        (self.moment + passed).min(LAST)
    }

    /// Whether a state that came may hold this.
    pub fn sound(moment: Micros) -> bool {
        (0..=LAST).contains(&moment)
    }
}
