//! A replicated log by the Raft algorithm: one elected leader orders all changes of the control state in a log that a
//! majority of the voters has on disk. The package does no I/O: time and events go in, effects come out.
//!
//! Beyond the basic algorithm it has pre-votes, reads that confirm leadership, single-server membership changes, snapshots
//! and leadership transfer; `docs/consensus.md` gives the alternatives and the reasons. What is acknowledged survives killed
//! processes, wiped or full disks, replaced machines, cut links, messages that are lost, duplicated, reordered or late, and
//! leaders that were frozen and don't know that they have been replaced.

mod disk;
mod election;
mod fingerprint;
mod follower;
mod leader;
mod log;
mod membership;
mod quorum_contact;
mod raft_node;
mod shutdown;

pub use fingerprint::FingerprintHasher;
pub use raft_node::RaftNode;
pub use shutdown::ShutdownReadiness;

use serde::{Deserialize, Serialize};
use types::{CallId, FormatVersion, LogIndex, Micros, NodeAddress, Term, VoterId};

/// The voters, as set by some entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(pub Vec<VoterId>);

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader. Committing it commits all entries of earlier terms.
    Noop,
    /// A command for the state machine; its bytes mean nothing to this package.
    Command(Vec<u8>),
    /// A membership change, which takes effect as soon as it is in the log.
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub index: LogIndex,
    pub term: Term,
    pub payload: EntryPayload,
}

/// The state of the state machine after the entry at `index`, in place of all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: LogIndex,
    /// The term of the entry at `index`.
    pub term: Term,
    pub members: Members,
    pub data: Vec<u8>,
}

/// What a disk held when the node started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    pub term: Term,
    pub voted_for: Option<VoterId>,
    /// Entries up to this one were known to be committed when it was written; more may be.
    pub commit_index: LogIndex,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Applies a whole write as a disk does; for simulated disks.
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

/// Identifies a write within one run of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

/// Data that must be on disk before the driver reports `Event::Synced`. Each write must be atomic. At most one is in
/// progress: the next is issued after `Synced` or `WriteFailed` and holds all that has gathered meanwhile, so a failed write
/// leaves no gap behind it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub id: WriteId,
    pub term: Term,
    pub voted_for: Option<VoterId>,
    /// Entries up to this one are known to be committed, and are on disk after this write. It makes a start faster and
    /// promises nothing: any lower index would do.
    pub commit_index: LogIndex,
    /// Entries from this one on are removed before `entries` are added.
    pub truncate_from: Option<LogIndex>,
    pub entries: Vec<Entry>,
    /// Replaces the previous snapshot; entries up to its index are removed.
    pub snapshot: Option<Snapshot>,
}

/// A message between nodes. It is sent to an address; a node that receives an `Rpc` for an earlier disk at its address drops
/// it. The variants are written by position: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The sender is no member, or a member that knows no leader, and asks to join.
    JoinRequest,
    /// Answers a join request where the receiver does not lead: the address of the leader.
    LeaderHint { address: NodeAddress },
    /// A request or response of the Raft protocol, with its sender's term.
    Rpc { to: VoterId, term: Term, rpc: Rpc },
}

impl Message {
    /// The format version that introduced this message. It is not sent to nodes that read only older formats.
    pub fn min_format(&self) -> FormatVersion {
        match self {
            Message::JoinRequest | Message::LeaderHint { .. } => FormatVersion::V1,
            Message::Rpc { rpc, .. } => rpc.min_format(),
        }
    }
}

/// The requests and responses of the Raft protocol. The variants are written by position: new ones go to the end.
///
/// `round` is a number that a leader raises to confirm its leadership: a response returns the round of its request, and so
/// confirms that its sender followed the leader after that round began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rpc {
    /// Asks whether the receiver would vote for the sender in this term, which the sender has not begun yet.
    PreVoteRequest { last_index: LogIndex, last_term: Term },
    /// A granted pre-vote carries the term that was asked for, a denied one the term of its sender.
    PreVoteResponse { granted: bool },
    /// Asks for the receiver's vote. Sent only once the sender's own vote and log are on its disk.
    VoteRequest { last_index: LogIndex, last_term: Term },
    /// A granted vote is sent only once it is on disk.
    VoteResponse { granted: bool },
    /// The entries after `prev_index`.
    AppendEntries {
        prev_index: LogIndex,
        prev_term: Term,
        entries: Vec<Entry>,
        commit_index: LogIndex,
        round: u64,
    },
    /// The leader is alive. It is answered if it has a round; without one it only announces the commit index.
    Heartbeat { commit_index: LogIndex, round: Option<u64> },
    /// The sender's log equals the leader's up to `received_index`, and it is on disk up to `match_index`.
    AppendResponse { match_index: LogIndex, received_index: LogIndex, round: u64 },
    /// The sender has no such entry at `prev_index`; the leader should try again with `retry_index` in its place.
    AppendRejected { prev_index: LogIndex, retry_index: LogIndex, round: u64 },
    /// Bytes of a snapshot, from `offset` on.
    InstallSnapshot {
        last_included_index: LogIndex,
        last_included_term: Term,
        members: Members,
        total_bytes: u64,
        offset: u64,
        data: Vec<u8>,
        round: u64,
    },
    /// How many bytes of the snapshot the sender has.
    SnapshotProgress { last_included_index: LogIndex, received_bytes: u64, round: u64 },
    /// Tells a leader of an older term that the sender's term is newer.
    StaleTerm,
    /// The leader is about to end and has stepped down. The successor is to start an election at once; the other members
    /// don't wait for the old leader.
    TransferLeadership { successor: VoterId },
    /// A voter that is about to end asks the leader whether others have all entries up to `last_index` on disk. Up to there
    /// its log equals the leader's, and it acknowledges nothing beyond.
    ShutdownQuery { last_index: LogIndex },
    /// Answers a `ShutdownQuery` once enough others have the entries.
    ShutdownApproved { up_to: LogIndex },
}

impl Rpc {
    /// As `Message::min_format`.
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

/// What a driver hands to `RaftNode::step`.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of `RaftNode::next_tick_at` has come.
    Tick,
    Received {
        from: VoterId,
        message: Message,
    },
    /// A command to be ordered. Answered by `Apply` with this `call`, or by `Rejected`. Each call gets exactly one answer
    /// within a run of the process.
    Propose {
        call: CallId,
        data: Vec<u8>,
    },
    /// A linearizable read. Answered by `ReadReady` once leadership has been confirmed, or by `Rejected`.
    Read {
        call: CallId,
    },
    /// The write is on disk.
    Synced {
        write: WriteId,
    },
    /// The write failed; it may be on disk whole or not at all.
    WriteFailed {
        write: WriteId,
    },
    /// All known addresses of control nodes, for join requests while this node is no member. Replaces the previous list.
    Peers {
        addresses: Vec<NodeAddress>,
    },
    /// The state of the state machine after the entry at `index`, so that entries up to it can be dropped.
    SnapshotTaken {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// Lets a leader's next heartbeat confirm that a majority follows it, for `RaftNode::quorum_contact`. Other nodes ignore
    /// it.
    ConfirmQuorum,
    /// The process is about to end in order. From now on the node never becomes a candidate, hands over leadership if it has
    /// it, acknowledges no new entries, and asks whether others have on disk what it has: see
    /// `RaftNode::shutdown_readiness`. It goes on answering and voting until it ends.
    PrepareShutdown,
}

/// What a driver must carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: NodeAddress,
        message: Message,
    },
    Write(Write),
    /// A committed command. Commands come in order, each once within a run of the process. `call` is set if it was proposed
    /// here.
    Apply {
        index: LogIndex,
        data: Vec<u8>,
        call: Option<CallId>,
    },
    /// The state machine is to be set to this snapshot, in place of all commands up to `index`.
    Restore {
        index: LogIndex,
        data: Vec<u8>,
    },
    /// The read may be answered from the state as it is when this effect is reached: all commands up to `index` were applied
    /// before it.
    ReadReady {
        call: CallId,
        index: LogIndex,
    },
    /// The call is not done here and never will be under this id. `leader` is the address of the leader if it is known; it is
    /// this node's own if too many calls are pending here. `may_commit`: the command is in the log and may still be
    /// committed.
    Rejected {
        call: CallId,
        leader: Option<NodeAddress>,
        may_commit: bool,
    },
    /// The known leader, or its term, has changed.
    LeaderChanged {
        leader: Option<VoterId>,
        term: Term,
    },
}

/// Time-outs and limits of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of a leader, and before something is sent again.
    pub heartbeat_interval: Micros,
    /// A leader that hears no majority for this long steps down; followers wait for a leader for one to two times this. At
    /// least three heartbeat intervals.
    pub election_timeout: Micros,
    /// A voter that is not heard for this long is removed if the rest can spare it, that is if
    /// `FaultTolerance::min_voters` are left.
    pub removal_timeout: Micros,
    /// The same, if a learner that has caught up is ready to replace it. At least one election timeout.
    pub replacement_timeout: Micros,
    /// How often a node without a leader asks to join.
    pub join_interval: Micros,
    /// What the deployment may lose at once.
    pub fault_tolerance: FaultTolerance,
    /// Most bytes of entries or of a snapshot in one message; a single entry may be larger. A learner that lacks more does
    /// not become a voter.
    pub max_chunk_bytes: usize,
}

/// What a deployment may lose at once without breaking any promise (`FaultTolerance` in the settings).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    pub machines: usize,
    /// The number of zones or regions that may be lost with all their voters, and how many there are.
    pub domains: (usize, usize),
}

impl FaultTolerance {
    /// Most voters that may be lost at once, if they are spread evenly over the zones or regions.
    pub fn max_losses(self, voters: usize) -> usize {
        let (lost, all) = self.domains;
        self.machines.max((voters * lost.min(all)).div_ceil(all.max(1)))
    }

    /// Fewest of `voters` that a removal which nobody requested may leave: as many as tolerate the losses, and at least
    /// three. Otherwise a removal could make the group too small for the next loss.
    pub fn min_voters(self, voters: usize) -> usize {
        (2 * self.max_losses(voters) + 1).max(3)
    }
}
