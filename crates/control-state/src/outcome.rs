//! What a command came to, the same at every node, and why a snapshot can be refused.

use configuration::Faults;
use types::{ConfigVersion, FormatVersion};

/// What applying a command came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    Applied,
    /// Exactly this command was applied before; nothing was changed.
    Repeated,
    /// The change was made on top of another version than the current one.
    VersionConflict {
        current: ConfigVersion,
    },
    /// The command's text or fields have faults.
    Invalid(Faults),
    /// The command conflicts with something that is in progress, or exceeds a limit; the text says what.
    Conflict(String),
    /// There is no such service; the text names it.
    UnknownService(String),
    /// The entry holds no command that can be decoded.
    Unreadable,
    /// This format is agreed, but this program does not read it: the entry was not applied, and none after it will be.
    UnsupportedFormat {
        format: FormatVersion,
    },
    /// The entry was applied earlier, or the state is past it. Nothing was done, and what its command came to is not
    /// known here.
    AlreadyApplied,
}

impl CommandOutcome {
    /// The HTTP status that the caller is answered with. `AlreadyApplied` and `UnsupportedFormat` say nothing about
    /// the command, so they give 503 and the caller asks again.
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

/// Why a snapshot was not restored. The state is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    #[error("the snapshot cannot be decoded")]
    Unreadable,
    #[error("the snapshot's format {0} is not supported")]
    UnsupportedFormat(u8),
    #[error("the snapshot's configuration has faults: {0}")]
    Configuration(Faults),
    #[error(
        "the snapshot is of entry {snapshot_index}, older than the current state at entry {current_index}"
    )]
    Older { snapshot_index: u64, current_index: u64 },
}
