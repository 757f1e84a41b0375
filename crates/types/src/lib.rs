//! Plain types that all packages of the system share: addresses and identifiers of nodes, positions in the replicated log,
//! and versions of programs and formats. Nothing here makes a decision.
//!
//! Those with `Serialize` are written by postcard, which stores fields by position: their fields must keep their order.

mod assignment;
mod carrier;
mod format_version;

use std::fmt;
use std::net::Ipv4Addr;

pub use assignment::assigned_share;
pub use carrier::{Carrier, DATAGRAM_MAX_BYTES};
pub use format_version::{FormatRange, FormatVersion, NodeVersion, ProgramVersion};
pub use garnetdoor::host::Micros;
use serde::{Deserialize, Serialize};

/// The address of a node. Ports are not part of it: they are the same on all nodes of a deployment.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeAddress(pub Ipv4Addr);

/// The random id of one run of a process, drawn when it starts, or of one initialisation of a disk.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// A member of the voting core: a node's address together with the id of the disk there. A node that returns with an
/// empty disk is another voter, so nothing that it promised before is expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    pub address: NodeAddress,
    /// Drawn when the disk was initialised.
    pub disk_id: RunId,
}

/// A position in the replicated log; 0 is before the first entry.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogIndex(pub u64);

/// A leader's term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Identifies a call that waits for its answer, within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The version of a configuration; written as eight hexadecimal digits in request and response bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigVersion(pub u32);

impl fmt::Display for NodeAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.address, self.disk_id.0)
    }
}

// Log lines such as `intent: ...` contain the `Debug` text of the next three types, and operators read those lines by the
// names that the types had before.

impl fmt::Debug for NodeAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Place").field(&self.0).finish()
    }
}

impl fmt::Debug for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Life").field(&self.0).finish()
    }
}

impl fmt::Debug for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Index").field(&self.0).finish()
    }
}

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
