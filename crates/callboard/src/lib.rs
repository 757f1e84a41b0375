//! Callboard (news): the committed commands reach every node in order: passed on to a few, gaps mended by
//! digests, whole states where pieces are missing, never back within a life. No I/O: time and events in,
//! effects out.

use props::{Index, Place};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To be replaced by the real set.
    Nothing,
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: Place,
        message: Message,
    },
    /// From this node's own log; the driver has applied it already, and it comes without gaps.
    Committed {
        index: Index,
        data: Vec<u8>,
    },
    /// The driver's state after the entry at `index`, handed on to those that miss pieces; at prompters, from
    /// their log, or at any node, on `NeedWhole`.
    Kept {
        index: Index,
        data: Vec<u8>,
    },
    /// Nodes that are up now; `hubs` are those that order the log.
    Peers {
        hubs: Vec<Place>,
        others: Vec<Place>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: Place,
        message: Message,
    },
    /// The next command, in order and without gaps.
    Apply {
        index: Index,
        data: Vec<u8>,
    },
    /// A state that stands in for all commands up to `index`.
    Restore {
        index: Index,
        data: Vec<u8>,
    },
    /// The driver is asked for its state, answered by `Kept` at once.
    NeedWhole,
}
