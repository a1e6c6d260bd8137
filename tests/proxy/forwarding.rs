//! Forwarding: the request that a backend receives, the response that a client receives, and the client's connection.

use crate::rig::*;
use serde_json::json;
use std::io::Write;
use std::sync::mpsc::channel;
use std::thread;

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Write(response("200 OK", "", b"\x00\xffbody\r\n\r\n")));
    let proxy = Proxy::start_with_backend("unchanged", &discovery, backend.address);
    let got = proxy
        .client()
        .exchange(&request("submit", "5c0f", "some body"));
    assert_eq!(
        (got.status(), got.body.as_slice()),
        (200, b"\x00\xffbody\r\n\r\n".as_slice())
    );
    let received = backend.next_request();
    assert_eq!(received.first_line(), "POST /submit?key=7f3a HTTP/1.1");
    assert_eq!(received.header("x-correlation-id"), Some("5c0f"));
    assert_eq!(received.header("idempotency-key"), Some("5c0f"));
    assert_eq!(received.body, b"some body");
    let remaining_ms: u64 = received
        .header("x-time-left-ms")
        .expect("a forwarded request has the remaining time")
        .parse()
        .expect("the remaining time is a number of milliseconds");
    assert!(
        remaining_ms < 15_000,
        "the proxy passes on less than the timeout of the client, not {remaining_ms} ms"
    );
}

#[test]
fn a_connection_serves_one_request_after_another() {
    let discovery = Discovery::start();
    let backend = Backend::start(|received| {
        ok(received
            .header("x-correlation-id")
            .expect("a forwarded request has a correlation id"))
    });
    let proxy = Proxy::start_with_backend("kept", &discovery, backend.address);
    let mut client = proxy.client();
    for id in ["a", "b", "c"] {
        let got = client.exchange(&request("read", id, ""));
        assert_eq!((got.status(), got.body.as_slice()), (200, id.as_bytes()));
    }
}

/// A class has the path of the health check as its name, and a tenant has a name with letters beyond ASCII.
#[test]
fn classes_and_tenants_of_any_name_are_served() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("run"));
    let mut config = config("names", &discovery);
    config["settings"]["classes"][2]["name"] = "up".into();
    config["settings"]["tenants"] = json!([
        {"name": "plain", "allowancePerS": 9.0},
        {"name": "Ñañez-Ltda", "allowancePerS": 9.0},
    ]);
    let proxy = Proxy::start_with_config("names", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let mut client = proxy.client();
    for (id, account) in [("1", "plain"), ("2", "Ñañez-Ltda")] {
        let with_account =
            request("up", id, "x").replace("Host:", &format!("X-Account: {account}\r\nHost:"));
        assert_eq!(client.exchange(&with_account).body, b"run", "{account}");
        assert_eq!(
            backend.next_request().first_line(),
            "POST /up?key=7f3a HTTP/1.1"
        );
    }
    assert_eq!(client.exchange(HEALTH_CHECK).body, b"up\n");
}

#[test]
fn a_client_connection_is_kept_or_closed_by_version_and_connection_header() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start_with_backend("kept-or-closed", &discovery, backend.address);
    let keep = "Connection: keep-alive\r\nHost";
    let close = "Connection: foo, Close\r\nHost";
    for (number, (version, fields, kept)) in [
        ("HTTP/1.1", "Host", true),
        ("HTTP/1.1", close, false),
        ("HTTP/1.0", "Host", false),
        ("HTTP/1.0", keep, true),
    ]
    .into_iter()
    .enumerate()
    {
        let mut client = proxy.client();
        let text = |id: &str| {
            request("submit", &format!("{number}-{id}"), "x")
                .replace("HTTP/1.1", version)
                .replacen("Host", fields, 1)
        };
        assert_eq!(
            client.exchange(&text("1")).status(),
            200,
            "{version} {fields}"
        );
        if kept {
            assert_eq!(
                client.exchange(&text("2")).status(),
                200,
                "{version} {fields}"
            );
        } else {
            assert!(client.ends_cleanly(), "{version} {fields}");
        }
    }
}

#[test]
fn a_client_that_expects_100_continue_receives_it() {
    let discovery = Discovery::start();
    let backend = Backend::start(|received| {
        assert_eq!(received.header("expect"), None);
        ok(&String::from_utf8_lossy(&received.body))
    });
    let proxy = Proxy::start_with_backend("expect", &discovery, backend.address);
    let mut client = proxy.client();
    client.send(&request("submit", "1", "").replace(
        "Content-Length: 0",
        "Expect: 100-continue\r\nContent-Length: 4",
    ));
    assert_eq!(client.receive().status(), 100);
    assert_eq!(client.exchange("body").body, b"body");
}

/// A slow client is served as long as it keeps sending.
#[test]
fn a_request_in_small_pieces_is_served() {
    let discovery = Discovery::start();
    let backend = Backend::start(|received| ok(&received.body.len().to_string()));
    let proxy = Proxy::start_with_backend("pieces", &discovery, backend.address);
    let mut client = proxy.client();
    client
        .stream
        .set_nodelay(true)
        .expect("the socket supports TCP_NODELAY");
    let text = request("submit", "1", &"x".repeat(3_000));
    for piece in text.as_bytes().chunks(7) {
        client
            .stream
            .write_all(piece)
            .expect("the proxy reads the request");
    }
    assert_eq!(client.receive().body, b"3000");
}

#[test]
fn pipelined_requests_get_their_responses_in_order() {
    let discovery = Discovery::start();
    let backend = Backend::start(|received| {
        ok(received
            .header("x-correlation-id")
            .expect("a forwarded request has a correlation id"))
    });
    let proxy = Proxy::start_with_backend("pipelined", &discovery, backend.address);
    let mut client = proxy.client();
    let ambiguous = request("submit", "4", "").replace(
        "Content-Length: 0",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
    );
    let all = ["1", "2", "3"]
        .map(|id| request("submit", id, "x"))
        .concat()
        + HEALTH_CHECK
        + &ambiguous
        + "0\r\n\r\n"
        + &request("submit", "5", "x");
    client.send(&all);
    for id in ["1", "2", "3"] {
        assert_eq!(client.receive().body, id.as_bytes());
    }
    assert_eq!(client.receive().status(), 200);
    assert_eq!(
        client.receive().status(),
        400,
        "a request with ambiguous framing is rejected"
    );
    assert!(
        client.ends_cleanly(),
        "nothing after the ambiguous request is read"
    );
    assert_eq!(backend.requests.try_iter().count(), 3);
}

/// The client sends more bytes after an open request than the proxy reads ahead.
#[test]
fn requests_pipelined_after_an_open_one_are_served_in_order() {
    const PIPELINED_COUNT: usize = 60;
    const BODY_LENGTH: usize = 60_000;
    let discovery = Discovery::start();
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let backend = Backend::start(move |received| {
        let echo = ok(&String::from_utf8_lossy(&received.body));
        match signal.take() {
            Some(signal) => Reply::After(signal, Box::new(echo)),
            None => echo,
        }
    });
    let proxy = Proxy::start_with_backend("in-order", &discovery, backend.address);
    let mut client = proxy.client();
    client.send(&request("charge", "open", "first"));
    backend.next_request();
    let mut stream = client
        .stream
        .try_clone()
        .expect("the test has a free descriptor");
    let body = |i: usize| format!("{i:06}").repeat(BODY_LENGTH / 6);
    let sending = thread::spawn(move || {
        for i in 0..PIPELINED_COUNT {
            stream.write_all(request("charge", &format!("further-{i}"), &body(i)).as_bytes())?;
        }
        Ok::<_, std::io::Error>(())
    });
    // When 20 health checks on other connections have been answered, the proxy's read-ahead buffer for this client is
    // full.
    for _ in 0..20 {
        proxy.client().exchange(HEALTH_CHECK);
    }
    release
        .send(())
        .expect("the backend waits for the signal to respond");
    assert_eq!(client.receive().body, b"first");
    for i in 0..PIPELINED_COUNT {
        let got = client.receive();
        assert!(
            got.status() == 200 && got.body == body(i).as_bytes(),
            "request {i}: {}",
            got.status()
        );
    }
    sending
        .join()
        .expect("the sender has not panicked")
        .expect("the proxy reads all requests");
}
