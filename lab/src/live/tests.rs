//! Tests of the parts of `live` that need no process.

use super::hollow::{CallSchedule, revision_in};
use super::idle::slope;
use super::proxy_config::settings;
use super::scenario::LiveScenario;
use super::spread::{Quantiles, SpreadTracker};
use crate::error::LabError;
use std::path::Path;
use std::time::{Duration, Instant};
use tillerproxy::simulator::parse_settings;

const SMALL: &str = include_str!("../../scenarios/live-small.toml");
const TARGET: &str = include_str!("../../scenarios/live-target.toml");

fn parse(text: &str) -> Result<LiveScenario, LabError> {
    crate::scenario::parse(text, Path::new("live.toml"))
}

/// Key and problem of the error that the small scenario gives with one line replaced.
fn error_with(line: &str, replacement: &str) -> (String, String) {
    assert!(SMALL.contains(line), "{line}");
    match parse(&SMALL.replacen(line, replacement, 1)) {
        Err(LabError::Scenario { key, problem, .. }) => (key, problem),
        other => panic!("{replacement}: {other:?}"),
    }
}

#[test]
fn scenarios_that_come_with_the_lab_can_be_played() {
    assert_eq!(parse(SMALL).expect("a scenario").proxies(), 7);
    let target = parse(TARGET).expect("a scenario");
    assert_eq!((target.proxies(), target.backends.listed), (710, 6_000));
}

#[test]
fn figures_that_make_no_sense_are_named_with_what_is_allowed() {
    let cases = [
        (
            "real = 2",
            "real = 41",
            "processes.real",
            "must be 1 to 40 processes",
        ),
        (
            "real = 2",
            "real = 0",
            "processes.real",
            "must be 1 to 40 processes",
        ),
        (
            "hollow = 5",
            "hollow = 709",
            "processes.hollow",
            "must be 0 to 708 beside 2 real ones",
        ),
        (
            "memory_mb = 64",
            "memory_mb = 6000",
            "limits.memory_mb",
            "must be 32 to 4096 MB with 2 real processes",
        ),
        (
            "sockets = 256",
            "sockets = 16",
            "limits.sockets",
            "must be 128 to 16384 descriptors",
        ),
        (
            "listed = 50",
            "listed = 0",
            "backends.listed",
            "must be 1 to 20000 entries",
        ),
        (
            "answering = 4",
            "answering = 51",
            "backends.answering",
            "must be 1 to 50 backends",
        ),
        (
            "calls_per_s = 50.0",
            "calls_per_s = 0.0",
            "discovery.calls_per_s",
            "must be 0.1 to 10000 calls a second",
        ),
        (
            "zone = \"b\"",
            "zone = \"q\"",
            "phases[3].zone",
            "must be a name of `backends.zones`: a, b, c, d, e",
        ),
        (
            "per_s = 10.0",
            "per_s = nan",
            "phases[2].per_s",
            "must be changes a second, above 0 and at most 200",
        ),
        (
            "seconds = 1.0",
            "seconds = 0.0",
            "phases[0].seconds",
            "must be seconds, above 0 and at most 3600",
        ),
        (
            "connections = 40",
            "connections = 256",
            "phases[9].connections",
            "must be 4 or more, and under `limits.sockets`",
        ),
    ];
    for (line, replacement, key, problem) in cases {
        assert_eq!(
            error_with(line, replacement),
            (key.to_owned(), problem.to_owned())
        );
    }
}

#[test]
fn memory_of_all_processes_together_is_bounded() {
    let text =
        SMALL
            .replacen("real = 2", "real = 40", 1)
            .replacen("memory_mb = 64", "memory_mb = 282", 1);
    let error = parse(&text).expect_err("40 times 282 MB").to_string();
    assert!(
        error.contains("must be 32 to 281 MB with 40 real processes"),
        "{error}"
    );
}

#[test]
fn unknown_keys_and_kinds_are_errors() {
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
fn a_change_is_known_to_half_once_so_many_hold_it_or_a_newer_one() {
    let tracker = SpreadTracker::new(4);
    assert!(tracker.take().is_none(), "nothing has changed");
    let made = Instant::now()
        .checked_sub(Duration::from_secs(1))
        .expect("a time");
    tracker.changed(2, made);
    tracker.changed(3, made);
    tracker.holds(0, 1);
    tracker.holds(0, 2);
    tracker.holds(1, 3);
    tracker.holds(1, 2);
    assert_eq!((tracker.holders(2), tracker.holders(3)), (2, 1));
    let figures = tracker.take().expect("two changes");
    assert_eq!((figures.changes, figures.known_to_all), (2, 0));
    let half = figures.half.expect("one change");
    assert!(half.median >= 1.0 && half.median == half.max, "{half:?}");
    assert!(figures.p99.is_none() && figures.all.is_none());
    assert!(tracker.take().is_none(), "they are forgotten");
}

#[test]
fn a_change_that_all_hold_counts_for_every_figure() {
    let tracker = SpreadTracker::new(3);
    tracker.changed(1, Instant::now());
    (0..3).for_each(|proxy| tracker.holds(proxy, 1));
    let figures = tracker.take().expect("a change");
    assert_eq!(figures.known_to_all, 1);
    let max = |quantiles: Option<Quantiles>| quantiles.expect("a figure").max;
    assert!(max(figures.half) <= max(figures.p99) && max(figures.p99) <= max(figures.all));
}

#[test]
fn quantiles_are_values_that_were_given() {
    let of = |values: &[f64]| Quantiles::of(values.to_vec()).map(|q| (q.median, q.max));
    assert_eq!(of(&[]), None);
    assert_eq!(of(&[3.0, 1.0, 2.0]), Some((2.0, 3.0)));
    assert_eq!(of(&[4.0, 1.0, 2.0, 3.0]), Some((2.0, 4.0)));
}

#[test]
fn the_slope_is_that_of_the_line_through_the_points() {
    assert!((slope(&[(0.0, 5.0), (1.0, 7.0), (2.0, 9.0)]) - 2.0).abs() < 1e-9);
    assert_eq!(slope(&[(1.0, 5.0), (1.0, 7.0)]), 0.0);
}

#[test]
fn the_revision_is_read_from_the_start_of_a_list() {
    assert_eq!(revision_in(br#"{"revision":41,"complete":true"#), Some(41));
    assert_eq!(revision_in(br#"{"complete":false,"revision": 7}"#), Some(7));
    assert_eq!(revision_in(b"{}"), None);
    assert_eq!(revision_in(br#"{"revision":"41"}"#), None);
}

fn schedule(mode: &str) -> CallSchedule {
    let scenario = TARGET.replace("mode = \"ask\"", &format!("mode = \"{mode}\""));
    let settings = settings(&parse(&scenario).expect("a scenario"), 3).to_string();
    CallSchedule::new(
        parse_settings(settings.as_bytes()).expect("good settings"),
        1,
    )
    .expect("good settings")
}

#[test]
fn calls_of_a_fleet_are_spread_where_discovery_is_asked() {
    // The decision module leaves a call that waits for its turn the time to be answered.
    const LONGEST: Duration = Duration::from_millis(2_500);
    let mut asked = schedule("ask");
    let first: Vec<Duration> = (0..50).map(|_| asked.first()).collect();
    assert!(first.iter().all(|&pause| pause <= LONGEST), "{first:?}");
    assert!(first.iter().max() > first.iter().min());
    for failures in 0..10_u32 {
        let pause = asked.after_failure();
        let least = Duration::from_millis(125) * (1 << failures.min(3));
        assert!(
            pause >= least && pause <= LONGEST,
            "{failures} failures: {pause:?}"
        );
    }
    let continued = asked.watch(true);
    assert!(continued.long_poll_timeout > Duration::from_secs(4));
    assert!(continued.call_timeout > continued.long_poll_timeout);
    assert!(
        asked.watch(false).long_poll_timeout < continued.long_poll_timeout,
        "a call that begins a watch waits less"
    );
}

#[test]
fn calls_come_at_once_where_discovery_is_pushed() {
    let mut pushed = schedule("push");
    assert_eq!(pushed.first(), Duration::ZERO);
    assert_eq!(pushed.after_failure(), pushed.after_failure());
    assert_eq!(pushed.watch(true), pushed.watch(false));
}
