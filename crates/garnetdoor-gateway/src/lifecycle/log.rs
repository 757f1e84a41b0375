//! Log lines: one macro, and a limit to how many lines a second it writes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines a second. More would cost time that tickets need, and hide what matters.
const LINES_MOST: u64 = 200;

/// The second that is counted, above, and the lines in it, in the lower half.
static COUNT: AtomicU64 = AtomicU64::new(0);

/// Whether one more line may be written, and how many were left out in the second before.
pub fn may_write() -> (bool, u64) {
    let second = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() & 0xffff_ffff;
    let before = COUNT.load(Ordering::Relaxed);
    if before >> 32 == second {
        let lines = (COUNT.fetch_add(1, Ordering::Relaxed) & 0xffff_ffff) + 1;
        return (lines <= LINES_MOST, 0);
    }
    COUNT.store(second << 32 | 1, Ordering::Relaxed);
    (true, (before & 0xffff_ffff).saturating_sub(LINES_MOST))
}

/// Writes a line to standard error, unless too many were written this second.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {{
        let (may, left_out) = $crate::lifecycle::log::may_write();
        if left_out > 0 {
            eprintln!("garnetdoor: {left_out} lines left out");
        }
        if may {
            eprintln!("garnetdoor: {}", format_args!($($part)*));
        }
    }};
}
