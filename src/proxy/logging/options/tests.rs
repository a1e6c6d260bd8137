use super::*;
use tracing::Level;

/// Returns the options that result from these environment variables.
fn options(set: &[(&str, &str)]) -> Result<LogOptions, LogOptionsError> {
    let set: Vec<(String, String)> = set
        .iter()
        .map(|&(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    LogOptions::from_env(|name| {
        set.iter()
            .find(|(variable, _)| variable == name)
            .map(|(_, value)| value.clone())
    })
}

#[test]
fn options_that_are_not_set_or_empty_keep_their_defaults() {
    let options = options(&[("EDGE_LOG", ""), ("EDGE_LOG_FORMAT", "json")])
        .expect("an empty filter and the format json are valid");
    assert_eq!(
        (options.format, options.lines_per_second),
        (LogFormat::Json, DEFAULT_LINES_PER_SECOND)
    );
    assert!(options.filter.would_enable("tillerproxy", &Level::INFO));
    assert!(!options.filter.would_enable("tillerproxy", &Level::DEBUG));
}

#[test]
fn a_filter_sets_levels_by_target() {
    let options = options(&[("EDGE_LOG", "warn,tillerproxy::request=debug")])
        .expect("levels by target are a valid filter");
    assert!(
        options
            .filter
            .would_enable("tillerproxy::request", &Level::DEBUG)
    );
    assert!(
        !options
            .filter
            .would_enable("tillerproxy::proxy::driver", &Level::INFO)
    );
}

#[test]
fn an_invalid_variable_is_reported_with_its_value_and_the_allowed_values() {
    for (name, value, problem) in [
        (
            "EDGE_LOG",
            "tillerproxy=loud",
            "must be a level or `TARGET=LEVEL` pairs separated by commas: ",
        ),
        ("EDGE_LOG_FORMAT", "xml", "must be `text` or `json`"),
        ("EDGE_LOG_LINES_PER_SECOND", "0", "must be above 0"),
        (
            "EDGE_LOG_LINES_PER_SECOND",
            "many",
            "must be a whole number from 1 to 4294967295",
        ),
    ] {
        let error = options(&[(name, value)])
            .expect_err("the value is invalid")
            .to_string();
        assert!(
            error.starts_with(&format!("{name}: `{value}` {problem}")),
            "{error}"
        );
    }
}
