//! Promptbook (replicated log): one elected leader orders all control changes in a log that a majority of
//! the core has on disk. No I/O: time and events in, effects out.
//!
//! Raft with pre-votes, led reads and members changed one seat at a time; `docs/promptbook.md` tells what was
//! weighed. Guards against: processes killed, disks wiped or full, machines replaced, links cut, messages lost,
//! doubled, reordered or late, and leaders that were frozen and don't know that they lead no more.

mod book;
mod disk;
mod follow;
mod lead;
mod leave;
mod log;
mod mark;
mod proof;
mod seats;
mod stand;

pub use book::Promptbook;
pub use leave::Release;
pub use mark::Marks;

use serde::{Deserialize, Serialize};
use types::{CallId, FormatVersion, LogIndex, Micros, NodeAddress, Term, VoterId};

/// Who votes, after some entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(pub Vec<VoterId>);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What {
    /// A new leader's first entry.
    Nothing,
    Command(Vec<u8>),
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub index: LogIndex,
    pub term: Term,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: LogIndex,
    pub term: Term,
    pub members: Members,
    pub data: Vec<u8>,
}

/// What a disk held at the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Saved {
    pub term: Term,
    pub voted: Option<VoterId>,
    /// Known to be committed when it was written; more may be.
    pub committed: LogIndex,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl Saved {
    /// What a disk holds once a write is on it, whole, as stand-ins of disks carry it out.
    pub fn land(&mut self, write: Write) {
        (self.term, self.voted, self.committed) = (write.term, write.voted, write.committed);
        if let Some(from) = write.cut_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(write.entries);
        if let Some(snapshot) = write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
    }
}

/// Numbers the writes of one life of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteNo(pub u64);

/// What must be on disk before `Event::Synced` answers it. Writes are carried out in order, each of them whole
/// or not at all. There is at most one under way: the next is made after `Synced` or `WriteFailed`, and
/// holds all that gathered meanwhile, so that a failed one leaves no gap behind it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub no: WriteNo,
    pub term: Term,
    pub voted: Option<VoterId>,
    /// Entries up to here are known to be committed, and are on disk after this write. It speeds up a start and
    /// promises nothing: any earlier one would do.
    pub committed: LogIndex,
    /// Entries from this one on are cut off before `entries` are added.
    pub cut_from: Option<LogIndex>,
    pub entries: Vec<Entry>,
    /// Replaces the one before; entries up to its index are forgotten.
    pub snapshot: Option<Snapshot>,
}

/// What members say to each other. It is sent to a place; whoever sits there drops what was meant for another
/// life of that place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender is no member, or a member without a leader: it asks to be let in.
    Knock,
    /// Answer to a knock by one that does not lead: who does.
    Leader {
        place: NodeAddress,
    },
    Said {
        to: VoterId,
        term: Term,
        word: Word,
    },
}

impl Message {
    /// The form that brought this word: it is not sent to a node that reads less.
    pub fn since(&self) -> FormatVersion {
        match self {
            Message::Knock | Message::Leader { .. } => FormatVersion::V1,
            Message::Said { word, .. } => word.since(),
        }
    }
}

/// The words of the protocol; each goes with its sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// Pre-vote: would you vote for me in this term, which I have not begun yet?
    MayStand { last: LogIndex, last_term: Term },
    /// A grant has the term asked for, a denial that of the answerer.
    MayStood { granted: bool },
    /// Vote for me in this term. Sent only once the sender's own vote and log are on its disk.
    Stand { last: LogIndex, last_term: Term },
    /// A grant is sent only once it is on disk.
    Stood { granted: bool },
    /// Entries after `prev`; `round` proves leadership when it comes back.
    Append { prev: LogIndex, prev_term: Term, entries: Vec<Entry>, commit: LogIndex, round: u64 },
    /// The leader is there; answered if it has a round. Without one it only tells what is committed.
    Beat { commit: LogIndex, round: Option<u64> },
    /// As in the leader's log: on disk up to `matched`, received up to `got`.
    Appended { matched: LogIndex, got: LogIndex, round: u64 },
    /// There is no such entry as `prev` here; try at `hint`.
    Gap { prev: LogIndex, hint: LogIndex, round: u64 },
    /// Bytes of a snapshot from `at` on.
    Piece {
        index: LogIndex,
        index_term: Term,
        members: Members,
        total: u64,
        at: u64,
        data: Vec<u8>,
        round: u64,
    },
    /// So many bytes of that snapshot are here.
    Taken { index: LogIndex, upto: u64, round: u64 },
    /// To a leader of an older term: the sender's term is newer.
    Late,
    /// The leader leads no more, as it is about to end; `next` is to stand at once, and nobody waits for the
    /// one that goes.
    Go { next: VoterId },
    /// To the leader, from a voter about to end: who else has all up to `last` on disk? Up to there the sender's log is
    /// as the leader's, and it acknowledges nothing beyond.
    Leaving { last: LogIndex },
    /// Answer to that, once enough others have.
    Released { upto: LogIndex },
}

impl Word {
    /// As `Message::since`.
    pub fn since(&self) -> FormatVersion {
        match self {
            Word::MayStand { .. }
            | Word::MayStood { .. }
            | Word::Stand { .. }
            | Word::Stood { .. }
            | Word::Append { .. }
            | Word::Beat { .. }
            | Word::Appended { .. }
            | Word::Gap { .. }
            | Word::Piece { .. }
            | Word::Taken { .. }
            | Word::Late
            | Word::Go { .. } => FormatVersion::V1,
            Word::Leaving { .. } | Word::Released { .. } => FormatVersion::V2,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: VoterId,
        message: Message,
    },
    /// To be ordered; answered by `Apply` with this `ask`, or by `Refused`. Each ask gets exactly one answer in
    /// a life of the process.
    Propose {
        ask: CallId,
        data: Vec<u8>,
    },
    /// Answered by `ReadAt` once leadership has been proved, or by `Refused`.
    Read {
        ask: CallId,
    },
    Synced {
        write: WriteNo,
    },
    WriteFailed {
        write: WriteNo,
    },
    /// All places known that serve control, to knock at while this one is no member; the last ones told count.
    Peers {
        places: Vec<NodeAddress>,
    },
    /// The driver's state after the entry at `index`, so that entries up to there can go.
    Kept {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// A leader's next beat is to prove that it leads, for `Promptbook::proved`; nothing at others.
    Prove,
    /// The process is about to end in order: it never stands again, hands over if it leads, and asks whether others
    /// have on disk what it has: `Promptbook::release` tells. It goes on answering and voting until it ends, and
    /// acknowledges no new entries.
    Leave,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: NodeAddress,
        message: Message,
    },
    Write(Write),
    /// A committed command, in order, each once in a life of the process.
    Apply {
        index: LogIndex,
        data: Vec<u8>,
        ask: Option<CallId>,
    },
    /// A snapshot stands in for all commands up to `index`.
    Restore {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// A read may be answered from the state as it is when this effect is reached: all commands up to `index`
    /// were handed out before it.
    ReadAt {
        ask: CallId,
        index: LogIndex,
    },
    /// Not done here and never will be by this ask; the leader's place where known (the own one if too much
    /// waits here). `lost`: it was placed in the log, and may still come to be committed.
    Refused {
        ask: CallId,
        leader: Option<NodeAddress>,
        lost: bool,
    },
    Leader {
        leader: Option<VoterId>,
        term: Term,
    },
}

/// Spans that the protocol runs by, in microseconds, and one size in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From one sign of life of a leader to the next, and the wait before something is sent again.
    pub beat: Micros,
    /// A leader that hears from no majority for so long gives up; followers wait for it for this to twice this.
    /// At least three beats.
    pub election: Micros,
    /// A voter not heard from for so long is dismissed where the rest can spare it: `Losses::least` are left.
    pub dismiss: Micros,
    /// The same where a seat that has caught up waits to take its place. At least an election span.
    pub succeed: Micros,
    /// How often a seat without a leader knocks.
    pub knock: Micros,
    /// What the deployment may lose at once.
    pub losses: Losses,
    /// Most bytes of entries or snapshot in one message; a single entry may be larger. A learner that lacks more is not
    /// let in.
    pub piece: usize,
}

/// What a deployment may lose at once with all promises kept (`FaultTolerance`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    pub machines: usize,
    /// Zones or regions, and of how many, with all voters that are in them.
    pub parts: (usize, usize),
}

impl Losses {
    /// Of so many voters, spread evenly.
    pub fn of(self, voters: usize) -> usize {
        let (lost, all) = self.parts;
        self.machines.max((voters * lost.min(all)).div_ceil(all.max(1)))
    }

    /// Fewest voters that a dismissal leaves which nobody asked for, of so many: as many as bear the losses, three at
    /// least. Guards against a cut that makes the core too small for the loss that comes after it.
    pub fn least(self, voters: usize) -> usize {
        (2 * self.of(voters) + 1).max(3)
    }
}
