//! HTTP/1.1: the forms of requests and responses, large bodies and slow peers.

use crate::rig::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const LARGE: usize = 32 << 20;

/// A proxy with little memory and a backend.
fn start_with_little_memory(name: &str, backend: &Backend) -> Proxy {
    let discovery = Discovery::start();
    let mut config = operated(name, &discovery);
    config["limits"]["memory_mb"] = 32.into();
    config["settings"]["permissions"]["secondCopies"] = false.into();
    let proxy = Proxy::start_with(name, config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    proxy
}

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i / 7 + i / 4_099) as u8).collect()
}

#[test]
fn large_responses_are_streamed_through_little_memory_to_slow_clients() {
    let body = pattern(LARGE);
    let answered = answer("200 OK", "", &body);
    let backend = Backend::start(move |_| Reply::Write(answered.clone()));
    let proxy = start_with_little_memory("large-answers", &backend);
    let mut clients: Vec<_> = (0..12)
        .map(|i| {
            let mut client = proxy.client();
            client.send(&request("submit", &format!("l-{i}"), "x"));
            // A response that has started holds no slot any more.
            let mut head = [0; 12];
            client.reader.read_exact(&mut head).expect("it begins");
            assert_eq!(&head, b"HTTP/1.1 200");
            client
        })
        .collect();
    assert_eq!(proxy.figure("app_in_progress"), 12, "until the last byte");
    for client in &mut clients {
        let got = client.receive();
        assert!(got.body == body, "{} bytes", got.body.len());
    }
    assert!(proxy.peak_memory() < 32 << 10, "{} kB", proxy.peak_memory());
    while proxy.figure("app_in_progress") > 0 {}
    assert_eq!(
        proxy.figure("app_handled{category=\"submit\",outcome=\"passed\"}"),
        12
    );
}

#[test]
fn large_bodies_are_streamed_through_little_memory_to_a_backend() {
    let backend = Backend::start(|seen| ok(&seen.body.len().to_string()));
    let proxy = start_with_little_memory("large-bodies", &backend);
    let body = pattern(LARGE);
    let address = proxy.address;
    let senders: Vec<_> = (0..4)
        .map(|i| {
            let body = body.clone();
            thread::spawn(move || {
                let mut stream = std::net::TcpStream::connect(address).expect("it accepts");
                stream
                    .set_read_timeout(Some(TEST_TIMEOUT))
                    .expect("a time-out");
                let head = request("charge", &format!("u-{i}"), "");
                // With a length, and in chunks.
                let fields = if i % 2 == 0 {
                    format!("Content-Length: {LARGE}")
                } else {
                    "Transfer-Encoding: chunked".into()
                };
                stream
                    .write_all(head.replace("Content-Length: 0", &fields).as_bytes())
                    .expect("it reads");
                for piece in body.chunks(100_000) {
                    if i % 2 == 1 {
                        stream
                            .write_all(format!("{:x};odd=\"ext\"\r\n", piece.len()).as_bytes())
                            .expect("it reads");
                    }
                    stream.write_all(piece).expect("it reads");
                    if i % 2 == 1 {
                        stream.write_all(b"\r\n").expect("it reads");
                    }
                }
                if i % 2 == 1 {
                    stream
                        .write_all(b"0\r\nX-Trailer: y\r\n\r\n")
                        .expect("it reads");
                }
                read_message(&mut std::io::BufReader::new(stream)).expect("an answer")
            })
        })
        .collect();
    for sender in senders {
        let got = sender.join().expect("it is sent");
        let room = got.status() == 200 && got.body == LARGE.to_string().as_bytes();
        assert!(room || got.status() == 503, "{} {:?}", got.head, got.body);
    }
    let arrived: Vec<_> = backend.seen.try_iter().collect();
    assert!(!arrived.is_empty() && arrived.iter().all(|seen| seen.body == body));
    assert_eq!(proxy.figure("app_upstream_tries"), arrived.len() as u64);
    assert!(proxy.peak_memory() < 32 << 10, "{} kB", proxy.peak_memory());
}

#[test]
fn the_first_bytes_of_a_large_response_do_not_wait_for_the_last() {
    let body = pattern(200_000);
    for (name, fields) in [
        ("first-length", "Content-Length: 200000\r\n"),
        ("first-close", "Connection: close\r\n"),
    ] {
        let (release, signal) = channel();
        let mut signal = Some(signal);
        let (first, rest) = (body[..100_000].to_vec(), body[100_000..].to_vec());
        let backend = Backend::start(move |_| {
            let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes();
            let rest = Reply::WriteAndClose(rest.clone());
            Reply::Then(
                [head, first.clone()].concat(),
                signal.take().expect("one"),
                Box::new(rest),
            )
        });
        let proxy = start_with_little_memory(name, &backend);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        let mut begun = [0; 15];
        client.reader.read_exact(&mut begun).expect("it begins");
        assert_eq!(&begun, b"HTTP/1.1 200 OK");
        release.send(()).expect("the backend waits");
        assert!(client.receive().body == body);
    }
}

#[test]
fn a_response_that_breaks_off_once_it_has_started_looks_broken() {
    for (name, fields) in [
        ("broken-length", "Content-Length: 200000\r\n"),
        ("broken-chunks", "Transfer-Encoding: chunked\r\n"),
    ] {
        let backend = Backend::start(move |_| {
            let chunk = if fields.starts_with('T') {
                "20000\r\n"
            } else {
                ""
            };
            let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{chunk}");
            Reply::WriteAndClose([head.into_bytes(), pattern(100_000)].concat())
        });
        let proxy = start_with_little_memory(name, &backend);
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let mut client = proxy.client();
            client.send(&request("submit", version, "x").replace("HTTP/1.1", version));
            let mut all = Vec::new();
            let ended = client.reader.read_to_end(&mut all);
            let whole = all.ends_with(b"0\r\n\r\n");
            let text = String::from_utf8_lossy(&all[..300.min(all.len())]).to_lowercase();
            let shows = text.contains("content-length: 200000") || text.contains("chunked");
            assert!(ended.is_err() || (shows && !whole), "{name} {version}");
        }
        assert_eq!(backend.next().header("x-correlation-id"), Some("HTTP/1.1"));
        assert_eq!(backend.next().header("x-correlation-id"), Some("HTTP/1.0"));
        assert_eq!(backend.rest(), 0, "nothing that has begun is sent again");
        let failed = "app_handled{category=\"submit\",outcome=\"bad_gateway\"}";
        while proxy.figure(failed) < 2 {}
    }
}

/// The connection breaks before the last byte, so the request has not run, and its class is idempotent; but what
/// was streamed of its body is not held any more.
#[test]
fn a_partly_streamed_body_is_not_sent_again() {
    let (sender, accepted) = channel();
    let breaker = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = breaker.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in breaker.incoming() {
            let mut stream = stream.expect("a connection");
            stream
                .read_exact(&mut [0; 50_000])
                .expect("a part of the body");
            sender.send(()).expect("the test waits");
        }
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(
        "spent",
        &discovery,
        &[
            entry("s-1", address, "active", 0),
            entry("s-2", address, "active", 0),
        ],
    );
    let mut client = proxy.client();
    let head = request("read", "1", "").replace("Content-Length: 0", "Content-Length: 3000000");
    client.send(&head);
    let _ = client.stream.write_all(&pattern(3_000_000));
    accepted.recv_timeout(TEST_TIMEOUT).expect("it comes once");
    let got = client.receive();
    assert!(got.status() == 503 || got.status() == 502, "{}", got.head);
    assert!(accepted.try_recv().is_err(), "and only once");
}

/// Each form that a client may use, and the response.
#[test]
fn every_form_of_a_request_is_understood() {
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| ok(&String::from_utf8_lossy(&seen.body)));
    let proxy = Proxy::start(
        "forms",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
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
        let got = proxy.client().ask(&text);
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
        .seen
        .try_iter()
        .find(|seen| seen.header("x-correlation-id") == Some("6"));
    let absolute = absolute.expect("it was sent on");
    assert_eq!(
        (absolute.first_line(), absolute.header("host")),
        ("POST /submit?key=7f3a HTTP/1.1", Some("app.svc"))
    );
}

#[test]
fn connections_are_kept_or_closed_as_their_requests_say() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("fine"));
    let proxy = Proxy::start(
        "kept-or-closed",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
    );
    let keep = "Connection: keep-alive\r\nHost";
    let close = "Connection: foo, Close\r\nHost";
    for (version, fields, kept) in [
        ("HTTP/1.1", "Host", true),
        ("HTTP/1.1", close, false),
        ("HTTP/1.0", "Host", false),
        ("HTTP/1.0", keep, true),
    ] {
        let mut client = proxy.client();
        let text = |id: &str| {
            request("submit", id, "x")
                .replace("HTTP/1.1", version)
                .replacen("Host", fields, 1)
        };
        assert_eq!(client.ask(&text("1")).status(), 200, "{version} {fields}");
        if kept {
            assert_eq!(client.ask(&text("2")).status(), 200, "{version} {fields}");
        } else {
            assert!(client.ends_cleanly(), "{version} {fields}");
        }
    }
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| {
        assert_eq!(seen.header("expect"), None);
        ok(&String::from_utf8_lossy(&seen.body))
    });
    let proxy = Proxy::start(
        "expect",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
    );
    let mut client = proxy.client();
    client.send(&request("submit", "1", "").replace(
        "Content-Length: 0",
        "Expect: 100-continue\r\nContent-Length: 4",
    ));
    assert_eq!(client.receive().status(), 100);
    assert_eq!(client.ask("body").body, b"body");
}

#[test]
fn pipelined_requests_get_their_responses_in_order() {
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| ok(seen.header("x-correlation-id").expect("an id")));
    let proxy = Proxy::start(
        "pipelined",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
    );
    let mut client = proxy.client();
    let ambiguous = request("submit", "4", "").replace(
        "Content-Length: 0",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
    );
    let all = ["1", "2", "3"]
        .map(|id| request("submit", id, "x"))
        .concat()
        + UP
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
        "its end can be read in two ways"
    );
    assert!(client.ends_cleanly(), "and so nothing behind it is read");
    assert_eq!(backend.seen.try_iter().count(), 3);
}

#[test]
fn responses_without_a_body_or_ended_by_a_close_are_understood() {
    let cases: [(&str, &[u8], u16); 5] = [
        ("closes", b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", 200),
        ("old", b"HTTP/1.0 200 OK\r\n\r\nbody", 200),
        ("chunks", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n", 200),
        ("no-content", b"HTTP/1.1 204 No Content\r\n\r\n", 502),
        ("not-modified", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", 502),
    ];
    for (name, bytes, status) in cases {
        let discovery = Discovery::start();
        let backend = Backend::start(move |_| Reply::WriteAndClose(bytes.to_vec()));
        let proxy = Proxy::start(
            name,
            &discovery,
            &[entry("s-1", backend.address, "active", 0)],
        );
        let got = proxy.client().ask(&request("charge", "1", "x"));
        assert_eq!(got.status(), status, "{name}");
        assert!(status != 200 || got.body == b"body", "{name}");
    }
    let discovery = Discovery::start();
    let proxy = Proxy::start("head", &discovery, &[]);
    let mut client = proxy.client();
    client.send("HEAD /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    client.reader.read_to_string(&mut text).expect("text");
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.ends_with("\r\n\r\n"),
        "{text}"
    );
}

/// A backend that answers each request with these bytes and resets its connection after a pause.
fn resets_after(bytes: Vec<u8>, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            if read_message(&mut BufReader::new(&stream)).is_some() {
                let _ = stream.write_all(&bytes);
                std::thread::sleep(pause);
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
    });
    address
}

/// A response without a length ends with its connection, but not with a reset.
#[test]
fn a_reset_never_completes_a_response_without_a_length() {
    for head in [
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
    ] {
        for (length, pause_ms) in [
            (0, 0),
            (40, 0),
            (40, 100),
            (40, 600),
            (100_000, 0),
            (100_000, 100),
        ] {
            let bytes = [head.as_bytes(), &pattern(length)].concat();
            let address = resets_after(bytes, Duration::from_millis(pause_ms));
            let discovery = Discovery::start();
            let name = format!("reset-{length}-{pause_ms}");
            let proxy = Proxy::start(&name, &discovery, &[entry("s-1", address, "active", 0)]);
            let mut client = proxy.client();
            client
                .send(&request("charge", "1", "x").replace("Host:", "Connection: close\r\nHost:"));
            let mut all = Vec::new();
            let ended = client.reader.read_to_end(&mut all);
            let failed = all.starts_with(b"HTTP/1.1 502 ");
            let text = String::from_utf8_lossy(&all[..200.min(all.len())]).to_lowercase();
            let cut_off = text.contains("chunked") && !all.ends_with(b"0\r\n\r\n");
            assert!(
                failed || ended.is_err() || cut_off,
                "{name}: {} bytes",
                all.len()
            );
        }
    }
}

/// A client may be slow, as long as it continues.
#[test]
fn a_request_in_small_pieces_is_served() {
    let discovery = Discovery::start();
    let backend = Backend::start(|seen| ok(&seen.body.len().to_string()));
    let proxy = Proxy::start(
        "pieces",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
    );
    let mut client = proxy.client();
    client.stream.set_nodelay(true).expect("no delay");
    let text = request("submit", "1", &"x".repeat(3_000));
    text.as_bytes()
        .chunks(7)
        .for_each(|piece| client.stream.write_all(piece).expect("it reads"));
    assert_eq!(client.receive().body, b"3000");
}
