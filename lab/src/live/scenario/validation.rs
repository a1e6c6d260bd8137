//! Validation of a scenario: which values can be played.

use super::phase::Phase;
use super::{
    Backends, Discovery, IDLE_CONNECTION_STEPS, Limits, LiveScenario, Load, MAX_PROXIES,
    MAX_REAL_PROXIES, Processes, RELOAD_GRACE_PERIOD,
};
use crate::scenario::{InvalidValue, Scenario};
use std::ops::RangeInclusive;

/// Most endpoints that discovery lists.
const MAX_ENDPOINTS: u32 = 20_000;
/// Most emulated backends that answer; each is a listener of the lab.
const MAX_ANSWERING_BACKENDS: u32 = 500;
/// Longest service time of an emulated backend, in milliseconds.
const MAX_SERVICE_MS: u64 = 1_000;
/// Most memory of all real processes together, in MB: of 12 GiB one is left to the lab itself.
const MAX_TOTAL_MEMORY_MB: u64 = 11 * 1024;
/// Least memory limit of one process, in MB.
const MIN_MEMORY_MB: u64 = 32;
/// Greatest memory limit of one process, in MB.
const MAX_MEMORY_MB: u64 = 4_096;
/// Limits on descriptors of one process that the proxy can work with.
const SOCKET_LIMITS: RangeInclusive<u32> = 128..=16_384;
/// Most requests a second at one real process.
const MAX_REQUESTS_PER_S: f64 = 2_000.0;
/// Most single changes a second.
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
        require(!self.phases.is_empty(), "phases", "one phase or more")?;
        for (index, phase) in self.phases.iter().enumerate() {
            phase.validate(&format!("phases[{index}]"), self)?;
        }
        Ok(())
    }
}

impl Processes {
    fn validate(&self) -> Result<(), InvalidValue> {
        let real = self.real;
        let allowed = format!("1 to {MAX_REAL_PROXIES} processes");
        require(
            (1..=MAX_REAL_PROXIES).contains(&real),
            "processes.real",
            &allowed,
        )?;
        let most = MAX_PROXIES - real;
        let allowed = format!("0 to {most} beside {real} real ones");
        require(self.simulated <= most, "processes.hollow", &allowed)
    }
}

impl Limits {
    fn validate(&self, real_count: u32) -> Result<(), InvalidValue> {
        let most = (MAX_TOTAL_MEMORY_MB / u64::from(real_count)).min(MAX_MEMORY_MB);
        let allowed = format!("{MIN_MEMORY_MB} to {most} MB with {real_count} real processes");
        require(
            (MIN_MEMORY_MB..=most).contains(&u64::from(self.memory_mb)),
            "limits.memory_mb",
            &allowed,
        )?;
        let allowed = format!(
            "{} to {} descriptors",
            SOCKET_LIMITS.start(),
            SOCKET_LIMITS.end()
        );
        require(
            SOCKET_LIMITS.contains(&self.sockets),
            "limits.sockets",
            &allowed,
        )
    }
}

impl Backends {
    fn validate(&self) -> Result<(), InvalidValue> {
        let allowed = format!("1 to {MAX_ENDPOINTS} entries");
        require(
            (1..=MAX_ENDPOINTS).contains(&self.listed),
            "backends.listed",
            &allowed,
        )?;
        let most = self.listed.min(MAX_ANSWERING_BACKENDS);
        let allowed = format!("1 to {most} backends");
        require(
            (1..=most).contains(&self.answering),
            "backends.answering",
            &allowed,
        )?;
        require(
            self.service_ms <= MAX_SERVICE_MS,
            "backends.service_ms",
            &format!("0 to {MAX_SERVICE_MS} ms"),
        )?;
        require(
            are_distinct_names(&self.zones),
            "backends.zones",
            "one or more names, none empty and none twice",
        )
    }
}

fn are_distinct_names(names: &[String]) -> bool {
    let are_distinct = (1..names.len()).all(|index| !names[..index].contains(&names[index]));
    !names.is_empty() && are_distinct && names.iter().all(|name| !name.is_empty())
}

impl Discovery {
    fn validate(&self) -> Result<(), InvalidValue> {
        require(
            (0.1..=10_000.0).contains(&self.calls_per_s),
            "discovery.calls_per_s",
            "0.1 to 10000 calls a second",
        )?;
        require(
            (10..=60_000).contains(&self.queue_timeout_ms),
            "discovery.turn_timeout_ms",
            "10 to 60000 ms",
        )?;
        require(
            self.notification_delay_ms <= 60_000,
            "discovery.notice_ms",
            "0 to 60000 ms",
        )?;
        require(
            (100..=600_000).contains(&self.poll_interval_ms),
            "discovery.ask_within_ms",
            "100 to 600000 ms",
        )
    }
}

impl Load {
    fn validate(&self) -> Result<(), InvalidValue> {
        let is_allowed = |rate: f64| (0.0..=MAX_REQUESTS_PER_S).contains(&rate);
        let allowed = format!("requests a second, 0 to {MAX_REQUESTS_PER_S}");
        require(
            is_allowed(self.requests_per_s),
            "load.requests_per_s",
            &allowed,
        )?;
        require(is_allowed(self.direct_per_s), "load.direct_per_s", &allowed)
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
            &format!("seconds, above 0 and at most {MAX_PHASE_S}"),
        )
    }

    fn validate(&self, key: &str, scenario: &LiveScenario) -> Result<(), InvalidValue> {
        self.validate_length(key)?;
        match self {
            Self::Rest { .. } | Self::Restart { .. } => Ok(()),
            Self::Changes { per_s, .. } => require(
                *per_s > 0.0 && *per_s <= MAX_CHANGES_PER_S,
                &format!("{key}.per_s"),
                &format!("changes a second, above 0 and at most {MAX_CHANGES_PER_S}"),
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
            Self::Reload { seconds, .. } => require(
                *seconds > RELOAD_GRACE_PERIOD.as_secs_f64(),
                &format!("{key}.seconds"),
                "above 1.5, when the old discovery closes its connections",
            ),
            Self::Outage {
                seconds, down_s, ..
            } => require_within_phase(*down_s, *seconds, &format!("{key}.down_s")),
            Self::IdleConnections { connections } => require(
                (IDLE_CONNECTION_STEPS..scenario.limits.sockets).contains(connections),
                &format!("{key}.connections"),
                &format!("{IDLE_CONNECTION_STEPS} or more, and under `limits.sockets`"),
            ),
        }
    }
}

fn require(is_valid: bool, key: &str, allowed: &str) -> Result<(), InvalidValue> {
    if is_valid {
        return Ok(());
    }
    Err(InvalidValue {
        key: key.to_owned(),
        problem: format!("must be {allowed}"),
    })
}

fn require_zone(zone: &String, zones: &[String], key: &str) -> Result<(), InvalidValue> {
    let allowed = format!("a name of `backends.zones`: {}", zones.join(", "));
    require(zones.contains(zone), key, &allowed)
}

fn require_within_phase(value: f64, phase_s: f64, key: &str) -> Result<(), InvalidValue> {
    require(
        value > 0.0 && value < phase_s,
        key,
        "seconds, above 0 and under the phase's `seconds`",
    )
}
