//! What is known to be on disk, and the one write that may be in progress.

use types::{LogIndex, MS, Micros, Term, VoterId};

use crate::fingerprint::FingerprintHasher;
use crate::log::Log;
use crate::{Write, WriteId};

/// A new commit index that no other write carries is written by itself once it has not risen for this long.
const COMMIT_INDEX_WRITE_DELAY: Micros = 200 * MS;

#[derive(Clone)]
struct PendingWrite {
    id: WriteId,
    started_at: Micros,
    term: Term,
    voted_for: Option<VoterId>,
    /// Once this write is synced, entries up to this one are on disk as in memory.
    stable_index: LogIndex,
    /// The last entry on disk once this write is synced, even if memory has replaced it meanwhile.
    last_index: LogIndex,
    snapshot_index: LogIndex,
    commit_index: LogIndex,
}

#[derive(Clone)]
pub(crate) struct Disk {
    next_id: u64,
    pending: Option<PendingWrite>,
    term: Term,
    voted_for: Option<VoterId>,
    /// Entries up to this one are on disk as in memory.
    stable_index: LogIndex,
    /// No entry after this one can be on disk, whether or not the writes succeeded.
    last_possible_index: LogIndex,
    snapshot_index: LogIndex,
    /// The commit index that a restart would read from disk.
    commit_index: LogIndex,
    /// When a newer commit index is written even if nothing else is to be written.
    commit_write_at: Option<Micros>,
    /// When to try again, after a failed write.
    retry_at: Option<Micros>,
    /// How long the last successful write took.
    last_write_time: Micros,
}

impl Disk {
    /// `log` is the log as it was read from disk, and `last_on_disk` the highest index found there.
    pub(crate) fn restore(
        term: Term, voted_for: Option<VoterId>, log: &Log, last_on_disk: LogIndex, commit_index: LogIndex,
    ) -> Disk {
        Disk {
            next_id: 1,
            pending: None,
            term,
            voted_for,
            stable_index: log.last_index(),
            last_possible_index: last_on_disk,
            snapshot_index: log.snapshot_index(),
            commit_index,
            commit_write_at: None,
            retry_at: None,
            last_write_time: 0,
        }
    }

    /// How long a write is expected to take: as long as the last one, or as the one in progress has taken already.
    pub(crate) fn expected_write_time(&self, now: Micros) -> Micros {
        let in_progress = self.pending.as_ref().map_or(0, |write| now - write.started_at);
        self.last_write_time.max(in_progress)
    }

    pub(crate) fn stable_index(&self) -> LogIndex {
        self.stable_index
    }

    /// Whether this term and vote are on disk.
    pub(crate) fn has_saved_vote(&self, term: Term, voted_for: Option<VoterId>) -> bool {
        self.term == term && self.voted_for == voted_for
    }

    /// False from a failed write until one succeeds, and while a write has taken `stall_timeout` or longer.
    pub(crate) fn is_healthy(&self, now: Micros, stall_timeout: Micros) -> bool {
        self.retry_at.is_none()
            && self.pending.as_ref().is_none_or(|write| now - write.started_at < stall_timeout)
    }

    /// When a write becomes due by time alone.
    pub(crate) fn due(&self) -> Option<Micros> {
        self.retry_at.or(self.commit_write_at).filter(|_| self.pending.is_none())
    }

    /// Schedules a write of the commit index if it is newer than the one on disk. The next write carries it, or one of its
    /// own if there is none for a while.
    pub(crate) fn note_commit_index(&mut self, now: Micros, commit_index: LogIndex) {
        if commit_index > self.commit_index {
            self.commit_write_at = Some(now + COMMIT_INDEX_WRITE_DELAY);
        }
    }

    /// The log in memory was truncated: its entries from `from` on may differ from those on disk.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        let before = LogIndex(from.0.saturating_sub(1));
        self.stable_index = self.stable_index.min(before);
        if let Some(write) = &mut self.pending {
            write.stable_index = write.stable_index.min(before);
        }
    }

    /// The next write, if there is something to write and no write is in progress.
    pub(crate) fn next_write(
        &mut self, now: Micros, term: Term, voted_for: Option<VoterId>, log: &Log, commit_index: LogIndex,
    ) -> Option<Write> {
        if self.pending.is_some() || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        let snapshot = log.snapshot().filter(|snapshot| snapshot.index > self.snapshot_index);
        let valid_index = self.stable_index.max(snapshot.map_or(LogIndex(0), |snapshot| snapshot.index));
        let last_index = log.last_index();
        let commit_write_due = self.commit_write_at.is_some_and(|at| now >= at);
        if self.has_saved_vote(term, voted_for)
            && snapshot.is_none()
            && valid_index == last_index
            && self.last_possible_index <= valid_index
            && !commit_write_due
        {
            return None;
        }
        let id = WriteId(self.next_id);
        self.next_id += 1;
        let write = Write {
            id,
            term,
            voted_for,
            commit_index,
            truncate_from: (self.last_possible_index > valid_index).then_some(LogIndex(valid_index.0 + 1)),
            entries: log.entries_from(LogIndex(valid_index.0 + 1), usize::MAX),
            snapshot: snapshot.map(|snapshot| (**snapshot).clone()),
        };
        self.last_possible_index = self.last_possible_index.max(last_index);
        self.commit_write_at = None;
        self.pending = Some(PendingWrite {
            id,
            started_at: now,
            term,
            voted_for,
            stable_index: last_index,
            last_index,
            snapshot_index: snapshot.map_or(self.snapshot_index, |snapshot| snapshot.index),
            commit_index,
        });
        Some(write)
    }

    /// Records a successful write. Returns whether it is the one in progress.
    pub(crate) fn synced(&mut self, now: Micros, id: WriteId, last_index: LogIndex) -> bool {
        let Some(write) = self.pending.take_if(|write| write.id == id) else { return false };
        self.last_write_time = now - write.started_at;
        self.term = write.term;
        self.voted_for = write.voted_for;
        self.stable_index =
            write.stable_index.max(write.snapshot_index).max(self.stable_index).min(last_index);
        self.last_possible_index = write.last_index;
        self.snapshot_index = write.snapshot_index;
        self.commit_index = write.commit_index;
        self.retry_at = None;
        true
    }

    /// Write ids are left out, since only the write in progress is ever answered. The time of the last write enters by the
    /// time-out of a vote. `stall_timeout` as in `is_healthy`.
    pub(crate) fn add_to_fingerprint(&self, hasher: &mut FingerprintHasher, stall_timeout: Micros) {
        let Disk {
            next_id: _,
            pending,
            term,
            voted_for,
            stable_index,
            last_possible_index,
            snapshot_index,
            commit_index,
            commit_write_at,
            retry_at,
            last_write_time: _,
        } = self;
        hasher.add((term, voted_for, stable_index, last_possible_index, snapshot_index, commit_index));
        hasher
            .add((commit_write_at.map(|at| hasher.time_until(at)), retry_at.map(|at| hasher.time_until(at))));
        hasher.add(pending.is_some());
        if let Some(PendingWrite {
            id: _,
            started_at,
            term,
            voted_for,
            stable_index,
            last_index,
            snapshot_index,
            commit_index,
        }) = pending
        {
            hasher.add((
                hasher.time_since(*started_at, stall_timeout),
                term,
                voted_for,
                stable_index,
                last_index,
                snapshot_index,
                commit_index,
            ));
        }
    }

    /// Records a failed write. Returns whether it is the one in progress. The next write holds all that this one held.
    pub(crate) fn failed(&mut self, id: WriteId, retry_at: Micros) -> bool {
        let Some(_) = self.pending.take_if(|write| write.id == id) else { return false };
        self.retry_at = Some(retry_at);
        // If the failed write held nothing but the commit index, the retry must still have something to write.
        self.commit_write_at = Some(retry_at);
        true
    }
}
