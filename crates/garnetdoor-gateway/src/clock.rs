//! The gateway's clock: Unix time read once at the start, advanced by a monotonic clock from then on.
//! Timestamps that other systems send in Unix time can be compared with it directly.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use garnetdoor::host::Micros;

/// The system's time since the Unix epoch. Unlike a [`Clock`] it jumps when the system time is set.
pub fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// A clock that never goes back. Copies of one clock agree.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at_unix: Micros,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        Clock { started: Instant::now(), started_at_unix: unix_time().as_micros() as Micros }
    }

    /// Microseconds since the Unix epoch, unaffected by changes of the system time after the start.
    pub fn now(&self) -> Micros {
        self.started_at_unix + self.started.elapsed().as_micros() as Micros
    }
}
