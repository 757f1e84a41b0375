//! Cluster membership after SWIM: periodic probes, indirect probes through other members, suspicion before a member is
//! declared dead, refutation by incarnation numbers, and gossip of every change. No I/O: time and events go in, effects
//! come out.
//!
//! `docs/membership.md` describes the alternatives that were considered and the rules that were settled on.

mod gossip;
mod node;
mod roster;
mod timing;

use std::fmt;

pub use node::Membership;
use serde::{Deserialize, Serialize};
pub use timing::Timing;
use types::{NodeAddress, NodeVersion, RunId};

/// Other members known at once. When the roster is full, dead members and those that left are dropped first; if there are
/// none, newcomers are ignored.
pub const MEMBERS_MAX: usize = 512;
/// Longest zone or name in bytes. The node's own are truncated at its start; updates with longer ones are ignored.
pub const NAME_BYTES_MAX: usize = 100;
/// Upper bound of an encoded message (postcard), so that each fits into one datagram.
pub const MESSAGE_BYTES_MAX: usize = 1_100;
/// Seed addresses kept of those that the driver gives.
pub const SEEDS_MAX: usize = 16;

/// What a node does in the system.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Carries traffic.
    Gateway,
    /// Keeps the ordered, replicated state.
    ControlNode,
}

// The traces of the simulation contain this text, with the names that the roles had before.
impl fmt::Debug for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Gateway => "Foyer",
            Role::ControlNode => "Prompter",
        })
    }
}

/// One run of a node's process, as the node describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub address: NodeAddress,
    /// Drawn when the process starts; another run at the same address is another member.
    pub run_id: RunId,
    pub role: Role,
    pub zone: String,
    pub name: String,
    pub version: NodeVersion,
}

/// What a node believes of a member. `Dead` is withdrawn when the member refutes it; `Left` is final for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl MemberStatus {
    /// Whether the member counts as running: it is probed, asked for indirect probes and sent gossip.
    pub fn is_up(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// Orders the updates about one address: the highest incarnation wins. Raised by the member itself, to refute a suspicion,
/// and by others only so that a newer run ranks above the one that it replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

impl Incarnation {
    pub(crate) fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}

/// Matches an acknowledgement to its probe. The numbers of a run start at a value derived from its run id. Probes with
/// number 0 are not tracked: they only provoke a message from the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeNumber(pub u32);

/// What a node states about another member, or about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub member: Member,
    pub incarnation: Incarnation,
    pub status: MemberStatus,
}

/// A message between members, with the sender's own run and incarnation and piggybacked gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub run_id: RunId,
    pub incarnation: Incarnation,
    pub body: MessageBody,
    pub updates: Vec<MemberUpdate>,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender, described in the updates, asks for the list of members.
    Join,
    /// Carries updates only.
    Gossip,
    /// Asks for an `Ack`. `run_id` is the run that the sender expects at this address.
    Probe { run_id: RunId, number: ProbeNumber },
    /// Answers a probe. `digest` covers all members that are up according to the sender, itself included.
    Ack { number: ProbeNumber, digest: u32 },
    /// Asks the receiver to probe `target` on behalf of the sender.
    IndirectProbe { target: NodeAddress, number: ProbeNumber },
    /// `target` acknowledged the probe that was sent on behalf of the receiver.
    IndirectAck { target: NodeAddress, number: ProbeNumber },
    /// `target` did not acknowledge that probe either, so the fault is not the receiver's own link.
    IndirectNack { target: NodeAddress, number: ProbeNumber },
    /// The sender does not know the receiver's run and asks it to describe itself.
    IdentityRequest,
    /// Digests of the members that are up, by ranges of addresses. For each range that differs, the receiver sends its
    /// members; with `reply_wanted` it also sends its own digests, so that the comparison works in both directions.
    CompareDigests { digests: [u32; 8], reply_wanted: bool },
}

/// Input of `Membership::step`.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected at `Membership::due` at the latest.
    Tick,
    Received {
        from: NodeAddress,
        message: Message,
    },
    /// Addresses of nodes that may know other members. Asked while too few members are known, and from time to time to
    /// heal a partition.
    Seeds {
        addresses: Vec<NodeAddress>,
    },
    /// This node leaves in order. Afterwards it neither answers nor sends anything.
    Leave,
}

/// Output of `Membership::step`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: NodeAddress,
        message: Message,
    },
    /// What this node believes of a member has changed.
    StatusChanged {
        member: Member,
        status: MemberStatus,
    },
}
