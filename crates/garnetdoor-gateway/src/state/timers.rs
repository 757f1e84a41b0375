//! Timers, in the order in which they are due.

use std::collections::BTreeMap;

use garnetdoor::host::{AttemptNo, Micros, RequestId, TimerKind};

use crate::event::ConnectionId;

/// What is to be done when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Tell the decisions that a timer of theirs is due.
    Decisions(TimerKind),
    /// Time out an attempt.
    Attempt(RequestId, AttemptNo),
    /// Check whether a connection's deadline has passed.
    Connection(ConnectionId),
    /// Ask for the platform's event stream again.
    EventStream,
    /// Something is due at the sessions.
    Sessions,
    /// Sample the activity of the sessions' connections.
    SessionSamples,
    /// Log how many requests were refused.
    RefusalSummary,
    StopListening,
    /// Give all open requests their final response before the process ends.
    AnswerAll,
    Exit,
}

/// Identifies a timer that was set: when it is due, and its number.
pub type TimerKey = (Micros, u64);

/// Timers in the order in which they are due; those due at the same time in the order in which they were set.
#[derive(Default)]
pub struct Timers {
    waiting: BTreeMap<TimerKey, Timer>,
    last_number: u64,
}

impl Timers {
    /// Sets a timer. The returned key can be used to cancel it.
    pub fn set(&mut self, at: Micros, timer: Timer) -> TimerKey {
        self.last_number += 1;
        self.waiting.insert((at, self.last_number), timer);
        (at, self.last_number)
    }

    /// Cancels a timer. Timers far in the future would otherwise accumulate.
    pub fn cancel(&mut self, key: TimerKey) {
        self.waiting.remove(&key);
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.waiting.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next timer that is due by `now`.
    pub fn take_due(&mut self, now: Micros) -> Option<Timer> {
        self.next_due().filter(|at| *at <= now)?;
        self.waiting.pop_first().map(|(_, timer)| timer)
    }
}
