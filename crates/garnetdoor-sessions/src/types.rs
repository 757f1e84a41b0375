//! The requests, events and actions that are exchanged with [`Sessions`](crate::Sessions).

use std::fmt;
use std::rc::Rc;

use garnetdoor::host::{BuildNo, Micros, ProfileId, ServerId};
use garnetdoor_websocket::frames::Side;

use crate::end_reason::EndReason;

/// A session's id within its gateway. Later sessions have higher ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

impl fmt::Display for SessionId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "w{}", self.0)
    }
}

/// Who owns a session, for limits and for keys: a client address, or the value of a trusted header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Party(pub Rc<str>);

/// The name that a client gives its session so that it can resume it on a new connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub Rc<str>);

/// Whether a profile's upgrade may run more than once on the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Running it again does no harm.
    Repeatable,
    /// It has an effect of its own, so it must not run twice.
    NotRepeatable,
}

/// An upgrade that asks to become a session.
#[derive(Clone, Debug)]
pub struct UpgradeRequest {
    pub profile: ProfileId,
    pub repeatability: Repeatability,
    pub party: Party,
    pub key: Option<SessionKey>,
}

/// The answer to an [`UpgradeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    Accepted(SessionId),
    /// Nothing was sent to a server, so the client may safely try again after `retry_after`.
    Rejected {
        reason: EndReason,
        retry_after: Micros,
    },
}

/// Something that the caller has to do. Close codes are those of RFC 6455, section 7.4.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The upgrade failed before it became a session: answer its client finally and abandon its attempts.
    AbandonOpening { session: SessionId, retry_after: Micros },
    /// Send a close frame to each side once the message under way to it ends.
    Close {
        session: SessionId,
        reason: EndReason,
        /// The close code for the client.
        client_code: u16,
        /// The close code for the server.
        server_code: u16,
        /// How long the client is told to wait before it connects again, if it should.
        reconnect_after: Option<Micros>,
    },
    /// End both connections now; the client gets a close frame first if no frame towards it is incomplete.
    Abort { session: SessionId, reason: EndReason, client_code: u16 },
    /// Send a ping to this side.
    Ping(SessionId, Side),
    /// The session has ended and is forgotten.
    Ended {
        session: SessionId,
        reason: EndReason,
        /// Time since the session opened.
        lifetime: Micros,
    },
    /// Count the session as a success or a failure of its build.
    RecordOutcome { server: ServerId, build: BuildNo, profile: ProfileId, failed: bool },
}

/// What has been observed on the two connections of a session. Arrays are indexed by `Side as usize`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// When something was last received from each side.
    pub last_received: [Micros; 2],
    /// Since when data has been waiting that this side does not read.
    pub write_blocked_since: [Option<Micros>; 2],
    /// When a part of a message was last relayed, in either direction.
    pub last_message: Micros,
}

/// Something that one side's connection did to end the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SideEvent {
    /// This side sent a close frame, with a close code if it had one.
    CloseFrame(Side, Option<u16>),
    /// This side sent an invalid frame and is told this close code.
    InvalidFrame(Side, u16),
    /// This side's connection has ended.
    Disconnected(Side),
}
