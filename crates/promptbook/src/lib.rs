//! Promptbook (replicated log): one elected leader orders all control changes in a log that a majority of
//! the core has on disk. No I/O: time and events in, effects out.

use props::{Ask, Index, Micros, Place, Seat, Term};
use serde::{Deserialize, Serialize};

/// Who votes, after some entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members(pub Vec<Seat>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// A new leader's first entry.
    Nothing,
    Command(Vec<u8>),
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: Index,
    pub term: Term,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub members: Members,
    pub data: Vec<u8>,
}

/// What a disk held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved {
    pub term: Term,
    pub voted: Option<Seat>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

/// Numbers the writes of one life of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteNo(pub u64);

/// What must be on disk before `Event::Synced` answers it. Writes are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    pub no: WriteNo,
    pub term: Term,
    pub voted: Option<Seat>,
    /// Entries from this one on are cut off before `entries` are added.
    pub cut_from: Option<Index>,
    pub entries: Vec<Entry>,
    /// Replaces the one before; entries up to its index are forgotten.
    pub snapshot: Option<Snapshot>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To be replaced by the real set.
    Nothing,
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: Seat,
        message: Message,
    },
    /// To be ordered; answered by `Apply` with this `ask`, or by `Refused`.
    Propose {
        ask: Ask,
        data: Vec<u8>,
    },
    /// Answered by `ReadAt` once leadership has been proved, or by `Refused`.
    Read {
        ask: Ask,
    },
    Synced {
        write: WriteNo,
    },
    WriteFailed {
        write: WriteNo,
    },
    /// All places known that serve control, to knock at while this one is no member.
    Peers {
        places: Vec<Place>,
    },
    /// The driver's state after the entry at `index`, so that entries up to there can go.
    Kept {
        index: Index,
        data: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: Place,
        message: Message,
    },
    Write(Write),
    /// A committed command, in order, each once in a life of the process.
    Apply {
        index: Index,
        data: Vec<u8>,
        ask: Option<Ask>,
    },
    /// A snapshot stands in for all commands up to `index`.
    Restore {
        index: Index,
        data: Vec<u8>,
    },
    ReadAt {
        ask: Ask,
        index: Index,
    },
    /// Not done here and never will be by this ask; the leader's place where known. `lost`: it was
    /// placed in the log, and may still come to be committed.
    Refused {
        ask: Ask,
        leader: Option<Place>,
        lost: bool,
    },
    Leader {
        leader: Option<Seat>,
        term: Term,
    },
}

/// Spans that the protocol runs by.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub beat: Micros,
    pub election: Micros,
    /// A voter not heard from for so long is dismissed where the rest can spare it.
    pub dismiss: Micros,
    /// Most bytes of entries or snapshot in one message.
    pub piece: usize,
}
