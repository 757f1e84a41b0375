//! How messages between nodes are carried.

/// Messages of up to this many bytes are sent as datagrams, unless they must not be lost; longer ones are sent by stream.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;

/// What carries a message between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// Delivers a message whole and at most once, or loses it; on a saturated link nearly all are lost.
    Datagram,
    /// Delivers messages in order and without loss while both ends live, but behind what is queued for a saturated link.
    Stream,
}
