//! What bounds sessions: each with its unit, default and range here and nowhere else.

use garnetdoor::host::Micros;

const SECOND: Micros = 1_000_000;

/// The bounds that hold; a reload may change any of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Sessions that stand or are being opened, in all. Two descriptors each.
    pub max_sessions: usize,
    /// The same on one server.
    pub max_per_server: usize,
    /// The same of one party.
    pub max_per_party: usize,
    /// Bytes of one message as it is sent.
    pub max_message_bytes: u64,
    /// A side that has said nothing for so long is pinged.
    pub ping_after: Micros,
    /// A side that has said nothing for so long is gone. More than `ping`.
    pub silence_timeout: Micros,
    /// A side that takes nothing of what waits for it for so long is cut off.
    pub write_timeout: Micros,
    /// A session without a message for so long is closed; `None`: never.
    pub idle_timeout: Option<Micros>,
    /// From a close frame, or the word to send one at the message's end, until the session is cut.
    pub close_timeout: Micros,
    /// A session that its server breaks sooner than this counts as the server's failure.
    pub settle_time: Micros,
    /// Over this the sessions of a draining server are closed, evenly.
    pub drain_period: Micros,
    /// A key that has been taken over may not be again for so long.
    pub takeover_cooldown: Micros,
    /// Least and most of the time after which the turned back may come again.
    pub retry_after_range: (Micros, Micros),
}

/// Of all descriptors, sessions get one in so many at most: plain tickets keep their room whatever is told.
const OF_ALL: usize = 2;
/// Descriptors of a session: its client's and its server's.
const EACH: usize = 2;

impl Limits {
    /// How often the sessions' connections are looked at: often enough for the shortest of the times that rest on
    /// it, and no oftener, since thousands stand idle.
    pub fn activity_check_interval(&self) -> Micros {
        let shortest = self
            .ping_after
            .min(self.write_timeout)
            .min(self.silence_timeout - self.ping_after)
            .min(self.idle_timeout.unwrap_or(Micros::MAX));
        (shortest / 8).clamp(SECOND / 10, 2 * SECOND)
    }

    /// The same with no more sessions than their part of `descriptors` holds, and the descriptors set aside.
    pub fn capped_by_descriptors(mut self, descriptors: usize) -> (Limits, usize) {
        self.max_sessions = self.max_sessions.min(descriptors / OF_ALL / EACH);
        let reserved = self.max_sessions * EACH;
        (self, reserved)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_sessions: 200,
            max_per_server: usize::MAX,
            max_per_party: usize::MAX,
            max_message_bytes: 16 * 1024 * 1024,
            ping_after: 20 * SECOND,
            silence_timeout: 45 * SECOND,
            write_timeout: 10 * SECOND,
            idle_timeout: None,
            close_timeout: 2 * SECOND,
            settle_time: 5 * SECOND,
            drain_period: 10 * SECOND,
            takeover_cooldown: SECOND,
            retry_after_range: (SECOND / 2, 2 * SECOND),
        }
    }
}
