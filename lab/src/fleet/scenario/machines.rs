//! The machines of a scenario: number, location, speed, and the network between them.

use serde::{Deserialize, Serialize};

/// Number and location of the machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Number of proxies, spread evenly over the zones.
    pub proxies: u32,
    /// Number of backends, spread evenly over the zones.
    pub backends: u32,
    /// Number of zones, spread evenly over the regions.
    #[serde(default = "one_zone")]
    pub zones: u16,
    /// Number of regions.
    #[serde(default = "one_region")]
    pub regions: u16,
    /// Number of racks in a zone.
    #[serde(default = "default_racks_per_zone")]
    pub racks_per_zone: u16,
    /// Number of backends in a cell: backends of one zone that share their idempotency keys.
    #[serde(default = "default_cell_size")]
    pub cell_size: u32,
}

fn one_zone() -> u16 {
    1
}

fn one_region() -> u16 {
    1
}

fn default_racks_per_zone() -> u16 {
    20
}

fn default_cell_size() -> u32 {
    6
}

/// A type of backend machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeSettings {
    /// Name of the type.
    pub name: String,
    /// Weight of the type among the backends. Weights are scaled to add up to 1.
    #[serde(rename = "share")]
    pub backend_weight: f64,
    /// Number of cores: requests that a machine works on at the same time.
    pub cores: u16,
    /// Speed of a core. A core of speed 1 does a millisecond of work in a millisecond.
    #[serde(default = "standard_speed")]
    pub speed: f64,
    /// Maximum deviation of a machine from the speed, as a fraction in either direction.
    #[serde(default)]
    pub speed_spread: f64,
}

fn standard_speed() -> f64 {
    1.0
}

/// Settings common to all backends.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// Maximum number of requests that wait for a core. Further requests are rejected.
    #[serde(rename = "queue")]
    pub queue_limit: u32,
    /// Whether a backend drops a queued request whose proxy has abandoned it.
    pub skips_abandoned: bool,
    /// Whether responses carry a load report: number of requests running, number of requests queued, mean service time
    /// in milliseconds.
    pub load_reports: bool,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            queue_limit: 64,
            skips_abandoned: true,
            load_reports: false,
        }
    }
}

/// The network between machines. Latencies are one-way.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkSettings {
    /// Latency inside a zone.
    pub same_zone_ms: f64,
    /// Latency between zones of a region.
    pub same_region_ms: f64,
    /// Latency between regions.
    pub cross_region_ms: f64,
    /// Mean of the exponentially distributed jitter, as a fraction of the latency.
    pub jitter: f64,
    /// Time after which a connection that is not established has failed, milliseconds.
    #[serde(rename = "dial_timeout_ms")]
    pub connect_timeout_ms: f64,
}

impl Default for NetworkSettings {
    fn default() -> Self {
        Self {
            same_zone_ms: 0.25,
            same_region_ms: 0.8,
            cross_region_ms: 30.0,
            jitter: 0.1,
            connect_timeout_ms: 250.0,
        }
    }
}
