//! Overload: idle clients that take every free descriptor, and many proxies that start together.

use crate::rig::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The number of descriptors of a small proxy.
const DESCRIPTORS: usize = 64;

/// More clients than a proxy with `DESCRIPTORS` can accept.
const IDLE_CLIENT_COUNT: usize = 100;

/// Clients that connect, send a complete, partial or empty request, read until the proxy closes the connection, and
/// then connect again.
struct IdleClients {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl IdleClients {
    /// Starts [`IDLE_CLIENT_COUNT`] clients. Each sends one of the `requests`, which are assigned to the clients in
    /// turn and may be incomplete.
    fn start(address: SocketAddr, requests: &[String]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |number: usize| {
            let stop = Arc::clone(&stop);
            let request = requests[number % requests.len()].clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    hold_connection(address, &request, &stop);
                }
            })
        };
        let clients = (0..IDLE_CLIENT_COUNT).map(client).collect();
        Self { stop, clients }
    }

    /// Closes all connections and waits for the end of the clients.
    fn disconnect(self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().expect("no client has panicked");
        }
    }
}

/// Connects once as an idle client, and returns at the end of the connection or when the clients are stopped.
fn hold_connection(address: SocketAddr, request: &str, stop: &AtomicBool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    thread::sleep(POLL_INTERVAL);
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    stream
        .set_read_timeout(Some(POLL_INTERVAL))
        .expect("the timeout is not zero");
    let _ = stream.write_all(request.as_bytes());
    while !stop.load(Ordering::Relaxed) {
        match stream.read(&mut [0; 1_024]) {
            Ok(1..) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => return,
        }
    }
}

/// Sends a request on a new connection. Returns `None` if the proxy closes the connection without a response.
fn try_request(proxy: &Proxy, id: &str) -> Option<Message> {
    let mut client = proxy.client();
    client
        .stream
        .write_all(request("read", id, "").as_bytes())
        .ok()?;
    read_message(&mut client.reader)
}

/// While discovery is down, idle clients take every descriptor that the proxy grants them. When discovery returns, the
/// proxy must still have descriptors for it and for a newly listed backend. Once the idle clients have disconnected,
/// new clients are served at once.
#[test]
fn idle_clients_cannot_take_the_descriptors_for_discovery_and_backends() {
    const MAX_RECOVERY_TIME: Duration = Duration::from_secs(8);
    let partial = request("read", "half", "");
    let requests = [
        String::new(),
        HEALTH_CHECK.to_owned(),
        partial[..partial.len() / 2].to_owned(),
    ];
    for mode in ["pushed", "on_request"] {
        let discovery = address_without_listener(&format!("127.79.0.{}", mode.len()));
        let mut config = config_with_discovery_at(&format!("crowd-{mode}"), discovery);
        config["limits"]["sockets"] = DESCRIPTORS.into();
        config["settings"]["membershipMode"] = mode.into();
        let known = active_endpoint("old", address_without_listener("127.79.0.1"));
        config["known"] = json!({"revision": 3, "complete": true, "members": [known]});
        let proxy =
            Proxy::start_with_descriptor_limit(&format!("crowd-{mode}"), &config, DESCRIPTORS);
        let idle_clients = IdleClients::start(proxy.address, &requests);
        // Leaves the proxy time to hold as many connections as it accepts.
        thread::sleep(Duration::from_secs(2));
        let discovery = Discovery::start_at(&discovery.to_string());
        let returned_at = Instant::now();
        let backend = Backend::start(|_| ok("there"));
        discovery.publish_and_wait(true, &[active_endpoint("new", backend.address)]);
        let mut attempts = 0;
        while try_request(&proxy, &format!("crowded-{attempts}"))
            .is_none_or(|got| got.status() != 200)
        {
            attempts += 1;
            assert!(
                returned_at.elapsed() < MAX_RECOVERY_TIME,
                "{mode}: no request was served within {:?} after the return of discovery",
                returned_at.elapsed()
            );
        }
        idle_clients.disconnect();
        let open: Vec<_> = (0..8).map(|_| proxy.client()).collect();
        for id in 0..8 {
            let got = try_request(&proxy, &format!("after-{id}")).expect("the proxy responds");
            assert_eq!(
                (got.status(), got.body.as_slice()),
                (200, b"there".as_slice()),
                "{mode}"
            );
        }
        drop(open);
    }
}

/// Connects more clients than the proxy accepts. Each sends `text` and keeps its connection; each byte of `trickle` is
/// sent a little later.
fn occupy_connections(proxy: &Proxy, text: &str, trickle: &'static [u8]) -> Vec<TcpStream> {
    const TRICKLE_INTERVAL: Duration = Duration::from_millis(300);
    let connect = |_| {
        let mut stream = TcpStream::connect(proxy.address).expect("the proxy listens");
        // The proxy may close the connection while the client is still writing.
        let _ = stream.write_all(text.as_bytes());
        stream
    };
    let streams: Vec<_> = (0..IDLE_CLIENT_COUNT).map(connect).collect();
    let mut writers: Vec<_> = streams
        .iter()
        .map(|stream| stream.try_clone().expect("the test has a free descriptor"))
        .collect();
    thread::spawn(move || {
        for byte in trickle {
            thread::sleep(TRICKLE_INTERVAL);
            for writer in &mut writers {
                let _ = writer.write_all(&[*byte]);
            }
        }
    });
    streams
}

/// Guards against clients that keep connections without a complete request, which left other clients without an answer:
/// clients that stop within a body, that continue it a byte at a time, and that send on after an error response.
#[test]
fn clients_that_stop_after_the_head_of_a_request_do_not_keep_others_from_an_answer() {
    const TIMEOUT_MS: u64 = 600;
    /// The latest time for the answer to a request, counted from its last byte.
    const MAX_ANSWER_TIME: Duration = Duration::from_millis(TIMEOUT_MS + 500);
    const TRICKLE: &[u8] = &[b'x'; 12];
    let half = "x".repeat(40_000);
    let head =
        |id: &str, length: &str| request("charge", id, "").replace("Content-Length: 0\r\n", length);
    let body = format!("{}{half}", head("same", "Content-Length: 80000\r\n"));
    let chunks = format!(
        "{}10000\r\n{half}",
        head("same", "Transfer-Encoding: chunked\r\n")
    );
    let invalid = format!("{}{half}", head("same", "Content-Length: 80000\r\n"))
        .replace("/charge", "/unknown");
    for (case, text, trickle) in [
        ("stopped", &body, &[][..]),
        ("stopped-chunk", &chunks, &[]),
        ("trickling", &body, TRICKLE),
        ("error", &invalid, TRICKLE),
    ] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let mut config = config(case, &discovery);
        config["limits"]["sockets"] = DESCRIPTORS.into();
        let proxy = Proxy::start_with_descriptor_limit(case, &config, DESCRIPTORS);
        discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
        let occupied = occupy_connections(&proxy, text, trickle);
        for id in 0..4 {
            let mut client = proxy.client();
            let sent_at = Instant::now();
            let id = format!("other-{id}");
            let got = client.exchange(&request_with_timeout("charge", &id, "", TIMEOUT_MS));
            let elapsed = sent_at.elapsed();
            assert_eq!(got.status(), 200, "{case}");
            assert!(
                elapsed < MAX_ANSWER_TIME,
                "{case}: answered after {elapsed:?}"
            );
        }
        drop(occupied);
    }
}

/// Guards against clients that stop in the middle of streamed bodies: their attempts occupied all slots of the backends,
/// and other requests were rejected.
#[test]
fn uploads_that_stop_do_not_keep_other_requests_from_the_backends() {
    const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let config = config_with_operator("stopped-uploads", &discovery);
    let proxy = Proxy::start_with_config("stopped-uploads", config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    let uploads: Vec<_> = (0..INITIAL_LIMIT)
        .map(|number| {
            let mut upload = proxy.client();
            let head = request("charge", &format!("upload-{number}"), "");
            upload.send(&head.replace("Content-Length: 0\r\n", "Content-Length: 8000000\r\n"));
            upload.send(&"x".repeat(3_000_000));
            upload
        })
        .collect();
    while proxy.metric("app_in_progress") != INITIAL_LIMIT as u64 {}
    let sent_at = Instant::now();
    let got = proxy.client().exchange(&request("charge", "other", ""));
    let elapsed = sent_at.elapsed();
    assert_eq!(got.status(), 200, "answered after {elapsed:?}");
    assert!(elapsed < MAX_ANSWER_TIME, "answered after {elapsed:?}");
    drop(uploads);
}

/// Runs a discovery service that serves this list to all proxies and answers calls slowly, one after another. A call
/// that has waited too long is answered with 503. A call for changes after the list's revision stays open.
fn serve_in_turn(address: SocketAddr, list: Value) {
    const CALL_DURATION: Duration = Duration::from_millis(200);
    const MAX_QUEUE_TIME: Duration = Duration::from_secs(3);
    let listener =
        TcpListener::bind(address).expect("no other test uses the loopback address of discovery");
    let (calls, queue) = channel::<(Instant, TcpStream)>();
    let newest = format!("after={}&", list["revision"]);
    thread::spawn(move || {
        for (received_at, mut stream) in queue {
            let reply = if received_at.elapsed() > MAX_QUEUE_TIME {
                response("503 Service Unavailable", "", b"")
            } else {
                thread::sleep(CALL_DURATION);
                response("200 OK", "", list.to_string().as_bytes())
            };
            let _ = stream.write_all(&reply);
        }
    });
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                return;
            };
            let calls = calls.clone();
            let newest = newest.clone();
            thread::spawn(move || {
                let mut reader =
                    BufReader::new(stream.try_clone().expect("the test has a free descriptor"));
                while let Some(call) = read_message(&mut reader) {
                    if !call.first_line().contains(&newest) {
                        let _ = calls.send((
                            Instant::now(),
                            stream.try_clone().expect("the test has a free descriptor"),
                        ));
                    }
                }
            });
        }
    });
}

/// The state of discovery and of the cached endpoint list when the proxies start.
#[derive(Clone, Copy, Debug)]
enum Start {
    /// Discovery answers one call after another.
    SlowDiscovery,
    /// Discovery is down for longer than a proxy may take to become ready.
    NoDiscovery,
    /// Discovery answers one call after another, and no endpoint list is cached.
    NothingCached,
}

/// The number of proxies that start together.
const PROXY_COUNT: usize = 16;

/// Returns the configuration of one of the proxies that start together.
fn config_of_proxy(
    name: &str,
    index: usize,
    start: Start,
    discovery: SocketAddr,
    endpoints: &Value,
) -> Value {
    let mut config = config_with_discovery_at(name, discovery);
    config["settings"]["membershipMode"] = "on_request".into();
    config["settings"]["me"] = index.into();
    config["settings"]["balancers"] = PROXY_COUNT.into();
    config["settings"]["safety"]["askWithinUs"] = 10_000_000.into();
    if !matches!(start, Start::NothingCached) {
        config["known"] = json!({"revision": 3, "complete": true, "members": endpoints});
    }
    config["seed"] = format!("{index:016x}").into();
    config
}

/// Many processes start together, as after a common crash, and all call discovery at once.
#[test]
fn at_least_nine_in_ten_proxies_that_start_together_are_ready_in_time() {
    const READY_WITHIN: Duration = Duration::from_secs(10);
    for start in [
        Start::SlowDiscovery,
        Start::NoDiscovery,
        Start::NothingCached,
    ] {
        let backend = Backend::start(|_| ok("there"));
        let endpoints = json!([active_endpoint("s-1", backend.address)]);
        let discovery = address_without_listener("127.79.1.1");
        if !matches!(start, Start::NoDiscovery) {
            serve_in_turn(
                discovery,
                json!({"revision": 9, "complete": true, "members": endpoints}),
            );
        }
        let began = Instant::now();
        let start_proxy = |index: usize| {
            let name = format!("together-{start:?}-{index}");
            let config = config_of_proxy(&name, index, start, discovery, &endpoints);
            Proxy::start_with_config(&name, config)
        };
        let proxies: Vec<_> = (0..PROXY_COUNT).map(start_proxy).collect();
        let mut waiting: Vec<_> = proxies.iter().collect();
        while !waiting.is_empty() && began.elapsed() < READY_WITHIN {
            waiting.retain(|proxy| proxy.status_of(HEALTH_CHECK) != 200);
            thread::sleep(Duration::from_millis(20));
        }
        assert!(
            waiting.len() * 10 <= PROXY_COUNT,
            "{start:?}: {} of {PROXY_COUNT} are not ready",
            waiting.len()
        );
        let ready = proxies
            .iter()
            .filter(|proxy| !waiting.iter().any(|other| std::ptr::eq(*proxy, *other)));
        for (i, proxy) in ready.enumerate() {
            assert_eq!(
                proxy.status_of(&request("read", &i.to_string(), "")),
                200,
                "{start:?}"
            );
        }
    }
}

/// The pieces of a slow body, their interval and their size: 64 kB a second.
const SLOW_PIECES: usize = 30;
const SLOW_PIECE_INTERVAL: Duration = Duration::from_millis(100);
const SLOW_PIECE_BYTES: usize = 6_400;

/// Sends a request with a body that keeps its pace, and returns the status of the response; `None` if there is none.
fn send_slowly(address: SocketAddr, id: &str) -> Option<u16> {
    let mut client = Client::connect(address);
    let length = format!("Content-Length: {}\r\n", SLOW_PIECES * SLOW_PIECE_BYTES);
    let head = request_with_timeout("submit", id, "", 1_000);
    let head = head.replace("Content-Length: 0\r\n", &length);
    client.stream.write_all(head.as_bytes()).ok()?;
    for _ in 0..SLOW_PIECES {
        thread::sleep(SLOW_PIECE_INTERVAL);
        client.stream.write_all(&[b'u'; SLOW_PIECE_BYTES]).ok()?;
    }
    read_message(&mut client.reader).map(|response| response.status())
}

/// Guards against slow uploads that held every client connection of the proxy while the clients together held no more
/// than a third of the descriptors: requests of other clients had no answer.
#[test]
fn slow_uploads_within_a_third_of_the_descriptors_leave_connections_for_other_clients() {
    const TIMEOUT_MS: u64 = 1_000;
    const MAX_ANSWER_TIME: Duration = Duration::from_millis(TIMEOUT_MS + 500);
    for (descriptors, upload_count, is_shared, is_upgraded) in [
        (256, 70, false, false),
        (256, 70, true, false),
        (256, 64, true, true),
        (1_024, 300, false, false),
    ] {
        let case = format!("slow-{descriptors}-{is_shared}-{is_upgraded}");
        let discovery = Discovery::start();
        let backends: Vec<_> = (0..5).map(|_| Backend::start(|_| ok("there"))).collect();
        let endpoints: Vec<_> = backends
            .iter()
            .enumerate()
            .map(|(i, backend)| active_endpoint(&format!("s-{i}"), backend.address))
            .collect();
        let mut config = config_with_operator(&case, &discovery);
        config["limits"]["memory_mb"] = 32.into();
        config["limits"]["sockets"] = descriptors.into();
        let (listener, address) = bind_listener("127.0.0.1:0");
        let proxy = if is_shared {
            start_with_listener(&case, &config, &listener)
        } else {
            Proxy::start_with_config(&case, config.clone())
        };
        let address = if is_shared { address } else { proxy.address };
        discovery.publish_and_wait(true, &endpoints);
        let uploads: Vec<_> = (0..upload_count)
            .map(|i| thread::spawn(move || send_slowly(address, &format!("slow-{i}"))))
            .collect();
        thread::sleep(Duration::from_millis(800));
        let new = is_upgraded.then(|| {
            let new = start_with_listener(&format!("{case}-new"), &config, &listener);
            while new.operator_call("GET", "/control/ready").status() != 200 {}
            proxy.terminate();
            new
        });
        let others: Vec<_> = (0..12)
            .map(|i| {
                thread::spawn(move || {
                    let mut client = Client::connect(address);
                    let sent_at = Instant::now();
                    let id = format!("other-{i}");
                    let got =
                        client.exchange(&request_with_timeout("charge", &id, "x", TIMEOUT_MS));
                    (got.status(), sent_at.elapsed())
                })
            })
            .collect();
        for other in others {
            let (status, elapsed) = other.join().expect("the proxy answers");
            assert!([200, 503].contains(&status), "{case}: {status}");
            assert!(elapsed < MAX_ANSWER_TIME, "{case}: after {elapsed:?}");
        }
        let statuses: Vec<_> = uploads
            .into_iter()
            .map(|upload| upload.join().expect("no upload has panicked"))
            .collect();
        assert!(
            statuses
                .iter()
                .all(|status| matches!(status, Some(200 | 503))),
            "{case}: {statuses:?}"
        );
        drop(new);
    }
}

/// Guards against slow uploads that are answered as if their clients were late, because there is no memory to read what
/// they have sent.
#[test]
fn slow_uploads_that_cannot_be_read_for_lack_of_memory_are_rejected() {
    const UPLOADS: usize = 70;
    let plays = [12, 14, 16, 18, 20].map(|memory_mb| {
        thread::spawn(move || {
            let name = format!("slow-unread-{memory_mb}");
            let discovery = Discovery::start();
            let backend = Backend::start(|_| ok("there"));
            let mut config = config(&name, &discovery);
            config["limits"]["memory_mb"] = memory_mb.into();
            config["limits"]["sockets"] = 256.into();
            let proxy = Proxy::start_with_config(&name, config);
            discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
            let address = proxy.address;
            let uploads: Vec<_> = (0..UPLOADS)
                .map(|i| thread::spawn(move || send_slowly(address, &format!("unread-{i}"))))
                .collect();
            let statuses: Vec<_> = uploads
                .into_iter()
                .map(|upload| upload.join().expect("no upload has panicked"))
                .collect();
            assert!(
                !statuses.contains(&Some(408)),
                "{memory_mb} MB: {statuses:?}"
            );
        })
    });
    let failed = plays
        .into_iter()
        .filter_map(|play| play.join().err())
        .count();
    assert_eq!(failed, 0, "plays with late bodies");
}
