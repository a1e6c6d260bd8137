use super::*;

#[test]
fn what_all_connections_may_hold_fits_into_the_memory() {
    for (sockets, memory_mb, processes) in [
        (256, 32, 1),
        (1_024, 32, 2),
        (1_024, 192, 1),
        (65_536, 64, 2),
    ] {
        let budget = Budget::of(sockets, memory_mb, 37, processes);
        let bodies = budget.bodies.0.load(Ordering::Relaxed);
        let held = budget.clients * (CLIENT_HEAD_CAP + BODY_CAP)
            + budget.backends * (BACKEND_HEAD_CAP + BODY_CAP)
            + bodies;
        assert!(
            processes * held <= (memory_mb << 20) / 5 * 4,
            "{held} bytes of {sockets}, {memory_mb}"
        );
        assert!(processes * (budget.clients + budget.backends + 37) <= sockets);
    }
}

#[test]
fn what_is_reserved_comes_back() {
    let bytes = Bytes::new(10);
    let first = bytes.reserve(7).expect("7 of 10");
    assert!(bytes.reserve(4).is_none());
    drop(first);
    assert!(bytes.reserve(10).is_some());
}
