//! Limits the memory for buffered bodies over all connections together. Beyond the limit nothing more is buffered:
//! data is passed on as it is read, so that back-pressure slows the senders.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Fraction of the machine's memory for buffered bodies; the rest is for connections and the program itself.
pub const BODY_MEMORY_SHARE: f64 = 0.2;

/// Memory limit for buffered bodies.
pub struct BodyBudget {
    max_bytes: usize,
    total_bytes: Arc<AtomicUsize>,
}

/// One body's part of the budget, returned when it is dropped.
pub struct BodyReservation {
    max_bytes: usize,
    total_bytes: Arc<AtomicUsize>,
    own_bytes: usize,
}

/// A buffered body with its reservation.
struct ReservedBody {
    body: BytesMut,
    _reservation: BodyReservation,
}

impl BodyBudget {
    /// The budget of a machine with this much memory.
    pub fn for_memory(memory_bytes: f64) -> BodyBudget {
        BodyBudget { max_bytes: (memory_bytes * BODY_MEMORY_SHARE) as usize, total_bytes: Arc::default() }
    }

    /// Bytes reserved by all bodies.
    pub fn reserved_bytes(&self) -> usize {
        self.total_bytes.load(Ordering::Relaxed)
    }

    /// An empty reservation for one body.
    pub fn reservation(&self) -> BodyReservation {
        BodyReservation { max_bytes: self.max_bytes, total_bytes: self.total_bytes.clone(), own_bytes: 0 }
    }
}

impl BodyReservation {
    /// Grows the reservation to the body's current size in bytes; tells whether more of it may be buffered.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.own_bytes);
        self.own_bytes += added;
        self.total_bytes.fetch_add(added, Ordering::Relaxed) + added < self.max_bytes
    }

    /// The body, counted until its last slice is dropped.
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
