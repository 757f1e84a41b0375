//! JSON within bounds: depth and size are checked before anything is built, and what is written comes out the
//! same at every node, whatever order a map keeps.

use simd_json::OwnedValue;
use simd_json::prelude::*;

use crate::faults::Faults;
use crate::{MAX_BYTES, MAX_DEPTH};

/// Guards the stack and the memory: values are built and dropped by recursion.
pub fn parse(text: &[u8]) -> Result<OwnedValue, Faults> {
    if text.len() > MAX_BYTES {
        return Err(Faults::single("", format!("at most {MAX_BYTES} bytes; there are {}", text.len())));
    }
    if exceeds_max_depth(text) {
        return Err(Faults::single("", format!("nested at most {MAX_DEPTH} deep")));
    }
    let mut copy = text.to_vec();
    simd_json::to_owned_value(&mut copy).map_err(|error| Faults::single("", format!("whole JSON; {error}")))
}

/// Whether a text is nested deeper than is read; for other readers of JSON, whose stacks end as soon.
pub fn exceeds_max_depth(text: &[u8]) -> bool {
    depth(text) > MAX_DEPTH
}

fn depth(text: &[u8]) -> usize {
    let (mut now, mut most, mut quoted, mut escaped) = (0usize, 0, false, false);
    for &byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => {
                now += 1;
                most = most.max(now);
            }
            b'}' | b']' if !quoted => now = now.saturating_sub(1),
            _ => {}
        }
    }
    most
}

/// Compact, fields in the order of their names.
pub fn written(value: &OwnedValue) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out, value);
    out
}

fn write(out: &mut Vec<u8>, value: &OwnedValue) {
    match value {
        OwnedValue::Object(fields) => {
            let mut sorted: Vec<_> = fields.iter().collect();
            sorted.sort_by(|a, b| a.0.cmp(b.0));
            out.push(b'{');
            for (at, (name, value)) in sorted.into_iter().enumerate() {
                if at > 0 {
                    out.push(b',');
                }
                write_string(out, name);
                out.push(b':');
                write(out, value);
            }
            out.push(b'}');
        }
        OwnedValue::Array(items) => {
            out.push(b'[');
            for (at, item) in items.iter().enumerate() {
                if at > 0 {
                    out.push(b',');
                }
                write(out, item);
            }
            out.push(b']');
        }
        OwnedValue::String(text) => write_string(out, text),
        OwnedValue::Static(_) => out.extend_from_slice(value.encode().as_bytes()),
    }
}

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
