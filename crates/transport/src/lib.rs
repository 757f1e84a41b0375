//! Wings (transports and stores): what carries the words between machines and keeps them on disk. Nothing
//! here decides anything; every transport and every store passes the contracts in `tests/contracts.rs`.

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

/// A message as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    pub from: Ipv4Addr,
    pub bytes: Vec<u8>,
    /// What brought it.
    pub carrier: Carrier,
}

/// What has arrived, in order.
pub type MessageReceiver = mpsc::Receiver<ReceivedMessage>;

/// Carries messages like datagrams: each one whole, once or not at all, in any order, never waiting.
pub trait Transport {
    /// Sends, or drops what can't be sent now. Whoever needs an answer asks again.
    fn send(&self, to: Ipv4Addr, bytes: Vec<u8>);

    /// As `send`, by a stream whatever its length: not lost at a full link, but later.
    fn send_by_stream(&self, to: Ipv4Addr, bytes: Vec<u8>);
}
