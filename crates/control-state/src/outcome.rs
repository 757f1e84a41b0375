//! Outcome (of a command): a value, the same at every node, with the status that its caller is answered.

use configuration::Faults;
use types::{ConfigVersion, FormatVersion};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Taken,
    /// Exactly this one was taken before.
    Again,
    /// Made on top of another version than the current one.
    Raced {
        current: ConfigVersion,
    },
    Invalid(Faults),
    /// Something else is under way; the text says what.
    Conflict(String),
    /// There is no such service.
    Unknown(String),
    /// No command of ours.
    Unreadable,
    /// This form is agreed and not read here: the entry was not applied, and none after it will be.
    Beyond {
        form: FormatVersion,
    },
    /// The entry was applied earlier, or the state is past it; nothing was done, and nothing is said about
    /// what its command came to.
    Old,
}

impl Outcome {
    /// The status of the answer. `Old` gives no clear one, so that the caller asks again.
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Taken | Outcome::Again => 200,
            Outcome::Raced { .. } => 412,
            Outcome::Invalid(_) | Outcome::Unreadable => 400,
            Outcome::Conflict(_) => 409,
            Outcome::Unknown(_) => 404,
            Outcome::Old | Outcome::Beyond { .. } => 503,
        }
    }
}

/// Why a kept state was not taken over. The state before it stands unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    #[error("the kept state cannot be read")]
    Unreadable,
    #[error("the kept state's form {0} is not known here")]
    Form(u8),
    #[error("the kept configuration has faults: {0}")]
    Bill(Faults),
    #[error("the kept state is of entry {kept}, older than entry {here} here")]
    Older { kept: u64, here: u64 },
}
