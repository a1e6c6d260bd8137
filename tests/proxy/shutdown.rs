//! Graceful shutdown: open requests, and requests that arrive during the shutdown, are answered before the process
//! ends.

use crate::rig::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn open_requests_and_requests_that_arrive_after_sigterm_are_served() {
    let discovery = Discovery::start();
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let backend = Backend::start(move |received| match received.header("x-correlation-id") {
        Some("1") => Reply::After(
            signal.take().expect("a single request has the id 1"),
            Box::new(ok("taken before")),
        ),
        _ => ok("other"),
    });
    let mut proxy = Proxy::start_with_backend("sigterm", &discovery, backend.address);
    let mut idle = proxy.client();
    let mut before = proxy.client();
    assert_eq!(idle.exchange(HEALTH_CHECK).status(), 200);
    before.send(&request("read", "1", ""));
    backend.next_request();
    proxy.terminate();
    // The health check fails once the signal has arrived. Connections are still accepted.
    while proxy.status_of(HEALTH_CHECK) == 200 {}
    let late = proxy.client().exchange(HEALTH_CHECK);
    assert_eq!(late.header("connection"), Some("close"));
    assert!(
        idle.ends_cleanly(),
        "an idle connection is closed without a reset"
    );
    release
        .send(())
        .expect("the backend waits for the signal to respond");
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

/// The proxy may hold a single connection, and a second one waits with its request in the listen backlog. After
/// SIGTERM, the first connection is the only one that keeps the process alive, until it ends.
#[test]
fn a_request_in_the_listen_backlog_is_served_before_the_process_ends() {
    let discovery = Discovery::start();
    let (backend, release) = backend_that_holds_first_request("first", "queued");
    let mut config = config("queued", &discovery);
    config["limits"]["memory_mb"] = 0.into();
    let mut proxy = Proxy::start_with_config("queued", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let mut first = proxy.client();
    first.send(&request("charge", "1", "x"));
    backend.next_request();
    let mut queued = proxy.client();
    queued.send(&request("charge", "2", "x"));
    proxy.terminate();
    // After the signal, connections are accepted for a minimum time. The end of that time cannot be observed from
    // outside.
    thread::sleep(Duration::from_millis(1_200));
    release
        .send(())
        .expect("the backend waits for the signal to respond");
    assert_eq!(first.receive().body, b"first");
    drop(first);
    assert_eq!(queued.receive().body, b"queued");
    drop(queued);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// The process is suspended until the minimum time for which it accepts connections has passed, and a connection with a
/// request waits when it resumes.
#[test]
fn a_request_that_arrives_while_the_process_is_suspended_is_served_before_it_ends() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let endpoints = [active_endpoint("s-1", backend.address)];
    let mut proxy = loop {
        let mut proxy = Proxy::start("suspended", &discovery, &endpoints);
        proxy.terminate();
        while proxy.status_of(HEALTH_CHECK) == 200 {}
        proxy.suspend();
        // Repeats the test with a new process if a delay of the test has let the process end.
        if proxy
            .child
            .try_wait()
            .expect("the process is a child of the test")
            .is_none()
        {
            break proxy;
        }
    };
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    // The end of the minimum time cannot be observed from outside.
    thread::sleep(Duration::from_millis(1_500));
    proxy.resume();
    assert_eq!(client.receive().body, b"there");
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// The client reads nothing until SIGTERM, so most of the response is still buffered. The response starts either
/// before the signal, or after it with `Connection: close`.
#[test]
fn a_response_that_is_read_only_after_sigterm_is_complete_before_the_process_ends() {
    const LENGTH: usize = 8 << 20;
    let body: Vec<u8> = (0..LENGTH).map(|i| (i / 7) as u8).collect();
    for starts_after_signal in [false, true] {
        let discovery = Discovery::start();
        let (release, signal) = channel();
        let mut reply = Some(Reply::After(
            signal,
            Box::new(Reply::Write(response("200 OK", "", &body))),
        ));
        let backend =
            Backend::start(move |_| reply.take().expect("the backend receives a single request"));
        let name = format!("read-late-{starts_after_signal}");
        let mut proxy = Proxy::start_with_backend(&name, &discovery, backend.address);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        backend.next_request();
        let start_response = || {
            release
                .send(())
                .expect("the backend waits for the signal to respond");
            assert_eq!(
                client.stream.peek(&mut [0]).expect("the response starts"),
                1
            );
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

/// The platform may kill the process this long after SIGTERM, whatever the deadlines of its requests are.
const KILL_TIMEOUT: Duration = Duration::from_millis(3_700);

/// SIGTERM arrives twice with SIGHUP in between, the backend hangs, one connection is idle, and one body is incomplete.
#[test]
fn requests_after_sigterm_are_answered_before_the_kill_timeout() {
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
    assert_eq!(
        proxy.status_of(HEALTH_CHECK),
        200,
        "the proxy has read all earlier input"
    );
    let began = Instant::now();
    proxy.terminate();
    proxy.reload("{");
    proxy.terminate();
    while proxy.status_of(HEALTH_CHECK) == 200 {}
    late.send(&request("charge", "late", "x"));
    thread::sleep(Duration::from_millis(1_000));
    incomplete.send(last_part);
    for client in [&mut late, &mut incomplete] {
        assert_eq!(
            client.receive().status(),
            502,
            "the request may have been executed"
        );
    }
    assert!(
        began.elapsed() < KILL_TIMEOUT,
        "answered {:?} after SIGTERM",
        began.elapsed()
    );
    assert!(idle.ends_cleanly());
    drop((idle, incomplete, late));
    assert_eq!(proxy.wait().code(), Some(0));
    assert!(began.elapsed() < KILL_TIMEOUT);
}

/// Guards against requests with long bodies that arrive during a shutdown and are not answered before the process is
/// killed, because their timeouts are longer than that: one whose head arrives before SIGTERM, and one after it.
#[test]
fn a_long_body_that_arrives_during_a_shutdown_is_answered_before_the_kill_timeout() {
    const PIECES: usize = 8;
    const PIECE_BYTES: usize = 512 << 10;
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Hang);
    let mut proxy = Proxy::start_with_backend("long-body-killed", &discovery, backend.address);
    let size = format!("Content-Length: {}\r\n\r\n", PIECES * PIECE_BYTES);
    let head = |id: &str| request("charge", id, "").replace("Content-Length: 0\r\n\r\n", &size);
    let piece = "x".repeat(PIECE_BYTES);
    let mut early = proxy.client();
    let mut late = proxy.client();
    early.send(&head("early"));
    early.send(&piece.repeat(5));
    assert_eq!(
        proxy.status_of(HEALTH_CHECK),
        200,
        "the proxy has read all earlier input"
    );
    let began = Instant::now();
    proxy.terminate();
    while proxy.status_of(HEALTH_CHECK) == 200 {}
    late.send(&head("late"));
    late.send(&piece.repeat(5));
    for _ in 5..PIECES {
        thread::sleep(Duration::from_millis(700));
        early.send(&piece);
        late.send(&piece);
    }
    for client in [&mut early, &mut late] {
        assert_eq!(
            client.receive().status(),
            502,
            "the request may have been executed"
        );
    }
    assert!(
        began.elapsed() < KILL_TIMEOUT,
        "answered {:?} after SIGTERM",
        began.elapsed()
    );
    drop((early, late));
    assert_eq!(proxy.wait().code(), Some(0));
}

#[test]
fn sigterm_before_the_first_endpoint_list_ends_the_process_cleanly() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start_without_endpoints("unready", &discovery);
    proxy.terminate();
    let rejected = proxy
        .client()
        .exchange(&request_with_timeout("read", "1", "", 300));
    assert_eq!(rejected.status(), 503);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// Guards against responses that were cut off when the process ended by itself, although their backends still gave them
/// and their clients still read them.
#[test]
fn responses_in_progress_are_completed_after_the_drain_before_the_process_ends() {
    const TIMEOUT: Duration = Duration::from_millis(500);
    /// The end of the drain: the longest timeout and half a second.
    const DRAIN_TIME: Duration = Duration::from_millis(1_000);
    const LENGTH: usize = 3 << 20;
    let body = patterned_body(LENGTH);
    for (name, fields, is_shared) in [
        (
            "long-length",
            format!("Content-Length: {LENGTH}\r\n"),
            false,
        ),
        ("long-close", "Connection: close\r\n".to_owned(), false),
        ("long-upgrade", "Connection: close\r\n".to_owned(), true),
    ] {
        let discovery = Discovery::start();
        let (release, signal) = channel();
        let mut signal = Some(signal);
        let (first, rest) = body.split_at(LENGTH / 2);
        let (first, rest) = (first.to_vec(), rest.to_vec());
        let backend = Backend::start(move |received| {
            if received.header("x-correlation-id") != Some("paused-backend") {
                let all = [first.as_slice(), rest.as_slice()].concat();
                let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes();
                return Reply::WriteAndClose([head, all].concat());
            }
            let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes();
            Reply::WriteThenWait {
                bytes: [head, first.clone()].concat(),
                signal: signal.take().expect("the request is sent once"),
                next: Box::new(Reply::WriteAndClose(rest.clone())),
            }
        });
        let mut config = config(name, &discovery);
        for class in 0..3 {
            config["settings"]["classes"][class]["deadlineUs"] =
                (TIMEOUT.as_micros() as u64).into();
            config["settings"]["classes"][class]["aimUs"] = 400_000.into();
        }
        let (listener, address) = bind_listener("127.0.0.1:0");
        let mut proxy = if is_shared {
            start_with_listener(name, &config, &listener)
        } else {
            Proxy::start_with_config(name, config)
        };
        let address = if is_shared { address } else { proxy.address };
        discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
        let mut waits_for_backend = Client::connect(address);
        let mut reads_late = Client::connect(address);
        for (client, id) in [
            (&mut waits_for_backend, "paused-backend"),
            (&mut reads_late, "paused-client"),
        ] {
            client.send(&request("charge", id, "x"));
            assert_eq!(
                client.stream.peek(&mut [0]).expect("the response starts"),
                1
            );
        }
        proxy.terminate();
        // The end of the drain cannot be observed from outside before it has passed.
        thread::sleep(DRAIN_TIME + Duration::from_millis(500));
        if !is_shared {
            assert!(
                std::net::TcpStream::connect(address).is_err(),
                "{name}: new clients are refused after the drain"
            );
        }
        release.send(()).expect("the backend waits for the signal");
        for client in [&mut waits_for_backend, &mut reads_late] {
            let got = client.receive();
            assert!(
                got.status() == 200 && got.body == body,
                "{name}: {} bytes",
                got.body.len()
            );
        }
        assert_eq!(proxy.wait().code(), Some(0));
    }
}

/// Guards against requests that are sent at once and lost, because the first response after SIGTERM closed their
/// connection.
#[test]
fn requests_that_were_sent_at_once_are_all_answered_after_sigterm() {
    const WORK: Duration = Duration::from_millis(100);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Later(WORK, Box::new(ok("there"))));
    let mut proxy = Proxy::start_with_backend("sent-at-once", &discovery, backend.address);
    let mut client = proxy.client();
    let requests: String = (0..5)
        .map(|number| request("charge", &number.to_string(), "x"))
        .collect();
    client.send(&requests);
    backend.next_request();
    proxy.terminate();
    for number in 0..5 {
        let got = client.receive();
        assert_eq!(got.body, b"there", "request {number}");
        let closes = got.header("connection") == Some("close");
        assert_eq!(closes, number == 4, "request {number}");
    }
    assert!(client.ends_cleanly());
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
}
