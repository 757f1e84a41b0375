//! How many requests one foyer may send to a version on trial, since the order.

use indexmap::IndexMap;
use props::Micros;

use crate::{Party, sound};

/// Most roll-outs at once; for others nothing may be sent to a trial.
const MOST: usize = 1024;

/// One roll-out as this life of a foyer has seen it.
#[derive(Debug)]
struct Trial {
    slack: f64,
    requests: u64,
    spent: u64,
}

/// Trial requests of one foyer, per service with a roll-out.
#[derive(Debug)]
pub struct Exposure {
    share: f64,
    slack: f64,
    party: Party,
    trials: IndexMap<String, Trial>,
}

impl Exposure {
    /// `share` of the requests and `slack` are for all foyers together, from the order to its term.
    pub fn new(share: f64, slack: f64) -> Exposure {
        let (share, slack) = (sound(share), sound(slack));
        Exposure { share, slack, party: Party::default(), trials: IndexMap::new() }
    }

    /// How many foyers are known now, this one counted. To be told whenever it changes.
    pub fn foyers(&mut self, now: Micros, count: usize) {
        self.party.note(now, count);
    }

    /// A roll-out of `service` was ordered. `from_start` tells that this life was up and settled before the
    /// order: one that began later has no part of the slack, as an earlier life at its place may have used it.
    /// To be called once for each order; it drops what was counted for an earlier one.
    pub fn order(&mut self, now: Micros, service: &str, from_start: bool) {
        if self.trials.len() >= MOST && !self.trials.contains_key(service) {
            return;
        }
        let slack = if from_start { self.party.part(now, self.slack) } else { 0.0 };
        self.trials.insert(service.to_string(), Trial { slack, requests: 0, spent: 0 });
    }

    /// The roll-out is over.
    pub fn end(&mut self, service: &str) {
        self.trials.swap_remove(service);
    }

    /// A request of a client that is sent on to an instance of `service`, of whichever version, for the first
    /// time.
    pub fn request(&mut self, service: &str) {
        if let Some(trial) = self.trials.get_mut(service) {
            trial.requests += 1;
        }
    }

    /// Whether one more may go to the version on trial; without an order, none.
    pub fn may(&self, service: &str) -> bool {
        self.trials
            .get(service)
            .is_some_and(|trial| (trial.spent + 1) as f64 <= self.share * trial.requests as f64 + trial.slack)
    }

    /// One was sent to the version on trial, a first or a further try.
    pub fn spent(&mut self, service: &str) {
        if let Some(trial) = self.trials.get_mut(service) {
            trial.spent += 1;
        }
    }
}
