//! The one buffer of a connection: grown as needed, compacted in place.

/// Room kept by a buffer that has emptied; more is given back.
const KEPT: usize = 8 * 1024;

/// Bytes that came and are not consumed yet.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    from: usize,
}

impl Buffer {
    /// What it holds.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.from..]
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.data().is_empty()
    }

    /// Adds what came.
    pub fn push(&mut self, more: &[u8]) {
        if self.from > 0 && self.bytes.len() + more.len() > self.bytes.capacity() {
            self.bytes.copy_within(self.from.., 0);
            self.bytes.truncate(self.bytes.len() - self.from);
            self.from = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Forgets the first bytes.
    pub fn consume(&mut self, count: usize) {
        self.from = (self.from + count).min(self.bytes.len());
        if self.from == self.bytes.len() {
            self.bytes.clear();
            self.from = 0;
            if self.bytes.capacity() > KEPT {
                self.bytes.shrink_to(KEPT);
            }
        }
    }
}
