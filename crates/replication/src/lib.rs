//! Replication (of ordered news): the committed commands reach every node in order: passed on to a few, gaps mended by
//! digests, whole states where pieces are missing, never back within a life. No I/O: time and events in,
//! effects out.
//!
//! Commands form a chain of pieces, each naming the index of the command before it, since indices of the log
//! have gaps where entries are no commands. A piece fits where its `prev` is not above what is held and its
//! `index` is. `docs/replication.md` tells the ways that were weighed.

mod bytes;
mod gap;
mod node;
mod proof;
mod pushes;
mod ring;
mod watch;
mod watchers;

pub use gap::{Gap, Stats};
pub use node::Replicator;
use serde::{Deserialize, Serialize};
use types::{FormatVersion, LogIndex, Micros, NodeAddress, Term};
pub use watch::WatchStats;

/// Pieces up to this many bytes are sent unasked; of bigger ones the index is told, and they are asked for.
pub const SMALL_BYTES: usize = 1_000;
/// Bytes of commands kept in memory to mend gaps of others.
pub const RING_BYTES_MAX: usize = 512 * 1024;
/// Peers of each kind taken note of.
pub const PEERS_MAX: usize = 512;

/// Where this node's commands come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Its own log: told by `Committed`, never by others; nothing is applied through here.
    Source,
    /// Others: it gets `Apply` and `Restore`.
    Follower,
}

/// A command, and the index of the command before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    pub prev: LogIndex,
    pub index: LogIndex,
    #[serde(with = "bytes")]
    pub data: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Commands. `fresh` ones were committed just now and are passed on by whom they are new to. With `more`, the
    /// answer to an ask goes on in another message.
    Pieces { fresh: bool, more: bool, pieces: Vec<Piece> },
    /// Digest: all up to `index` is here; the latest command has `weight` bytes. `fresh` as above.
    Have { index: LogIndex, weight: u32, fresh: bool },
    /// Asks for what follows `have`.
    Want { have: LogIndex },
    /// A state that stands in for all commands up to `index`.
    Whole {
        index: LogIndex,
        #[serde(with = "bytes")]
        data: Vec<u8>,
    },
    /// Asks a source how old at most what it holds is, and to be served by it for the next seconds. From form 2 on.
    Prove,
    /// A source's answer: all up to `index` is there. From form 2 on.
    Proof { index: LogIndex, standing: Standing },
}

impl Message {
    /// The form that brought this word: it is not sent to a node that reads less.
    pub fn since(&self) -> FormatVersion {
        match self {
            Message::Pieces { .. } | Message::Have { .. } | Message::Want { .. } | Message::Whole { .. } => {
                FormatVersion::V1
            }
            Message::Prove | Message::Proof { .. } => FormatVersion(2),
        }
    }
}

/// How a source stands to a majority of those who order the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It is no voter, and never followed a leader in this life.
    Unproved,
    /// One of so many voters, and it never followed a leader in this life: where a majority says so, nothing newer
    /// than what one of them holds can have been ordered since.
    Started { voters: u8 },
    /// So long ago a majority followed one leader, in this term, and what was ordered by then is held here.
    Proved { term: Term, age: Micros },
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: NodeAddress,
        message: Message,
    },
    /// From this node's own log; the driver has applied it already, and it comes in order, each command once.
    Committed {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// The driver's state after the entry at `index`, told at once on `NeedWhole`.
    Kept {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// A source's own log has a state in place of all commands up to `index`: from its disk at the start, or
    /// from a leader. What follows builds on it, and on nothing older.
    Restored {
        index: LogIndex,
    },
    /// Nodes that are up now; `hubs` are those that order the log.
    Peers {
        hubs: Vec<NodeAddress>,
        others: Vec<NodeAddress>,
    },
    /// Those of the others whose programs keep no watch (0.6 and older): sources push to shares of them.
    Unwatching {
        places: Vec<NodeAddress>,
    },
    /// Probes of several members failed at once, which tells of this node's own link: it asks what is new more often.
    Strained {
        strained: bool,
    },
    /// How this source stands, as of now.
    Stands {
        standing: Standing,
    },
    /// The leader that this source follows, if that is another node which reads `Message::Prove`; told at least every
    /// 200 ms. It is asked whether it hears this source.
    Follows {
        leader: Option<NodeAddress>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Something that this node should have answered was not: what goes there from here on, for a while, should not be
    /// left to datagrams.
    Insist {
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
    /// A state that stands in for all commands up to `index`.
    Restore {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// The driver is asked for its state, answered by `Kept` at once.
    NeedWhole,
}
