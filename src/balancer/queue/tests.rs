//! Tests of the queue.

use super::*;

fn key(index: usize) -> RequestKey {
    RequestKey::from_index(index)
}

/// Returns a queue of the requests 0, 1, 2 and 3, in this order.
fn queue_of_four() -> WaitQueue {
    let mut queue = WaitQueue::default();
    for index in 0..4 {
        queue.push(key(index));
    }
    queue
}

#[test]
fn a_request_waits_for_a_tenth_of_its_remaining_time() {
    assert_eq!(max_wait(1_000, 3_000), 200);
    assert_eq!(max_wait(1_000, 1_009), 0);
    assert_eq!(max_wait(1_000, 1_000), 0);
    assert_eq!(max_wait(3_000, 1_000), 0, "past its deadline");
}

#[test]
fn an_empty_queue_has_no_first_request() {
    assert_eq!(WaitQueue::default().first_by_priority(|_| 1.0), None);
}

#[test]
fn the_request_with_the_highest_priority_is_first() {
    let priorities = [1.0, 3.0, 9.0, 2.0];
    let first = queue_of_four().first_by_priority(|request| priorities[request.index()]);
    assert_eq!(first, Some(key(2)));
}

#[test]
fn among_equal_priorities_the_request_that_arrived_first_is_first() {
    let priorities = [1.0, 5.0, 5.0, 5.0];
    let first = queue_of_four().first_by_priority(|request| priorities[request.index()]);
    assert_eq!(first, Some(key(1)));
}

#[test]
fn removing_a_request_keeps_the_order_of_the_others() {
    let mut queue = queue_of_four();
    queue.remove(key(0));
    assert_eq!(queue.first_by_priority(|_| 1.0), Some(key(1)));
    queue.remove(key(7));
    queue.push(key(0));
    assert_eq!(queue.first_by_priority(|_| 1.0), Some(key(1)));
    for index in [1, 2, 3] {
        queue.remove(key(index));
    }
    assert_eq!(queue.first_by_priority(|_| 1.0), Some(key(0)));
}
