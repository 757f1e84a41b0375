//! Wings (transports and stores): what carries the words between machines and keeps them on disk. Nothing
//! here decides anything; every transport and every store passes the contracts in `tests/contracts.rs`.

mod disk;
mod hand;
mod incoming;
mod memory_post;
mod memory_store;
mod note;
mod outgoing;
mod post;
mod stats;

use std::net::Ipv4Addr;

use tokio::sync::mpsc;
use types::Carrier;

pub use disk::{DirFolder, DiskStore, Folder};
pub use hand::{DiskHand, Done};
pub use incoming::frames;
pub use memory_post::{MemoryHall, MemoryPost};
pub use memory_store::{Fault, MemoryStore};
pub use note::NoteHand;
pub use post::{Post, PostLimits};
pub use stats::PostStats;

/// A message as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrived {
    pub from: Ipv4Addr,
    pub bytes: Vec<u8>,
    /// What brought it.
    pub carrier: Carrier,
}

/// What has arrived, in order.
pub type Incoming = mpsc::Receiver<Arrived>;

/// Carries messages like datagrams: each one whole, once or not at all, in any order, never waiting.
pub trait Transport {
    /// Sends, or drops what can't be sent now. Whoever needs an answer asks again.
    fn send(&self, to: Ipv4Addr, bytes: Vec<u8>);

    /// As `send`, by a stream whatever its length: not lost at a full link, but later.
    fn send_by_stream(&self, to: Ipv4Addr, bytes: Vec<u8>);
}
