//! Divides the limits on memory and descriptors between client and backend connections, and between the processes that
//! share them during an upgrade.

use super::memory::{BYTES_PER_MB, MemoryBudget, MemoryUse, NON_HEAP_BYTES};
use super::process_group::{ProcessGroup, ProcessUsage, resident_bytes};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// The largest number of operators' calls that are open at a time.
pub const MAX_OPERATOR_CALLS: usize = 12;
/// Memory that a process takes at its start, in addition to [`NON_HEAP_BYTES`].
const START_HEAP_BYTES: usize = 1 << 20;

/// The limits on memory and descriptors of a proxy, whose processes share them.
#[derive(Clone, Copy, Debug)]
pub struct SharedLimits {
    /// The number of descriptors of all processes together.
    pub descriptors: usize,
    /// The memory of all processes together, in units of 2^20 bytes.
    pub memory_mb: usize,
    /// The number of descriptors that each process sets aside for other uses than client and backend connections.
    pub reserved_descriptors: usize,
}

/// How the processes of a proxy share its limits.
#[derive(Debug)]
pub enum Sharing {
    /// There is one process at a time.
    None,
    /// The processes tell each other what they use, and each may use what the others leave.
    Group(ProcessGroup),
    /// The processes cannot tell each other what they use, so each may use half.
    Halves,
}

/// The use of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketUse {
    /// A connection of a client.
    Client,
    /// A connection to a backend, idle ones included.
    Backend,
}

/// What a process may use of the limits, and what it uses.
pub struct Budget {
    /// The memory of the process.
    pub memory: MemoryBudget,
    limits: SharedLimits,
    sharing: Sharing,
    client_sockets: Cell<usize>,
    backend_sockets: Cell<usize>,
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Budget")
            .field("limits", &self.limits)
            .field("client_sockets", &self.client_sockets)
            .field("backend_sockets", &self.backend_sockets)
            .finish_non_exhaustive()
    }
}

impl Budget {
    /// Creates the budget of a process without connections. `heap_bytes` returns the number of bytes that its heap holds.
    #[must_use]
    pub fn new(limits: SharedLimits, sharing: Sharing, heap_bytes: fn() -> usize) -> Rc<Self> {
        let budget = Self {
            memory: MemoryBudget::new(limits.memory_mb, heap_bytes),
            limits,
            sharing,
            client_sockets: Cell::new(0),
            backend_sockets: Cell::new(0),
        };
        budget.refresh();
        Rc::new(budget)
    }

    /// Creates a budget without limits, for parts of the proxy outside of its process.
    #[must_use]
    pub fn unlimited() -> Rc<Self> {
        let limits = SharedLimits {
            descriptors: usize::MAX / 4,
            memory_mb: usize::MAX,
            reserved_descriptors: 0,
        };
        Self::new(limits, Sharing::None, || 0)
    }

    /// Finds the other processes that share the limits, and adapts the memory of this one to what they use. It must be
    /// called often while the limits are shared.
    pub fn refresh(&self) {
        let total_bytes = self.limits.memory_mb.saturating_mul(BYTES_PER_MB);
        match &self.sharing {
            Sharing::None => self.memory.set_limit(total_bytes),
            Sharing::Halves => self.memory.set_limit(total_bytes / 2),
            Sharing::Group(group) => {
                self.report_to(group);
                group.find_others();
                let set_aside = if group.has_others() {
                    group.usage_of_others().memory_bytes
                } else {
                    NON_HEAP_BYTES + START_HEAP_BYTES
                };
                self.memory.set_limit(total_bytes.saturating_sub(set_aside));
            }
        }
    }

    /// Returns whether other processes may share the limits, so that [`Self::refresh`] must be called often.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        matches!(self.sharing, Sharing::Group(_))
    }

    /// Returns whether there is a socket and memory for another connection. There always is for a single one of each
    /// use.
    #[must_use]
    pub fn can_open(&self, socket_use: SocketUse, bytes: usize, memory_use: MemoryUse) -> bool {
        self.open_sockets(socket_use) == 0
            || (self.open_sockets(socket_use) < self.max_sockets(socket_use)
                && self.memory.has_room(bytes, memory_use))
    }

    /// Counts an open socket until the guard is dropped.
    pub fn open(self: &Rc<Self>, socket_use: SocketUse) -> SocketGuard {
        let count = self.count(socket_use);
        count.set(count.get() + 1);
        self.report();
        SocketGuard {
            budget: Rc::clone(self),
            socket_use,
        }
    }

    /// Returns the number of open sockets of this use.
    #[must_use]
    pub fn open_sockets(&self, socket_use: SocketUse) -> usize {
        self.count(socket_use).get()
    }

    /// Returns the largest number of sockets of this use that may be open now.
    #[must_use]
    pub fn max_sockets(&self, socket_use: SocketUse) -> usize {
        let SharedLimits {
            descriptors,
            reserved_descriptors,
            ..
        } = self.limits;
        let own_descriptors = match &self.sharing {
            Sharing::None => descriptors,
            Sharing::Halves => descriptors / 2,
            Sharing::Group(group) if group.has_others() => {
                descriptors.saturating_sub(group.usage_of_others().descriptors)
            }
            // A new process may start at any time.
            Sharing::Group(_) => descriptors.saturating_sub(reserved_descriptors),
        };
        let min_sockets = match &self.sharing {
            Sharing::None | Sharing::Halves => reserved_descriptors,
            Sharing::Group(_) => 0,
        };
        let sockets = own_descriptors
            .saturating_sub(reserved_descriptors)
            .max(min_sockets);
        // Clients get more sockets than backends, because a request that waits for a backend connection already holds
        // a client connection.
        let client_sockets = sockets * 3 / 5;
        match socket_use {
            SocketUse::Client => client_sockets,
            SocketUse::Backend => sockets - client_sockets,
        }
    }

    fn count(&self, socket_use: SocketUse) -> &Cell<usize> {
        match socket_use {
            SocketUse::Client => &self.client_sockets,
            SocketUse::Backend => &self.backend_sockets,
        }
    }

    /// Tells the other processes what this one uses, if there may be any.
    fn report(&self) {
        if let Sharing::Group(group) = &self.sharing
            && group.has_others()
        {
            self.report_to(group);
        }
    }

    fn report_to(&self, group: &ProcessGroup) {
        let sockets = self.client_sockets.get() + self.backend_sockets.get();
        let held_bytes = self.memory.heap_bytes().saturating_add(NON_HEAP_BYTES);
        group.report(ProcessUsage {
            descriptors: self.limits.reserved_descriptors + sockets,
            memory_bytes: held_bytes.max(resident_bytes().unwrap_or_default()),
        });
    }
}

/// An open socket of a [`Budget`], which counts until the guard is dropped.
#[derive(Debug)]
pub struct SocketGuard {
    budget: Rc<Budget>,
    socket_use: SocketUse,
}

impl Drop for SocketGuard {
    fn drop(&mut self) {
        let count = self.budget.count(self.socket_use);
        count.set(count.get() - 1);
        self.budget.report();
    }
}

#[cfg(test)]
mod tests;
