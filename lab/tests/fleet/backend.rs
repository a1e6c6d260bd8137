//! The emulated backend: cores, queue, cold start and failures.

use tillerproxy_lab::fleet::backend::{Admission, ColdStart, EmulatedBackend, Life};
use tillerproxy_lab::fleet::topology::Machine;

const MS: f64 = 1_000.0;
const SECOND: u64 = 1_000_000;
const COLD: ColdStart = ColdStart {
    from: 0.2,
    time: 10 * SECOND,
    fall_multiple: 2.0,
    fall_time: SECOND,
    mean_work: 50.0 * MS,
};

fn backend(queue: u32) -> EmulatedBackend {
    let machine = Machine {
        zone: 0,
        rack: 0,
        kind: 0,
        cell: 0,
        cores: 2,
        speed: 2.0,
    };
    EmulatedBackend::new(machine, queue)
}

#[test]
fn cores_work_at_their_speed_and_the_queue_is_bounded() {
    let mut backend = backend(1);
    assert_eq!(
        backend.arrive(0, 1, 50.0 * MS, &COLD),
        Admission::Started(25_000)
    );
    assert_eq!(
        backend.arrive(0, 2, 10.0 * MS, &COLD),
        Admission::Started(5_000)
    );
    assert_eq!(backend.arrive(0, 3, 50.0 * MS, &COLD), Admission::Queued);
    assert_eq!(backend.arrive(0, 4, 50.0 * MS, &COLD), Admission::Full);
    assert_eq!((backend.in_flight(), backend.arrived), (3, 4));
    assert_eq!(backend.next_waiting(), None, "both cores are busy");
    assert!(backend.finish(2, 5_000));
    assert_eq!(backend.next_waiting(), Some(3));
    backend.slowdown = 3.0;
    assert_eq!(backend.begin(5_000, 3, 50.0 * MS, &COLD), 75_000);
}

#[test]
fn a_hung_backend_takes_requests_and_answers_once_it_is_back() {
    let mut backend = backend(1);
    backend.arrive(0, 1, 50.0 * MS, &COLD);
    backend.hung = true;
    assert_eq!(backend.arrive(0, 2, 50.0 * MS, &COLD), Admission::Queued);
    assert_eq!(
        backend.arrive(0, 3, 50.0 * MS, &COLD),
        Admission::Queued,
        "nobody is there to say no"
    );
    assert!(!backend.finish(1, 25_000));
    assert_eq!(backend.next_waiting(), None);
    assert_eq!(backend.resume(), [1]);
    assert_eq!(backend.next_waiting(), Some(2));
}

#[test]
fn a_backend_that_stops_loses_what_it_held_and_comes_back_cold() {
    let mut backend = backend(8);
    for attempt in 1..=4 {
        backend.arrive(0, attempt, 50.0 * MS, &COLD);
    }
    assert_eq!(backend.stop(Life::Dead), [1, 2, 3, 4]);
    assert_eq!(backend.arrive(0, 5, 50.0 * MS, &COLD), Admission::Refused);
    assert!(backend.start(SECOND));
    // A fifth of its speed at first, three fifths when half of the time has passed, all of it in the end.
    assert_eq!(
        backend.arrive(SECOND, 6, 50.0 * MS, &COLD),
        Admission::Started(125_000)
    );
    assert_eq!(
        backend.arrive(6 * SECOND, 7, 50.0 * MS, &COLD),
        Admission::Started(41_666)
    );
    backend.finish(6, 125_000);
    assert_eq!(
        backend.arrive(20 * SECOND, 8, 50.0 * MS, &COLD),
        Admission::Started(25_000)
    );
    backend.stop(Life::Vanished);
    assert_eq!(
        backend.arrive(20 * SECOND, 9, 50.0 * MS, &COLD),
        Admission::Unreachable
    );
}

#[test]
fn a_cold_backend_falls_over_beyond_its_budget() {
    let mut backend = backend(1_000);
    backend.stop(Life::Dead);
    backend.start(0);
    // 2 x 4 ms/ms x 0.2 x 1 s / 50 ms = 32 requests, and 2 sqrt(32) + 2 for chance.
    let budget = COLD.budget(4.0, 0);
    assert!(
        (budget - (32.0 + 2.0 * 32.0_f64.sqrt() + 2.0)).abs() < 1e-9,
        "{budget}"
    );
    for _ in 0..45 {
        assert_eq!(backend.weigh(0, 50.0 * MS, true, &COLD), None);
    }
    let fall = backend
        .weigh(0, 50.0 * MS, false, &COLD)
        .expect("beyond the budget");
    assert_eq!(fall.load, 46.0);
    assert!((fall.informed - 45.0 / 46.0).abs() < 1e-9);
}

#[test]
fn load_that_is_older_than_the_fall_time_is_forgotten() {
    let mut backend = backend(1_000);
    backend.stop(Life::Dead);
    backend.start(0);
    for number in 0..400 {
        let now = number * SECOND / 32;
        assert_eq!(
            backend.weigh(now, 50.0 * MS, true, &COLD),
            None,
            "32 a second are within the budget"
        );
    }
    assert_eq!(
        backend.weigh(30 * SECOND, 1e9, true, &COLD),
        None,
        "a warm backend does not fall"
    );
}
