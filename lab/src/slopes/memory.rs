//! Measures the heap that a value holds, through a counting global allocator.
//!
//! The `tillerproxy-lab` program installs the allocator (`main.rs`). Without it, as in tests, memory is not measured.

use stats_alloc::INSTRUMENTED_SYSTEM;
use std::hint::black_box;

/// Size in bytes of the test allocation that checks whether the counting allocator is installed.
const TEST_ALLOCATION_BYTES: usize = 4_096;

/// Returns the bytes of heap currently allocated, as counted by the allocator.
fn allocated_bytes() -> usize {
    let stats = INSTRUMENTED_SYSTEM.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

/// Reports whether the counting allocator is installed.
#[must_use]
pub fn is_allocator_installed() -> bool {
    let before = INSTRUMENTED_SYSTEM.stats().bytes_allocated;
    let allocation = black_box(Vec::<u8>::with_capacity(TEST_ALLOCATION_BYTES));
    let after = INSTRUMENTED_SYSTEM.stats().bytes_allocated;
    drop(allocation);
    after >= before + TEST_ALLOCATION_BYTES
}

/// Drops `value` and returns the bytes of heap that the drop frees; `None` without the counting allocator.
#[must_use]
pub fn heap_bytes<T>(value: T) -> Option<f64> {
    if !is_allocator_installed() {
        return None;
    }
    let before = allocated_bytes();
    drop(value);
    Some(before.saturating_sub(allocated_bytes()) as f64)
}
