//! What the process may take of its limits on memory and descriptors, and for what.

use super::limits::{BACKEND_HEAD_CAP, BODY_CAP, CLIENT_HEAD_CAP};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The parts of one process.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Client connections that may be open at a time.
    pub clients: usize,
    /// Backend connections that may be open at a time, idle ones too.
    pub backends: usize,
    /// Bytes that requests' bodies beyond the usual size may hold at a time.
    pub bodies: Bytes,
}

impl Budget {
    /// Divides the limits among so many processes, `reserved` descriptors of each aside. What all connections
    /// may hold has to fit into the memory: two fifths of it for heads, bodies and pieces of bodies that come
    /// from clients, a fifth for those from backends, a fifth for bodies beyond the usual size.
    #[must_use]
    pub fn of(sockets: usize, memory_mb: usize, reserved: usize, processes: usize) -> Self {
        let free = (sockets / processes).max(2 * reserved) - reserved;
        let fifth = memory_mb.saturating_mul(1 << 20) / processes / 5;
        // A client's connection may carry a request that waits for a backend's, so it gets the larger part.
        let clients = (free * 3 / 5).min(2 * fifth / (CLIENT_HEAD_CAP + BODY_CAP));
        let backends = (free - free * 3 / 5).min(fifth / (BACKEND_HEAD_CAP + BODY_CAP));
        Self {
            clients: clients.max(1),
            backends: backends.max(1),
            bodies: Bytes::new(fifth),
        }
    }
}

/// Bytes of memory that whoever needs them reserves for a while.
#[derive(Clone, Debug)]
pub struct Bytes(Arc<AtomicUsize>);

impl Bytes {
    fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Takes that many until what is returned is dropped; `None` where so many are not left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reserved> {
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(bytes)
            });
        taken.is_ok().then(|| Reserved {
            bytes,
            of: self.clone(),
        })
    }
}

/// Bytes that are taken.
#[derive(Debug)]
pub struct Reserved {
    bytes: usize,
    of: Bytes,
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.of.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
