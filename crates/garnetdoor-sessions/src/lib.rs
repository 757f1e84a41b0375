//! Decides on the long-lived WebSocket sessions of a gateway, without I/O.
//!
//! [`Sessions`] has one method for each kind of event. Each takes the current time, changes the state and queues the
//! [`Action`]s that the caller has to carry out; [`Sessions::take_actions`] hands them over in order.
//!
//! The package decides which upgrades are accepted, how many sessions a server and a build on trial may have, and which
//! sessions are closed, in which order and how fast, when a limit is exceeded or a server drains, disappears or falls
//! silent. It also decides what a second upgrade with the same session key means, and which ends count as evidence
//! against a build. Which server an upgrade goes to is decided by `garnetdoor::balance`.

mod end_reason;
pub mod limits;
pub mod share;
pub mod state;
mod types;

pub use end_reason::EndReason;
pub use garnetdoor_websocket::frames::Side;
pub use limits::Limits;
pub use state::Sessions;
pub use types::{
    Action, Admission, ConnectionActivity, Party, Repeatability, SessionId, SessionKey, SideEvent,
    UpgradeRequest,
};
