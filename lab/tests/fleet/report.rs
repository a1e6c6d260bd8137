//! The JSON keys of the report, which other tools read.

use super::small_scenario_with_tables;
use serde_json::Value;
use tillerproxy_lab::fleet::policy::PolicyKind;
use tillerproxy_lab::fleet::simulate;

/// Returns the sorted keys of an object.
fn keys(object: &Value) -> String {
    let object = object.as_object().expect("the value is an object");
    let mut keys: Vec<&str> = object.keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys.join(" ")
}

#[test]
fn report_is_written_with_its_documented_json_keys() {
    let report = simulate(
        &small_scenario_with_tables(""),
        &[PolicyKind::Random],
        1,
        true,
    )
    .expect("the simulation succeeds");
    let written = serde_json::to_value(&report).expect("a report can be written as JSON");
    let policy = &written["policies"][0];
    let rules = &policy["rules"];
    let expected = [
        (&written, "backends calls_per_s policies proxies"),
        (
            policy,
            "attempts backend_load calls change_spread classes discovery events latency policy rules \
             rules_broken seconds worth_in_time",
        ),
        (
            &policy["calls"],
            "failed in_time late left offered refused timed_out",
        ),
        (
            &policy["classes"][0],
            "calls earned_worth name offered_worth",
        ),
        (
            &policy["seconds"][0],
            "failed in_time late left offered p99_ms refused second timed_out",
        ),
        (
            &policy["attempts"],
            "attempts connect_failures cross_zone full resets timeouts tries",
        ),
        (&policy["backend_load"], "max p1 p50 p99 without_any"),
        (
            &policy["discovery"],
            "bytes bytes_per_proxy_s calls entries failures peak_second_bytes peak_second_calls \
             whole_lists",
        ),
        (rules, "cold_backends drains effects final_answers"),
        (&rules["final_answers"], "after_the_end lost taken"),
        (
            &rules["effects"],
            "outside_group outside_window refused_after_effect repeats too_many two_out \
             unsafe_repeats",
        ),
        (&rules["drains"], "after_grace sends_to_barred"),
        (
            &rules["cold_backends"],
            "fallen fallen_by_informed starts worst_load",
        ),
    ];
    for (object, expected_keys) in expected {
        assert_eq!(keys(object), expected_keys);
    }
}
