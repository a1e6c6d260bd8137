//! What happens to a fleet, and when: the `[[event]]` tables of a scenario.

use crate::units::seconds;
use serde::{Deserialize, Serialize};
use tillerproxy::api::Micros;

/// Something that happens at a point in time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// Backends drain, stop and start again, one after another.
    RollingRestart(RollingRestart),
    /// All machines of a zone fail without closing their connections.
    ZoneLoss(ZoneLoss),
    /// All backends of a rack fail without closing their connections.
    RackLoss(RackLoss),
    /// No message passes between regions. Discovery stands in the first one.
    RegionPartition(RegionPartition),
    /// Discovery is down: watches end and calls fail.
    DiscoveryDown(DiscoveryDown),
    /// Standing watches stall; new calls are answered.
    #[serde(rename = "discovery_silent")]
    WatchStall(WatchStall),
    /// Endpoints of the list change without a change of readiness.
    ConfigBurst(ConfigBurst),
    /// One tenant sends a multiple of its usual traffic.
    TenantSurge(TenantSurge),
    /// Backends work more slowly.
    BackendSlow(BackendSlow),
    /// Backends accept requests and answer none.
    BackendHang(BackendHang),
    /// Backends' processes crash.
    BackendCrash(BackendCrash),
    /// Proxies' processes crash and start again, one after another.
    ProxyRestart(ProxyRestart),
    /// A part of a zone's clients moves to another zone.
    TrafficShift(TrafficShift),
}

/// See [`TimelineEvent::RollingRestart`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RollingRestart {
    /// When the first backend drains.
    pub at_s: f64,
    /// The time from the first drain to the last.
    pub over_s: f64,
    /// The part of the backends that restart.
    pub fraction: f64,
    /// How long each one drains.
    #[serde(default = "default_drain_s")]
    pub drain_s: f64,
    /// How long each one is down.
    #[serde(default = "default_down_s")]
    pub down_s: f64,
}

/// See [`TimelineEvent::ZoneLoss`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneLoss {
    /// When.
    pub at_s: f64,
    /// Which zone, from 0.
    pub zone: u16,
    /// Time until the machines start again; never where it is missing.
    #[serde(default)]
    pub return_after_s: Option<f64>,
}

/// See [`TimelineEvent::RackLoss`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RackLoss {
    /// When.
    pub at_s: f64,
    /// The rack's zone, from 0.
    pub zone: u16,
    /// Which rack of the zone, from 0.
    pub rack: u16,
    /// Time until the backends start again; never where it is missing.
    #[serde(default)]
    pub return_after_s: Option<f64>,
}

/// See [`TimelineEvent::RegionPartition`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionPartition {
    /// When.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
}

/// See [`TimelineEvent::DiscoveryDown`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryDown {
    /// When.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
}

/// See [`TimelineEvent::WatchStall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WatchStall {
    /// When.
    pub at_s: f64,
    /// The part of the watches.
    #[serde(default = "all_watches")]
    pub fraction: f64,
}

/// See [`TimelineEvent::ConfigBurst`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigBurst {
    /// When the first endpoint changes.
    pub at_s: f64,
    /// How many change.
    #[serde(rename = "entries")]
    pub endpoints: u32,
    /// The time from the first change to the last.
    #[serde(default)]
    pub over_s: f64,
}

/// See [`TimelineEvent::TenantSurge`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSurge {
    /// When.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
    /// Which tenant, from 0, the largest first.
    pub tenant: u16,
    /// How many times its usual traffic.
    pub multiple: f64,
}

/// See [`TimelineEvent::BackendSlow`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSlow {
    /// When.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
    /// The part of the backends.
    pub fraction: f64,
    /// How many times slower.
    pub factor: f64,
}

/// See [`TimelineEvent::BackendHang`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendHang {
    /// When.
    pub at_s: f64,
    /// For how long.
    pub for_s: f64,
    /// The part of the backends.
    pub fraction: f64,
}

/// See [`TimelineEvent::BackendCrash`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendCrash {
    /// When.
    pub at_s: f64,
    /// The part of the backends.
    pub fraction: f64,
    /// Time until they start again; never where it is missing.
    #[serde(default)]
    pub return_after_s: Option<f64>,
}

/// See [`TimelineEvent::ProxyRestart`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyRestart {
    /// When the first proxy crashes.
    pub at_s: f64,
    /// The time from the first crash to the last.
    #[serde(default)]
    pub over_s: f64,
    /// The part of the proxies.
    pub fraction: f64,
    /// How long each one is down.
    #[serde(default = "default_down_s")]
    pub down_s: f64,
}

/// See [`TimelineEvent::TrafficShift`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficShift {
    /// When.
    pub at_s: f64,
    /// For how long; to the end where it is missing.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// Whose clients, from 0.
    pub from_zone: u16,
    /// Where they go.
    pub to_zone: u16,
    /// The part of them.
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
    /// Returns when it begins.
    #[must_use]
    pub fn at(&self) -> Micros {
        seconds(self.at_s())
    }

    /// Returns when it begins, in seconds.
    #[must_use]
    pub fn at_s(&self) -> f64 {
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
