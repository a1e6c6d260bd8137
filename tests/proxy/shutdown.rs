//! Graceful shutdown: open requests and those that still arrive are served before the process ends.

use crate::rig::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn at_sigterm_it_finishes_open_requests_and_those_that_still_arrive() {
    let discovery = Discovery::start();
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let one = Backend::start(move |received| match received.header("x-correlation-id") {
        Some("1") => Reply::After(
            signal.take().expect("one request"),
            Box::new(ok("taken before")),
        ),
        _ => ok("still arrives"),
    });
    let mut proxy = Proxy::start_with_backend("sigterm", &discovery, one.address);
    let mut idle = proxy.client();
    let mut before = proxy.client();
    assert_eq!(idle.exchange(HEALTH_CHECK).status(), 200);
    before.send(&request("read", "1", ""));
    one.next_request();
    proxy.terminate();
    // Once /up says so, the signal has arrived; connections are still accepted.
    while proxy.status_of(HEALTH_CHECK) == 200 {}
    let late = proxy.client().exchange(HEALTH_CHECK);
    assert_eq!(late.header("connection"), Some("close"));
    assert!(
        idle.ends_cleanly(),
        "an idle connection is closed, not reset"
    );
    release.send(()).expect("the backend waits");
    let got = before.receive();
    assert_eq!(
        (got.status(), got.body.as_slice()),
        (200, b"taken before".as_slice())
    );
    assert_eq!(got.header("connection"), Some("close"));
    assert!(before.ends_cleanly());
    drop((idle, before));
    assert_eq!(proxy.wait().code(), Some(0));
}

/// The proxy may hold a single connection, and another one waits in the listen backlog with its request. After
/// SIGTERM, the first connection ends when nothing else keeps the process alive.
#[test]
fn a_request_that_waits_to_be_accepted_is_served_before_the_process_ends() {
    let discovery = Discovery::start();
    let (backend, release) = backend_that_holds_first_request("first", "queued");
    let mut config = config("queued", &discovery);
    config["limits"]["memory_mb"] = 0.into();
    let mut proxy = Proxy::start_with("queued", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let mut first = proxy.client();
    first.send(&request("charge", "1", "x"));
    backend.next_request();
    let mut queued = proxy.client();
    queued.send(&request("charge", "2", "x"));
    proxy.terminate();
    // Connections are accepted for a minimum time; its end cannot be observed from outside.
    thread::sleep(Duration::from_millis(1_200));
    release.send(()).expect("the backend waits");
    assert_eq!(first.receive().body, b"first");
    drop(first);
    assert_eq!(queued.receive().body, b"queued");
    drop(queued);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// The process is stopped until the minimum time for which connections are accepted has passed, and one waits
/// then.
#[test]
fn a_request_that_came_while_the_process_was_stopped_is_served_before_it_ends() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let endpoints = [active_endpoint("s-1", backend.address)];
    let mut proxy = loop {
        let mut proxy = Proxy::start("suspended", &discovery, &endpoints);
        proxy.terminate();
        while proxy.status_of(HEALTH_CHECK) == 200 {}
        proxy.suspend();
        // Where the test itself was delayed for so long that the process has ended, it starts again.
        if proxy.child.try_wait().expect("a child").is_none() {
            break proxy;
        }
    };
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    // The end of that time cannot be observed from outside.
    thread::sleep(Duration::from_millis(1_500));
    proxy.resume();
    assert_eq!(client.receive().body, b"there");
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// The client reads nothing until SIGTERM, so most of the response is buffered. The response starts before the signal,
/// or after it and then closes its connection.
#[test]
fn a_response_that_is_read_late_is_complete_before_the_process_ends() {
    const LENGTH: usize = 8 << 20;
    let body: Vec<u8> = (0..LENGTH).map(|i| (i / 7) as u8).collect();
    for starts_after_signal in [false, true] {
        let discovery = Discovery::start();
        let (release, signal) = channel();
        let mut reply = Some(Reply::After(
            signal,
            Box::new(Reply::Write(response("200 OK", "", &body))),
        ));
        let backend = Backend::start(move |_| reply.take().expect("one request"));
        let name = format!("read-late-{starts_after_signal}");
        let mut proxy = Proxy::start_with_backend(&name, &discovery, backend.address);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        backend.next_request();
        let start_response = || {
            release.send(()).expect("the backend waits");
            assert_eq!(client.stream.peek(&mut [0]).expect("it starts"), 1);
        };
        if !starts_after_signal {
            start_response();
        }
        proxy.terminate();
        while proxy.status_of(HEALTH_CHECK) == 200 {}
        if starts_after_signal {
            start_response();
        }
        let got = client.receive();
        assert_eq!(
            (got.status(), got.header("connection")),
            (200, starts_after_signal.then_some("close"))
        );
        assert!(got.body == body, "{} bytes", got.body.len());
        assert!(client.ends_cleanly());
        drop(client);
        assert_eq!(proxy.wait().code(), Some(0));
    }
}

/// The platform may kill the process 3.7 s after the signal, however long the deadlines are.
const KILL_TIMEOUT: Duration = Duration::from_millis(3_700);

/// Signals arrive twice and together, the backend hangs, one connection is idle, one body is incomplete.
#[test]
fn requests_after_sigterm_are_answered_before_the_process_may_be_killed() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Hang);
    let mut proxy = Proxy::start_with_backend("killed", &discovery, backend.address);
    let mut idle = proxy.client();
    let mut incomplete = proxy.client();
    let mut late = proxy.client();
    assert_eq!(late.exchange(HEALTH_CHECK).status(), 200);
    let text = request("charge", "incomplete", "0123456789");
    let (first_part, last_part) = text.split_at(text.len() - 5);
    incomplete.send(first_part);
    assert_eq!(proxy.status_of(HEALTH_CHECK), 200, "earlier input was read");
    let began = Instant::now();
    proxy.terminate();
    proxy.reload("{");
    proxy.terminate();
    while proxy.status_of(HEALTH_CHECK) == 200 {}
    late.send(&request("charge", "late", "x"));
    thread::sleep(Duration::from_millis(1_000));
    incomplete.send(last_part);
    for client in [&mut late, &mut incomplete] {
        assert_eq!(client.receive().status(), 502, "it may have been executed");
    }
    assert!(
        began.elapsed() < KILL_TIMEOUT,
        "after {:?}",
        began.elapsed()
    );
    assert!(idle.ends_cleanly());
    drop((idle, incomplete, late));
    assert_eq!(proxy.wait().code(), Some(0));
    assert!(began.elapsed() < KILL_TIMEOUT);
}

#[test]
fn a_sigterm_before_the_process_can_serve_ends_it_cleanly() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start_without_endpoints("unready", &discovery);
    proxy.terminate();
    let rejected = proxy
        .client()
        .exchange(&request_with_timeout("read", "1", "", 300));
    assert_eq!(rejected.status(), 503);
    assert_eq!(proxy.wait().code(), Some(0));
}
