//! Ownership of a connection to an instance: explicit states and the only functions that change them. No I/O: the
//! caller passes in the state of the socket and learns whether the connection may be used.

/// State of a connection. One exchange owns it at a time, and only a connection that is proved empty is handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Not in use. Everything received so far was an answer to a request and has been read.
    Idle,
    /// In use by one exchange, which has passed this many bytes to the kernel.
    InUse { written: u64 },
    /// Never used again.
    Closing,
}

/// Unread input of a connection's socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    Empty,
    /// An answer that nobody waits for, or part of one.
    Readable,
    /// The peer has closed or reset the connection, or its state is unknown.
    Closed,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The request was sent completely, its own answer was received completely with nothing after it, and both sides
    /// keep the connection open.
    Clean,
    /// Anything else: given up, cancelled, timed out, reset, an answer to another request, or more than one answer.
    Broken,
}

impl ConnectionState {
    /// A new connection, on which no request was ever sent.
    pub const NEW: ConnectionState = ConnectionState::Idle;

    /// Hands out the connection if the socket has just been found empty.
    #[must_use]
    pub fn acquire(self, socket: SocketState) -> ConnectionState {
        match (self, socket) {
            (ConnectionState::Idle, SocketState::Empty) => ConnectionState::InUse { written: 0 },
            _ => ConnectionState::Closing,
        }
    }

    /// Records that the kernel took this many bytes. A write outside an exchange closes the connection.
    #[must_use]
    pub fn bytes_written(self, bytes: usize) -> ConnectionState {
        match self {
            ConnectionState::InUse { written } => {
                ConnectionState::InUse { written: written.saturating_add(bytes as u64) }
            }
            ConnectionState::Idle | ConnectionState::Closing => ConnectionState::Closing,
        }
    }

    /// Ends the exchange. One that wrote nothing cannot have an answer.
    #[must_use]
    pub fn finish(self, end: ExchangeEnd) -> ConnectionState {
        match (self, end) {
            (ConnectionState::InUse { written: 1.. }, ExchangeEnd::Clean) => ConnectionState::Idle,
            _ => ConnectionState::Closing,
        }
    }

    /// Whether it is known that the peer received nothing of this exchange.
    pub fn is_unsent(self) -> bool {
        self == ConnectionState::InUse { written: 0 }
    }
}
