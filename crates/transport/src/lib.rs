//! Transports that carry messages between nodes (UDP and TCP, or in memory) and stores that keep data (on
//! disk or in memory). They contain no protocol logic. Every transport and every store passes the contracts
//! in `tests/contracts.rs`.

mod disk;
mod disk_writer;
mod incoming;
mod latest_value_file;
mod memory_store;
mod memory_transport;
mod outgoing;
mod socket_transport;
mod stats;

use std::net::Ipv4Addr;

use tokio::sync::mpsc;
use types::Carrier;

pub use disk::{Directory, DiskStore, FsDirectory};
pub use disk_writer::{DiskWriter, WriteOutcome};
pub use incoming::read_frames;
pub use latest_value_file::LatestValueFile;
pub use memory_store::{Fault, MemoryStore};
pub use memory_transport::{MemoryNetwork, MemoryTransport};
pub use socket_transport::{SocketTransport, TransportLimits};
pub use stats::TransportStats;

/// A complete message, as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// Address of the sending node.
    pub from: Ipv4Addr,
    pub bytes: Vec<u8>,
    /// Whether it came by datagram or by stream.
    pub carrier: Carrier,
}

/// Received messages in order of arrival.
pub type MessageReceiver = mpsc::Receiver<ReceivedMessage>;

/// Carries messages with the guarantees of datagrams: each arrives complete, at most once and in any order.
/// Sending never waits.
pub trait Transport {
    /// Sends a message, or drops it if it can't be sent now. Callers that need an answer have to retry.
    fn send(&self, to: Ipv4Addr, bytes: Vec<u8>);

    /// Like `send`, but by a stream, whatever the length: on a saturated link the message is delayed and not
    /// lost.
    fn send_by_stream(&self, to: Ipv4Addr, bytes: Vec<u8>);
}
