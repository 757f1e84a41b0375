//! What a post has carried, for metrics.

use std::cell::Cell;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransportStats {
    pub datagrams_sent: u64,
    /// Not taken by the operating system.
    pub datagrams_refused: u64,
    pub datagrams_received: u64,
    /// Received, and dropped for want of room.
    pub datagrams_dropped: u64,
    pub stream_messages_sent: u64,
}

/// The counts as the parts of a post keep them.
#[derive(Debug, Default)]
pub(crate) struct Counters(Cell<TransportStats>);

impl Counters {
    pub fn count(&self, change: impl FnOnce(&mut TransportStats)) {
        let mut stats = self.0.get();
        change(&mut stats);
        self.0.set(stats);
    }

    pub fn stats(&self) -> TransportStats {
        self.0.get()
    }
}
