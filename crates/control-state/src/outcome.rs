//! CommandOutcome (of a command): a value, the same at every node, with the status that its caller is answered.

use configuration::Faults;
use types::{ConfigVersion, FormatVersion};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    Applied,
    /// Exactly this one was taken before.
    Repeated,
    /// Made on top of another version than the current one.
    VersionConflict {
        current: ConfigVersion,
    },
    Invalid(Faults),
    /// Something else is under way; the text says what.
    Conflict(String),
    /// There is no such service.
    UnknownService(String),
    /// No command of ours.
    Unreadable,
    /// This form is agreed and not read here: the entry was not applied, and none after it will be.
    UnsupportedFormat {
        format: FormatVersion,
    },
    /// The entry was applied earlier, or the state is past it; nothing was done, and nothing is said about
    /// what its command came to.
    AlreadyApplied,
}

impl CommandOutcome {
    /// The status of the answer. `Old` gives no clear one, so that the caller asks again.
    pub fn http_status(&self) -> u16 {
        match self {
            CommandOutcome::Applied | CommandOutcome::Repeated => 200,
            CommandOutcome::VersionConflict { .. } => 412,
            CommandOutcome::Invalid(_) | CommandOutcome::Unreadable => 400,
            CommandOutcome::Conflict(_) => 409,
            CommandOutcome::UnknownService(_) => 404,
            CommandOutcome::AlreadyApplied | CommandOutcome::UnsupportedFormat { .. } => 503,
        }
    }
}

/// Why a kept state was not taken over. The state before it stands unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    #[error("the kept state cannot be read")]
    Unreadable,
    #[error("the kept state's form {0} is not known here")]
    UnsupportedFormat(u8),
    #[error("the kept configuration has faults: {0}")]
    Configuration(Faults),
    #[error("the kept state is of entry {snapshot_index}, older than entry {current_index} here")]
    Older { snapshot_index: u64, current_index: u64 },
}
