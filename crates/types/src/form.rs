//! Form (of what is written): tells a reader whether it may read on. `docs/forms.md` has the rules.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Marks a head: what programs wrote before forms had heads never begins with a byte this high.
const MARK: u8 = 0x80;

/// Numbers a way of writing, 1 to 127; one number for words, commands and states together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Form(pub u8);

impl Form {
    pub const FIRST: Form = Form(1);
    /// Since 0.6.0: commands bear a moment of the ordered clock, and the state tells repeats by it (`docs/control.md`).
    pub const SECOND: Form = Form(2);

    /// The byte that stands before what is written in this form.
    pub fn head(self) -> u8 {
        MARK | self.0
    }

    /// None where the byte is no head.
    pub fn of_head(byte: u8) -> Option<Form> {
        (byte > MARK).then_some(Form(byte & !MARK))
    }
}

/// What a program reads: every form from `oldest` to `newest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Forms {
    pub oldest: Form,
    pub newest: Form,
}

impl Forms {
    /// Those of this program.
    pub const OWN: Forms = Forms { oldest: Form::FIRST, newest: Form::SECOND };

    pub fn read(self, form: Form) -> bool {
        self.oldest <= form && form <= self.newest
    }

    /// The newest form that both this one and a reader up to `newest` read; the oldest here where there is none,
    /// so that the other one can refuse it with a word.
    pub fn shared(self, newest: Form) -> Form {
        self.newest.min(newest).max(self.oldest)
    }
}

/// A program's version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Program {
    pub major: u16,
    pub minor: u16,
    pub patch: u16,
}

/// What runs on a node: the program's version and the forms that it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Edition {
    pub program: Program,
    pub forms: Forms,
}

impl Edition {
    /// This program. All packages of the workspace have one version.
    pub const OWN: Edition = Edition {
        program: Program {
            major: number(env!("CARGO_PKG_VERSION_MAJOR")),
            minor: number(env!("CARGO_PKG_VERSION_MINOR")),
            patch: number(env!("CARGO_PKG_VERSION_PATCH")),
        },
        forms: Forms::OWN,
    };
}

const fn number(digits: &str) -> u16 {
    match u16::from_str_radix(digits, 10) {
        Ok(number) => number,
        Err(_) => panic!("a version has three numbers"),
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.major, self.minor, self.patch)
    }
}

impl fmt::Display for Edition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, which reads forms {} to {}", self.program, self.forms.oldest, self.forms.newest)
    }
}
