//! The log: its filter, its format and the events of one request.

use crate::rig::*;
use serde_json::Value;
use std::process::Stdio;

/// Starts a proxy with these environment variables for its log.
fn start_with_log_options(name: &str, discovery: &Discovery, variables: &[(&str, &str)]) -> Proxy {
    let mut command = proxy_command(name, &config(name, discovery).to_string());
    command.envs(variables.iter().copied());
    Proxy::start_with_command(name, command)
}

#[test]
fn the_events_of_a_request_can_be_found_by_its_correlation_id() {
    let discovery = Discovery::start();
    let failing = Backend::start(|_| Reply::Write(response("500 No", "", b"")));
    let variables = [
        ("EDGE_LOG", "info,tillerproxy::request=debug"),
        ("EDGE_LOG_FORMAT", "json"),
    ];
    let mut proxy = start_with_log_options("log-events", &discovery, &variables);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", failing.address)]);
    while proxy.status_of(HEALTH_CHECK) != 200 {}
    assert_eq!(proxy.status_of(&request("charge", "9b1f03aa", "x")), 502);
    proxy.terminate();
    let log = proxy.rest_of_log();
    let lines: Vec<Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).expect("each log line is JSON"))
        .collect();
    let received = lines
        .iter()
        .find(|line| line["correlation_id"] == "9b1f03aa")
        .expect("the log has the correlation id of the request");
    let events: Vec<&str> = lines
        .iter()
        .filter(|line| line["request"] == received["request"])
        .map(|line| {
            line["message"]
                .as_str()
                .expect("each log line has a message")
        })
        .collect();
    assert_eq!(
        events,
        ["received", "attempt started", "attempt ended", "answered"]
    );
    let answered = lines
        .iter()
        .find(|line| line["message"] == "answered")
        .expect("the log has the answer to the request");
    assert_eq!(answered["answer"], "failed");
}

#[test]
fn a_reload_sets_the_log_filter_and_a_reload_without_one_restores_the_filter_of_the_start() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let mut proxy = start_with_log_options("log-reload", &discovery, &[("EDGE_LOG", "info")]);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    while proxy.status_of(HEALTH_CHECK) != 200 {}
    let without_filter = config("log-reload", &discovery);
    let mut verbose = without_filter.clone();
    verbose["log"] = serde_json::json!({"filter": "info,tillerproxy::request=debug"});
    for (id, configuration) in [
        ("quiet", None),
        ("loud", Some(&verbose)),
        ("again", Some(&without_filter)),
    ] {
        if let Some(configuration) = configuration {
            proxy.reload(&configuration.to_string());
            proxy.wait_for_log("configuration reloaded");
        }
        assert_eq!(proxy.status_of(&request("submit", id, "x")), 200);
        if id == "loud" {
            proxy.wait_for_log("correlation_id=\"loud\"");
        }
    }
    proxy.terminate();
    let rest = proxy.rest_of_log();
    assert!(!rest.contains("correlation_id"), "{rest}");
}

#[test]
fn an_invalid_log_option_fails_the_start_with_one_line_on_standard_error() {
    let discovery = Discovery::start();
    let start = |configuration: &Value, variable: Option<(&str, &str)>| {
        let mut command = proxy_command("log-invalid", &configuration.to_string());
        command.envs(variable).stdin(Stdio::null());
        let output = command
            .output()
            .expect("the proxy's program can be executed");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8(output.stderr).expect("standard error is UTF-8 text");
        assert_eq!(text.lines().count(), 1, "{text}");
        text
    };
    let plain = config("log-invalid", &discovery);
    let text = start(&plain, Some(("EDGE_LOG_FORMAT", "xml")));
    assert!(
        text.contains("EDGE_LOG_FORMAT: `xml` must be `text` or `json`"),
        "{text}"
    );
    let mut invalid = plain.clone();
    invalid["log"] = serde_json::json!({"filter": "tillerproxy=loud"});
    let text = start(&invalid, None);
    assert!(
        text.contains("`log.filter`: `tillerproxy=loud` must be a level or `TARGET=LEVEL` pairs"),
        "{text}"
    );
}
