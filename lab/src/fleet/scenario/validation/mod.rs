//! Validation of scenarios: each value must be within its allowed range.

mod check;
mod timeline;

use super::{ClassSettings, FleetScenario, MAX_TRACKED_ATTEMPTS, MachineTypeSettings};
use super::{TenantSettings, WorkDistribution};
use crate::scenario::{InvalidValue, Scenario};
use check::Check;

/// Maximum number of machine types and of classes, whose indices are 8 bits wide.
const MAX_TABLES: usize = u8::MAX as usize;

impl Scenario for FleetScenario {
    fn validate(&self) -> Result<(), InvalidValue> {
        let mut check = Check::new();
        check.positive(self.duration_s, "duration_s");
        check.not_negative(self.warmup_s, "warmup_s");
        check.require(
            self.warmup_s < self.duration_s,
            "warmup_s",
            self.warmup_s,
            format!("less than `duration_s` ({})", self.duration_s),
        );
        self.check_fleet(&mut check);
        self.check_machine_types(&mut check);
        self.check_classes(&mut check);
        self.check_load_and_network(&mut check);
        self.check_clients(&mut check);
        self.check_discovery(&mut check);
        self.check_permissions(&mut check);
        self.check_safety(&mut check);
        for (index, event) in self.events.iter().enumerate() {
            timeline::check_event(event, self, &format!("event[{index}]"), &mut check);
        }
        check.finish()
    }
}

impl FleetScenario {
    fn check_fleet(&self, check: &mut Check) {
        let fleet = &self.fleet;
        let zones = u32::from(fleet.zones);
        let one_in_each_zone = format!("{zones} or more (at least one in each zone)");
        check.at_least_one(zones, "fleet.zones");
        check.require(
            (1..=fleet.zones).contains(&fleet.regions),
            "fleet.regions",
            fleet.regions,
            format!("1 to {zones} (the number of zones)"),
        );
        check.require(
            fleet.proxies >= zones,
            "fleet.proxies",
            fleet.proxies,
            &one_in_each_zone,
        );
        check.require(
            fleet.proxies <= u32::from(u16::MAX),
            "fleet.proxies",
            fleet.proxies,
            format!("at most {}", u16::MAX),
        );
        check.require(
            fleet.backends >= zones,
            "fleet.backends",
            fleet.backends,
            &one_in_each_zone,
        );
        check.at_least_one(fleet.racks_per_zone, "fleet.racks_per_zone");
        check.at_least_one(fleet.cell_size, "fleet.cell_size");
    }

    fn check_machine_types(&self, check: &mut Check) {
        check_table_count(self.machine_types.len(), "kind", check);
        for (index, machine_type) in self.machine_types.iter().enumerate() {
            check_machine_type(machine_type, index, check);
        }
    }

    fn check_classes(&self, check: &mut Check) {
        check_table_count(self.classes.len(), "class", check);
        for (index, class) in self.classes.iter().enumerate() {
            check_class(class, index, check);
        }
        if let Some(tenants) = &self.tenants {
            check_tenants(tenants, check);
        }
    }

    fn check_load_and_network(&self, check: &mut Check) {
        let network = &self.network;
        check.positive(self.load.utilization, "load.fraction");
        check.not_negative(self.load.proxy_skew, "load.proxy_skew");
        check.positive(network.same_zone_ms, "network.same_zone_ms");
        check.positive(network.same_region_ms, "network.same_region_ms");
        check.positive(network.cross_region_ms, "network.cross_region_ms");
        check.not_negative(network.jitter, "network.jitter");
        check.positive(network.connect_timeout_ms, "network.dial_timeout_ms");
    }

    fn check_clients(&self, check: &mut Check) {
        let clients = &self.clients;
        check.at_least_one(clients.max_attempts, "clients.tries");
        check.fraction(clients.attempt_timeout_fraction, "clients.try_timeout");
        check.positive(clients.attempt_timeout_fraction, "clients.try_timeout");
        check.not_negative(clients.mean_backoff_ms, "clients.retry_wait_ms");
        check.fraction(clients.honors_retry_after, "clients.heeds_retry_after");
        check.fraction(clients.disconnect_fraction, "clients.leaves");
        check.not_negative(
            clients.dead_proxy_detection_s,
            "clients.notices_dead_proxy_s",
        );
        check.positive(clients.latency_ms, "clients.latency_ms");
    }

    fn check_discovery(&self, check: &mut Check) {
        let discovery = &self.discovery;
        let watch_responses_per_s = discovery.watch_responses_per_s.unwrap_or(1.0);
        check.not_negative(discovery.detection_delay_ms, "discovery.notice_ms");
        check.positive(
            discovery.publish_interval_ms,
            "discovery.publish_interval_ms",
        );
        check.positive(discovery.calls_per_s, "discovery.calls_per_s");
        check.positive(watch_responses_per_s, "discovery.answers_per_s");
        check.positive(discovery.queue_timeout_ms, "discovery.longest_turn_ms");
        check.positive(discovery.latency_ms, "discovery.latency_ms");
    }

    fn check_permissions(&self, check: &mut Check) {
        let permissions = &self.permissions;
        let max_attempts = permissions.max_attempts;
        check.require(
            (1..=MAX_TRACKED_ATTEMPTS).contains(&max_attempts),
            "permissions.max_attempts",
            max_attempts,
            format!("1 to {MAX_TRACKED_ATTEMPTS}"),
        );
        check.positive(permissions.idle_timeout_s, "permissions.conn_idle_s");
        check.not_negative(permissions.max_retry_after_ms, "permissions.retry_after_ms");
        check.not_negative(permissions.cross_zone_cost, "permissions.cross_zone_price");
    }

    fn check_safety(&self, check: &mut Check) {
        let safety = &self.safety;
        check.positive(safety.poll_interval_s, "safety.ask_within_s");
        check.fraction(safety.slow_start_initial_capacity, "safety.cold_from");
        check.positive(safety.slow_start_initial_capacity, "safety.cold_from");
        check.positive(safety.slow_start_duration_s, "safety.cold_time_s");
        check.positive(safety.collapse_load_factor, "safety.fall_multiple");
        check.positive(safety.collapse_time_s, "safety.fall_time_s");
        check.not_negative(safety.drain_grace_s, "safety.drain_grace_s");
        check.not_negative(safety.answer_grace_ms, "safety.answer_slack_ms");
    }
}

/// Checks the number of tables of an array that is indexed with 8 bits.
fn check_table_count(count: usize, key: &str, check: &mut Check) {
    check.require(
        (1..=MAX_TABLES).contains(&count),
        key,
        count,
        format!("1 to {MAX_TABLES} `[[{key}]]` tables"),
    );
}

fn check_machine_type(machine_type: &MachineTypeSettings, index: usize, check: &mut Check) {
    let key = |name: &str| format!("kind[{index}].{name}");
    check.positive(machine_type.backend_weight, key("share"));
    check.positive(machine_type.speed, key("speed"));
    check.at_least_one(machine_type.cores, key("cores"));
    check.require(
        (0.0..1.0).contains(&machine_type.speed_spread),
        key("speed_spread"),
        machine_type.speed_spread,
        "0 or more and less than 1",
    );
}

fn check_class(class: &ClassSettings, index: usize, check: &mut Check) {
    let key = |name: &str| format!("class[{index}].{name}");
    check.positive(class.traffic_weight, key("share"));
    check.positive(class.work_ms, key("work_ms"));
    check.positive(class.latency_objective_ms, key("aim_ms"));
    check.not_negative(class.priority_weight, key("worth"));
    check.require(
        class.timeout_ms >= class.latency_objective_ms,
        key("deadline_ms"),
        class.timeout_ms,
        format!("at least `aim_ms` ({})", class.latency_objective_ms),
    );
    check.fraction(class.late_weight_factor, key("late_worth"));
    check.positive(class.key_ttl_ms, key("key_ttl_ms"));
    if let WorkDistribution::Lognormal { sigma } = class.work_distribution {
        check.not_negative(sigma, key("spread.sigma"));
    }
}

fn check_tenants(tenants: &TenantSettings, check: &mut Check) {
    check.at_least_one(tenants.count, "tenants.count");
    check.not_negative(tenants.skew, "tenants.skew");
    check.positive(tenants.quota_factor, "tenants.allowance");
    check.fraction(tenants.over_quota_weight, "tenants.over_share_worth");
}
