//! How messages between nodes travel.

/// Messages up to this many bytes go by datagram, unless a datagram is not to be relied on; longer ones by stream.
pub const DATAGRAM_BYTES: usize = 1_200;

/// What carries a message between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// Whole and at most once, or lost: at a full link nearly all are.
    Datagram,
    /// In order and not lost while both ends live, but behind what waits at a full link.
    Stream,
}
