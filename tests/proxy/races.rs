//! Races: what happens between a decision and its execution, such as a disconnect during a connect.

use crate::rig::*;

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// The kernel repeats a connect at most this long after the queue of the listener has room.
const RECONNECTS_WITHIN: Duration = Duration::from_secs(4);

/// Accepts connections and answers a request on each, until no connection has come for long. Returns the ids of
/// the requests.
fn received_ids(listener: TcpListener) -> Vec<String> {
    let listener = socket2::Socket::from(listener);
    listener
        .set_read_timeout(Some(RECONNECTS_WITHIN))
        .expect("a time-out");
    let mut seen = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        let mut stream = TcpStream::from(stream);
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let Some(got) = read_message(&mut BufReader::new(&stream)) else {
            continue;
        };
        seen.push(got.header("x-correlation-id").expect("an id").to_owned());
        stream
            .write_all(&answer("200 OK", "", b"there"))
            .expect("the proxy reads");
    }
    seen
}

#[test]
fn a_request_whose_client_disconnects_during_the_connect_is_not_sent() {
    let discovery = Discovery::start();
    let backend = FullQueue::start();
    let proxy = Proxy::start(
        "left-dialing",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
    );
    let mut disconnecting = proxy.client();
    disconnecting.send(&request("charge", "left", "x"));
    assert_eq!(
        proxy.client().ask(UP).status(),
        200,
        "the proxy has seen what came before"
    );
    disconnecting
        .stream
        .shutdown(Shutdown::Write)
        .expect("an open connection");
    assert!(
        disconnecting.ends_cleanly(),
        "the proxy has seen that the client left"
    );
    let mut client = proxy.client();
    client.send(&request("charge", "stays", "x"));
    assert_eq!(received_ids(backend.empty()), ["stays"]);
    assert_eq!(client.receive().body, b"there");
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
        let breaks = Backend::start(move |_| reply.take().expect("asked once"));
        let late = FullQueue::start();
        let name = format!("window-{group}");
        let mut config = config(&name, &discovery);
        config["settings"]["classes"][1]["keyTtlUs"] = (KEY_TTL.as_micros() as u64).into();
        config["settings"]["classes"][1]["group"] = group.into();
        let proxy = Proxy::start_with(&name, config);
        discovery.post(true, &[entry("s-1", breaks.address, "active", 0)]);
        let mut client = proxy.client();
        client.send(&request("submit", "keyed", "x"));
        breaks.next();
        discovery.post(false, &[entry("s-2", late.address, "active", 0)]);
        release.send(()).expect("the backend waits");
        // This test is about the time: the key expires before the second backend accepts a connection.
        std::thread::sleep(KEY_TTL);
        assert_eq!(received_ids(late.empty()), [""; 0]);
        assert_eq!(
            client.receive().status(),
            502,
            "it may have run, and is not repeated"
        );
    }
}

#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    HalfClose,
    Reset,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];

/// Disconnects in that way. After a half-close the client is returned, because dropping it would close it.
fn disconnect(client: Client, way: Disconnect) -> Option<Client> {
    match way {
        Disconnect::Close => None,
        Disconnect::HalfClose => {
            client
                .stream
                .shutdown(Shutdown::Write)
                .expect("an open connection");
            Some(client)
        }
        Disconnect::Reset => {
            let socket = socket2::SockRef::from(&client.stream);
            socket
                .set_linger(Some(Duration::ZERO))
                .expect("an open connection");
            None
        }
    }
}

/// A proxy whose queued requests wait for many seconds.
fn start_with_long_timeouts(
    name: &str,
    discovery: &Discovery,
    backend: &Backend,
    memory_mb: u64,
) -> Proxy {
    let mut config = operated(name, discovery);
    for class in [0, 2] {
        config["settings"]["classes"][class]["deadlineUs"] = 200_000_000.into();
        config["settings"]["classes"][class]["aimUs"] = 100_000_000.into();
    }
    config["limits"]["memory_mb"] = memory_mb.into();
    let proxy = Proxy::start_with(name, config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    proxy
}

/// Waits until this many requests are in progress, for less time than any is queued. Returns how long it took.
fn wait_for_in_progress(proxy: &Proxy, requests: usize) -> Duration {
    let began = std::time::Instant::now();
    while proxy.figure("app_in_progress") != requests as u64 {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "not {requests} in progress"
        );
    }
    began.elapsed()
}

/// Lets the backend answer and sends one more request, which is the only one that the backend may receive.
fn only_new_requests_arrive(
    proxy: &Proxy,
    backend: &Backend,
    clients: Vec<Client>,
    releases: &[std::sync::mpsc::Sender<()>],
) {
    for (release, mut client) in releases.iter().zip(clients.into_iter().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().status(), 200);
    }
    assert_eq!(
        proxy
            .client()
            .ask(&request("charge", "stays", "x"))
            .status(),
        200
    );
    assert_eq!(backend.next().header("x-correlation-id"), Some("stays"));
}

#[test]
fn queued_requests_whose_clients_disconnect_in_a_burst_are_not_sent() {
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = start_with_long_timeouts("burst", &discovery, &backend, 192);
    let clients = fill(&proxy, &backend);
    let behind = pipelined_input();
    let mut disconnecting = Vec::new();
    for (i, (way, behind)) in DISCONNECTS
        .iter()
        .flat_map(|way| behind.iter().map(move |b| (*way, b)))
        .enumerate()
    {
        let mut client = proxy.client();
        client.send(
            &(request("charge", &format!("left-{i}"), "x").replace("15000", "190000") + behind),
        );
        disconnecting.push((client, way));
    }
    wait_for_in_progress(&proxy, INITIAL_LIMIT + disconnecting.len());
    let left: Vec<_> = disconnecting
        .into_iter()
        .filter_map(|(client, way)| disconnect(client, way))
        .collect();
    wait_for_in_progress(&proxy, INITIAL_LIMIT);
    only_new_requests_arrive(&proxy, &backend, clients, &releases);
    drop(left);
}

/// The end of its body is still in the kernel: nobody reads it before the request is sent to a backend.
#[test]
fn a_queued_request_whose_client_disconnects_behind_its_unread_body_is_not_sent() {
    for way in DISCONNECTS {
        let discovery = Discovery::start();
        let (backend, releases) = full_backend();
        let proxy = start_with_long_timeouts(&format!("unread-{way:?}"), &discovery, &backend, 8);
        let clients = fill(&proxy, &backend);
        let mut client = proxy.client();
        let body = "x".repeat(1_740_000);
        client.send(&request("charge", "left", &body).replace("15000", "190000"));
        wait_for_in_progress(&proxy, INITIAL_LIMIT + 1);
        let left = disconnect(client, way);
        wait_for_in_progress(&proxy, INITIAL_LIMIT);
        only_new_requests_arrive(&proxy, &backend, clients, &releases);
        drop(left);
    }
}

/// What a client may have sent behind its request when it disconnects: nothing, another request, garbage.
fn pipelined_input() -> [String; 3] {
    [
        String::new(),
        request("charge", "behind", "x"),
        "x".repeat(20_000),
    ]
}

/// A backend that reports its request, and closes the connection without a response at a signal.
fn closes_on_signal() -> (Backend, std::sync::mpsc::Sender<()>) {
    let (release, signal) = channel();
    let mut reply = Some(Reply::After(
        signal,
        Box::new(Reply::WriteAndClose(Vec::new())),
    ));
    (
        Backend::start(move |_| reply.take().expect("asked once")),
        release,
    )
}

/// No attempt starts later than this after its client has disconnected.
const DISCONNECT_NOTICED_WITHIN: Duration = Duration::from_millis(100);

/// The client disconnects during the connect, in each way and whatever it sent behind its request.
#[test]
fn a_request_is_not_sent_on_a_connection_that_comes_up_after_its_client_disconnected() {
    let discovery = Discovery::start();
    let backend = FullQueue::start();
    let mut config = operated("left-connecting", &discovery);
    // A single backend has a low limit; requests beyond it would be queued.
    config["settings"]["permissions"]["dialTimeoutUs"] = 15_000_000.into();
    let proxy = Proxy::start_with("left-connecting", config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let mut noticed_after = Vec::new();
    for (i, (way, behind)) in DISCONNECTS
        .iter()
        .flat_map(|way| pipelined_input().map(|b| (*way, b)))
        .enumerate()
    {
        let mut client = proxy.client();
        client.send(&(request("charge", &format!("left-{i}"), "x") + &behind));
        wait_for_in_progress(&proxy, 1);
        let left = disconnect(client, way);
        noticed_after.push(wait_for_in_progress(&proxy, 0));
        drop(left);
    }
    // A machine that is busy elsewhere may hold up some of them.
    noticed_after.sort_unstable();
    assert!(
        noticed_after[noticed_after.len() / 2] <= DISCONNECT_NOTICED_WITHIN,
        "{noticed_after:?}"
    );
    let mut client = proxy.client();
    client.send(&request("charge", "stays", "x"));
    assert_eq!(received_ids(backend.empty()), ["stays"]);
    assert_eq!(client.receive().body, b"there");
}

/// The first attempt is in flight when its client disconnects, and a retry would have followed.
#[test]
fn a_request_is_not_retried_after_its_client_disconnected() {
    for (i, (way, behind)) in DISCONNECTS
        .iter()
        .flat_map(|way| pipelined_input().map(|b| (*way, b)))
        .enumerate()
    {
        let discovery = Discovery::start();
        let (breaks, release) = closes_on_signal();
        let other = Backend::start(|_| ok("there"));
        let name = format!("left-retry-{i}");
        let proxy = Proxy::start_with(&name, operated(&name, &discovery));
        discovery.post(true, &[entry("s-1", breaks.address, "active", 0)]);
        let mut client = proxy.client();
        client.send(&(request("read", "left", "") + &behind));
        breaks.next();
        discovery.post(
            true,
            &[
                entry("s-1", breaks.address, "active", 0),
                entry("s-2", other.address, "active", 0),
            ],
        );
        let left = disconnect(client, way);
        wait_for_in_progress(&proxy, 0);
        release.send(()).expect("the backend waits");
        discovery.post(true, &[entry("s-2", other.address, "active", 0)]);
        for id in ["stays", "comes later"] {
            assert_eq!(
                proxy.client().ask(&request("charge", id, "x")).status(),
                200
            );
            assert_eq!(
                other.next().header("x-correlation-id"),
                Some(id),
                "{way:?}, {} behind it",
                behind.len()
            );
        }
        drop(left);
    }
}

/// The first attempt has ended, the retry is queued, and its client disconnects meanwhile.
#[test]
fn a_queued_retry_is_not_sent_after_its_client_disconnected() {
    for (i, (way, behind)) in DISCONNECTS
        .iter()
        .flat_map(|way| pipelined_input().map(|b| (*way, b)))
        .enumerate()
    {
        let discovery = Discovery::start();
        let (breaks, release) = closes_on_signal();
        let (backend, releases) = full_backend();
        let proxy =
            start_with_long_timeouts(&format!("left-waiting-{i}"), &discovery, &breaks, 192);
        let mut client = proxy.client();
        client.send(&(request("read", "left", "").replace("15000", "190000") + &behind));
        breaks.next();
        discovery.post(true, &[entry("s-2", backend.address, "active", 0)]);
        let clients = fill(&proxy, &backend);
        release.send(()).expect("the backend waits");
        // By then it has seen that the first attempt broke.
        (0..20).for_each(|_| _ = proxy.client().ask(UP));
        let left = disconnect(client, way);
        wait_for_in_progress(&proxy, INITIAL_LIMIT);
        only_new_requests_arrive(&proxy, &backend, clients, &releases);
        drop(left);
    }
}

/// The first attempt takes some of the client's time, and the second one's connection some more.
#[test]
fn a_retry_sends_its_backend_no_more_than_the_remaining_time() {
    const FIRST_TAKES: Duration = Duration::from_millis(400);
    const TIME_LEFT: Duration = Duration::from_millis(15_000);
    let discovery = Discovery::start();
    let (breaks, release) = closes_on_signal();
    let late = FullQueue::start();
    let proxy = Proxy::start(
        "time-left",
        &discovery,
        &[entry("s-1", breaks.address, "active", 0)],
    );
    let mut client = proxy.client();
    let sent_at = std::time::Instant::now();
    client.send(&request("read", "slow", ""));
    breaks.next();
    discovery.post(true, &[entry("s-2", late.address, "active", 0)]);
    std::thread::sleep(FIRST_TAKES);
    release.send(()).expect("the backend waits");
    std::thread::sleep(FIRST_TAKES);
    let listener = late.empty();
    let (mut stream, _) = listener.accept().expect("the second attempt");
    let seen = read_message(&mut BufReader::new(&stream)).expect("a request");
    let left = TIME_LEFT.saturating_sub(sent_at.elapsed());
    stream
        .write_all(&answer("200 OK", "", b"there"))
        .expect("the proxy reads");
    assert_eq!(client.receive().body, b"there");
    let time_left: u64 = seen
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

/// The end comes behind far more bytes than the kernel buffers for a connection that nobody reads.
#[test]
fn a_disconnect_behind_more_than_the_kernel_buffers_is_noticed() {
    const FAR_BEHIND: usize = 1_000_000;
    let discovery = Discovery::start();
    let (backend, releases) = full_backend();
    let proxy = start_with_long_timeouts("far-behind", &discovery, &backend, 192);
    let clients = fill(&proxy, &backend);
    let further = request("charge", "behind", "x");
    let behind = [
        further.repeat(FAR_BEHIND / further.len()),
        "x".repeat(FAR_BEHIND),
    ];
    for (i, (way, behind)) in DISCONNECTS
        .iter()
        .flat_map(|way| behind.iter().map(move |b| (*way, b)))
        .enumerate()
    {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("left-{i}"), "x").replace("15000", "190000"));
        wait_for_in_progress(&proxy, INITIAL_LIMIT + 1);
        client.send(behind);
        let left = disconnect(client, way);
        wait_for_in_progress(&proxy, INITIAL_LIMIT);
        drop(left);
    }
    only_new_requests_arrive(&proxy, &backend, clients, &releases);
}

/// More comes behind an open request than is read ahead.
#[test]
fn pipelined_requests_behind_an_open_one_are_served_in_order() {
    const FURTHER: usize = 60;
    const BODY: usize = 60_000;
    let discovery = Discovery::start();
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let backend = Backend::start(move |seen| {
        let own = ok(&String::from_utf8_lossy(&seen.body));
        match signal.take() {
            Some(signal) => Reply::After(signal, Box::new(own)),
            None => own,
        }
    });
    let proxy = Proxy::start(
        "in-order",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
    );
    let mut client = proxy.client();
    client.send(&request("charge", "open", "first"));
    backend.next();
    let mut stream = client.stream.try_clone().expect("a clone");
    let body = |i: usize| format!("{i:06}").repeat(BODY / 6);
    let sending = std::thread::spawn(move || {
        for i in 0..FURTHER {
            stream.write_all(request("charge", &format!("further-{i}"), &body(i)).as_bytes())?;
        }
        Ok::<_, std::io::Error>(())
    });
    // By then it has read what it reads ahead.
    (0..20).for_each(|_| _ = proxy.client().ask(UP));
    release.send(()).expect("the backend waits");
    assert_eq!(client.receive().body, b"first");
    for i in 0..FURTHER {
        let got = client.receive();
        assert!(
            got.status() == 200 && got.body == body(i).as_bytes(),
            "request {i}: {}",
            got.status()
        );
    }
    sending
        .join()
        .expect("a thread")
        .expect("the proxy reads all");
}

/// The proxy may hold a single connection, and another one waits in the kernel's queue with its request. After
/// SIGTERM, the first connection ends when nothing else keeps the process alive.
#[test]
fn a_request_that_waits_to_be_accepted_is_served_before_the_process_ends() {
    let discovery = Discovery::start();
    let (release, signal) = channel();
    let mut signal = Some(signal);
    let backend = Backend::start(move |_| match signal.take() {
        Some(signal) => Reply::After(signal, Box::new(ok("first"))),
        None => ok("queued"),
    });
    let mut config = config("queued", &discovery);
    config["limits"]["memory_mb"] = 0.into();
    let mut proxy = Proxy::start_with("queued", config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    let mut first = proxy.client();
    first.send(&request("charge", "1", "x"));
    backend.next();
    let mut queued = proxy.client();
    queued.send(&request("charge", "2", "x"));
    proxy.terminate();
    // Connections are accepted for a minimum time; its end cannot be seen from outside.
    std::thread::sleep(Duration::from_millis(1_200));
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
    let members = [entry("s-1", backend.address, "active", 0)];
    let mut proxy = loop {
        let mut proxy = Proxy::start("halted", &discovery, &members);
        proxy.terminate();
        while proxy.client().ask(UP).status() == 200 {}
        proxy.halt();
        // Where the test itself was delayed for so long that the process has ended, it starts again.
        if proxy.child.try_wait().expect("a child").is_none() {
            break proxy;
        }
    };
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    // The end of that time cannot be seen from outside.
    std::thread::sleep(Duration::from_millis(1_500));
    proxy.go_on();
    assert_eq!(client.receive().body, b"there");
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// The client reads nothing until SIGTERM, so most of the response waits. The response starts before the signal,
/// or behind it and then closes its connection.
#[test]
fn a_response_that_is_read_late_is_complete_before_the_process_ends() {
    const LENGTH: usize = 8 << 20;
    let body: Vec<u8> = (0..LENGTH).map(|i| (i / 7) as u8).collect();
    for behind in [false, true] {
        let discovery = Discovery::start();
        let (release, signal) = channel();
        let mut reply = Some(Reply::After(
            signal,
            Box::new(Reply::Write(answer("200 OK", "", &body))),
        ));
        let backend = Backend::start(move |_| reply.take().expect("asked once"));
        let name = format!("read-late-{behind}");
        let mut proxy = Proxy::start(
            &name,
            &discovery,
            &[entry("s-1", backend.address, "active", 0)],
        );
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        backend.next();
        let let_begin = || {
            release.send(()).expect("the backend waits");
            assert_eq!(client.stream.peek(&mut [0]).expect("it begins"), 1);
        };
        if !behind {
            let_begin();
        }
        proxy.terminate();
        while proxy.client().ask(UP).status() == 200 {}
        if behind {
            let_begin();
        }
        let got = client.receive();
        assert_eq!(
            (got.status(), got.header("connection")),
            (200, behind.then_some("close"))
        );
        assert!(got.body == body, "{} bytes", got.body.len());
        assert!(client.ends_cleanly());
        drop(client);
        assert_eq!(proxy.wait().code(), Some(0));
    }
}

/// The platform may kill the process 3.7 s after the signal, however long the deadlines are.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);

/// Signals come twice and together, the backend hangs, one connection is silent, one body is still coming.
#[test]
fn requests_behind_sigterm_are_answered_before_the_process_may_be_killed() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::Hang);
    let mut proxy = Proxy::start(
        "killed",
        &discovery,
        &[entry("s-1", backend.address, "active", 0)],
    );
    let (mut unresponsive, mut flowing, mut late) =
        (proxy.client(), proxy.client(), proxy.client());
    assert_eq!(late.ask(UP).status(), 200);
    let whole = request("charge", "flowing", "0123456789");
    let (most, last) = whole.split_at(whole.len() - 5);
    flowing.send(most);
    assert_eq!(
        proxy.client().ask(UP).status(),
        200,
        "what came before was seen"
    );
    let began = std::time::Instant::now();
    proxy.terminate();
    proxy.reload("{");
    proxy.terminate();
    while proxy.client().ask(UP).status() == 200 {}
    late.send(&request("charge", "late", "x"));
    std::thread::sleep(Duration::from_millis(1_000));
    flowing.send(last);
    for client in [&mut late, &mut flowing] {
        assert_eq!(client.receive().status(), 502, "it may have run");
    }
    assert!(
        began.elapsed() < KILLED_AFTER,
        "after {:?}",
        began.elapsed()
    );
    assert!(unresponsive.ends_cleanly());
    drop((unresponsive, flowing, late));
    assert_eq!(proxy.wait().code(), Some(0));
    assert!(began.elapsed() < KILLED_AFTER);
}

#[test]
fn a_sigterm_before_the_process_can_serve_ends_it_cleanly() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::start_bare("unready", &discovery);
    proxy.terminate();
    let refused = proxy
        .client()
        .ask(&request("read", "1", "").replace("15000", "300"));
    assert_eq!(refused.status(), 503);
    assert_eq!(proxy.wait().code(), Some(0));
}

/// Responses without an end, as fast as they are read and byte by byte.
#[test]
fn endless_responses_time_out_and_take_no_memory() {
    let ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let (fast, slow) = (Duration::ZERO, Duration::from_millis(20));
    let large = "x".repeat(64 * 1024);
    let cases = [
        ("HTTP/1.1 200 OK\r\nX-Long: ", "x", slow),
        ("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", fast),
        ("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", fast),
        (
            "HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\nx\r\n",
            slow,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n",
            "x",
            slow,
        ),
        (ok, "1\r\nx\r\n", slow),
        (ok, &format!("{:x}\r\n{large}\r\n", large.len()), fast),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x", slow),
    ];
    let (mut proxies, mut clients) = (Vec::new(), Vec::new());
    for (i, (first, again, pause)) in cases.into_iter().enumerate() {
        let (first, again) = (first.as_bytes().to_vec(), again.as_bytes().to_vec());
        let discovery = Discovery::start();
        let backend = Backend::start(move |_| Reply::Endless(first.clone(), again.clone(), pause));
        let proxy = Proxy::start(
            &format!("endless-{i}"),
            &discovery,
            &[entry("s-1", backend.address, "active", 0)],
        );
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x").replace("15000", "2000"));
        clients.push(client);
        proxies.push((proxy, backend, discovery));
    }
    let began = std::time::Instant::now();
    for (i, mut client) in clients.into_iter().enumerate() {
        let mut got = Vec::new();
        let ended = std::io::Read::read_to_end(&mut client.reader, &mut got);
        let failed = got.starts_with(b"HTTP/1.1 502");
        assert!(
            failed || (ended.is_err() && got.starts_with(b"HTTP/1.1 200")),
            "case {i}: {} bytes",
            got.len()
        );
        let (proxy, ..) = &proxies[i];
        assert!(
            proxy.peak_memory() < 40_000,
            "case {i}: {} kB",
            proxy.peak_memory()
        );
    }
    // One that fails may stay idle for 2.5 s.
    assert!(
        began.elapsed() < Duration::from_millis(5_500),
        "{:?}",
        began.elapsed()
    );
}

/// A backend that responds once the head of a request has come, and reads on at a signal. Sends how many bytes of
/// the body came.
fn responds_early(early: Vec<u8>, signal: Receiver<()>) -> (SocketAddr, Receiver<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, came) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            reader.read_line(&mut line).expect("a head");
        }
        stream.write_all(&early).expect("the proxy reads");
        signal.recv_timeout(TEST_TIMEOUT).expect("a signal");
        let _ = sender.send(std::io::copy(&mut reader, &mut std::io::sink()).unwrap_or_default());
    });
    (address, came)
}

/// The client has its response, so the backend must not get the rest of the body and run the request. A 200 that
/// comes before the complete request can't be its response.
#[test]
fn a_request_answered_before_its_body_never_arrives_completely() {
    const LENGTH: usize = 3 << 20;
    let large = "x".repeat(100_000);
    let cases = [
        (
            answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", b""),
            503,
        ),
        (answer("500 Oops", "", b""), 502),
        (answer("200 OK", "", b"another's"), 502),
        (answer("200 OK", "", large.as_bytes()), 502),
    ];
    for (i, (early, status)) in cases.into_iter().enumerate() {
        let discovery = Discovery::start();
        let (release, signal) = channel();
        let (address, came) = responds_early(early, signal);
        let name = format!("answered-early-{i}");
        let proxy = Proxy::start(&name, &discovery, &[entry("s-1", address, "active", 0)]);
        let mut client = proxy.client();
        let whole = request("charge", "1", &"x".repeat(LENGTH));
        let (most, last) = whole.split_at(whole.len() - 1_000);
        client.send(most);
        assert_eq!(client.receive().status(), status, "case {i}");
        // Where the proxy has ended the request, nobody reads this.
        let _ = client.stream.write_all(last.as_bytes());
        drop(client);
        release.send(()).expect("the backend waits");
        let came = came
            .recv_timeout(TEST_TIMEOUT)
            .expect("the connection ends");
        assert!(
            came < LENGTH as u64,
            "case {i}: {came} bytes of the body came"
        );
    }
}
