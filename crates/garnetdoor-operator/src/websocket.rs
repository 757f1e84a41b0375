//! The `websocket` section: upgrades and the limits on their sessions.

use garnetdoor_sessions::Limits;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ConfigError;

const MICROS_PER_MS: i64 = 1_000;
/// The largest number of sessions that can be set; stands for no limit by default.
const MAX_SESSIONS: u64 = 1_000_000;
/// Retry times where the file has none, which its schema excludes.
const FALLBACK_RETRY_AFTER_MICROS: i64 = 1_000;
/// Headers that the gateway writes itself, so that clients must not override them.
const GATEWAY_HEADERS: [&str; 5] = ["host", "connection", "upgrade", "content-length", "transfer-encoding"];
/// Beginnings of further headers that the gateway writes itself.
const GATEWAY_HEADER_PREFIXES: [&str; 2] = ["sec-websocket", "req-"];

/// WebSocket upgrades and their sessions. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Websocket {
    /// The profiles whose paths may be upgraded. Upgrades on other paths are handled as ordinary requests.
    #[schemars(length(min = 1, max = 64))]
    pub profiles: Vec<String>,
    /// The request header with the client's session key, by which it can resume a session. Empty: clients send no key.
    #[schemars(regex(pattern = r"^[A-Za-z0-9-]{0,64}$"))]
    pub key_header: String,
    /// The request header with the party that owns the session, set by a trusted proxy in front of this gateway. Empty:
    /// the client's address is the party.
    #[schemars(regex(pattern = r"^[A-Za-z0-9-]{0,64}$"))]
    pub party_header: String,
    /// Headers of an upgrade request that are passed on to the server unchanged.
    #[schemars(length(max = 16))]
    pub pass_headers: Vec<String>,
    /// Time-out for opening a session where the client's request has none.
    #[schemars(range(min = 50, max = 60000))]
    pub opening_ms: u64,
    /// Largest number of sessions that are open or being opened. Two file descriptors are reserved for each, but at most
    /// half of all file descriptors, whatever is set here.
    #[schemars(range(min = 1, max = 1000000))]
    pub sessions: u64,
    /// Largest number of sessions that are open or being opened on one server.
    #[schemars(range(min = 1, max = 1000000))]
    pub sessions_per_server: u64,
    /// Largest number of sessions that are open or being opened of one party.
    #[schemars(range(min = 1, max = 1000000))]
    pub sessions_per_party: u64,
    /// Largest size of a message in bytes as it is sent, so compressed if it is. A larger one ends its session with close
    /// code 1009.
    #[schemars(range(min = 125, max = 1099511627776_u64))]
    pub message_bytes: u64,
    /// A side from which nothing has been received for this long is pinged.
    #[schemars(range(min = 100, max = 3600000))]
    pub ping_ms: u64,
    /// A side from which nothing has been received for this long counts as gone. More than `ping_ms`.
    #[schemars(range(min = 200, max = 7200000))]
    pub silence_ms: u64,
    /// A side that has read nothing of the data waiting for it for this long is disconnected.
    #[schemars(range(min = 100, max = 600000))]
    pub slow_ms: u64,
    /// A session without a message for this long is closed. 0: never.
    #[schemars(range(min = 0, max = 86400000))]
    pub idle_ms: u64,
    /// Time from the start of closing until a session is aborted. The message under way has to end within it.
    #[schemars(range(min = 50, max = 60000))]
    pub close_ms: u64,
    /// A session whose server disconnects within this time after it opened counts as a failure of the server's build.
    #[schemars(range(min = 100, max = 600000))]
    pub settled_ms: u64,
    /// Sessions of a draining server are closed evenly over this period.
    #[schemars(range(min = 0, max = 3600000))]
    pub drain_ms: u64,
    /// A session key that has been taken over can't be taken over again for this long.
    #[schemars(range(min = 0, max = 60000))]
    pub replace_ms: u64,
    /// Least and greatest time after which a client whose upgrade was rejected may try again.
    #[schemars(length(min = 2, max = 2), inner(range(min = 1, max = 600000)))]
    pub come_back_ms: Vec<u64>,
}

impl Default for Websocket {
    fn default() -> Self {
        let limits = Limits::default();
        let ms = |micros: i64| (micros as u64) / MICROS_PER_MS as u64;
        let count = |limit: usize| (limit as u64).min(MAX_SESSIONS);
        Websocket {
            profiles: Vec::new(),
            key_header: String::new(),
            party_header: String::new(),
            pass_headers: ["Origin", "Cookie", "Authorization"].map(str::to_owned).to_vec(),
            opening_ms: 5_000,
            sessions: count(limits.max_sessions),
            sessions_per_server: count(limits.max_per_server),
            sessions_per_party: count(limits.max_per_party),
            message_bytes: limits.max_message_bytes,
            ping_ms: ms(limits.ping_after),
            silence_ms: ms(limits.silence_timeout),
            slow_ms: ms(limits.write_timeout),
            idle_ms: limits.idle_timeout.map_or(0, ms),
            close_ms: ms(limits.close_timeout),
            settled_ms: ms(limits.settle_time),
            drain_ms: ms(limits.drain_period),
            replace_ms: ms(limits.takeover_cooldown),
            come_back_ms: vec![ms(limits.retry_after_range.0), ms(limits.retry_after_range.1)],
        }
    }
}

impl Websocket {
    /// The limits of this section in the types and units of the sessions package.
    pub fn session_limits(&self) -> Limits {
        let micros = |ms: u64| ms as i64 * MICROS_PER_MS;
        let retry_after =
            |index: usize| self.come_back_ms.get(index).copied().map_or(FALLBACK_RETRY_AFTER_MICROS, micros);
        Limits {
            max_sessions: self.sessions as usize,
            max_per_server: self.sessions_per_server as usize,
            max_per_party: self.sessions_per_party as usize,
            max_message_bytes: self.message_bytes,
            ping_after: micros(self.ping_ms),
            silence_timeout: micros(self.silence_ms),
            write_timeout: micros(self.slow_ms),
            idle_timeout: (self.idle_ms > 0).then_some(micros(self.idle_ms)),
            close_timeout: micros(self.close_ms),
            settle_time: micros(self.settled_ms),
            drain_period: micros(self.drain_ms),
            takeover_cooldown: micros(self.replace_ms),
            retry_after_range: (retry_after(0), retry_after(1)),
        }
    }

    /// The errors that a schema can't express. `profiles` are the known profile names, if available.
    pub(crate) fn check(&self, profiles: Option<&[String]>) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let mut report = |key: &str, found: String, expected: String| {
            errors.push(ConfigError { pointer: format!("/websocket/{key}"), found, expected });
        };
        if self.profiles.is_empty() {
            report("profiles", "nothing".to_owned(), "the name of one profile at least".to_owned());
        }
        for (index, name) in self.profiles.iter().enumerate() {
            if let Some(known) = profiles.filter(|known| !known.contains(name)) {
                let expected = format!("one of {}", known.join(", "));
                report(&format!("profiles/{index}"), format!("{name:?}"), expected);
            }
        }
        for (index, name) in self.pass_headers.iter().enumerate() {
            if !may_pass(name) {
                let expected = "the name of a header that the gateway does not write itself".to_owned();
                report(&format!("pass_headers/{index}"), format!("{name:?}"), expected);
            }
        }
        if self.silence_ms <= self.ping_ms {
            report("silence_ms", self.silence_ms.to_string(), format!("more than ping_ms, {}", self.ping_ms));
        }
        if let [least, greatest] = self.come_back_ms[..]
            && least > greatest
        {
            report("come_back_ms", format!("[{least},{greatest}]"), "the least first".to_owned());
        }
        errors
    }
}

/// Whether a header may be passed on to the server: its name is valid, and the gateway does not write it itself.
fn may_pass(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    let is_valid = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    is_valid
        && !GATEWAY_HEADERS.contains(&name.as_str())
        && !GATEWAY_HEADER_PREFIXES.iter().any(|prefix| name.starts_with(prefix))
}
