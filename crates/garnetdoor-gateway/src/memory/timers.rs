//! What is due when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use garnetdoor::host::{Micros, TicketId, TripNo, Wake};

use super::event::ConnId;

/// What is to happen then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    Wake(Wake),
    /// A trip is given up.
    Trip(TicketId, TripNo),
    /// A connection may have stood as it does for long enough.
    Conn(ConnId),
    /// The platform's events are asked for again.
    Notices,
    StopListening,
    Exit,
}

struct Due(Micros, u64, Timer);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Timers in the order in which they are due, then in which they were set.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<Due>>,
    set: u64,
}

impl Timers {
    /// Timers can't be taken back; what is no longer wanted is ignored when due.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.set += 1;
        self.heap.push(Reverse(Due(at, self.set, timer)));
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(due)| due.0)
    }

    /// The next one that is due by `now`.
    pub fn take_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next().is_none_or(|at| at > now) {
            return None;
        }
        self.heap.pop().map(|Reverse(due)| due.2)
    }
}
