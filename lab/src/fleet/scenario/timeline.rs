//! The timeline of a scenario: its `[[event]]` tables.

use crate::units::micros_from_seconds;
use serde::{Deserialize, Serialize};
use tillerproxy::api::Micros;

/// An event of the timeline.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// Backends drain, stop and start again, one after another.
    RollingRestart(RollingRestart),
    /// All backends and proxies of a zone become unreachable without closing their connections.
    ZoneLoss(ZoneLoss),
    /// All backends of a rack become unreachable without closing their connections.
    RackLoss(RackLoss),
    /// Messages between regions are dropped. Discovery is located in the first region.
    RegionPartition(RegionPartition),
    /// Discovery is down: watches end and calls fail.
    DiscoveryDown(DiscoveryDown),
    /// Standing watches stall. New calls are still answered.
    #[serde(rename = "discovery_silent")]
    WatchStall(WatchStall),
    /// Endpoints are published again without a change of readiness.
    ConfigBurst(ConfigBurst),
    /// One tenant sends a multiple of its usual traffic.
    TenantSurge(TenantSurge),
    /// Backends work slower than usual.
    BackendSlow(BackendSlow),
    /// Backends accept requests and answer none.
    BackendHang(BackendHang),
    /// Processes of backends crash.
    BackendCrash(BackendCrash),
    /// Processes of proxies crash and start again, one after another.
    ProxyRestart(ProxyRestart),
    /// A fraction of a zone's clients is sent to another zone.
    TrafficShift(TrafficShift),
}

/// Parameters of [`TimelineEvent::RollingRestart`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RollingRestart {
    /// Time at which the first backend drains, seconds.
    pub at_s: f64,
    /// Time over which the drains of the backends are spread, seconds.
    pub over_s: f64,
    /// Fraction of the backends that restart, 0 to 1.
    pub fraction: f64,
    /// Time for which each backend drains, seconds.
    #[serde(default = "default_drain_s")]
    pub drain_s: f64,
    /// Time for which each backend is down, seconds.
    #[serde(default = "default_down_s")]
    pub down_s: f64,
}

/// Parameters of [`TimelineEvent::ZoneLoss`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneLoss {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Zone, from 0.
    pub zone: u16,
    /// Time until the machines start again, in seconds. If omitted, they stay down.
    #[serde(default)]
    pub return_after_s: Option<f64>,
}

/// Parameters of [`TimelineEvent::RackLoss`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RackLoss {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Zone of the rack, from 0.
    pub zone: u16,
    /// Rack inside the zone, from 0.
    pub rack: u16,
    /// Time until the backends start again, in seconds. If omitted, they stay down.
    #[serde(default)]
    pub return_after_s: Option<f64>,
}

/// Parameters of [`TimelineEvent::RegionPartition`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionPartition {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Duration of the event, seconds.
    pub for_s: f64,
}

/// Parameters of [`TimelineEvent::DiscoveryDown`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryDown {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Duration of the event, seconds.
    pub for_s: f64,
}

/// Parameters of [`TimelineEvent::WatchStall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WatchStall {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Fraction of the watches that stall, 0 to 1.
    #[serde(default = "all_watches")]
    pub fraction: f64,
}

/// Parameters of [`TimelineEvent::ConfigBurst`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigBurst {
    /// Time at which the first endpoint changes, seconds.
    pub at_s: f64,
    /// Number of changes. An endpoint changes repeatedly if there are more changes than endpoints.
    #[serde(rename = "entries")]
    pub endpoints: u32,
    /// Time over which the changes are spread, seconds.
    #[serde(default)]
    pub over_s: f64,
}

/// Parameters of [`TimelineEvent::TenantSurge`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSurge {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Duration of the event, seconds.
    pub for_s: f64,
    /// Tenant, from 0 in the order of decreasing traffic.
    pub tenant: u16,
    /// Traffic during the surge as a multiple of the tenant's usual traffic.
    pub multiple: f64,
}

/// Parameters of [`TimelineEvent::BackendSlow`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSlow {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Duration of the event, seconds.
    pub for_s: f64,
    /// Fraction of the backends that the event affects, 0 to 1.
    pub fraction: f64,
    /// Factor by which the backends work slower.
    pub factor: f64,
}

/// Parameters of [`TimelineEvent::BackendHang`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendHang {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Duration of the event, seconds.
    pub for_s: f64,
    /// Fraction of the backends that the event affects, 0 to 1.
    pub fraction: f64,
}

/// Parameters of [`TimelineEvent::BackendCrash`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendCrash {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Fraction of the backends that the event affects, 0 to 1.
    pub fraction: f64,
    /// Time until the backends start again, in seconds. If omitted, they stay down.
    #[serde(default)]
    pub return_after_s: Option<f64>,
}

/// Parameters of [`TimelineEvent::ProxyRestart`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyRestart {
    /// Time at which the first proxy crashes, seconds.
    pub at_s: f64,
    /// Time over which the crashes are spread, seconds.
    #[serde(default)]
    pub over_s: f64,
    /// Fraction of the proxies that restart, 0 to 1.
    pub fraction: f64,
    /// Time for which each proxy is down, seconds.
    #[serde(default = "default_down_s")]
    pub down_s: f64,
}

/// Parameters of [`TimelineEvent::TrafficShift`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficShift {
    /// Time at which the event begins, seconds.
    pub at_s: f64,
    /// Duration of the shift, in seconds. If omitted, the shift lasts to the end of the run.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// Zone whose clients are shifted, from 0.
    pub from_zone: u16,
    /// Zone that the clients are sent to, from 0.
    pub to_zone: u16,
    /// Fraction of the zone's clients that are shifted, 0 to 1.
    pub fraction: f64,
}

fn default_drain_s() -> f64 {
    2.0
}

fn default_down_s() -> f64 {
    1.0
}

fn all_watches() -> f64 {
    1.0
}

impl TimelineEvent {
    /// Returns the time at which the event begins.
    #[must_use]
    pub fn start_time(&self) -> Micros {
        micros_from_seconds(self.start_time_s())
    }

    /// Returns the time at which the event begins, in seconds.
    #[must_use]
    pub fn start_time_s(&self) -> f64 {
        match self {
            Self::RollingRestart(event) => event.at_s,
            Self::ZoneLoss(event) => event.at_s,
            Self::RackLoss(event) => event.at_s,
            Self::RegionPartition(event) => event.at_s,
            Self::DiscoveryDown(event) => event.at_s,
            Self::WatchStall(event) => event.at_s,
            Self::ConfigBurst(event) => event.at_s,
            Self::TenantSurge(event) => event.at_s,
            Self::BackendSlow(event) => event.at_s,
            Self::BackendHang(event) => event.at_s,
            Self::BackendCrash(event) => event.at_s,
            Self::ProxyRestart(event) => event.at_s,
            Self::TrafficShift(event) => event.at_s,
        }
    }
}
