//! Snapshot (the state as it is kept and sent): the same bytes at every node after the same entries.

use std::sync::Arc;

use configuration::Configuration;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{FormatVersion, LogIndex, Micros};

use crate::clock::Clock;
use crate::idempotency::Taken;
use crate::legacy_idempotency::{self, Earlier};
use crate::recent_orders::Orders;
use crate::{ControlState, MAX_SERVICES, Rollout, RolloutState, SnapshotError};

/// As form 1 has it.
#[derive(Serialize, Deserialize)]
struct Kept {
    text: Option<Vec<u8>>,
    earlier: Earlier,
    rollouts: Vec<KeptRollout>,
    last_number: u32,
}

/// What form 2 adds behind it.
#[derive(Default, Serialize, Deserialize)]
struct More {
    taken: Taken,
    orders: Orders,
    /// The ordered clock, and the entry that it goes on from.
    moment: Micros,
    last: LogIndex,
}

#[derive(Serialize, Deserialize)]
struct KeptRollout {
    service: String,
    current: Option<String>,
    state: Option<RolloutState>,
    target: String,
    number: u32,
    base_number: u32,
    period: Micros,
}

impl ControlState {
    /// In the form that is agreed, which stands first. The state without its index and without local times, which
    /// differ between nodes.
    pub fn snapshot(&self) -> Vec<u8> {
        let rollouts = self.rollouts.values().map(|rollout| KeptRollout {
            service: rollout.service.clone(),
            current: rollout.current_version.clone(),
            state: rollout.state,
            target: rollout.target_version.clone(),
            number: rollout.build_number,
            base_number: rollout.current_build_number,
            period: rollout.period,
        });
        let kept = Kept {
            text: self.configuration().map(|bill| bill.to_json()),
            earlier: self.earlier.clone(),
            rollouts: rollouts.collect(),
            last_number: self.last_number,
        };
        let head = vec![self.agreed.0];
        let written = match self.agreed {
            FormatVersion::V1 => postcard::to_extend(&kept, head),
            _ => {
                let (taken, orders) = (self.taken.clone(), self.orders.clone());
                postcard::to_extend(
                    &(kept, More { taken, orders, moment: self.clock.moment, last: self.clock.last }),
                    head,
                )
            }
        };
        // Plain data into memory: postcard has no way to fail here.
        written.expect("a state can be written")
    }

    /// Takes over the state that another node, or this one's disk, had after the entry at `index`. On an
    /// error nothing has changed. Going back to an older entry is refused.
    pub fn restore(&mut self, now: Micros, index: LogIndex, data: &[u8]) -> Result<(), SnapshotError> {
        if index < self.index {
            return Err(SnapshotError::Older { snapshot_index: index.0, current_index: self.index.0 });
        }
        let (form, data) = data.split_first().ok_or(SnapshotError::Unreadable)?;
        let agreed = FormatVersion(*form);
        if !self.forms.contains(agreed) {
            return Err(SnapshotError::UnsupportedFormat(*form));
        }
        let (kept, rest): (Kept, _) =
            postcard::take_from_bytes(data).map_err(|_| SnapshotError::Unreadable)?;
        let (more, rest): (More, _) = match agreed {
            FormatVersion::V1 => (More::default(), rest),
            _ => postcard::take_from_bytes(rest).map_err(|_| SnapshotError::Unreadable)?,
        };
        let sound = kept.rollouts.len() <= MAX_SERVICES && kept.earlier.len() <= legacy_idempotency::MOST;
        let sound = sound && Clock::sound(more.moment) && more.last <= index;
        let sound = sound && more.taken.sound(more.moment) && more.orders.sound(more.moment);
        if !sound || !rest.is_empty() {
            return Err(SnapshotError::Unreadable);
        }
        let bill = match kept.text {
            // The one that stands here already need not be read again.
            Some(text) if self.configuration().is_some_and(|bill| bill.as_json() == text) => {
                self.bill.clone()
            }
            Some(text) => Some(Arc::new(Configuration::parse(&text).map_err(SnapshotError::Configuration)?)),
            None => None,
        };
        let mut rollouts = IndexMap::with_capacity(kept.rollouts.len());
        for kept in kept.rollouts {
            let known = self.rollouts.get(&kept.service);
            let known = known.filter(|known| known.build_number == kept.number && known.state == kept.state);
            let rollout = Rollout {
                state_since: known.map_or(now, |known| known.state_since),
                current_version: kept.current,
                state: kept.state,
                target_version: kept.target,
                build_number: kept.number,
                current_build_number: kept.base_number,
                period: kept.period,
                service: kept.service,
            };
            rollouts.insert(rollout.service.clone(), rollout);
        }
        *self = ControlState {
            index,
            forms: self.forms,
            agreed,
            beyond: None,
            bill,
            earlier: kept.earlier,
            taken: more.taken,
            orders: more.orders,
            clock: Clock::at(now, more.moment, more.last),
            guard: self.guard,
            rollouts,
            last_number: kept.last_number,
        };
        Ok(())
    }
}
