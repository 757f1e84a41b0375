//! Queue (of events in simulated time): the earliest first, and of those at one moment the one that was put in first.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use types::Micros;

struct Slot<E> {
    at: Micros,
    no: u64,
    event: E,
}

impl<E> PartialEq for Slot<E> {
    fn eq(&self, other: &Slot<E>) -> bool {
        (self.at, self.no) == (other.at, other.no)
    }
}
impl<E> Eq for Slot<E> {}
impl<E> PartialOrd for Slot<E> {
    fn partial_cmp(&self, other: &Slot<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Slot<E> {
    fn cmp(&self, other: &Slot<E>) -> Ordering {
        (other.at, other.no).cmp(&(self.at, self.no))
    }
}

pub struct Queue<E> {
    heap: BinaryHeap<Slot<E>>,
    put: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue { heap: BinaryHeap::new(), put: 0 }
    }
}

impl<E> Queue<E> {
    pub fn put(&mut self, at: Micros, event: E) {
        self.put += 1;
        self.heap.push(Slot { at, no: self.put, event });
    }

    /// The next event and its moment.
    pub fn take(&mut self) -> Option<(Micros, E)> {
        self.heap.pop().map(|slot| (slot.at, slot.event))
    }

    /// Events that were ever put in.
    pub fn all(&self) -> u64 {
        self.put
    }
}
