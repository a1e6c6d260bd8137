//! The emulated backend: cores, queue, slow start and failures.

use tillerproxy::api::{Cell, MachineType, Zone};
use tillerproxy_lab::fleet::backend::{Admission, EmulatedBackend, SlowStartModel};
use tillerproxy_lab::fleet::ids::Rack;
use tillerproxy_lab::fleet::process::ProcessState;
use tillerproxy_lab::fleet::request::AttemptKey;
use tillerproxy_lab::fleet::topology::Machine;

const MS: f64 = 1_000.0;
const SECOND: u64 = 1_000_000;
const MODEL: SlowStartModel = SlowStartModel {
    initial_capacity: 0.2,
    duration: 10 * SECOND,
    collapse_load_factor: 2.0,
    collapse_time: SECOND,
    mean_work: 50.0 * MS,
};

fn key(number: u32) -> AttemptKey {
    AttemptKey::new(number)
}

fn backend(queue: u32) -> EmulatedBackend {
    let machine = Machine {
        zone: Zone(0),
        rack: Rack(0),
        machine_type: MachineType(0),
        cell: Cell(0),
        cores: 2,
        speed: 2.0,
    };
    EmulatedBackend::new(machine, queue)
}

#[test]
fn cores_work_at_their_speed_and_the_queue_is_bounded() {
    let mut backend = backend(1);
    assert_eq!(
        backend.admit(0, key(1), 50.0 * MS, &MODEL),
        Admission::Started(25_000)
    );
    assert_eq!(
        backend.admit(0, key(2), 10.0 * MS, &MODEL),
        Admission::Started(5_000)
    );
    assert_eq!(
        backend.admit(0, key(3), 50.0 * MS, &MODEL),
        Admission::Queued
    );
    assert_eq!(
        backend.admit(0, key(4), 50.0 * MS, &MODEL),
        Admission::QueueFull
    );
    assert_eq!((backend.in_flight(), backend.arrivals), (3, 4));
    assert_eq!(backend.next_queued(), None, "both cores are busy");
    assert!(backend.finish_work(key(2), 5_000));
    assert_eq!(backend.next_queued(), Some(key(3)));
    backend.slowdown = 3.0;
    assert_eq!(backend.start_work(5_000, key(3), 50.0 * MS, &MODEL), 75_000);
}

#[test]
fn a_hung_backend_takes_requests_and_answers_once_it_is_back() {
    let mut backend = backend(1);
    backend.admit(0, key(1), 50.0 * MS, &MODEL);
    backend.hung = true;
    assert_eq!(
        backend.admit(0, key(2), 50.0 * MS, &MODEL),
        Admission::Queued
    );
    assert_eq!(
        backend.admit(0, key(3), 50.0 * MS, &MODEL),
        Admission::Queued,
        "nobody is there to say no"
    );
    assert!(!backend.finish_work(key(1), 25_000));
    assert_eq!(backend.next_queued(), None);
    assert_eq!(backend.resume(), [key(1)]);
    assert_eq!(backend.next_queued(), Some(key(2)));
}

#[test]
fn a_backend_that_stops_loses_its_attempts_and_starts_slowly() {
    let mut backend = backend(8);
    for attempt in 1..=4 {
        backend.admit(0, key(attempt), 50.0 * MS, &MODEL);
    }
    assert_eq!(backend.stop(ProcessState::Crashed), [1, 2, 3, 4].map(key));
    assert_eq!(
        backend.admit(0, key(5), 50.0 * MS, &MODEL),
        Admission::ConnectionRefused
    );
    assert!(backend.start(SECOND));
    // A fifth of its speed at first, three fifths when half of the time has passed, all of it in the end.
    assert_eq!(
        backend.admit(SECOND, key(6), 50.0 * MS, &MODEL),
        Admission::Started(125_000)
    );
    assert_eq!(
        backend.admit(6 * SECOND, key(7), 50.0 * MS, &MODEL),
        Admission::Started(41_666)
    );
    backend.finish_work(key(6), 125_000);
    assert_eq!(
        backend.admit(20 * SECOND, key(8), 50.0 * MS, &MODEL),
        Admission::Started(25_000)
    );
    backend.stop(ProcessState::Unreachable);
    assert_eq!(
        backend.admit(20 * SECOND, key(9), 50.0 * MS, &MODEL),
        Admission::Unreachable
    );
}

#[test]
fn a_backend_collapses_beyond_the_limit_of_its_slow_start() {
    let mut backend = backend(1_000);
    backend.stop(ProcessState::Crashed);
    backend.start(0);
    // 2 x 4 ms/ms x 0.2 x 1 s / 50 ms = 32 requests, and 2 sqrt(32) + 2 for chance.
    let load_limit = MODEL.load_limit(4.0, 0);
    assert!(
        (load_limit - (32.0 + 2.0 * 32.0_f64.sqrt() + 2.0)).abs() < 1e-9,
        "{load_limit}"
    );
    for _ in 0..45 {
        assert_eq!(
            backend.add_slow_start_load(0, 50.0 * MS, true, &MODEL),
            None
        );
    }
    let collapse = backend
        .add_slow_start_load(0, 50.0 * MS, false, &MODEL)
        .expect("beyond the limit");
    assert_eq!(collapse.load, 46.0);
    assert!((collapse.informed_fraction - 45.0 / 46.0).abs() < 1e-9);
}

#[test]
fn load_that_is_older_than_the_collapse_time_does_not_count() {
    let mut backend = backend(1_000);
    backend.stop(ProcessState::Crashed);
    backend.start(0);
    for number in 0..400 {
        let now = number * SECOND / 32;
        assert_eq!(
            backend.add_slow_start_load(now, 50.0 * MS, true, &MODEL),
            None,
            "32 a second are within the limit"
        );
    }
    assert_eq!(
        backend.add_slow_start_load(30 * SECOND, 1e9, true, &MODEL),
        None,
        "a backend does not collapse after its slow start"
    );
}
