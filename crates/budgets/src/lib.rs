//! RetryBudget (shared budgets): each foyer's part of what all foyers together may spend: further tries to a service
//! in every sliding window, and a part of any other whole. No I/O, and no messages: the parts are such that
//! their sum holds whoever is cut off, dies, starts or gets the traffic; `docs/purse.md` has the argument.

mod gateway_counts;
mod window;

use indexmap::IndexMap;
use types::{Micros, SECOND};

pub use gateway_counts::GatewayCounts;
use window::Window;

/// Most services with an account; for others nothing may be spent.
const MOST: usize = 1024;
/// A new life takes nothing of the slack for a window and this: what an earlier life at its place spent is not
/// known, and the others have to hear that there is one more to share with.
const SETTLING: Micros = 5 * SECOND;

/// Further tries of one foyer, per service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    span: Micros,
    /// Since when this life runs: known by its first event.
    born: Option<Micros>,
    party: GatewayCounts,
    accounts: IndexMap<String, Window>,
}

impl RetryBudget {
    /// `ratio` of the requests and `slack` are for all foyers together, in any `window` (microseconds).
    pub fn new(ratio: f64, slack: f64, window: Micros) -> RetryBudget {
        let span = window.max(SECOND / 10);
        let (ratio, slack) = (sound(ratio), sound(slack));
        RetryBudget {
            ratio,
            slack,
            span,
            born: None,
            party: GatewayCounts::default(),
            accounts: IndexMap::new(),
        }
    }

    /// How many foyers are known now, this one counted. To be told whenever it changes; telling it again is
    /// harmless. `may` tells it too.
    pub fn set_gateway_count(&mut self, now: Micros, count: usize) {
        self.born.get_or_insert(now);
        self.party.record(now, count);
    }

    /// A request that a client sent for `service`, at its first choice of an instance, sent on or not. Further
    /// tries are none.
    pub fn record_request(&mut self, now: Micros, service: &str) {
        if let Some(account) = self.account(now, service) {
            account.request(now);
        }
    }

    /// Whether one more further try may be sent now, while `foyers` are known, this one counted. Asking spends
    /// nothing: `spent` does.
    pub fn may_retry(&mut self, now: Micros, service: &str, foyers: usize) -> bool {
        self.set_gateway_count(now, foyers);
        self.may_retry_now(now, service)
    }

    /// The same, with as many foyers as were told last.
    pub fn may_retry_now(&mut self, now: Micros, service: &str) -> bool {
        let settled = self.born.is_some_and(|born| now - born >= self.span + SETTLING);
        let slack = if settled { self.party.share_of(now, self.slack) } else { 0.0 };
        let ratio = self.ratio;
        self.account(now, service).is_some_and(|account| account.room(now, ratio, slack))
    }

    /// A further try was sent, wherever it came to.
    pub fn record_retry(&mut self, now: Micros, service: &str) {
        if let Some(account) = self.account(now, service) {
            account.spent(now);
        }
    }

    fn account(&mut self, now: Micros, service: &str) -> Option<&mut Window> {
        self.born.get_or_insert(now);
        if !self.accounts.contains_key(service) {
            if self.accounts.len() >= MOST {
                self.accounts.retain(|_, account| !account.is_idle(now));
            }
            if self.accounts.len() >= MOST {
                return None;
            }
            self.accounts.insert(service.to_string(), Window::new(self.span, now));
        }
        self.accounts.get_mut(service)
    }
}

/// A setting that is not a number of at least 0 allows nothing.
fn sound(setting: f64) -> f64 {
    if setting.is_finite() { setting.max(0.0) } else { 0.0 }
}
