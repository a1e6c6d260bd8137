//! The `fleet` command: exit codes, error messages, and result files.

use super::SMALL;
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};
use tempfile::TempDir;

/// A temporary folder with a scenario file, for runs of the program.
struct ScenarioFolder {
    folder: TempDir,
}

impl ScenarioFolder {
    fn new(scenario: &str) -> Self {
        let folder = tempfile::tempdir().expect("the test can create a temporary folder");
        std::fs::write(folder.path().join("small.toml"), scenario)
            .expect("the temporary folder is writable");
        Self { folder }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Runs the `fleet` command on the scenario file.
    fn run(&self, options: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy-lab"));
        command
            .arg("fleet")
            .arg(self.path("small.toml"))
            .arg("--quiet")
            .args(options);
        command.output().expect("cargo has built the program")
    }
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Checks that the program rejects a scenario with exit code 2, and that the error names the file and `expected_parts`.
fn assert_rejected(scenario: &str, case: &str, expected_parts: &[&str]) {
    let output = ScenarioFolder::new(scenario).run(&[]);
    let text = stderr(&output);
    assert_eq!(output.status.code(), Some(2), "{case}: {text}");
    assert!(text.contains("small.toml"), "{case}: {text}");
    for part in expected_parts {
        assert!(text.contains(part), "{case}: `{part}` is not in {text}");
    }
}

#[test]
fn invalid_scenario_error_names_the_file_the_key_the_value_and_the_allowed_range() {
    let cases = [
        (
            "duration_s = 3.0",
            "duration_s = -1.0",
            vec!["`duration_s`", "must be finite and above 0, found -1"],
        ),
        (
            "fraction = 0.6",
            "fracton = 0.6",
            vec!["load", "fracton", "fraction"],
        ),
        (
            "proxies = 6",
            "proxies = 1",
            vec![
                "fleet.proxies",
                "must be 2 or more (at least one in each zone), found 1",
            ],
        ),
        (
            "proxies = 6",
            "proxies = \"six\"",
            vec!["fleet.proxies", "invalid type"],
        ),
        (
            "regions = 2",
            "regions = 3",
            vec![
                "fleet.regions",
                "must be 1 to 2 (the number of zones), found 3",
            ],
        ),
        (
            "cores = 2",
            "cores = 0",
            vec!["kind[0].cores", "must be 1 or more, found 0"],
        ),
        (
            "speed_spread = 0.1",
            "speed_spread = 1.0",
            vec![
                "kind[0].speed_spread",
                "must be 0 or more and less than 1, found 1",
            ],
        ),
        (
            "deadline_ms = 1000.0",
            "deadline_ms = 300.0",
            vec![
                "class[0].deadline_ms",
                "must be at least `aim_ms` (400), found 300",
            ],
        ),
        (
            "duration_s = 3.0",
            "duration_s = 3.0\nwarmup_s = 4.0",
            vec!["warmup_s", "must be less than `duration_s` (3), found 4"],
        ),
        (
            "effect = \"unsafe\"",
            "effect = \"risky\"",
            vec!["class[1].effect", "`risky`", "`safe`", "`keyed`"],
        ),
        (
            "cold_time_s = 2.0",
            "cold_time_s = 0.0",
            vec!["safety.cold_time_s", "must be finite and above 0, found 0"],
        ),
    ];
    for (valid, invalid, expected_parts) in cases {
        assert_rejected(&SMALL.replace(valid, invalid), invalid, &expected_parts);
    }
}

#[test]
fn invalid_event_error_names_the_key_the_value_and_the_allowed_range() {
    let cases = [
        (
            "kind = \"meteor\"\nat_s = 1.0",
            vec!["event[0]", "meteor", "zone_loss"],
        ),
        (
            "kind = \"zone_loss\"\nat_s = 1.0\nzone = 2",
            vec![
                "event[0].zone",
                "must be less than 2 (the number of zones), found 2",
            ],
        ),
        (
            "kind = \"zone_loss\"\nat_s = -1.0\nzone = 0",
            vec!["event[0].at_s", "must be finite and 0 or more, found -1"],
        ),
        (
            "kind = \"zone_loss\"\nat_s = 1.0\nzone = 0\nfor_s = 1.0",
            vec!["event[0]", "for_s"],
        ),
        (
            "kind = \"discovery_down\"\nat_s = 1.0",
            vec!["event[0]", "for_s"],
        ),
        (
            "kind = \"backend_crash\"\nat_s = 1.0\nfraction = 1.5",
            vec!["event[0].fraction", "must be 0 to 1, found 1.5"],
        ),
        (
            "kind = \"tenant_surge\"\nat_s = 1.0\nfor_s = 1.0\ntenant = 5\nmultiple = 2.0",
            vec![
                "event[0].tenant",
                "must be less than 5 (`tenants.count`), found 5",
            ],
        ),
        (
            "kind = \"tenant_surge\"\nat_s = 1.0\nfor_s = 1.0\ntenant = 0\nmultiple = 0.5",
            vec!["event[0].multiple", "must be above 1, found 0.5"],
        ),
        (
            "kind = \"config_burst\"\nat_s = 1.0\nentries = 0",
            vec!["event[0].entries", "must be 1 or more, found 0"],
        ),
    ];
    for (event, expected_parts) in cases {
        let scenario = format!("{SMALL}\n[[event]]\n{event}\n");
        assert_rejected(&scenario, event, &expected_parts);
    }
}

#[test]
fn invalid_options_and_a_missing_scenario_file_end_with_exit_code_2() {
    let folder = ScenarioFolder::new(SMALL);
    for options in [
        ["--duration-s", "0"],
        ["--scale", "-1"],
        ["--policies", "best"],
    ] {
        let output = folder.run(&options);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{options:?}: {}",
            stderr(&output)
        );
    }
    std::fs::remove_file(folder.path("small.toml")).expect("the scenario file exists");
    let output = folder.run(&[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("cannot read"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn result_file_table_and_plot_hold_the_run_the_scenario_and_the_measurements() {
    let folder = ScenarioFolder::new(SMALL);
    let json = folder.path("result.json");
    let plot = folder.path("series.svg");
    let (json_option, plot_option) = (json.to_string_lossy(), plot.to_string_lossy());
    let options = [
        "--json",
        &json_option,
        "--plot",
        &plot_option,
        "--policies",
        "random",
        "--duration-s",
        "2",
        "--seed",
        "9",
    ];
    let output = folder.run(&options);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let table = String::from_utf8_lossy(&output.stdout).into_owned();
    for label in [
        "earned priority weight",
        "rejected",
        "p99.9",
        "publications",
        "rule 4",
    ] {
        assert!(table.contains(label), "{label}: {table}");
    }
    let result: Value =
        serde_json::from_slice(&std::fs::read(&json).expect("the program wrote the result file"))
            .expect("the result file is JSON");
    assert_eq!(
        (&result["run"]["experiment"], &result["run"]["seed"]),
        (&"fleet".into(), &9.into())
    );
    assert_eq!(result["scenario"]["duration_s"], 2.0);
    let report = &result["measured"]["policies"][0];
    assert_eq!(report["policy"], "random");
    assert_eq!(report["seconds"].as_array().map(Vec::len), Some(2));
    assert!(
        std::fs::read_to_string(plot)
            .expect("the program wrote the plot")
            .contains("<svg")
    );
}
