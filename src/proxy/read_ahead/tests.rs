use super::*;
use crate::proxy::budget::{Budget, MemoryBudget, SharedLimits};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Wake;

/// A waker that records whether it was called.
struct Woken(AtomicBool);

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Returns the memory for bodies of a process with `memory_mb` MB in all: a fifth.
fn body_memory(memory_mb: usize) -> MemoryBudget {
    let limits = SharedLimits {
        descriptors: 100,
        memory_mb,
        reserved_descriptors: 10,
        process_count: 1,
    };
    Budget::for_process(limits).body_memory
}

/// Returns the memory for bodies of a process with 5 MB in all: 1 MB.
fn one_mb_of_body_memory() -> MemoryBudget {
    body_memory(5)
}

/// Adds pieces until no more memory can be reserved, and returns the number of added bytes.
fn fill(ahead: &mut ReadAhead, memory: &MemoryBudget) -> usize {
    let mut pieces = 0;
    while ahead.make_room(memory) {
        ahead.add(&[pieces as u8; READ_PIECE_BYTES]);
        pieces += 1;
    }
    pieces * READ_PIECE_BYTES
}

#[test]
fn bytes_are_returned_in_order_and_their_memory_is_released() {
    let (memory, mut ahead) = (one_mb_of_body_memory(), ReadAhead::default());
    let held = fill(&mut ahead, &memory);
    assert_eq!(held, 1 << 20, "all memory for bodies is used");
    assert!(memory.reserve(1).is_none());
    let mut got = Vec::new();
    while !ahead.is_empty() {
        let mut piece = [0; 10_000];
        let mut buffer = ReadBuf::new(&mut piece);
        ahead.move_into(&mut buffer);
        got.extend_from_slice(buffer.filled());
    }
    let expected: Vec<u8> = (0..held).map(|at| (at / READ_PIECE_BYTES) as u8).collect();
    assert!(got == expected);
    assert!(memory.reserve(1 << 20).is_some(), "all memory is released");
}

#[test]
fn a_connection_reads_at_most_max_read_ahead_bytes_ahead() {
    let (memory, mut ahead) = (body_memory(200), ReadAhead::default());
    assert_eq!(fill(&mut ahead, &memory), MAX_READ_AHEAD_BYTES);
}

#[test]
fn a_waiting_reader_is_woken_when_bytes_are_added() {
    let mut ahead = ReadAhead::default();
    let woken = Arc::new(Woken(AtomicBool::new(false)));
    ahead.register_reader(&Arc::clone(&woken).into());
    assert!(!woken.0.load(Ordering::Relaxed));
    ahead.add(b"bytes");
    assert!(woken.0.load(Ordering::Relaxed));
}
