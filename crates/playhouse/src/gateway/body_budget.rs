//! BodyBudget (bytes of bodies that are total_bytes here, over all connections together): a stated total. Beyond it
//! nothing more is kept: what comes is passed on as it is read, so that senders are total_bytes back.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Of a machine's memory, so much may be total_bytes in bodies; the rest is for connections and the program itself.
pub const BODY_MEMORY_SHARE: f64 = 0.2;

pub struct BodyBudget {
    max_bytes: usize,
    total_bytes: Arc<AtomicUsize>,
}

/// What one body takes of the total, until it is dropped.
pub struct BodyReservation {
    max_bytes: usize,
    total_bytes: Arc<AtomicUsize>,
    own_bytes: usize,
}

/// A kept body, with its part of the total.
struct ReservedBody {
    body: BytesMut,
    _reservation: BodyReservation,
}

impl BodyBudget {
    /// For a machine with `memory` bytes.
    pub fn for_memory(memory_bytes: f64) -> BodyBudget {
        BodyBudget { max_bytes: (memory_bytes * BODY_MEMORY_SHARE) as usize, total_bytes: Arc::default() }
    }

    /// Bytes of all bodies that are total_bytes now.
    pub fn reserved_bytes(&self) -> usize {
        self.total_bytes.load(Ordering::Relaxed)
    }

    pub fn reservation(&self) -> BodyReservation {
        BodyReservation { max_bytes: self.max_bytes, total_bytes: self.total_bytes.clone(), own_bytes: 0 }
    }
}

impl BodyReservation {
    /// Counts what a body takes by now, in bytes; tells whether more of it may be kept.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.own_bytes);
        self.own_bytes += added;
        self.total_bytes.fetch_add(added, Ordering::Relaxed) + added < self.max_bytes
    }

    /// The body, counted until its last part is dropped.
    pub fn keep(self, body: BytesMut) -> Bytes {
        if body.is_empty() {
            Bytes::new()
        } else {
            Bytes::from_owner(ReservedBody { body, _reservation: self })
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.total_bytes.fetch_sub(self.own_bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
