//! Tests of the `slopes` experiment: a small run of the program, its errors, its fits and its repeatability.

use indicatif::ProgressBar;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use tempfile::TempDir;
use tillerproxy_lab::error::LabError;
use tillerproxy_lab::scenario::{parse, read};
use tillerproxy_lab::slopes::endpoints::{
    Endpoints, new_translator, parse_backends, serialize_list,
};
use tillerproxy_lab::slopes::fit::{Fit, Model};
use tillerproxy_lab::slopes::measure::{Point, Sweep};
use tillerproxy_lab::slopes::quantity::Quantity;
use tillerproxy_lab::slopes::scenario::SlopesScenario;
use tillerproxy_lab::slopes::stopwatch::Summary;
use tillerproxy_lab::slopes::{SlopesResult, measure};

/// Scenario of a fleet that even an unoptimised build measures within a second.
const SMALL: &str = r"
sizes = [4, 8, 16]
repetitions = 1

[load]
warm_up_requests = 20
measured_requests = 80

[fleet]
tenants = 3
classes = 2

[changes]
entries = 3
zones = 1
lists = 1

[sweeps]
backends = 8
tenants = [1, 2, 4]
classes = [1, 2, 4]
proxies = [3, 6, 9]
open_requests = [5, 10, 20]

[target]
backends = 20
proxies = 4
tenants = 5
classes = 2
ratio_sizes = [4, 16]
";

fn measure_small(seed: u64) -> SlopesResult {
    let scenario = parse(SMALL, Path::new("small.toml")).expect("the small scenario is valid");
    measure(&scenario, seed, &ProgressBar::hidden())
        .expect("the proxy accepts the generated settings and lists")
}

/// Writes a scenario file `given.toml` in the directory and returns its path.
fn write_scenario(directory: &TempDir, text: &str) -> PathBuf {
    let path = directory.path().join("given.toml");
    std::fs::write(&path, text).expect("a file can be written in a new directory");
    path
}

/// Runs `tillerproxy-lab slopes` with these arguments until it exits.
fn run_lab(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy-lab"));
    command
        .arg("slopes")
        .args(arguments)
        .env_remove("RUST_LOG")
        .output()
        .expect("the lab's program starts")
}

/// Runs the lab with an invalid scenario, checks that it exits with 2 and names the file, and returns its error
/// message.
fn invalid_scenario_message(text: &str) -> String {
    let directory = TempDir::new().expect("a temporary directory can be created");
    let path = write_scenario(&directory, text);
    let output = run_lab(&[
        "--scenario",
        path.to_str().expect("a temporary path is UTF-8"),
    ]);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains("given.toml"), "{message}");
    message
}

/// Returns the path of a file in the directory as text for an option.
fn file_path(directory: &TempDir, name: &str) -> String {
    let path = directory.path().join(name);
    path.to_str().expect("a temporary path is UTF-8").to_owned()
}

#[test]
fn small_run_writes_report_json_csv_and_plot() {
    let directory = TempDir::new().expect("a temporary directory can be created");
    write_scenario(&directory, SMALL);
    let scenario = file_path(&directory, "given.toml");
    let json = file_path(&directory, "out.json");
    let csv = file_path(&directory, "out.csv");
    let plot = file_path(&directory, "out.svg");
    let mut arguments = vec!["--quiet", "--scenario", &scenario];
    arguments.extend(["--json", &json, "--csv", &csv, "--plot", &plot]);
    let output = run_lab(&arguments);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_report_has_titles_and_verdict(&String::from_utf8_lossy(&output.stdout));
    assert_json_figures_and_keys(
        &std::fs::read_to_string(&json).expect("the run writes its JSON result"),
    );
    assert_csv_header_and_row(&std::fs::read_to_string(&csv).expect("the run writes its CSV file"));
    let picture = std::fs::read_to_string(&plot).expect("the run writes its plot");
    assert!(picture.contains("<svg"), "the plot is an SVG file");
}

fn assert_report_has_titles_and_verdict(report: &str) {
    for title in [
        "By backends",
        "By tenants",
        "By classes",
        "By proxies",
        "Fits",
        "Budgets",
        "within",
    ] {
        assert!(
            report.contains(title),
            "the report contains `{title}`:\n{report}"
        );
    }
}

fn assert_csv_header_and_row(rows: &str) {
    let header = "sweep,backends,proxies,tenants,classes,requests_per_second,\
                  quantity,unit,median,least,greatest\n";
    assert!(rows.starts_with(header), "{rows}");
    assert!(
        rows.contains("target_hot,20,4,5,2,1410.0,request,nanoseconds,"),
        "{rows}"
    );
}

/// Returns the keys of a JSON object. Programs that read result files depend on these names.
fn object_keys(object: &Value) -> BTreeSet<&str> {
    let object = object.as_object().expect("the value is a JSON object");
    object.keys().map(String::as_str).collect()
}

fn assert_json_figures_and_keys(text: &str) {
    let result: Value = serde_json::from_str(text).expect("the result is valid JSON");
    assert_eq!(result["run"]["experiment"], "slopes");
    assert_eq!(result["scenario"]["sizes"], serde_json::json!([4, 8, 16]));
    let measurements = &result["measured"]["measurements"];
    let points = measurements["sweeps"]["backends"]
        .as_array()
        .expect("a sweep is an array of points");
    assert_eq!(points.len(), 3);
    for quantity in Quantity::ALL {
        let median = points[2]["figures"][quantity.key()]["median"].as_f64();
        assert!(median.is_some(), "`{}` was measured", quantity.key());
    }
    let counts = [
        "requests",
        "sends",
        "served",
        "refused",
        "failed",
        "timers",
        "most_open",
        "backends_used",
    ];
    assert_eq!(object_keys(&points[0]["counts"]), BTreeSet::from(counts));
    let summary = ["median", "least", "greatest", "values"];
    assert_eq!(
        object_keys(&points[0]["figures"]["request"]),
        BTreeSet::from(summary)
    );
    assert!(points[0]["figures"]["entry_gone"].is_object());
    let heap = |point: &Value| point["figures"]["balancer_memory"]["median"].as_f64();
    assert!(
        heap(&points[2]) > heap(&points[0]),
        "the balancer's heap grows with the number of backends"
    );
    assert_eq!(
        measurements["open_request_memory"].as_array().map(Vec::len),
        Some(3)
    );
}

#[test]
fn invalid_scenario_exits_with_2_and_names_key_and_allowed_values() {
    let unknown_key = invalid_scenario_message("[load]\nlatency = 50.0\n");
    assert!(
        unknown_key.contains("load") && unknown_key.contains("latency_ms"),
        "{unknown_key}"
    );
    let range = invalid_scenario_message("[target]\ntenants = 70000\n");
    assert!(
        range.contains("target.tenants") && range.contains("1 to 65535"),
        "{range}"
    );
    let order = invalid_scenario_message("sizes = [100, 10]\n");
    assert!(
        order.contains("sizes") && order.contains("ascending"),
        "{order}"
    );
    let wrong_type = invalid_scenario_message("repetitions = \"five\"\n");
    assert!(
        wrong_type.contains("repetitions") && wrong_type.contains("u32"),
        "{wrong_type}"
    );
    let rate = invalid_scenario_message("[load]\nrequests_per_second = nan\n");
    assert!(
        rate.contains("load.requests_per_second") && rate.contains("1 to 1000000"),
        "{rate}"
    );
    let sign = invalid_scenario_message("[budgets]\nadded_ms = -1.0\n");
    assert!(
        sign.contains("budgets.added_ms") && sign.contains("above 0"),
        "{sign}"
    );
}

#[test]
fn missing_scenario_file_and_invalid_options_exit_with_2() {
    let missing = run_lab(&["--scenario", "no/such/file.toml"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("no/such/file.toml"));
    for arguments in [["--sizes", "10,0"], ["--repetitions", "0"]] {
        let output = run_lab(&arguments);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(
            message.contains(arguments[0]) && message.contains("1.."),
            "{message}"
        );
    }
    let unordered = run_lab(&["--sizes", "100,10"]);
    assert_eq!(unordered.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&unordered.stderr).contains("command line: `sizes`"));
}

#[test]
fn scenario_file_equals_built_in_values() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/slopes.toml");
    let scenario: Result<SlopesScenario, LabError> = read(&path);
    assert_eq!(
        scenario.expect("the scenario file is valid"),
        SlopesScenario::default()
    );
}

#[test]
fn number_of_proxies_has_the_target_ratio_to_backends_but_is_at_least_the_minimum() {
    let scenario = SlopesScenario::default();
    assert_eq!(scenario.proxies_for(6_000), 710);
    assert_eq!(scenario.proxies_for(300), 36);
    assert_eq!(scenario.proxies_for(10), 3);
}

#[test]
fn fit_of_points_on_a_line_selects_the_line() {
    let points = [10.0, 100.0, 1_000.0].map(|x| (x, 50.0 + 2.0 * x));
    let fit = Fit::of(&points).expect("three sizes have a fit");
    assert_eq!(fit.better, Model::Line);
    assert!((fit.line.intercept - 50.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.line.slope - 2.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.cost_at(6_000.0) - 12_050.0).abs() < 1e-4, "{fit:?}");
}

#[test]
fn fit_of_points_on_a_power_law_selects_the_power_law() {
    let points = [10.0_f64, 100.0, 1_000.0].map(|x| (x, 3.0 * x.powf(1.5)));
    let fit = Fit::of(&points).expect("three sizes have a fit");
    assert_eq!(fit.better, Model::PowerLaw);
    assert!((fit.power_law.exponent - 1.5).abs() < 1e-9, "{fit:?}");
    assert!((fit.power_law.factor - 3.0).abs() < 1e-9, "{fit:?}");
}

#[test]
fn fit_requires_three_different_sizes_with_costs_above_zero() {
    assert_eq!(Fit::of(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Fit::of(&[(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)]), None);
    assert_eq!(Fit::of(&[(1.0, 1.0), (2.0, 2.0), (3.0, 0.0)]), None);
}

#[test]
fn summary_has_median_and_range() {
    let odd = Summary::of(vec![5.0, 1.0, 3.0]).expect("there are three values");
    assert_eq!((odd.median, odd.min, odd.max), (3.0, 1.0, 5.0));
    let even = Summary::of(vec![4.0, 1.0, 2.0, 3.0]).expect("there are four values");
    assert_eq!(even.median, 2.5);
    assert!((even.spread() - 0.6).abs() < 1e-9);
    assert_eq!(Summary::of(Vec::new()), None);
}

#[test]
fn same_seed_repeats_event_counts_and_another_seed_changes_them() {
    let counts = |seed| {
        let sweeps = measure_small(seed).measurements.sweeps.into_iter();
        let points = sweeps.flat_map(|(sweep, points): (Sweep, Vec<Point>)| {
            points
                .into_iter()
                .map(move |point| (sweep, point.setup.backends, point.counts))
        });
        points.collect::<Vec<_>>()
    };
    let first = counts(1);
    assert!(
        first
            .iter()
            .all(|(_, _, counts)| counts.requests >= 80 && counts.served > 0),
        "{first:?}"
    );
    assert_eq!(first, counts(1));
    assert_ne!(first, counts(2));
}

#[test]
fn translator_parses_every_endpoint_of_a_generated_list() {
    let fleet = SlopesScenario::default().fleet;
    let endpoints = Endpoints::generate(300, &fleet, 1);
    let body = serialize_list(1, true, endpoints.all());
    let backends =
        parse_backends(&mut new_translator(&fleet), &body).expect("a generated list can be parsed");
    assert_eq!(backends.len(), 300);
    let zones: BTreeSet<u16> = backends.iter().map(|backend| backend.zone.0).collect();
    assert_eq!(zones.len(), 5);
}
