//! Checks that the figures of a scenario can be played.

use super::{FleetScenario, MOST_ATTEMPTS, WorkSpread};
use crate::scenario::{InvalidValue, Scenario};

/// Collects the checks of a scenario: the first one that fails is the error.
pub(super) struct Check(Result<(), InvalidValue>);

impl Check {
    pub(super) fn new() -> Self {
        Self(Ok(()))
    }

    pub(super) fn that(
        &mut self,
        good: bool,
        key: impl Into<String>,
        problem: impl Into<String>,
    ) -> &mut Self {
        if !good && self.0.is_ok() {
            self.0 = Err(InvalidValue {
                key: key.into(),
                problem: problem.into(),
            });
        }
        self
    }

    pub(super) fn positive(&mut self, value: f64, key: impl Into<String>) -> &mut Self {
        self.that(
            value.is_finite() && value > 0.0,
            key,
            format!("{value} must be above 0"),
        )
    }

    pub(super) fn not_negative(&mut self, value: f64, key: impl Into<String>) -> &mut Self {
        self.that(
            value.is_finite() && value >= 0.0,
            key,
            format!("{value} must be 0 or more"),
        )
    }

    pub(super) fn fraction(&mut self, value: f64, key: impl Into<String>) -> &mut Self {
        self.that(
            (0.0..=1.0).contains(&value),
            key,
            format!("{value} must lie in 0..=1"),
        )
    }

    pub(super) fn finish(self) -> Result<(), InvalidValue> {
        self.0
    }
}

impl Scenario for FleetScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        let mut check = Check::new();
        check
            .positive(self.duration_s, "duration_s")
            .not_negative(self.warmup_s, "warmup_s");
        check.that(
            self.warmup_s < self.duration_s,
            "warmup_s",
            "must be under `duration_s`",
        );
        self.check_fleet(&mut check);
        self.check_classes(&mut check);
        self.check_environment(&mut check);
        self.check_rules(&mut check);
        for (index, event) in self.events.iter().enumerate() {
            event.check(self, &format!("event[{index}]"), &mut check);
        }
        check.finish()
    }
}

impl FleetScenario {
    fn check_fleet(&self, check: &mut Check) {
        let fleet = &self.fleet;
        let zones = u32::from(fleet.zones);
        check.that(zones > 0, "fleet.zones", "must be 1 or more");
        check.that(
            (1..=fleet.zones).contains(&fleet.regions),
            "fleet.regions",
            format!(
                "{} must lie in 1..={} (the zones)",
                fleet.regions, fleet.zones
            ),
        );
        check.that(
            fleet.proxies >= zones,
            "fleet.proxies",
            "there must be one in each zone at the least",
        );
        check.that(
            fleet.proxies <= u32::from(u16::MAX),
            "fleet.proxies",
            "must be at most 65535",
        );
        check.that(
            fleet.backends >= zones,
            "fleet.backends",
            "there must be one in each zone at the least",
        );
        check.that(
            fleet.racks_per_zone > 0,
            "fleet.racks_per_zone",
            "must be 1 or more",
        );
        check.that(fleet.cell_size > 0, "fleet.cell_size", "must be 1 or more");
        check.that(
            !self.kinds.is_empty() && self.kinds.len() <= 255,
            "kind",
            "there must be 1 to 255 kinds",
        );
        for (index, kind) in self.kinds.iter().enumerate() {
            let key = |name: &str| format!("kind[{index}].{name}");
            check
                .positive(kind.share, key("share"))
                .positive(kind.speed, key("speed"));
            check.that(kind.cores > 0, key("cores"), "must be 1 or more");
            check.that(
                (0.0..1.0).contains(&kind.speed_spread),
                key("speed_spread"),
                "must lie in 0..1",
            );
        }
    }

    fn check_classes(&self, check: &mut Check) {
        let count = self.classes.len();
        check.that(
            (1..=255).contains(&count),
            "class",
            "there must be 1 to 255 classes",
        );
        for (index, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("class[{index}].{name}");
            check
                .positive(class.share, key("share"))
                .positive(class.work_ms, key("work_ms"));
            check
                .positive(class.aim_ms, key("aim_ms"))
                .not_negative(class.worth, key("worth"));
            check.that(
                class.deadline_ms >= class.aim_ms,
                key("deadline_ms"),
                "must not be under `aim_ms`",
            );
            check
                .fraction(class.late_worth, key("late_worth"))
                .positive(class.key_ttl_ms, key("key_ttl_ms"));
            if let WorkSpread::Lognormal { sigma } = class.spread {
                check.not_negative(sigma, key("spread.sigma"));
            }
        }
        if let Some(tenants) = &self.tenants {
            check.that(tenants.count > 0, "tenants.count", "must be 1 or more");
            check
                .not_negative(tenants.skew, "tenants.skew")
                .positive(tenants.allowance, "tenants.allowance");
            check.fraction(tenants.over_share_worth, "tenants.over_share_worth");
        }
    }

    fn check_environment(&self, check: &mut Check) {
        let (network, clients, discovery) = (&self.network, &self.clients, &self.discovery);
        check
            .positive(self.load.fraction, "load.fraction")
            .not_negative(self.load.proxy_skew, "load.proxy_skew");
        check.positive(network.same_zone_ms, "network.same_zone_ms");
        check.positive(network.same_region_ms, "network.same_region_ms");
        check.positive(network.cross_region_ms, "network.cross_region_ms");
        check.not_negative(network.jitter, "network.jitter");
        check.positive(network.dial_timeout_ms, "network.dial_timeout_ms");
        check.that(clients.tries > 0, "clients.tries", "must be 1 or more");
        check
            .fraction(clients.try_timeout, "clients.try_timeout")
            .positive(clients.try_timeout, "clients.try_timeout");
        check.not_negative(clients.retry_wait_ms, "clients.retry_wait_ms");
        check.fraction(clients.heeds_retry_after, "clients.heeds_retry_after");
        check.fraction(clients.leaves, "clients.leaves");
        check.not_negative(clients.notices_dead_proxy_s, "clients.notices_dead_proxy_s");
        check.positive(clients.latency_ms, "clients.latency_ms");
        check.not_negative(discovery.notice_ms, "discovery.notice_ms");
        check.positive(
            discovery.publish_interval_ms,
            "discovery.publish_interval_ms",
        );
        check.positive(discovery.calls_per_s, "discovery.calls_per_s");
        check.positive(
            discovery.answers_per_s.unwrap_or(1.0),
            "discovery.answers_per_s",
        );
        check.positive(discovery.longest_turn_ms, "discovery.longest_turn_ms");
        check.positive(discovery.latency_ms, "discovery.latency_ms");
    }

    fn check_rules(&self, check: &mut Check) {
        let (permissions, safety) = (&self.permissions, &self.safety);
        check.that(
            (1..=MOST_ATTEMPTS).contains(&permissions.max_attempts),
            "permissions.max_attempts",
            format!(
                "{} must lie in 1..={MOST_ATTEMPTS}",
                permissions.max_attempts
            ),
        );
        check.positive(permissions.conn_idle_s, "permissions.conn_idle_s");
        check.not_negative(permissions.retry_after_ms, "permissions.retry_after_ms");
        check.not_negative(permissions.cross_zone_price, "permissions.cross_zone_price");
        check.positive(safety.ask_within_s, "safety.ask_within_s");
        check
            .fraction(safety.cold_from, "safety.cold_from")
            .positive(safety.cold_from, "safety.cold_from");
        check.positive(safety.cold_time_s, "safety.cold_time_s");
        check.positive(safety.fall_multiple, "safety.fall_multiple");
        check.positive(safety.fall_time_s, "safety.fall_time_s");
        check.not_negative(safety.drain_grace_s, "safety.drain_grace_s");
        check.not_negative(safety.answer_slack_ms, "safety.answer_slack_ms");
    }
}
