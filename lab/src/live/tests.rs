//! Tests of the parts of the `live` experiment that need no proxy process.

use super::clients::RequestOutcomes;
use super::figures::{
    LiveFigures, PhaseFigures, ProcessFigures, RequestFigures, RestartFigures, SimulatedFigures,
};
use super::idle_connections::{IdleConnectionMemory, IdleConnectionStep, slope};
use super::latency::LatencyQuantiles;
use super::propagation::{PropagationFigures, PropagationTracker};
use super::proxy_config::settings;
use super::quantiles::Quantiles;
use super::scenario::LiveScenario;
use super::simulated_proxy::schedule::CallSchedule;
use super::simulated_proxy::{WatchPhase, parse_revision};
use crate::error::LabError;
use std::path::Path;
use std::time::{Duration, Instant};
use tillerproxy::simulator::parse_settings;

const SMALL: &str = include_str!("../../scenarios/live-small.toml");
const TARGET: &str = include_str!("../../scenarios/live-target.toml");

fn parse(text: &str) -> Result<LiveScenario, LabError> {
    crate::scenario::parse(text, Path::new("live.toml"))
}

/// Returns the key and the problem of the error for the small scenario with one line replaced.
fn error_with(line: &str, replacement: &str) -> (String, String) {
    assert!(SMALL.contains(line), "the small scenario contains {line}");
    match parse(&SMALL.replacen(line, replacement, 1)) {
        Err(LabError::Scenario { key, problem, .. }) => (key, problem),
        other => panic!("expected an error for {replacement}, found {other:?}"),
    }
}

#[test]
fn bundled_scenarios_are_valid() {
    let small = parse(SMALL).expect("live-small.toml is valid");
    assert_eq!(small.proxy_count(), 7);
    let target = parse(TARGET).expect("live-target.toml is valid");
    assert_eq!((target.proxy_count(), target.backends.listed), (710, 6_000));
}

/// An invalid value in the small scenario, and the error that it causes.
struct InvalidValueCase {
    line: &'static str,
    replacement: &'static str,
    key: &'static str,
    problem: &'static str,
}

const INVALID_VALUES: [InvalidValueCase; 12] = [
    InvalidValueCase {
        line: "real = 2",
        replacement: "real = 41",
        key: "processes.real",
        problem: "must be 1 to 40 processes, found 41",
    },
    InvalidValueCase {
        line: "real = 2",
        replacement: "real = 0",
        key: "processes.real",
        problem: "must be 1 to 40 processes, found 0",
    },
    InvalidValueCase {
        line: "hollow = 5",
        replacement: "hollow = 709",
        key: "processes.hollow",
        problem: "must be 0 to 708 in addition to 2 real processes, found 709",
    },
    InvalidValueCase {
        line: "memory_mb = 64",
        replacement: "memory_mb = 6000",
        key: "limits.memory_mb",
        problem: "must be 32 to 4096 MB with 2 real processes, found 6000",
    },
    InvalidValueCase {
        line: "sockets = 256",
        replacement: "sockets = 16",
        key: "limits.sockets",
        problem: "must be 128 to 16384 descriptors, found 16",
    },
    InvalidValueCase {
        line: "listed = 50",
        replacement: "listed = 0",
        key: "backends.listed",
        problem: "must be 1 to 20000 entries, found 0",
    },
    InvalidValueCase {
        line: "answering = 4",
        replacement: "answering = 51",
        key: "backends.answering",
        problem: "must be 1 to 50 backends, found 51",
    },
    InvalidValueCase {
        line: "calls_per_s = 50.0",
        replacement: "calls_per_s = 0.0",
        key: "discovery.calls_per_s",
        problem: "must be 0.1 to 10000 calls per second, found 0",
    },
    InvalidValueCase {
        line: "zone = \"b\"",
        replacement: "zone = \"q\"",
        key: "phases[3].zone",
        problem: "must be a name of `backends.zones` (a, b, c, d, e), found `q`",
    },
    InvalidValueCase {
        line: "per_s = 10.0",
        replacement: "per_s = nan",
        key: "phases[2].per_s",
        problem: "must be above 0 and at most 200 changes per second, found NaN",
    },
    InvalidValueCase {
        line: "seconds = 1.0",
        replacement: "seconds = 0.0",
        key: "phases[0].seconds",
        problem: "must be above 0 and at most 3600 seconds, found 0",
    },
    InvalidValueCase {
        line: "connections = 40",
        replacement: "connections = 256",
        key: "phases[9].connections",
        problem: "must be 4 or more, and below 256 (`limits.sockets`), found 256",
    },
];

#[test]
fn invalid_value_error_names_key_range_and_value() {
    for case in INVALID_VALUES {
        assert_eq!(
            error_with(case.line, case.replacement),
            (case.key.to_owned(), case.problem.to_owned())
        );
    }
}

#[test]
fn memory_limit_range_shrinks_with_the_number_of_processes() {
    let text =
        SMALL
            .replacen("real = 2", "real = 40", 1)
            .replacen("memory_mb = 64", "memory_mb = 282", 1);
    let error = parse(&text)
        .expect_err("40 times 282 MB exceeds the total of 11 GiB")
        .to_string();
    assert!(
        error.contains("must be 32 to 281 MB with 40 real processes, found 282"),
        "{error}"
    );
}

#[test]
fn unknown_keys_and_phase_kinds_are_rejected() {
    let (key, problem) = error_with("hollow = 5", "hollow = 5\nhollows = 5");
    assert_eq!(key, "processes.hollows");
    assert!(problem.contains("unknown field"), "{problem}");
    let (key, problem) = error_with("kind = \"rest\"", "kind = \"sleep\"");
    assert!(key.starts_with("phases"), "{key}");
    assert!(problem.contains("`idle_connections`"), "{problem}");
    let (_, problem) = error_with("per_s = 10.0", "per_s = 5.0\nzone = \"a\"");
    assert!(problem.contains("unknown field `zone`"), "{problem}");
    assert_eq!(error_with("[load]", "[load").0, "(syntax)");
}

#[test]
fn propagation_figure_counts_proxies_with_the_same_or_a_newer_revision() {
    let tracker = PropagationTracker::new(4);
    assert!(tracker.take().is_none(), "no change was recorded");
    let made_at = Instant::now()
        .checked_sub(Duration::from_secs(1))
        .expect("the machine has been up for a second");
    tracker.record_change(2, made_at);
    tracker.record_change(3, made_at);
    tracker.record_revision(0, 1);
    tracker.record_revision(0, 2);
    tracker.record_revision(1, 3);
    tracker.record_revision(1, 2);
    assert_eq!(
        (
            tracker.proxies_with_revision(2),
            tracker.proxies_with_revision(3)
        ),
        (2, 1)
    );
    let figures = tracker.take().expect("two changes were recorded");
    assert_eq!((figures.changes, figures.reached_all), (2, 0));
    let half = figures
        .half
        .expect("revision 2 reached half of the proxies");
    assert!(half.median >= 1.0 && half.median == half.max, "{half:?}");
    assert!(figures.p99.is_none() && figures.all.is_none());
    assert!(tracker.take().is_none(), "`take` removed the changes");
}

#[test]
fn change_that_reached_all_proxies_counts_in_every_propagation_figure() {
    let tracker = PropagationTracker::new(3);
    tracker.record_change(1, Instant::now());
    for proxy in 0..3 {
        tracker.record_revision(proxy, 1);
    }
    let figures = tracker.take().expect("a change was recorded");
    assert_eq!(figures.reached_all, 1);
    let max = |quantiles: Option<Quantiles>| quantiles.expect("the change reached all proxies").max;
    assert!(max(figures.half) <= max(figures.p99) && max(figures.p99) <= max(figures.all));
}

#[test]
fn quantiles_return_lower_median_and_maximum() {
    let of = |values: &[f64]| Quantiles::of(values.to_vec()).map(|q| (q.median, q.max));
    assert_eq!(of(&[]), None);
    assert_eq!(of(&[3.0, 1.0, 2.0]), Some((2.0, 3.0)));
    assert_eq!(of(&[4.0, 1.0, 2.0, 3.0]), Some((2.0, 4.0)));
}

#[test]
fn slope_matches_the_least_squares_line() {
    assert!((slope(&[(0.0, 5.0), (1.0, 7.0), (2.0, 9.0)]) - 2.0).abs() < 1e-9);
    assert_eq!(slope(&[(1.0, 5.0), (1.0, 7.0)]), 0.0);
}

#[test]
fn revision_is_parsed_from_the_start_of_a_list() {
    assert_eq!(
        parse_revision(br#"{"revision":41,"complete":true"#),
        Some(41)
    );
    assert_eq!(
        parse_revision(br#"{"complete":false,"revision": 7}"#),
        Some(7)
    );
    assert_eq!(parse_revision(b"{}"), None);
    assert_eq!(parse_revision(br#"{"revision":"41"}"#), None);
}

/// Makes the schedule of proxy 3 of the target scenario in a discovery mode.
fn schedule(mode: &str) -> CallSchedule {
    let scenario = TARGET.replace("mode = \"ask\"", &format!("mode = \"{mode}\""));
    let scenario = parse(&scenario).expect("live-target.toml is valid in both modes");
    let json = settings(&scenario, 3).to_string();
    let settings = parse_settings(json.as_bytes()).expect("the lab's settings can be parsed");
    CallSchedule::new(settings, 1).expect("the lab's settings are valid")
}

#[test]
fn polled_discovery_spreads_first_calls_and_backs_off_after_failures() {
    // The balancer limits its delays so that a queued call can still be answered in time.
    const MAX_DELAY: Duration = Duration::from_millis(2_500);
    let mut polled = schedule("ask");
    let first: Vec<Duration> = (0..50).map(|_| polled.initial_delay()).collect();
    assert!(first.iter().all(|&delay| delay <= MAX_DELAY), "{first:?}");
    assert!(first.iter().max() > first.iter().min());
    for failures in 0..10_u32 {
        let delay = polled.retry_delay();
        let min_delay = Duration::from_millis(125) * (1 << failures.min(3));
        assert!(
            delay >= min_delay && delay <= MAX_DELAY,
            "{failures} failures: {delay:?}"
        );
    }
    let continued = polled.watch_timing(WatchPhase::Continued);
    assert!(continued.long_poll_timeout > Duration::from_secs(4));
    assert!(continued.call_timeout > continued.long_poll_timeout);
    let opening = polled.watch_timing(WatchPhase::Opening);
    assert!(
        opening.long_poll_timeout < continued.long_poll_timeout,
        "a call that opens a watch has a shorter long-poll timeout"
    );
}

#[test]
fn pushed_discovery_is_called_immediately_and_retried_after_a_constant_delay() {
    let mut pushed = schedule("push");
    assert_eq!(pushed.initial_delay(), Duration::ZERO);
    assert_eq!(pushed.retry_delay(), pushed.retry_delay());
    assert_eq!(
        pushed.watch_timing(WatchPhase::Continued),
        pushed.watch_timing(WatchPhase::Opening)
    );
}

#[test]
fn scenario_keys_stay_unchanged() {
    let scenario = parse(SMALL).expect("live-small.toml is valid");
    let text = serde_json::to_string(&scenario).expect("scenarios can be serialized");
    let head = concat!(
        r#"{"processes":{"real":2,"hollow":5,"start_with_list":false},"#,
        r#""backends":{"listed":50,"answering":4,"others":"shared","#,
        r#""zones":["a","b","c","d","e"],"service_ms":2},"#,
        r#""discovery":{"mode":"ask","calls_per_s":50.0,"turn_timeout_ms":2000,"#,
        r#""notice_ms":20,"ask_within_ms":10000},"#,
        r#""limits":{"memory_mb":64,"sockets":256},"#,
        r#""load":{"requests_per_s":50.0,"direct_per_s":50.0},"phases":["#,
    );
    assert!(text.starts_with(head), "{text}");
    let phases = [
        r#"{"kind":"changes","seconds":1.0,"per_s":10.0,"clients":true}"#,
        r#"{"kind":"zone_loss","seconds":1.0,"zone":"b","absent_s":0.5,"clients":true}"#,
        r#"{"kind":"outage","seconds":1.5,"down_s":0.4,"calls":"reset","clients":false}"#,
        r#"{"kind":"restart","seconds":2.0}"#,
        r#"{"kind":"idle_connections","connections":40}"#,
    ];
    for phase in phases {
        assert!(text.contains(phase), "{phase} in {text}");
    }
}

fn propagation_figures() -> PropagationFigures {
    PropagationFigures {
        changes: 1,
        reached_all: 1,
        half: Quantiles::of(vec![1.0]),
        p99: None,
        all: None,
    }
}

/// Figures of a process with every optional measurement.
fn process_figures() -> ProcessFigures {
    let mut outcomes = RequestOutcomes::default();
    outcomes.latency.record(Duration::from_micros(1));
    outcomes.outside_backend.record(Duration::from_micros(1));
    let step = IdleConnectionStep {
        connections: 0,
        closed: 0,
        resident_kib: 1,
    };
    ProcessFigures {
        pid: 7,
        cores: 0.5,
        resident_kib: 1,
        peak_resident_kib: 1,
        descriptors: 1,
        discovery_bytes_per_s: 1.0,
        discovery_calls: 1,
        known_backends: Some(1),
        requests: Some(RequestFigures::new(&outcomes, Some(&outcomes))),
        idle_connections: Some(IdleConnectionMemory {
            steps: vec![step],
            slope_bytes: 1.0,
            steepest_bytes: 1.0,
        }),
    }
}

fn phase_figures() -> PhaseFigures {
    PhaseFigures {
        kind: "restart",
        clients: false,
        seconds: 1.0,
        processes: vec![process_figures()],
        simulated: SimulatedFigures {
            proxies: 1,
            mean_bytes_per_s: 1.0,
            max_bytes_per_s: 1.0,
            calls: 1,
        },
        direct: None,
        propagation: Some(propagation_figures()),
        restart: Some(RestartFigures {
            processes: 1,
            ended_cleanly: 1,
            serving_in_time: 1,
            ended_after: None,
            serving_after: None,
        }),
        listed_endpoints: 1,
        lab_cores: 0.5,
        lab_timer_lag: Some(LatencyQuantiles {
            p50_us: 1,
            p99_us: 1,
            max_us: 1,
        }),
        load_average: None,
    }
}

#[test]
fn result_keys_stay_unchanged() {
    let latency = r#"{"p50_us":1,"p99_us":1,"max_us":1}"#;
    let spread = concat!(
        r#"{"changes":1,"known_to_all":1,"half":{"median":1.0,"max":1.0},"#,
        r#""p99":null,"all":null}"#,
    );
    let expected = [
        r#"{"load_average_before":null,"start_up":{"median":1.0,"max":1.0},"start_spread":"#,
        spread,
        r#","phases":[{"kind":"restart","clients":false,"seconds":1.0,"processes":["#,
        r#"{"pid":7,"cores":0.5,"resident_kib":1,"peak_resident_kib":1,"descriptors":1,"#,
        r#""discovery_bytes_per_s":1.0,"discovery_calls":1,"known_backends":1,"requests":"#,
        r#"{"counts":{"sent":0,"served":0,"refused":0,"failed":0,"broken":0,"late":0},"#,
        r#""latency":"#,
        latency,
        r#","outside":"#,
        latency,
        r#","added":{"p50_us":0,"p99_us":0}},"#,
        r#""idle":{"steps":[{"connections":0,"closed":0,"resident_kib":1}],"#,
        r#""slope_bytes":1.0,"steepest_bytes":1.0}}],"#,
        r#""hollow":{"proxies":1,"mean_bytes_per_s":1.0,"most_bytes_per_s":1.0,"calls":1},"#,
        r#""direct":null,"spread":"#,
        spread,
        r#","restart":{"processes":1,"ended_cleanly":1,"up_in_time":1,"ended_after":null,"#,
        r#""up_after":null},"listed":1,"lab_cores":0.5,"lab_timers_late":"#,
        latency,
        r#","load_average":null}]}"#,
    ];
    let figures = LiveFigures {
        load_average_before: None,
        startup_durations: Quantiles::of(vec![1.0]),
        start_propagation: Some(propagation_figures()),
        phases: vec![phase_figures()],
    };
    let text = serde_json::to_string(&figures).expect("figures can be serialized");
    assert_eq!(text, expected.concat());
}
