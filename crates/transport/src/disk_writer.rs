//! Writer thread: performs a ledger's writes in order on a thread of its own, so that whoever answers clients
//! never waits for the disk.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use consensus::{Write, WriteId};
use storage::{LogStore, StorageError, Store};
use tokio::sync::mpsc;

/// Operators filter log lines by this target, which is older than the module's name.
const LOG_TARGET: &str = "wings::hand";

/// Most writes that wait in the queue, and most that are batched while the disk fails.
const MAX_WAITING_WRITES: usize = 1_024;
/// Most writes in one batch.
const MAX_BATCH_WRITES: usize = 256;
const STACK_BYTES: usize = 512 << 10;
/// Delay before the first retry after a failure; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Result of a write. With `durable: false` the write is not known to be on disk. Unless it was rejected, it
/// stays in the queue, before all later ones, and `durable: true` follows once it is on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteOutcome {
    pub write_no: WriteId,
    pub durable: bool,
}

/// Handle of the thread that owns the ledger. When the handle is dropped, the thread finishes the waiting
/// writes.
#[derive(Debug)]
pub struct DiskWriter<S> {
    queue: SyncSender<Write>,
    outcomes: mpsc::UnboundedSender<WriteOutcome>,
    thread: JoinHandle<LogStore<S>>,
    /// Set once a write was rejected, here or by the thread: later ones would leave a gap, so they are
    /// rejected too.
    rejecting: Arc<AtomicBool>,
}

impl<S: Store + 'static> DiskWriter<S> {
    /// Starts the thread. The returned receiver gets the outcome of each write: at once if it is rejected,
    /// otherwise when its batch is durable, and before that with `durable: false` if the disk fails.
    pub fn start(ledger: LogStore<S>) -> io::Result<(Self, mpsc::UnboundedReceiver<WriteOutcome>)> {
        let (queue, queued) = sync_channel(MAX_WAITING_WRITES);
        let (outcomes, receiver) = mpsc::unbounded_channel();
        let rejecting = Arc::new(AtomicBool::new(false));
        let worker = Worker { ledger, queued, outcomes: outcomes.clone(), rejecting: rejecting.clone() };
        let thread = thread::Builder::new()
            .name("disk-hand".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run())?;
        Ok((Self { queue, outcomes, thread, rejecting }, receiver))
    }

    /// Queues a write without waiting. Returns false, and reports `durable: false`, if the write is rejected
    /// because the queue is full or an earlier write was rejected. After a write that does not fit the
    /// ledger, that one and all later ones are also reported as `durable: false` for good. The ledger then
    /// has to be opened again: its contents are sound, but it lacks writes that the caller has made.
    pub fn submit(&mut self, write: Write) -> bool {
        let write_no = write.id;
        if !self.is_rejecting() {
            match self.queue.try_send(write) {
                Ok(()) => return true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    self.rejecting.store(true, Ordering::Relaxed);
                }
            }
        }
        // If the receiver is gone, nobody needs the outcome.
        let _ = self.outcomes.send(WriteOutcome { write_no, durable: false });
        false
    }

    /// Whether writes are rejected until the ledger is opened again. A failing disk is no such case: queued
    /// writes are retried.
    pub fn is_rejecting(&self) -> bool {
        self.rejecting.load(Ordering::Relaxed)
    }

    /// Stops the thread once the waiting writes are on disk, or at the first failure, and returns the ledger.
    pub fn stop(self) -> Option<LogStore<S>> {
        drop(self.queue);
        self.thread.join().ok()
    }
}

struct Worker<S> {
    ledger: LogStore<S>,
    queued: Receiver<Write>,
    outcomes: mpsc::UnboundedSender<WriteOutcome>,
    /// Set before a write that does not fit the ledger is reported.
    rejecting: Arc<AtomicBool>,
}

impl<S: Store> Worker<S> {
    fn run(mut self) -> LogStore<S> {
        let mut batch = Vec::new();
        while let Ok(first) = self.queued.recv() {
            batch.push(first);
            self.fill_batch(&mut batch);
            if !self.write_batch(&mut batch) {
                break;
            }
            batch.clear();
        }
        // Reached with queued writes only after one that did not fit the ledger.
        while let Ok(write) = self.queued.recv() {
            self.report(&[write], false);
        }
        self.ledger
    }

    /// Adds the writes that are queued already, so that one sync covers them all.
    fn fill_batch(&self, batch: &mut Vec<Write>) {
        while batch.len() < MAX_BATCH_WRITES {
            match self.queued.try_recv() {
                Ok(write) => batch.push(write),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return,
            }
        }
    }

    /// Writes the batch and retries for as long as the disk fails. Returns false if the thread has to end.
    fn write_batch(&mut self, batch: &mut Vec<Write>) -> bool {
        let mut retry_delay = INITIAL_RETRY_DELAY;
        // So many writes at the start of the batch have been reported as not durable already.
        let mut reported = 0;
        loop {
            match self.ledger.write_all(batch) {
                Ok(()) => {
                    self.report(batch, true);
                    return true;
                }
                Err(error @ StorageError::Store(_)) => log::warn!(target: LOG_TARGET, "disk: {error}"),
                Err(error) => {
                    log::error!(target: LOG_TARGET, "write that does not fit the ledger: {error}");
                    self.rejecting.store(true, Ordering::Relaxed);
                    self.report(&batch[reported..], false);
                    return false;
                }
            }
            self.report(&batch[reported..], false);
            if !self.wait_for_retry(batch, retry_delay) {
                return false;
            }
            reported = batch.len();
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Waits before a retry. Writes that arrive meanwhile are reported as not durable and join the batch.
    /// Returns false if the handle has been dropped.
    fn wait_for_retry(&self, batch: &mut Vec<Write>, delay: Duration) -> bool {
        let until = Instant::now() + delay;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return true;
            }
            if batch.len() >= MAX_WAITING_WRITES {
                thread::sleep(remaining);
                return true;
            }
            match self.queued.recv_timeout(remaining) {
                Ok(write) => {
                    self.report(std::slice::from_ref(&write), false);
                    batch.push(write);
                }
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    fn report(&self, writes: &[Write], durable: bool) {
        for write in writes {
            // If the receiver is gone, nobody needs the outcome.
            let _ = self.outcomes.send(WriteOutcome { write_no: write.id, durable });
        }
    }
}
