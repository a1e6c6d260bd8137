//! Validation of a `slopes` scenario: the allowed range of each value.

use super::{Budgets, Changes, FleetShape, Load, SlopesScenario, Sweeps, Target};
use crate::scenario::{InvalidValue, Scenario};
use crate::units::SECONDS_PER_DAY;
use std::fmt::Display;

/// Maximum number of backends of a fleet; keeps backend ids and endpoint lists far below their limits.
pub const MAX_BACKENDS: u32 = 50_000;
/// Maximum number of proxies of a fleet.
const MAX_PROXIES: u32 = 100_000;
/// Maximum number of tenants; a tenant index has 16 bits.
const MAX_TENANTS: u32 = u16::MAX as u32;
/// Maximum number of request classes; a class index has 8 bits.
const MAX_CLASSES: u32 = u8::MAX as u32;
/// Maximum number of repetitions of a measurement.
pub const MAX_REPETITIONS: u32 = 1_000;
/// Maximum number of zones, each named by a letter, and of machine types.
const MAX_ZONES_OR_MACHINE_TYPES: u32 = 26;
/// Maximum number of requests of one repetition, and of open requests.
const MAX_REQUESTS: u32 = 1_000_000;
/// Minimum request rate of one proxy, requests per second.
const MIN_REQUESTS_PER_SECOND: f64 = 1.0;
/// Maximum request rate of one proxy, requests per second.
const MAX_REQUESTS_PER_SECOND: f64 = 1e6;
/// Minimum request rate of a hot proxy, as a multiple of the mean rate.
const MIN_HOT_FACTOR: f64 = 0.001;
/// Maximum request rate of a hot proxy, as a multiple of the mean rate.
const MAX_HOT_FACTOR: f64 = 1_000.0;
/// Minimum mean service time, milliseconds.
const MIN_LATENCY_MS: f64 = 0.001;
/// Maximum mean service time, milliseconds.
const MAX_LATENCY_MS: f64 = 60_000.0;
/// Minimum mean size of a batch, requests.
const MIN_BATCH_REQUESTS: f64 = 0.1;
/// Maximum mean size of a batch, requests.
const MAX_BATCH_REQUESTS: f64 = 10_000.0;
/// Maximum exponent of the distribution of requests over tenants.
const MAX_TENANT_SKEW: f64 = 10.0;
/// Maximum time since a proxy's start: a day, in seconds.
const MAX_PROXY_AGE_SECONDS: f64 = SECONDS_PER_DAY;
/// Maximum number of membership changes of one kind in a repetition.
const MAX_CHANGES: u32 = 100_000;

impl Scenario for SlopesScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_ascending("sizes", &self.sizes, MAX_BACKENDS)?;
        check_range("repetitions", self.repetitions, 1, MAX_REPETITIONS)?;
        self.load.validate()?;
        self.fleet.validate()?;
        self.changes.validate()?;
        self.sweeps.validate()?;
        self.target.validate()?;
        self.budgets.validate()
    }
}

impl Load {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_range(
            "load.requests_per_second",
            self.requests_per_second,
            MIN_REQUESTS_PER_SECOND,
            MAX_REQUESTS_PER_SECOND,
        )?;
        check_range(
            "load.latency_ms",
            self.latency_ms,
            MIN_LATENCY_MS,
            MAX_LATENCY_MS,
        )?;
        check_range(
            "load.warm_up_requests",
            self.warm_up_requests,
            0,
            MAX_REQUESTS,
        )?;
        check_range(
            "load.measured_requests",
            self.measured_requests,
            1,
            MAX_REQUESTS,
        )?;
        check_range(
            "load.batch_requests",
            self.batch_requests,
            MIN_BATCH_REQUESTS,
            MAX_BATCH_REQUESTS,
        )?;
        check_range("load.tenant_skew", self.tenant_skew, 0.0, MAX_TENANT_SKEW)?;
        check_range(
            "load.proxy_age_seconds",
            self.proxy_age_seconds,
            0.0,
            MAX_PROXY_AGE_SECONDS,
        )
    }
}

impl FleetShape {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_range("fleet.zones", self.zones, 1, MAX_ZONES_OR_MACHINE_TYPES)?;
        check_range(
            "fleet.kinds",
            self.machine_types,
            1,
            MAX_ZONES_OR_MACHINE_TYPES,
        )?;
        check_range("fleet.tenants", self.tenants, 1, MAX_TENANTS)?;
        check_range("fleet.classes", self.classes, 1, MAX_CLASSES)?;
        check_range("fleet.least_proxies", self.min_proxies, 1, MAX_PROXIES)
    }
}

impl Changes {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_range("changes.entries", self.entries, 1, MAX_CHANGES)?;
        check_range("changes.zones", self.zones, 1, MAX_CHANGES)?;
        check_range("changes.lists", self.lists, 1, MAX_CHANGES)
    }
}

impl Sweeps {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_range("sweeps.backends", self.backends, 1, MAX_BACKENDS)?;
        check_ascending("sweeps.tenants", &self.tenants, MAX_TENANTS)?;
        check_ascending("sweeps.classes", &self.classes, MAX_CLASSES)?;
        check_ascending("sweeps.proxies", &self.proxies, MAX_PROXIES)?;
        check_ascending("sweeps.open_requests", &self.open_requests, MAX_REQUESTS)
    }
}

impl Target {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_range("target.backends", self.backends, 1, MAX_BACKENDS)?;
        check_range("target.proxies", self.proxies, 1, MAX_PROXIES)?;
        check_range("target.tenants", self.tenants, 1, MAX_TENANTS)?;
        check_range("target.classes", self.classes, 1, MAX_CLASSES)?;
        check_range(
            "target.requests_per_second",
            self.requests_per_second,
            MIN_REQUESTS_PER_SECOND,
            MAX_REQUESTS_PER_SECOND,
        )?;
        check_range(
            "target.hot_factor",
            self.hot_factor,
            MIN_HOT_FACTOR,
            MAX_HOT_FACTOR,
        )?;
        check_positive(
            "target.configuration_changes_per_day",
            self.configuration_changes_per_day,
        )?;
        check_positive("target.entry_changes_per_day", self.entry_changes_per_day)?;
        check_positive(
            "target.burst_changes_per_second",
            self.burst_changes_per_second,
        )?;
        check_ascending("target.ratio_sizes", &self.ratio_sizes, MAX_BACKENDS)
    }
}

impl Budgets {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_positive("budgets.added_ms", self.added_ms)?;
        check_positive("budgets.control_core_percent", self.control_core_percent)?;
        check_positive("budgets.memory_mb", self.memory_mb)?;
        check_positive(
            "budgets.control_bytes_per_second",
            self.control_bytes_per_second,
        )?;
        check_positive("budgets.list_seconds", self.list_seconds)?;
        check_positive("budgets.descriptors", self.descriptors)?;
        check_positive("budgets.request_ratio", self.request_ratio)?;
        check_positive("budgets.entry_ratio", self.entry_ratio)
    }
}

/// Checks that a value is in the inclusive range from `min` to `max`.
fn check_range<T: PartialOrd + Display>(
    key: &str,
    value: T,
    min: T,
    max: T,
) -> Result<(), InvalidValue> {
    if min <= value && value <= max {
        return Ok(());
    }
    Err(InvalidValue::new(key, value, format!("{min} to {max}")))
}

/// Checks that a number is finite and above 0.
fn check_positive(key: &str, value: f64) -> Result<(), InvalidValue> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(InvalidValue::new(key, value, "a finite number above 0"))
}

/// Checks that there is at least one number, that all are in the range from 1 to `max`, and that each is greater than
/// the one before.
fn check_ascending(key: &str, values: &[u32], max: u32) -> Result<(), InvalidValue> {
    let in_order = values.windows(2).all(|pair| pair[0] < pair[1]);
    let in_range = values.iter().all(|value| (1..=max).contains(value));
    if !values.is_empty() && in_order && in_range {
        return Ok(());
    }
    let allowed = format!("one or more numbers from 1 to {max}, ascending");
    Err(InvalidValue::new(key, format!("{values:?}"), allowed))
}
