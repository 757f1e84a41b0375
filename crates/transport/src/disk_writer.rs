//! Disk hand (write thread): carries out a ledger's writes in order on a thread of its own, so that nobody
//! who answers clients waits for the disk.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use consensus::{Write, WriteId};
use storage::{LogStore, StorageError, Store};
use tokio::sync::mpsc;

/// Operators filter log lines by this name, which is older than the package's.
const LOG_TARGET: &str = "wings::hand";

/// Most writes that wait in the queue, and most that wait out a failing disk.
const WAITING: usize = 1_024;
/// Most writes in one batch.
const TOGETHER: usize = 256;
const STACK_BYTES: usize = 512 << 10;
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What became of a write. `ok: false` says that it is not known to be on disk; unless it was refused, it
/// stays in line, before all later ones, and `ok: true` follows once it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteOutcome {
    pub write_no: WriteId,
    pub durable: bool,
}

/// Owns the thread that owns the ledger. Dropped, it lets the thread finish what waits.
#[derive(Debug)]
pub struct DiskWriter<S> {
    queue: SyncSender<Write>,
    done: mpsc::UnboundedSender<WriteOutcome>,
    thread: JoinHandle<LogStore<S>>,
    /// A write was refused, here or by the thread: later ones would leave a gap, so they are refused too.
    refusing: Arc<AtomicBool>,
}

impl<S: Store + 'static> DiskWriter<S> {
    /// Starts the thread. Each write is answered in the receiver: at once when it is refused, else when its
    /// batch is durable, and before that with `ok: false` when the disk fails.
    pub fn start(ledger: LogStore<S>) -> io::Result<(Self, mpsc::UnboundedReceiver<WriteOutcome>)> {
        let (queue, waiting) = sync_channel(WAITING);
        let (done, dones) = mpsc::unbounded_channel();
        let answers = done.clone();
        let refusing = Arc::new(AtomicBool::new(false));
        let misfit = refusing.clone();
        let thread = thread::Builder::new()
            .name("disk-hand".into())
            .stack_size(STACK_BYTES)
            .spawn(move || Worker { ledger, waiting, answers, misfit }.run())?;
        Ok((Self { queue, done, thread, refusing }, dones))
    }

    /// Hands over a write; never waits. False, and an answer of `ok: false`, if it was refused: the queue was
    /// full, or an earlier one was refused. Likewise, after a write that does not fit the ledger, that one
    /// and all later ones are answered `ok: false` for good. The ledger then is to be opened anew: what it
    /// holds is sound, but it lacks writes that the caller has made.
    pub fn submit(&mut self, write: Write) -> bool {
        let no = write.id;
        if !self.is_rejecting() {
            match self.queue.try_send(write) {
                Ok(()) => return true,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    self.refusing.store(true, Ordering::Relaxed);
                }
            }
        }
        // The receiver may be gone, and then nobody asks.
        let _ = self.done.send(WriteOutcome { write_no: no, durable: false });
        false
    }

    /// Whether writes are refused for good, until the ledger is opened anew. A disk that fails is no such
    /// case: what it was handed stays in line.
    pub fn is_rejecting(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    /// Ends after what waits is on disk, or at the first failure; gives the ledger back.
    pub fn stop(self) -> Option<LogStore<S>> {
        drop(self.queue);
        self.thread.join().ok()
    }
}

struct Worker<S> {
    ledger: LogStore<S>,
    waiting: Receiver<Write>,
    answers: mpsc::UnboundedSender<WriteOutcome>,
    /// Set before a write that does not fit is answered.
    misfit: Arc<AtomicBool>,
}

impl<S: Store> Worker<S> {
    fn run(mut self) -> LogStore<S> {
        let mut batch = Vec::new();
        while let Ok(first) = self.waiting.recv() {
            batch.push(first);
            self.gather(&mut batch);
            if !self.keep(&mut batch) {
                break;
            }
            batch.clear();
        }
        // Only after a write that did not fit does anything come here.
        while let Ok(write) = self.waiting.recv() {
            self.answer(&[write], false);
        }
        self.ledger
    }

    /// Takes what waits already, so that one sync covers it all.
    fn gather(&self, batch: &mut Vec<Write>) {
        while batch.len() < TOGETHER {
            match self.waiting.try_recv() {
                Ok(write) => batch.push(write),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return,
            }
        }
    }

    /// Keeps the batch, however long the disk fails. False when there is no sense in going on.
    fn keep(&mut self, batch: &mut Vec<Write>) -> bool {
        let mut pause = FIRST_PAUSE;
        let mut told = 0;
        loop {
            match self.ledger.write_all(batch) {
                Ok(()) => {
                    self.answer(batch, true);
                    return true;
                }
                Err(error @ StorageError::Store(_)) => log::warn!(target: LOG_TARGET, "disk: {error}"),
                Err(error) => {
                    log::error!(target: LOG_TARGET, "write that does not fit the ledger: {error}");
                    self.misfit.store(true, Ordering::Relaxed);
                    self.answer(&batch[told..], false);
                    return false;
                }
            }
            self.answer(&batch[told..], false);
            if !self.wait(batch, pause) {
                return false;
            }
            told = batch.len();
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Lets a failing disk be for a while; what comes meanwhile is told of the failure and joins the batch.
    fn wait(&self, batch: &mut Vec<Write>, pause: Duration) -> bool {
        let until = Instant::now() + pause;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            if batch.len() >= WAITING {
                thread::sleep(left);
                return true;
            }
            match self.waiting.recv_timeout(left) {
                Ok(write) => {
                    self.answer(std::slice::from_ref(&write), false);
                    batch.push(write);
                }
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    fn answer(&self, writes: &[Write], ok: bool) {
        for write in writes {
            // The receiver may be gone, and then nobody asks.
            let _ = self.answers.send(WriteOutcome { write_no: write.id, durable: ok });
        }
    }
}
