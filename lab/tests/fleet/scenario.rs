//! The keys of scenario files, which users write.

use super::SMALL;
use std::path::Path;
use tillerproxy_lab::fleet::scenario::FleetScenario;
use tillerproxy_lab::scenario;

/// A timeline with one event of each kind.
const EVENTS: &str = r#"
event = [
    { kind = "rolling_restart", at_s = 1.0, over_s = 1.0, fraction = 0.5, drain_s = 1.0, down_s = 1.0 },
    { kind = "zone_loss", at_s = 1.0, zone = 1, return_after_s = 1.0 },
    { kind = "rack_loss", at_s = 1.0, zone = 1, rack = 2, return_after_s = 1.0 },
    { kind = "region_partition", at_s = 1.0, for_s = 1.0 },
    { kind = "discovery_down", at_s = 1.0, for_s = 1.0 },
    { kind = "discovery_silent", at_s = 1.0, fraction = 0.5 },
    { kind = "config_burst", at_s = 1.0, entries = 10, over_s = 1.0 },
    { kind = "tenant_surge", at_s = 1.0, for_s = 1.0, tenant = 1, multiple = 2.0 },
    { kind = "backend_slow", at_s = 1.0, for_s = 1.0, fraction = 0.5, factor = 2.0 },
    { kind = "backend_hang", at_s = 1.0, for_s = 1.0, fraction = 0.5 },
    { kind = "backend_crash", at_s = 1.0, fraction = 0.5, return_after_s = 1.0 },
    { kind = "proxy_restart", at_s = 1.0, over_s = 1.0, fraction = 0.5, down_s = 1.0 },
    { kind = "traffic_shift", at_s = 1.0, for_s = 1.0, from_zone = 0, to_zone = 1, fraction = 0.5 },
]
"#;

fn parse(text: &str) -> FleetScenario {
    scenario::parse(text, Path::new("scenario.toml")).expect("the scenario is valid")
}

/// Returns the sorted keys of a table.
fn keys(table: &toml::Value) -> String {
    let table = table.as_table().expect("the value is a table");
    let mut keys: Vec<&str> = table.keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys.join(" ")
}

#[test]
fn written_scenario_reads_as_the_same_scenario() {
    let read = parse(&format!("{EVENTS}\n{SMALL}"));
    let written = toml::to_string(&read).expect("a scenario can be written as TOML");
    let read_again = parse(&written);
    assert_eq!(
        toml::to_string(&read_again).expect("a scenario can be written as TOML"),
        written
    );
}

#[test]
fn scenario_is_written_with_its_documented_toml_keys() {
    let scenario = parse(&format!("{EVENTS}\n{SMALL}"));
    let written = toml::Value::try_from(&scenario).expect("a scenario can be written as TOML");
    assert_eq!(
        keys(&written["class"][0]),
        "aim_ms deadline_ms effect key_group key_ttl_ms late_worth name share spread work_ms worth"
    );
    assert_eq!(
        keys(&written["tenants"]),
        "allowance count over_share_worth skew"
    );
    assert_eq!(keys(&written["load"]), "fraction proxy_skew");
    assert_eq!(
        keys(&written["backends"]),
        "load_reports queue skips_abandoned"
    );
    assert_eq!(
        keys(&written["network"]),
        "cross_region_ms dial_timeout_ms jitter same_region_ms same_zone_ms"
    );
    assert_eq!(
        keys(&written["clients"]),
        "heeds_retry_after latency_ms leaves notices_dead_proxy_s retry_wait_ms tries try_timeout"
    );
    assert_eq!(
        keys(&written["discovery"]),
        "call_bytes calls_per_s entry_bytes history latency_ms longest_turn_ms notice_ms \
         publish_interval_ms standing_watches"
    );
    assert_eq!(
        keys(&written["permissions"]),
        "cancel conn_idle_s cross_zone_price max_attempts retry_after_ms second_copies"
    );
    assert_eq!(
        keys(&written["safety"]),
        "answer_slack_ms ask_within_s cold_from cold_time_s drain_grace_s fall_multiple fall_time_s"
    );
}
