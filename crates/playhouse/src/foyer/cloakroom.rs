//! Cloakroom (bytes of bodies that are held here, over all connections together): a stated total. Beyond it
//! nothing more is kept: what comes is passed on as it is read, so that senders are held back.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Of a machine's memory, so much may be held in bodies; the rest is for connections and the program itself.
pub const SHARE: f64 = 0.2;

pub struct Cloakroom {
    most: usize,
    held: Arc<AtomicUsize>,
}

/// What one body takes of the total, until it is dropped.
pub struct Coat {
    most: usize,
    held: Arc<AtomicUsize>,
    own: usize,
}

/// A kept body, with its part of the total.
struct Kept {
    body: BytesMut,
    _coat: Coat,
}

impl Cloakroom {
    /// For a machine with `memory` bytes.
    pub fn of_memory(memory: f64) -> Cloakroom {
        Cloakroom { most: (memory * SHARE) as usize, held: Arc::default() }
    }

    /// Bytes of all bodies that are held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    pub fn coat(&self) -> Coat {
        Coat { most: self.most, held: self.held.clone(), own: 0 }
    }
}

impl Coat {
    /// Counts what a body takes by now, in bytes; tells whether more of it may be kept.
    pub fn takes(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.own);
        self.own += more;
        self.held.fetch_add(more, Ordering::Relaxed) + more < self.most
    }

    /// The body, counted until its last part is dropped.
    pub fn keep(self, body: BytesMut) -> Bytes {
        if body.is_empty() { Bytes::new() } else { Bytes::from_owner(Kept { body, _coat: self }) }
    }
}

impl Drop for Coat {
    fn drop(&mut self) {
        self.held.fetch_sub(self.own, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
