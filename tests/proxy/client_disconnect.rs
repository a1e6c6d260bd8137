//! Clients that disconnect: their requests are neither sent to a backend nor retried afterwards.

use crate::rig::*;
use std::io::{BufReader, Cursor, Read};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];

/// Disconnects a client in this way. Returns the client after a half-close, because dropping the client would close its
/// connection.
fn disconnect(client: Client, way: Disconnect) -> Option<Client> {
    match way {
        Disconnect::Close => None,
        Disconnect::HalfClose => {
            client
                .stream
                .shutdown(Shutdown::Write)
                .expect("the connection is open");
            Some(client)
        }
        Disconnect::Reset => {
            let socket = socket2::SockRef::from(&client.stream);
            socket
                .set_linger(Some(Duration::ZERO))
                .expect("the connection is open");
            None
        }
    }
}

/// Starts a proxy with a list of this backend and deadlines of 200 s, so that queued requests wait for many seconds.
fn start_with_long_timeouts(
    name: &str,
    discovery: &Discovery,
    backend: &Backend,
    memory_mb: u64,
) -> Proxy {
    let mut config = config_with_operator(name, discovery);
    for class in [0, 2] {
        config["settings"]["classes"][class]["deadlineUs"] = 200_000_000.into();
        config["settings"]["classes"][class]["aimUs"] = 100_000_000.into();
    }
    config["limits"]["memory_mb"] = memory_mb.into();
    let proxy = Proxy::start_with_config(name, config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    proxy
}

/// Waits until this number of requests is in progress, and returns the elapsed time. Panics after 5 s, which is less
/// than the time for which a request stays queued.
fn wait_for_requests_in_progress(proxy: &Proxy, requests: usize) -> Duration {
    let began = Instant::now();
    while proxy.metric("app_in_progress") != requests as u64 {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "{requests} requests are in progress within 5 s"
        );
    }
    began.elapsed()
}

/// Releases the responses to these clients and sends one more request. Asserts that the backend receives this request
/// next.
fn assert_only_new_requests_are_sent(
    proxy: &Proxy,
    backend: &Backend,
    clients: Vec<Client>,
    releases: &[Sender<()>],
) {
    for (release, mut client) in releases.iter().zip(clients.into_iter().rev()) {
        release
            .send(())
            .expect("the backend waits for the signal to respond");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(proxy.status_of(&request("charge", "stays", "x")), 200);
    assert_eq!(
        backend.next_request().header("x-correlation-id"),
        Some("stays")
    );
}

/// Returns the inputs that a client may have sent after its request before it disconnects: nothing, another request and
/// garbage.
fn pipelined_input() -> [String; 3] {
    [
        String::new(),
        request("charge", "behind", "x"),
        "x".repeat(20_000),
    ]
}

/// Returns each way to disconnect combined with each of these inputs.
fn disconnect_cases(inputs: &[String]) -> Vec<(Disconnect, String)> {
    let mut cases = Vec::new();
    for way in DISCONNECTS {
        for input in inputs {
            cases.push((way, input.clone()));
        }
    }
    cases
}

/// The time after a disconnect within which the proxy detects it and starts no further attempt.
const MAX_DISCONNECT_DETECTION: Duration = Duration::from_millis(100);

#[test]
fn a_queued_request_whose_client_disconnects_is_dropped() {
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let proxy = Proxy::start_with_backend("left", &discovery, backend.address);
    let mut first = saturate(&proxy, &backend);
    let mut disconnecting = proxy.client();
    disconnecting.send(&request("charge", "2", "x"));
    // A response on another connection shows that the proxy has read all earlier input.
    assert_eq!(proxy.status_of(HEALTH_CHECK), 200);
    disconnecting
        .stream
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    assert!(
        disconnecting.ends_cleanly(),
        "the proxy has detected the disconnect and closes its side too"
    );
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release
            .send(())
            .expect("the backend waits for the signal to respond");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(proxy.status_of(&request("charge", "3", "x")), 200);
    assert_eq!(backend.next_request().header("x-correlation-id"), Some("3"));
}

#[test]
fn a_request_whose_client_disconnects_during_the_connect_is_not_sent() {
    let discovery = Discovery::start();
    let backend = FullBacklog::start();
    let proxy = Proxy::start_with_backend("left-dialing", &discovery, backend.address);
    let mut disconnecting = proxy.client();
    disconnecting.send(&request("charge", "left", "x"));
    assert_eq!(
        proxy.status_of(HEALTH_CHECK),
        200,
        "the proxy has read all earlier input"
    );
    disconnecting
        .stream
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    assert!(
        disconnecting.ends_cleanly(),
        "the proxy has detected the disconnect"
    );
    let mut client = proxy.client();
    client.send(&request("charge", "stays", "x"));
    assert_eq!(serve_and_collect_ids(backend.accept_pending()), ["stays"]);
    assert_eq!(client.receive().body, b"there");
}

#[test]
fn queued_requests_whose_clients_disconnect_in_a_burst_are_not_sent() {
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let proxy = start_with_long_timeouts("burst", &discovery, &backend, 192);
    let clients = saturate(&proxy, &backend);
    let mut disconnecting = Vec::new();
    let cases = disconnect_cases(&pipelined_input());
    for (i, (way, input)) in cases.into_iter().enumerate() {
        let mut client = proxy.client();
        client.send(&(request_with_timeout("charge", &format!("left-{i}"), "x", 190_000) + &input));
        disconnecting.push((client, way));
    }
    wait_for_requests_in_progress(&proxy, INITIAL_LIMIT + disconnecting.len());
    let half_closed: Vec<_> = disconnecting
        .into_iter()
        .filter_map(|(client, way)| disconnect(client, way))
        .collect();
    wait_for_requests_in_progress(&proxy, INITIAL_LIMIT);
    assert_only_new_requests_are_sent(&proxy, &backend, clients, &releases);
    drop(half_closed);
}

/// The end of the body stays in the kernel's buffer, because the proxy reads it only while it sends the request to a
/// backend. The disconnect comes after these unread bytes.
#[test]
fn a_queued_request_whose_client_disconnects_after_an_unread_body_is_not_sent() {
    for way in DISCONNECTS {
        let discovery = Discovery::start();
        let (backend, releases) = backend_that_holds_initial_limit();
        let proxy = start_with_long_timeouts(&format!("unread-{way:?}"), &discovery, &backend, 11);
        let clients = saturate(&proxy, &backend);
        let mut client = proxy.client();
        let body = "x".repeat(1_900_000);
        client.send(&request_with_timeout("charge", "left", &body, 190_000));
        wait_for_requests_in_progress(&proxy, INITIAL_LIMIT + 1);
        let half_closed = disconnect(client, way);
        wait_for_requests_in_progress(&proxy, INITIAL_LIMIT);
        assert_only_new_requests_are_sent(&proxy, &backend, clients, &releases);
        drop(half_closed);
    }
}

/// The client disconnects during the connect, in each way and after each input that may follow its request.
#[test]
fn a_request_is_not_sent_on_a_connection_established_after_its_client_disconnected() {
    let discovery = Discovery::start();
    let backend = FullBacklog::start();
    let mut config = config_with_operator("left-connecting", &discovery);
    // A single backend has a low limit, and requests beyond it are queued instead of connecting.
    config["settings"]["permissions"]["dialTimeoutUs"] = 15_000_000.into();
    let proxy = Proxy::start_with_config("left-connecting", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let mut detection_times = Vec::new();
    let cases = disconnect_cases(&pipelined_input());
    for (i, (way, input)) in cases.into_iter().enumerate() {
        let mut client = proxy.client();
        client.send(&(request("charge", &format!("left-{i}"), "x") + &input));
        wait_for_requests_in_progress(&proxy, 1);
        let half_closed = disconnect(client, way);
        detection_times.push(wait_for_requests_in_progress(&proxy, 0));
        drop(half_closed);
    }
    // The median tolerates single delays of a busy machine.
    detection_times.sort_unstable();
    assert!(
        detection_times[detection_times.len() / 2] <= MAX_DISCONNECT_DETECTION,
        "{detection_times:?}"
    );
    let mut client = proxy.client();
    client.send(&request("charge", "stays", "x"));
    assert_eq!(serve_and_collect_ids(backend.accept_pending()), ["stays"]);
    assert_eq!(client.receive().body, b"there");
}

/// The first attempt is in flight when its client disconnects, and a retry would have followed.
#[test]
fn a_request_is_not_retried_after_its_client_disconnected() {
    let cases = disconnect_cases(&pipelined_input());
    for (i, (way, input)) in cases.into_iter().enumerate() {
        let discovery = Discovery::start();
        let (closing, release) = backend_that_closes_on_signal();
        let other = Backend::start(|_| ok("there"));
        let name = format!("left-retry-{i}");
        let proxy = Proxy::start_with_config(&name, config_with_operator(&name, &discovery));
        discovery.publish_and_wait(true, &[active_endpoint("s-1", closing.address)]);
        let mut client = proxy.client();
        client.send(&(request("read", "left", "") + &input));
        closing.next_request();
        discovery.publish_and_wait(
            true,
            &[
                active_endpoint("s-1", closing.address),
                active_endpoint("s-2", other.address),
            ],
        );
        let half_closed = disconnect(client, way);
        wait_for_requests_in_progress(&proxy, 0);
        release
            .send(())
            .expect("the backend waits for the signal to close the connection");
        discovery.publish_and_wait(true, &[active_endpoint("s-2", other.address)]);
        for id in ["stays", "arrives later"] {
            assert_eq!(proxy.status_of(&request("charge", id, "x")), 200);
            assert_eq!(
                other.next_request().header("x-correlation-id"),
                Some(id),
                "{way:?} with {} bytes after the request",
                input.len()
            );
        }
        drop(half_closed);
    }
}

/// The first attempt has ended, and the client disconnects while the retry is queued.
#[test]
fn a_queued_retry_is_not_sent_after_its_client_disconnected() {
    let cases = disconnect_cases(&pipelined_input());
    for (i, (way, input)) in cases.into_iter().enumerate() {
        let discovery = Discovery::start();
        let (closing, release) = backend_that_closes_on_signal();
        let (backend, releases) = backend_that_holds_initial_limit();
        let proxy =
            start_with_long_timeouts(&format!("left-waiting-{i}"), &discovery, &closing, 192);
        let mut client = proxy.client();
        client.send(&(request_with_timeout("read", "left", "", 190_000) + &input));
        closing.next_request();
        discovery.publish_and_wait(true, &[active_endpoint("s-2", backend.address)]);
        let clients = saturate(&proxy, &backend);
        release
            .send(())
            .expect("the backend waits for the signal to close the connection");
        // When these responses arrive, the proxy has detected the end of the first attempt.
        for _ in 0..20 {
            proxy.client().exchange(HEALTH_CHECK);
        }
        let half_closed = disconnect(client, way);
        wait_for_requests_in_progress(&proxy, INITIAL_LIMIT);
        assert_only_new_requests_are_sent(&proxy, &backend, clients, &releases);
        drop(half_closed);
    }
}

/// The client disconnects after far more bytes than the kernel buffers for a connection that the proxy does not read.
#[test]
fn a_disconnect_after_more_input_than_the_kernel_buffers_is_detected() {
    const INPUT_LENGTH: usize = 1_000_000;
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let proxy = start_with_long_timeouts("far-behind", &discovery, &backend, 192);
    let clients = saturate(&proxy, &backend);
    let pipelined = request("charge", "behind", "x");
    let inputs = [
        pipelined.repeat(INPUT_LENGTH / pipelined.len()),
        "x".repeat(INPUT_LENGTH),
    ];
    for (i, (way, input)) in disconnect_cases(&inputs).into_iter().enumerate() {
        let mut client = proxy.client();
        client.send(&request_with_timeout(
            "charge",
            &format!("left-{i}"),
            "x",
            190_000,
        ));
        wait_for_requests_in_progress(&proxy, INITIAL_LIMIT + 1);
        client.send(&input);
        let half_closed = disconnect(client, way);
        wait_for_requests_in_progress(&proxy, INITIAL_LIMIT);
        drop(half_closed);
    }
    assert_only_new_requests_are_sent(&proxy, &backend, clients, &releases);
}

/// Returns a request with a body of this length in one of the framings, without the body's content mattering.
fn request_with_long_body(id: &str, length: usize, is_chunked: bool) -> String {
    const CHUNK: usize = 50_000;
    let body = "x".repeat(length);
    if !is_chunked {
        return request_with_timeout("charge", id, &body, 190_000);
    }
    let chunk = format!("{CHUNK:x}\r\n{}\r\n", &body[..CHUNK]);
    let head = request_with_timeout("charge", id, "", 190_000);
    let head = head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    format!("{head}{}0\r\n\r\n", chunk.repeat(length / CHUNK))
}

/// Guards against long requests that were sent although their clients had left while the requests were queued: the close
/// stayed behind the part of the body that was not read.
#[test]
fn a_queued_request_with_a_long_body_whose_client_disconnects_is_not_sent() {
    for (length, is_chunked) in [
        (2_200_000, false),
        (2_200_000, true),
        (9_000_000, false),
        (9_000_000, true),
    ] {
        for way in DISCONNECTS {
            let name = format!("long-left-{length}-{is_chunked}-{way:?}");
            let discovery = Discovery::start();
            let (backend, releases) = backend_that_holds_initial_limit();
            let proxy = start_with_long_timeouts(&name, &discovery, &backend, 192);
            let clients = saturate(&proxy, &backend);
            let mut client = proxy.client();
            client.send(&request_with_long_body("left", length, is_chunked));
            wait_for_requests_in_progress(&proxy, INITIAL_LIMIT + 1);
            let half_closed = disconnect(client, way);
            wait_for_requests_in_progress(&proxy, INITIAL_LIMIT);
            assert_only_new_requests_are_sent(&proxy, &backend, clients, &releases);
            drop(half_closed);
        }
    }
}

/// Guards against the same where there is no memory to read so far that the close would be seen: such a request is not
/// sent after a wait.
#[test]
fn a_request_whose_client_may_have_left_unseen_is_not_sent_after_a_wait() {
    const WAIT: Duration = Duration::from_millis(150);
    for is_body in [true, false] {
        let discovery = Discovery::start();
        let (backend, releases) = backend_that_holds_initial_limit();
        let name = format!("unseen-{is_body}");
        let proxy = start_with_long_timeouts(&name, &discovery, &backend, 11);
        let clients = saturate(&proxy, &backend);
        let mut client = proxy.client();
        // More than the memory holds, and than the kernel reports the close behind.
        let beyond_memory = "x".repeat(4_000_000);
        let text = if is_body {
            request_with_timeout("charge", "left", &beyond_memory, 190_000)
        } else {
            request_with_timeout("charge", "left", "x", 190_000) + &beyond_memory
        };
        client.send(&text);
        wait_for_requests_in_progress(&proxy, INITIAL_LIMIT + 1);
        drop(client);
        thread::sleep(WAIT);
        assert_only_new_requests_are_sent(&proxy, &backend, clients, &releases);
    }
}

/// Guards against long requests that became complete at their backends after their clients had left: the close stayed behind
/// the part of the body that was not read, and the last byte was forwarded before the close was seen.
#[test]
fn an_upload_whose_client_disconnects_behind_unread_bytes_does_not_become_complete() {
    const BACKEND_PAUSE: Duration = Duration::from_millis(500);
    /// What the backend reads before its pause.
    const READ_BYTES: usize = 20_000;
    let plays: Vec<_> = [3_000_000, 5_000_000]
        .into_iter()
        .flat_map(|length| [(length, false), (length, true)])
        .flat_map(|(length, is_chunked)| DISCONNECTS.map(|way| (length, is_chunked, way)))
        .map(|(length, is_chunked, way)| {
            thread::spawn(move || {
                let name = format!("left-upload-{length}-{is_chunked}-{way:?}");
                let discovery = Discovery::start();
                let (backend, received) = backend_that_pauses_reading(READ_BYTES, BACKEND_PAUSE);
                let proxy = Proxy::start_with_backend(&name, &discovery, backend);
                let mut client = proxy.client();
                client.send(&request_with_long_body("left", length, is_chunked));
                let started = received.recv_timeout(TEST_TIMEOUT);
                assert!(matches!(started, Ok(Progress::Started)), "{name}");
                let half_closed = disconnect(client, way);
                let ended = received.recv_timeout(TEST_TIMEOUT);
                let is_incomplete = matches!(ended, Ok(Progress::Ended { is_complete: false }));
                assert!(is_incomplete, "{name}: {ended:?}");
                drop(half_closed);
            })
        })
        .collect();
    for play in plays {
        play.join().expect("no request becomes complete");
    }
}

/// How far a backend has received a request.
#[derive(Debug)]
enum Progress {
    Started,
    Ended { is_complete: bool },
}

/// Starts a backend that reads this much of one request, pauses, and reads on. Returns its address and its progress.
fn backend_that_pauses_reading(bytes: usize, pause: Duration) -> (SocketAddr, Receiver<Progress>) {
    let (listener, address) = bind_listener("127.0.0.1:0");
    let (sender, received) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the proxy connects");
        let limited = stream.set_read_timeout(Some(TEST_TIMEOUT / 4));
        limited.expect("the timeout is not zero");
        let mut start = vec![0; bytes];
        let read = stream.read_exact(&mut start);
        read.expect("the proxy sends the start of the request");
        let _ = sender.send(Progress::Started);
        thread::sleep(pause);
        let mut reader = BufReader::new(Cursor::new(start).chain(stream));
        let is_complete = read_message(&mut reader).is_some();
        let _ = sender.send(Progress::Ended { is_complete });
    });
    (address, received)
}
