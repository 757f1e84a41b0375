//! The read buffer of a connection, which grows as needed and is compacted in place.

/// Capacity that an emptied buffer keeps; anything above is released.
const RETAINED_BYTES: usize = 8 * 1024;

/// Bytes that were read and are not consumed yet.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// How many bytes at the front of `bytes` are consumed.
    consumed: usize,
}

impl Buffer {
    /// The bytes that are not consumed yet.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    pub fn is_empty(&self) -> bool {
        self.data().is_empty()
    }

    /// Appends bytes. Before the buffer would have to grow, consumed bytes are dropped from its front.
    pub fn push(&mut self, more: &[u8]) {
        if self.consumed > 0 && self.bytes.len() + more.len() > self.bytes.capacity() {
            self.bytes.copy_within(self.consumed.., 0);
            self.bytes.truncate(self.bytes.len() - self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(more);
    }

    /// Drops the first `count` bytes, or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.bytes.len());
        if self.consumed == self.bytes.len() {
            self.bytes.clear();
            self.consumed = 0;
            if self.bytes.capacity() > RETAINED_BYTES {
                self.bytes.shrink_to(RETAINED_BYTES);
            }
        }
    }
}
