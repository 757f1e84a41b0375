//! Roll-outs of new versions: which version of a service is in service, which is on trial, and what became of the last
//! order.

use serde::{Deserialize, Serialize};
use types::{Micros, SECOND};

use crate::CommandOutcome;

/// Under format 1, an order of a version that was reverted less than this ago is taken for a late repeat of the first
/// order. Callers repeat orders for at most 5 s; twice that covers delayed calls.
const REVERTED_REPEAT_WINDOW: Micros = 10 * SECOND;

/// State of the last roll-out order of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    InProgress,
    Completed,
    /// The version on trial was rolled back.
    Reverted,
}

/// One service: its version in service and its last roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    pub service: String,
    /// The version in service; `None` if no instance was seen before the first order.
    pub current_version: Option<String>,
    /// State of the last order; `None` before the first.
    pub state: Option<RolloutState>,
    /// Version of the last order; empty before the first.
    pub target_version: String,
    /// Build number of the last trial; 0 before the first. Numbers are assigned across all services, from 2 on.
    pub build_number: u32,
    /// Build number of the version in service: 1 at first, that of the trial after it has completed.
    pub current_build_number: u32,
    /// Time that the operator gave the last order to complete in.
    pub period: Micros,
    /// Local time at which this node learned of the present `state`; later on a node that started later.
    pub state_since: Micros,
}

impl Rollout {
    pub(crate) fn new(now: Micros, service: &str) -> Rollout {
        Rollout {
            service: service.to_owned(),
            current_version: None,
            state: None,
            target_version: String::new(),
            build_number: 0,
            current_build_number: 1,
            period: 0,
            state_since: now,
        }
    }

    /// The build number of a version's instances, or `None` if they must get no requests: only the version in service
    /// may, and the one on trial while its trial lasts.
    pub fn build_number_of(&self, version: &str) -> Option<u32> {
        if self.current_version.as_deref() == Some(version) {
            return Some(self.current_build_number);
        }
        let in_trial = self.state == Some(RolloutState::InProgress) && self.target_version == version;
        in_trial.then_some(self.build_number)
    }

    pub fn is_in_progress(&self) -> bool {
        self.state == Some(RolloutState::InProgress)
    }

    /// Whether `version` was reverted so recently that an order of it is taken for a repeat of the first one. Used
    /// under format 1 only. A node that learned of the end late takes it for later than it was, so its window is
    /// longer, never shorter.
    pub(crate) fn was_just_reverted(&self, now: Micros, version: &str) -> bool {
        self.state == Some(RolloutState::Reverted)
            && self.target_version == version
            && now - self.state_since < REVERTED_REPEAT_WINDOW
    }

    /// Whether a verdict on the trial `number` ends it now; the error says why not.
    pub(crate) fn check_verdict(&self, number: u32, completed: bool) -> Result<(), CommandOutcome> {
        let end_state = if completed { RolloutState::Completed } else { RolloutState::Reverted };
        match self.state {
            Some(RolloutState::InProgress) if self.build_number == number => Ok(()),
            Some(state) if self.build_number == number && state == end_state => Err(CommandOutcome::Repeated),
            _ => {
                Err(CommandOutcome::Conflict(format!("trial {number} of {} is not under way", self.service)))
            }
        }
    }

    pub(crate) fn start_trial(
        &mut self, now: Micros, target_version: String, build_number: u32, period: Micros,
    ) {
        self.state = Some(RolloutState::InProgress);
        self.target_version = target_version;
        self.build_number = build_number;
        self.period = period;
        self.state_since = now;
    }

    /// The version in service was ordered: the order is completed without a trial.
    pub(crate) fn complete_without_trial(&mut self, now: Micros) {
        self.target_version = self.current_version.clone().unwrap_or_default();
        self.state = Some(RolloutState::Completed);
        self.state_since = now;
    }

    pub(crate) fn end_trial(&mut self, now: Micros, completed: bool) {
        self.state = Some(if completed { RolloutState::Completed } else { RolloutState::Reverted });
        if completed {
            self.current_version = Some(self.target_version.clone());
            self.current_build_number = self.build_number;
        }
        self.state_since = now;
    }

    /// Sets the version that was in service before any order.
    pub(crate) fn set_initial_version(&mut self, version: String) {
        self.current_version = Some(version);
    }
}
