//! The limits that clients are held to, and what was refused or closed by them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

use configuration::Limits;
use tokio::sync::watch;
use types::{ConfigVersion, MS, Micros, SECOND};

// Operators filter log lines by this name, which is older than the module's.
const LOG_TARGET: &str = "playhouse::foyer::front";

/// Limits before the first configuration, when every request is rejected without its body being read.
const INITIAL_LIMITS: Limits = Limits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 0,
    header_timeout: 3 * SECOND,
    idle_timeout: 15 * SECOND,
};

/// Limits with the configuration that they come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    pub limits: Limits,
    /// The configuration that brought them; later ones left them as they are. 0 before the first.
    pub version: ConfigVersion,
}

impl ClientLimits {
    pub const INITIAL: ClientLimits = ClientLimits { limits: INITIAL_LIMITS, version: ConfigVersion(0) };
}

/// A setting that bounds what a client may send or how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Setting {
    MaxHeaderBytes,
    MaxBodyBytes,
    HeaderTimeout,
    IdleTimeout,
    /// The time-out of the request's route, or the time that its client allows.
    Timeout,
}

impl Setting {
    /// Its name in a configuration.
    pub fn name(self) -> &'static str {
        match self {
            Setting::MaxHeaderBytes => "MaxHeaderBytes",
            Setting::MaxBodyBytes => "MaxBodyBytes",
            Setting::HeaderTimeout => "HeaderTimeoutS",
            Setting::IdleTimeout => "IdleTimeoutS",
            Setting::Timeout => "TimeoutS",
        }
    }

    /// The settings of `limits` by name, bytes and seconds.
    pub fn values(limits: &Limits) -> [(&'static str, f64); 4] {
        [
            (Setting::MaxHeaderBytes.name(), limits.max_header_bytes as f64),
            (Setting::MaxBodyBytes.name(), limits.max_body_bytes as f64),
            (Setting::HeaderTimeout.name(), seconds(limits.header_timeout)),
            (Setting::IdleTimeout.name(), seconds(limits.idle_timeout)),
        ]
    }
}

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionEnd {
    /// The client closed it, or the last answer said that it ends.
    InOrder,
    /// Reset, or broken off within a request or an answer.
    Broken,
    /// What the client sent is not HTTP.
    Malformed,
    HeaderTooLarge,
    HeaderTimeout,
    IdleTimeout,
    /// The client took nothing of its answer for as long as it may be idle.
    UnreadAnswer,
    /// It had no request, and others needed its descriptor.
    MakingRoom,
    /// The gateway is told to end.
    Stopping,
}

impl ConnectionEnd {
    /// The value of the label `cause`.
    pub fn label(self) -> &'static str {
        match self {
            ConnectionEnd::InOrder => "in-order",
            ConnectionEnd::Broken => "broken",
            ConnectionEnd::Malformed => "malformed",
            ConnectionEnd::HeaderTooLarge => "header-too-large",
            ConnectionEnd::HeaderTimeout => "header-timeout",
            ConnectionEnd::IdleTimeout => "idle-timeout",
            ConnectionEnd::UnreadAnswer => "unread-answer",
            ConnectionEnd::MakingRoom => "making-room",
            ConnectionEnd::Stopping => "stopping",
        }
    }

    /// The cause, from what made this gateway close the connection and from hyper's result.
    pub fn of(closed_for: Option<ConnectionEnd>, result: &hyper::Result<()>) -> ConnectionEnd {
        match (closed_for, result) {
            (_, Err(error)) if error.is_parse_too_large() => ConnectionEnd::HeaderTooLarge,
            (Some(cause), _) => cause,
            (None, Ok(())) => ConnectionEnd::InOrder,
            (None, Err(error)) if error.is_parse() => ConnectionEnd::Malformed,
            (None, Err(_)) => ConnectionEnd::Broken,
        }
    }
}

/// The limits that were applied to a request or connection, beside the configuration that requests are routed by.
#[derive(Clone, Copy, Debug)]
pub struct Applied {
    pub limits: ClientLimits,
    pub in_force: ConfigVersion,
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "limits of version {}, in force {}", self.limits.version, self.in_force)
    }
}

/// Counts and logs what was refused or closed by a limit, since the start.
#[derive(Debug, Default)]
pub struct LimitLog {
    refused: RefCell<BTreeMap<Setting, u64>>,
    ended: RefCell<BTreeMap<ConnectionEnd, u64>>,
}

impl LimitLog {
    /// Refused requests by the setting that they went over.
    pub fn refused(&self) -> Vec<(&'static str, u64)> {
        self.refused.borrow().iter().map(|(setting, count)| (setting.name(), *count)).collect()
    }

    /// Ended connections by cause.
    pub fn ended(&self) -> Vec<(&'static str, u64)> {
        self.ended.borrow().iter().map(|(cause, count)| (cause.label(), *count)).collect()
    }

    fn count_refused(&self, setting: Setting) {
        *self.refused.borrow_mut().entry(setting).or_default() += 1;
    }

    /// A body of more than `max_bytes` is answered 413.
    pub fn body_too_large(&self, max_bytes: u64, applied: Applied) {
        self.count_refused(Setting::MaxBodyBytes);
        log::warn!(target: LOG_TARGET, "413: a body is over MaxBodyBytes {max_bytes}; {applied}");
    }

    /// A body that did not arrive in its request's time is answered 408.
    pub fn body_timeout(&self, allowed: Micros, applied: Applied) {
        self.count_refused(Setting::Timeout);
        let allowed_ms = allowed / MS;
        log::info!(
            target: LOG_TARGET,
            "408: a body took over the {allowed_ms} ms that its client or TimeoutS allows; {applied}"
        );
    }

    /// A connection ended that went by these limits.
    pub fn connection_ended(&self, cause: ConnectionEnd, applied: Applied) {
        *self.ended.borrow_mut().entry(cause).or_default() += 1;
        let limits = &applied.limits.limits;
        match cause {
            ConnectionEnd::HeaderTooLarge => {
                self.count_refused(Setting::MaxHeaderBytes);
                let max_bytes = limits.max_header_bytes;
                log::warn!(
                    target: LOG_TARGET,
                    "431: a head is over MaxHeaderBytes {max_bytes}, or has over 100 fields; {applied}"
                );
            }
            ConnectionEnd::HeaderTimeout => {
                let allowed = seconds(limits.header_timeout);
                log::info!(target: LOG_TARGET, "closed: a head took over HeaderTimeoutS {allowed}; {applied}");
            }
            ConnectionEnd::UnreadAnswer => {
                let allowed = seconds(limits.idle_timeout);
                log::info!(target: LOG_TARGET, "closed: an answer unread for IdleTimeoutS {allowed}; {applied}");
            }
            ConnectionEnd::IdleTimeout => {
                let allowed = seconds(limits.idle_timeout);
                log::debug!(target: LOG_TARGET, "closed: idle for IdleTimeoutS {allowed}; {applied}");
            }
            _ => {}
        }
    }
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// `MaxBodyBytes` for one request: as it was when its body began, or as it is now, whichever is more. So a body that
/// keeps to the limit that its client knew is not refused by a lower one.
#[derive(Debug)]
pub struct BodyLimit {
    allowed_at_start: u64,
    limits: watch::Receiver<ClientLimits>,
}

impl BodyLimit {
    /// The limit for a request whose head has just been read.
    pub fn at_start(limits: watch::Receiver<ClientLimits>) -> BodyLimit {
        let allowed_at_start = limits.borrow().limits.max_body_bytes;
        BodyLimit { allowed_at_start, limits }
    }

    pub fn max_bytes(&self) -> u64 {
        self.allowed_at_start.max(self.limits.borrow().limits.max_body_bytes)
    }
}
