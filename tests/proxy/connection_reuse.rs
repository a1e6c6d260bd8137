//! Connections to backends: which are used again.

use crate::rig::*;
use std::sync::mpsc::channel;

#[test]
fn a_connection_that_its_backend_has_closed_is_not_reused() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::WriteAndClose(response("200 OK", "", b"last")));
    let proxy = Proxy::start_with_backend("closed", &discovery, backend.address);
    let mut client = proxy.client();
    for id in ["1", "2", "3", "4"] {
        assert_eq!(client.exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request();
        // The proxy can't know of a close that has not arrived, which would reset the next request.
        backend.wait_until_closed();
    }
}

/// A connection that is closed while the process is stopped looks open to the runtime at the next request.
#[test]
fn a_connection_whose_close_the_runtime_has_not_seen_is_not_reused() {
    let discovery = Discovery::start();
    let (closes, signals): (Vec<_>, Vec<_>) = (0..4).map(|_| channel()).unzip();
    let mut signals = signals.into_iter();
    let backend = Backend::start(move |_| {
        let signal = signals.next().expect("as many requests as signals");
        Reply::WriteThenWait {
            bytes: response("200 OK", "", b"last"),
            signal,
            next: Box::new(Reply::WriteAndClose(Vec::new())),
        }
    });
    let proxy = Proxy::start_with_backend("closed-unseen", &discovery, backend.address);
    let mut client = proxy.client();
    for (id, close) in closes.iter().enumerate() {
        client.send(&request("charge", &id.to_string(), "x"));
        proxy.resume();
        assert_eq!(client.receive().status(), 200);
        backend.next_request();
        proxy.suspend();
        close.send(()).expect("the backend waits");
        backend.wait_until_closed();
    }
}

#[test]
fn a_restarted_backend_gets_a_new_connection() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start(
        "restarted",
        &discovery,
        &[endpoint("s-1", backend.address, "active", 1_000)],
    );
    let mut client = proxy.client();
    assert_eq!(client.exchange(&request("charge", "1", "x")).status(), 200);
    assert_eq!(client.exchange(&request("charge", "2", "x")).status(), 200);
    let first = backend.next_request().connection;
    let second = backend.next_request().connection;
    assert_eq!(first, second, "a connection is used again");
    discovery.publish_and_wait(false, &[endpoint("s-1", backend.address, "active", 2_000)]);
    assert_eq!(client.exchange(&request("charge", "3", "x")).status(), 200);
    assert_ne!(backend.next_request().connection, second);
}

/// A connection that was in use while its backend was removed belongs to a process that has ended.
#[test]
fn connections_of_a_removed_backend_are_never_reused() {
    for complete in [false, true] {
        let discovery = Discovery::start();
        let (backend, release) =
            backend_that_holds_first_request("of the old one", "of the new one");
        let listed = |id: &str| active_endpoint(id, backend.address);
        let proxy = Proxy::start(&format!("gone-{complete}"), &discovery, &[listed("s-1")]);
        let mut client = proxy.client();
        client.send(&request("charge", "1", "x"));
        assert_eq!(backend.next_request().connection, 0);
        let changes = if complete {
            Vec::new()
        } else {
            vec![endpoint("s-1", backend.address, "left", 0)]
        };
        discovery.publish_and_wait(complete, &changes);
        discovery.publish_and_wait(false, &[listed("s-1")]);
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().body, b"of the old one");
        for id in ["2", "3"] {
            assert_eq!(
                client.exchange(&request("charge", id, "x")).body,
                b"of the new one"
            );
            assert_eq!(backend.next_request().connection, 1);
        }
        discovery.publish_and_wait(true, &[listed("s-2")]);
        assert_eq!(client.exchange(&request("charge", "4", "x")).status(), 200);
        assert_eq!(
            backend.next_request().connection,
            2,
            "another backend at the same address"
        );
    }
}
