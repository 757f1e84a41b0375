//! Rollout (of a new version): which version of a service is in service, which is on trial, and what became
//! of the last order.

use serde::{Deserialize, Serialize};
use types::{Micros, SECOND};

use crate::CommandOutcome;

/// Under form 1: for so long after a trial was reverted, an order of the same version is taken for a late repeat of the
/// first. Callers repeat orders for 5 s at most; twice that covers calls held up on the way.
const REPEAT_GUARD: Micros = 10 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    InProgress,
    Completed,
    Reverted,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    pub service: String,
    /// The version in service; none where no instance was seen before the first order.
    pub current_version: Option<String>,
    /// Of the last order; none before the first.
    pub state: Option<RolloutState>,
    /// Of the last order; empty before the first.
    pub target_version: String,
    /// Build number of the last trial; rises with each trial over all services, from 2. 0 before the first.
    pub build_number: u32,
    /// Build number of the version in service: 1 at first, the trial's after completion.
    pub current_build_number: u32,
    /// How long the operator gives the last order.
    pub period: Micros,
    /// Local: when this node first knew of the state as it is now. A node that starts late knows later.
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

    /// The build number of a version's instances, or none where they must get nothing: only the version in
    /// service, and the one on trial while its trial lasts, may be sent requests.
    pub fn build_number_of(&self, version: &str) -> Option<u32> {
        if self.current_version.as_deref() == Some(version) {
            return Some(self.current_build_number);
        }
        let on_trial = self.state == Some(RolloutState::InProgress) && self.target_version == version;
        on_trial.then_some(self.build_number)
    }

    pub fn is_in_progress(&self) -> bool {
        self.state == Some(RolloutState::InProgress)
    }

    /// Whether `target` was reverted so lately that an order of it must be a repeat of the first one. A node
    /// that learnt of the end late takes it for later than it was, so the guard only grows. Under form 1 only.
    pub(crate) fn just_reverted(&self, now: Micros, target: &str) -> bool {
        self.state == Some(RolloutState::Reverted)
            && self.target_version == target
            && now - self.state_since < REPEAT_GUARD
    }

    pub(crate) fn judged_end(&self, number: u32, completed: bool) -> Result<(), CommandOutcome> {
        let wanted = if completed { RolloutState::Completed } else { RolloutState::Reverted };
        match self.state {
            Some(RolloutState::InProgress) if self.build_number == number => Ok(()),
            Some(state) if self.build_number == number && state == wanted => Err(CommandOutcome::Repeated),
            _ => {
                Err(CommandOutcome::Conflict(format!("trial {number} of {} is not under way", self.service)))
            }
        }
    }

    pub(crate) fn begin(&mut self, now: Micros, target: String, number: u32, period: Micros) {
        self.state = Some(RolloutState::InProgress);
        self.target_version = target;
        self.build_number = number;
        self.period = period;
        self.state_since = now;
    }

    /// The version in service was ordered: completed, and nothing was tried.
    pub(crate) fn stay(&mut self, now: Micros) {
        self.target_version = self.current_version.clone().unwrap_or_default();
        self.state = Some(RolloutState::Completed);
        self.state_since = now;
    }

    pub(crate) fn end(&mut self, now: Micros, completed: bool) {
        self.state = Some(if completed { RolloutState::Completed } else { RolloutState::Reverted });
        if completed {
            self.current_version = Some(self.target_version.clone());
            self.current_build_number = self.build_number;
        }
        self.state_since = now;
    }

    pub(crate) fn found(&mut self, version: String) {
        self.current_version = Some(version);
    }
}
