//! Scenario of the `live` experiment: what runs, what discovery lists, and the phases that are played.

mod phase;
mod validation;

pub use phase::{OutageBehavior, Phase};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most real processes; their memory and descriptors have to fit on one machine.
pub const MAX_REAL_PROXIES: u32 = 40;
/// Most proxies, real and simulated.
pub const MAX_PROXIES: u32 = 710;
/// Steps in which idle connections are opened.
pub const IDLE_CONNECTION_STEPS: u32 = 4;
/// Time from a reload until the old discovery closes its connections; a reload phase has to be longer.
pub const RELOAD_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// What `live` plays.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LiveScenario {
    /// Proxies, real and simulated.
    pub processes: Processes,
    /// Backends.
    pub backends: Backends,
    /// The discovery stand-in.
    pub discovery: Discovery,
    /// Limits in the configuration of each real process.
    pub limits: Limits,
    /// Requests of clients.
    pub load: Load,
    /// Phases in the order in which they are played.
    pub phases: Vec<Phase>,
}

/// Proxies of the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Processes {
    /// Processes of the real program, 1 to [`MAX_REAL_PROXIES`].
    pub real: u32,
    /// Simulated proxies: tasks of the lab that watch discovery and serve no clients.
    #[serde(rename = "hollow")]
    pub simulated: u32,
    /// Whether a process finds the present list in its configuration, as one that restarts does.
    #[serde(default)]
    pub start_with_list: bool,
}

/// Backends that discovery lists.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backends {
    /// Endpoints of the list.
    pub listed: u32,
    /// Emulated backends that answer requests.
    pub answering: u32,
    /// Addresses of the other endpoints.
    pub others: OtherBackends,
    /// Names of the zones, which endpoints are assigned to in turn.
    pub zones: Vec<String>,
    /// Time that an emulated backend takes for a request, in milliseconds.
    pub service_ms: u64,
}

/// Addresses of the endpoints that have no emulated backend of their own.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OtherBackends {
    /// They share the addresses of the emulated backends, so that every endpoint serves requests.
    Shared,
    /// Connections to them are refused.
    Refused,
}

/// How discovery is reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DiscoveryMode {
    /// The rate of calls is not limited, as with an agent on each machine (`membershipMode` `pushed`).
    #[serde(rename = "push")]
    Pushed,
    /// One service for all proxies, which queues the calls that begin a watch (`on_request`).
    #[serde(rename = "ask")]
    Polled,
}

/// The discovery stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// How it is reached.
    pub mode: DiscoveryMode,
    /// Calls that begin a watch and are handled in a second; in mode `ask` alone.
    #[serde(default = "default_calls_per_s")]
    pub calls_per_s: f64,
    /// A call that would be queued for longer ends with 503 after this time, in milliseconds.
    #[serde(rename = "turn_timeout_ms", default = "default_queue_timeout_ms")]
    pub queue_timeout_ms: u64,
    /// Time from a change until discovery notifies its callers, in milliseconds.
    #[serde(rename = "notice_ms", default)]
    pub notification_delay_ms: u64,
    /// `safety.askWithinUs` of the settings, in milliseconds; it bounds how far calls are spread.
    #[serde(rename = "ask_within_ms", default = "default_poll_interval_ms")]
    pub poll_interval_ms: u64,
}

fn default_calls_per_s() -> f64 {
    50.0
}

fn default_queue_timeout_ms() -> u64 {
    2_000
}

fn default_poll_interval_ms() -> u64 {
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
    /// Requests a second directly to the backends meanwhile, all together.
    pub direct_per_s: f64,
}

impl LiveScenario {
    /// Returns the number of proxies, real and simulated.
    #[must_use]
    pub fn proxy_count(&self) -> u32 {
        self.processes.real + self.processes.simulated
    }
}
