//! A clock that is part of the replicated state: microseconds since format 2 was agreed, derived from the log alone.
//!
//! Before each command, a leader writes which entry it last applied that changed the state, and how long ago that was
//! by its own monotonic clock. If that is still the last such entry when the command is applied, the clock advances by
//! that time; if other changes came in between, it does not advance. So of any two entries the later one never gets
//! the earlier time, whoever wrote them: readings of different monotonic clocks are never compared, and an entry is
//! always applied after it was written.
//!
//! Time that passes without a leader, before a snapshot was restored, or while commands overtake each other is not
//! counted. Ages computed from this clock are therefore never too long, and repeat windows can only grow.

use serde::{Deserialize, Serialize};
use types::{LogIndex, Micros};

use crate::recent_orders;

/// Upper bound of the clock and of a single advance: about 36,000 years.
const MAX_CLOCK_TIME: Micros = 1 << 60;

/// What a leader writes before a command, from format 2 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// The last entry that the leader had applied and that changed the state.
    pub since_entry: LogIndex,
    /// Time since the leader applied that entry.
    pub elapsed: Micros,
    /// For how long callers may repeat a roll-out order, by the leader's settings. Settings may differ between nodes,
    /// but what is applied must not, so the value travels with the command.
    pub repeat_window: Micros,
}

impl Timestamp {
    /// Whether all values lie within the bounds that a leader keeps to.
    pub(crate) fn is_valid(self) -> bool {
        let window_valid = (0..=recent_orders::MAX_REPEAT_WINDOW).contains(&self.repeat_window);
        ReplicatedClock::is_valid_time(self.elapsed) && window_valid
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicatedClock {
    /// Time of the last entry that changed the state; the same at every node.
    pub time: Micros,
    /// The last entry that changed the state.
    pub last_change: LogIndex,
    /// Local time at which this node applied that entry, or restored a snapshot that contains it.
    local_time_of_change: Micros,
}

impl ReplicatedClock {
    /// A clock that stands at `time` after the entry `last_change`, applied here at the local time `now`.
    pub fn at(now: Micros, time: Micros, last_change: LogIndex) -> ReplicatedClock {
        ReplicatedClock { time, last_change, local_time_of_change: now }
    }

    /// The timestamp that a leader writes before a command now.
    pub fn timestamp(&self, now: Micros, repeat_window: Micros) -> Timestamp {
        let elapsed = now.saturating_sub(self.local_time_of_change).clamp(0, MAX_CLOCK_TIME);
        Timestamp { since_entry: self.last_change, elapsed, repeat_window }
    }

    /// The time of a command that is applied next.
    pub fn time_of(&self, timestamp: &Timestamp) -> Micros {
        let elapsed = if timestamp.since_entry == self.last_change { timestamp.elapsed } else { 0 };
        (self.time + elapsed).min(MAX_CLOCK_TIME)
    }

    /// Whether a snapshot may contain this time.
    pub fn is_valid_time(time: Micros) -> bool {
        (0..=MAX_CLOCK_TIME).contains(&time)
    }
}
