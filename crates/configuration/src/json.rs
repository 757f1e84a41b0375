//! JSON within limits: size and depth are checked before any value is built. What is encoded is the same at every node,
//! whatever the order of a map.

use simd_json::OwnedValue;
use simd_json::prelude::*;

use crate::faults::Faults;
use crate::{MAX_BYTES, MAX_DEPTH};

/// Parses a text within the limits, which guard the memory and the stack: values are built and dropped recursively.
pub fn parse(text: &[u8]) -> Result<OwnedValue, Faults> {
    if text.len() > MAX_BYTES {
        return Err(Faults::single("", format!("at most {MAX_BYTES} bytes; there are {}", text.len())));
    }
    if exceeds_max_depth(text) {
        return Err(Faults::single("", format!("nested at most {MAX_DEPTH} deep")));
    }
    let mut buffer = text.to_vec();
    simd_json::to_owned_value(&mut buffer).map_err(|error| Faults::single("", format!("whole JSON; {error}")))
}

/// Whether a text is nested deeper than `MAX_DEPTH`; also for other JSON parsers, whose stacks are as limited.
pub fn exceeds_max_depth(text: &[u8]) -> bool {
    nesting_depth(text) > MAX_DEPTH
}

/// The deepest nesting of objects and lists. The text need not be valid JSON.
fn nesting_depth(text: &[u8]) -> usize {
    let (mut depth, mut deepest, mut quoted, mut escaped) = (0usize, 0, false, false);
    for &byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b'}' | b']' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// Encodes a value without white space, with fields sorted by name.
pub fn encode(value: &OwnedValue) -> Vec<u8> {
    let mut out = Vec::new();
    encode_value(&mut out, value);
    out
}

/// Appends the encoding of a value.
fn encode_value(out: &mut Vec<u8>, value: &OwnedValue) {
    match value {
        OwnedValue::Object(fields) => {
            let mut sorted: Vec<_> = fields.iter().collect();
            sorted.sort_by(|a, b| a.0.cmp(b.0));
            out.push(b'{');
            for (index, (name, value)) in sorted.into_iter().enumerate() {
                if index > 0 {
                    out.push(b',');
                }
                write_string(out, name);
                out.push(b':');
                encode_value(out, value);
            }
            out.push(b'}');
        }
        OwnedValue::Array(items) => {
            out.push(b'[');
            for (index, item) in items.iter().enumerate() {
                if index > 0 {
                    out.push(b',');
                }
                encode_value(out, item);
            }
            out.push(b']');
        }
        OwnedValue::String(text) => write_string(out, text),
        OwnedValue::Static(_) => out.extend_from_slice(value.encode().as_bytes()),
    }
}

/// Encodes a string with quotes and escapes.
pub fn write_string(out: &mut Vec<u8>, text: &str) {
    out.push(b'"');
    for byte in text.bytes() {
        match byte {
            b'"' | b'\\' => out.extend_from_slice(&[b'\\', byte]),
            0..0x20 => out.extend_from_slice(format!("\\u{byte:04x}").as_bytes()),
            _ => out.push(byte),
        }
    }
    out.push(b'"');
}
