//! Validation of a scenario: which values can be measured.

use super::{Budgets, Changes, FleetShape, Load, SlopesScenario, Sweeps, Target};
use crate::scenario::{InvalidValue, Scenario};
use crate::units::SECONDS_PER_DAY;
use std::fmt::Display;

/// Most backends that can be measured; ids and lists stay far below their own bounds.
pub const MAX_BACKENDS: u32 = 50_000;
/// Most proxies of a fleet.
const MAX_PROXIES: u32 = 100_000;
/// Most tenants: a request names its tenant by 16 bits.
const MAX_TENANTS: u32 = u16::MAX as u32;
/// Most classes: a request names its class by 8 bits.
const MAX_CLASSES: u32 = u8::MAX as u32;
/// Most repetitions of a measurement.
pub const MAX_REPETITIONS: u32 = 1_000;
/// Most zones and machine types.
const MAX_GROUPS: u32 = 26;
/// Most requests or open requests of one repetition.
const MAX_EVENTS: u32 = 1_000_000;
/// Lowest rate of one proxy, in requests a second.
const MIN_RATE: f64 = 1.0;
/// Highest rate of one proxy, in requests a second.
const MAX_RATE: f64 = 1e6;
/// Highest rate of a hot proxy, as a multiple of the mean.
const MAX_HOT_FACTOR: f64 = 1_000.0;
/// The longest mean service time, milliseconds.
const MAX_LATENCY_MS: f64 = 60_000.0;
/// The largest mean batch.
const MAX_BATCH: f64 = 10_000.0;
/// The largest exponent of the distribution over tenants.
const MAX_SKEW: f64 = 10.0;
/// The oldest proxy, seconds: a day.
const MAX_AGE_SECONDS: f64 = SECONDS_PER_DAY;
/// Most membership changes of one repetition.
const MAX_CHANGES: u32 = 100_000;

impl Scenario for SlopesScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        ascending("sizes", &self.sizes, MAX_BACKENDS)?;
        within("repetitions", self.repetitions, 1, MAX_REPETITIONS)?;
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
        between(
            "load.requests_per_second",
            self.requests_per_second,
            MIN_RATE,
            MAX_RATE,
        )?;
        between("load.latency_ms", self.latency_ms, 0.001, MAX_LATENCY_MS)?;
        within(
            "load.warm_up_requests",
            self.warm_up_requests,
            0,
            MAX_EVENTS,
        )?;
        within(
            "load.measured_requests",
            self.measured_requests,
            1,
            MAX_EVENTS,
        )?;
        between("load.batch_requests", self.batch_requests, 0.1, MAX_BATCH)?;
        between("load.tenant_skew", self.tenant_skew, 0.0, MAX_SKEW)?;
        between(
            "load.proxy_age_seconds",
            self.proxy_age_seconds,
            0.0,
            MAX_AGE_SECONDS,
        )
    }
}

impl FleetShape {
    fn validate(&self) -> Result<(), InvalidValue> {
        within("fleet.zones", self.zones, 1, MAX_GROUPS)?;
        within("fleet.kinds", self.machine_types, 1, MAX_GROUPS)?;
        within("fleet.tenants", self.tenants, 1, MAX_TENANTS)?;
        within("fleet.classes", self.classes, 1, MAX_CLASSES)?;
        within("fleet.least_proxies", self.least_proxies, 1, MAX_PROXIES)
    }
}

impl Changes {
    fn validate(&self) -> Result<(), InvalidValue> {
        within("changes.entries", self.entries, 1, MAX_CHANGES)?;
        within("changes.zones", self.zones, 1, MAX_CHANGES)?;
        within("changes.lists", self.lists, 1, MAX_CHANGES)
    }
}

impl Sweeps {
    fn validate(&self) -> Result<(), InvalidValue> {
        within("sweeps.backends", self.backends, 1, MAX_BACKENDS)?;
        ascending("sweeps.tenants", &self.tenants, MAX_TENANTS)?;
        ascending("sweeps.classes", &self.classes, MAX_CLASSES)?;
        ascending("sweeps.proxies", &self.proxies, MAX_PROXIES)?;
        ascending("sweeps.open_requests", &self.open_requests, MAX_EVENTS)
    }
}

impl Target {
    fn validate(&self) -> Result<(), InvalidValue> {
        within("target.backends", self.backends, 1, MAX_BACKENDS)?;
        within("target.proxies", self.proxies, 1, MAX_PROXIES)?;
        within("target.tenants", self.tenants, 1, MAX_TENANTS)?;
        within("target.classes", self.classes, 1, MAX_CLASSES)?;
        between(
            "target.requests_per_second",
            self.requests_per_second,
            MIN_RATE,
            MAX_RATE,
        )?;
        between("target.hot_factor", self.hot_factor, 0.001, MAX_HOT_FACTOR)?;
        positive(
            "target.configuration_changes_per_day",
            self.configuration_changes_per_day,
        )?;
        positive("target.entry_changes_per_day", self.entry_changes_per_day)?;
        positive(
            "target.burst_changes_per_second",
            self.burst_changes_per_second,
        )?;
        ascending("target.ratio_sizes", &self.ratio_sizes, MAX_BACKENDS)
    }
}

impl Budgets {
    fn validate(&self) -> Result<(), InvalidValue> {
        positive("budgets.added_ms", self.added_ms)?;
        positive("budgets.control_core_percent", self.control_core_percent)?;
        positive("budgets.memory_mb", self.memory_mb)?;
        positive(
            "budgets.control_bytes_per_second",
            self.control_bytes_per_second,
        )?;
        positive("budgets.list_seconds", self.list_seconds)?;
        positive("budgets.descriptors", self.descriptors)?;
        positive("budgets.request_ratio", self.request_ratio)?;
        positive("budgets.entry_ratio", self.entry_ratio)
    }
}

fn invalid(key: &str, given: impl Display, allowed: &str) -> InvalidValue {
    InvalidValue {
        key: key.to_owned(),
        problem: format!("{given} is not allowed; allowed: {allowed}"),
    }
}

fn within(key: &str, given: u32, least: u32, most: u32) -> Result<(), InvalidValue> {
    if (least..=most).contains(&given) {
        return Ok(());
    }
    Err(invalid(key, given, &format!("{least} to {most}")))
}

fn between(key: &str, given: f64, least: f64, most: f64) -> Result<(), InvalidValue> {
    if (least..=most).contains(&given) {
        return Ok(());
    }
    Err(invalid(key, given, &format!("{least} to {most}")))
}

fn positive(key: &str, given: f64) -> Result<(), InvalidValue> {
    if given.is_finite() && given > 0.0 {
        return Ok(());
    }
    Err(invalid(key, given, "a finite number above 0"))
}

fn ascending(key: &str, given: &[u32], most: u32) -> Result<(), InvalidValue> {
    let in_order = given.windows(2).all(|pair| pair[0] < pair[1]);
    let in_range = given.iter().all(|value| (1..=most).contains(value));
    if !given.is_empty() && in_order && in_range {
        return Ok(());
    }
    let allowed = format!("one or more numbers of 1 to {most}, ascending");
    Err(invalid(key, format_args!("{given:?}"), &allowed))
}
