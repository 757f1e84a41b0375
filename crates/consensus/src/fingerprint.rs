//! Fingerprints: hashes of states that are the same in every build, with instants given as distances from now.

use std::hash::{Hash, Hasher};

use types::Micros;

/// A 64-bit hash of a state. It is not collision-resistant, so it is not for input that an adversary chooses.
pub struct FingerprintHasher {
    now: Micros,
    hash: u64,
}

impl FingerprintHasher {
    pub fn new(now: Micros) -> FingerprintHasher {
        FingerprintHasher { now, hash: 0x9e37_79b9_7f4a_7c15 }
    }

    pub fn add(&mut self, value: impl Hash) {
        value.hash(self);
    }

    pub fn value(&self) -> u64 {
        self.hash
    }

    /// The time until `at`, or 0 if it is past. `Micros::MAX`, which stands for never, is returned as it is.
    pub fn time_until(&self, at: Micros) -> Micros {
        if at == Micros::MAX { at } else { (at - self.now).max(0) }
    }

    /// The time since `at`, but not more than `max`.
    pub fn time_since(&self, at: Micros, max: Micros) -> Micros {
        (self.now - at).min(max)
    }
}

impl Hasher for FingerprintHasher {
    fn finish(&self) -> u64 {
        self.hash
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u64(&mut self, word: u64) {
        let product = u128::from(self.hash ^ word) * 0xa076_1d64_78bd_642f;
        self.hash = (product as u64 ^ (product >> 64) as u64).rotate_left(23) ^ 0xe703_7ed1_a0b4_28db;
    }

    fn write_u8(&mut self, word: u8) {
        self.write_u64(u64::from(word));
    }

    fn write_u32(&mut self, word: u32) {
        self.write_u64(u64::from(word));
    }

    fn write_i64(&mut self, word: i64) {
        self.write_u64(word as u64);
    }

    fn write_usize(&mut self, word: usize) {
        self.write_u64(word as u64);
    }

    fn write_isize(&mut self, word: isize) {
        self.write_u64(word as u64);
    }
}
