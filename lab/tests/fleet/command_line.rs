//! The program: its exit codes, what its errors name, and its JSON.

use super::SMALL;
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};
use tempfile::TempDir;

struct Run {
    folder: TempDir,
}

impl Run {
    fn new(scenario: &str) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("small.toml"), scenario).expect("written");
        Self { folder }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn run(&self, options: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy-lab"));
        command
            .arg("fleet")
            .arg(self.path("small.toml"))
            .arg("--quiet")
            .args(options);
        command.output().expect("the program runs")
    }
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn errors_name_the_file_the_key_and_what_is_allowed() {
    let cases = [
        (
            "duration_s = 3.0",
            "duration_s = -1.0",
            vec!["duration_s", "above 0"],
        ),
        (
            "fraction = 0.6",
            "fracton = 0.6",
            vec!["load", "fracton", "fraction"],
        ),
        (
            "proxies = 6",
            "proxies = 1",
            vec!["fleet.proxies", "one in each zone"],
        ),
        (
            "proxies = 6",
            "proxies = \"six\"",
            vec!["fleet.proxies", "invalid type"],
        ),
        ("regions = 2", "regions = 3", vec!["fleet.regions", "1..=2"]),
        (
            "effect = \"unsafe\"",
            "effect = \"risky\"",
            vec!["class[1].effect", "`risky`", "`safe`", "`keyed`"],
        ),
        (
            "cold_time_s = 2.0",
            "cold_time_s = 0.0",
            vec!["safety.cold_time_s", "above 0"],
        ),
    ];
    for (right, wrong, named) in cases {
        let output = Run::new(&SMALL.replace(right, wrong)).run(&[]);
        let text = stderr(&output);
        assert_eq!(output.status.code(), Some(2), "{wrong}: {text}");
        assert!(text.contains("small.toml"), "{wrong}: {text}");
        for part in named {
            assert!(text.contains(part), "{wrong}: `{part}` is not in {text}");
        }
    }
}

#[test]
fn events_that_make_no_sense_are_errors() {
    let cases = [
        (
            "kind = \"meteor\"\nat_s = 1.0",
            vec!["event[0]", "meteor", "zone_loss"],
        ),
        (
            "kind = \"zone_loss\"\nat_s = 1.0\nzone = 2",
            vec!["event[0].zone", "under 2"],
        ),
        (
            "kind = \"zone_loss\"\nat_s = -1.0\nzone = 0",
            vec!["event[0].at_s", "0 or more"],
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
            vec!["event[0].fraction", "0..=1"],
        ),
        (
            "kind = \"tenant_surge\"\nat_s = 1.0\nfor_s = 1.0\ntenant = 5\nmultiple = 2.0",
            vec!["event[0].tenant", "under 5"],
        ),
    ];
    for (event, named) in cases {
        let output = Run::new(&format!("{SMALL}\n[[event]]\n{event}\n")).run(&[]);
        let text = stderr(&output);
        assert_eq!(output.status.code(), Some(2), "{event}: {text}");
        for part in named {
            assert!(text.contains(part), "{event}: `{part}` is not in {text}");
        }
    }
}

#[test]
fn options_that_make_no_sense_are_errors() {
    let run = Run::new(SMALL);
    for options in [
        ["--duration-s", "0"],
        ["--scale", "-1"],
        ["--policies", "best"],
    ] {
        let output = run.run(&options);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{options:?}: {}",
            stderr(&output)
        );
    }
    std::fs::remove_file(run.path("small.toml")).expect("removed");
    let output = run.run(&[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("cannot read"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn the_result_holds_the_run_the_scenario_and_what_was_measured() {
    let run = Run::new(SMALL);
    let json = run.path("result.json");
    let plot = run.path("series.svg");
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
    let output = run.run(&options);
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
        serde_json::from_slice(&std::fs::read(&json).expect("written")).expect("JSON");
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
            .expect("written")
            .contains("<svg")
    );
}
