//! Serde for byte vectors: written and read as one byte string rather than as a sequence of numbers.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserializer, Serializer};

pub fn serialize<S: Serializer>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(data)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, data: &[u8]) -> Result<Vec<u8>, E> {
        Ok(data.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, data: Vec<u8>) -> Result<Vec<u8>, E> {
        Ok(data)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
        let mut data = Vec::new();
        while let Some(byte) = seq.next_element()? {
            data.push(byte);
        }
        Ok(data)
    }
}
