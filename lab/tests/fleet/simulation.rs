//! Whole simulations of small scenarios: every kind of event, determinism, and the scenarios that are shipped.

use super::{SMALL, small_with};
use std::path::PathBuf;
use tillerproxy_lab::fleet::policy::PolicyKind;
use tillerproxy_lab::fleet::report::{FleetReport, PolicyReport};
use tillerproxy_lab::fleet::scenario::FleetScenario;
use tillerproxy_lab::fleet::simulate;
use tillerproxy_lab::scenario;

const ALL: [PolicyKind; 3] = [
    PolicyKind::Module,
    PolicyKind::Random,
    PolicyKind::TwoChoices,
];

fn simulate_all(scenario: &FleetScenario, seed: u64) -> FleetReport {
    simulate(scenario, &ALL, seed, true).expect("a report")
}

/// Simulates an event under all policies. Policies that obey membership keep rules 1 to 3; all serve most
/// requests.
fn simulate_event(event: &str) -> FleetReport {
    let report = simulate_all(&small_with(event), 1);
    for policy in &report.policies {
        let name = &policy.policy;
        assert_eq!(
            policy.rule_violations[..3],
            [0; 3],
            "{name}: {:?}",
            policy.rules
        );
        assert!(policy.calls.offered > 1_000, "{name}: {:?}", policy.calls);
        assert!(
            policy.calls.within_objective * 2 > policy.calls.offered,
            "{name}: {:?}",
            policy.calls
        );
    }
    assert_eq!(
        report.policies[0].rule_violations, [0; 4],
        "the module keeps all rules"
    );
    report
}

#[test]
fn a_quiet_fleet_serves_nearly_everything() {
    let report = simulate_event("");
    for policy in &report.policies {
        assert!(
            policy.earned_weight_fraction > 0.9,
            "{}: {}",
            policy.policy,
            policy.earned_weight_fraction
        );
        assert_eq!(policy.change_propagation.publications, 0);
    }
    let arrivals: Vec<u64> = report
        .policies
        .iter()
        .map(|policy| policy.calls.offered)
        .collect();
    assert!(
        arrivals.iter().all(|&count| count == arrivals[0]),
        "all get the same calls: {arrivals:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_figures_and_another_one_does_not() {
    let event =
        "[[event]]\nkind = \"backend_crash\"\nat_s = 0.5\nfraction = 0.2\nreturn_after_s = 0.5\n";
    let text = |seed| serde_json::to_string(&simulate_all(&small_with(event), seed)).expect("JSON");
    let first = text(1);
    assert_eq!(first, text(1));
    assert_ne!(first, text(2));
}

#[test]
fn a_rolling_restart_begins_slow_starts() {
    let event = "[[event]]\nkind = \"rolling_restart\"\nat_s = 0.2\nover_s = 1.0\nfraction = 0.25\n\
                 drain_s = 0.4\ndown_s = 0.2\n";
    for policy in &simulate_event(event).policies {
        assert_eq!(policy.rules.slow_starts.starts, 6);
        assert_eq!(policy.change_propagation.not_known_to_all, 0);
        assert!(policy.change_propagation.worst_all_s.expect("known to all") < 1.0);
    }
}

#[test]
fn a_lost_zone_comes_back_with_its_proxies() {
    let event = "[[event]]\nkind = \"zone_loss\"\nat_s = 0.5\nzone = 1\nreturn_after_s = 1.0\n";
    let quiet = simulate_event("");
    for (policy, quiet) in simulate_event(event).policies.iter().zip(&quiet.policies) {
        assert_eq!(policy.rules.slow_starts.starts, 12);
        assert!(
            policy.earned_weight_fraction < quiet.earned_weight_fraction,
            "{}",
            policy.policy
        );
        assert!(policy.attempts.connect_failures > 0);
    }
}

#[test]
fn a_lost_rack_takes_its_backends_only() {
    let event =
        "[[event]]\nkind = \"rack_loss\"\nat_s = 0.5\nzone = 0\nrack = 1\nreturn_after_s = 0.5\n";
    for policy in &simulate_event(event).policies {
        assert_eq!(policy.rules.slow_starts.starts, 4);
    }
}

#[test]
fn partitioned_regions_fail_what_crosses() {
    let event = "[[event]]\nkind = \"region_partition\"\nat_s = 0.5\nfor_s = 0.5\n";
    let report = simulate_event(event);
    assert!(
        report.policies[1].attempts.connect_failures > 50,
        "random choice crosses often"
    );
}

#[test]
fn a_discovery_that_was_down_is_called_again() {
    let event = "[[event]]\nkind = \"discovery_down\"\nat_s = 0.5\nfor_s = 0.3\n\
                 [[event]]\nkind = \"config_burst\"\nat_s = 0.6\nentries = 3\n";
    for policy in &simulate_event(event).policies {
        assert!(
            policy.discovery.failures >= 6,
            "every watch ended: {:?}",
            policy.discovery
        );
        assert_eq!(policy.change_propagation.publications, 1);
        let half = policy
            .change_propagation
            .worst_half_s
            .expect("known to half");
        assert!(half > 0.2, "not while discovery was down: {half}");
    }
}

#[test]
fn stalled_watches_delay_changes() {
    let event = "[[event]]\nkind = \"discovery_silent\"\nat_s = 0.5\nfraction = 1.0\n\
                 [[event]]\nkind = \"config_burst\"\nat_s = 0.6\nentries = 3\n";
    for policy in &simulate_event(event).policies {
        assert_eq!(policy.change_propagation.publications, 1);
        assert_eq!(
            policy.change_propagation.not_known_to_all, 1,
            "{:?}",
            policy.change_propagation
        );
    }
}

#[test]
fn a_burst_of_changes_reaches_all_proxies() {
    let event = "[[event]]\nkind = \"config_burst\"\nat_s = 0.5\nentries = 40\nover_s = 1.0\n";
    for policy in &simulate_event(event).policies {
        assert_eq!(policy.discovery.endpoints, 40 * 6);
        assert_eq!(policy.change_propagation.not_known_to_all, 0);
    }
}

#[test]
fn a_surge_adds_calls_of_one_tenant() {
    let quiet = simulate_event("");
    let surge =
        "[[event]]\nkind = \"tenant_surge\"\nat_s = 0.5\nfor_s = 2.0\ntenant = 0\nmultiple = 2.5\n";
    let surge = simulate_event(surge);
    let (quiet, surge) = (&quiet.policies[0], &surge.policies[0]);
    assert!(surge.calls.offered > quiet.calls.offered * 11 / 10);
    let weight_of_a_read = |policy: &PolicyReport| {
        let reads = &policy.classes[0].metrics;
        reads.offered_weight / reads.calls.offered as f64
    };
    assert_eq!(weight_of_a_read(quiet), 1.0);
    assert!(
        weight_of_a_read(surge) < 0.95,
        "over its quota a call weighs less"
    );
}

#[test]
fn slow_backends_raise_latency() {
    let event = "[[event]]\nkind = \"backend_slow\"\nat_s = 0.5\nfor_s = 2.0\nfraction = 0.1\nfactor = 4.0\n";
    let (quiet, slow) = (simulate_event(""), simulate_event(event));
    for (quiet, slow) in quiet.policies.iter().zip(&slow.policies) {
        assert!(
            slow.latency.p99_ms > quiet.latency.p99_ms,
            "{}",
            slow.policy
        );
    }
}

#[test]
fn hung_backends_let_attempts_time_out() {
    let event = "[[event]]\nkind = \"backend_hang\"\nat_s = 0.5\nfor_s = 1.5\nfraction = 0.1\n";
    for policy in &simulate_event(event).policies {
        assert!(policy.attempts.timeouts > 0, "{}", policy.policy);
    }
}

#[test]
fn proxies_that_restart_reset_their_clients() {
    let event = "[[event]]\nkind = \"proxy_restart\"\nat_s = 0.5\nover_s = 0.5\nfraction = 0.5\ndown_s = 0.3\n";
    for policy in &simulate_event(event).policies {
        assert!(
            policy.calls.failed > 0,
            "calls in flight that are not idempotent: {}",
            policy.policy
        );
        assert!(policy.discovery.calls > 3, "{:?}", policy.discovery);
    }
}

#[test]
fn shifted_traffic_reaches_the_other_zone() {
    let shift = "[[event]]\nkind = \"traffic_shift\"\nat_s = 0.1\nfrom_zone = 0\nto_zone = 1\nfraction = 0.5\n";
    let (quiet, shifted) = (simulate_event(""), simulate_event(shift));
    assert_ne!(
        quiet.policies[0].latency.p99_ms,
        shifted.policies[0].latency.p99_ms
    );
    assert_eq!(
        quiet.policies[0].calls.offered,
        shifted.policies[0].calls.offered
    );
}

#[test]
fn clients_that_disconnect_are_counted_apart() {
    let scenario = small_with("[clients]\nleaves = 0.5\n");
    for policy in &simulate_all(&scenario, 1).policies {
        assert!(policy.calls.disconnected > 50, "{:?}", policy.calls);
        assert_eq!(policy.rule_violations, [0; 4]);
    }
}

#[test]
fn load_reports_reach_the_policies() {
    let with_reports =
        super::parse(&format!("{SMALL}\n[backends]\nload_reports = true\n")).expect("a scenario");
    let report = simulate(&with_reports, &[PolicyKind::Module], 1, true).expect("a report");
    assert_eq!(report.policies[0].rule_violations, [0; 4]);
}

#[test]
fn the_shipped_scenarios_can_be_read_and_the_small_ones_played() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files = std::fs::read_dir(folder)
        .expect("the scenarios")
        .map(|entry| entry.expect("a file").path());
    let name = |path: &PathBuf| {
        path.file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned()
    };
    let mut files: Vec<_> = files
        .filter(|path| name(path).starts_with("fleet-"))
        .collect();
    files.sort();
    assert_eq!(files.len(), 13);
    for path in &files {
        let mut scenario: FleetScenario = scenario::read(path).expect("a good scenario");
        if name(path).ends_with("-small.toml") {
            scenario = scenario.scaled(0.25);
            let report = simulate(&scenario, &[PolicyKind::Random], 1, true).expect("a report");
            assert!(
                report.policies[0].calls.within_objective > 0,
                "{}",
                path.display()
            );
        }
    }
}
