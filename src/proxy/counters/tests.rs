use super::*;

/// Returns the lines of the text format that hold values.
fn value_lines(counters: &Counters) -> Vec<String> {
    let text = counters.render(4, 1);
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_metric_is_present_from_the_start() {
    let counters = Counters::new(&["read".into(), "odd\"\\name".into()]);
    assert_eq!(
        value_lines(&counters),
        [
            r#"app_handled{category="read",outcome="passed"} 0"#,
            r#"app_handled{category="read",outcome="dropped"} 0"#,
            r#"app_handled{category="read",outcome="bad_gateway"} 0"#,
            r#"app_handled{category="odd\"\\name",outcome="passed"} 0"#,
            r#"app_handled{category="odd\"\\name",outcome="dropped"} 0"#,
            r#"app_handled{category="odd\"\\name",outcome="bad_gateway"} 0"#,
            "app_upstream_tries 0",
            "app_in_progress 0",
            "app_cut_off_responses 0",
            "app_known_backends 4",
            "app_skipped_backends 1",
        ]
    );
    let text = counters.render(0, 0);
    for name in [
        "handled",
        "upstream_tries",
        "in_progress",
        "cut_off_responses",
        "known_backends",
        "skipped_backends",
    ] {
        let types = text
            .lines()
            .filter(|l| l.starts_with(&format!("# TYPE app_{name} ")))
            .count();
        assert_eq!(types, 1, "{name}");
    }
    assert!(text.ends_with('\n'));
}

#[test]
fn a_request_is_in_progress_until_it_ends_and_is_then_counted_once() {
    let counters = Counters::new(&["read".into()]);
    let passed_dropped_failed_in_progress = || {
        let lines = value_lines(&counters);
        [0, 1, 2, 4].map(|index: usize| {
            let (_, value) = lines[index]
                .rsplit_once(' ')
                .expect("each line ends with its value");
            value.parse::<u64>().expect("all values are whole numbers")
        })
    };
    let guards: Vec<_> = (0..4)
        .map(|_| counters.begin_request(ClassIndex(0)))
        .collect();
    assert_eq!(passed_dropped_failed_in_progress(), [0, 0, 0, 4]);
    guards[0].set_outcome(RequestOutcome::Served);
    guards[0].set_outcome(RequestOutcome::Failed);
    guards[1].set_outcome(RequestOutcome::Rejected);
    guards[2].set_outcome(RequestOutcome::Served);
    assert_eq!(passed_dropped_failed_in_progress(), [0, 0, 0, 4]);
    drop(guards);
    assert_eq!(
        passed_dropped_failed_in_progress(),
        [1, 1, 1, 0],
        "the fourth request has no outcome, because its client disconnected"
    );
}
