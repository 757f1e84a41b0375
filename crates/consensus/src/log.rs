//! The part of the log that is in memory, with the newest snapshot and the history of the members.

use std::collections::VecDeque;
use std::sync::Arc;

use types::{LogIndex, Term, VoterId};

use crate::{Entry, EntryPayload, Members, Snapshot};

/// Bytes of entries that stay in memory although the snapshot covers them, for followers that are slightly behind.
const TAIL_BYTES: usize = 256 * 1024;
/// While a follower still needs covered entries, up to this many bytes of them stay, and at most this many times the size of
/// the snapshot: beyond that, sending the whole snapshot takes fewer bytes.
const MAX_RETAINED_BYTES: usize = 8 * 1024 * 1024;
const MAX_RETAINED_SNAPSHOT_SIZES: usize = 2;
/// Estimated memory that an entry takes beside its content.
const ENTRY_OVERHEAD_BYTES: usize = 24;

/// Bytes that an entry counts for: its content and an estimate of the overhead.
pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    ENTRY_OVERHEAD_BYTES
        + match &entry.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Command(data) => data.len(),
            EntryPayload::Members(members) => members.0.len() * size_of::<VoterId>(),
        }
}

#[derive(Clone, Hash)]
pub(crate) struct Log {
    /// The index just before the first entry in memory; at most the snapshot's index.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// The members from each index on, in ascending order; the first element is that of `base_index` or earlier.
    member_changes: Vec<(LogIndex, Members)>,
    snapshot: Option<Arc<Snapshot>>,
    /// More than `TAIL_BYTES` of covered entries are in memory, because a follower needs them.
    retains_extra: bool,
}

impl Log {
    /// Builds the log from what a disk held. Entries that the snapshot covers are left out, and so is everything from the
    /// first gap or decreasing term on.
    pub(crate) fn restore(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            base_index: LogIndex(0),
            base_term: Term(0),
            entries: VecDeque::new(),
            member_changes: vec![(LogIndex(0), Members::default())],
            snapshot: None,
            retains_extra: false,
        };
        if let Some(snapshot) = snapshot {
            log.install_snapshot(snapshot);
        }
        for entry in entries {
            if entry.index > log.last_index() {
                if entry.index.0 != log.last_index().0 + 1 || entry.term < log.last_term() {
                    break;
                }
                log.append(entry);
            }
        }
        log
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// `None` if the entry is not in memory, whether it is too old or does not exist yet.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index { Some(self.base_term) } else { self.get(index).map(|entry| entry.term) }
    }

    /// The index of the first entry in memory that has the same term as the one at `index`, with no other term in between.
    pub(crate) fn term_start(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut start = index;
        while start > self.base_index && self.term_at(LogIndex(start.0 - 1)) == term {
            start = LogIndex(start.0 - 1);
        }
        start
    }

    /// Entries from `from` on, up to `max_bytes` in total. The first one is included even if it is larger.
    pub(crate) fn entries_from(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let start = usize::try_from(from.0.saturating_sub(self.base_index.0 + 1)).unwrap_or(usize::MAX);
        let mut total_bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = total_bytes == 0;
            total_bytes += entry_bytes(entry);
            is_first || total_bytes <= max_bytes
        };
        self.entries.range(start.min(self.entries.len())..).take_while(fits).cloned().collect()
    }

    /// Total bytes of the entries after `index`.
    pub(crate) fn bytes_after(&self, index: LogIndex) -> usize {
        let start = usize::try_from(index.0.saturating_sub(self.base_index.0)).unwrap_or(usize::MAX);
        self.entries.range(start.min(self.entries.len())..).map(entry_bytes).sum()
    }

    /// Total bytes in memory, with the snapshot.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes_after(self.base_index) + self.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len())
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index.0, self.last_index().0 + 1, "the log has no gaps");
        if let EntryPayload::Members(members) = &entry.payload {
            self.member_changes.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        assert!(from > self.base_index, "entries that a snapshot covers are never truncated");
        self.entries.truncate((from.0 - self.base_index.0 - 1) as usize);
        while self.member_changes.len() > 1
            && self.member_changes.last().is_some_and(|(index, _)| *index >= from)
        {
            self.member_changes.pop();
        }
    }

    /// The newest members in the log, committed or not: a change takes effect when it is appended.
    pub(crate) fn members(&self) -> &Members {
        &self.member_changes.last().expect("the first element is never removed").1
    }

    /// The index of the entry that set the newest members.
    pub(crate) fn members_since(&self) -> LogIndex {
        self.member_changes.last().expect("the first element is never removed").0
    }

    pub(crate) fn members_at(&self, index: LogIndex) -> &Members {
        let change = self.member_changes.iter().rev().find(|(since, _)| *since <= index);
        &change.unwrap_or(&self.member_changes[0]).1
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index)
    }

    /// Replaces the snapshot. The entries that it covers are dropped by the next `compact`. Returns whether the entries after
    /// it are kept, which is so if the log has the entry that the snapshot was taken after.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let has_entry = self.term_at(snapshot.index) == Some(snapshot.term);
        if !has_entry {
            self.entries.clear();
            self.base_index = snapshot.index;
            self.base_term = snapshot.term;
            self.member_changes = vec![(snapshot.index, snapshot.members.clone())];
        }
        self.snapshot = Some(Arc::new(snapshot));
        has_entry
    }

    /// Whether the entries in memory take more than the tail that is kept in any case.
    pub(crate) fn exceeds_tail(&self) -> bool {
        self.bytes_after(self.base_index) > TAIL_BYTES
    }

    /// Whether `compact` could drop more entries once followers need fewer.
    pub(crate) fn retains_extra(&self) -> bool {
        self.retains_extra
    }

    /// Drops the entries that the snapshot covers, except for a tail. Entries after `needed`, the last entry of the follower
    /// that is farthest behind, are kept within the bounds. Otherwise a follower might never catch up: the entries it needs
    /// next would be dropped while a snapshot is being sent to it.
    pub(crate) fn compact(&mut self, needed: LogIndex) {
        let snapshot_index = self.snapshot_index();
        let snapshot_bytes = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len());
        let max_tail_bytes =
            (MAX_RETAINED_SNAPSHOT_SIZES * snapshot_bytes).clamp(TAIL_BYTES, MAX_RETAINED_BYTES);
        let mut tail_bytes = self.bytes_after(self.base_index) - self.bytes_after(snapshot_index);
        while tail_bytes > TAIL_BYTES
            && self.base_index < snapshot_index
            && (self.base_index < needed || tail_bytes > max_tail_bytes)
        {
            let Some(entry) = self.entries.pop_front() else { break };
            tail_bytes -= entry_bytes(&entry);
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        self.retains_extra = tail_bytes > TAIL_BYTES;
        let outdated = self.member_changes.iter().filter(|(since, _)| *since <= self.base_index).count();
        self.member_changes.drain(..outdated.saturating_sub(1));
    }
}
