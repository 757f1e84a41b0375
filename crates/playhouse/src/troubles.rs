//! Troubles (what a prompter's driver watches for, to tell of it once): writes that hang, roll-outs that went
//! back. No I/O.

use consensus::WriteId;
use types::{LogIndex, Micros, SECOND};

/// A write that waits longer has been left by a disk that hangs.
const DISK_HANGS: Micros = 3 * SECOND;

/// What this process waits for from its disk.
#[derive(Debug, Default)]
pub struct Writes {
    newest: WriteId,
    since: Option<Micros>,
    fails: bool,
    /// A hang is told of once.
    told: bool,
}

impl Writes {
    pub fn handed(&mut self, now: Micros, no: WriteId) {
        self.newest = no;
        self.since.get_or_insert(now);
    }

    pub fn answered(&mut self, no: WriteId, ok: bool) {
        if !ok {
            self.fails = true;
        } else if no == self.newest {
            (self.since, self.fails, self.told) = (None, false, false);
        }
    }

    /// For how long the oldest write has waited, and whether the disk failed since the last that is there.
    pub fn stand(&self, now: Micros) -> (Option<Micros>, bool) {
        (self.since.map(|since| now - since), self.fails)
    }

    /// For how long a disk has hung, once for each time.
    pub fn hangs(&mut self, now: Micros) -> Option<Micros> {
        let waited = now - self.since?;
        if self.told || waited < DISK_HANGS {
            return None;
        }
        self.told = true;
        Some(waited)
    }
}

/// Which roll-outs had gone back, as of an entry.
#[derive(Debug, Default)]
pub struct Reverted {
    at: LogIndex,
    orders: Vec<(String, String)>,
}

impl Reverted {
    /// Those that have gone back since the last look.
    pub fn more(&mut self, script: &control_state::ControlState) -> Vec<(String, String)> {
        if script.last_applied() == self.at {
            return Vec::new();
        }
        self.at = script.last_applied();
        let back =
            script.rollouts.values().filter(|one| one.state == Some(control_state::RolloutState::Reverted));
        let orders: Vec<_> = back.map(|one| (one.service.clone(), one.target_version.clone())).collect();
        let more = orders.iter().filter(|order| !self.orders.contains(order)).cloned().collect();
        self.orders = orders;
        more
    }
}
