//! What the stand-ins saw, each with its time. The checkers work on this and on nothing that the gateway says.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// What was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Saw {
    /// A client asks for an upgrade.
    Asked {
        id: u64,
        key: String,
        once: bool,
    },
    /// A client's upgrade got its final answer; 0: a close or nothing at all.
    Answered {
        id: u64,
        status: u16,
        advised: bool,
    },
    /// A client's session has ended, by a close with this code or without one.
    ClientEnd {
        id: u64,
        code: Option<u16>,
    },
    /// A box got an upgrade.
    Trip {
        id: u64,
        server: usize,
        build: u32,
    },
    /// A box has a live session, and has it no more.
    Open {
        id: u64,
        server: usize,
        build: u32,
        key: String,
    },
    Shut {
        id: u64,
        server: usize,
        build: u32,
        code: Option<u16>,
    },
    /// The list was told: a server's state. `up` and `draining` as the list has it, `removed` if it is gone.
    Listed {
        server: usize,
        state: &'static str,
    },
    /// The platform told the newest build and its cap; 1 where it is released.
    Told {
        build: u32,
        cap: f64,
    },
}

/// An entry: microseconds since the record began, and what was seen.
pub type Entry = (u64, Saw);

/// A record that all stand-ins of a run share.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for Record {
    fn default() -> Self {
        Record { began: Instant::now(), entries: Arc::default() }
    }
}

impl Record {
    /// Notes what was seen now.
    pub fn saw(&self, what: Saw) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // Inside the lock, so that times never go back from one entry to the next.
        entries.push((self.began.elapsed().as_micros() as u64, what));
    }

    /// All so far, in order.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
