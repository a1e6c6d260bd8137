//! The end of a response: by its length, its last chunk, a close or a reset, or no end at all.

use crate::rig::*;
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Returns the response of a proxy called `name` to a non-idempotent request whose backend sends these bytes and then
/// closes the connection.
fn exchange_with_backend_that_closes(name: &str, bytes: &'static [u8]) -> Message {
    let discovery = Discovery::start();
    let backend = Backend::start(move |_| Reply::WriteAndClose(bytes.to_vec()));
    let proxy = Proxy::start_with_backend(name, &discovery, backend.address);
    proxy.client().exchange(&request("charge", "1", "x"))
}

#[test]
fn close_delimited_and_chunked_responses_are_forwarded() {
    let cases: [(&str, &[u8]); 3] = [
        ("closes", b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody"),
        ("old", b"HTTP/1.0 200 OK\r\n\r\nbody"),
        ("chunks", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n"),
    ];
    for (name, bytes) in cases {
        let got = exchange_with_backend_that_closes(name, bytes);
        assert_eq!(got.status(), 200, "{name}");
        assert_eq!(got.body, b"body", "{name}");
    }
}

/// An attempt succeeds only with status 200, so a response that has no body by its status is a failure as well.
#[test]
fn a_response_with_status_204_or_304_counts_as_a_failure_and_the_client_gets_502() {
    let cases: [(&str, &[u8]); 2] = [
        ("no-content", b"HTTP/1.1 204 No Content\r\n\r\n"),
        (
            "not-modified",
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
        ),
    ];
    for (name, bytes) in cases {
        let got = exchange_with_backend_that_closes(name, bytes);
        assert_eq!(got.status(), 502, "{name}");
    }
}

#[test]
fn the_response_to_a_head_request_has_no_body() {
    let discovery = Discovery::start();
    let proxy = Proxy::start("head", &discovery, &[]);
    let mut client = proxy.client();
    client.send("HEAD /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    client
        .reader
        .read_to_string(&mut text)
        .expect("the response is UTF-8 text");
    assert!(
        text.starts_with("HTTP/1.1 200 ") && text.ends_with("\r\n\r\n"),
        "{text}"
    );
}

#[test]
fn a_response_cut_off_after_its_start_is_incomplete_for_the_client_and_not_retried() {
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
            Reply::WriteAndClose([head.into_bytes(), patterned_body(100_000)].concat())
        });
        let proxy = start_with_little_memory(name, &backend);
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let mut client = proxy.client();
            client.send(&request("submit", version, "x").replace("HTTP/1.1", version));
            let mut all = Vec::new();
            let ended = client.reader.read_to_end(&mut all);
            let is_complete = all.ends_with(b"0\r\n\r\n");
            let text = String::from_utf8_lossy(&all[..300.min(all.len())]).to_lowercase();
            let has_framing = text.contains("content-length: 200000") || text.contains("chunked");
            assert!(
                ended.is_err() || (has_framing && !is_complete),
                "{name} {version}: the client can tell that the response is incomplete"
            );
        }
        assert_eq!(
            backend.next_request().header("x-correlation-id"),
            Some("HTTP/1.1")
        );
        assert_eq!(
            backend.next_request().header("x-correlation-id"),
            Some("HTTP/1.0")
        );
        assert_eq!(
            backend.take_requests(),
            0,
            "a request whose response has started is not retried"
        );
        let failed = "app_handled{category=\"submit\",outcome=\"bad_gateway\"}";
        while proxy.metric(failed) < 2 {}
        assert_eq!(proxy.metric("app_cut_off_responses"), 2, "{name}");
    }
}

/// Starts a backend that answers each request with these bytes and resets the connection after a pause.
fn backend_that_resets_after_sending(bytes: Vec<u8>, pause: Duration) -> SocketAddr {
    let (listener, address) = bind_listener("127.0.0.1:0");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            if read_message(&mut BufReader::new(&stream)).is_some() {
                let _ = stream.write_all(&bytes);
                thread::sleep(pause);
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
    });
    address
}

/// A close ends a response without a length. A reset does not: the response may be incomplete.
#[test]
fn a_reset_does_not_complete_a_response_without_a_length() {
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
            let bytes = [head.as_bytes(), &patterned_body(length)].concat();
            let address = backend_that_resets_after_sending(bytes, Duration::from_millis(pause_ms));
            let discovery = Discovery::start();
            let name = format!("reset-{length}-{pause_ms}");
            let proxy = Proxy::start_with_backend(&name, &discovery, address);
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

/// Guards against a response without a length that seems complete to a client that has paused for too long: its
/// connection was closed without a reset, and the close is the end of such a response.
#[test]
fn a_client_that_pauses_too_long_can_tell_that_its_response_is_incomplete() {
    const BODY_BYTES: usize = 32 << 20;
    let discovery = Discovery::start();
    let backend = Backend::start(|_| {
        let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec();
        Reply::WriteAndClose([head, vec![b'x'; BODY_BYTES]].concat())
    });
    let mut proxies = Vec::new();
    for (version, fields) in [("HTTP/1.0", ""), ("HTTP/1.1", "Connection: close\r\n")] {
        let name = format!("pausing-{}", &version[5..]);
        let config = config_with_operator(&name, &discovery);
        let proxy = Proxy::start_with_config(&name, config);
        discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
        let mut client = proxy.client();
        let text = request("charge", version, "x");
        let head = format!("{version}\r\n{fields}");
        client.send(&text.replacen("HTTP/1.1\r\n", &head, 1));
        backend.next_request();
        proxies.push((version, proxy, client));
    }
    for (version, proxy, mut client) in proxies {
        while proxy.metric("app_in_progress") > 0 {
            thread::sleep(Duration::from_millis(50));
        }
        let mut got = Vec::new();
        let ended = client.reader.read_to_end(&mut got);
        assert!(ended.is_err(), "{version}: {ended:?}");
        assert!(got.len() < BODY_BYTES, "{version}");
    }
}

/// Guards against a whole response that is lost because the next one on its connection breaks: the reset discarded what the
/// kernel still held for a client that reads slowly.
#[test]
fn a_whole_response_is_not_lost_if_the_next_one_on_its_connection_breaks() {
    const WHOLE_BYTES: usize = 100_000;
    // The second response is streamed after 250 ms.
    const BREAKS_AFTER: Duration = Duration::from_millis(400);
    let discovery = Discovery::start();
    let backend = Backend::start(|received| match received.header("x-correlation-id") {
        Some("whole") => Reply::Write(response("200 OK", "", &patterned_body(WHOLE_BYTES))),
        _ => Reply::Paced {
            head: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(),
            piece: b"4\r\nbody\r\n".to_vec(),
            pause: BREAKS_AFTER,
            pieces: 1,
            end: Vec::new(),
        },
    });
    let proxy = Proxy::start_with_backend("next-breaks", &discovery, backend.address);
    let mut client = Client::connect_with_receive_buffer(proxy.address, 32 << 10);
    client.send(&(request("charge", "whole", "") + &request("charge", "broken", "")));
    thread::sleep(2 * BREAKS_AFTER);
    assert_eq!(client.receive().body, patterned_body(WHOLE_BYTES));
    assert!(matches!(Received::read(&mut client.reader), Received::Part));
}

#[test]
fn a_request_without_a_response_times_out() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Hang);
    let proxy = Proxy::start_with_backend("hang", &discovery, backend.address);
    let mut client = proxy.client();
    let got = client.exchange(&request_with_timeout("charge", "1", "x", 300));
    assert_eq!(got.status(), 502);
    assert_eq!(
        client.exchange(HEALTH_CHECK).status(),
        200,
        "the connection stays open, and no second response precedes this one"
    );
}

/// A response that never ends.
struct EndlessResponse {
    start: &'static str,
    repeated: String,
    /// The pause after each repetition.
    pause: Duration,
}

/// Returns responses that never end. Some are sent as fast as they are read, others slowly byte by byte.
fn endless_responses() -> Vec<EndlessResponse> {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const FAST: Duration = Duration::ZERO;
    const SLOW: Duration = Duration::from_millis(20);
    let large = "x".repeat(64 * 1024);
    let large_chunk = format!("{:x}\r\n{large}\r\n", large.len());
    let cases = [
        ("HTTP/1.1 200 OK\r\nX-Long: ", "x", SLOW),
        ("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", FAST),
        ("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", FAST),
        (
            "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\nx\r\n",
            SLOW,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
            "x",
            SLOW,
        ),
        (CHUNKED, "1\r\nx\r\n", SLOW),
        (CHUNKED, &large_chunk, FAST),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x", SLOW),
    ];
    let responses = cases.map(|(start, repeated, pause)| EndlessResponse {
        start,
        repeated: repeated.to_owned(),
        pause,
    });
    responses.into()
}

#[test]
fn endless_responses_time_out_in_bounded_memory() {
    let mut proxies = Vec::new();
    let mut clients = Vec::new();
    for (i, case) in endless_responses().into_iter().enumerate() {
        let discovery = Discovery::start();
        let backend = Backend::start(move |_| Reply::Endless {
            start: case.start.into(),
            repeated: case.repeated.clone().into(),
            pause: case.pause,
        });
        let proxy = Proxy::start_with_backend(&format!("endless-{i}"), &discovery, backend.address);
        let mut client = proxy.client();
        client.send(&request_with_timeout("charge", "1", "x", 2_000));
        clients.push(client);
        proxies.push((proxy, backend, discovery));
    }
    let began = Instant::now();
    for (i, mut client) in clients.into_iter().enumerate() {
        let mut got = Vec::new();
        let ended = Read::read_to_end(&mut client.reader, &mut got);
        let failed = got.starts_with(b"HTTP/1.1 502");
        assert!(
            failed || (ended.is_err() && got.starts_with(b"HTTP/1.1 200")),
            "case {i}: {} bytes",
            got.len()
        );
        let (proxy, ..) = &proxies[i];
        assert!(
            proxy.peak_memory_kb() < 40_000,
            "case {i}: {} kB",
            proxy.peak_memory_kb()
        );
    }
    // A connection whose request has failed may stay idle for 2.5 s.
    assert!(
        began.elapsed() < Duration::from_millis(5_500),
        "{:?}",
        began.elapsed()
    );
}
