//! Retry budgets shared by all gateways: each gateway may use its part of the retries to a service in every sliding
//! window, or of any other amount that is limited for all gateways together.
//!
//! No I/O and no messages between gateways. The parts are chosen so that their sum stays within the budget whichever
//! gateways are cut off, stop, start or receive the traffic; `docs/budgets.md` has the argument.

mod gateway_counts;
mod window;

use indexmap::IndexMap;
use types::{Micros, SECOND};

pub use gateway_counts::GatewayCounts;
use window::SlidingWindow;

/// Maximum number of services with a window; to other services no retries are allowed.
const MAX_SERVICES: usize = 1024;
/// The shortest window that is kept to.
const MIN_WINDOW: Micros = SECOND / 10;
/// After its start, a gateway uses nothing of the slack for one window and this time: what an earlier run at its
/// address spent is unknown, and the other gateways must learn that there is one more to share with.
const SETTLING_TIME: Micros = 5 * SECOND;

/// The retries that one gateway may send, per service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Retries allowed per request.
    ratio: f64,
    /// Retries allowed in any window beyond the ratio, for all gateways together.
    slack: f64,
    window_length: Micros,
    /// Time of the first event since this gateway was started.
    started_at: Option<Micros>,
    gateway_counts: GatewayCounts,
    /// By service.
    windows: IndexMap<String, SlidingWindow>,
}

impl RetryBudget {
    /// In any `window`, all gateways together may send `ratio` times the requests plus `slack` retries. A ratio or
    /// slack that is negative or not finite counts as 0.
    pub fn new(ratio: f64, slack: f64, window: Micros) -> RetryBudget {
        RetryBudget {
            ratio: non_negative(ratio),
            slack: non_negative(slack),
            window_length: window.max(MIN_WINDOW),
            started_at: None,
            gateway_counts: GatewayCounts::default(),
            windows: IndexMap::new(),
        }
    }

    /// Sets how many gateways are known, including this one. Must be called whenever that changes; calling it again
    /// with the same number is harmless. `may_retry` does the same.
    pub fn set_gateway_count(&mut self, now: Micros, count: usize) {
        self.started_at.get_or_insert(now);
        self.gateway_counts.record(now, count);
    }

    /// Records a request of a client to `service` when its first instance is chosen, whether or not it is sent on.
    /// Retries are not requests.
    pub fn record_request(&mut self, now: Micros, service: &str) {
        if let Some(window) = self.window(now, service) {
            window.record_request(now);
        }
    }

    /// Whether one more retry may be sent now, with `gateways` known including this one. This spends nothing;
    /// `record_retry` does.
    pub fn may_retry(&mut self, now: Micros, service: &str, gateways: usize) -> bool {
        self.set_gateway_count(now, gateways);
        self.may_retry_now(now, service)
    }

    /// As `may_retry`, with the number of gateways that was set last.
    pub fn may_retry_now(&mut self, now: Micros, service: &str) -> bool {
        let is_settled =
            self.started_at.is_some_and(|started_at| now - started_at >= self.window_length + SETTLING_TIME);
        let slack = if is_settled { self.gateway_counts.share_of(now, self.slack) } else { 0.0 };
        let ratio = self.ratio;
        self.window(now, service).is_some_and(|window| window.has_room(now, ratio, slack))
    }

    /// Records a retry that was sent, whatever became of it.
    pub fn record_retry(&mut self, now: Micros, service: &str) {
        if let Some(window) = self.window(now, service) {
            window.record_retry(now);
        }
    }

    /// The window of a service, added if there is none yet. `None` if there are too many services already.
    fn window(&mut self, now: Micros, service: &str) -> Option<&mut SlidingWindow> {
        self.started_at.get_or_insert(now);
        if !self.windows.contains_key(service) {
            if self.windows.len() >= MAX_SERVICES {
                self.windows.retain(|_, window| !window.is_idle(now));
            }
            if self.windows.len() >= MAX_SERVICES {
                return None;
            }
            self.windows.insert(service.to_string(), SlidingWindow::new(self.window_length, now));
        }
        self.windows.get_mut(service)
    }
}

/// A setting that is negative or not finite allows nothing.
fn non_negative(setting: f64) -> f64 {
    if setting.is_finite() { setting.max(0.0) } else { 0.0 }
}
