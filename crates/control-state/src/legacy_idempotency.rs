//! Earlier (configurations taken under form 1): what programs up to 0.5.0 kept to know a repeat. It goes on as it was
//! while form 1 is agreed; after that nothing is added, and it is consulted until what it knows is out of date.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use types::ConfigVersion;

use crate::idempotency::ChangeKind;

pub(crate) const MOST: usize = 64;

/// FNV-1a with 128 bits over kind, base and text, and the text's length. It stays as it was written: nodes and disks
/// of older programs hold its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Digest {
    hash: u128,
    length: u32,
}

impl Digest {
    fn of(kind: ChangeKind, base: ConfigVersion, text: &[u8]) -> Digest {
        const START: u128 = 0x6c62272e07bb014262b821756295c58d;
        const PRIME: u128 = 0x0000000001000000000000000000013b;
        let head = [kind as u8].into_iter().chain(base.0.to_le_bytes());
        let step = |hash: u128, byte: u8| (hash ^ u128::from(byte)).wrapping_mul(PRIME);
        let hash = head.chain(text.iter().copied()).fold(START, step);
        Digest { hash, length: length(text) }
    }
}

fn length(text: &[u8]) -> u32 {
    u32::try_from(text.len()).unwrap_or(u32::MAX)
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Earlier(VecDeque<Digest>);

impl Earlier {
    pub fn contains(&self, kind: ChangeKind, base: ConfigVersion, text: &[u8]) -> bool {
        // The hash is slow on small machines: 10 ms a megabyte, tenfold on a twentieth of a core.
        let length = length(text);
        self.0.iter().any(|digest| digest.length == length) && self.0.contains(&Digest::of(kind, base, text))
    }

    pub fn note(&mut self, kind: ChangeKind, base: ConfigVersion, text: &[u8]) {
        self.0.push_back(Digest::of(kind, base, text));
        while self.0.len() > MOST {
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
