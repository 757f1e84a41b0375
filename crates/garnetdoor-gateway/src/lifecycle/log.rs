//! Log lines: one macro, a limit to how many lines a second it writes, and a thread that writes them, so that
//! a reader of standard error who falls behind holds nothing up; lines are left out instead, and counted.

use std::fmt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender};
use std::thread;
use std::time::Duration;

use crate::clock;

/// Lines a second. More would cost time that tickets need, and hide what matters.
const LINES_MOST: u64 = 200;
/// Lines that wait to be written.
const WAIT_MOST: usize = 1_000;

/// The second that is counted, above, and the lines in it, in the lower half.
static COUNT: AtomicU64 = AtomicU64::new(0);
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
static WRITER: OnceLock<SyncSender<Line>> = OnceLock::new();

enum Line {
    Text(String),
    /// All before this has been written.
    Mark(SyncSender<()>),
}

/// Starts the thread that writes. Until then, lines are written at once.
pub fn start() {
    let (lines, waiting) = mpsc::sync_channel(WAIT_MOST);
    thread::spawn(move || {
        for line in waiting {
            match line {
                Line::Text(text) => eprintln!("garnetdoor: {text}"),
                Line::Mark(told) => drop(told.try_send(())),
            }
        }
    });
    let _ = WRITER.set(lines);
}

/// Waits until what is logged has been written, if it soon is.
pub fn finish() {
    let (tell, told) = mpsc::sync_channel(1);
    if WRITER.get().is_some_and(|writer| writer.try_send(Line::Mark(tell)).is_ok()) {
        let _ = told.recv_timeout(Duration::from_millis(100));
    }
}

/// Whether this second has room for one more line.
fn room() -> bool {
    let second = clock::unix().as_secs() & 0xffff_ffff;
    if COUNT.load(Ordering::Relaxed) >> 32 != second {
        COUNT.store(second << 32, Ordering::Relaxed);
    }
    COUNT.fetch_add(1, Ordering::Relaxed) & 0xffff_ffff < LINES_MOST
}

#[doc(hidden)]
pub fn write(text: fmt::Arguments) {
    let Some(writer) = WRITER.get() else { return eprintln!("garnetdoor: {text}") };
    let put = |text: String| writer.try_send(Line::Text(text)).is_ok();
    if !room() {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let left_out = LEFT_OUT.swap(0, Ordering::Relaxed);
    let told = left_out == 0 || put(format!("{left_out} lines left out"));
    let lost = if told { 0 } else { left_out } + u64::from(!put(text.to_string()));
    LEFT_OUT.fetch_add(lost, Ordering::Relaxed);
}

/// Writes a line to standard error, unless there are too many.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => { $crate::lifecycle::log::write(format_args!($($part)*)) };
}
