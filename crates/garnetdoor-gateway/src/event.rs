//! The reducer's inputs ([`Event`]) and outputs ([`Effect`]).

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use garnetdoor::host::Micros;
use garnetdoor_operator::OperatorConfig;
use garnetdoor_sessions::{ConnectionActivity, SessionId, Side, SideEvent};
use garnetdoor_websocket::frames::MessageLimit;

/// A connection's number. Connections that clients open have even numbers, those that the gateway opens odd
/// ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Whether a client opened it.
    pub fn is_client(self) -> bool {
        self.0.is_multiple_of(2)
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "c{}", self.0)
    }
}

/// Something that has happened outside the reducer.
#[derive(Debug)]
pub enum Event {
    /// A connection is established, whichever side opened it.
    Connected(ConnectionId),
    /// Bytes read from a connection, and when they had arrived.
    Received(ConnectionId, Micros, Vec<u8>),
    /// All bytes that were to be written have been written.
    Written(ConnectionId),
    /// An idle connection had closed or received bytes before a message was written to it; the message is
    /// handed back.
    Stale(ConnectionId, Vec<u8>),
    /// The peer has closed a connection, or it could not be established.
    Closed(ConnectionId),
    /// A datagram from a peer gateway, with its source address.
    Datagram(SocketAddr, Vec<u8>),
    /// Nothing else has happened, but a timer may be due.
    Tick,
    /// The address that a client's connection comes from; sent before its `Connected`, and only if the
    /// reducer wants it.
    ClientAddress(ConnectionId, IpAddr),
    /// Whether the connections of a session have been joined; if not, bytes that were read are still on their
    /// way here.
    Joined(SessionId, bool),
    /// Something that ends, or changes, a session was seen on its connections.
    Session(SessionId, SideEvent),
    /// Samples of the activity on all sessions' connections.
    SessionActivity(Vec<(SessionId, ConnectionActivity)>),
    /// New addresses of the list service and of the platform.
    Reload(SocketAddr, SocketAddr),
    /// New content of the operator file.
    OperatorFile(Box<OperatorConfig>),
    /// The gateway is to stop.
    Stop,
}

/// Something that the driver is to do outside the reducer.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Connect to an address within this time.
    Dial(ConnectionId, SocketAddr, Micros),
    Write(ConnectionId, Vec<u8>),
    /// Write to a connection only if nothing, including its end, has arrived on it that the reducer has not
    /// seen; otherwise close it and report [`Event::Stale`].
    WriteIfIdle(ConnectionId, Vec<u8>),
    /// This many bytes read from the connection are no longer held, so that it may read more.
    Consumed(ConnectionId, usize),
    /// Shut down the sending side once everything has been written.
    ShutdownWrite(ConnectionId),
    Close(ConnectionId),
    /// Close a client's connection only if nothing has arrived that the reducer has not seen; reported as
    /// [`Event::Closed`] if it was closed.
    CloseIfIdle(ConnectionId),
    /// Send a datagram to a peer gateway.
    Datagram(SocketAddr, Vec<u8>),
    /// Join two connections into a session, unless bytes have been read that the reducer has not seen.
    JoinSession(Box<SessionJoin>),
    /// Send both sides of a session a close frame.
    CloseSession(SessionId, Box<SessionClose>),
    /// End a session now; its client gets a close frame with this code if a frame can be sent. If the two
    /// connections were never joined, they are closed.
    AbortSession(SessionId, u16, [ConnectionId; 2]),
    /// Ping one side of a session, with this mask if it is the server.
    Ping(SessionId, Side, [u8; 4]),
    /// Drop what is kept of a session that is over.
    ForgetSession(SessionId),
    /// Report the activity on all sessions' connections, as [`Event::SessionActivity`].
    SampleSessions,
    Log(String),
    StopListening,
    /// End the process.
    Exit,
}

/// Two connections that are to become a session. Arrays are indexed by side: the client's first.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionJoin {
    pub session: SessionId,
    pub connections: [ConnectionId; 2],
    /// What has been read from each connection after its handshake.
    pub already_read: [Vec<u8>; 2],
    pub compressed: bool,
    pub message_limit: MessageLimit,
}

/// How a session closes: the close codes and reasons for client and server, and the mask of the frame to the
/// server.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionClose {
    pub codes: [u16; 2],
    pub reasons: [String; 2],
    pub mask: [u8; 4],
}

macro_rules! close_reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// Why a connection ended; the code is written in its log line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum CloseReason { $($(#[$doc])* $name,)* }

        impl CloseReason {
            /// The reason's code in log lines.
            pub fn code(self) -> &'static str {
                match self { $(CloseReason::$name => $code,)* }
            }
        }
    };
}

close_reasons! {
    /// The peer closed it between messages.
    PeerClosed = "peer-closed",
    /// The client closed it while a request of it was open.
    ClientLeft = "client-left",
    /// It was never established.
    NoConnect = "no-connect",
    /// It broke while a response was expected.
    Broke = "broke",
    /// The peer announced the end of the connection, or was sent such an announcement.
    LastMessage = "last-message",
    Malformed = "malformed",
    TooLarge = "too-large",
    /// A server sent bytes with no request outstanding, or before the whole request was written.
    Unasked = "unasked",
    /// It was idle, and had closed or received bytes before it was to be used.
    Stale = "stale",
    /// The attempt on it timed out.
    TimedOut = "timed-out",
    /// The attempt on it was cancelled.
    Stopped = "stopped",
    /// It was unused for too long.
    Idle = "idle",
    /// Its descriptor was needed for another connection.
    Shed = "shed",
    /// The server is draining or gone, or another process has taken its place: its address, build or start
    /// time differs.
    Unlisted = "unlisted",
    /// A reload has given the service another address.
    Moved = "moved",
    /// The decisions asked for it.
    Asked = "asked",
    /// Nothing arrived for several reporting periods.
    Silent = "silent",
    /// The service refused the call.
    Refused = "refused",
    /// A client connected and sent nothing.
    Mute = "mute",
    /// The peer sent or received its bytes too slowly, or left a message incomplete.
    Slow = "slow",
    Stopping = "stopping",
}
