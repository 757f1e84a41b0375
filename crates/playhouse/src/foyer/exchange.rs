//! Exchange (who owns a connection to an instance): explicit states, and the only functions that change them.
//! No I/O: what a look at the socket told goes in, whether the connection may be used comes out.

/// What a connection is. One exchange owns it at a time, and none gets it that is not proved empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nobody's. Whatever came on it so far was asked for and has been read.
    Idle,
    /// One exchange's, which has handed so many bytes to the kernel.
    Lent { written: u64 },
    /// Never used again.
    Closing,
}

/// What lies in a connection's socket, unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    Nothing,
    /// An answer that nobody waits for, or part of one.
    Bytes,
    /// The other side has closed or reset it, or it can't be told.
    Ended,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its request went out whole, its own answer came whole, nothing came behind it, and both sides keep the
    /// connection.
    Clean,
    /// Anything else: given up, cancelled, out of time, reset, another's answer, more than an answer.
    Broken,
}

impl State {
    /// A connection that has just come up: nothing was ever asked on it.
    pub const FRESH: State = State::Idle;

    /// Hands it out, where a look at the socket just now proves it empty.
    #[must_use]
    pub fn lend(self, look: Look) -> State {
        match (self, look) {
            (State::Idle, Look::Nothing) => State::Lent { written: 0 },
            _ => State::Closing,
        }
    }

    /// The kernel took so many bytes. What nobody was lent writes nothing.
    #[must_use]
    pub fn wrote(self, bytes: usize) -> State {
        match self {
            State::Lent { written } => State::Lent { written: written.saturating_add(bytes as u64) },
            State::Idle | State::Closing => State::Closing,
        }
    }

    /// The exchange is over. One that wrote nothing can't have an answer.
    #[must_use]
    pub fn end(self, end: End) -> State {
        match (self, end) {
            (State::Lent { written: 1.. }, End::Clean) => State::Idle,
            _ => State::Closing,
        }
    }

    /// Whether it is known that the other side has heard nothing of this exchange.
    pub fn unheard(self) -> bool {
        self == State::Lent { written: 0 }
    }
}
