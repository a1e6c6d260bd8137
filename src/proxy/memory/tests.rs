use super::*;
use std::cell::Cell;

thread_local! {
    static HEAP_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// Sets the size of the heap that the budgets of this test measure.
fn set_heap_bytes(bytes: usize) {
    HEAP_BYTES.set(bytes);
}

/// Returns the budget of a process with a limit of `memory_mb` and an empty heap.
fn budget(memory_mb: usize) -> MemoryBudget {
    set_heap_bytes(0);
    MemoryBudget::new(memory_mb, || HEAP_BYTES.get())
}

const USES: [MemoryUse; 5] = [
    MemoryUse::LargeBody,
    MemoryUse::ClientConnection,
    MemoryUse::SmallBody,
    MemoryUse::Attempt,
    MemoryUse::ClientInput,
];

#[test]
fn uses_give_way_in_order_as_the_heap_grows_and_the_last_one_within_the_limit() {
    for memory_mb in [16, 32, 48, 192] {
        let budget = budget(memory_mb);
        let mut ends = Vec::new();
        for memory_use in USES {
            let mut heap_bytes = 0;
            while budget.has_room(1 << 10, memory_use) {
                heap_bytes += 1 << 10;
                set_heap_bytes(heap_bytes);
            }
            ends.push(heap_bytes);
            set_heap_bytes(0);
        }
        assert!(
            ends.is_sorted_by(|earlier, later| earlier < later),
            "{ends:?}"
        );
        let last = ends[USES.len() - 1];
        assert!(
            last + NON_HEAP_BYTES <= (memory_mb * BYTES_PER_MB) / 5 * 4,
            "a fifth of {memory_mb} MB is left at {last} bytes"
        );
    }
}

#[test]
fn a_single_request_is_served_without_any_memory() {
    let budget = budget(0);
    for memory_use in USES {
        let serves = matches!(memory_use, MemoryUse::Attempt | MemoryUse::ClientInput);
        assert_eq!(
            budget.has_room(64 << 10, memory_use),
            serves,
            "{memory_use:?}"
        );
    }
    set_heap_bytes(MIN_SERVING_BYTES);
    assert!(!budget.has_room(1, MemoryUse::ClientInput));
}

#[tokio::test(start_paused = true)]
async fn a_paused_reader_is_woken_to_measure_the_heap_again() {
    let set = tokio::task::LocalSet::new();
    set.run_until(async {
        let budget = budget(32);
        set_heap_bytes(32 << 20);
        let mut pauses = 0;
        std::future::poll_fn(|cx| {
            if budget.has_room(1, MemoryUse::ClientInput) {
                return std::task::Poll::Ready(());
            }
            pauses += 1;
            if pauses == 3 {
                set_heap_bytes(0);
            }
            budget.wake_with_room(cx.waker());
            std::task::Poll::Pending
        })
        .await;
        assert_eq!(pauses, 3);
    })
    .await;
}
