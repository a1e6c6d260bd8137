//! Helpers shared by the unit tests of the policies.

use super::time::SECOND;
use crate::api::{
    Class, DiscoveryMode, Idempotency, LoadReportFields, Micros, Permissions, SafetyLimits,
    Settings, Zone,
};

pub(super) const MS: Micros = SECOND / 1_000;

/// Returns an idempotent class with this latency objective.
pub(super) fn class(latency_objective: Micros) -> Class {
    Class {
        latency_objective,
        objective_work_factor: 0.0,
        timeout: 4 * latency_objective,
        priority_weight: 1.0,
        late_weight_factor: 0.0,
        idempotency: Idempotency::Idempotent,
    }
}

/// Returns the settings of a single proxy with one class, whose latency objective is 500 ms.
pub(super) fn settings() -> Settings {
    Settings {
        proxy_index: 0,
        proxy_count: 1,
        zone: Zone(0),
        zone_count: 1,
        machine_type_count: 1,
        discovery_mode: DiscoveryMode::Pushed,
        key_affinity: false,
        classes: vec![class(500 * MS)],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: 0.05,
        health_check_cost: 0.0,
        load_report: LoadReportFields::default(),
        load_report_by_health_check: false,
        permissions: Permissions {
            max_attempts: 3,
            hedging: false,
            cancellation: false,
            health_checks: false,
            idle_timeout: 5 * SECOND,
            requests_per_connection: 1,
            max_retry_after: None,
        },
        safety: SafetyLimits {
            poll_interval: 10 * SECOND,
            slow_start_initial_capacity: 0.2,
            slow_start_duration: 10 * SECOND,
            collapse_load_factor: 2.5,
            collapse_time: 2 * SECOND,
        },
    }
}

/// Asserts that two values are equal up to rounding errors.
pub(super) fn assert_close(actual: f64, expected: f64) {
    let tolerance = expected.abs() * 1e-9;
    assert!(
        (actual - expected).abs() <= tolerance,
        "{actual} instead of {expected}"
    );
}
