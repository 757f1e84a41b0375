//! RaftNode (replicated log): one elected leader orders all control changes in a log that a majority of
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

pub use book::RaftNode;
pub use leave::ShutdownReadiness;
pub use mark::FingerprintHasher;

use serde::{Deserialize, Serialize};
use types::{CallId, FormatVersion, LogIndex, Micros, NodeAddress, Term, VoterId};

/// Who votes, after some entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(pub Vec<VoterId>);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A new leader's first entry.
    Noop,
    Command(Vec<u8>),
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub index: LogIndex,
    pub term: Term,
    pub payload: EntryPayload,
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
pub struct PersistentState {
    pub term: Term,
    pub voted_for: Option<VoterId>,
    /// Known to be committed when it was written; more may be.
    pub commit_index: LogIndex,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// What a disk holds once a write is on it, whole, as stand-ins of disks carry it out.
    pub fn apply_write(&mut self, write: Write) {
        (self.term, self.voted_for, self.commit_index) = (write.term, write.voted_for, write.commit_index);
        if let Some(from) = write.truncate_from {
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
pub struct WriteId(pub u64);

/// What must be on disk before `Event::Synced` answers it. Writes are carried out in order, each of them whole
/// or not at all. There is at most one under way: the next is made after `Synced` or `WriteFailed`, and
/// holds all that gathered meanwhile, so that a failed one leaves no gap behind it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub id: WriteId,
    pub term: Term,
    pub voted_for: Option<VoterId>,
    /// Entries up to here are known to be committed, and are on disk after this write. It speeds up a start and
    /// promises nothing: any earlier one would do.
    pub commit_index: LogIndex,
    /// Entries from this one on are cut off before `entries` are added.
    pub truncate_from: Option<LogIndex>,
    pub entries: Vec<Entry>,
    /// Replaces the one before; entries up to its index are forgotten.
    pub snapshot: Option<Snapshot>,
}

/// What members say to each other. It is sent to a place; whoever sits there drops what was meant for another
/// life of that place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender is no member, or a member without a leader: it asks to be let in.
    JoinRequest,
    /// Answer to a knock by one that does not lead: who does.
    LeaderHint {
        address: NodeAddress,
    },
    Rpc {
        to: VoterId,
        term: Term,
        rpc: Rpc,
    },
}

impl Message {
    /// The form that brought this word: it is not sent to a node that reads less.
    pub fn min_format(&self) -> FormatVersion {
        match self {
            Message::JoinRequest | Message::LeaderHint { .. } => FormatVersion::V1,
            Message::Rpc { rpc, .. } => rpc.min_format(),
        }
    }
}

/// The words of the protocol; each goes with its sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rpc {
    /// Pre-vote: would you vote for me in this term, which I have not begun yet?
    PreVoteRequest { last_index: LogIndex, last_term: Term },
    /// A grant has the term asked for, a denial that of the answerer.
    PreVoteResponse { granted: bool },
    /// Vote for me in this term. Sent only once the sender's own vote and log are on its disk.
    VoteRequest { last_index: LogIndex, last_term: Term },
    /// A grant is sent only once it is on disk.
    VoteResponse { granted: bool },
    /// Entries after `prev`; `round` proves leadership when it comes back.
    AppendEntries {
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Entry>,
        commit_index: LogIndex,
        round: u64,
    },
    /// The leader is there; answered if it has a round. Without one it only tells what is committed.
    Heartbeat { commit_index: LogIndex, round: Option<u64> },
    /// As in the leader's log: on disk up to `matched`, received up to `got`.
    AppendResponse { match_index: LogIndex, received_index: LogIndex, round: u64 },
    /// There is no such entry as `prev` here; try at `hint`.
    AppendRejected { prev_index: LogIndex, retry_index: LogIndex, round: u64 },
    /// Bytes of a snapshot from `at` on.
    InstallSnapshot {
        last_included_index: LogIndex,
        last_included_term: Term,
        members: Members,
        total_bytes: u64,
        offset: u64,
        data: Vec<u8>,
        round: u64,
    },
    /// So many bytes of that snapshot are here.
    SnapshotProgress { last_included_index: LogIndex, received_bytes: u64, round: u64 },
    /// To a leader of an older term: the sender's term is newer.
    StaleTerm,
    /// The leader leads no more, as it is about to end; `next` is to stand at once, and nobody waits for the
    /// one that goes.
    TransferLeadership { successor: VoterId },
    /// To the leader, from a voter about to end: who else has all up to `last` on disk? Up to there the sender's log is
    /// as the leader's, and it acknowledges nothing beyond.
    ShutdownQuery { last_index: LogIndex },
    /// Answer to that, once enough others have.
    ShutdownApproved { up_to: LogIndex },
}

impl Rpc {
    /// As `Message::since`.
    pub fn min_format(&self) -> FormatVersion {
        match self {
            Rpc::PreVoteRequest { .. }
            | Rpc::PreVoteResponse { .. }
            | Rpc::VoteRequest { .. }
            | Rpc::VoteResponse { .. }
            | Rpc::AppendEntries { .. }
            | Rpc::Heartbeat { .. }
            | Rpc::AppendResponse { .. }
            | Rpc::AppendRejected { .. }
            | Rpc::InstallSnapshot { .. }
            | Rpc::SnapshotProgress { .. }
            | Rpc::StaleTerm
            | Rpc::TransferLeadership { .. } => FormatVersion::V1,
            Rpc::ShutdownQuery { .. } | Rpc::ShutdownApproved { .. } => FormatVersion::V2,
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
        call: CallId,
        data: Vec<u8>,
    },
    /// Answered by `ReadAt` once leadership has been proved, or by `Refused`.
    Read {
        call: CallId,
    },
    Synced {
        write: WriteId,
    },
    WriteFailed {
        write: WriteId,
    },
    /// All places known that serve control, to knock at while this one is no member; the last ones told count.
    Peers {
        addresses: Vec<NodeAddress>,
    },
    /// The driver's state after the entry at `index`, so that entries up to there can go.
    SnapshotTaken {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// A leader's next beat is to prove that it leads, for `RaftNode::proved`; nothing at others.
    ConfirmQuorum,
    /// The process is about to end in order: it never stands again, hands over if it leads, and asks whether others
    /// have on disk what it has: `RaftNode::release` tells. It goes on answering and voting until it ends, and
    /// acknowledges no new entries.
    PrepareShutdown,
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
        call: Option<CallId>,
    },
    /// A snapshot stands in for all commands up to `index`.
    Restore {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// A read may be answered from the state as it is when this effect is reached: all commands up to `index`
    /// were handed out before it.
    ReadReady {
        call: CallId,
        index: LogIndex,
    },
    /// Not done here and never will be by this ask; the leader's place where known (the own one if too much
    /// waits here). `lost`: it was placed in the log, and may still come to be committed.
    Rejected {
        call: CallId,
        leader: Option<NodeAddress>,
        may_commit: bool,
    },
    LeaderChanged {
        leader: Option<VoterId>,
        term: Term,
    },
}

/// Spans that the protocol runs by, in microseconds, and one size in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From one sign of life of a leader to the next, and the wait before something is sent again.
    pub heartbeat_interval: Micros,
    /// A leader that hears from no majority for so long gives up; followers wait for it for this to twice this.
    /// At least three beats.
    pub election_timeout: Micros,
    /// A voter not heard from for so long is dismissed where the rest can spare it: `FaultTolerance::least` are left.
    pub removal_timeout: Micros,
    /// The same where a seat that has caught up waits to take its place. At least an election span.
    pub replacement_timeout: Micros,
    /// How often a seat without a leader knocks.
    pub join_interval: Micros,
    /// What the deployment may lose at once.
    pub fault_tolerance: FaultTolerance,
    /// Most bytes of entries or snapshot in one message; a single entry may be larger. A learner that lacks more is not
    /// let in.
    pub max_chunk_bytes: usize,
}

/// What a deployment may lose at once with all promises kept (`FaultTolerance`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    pub machines: usize,
    /// Zones or regions, and of how many, with all voters that are in them.
    pub domains: (usize, usize),
}

impl FaultTolerance {
    /// Of so many voters, spread evenly.
    pub fn max_losses(self, voters: usize) -> usize {
        let (lost, all) = self.domains;
        self.machines.max((voters * lost.min(all)).div_ceil(all.max(1)))
    }

    /// Fewest voters that a dismissal leaves which nobody asked for, of so many: as many as bear the losses, three at
    /// least. Guards against a cut that makes the core too small for the loss that comes after it.
    pub fn min_voters(self, voters: usize) -> usize {
        (2 * self.max_losses(voters) + 1).max(3)
    }
}
