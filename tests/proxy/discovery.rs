//! The endpoint list: its cached and first version, its changes, and a change of discovery's address.

use crate::rig::*;
use serde_json::{Value, json};
use std::io::Read;
use std::thread;
use std::time::Duration;

#[test]
fn the_health_check_succeeds_only_once_an_endpoint_list_has_arrived() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let proxy = Proxy::start_without_endpoints("up", &discovery);
    assert_eq!(proxy.status_of(HEALTH_CHECK), 503);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    assert_eq!(proxy.status_of(HEALTH_CHECK), 200);
}

#[test]
fn a_proxy_starts_from_the_cached_endpoint_list_and_watches_for_changes() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let mut config = config("known", &discovery);
    config["known"] = json!({"revision": 7, "complete": true, "members": [active_endpoint("s-1", backend.address)]});
    config["settings"]["membershipMode"] = "on_request".into();
    let proxy = Proxy::start_with_config("known", config);
    assert_eq!(
        discovery.next_call(),
        Some(7),
        "the first call requests the changes after the cached revision"
    );
    assert_eq!(
        proxy.status_of(HEALTH_CHECK),
        200,
        "the cached list suffices before discovery answers"
    );
    assert_eq!(proxy.status_of(&request("read", "1", "")), 200);
}

#[test]
fn a_list_older_than_the_cached_one_is_ignored_and_the_complete_list_is_requested() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let mut config = config("older", &discovery);
    config["known"] = json!({"revision": 7, "complete": true, "members": [active_endpoint("s-1", backend.address)]});
    let proxy = Proxy::start_with_config("older", config);
    assert_eq!(discovery.next_call(), Some(7));
    discovery.publish(false, &[endpoint("s-1", backend.address, "left", 0)]);
    assert_eq!(discovery.next_call(), None);
    assert_eq!(
        discovery.next_call(),
        Some(1),
        "the complete list is applied, although discovery restarted its revisions"
    );
    drop(proxy);
}

#[test]
fn a_call_that_waits_in_the_queue_of_discovery_is_not_repeated() {
    let discovery = Discovery::start();
    let _proxy = Proxy::start_with_config("queued-call", config("queued-call", &discovery));
    assert_eq!(discovery.next_call(), None);
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(
        discovery.take_calls(),
        0,
        "no further call is made while the first one waits in the queue"
    );
}

#[test]
fn a_polled_watch_starts_although_the_cached_list_is_absent_or_malformed() {
    for known in [Value::Null, "nonsense".into()] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let mut config = config("asked", &discovery);
        config["known"] = known;
        config["settings"]["membershipMode"] = "on_request".into();
        let proxy = Proxy::start_with_config("asked", config);
        discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
        assert_eq!(proxy.status_of(&request("read", "1", "")), 200);
    }
}

#[test]
fn malformed_endpoints_of_a_list_are_skipped() {
    let discovery = Discovery::start();
    let backend = Backend::start(|_| ok("there"));
    let good = active_endpoint("s-1", backend.address);
    let malformed = |name: &str, value: Value| {
        let mut endpoint = active_endpoint("s-odd", backend.address);
        endpoint[name] = value;
        endpoint
    };
    let endpoints = [
        Value::Null,
        malformed("host_port", "nowhere".into()),
        malformed("phase", "dancing".into()),
        malformed("locality", "mars".into()),
        malformed("cell", (-1).into()),
        malformed("id", 7.into()),
        good,
    ];
    let proxy = Proxy::start("odd", &discovery, &endpoints);
    assert_eq!(proxy.status_of(&request("read", "1", "")), 200);
}

#[test]
fn no_new_request_is_sent_to_a_draining_or_removed_backend() {
    for phase in ["leaving", "left"] {
        let discovery = Discovery::start();
        let backend = Backend::start(|_| ok("there"));
        let proxy = Proxy::start_with_backend(phase, &discovery, backend.address);
        assert_eq!(proxy.status_of(&request("read", "1", "")), 200);
        backend.next_request();
        discovery.publish_and_wait(false, &[endpoint("s-1", backend.address, phase, 0)]);
        let short = request_with_timeout("read", "2", "", 300);
        assert_eq!(proxy.status_of(&short), 503, "{phase}");
        assert_eq!(backend.take_requests(), 0, "{phase}");
        discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
        assert_eq!(proxy.status_of(&request("read", "3", "")), 200);
    }
}

#[test]
fn a_backend_that_starts_to_drain_during_the_connect_receives_no_request() {
    let discovery = Discovery::start();
    let full = FullBacklog::start();
    let address = full.address;
    let proxy = Proxy::start_with_backend("slow-connect", &discovery, address);
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    // A response on another connection shows that the proxy has read the request.
    assert_eq!(proxy.status_of(HEALTH_CHECK), 200);
    discovery.publish_and_wait(false, &[endpoint("s-1", address, "leaving", 0)]);
    let listener = full.accept_pending();
    let (mut stream, _) = listener
        .accept()
        .expect("the backlog holds the connection of the proxy");
    let got = client.receive();
    assert_eq!(
        got.status(),
        503,
        "the request was not executed, so a retry by the client is harmless"
    );
    let mut sent = Vec::new();
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout is not zero");
    let _ = stream.read_to_end(&mut sent);
    assert!(sent.is_empty(), "{}", String::from_utf8_lossy(&sent));
}

#[test]
fn a_reload_switches_to_the_new_address_of_discovery_while_requests_are_served() {
    let old_discovery = Discovery::start();
    let new_discovery = Discovery::start();
    let (before, release) = backend_that_holds_first_request("taken before", "before");
    let after = Backend::start(|_| ok("after"));
    let mut proxy = Proxy::start(
        "sighup",
        &old_discovery,
        &[active_endpoint("s-1", before.address)],
    );
    let mut client = proxy.client();
    client.send(&request("charge", "1", "x"));
    before.next_request();
    // An invalid configuration leaves the previous one in effect.
    proxy.reload("{");
    proxy.wait_for_log("configuration not reloaded");
    assert_eq!(
        proxy.client().exchange(&request("read", "2", "")).body,
        b"before"
    );
    for (from, to, name) in [
        (&old_discovery, &new_discovery, "s-2"),
        (&new_discovery, &old_discovery, "s-3"),
    ] {
        from.take_calls();
        to.take_calls();
        proxy.reload(&config("sighup", to).to_string());
        assert_eq!(
            to.next_call(),
            None,
            "the complete list is requested, because revisions of two services are not comparable"
        );
        // The old list is used until the new service has sent its list.
        assert_eq!(proxy.status_of(&request("read", "3", "")), 200);
        to.publish_and_wait(true, &[active_endpoint(name, after.address)]);
        assert_eq!(
            proxy.client().exchange(&request("read", "4", "")).body,
            b"after"
        );
    }
    release
        .send(())
        .expect("the backend waits for the signal to respond");
    assert_eq!(client.receive().body, b"taken before");
}
