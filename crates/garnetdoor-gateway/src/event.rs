//! What the reducer is told, and what it asks for.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use garnetdoor::host::Micros;
use garnetdoor_operator::OperatorConfig;
use garnetdoor_sessions::{ConnectionActivity, SessionId, Side, SideEvent};

/// A connection. Those that clients make have even numbers, those that the gateway makes odd ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

impl ConnId {
    /// Whether a client made it.
    pub fn is_client(self) -> bool {
        self.0.is_multiple_of(2)
    }
}

impl fmt::Display for ConnId {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "c{}", self.0)
    }
}

/// What has happened.
#[derive(Debug)]
pub enum Event {
    /// A connection stands, whoever made it.
    Up(ConnId),
    /// Bytes, and when they had come.
    Bytes(ConnId, Micros, Vec<u8>),
    /// All that was asked to be written has been.
    Written(ConnId),
    /// An idle connection was no longer good for what was to be written to it, which comes back.
    Stale(ConnId, Vec<u8>),
    /// The other side has ended a connection, or it could not be made.
    Ended(ConnId),
    Datagram(SocketAddr, Vec<u8>),
    /// Nothing else has happened; a timer may be due.
    Time,
    /// A client's connection comes from there; told ahead of its `Up`, and only where that is asked for.
    From(ConnId, IpAddr),
    /// Whether a session's connections have been joined; if not, something read is still on its way here.
    Joined(SessionId, bool),
    /// What a session's connections have met.
    Session(SessionId, SideEvent),
    /// What the sessions' connections show.
    Glanced(Vec<(SessionId, ConnectionActivity)>),
    /// The list service and the platform have these addresses from now on.
    Reload(SocketAddr, SocketAddr),
    /// The operator file says this from now on.
    Operate(Box<OperatorConfig>),
    /// The gateway shall stop.
    Stop,
}

/// What is to be done outside.
#[derive(Debug, PartialEq)]
pub enum Effect {
    Dial(ConnId, SocketAddr, Micros),
    Write(ConnId, Vec<u8>),
    /// Write to a connection on which nothing has come that the reducer has not seen, its end included; told
    /// as stale and closed otherwise.
    WriteUnused(ConnId, Vec<u8>),
    /// So many bytes of the connection are no longer held.
    Consumed(ConnId, usize),
    /// End the sending side once all is written.
    Finish(ConnId),
    Close(ConnId),
    /// Close a client's connection if nothing has come that the reducer has not seen; told as ended, if so.
    CloseUnused(ConnId),
    Datagram(SocketAddr, Vec<u8>),
    /// Join two connections into a session, if nothing has been read that the reducer has not seen.
    Join(Box<Join>),
    /// Have both sides of a session told that it closes.
    Part(SessionId, Box<Parting>),
    /// End a session now; its client gets a close frame with this code if there is room for one. If its two
    /// connections were never joined they are closed.
    Cut(SessionId, u16, [ConnId; 2]),
    /// Ping a side of a session, with this mask for a server.
    Ping(SessionId, Side, [u8; 4]),
    /// Nothing is left of a session.
    Forget(SessionId),
    /// Tell what all sessions' connections show.
    Glance,
    Log(String),
    StopListening,
    Exit,
}

/// Two connections that become a session. Arrays are by side: the client's first.
#[derive(Clone, Debug, PartialEq)]
pub struct Join {
    pub session: SessionId,
    pub conns: [ConnId; 2],
    /// What has been read of each behind its handshake.
    pub first: [Vec<u8>; 2],
    pub compressed: bool,
    /// Bytes of one message at most.
    pub message_most: u64,
}

/// How a session closes: the codes and reasons for client and server, and the mask of the frame for the server.
#[derive(Clone, Debug, PartialEq)]
pub struct Parting {
    pub codes: [u16; 2],
    pub reasons: [String; 2],
    pub mask: [u8; 4],
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// Why a connection ended; the code stands in its log line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            /// The word for it in log lines.
            pub fn code(self) -> &'static str {
                match self { $(Reason::$name => $code,)* }
            }
        }
    };
}

reasons! {
    /// The other side closed it between messages.
    PeerClosed = "peer-closed",
    /// The client closed it with a ticket open.
    ClientLeft = "client-left",
    /// It never came up.
    NoConnect = "no-connect",
    /// It broke while an answer was awaited.
    Broke = "broke",
    /// The other side announced its end, or was told of it.
    LastMessage = "last-message",
    Malformed = "malformed",
    TooLarge = "too-large",
    /// A server spoke with nothing asked, or before it was asked all.
    Unasked = "unasked",
    /// It was idle and had ended, or spoken, when it was to be used.
    Stale = "stale",
    /// The trip was given up.
    TimedOut = "timed-out",
    Stopped = "stopped",
    /// It stood unused for long.
    Idle = "idle",
    /// Room was needed.
    Shed = "shed",
    /// The server drains, has gone, or is another process by its address, build or start.
    Unlisted = "unlisted",
    /// A reload has given the service another address.
    Moved = "moved",
    /// The decisions asked for it.
    Asked = "asked",
    /// Nothing came for several periods.
    Silent = "silent",
    /// The service refused the call.
    Refused = "refused",
    /// A client came and said nothing.
    Mute = "mute",
    /// The other side took or sent its bytes too slowly, or left a message half done.
    Slow = "slow",
    Stopping = "stopping",
}
