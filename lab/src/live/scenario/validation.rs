//! Validation of a scenario: checks that each value is within its allowed range.

use super::phase::Phase;
use super::{
    Backends, Discovery, IDLE_CONNECTION_STEPS, Limits, LiveScenario, Load, MAX_PROXIES,
    MAX_REAL_PROXIES, Processes, RELOAD_GRACE_PERIOD,
};
use crate::scenario::{InvalidValue, Scenario};
use std::fmt::Display;
use std::ops::RangeInclusive;

/// Greatest number of endpoints that discovery lists.
const MAX_ENDPOINTS: u32 = 20_000;
/// Greatest number of emulated backends; each is a listener of the lab.
const MAX_ANSWERING_BACKENDS: u32 = 500;
/// Longest service time of an emulated backend, in milliseconds.
const MAX_SERVICE_MS: u64 = 1_000;
/// Greatest sum of the memory limits of all real processes, in MB: 12 GiB, less 1 GiB for the lab itself.
const MAX_TOTAL_MEMORY_MB: u64 = 11 * 1024;
/// Smallest memory limit of one process, in MB.
const MIN_MEMORY_MB: u64 = 32;
/// Greatest memory limit of one process, in MB.
const MAX_MEMORY_MB: u64 = 4_096;
/// Descriptor limits of one process with which the proxy can work.
const SOCKET_LIMITS: RangeInclusive<u32> = 128..=16_384;
/// Greatest request rate, in requests per second.
const MAX_REQUESTS_PER_S: f64 = 2_000.0;
/// Greatest rate of single changes, in changes per second.
const MAX_CHANGES_PER_S: f64 = 200.0;
/// Longest phase, in seconds.
const MAX_PHASE_S: f64 = 3_600.0;

impl Scenario for LiveScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        self.processes.validate()?;
        self.limits.validate(self.processes.real)?;
        self.backends.validate()?;
        self.discovery.validate()?;
        self.load.validate()?;
        require(!self.phases.is_empty(), "phases", "one phase or more", 0)?;
        for (index, phase) in self.phases.iter().enumerate() {
            phase.validate(&format!("phases[{index}]"), self)?;
        }
        Ok(())
    }
}

impl Processes {
    fn validate(&self) -> Result<(), InvalidValue> {
        let real = self.real;
        require_range(1..=MAX_REAL_PROXIES, real, "processes", "processes.real")?;
        let unit = format!("in addition to {real} real processes");
        require_range(
            0..=MAX_PROXIES - real,
            self.simulated,
            &unit,
            "processes.hollow",
        )
    }
}

impl Limits {
    fn validate(&self, real_count: u32) -> Result<(), InvalidValue> {
        let max_mb = (MAX_TOTAL_MEMORY_MB / u64::from(real_count)).min(MAX_MEMORY_MB);
        let unit = format!("MB with {real_count} real processes");
        require_range(
            MIN_MEMORY_MB..=max_mb,
            u64::from(self.memory_mb),
            &unit,
            "limits.memory_mb",
        )?;
        require_range(SOCKET_LIMITS, self.sockets, "descriptors", "limits.sockets")
    }
}

impl Backends {
    fn validate(&self) -> Result<(), InvalidValue> {
        require_range(1..=MAX_ENDPOINTS, self.listed, "entries", "backends.listed")?;
        let max_answering = self.listed.min(MAX_ANSWERING_BACKENDS);
        require_range(
            1..=max_answering,
            self.answering,
            "backends",
            "backends.answering",
        )?;
        require_range(
            0..=MAX_SERVICE_MS,
            self.service_ms,
            "ms",
            "backends.service_ms",
        )?;
        require(
            are_distinct_names(&self.zones),
            "backends.zones",
            "one or more names, none empty and none twice",
            format!("{:?}", self.zones),
        )
    }
}

fn are_distinct_names(names: &[String]) -> bool {
    let are_distinct = (1..names.len()).all(|index| !names[..index].contains(&names[index]));
    !names.is_empty() && are_distinct && names.iter().all(|name| !name.is_empty())
}

impl Discovery {
    fn validate(&self) -> Result<(), InvalidValue> {
        require_range(
            0.1..=10_000.0,
            self.calls_per_s,
            "calls per second",
            "discovery.calls_per_s",
        )?;
        require_range(
            10..=60_000,
            self.queue_timeout_ms,
            "ms",
            "discovery.turn_timeout_ms",
        )?;
        require_range(
            0..=60_000,
            self.notification_delay_ms,
            "ms",
            "discovery.notice_ms",
        )?;
        require_range(
            100..=600_000,
            self.poll_interval_ms,
            "ms",
            "discovery.ask_within_ms",
        )
    }
}

impl Load {
    fn validate(&self) -> Result<(), InvalidValue> {
        let allowed = 0.0..=MAX_REQUESTS_PER_S;
        let unit = "requests per second";
        require_range(
            allowed.clone(),
            self.requests_per_s,
            unit,
            "load.requests_per_s",
        )?;
        require_range(allowed, self.direct_per_s, unit, "load.direct_per_s")
    }
}

impl Phase {
    fn validate_length(&self, key: &str) -> Result<(), InvalidValue> {
        let Some(seconds) = self.seconds() else {
            return Ok(());
        };
        require(
            seconds > 0.0 && seconds <= MAX_PHASE_S,
            &format!("{key}.seconds"),
            &format!("above 0 and at most {MAX_PHASE_S} seconds"),
            seconds,
        )
    }

    fn validate(&self, key: &str, scenario: &LiveScenario) -> Result<(), InvalidValue> {
        self.validate_length(key)?;
        match self {
            Self::Rest { .. } | Self::Restart { .. } => Ok(()),
            Self::Changes { per_s, .. } => require(
                *per_s > 0.0 && *per_s <= MAX_CHANGES_PER_S,
                &format!("{key}.per_s"),
                &format!("above 0 and at most {MAX_CHANGES_PER_S} changes per second"),
                per_s,
            ),
            Self::ZoneLoss {
                seconds,
                zone,
                absent_s,
                ..
            } => {
                require_zone(zone, &scenario.backends.zones, &format!("{key}.zone"))?;
                require_within_phase(*absent_s, *seconds, &format!("{key}.absent_s"))
            }
            Self::Reload { seconds, .. } => {
                let grace_s = RELOAD_GRACE_PERIOD.as_secs_f64();
                require(
                    *seconds > grace_s,
                    &format!("{key}.seconds"),
                    &format!(
                        "above {grace_s} seconds, after which the previous discovery service closes its connections"
                    ),
                    seconds,
                )
            }
            Self::Outage {
                seconds, down_s, ..
            } => require_within_phase(*down_s, *seconds, &format!("{key}.down_s")),
            Self::IdleConnections { connections } => {
                let sockets = scenario.limits.sockets;
                require(
                    (IDLE_CONNECTION_STEPS..sockets).contains(connections),
                    &format!("{key}.connections"),
                    &format!(
                        "{IDLE_CONNECTION_STEPS} or more, and below {sockets} (`limits.sockets`)"
                    ),
                    connections,
                )
            }
        }
    }
}

/// Checks that a value is valid; `allowed` and `found` complete the error "must be ..., found ...".
fn require(
    is_valid: bool,
    key: &str,
    allowed: &str,
    found: impl Display,
) -> Result<(), InvalidValue> {
    if is_valid {
        return Ok(());
    }
    Err(InvalidValue::new(key, found, allowed))
}

/// Checks that a value is in a range; the error names the range with its unit.
fn require_range<T: PartialOrd + Display>(
    range: RangeInclusive<T>,
    value: T,
    unit: &str,
    key: &str,
) -> Result<(), InvalidValue> {
    let allowed = format!("{} to {} {unit}", range.start(), range.end());
    require(range.contains(&value), key, &allowed, value)
}

fn require_zone(zone: &String, zones: &[String], key: &str) -> Result<(), InvalidValue> {
    let allowed = format!("a name of `backends.zones` ({})", zones.join(", "));
    require(zones.contains(zone), key, &allowed, format!("`{zone}`"))
}

fn require_within_phase(value: f64, phase_s: f64, key: &str) -> Result<(), InvalidValue> {
    require(
        value > 0.0 && value < phase_s,
        key,
        &format!("above 0 and below {phase_s} seconds (the length of the phase)"),
        value,
    )
}
