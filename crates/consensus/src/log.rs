//! The part of the log that is in memory, with the newest snapshot and the members after each entry.

use std::collections::VecDeque;
use std::sync::Arc;

use types::{LogIndex, Term, VoterId};

use crate::{Entry, EntryPayload, Members, Snapshot};

/// Bytes of entries kept in memory before a snapshot's index, for followers that are a little behind.
const TAIL: usize = 256 * 1024;
/// Most bytes of them while a follower still needs them, and at most so many times the snapshot's own: beyond, a whole
/// snapshot is less to send than they are.
const HELD: usize = 8 * 1024 * 1024;
const HELD_SNAPSHOTS: usize = 2;

/// What an entry weighs, in bytes: its content and a rough share for the rest.
pub(crate) fn weight(entry: &Entry) -> usize {
    24 + match &entry.payload {
        EntryPayload::Noop => 0,
        EntryPayload::Command(data) => data.len(),
        EntryPayload::Members(members) => members.0.len() * size_of::<VoterId>(),
    }
}

#[derive(Clone, Hash)]
pub(crate) struct Log {
    /// The entry before the first one in memory; at most the snapshot's index.
    base: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Members after the entry at each index, ascending; the first is that at `base` or before.
    members: Vec<(LogIndex, Members)>,
    snapshot: Option<Arc<Snapshot>>,
    /// More than the tail is kept, as a follower needs it.
    holds: bool,
}

impl Log {
    /// From what a disk held. Entries after a gap, or out of order, are left out, as are those in the snapshot.
    pub(crate) fn open(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            base: LogIndex(0),
            base_term: Term(0),
            entries: VecDeque::new(),
            members: vec![(LogIndex(0), Members::default())],
            snapshot: None,
            holds: false,
        };
        if let Some(snapshot) = snapshot {
            log.replace(snapshot);
        }
        for entry in entries {
            if entry.index > log.last() {
                if entry.index.0 != log.last().0 + 1 || entry.term < log.last_term() {
                    break;
                }
                log.append(entry);
            }
        }
        log
    }

    pub(crate) fn base(&self) -> LogIndex {
        self.base
    }

    pub(crate) fn last(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let at = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// None where the entry is not in memory, be it before or after.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base { Some(self.base_term) } else { self.get(index).map(|entry| entry.term) }
    }

    /// The first index of the run of one term that `index` is in, as far as memory goes.
    pub(crate) fn run_start(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut start = index;
        while start > self.base && self.term_at(LogIndex(start.0 - 1)) == term {
            start = LogIndex(start.0 - 1);
        }
        start
    }

    /// Entries from `from` on: at least one where there is one, else no more than `bytes`.
    pub(crate) fn slice(&self, from: LogIndex, bytes: usize) -> Vec<Entry> {
        let start = usize::try_from(from.0.saturating_sub(self.base.0 + 1)).unwrap_or(usize::MAX);
        let mut sum = 0;
        let fits = |entry: &&Entry| {
            let first = sum == 0;
            sum += weight(entry);
            first || sum <= bytes
        };
        self.entries.range(start.min(self.entries.len())..).take_while(fits).cloned().collect()
    }

    /// The sum of the weights after `index`, in bytes.
    pub(crate) fn weight_after(&self, index: LogIndex) -> usize {
        let start = usize::try_from(index.0.saturating_sub(self.base.0)).unwrap_or(usize::MAX);
        self.entries.range(start.min(self.entries.len())..).map(weight).sum()
    }

    /// What is in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.weight_after(self.base) + self.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len())
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index.0, self.last().0 + 1, "the log has no gaps");
        if let EntryPayload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn cut(&mut self, from: LogIndex) {
        assert!(from > self.base, "what a snapshot holds is never cut");
        self.entries.truncate((from.0 - self.base.0 - 1) as usize);
        while self.members.len() > 1 && self.members.last().is_some_and(|(index, _)| *index >= from) {
            self.members.pop();
        }
    }

    /// The newest members in the log, committed or not: they count from when they are appended.
    pub(crate) fn members(&self) -> &Members {
        &self.members.last().expect("there is always a first one").1
    }

    /// The index from which the newest members count.
    pub(crate) fn members_since(&self) -> LogIndex {
        self.members.last().expect("there is always a first one").0
    }

    pub(crate) fn members_at(&self, index: LogIndex) -> &Members {
        let found = self.members.iter().rev().find(|(since, _)| *since <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index)
    }

    /// Takes a snapshot in place of the entries up to its index, which go with the next `trim`. True if the entries
    /// after it stay.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) -> bool {
        let known = self.term_at(snapshot.index) == Some(snapshot.term);
        if !known {
            self.entries.clear();
            self.base = snapshot.index;
            self.base_term = snapshot.term;
            self.members = vec![(snapshot.index, snapshot.members.clone())];
        }
        self.snapshot = Some(Arc::new(snapshot));
        known
    }

    /// True if it is longer than the tail that is kept in any case.
    pub(crate) fn is_long(&self) -> bool {
        self.weight_after(self.base) > TAIL
    }

    /// True if `trim` may let go of more once less is needed.
    pub(crate) fn holds(&self) -> bool {
        self.holds
    }

    /// Drops what the snapshot stands for but for a tail. What comes after `needed`, the last entry of the follower
    /// that is farthest behind, stays within the bounds: guards against a follower that never arrives, since what it
    /// needs next goes while a snapshot is on its way to it.
    pub(crate) fn trim(&mut self, needed: LogIndex) {
        let upto = self.snapshot_index();
        let most = HELD_SNAPSHOTS * self.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len());
        let most = most.clamp(TAIL, HELD);
        let mut tail = self.weight_after(self.base) - self.weight_after(upto);
        while tail > TAIL && self.base < upto && (self.base < needed || tail > most) {
            let Some(entry) = self.entries.pop_front() else { break };
            tail -= weight(&entry);
            self.base = entry.index;
            self.base_term = entry.term;
        }
        self.holds = tail > TAIL;
        let old = self.members.iter().filter(|(since, _)| *since <= self.base).count();
        self.members.drain(..old.saturating_sub(1));
    }
}
