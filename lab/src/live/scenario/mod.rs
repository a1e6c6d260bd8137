//! Scenario of the `live` experiment: proxies, backends, discovery, client load, and the phases of a run.

mod phase;
mod validation;

pub use phase::{OutageBehavior, Phase};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Greatest number of real processes; their memory and descriptors have to fit on one machine.
pub const MAX_REAL_PROXIES: u32 = 40;
/// Greatest number of proxies, real and simulated.
pub const MAX_PROXIES: u32 = 710;
/// Number of steps in which idle connections are opened.
pub const IDLE_CONNECTION_STEPS: u32 = 4;
/// Time from a reload until the previous discovery service closes its connections; a reload phase has to be longer.
pub const RELOAD_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// A scenario of the `live` experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LiveScenario {
    /// Real and simulated proxies.
    pub processes: Processes,
    /// Endpoints that discovery lists, and the emulated backends.
    pub backends: Backends,
    /// Settings of the emulated discovery service.
    pub discovery: Discovery,
    /// Limits in the configuration of each real process.
    pub limits: Limits,
    /// Request rates of the clients.
    pub load: Load,
    /// Phases in the order in which they run.
    pub phases: Vec<Phase>,
}

/// Real and simulated proxies of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Processes {
    /// Number of processes of the proxy program, 1 to [`MAX_REAL_PROXIES`].
    pub real: u32,
    /// Number of simulated proxies: tasks of the lab that watch discovery and serve no clients.
    #[serde(rename = "hollow")]
    pub simulated: u32,
    /// Whether the configuration of a process contains the current endpoint list, as that of a restarted process does.
    #[serde(default)]
    pub start_with_list: bool,
}

/// Endpoints that discovery lists, and the emulated backends.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backends {
    /// Number of listed endpoints.
    pub listed: u32,
    /// Number of emulated backends that answer requests.
    pub answering: u32,
    /// Addresses of the endpoints without an emulated backend of their own.
    pub others: EndpointsWithoutBackend,
    /// Names of the zones, to which endpoints are assigned in turn.
    pub zones: Vec<String>,
    /// Service time of an emulated backend, in milliseconds.
    pub service_ms: u64,
}

/// Addresses of the endpoints that have no emulated backend of their own.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointsWithoutBackend {
    /// The endpoints share the addresses of the emulated backends, so that every endpoint serves requests.
    Shared,
    /// Connections to the endpoints are refused.
    Refused,
}

/// Mode of access to discovery.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DiscoveryMode {
    /// The rate of calls is not limited, as with a discovery agent on each machine (`membershipMode` `pushed`).
    #[serde(rename = "push")]
    Pushed,
    /// One service for all proxies queues the calls that do not continue a watch (`membershipMode` `on_request`).
    #[serde(rename = "ask")]
    Polled,
}

/// Settings of the emulated discovery service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Mode of access.
    pub mode: DiscoveryMode,
    /// Rate at which calls that do not continue a watch are handled, in calls per second; used only in mode `ask`.
    #[serde(default = "default_calls_per_s")]
    pub calls_per_s: f64,
    /// Longest time in the queue, in milliseconds; a call that would wait longer is answered with 503 after this time.
    #[serde(rename = "turn_timeout_ms", default = "default_queue_timeout_ms")]
    pub queue_timeout_ms: u64,
    /// Delay from a change until discovery notifies its callers, in milliseconds.
    #[serde(rename = "notice_ms", default)]
    pub notification_delay_ms: u64,
    /// Setting `safety.askWithinUs` of the proxies, in milliseconds; it bounds the spread of their calls over time.
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

/// Limits in the configuration of a real process.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory limit in MB.
    pub memory_mb: u32,
    /// Limit on open file descriptors.
    pub sockets: u32,
}

/// Request rates of the clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second to each real process in a phase with clients.
    pub requests_per_s: f64,
    /// Total requests per second directly to the backends in a phase with clients.
    pub direct_per_s: f64,
}

impl LiveScenario {
    /// Returns the number of proxies, real and simulated.
    #[must_use]
    pub fn proxy_count(&self) -> u32 {
        self.processes.real + self.processes.simulated
    }
}
