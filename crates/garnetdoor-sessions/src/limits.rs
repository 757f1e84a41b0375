//! What bounds sessions: each with its unit, default and range here and nowhere else.

use garnetdoor::host::Micros;

const SECOND: Micros = 1_000_000;

/// The bounds that hold; a reload may change any of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Sessions that stand or are being opened, in all. Two descriptors each.
    pub sessions: usize,
    /// The same on one server.
    pub per_server: usize,
    /// The same of one party.
    pub per_party: usize,
    /// Bytes of one message as it is sent.
    pub message_most: u64,
    /// A side that has said nothing for so long is pinged.
    pub ping: Micros,
    /// A side that has said nothing for so long is gone. More than `ping`.
    pub silence: Micros,
    /// A side that takes nothing of what waits for it for so long is cut off.
    pub slow: Micros,
    /// A session without a message for so long is closed; `None`: never.
    pub idle: Option<Micros>,
    /// From a close frame, or the word to send one at the message's end, until the session is cut.
    pub close: Micros,
    /// A session that its server breaks sooner than this counts as the server's failure.
    pub settled: Micros,
    /// Over this the sessions of a draining server are closed, evenly.
    pub drain: Micros,
    /// A key that has been taken over may not be again for so long.
    pub replace: Micros,
    /// Least and most of the time after which the turned back may come again.
    pub come_back: (Micros, Micros),
}

/// Of all descriptors, sessions get one in so many at most: plain tickets keep their room whatever is told.
const OF_ALL: usize = 2;
/// Descriptors of a session: its client's and its server's.
const EACH: usize = 2;

impl Limits {
    /// How often the sessions' connections are looked at: often enough for the shortest of the times that rest on
    /// it, and no oftener, since thousands stand idle.
    pub fn glances(&self) -> Micros {
        let shortest =
            self.ping.min(self.slow).min(self.silence - self.ping).min(self.idle.unwrap_or(Micros::MAX));
        (shortest / 8).clamp(SECOND / 10, 2 * SECOND)
    }

    /// The same with no more sessions than their part of `descriptors` holds, and the descriptors set aside.
    pub fn within(mut self, descriptors: usize) -> (Limits, usize) {
        self.sessions = self.sessions.min(descriptors / OF_ALL / EACH);
        let reserved = self.sessions * EACH;
        (self, reserved)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sessions: 200,
            per_server: usize::MAX,
            per_party: usize::MAX,
            message_most: 16 * 1024 * 1024,
            ping: 20 * SECOND,
            silence: 45 * SECOND,
            slow: 10 * SECOND,
            idle: None,
            close: 2 * SECOND,
            settled: 5 * SECOND,
            drain: 10 * SECOND,
            replace: SECOND,
            come_back: (SECOND / 2, 2 * SECOND),
        }
    }
}
