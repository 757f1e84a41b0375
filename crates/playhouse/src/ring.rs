//! Logger with an in-memory ring buffer: keeps the most recent log lines in bounded memory, so that little is written
//! in normal operation and the lines that led up to a failure are available once it happens.
//!
//! Lines of this project's packages up to the ring's level go into the buffer; lines up to the direct level are written
//! at once through `env_logger`. A line at `error`, a panic and a call of [`spill`] write the buffer to standard error,
//! at most once every 10 s: writing costs processor time, which an overloaded small machine lacks most.

use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;

use log::{Level, LevelFilter, Log, Metadata, Record};
use types::{MS, Micros, SECOND};

/// Size of the ring buffer in bytes, and so of one output of it.
pub const RING_CAPACITY_BYTES: usize = 32 << 10;
/// Longest line in bytes; longer lines are truncated.
const MAX_LINE_BYTES: usize = 400;
/// Least time between two outputs of the buffer.
const MIN_SPILL_INTERVAL: Micros = 10 * SECOND;
/// Lines that may be written directly in one burst; after that, one per [`DIRECT_LINE_INTERVAL`]. If a failure repeats
/// with each datagram or connection, writing every line would cost more than the failure itself. The ring buffer keeps
/// the latest of them anyway.
const DIRECT_BURST_LINES: u32 = 60;
/// Time in which one more line may be written directly.
const DIRECT_LINE_INTERVAL: Micros = SECOND;
/// Target of the line that tells which program starts: it is written at once unless nothing is, so that every log says
/// which program wrote it.
pub const START_TARGET: &str = "playhouse::start";
/// Target prefixes of the packages whose lines go into the buffer; lines of other packages say little about what this
/// system did.
pub const PROJECT_TARGETS: [&str; 11] = [
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

static LOGGER: OnceLock<RingLogger> = OnceLock::new();

/// The most recent lines, oldest first, each preceded by its length (two bytes).
#[derive(Debug)]
pub struct RingBuffer {
    bytes: VecDeque<u8>,
    capacity: usize,
    dropped: u64,
}

impl RingBuffer {
    /// Allocates all memory up front, so that logging never allocates.
    pub fn new(capacity: usize) -> RingBuffer {
        RingBuffer { bytes: VecDeque::with_capacity(capacity), capacity, dropped: 0 }
    }

    /// Appends a line and evicts the oldest lines if there is no room. A line that can never fit is dropped.
    pub fn push(&mut self, line: &[u8]) {
        let Some(length) = u16::try_from(line.len()).ok().filter(|_| line.len() + 2 <= self.capacity) else {
            self.dropped += 1;
            return;
        };
        while self.bytes.len() + line.len() + 2 > self.capacity {
            let oldest = u16::from_le_bytes([self.bytes[0], self.bytes[1]]);
            self.bytes.drain(..2 + usize::from(oldest));
            self.dropped += 1;
        }
        self.bytes.extend(&length.to_le_bytes());
        self.bytes.extend(line);
    }

    /// Empties the buffer and returns its lines, each with a line feed, and the number of lines dropped for lack of
    /// room.
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

/// Allows an action at most once per interval.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    interval: Micros,
    last: Option<Micros>,
    suppressed: u64,
}

impl Default for RateLimiter {
    fn default() -> RateLimiter {
        RateLimiter::new(MIN_SPILL_INTERVAL)
    }
}

impl RateLimiter {
    /// A limiter that allows one action per `interval`.
    pub fn new(interval: Micros) -> RateLimiter {
        RateLimiter { interval, last: None, suppressed: 0 }
    }

    /// Returns the number of suppressed actions since the last allowed one, or `None` if the action isn't allowed yet.
    /// `now` is a time of the monotonic clock.
    pub fn try_acquire(&mut self, now: Micros) -> Option<u64> {
        if self.last.is_some_and(|last| now - last < self.interval) {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Token bucket that limits the lines that are written directly.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    capacity: u32,
    interval: Micros,
    tokens: u32,
    refilled_at: Micros,
    suppressed: u64,
}

impl TokenBucket {
    /// A full bucket of `capacity` tokens that gains one token per `interval`.
    pub fn new(capacity: u32, interval: Micros) -> TokenBucket {
        TokenBucket { capacity, interval, tokens: capacity, refilled_at: 0, suppressed: 0 }
    }

    /// Takes a token and returns the number of suppressed actions since the last allowed one, or `None` if the bucket
    /// is empty. `now` is a time of the monotonic clock.
    pub fn try_acquire(&mut self, now: Micros) -> Option<u64> {
        let new_tokens = (now - self.refilled_at) / self.interval;
        self.tokens = u32::try_from(new_tokens)
            .map_or(self.capacity, |new_tokens| self.tokens.saturating_add(new_tokens).min(self.capacity));
        self.refilled_at += new_tokens * self.interval;
        if self.tokens == 0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Formats a line on the stack without allocating; what exceeds the buffer is truncated.
struct Line {
    bytes: [u8; MAX_LINE_BYTES],
    length: usize,
}

impl fmt::Write for Line {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let fits = text.floor_char_boundary(MAX_LINE_BYTES - self.length);
        self.bytes[self.length..self.length + fits].copy_from_slice(&text.as_bytes()[..fits]);
        self.length += fits;
        // Truncated: an error stops the formatting of the rest.
        if fits < text.len() { Err(fmt::Error) } else { Ok(()) }
    }
}

struct RingLogger {
    direct: env_logger::Logger,
    level: LevelFilter,
    started: Instant,
    ring: Mutex<RingBuffer>,
    spill_limit: Mutex<RateLimiter>,
    /// `None` if the direct level is above `warn`: whoever asks for that wants every line.
    direct_limit: Option<Mutex<TokenBucket>>,
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

fn is_project_target(target: &str) -> bool {
    let package = target.split_once("::").map_or(target, |(package, _)| package);
    PROJECT_TARGETS.contains(&package)
}

impl RingLogger {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn is_kept(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && is_project_target(metadata.target())
    }

    fn store(&self, record: &Record<'_>) {
        let now = self.now();
        let mut line = Line { bytes: [0; MAX_LINE_BYTES], length: 0 };
        let (seconds, millis) = (now / SECOND, now % SECOND / MS);
        // An error means that the line was truncated.
        let _ =
            write!(line, "{seconds}.{millis:03} {} {}: {}", record.level(), record.target(), record.args());
        lock(&self.ring).push(&line.bytes[..line.length]);
    }

    fn write(&self, record: &Record<'_>) {
        if let Some(direct_limit) = self.direct_limit.as_ref().filter(|_| self.direct.matches(record)) {
            let Some(suppressed) = lock(direct_limit).try_acquire(self.now()) else { return };
            if suppressed > 0 {
                let mut line = Record::builder();
                line.level(Level::Warn).target(module_path!());
                self.direct.log(&line.args(format_args!("{suppressed} lines were left out here")).build());
            }
        }
        self.direct.log(record);
    }

    fn spill(&self, reason: &str) {
        let Some(suppressed) = lock(&self.spill_limit).try_acquire(self.now()) else { return };
        let (text, dropped) = lock(&self.ring).take();
        let mut output =
            format!("--- ring: {reason} (older lines dropped: {dropped}; held back: {suppressed})\n");
        output.push_str(&String::from_utf8_lossy(&text));
        output.push_str("--- end of ring\n");
        // A failure to write to standard error can't be reported anywhere.
        let _ = std::io::stderr().lock().write_all(output.as_bytes());
    }
}

impl Log for RingLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.is_kept(metadata) || self.direct.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let kept = self.is_kept(record.metadata());
        if kept {
            self.store(record);
        }
        self.write(record);
        if kept && record.level() == Level::Error {
            self.spill("a line at error");
        }
    }

    fn flush(&self) {
        self.direct.flush();
    }
}

/// Writes lines up to this level at once, or as `RUST_LOG` says.
fn direct_logger_builder(level: LevelFilter) -> env_logger::Builder {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).parse_default_env();
    builder
}

/// Installs the logger of the process. Lines up to `direct_level` (or as `RUST_LOG` says) are written at once; lines of
/// this project's packages up to `ring_level` go into the ring buffer. A panic writes the buffer out. Later calls have
/// no effect.
pub fn install(direct_level: LevelFilter, ring_level: LevelFilter) {
    let direct_level = direct_logger_builder(direct_level).build().filter();
    let mut direct_builder = direct_logger_builder(direct_level);
    if direct_level > LevelFilter::Off {
        direct_builder.filter_module(START_TARGET, LevelFilter::Info);
    }
    let direct = direct_builder.build();
    let max_level = direct.filter().max(ring_level);
    let limited = direct_level <= LevelFilter::Warn;
    let direct_limit =
        limited.then(|| Mutex::new(TokenBucket::new(DIRECT_BURST_LINES, DIRECT_LINE_INTERVAL)));
    let logger = LOGGER.get_or_init(|| RingLogger {
        direct,
        level: ring_level,
        started: Instant::now(),
        ring: Mutex::new(RingBuffer::new(if ring_level == LevelFilter::Off {
            0
        } else {
            RING_CAPACITY_BYTES
        })),
        spill_limit: Mutex::new(RateLimiter::default()),
        direct_limit,
    });
    if log::set_logger(logger).is_err() {
        return;
    }
    log::set_max_level(max_level);
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        previous_hook(panic);
        spill("a panic");
    }));
}

/// Writes the buffer to standard error and empties it, unless that was done in the last 10 s.
pub fn spill(reason: &str) {
    if let Some(logger) = LOGGER.get() {
        logger.spill(reason);
    }
}
