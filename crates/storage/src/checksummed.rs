//! Small values with a checksum, for data beside the log that speeds up a start but that nothing depends on, so a damaged
//! value is simply dropped. An encoded value is a little-endian CRC-32 followed by the bytes.

pub fn encode(bytes: &[u8]) -> Vec<u8> {
    let mut value = crc32fast::hash(bytes).to_le_bytes().to_vec();
    value.extend_from_slice(bytes);
    value
}

/// The bytes of an encoded value, or `None` if it is damaged.
pub fn decode(value: &[u8]) -> Option<&[u8]> {
    let (checksum, bytes) = value.split_first_chunk()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*checksum)).then_some(bytes)
}
