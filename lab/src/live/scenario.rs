//! Scenario of the `live` experiment: what runs, what discovery lists, and the phases that are played.

use crate::scenario::{InvalidValue, Scenario};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Real processes at most; their memory and descriptors have to fit on one machine.
pub const MOST_REAL: u32 = 40;
/// Real and hollow proxies together at most.
pub const MOST_PROXIES: u32 = 710;
/// Backends that discovery may list.
const MOST_BACKENDS: u32 = 20_000;
/// Emulated backends that may answer; each is a listener of the lab.
const MOST_ANSWERING: u32 = 500;
/// What the limits of all real processes may add up to, in MB: a GiB of the 12 is left to the lab itself.
const MOST_MEMORY_MB: u64 = 11 * 1024;
/// Limits on descriptors of one process that the proxy can work with.
const SOCKETS: std::ops::RangeInclusive<u32> = 128..=16_384;
/// Requests a second at one real process, at most.
const MOST_REQUESTS_PER_S: f64 = 2_000.0;
/// Single changes a second, at most.
const MOST_CHANGES_PER_S: f64 = 200.0;
/// The longest phase, in seconds.
const LONGEST_PHASE_S: f64 = 3_600.0;
/// The old discovery closes its connections this long after a reload; a reload phase has to be longer.
pub const RELOAD_CLOSES_AFTER: Duration = Duration::from_millis(1_500);

/// What `live` plays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LiveScenario {
    /// Proxies, real and hollow.
    pub processes: Processes,
    /// Backends.
    pub backends: Backends,
    /// The discovery stand-in.
    pub discovery: Discovery,
    /// Limits that the configuration of each real process names.
    pub limits: Limits,
    /// Requests of clients.
    pub load: Load,
    /// Phases in the order in which they are played.
    pub phases: Vec<Phase>,
}

/// Proxies of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Processes {
    /// Processes of the real program, 1 to [`MOST_REAL`].
    pub real: u32,
    /// Hollow proxies: tasks of the lab that speak the discovery protocol and serve nobody.
    pub hollow: u32,
    /// Whether a process finds the present list in its configuration, as one that restarts does.
    #[serde(default)]
    pub start_with_list: bool,
}

/// Backends that discovery lists.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backends {
    /// Entries of the list.
    pub listed: u32,
    /// Emulated backends that answer.
    pub answering: u32,
    /// Where the other entries listen.
    pub others: OtherBackends,
    /// Names of the zones that entries are dealt to in turn.
    pub zones: Vec<String>,
    /// Time that an emulated backend takes for a request, in milliseconds.
    pub service_ms: u64,
}

/// Addresses of the listed backends beyond those that answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OtherBackends {
    /// They share the addresses of those that answer, so that every entry can serve.
    Shared,
    /// Connections to them are refused.
    Refused,
}

/// How discovery is reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// Calls cost no turn, as with an agent on each machine (`membershipMode` `pushed`).
    Push,
    /// One service for all proxies: calls that begin a watch wait for their turn (`on_request`).
    Ask,
}

/// The discovery stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How it is reached.
    pub mode: DiscoveryMode,
    /// Calls that have their turn in a second; only in mode `ask`.
    #[serde(default = "default_calls_per_s")]
    pub calls_per_s: f64,
    /// A call that would wait longer for its turn ends with 503 after this time, in milliseconds.
    #[serde(default = "default_turn_timeout_ms")]
    pub turn_timeout_ms: u64,
    /// Time from a change until discovery tells of it, in milliseconds.
    #[serde(default)]
    pub notice_ms: u64,
    /// `safety.askWithinUs` of the settings, in milliseconds; it bounds how far calls are spread.
    #[serde(default = "default_ask_within_ms")]
    pub ask_within_ms: u64,
}

fn default_calls_per_s() -> f64 {
    50.0
}

fn default_turn_timeout_ms() -> u64 {
    2_000
}

fn default_ask_within_ms() -> u64 {
    10_000
}

/// Limits of a real process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: u32,
    /// Descriptors.
    pub sockets: u32,
}

/// Requests of clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second to each real process while a phase has clients.
    pub requests_per_s: f64,
    /// Requests a second straight to the backends meanwhile, all together.
    pub direct_per_s: f64,
}

/// One phase.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Phase {
    /// Nothing changes.
    Rest {
        /// Length in seconds.
        seconds: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Single entries change, one after another.
    Changes {
        /// Length in seconds.
        seconds: f64,
        /// Changes a second.
        per_s: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// All entries of a zone go in one change, and come back in another.
    ZoneLoss {
        /// Length in seconds.
        seconds: f64,
        /// Name of the zone.
        zone: String,
        /// Seconds until it is back.
        absent_s: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Discovery moves; every process is told by a new configuration and SIGHUP.
    Reload {
        /// Length in seconds.
        seconds: f64,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Discovery is down and returns; one entry changes meanwhile.
    Outage {
        /// Length in seconds.
        seconds: f64,
        /// Seconds until it returns.
        down_s: f64,
        /// What callers see meanwhile.
        calls: DownCalls,
        /// Whether clients send requests meanwhile.
        #[serde(default)]
        clients: bool,
    },
    /// Every real process ends on SIGTERM and is started again, all at once.
    Restart {
        /// Length in seconds.
        seconds: f64,
    },
    /// Idle client connections are opened step by step, for the memory that each takes.
    IdleConnections {
        /// Connections to one process in the last step.
        connections: u32,
    },
}

/// What a caller of discovery sees while it is down.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DownCalls {
    /// Connections are refused.
    Refused,
    /// Connections are accepted and reset.
    Reset,
    /// Calls are answered with 503.
    Unavailable,
}

impl Phase {
    /// Name of the kind, as scenarios have it.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Rest { .. } => "rest",
            Self::Changes { .. } => "changes",
            Self::ZoneLoss { .. } => "zone_loss",
            Self::Reload { .. } => "reload",
            Self::Outage { .. } => "outage",
            Self::Restart { .. } => "restart",
            Self::IdleConnections { .. } => "idle_connections",
        }
    }

    /// Length; `None` where the work itself sets it.
    #[must_use]
    pub fn length(&self) -> Option<Duration> {
        match self {
            Self::Rest { seconds, .. }
            | Self::Changes { seconds, .. }
            | Self::ZoneLoss { seconds, .. }
            | Self::Reload { seconds, .. }
            | Self::Outage { seconds, .. }
            | Self::Restart { seconds } => Some(Duration::from_secs_f64(*seconds)),
            Self::IdleConnections { .. } => None,
        }
    }

    /// Whether clients send requests meanwhile.
    #[must_use]
    pub fn has_clients(&self) -> bool {
        match self {
            Self::Rest { clients, .. }
            | Self::Changes { clients, .. }
            | Self::ZoneLoss { clients, .. }
            | Self::Reload { clients, .. }
            | Self::Outage { clients, .. } => *clients,
            Self::Restart { .. } | Self::IdleConnections { .. } => false,
        }
    }

    fn validate(&self, key: &str, scenario: &LiveScenario) -> Result<(), InvalidValue> {
        if let Self::Rest { seconds, .. }
        | Self::Changes { seconds, .. }
        | Self::ZoneLoss { seconds, .. }
        | Self::Reload { seconds, .. }
        | Self::Outage { seconds, .. }
        | Self::Restart { seconds } = self
        {
            let allowed = format!("seconds, above 0 and at most {LONGEST_PHASE_S}");
            check(
                *seconds > 0.0 && *seconds <= LONGEST_PHASE_S,
                &format!("{key}.seconds"),
                &allowed,
            )?;
        }
        match self {
            Self::Rest { .. } | Self::Restart { .. } => Ok(()),
            Self::Changes { per_s, .. } => check(
                *per_s > 0.0 && *per_s <= MOST_CHANGES_PER_S,
                &format!("{key}.per_s"),
                &format!("changes a second, above 0 and at most {MOST_CHANGES_PER_S}"),
            ),
            Self::ZoneLoss {
                seconds,
                zone,
                absent_s,
                ..
            } => {
                let zones = &scenario.backends.zones;
                let allowed = format!("a name of `backends.zones`: {}", zones.join(", "));
                check(zones.contains(zone), &format!("{key}.zone"), &allowed)?;
                check_within(*absent_s, *seconds, &format!("{key}.absent_s"))
            }
            Self::Reload { seconds, .. } => check(
                *seconds > RELOAD_CLOSES_AFTER.as_secs_f64(),
                &format!("{key}.seconds"),
                "above 1.5, when the old discovery closes its connections",
            ),
            Self::Outage {
                seconds, down_s, ..
            } => check_within(*down_s, *seconds, &format!("{key}.down_s")),
            Self::IdleConnections { connections } => check(
                (IDLE_STEPS..scenario.limits.sockets).contains(connections),
                &format!("{key}.connections"),
                &format!("{IDLE_STEPS} or more, and under `limits.sockets`"),
            ),
        }
    }
}

/// Steps in which idle connections are opened.
pub const IDLE_STEPS: u32 = 4;

fn check(good: bool, key: &str, allowed: &str) -> Result<(), InvalidValue> {
    let problem = || InvalidValue {
        key: key.to_owned(),
        problem: format!("must be {allowed}"),
    };
    if good { Ok(()) } else { Err(problem()) }
}

fn check_within(value: f64, seconds: f64, key: &str) -> Result<(), InvalidValue> {
    check(
        value > 0.0 && value < seconds,
        key,
        "seconds, above 0 and under the phase's `seconds`",
    )
}

impl Scenario for LiveScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        self.validate_processes()?;
        self.validate_backends()?;
        self.validate_discovery()?;
        let load = |rate: f64| (0.0..=MOST_REQUESTS_PER_S).contains(&rate);
        let allowed = format!("requests a second, 0 to {MOST_REQUESTS_PER_S}");
        check(
            load(self.load.requests_per_s),
            "load.requests_per_s",
            &allowed,
        )?;
        check(load(self.load.direct_per_s), "load.direct_per_s", &allowed)?;
        check(!self.phases.is_empty(), "phases", "one phase or more")?;
        let mut phases = self.phases.iter().enumerate();
        phases.try_for_each(|(index, phase)| phase.validate(&format!("phases[{index}]"), self))
    }
}

impl LiveScenario {
    /// Real and hollow proxies.
    #[must_use]
    pub fn proxies(&self) -> u32 {
        self.processes.real + self.processes.hollow
    }

    fn validate_processes(&self) -> Result<(), InvalidValue> {
        let Processes { real, hollow, .. } = self.processes;
        let allowed = format!("1 to {MOST_REAL} processes");
        check((1..=MOST_REAL).contains(&real), "processes.real", &allowed)?;
        let allowed = format!("0 to {} beside {real} real ones", MOST_PROXIES - real);
        check(hollow <= MOST_PROXIES - real, "processes.hollow", &allowed)?;
        let most = (MOST_MEMORY_MB / u64::from(real)).min(4_096);
        let allowed = format!("32 to {most} MB with {real} real processes");
        check(
            (32..=most).contains(&u64::from(self.limits.memory_mb)),
            "limits.memory_mb",
            &allowed,
        )?;
        let allowed = format!("{} to {} descriptors", SOCKETS.start(), SOCKETS.end());
        check(
            SOCKETS.contains(&self.limits.sockets),
            "limits.sockets",
            &allowed,
        )
    }

    fn validate_backends(&self) -> Result<(), InvalidValue> {
        let backends = &self.backends;
        let allowed = format!("1 to {MOST_BACKENDS} entries");
        check(
            (1..=MOST_BACKENDS).contains(&backends.listed),
            "backends.listed",
            &allowed,
        )?;
        let most = backends.listed.min(MOST_ANSWERING);
        let allowed = format!("1 to {most} backends");
        check(
            (1..=most).contains(&backends.answering),
            "backends.answering",
            &allowed,
        )?;
        check(
            backends.service_ms <= 1_000,
            "backends.service_ms",
            "0 to 1000 ms",
        )?;
        let zones = &backends.zones;
        let distinct = (1..zones.len()).all(|i| !zones[..i].contains(&zones[i]));
        let good = !zones.is_empty() && distinct && zones.iter().all(|zone| !zone.is_empty());
        check(
            good,
            "backends.zones",
            "one or more names, none empty and none twice",
        )
    }

    fn validate_discovery(&self) -> Result<(), InvalidValue> {
        let discovery = &self.discovery;
        let calls = discovery.calls_per_s;
        check(
            (0.1..=10_000.0).contains(&calls),
            "discovery.calls_per_s",
            "0.1 to 10000 calls a second",
        )?;
        let timeout = discovery.turn_timeout_ms;
        check(
            (10..=60_000).contains(&timeout),
            "discovery.turn_timeout_ms",
            "10 to 60000 ms",
        )?;
        check(
            discovery.notice_ms <= 60_000,
            "discovery.notice_ms",
            "0 to 60000 ms",
        )?;
        let within = discovery.ask_within_ms;
        check(
            (100..=600_000).contains(&within),
            "discovery.ask_within_ms",
            "100 to 600000 ms",
        )
    }
}
