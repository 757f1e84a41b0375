//! Counters of a socket transport, for metrics.

use std::cell::Cell;

/// Counts since the start of the transport.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransportStats {
    pub datagrams_sent: u64,
    /// Datagrams that the operating system did not accept.
    pub datagrams_refused: u64,
    pub datagrams_received: u64,
    /// Datagrams that were received but dropped because the queue to the receiver was full.
    pub datagrams_dropped: u64,
    pub stream_messages_sent: u64,
}

/// The counters as shared by the tasks of a transport.
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
