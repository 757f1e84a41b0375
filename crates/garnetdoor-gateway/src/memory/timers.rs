//! What is due when.

use std::collections::BTreeMap;

use garnetdoor::host::{AttemptNo, Micros, RequestId, TimerKind};

use crate::event::ConnId;

/// What is to happen then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    Wake(TimerKind),
    /// A trip is given up.
    Trip(RequestId, AttemptNo),
    /// A connection may have stood as it does for long enough.
    Conn(ConnId),
    /// The platform's events are asked for again.
    Notices,
    /// Something is due at the sessions.
    Sessions,
    /// The sessions' connections are looked at.
    Glance,
    /// How many requests were refused is told.
    Refusals,
    StopListening,
    /// What is held gets its answer before the end.
    AnswerAll,
    Exit,
}

/// When a timer is due, and its number.
pub type Set = (Micros, u64);

/// Timers in the order in which they are due, then in which they were set.
#[derive(Default)]
pub struct Timers {
    waiting: BTreeMap<Set, Timer>,
    set: u64,
}

impl Timers {
    /// Sets a timer; it goes by what is returned, should it have to be taken back.
    pub fn set(&mut self, at: Micros, timer: Timer) -> Set {
        self.set += 1;
        self.waiting.insert((at, self.set), timer);
        (at, self.set)
    }

    /// Takes a timer back, so that long times ahead do not add up.
    pub fn unset(&mut self, set: Set) {
        self.waiting.remove(&set);
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.waiting.first_key_value().map(|((at, _), _)| *at)
    }

    /// The next one that is due by `now`.
    pub fn take_due(&mut self, now: Micros) -> Option<Timer> {
        self.next().filter(|at| *at <= now)?;
        self.waiting.pop_first().map(|(_, timer)| timer)
    }
}
