//! A backend at the concurrency limit that the proxy sets for it. The proxy queues further requests.

use super::backend::{Backend, Reply, ok};
use super::client::{Client, request};
use super::process::Proxy;
use std::sync::mpsc::{Sender, channel};

/// The concurrency limit that a newly started proxy sets for a single backend.
pub const INITIAL_LIMIT: usize = 2;

/// Starts a backend that holds its first `INITIAL_LIMIT` requests, each until its signal, and answers later ones at
/// once. The first of the returned senders releases the last of these requests.
pub fn backend_that_holds_initial_limit() -> (Backend, Vec<Sender<()>>) {
    let mut signals = Vec::new();
    let mut releases = Vec::new();
    for _ in 0..INITIAL_LIMIT {
        let (release, signal) = channel();
        signals.push(signal);
        releases.push(release);
    }
    let backend = Backend::start(move |_| match signals.pop() {
        Some(signal) => Reply::After(signal, Box::new(ok("first"))),
        None => ok("later"),
    });
    (backend, releases)
}

/// Sends `INITIAL_LIMIT` requests, waits until the backend has received them, and returns their clients.
pub fn saturate(proxy: &Proxy, backend: &Backend) -> Vec<Client> {
    let clients = (0..INITIAL_LIMIT).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        backend.next_request();
        client
    });
    clients.collect()
}
