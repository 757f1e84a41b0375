//! Failures that the driver of a control node reports once each: disk writes that hang, and rollouts that were rolled
//! back. No I/O.

use consensus::WriteId;
use types::{LogIndex, Micros, SECOND};

/// A write that is not finished within this counts as hanging.
const WRITE_HANG_TIMEOUT: Micros = 3 * SECOND;

/// Watches the outstanding disk writes of this process.
#[derive(Debug, Default)]
pub struct WriteMonitor {
    newest: WriteId,
    /// When the oldest outstanding write was submitted.
    waiting_since: Option<Micros>,
    failed: bool,
    /// Whether the present hang was reported already.
    hang_reported: bool,
}

impl WriteMonitor {
    pub fn submitted(&mut self, now: Micros, write: WriteId) {
        self.newest = write;
        self.waiting_since.get_or_insert(now);
    }

    /// Records the result of a write. Success of the newest write ends a hang and a failure.
    pub fn finished(&mut self, write: WriteId, durable: bool) {
        if !durable {
            self.failed = true;
        } else if write == self.newest {
            (self.waiting_since, self.failed, self.hang_reported) = (None, false, false);
        }
    }

    /// How long the oldest outstanding write has waited, and whether a write failed since the disk last caught up.
    pub fn status(&self, now: Micros) -> (Option<Micros>, bool) {
        (self.waiting_since.map(|since| now - since), self.failed)
    }

    /// How long a write has hung; `Some` only once per hang.
    pub fn take_hang(&mut self, now: Micros) -> Option<Micros> {
        let waited = now - self.waiting_since?;
        if self.hang_reported || waited < WRITE_HANG_TIMEOUT {
            return None;
        }
        self.hang_reported = true;
        Some(waited)
    }
}

/// The rollouts that were rolled back as of a log entry.
#[derive(Debug, Default)]
pub struct RevertedRollouts {
    as_of: LogIndex,
    /// Service and target version of each.
    rollouts: Vec<(String, String)>,
}

impl RevertedRollouts {
    /// Service and target version of the rollouts that were rolled back since the last call.
    pub fn take_new(&mut self, state: &control_state::ControlState) -> Vec<(String, String)> {
        if state.last_applied() == self.as_of {
            return Vec::new();
        }
        self.as_of = state.last_applied();
        let reverted = state
            .rollouts
            .values()
            .filter(|rollout| rollout.state == Some(control_state::RolloutState::Reverted));
        let reverted: Vec<_> =
            reverted.map(|rollout| (rollout.service.clone(), rollout.target_version.clone())).collect();
        let new = reverted.iter().filter(|rollout| !self.rollouts.contains(rollout)).cloned().collect();
        self.rollouts = reverted;
        new
    }
}
