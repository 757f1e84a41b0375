//! Idempotency records: which configuration change was applied on top of which version. They tell a call that is
//! repeated after its answer was lost from a conflicting change, also when newer versions have come since.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, Micros, SECOND};
use xxhash_rust::xxh3::Xxh3;

/// The newest records up to this number are kept whatever their age: nothing newer may come for days.
pub const MIN_RECORDS: usize = 1_024;
/// Records beyond `MIN_RECORDS` are kept for a day, in which a deployment of the size to design for has 1,000 changes.
pub const RECORD_LIFETIME: Micros = 24 * 3_600 * SECOND;
/// At most this many records are kept; each takes 30 bytes.
pub const MAX_RECORDS: usize = 4_096;

/// The call that a text came with. The same text sent with the other call is a different change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Replace = 0,
    Modify = 1,
}

/// XXH3 with 128 bits, whose values have been the same in every release since 0.8.0. It guards against accidental
/// collisions, not against an operator who crafts two texts with one digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Digest of a configuration or of a change to one.
    pub fn of_text(kind: ChangeKind, text: &[u8]) -> Digest {
        let mut hash = Xxh3::new();
        hash.update(&[kind as u8]);
        hash.update(text);
        Digest(hash.digest128().to_le_bytes())
    }

    /// Digest of a roll-out order. Each name is preceded by its length, so that no two pairs of names hash alike.
    pub fn of_order(service: &str, target_version: &str, period: Micros) -> Digest {
        let mut hash = Xxh3::new();
        hash.update(&period.to_le_bytes());
        for name in [service, target_version] {
            hash.update(&(name.len() as u64).to_le_bytes());
            hash.update(name.as_bytes());
        }
        Digest(hash.digest128().to_le_bytes())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ChangeRecord {
    digest: Digest,
    /// Time by the replicated clock.
    applied_at: Micros,
}

/// What the records say about a change whose base is not the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedChange {
    /// This change was applied.
    Same,
    /// Another change was applied on top of the same version.
    Other,
    /// The version was never in force, or its record has been dropped.
    Unknown,
}

/// Records by base version. Versions only rise, so at most one change is applied on top of each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecords(BTreeMap<ConfigVersion, ChangeRecord>);

impl IdempotencyRecords {
    /// Looks up a change on top of `base`; its digest is computed only if there is a record to compare it with.
    pub fn lookup(&self, base: ConfigVersion, digest: impl FnOnce() -> Digest) -> RecordedChange {
        match self.0.get(&base) {
            Some(record) if record.digest == digest() => RecordedChange::Same,
            Some(_) => RecordedChange::Other,
            None => RecordedChange::Unknown,
        }
    }

    /// Records a change that is applied now and drops expired records. `base` must be above all bases recorded before.
    pub fn record(&mut self, base: ConfigVersion, digest: Digest, now: Micros) {
        self.0.insert(base, ChangeRecord { digest, applied_at: now });
        let expired = |oldest: &ChangeRecord| now - oldest.applied_at > RECORD_LIFETIME;
        while self.0.len() > MAX_RECORDS
            || self.0.len() > MIN_RECORDS
                && self.0.first_key_value().is_some_and(|(_, oldest)| expired(oldest))
        {
            self.0.pop_first();
        }
    }

    /// Whether every change that was applied before the first of these records has expired too. The clock began when
    /// the first record was made.
    pub fn supersedes_earlier(&self, now: Micros) -> bool {
        self.0.len() >= MAX_RECORDS || self.0.len() >= MIN_RECORDS && now > RECORD_LIFETIME
    }

    /// Whether a snapshot taken at `now` may contain these records.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.0.len() <= MAX_RECORDS && self.0.values().all(|record| (0..=now).contains(&record.applied_at))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
