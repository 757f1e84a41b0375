//! Snapshots: the state as it is stored and sent to other nodes. After the same entries of the log, every node writes
//! the same bytes.

use std::sync::Arc;

use configuration::Configuration;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{FormatVersion, LogIndex, Micros};

use crate::clock::ReplicatedClock;
use crate::idempotency::IdempotencyRecords;
use crate::legacy_idempotency::{self, LegacyRecords};
use crate::recent_orders::RecentOrders;
use crate::{ControlState, MAX_SERVICES, Rollout, RolloutState, SnapshotError};

/// The part that all formats have, and all of format 1.
#[derive(Serialize, Deserialize)]
struct SnapshotV1 {
    /// The configuration in force, as JSON.
    text: Option<Vec<u8>>,
    legacy_records: LegacyRecords,
    rollouts: Vec<RolloutSnapshot>,
    last_build_number: u32,
}

/// What format 2 adds after `SnapshotV1`.
#[derive(Default, Serialize, Deserialize)]
struct AddedInV2 {
    idempotency_records: IdempotencyRecords,
    recent_orders: RecentOrders,
    /// Time of the replicated clock, and the entry that last advanced it.
    time: Micros,
    last_change: LogIndex,
}

/// A `Rollout` without its local time.
#[derive(Serialize, Deserialize)]
struct RolloutSnapshot {
    service: String,
    current_version: Option<String>,
    state: Option<RolloutState>,
    target_version: String,
    build_number: u32,
    current_build_number: u32,
    period: Micros,
}

impl SnapshotV1 {
    fn is_valid(&self) -> bool {
        self.rollouts.len() <= MAX_SERVICES
            && self.legacy_records.len() <= legacy_idempotency::MAX_LEGACY_RECORDS
    }
}

impl AddedInV2 {
    /// Whether a snapshot taken after the entry at `index` may contain this.
    fn is_valid(&self, index: LogIndex) -> bool {
        ReplicatedClock::is_valid_time(self.time)
            && self.last_change <= index
            && self.idempotency_records.is_valid(self.time)
            && self.recent_orders.is_valid(self.time)
    }
}

impl ControlState {
    /// Encodes the state in the agreed format, whose number is the first byte. The index of the last entry is not part
    /// of it, nor are local times, which differ between nodes.
    pub fn snapshot(&self) -> Vec<u8> {
        let rollouts = self.rollouts.values().map(|rollout| RolloutSnapshot {
            service: rollout.service.clone(),
            current_version: rollout.current_version.clone(),
            state: rollout.state,
            target_version: rollout.target_version.clone(),
            build_number: rollout.build_number,
            current_build_number: rollout.current_build_number,
            period: rollout.period,
        });
        let common = SnapshotV1 {
            text: self.configuration().map(|configuration| configuration.to_json()),
            legacy_records: self.legacy_records.clone(),
            rollouts: rollouts.collect(),
            last_build_number: self.last_build_number,
        };
        let bytes = vec![self.agreed_format.0];
        let encoded = match self.agreed_format {
            FormatVersion::V1 => postcard::to_extend(&common, bytes),
            _ => {
                let added = AddedInV2 {
                    idempotency_records: self.idempotency_records.clone(),
                    recent_orders: self.recent_orders.clone(),
                    time: self.clock.time,
                    last_change: self.clock.last_change,
                };
                postcard::to_extend(&(common, added), bytes)
            }
        };
        // Writing plain data into memory cannot fail.
        encoded.expect("encoding into memory cannot fail")
    }

    /// Restores a snapshot from another node or from this node's disk, taken after the entry at `index`. `now` is the
    /// local time. A snapshot older than the present state is refused. On an error, nothing has changed.
    pub fn restore(&mut self, now: Micros, index: LogIndex, data: &[u8]) -> Result<(), SnapshotError> {
        if index < self.index {
            return Err(SnapshotError::Older { snapshot_index: index.0, current_index: self.index.0 });
        }
        let (format, data) = data.split_first().ok_or(SnapshotError::Unreadable)?;
        let agreed_format = FormatVersion(*format);
        if !self.supported_formats.contains(agreed_format) {
            return Err(SnapshotError::UnsupportedFormat(*format));
        }
        let (common, rest): (SnapshotV1, _) =
            postcard::take_from_bytes(data).map_err(|_| SnapshotError::Unreadable)?;
        let (added, rest): (AddedInV2, _) = match agreed_format {
            FormatVersion::V1 => (AddedInV2::default(), rest),
            _ => postcard::take_from_bytes(rest).map_err(|_| SnapshotError::Unreadable)?,
        };
        let valid = common.is_valid() && added.is_valid(index);
        if !valid || !rest.is_empty() {
            return Err(SnapshotError::Unreadable);
        }
        let configuration = match common.text {
            // A configuration that is in force here already need not be parsed again.
            Some(text)
                if self.configuration().is_some_and(|configuration| configuration.as_json() == text) =>
            {
                self.configuration.clone()
            }
            Some(text) => Some(Arc::new(Configuration::parse(&text).map_err(SnapshotError::Configuration)?)),
            None => None,
        };
        let mut rollouts = IndexMap::with_capacity(common.rollouts.len());
        for snapshot in common.rollouts {
            let rollout = self.restore_rollout(now, snapshot);
            rollouts.insert(rollout.service.clone(), rollout);
        }
        *self = ControlState {
            index,
            supported_formats: self.supported_formats,
            agreed_format,
            unsupported_format: None,
            configuration,
            legacy_records: common.legacy_records,
            idempotency_records: added.idempotency_records,
            recent_orders: added.recent_orders,
            clock: ReplicatedClock::at(now, added.time, added.last_change),
            repeat_window: self.repeat_window,
            rollouts,
            last_build_number: common.last_build_number,
        };
        Ok(())
    }

    /// Keeps the local time since which this node knows the roll-out's state, if it is the same as before.
    fn restore_rollout(&self, now: Micros, snapshot: RolloutSnapshot) -> Rollout {
        let unchanged =
            |known: &&Rollout| known.build_number == snapshot.build_number && known.state == snapshot.state;
        let known = self.rollouts.get(&snapshot.service).filter(unchanged);
        Rollout {
            state_since: known.map_or(now, |known| known.state_since),
            current_version: snapshot.current_version,
            state: snapshot.state,
            target_version: snapshot.target_version,
            build_number: snapshot.build_number,
            current_build_number: snapshot.current_build_number,
            period: snapshot.period,
            service: snapshot.service,
        }
    }
}
