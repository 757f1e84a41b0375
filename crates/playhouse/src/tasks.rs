//! Tasks beside the main loop, none of which may break an invariant and leave the rest to go on.

use std::future::Future;

use tokio::task::JoinHandle;

/// The exit code of a process that a panic ends.
const PANIC_EXIT_CODE: i32 = 101;

/// Ends the process when a panic unwinds past it: the state that the task shares with all others is not to be
/// trusted any more. The ring is written out by then.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(PANIC_EXIT_CODE);
        }
    }
}

/// As `tokio::task::spawn_local`, but a panic of the task ends the process, as one of the main loop does.
pub fn spawn_local<F: Future + 'static>(work: F) -> JoinHandle<F::Output> {
    tokio::task::spawn_local(async move {
        let _guard = ExitOnPanic;
        work.await
    })
}
