//! Requests and further tries of one service at one foyer, in slots, and the room that every sliding window
//! leaves.

use types::Micros;

/// Slots in one span.
const SLOTS: i64 = 50;
/// Slots of room at either end of each window: requests are seen later than clients send them, further tries
/// arrive later than they are sent, and a window begins anywhere in a slot.
const GUARD: i64 = 2;
/// Slots kept: two spans back, and the guards.
const KEPT: i64 = 2 * SLOTS + 3 * GUARD + 2;

/// Weights of the three windows of which the rule takes the one with most requests: that window, the one
/// before, the one half a window before. A weighted mean is never above the largest, and unlike it, it adds
/// up over foyers.
const SAME: f64 = 0.25;
const BEFORE: f64 = 0.25;
const HALF_BEFORE: f64 = 0.5;

#[derive(Debug)]
pub(crate) struct Window {
    slot: Micros,
    /// Number of the current slot.
    current: i64,
    /// Requests and further tries until the end of each slot, by slot number modulo `KEPT`.
    requests: [u64; KEPT as usize],
    spent: [u64; KEPT as usize],
}

impl Window {
    pub fn new(span: Micros, now: Micros) -> Window {
        let slot = (span / SLOTS).max(1);
        let current = now.div_euclid(slot);
        Window { slot, current, requests: [0; KEPT as usize], spent: [0; KEPT as usize] }
    }

    pub fn request(&mut self, now: Micros) {
        self.advance(now);
        self.requests[index(self.current)] += 1;
    }

    pub fn spent(&mut self, now: Micros) {
        self.advance(now);
        self.spent[index(self.current)] += 1;
    }

    /// Whether one more further try at `now` keeps every window that ends now or later within
    /// `ratio` x requests + `slack`. Windows that end later are asked again at each later try.
    pub fn room(&mut self, now: Micros, ratio: f64, slack: f64) -> bool {
        self.advance(now);
        let now = self.current;
        // A window that began anywhere in slot `from` holds at most the tries of `from` and later, and at least
        // the requests of the slots between the guards.
        (now - SLOTS - GUARD..=now).all(|from| {
            let tries = between(&self.spent, from, now) + 1;
            let requests = |first: i64, after: i64| {
                between(&self.requests, first + GUARD, (after - GUARD).min(now)) as f64
            };
            let covered = SAME * requests(from, from + SLOTS)
                + BEFORE * requests(from - SLOTS, from)
                + HALF_BEFORE * requests(from - SLOTS / 2, from + SLOTS / 2);
            tries as f64 <= ratio * covered + slack
        })
    }

    /// Whether nothing in it counts any more.
    pub fn is_idle(&self, now: Micros) -> bool {
        now.div_euclid(self.slot) - self.current > KEPT
    }

    /// Slots between the last event and now end as they were.
    fn advance(&mut self, now: Micros) {
        let now = now.div_euclid(self.slot);
        let last = index(self.current);
        let (requests, spent) = (self.requests[last], self.spent[last]);
        let from = (self.current + 1).max(now - KEPT + 1);
        for slot in from..=now {
            (self.requests[index(slot)], self.spent[index(slot)]) = (requests, spent);
        }
        self.current = self.current.max(now);
    }
}

fn index(slot: i64) -> usize {
    slot.rem_euclid(KEPT) as usize
}

/// What came in slots `first` to `last`.
fn between(until: &[u64; KEPT as usize], first: i64, last: i64) -> u64 {
    if last < first { 0 } else { until[index(last)] - until[index(first - 1)] }
}
