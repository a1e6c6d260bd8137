//! Scenarios of the emulated fleet: its size, traffic, discovery and limits, and what happens to it.
//!
//! A scenario is a TOML file. Where a key of the file differs from the field that holds it, `serde(rename)` names
//! the key.

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

/// A whole fleet and what happens to it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetScenario {
    /// What the scenario is about, in a line.
    #[serde(default)]
    pub description: String,
    /// How long clients send requests, seconds.
    pub duration_s: f64,
    /// Calls of the first seconds are simulated and not counted.
    #[serde(default)]
    pub warmup_s: f64,
    /// How many machines there are and where.
    pub fleet: FleetSize,
    /// The types of backend machines.
    #[serde(rename = "kind")]
    pub machine_types: Vec<MachineTypeSettings>,
    /// What holds for every backend.
    #[serde(default)]
    pub backends: BackendSettings,
    /// Latencies between machines.
    #[serde(default)]
    pub network: NetworkSettings,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSettings>,
    /// The tenants; none where requests belong to nobody in particular.
    #[serde(default)]
    pub tenants: Option<TenantSettings>,
    /// How much clients request.
    pub load: LoadSettings,
    /// What clients do with responses.
    #[serde(default)]
    pub clients: ClientSettings,
    /// The discovery service that all proxies share.
    #[serde(default)]
    pub discovery: DiscoverySettings,
    /// What a proxy may do.
    #[serde(default)]
    pub permissions: PermissionSettings,
    /// Figures of the safety rules.
    #[serde(default)]
    pub safety: SafetySettings,
    /// What happens, and when.
    #[serde(default, rename = "event")]
    pub events: Vec<TimelineEvent>,
}

impl FleetScenario {
    /// Multiplies the numbers of proxies and backends by `factor`; the load follows the capacity.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        let zones = u32::from(self.fleet.zones);
        let scale = |count: u32| ((f64::from(count) * factor).round() as u32).max(zones);
        self.fleet.proxies = scale(self.fleet.proxies);
        self.fleet.backends = scale(self.fleet.backends);
        self
    }

    /// Returns the mean work of a request, milliseconds on a core of speed 1.
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
