//! Large bodies of requests and responses: streamed in bounded memory, and never sent again in part.

use crate::rig::*;
use crate::stuck_uploads::backend_that_stops_reading;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The length of a body that is larger than what the proxy may buffer.
const LARGE_BODY_LENGTH: usize = 32 << 20;

#[test]
fn bodies_of_64_kib_are_forwarded() {
    let discovery = Discovery::start();
    let body = "y".repeat(64 * 1024);
    let answered = body.clone();
    let backend = Backend::start(move |_| ok(&answered));
    let proxy = Proxy::start_with_backend("cap", &discovery, backend.address);
    let got = proxy.client().exchange(&request("submit", "1", &body));
    assert_eq!((got.status(), got.body.len()), (200, body.len()));
    assert_eq!(backend.next_request().body.len(), body.len());
}

/// Backends send valid responses that are longer than the 64 KiB of the protocol's limit.
#[test]
fn responses_longer_than_64_kib_are_forwarded() {
    let discovery = Discovery::start();
    let large = "z".repeat(400_000);
    let answered = large.clone();
    let backend = Backend::start(move |_| ok(&answered));
    let mut config = config("large", &discovery);
    config["limits"]["memory_mb"] = 8.into();
    let proxy = Proxy::start_with_config("large", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    for id in 0..20 {
        let got = proxy
            .client()
            .exchange(&request("charge", &id.to_string(), "x"));
        assert_eq!((got.status(), got.body.len()), (200, large.len()));
    }
}

/// Reads a response's head after its status and returns the length of the body that the head states.
fn read_rest_of_head(client: &mut Client) -> usize {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        client
            .reader
            .read_line(&mut head)
            .expect("the head is ASCII text");
    }
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let (_, length) = length.expect("the response has a length");
    length.parse().expect("the length is a number")
}

#[test]
fn large_responses_are_streamed_to_slow_clients_in_bounded_memory() {
    const PIECE_LENGTH: usize = 1 << 20;
    let body = patterned_body(LARGE_BODY_LENGTH);
    let answered = response("200 OK", "", &body);
    let backend = Backend::start(move |_| Reply::Write(answered.clone()));
    let proxy = start_with_little_memory("large-answers", &backend);
    let mut clients: Vec<_> = (0..12)
        .map(|i| {
            let mut client = proxy.client();
            client.send(&request("submit", &format!("l-{i}"), "x"));
            // A response that has started no longer holds a slot.
            let mut head = [0; 12];
            client
                .reader
                .read_exact(&mut head)
                .expect("the response starts");
            assert_eq!(&head, b"HTTP/1.1 200");
            client
        })
        .collect();
    assert_eq!(
        proxy.metric("app_in_progress"),
        12,
        "a request is in progress until the last byte of its response"
    );
    for client in &mut clients {
        assert_eq!(read_rest_of_head(client), body.len());
    }
    // The clients read in turns: one that read nothing until all others have their responses could be given up.
    for expected in body.chunks(PIECE_LENGTH) {
        for client in &mut clients {
            let mut piece = vec![0; expected.len()];
            client
                .reader
                .read_exact(&mut piece)
                .expect("the response is complete");
            assert!(piece == expected, "the response has the backend's bytes");
        }
    }
    assert!(
        proxy.peak_memory_kb() < 32 << 10,
        "{} kB",
        proxy.peak_memory_kb()
    );
    while proxy.metric("app_in_progress") > 0 {}
    assert_eq!(proxy.handled_requests("submit", "passed"), 12);
}

/// Sends a request with this body, either in chunks with extensions and a trailer or with Content-Length, and returns
/// the response.
fn send_large_body(address: SocketAddr, id: &str, body: &[u8], is_chunked: bool) -> Message {
    let mut stream = TcpStream::connect(address).expect("the proxy listens");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout is not zero");
    let mut write = |bytes: &[u8]| stream.write_all(bytes).expect("the proxy reads the body");
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {}", body.len())
    };
    let head = request("charge", id, "").replace("Content-Length: 0", &framing);
    write(head.as_bytes());
    for piece in body.chunks(100_000) {
        if is_chunked {
            write(format!("{:x};odd=\"ext\"\r\n", piece.len()).as_bytes());
        }
        write(piece);
        if is_chunked {
            write(b"\r\n");
        }
    }
    if is_chunked {
        write(b"0\r\nX-Trailer: y\r\n\r\n");
    }
    read_message(&mut BufReader::new(stream)).expect("the proxy sends a complete response")
}

#[test]
fn large_request_bodies_are_streamed_to_a_backend_in_bounded_memory() {
    let backend = Backend::start(|received| ok(&received.body.len().to_string()));
    let proxy = start_with_little_memory("large-bodies", &backend);
    let body = patterned_body(LARGE_BODY_LENGTH);
    let address = proxy.address;
    let senders: Vec<_> = (0..4)
        .map(|i| {
            let body = body.clone();
            thread::spawn(move || send_large_body(address, &format!("u-{i}"), &body, i % 2 == 1))
        })
        .collect();
    for sender in senders {
        let got = sender.join().expect("no sender has panicked");
        let is_served = got.status() == 200 && got.body == LARGE_BODY_LENGTH.to_string().as_bytes();
        assert!(
            is_served || got.status() == 503,
            "{} {:?}",
            got.head,
            got.body
        );
    }
    let received: Vec<_> = backend.requests.try_iter().collect();
    assert!(!received.is_empty() && received.iter().all(|request| request.body == body));
    assert_eq!(proxy.metric("app_upstream_tries"), received.len() as u64);
    assert!(
        proxy.peak_memory_kb() < 32 << 10,
        "{} kB",
        proxy.peak_memory_kb()
    );
}

#[test]
fn the_start_of_a_response_is_forwarded_before_its_end_has_arrived() {
    let body = patterned_body(200_000);
    for (name, fields) in [
        ("first-length", "Content-Length: 200000\r\n"),
        ("first-close", "Connection: close\r\n"),
    ] {
        let (release, signal) = channel();
        let mut signal = Some(signal);
        let first = body[..100_000].to_vec();
        let rest = body[100_000..].to_vec();
        let backend = Backend::start(move |_| {
            let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n").into_bytes();
            let rest = Reply::WriteAndClose(rest.clone());
            Reply::WriteThenWait {
                bytes: [head, first.clone()].concat(),
                signal: signal
                    .take()
                    .expect("the backend receives a single request"),
                next: Box::new(rest),
            }
        });
        let proxy = start_with_little_memory(name, &backend);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        let mut start = [0; 15];
        client
            .reader
            .read_exact(&mut start)
            .expect("the response starts");
        assert_eq!(&start, b"HTTP/1.1 200 OK");
        release
            .send(())
            .expect("the backend waits for the signal to continue the response");
        assert!(client.receive().body == body);
    }
}

/// The backend closes the connection before the last byte of the body, so it has not executed the request, and the
/// class is idempotent. A retry is impossible all the same, because the streamed part of the body is no longer
/// buffered.
#[test]
fn a_request_with_a_partly_streamed_body_is_not_retried() {
    let (sender, accepted) = channel();
    let (listener, address) = bind_listener("127.0.0.1:0");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("the listener stays open");
            stream
                .read_exact(&mut [0; 50_000])
                .expect("the proxy sends a part of the body");
            sender
                .send(())
                .expect("the test keeps the receiver until it ends");
        }
    });
    let discovery = Discovery::start();
    let proxy = Proxy::start(
        "spent",
        &discovery,
        &[
            active_endpoint("s-1", address),
            active_endpoint("s-2", address),
        ],
    );
    let mut client = proxy.client();
    let head = request("read", "1", "").replace("Content-Length: 0", "Content-Length: 3000000");
    client.send(&head);
    let _ = client.stream.write_all(&patterned_body(3_000_000));
    accepted
        .recv_timeout(TEST_TIMEOUT)
        .expect("the proxy makes one attempt");
    let got = client.receive();
    assert!(got.status() == 503 || got.status() == 502, "{}", got.head);
    assert!(
        accepted.try_recv().is_err(),
        "the proxy makes no second attempt"
    );
}

/// Starts a backend that responds as soon as it has read the head of a request, and reads the body after a signal.
/// Returns its address and a receiver of the number of body bytes that the backend has read.
fn backend_that_responds_early(
    early: Vec<u8>,
    signal: Receiver<()>,
) -> (SocketAddr, Receiver<u64>) {
    let (listener, address) = bind_listener("127.0.0.1:0");
    let (sender, received_lengths) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the listener stays open");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is not zero");
        let mut reader =
            BufReader::new(stream.try_clone().expect("the test has a free descriptor"));
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            reader.read_line(&mut line).expect("the head is text");
        }
        stream
            .write_all(&early)
            .expect("the proxy keeps the connection open");
        signal
            .recv_timeout(TEST_TIMEOUT)
            .expect("the test sends the signal");
        let _ = sender.send(std::io::copy(&mut reader, &mut std::io::sink()).unwrap_or_default());
    });
    (address, received_lengths)
}

/// The client already has its response, so the backend must not receive the rest of the body and execute the request. A
/// 200 that arrives before the request is complete cannot be the response to it.
#[test]
fn a_backend_that_responds_before_the_end_of_a_body_never_receives_it_completely() {
    const LENGTH: usize = 3 << 20;
    let large = "x".repeat(100_000);
    let cases = [
        (
            response("503 Service Unavailable", "X-Unprocessed: 1\r\n", b""),
            503,
        ),
        (response("500 Oops", "", b""), 502),
        (response("200 OK", "", b"another's"), 502),
        (response("200 OK", "", large.as_bytes()), 502),
    ];
    for (i, (early, status)) in cases.into_iter().enumerate() {
        let discovery = Discovery::start();
        let (release, signal) = channel();
        let (address, received_lengths) = backend_that_responds_early(early, signal);
        let name = format!("answered-early-{i}");
        let proxy = Proxy::start_with_backend(&name, &discovery, address);
        let mut client = proxy.client();
        let text = request("charge", "1", &"x".repeat(LENGTH));
        let (first_part, last_part) = text.split_at(text.len() - 1_000);
        client.send(first_part);
        assert_eq!(client.receive().status(), status, "case {i}");
        // The write fails if the proxy has already closed the connection.
        let _ = client.stream.write_all(last_part.as_bytes());
        drop(client);
        release
            .send(())
            .expect("the backend waits for the signal to read the body");
        let received = received_lengths
            .recv_timeout(TEST_TIMEOUT)
            .expect("the proxy closes the connection to the backend");
        assert!(
            received < LENGTH as u64,
            "case {i}: {received} bytes of the body were received"
        );
    }
}

/// Guards against clients that send a part of a body at once, stop and stay: they occupied a connection for as long as
/// the bytes that they had sent would have taken at the minimum rate.
#[test]
fn a_client_that_stops_within_a_body_gets_an_error_or_a_close_within_three_seconds() {
    /// Time in which such a client is owed an error or a close, counted from its connect.
    const MAX_TIME: Duration = Duration::from_secs(3);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start_with_backend("stopped-body", &discovery, backend.address);
    // A body that is buffered, one that is streamed because of its length, and one of unknown length.
    let clients: Vec<_> = [
        ("Content-Length: 1048576\r\n\r\n", 1 << 19),
        ("Content-Length: 8388608\r\n\r\n", 3 << 20),
        ("Transfer-Encoding: chunked\r\n\r\n100000\r\n", 1 << 19),
    ]
    .into_iter()
    .enumerate()
    .map(|(number, (length, sent))| {
        let connected_at = Instant::now();
        let mut client = proxy.client();
        let head = request("charge", &format!("stopped-{number}"), "");
        client.send(&head.replace("Content-Length: 0\r\n\r\n", length));
        client.send(&"x".repeat(sent));
        (client, connected_at)
    })
    .collect();
    for (mut client, connected_at) in clients {
        let _ = client.reader.read(&mut [0; 64]);
        let elapsed = connected_at.elapsed();
        assert!(elapsed < MAX_TIME, "the client was left for {elapsed:?}");
    }
}

/// Guards against requests that are never answered because their backend stops reading their body: neither the attempt
/// nor the request timed out before the last byte was forwarded.
#[test]
fn a_request_whose_backend_stops_reading_its_body_is_answered_in_time() {
    const TIMEOUT_MS: u64 = 700;
    /// The latest time for the answer to a request, counted from its last byte.
    const MAX_ANSWER_TIME: Duration = Duration::from_millis(TIMEOUT_MS + 500);
    let cases = [
        ("charge", 3 << 20, 0, false),
        ("charge", 6 << 20, 0, false),
        ("submit", 6 << 20, 1 << 20, false),
        ("charge", 5 << 20, 0, true),
        ("charge", LARGE_BODY_LENGTH, 4 << 20, false),
    ];
    for (class, length, read, is_chunked) in cases {
        let discovery = Discovery::start();
        let address = backend_that_stops_reading(read);
        let name = format!("stopped-reading-{length}-{read}-{is_chunked}");
        let proxy = Proxy::start(&name, &discovery, &[active_endpoint("s-1", address)]);
        let mut client = proxy.client();
        let head = request_with_timeout(class, "1", "", TIMEOUT_MS);
        let size = if is_chunked {
            format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n")
        } else {
            format!("Content-Length: {length}\r\n\r\n")
        };
        client.send(&head.replace("Content-Length: 0\r\n\r\n", &size));
        let body = vec![b'x'; length];
        // The proxy may answer and close the connection while the client is still writing.
        let _ = client.stream.write_all(&body);
        if is_chunked {
            let _ = client.stream.write_all(b"\r\n0\r\n\r\n");
        }
        let sent_at = Instant::now();
        let answer = read_message(&mut client.reader);
        let elapsed = sent_at.elapsed();
        assert!(elapsed < MAX_ANSWER_TIME, "{name}: ended after {elapsed:?}");
        // A client that could not write its last byte may be cut off.
        if length < LARGE_BODY_LENGTH {
            let status = answer.expect("the proxy sends an answer").status();
            assert!(status == 502 || status == 503, "{name}: {status}");
        }
    }
}

/// The timeout of a request counts from its last byte, so a client may take longer than that to send a long body.
#[test]
fn a_streamed_body_may_take_longer_than_the_timeout_of_its_request() {
    const TIMEOUT_MS: u64 = 400;
    const PIECES: usize = 12;
    const PIECE_BYTES: usize = 256 << 10;
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start_with_backend("long-upload", &discovery, backend.address);
    let mut client = proxy.client();
    let size = format!("Content-Length: {}\r\n\r\n", PIECES * PIECE_BYTES);
    let head = request_with_timeout("charge", "1", "", TIMEOUT_MS);
    client.send(&head.replace("Content-Length: 0\r\n\r\n", &size));
    for _ in 0..PIECES {
        client.send(&"x".repeat(PIECE_BYTES));
        thread::sleep(Duration::from_millis(TIMEOUT_MS / 3));
    }
    assert_eq!(client.receive().status(), 200);
}

/// Guards against a count of attempts that includes requests whose chunked bodies were discarded, not sent.
#[test]
fn a_chunked_body_that_is_discarded_is_not_counted_as_an_attempt() {
    const CHUNK: usize = 50_000;
    const CHUNKS: usize = 60;
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let config = config_with_operator("discarded-chunks", &discovery);
    let proxy = Proxy::start_with_config("discarded-chunks", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let clients = saturate(&proxy, &backend);
    let mut client = proxy.client();
    let head = request_with_timeout("charge", "discarded", "", 500);
    client.send(&head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"));
    for _ in 0..CHUNKS {
        client.send(&format!("{CHUNK:x}\r\n{}\r\n", "x".repeat(CHUNK)));
    }
    client.send("0\r\n\r\n");
    assert_eq!(client.receive().status(), 503);
    assert_eq!(proxy.metric("app_upstream_tries"), INITIAL_LIMIT as u64);
    drop((clients, releases));
}
