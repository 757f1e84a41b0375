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
///
/// The texts stand in log lines and on operators' pages; they keep the older words "kept state" and "form".
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
