//! Idempotency records of format 1, as programs up to 0.5.0 keep them. They are maintained unchanged while format 1 is
//! agreed. After that nothing is added, and they are consulted until everything in them has expired.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::ConfigVersion;

use crate::idempotency::ChangeKind;

pub(crate) const MAX_LEGACY_RECORDS: usize = 64;

/// FNV-1a with 128 bits over kind, base version and text, with the length of the text. The computation is fixed: nodes
/// and disks of older programs contain its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LegacyDigest {
    hash: u128,
    length: u32,
}

impl LegacyDigest {
    fn new(kind: ChangeKind, base: ConfigVersion, text: &[u8]) -> LegacyDigest {
        const FNV_OFFSET_BASIS: u128 = 0x6c62272e07bb014262b821756295c58d;
        const FNV_PRIME: u128 = 0x0000000001000000000000000000013b;
        let header = [kind as u8].into_iter().chain(base.0.to_le_bytes());
        let add_byte = |hash: u128, byte: u8| (hash ^ u128::from(byte)).wrapping_mul(FNV_PRIME);
        let hash = header.chain(text.iter().copied()).fold(FNV_OFFSET_BASIS, add_byte);
        LegacyDigest { hash, length: text_length(text) }
    }
}

fn text_length(text: &[u8]) -> u32 {
    u32::try_from(text.len()).unwrap_or(u32::MAX)
}

/// The digests of the last changes, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LegacyRecords(VecDeque<LegacyDigest>);

impl LegacyRecords {
    pub fn contains(&self, kind: ChangeKind, base: ConfigVersion, text: &[u8]) -> bool {
        // Lengths are compared first, since the hash is slow on small machines: 10 ms per megabyte, and ten times as
        // long on a twentieth of a core.
        let length = text_length(text);
        let same_length = self.0.iter().any(|digest| digest.length == length);
        same_length && self.0.contains(&LegacyDigest::new(kind, base, text))
    }

    /// Records a change that is applied now, and drops the oldest records beyond the limit.
    pub fn record(&mut self, kind: ChangeKind, base: ConfigVersion, text: &[u8]) {
        self.0.push_back(LegacyDigest::new(kind, base, text));
        while self.0.len() > MAX_LEGACY_RECORDS {
            self.0.pop_front();
        }
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
