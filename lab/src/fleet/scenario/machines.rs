//! The machines of a scenario: how many, where, how fast, and the network between them.

use serde::{Deserialize, Serialize};

/// How many machines there are and where they stand.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Proxies, spread evenly over the zones.
    pub proxies: u32,
    /// Backends, spread evenly over the zones.
    pub backends: u32,
    /// Zones, spread evenly over the regions.
    #[serde(default = "one_zone")]
    pub zones: u16,
    /// Regions.
    #[serde(default = "one_region")]
    pub regions: u16,
    /// Racks in a zone.
    #[serde(default = "default_racks_per_zone")]
    pub racks_per_zone: u16,
    /// Backends of a zone that know one another's idempotency keys.
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
    /// Its name.
    pub name: String,
    /// Its part of the backends; parts are scaled to add up to 1.
    #[serde(rename = "share")]
    pub backend_weight: f64,
    /// Requests that it works on at once.
    pub cores: u16,
    /// Speed of a core; 1 does a millisecond of work in a millisecond.
    #[serde(default = "standard_speed")]
    pub speed: f64,
    /// Machines of the type differ in speed by up to this part, either way.
    #[serde(default)]
    pub speed_spread: f64,
}

fn standard_speed() -> f64 {
    1.0
}

/// What holds for every backend.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// Requests that may wait for a core; further ones are rejected.
    #[serde(rename = "queue")]
    pub queue_limit: u32,
    /// Whether a queued request is dropped once its proxy has given it up.
    pub skips_abandoned: bool,
    /// Whether responses carry a load report: requests running, requests queued, mean service time in
    /// milliseconds.
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

/// One-way latencies between machines, milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkSettings {
    /// Inside a zone.
    pub same_zone_ms: f64,
    /// Between zones of a region.
    pub same_region_ms: f64,
    /// Between regions.
    pub cross_region_ms: f64,
    /// Mean of the exponentially distributed jitter, as a part of the latency.
    pub jitter: f64,
    /// A connection that is not established after this time has failed.
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
