//! Heap of the decisions and of the translator, by a counting global allocator.
//!
//! The program installs the allocator (`main.rs`); where it is missing, as in tests, nothing is measured.

use stats_alloc::INSTRUMENTED_SYSTEM;
use std::hint::black_box;

/// Bytes of the allocation by which the counting allocator is recognised.
const TRIAL_BYTES: usize = 4_096;

/// Returns the bytes that are allocated now, as counted by the allocator.
fn live_bytes() -> usize {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

/// Returns whether the counting allocator is installed.
#[must_use]
pub fn is_counted() -> bool {
    let before = INSTRUMENTED_SYSTEM.stats().bytes_allocated;
    let trial = black_box(Vec::<u8>::with_capacity(TRIAL_BYTES));
    let after = INSTRUMENTED_SYSTEM.stats().bytes_allocated;
    drop(trial);
    after >= before + TRIAL_BYTES
}

/// Returns the bytes of heap that `value` alone holds, which are those that its drop frees; `None` without the
/// counting allocator.
#[must_use]
pub fn heap_of<T>(value: T) -> Option<f64> {
    if !is_counted() {
        return None;
    }
    let before = live_bytes();
    drop(value);
    Some(before.saturating_sub(live_bytes()) as f64)
}
