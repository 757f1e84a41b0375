//! Counts requests that were refused without a server's response, by cause, so that the log tells the causes
//! in a bounded number of lines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use garnetdoor::host::{Micros, Refusal};

/// The first refusal of a cause is logged at once; the number of further ones is logged after this time.
pub const SUMMARY_INTERVAL: Micros = 1_000_000;

/// Why a request is refused.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// The decisions refuse it. The address is that of the server that their reason names, if that server is
    /// listed.
    Decided(Refusal, Option<SocketAddr>),
    /// There is no file descriptor left for its client.
    Descriptors,
    /// As many requests are open as the settings allow.
    MaxOpen,
    /// There may be no further session, or another upgrade has replaced this one.
    Session,
}

impl Cause {
    /// The cause's code in log lines.
    fn code(&self) -> &'static str {
        match self {
            Cause::Decided(why, _) => why.cause(),
            Cause::Descriptors => "descriptors",
            Cause::MaxOpen => "max-open",
            Cause::Session => "session",
        }
    }

    fn log_line(&self) -> String {
        let code = self.code();
        match self {
            Cause::Decided(Refusal::TooLate { expected, allowed, in_flight, .. }, server) => {
                let server = server.map_or_else(|| "unlisted".to_owned(), |server| server.to_string());
                format!(
                    "refused for={code} server={server} expected_us={expected} allowed_us={allowed} out={in_flight}"
                )
            }
            _ => format!("refused for={code}"),
        }
    }
}

/// Refusals since the last summary: for each cause, how many there were after the first.
#[derive(Default)]
pub struct Refusals(BTreeMap<&'static str, u64>);

impl Refusals {
    /// Whether none has been counted since the last summary, so that no summary is scheduled.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Counts a refusal; returns its log line if it is the first of its cause since the last summary.
    pub fn add(&mut self, cause: &Cause) -> Option<String> {
        let more = self.0.entry(cause.code()).and_modify(|more| *more += 1).or_insert(0);
        (*more == 0).then(|| cause.log_line())
    }

    /// The log lines with the number of further refusals of each cause. Resets the counts.
    pub fn take_summary(&mut self) -> Vec<String> {
        let counts = std::mem::take(&mut self.0).into_iter().filter(|(_, more)| *more > 0);
        counts.map(|(cause, more)| format!("refused for={cause} more={more}")).collect()
    }
}
