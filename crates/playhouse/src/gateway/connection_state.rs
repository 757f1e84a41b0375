//! Exchange (who owns a connection to an instance): explicit states, and the only functions that change them.
//! No I/O: what a look at the socket told goes in, whether the connection may be used comes out.

/// What a connection is. One exchange owns it at a time, and none gets it that is not proved empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nobody's. Whatever came on it so far was asked for and has been read.
    Idle,
    /// One exchange's, which has handed so many bytes to the kernel.
    InUse { written: u64 },
    /// Never used again.
    Closing,
}

/// What lies in a connection's socket, unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    Empty,
    /// An answer that nobody waits for, or part of one.
    Readable,
    /// The other side has closed or reset it, or it can't be told.
    Closed,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// Its request went out whole, its own answer came whole, nothing came behind it, and both sides keep the
    /// connection.
    Clean,
    /// Anything else: balancer_settings up, cancelled, out of time, reset, another's answer, more than an answer.
    Broken,
}

impl ConnectionState {
    /// A connection that has just come up: nothing was ever asked on it.
    pub const NEW: ConnectionState = ConnectionState::Idle;

    /// Hands it out, where a look at the socket just now proves it empty.
    #[must_use]
    pub fn acquire(self, socket: SocketState) -> ConnectionState {
        match (self, socket) {
            (ConnectionState::Idle, SocketState::Empty) => ConnectionState::InUse { written: 0 },
            _ => ConnectionState::Closing,
        }
    }

    /// The kernel took so many bytes. What nobody was lent writes nothing.
    #[must_use]
    pub fn bytes_written(self, bytes: usize) -> ConnectionState {
        match self {
            ConnectionState::InUse { written } => {
                ConnectionState::InUse { written: written.saturating_add(bytes as u64) }
            }
            ConnectionState::Idle | ConnectionState::Closing => ConnectionState::Closing,
        }
    }

    /// The exchange is over. One that wrote nothing can't have an answer.
    #[must_use]
    pub fn finish(self, end: ExchangeEnd) -> ConnectionState {
        match (self, end) {
            (ConnectionState::InUse { written: 1.. }, ExchangeEnd::Clean) => ConnectionState::Idle,
            _ => ConnectionState::Closing,
        }
    }

    /// Whether it is known that the other side has heard nothing of this exchange.
    pub fn is_unsent(self) -> bool {
        self == ConnectionState::InUse { written: 0 }
    }
}
