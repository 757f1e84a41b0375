//! Tasks beside the main loop. A panic in any of them ends the process, so that none can break an invariant while the
//! rest goes on.

use std::future::Future;

use tokio::task::JoinHandle;

/// Exit code of a process that ends by a panic.
const PANIC_EXIT_CODE: i32 = 101;

/// Ends the process when a panic unwinds past it, because the state that the task shares with all others can no
/// longer be trusted. The log ring has been written out by then.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(PANIC_EXIT_CODE);
        }
    }
}

/// Like `tokio::task::spawn_local`, but a panic in the task ends the process, as a panic in the main loop does.
pub fn spawn_local<F: Future + 'static>(work: F) -> JoinHandle<F::Output> {
    tokio::task::spawn_local(async move {
        let _guard = ExitOnPanic;
        work.await
    })
}
