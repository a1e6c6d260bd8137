//! Ill-timed moments: what comes between a decision and what follows from it.

use crate::rig::{Discovery, FullQueue, PATIENCE, Proxy, answer, entry, read_message, request};
use std::io::{BufReader, Write};
use std::net::Shutdown;

/// A connection that is asked for again and again comes up this long after its queue has room, at the latest.
const COMES_UP: std::time::Duration = std::time::Duration::from_secs(4);

#[test]
fn a_request_whose_client_left_while_its_connection_came_up_is_not_sent() {
    let discovery = Discovery::start();
    let backend = FullQueue::start();
    let proxy = Proxy::start("left-dialing", &discovery, &[entry("s-1", backend.address, "active", 0)]);
    let mut leaver = proxy.client();
    leaver.send(&request("charge", "left", "x"));
    assert_eq!(proxy.client().ask(crate::UP).status(), 200, "the proxy has seen what came before");
    leaver.stream.shutdown(Shutdown::Write).expect("an open connection");
    assert!(leaver.ends_cleanly(), "the proxy has seen that the client left");
    let listener = socket2::Socket::from(backend.empty());
    listener.set_read_timeout(Some(COMES_UP)).expect("a time-out");
    let mut client = proxy.client();
    client.send(&request("charge", "stays", "x"));
    let mut seen = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        let mut stream = std::net::TcpStream::from(stream);
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let Some(got) = read_message(&mut BufReader::new(&stream)) else { continue };
        seen.push(got.header("x-correlation-id").expect("an id").to_owned());
        stream.write_all(&answer("200 OK", "", b"there")).expect("the proxy reads");
    }
    assert_eq!(client.receive().body, b"there");
    assert_eq!(seen, ["stays"]);
}
