//! Note (a small value beside the ledger): worth having at a start, yet nothing depends on it, so that one that is
//! damaged is dropped. A checksum, little-endian, then the bytes.

/// The value as it is kept.
pub fn encode(bytes: &[u8]) -> Vec<u8> {
    let mut value = crc32fast::hash(bytes).to_le_bytes().to_vec();
    value.extend_from_slice(bytes);
    value
}

/// The bytes of a value that was kept whole.
pub fn decode(value: &[u8]) -> Option<&[u8]> {
    let (sum, bytes) = value.split_first_chunk()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*sum)).then_some(bytes)
}
