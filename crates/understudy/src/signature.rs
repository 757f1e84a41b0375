//! Signature (what one input showed): marks of outcome, kind and place of an error, shape of a value, buckets of
//! counts. They stand in for the coverage that a compiler's instrumentation would tell.

use std::collections::HashSet;

/// The marks of one input; equal for equal inputs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Signature(Vec<u64>);

impl Signature {
    /// A value of few possibilities, as a status or a variant's number.
    pub fn mark(&mut self, label: &str, value: u64) {
        self.0.push(hash(label, &value.to_le_bytes()));
    }

    /// A count by its order of magnitude: 0, 1, 2, 3, then by powers of two.
    pub fn bucket(&mut self, label: &str, count: u64) {
        let bucket = if count < 4 { count } else { 2 + u64::from(count.ilog2()) };
        self.mark(label, bucket);
    }

    /// A text without what comes from the input: numbers become one digit, what stands in quotes goes.
    pub fn text(&mut self, label: &str, text: &str) {
        let mut plain = Vec::new();
        let mut quote = None;
        for byte in text.bytes() {
            match (quote, byte) {
                (Some(end), byte) if byte == end => quote = None,
                (Some(_), _) => {}
                (None, b'\'' | b'"' | b'`') => quote = Some(byte),
                (None, b'0'..=b'9') if plain.last() == Some(&b'0') => {}
                (None, b'0'..=b'9') => plain.push(b'0'),
                (None, byte) => plain.push(byte),
            }
        }
        self.0.push(hash(label, &plain));
    }

    pub fn marks(&self) -> &[u64] {
        &self.0
    }
}

/// All marks that were seen.
#[derive(Clone, Debug, Default)]
pub struct Seen(HashSet<u64>);

impl Seen {
    /// Notes the marks; tells how many of them are new.
    pub fn note(&mut self, signature: &Signature) -> usize {
        signature.0.iter().filter(|mark| self.0.insert(**mark)).count()
    }

    pub fn count(&self) -> usize {
        self.0.len()
    }
}

/// FNV-1a, so that marks are the same in every build.
fn hash(label: &str, value: &[u8]) -> u64 {
    let step = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let sum = label.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step);
    value.iter().fold(step(sum, &0xff), step)
}
