//! Retries: after which failures a request is sent to another backend, and with which remaining time.

use crate::rig::*;
use std::io::{BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_non_idempotent_request_is_retried_after_a_503_only_if_x_unprocessed_is_1() {
    for (field, status, attempts) in [
        ("X-Unprocessed: 1\r\n", 503, 2),
        ("", 502, 1),
        ("X-Unprocessed: 0\r\n", 502, 1),
    ] {
        let discovery = Discovery::start();
        let reject =
            move |_: &Message| Reply::Write(response("503 Service Unavailable", field, b""));
        let first = Backend::start(reject);
        let second = Backend::start(reject);
        let endpoints = [
            active_endpoint("s-1", first.address),
            active_endpoint("s-2", second.address),
        ];
        let proxy = Proxy::start(
            &format!("mark-{status}-{}", field.len()),
            &discovery,
            &endpoints,
        );
        let got = proxy.client().exchange(&request("charge", "1", "x"));
        assert_eq!(
            (got.status(), first.take_requests() + second.take_requests()),
            (status, attempts),
            "with the header field `{field}`"
        );
    }
}

#[test]
fn a_non_idempotent_request_is_retried_after_a_refused_connect() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let unreachable = address_without_listener("127.77.0.2");
    let endpoints = [
        active_endpoint("s-1", unreachable),
        active_endpoint("s-2", backend.address),
    ];
    let proxy = Proxy::start("unreachable", &discovery, &endpoints);
    for id in ["1", "2", "3"] {
        assert_eq!(proxy.status_of(&request("charge", id, "x")), 200);
    }
}

/// The time for which a backend deduplicates a key.
const KEY_TTL: Duration = Duration::from_millis(600);

/// The TTL of the key counts from the first attempt that may have been executed, and ends before the connection of the
/// second attempt is established. After that, a rejection would be wrong as well, because it allows the client to
/// retry.
#[test]
fn a_keyed_request_is_not_retried_after_its_key_may_have_expired() {
    for group in ["cell", "all"] {
        let discovery = Discovery::start();
        let (closing, release) = backend_that_closes_on_signal();
        let late = FullBacklog::start();
        let name = format!("window-{group}");
        let mut config = config(&name, &discovery);
        config["settings"]["classes"][1]["keyTtlUs"] = (KEY_TTL.as_micros() as u64).into();
        config["settings"]["classes"][1]["group"] = group.into();
        let proxy = Proxy::start_with_config(&name, config);
        discovery.publish_and_wait(true, &[active_endpoint("s-1", closing.address)]);
        let mut client = proxy.client();
        client.send(&request("submit", "keyed", "x"));
        closing.next_request();
        discovery.publish_and_wait(false, &[active_endpoint("s-2", late.address)]);
        release
            .send(())
            .expect("the backend waits for the signal to close the connection");
        // The key expires before the second backend accepts a connection.
        thread::sleep(KEY_TTL);
        assert_eq!(serve_and_collect_ids(late.accept_pending()), [""; 0]);
        assert_eq!(
            client.receive().status(),
            502,
            "the request may have been executed and must not be retried"
        );
    }
}

/// The first attempt and the connect of the second one each take a part of the client's timeout.
#[test]
fn a_retry_announces_at_most_the_remaining_time_to_its_backend() {
    const ATTEMPT_DURATION: Duration = Duration::from_millis(400);
    const CLIENT_TIMEOUT: Duration = Duration::from_millis(15_000);
    let discovery = Discovery::start();
    let (closing, release) = backend_that_closes_on_signal();
    let late = FullBacklog::start();
    let proxy = Proxy::start_with_backend("time-left", &discovery, closing.address);
    let mut client = proxy.client();
    let sent_at = Instant::now();
    client.send(&request("read", "slow", ""));
    closing.next_request();
    discovery.publish_and_wait(true, &[active_endpoint("s-2", late.address)]);
    thread::sleep(ATTEMPT_DURATION);
    release
        .send(())
        .expect("the backend waits for the signal to close the connection");
    thread::sleep(ATTEMPT_DURATION);
    let listener = late.accept_pending();
    let (mut stream, _) = listener
        .accept()
        .expect("the proxy connects for the second attempt");
    let received = read_message(&mut BufReader::new(&stream))
        .expect("the second attempt is a complete request");
    let remaining = CLIENT_TIMEOUT.saturating_sub(sent_at.elapsed());
    stream
        .write_all(&response("200 OK", "", b"there"))
        .expect("the proxy reads the response");
    assert_eq!(client.receive().body, b"there");
    let timeout_ms = received
        .header("x-time-left-ms")
        .expect("a forwarded request has the remaining time");
    let sent_timeout = Duration::from_millis(
        timeout_ms
            .parse()
            .expect("the remaining time is a number of milliseconds"),
    );
    assert!(
        sent_timeout <= remaining + Duration::from_millis(300),
        "{sent_timeout:?} sent, {remaining:?} remaining"
    );
    assert!(
        sent_timeout + Duration::from_secs(4) > remaining,
        "{sent_timeout:?} sent, {remaining:?} remaining"
    );
}

/// Guards against requests that ran twice because their id came again: after the client had left while the first attempt was
/// still in progress, or after the request had been served.
#[test]
fn a_request_whose_id_comes_again_does_not_run_a_second_time() {
    const WORK: Duration = Duration::from_millis(600);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Later(WORK, Box::new(ok("there"))));
    let proxy = Proxy::start_with_backend("repeated-id", &discovery, backend.address);
    for class in ["charge", "submit"] {
        let id = format!("again-{class}");
        let mut first = proxy.client();
        first.send(&request(class, &id, "x"));
        let _ = backend.next_request();
        drop(first);
        // The id comes again while the attempt is in progress, and after it has ended.
        for pause in [Duration::from_millis(100), 2 * WORK] {
            thread::sleep(pause);
            assert_eq!(proxy.status_of(&request(class, &id, "x")), 409, "{class}");
        }
        let served = format!("served-{class}");
        assert_eq!(proxy.status_of(&request(class, &served, "x")), 200);
        assert_eq!(proxy.status_of(&request(class, &served, "x")), 409);
        assert_eq!(backend.take_requests(), 1, "{class}");
    }
    // An idempotent request may run again, but not while an attempt is in progress.
    let mut first = proxy.client();
    first.send(&request("read", "again-read", ""));
    let _ = backend.next_request();
    drop(first);
    assert_eq!(proxy.status_of(&request("read", "again-read", "")), 409);
    thread::sleep(2 * WORK);
    assert_eq!(proxy.status_of(&request("read", "again-read", "")), 200);
}

/// Guards against a request that ran twice because its id came again at the other process of an upgrade.
#[test]
fn a_request_whose_id_comes_again_at_the_other_process_of_an_upgrade_does_not_run_a_second_time() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let (listener, address) = bind_listener("127.0.0.1:0");
    let config = config_with_operator("upgraded-id", &discovery);
    let old = start_with_listener("upgraded-id", &config, &listener);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let charge = request("charge", "upgraded", "x");
    assert_eq!(Client::connect(address).exchange(&charge).status(), 200);
    let new = start_with_listener("upgraded-id-new", &config, &listener);
    while new.operator_call("GET", "/control/ready").status() != 200 {}
    old.terminate();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(Client::connect(address).exchange(&charge).status(), 409);
    assert_eq!(backend.take_requests(), 1);
}
