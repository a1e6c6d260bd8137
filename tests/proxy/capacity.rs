//! Limits of backends and of the process: what is rejected, and what is not.

use crate::rig::*;

#[test]
fn without_capacity_a_request_is_rejected_with_retry_after() {
    let discovery = Discovery::start();
    let (backend, releases) = backend_that_holds_initial_limit();
    let proxy = Proxy::start_with_backend("rejected", &discovery, backend.address);
    let mut first = saturate(&proxy, &backend);
    let rejected = proxy
        .client()
        .exchange(&request_with_timeout("charge", "2", "x", 500));
    assert_eq!(rejected.status(), 503);
    let wait: f64 = rejected
        .header("retry-after")
        .expect("Retry-After")
        .parse()
        .expect("seconds");
    assert!(wait > 0.0);
    for (release, client) in releases.iter().zip(first.iter_mut().rev()) {
        release.send(()).expect("the backend waits");
        assert_eq!(client.receive().body, b"first");
    }
    assert_eq!(backend.take_requests(), 0, "a rejected request is not sent");
}

/// Each backend holds one request; there are more backends than descriptors for them.
#[test]
fn a_shortage_of_descriptors_ejects_no_backend() {
    let discovery = Discovery::start();
    let backends: Vec<_> = (0..14).map(|_| Backend::start(|_| Reply::Hang)).collect();
    let endpoints: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(i, b)| active_endpoint(&format!("s-{i}"), b.address))
        .collect();
    let mut config = config("shortage", &discovery);
    config["limits"]["sockets"] = 48.into();
    let mut proxy = Proxy::start_with("shortage", config);
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
        "some find no descriptor: {statuses:?}"
    );
    proxy.terminate();
    let log = proxy.rest_of_log();
    assert!(!log.contains("ejected"), "{log}");
}

#[test]
fn idle_clients_do_not_keep_others_out() {
    let discovery = Discovery::start();
    let mut config = config("idle", &discovery);
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with("idle", config);
    // More than the proxy may accept at a time, and none of them sends a byte.
    let clients: Vec<_> = (0..64).map(|_| proxy.client()).collect();
    assert_eq!(proxy.status_of(HEALTH_CHECK), 503);
    drop(clients);
}
