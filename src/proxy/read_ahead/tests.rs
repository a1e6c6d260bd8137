use super::*;
use crate::proxy::memory::MemoryBudget;
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

/// Adds pieces until there is no more room, and returns the number of added bytes.
fn fill(ahead: &mut ReadAhead, memory: &MemoryBudget) -> usize {
    let mut pieces = 0;
    while ahead.has_room(memory) {
        ahead.add(&[pieces as u8; READ_PIECE_BYTES]);
        pieces += 1;
    }
    pieces * READ_PIECE_BYTES
}

#[test]
fn bytes_are_returned_in_order_as_they_were_added() {
    let mut ahead = ReadAhead::default();
    let mut expected = Vec::new();
    for length in [1, 100, 9_000, READ_PIECE_BYTES, 7] {
        let bytes: Vec<u8> = (0..length).map(|at| (at / 3 + length) as u8).collect();
        ahead.add(&bytes);
        expected.extend(bytes);
    }
    let mut got = Vec::new();
    while !ahead.is_empty() {
        let mut piece = [0; 10_000];
        let mut buffer = ReadBuf::new(&mut piece);
        ahead.move_into(&mut buffer);
        got.extend_from_slice(buffer.filled());
    }
    assert!(got == expected);
    // The memory of all pieces is released.
    assert_eq!((ahead.length, ahead.pieces.len()), (0, 0));
}

#[test]
fn nothing_is_read_ahead_without_memory() {
    let memory = MemoryBudget::new(0, || 0);
    assert_eq!(fill(&mut ReadAhead::default(), &memory), 0);
}

#[test]
fn a_connection_reads_at_most_max_read_ahead_bytes_ahead() {
    let mut ahead = ReadAhead::default();
    let memory = MemoryBudget::unlimited();
    assert_eq!(fill(&mut ahead, &memory), MAX_READ_AHEAD_BYTES);
    // Room is free again once the bytes have been moved on.
    ahead.move_into(&mut ReadBuf::new(&mut [0; READ_PIECE_BYTES]));
    assert_eq!(fill(&mut ahead, &memory), READ_PIECE_BYTES);
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
