//! Limits of backends and of the process: which requests are rejected and which are served.

use crate::rig::*;

#[test]
fn a_request_is_rejected_with_retry_after_while_its_backend_stays_at_its_limit() {
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let proxy = Proxy::start_with_backend("rejected", &discovery, backend.address);
    let mut first = saturate(&proxy, &backend);
    let rejected = proxy
        .client()
        .exchange(&request_with_timeout("charge", "2", "x", 500));
    assert_eq!(rejected.status(), 503);
    let retry_after_seconds: f64 = rejected
        .header("retry-after")
        .expect("a rejection has Retry-After")
        .parse()
        .expect("Retry-After is a number of seconds");
    assert!(retry_after_seconds > 0.0);
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release
            .send(())
            .expect("the backend waits for the signal to respond");
        assert_eq!(client.receive().body, b"first");
    }
    assert_eq!(backend.take_requests(), 0, "a rejected request is not sent");
}

/// Each backend holds one request, and there are more backends than the proxy has descriptors for. A connect that fails
/// for lack of a descriptor is not a failure of the backend.
#[test]
fn a_shortage_of_descriptors_does_not_eject_backends() {
    let discovery = Discovery::start();
    let backends: Vec<_> = (0..14).map(|_| Backend::start(|_| Reply::Hang)).collect();
    let endpoints: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(i, b)| active_endpoint(&format!("s-{i}"), b.address))
        .collect();
    let mut config = config("shortage", &discovery);
    config["limits"]["sockets"] = 48.into();
    let mut proxy = Proxy::start_with_config("shortage", config);
    discovery.publish_and_wait(true, &endpoints);
    let clients: Vec<_> = (0..14)
        .map(|i| {
            let mut client = proxy.client();
            client.send(&request_with_timeout("read", &format!("{i}"), "", 1_000));
            client
        })
        .collect();
    let statuses: Vec<_> = clients
        .into_iter()
        .map(|mut client| client.receive().status())
        .collect();
    assert!(
        statuses.contains(&503),
        "some requests are rejected for lack of a descriptor: {statuses:?}"
    );
    proxy.terminate();
    let log = proxy.rest_of_log();
    assert!(!log.contains("ejected"), "{log}");
}

#[test]
fn a_new_client_is_served_while_idle_clients_hold_every_connection() {
    let discovery = Discovery::start();
    let mut config = config("idle", &discovery);
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with_config("idle", config);
    // More clients than the proxy accepts at a time; none of them sends a byte.
    let clients: Vec<_> = (0..64).map(|_| proxy.client()).collect();
    assert_eq!(proxy.status_of(HEALTH_CHECK), 503);
    drop(clients);
}
