//! Division of the limits on memory and descriptors between clients, backends and bodies.

use super::size_limits::{BUFFERED_BODY_BYTES, MAX_BACKEND_HEAD_BYTES, MAX_CLIENT_HEAD_BYTES};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The most operators' calls that are open at a time.
pub const MAX_OPERATOR_CALLS: usize = 12;
const BYTES_PER_MB: usize = 1 << 20;

/// What one process may take.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The most client connections that are open at a time.
    pub clients: usize,
    /// The most backend connections that are open at a time, idle ones included.
    pub backends: usize,
    /// Memory for bodies that are larger than what each connection may hold.
    pub bodies: MemoryBudget,
}

impl Budget {
    /// Divides limits that hold for `processes` processes together. Each process sets `reserved`
    /// descriptors aside.
    ///
    /// The memory has to suffice for all connections at once: two fifths of it are for heads and
    /// bodies from clients, a fifth for those from backends, a fifth for larger bodies, and a fifth
    /// for everything else.
    #[must_use]
    pub fn of(descriptors: usize, memory_mb: usize, reserved: usize, processes: usize) -> Self {
        let own_descriptors = (descriptors / processes).max(2 * reserved);
        let sockets = own_descriptors - reserved;
        let fifth_bytes = memory_mb.saturating_mul(BYTES_PER_MB) / processes / 5;
        // Clients get the larger part: a request that waits for a backend connection holds a client
        // connection.
        let client_sockets = sockets * 3 / 5;
        let backend_sockets = sockets - client_sockets;
        let clients =
            client_sockets.min(2 * fifth_bytes / (MAX_CLIENT_HEAD_BYTES + BUFFERED_BODY_BYTES));
        let backends =
            backend_sockets.min(fifth_bytes / (MAX_BACKEND_HEAD_BYTES + BUFFERED_BODY_BYTES));
        Self {
            clients: clients.max(1),
            backends: backends.max(1),
            bodies: MemoryBudget::new(fifth_bytes),
        }
    }
}

/// A number of bytes of which parts can be reserved. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    available: Arc<AtomicUsize>,
}

impl MemoryBudget {
    fn new(bytes: usize) -> Self {
        Self {
            available: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Reserves bytes until the reservation is dropped; `None` where fewer are available.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let subtract = |available: usize| available.checked_sub(bytes);
        self.available
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .ok()?;
        Some(Reservation {
            bytes,
            budget: self.clone(),
        })
    }
}

/// Reserved bytes. Dropped, they are available again.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    budget: MemoryBudget,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .available
            .fetch_add(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
