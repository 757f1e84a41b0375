//! What is known to be on disk, and the one write that may be under way.

use types::{LogIndex, MS, Micros, Term, VoterId};

use crate::log::Log;
use crate::mark::FingerprintHasher;
use crate::{Write, WriteId};

/// What is committed is written without anything else after it has not risen for so long.
const LAZY: Micros = 200 * MS;

#[derive(Clone)]
struct UnderWay {
    no: WriteId,
    since: Micros,
    term: Term,
    voted: Option<VoterId>,
    /// Entries up to this one are as in memory once it is synced.
    upto: LogIndex,
    /// The last entry on disk once it is synced, whether still good or not.
    last: LogIndex,
    snapshot: LogIndex,
    committed: LogIndex,
}

#[derive(Clone)]
pub(crate) struct Disk {
    next: u64,
    under_way: Option<UnderWay>,
    term: Term,
    voted: Option<VoterId>,
    /// Entries up to this one are on disk as in memory.
    stable: LogIndex,
    /// No entry after this one can be on disk, whatever came of the writes.
    holds: LogIndex,
    snapshot: LogIndex,
    /// What is committed, as the disk tells at a start.
    committed: LogIndex,
    /// When a newer `committed` is written for its own sake.
    lazily: Option<Micros>,
    /// The last write failed; when to try again.
    retry: Option<Micros>,
}

impl Disk {
    /// `log` as it was read, `holds` the last index found.
    pub(crate) fn open(
        term: Term, voted: Option<VoterId>, log: &Log, holds: LogIndex, committed: LogIndex,
    ) -> Disk {
        let (stable, snapshot) = (log.last(), log.snapshot_index());
        Disk {
            next: 1,
            under_way: None,
            term,
            voted,
            stable,
            holds,
            snapshot,
            committed,
            lazily: None,
            retry: None,
        }
    }

    pub(crate) fn stable(&self) -> LogIndex {
        self.stable
    }

    /// True if this term and vote are on disk.
    pub(crate) fn knows(&self, term: Term, voted: Option<VoterId>) -> bool {
        self.term == term && self.voted == voted
    }

    /// False after a failed write until one succeeds, and while one has hung for over `hung` microseconds.
    pub(crate) fn well(&self, now: Micros, hung: Micros) -> bool {
        self.retry.is_none() && self.under_way.as_ref().is_none_or(|write| now - write.since < hung)
    }

    /// When the next write is wanted that nothing but time brings about.
    pub(crate) fn due(&self) -> Option<Micros> {
        self.retry.or(self.lazily).filter(|_| self.under_way.is_none())
    }

    /// More is committed than the disk tells. It goes with the next write, or alone once all is calm.
    pub(crate) fn committed(&mut self, now: Micros, committed: LogIndex) {
        if committed > self.committed {
            self.lazily = Some(now + LAZY);
        }
    }

    /// Memory has other entries from `from` on than it had.
    pub(crate) fn cut(&mut self, from: LogIndex) {
        let before = LogIndex(from.0.saturating_sub(1));
        self.stable = self.stable.min(before);
        if let Some(write) = &mut self.under_way {
            write.upto = write.upto.min(before);
        }
    }

    /// The next write, where there is something to write and none is under way.
    pub(crate) fn issue(
        &mut self, now: Micros, term: Term, voted: Option<VoterId>, log: &Log, committed: LogIndex,
    ) -> Option<Write> {
        if self.under_way.is_some() || self.retry.is_some_and(|at| now < at) {
            return None;
        }
        let snapshot = log.snapshot().filter(|snapshot| snapshot.index > self.snapshot);
        let good = self.stable.max(snapshot.map_or(LogIndex(0), |snapshot| snapshot.index));
        let last = log.last();
        let lazily = self.lazily.is_some_and(|at| now >= at);
        if self.knows(term, voted) && snapshot.is_none() && good == last && self.holds <= good && !lazily {
            return None;
        }
        let no = WriteId(self.next);
        self.next += 1;
        let write = Write {
            id: no,
            term,
            voted_for: voted,
            commit_index: committed,
            truncate_from: (self.holds > good).then_some(LogIndex(good.0 + 1)),
            entries: log.slice(LogIndex(good.0 + 1), usize::MAX),
            snapshot: snapshot.map(|snapshot| (**snapshot).clone()),
        };
        self.holds = self.holds.max(last);
        self.lazily = None;
        let snapshot = snapshot.map_or(self.snapshot, |snapshot| snapshot.index);
        self.under_way =
            Some(UnderWay { no, since: now, term, voted, upto: last, last, snapshot, committed });
        Some(write)
    }

    /// True if this was the one under way.
    pub(crate) fn synced(&mut self, no: WriteId, last: LogIndex) -> bool {
        let Some(write) = self.under_way.take_if(|write| write.no == no) else { return false };
        self.term = write.term;
        self.voted = write.voted;
        self.stable = write.upto.max(write.snapshot).max(self.stable).min(last);
        self.holds = write.last;
        self.snapshot = write.snapshot;
        self.committed = write.committed;
        self.retry = None;
        true
    }

    /// Write numbers are left out: only the one under way is ever answered. `hung`: as in `well`.
    pub(crate) fn mark(&self, marks: &mut FingerprintHasher, hung: Micros) {
        let Disk { next: _, under_way, term, voted, stable, holds, snapshot, committed, lazily, retry } =
            self;
        marks.add((term, voted, stable, holds, snapshot, committed));
        marks.add((lazily.map(|at| marks.time_until(at)), retry.map(|at| marks.time_until(at))));
        marks.add(under_way.is_some());
        if let Some(UnderWay { no: _, since, term, voted, upto, last, snapshot, committed }) = under_way {
            marks.add((marks.time_since(*since, hung), term, voted, upto, last, snapshot, committed));
        }
    }

    /// True if this was the one under way. All that it held is written again with the next.
    pub(crate) fn failed(&mut self, no: WriteId, retry: Micros) -> bool {
        let Some(_) = self.under_way.take_if(|write| write.no == no) else { return false };
        self.retry = Some(retry);
        // Where it held nothing else, the next try still has something to write.
        self.lazily = Some(retry);
        true
    }
}
