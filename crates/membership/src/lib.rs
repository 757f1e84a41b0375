//! Company (membership): nodes know each other by probes in turn, second opinions, suspicion before removal,
//! refutation and lives. No I/O: time and events in, effects out.
//!
//! `docs/company.md` tells the ways that were weighed and the rules that were settled.

mod news;
mod node;
mod roster;
mod timing;

pub use node::Company;
use serde::{Deserialize, Serialize};
pub use timing::Timing;
use types::{NodeAddress, NodeVersion, RunId};

/// Members known at once; the dead and gone make room first, then newcomers are not taken in.
pub const MEMBERS_MAX: usize = 512;
/// Bytes of a zone or a name; longer ones are cut at the start and refused from others.
pub const NAME_BYTES_MAX: usize = 100;
/// No message is longer on the wire (postcard), so each fits into one datagram.
pub const MESSAGE_BYTES_MAX: usize = 1_100;
/// Seeds kept of those the driver tells.
pub const SEEDS_MAX: usize = 16;

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    Foyer,
    Prompter,
}

/// One life of a node, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub place: NodeAddress,
    pub life: RunId,
    pub part: Part,
    pub zone: String,
    pub name: String,
    pub edition: NodeVersion,
}

/// What is held of a member. `Dead` is withdrawn when the member refutes it; `Left` is final for a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl Standing {
    /// Is it still probed, asked and told of news?
    pub fn up(self) -> bool {
        matches!(self, Standing::Alive | Standing::Suspect)
    }
}

/// Orders what is said of one place: the higher one holds. Only raised, by the member or for a newer life of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

impl Incarnation {
    pub(crate) fn above(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}

/// Ties an answer to its probe within one life, which begins at a number drawn from it; 0 asks for nothing but a
/// sign of life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Number(pub u32);

/// What one node says of another, or of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    pub member: Member,
    pub incarnation: Incarnation,
    pub standing: Standing,
}

/// A message: who speaks, what for, and news that ride along.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub life: RunId,
    pub incarnation: Incarnation,
    pub talk: Talk,
    pub news: Vec<Rumor>,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Talk {
    /// A newcomer, named in the news, asks for the members.
    Join,
    /// Nothing but the news.
    News,
    /// Are you there? `life` is whom the sender expects.
    Probe { life: RunId, number: Number },
    /// Yes. `sum` is the digest of all living members known there.
    Answer { number: Number, sum: u32 },
    /// Second opinion: probe that one for me.
    AskFor { place: NodeAddress, number: Number },
    /// It answered me.
    Vouch { place: NodeAddress, number: Number },
    /// It did not answer me either (so the silence is not the asker's own).
    Doubt { place: NodeAddress, number: Number },
    /// I don't know your life: tell your name.
    Who,
    /// Digests of the living members by ranges of places; where they differ, the members are told.
    Compare { sums: [u32; 8], back: bool },
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: NodeAddress,
        message: Message,
    },
    /// Places that may know others; asked while too few are known, and now and then to heal a split.
    Seeds {
        places: Vec<NodeAddress>,
    },
    /// This node ends in order. Nothing is answered or sent afterwards.
    Leave,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send { to: NodeAddress, message: Message },
    Changed { member: Member, standing: Standing },
}
