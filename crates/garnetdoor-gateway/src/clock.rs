//! The gateway's clock: the Unix time at its start, and from then on a clock that never goes back. Times that
//! others tell by the Unix clock compare with it as they are.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use garnetdoor::host::Micros;

/// The system's time since the Unix epoch; it may be set, unlike a `Clock`.
pub fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Copies of one clock agree.
#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start() -> Self {
        Clock { began: Instant::now(), unix: unix().as_micros() as Micros }
    }

    /// Microseconds since the Unix epoch, by the clock at the start.
    pub fn now(&self) -> Micros {
        self.unix + self.began.elapsed().as_micros() as Micros
    }
}
