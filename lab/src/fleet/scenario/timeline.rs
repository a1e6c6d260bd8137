//! What happens to a fleet, and when: the `[[event]]` tables of a scenario.

use super::validation::Check;
use super::{FleetScenario, seconds};
use serde::{Deserialize, Serialize};
use tillerproxy::api::Micros;

/// Something that happens at a point in time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TimelineEvent {
    /// Backends drain, stop and start cold, one after another.
    RollingRestart {
        /// When the first one drains.
        at_s: f64,
        /// The time from the first drain to the last.
        over_s: f64,
        /// The part of the backends that restart.
        fraction: f64,
        /// How long each one drains.
        #[serde(default = "default_drain")]
        drain_s: f64,
        /// How long each one is away.
        #[serde(default = "default_down")]
        down_s: f64,
    },
    /// All machines of a zone vanish without a word.
    ZoneLoss {
        /// When.
        at_s: f64,
        /// Which zone, from 0.
        zone: u16,
        /// After how long they come back, backends cold; never where it is missing.
        #[serde(default)]
        return_after_s: Option<f64>,
    },
    /// All backends of a rack vanish without a word.
    RackLoss {
        /// When.
        at_s: f64,
        /// The rack's zone, from 0.
        zone: u16,
        /// Which rack of the zone, from 0.
        rack: u16,
        /// After how long they come back cold; never where it is missing.
        #[serde(default)]
        return_after_s: Option<f64>,
    },
    /// Nothing passes between regions. Discovery stands in the first one.
    RegionPartition {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// Discovery is down: watches end and calls fail.
    DiscoveryDown {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// Standing watches become unresponsive; new calls are answered.
    DiscoverySilent {
        /// When.
        at_s: f64,
        /// The part of the watches.
        #[serde(default = "whole")]
        fraction: f64,
    },
    /// Entries of the list change without a change of readiness.
    ConfigBurst {
        /// When the first one changes.
        at_s: f64,
        /// How many change.
        entries: u32,
        /// The time from the first change to the last.
        #[serde(default)]
        over_s: f64,
    },
    /// One tenant asks for a multiple of its usual traffic.
    TenantSurge {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which tenant, from 0, the largest first.
        tenant: u16,
        /// How many times its usual traffic.
        multiple: f64,
    },
    /// Backends work more slowly.
    BackendSlow {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// The part of the backends.
        fraction: f64,
        /// How many times slower.
        factor: f64,
    },
    /// Backends take requests and answer none.
    BackendHang {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// The part of the backends.
        fraction: f64,
    },
    /// Backends' processes die.
    BackendCrash {
        /// When.
        at_s: f64,
        /// The part of the backends.
        fraction: f64,
        /// After how long they come back cold; never where it is missing.
        #[serde(default)]
        return_after_s: Option<f64>,
    },
    /// Proxies' processes die and start again, one after another.
    ProxyRestart {
        /// When the first one dies.
        at_s: f64,
        /// The time from the first death to the last.
        #[serde(default)]
        over_s: f64,
        /// The part of the proxies.
        fraction: f64,
        /// How long each one is away.
        #[serde(default = "default_down")]
        down_s: f64,
    },
    /// A part of a zone's clients goes to another zone.
    TrafficShift {
        /// When.
        at_s: f64,
        /// For how long; to the end where it is missing.
        #[serde(default)]
        for_s: Option<f64>,
        /// Whose clients, from 0.
        from_zone: u16,
        /// Where they go.
        to_zone: u16,
        /// The part of them.
        fraction: f64,
    },
}

fn default_drain() -> f64 {
    2.0
}

fn default_down() -> f64 {
    1.0
}

fn whole() -> f64 {
    1.0
}

impl TimelineEvent {
    /// When it begins.
    #[must_use]
    pub fn at(&self) -> Micros {
        seconds(self.at_s())
    }

    fn at_s(&self) -> f64 {
        let (Self::RollingRestart { at_s, .. }
        | Self::ZoneLoss { at_s, .. }
        | Self::RackLoss { at_s, .. }
        | Self::RegionPartition { at_s, .. }
        | Self::DiscoveryDown { at_s, .. }
        | Self::DiscoverySilent { at_s, .. }
        | Self::ConfigBurst { at_s, .. }
        | Self::TenantSurge { at_s, .. }
        | Self::BackendSlow { at_s, .. }
        | Self::BackendHang { at_s, .. }
        | Self::BackendCrash { at_s, .. }
        | Self::ProxyRestart { at_s, .. }
        | Self::TrafficShift { at_s, .. }) = self;
        *at_s
    }

    /// Checks the figures of the event, whose key is `path`.
    pub(super) fn check(&self, scenario: &FleetScenario, path: &str, check: &mut Check) {
        let key = |name: &str| format!("{path}.{name}");
        let zones = scenario.fleet.zones;
        let zone = |check: &mut Check, name: &str, zone: u16| {
            check.that(
                zone < zones,
                key(name),
                format!("{zone} must be under {zones} (the zones)"),
            );
        };
        check.not_negative(self.at_s(), key("at_s"));
        match *self {
            Self::RollingRestart {
                over_s,
                fraction,
                drain_s,
                down_s,
                ..
            } => {
                check
                    .not_negative(over_s, key("over_s"))
                    .fraction(fraction, key("fraction"));
                check
                    .not_negative(drain_s, key("drain_s"))
                    .not_negative(down_s, key("down_s"));
            }
            Self::ZoneLoss {
                zone: lost,
                return_after_s,
                ..
            } => {
                zone(check, "zone", lost);
                check.not_negative(return_after_s.unwrap_or_default(), key("return_after_s"));
            }
            Self::RackLoss {
                zone: lost,
                rack,
                return_after_s,
                ..
            } => {
                let racks = scenario.fleet.racks_per_zone;
                zone(check, "zone", lost);
                check.that(
                    rack < racks,
                    key("rack"),
                    format!("{rack} must be under {racks} (the racks)"),
                );
                check.not_negative(return_after_s.unwrap_or_default(), key("return_after_s"));
            }
            Self::RegionPartition { for_s, .. } | Self::DiscoveryDown { for_s, .. } => {
                check.positive(for_s, key("for_s"));
            }
            Self::DiscoverySilent { fraction, .. } => {
                check.fraction(fraction, key("fraction"));
            }
            Self::ConfigBurst {
                entries, over_s, ..
            } => {
                check.that(entries > 0, key("entries"), "must be 1 or more");
                check.not_negative(over_s, key("over_s"));
            }
            Self::TenantSurge {
                for_s,
                tenant,
                multiple,
                ..
            } => {
                let tenants = scenario.tenants.as_ref().map_or(0, |tenants| tenants.count);
                let problem = format!("{tenant} must be under {tenants} (`tenants.count`)");
                check
                    .that(tenant < tenants, key("tenant"), problem)
                    .positive(for_s, key("for_s"));
                check.that(multiple > 1.0, key("multiple"), "must be above 1");
            }
            Self::BackendSlow {
                for_s,
                fraction,
                factor,
                ..
            } => {
                check
                    .positive(for_s, key("for_s"))
                    .fraction(fraction, key("fraction"));
                check.positive(factor, key("factor"));
            }
            Self::BackendHang {
                for_s, fraction, ..
            } => {
                check
                    .positive(for_s, key("for_s"))
                    .fraction(fraction, key("fraction"));
            }
            Self::BackendCrash {
                fraction,
                return_after_s,
                ..
            } => {
                check.fraction(fraction, key("fraction"));
                check.not_negative(return_after_s.unwrap_or_default(), key("return_after_s"));
            }
            Self::ProxyRestart {
                over_s,
                fraction,
                down_s,
                ..
            } => {
                check
                    .not_negative(over_s, key("over_s"))
                    .fraction(fraction, key("fraction"));
                check.not_negative(down_s, key("down_s"));
            }
            Self::TrafficShift {
                for_s,
                from_zone,
                to_zone,
                fraction,
                ..
            } => {
                zone(check, "from_zone", from_zone);
                zone(check, "to_zone", to_zone);
                check
                    .positive(for_s.unwrap_or(1.0), key("for_s"))
                    .fraction(fraction, key("fraction"));
            }
        }
    }
}
