//! Faults (of a configuration): every one with its place and what was expected there, bounded in number.

use std::fmt;

/// As many faults are told as an operator reads at once; the rest are counted.
pub const MAX_FAULTS: usize = 32;
/// What was sent is quoted up to so many characters.
const MAX_QUOTE: usize = 80;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Such as `ResourceSet[3].SpecBody.MaxAttempts`; empty for the text itself.
    pub place: String,
    pub expected: String,
}

/// Never empty where it stands in an `Err`.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    pub list: Vec<Fault>,
    /// Found beyond those listed.
    pub omitted: usize,
}

impl Faults {
    pub fn single(place: impl Into<String>, expected: impl Into<String>) -> Faults {
        Faults { list: vec![Fault { place: place.into(), expected: expected.into() }], omitted: 0 }
    }

    /// Place and expectation are written out only where the fault is listed.
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

    /// The body of an answer 400.
    pub fn to_json(&self) -> Vec<u8> {
        let mut out = b"{\"Faults\":[".to_vec();
        for (at, fault) in self.list.iter().enumerate() {
            out.extend_from_slice(if at == 0 { b"{\"Place\":" } else { b",{\"Place\":" });
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
        for (at, fault) in self.list.iter().enumerate() {
            if at > 0 {
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

/// What was sent, cut to a bounded length and in one line.
pub(crate) fn quoted(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTE) {
        Some((end, _)) => format!("'{}...'", text[..end].escape_debug()),
        None => format!("'{}'", text.escape_debug()),
    }
}
