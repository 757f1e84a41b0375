//! Refusals: requests that were answered without a server's answer, counted by cause, so that the log tells why in a
//! bounded number of lines.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use garnetdoor::host::{Micros, Refusal};

/// The first refusal of a cause is told at once; how many more there were, after so long.
pub const SUMMARY_AFTER: Micros = 1_000_000;

/// Why a request is refused here.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// The decisions refuse it; the address is that of the server that they tell of.
    Decided(Refusal, Option<SocketAddr>),
    /// Its client is one more than there are descriptors for.
    Descriptors,
    /// As many requests are open as settings allow.
    MostOpen,
    /// A session would be one too many, or another opening of it took this one's place.
    Session,
}

impl Cause {
    /// The word for it in log lines.
    fn code(&self) -> &'static str {
        match self {
            Cause::Decided(why, _) => why.cause(),
            Cause::Descriptors => "descriptors",
            Cause::MostOpen => "max-open",
            Cause::Session => "session",
        }
    }

    fn line(&self) -> String {
        let code = self.code();
        match self {
            Cause::Decided(Refusal::TooLate { expected, allowed, in_flight: out, .. }, server) => {
                let server = server.map_or_else(|| "unlisted".to_owned(), |server| server.to_string());
                format!(
                    "refused for={code} server={server} expected_us={expected} allowed_us={allowed} out={out}"
                )
            }
            _ => format!("refused for={code}"),
        }
    }
}

/// What has been refused since the last summary, by cause: how many beside the first.
#[derive(Default)]
pub struct Refusals(BTreeMap<&'static str, u64>);

impl Refusals {
    /// Whether none has been counted since the last summary: with the next one, another summary comes due.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Counts a refusal; the line that tells of it, if it is the first of its cause since the last summary.
    pub fn add(&mut self, cause: &Cause) -> Option<String> {
        let more = self.0.entry(cause.code()).and_modify(|more| *more += 1).or_insert(0);
        (*more == 0).then(|| cause.line())
    }

    /// The lines that tell how many more there were; counting begins anew.
    pub fn summary(&mut self) -> Vec<String> {
        let counted = std::mem::take(&mut self.0).into_iter().filter(|(_, more)| *more > 0);
        counted.map(|(cause, more)| format!("refused for={cause} more={more}")).collect()
    }
}
