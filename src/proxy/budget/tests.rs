use super::*;

#[test]
fn all_connections_together_stay_within_the_limits() {
    for (descriptors, memory_mb, process_count) in [
        (256, 32, 1),
        (1_024, 32, 2),
        (1_024, 192, 1),
        (65_536, 64, 2),
    ] {
        let budget = Budget::for_process(SharedLimits {
            descriptors,
            memory_mb,
            reserved_descriptors: 37,
            process_count,
        });
        let bodies = budget.body_memory.available.load(Ordering::Relaxed);
        let held = budget.max_client_connections * (MAX_CLIENT_HEAD_BYTES + BUFFERED_BODY_BYTES)
            + budget.max_backend_connections * (MAX_BACKEND_HEAD_BYTES + BUFFERED_BODY_BYTES)
            + bodies;
        assert!(
            process_count * held <= (memory_mb << 20) / 5 * 4,
            "{held} bytes of {memory_mb} MB for {descriptors} descriptors"
        );
        let connections = budget.max_client_connections + budget.max_backend_connections;
        assert!(
            process_count * (connections + 37) <= descriptors,
            "{connections} connections and 37 reserved descriptors in each of {process_count} processes, of {descriptors}"
        );
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
