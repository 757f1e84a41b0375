//! Commands kept in memory: the recent ones, which other nodes may still lack, and those that arrived before the commands
//! that they build on. Both are bounded in number and bytes.

use std::collections::{BTreeMap, VecDeque};

use types::LogIndex;

use crate::ChainedCommand;

/// Recent commands kept, beside the limit in bytes that `push` gets.
const RECENT_COMMANDS_MAX: usize = 4_096;
/// Commands kept that arrived early, and their bytes.
const EARLY_COMMANDS_MAX: usize = 256;
const EARLY_BYTES_MAX: usize = 256 * 1024;

/// What a node lacks of the recent commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Missing {
    /// 0 where the chain from there is no longer kept.
    pub commands: usize,
    pub bytes: usize,
}

/// The latest commands held here, in order and without gaps.
#[derive(Debug, Default)]
pub(crate) struct RecentCommands {
    commands: VecDeque<ChainedCommand>,
    bytes: usize,
}

impl RecentCommands {
    /// Appends a command, and drops the oldest ones beyond `bytes_max`.
    pub fn push(&mut self, command: ChainedCommand, bytes_max: usize) {
        self.bytes += command.data.len();
        self.commands.push_back(command);
        self.trim(bytes_max);
    }

    pub fn trim(&mut self, bytes_max: usize) {
        while self.commands.len() > RECENT_COMMANDS_MAX || self.bytes > bytes_max {
            let Some(oldest) = self.commands.pop_front() else { return };
            self.bytes -= oldest.data.len();
        }
    }

    pub fn clear(&mut self) {
        *self = RecentCommands::default();
    }

    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    /// Bytes of the latest command.
    pub fn latest_bytes(&self) -> u32 {
        self.commands.back().map_or(0, |command| command.data.len() as u32)
    }

    /// Index of the command before the latest one.
    pub fn latest_prev(&self) -> LogIndex {
        self.commands.back().map_or(LogIndex(0), |command| command.prev)
    }

    /// The commands after `held`; none where the chain from there is no longer kept.
    pub fn after(&self, held: LogIndex) -> impl Iterator<Item = &ChainedCommand> {
        let first = self.commands.partition_point(|command| command.index <= held);
        let unbroken = self.commands.get(first).is_some_and(|command| command.prev <= held);
        self.commands.range(if unbroken { first } else { self.commands.len() }..)
    }

    /// Number and bytes of the commands after `held`.
    pub fn missing_after(&self, held: LogIndex) -> Missing {
        self.after(held).fold(Missing { commands: 0, bytes: 0 }, |missing, command| Missing {
            commands: missing.commands + 1,
            bytes: missing.bytes + command.data.len(),
        })
    }
}

/// Commands that arrived before those that they build on.
#[derive(Debug, Default)]
pub(crate) struct EarlyCommands {
    commands: BTreeMap<LogIndex, ChainedCommand>,
    bytes: usize,
}

impl EarlyCommands {
    pub fn contains(&self, index: LogIndex) -> bool {
        self.commands.contains_key(&index)
    }

    /// Keeps a command for later, and drops those farthest ahead beyond the limits.
    pub fn insert(&mut self, command: ChainedCommand) {
        if self.contains(command.index) {
            return;
        }
        self.bytes += command.data.len();
        self.commands.insert(command.index, command);
        while self.commands.len() > EARLY_COMMANDS_MAX || self.bytes > EARLY_BYTES_MAX {
            let Some((_, farthest)) = self.commands.pop_last() else { return };
            self.bytes -= farthest.data.len();
        }
    }

    /// Takes the command that can be applied after `held`, if it is here, and drops older ones.
    pub fn take_next(&mut self, held: LogIndex) -> Option<ChainedCommand> {
        loop {
            let first = self.commands.first_entry()?;
            if first.get().index > held && first.get().prev > held {
                return None;
            }
            let command = first.remove();
            self.bytes -= command.data.len();
            if command.index > held {
                return Some(command);
            }
        }
    }
}
