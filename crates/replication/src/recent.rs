//! Ring (recent commands): what others may still miss, and what came too early here; bounded by count and bytes.

use std::collections::{BTreeMap, VecDeque};

use types::LogIndex;

use crate::ChainedCommand;

const RING_PIECES_MAX: usize = 4_096;
const EARLY_PIECES_MAX: usize = 256;
const EARLY_BYTES_MAX: usize = 256 * 1024;

/// The latest commands held here, in order, without gaps.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    commands: VecDeque<ChainedCommand>,
    bytes: usize,
}

impl Ring {
    /// `most`: bytes that are kept.
    pub fn push(&mut self, piece: ChainedCommand, most: usize) {
        self.bytes += piece.data.len();
        self.commands.push_back(piece);
        self.trim(most);
    }

    pub fn trim(&mut self, most: usize) {
        while self.commands.len() > RING_PIECES_MAX || self.bytes > most {
            let Some(oldest) = self.commands.pop_front() else { return };
            self.bytes -= oldest.data.len();
        }
    }

    pub fn clear(&mut self) {
        *self = Ring::default();
    }

    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    /// Bytes of the latest command.
    pub fn latest_bytes(&self) -> u32 {
        self.commands.back().map_or(0, |piece| piece.data.len() as u32)
    }

    /// What the latest command follows.
    pub fn before_last(&self) -> LogIndex {
        self.commands.back().map_or(LogIndex(0), |piece| piece.prev)
    }

    /// What follows `have`; nothing where the chain from there is not held any more.
    pub fn after(&self, have: LogIndex) -> impl Iterator<Item = &ChainedCommand> {
        let first = self.commands.partition_point(|piece| piece.index <= have);
        let whole = self.commands.get(first).is_some_and(|piece| piece.prev <= have);
        self.commands.range(if whole { first } else { self.commands.len() }..)
    }

    /// Count and bytes of what follows `have`.
    pub fn missing(&self, have: LogIndex) -> (usize, usize) {
        self.after(have).fold((0, 0), |(count, bytes), piece| (count + 1, bytes + piece.data.len()))
    }
}

/// Pieces that came before those they build on.
#[derive(Debug, Default)]
pub(crate) struct Early {
    commands: BTreeMap<LogIndex, ChainedCommand>,
    bytes: usize,
}

impl Early {
    pub fn has(&self, index: LogIndex) -> bool {
        self.commands.contains_key(&index)
    }

    /// Keeps a piece for later; the farthest ahead makes room.
    pub fn keep(&mut self, piece: ChainedCommand) {
        if self.has(piece.index) {
            return;
        }
        self.bytes += piece.data.len();
        self.commands.insert(piece.index, piece);
        while self.commands.len() > EARLY_PIECES_MAX || self.bytes > EARLY_BYTES_MAX {
            let Some((_, farthest)) = self.commands.pop_last() else { return };
            self.bytes -= farthest.data.len();
        }
    }

    /// The piece that fits after `have`, if it is here; older ones are dropped.
    pub fn next(&mut self, have: LogIndex) -> Option<ChainedCommand> {
        loop {
            let first = self.commands.first_entry()?;
            if first.get().index > have && first.get().prev > have {
                return None;
            }
            let piece = first.remove();
            self.bytes -= piece.data.len();
            if piece.index > have {
                return Some(piece);
            }
        }
    }
}
