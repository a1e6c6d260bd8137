//! Operator calls, metrics, the drain of a proxy and the takeover by a new process.

use crate::rig::*;
use std::io::Read;
use std::sync::mpsc::{Sender, channel};

const READY: &str = "/control/ready";
const COUNTERS: &str = "/control/counters";
const OUT_OF_SERVICE: &str = "/control/out-of-service";
const IN_SERVICE: &str = "/control/in-service";

/// Starts a backend that holds the request with this id until a signal and then answers with the id. It fails the
/// request with the id `bad` and answers all others at once.
fn backend_that_holds_request(id: &'static str) -> (Backend, Sender<()>) {
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let backend = Backend::start(move |received| match received.header("x-correlation-id") {
        Some("bad") => Reply::Write(response("500 Internal Server Error", "", b"")),
        Some(other) if other == id => Reply::After(
            signal
                .take()
                .expect("the backend receives a single request with this id"),
            Box::new(ok(id)),
        ),
        _ => ok("fine"),
    });
    (backend, release)
}

#[test]
fn operator_calls_are_answered_before_the_proxy_is_ready() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start_with_config("calls", config_with_operator("calls", &discovery));
    assert_eq!(proxy.operator_call("GET", READY).status(), 503);
    assert_eq!(proxy.metric("app_known_backends"), 0);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    assert_eq!(proxy.operator_call("GET", READY).status(), 200);
    let mut head = proxy.operator_client();
    head.send("HEAD /control/ready HTTP/1.1\r\n\r\n");
    let mut text = String::new();
    head.reader
        .read_to_string(&mut text)
        .expect("the response is UTF-8 text");
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.ends_with("\r\n\r\n"),
        "the response to HEAD has no body: {text}"
    );
    let metrics = proxy.operator_call("GET", COUNTERS);
    assert!(
        metrics
            .header("content-type")
            .is_some_and(|media_type| media_type.starts_with("text/plain; version=0.0.4"))
    );
    for class in ["read", "submit", "charge"] {
        for outcome in ["passed", "dropped", "bad_gateway"] {
            assert_eq!(
                proxy.handled_requests(class, outcome),
                0,
                "{class} {outcome}"
            );
        }
    }
}

#[test]
fn malformed_operator_calls_are_rejected_without_effect() {
    let discovery = Discovery::start();
    let proxy = Proxy::start_with_config(
        "malformed-calls",
        config_with_operator("malformed-calls", &discovery),
    );
    discovery.publish_and_wait(true, &[]);
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000));
    let body = "POST /control/out-of-service HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
    let both =
        "POST /control/out-of-service HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n";
    let cases = [
        ("GET /control/nothing HTTP/1.1\r\n\r\n", 404, None),
        ("GET /up HTTP/1.1\r\n\r\n", 404, None),
        (
            "GET /control/out-of-service HTTP/1.1\r\n\r\n",
            405,
            Some("POST"),
        ),
        (
            "POST /control/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
            405,
            Some("GET, HEAD"),
        ),
        ("nonsense\r\n\r\n", 400, None),
        (body, 413, None),
        (both, 400, None),
        (&long, 431, None),
    ];
    for (text, status, allow) in cases {
        let mut client = proxy.operator_client();
        let got = client.exchange(text);
        assert_eq!(
            (got.status(), got.header("allow")),
            (status, allow),
            "{}",
            &text[..40.min(text.len())]
        );
        assert!(client.ends_cleanly());
    }
    let fields: String = (0..400)
        .map(|n| format!("X-{n}: {}\r\n", "y".repeat(40)))
        .collect();
    assert_eq!(
        proxy
            .operator_client()
            .exchange(&format!("GET {READY} HTTP/1.1\r\n{fields}\r\n"))
            .status(),
        431
    );
    assert_eq!(proxy.operator_call("GET", READY).status(), 200);
}

/// More operators connect than the proxy serves at the same time.
#[test]
fn silent_and_incomplete_operator_calls_do_not_delay_others() {
    let discovery = Discovery::start();
    let proxy = Proxy::start_with_config(
        "silent-calls",
        config_with_operator("silent-calls", &discovery),
    );
    discovery.publish_and_wait(true, &[]);
    let incomplete_calls = [
        "",
        "GET /contr",
        "POST /control/out-of-service HTTP/1.1\r\nContent-Length: 4\r\n\r\nab",
    ];
    let mut waiting: Vec<Client> = Vec::new();
    for n in 0..60 {
        let mut client = proxy.operator_client();
        client.send(incomplete_calls[n % incomplete_calls.len()]);
        waiting.push(client);
        assert_eq!(
            proxy.operator_call("GET", READY).status(),
            200,
            "an incomplete call changes nothing"
        );
    }
    // The proxy closes each of these connections after a time.
    for client in &mut waiting {
        client
            .reader
            .get_ref()
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is not zero");
        while !matches!(client.reader.read(&mut [0; 256]), Ok(0) | Err(_)) {}
    }
}

/// Clients hold all connections that the proxy accepts from them, and more clients wait in the listen backlog.
#[test]
fn operator_calls_are_answered_while_clients_hold_every_connection() {
    let discovery = Discovery::start();
    let (backend, _releases) = backend_that_holds_initial_limit();
    let mut config = config_with_operator("crowded-calls", &discovery);
    config["limits"]["sockets"] = 90.into();
    let proxy = Proxy::start_with_config("crowded-calls", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let _busy = saturate(&proxy, &backend);
    let _idle_clients: Vec<Client> = (0..100)
        .map(|i| {
            let mut client = proxy.client();
            client.send(if i % 2 == 0 { "" } else { "POST /cha" });
            client
        })
        .collect();
    assert_eq!(proxy.operator_call("GET", READY).status(), 200);
    assert_eq!(proxy.metric("app_in_progress"), 2);
    assert_eq!(
        proxy.status_of(HEALTH_CHECK),
        200,
        "an idle connection is closed to admit a client that sends a request"
    );
}

#[test]
fn metrics_count_attempts_outcomes_and_requests_in_progress() {
    let discovery = Discovery::start();
    let (backend, release) = backend_that_holds_request("wait");
    let proxy = Proxy::start_with_config("metrics", config_with_operator("metrics", &discovery));
    let draining = endpoint("s-2", backend.address, "leaving", 0);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address), draining]);
    assert_eq!(
        (
            proxy.metric("app_known_backends"),
            proxy.metric("app_skipped_backends")
        ),
        (2, 1)
    );
    let mut client = proxy.client();
    for id in ["1", "2", "3"] {
        assert_eq!(client.exchange(&request("submit", id, "x")).status(), 200);
    }
    assert_eq!(
        client.exchange(&request("charge", "bad", "x")).status(),
        502
    );
    assert_eq!(
        proxy.status_of(&request("charge", "", "x")),
        400,
        "a malformed request is not counted"
    );
    let mut waiting = proxy.client();
    waiting.send(&request("charge", "wait", "x"));
    for _ in 0..5 {
        backend.next_request();
    }
    assert_eq!(proxy.metric("app_in_progress"), 1);
    assert_eq!(
        proxy.metric("app_upstream_tries"),
        5,
        "an attempt without a response counts too"
    );
    assert_eq!(
        (
            proxy.handled_requests("submit", "passed"),
            proxy.handled_requests("charge", "passed"),
        ),
        (3, 0)
    );
    assert_eq!(proxy.handled_requests("charge", "bad_gateway"), 1);
    release
        .send(())
        .expect("the backend waits for the signal to respond");
    assert_eq!(waiting.receive().status(), 200);
    assert_eq!(
        (
            proxy.handled_requests("charge", "passed"),
            proxy.metric("app_in_progress")
        ),
        (1, 0)
    );
}

#[test]
fn metrics_count_a_rejected_request_and_stop_counting_one_whose_client_disconnected() {
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let mut config = config_with_operator("rejected-metric", &discovery);
    config["settings"]["classes"][1]["deadlineUs"] = 10_000_000.into();
    let proxy = Proxy::start_with_config("rejected-metric", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let clients = saturate(&proxy, &backend);
    let short = request_with_timeout("submit", "1", "x", 300);
    assert_eq!(proxy.status_of(&short), 503);
    assert_eq!(proxy.handled_requests("submit", "dropped"), 1);
    assert_eq!(proxy.metric("app_in_progress"), clients.len() as u64);
    drop(clients);
    while proxy.metric("app_in_progress") > 0 {}
    drop(releases);
}

#[test]
fn a_proxy_out_of_service_answers_requests_and_closes_their_connections() {
    let discovery = Discovery::start();
    let (backend, release) = backend_that_holds_request("held");
    let proxy = Proxy::start_with_config("drained", config_with_operator("drained", &discovery));
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let mut idle = proxy.client();
    let mut used = proxy.client();
    let mut busy = proxy.client();
    for (client, id) in [(&mut idle, "i"), (&mut used, "u")] {
        assert_eq!(client.exchange(&request("submit", id, "x")).status(), 200);
    }
    busy.send(&request("charge", "held", "x"));
    for _ in 0..3 {
        backend.next_request();
    }
    for _ in 0..2 {
        assert_eq!(proxy.operator_call("POST", OUT_OF_SERVICE).status(), 200);
        assert_eq!(
            (
                proxy.status_of(HEALTH_CHECK),
                proxy.operator_call("GET", READY).status()
            ),
            (503, 503)
        );
    }
    let mut new_client = proxy.client();
    for (client, id) in [(&mut used, "u2"), (&mut new_client, "n")] {
        let got = client.exchange(&request("submit", id, "x"));
        assert_eq!(
            (got.status(), got.header("connection")),
            (200, Some("close"))
        );
        assert!(client.ends_cleanly());
    }
    assert!(
        idle.ends_cleanly(),
        "an idle connection is closed without a reset"
    );
    release
        .send(())
        .expect("the backend waits for the signal to respond");
    assert_eq!(busy.receive().body, b"held");
    assert!(busy.ends_cleanly());
    for _ in 0..2 {
        assert_eq!(proxy.operator_call("POST", IN_SERVICE).status(), 200);
        assert_eq!(
            (
                proxy.status_of(HEALTH_CHECK),
                proxy.operator_call("GET", READY).status()
            ),
            (200, 200)
        );
    }
    let mut client = proxy.client();
    let got = client.exchange(&request("submit", "again", "x"));
    assert_eq!((got.status(), got.header("connection")), (200, None));
    assert_eq!(
        client.exchange(&request("submit", "more", "x")).status(),
        200
    );
}

#[test]
fn a_proxy_that_shuts_down_rejects_a_return_to_service() {
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let mut proxy =
        Proxy::start_with_config("stopping", config_with_operator("stopping", &discovery));
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let clients = saturate(&proxy, &backend);
    assert_eq!(proxy.operator_call("POST", OUT_OF_SERVICE).status(), 200);
    proxy.terminate();
    while proxy.operator_call("POST", IN_SERVICE).status() != 409 {}
    assert_eq!(proxy.status_of(HEALTH_CHECK), 503);
    for release in &releases {
        release
            .send(())
            .expect("the backend waits for the signal to respond");
    }
    for mut client in clients {
        assert_eq!(client.receive().body, b"first");
    }
    assert!(proxy.wait().success());
}

#[test]
fn a_new_process_serves_on_the_listening_socket_that_the_platform_passes_to_it() {
    let discovery = Discovery::start();
    let (backend, release) = backend_that_holds_request("old");
    let (listener, address) = bind_listener("127.0.0.1:0");
    let config = config_with_operator("takeover", &discovery);
    let mut old = start_with_listener("takeover-old", &config, &listener);
    assert_eq!(old.address, address);
    let endpoints = [active_endpoint("s-1", backend.address)];
    discovery.publish_and_wait(true, &endpoints);
    let mut busy = old.client();
    busy.send(&request("charge", "old", "x"));
    backend.next_request();
    let new = start_with_listener("takeover-new", &config, &listener);
    while new.operator_call("GET", READY).status() != 200 {}
    old.terminate();
    while old.operator_call("GET", READY).status() != 503 {}
    // The new process accepts all connections from now on.
    for id in ["a", "b", "c", "d"] {
        assert_eq!(new.status_of(&request("submit", id, "x")), 200);
    }
    assert_eq!(new.handled_requests("submit", "passed"), 4);
    release
        .send(())
        .expect("the backend waits for the signal to respond");
    assert_eq!(busy.receive().body, b"old");
    assert!(old.wait().success());
    assert_eq!(new.status_of(&request("submit", "e", "x")), 200);
}

#[test]
fn an_unusable_address_or_descriptor_fails_the_start_with_one_line_on_standard_error() {
    let discovery = Discovery::start();
    let (_listener, taken_address) = bind_listener("127.0.0.1:0");
    let start = |name: &str, operator: String, fd: Option<&str>| {
        let mut config = config(name, &discovery);
        config["operator"] = operator.into();
        let mut command = proxy_command(name, &config.to_string());
        if let Some(fd) = fd {
            command.env("EDGE_FD", fd);
        }
        let output = command
            .stdin(std::process::Stdio::null())
            .output()
            .expect("the proxy's program can be executed");
        assert!(!output.status.success());
        let text = String::from_utf8(output.stderr).expect("standard error is UTF-8 text");
        assert_eq!(text.lines().count(), 1, "{text}");
        text
    };
    let taken_address = taken_address.to_string();
    assert!(
        start("op-odd", "nowhere".into(), None)
            .contains("`operator` is `nowhere`, but must be an IP address with a port")
    );
    assert!(
        start("op-taken", taken_address.clone(), None)
            .contains(&format!("cannot listen on {taken_address}"))
    );
    for (fd, words) in [
        ("seven", "is `seven`, but must be a descriptor number"),
        ("-1", "is `-1`, but must be a descriptor number"),
        ("77", "names descriptor 77, which cannot be used"),
        (
            "0",
            "names descriptor 0, which is not a listening TCP socket",
        ),
    ] {
        let text = start("fd-odd", "127.0.0.1:0".into(), Some(fd));
        assert!(text.contains("EDGE_FD") && text.contains(words), "{text}");
    }
}
