//! Sessions that stand for long, as a gateway keeps and decides on them, without I/O.
//!
//! [`Sessions`] has one method for each thing that can happen; each takes the time, changes the state, and leaves
//! what is to be done in [`Sessions::take_actions`]. What it decides: which upgrades are taken at all, how many sessions
//! may stand on a build on trial and on a server, which are closed when that is exceeded, when a server drains,
//! goes or falls silent, in what order and how fast, what a second opening with the same key means, and which
//! ends are evidence against a build. Which server an upgrade goes to is `garnetdoor::balance`'s to decide.

pub mod limits;
pub mod share;
pub mod state;

pub use garnetdoor_websocket::frames::Side;
pub use limits::Limits;
pub use state::{
    Action, Admission, ConnectionActivity, EndReason, Party, Repeatability, SessionId, SessionKey, Sessions,
    SideEvent, UpgradeRequest,
};
