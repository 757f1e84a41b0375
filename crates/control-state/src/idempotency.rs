//! Taken (idempotency keys): which change was taken on top of which version, so that a call repeated after its answer
//! was lost is known for what it is, also when newer versions have come since.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, Micros, SECOND};
use xxhash_rust::xxh3::Xxh3;

/// So many are kept whatever their age, the newest among them: nothing newer need come for days.
pub const LEAST: usize = 1_024;
/// Beyond these, for so long: a day, in which a deployment of the size to design for has 1,000 changes.
pub const AGE: Micros = 24 * 3_600 * SECOND;
/// So many at most: 30 bytes each.
pub const MOST: usize = 4_096;

/// How a text was sent: the same text is another call as a change than as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Replace = 0,
    Modify = 1,
}

/// XXH3 with 128 bits, whose values are the same in every release of it since 0.8.0. It guards against chance, not
/// against an operator who wants two texts of theirs to be taken for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    pub fn of_text(kind: ChangeKind, text: &[u8]) -> Digest {
        let mut hash = Xxh3::new();
        hash.update(&[kind as u8]);
        hash.update(text);
        Digest(hash.digest128().to_le_bytes())
    }

    /// Of a roll-out order; lengths keep the names apart.
    pub fn of_order(service: &str, target: &str, period: Micros) -> Digest {
        let mut hash = Xxh3::new();
        hash.update(&period.to_le_bytes());
        for name in [service, target] {
            hash.update(&(name.len() as u64).to_le_bytes());
            hash.update(name.as_bytes());
        }
        Digest(hash.digest128().to_le_bytes())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Change {
    digest: Digest,
    /// When it was taken, by the ordered clock.
    at: Micros,
}

/// Whether a change on a version that is not the current one was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// This one was.
    Taken,
    /// Another one was, on the same version.
    Lost,
    /// That version was never in force, or so long ago that it is forgotten.
    Unknown,
}

/// Versions only rise, so that on each of them one change was taken at most: by its base.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken(BTreeMap<ConfigVersion, Change>);

impl Taken {
    pub fn known(&self, base: ConfigVersion, digest: impl FnOnce() -> Digest) -> Known {
        match self.0.get(&base) {
            Some(change) if change.digest == digest() => Known::Taken,
            Some(_) => Known::Lost,
            None => Known::Unknown,
        }
    }

    /// Notes a change that is taken now, on top of a base above all before it, and forgets what is out of date.
    pub fn note(&mut self, base: ConfigVersion, digest: Digest, at: Micros) {
        self.0.insert(base, Change { digest, at });
        let old = |oldest: &Change| at - oldest.at > AGE;
        while self.0.len() > MOST
            || self.0.len() > LEAST && self.0.first_key_value().is_some_and(|(_, oldest)| old(oldest))
        {
            self.0.pop_first();
        }
    }

    /// Whether what was taken before the first of these, by a clock that began then, is out of date too.
    pub fn supersedes(&self, now: Micros) -> bool {
        self.0.len() >= MOST || self.0.len() >= LEAST && now > AGE
    }

    /// Whether a state that came may hold this.
    pub fn sound(&self, now: Micros) -> bool {
        self.0.len() <= MOST && self.0.values().all(|change| (0..=now).contains(&change.at))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
