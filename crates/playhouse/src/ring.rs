//! Ring (log in memory): keeps the last lines in bounded bytes, so that little is written while all is well
//! and what led to a trouble can be read once it is there.
//!
//! Lines of the own packages at the ring's level go into it; those at the set level are written at once,
//! through `env_logger`. A line at `error`, a panic and `spill` write the ring to standard error: at most
//! every 10 s, since writing costs processor time that a small machine in trouble has least of.

use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use log::{Level, LevelFilter, Log, Metadata, Record};
use types::{MS, Micros, SECOND};

/// Bytes of lines that are kept, and written out, at most.
pub const RING_BYTES: usize = 32 << 10;
/// Bytes of one line at most; what is longer is cut.
const LINE_BYTES: usize = 400;
/// No spill within so long of the one before.
const SPILL_EVERY: Micros = 10 * SECOND;
/// Lines written at once: so many in a burst, then one in so long. Where a fault repeats with each datagram or
/// connection, writing all of it would cost more than the fault; the ring keeps the last of them anyway.
const BURST: u32 = 60;
const LINE_EVERY: Micros = SECOND;
/// Packages whose lines are kept; others' say little about what this system did.
pub const OWN: [&str; 11] = [
    "playhouse",
    "consensus",
    "replication",
    "membership",
    "registry",
    "control_state",
    "configuration",
    "budgets",
    "storage",
    "wings", // Prefix of the log targets of the package `transport`.
    "garnetdoor",
];

static RECORDER: OnceLock<Recorder> = OnceLock::new();

/// The last lines, oldest first, each behind its length.
#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    most: usize,
    dropped: u64,
}

impl Ring {
    /// Takes its memory at once, so that logging never does.
    pub fn new(most: usize) -> Ring {
        Ring { bytes: VecDeque::with_capacity(most), most, dropped: 0 }
    }

    /// Keeps a line; the oldest make room. One that can never fit is dropped.
    pub fn push(&mut self, line: &[u8]) {
        let Some(length) = u16::try_from(line.len()).ok().filter(|_| line.len() + 2 <= self.most) else {
            self.dropped += 1;
            return;
        };
        while self.bytes.len() + line.len() + 2 > self.most {
            let oldest = u16::from_le_bytes([self.bytes[0], self.bytes[1]]);
            self.bytes.drain(..2 + usize::from(oldest));
            self.dropped += 1;
        }
        self.bytes.extend(&length.to_le_bytes());
        self.bytes.extend(line);
    }

    /// Empties the ring: its lines, each with its end, and how many had been dropped for want of room.
    pub fn take(&mut self) -> (Vec<u8>, u64) {
        let mut text = Vec::with_capacity(self.bytes.len());
        while let (Some(low), Some(high)) = (self.bytes.pop_front(), self.bytes.pop_front()) {
            let length = usize::from(u16::from_le_bytes([low, high]));
            text.extend(self.bytes.drain(..length));
            text.push(b'\n');
        }
        (text, std::mem::take(&mut self.dropped))
    }
}

/// When something may be written: the ring, or a line that a storm would repeat.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    every: Micros,
    last: Option<Micros>,
    held: u64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace::of(SPILL_EVERY)
    }
}

impl Pace {
    /// Once in so long.
    pub fn of(every: Micros) -> Pace {
        Pace { every, last: None, held: 0 }
    }

    /// Whether it may be now, by the steady clock; and how many times it was held back since the last.
    pub fn may(&mut self, now: Micros) -> Option<u64> {
        if self.last.is_some_and(|last| now - last < self.every) {
            self.held += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.held))
    }
}

/// How many lines may be written at once.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    most: u32,
    every: Micros,
    left: u32,
    filled: Micros,
    held: u64,
}

impl Allowance {
    /// `most` in a burst, then one in `every`.
    pub fn of(most: u32, every: Micros) -> Allowance {
        Allowance { most, every, left: most, filled: 0, held: 0 }
    }

    /// Whether one may be now, by the steady clock; and how many were held back since the last.
    pub fn may(&mut self, now: Micros) -> Option<u64> {
        let due = (now - self.filled) / self.every;
        self.left = u32::try_from(due).map_or(self.most, |due| self.left.saturating_add(due).min(self.most));
        self.filled += due * self.every;
        if self.left == 0 {
            self.held += 1;
            return None;
        }
        self.left -= 1;
        Some(std::mem::take(&mut self.held))
    }
}

/// A line in the making, on the stack: what is too long is cut, and nothing is allocated.
struct Line {
    bytes: [u8; LINE_BYTES],
    used: usize,
}

impl fmt::Write for Line {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let fits = text.floor_char_boundary(LINE_BYTES - self.used);
        self.bytes[self.used..self.used + fits].copy_from_slice(&text.as_bytes()[..fits]);
        self.used += fits;
        // Cut off: nothing that comes after belongs there.
        if fits < text.len() { Err(fmt::Error) } else { Ok(()) }
    }
}

struct Recorder {
    out: env_logger::Logger,
    level: LevelFilter,
    began: Instant,
    ring: Mutex<Ring>,
    pace: Mutex<Pace>,
    /// None where more than warnings are asked for: whoever does so wants them all.
    allowance: Option<Mutex<Allowance>>,
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

fn own(target: &str) -> bool {
    let package = target.split_once("::").map_or(target, |(package, _)| package);
    OWN.contains(&package)
}

impl Recorder {
    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    fn keeps(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && own(metadata.target())
    }

    fn keep(&self, record: &Record<'_>) {
        let now = self.now();
        let mut line = Line { bytes: [0; LINE_BYTES], used: 0 };
        let (seconds, millis) = (now / SECOND, now % SECOND / MS);
        // An error means that it was cut off.
        let _ =
            write!(line, "{seconds}.{millis:03} {} {}: {}", record.level(), record.target(), record.args());
        lock(&self.ring).push(&line.bytes[..line.used]);
    }

    fn write(&self, record: &Record<'_>) {
        if let Some(allowance) = self.allowance.as_ref().filter(|_| self.out.matches(record)) {
            let Some(held) = lock(allowance).may(self.now()) else { return };
            if held > 0 {
                let mut line = Record::builder();
                line.level(Level::Warn).target(module_path!());
                self.out.log(&line.args(format_args!("{held} lines were left out here")).build());
            }
        }
        self.out.log(record);
    }

    fn spill(&self, reason: &str) {
        let Some(held) = lock(&self.pace).may(self.now()) else { return };
        let (text, dropped) = lock(&self.ring).take();
        let mut whole = format!("--- ring: {reason} (older lines dropped: {dropped}; held back: {held})\n");
        whole.push_str(&String::from_utf8_lossy(&text));
        whole.push_str("--- end of ring\n");
        // Nobody can be told that standard error is gone.
        let _ = std::io::stderr().lock().write_all(whole.as_bytes());
    }
}

impl Log for Recorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.keeps(metadata) || self.out.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let kept = self.keeps(record.metadata());
        if kept {
            self.keep(record);
        }
        self.write(record);
        if kept && record.level() == Level::Error {
            self.spill("a line at error");
        }
    }

    fn flush(&self) {
        self.out.flush();
    }
}

/// Makes this the process's logger: lines at `written` (or as `RUST_LOG` says) go out at once, those of the
/// own packages at `kept` go into the ring. A panic writes the ring out. Done once; later calls change
/// nothing.
pub fn install(written: LevelFilter, kept: LevelFilter) {
    let out = env_logger::Builder::new().filter_level(written).parse_default_env().build();
    let most = out.filter().max(kept);
    let few = out.filter() <= LevelFilter::Warn;
    let allowance = few.then(|| Mutex::new(Allowance::of(BURST, LINE_EVERY)));
    let recorder = RECORDER.get_or_init(|| Recorder {
        out,
        level: kept,
        began: Instant::now(),
        ring: Mutex::new(Ring::new(if kept == LevelFilter::Off { 0 } else { RING_BYTES })),
        pace: Mutex::new(Pace::default()),
        allowance,
    });
    if log::set_logger(recorder).is_err() {
        return;
    }
    log::set_max_level(most);
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        before(panic);
        spill("a panic");
    }));
}

/// Writes the ring to standard error and empties it, unless that was done in the last 10 s.
pub fn spill(reason: &str) {
    if let Some(recorder) = RECORDER.get() {
        recorder.spill(reason);
    }
}
