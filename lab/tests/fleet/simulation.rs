//! Simulations of small scenarios: each kind of event, determinism, and the shipped scenarios.

use super::{SMALL, small_scenario_with_tables};
use std::path::PathBuf;
use tillerproxy_lab::fleet::policy::PolicyKind;
use tillerproxy_lab::fleet::report::{FleetReport, PolicyReport};
use tillerproxy_lab::fleet::scenario::FleetScenario;
use tillerproxy_lab::fleet::simulate;
use tillerproxy_lab::scenario;

const ALL_POLICIES: [PolicyKind; 3] = [
    PolicyKind::Module,
    PolicyKind::Random,
    PolicyKind::TwoChoices,
];

fn simulate_all(scenario: &FleetScenario, seed: u64) -> FleetReport {
    simulate(scenario, &ALL_POLICIES, seed, true).expect("the policies accept their settings")
}

/// Simulates the small scenario with an event under all policies. Checks that every policy keeps rules 1 (one final
/// answer), 2 (idempotency) and 3 (draining) and serves more than half of the calls in time, and that the decision
/// module also keeps rule 4 (slow start).
fn simulate_event(event: &str) -> FleetReport {
    let report = simulate_all(&small_scenario_with_tables(event), 1);
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
fn fleet_without_events_serves_nearly_all_calls() {
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
        "all policies receive the same calls: {arrivals:?}"
    );
}

#[test]
fn equal_seeds_give_equal_reports_and_different_seeds_differ() {
    let event =
        "[[event]]\nkind = \"backend_crash\"\nat_s = 0.5\nfraction = 0.2\nreturn_after_s = 0.5\n";
    let text = |seed| {
        serde_json::to_string(&simulate_all(&small_scenario_with_tables(event), seed))
            .expect("a report can be written as JSON")
    };
    let first = text(1);
    assert_eq!(first, text(1));
    assert_ne!(first, text(2));
}

#[test]
fn rolling_restart_starts_each_backend_once_and_informs_all_proxies() {
    let event = "[[event]]\nkind = \"rolling_restart\"\nat_s = 0.2\nover_s = 1.0\nfraction = 0.25\n\
                 drain_s = 0.4\ndown_s = 0.2\n";
    for policy in &simulate_event(event).policies {
        assert_eq!(policy.rules.slow_starts.starts, 6);
        assert_eq!(policy.change_propagation.not_known_to_all, 0);
        let propagation_s = policy.change_propagation.worst_all_s;
        assert!(propagation_s.expect("all proxies were informed") < 1.0);
    }
}

#[test]
fn zone_loss_restarts_its_backends_and_lowers_the_earned_weight() {
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
fn rack_loss_restarts_only_the_backends_of_the_rack() {
    let event =
        "[[event]]\nkind = \"rack_loss\"\nat_s = 0.5\nzone = 0\nrack = 1\nreturn_after_s = 0.5\n";
    for policy in &simulate_event(event).policies {
        assert_eq!(policy.rules.slow_starts.starts, 4);
    }
}

#[test]
fn region_partition_fails_connections_between_regions() {
    let event = "[[event]]\nkind = \"region_partition\"\nat_s = 0.5\nfor_s = 0.5\n";
    let report = simulate_event(event);
    assert!(
        report.policies[1].attempts.connect_failures > 50,
        "random choice often selects the other region"
    );
}

#[test]
fn proxies_call_discovery_again_after_an_outage() {
    let event = "[[event]]\nkind = \"discovery_down\"\nat_s = 0.5\nfor_s = 0.3\n\
                 [[event]]\nkind = \"config_burst\"\nat_s = 0.6\nentries = 3\n";
    for policy in &simulate_event(event).policies {
        assert!(
            policy.discovery.failures >= 6,
            "the watch of each proxy fails: {:?}",
            policy.discovery
        );
        assert_eq!(policy.change_propagation.publications, 1);
        let half = policy
            .change_propagation
            .worst_half_s
            .expect("half of the proxies were informed");
        assert!(
            half > 0.2,
            "proxies are informed only after the outage: {half}"
        );
    }
}

#[test]
fn proxies_with_stalled_watches_are_not_informed_of_changes() {
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
fn config_burst_reaches_all_proxies() {
    let event = "[[event]]\nkind = \"config_burst\"\nat_s = 0.5\nentries = 40\nover_s = 1.0\n";
    for policy in &simulate_event(event).policies {
        assert_eq!(policy.discovery.endpoints, 40 * 6);
        assert_eq!(policy.change_propagation.not_known_to_all, 0);
    }
}

#[test]
fn tenant_surge_adds_calls_with_a_lower_mean_weight() {
    let quiet = simulate_event("");
    let surge =
        "[[event]]\nkind = \"tenant_surge\"\nat_s = 0.5\nfor_s = 2.0\ntenant = 0\nmultiple = 2.5\n";
    let surge = simulate_event(surge);
    let (quiet, surge) = (&quiet.policies[0], &surge.policies[0]);
    assert!(surge.calls.offered > quiet.calls.offered * 11 / 10);
    let mean_read_weight = |policy: &PolicyReport| {
        let reads = &policy.classes[0].metrics;
        reads.offered_weight / reads.calls.offered as f64
    };
    assert_eq!(mean_read_weight(quiet), 1.0);
    assert!(
        mean_read_weight(surge) < 0.95,
        "a call over its tenant's quota has a lower weight"
    );
}

#[test]
fn slow_backends_raise_the_99th_percentile_of_latency() {
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
fn attempts_at_hung_backends_time_out() {
    let event = "[[event]]\nkind = \"backend_hang\"\nat_s = 0.5\nfor_s = 1.5\nfraction = 0.1\n";
    for policy in &simulate_event(event).policies {
        assert!(policy.attempts.timeouts > 0, "{}", policy.policy);
    }
}

#[test]
fn proxy_restart_fails_calls_in_flight() {
    let event = "[[event]]\nkind = \"proxy_restart\"\nat_s = 0.5\nover_s = 0.5\nfraction = 0.5\ndown_s = 0.3\n";
    for policy in &simulate_event(event).policies {
        assert!(
            policy.calls.failed > 0,
            "{}: non-idempotent calls in flight must fail",
            policy.policy
        );
        assert!(policy.discovery.calls > 3, "{:?}", policy.discovery);
    }
}

#[test]
fn traffic_shift_changes_the_latency_and_not_the_number_of_calls() {
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
fn disconnected_clients_are_counted_separately() {
    let scenario = small_scenario_with_tables("[clients]\nleaves = 0.5\n");
    for policy in &simulate_all(&scenario, 1).policies {
        assert!(policy.calls.disconnected > 50, "{:?}", policy.calls);
        assert_eq!(policy.rule_violations, [0; 4]);
    }
}

#[test]
fn decision_module_breaks_no_rule_with_load_reports() {
    let with_reports = super::parse(&format!("{SMALL}\n[backends]\nload_reports = true\n"))
        .expect("the scenario is valid");
    let report = simulate(&with_reports, &[PolicyKind::Module], 1, true)
        .expect("the policy accepts its settings");
    assert_eq!(report.policies[0].rule_violations, [0; 4]);
}

#[test]
fn shipped_scenarios_are_valid_and_small_ones_serve_calls() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files = std::fs::read_dir(folder)
        .expect("the folder of scenarios is readable")
        .map(|entry| entry.expect("the folder is readable").path());
    let name = |path: &PathBuf| {
        path.file_name()
            .expect("a file of the folder has a name")
            .to_string_lossy()
            .into_owned()
    };
    let mut files: Vec<_> = files
        .filter(|path| name(path).starts_with("fleet-"))
        .collect();
    files.sort();
    assert_eq!(files.len(), 13);
    for path in &files {
        let mut scenario: FleetScenario =
            scenario::read(path).expect("a shipped scenario is valid");
        if name(path).ends_with("-small.toml") {
            scenario = scenario.scaled(0.25);
            let report = simulate(&scenario, &[PolicyKind::Random], 1, true)
                .expect("the policy accepts its settings");
            assert!(
                report.policies[0].calls.within_objective > 0,
                "{}",
                path.display()
            );
        }
    }
}
