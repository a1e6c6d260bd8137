use super::*;

#[test]
fn all_connections_together_stay_within_the_limits() {
    for (descriptors, memory_mb, processes) in [
        (256, 32, 1),
        (1_024, 32, 2),
        (1_024, 192, 1),
        (65_536, 64, 2),
    ] {
        let budget = Budget::of(descriptors, memory_mb, 37, processes);
        let bodies = budget.bodies.available.load(Ordering::Relaxed);
        let held = budget.clients * (MAX_CLIENT_HEAD_BYTES + BUFFERED_BODY_BYTES)
            + budget.backends * (MAX_BACKEND_HEAD_BYTES + BUFFERED_BODY_BYTES)
            + bodies;
        assert!(
            processes * held <= (memory_mb << 20) / 5 * 4,
            "{held} bytes of {memory_mb} MB for {descriptors} descriptors"
        );
        assert!(processes * (budget.clients + budget.backends + 37) <= descriptors);
    }
}

#[test]
fn memory_of_a_dropped_reservation_can_be_reserved_again() {
    let memory = MemoryBudget::new(10);
    let first = memory.reserve(7).expect("7 of 10 bytes are available");
    assert!(memory.reserve(4).is_none());
    drop(first);
    assert!(memory.reserve(10).is_some());
}
