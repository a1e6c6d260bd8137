//! Scenarios of the emulated fleet: size, traffic, discovery, limits, and a timeline of events.
//!
//! A scenario is a TOML file. If a key of the file differs from the name of its field, `serde(rename)` gives the key.

mod discovery;
mod limits;
mod machines;
pub mod timeline;
mod traffic;
mod validation;

pub use discovery::DiscoverySettings;
pub use limits::{MAX_TRACKED_ATTEMPTS, PermissionSettings, SafetySettings};
pub use machines::{BackendSettings, FleetSize, MachineTypeSettings, NetworkSettings};
pub use traffic::{
    ClassSettings, ClientSettings, Idempotency, KeyScope, LoadSettings, TenantSettings,
    WorkDistribution,
};

use serde::{Deserialize, Serialize};
use timeline::TimelineEvent;

/// A scenario: a whole fleet and a timeline of events.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetScenario {
    /// Description of the scenario in one line.
    #[serde(default)]
    pub description: String,
    /// Time for which clients send requests, seconds.
    pub duration_s: f64,
    /// Length of the warm-up in seconds. Calls made during the warm-up count in the time series only.
    #[serde(default)]
    pub warmup_s: f64,
    /// Number and location of the machines.
    pub fleet: FleetSize,
    /// Types of backend machines.
    #[serde(rename = "kind")]
    pub machine_types: Vec<MachineTypeSettings>,
    /// Settings common to all backends.
    #[serde(default)]
    pub backends: BackendSettings,
    /// Network latencies between machines.
    #[serde(default)]
    pub network: NetworkSettings,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSettings>,
    /// Tenants. If omitted, all requests belong to one tenant without a quota.
    #[serde(default)]
    pub tenants: Option<TenantSettings>,
    /// Load that clients offer.
    pub load: LoadSettings,
    /// Behavior of clients.
    #[serde(default)]
    pub clients: ClientSettings,
    /// Discovery service that all proxies share.
    #[serde(default)]
    pub discovery: DiscoverySettings,
    /// Permissions of the proxies.
    #[serde(default)]
    pub permissions: PermissionSettings,
    /// Parameters of the safety rules.
    #[serde(default)]
    pub safety: SafetySettings,
    /// Timeline of events.
    #[serde(default, rename = "event")]
    pub events: Vec<TimelineEvent>,
}

impl FleetScenario {
    /// Multiplies the numbers of proxies and backends by `factor` and keeps at least one of each per zone. The load
    /// follows the capacity.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        let zones = u32::from(self.fleet.zones);
        let scale = |count: u32| ((f64::from(count) * factor).round() as u32).max(zones);
        self.fleet.proxies = scale(self.fleet.proxies);
        self.fleet.backends = scale(self.fleet.backends);
        self
    }

    /// Returns the mean work of a request over all classes, milliseconds on a core of speed 1.
    #[must_use]
    pub fn mean_work_ms(&self) -> f64 {
        let total_weight: f64 = self.classes.iter().map(|class| class.traffic_weight).sum();
        let weighted_work: f64 = self
            .classes
            .iter()
            .map(|class| class.traffic_weight * class.work_ms)
            .sum();
        weighted_work / total_weight
    }
}
