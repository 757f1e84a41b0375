//! The limits on sessions and their defaults. Times are in microseconds.

use garnetdoor::host::Micros;

const SECOND: Micros = 1_000_000;

/// The limits in force; a reload may change any of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Sessions that are open or being opened, in all. Each takes two file descriptors.
    pub max_sessions: usize,
    /// Sessions that are open or being opened on one server.
    pub max_per_server: usize,
    /// Sessions that are open or being opened of one party.
    pub max_per_party: usize,
    /// Largest size of a message as it is sent, so compressed if it is.
    pub max_message_bytes: u64,
    /// A side from which nothing has been received for this long is pinged.
    pub ping_after: Micros,
    /// A side from which nothing has been received for this long counts as gone. More than `ping_after`.
    pub silence_timeout: Micros,
    /// A side that has read nothing of the data waiting for it for this long is disconnected.
    pub write_timeout: Micros,
    /// A session without a message for this long is closed; `None`: never.
    pub idle_timeout: Option<Micros>,
    /// Time from the start of closing (a close frame, or the wait for the end of the message ahead of it) until the
    /// session is aborted.
    pub close_timeout: Micros,
    /// A session whose server disconnects within this time after it opened counts as a failure of that server.
    pub settle_time: Micros,
    /// Sessions of a draining server are closed evenly over this period.
    pub drain_period: Micros,
    /// A session key that has been taken over can't be taken over again for this long.
    pub takeover_cooldown: Micros,
    /// Least and greatest time after which a client whose upgrade was rejected may try again.
    pub retry_after_range: (Micros, Micros),
}

/// At most one in this many file descriptors is for sessions, so that ordinary requests keep theirs whatever is
/// configured.
const SESSION_DESCRIPTOR_DIVISOR: usize = 2;
/// File descriptors of a session: one for its client and one for its server.
const DESCRIPTORS_PER_SESSION: usize = 2;

impl Limits {
    /// How often the sessions' connections are checked for activity: often enough for the shortest of the times that
    /// depend on it, and no more often, since thousands of sessions may be idle.
    pub fn activity_check_interval(&self) -> Micros {
        let shortest = self
            .ping_after
            .min(self.write_timeout)
            .min(self.silence_timeout - self.ping_after)
            .min(self.idle_timeout.unwrap_or(Micros::MAX));
        (shortest / 8).clamp(SECOND / 10, 2 * SECOND)
    }

    /// Lowers `max_sessions` to what the sessions' part of all file descriptors allows. Returns the limits and the
    /// number of descriptors reserved for sessions.
    pub fn capped_by_descriptors(mut self, descriptors: usize) -> (Limits, usize) {
        let for_sessions = descriptors / SESSION_DESCRIPTOR_DIVISOR;
        self.max_sessions = self.max_sessions.min(for_sessions / DESCRIPTORS_PER_SESSION);
        let reserved = self.max_sessions * DESCRIPTORS_PER_SESSION;
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
