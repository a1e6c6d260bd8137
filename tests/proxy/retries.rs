//! Retries: after which failures a request is sent to another backend, and with how much time.

use crate::rig::*;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn only_x_unprocessed_shows_that_a_backend_rejected_a_request() {
    for (more, status, attempts) in [
        ("X-Unprocessed: 1\r\n", 503, 2),
        ("", 502, 1),
        ("X-Unprocessed: 0\r\n", 502, 1),
    ] {
        let discovery = Discovery::start();
        let reject =
            move |_: &Message| Reply::Write(response("503 Service Unavailable", more, b""));
        let (one, two) = (Backend::start(reject), Backend::start(reject));
        let members = [
            active_endpoint("s-1", one.address),
            active_endpoint("s-2", two.address),
        ];
        let proxy = Proxy::start(
            &format!("mark-{status}-{}", more.len()),
            &discovery,
            &members,
        );
        let got = proxy.client().exchange(&request("charge", "1", "x"));
        assert_eq!(
            (
                got.status(),
                one.further_requests() + two.further_requests()
            ),
            (status, attempts),
            "with `{more}`"
        );
    }
}

#[test]
fn a_non_idempotent_request_is_retried_where_its_backend_cannot_be_reached() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let nobody = TcpListener::bind("127.77.0.2:0")
        .expect("a port")
        .local_addr()
        .expect("an address");
    let members = [
        active_endpoint("s-1", nobody),
        active_endpoint("s-2", backend.address),
    ];
    let proxy = Proxy::start("unreachable", &discovery, &members);
    for id in ["1", "2", "3"] {
        assert_eq!(proxy.status_of(&request("charge", id, "x")), 200);
    }
}

/// How long backends drop a repeated key.
const KEY_TTL: Duration = Duration::from_millis(600);

/// The time of the key counts from the first attempt that may have run, and ends before the connection of the
/// second comes up. From then on a rejection, which allows the client to retry, would be wrong as well.
#[test]
fn a_keyed_request_is_not_retried_after_its_key_may_have_expired() {
    for group in ["cell", "all"] {
        let discovery = Discovery::start();
        let (release, signal) = channel();
        let mut reply = Some(Reply::After(
            signal,
            Box::new(Reply::WriteAndClose(Vec::new())),
        ));
        let closing = Backend::start(move |_| reply.take().expect("asked once"));
        let late = FullBacklog::start();
        let name = format!("window-{group}");
        let mut config = config(&name, &discovery);
        config["settings"]["classes"][1]["keyTtlUs"] = (KEY_TTL.as_micros() as u64).into();
        config["settings"]["classes"][1]["group"] = group.into();
        let proxy = Proxy::start_with(&name, config);
        discovery.publish_and_wait(true, &[active_endpoint("s-1", closing.address)]);
        let mut client = proxy.client();
        client.send(&request("submit", "keyed", "x"));
        closing.next_request();
        discovery.publish_and_wait(false, &[active_endpoint("s-2", late.address)]);
        release.send(()).expect("the backend waits");
        // This test is about the time: the key expires before the second backend accepts a connection.
        thread::sleep(KEY_TTL);
        assert_eq!(received_ids(late.accept_pending()), [""; 0]);
        assert_eq!(
            client.receive().status(),
            502,
            "it may have run, and is not repeated"
        );
    }
}

/// The first attempt takes some of the client's time, and the second one's connection some more.
#[test]
fn a_retry_sends_its_backend_no_more_than_the_remaining_time() {
    const FIRST_TAKES: Duration = Duration::from_millis(400);
    const TIME_LEFT: Duration = Duration::from_millis(15_000);
    let discovery = Discovery::start();
    let (closing, release) = closes_on_signal();
    let late = FullBacklog::start();
    let proxy = Proxy::start(
        "time-left",
        &discovery,
        &[active_endpoint("s-1", closing.address)],
    );
    let mut client = proxy.client();
    let sent_at = Instant::now();
    client.send(&request("read", "slow", ""));
    closing.next_request();
    discovery.publish_and_wait(true, &[active_endpoint("s-2", late.address)]);
    thread::sleep(FIRST_TAKES);
    release.send(()).expect("the backend waits");
    thread::sleep(FIRST_TAKES);
    let listener = late.accept_pending();
    let (mut stream, _) = listener.accept().expect("the second attempt");
    let received = read_message(&mut BufReader::new(&stream)).expect("a request");
    let left = TIME_LEFT.saturating_sub(sent_at.elapsed());
    stream
        .write_all(&response("200 OK", "", b"there"))
        .expect("the proxy reads");
    assert_eq!(client.receive().body, b"there");
    let time_left: u64 = received
        .header("x-time-left-ms")
        .expect("the time left")
        .parse()
        .expect("a number");
    let time_left = Duration::from_millis(time_left);
    assert!(
        time_left <= left + Duration::from_millis(300),
        "{time_left:?} named, {left:?} left"
    );
    assert!(
        time_left + Duration::from_secs(4) > left,
        "{time_left:?} named, {left:?} left"
    );
}
