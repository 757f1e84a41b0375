//! Intent (what the operators set, and whether each gateway does it): digests of an intent by part, witnesses
//! at the nodes, a judge at the leader, and remedies. No I/O: time and events in, effects out.
//!
//! `docs/intent.md` tells the ways that were weighed, the states, the bounds and their error rates. All times
//! are of a steady clock; no time of day is used anywhere.

pub mod inspector;
pub mod judge;
pub mod parts;
pub mod remedy;
pub mod usher;
pub mod ward;
pub mod witness;

pub use inspector::Inspector;
pub use judge::{Judge, State};
pub use parts::{Act, Digest, Intent, Part, RouteKey, ServiceKey, Took};
pub use remedy::{Fence, Remedy, Step};
use serde::{Deserialize, Serialize};
use types::{LogIndex, Micros, NodeAddress, RunId};
pub use usher::Usher;
pub use ward::Ward;
pub use witness::{Report, Witness};

/// Nodes that are watched at once; several times the largest fleet.
pub const NODES_MAX: usize = 1024;

/// What a node says of itself, unasked: with the probes that run anyway, and at once after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub life: RunId,
    pub index: LogIndex,
    /// `Digest::root` of what it holds to be in force.
    pub root: u64,
}

/// What a node holds, read back from the tables that its traffic uses, and salted with the asker's nonce: an
/// answer that was prepared, kept or copied before the question can't fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub life: RunId,
    pub nonce: u64,
    pub index: LogIndex,
    pub sums: [u32; Part::COUNT],
}

/// What nodes and the leader say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    Claim(Claim),
    Held(Held),
    Report(Report),
    /// What do you hold?
    Challenge {
        nonce: u64,
    },
    /// Look at that one, and tell.
    Ask {
        of: NodeAddress,
    },
    Order {
        life: RunId,
        fence: Fence,
        step: Step,
    },
}

/// The spans and error rates of the check. All follow from `apply` (`ConfigApplyS`): the only one that a
/// deployment sets.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Within it every node in touch has to act by a new intent.
    pub apply: Micros,
    /// Nothing that a node does is held against it sooner after a witness has applied the intent itself.
    pub settle: Micros,
    /// One that says itself that it is behind has so long from the commit.
    pub late: Micros,
    /// A node from which nothing is heard for so long is unknown, and begins anew when it is heard.
    pub silence: Micros,
    /// A judge that was not woken for so long (frozen, or its clock leapt) begins all spans anew.
    pub stall: Micros,
    /// The most of an honest node's effects that look wrong, by races and mixed-up answers; an assumption.
    pub noise: f64,
    /// The smallest share of wrong effects that is to be found: one worker of four.
    pub share: f64,
    /// Height of the evidence, in nats, that judges: a false judgement per part and restart of the statistic
    /// in e^16, that is 9 million.
    pub height: f64,
    /// At most so much of it is one witness's: two effects' worth, so that none judges alone.
    pub cap: f64,
    /// Evidence for today's intent that brings a node back: wrong in one of a hundred.
    pub shown: f64,
    /// Witnesses of each node after each change.
    pub witnesses: usize,
    /// Times that each of them looks: with 3 x 4 connections, one of two stuck workers stays unseen in one of
    /// 4096.
    pub rounds: usize,
    /// Opinions without which nobody is judged by deeds, where the fleet has as many others.
    pub opinions: usize,
    /// Between two looks at a neighbour while nothing changes.
    pub calm: Micros,
}

impl Tuning {
    pub fn of_apply(apply: Micros) -> Tuning {
        Tuning {
            apply,
            settle: apply * 3 / 10,
            late: apply * 7 / 10,
            silence: apply * 8 / 10,
            stall: apply * 4 / 10,
            noise: 0.001,
            share: 0.25,
            height: 16.0,
            cap: 11.2,
            shown: 4.6,
            witnesses: 3,
            rounds: 4,
            opinions: 4,
            calm: 10 * types::SECOND,
        }
    }
}

/// A well-mixed number of two; for shares and salts, not against a foe.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    x ^ (x >> 32)
}
