//! The event queue, and the slab that holds what pending events refer to.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tillerproxy_lab::fleet::events::EventQueue;
use tillerproxy_lab::fleet::slab::RefSlab;

#[test]
fn events_are_popped_in_order_of_time_and_then_of_pushes() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut queue = EventQueue::new();
    let mut pushed = Vec::new();
    for number in 0..5_000_u32 {
        // Spans within the wheel and beyond it, rounded so that many events have the same time.
        let span = [100, 1_000_000, 60_000_000][number as usize % 3];
        let at = random.random_range(0..span) / 50 * 50;
        queue.push(at, number);
        pushed.push((at, number));
    }
    pushed.sort_unstable();
    let popped: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(popped, pushed);
    assert!(queue.is_empty());
}

#[test]
fn events_pushed_between_pops_are_popped_in_order_of_time() {
    let mut random = SmallRng::seed_from_u64(2);
    let mut queue = EventQueue::new();
    queue.push(0, 0_u32);
    let mut last = 0;
    let mut popped = 0;
    let mut pushed = 1;
    while let Some((now, number)) = queue.pop() {
        assert!(now >= last, "time must not decrease from {last} to {now}");
        last = now;
        popped += 1;
        if pushed < 20_000 {
            queue.push_after(random.random_range(0..20_000_000), number + 1);
            queue.push(now.saturating_sub(5), number + 1);
            pushed += 2;
        }
    }
    assert_eq!(popped, pushed);
}

#[test]
fn slab_reuses_a_key_only_after_its_last_reference_is_released() {
    let mut slab = RefSlab::new();
    let first = slab.insert("a", 2);
    assert!(!slab.release(first));
    assert_ne!(slab.insert("b", 1), first);
    assert!(slab.release(first));
    assert_eq!(slab.insert("c", 1), first);
    assert_eq!(slab[first], "c");
}
