//! A backend at the concurrency limit that the proxy gives it: further requests are queued at the proxy.

use super::backend::{Backend, Reply, ok};
use super::client::{Client, request};
use super::process::Proxy;
use std::sync::mpsc::{Sender, channel};

/// The concurrency limit of a single backend at the start.
pub const INITIAL_LIMIT: usize = 2;

/// A backend that holds its first requests, as many as its limit allows at the start, each until it gets a
/// signal. Later requests are answered at once.
pub fn holding_backend() -> (Backend, Vec<Sender<()>>) {
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

/// Sends as many requests as the backend's limit allows, and returns their clients once it has received them.
pub fn saturate(proxy: &Proxy, backend: &Backend) -> Vec<Client> {
    let clients = (0..INITIAL_LIMIT).map(|i| {
        let mut client = proxy.client();
        client.send(&request("charge", &format!("fill-{i}"), "x"));
        backend.next_request();
        client
    });
    clients.collect()
}
