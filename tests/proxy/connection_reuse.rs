//! Connections to backends: which of them are reused.

use crate::rig::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// Waits until the connection of the last request may be used again. The end of the reuse delay cannot be observed from
/// outside; a request that comes earlier uses an additional connection.
fn wait_for_reuse_delay() {
    const LONGER_THAN_REUSE_DELAY: Duration = Duration::from_millis(30);
    thread::sleep(LONGER_THAN_REUSE_DELAY);
}

#[test]
fn a_connection_that_its_backend_has_closed_is_not_reused() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| Reply::WriteAndClose(response("200 OK", "", b"last")));
    let proxy = Proxy::start_with_backend("closed", &discovery, backend.address);
    let mut client = proxy.client();
    for id in ["1", "2", "3", "4"] {
        assert_eq!(client.exchange(&request("charge", id, "x")).status(), 200);
        backend.next_request();
        // Until the close has arrived, the proxy cannot know of it, and the next request would be reset.
        backend.wait_until_closed();
    }
}

/// A connection that is closed while the process is suspended still looks open to the async runtime at the next
/// request.
#[test]
fn a_connection_whose_close_the_runtime_has_not_seen_is_not_reused() {
    let discovery = Discovery::start();
    let (closes, signals): (Vec<_>, Vec<_>) = (0..4).map(|_| channel()).unzip();
    let mut signals = signals.into_iter();
    let backend = Backend::start(move |_| {
        let signal = signals
            .next()
            .expect("the backend receives as many requests as there are signals");
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
        close
            .send(())
            .expect("the backend waits for the signal to close the connection");
        backend.wait_until_closed();
    }
}

#[test]
fn a_request_to_a_restarted_backend_uses_a_new_connection() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start(
        "restarted",
        &discovery,
        &[endpoint("s-1", backend.address, "active", 1_000)],
    );
    let mut client = proxy.client();
    assert_eq!(client.exchange(&request("charge", "1", "x")).status(), 200);
    wait_for_reuse_delay();
    assert_eq!(client.exchange(&request("charge", "2", "x")).status(), 200);
    let first = backend.next_request().connection;
    let second = backend.next_request().connection;
    assert_eq!(first, second, "the idle connection is reused");
    discovery.publish_and_wait(false, &[endpoint("s-1", backend.address, "active", 2_000)]);
    assert_eq!(client.exchange(&request("charge", "3", "x")).status(), 200);
    assert_ne!(backend.next_request().connection, second);
}

/// A connection that is in use while its backend is removed belongs to a process that ends. A later backend at the same
/// address must not receive requests on it.
#[test]
fn connections_of_a_removed_backend_are_never_reused() {
    for complete in [false, true] {
        let discovery = Discovery::start();
        let (backend, release) =
            backend_that_holds_first_request("from the removed", "from the new");
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
        release
            .send(())
            .expect("the backend waits for the signal to respond");
        assert_eq!(client.receive().body, b"from the removed");
        for id in ["2", "3"] {
            assert_eq!(
                client.exchange(&request("charge", id, "x")).body,
                b"from the new"
            );
            assert_eq!(backend.next_request().connection, 1);
            wait_for_reuse_delay();
        }
        discovery.publish_and_wait(true, &[listed("s-2")]);
        assert_eq!(client.exchange(&request("charge", "4", "x")).status(), 200);
        assert_eq!(
            backend.next_request().connection,
            2,
            "another backend at the same address gets a new connection"
        );
    }
}
