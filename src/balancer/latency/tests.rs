//! Tests of latency estimates, of the latency threshold, and of the time after which an attempt is overdue.

use super::*;
use crate::balancer::tests::{MS, assert_close, class, settings};

const OBJECTIVE: Micros = 500 * MS;
const CLASS: ClassIndex = ClassIndex(0);
const MACHINE_TYPE: MachineType = MachineType(0);
/// Number of samples needed for a base latency. Each further sample has a weight of a sixteenth in the mean.
const SAMPLES_FOR_BASE: u32 = 16;

/// Returns the estimate of a class after `samples` equal latencies, all recorded at time 0.
fn estimate_after(samples: u32, latency: Micros) -> LatencyEstimate {
    let mut estimate = LatencyEstimate::new(OBJECTIVE, 0);
    for _ in 0..samples {
        estimate.record(0, latency as f64);
    }
    estimate
}

/// Returns a table with one class, whose mean latency is `mean`.
fn table_with_mean(mean: Micros) -> LatencyTable {
    let mut table = LatencyTable::new(&settings(), 0);
    table
        .estimate_mut(CLASS, MACHINE_TYPE)
        .record(0, mean as f64);
    table
}

#[test]
fn the_initial_mean_is_a_quarter_of_the_objective() {
    let table = LatencyTable::new(&settings(), 0);
    assert_close(table.mean(CLASS), (125 * MS) as f64);
}

#[test]
fn the_first_sample_replaces_the_initial_mean() {
    let estimate = estimate_after(1, 40 * MS);
    assert_close(estimate.mean(), (40 * MS) as f64);
}

#[test]
fn early_samples_are_averaged_and_later_ones_have_a_weight_of_a_sixteenth() {
    let mut estimate = estimate_after(1, 40 * MS);
    estimate.record(0, (80 * MS) as f64);
    assert_close(estimate.mean(), (60 * MS) as f64);
    let mut estimate = estimate_after(100, 40 * MS);
    estimate.record(0, (200 * MS) as f64);
    assert_close(estimate.mean(), (50 * MS) as f64);
}

#[test]
fn the_base_latency_is_known_after_sixteen_samples() {
    let before = estimate_after(SAMPLES_FOR_BASE - 1, 100 * MS);
    assert!(!before.is_base_known());
    let after = estimate_after(SAMPLES_FOR_BASE, 100 * MS);
    assert!(after.is_base_known());
}

#[test]
fn the_threshold_without_a_base_latency_is_40_percent_of_the_objective() {
    let estimate = estimate_after(SAMPLES_FOR_BASE - 1, MS);
    assert_close(estimate.threshold(OBJECTIVE), (200 * MS) as f64);
}

#[test]
fn the_threshold_is_1_8_times_the_base_latency_and_at_most_40_percent_of_the_objective() {
    for (base_ms, threshold_ms) in [(10, 18), (100, 180), (110, 198), (112, 200), (400, 200)] {
        let estimate = estimate_after(SAMPLES_FOR_BASE, base_ms * MS);
        assert_close(estimate.threshold(OBJECTIVE), (threshold_ms * MS) as f64);
    }
}

#[test]
fn the_base_latency_drops_to_a_lower_mean_and_grows_by_1_percent_per_second() {
    let mut slower = estimate_after(SAMPLES_FOR_BASE, 100 * MS);
    slower.record(10 * SECOND, (450 * MS) as f64);
    // The base latency grew by 1 % of 100 ms for each of 10 seconds.
    assert_close(slower.threshold(OBJECTIVE), 1.8 * (110 * MS) as f64);
    let mut quicker = estimate_after(SAMPLES_FOR_BASE, 100 * MS);
    quicker.record(0, (20 * MS) as f64);
    assert_close(quicker.threshold(OBJECTIVE), 1.8 * (95 * MS) as f64);
}

#[test]
fn an_attempt_is_overdue_after_four_times_the_mean_clamped_to_25_to_80_percent_of_the_objective() {
    for (mean_ms, overdue_ms) in [
        (0, 125),
        (5, 125),
        (31, 125),
        (32, 128),
        (50, 200),
        (99, 396),
        (101, 400),
        (400, 400),
    ] {
        let table = table_with_mean(mean_ms * MS);
        let overdue_after = table.overdue_after(CLASS, &class(OBJECTIVE));
        assert_eq!(overdue_after, overdue_ms * MS, "a mean of {mean_ms} ms");
    }
}

#[test]
fn a_class_is_quick_if_its_mean_is_at_most_a_fifth_of_the_lost_attempt_time() {
    let class = class(OBJECTIVE);
    assert_close(lost_after(&class), (125 * MS) as f64);
    assert!(table_with_mean(25 * MS).is_quick(CLASS, &class));
    assert!(!table_with_mean(25 * MS + 1).is_quick(CLASS, &class));
}

#[test]
fn each_class_and_machine_type_has_its_own_estimate() {
    let mut settings = settings();
    settings.machine_type_count = 2;
    settings.classes.push(class(OBJECTIVE));
    let mut table = LatencyTable::new(&settings, 0);
    let other_class = ClassIndex(1);
    let latencies = [
        (CLASS, MachineType(0), 100 * MS),
        (CLASS, MachineType(1), 300 * MS),
        (other_class, MachineType(0), 20 * MS),
        (other_class, MachineType(1), 30 * MS),
    ];
    for (class, machine_type, latency) in latencies {
        table
            .estimate_mut(class, machine_type)
            .record(0, latency as f64);
    }
    for (class, machine_type, latency) in latencies {
        let mean = table.estimate(class, machine_type).mean();
        assert_close(mean, latency as f64);
    }
    assert_close(table.mean(CLASS), (200 * MS) as f64);
    assert_close(table.mean(other_class), (25 * MS) as f64);
}

#[test]
fn a_new_sample_has_half_of_the_weight_in_the_recent_latency() {
    let mut recent = RecentLatency::default();
    assert_eq!(recent.value(0), 0.0);
    recent.record(0, 2.0);
    assert_eq!(recent.value(0), 1.0);
    recent.record(SECOND, 2.0);
    assert_eq!(recent.value(SECOND), 1.5);
}

#[test]
fn the_recent_latency_expires_five_seconds_after_the_last_sample() {
    let mut recent = RecentLatency::default();
    recent.record(SECOND, 2.0);
    assert_eq!(recent.expires_at(), 6 * SECOND);
    assert_eq!(recent.value(6 * SECOND - 1), 1.0);
    assert_eq!(recent.value(6 * SECOND), 0.0);
    recent.record(7 * SECOND, 3.0);
    assert_eq!(
        recent.value(7 * SECOND),
        1.5,
        "the expired mean must not count"
    );
}
