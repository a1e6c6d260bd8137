//! Heap that the decisions and the translator hold, by a counting global allocator.
//!
//! The program installs the allocator (`main.rs`); where it is missing, as in tests, nothing is measured.

use stats_alloc::INSTRUMENTED_SYSTEM;
use std::hint::black_box;

/// Bytes of the allocation by which the allocator is recognised.
const TRIAL_BYTES: usize = 4_096;

/// Bytes that are allocated now, as far as the counting allocator knows.
fn live_bytes() -> usize {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

/// Whether the counting allocator is this program's.
#[must_use]
pub fn is_counted() -> bool {
    let before = INSTRUMENTED_SYSTEM.stats().bytes_allocated;
    let trial = black_box(Vec::<u8>::with_capacity(TRIAL_BYTES));
    let after = INSTRUMENTED_SYSTEM.stats().bytes_allocated;
    drop(trial);
    after >= before + TRIAL_BYTES
}

/// Bytes of heap that `value` alone holds: what its drop frees. `None` without the counting allocator.
#[must_use]
pub fn heap_of<T>(value: T) -> Option<f64> {
    if !is_counted() {
        return None;
    }
    let before = live_bytes();
    drop(value);
    Some(before.saturating_sub(live_bytes()) as f64)
}
