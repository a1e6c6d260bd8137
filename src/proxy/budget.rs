//! Divides the limits on memory and descriptors among client connections, backend connections and bodies.

use super::size_limits::{BUFFERED_BODY_BYTES, MAX_BACKEND_HEAD_BYTES, MAX_CLIENT_HEAD_BYTES};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The largest number of operators' calls that are open at a time.
pub const MAX_OPERATOR_CALLS: usize = 12;
const BYTES_PER_MB: usize = 1 << 20;

/// The limits on memory and descriptors that the processes of a proxy share: two processes during an upgrade.
#[derive(Clone, Copy, Debug)]
pub struct SharedLimits {
    /// The number of descriptors of all processes together.
    pub descriptors: usize,
    /// The memory of all processes together, in units of 2^20 bytes.
    pub memory_mb: usize,
    /// The number of descriptors that each process sets aside for other uses than client and backend connections.
    pub reserved_descriptors: usize,
    /// The number of processes that share the limits, at least 1.
    pub process_count: usize,
}

/// The limits of one process.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The largest number of client connections that are open at a time.
    pub max_client_connections: usize,
    /// The largest number of backend connections that are open at a time, idle ones included.
    pub max_backend_connections: usize,
    /// Memory for the parts of bodies beyond the [`BUFFERED_BODY_BYTES`] that each connection may hold.
    pub body_memory: MemoryBudget,
}

impl Budget {
    /// Returns the budget of one of the processes that share the limits.
    ///
    /// The memory must suffice for all connections at once: two fifths of it are for heads and bodies from clients, one
    /// fifth for heads and bodies from backends, one fifth for larger bodies, and one fifth for everything else.
    ///
    /// # Panics
    /// If `process_count` is 0.
    #[must_use]
    pub fn for_process(limits: SharedLimits) -> Self {
        let SharedLimits {
            descriptors,
            memory_mb,
            reserved_descriptors,
            process_count,
        } = limits;
        let own_descriptors = (descriptors / process_count).max(2 * reserved_descriptors);
        let sockets = own_descriptors - reserved_descriptors;
        let fifth_bytes = memory_mb.saturating_mul(BYTES_PER_MB) / process_count / 5;
        // Clients get more sockets than backends, because a request that waits for a backend connection already holds
        // a client connection.
        let client_sockets = sockets * 3 / 5;
        let backend_sockets = sockets - client_sockets;
        let max_client_connections =
            client_sockets.min(2 * fifth_bytes / (MAX_CLIENT_HEAD_BYTES + BUFFERED_BODY_BYTES));
        let max_backend_connections =
            backend_sockets.min(fifth_bytes / (MAX_BACKEND_HEAD_BYTES + BUFFERED_BODY_BYTES));
        Self {
            max_client_connections: max_client_connections.max(1),
            max_backend_connections: max_backend_connections.max(1),
            body_memory: MemoryBudget::new(fifth_bytes),
        }
    }
}

/// An amount of memory in bytes of which parts can be reserved. Clones share the amount.
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

    /// Reserves bytes until the returned reservation is dropped. Returns `None` if fewer are available.
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

/// Memory reserved from a [`MemoryBudget`], which is released on drop.
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
