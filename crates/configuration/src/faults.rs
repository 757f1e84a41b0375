//! Faults of a configuration: each with its place and what was expected there. Their number is bounded.

use std::fmt;

/// As many faults are listed as an operator reads at once; further ones are only counted.
pub const MAX_FAULTS: usize = 32;
/// Longest quotation of what was sent, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the value, such as `ResourceSet[3].SpecBody.MaxAttempts`; empty for the text as a whole.
    pub place: String,
    pub expected: String,
}

/// The faults of a text; never empty in an `Err`.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    pub list: Vec<Fault>,
    /// Number of faults beyond those listed.
    pub omitted: usize,
}

impl Faults {
    /// A list of one fault.
    pub fn single(place: impl Into<String>, expected: impl Into<String>) -> Faults {
        Faults { list: vec![Fault { place: place.into(), expected: expected.into() }], omitted: 0 }
    }

    /// Adds a fault. Place and expectation are formatted only if the fault is listed.
    pub(crate) fn add(&mut self, place: impl fmt::Display, expected: impl fmt::Display) {
        if self.list.len() < MAX_FAULTS {
            self.list.push(Fault { place: place.to_string(), expected: expected.to_string() });
        } else {
            self.omitted += 1;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The body of a response with status 400.
    pub fn to_json(&self) -> Vec<u8> {
        let mut out = b"{\"Faults\":[".to_vec();
        for (index, fault) in self.list.iter().enumerate() {
            out.extend_from_slice(if index == 0 { b"{\"Place\":" } else { b",{\"Place\":" });
            crate::json::write_string(&mut out, &fault.place);
            out.extend_from_slice(b",\"Expected\":");
            crate::json::write_string(&mut out, &fault.expected);
            out.push(b'}');
        }
        out.extend_from_slice(format!("],\"More\":{}}}", self.omitted).as_bytes());
        out
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            let place = if fault.place.is_empty() { "text" } else { fault.place.as_str() };
            write!(f, "{place}: {}", fault.expected)?;
        }
        if self.omitted > 0 {
            write!(f, "; and {} more", self.omitted)?;
        }
        Ok(())
    }
}

/// Quotes what was sent, on one line and truncated.
pub(crate) fn quoted(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("'{}...'", text[..end].escape_debug()),
        None => format!("'{}'", text.escape_debug()),
    }
}
