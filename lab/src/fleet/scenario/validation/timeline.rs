//! Checks of the events of a timeline.

use super::check::Check;
use crate::fleet::scenario::FleetScenario;
use crate::fleet::scenario::timeline::{
    BackendCrash, BackendHang, BackendSlow, ConfigBurst, ProxyRestart, RackLoss, RollingRestart,
    TenantSurge, TimelineEvent, TrafficShift, ZoneLoss,
};

/// Checks the parameters of an event; `path` is the key of the event in the scenario file.
pub(super) fn check_event(
    event: &TimelineEvent,
    scenario: &FleetScenario,
    path: &str,
    check: &mut Check,
) {
    let mut check = EventCheck {
        check,
        path,
        scenario,
    };
    check.not_negative(event.start_time_s(), "at_s");
    match event {
        TimelineEvent::RollingRestart(event) => check.rolling_restart(event),
        TimelineEvent::ZoneLoss(event) => check.zone_loss(event),
        TimelineEvent::RackLoss(event) => check.rack_loss(event),
        TimelineEvent::RegionPartition(event) => check.positive(event.for_s, "for_s"),
        TimelineEvent::DiscoveryDown(event) => check.positive(event.for_s, "for_s"),
        TimelineEvent::WatchStall(event) => check.fraction(event.fraction, "fraction"),
        TimelineEvent::ConfigBurst(event) => check.config_burst(event),
        TimelineEvent::TenantSurge(event) => check.tenant_surge(event),
        TimelineEvent::BackendSlow(event) => check.backend_slow(event),
        TimelineEvent::BackendHang(event) => check.backend_hang(event),
        TimelineEvent::BackendCrash(event) => check.backend_crash(event),
        TimelineEvent::ProxyRestart(event) => check.proxy_restart(event),
        TimelineEvent::TrafficShift(event) => check.traffic_shift(event),
    }
}

/// The checks of one event.
struct EventCheck<'a> {
    check: &'a mut Check,
    /// Key of the event in the scenario file.
    path: &'a str,
    scenario: &'a FleetScenario,
}

impl EventCheck<'_> {
    /// Returns the key of a parameter in the scenario file.
    fn key(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    fn positive(&mut self, value: f64, name: &str) {
        self.check.positive(value, self.key(name));
    }

    fn not_negative(&mut self, value: f64, name: &str) {
        self.check.not_negative(value, self.key(name));
    }

    fn fraction(&mut self, value: f64, name: &str) {
        self.check.fraction(value, self.key(name));
    }

    /// Checks that a zone exists.
    fn zone(&mut self, zone: u16, name: &str) {
        let zones = self.scenario.fleet.zones;
        let allowed = format!("less than {zones} (the number of zones)");
        self.check
            .require(zone < zones, self.key(name), zone, allowed);
    }

    fn return_after(&mut self, return_after_s: Option<f64>) {
        self.not_negative(return_after_s.unwrap_or_default(), "return_after_s");
    }

    fn rolling_restart(&mut self, event: &RollingRestart) {
        self.not_negative(event.over_s, "over_s");
        self.fraction(event.fraction, "fraction");
        self.not_negative(event.drain_s, "drain_s");
        self.not_negative(event.down_s, "down_s");
    }

    fn zone_loss(&mut self, event: &ZoneLoss) {
        self.zone(event.zone, "zone");
        self.return_after(event.return_after_s);
    }

    fn rack_loss(&mut self, event: &RackLoss) {
        self.zone(event.zone, "zone");
        let rack = event.rack;
        let racks = self.scenario.fleet.racks_per_zone;
        let allowed = format!("less than {racks} (the number of racks in a zone)");
        self.check
            .require(rack < racks, self.key("rack"), rack, allowed);
        self.return_after(event.return_after_s);
    }

    fn config_burst(&mut self, event: &ConfigBurst) {
        self.check
            .at_least_one(event.endpoints, self.key("entries"));
        self.not_negative(event.over_s, "over_s");
    }

    fn tenant_surge(&mut self, event: &TenantSurge) {
        let tenant = event.tenant;
        let tenants = self
            .scenario
            .tenants
            .as_ref()
            .map_or(0, |tenants| tenants.count);
        let allowed = format!("less than {tenants} (`tenants.count`)");
        self.check
            .require(tenant < tenants, self.key("tenant"), tenant, allowed);
        self.positive(event.for_s, "for_s");
        let multiple = event.multiple;
        self.check
            .require(multiple > 1.0, self.key("multiple"), multiple, "above 1");
    }

    fn backend_slow(&mut self, event: &BackendSlow) {
        self.positive(event.for_s, "for_s");
        self.fraction(event.fraction, "fraction");
        self.positive(event.factor, "factor");
    }

    fn backend_hang(&mut self, event: &BackendHang) {
        self.positive(event.for_s, "for_s");
        self.fraction(event.fraction, "fraction");
    }

    fn backend_crash(&mut self, event: &BackendCrash) {
        self.fraction(event.fraction, "fraction");
        self.return_after(event.return_after_s);
    }

    fn proxy_restart(&mut self, event: &ProxyRestart) {
        self.not_negative(event.over_s, "over_s");
        self.fraction(event.fraction, "fraction");
        self.not_negative(event.down_s, "down_s");
    }

    fn traffic_shift(&mut self, event: &TrafficShift) {
        self.zone(event.from_zone, "from_zone");
        self.zone(event.to_zone, "to_zone");
        self.positive(event.for_s.unwrap_or(1.0), "for_s");
        self.fraction(event.fraction, "fraction");
    }
}
