//! Replication of committed commands to the nodes that don't vote on them. Sources, which have the ordered log, push each
//! command to the followers that watch them; followers pass it on to a few others. Gaps are found by digests and closed by
//! pulls, or by a snapshot of the whole state where commands are no longer kept. Within one run a node's index never goes
//! back. Control nodes are sources and gateways are followers. No I/O: time and events go in, effects come out.
//!
//! Commands form a chain in which each names the index of the command before it, since the log has entries that are no
//! commands, so their indices have gaps. A command can be applied where its `prev` is not above the index held and its own
//! `index` is. `docs/replication.md` describes the alternatives that were considered.

mod bytes;
mod freshness;
mod gap;
mod node;
mod pushes;
mod recent;
mod watch;
mod watchers;

pub use gap::{Gap, ReplicationStats};
pub use node::Replicator;
use serde::{Deserialize, Serialize};
use types::{FormatVersion, LogIndex, Micros, NodeAddress, Term};
pub use watch::WatchStats;

/// Commands up to this size are pushed whole. Of larger ones only the index is announced, and receivers pull them.
pub const INLINE_BYTES_MAX: usize = 1_000;
/// Bytes of recent commands kept in memory to close the gaps of other nodes.
pub const RECENT_BYTES_MAX: usize = 512 * 1024;
/// Largest number of peers remembered of each kind.
pub const PEERS_MAX: usize = 512;

/// Where a node gets its commands from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// From its own log, by `Event::Committed` and never from other nodes. It gets no `Effect::Apply`.
    Source,
    /// From other nodes; it gets `Effect::Apply` and `Effect::Restore`.
    Follower,
}

/// A command, with the index of the command before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainedCommand {
    pub prev: LogIndex,
    pub index: LogIndex,
    #[serde(with = "bytes")]
    pub data: Vec<u8>,
}

/// A message between replicators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Commands in order. `fresh` ones were committed just now, and a node to which they are new passes them on. With
    /// `more`, the answer to a pull continues in another message.
    Commands { fresh: bool, more: bool, commands: Vec<ChainedCommand> },
    /// The sender holds everything up to `index`, and its latest command has `latest_bytes` bytes. `fresh` as above; to a
    /// source it is the acknowledgement of a push.
    Digest { index: LogIndex, latest_bytes: u32, fresh: bool },
    /// Asks for the commands after `held`.
    Pull { held: LogIndex },
    /// A whole state, which replaces all commands up to `index`.
    Snapshot {
        index: LogIndex,
        #[serde(with = "bytes")]
        data: Vec<u8>,
    },
    /// Asks a source how old the state that it holds can be at most, and to push to the sender for the next seconds.
    /// Introduced in format version 2.
    FreshnessRequest,
    /// A source's answer: it holds everything up to `index`. Introduced in format version 2.
    FreshnessProof { index: LogIndex, freshness: Freshness },
}

impl Message {
    /// The format version that introduced this message. It must not be sent to a node that reads only older versions.
    pub fn introduced_in(&self) -> FormatVersion {
        match self {
            Message::Commands { .. }
            | Message::Digest { .. }
            | Message::Pull { .. }
            | Message::Snapshot { .. } => FormatVersion::V1,
            Message::FreshnessRequest | Message::FreshnessProof { .. } => FormatVersion(2),
        }
    }
}

/// What a source can prove about the age of the state that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Nothing: it is no voter, and has not followed a leader in this run.
    Unproven,
    /// It is one of `voters` voters and has not followed a leader in this run. Once a majority says so, nothing newer than
    /// what one of them holds can have been committed since.
    JustStarted { voters: u8 },
    /// `age` ago, a majority followed one leader, in `term`; what was committed by then is held here.
    Proven { term: Term, age: Micros },
}

/// Input of `Replicator::step`.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected at `Replicator::due` at the latest.
    Tick,
    Received {
        from: NodeAddress,
        message: Message,
    },
    /// A command of this node's own log. The driver has applied it already; each comes once and in order.
    Committed {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// The driver's state after the entry at `index`, in immediate answer to `Effect::TakeSnapshot`.
    SnapshotTaken {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// The source's own log now has a snapshot in place of all commands up to `index`, from its disk at the start or from a
    /// leader. Later commands build on that snapshot and on nothing older.
    Restored {
        index: LogIndex,
    },
    /// The nodes that are up; `sources` are those that have the ordered log.
    Peers {
        sources: Vec<NodeAddress>,
        others: Vec<NodeAddress>,
    },
    /// Those of the others whose program cannot watch sources (0.6 and older). Each source pushes to its assigned share of
    /// them.
    NonWatching {
        addresses: Vec<NodeAddress>,
    },
    /// Whether probes of several members failed at once, which points to this node's own link. While it does, the node
    /// sends digests more often.
    LinkDegraded {
        degraded: bool,
    },
    /// The source's freshness as of now.
    FreshnessChanged {
        freshness: Freshness,
    },
    /// The leader that this source follows, if that is another node that reads `Message::FreshnessRequest`; given at least
    /// every 200 ms. The leader is asked whether it hears this source.
    FollowsLeader {
        leader: Option<NodeAddress>,
    },
}

/// Output of `Replicator::step`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The node `to` did not answer something that it should have answered. For a while, messages to it should go by stream
    /// rather than by datagram.
    PreferStream {
        to: NodeAddress,
    },
    Send {
        to: NodeAddress,
        message: Message,
    },
    /// The next command, in order and without gaps.
    Apply {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// A whole state, which replaces all commands up to `index`.
    Restore {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// Asks the driver for its state, to be given by `Event::SnapshotTaken` at once.
    TakeSnapshot,
}
