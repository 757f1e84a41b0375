//! Note hand (lazy file): keeps the newest of some small values in a file of its own, on a thread of its own. A
//! loss of power may cost the newest; a damaged one is dropped. Nothing that was promised goes here.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

use storage::checksummed;

/// Operators filter log lines by this name, which is older than the package's.
const LOG_TARGET: &str = "wings::note";

const STACK_BYTES: usize = 128 << 10;

#[derive(Default)]
struct Slot {
    newest: Option<Vec<u8>>,
    over: bool,
}

type Shared = Arc<(Mutex<Slot>, Condvar)>;

/// Owns the thread that writes. Dropped, it lets the thread finish the newest value.
pub struct LatestValueFile(Shared, Option<JoinHandle<()>>);

impl LatestValueFile {
    /// Reads what is kept in `dir/name`, and starts the thread.
    pub fn start(dir: &Path, name: &str) -> io::Result<(LatestValueFile, Option<Vec<u8>>)> {
        let path = dir.join(name);
        let kept = match fs::read(&path) {
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
        let (slot, dir) = (shared.clone(), dir.to_owned());
        let thread = thread::Builder::new()
            .name("note-hand".into())
            .stack_size(STACK_BYTES)
            .spawn(move || run(&slot, &dir, &path))?;
        Ok((LatestValueFile(shared, Some(thread)), kept))
    }

    /// Has `bytes` written some time soon, in place of what waits; never waits for the disk.
    pub fn store(&self, bytes: Vec<u8>) {
        let (slot, woken) = &*self.0;
        slot.lock().unwrap_or_else(PoisonError::into_inner).newest = Some(bytes);
        woken.notify_one();
    }

    /// Ends after the newest value is kept, or has failed to be.
    pub fn stop(mut self) {
        let thread = self.1.take();
        drop(self);
        // A panic there has been told of already.
        let _ = thread.map(JoinHandle::join);
    }
}

impl Drop for LatestValueFile {
    fn drop(&mut self) {
        let (slot, woken) = &*self.0;
        slot.lock().unwrap_or_else(PoisonError::into_inner).over = true;
        woken.notify_one();
    }
}

fn run((slot, woken): &(Mutex<Slot>, Condvar), dir: &Path, path: &Path) {
    loop {
        let mut held = slot.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = loop {
            match held.newest.take() {
                Some(bytes) => break bytes,
                None if held.over => return,
                None => held = woken.wait(held).unwrap_or_else(PoisonError::into_inner),
            }
        };
        drop(held);
        if let Err(error) = write(dir, path, &checksummed::encode(&bytes)) {
            log::debug!(target: LOG_TARGET, "{} is not kept: {error}", path.display());
        }
    }
}

/// Whole or not at all also where power is lost, on a disk that keeps the order of a sync and a rename.
fn write(dir: &Path, path: &Path, value: &[u8]) -> io::Result<()> {
    let unborn = path.with_extension("new");
    let mut file = File::create(&unborn)?;
    file.write_all(value)?;
    file.sync_data()?;
    fs::rename(&unborn, path)?;
    File::open(dir)?.sync_all()
}
