//! The emulated backend: cores, queue, slow start and failures.

use tillerproxy::api::{Cell, MachineType, Zone};
use tillerproxy_lab::fleet::backend::{Admission, EmulatedBackend, SlowStartModel};
use tillerproxy_lab::fleet::ids::Rack;
use tillerproxy_lab::fleet::process::ProcessState;
use tillerproxy_lab::fleet::request::AttemptKey;
use tillerproxy_lab::fleet::topology::Machine;

/// One millisecond of work, in microseconds.
const MILLISECOND: f64 = 1_000.0;
/// One second of virtual time, in microseconds.
const SECOND: u64 = 1_000_000;
/// A slow start from a fifth of the capacity, with a collapse at twice the current capacity for one second.
const MODEL: SlowStartModel = SlowStartModel {
    initial_capacity: 0.2,
    duration: 10 * SECOND,
    collapse_load_factor: 2.0,
    collapse_time: SECOND,
    mean_work: 50.0 * MILLISECOND,
};

fn key(number: u32) -> AttemptKey {
    AttemptKey::new(number)
}

/// Creates a backend with two cores of speed 2.
fn backend(queue_limit: u32) -> EmulatedBackend {
    let machine = Machine {
        zone: Zone(0),
        rack: Rack(0),
        machine_type: MachineType(0),
        cell: Cell(0),
        cores: 2,
        speed: 2.0,
    };
    EmulatedBackend::new(machine, queue_limit)
}

#[test]
fn attempts_take_core_time_at_machine_speed_and_a_full_queue_rejects() {
    let mut backend = backend(1);
    assert_eq!(
        backend.admit(0, key(1), 50.0 * MILLISECOND, &MODEL),
        Admission::Started(25_000)
    );
    assert_eq!(
        backend.admit(0, key(2), 10.0 * MILLISECOND, &MODEL),
        Admission::Started(5_000)
    );
    assert_eq!(
        backend.admit(0, key(3), 50.0 * MILLISECOND, &MODEL),
        Admission::Queued
    );
    assert_eq!(
        backend.admit(0, key(4), 50.0 * MILLISECOND, &MODEL),
        Admission::QueueFull
    );
    assert_eq!((backend.in_flight(), backend.arrivals), (3, 4));
    assert_eq!(backend.next_queued(), None, "both cores are busy");
    assert!(backend.finish_work(key(2), 5_000));
    assert_eq!(backend.next_queued(), Some(key(3)));
    backend.slowdown = 3.0;
    assert_eq!(
        backend.start_work(5_000, key(3), 50.0 * MILLISECOND, &MODEL),
        75_000
    );
}

#[test]
fn hung_backend_accepts_attempts_and_responds_after_it_resumes() {
    let mut backend = backend(1);
    backend.admit(0, key(1), 50.0 * MILLISECOND, &MODEL);
    backend.hung = true;
    assert_eq!(
        backend.admit(0, key(2), 50.0 * MILLISECOND, &MODEL),
        Admission::Queued
    );
    assert_eq!(
        backend.admit(0, key(3), 50.0 * MILLISECOND, &MODEL),
        Admission::Queued,
        "a hung backend rejects nothing, even if its queue is full"
    );
    assert!(!backend.finish_work(key(1), 25_000));
    assert_eq!(backend.next_queued(), None);
    assert_eq!(backend.resume(), [key(1)]);
    assert_eq!(backend.next_queued(), Some(key(2)));
}

#[test]
fn stopped_backend_loses_its_attempts_and_restarts_with_a_slow_start() {
    let mut backend = backend(8);
    for attempt in 1..=4 {
        backend.admit(0, key(attempt), 50.0 * MILLISECOND, &MODEL);
    }
    assert_eq!(backend.stop(ProcessState::Crashed), [1, 2, 3, 4].map(key));
    assert_eq!(
        backend.admit(0, key(5), 50.0 * MILLISECOND, &MODEL),
        Admission::ConnectionRefused
    );
    assert!(backend.start(SECOND));
    // The speed is a fifth at the start, three fifths at half of the slow start, and full afterwards.
    assert_eq!(
        backend.admit(SECOND, key(6), 50.0 * MILLISECOND, &MODEL),
        Admission::Started(125_000)
    );
    assert_eq!(
        backend.admit(6 * SECOND, key(7), 50.0 * MILLISECOND, &MODEL),
        Admission::Started(41_666)
    );
    backend.finish_work(key(6), 125_000);
    assert_eq!(
        backend.admit(20 * SECOND, key(8), 50.0 * MILLISECOND, &MODEL),
        Admission::Started(25_000)
    );
    backend.stop(ProcessState::Unreachable);
    assert_eq!(
        backend.admit(20 * SECOND, key(9), 50.0 * MILLISECOND, &MODEL),
        Admission::Unreachable
    );
}

#[test]
fn backend_collapses_if_its_load_exceeds_the_slow_start_limit() {
    let mut backend = backend(1_000);
    backend.stop(ProcessState::Crashed);
    backend.start(0);
    // 2 x 4 ms/ms x 0.2 x 1 s / 50 ms = 32 requests, plus 2 sqrt(32) + 2 as margin for random arrivals.
    let load_limit = MODEL.load_limit(4.0, 0);
    assert!(
        (load_limit - (32.0 + 2.0 * 32.0_f64.sqrt() + 2.0)).abs() < 1e-9,
        "{load_limit}"
    );
    for _ in 0..45 {
        assert_eq!(
            backend.add_slow_start_load(0, 50.0 * MILLISECOND, true, &MODEL),
            None
        );
    }
    let collapse = backend
        .add_slow_start_load(0, 50.0 * MILLISECOND, false, &MODEL)
        .expect("a load of 46 requests exceeds the limit");
    assert_eq!(collapse.load, 46.0);
    assert!((collapse.informed_fraction - 45.0 / 46.0).abs() < 1e-9);
}

#[test]
fn load_older_than_the_collapse_time_is_not_counted() {
    let mut backend = backend(1_000);
    backend.stop(ProcessState::Crashed);
    backend.start(0);
    for number in 0..400 {
        let now = number * SECOND / 32;
        assert_eq!(
            backend.add_slow_start_load(now, 50.0 * MILLISECOND, true, &MODEL),
            None,
            "32 requests per second are within the limit"
        );
    }
    assert_eq!(
        backend.add_slow_start_load(30 * SECOND, 1e9, true, &MODEL),
        None,
        "a backend does not collapse after its slow start"
    );
}
