//! File that holds the latest of a series of small values, written on a thread of its own. After a power
//! failure the latest value may be missing, and a damaged one is dropped, so it must not hold anything that
//! was acknowledged.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

use storage::checksummed;

/// Operators filter log lines by this target, which is older than the module's name.
const LOG_TARGET: &str = "wings::note";

const STACK_BYTES: usize = 128 << 10;

/// What the thread has to do.
#[derive(Default)]
struct Pending {
    value: Option<Vec<u8>>,
    stop: bool,
}

type Shared = Arc<(Mutex<Pending>, Condvar)>;

/// Handle of the thread that writes. When the handle is dropped, the thread finishes writing the latest
/// value.
pub struct LatestValueFile {
    shared: Shared,
    thread: Option<JoinHandle<()>>,
}

impl LatestValueFile {
    /// Reads the value in `dir/name`, if there is a sound one, and starts the thread.
    pub fn start(dir: &Path, name: &str) -> io::Result<(LatestValueFile, Option<Vec<u8>>)> {
        let path = dir.join(name);
        let stored = match fs::read(&path) {
            Ok(value) => checksummed::decode(&value).map(<[u8]>::to_vec).or_else(|| {
                log::warn!(target: LOG_TARGET, "{} is damaged, and dropped", path.display());
                None
            }),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            Err(error) => {
                log::warn!(target: LOG_TARGET, "{}: {error}", path.display());
                None
            }
        };
        let shared = Shared::default();
        let (thread_shared, dir) = (shared.clone(), dir.to_owned());
        let thread = thread::Builder::new()
            .name("note-hand".into())
            .stack_size(STACK_BYTES)
            .spawn(move || run(&thread_shared, &dir, &path))?;
        Ok((LatestValueFile { shared, thread: Some(thread) }, stored))
    }

    /// Has `bytes` written soon, in place of a value that still waits. Never waits for the disk.
    pub fn store(&self, bytes: Vec<u8>) {
        let (pending, wake) = &*self.shared;
        pending.lock().unwrap_or_else(PoisonError::into_inner).value = Some(bytes);
        wake.notify_one();
    }

    /// Returns after the latest value has been written, or writing it has failed.
    pub fn stop(mut self) {
        let thread = self.thread.take();
        drop(self);
        // A panic of the thread has been reported by the panic hook.
        let _ = thread.map(JoinHandle::join);
    }
}

impl Drop for LatestValueFile {
    fn drop(&mut self) {
        let (pending, wake) = &*self.shared;
        pending.lock().unwrap_or_else(PoisonError::into_inner).stop = true;
        wake.notify_one();
    }
}

fn run((pending, wake): &(Mutex<Pending>, Condvar), dir: &Path, path: &Path) {
    loop {
        let mut guard = pending.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = loop {
            match guard.value.take() {
                Some(bytes) => break bytes,
                None if guard.stop => return,
                None => guard = wake.wait(guard).unwrap_or_else(PoisonError::into_inner),
            }
        };
        drop(guard);
        if let Err(error) = write(dir, path, &checksummed::encode(&bytes)) {
            log::debug!(target: LOG_TARGET, "{} is not kept: {error}", path.display());
        }
    }
}

/// Replaces the file atomically, also if power fails, on a disk that keeps the order of a sync and a rename.
fn write(dir: &Path, path: &Path, value: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(value)?;
    file.sync_data()?;
    fs::rename(&temporary, path)?;
    File::open(dir)?.sync_all()
}
