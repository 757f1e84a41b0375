//! Taken (configurations): digests of those taken lately, so that a call repeated after its answer was lost
//! is known for what it is, also when newer versions have come since.

use std::collections::VecDeque;

use props::Version;
use serde::{Deserialize, Serialize};

/// As many as operators could send in the few seconds for which a call is repeated, many times over.
const MAX_TAKEN: usize = 64;

/// How a text was sent: the same text is another call as a change than as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Replace,
    Modify,
}

/// FNV-1a with 128 bits over form, base and text, and the text's length. Written here, because every node and
/// every later release must come to the same value; the standard library's hashers promise neither. It guards
/// against chance, not against an operator who wants two texts to be taken for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    hash: u128,
    length: u32,
}

impl Digest {
    pub fn of(form: Form, base: Version, text: &[u8]) -> Digest {
        const START: u128 = 0x6c62272e07bb014262b821756295c58d;
        const PRIME: u128 = 0x0000000001000000000000000000013b;
        let form = match form {
            Form::Replace => 0,
            Form::Modify => 1,
        };
        let head = [form].into_iter().chain(base.0.to_le_bytes());
        let step = |hash: u128, byte: u8| (hash ^ u128::from(byte)).wrapping_mul(PRIME);
        let hash = head.chain(text.iter().copied()).fold(START, step);
        Digest { hash, length: u32::try_from(text.len()).unwrap_or(u32::MAX) }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken(VecDeque<Digest>);

impl Taken {
    pub fn contains(&self, digest: &Digest) -> bool {
        self.0.contains(digest)
    }

    pub fn note(&mut self, digest: Digest) {
        self.0.push_back(digest);
        while self.0.len() > MAX_TAKEN {
            self.0.pop_front();
        }
    }
}
