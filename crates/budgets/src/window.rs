//! Requests and retries of one service at one gateway, counted in time slots, and whether every sliding window leaves
//! room for one more retry.

use types::Micros;

/// Slots in one window.
const SLOTS_PER_WINDOW: i64 = 50;
/// Slots of tolerance at either end of each window: requests are seen later than clients send them, retries arrive
/// later than they are sent, and a window may begin anywhere in a slot.
const GUARD_SLOTS: i64 = 2;
/// Slots that are kept: two windows back, and the guards.
const KEPT_SLOTS: i64 = 2 * SLOTS_PER_WINDOW + 3 * GUARD_SLOTS + 2;

// The rule allows retries for the requests of the busiest of three windows: the same one, the one before, and the one
// half a window before. A weighted mean of the three is never above their maximum, and unlike the maximum it adds up
// over gateways.
const SAME_WINDOW_WEIGHT: f64 = 0.25;
const PREVIOUS_WINDOW_WEIGHT: f64 = 0.25;
const HALF_WINDOW_BEFORE_WEIGHT: f64 = 0.5;

/// Total count up to the end of each slot, by slot number modulo `KEPT_SLOTS`.
type RunningTotals = [u64; KEPT_SLOTS as usize];

#[derive(Debug)]
pub(crate) struct SlidingWindow {
    slot_length: Micros,
    /// Number of the slot of the last event.
    current_slot: i64,
    requests: RunningTotals,
    retries: RunningTotals,
}

impl SlidingWindow {
    pub fn new(window_length: Micros, now: Micros) -> SlidingWindow {
        let slot_length = (window_length / SLOTS_PER_WINDOW).max(1);
        let current_slot = now.div_euclid(slot_length);
        let no_events = [0; KEPT_SLOTS as usize];
        SlidingWindow { slot_length, current_slot, requests: no_events, retries: no_events }
    }

    pub fn record_request(&mut self, now: Micros) {
        self.advance(now);
        self.requests[index(self.current_slot)] += 1;
    }

    pub fn record_retry(&mut self, now: Micros) {
        self.advance(now);
        self.retries[index(self.current_slot)] += 1;
    }

    /// Whether one more retry at `now` keeps every window that ends now or later within `ratio` x requests + `slack`.
    /// Windows that end later are checked again at each later retry.
    pub fn has_room(&mut self, now: Micros, ratio: f64, slack: f64) -> bool {
        self.advance(now);
        let last = self.current_slot;
        // A window that begins anywhere in slot `first` contains at most the retries of `first` and later, and at
        // least the requests of the slots between the guards.
        (last - SLOTS_PER_WINDOW - GUARD_SLOTS..=last).all(|first| {
            let retries = count_between(&self.retries, first, last) + 1;
            let requests = |start: i64, end: i64| {
                count_between(&self.requests, start + GUARD_SLOTS, (end - GUARD_SLOTS).min(last)) as f64
            };
            let half_window = SLOTS_PER_WINDOW / 2;
            let covering_requests = SAME_WINDOW_WEIGHT * requests(first, first + SLOTS_PER_WINDOW)
                + PREVIOUS_WINDOW_WEIGHT * requests(first - SLOTS_PER_WINDOW, first)
                + HALF_WINDOW_BEFORE_WEIGHT * requests(first - half_window, first + half_window);
            retries as f64 <= ratio * covering_requests + slack
        })
    }

    /// Whether the last event is so long ago that no slot matters any more.
    pub fn is_idle(&self, now: Micros) -> bool {
        now.div_euclid(self.slot_length) - self.current_slot > KEPT_SLOTS
    }

    /// Makes the slot of `now` the current one. Slots since the last event get its totals.
    fn advance(&mut self, now: Micros) {
        let new_slot = now.div_euclid(self.slot_length);
        let last = index(self.current_slot);
        let (requests, retries) = (self.requests[last], self.retries[last]);
        let first_skipped = (self.current_slot + 1).max(new_slot - KEPT_SLOTS + 1);
        for slot in first_skipped..=new_slot {
            (self.requests[index(slot)], self.retries[index(slot)]) = (requests, retries);
        }
        self.current_slot = self.current_slot.max(new_slot);
    }
}

fn index(slot: i64) -> usize {
    slot.rem_euclid(KEPT_SLOTS) as usize
}

/// Events in the slots `first` to `last`, both included.
fn count_between(totals: &RunningTotals, first: i64, last: i64) -> u64 {
    if last < first { 0 } else { totals[index(last)] - totals[index(first - 1)] }
}
