//! Ill-timed moments: what comes between a decision and what follows from it.

use crate::UP;
use crate::rig::{
    Backend, Discovery, FullQueue, PATIENCE, Proxy, Reply, answer, config, entry, read_message, request,
};
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

/// A connection that is asked for again and again comes up this long after its queue has room, at the latest.
const COMES_UP: Duration = Duration::from_secs(4);

/// The ids of the requests that come on connections to a backend, which answers them, until none has come up for long.
fn ids_that_come(listener: TcpListener) -> Vec<String> {
    let listener = socket2::Socket::from(listener);
    listener.set_read_timeout(Some(COMES_UP)).expect("a time-out");
    let mut seen = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        let mut stream = TcpStream::from(stream);
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let Some(got) = read_message(&mut BufReader::new(&stream)) else { continue };
        seen.push(got.header("x-correlation-id").expect("an id").to_owned());
        stream.write_all(&answer("200 OK", "", b"there")).expect("the proxy reads");
    }
    seen
}

#[test]
fn a_request_whose_client_left_while_its_connection_came_up_is_not_sent() {
    let discovery = Discovery::start();
    let backend = FullQueue::start();
    let proxy = Proxy::start("left-dialing", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut leaver = proxy.client();
    leaver.send(&request("charge", "left", "x"));
    assert_eq!(proxy.client().ask(UP).status(), 200, "the proxy has seen what came before");
    leaver.stream.shutdown(Shutdown::Write).expect("an open connection");
    assert!(leaver.ends_cleanly(), "the proxy has seen that the client left");
    let mut client = proxy.client();
    client.send(&request("charge", "stays", "x"));
    assert_eq!(ids_that_come(backend.empty()), ["stays"]);
    assert_eq!(client.receive().body, b"there");
}

/// For how long backends drop a repeat.
const WINDOW: Duration = Duration::from_millis(600);

/// The window counts from the first attempt that may have run, and ends before the connection of the second comes up.
#[test]
fn a_repeat_of_a_key_is_not_sent_once_backends_may_have_forgotten_it() {
    let discovery = Discovery::start();
    let (release, word) = channel();
    let mut reply = Some(Reply::After(word, Box::new(Reply::WriteAndClose(Vec::new()))));
    let breaks = Backend::start(move |_| reply.take().expect("asked once"));
    let late = FullQueue::start();
    let mut config = config("window", &discovery);
    config["settings"]["classes"][1]["keyTtlUs"] = (WINDOW.as_micros() as u64).into();
    let proxy = Proxy::start_with("window", config);
    discovery.post(true, &[entry("s-1", breaks.address, "active", 0)]);
    let mut client = proxy.client();
    client.send(&request("submit", "keyed", "x"));
    breaks.next();
    discovery.post(false, &[entry("s-2", late.address, "active", 0)]);
    release.send(()).expect("the backend waits");
    // The one span of time that matters here: it is over before the second backend takes a connection.
    std::thread::sleep(WINDOW);
    assert_eq!(ids_that_come(late.empty()), [""; 0]);
    assert_eq!(client.receive().status(), 502, "it may have run, and is not repeated");
}
