//! Validation of a scenario: the allowed range of each value.

use super::{Budgets, Changes, FleetShape, Load, SlopesScenario, Sweeps, Target};
use crate::scenario::{InvalidValue, Scenario};
use crate::units::SECONDS_PER_DAY;
use std::fmt::Display;

/// Most backends of a fleet; keeps ids and lists far below their own limits.
pub const MAX_BACKENDS: u32 = 50_000;
/// Most proxies of a fleet.
const MAX_PROXIES: u32 = 100_000;
/// Most tenants; a tenant's index has 16 bits.
const MAX_TENANTS: u32 = u16::MAX as u32;
/// Most request classes; a class's index has 8 bits.
const MAX_CLASSES: u32 = u8::MAX as u32;
/// Most repetitions of a measurement.
pub const MAX_REPETITIONS: u32 = 1_000;
/// Most zones, which are named by letters, and most machine types.
const MAX_ZONES_OR_MACHINE_TYPES: u32 = 26;
/// Most requests of one repetition, and most open requests.
const MAX_REQUESTS: u32 = 1_000_000;
/// Lowest request rate of one proxy, requests per second.
const MIN_REQUESTS_PER_SECOND: f64 = 1.0;
/// Highest request rate of one proxy, requests per second.
const MAX_REQUESTS_PER_SECOND: f64 = 1e6;
/// Lowest request rate of a hot proxy, as a multiple of the mean rate.
const MIN_HOT_FACTOR: f64 = 0.001;
/// Highest request rate of a hot proxy, as a multiple of the mean rate.
const MAX_HOT_FACTOR: f64 = 1_000.0;
/// Shortest mean service time, milliseconds.
const MIN_LATENCY_MS: f64 = 0.001;
/// Longest mean service time, milliseconds.
const MAX_LATENCY_MS: f64 = 60_000.0;
/// Smallest mean batch, requests.
const MIN_BATCH_REQUESTS: f64 = 0.1;
/// Largest mean batch, requests.
const MAX_BATCH_REQUESTS: f64 = 10_000.0;
/// Largest exponent of the distribution of requests over tenants.
const MAX_TENANT_SKEW: f64 = 10.0;
/// Longest time since a proxy's start: a day, in seconds.
const MAX_PROXY_AGE_SECONDS: f64 = SECONDS_PER_DAY;
/// Most membership changes of one kind in a repetition.
const MAX_CHANGES: u32 = 100_000;

impl Scenario for SlopesScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_ascending("sizes", &self.sizes, MAX_BACKENDS)?;
        check_integer("repetitions", self.repetitions, 1, MAX_REPETITIONS)?;
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
        check_number(
            "load.requests_per_second",
            self.requests_per_second,
            MIN_REQUESTS_PER_SECOND,
            MAX_REQUESTS_PER_SECOND,
        )?;
        check_number(
            "load.latency_ms",
            self.latency_ms,
            MIN_LATENCY_MS,
            MAX_LATENCY_MS,
        )?;
        check_integer(
            "load.warm_up_requests",
            self.warm_up_requests,
            0,
            MAX_REQUESTS,
        )?;
        check_integer(
            "load.measured_requests",
            self.measured_requests,
            1,
            MAX_REQUESTS,
        )?;
        check_number(
            "load.batch_requests",
            self.batch_requests,
            MIN_BATCH_REQUESTS,
            MAX_BATCH_REQUESTS,
        )?;
        check_number("load.tenant_skew", self.tenant_skew, 0.0, MAX_TENANT_SKEW)?;
        check_number(
            "load.proxy_age_seconds",
            self.proxy_age_seconds,
            0.0,
            MAX_PROXY_AGE_SECONDS,
        )
    }
}

impl FleetShape {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_integer("fleet.zones", self.zones, 1, MAX_ZONES_OR_MACHINE_TYPES)?;
        check_integer(
            "fleet.kinds",
            self.machine_types,
            1,
            MAX_ZONES_OR_MACHINE_TYPES,
        )?;
        check_integer("fleet.tenants", self.tenants, 1, MAX_TENANTS)?;
        check_integer("fleet.classes", self.classes, 1, MAX_CLASSES)?;
        check_integer("fleet.least_proxies", self.min_proxies, 1, MAX_PROXIES)
    }
}

impl Changes {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_integer("changes.entries", self.entries, 1, MAX_CHANGES)?;
        check_integer("changes.zones", self.zones, 1, MAX_CHANGES)?;
        check_integer("changes.lists", self.lists, 1, MAX_CHANGES)
    }
}

impl Sweeps {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_integer("sweeps.backends", self.backends, 1, MAX_BACKENDS)?;
        check_ascending("sweeps.tenants", &self.tenants, MAX_TENANTS)?;
        check_ascending("sweeps.classes", &self.classes, MAX_CLASSES)?;
        check_ascending("sweeps.proxies", &self.proxies, MAX_PROXIES)?;
        check_ascending("sweeps.open_requests", &self.open_requests, MAX_REQUESTS)
    }
}

impl Target {
    fn validate(&self) -> Result<(), InvalidValue> {
        check_integer("target.backends", self.backends, 1, MAX_BACKENDS)?;
        check_integer("target.proxies", self.proxies, 1, MAX_PROXIES)?;
        check_integer("target.tenants", self.tenants, 1, MAX_TENANTS)?;
        check_integer("target.classes", self.classes, 1, MAX_CLASSES)?;
        check_number(
            "target.requests_per_second",
            self.requests_per_second,
            MIN_REQUESTS_PER_SECOND,
            MAX_REQUESTS_PER_SECOND,
        )?;
        check_number(
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

/// Creates the error for a value found at `key` in place of the allowed values.
fn invalid(key: &str, found: impl Display, allowed: &str) -> InvalidValue {
    InvalidValue {
        key: key.to_owned(),
        problem: format!("must be {allowed}, found {found}"),
    }
}

/// Checks that an integer is in the inclusive range from `min` to `max`.
fn check_integer(key: &str, value: u32, min: u32, max: u32) -> Result<(), InvalidValue> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(invalid(key, value, &format!("{min} to {max}")))
}

/// Checks that a number is in the inclusive range from `min` to `max`.
fn check_number(key: &str, value: f64, min: f64, max: f64) -> Result<(), InvalidValue> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(invalid(key, value, &format!("{min} to {max}")))
}

/// Checks that a number is finite and above 0.
fn check_positive(key: &str, value: f64) -> Result<(), InvalidValue> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(invalid(key, value, "a finite number above 0"))
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
    Err(invalid(key, format_args!("{values:?}"), &allowed))
}
