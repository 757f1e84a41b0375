//! Versions of programs and of the formats that they write, by which a reader decides whether it can read a message, a
//! command or a stored state. `docs/format-versions.md` has the rules.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The high bit of a tag byte. Programs from before formats were tagged never wrote a first byte with this bit.
const TAG_BIT: u8 = 0x80;

/// The version of the format in which something is written, 1 to 127. One number covers messages, commands and states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FormatVersion(pub u8);

impl FormatVersion {
    pub const V1: FormatVersion = FormatVersion(1);
    /// Since 0.6.0: commands carry a time of the replicated clock, by which the state recognises repeated commands
    /// (`docs/control.md`).
    pub const V2: FormatVersion = FormatVersion(2);

    /// The byte that precedes what is written in this format.
    pub fn tag_byte(self) -> u8 {
        TAG_BIT | self.0
    }

    /// `None` if the byte is not a tag.
    pub fn from_tag_byte(byte: u8) -> Option<FormatVersion> {
        (byte > TAG_BIT).then_some(FormatVersion(byte & !TAG_BIT))
    }
}

/// The formats that a program can read: every one from `oldest` to `newest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FormatRange {
    pub oldest: FormatVersion,
    pub newest: FormatVersion,
}

impl FormatRange {
    /// The formats that this program reads.
    pub const SUPPORTED: FormatRange = FormatRange { oldest: FormatVersion::V1, newest: FormatVersion::V2 };

    pub fn contains(self, format: FormatVersion) -> bool {
        self.oldest <= format && format <= self.newest
    }

    /// The newest format that both this program and a reader of formats up to `newest` can read. Where there is none, the
    /// oldest format of this program, so that the reader can refuse it with an explicit answer.
    pub fn newest_common(self, newest: FormatVersion) -> FormatVersion {
        self.newest.min(newest).max(self.oldest)
    }
}

/// The version of a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProgramVersion {
    pub major: u16,
    pub minor: u16,
    pub patch: u16,
}

/// What a node runs: the program's version, and the formats that it can read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeVersion {
    pub program: ProgramVersion,
    pub formats: FormatRange,
}

impl NodeVersion {
    /// The version of this program. All packages of the workspace have one version.
    pub const CURRENT: NodeVersion = NodeVersion {
        program: ProgramVersion {
            major: version_number(env!("CARGO_PKG_VERSION_MAJOR")),
            minor: version_number(env!("CARGO_PKG_VERSION_MINOR")),
            patch: version_number(env!("CARGO_PKG_VERSION_PATCH")),
        },
        formats: FormatRange::SUPPORTED,
    };
}

const fn version_number(digits: &str) -> u16 {
    match u16::from_str_radix(digits, 10) {
        Ok(number) => number,
        Err(_) => panic!("a version has three numbers"),
    }
}

impl fmt::Display for FormatVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ProgramVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.major, self.minor, self.patch)
    }
}

impl fmt::Display for NodeVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, which reads forms {} to {}", self.program, self.formats.oldest, self.formats.newest)
    }
}
