//! Logging to standard error: the [`log!`](crate::log) macro, a limit of lines a second, and a thread that
//! writes them, so that a slow reader of standard error blocks nothing. Lines over the limits are dropped and
//! counted instead.

use std::fmt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender};
use std::thread;
use std::time::Duration;

use crate::clock;

/// More lines would cost time that requests need, and hide the important ones.
const MAX_LINES_PER_SECOND: u64 = 200;
/// Lines that may be waiting to be written.
const MAX_QUEUED_LINES: usize = 1_000;
/// How long [`flush`] waits at most.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The low half of [`LINE_COUNT`], and of the current second.
const LOW_HALF: u64 = 0xffff_ffff;

/// The current second in the high half, and the number of lines in this second in the low half.
static LINE_COUNT: AtomicU64 = AtomicU64::new(0);
/// Lines that were dropped since the last line that reported them.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// A message to the thread that writes.
enum Message {
    Line(String),
    /// Acknowledge that everything before this has been written.
    Flush(SyncSender<()>),
}

/// Starts the thread that writes. Before this call, lines are written directly.
pub fn start() {
    let (sender, messages) = mpsc::sync_channel(MAX_QUEUED_LINES);
    thread::spawn(move || {
        for message in messages {
            match message {
                Message::Line(text) => eprintln!("garnetdoor: {text}"),
                Message::Flush(acknowledge) => drop(acknowledge.try_send(())),
            }
        }
    });
    let _ = WRITER.set(sender);
}

/// Waits for a short time until the lines logged so far have been written.
pub fn flush() {
    let (acknowledge, flushed) = mpsc::sync_channel(1);
    if WRITER.get().is_some_and(|writer| writer.try_send(Message::Flush(acknowledge)).is_ok()) {
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Counts a line; false if it is over this second's limit.
fn count_line() -> bool {
    let second = clock::unix_time().as_secs() & LOW_HALF;
    if LINE_COUNT.load(Ordering::Relaxed) >> 32 != second {
        LINE_COUNT.store(second << 32, Ordering::Relaxed);
    }
    LINE_COUNT.fetch_add(1, Ordering::Relaxed) & LOW_HALF < MAX_LINES_PER_SECOND
}

#[doc(hidden)]
pub fn write(text: fmt::Arguments) {
    let Some(writer) = WRITER.get() else { return eprintln!("garnetdoor: {text}") };
    let enqueue = |text: String| writer.try_send(Message::Line(text)).is_ok();
    if !count_line() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
    let is_reported = dropped == 0 || enqueue(format!("{dropped} lines left out"));
    let still_unreported = if is_reported { 0 } else { dropped } + u64::from(!enqueue(text.to_string()));
    DROPPED_LINES.fetch_add(still_unreported, Ordering::Relaxed);
}

/// Writes a line to standard error, unless there are too many.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => { $crate::lifecycle::log::write(format_args!($($part)*)) };
}
