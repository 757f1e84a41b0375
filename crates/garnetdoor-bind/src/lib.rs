//! Binding of addresses that another process may hold for a moment: a predecessor that is still ending, or a child that a
//! predecessor or a port probe has forked, which has a copy of the listening socket until its `exec`.

use std::fmt::Display;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// An address in use is tried again for so long. A gateway that was told to stop ends within 3.6 s.
pub const WAIT_MOST: Duration = Duration::from_secs(4);
/// Time between two tries. Holders that are about to `exec` let go within milliseconds.
const PAUSE: Duration = Duration::from_millis(10);

/// Calls `bind` until it gives anything but "address in use", for [`WAIT_MOST`] at most; the calling thread sleeps in between.
/// `waits` is told of the error that the waiting begins with.
///
/// # Errors
///
/// Every other error of `bind` at once, and "address in use" after that time; `at` stands before its text.
pub fn when_free<T>(
    at: impl Display, mut bind: impl FnMut() -> io::Result<T>, waits: impl FnOnce(&io::Error),
) -> io::Result<T> {
    let began = Instant::now();
    let mut waits = Some(waits);
    loop {
        let error = match bind() {
            Ok(bound) => return Ok(bound),
            Err(error) => io::Error::new(error.kind(), format!("{at}: {error}")),
        };
        if error.kind() != io::ErrorKind::AddrInUse || began.elapsed() >= WAIT_MOST {
            return Err(error);
        }
        if let Some(waits) = waits.take() {
            waits(&error);
        }
        thread::sleep(PAUSE);
    }
}
