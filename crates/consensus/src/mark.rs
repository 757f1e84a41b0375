//! Fingerprints: hashes that are the same in every build, with instants told by how far they are from now.

use std::hash::{Hash, Hasher};

use types::Micros;

/// A hash of 64 bits that gathers marks of a state. Not for input that somebody could choose to make two
/// alike.
pub struct FingerprintHasher {
    now: Micros,
    sum: u64,
}

impl FingerprintHasher {
    pub fn new(now: Micros) -> FingerprintHasher {
        FingerprintHasher { now, sum: 0x9e37_79b9_7f4a_7c15 }
    }

    pub fn add(&mut self, what: impl Hash) {
        what.hash(self);
    }

    pub fn value(&self) -> u64 {
        self.sum
    }

    /// How long until then; 0 if it is past. What never comes stays as far.
    pub fn time_until(&self, at: Micros) -> Micros {
        if at == Micros::MAX { at } else { (at - self.now).max(0) }
    }

    /// How long since then, at most `most`.
    pub fn time_since(&self, at: Micros, most: Micros) -> Micros {
        (self.now - at).min(most)
    }
}

impl Hasher for FingerprintHasher {
    fn finish(&self) -> u64 {
        self.sum
    }

    fn write(&mut self, bytes: &[u8]) {
        for part in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..part.len()].copy_from_slice(part);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u64(&mut self, word: u64) {
        let product = u128::from(self.sum ^ word) * 0xa076_1d64_78bd_642f;
        self.sum = (product as u64 ^ (product >> 64) as u64).rotate_left(23) ^ 0xe703_7ed1_a0b4_28db;
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
