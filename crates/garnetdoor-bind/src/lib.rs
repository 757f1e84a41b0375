//! Binds addresses that another process may still hold for a short time: a predecessor that has not exited
//! yet, or a child that a predecessor or a port probe has forked, which keeps a copy of the listening socket
//! until its `exec`.

use std::fmt::Display;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// How long binding an address in use is retried. A gateway that was told to stop exits within 3.6 s.
pub const RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two attempts. A forked child that is about to `exec` releases the socket within
/// milliseconds.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Calls `bind` until it succeeds or fails with an error other than "address in use", for at most
/// [`RETRY_TIMEOUT`]. The calling thread sleeps between attempts. `on_first_retry` is called once, with the
/// error that caused the first retry.
///
/// # Errors
///
/// Any other error of `bind` is returned at once, and "address in use" after the timeout. The error's text
/// begins with `address`.
pub fn bind_with_retry<T>(
    address: impl Display, mut bind: impl FnMut() -> io::Result<T>, on_first_retry: impl FnOnce(&io::Error),
) -> io::Result<T> {
    let started = Instant::now();
    let mut on_first_retry = Some(on_first_retry);
    loop {
        let error = match bind() {
            Ok(bound) => return Ok(bound),
            Err(error) => io::Error::new(error.kind(), format!("{address}: {error}")),
        };
        if error.kind() != io::ErrorKind::AddrInUse || started.elapsed() >= RETRY_TIMEOUT {
            return Err(error);
        }
        if let Some(on_first_retry) = on_first_retry.take() {
            on_first_retry(&error);
        }
        thread::sleep(RETRY_INTERVAL);
    }
}
