//! The forms of a request in HTTP/1.1: which are understood, and which are rejected.

use crate::rig::*;
use std::io::Read;
use std::sync::mpsc::channel;
use std::time::Instant;

#[test]
fn malformed_requests_get_a_plain_4xx_and_do_no_harm() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start(
        "nonsense",
        &discovery,
        &[endpoint("s-1", backend.address, "active", 0)],
    );
    let good = request("submit", "7", "x");
    let cases = [
        ("\x01\x02 nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("/submit", "/nothing"), 400),
        (
            good.replace("X-Service-Class: submit", "X-Service-Class: read"),
            400,
        ),
        (good.replace("X-Correlation-Id: 7\r\n", ""), 400),
        (good.replace("X-Time-Left-Ms: 15000\r\n", ""), 400),
        (good.replace("15000", "-5"), 400),
        (good.replace("15000", "99999999999999999999999"), 400),
        (good.replace("Idempotency-Key: 7\r\n", ""), 400),
        (good.replace("POST", "GET"), 405),
        // Numbers that backends may parse otherwise, and headers of which they may read the other one.
        (good.replace("15000", "+480"), 400),
        (good.replace("15000", " "), 400),
        (good.replace("15000", "480, 15000"), 400),
        (
            good.replace(
                "X-Time-Left-Ms: 15000\r\n",
                "X-Time-Left-Ms: 480\r\nX-Time-Left-Ms: 15000\r\n",
            ),
            400,
        ),
        (
            good.replace(
                "X-Correlation-Id: 7\r\n",
                "X-Correlation-Id: 7\r\nX-Correlation-Id: 8\r\n",
            ),
            400,
        ),
        (
            good.replace(
                "Idempotency-Key: 7\r\n",
                "Idempotency-Key: 7\r\nIdempotency-Key: 7\r\n",
            ),
            400,
        ),
        (good.replace("Content-Length: 1", "Content-Length: +1"), 400),
        (good.replace("Content-Length: 1", "Content-Length: -1"), 400),
        (
            good.replace(
                "Content-Length: 1",
                "Content-Length: 1\r\nContent-Length: 2",
            ),
            400,
        ),
        (
            good.replace(
                "Content-Length: 1",
                "Content-Length: 99999999999999999999999",
            ),
            400,
        ),
        // It is rejected before a byte of its body has come.
        (
            good.replace(
                "Content-Length: 1\r\n\r\nx",
                "Content-Length: 60000000\r\n\r\n",
            ),
            413,
        ),
    ];
    for (text, status) in cases {
        let line = text.lines().next().unwrap_or_default().to_owned();
        let mut client = proxy.client();
        assert_eq!(client.exchange(&text).status(), status, "{line}");
        assert!(
            client.ends_cleanly(),
            "what follows a malformed request may be a part of it: {line}"
        );
    }
    assert_eq!(backend.further_requests(), 0);
    assert_eq!(proxy.client().exchange(&good).status(), 200);
}

/// Each form that a client may use, and the response.
#[test]
fn every_form_of_a_request_is_understood() {
    let discovery = Discovery::start();
    let backend = Backend::start(|received| ok(&String::from_utf8_lossy(&received.body)));
    let proxy = Proxy::start(
        "forms",
        &discovery,
        &[endpoint("s-1", backend.address, "active", 0)],
    );
    let post = |id: &str, fields: &str, body: &str| {
        request("submit", id, "").replace("Content-Length: 0\r\n", fields) + body
    };
    let encoded = "Transfer-Encoding: chunked\r\n";
    let cases = [
        (
            "chunked",
            post("1", encoded, "4\r\nbody\r\n0\r\n\r\n"),
            "200 body",
        ),
        (
            "chunk extensions",
            post(
                "2",
                encoded,
                "2;a=b;c=\"d\"\r\nbo\r\n002 \r\ndy\r\n0;z\r\n\r\n",
            ),
            "200 body",
        ),
        (
            "trailers",
            post(
                "3",
                encoded,
                "4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",
            ),
            "200 body",
        ),
        (
            "a bad chunk size",
            post("4", encoded, "zz\r\nbody\r\n0\r\n\r\n"),
            "400 ",
        ),
        (
            "a bad chunk end",
            post("5", encoded, "2\r\nbody\r\n0\r\n\r\n"),
            "400 ",
        ),
        (
            "absolute form",
            request("submit", "6", "body").replace("/submit", "http://app.svc/submit"),
            "200 body",
        ),
        (
            "another case",
            post("7", "content-LENGTH: 4\r\n", "body"),
            "200 body",
        ),
        (
            "empty lines ahead",
            format!("\r\n\r\n{}", request("submit", "8", "body")),
            "200 body",
        ),
        (
            "obsolete folding",
            post("9", "X-Odd: a\r\n b\r\nContent-Length: 4\r\n", "body"),
            "400 ",
        ),
        (
            "a space in a name",
            post("10", "X-Odd : a\r\nContent-Length: 4\r\n", "body"),
            "400 ",
        ),
        (
            "HTTP/1.0",
            request("submit", "11", "body").replace("HTTP/1.1", "HTTP/1.0"),
            "200 body",
        ),
        (
            "an encoding in HTTP/1.0",
            post("12", encoded, "4\r\nbody\r\n0\r\n\r\n").replace("HTTP/1.1", "HTTP/1.0"),
            "400 ",
        ),
        (
            "a version to come",
            request("submit", "13", "body").replace("HTTP/1.1", "HTTP/2.7"),
            "400 ",
        ),
        (
            "CONNECT",
            "CONNECT app.svc:80 HTTP/1.1\r\nHost: app.svc\r\n\r\n".to_owned(),
            "400 ",
        ),
        (
            "OPTIONS *",
            "OPTIONS * HTTP/1.1\r\nHost: app.svc\r\n\r\n".to_owned(),
            "400 ",
        ),
    ];
    for (form, text, wanted) in cases {
        let got = proxy.client().exchange(&text);
        let got = format!(
            "{} {}",
            got.status(),
            if got.status() == 200 {
                String::from_utf8_lossy(&got.body).into_owned()
            } else {
                String::new()
            }
        );
        assert_eq!(got, wanted, "{form}");
    }
    let absolute = backend
        .requests
        .try_iter()
        .find(|received| received.header("x-correlation-id") == Some("6"));
    let absolute = absolute.expect("it was sent on");
    assert_eq!(
        (absolute.first_line(), absolute.header("host")),
        ("POST /submit?key=7f3a HTTP/1.1", Some("app.svc"))
    );
}

/// A backend that reads the length finds another request in the body of the first.
#[test]
fn a_request_with_a_length_and_an_encoding_is_rejected_with_all_that_follows() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start(
        "smuggled",
        &discovery,
        &[endpoint("s-1", backend.address, "active", 0)],
    );
    let hidden = request("charge", "hidden", "x");
    let body = format!("0\r\n\r\n{hidden}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let encoding = "Transfer-Encoding: chunked\r\n";
    let hidden_coding = "Transfer-Encoding: gzip, chunked\r\n".to_owned();
    for fields in [
        format!("{length}{encoding}"),
        format!("{encoding}{length}"),
        length.repeat(2),
        hidden_coding,
    ] {
        let mut client = proxy.client();
        let head = request("charge", "outer", "").replace("Content-Length: 0\r\n", &fields);
        let got = client.exchange(&format!("{head}{body}"));
        assert!((400..500).contains(&got.status()), "{}", got.head);
        assert!(client.ends_cleanly());
    }
    assert_eq!(proxy.client().exchange(UP).status(), 200);
    assert_eq!(backend.further_requests(), 0);
}

#[test]
fn a_second_request_with_the_id_of_an_open_one_is_rejected() {
    let discovery = Discovery::start();
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let backend = Backend::start(move |_| match signal.take() {
        Some(signal) => Reply::After(signal, Box::new(ok("first"))),
        None => ok("later"),
    });
    let proxy = Proxy::start(
        "same-id",
        &discovery,
        &[endpoint("s-1", backend.address, "active", 0)],
    );
    let mut first = proxy.client();
    first.send(&request("charge", "1", "x"));
    backend.next_request();
    assert_eq!(
        proxy
            .client()
            .exchange(&request("charge", "1", "x"))
            .status(),
        409
    );
    assert_eq!(backend.further_requests(), 0);
    release.send(()).expect("the backend waits");
    assert_eq!(first.receive().body, b"first");
    assert_eq!(
        proxy.client().exchange(&request("charge", "1", "x")).body,
        b"later",
        "the id is free again"
    );
}

/// These clients must get an end within 3 s. The time is checked loosely for the sake of busy machines.
#[test]
fn silent_and_partial_requests_end_with_an_error_or_a_close() {
    let discovery = Discovery::start();
    let proxy = Proxy::start("half", &discovery, &[]);
    let good = request("charge", "1", "body");
    let began = Instant::now();
    let halves = ["", "P", &good[..40], &good[..good.len() - 2]].map(|half| {
        let mut client = proxy.client();
        client.send(half);
        client
    });
    let mut asked = proxy.client();
    assert_eq!(asked.exchange(UP).status(), 200);
    for mut client in halves {
        let mut rest = Vec::new();
        client.reader.read_to_end(&mut rest).expect("no reset");
        assert!(
            rest.is_empty() || rest.starts_with(b"HTTP/1.1 408 "),
            "{}",
            String::from_utf8_lossy(&rest)
        );
    }
    assert!(
        asked.ends_cleanly(),
        "a connection that is kept and not used"
    );
    assert!(began.elapsed() < TEST_TIMEOUT / 3, "{:?}", began.elapsed());
}
