//! The section on WebSocket.

use garnetdoor_sessions::Limits;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ConfigError;

/// WebSocket upgrades and their sessions. Times are whole milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Websocket {
    /// The profiles whose paths may be upgraded; an upgrade elsewhere is an ordinary ticket.
    #[schemars(length(min = 1, max = 64))]
    pub profiles: Vec<String>,
    /// The header by which a client names its session, so that it can take it up again; empty: none does.
    #[schemars(regex(pattern = r"^[A-Za-z0-9-]{0,64}$"))]
    pub key_header: String,
    /// A header that says whose the session is, set by something trusted ahead of this gateway; empty: the
    /// client's address says it.
    #[schemars(regex(pattern = r"^[A-Za-z0-9-]{0,64}$"))]
    pub party_header: String,
    /// Headers of an upgrade that go to the server as they are.
    #[schemars(length(max = 16))]
    pub pass_headers: Vec<String>,
    /// How long an opening may take where the client does not say.
    #[schemars(range(min = 50, max = 60000))]
    pub opening_ms: u64,
    /// Sessions that stand or are being opened. Two descriptors each are set aside for them; at most half of all
    /// descriptors are, whatever is told here.
    #[schemars(range(min = 1, max = 1000000))]
    pub sessions: u64,
    /// The same on one server.
    #[schemars(range(min = 1, max = 1000000))]
    pub sessions_per_server: u64,
    /// The same of one party.
    #[schemars(range(min = 1, max = 1000000))]
    pub sessions_per_party: u64,
    /// Bytes of one message as it is sent; a larger one ends its session with 1009.
    #[schemars(range(min = 125, max = 1099511627776_u64))]
    pub message_bytes: u64,
    /// A side that has said nothing for so long is pinged.
    #[schemars(range(min = 100, max = 3600000))]
    pub ping_ms: u64,
    /// A side that has said nothing for so long is gone; more than `ping_ms`.
    #[schemars(range(min = 200, max = 7200000))]
    pub silence_ms: u64,
    /// A side that takes nothing of what waits for it for so long is cut off.
    #[schemars(range(min = 100, max = 600000))]
    pub slow_ms: u64,
    /// A session without a message for so long is closed; 0: none is.
    #[schemars(range(min = 0, max = 86400000))]
    pub idle_ms: u64,
    /// From the word to close until a session is cut; the message under way has so long to end.
    #[schemars(range(min = 50, max = 60000))]
    pub close_ms: u64,
    /// A session that its server breaks sooner than this counts as its build's failure.
    #[schemars(range(min = 100, max = 600000))]
    pub settled_ms: u64,
    /// Over this the sessions of a draining server are closed, evenly.
    #[schemars(range(min = 0, max = 3600000))]
    pub drain_ms: u64,
    /// A key that has been taken over may not be again for so long.
    #[schemars(range(min = 0, max = 60000))]
    pub replace_ms: u64,
    /// Least and most of the time after which those who are turned back may come again.
    #[schemars(length(min = 2, max = 2), inner(range(min = 1, max = 600000)))]
    pub come_back_ms: Vec<u64>,
}

impl Default for Websocket {
    fn default() -> Self {
        let limits = Limits::default();
        let ms = |micros: i64| micros as u64 / 1_000;
        let count = |most: usize| (most as u64).min(1_000_000);
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
    /// The limits as the sessions keep them.
    pub fn session_limits(&self) -> Limits {
        let micros = |ms: u64| ms as i64 * 1_000;
        let ends = |at: usize| self.come_back_ms.get(at).copied().map_or(1_000, micros);
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
            retry_after_range: (ends(0), ends(1)),
        }
    }

    /// What is wrong that a schema can't say.
    pub(crate) fn faults(&self, profiles: Option<&[String]>) -> Vec<ConfigError> {
        let mut faults = Vec::new();
        let mut fault = |key: &str, found: String, expected: String| {
            faults.push(ConfigError { pointer: format!("/websocket/{key}"), found, expected });
        };
        if self.profiles.is_empty() {
            fault("profiles", "nothing".to_owned(), "the name of one profile at least".to_owned());
        }
        for (at, name) in self.profiles.iter().enumerate() {
            if let Some(known) = profiles.filter(|known| !known.contains(name)) {
                fault(&format!("profiles/{at}"), format!("{name:?}"), format!("one of {}", known.join(", ")));
            }
        }
        for (at, name) in self.pass_headers.iter().enumerate() {
            // What the gateway words itself may not be overruled by a client.
            let own = ["host", "connection", "upgrade", "content-length", "transfer-encoding"];
            let lower = name.to_ascii_lowercase();
            let plain = !lower.is_empty() && lower.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            if !plain
                || own.contains(&lower.as_str())
                || lower.starts_with("sec-websocket")
                || lower.starts_with("req-")
            {
                let expected = "a header's name that the gateway does not word itself".to_owned();
                fault(&format!("pass_headers/{at}"), format!("{name:?}"), expected);
            }
        }
        if self.silence_ms <= self.ping_ms {
            fault("silence_ms", self.silence_ms.to_string(), format!("more than ping_ms, {}", self.ping_ms));
        }
        if let [least, most] = self.come_back_ms[..]
            && least > most
        {
            fault("come_back_ms", format!("[{least},{most}]"), "the least first".to_owned());
        }
        faults
    }
}
