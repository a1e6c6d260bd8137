//! Bounds the memory of the process by the bytes that its heap really holds, whatever holds them.
//!
//! The heap is measured instead of counting what each connection might need: the buffers of hyper, the heads of requests
//! and the tables of the balancer take memory too, and most connections hold far less than the most that they may.
//!
//! The uses of memory give way to each other in the order of [`MemoryUse`]: a large body can be streamed instead of
//! buffered, and a client can wait in the kernel's queue while those before it are served.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::time::sleep;

pub(super) const BYTES_PER_MB: usize = 1 << 20;
/// Memory of a process outside of its heap: the pages of the program and of the libraries, and the stack.
pub(super) const NON_HEAP_BYTES: usize = 4 << 20;
/// Bytes beyond those at the start for which requests are served even if the limit is lower.
const MIN_SERVING_BYTES: usize = 1 << 20;
/// Interval at which the heap is measured while clients are not read.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A use of memory, in the order in which the uses give way as the heap grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// The part of a body beyond [`BUFFERED_BODY_BYTES`](super::size_limits::BUFFERED_BODY_BYTES), and bytes that are
    /// read ahead.
    LargeBody,
    /// A new connection of a client. It gives way to what the open connections need.
    ClientConnection,
    /// The first [`BUFFERED_BODY_BYTES`](super::size_limits::BUFFERED_BODY_BYTES) of a request's body.
    SmallBody,
    /// A new connection to a backend, and the buffered part of a response.
    Attempt,
    /// Bytes that a client sends.
    ClientInput,
}

impl MemoryUse {
    /// Returns the share of the heap's limit, in twentieths, up to which this use may grow. The rest covers what grows
    /// without a check, such as the heads of responses, and the free memory within the heap.
    fn twentieths(self) -> usize {
        match self {
            Self::LargeBody => 7,
            Self::ClientConnection => 9,
            Self::SmallBody => 10,
            Self::Attempt => 11,
            Self::ClientInput => 12,
        }
    }
}

/// The memory of the process. Clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Rc<SharedMemory>);

struct SharedMemory {
    /// Returns the number of bytes that the heap holds.
    heap_bytes: fn() -> usize,
    /// The largest number of bytes that the heap may hold.
    max_heap_bytes: Cell<usize>,
    /// The number of bytes up to which requests are served even if `max_heap_bytes` is lower.
    min_serving_bytes: usize,
    /// The readers of client connections that wait until memory is available.
    paused_readers: RefCell<Vec<Waker>>,
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryBudget")
            .field("heap_bytes", &(self.0.heap_bytes)())
            .field("max_heap_bytes", &self.0.max_heap_bytes)
            .finish_non_exhaustive()
    }
}

impl MemoryBudget {
    /// Changes the memory that the process may take, in bytes. What it holds already stays.
    pub(super) fn set_limit(&self, bytes: usize) {
        self.0.max_heap_bytes.set(max_heap_bytes(bytes));
    }

    /// Returns the number of bytes that the heap holds.
    pub(super) fn heap_bytes(&self) -> usize {
        (self.0.heap_bytes)()
    }

    /// Creates the budget of a process that may take `memory_mb` times 2^20 bytes. `heap_bytes` returns the number of
    /// bytes that its heap holds.
    #[must_use]
    pub fn new(memory_mb: usize, heap_bytes: fn() -> usize) -> Self {
        Self(Rc::new(SharedMemory {
            heap_bytes,
            max_heap_bytes: Cell::new(max_heap_bytes(memory_mb.saturating_mul(BYTES_PER_MB))),
            min_serving_bytes: heap_bytes().saturating_add(MIN_SERVING_BYTES),
            paused_readers: RefCell::default(),
        }))
    }

    /// Creates a budget without a limit, for a process whose heap is not measured.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::new(usize::MAX, || 0)
    }

    /// Returns whether `bytes` more may be allocated for a use. The caller allocates them before it waits for anything,
    /// so that the next check takes them into account.
    #[must_use]
    pub fn has_room(&self, bytes: usize, memory_use: MemoryUse) -> bool {
        let share = self.0.max_heap_bytes.get() / 20 * memory_use.twentieths();
        let limit = match memory_use {
            MemoryUse::Attempt | MemoryUse::ClientInput => share.max(self.0.min_serving_bytes),
            MemoryUse::LargeBody | MemoryUse::SmallBody | MemoryUse::ClientConnection => share,
        };
        (self.0.heap_bytes)().saturating_add(bytes) <= limit
    }

    /// Wakes a reader once clients may send more bytes, or the heap has been measured again.
    pub(super) fn wake_with_room(&self, reader: &Waker) {
        let mut paused = self.0.paused_readers.borrow_mut();
        paused.push(reader.clone());
        if paused.len() == 1 {
            let memory = self.clone();
            tokio::task::spawn_local(async move {
                sleep(PAUSE_CHECK_INTERVAL).await;
                memory
                    .0
                    .paused_readers
                    .take()
                    .into_iter()
                    .for_each(Waker::wake);
            });
        }
    }
}

/// Returns the largest heap of a process that may take `bytes` of memory in all.
fn max_heap_bytes(bytes: usize) -> usize {
    bytes.saturating_sub(NON_HEAP_BYTES).max(bytes / 2)
}

#[cfg(test)]
mod tests;
