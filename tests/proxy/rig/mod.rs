//! Runs the proxy's program with backends, discovery and clients of the test on loopback sockets. Nothing here waits
//! for a fixed time: tests wait for events, and the timeouts only end a test that has failed.

mod backend;
mod client;
mod configuration;
mod discovery;
mod full_backlog;
mod message;
mod process;
mod received;
mod saturated_backend;
mod socket_buffers;

pub use backend::{
    Backend, Reply, backend_that_closes_on_signal, backend_that_holds_first_request, ok,
};
pub use client::{Client, HEALTH_CHECK, request, request_with_timeout};
pub use configuration::{config, config_with_discovery_at, config_with_operator};
pub use discovery::{Discovery, active_endpoint, endpoint};
pub use full_backlog::{FullBacklog, serve_and_collect_ids};
pub use message::{Message, patterned_body, read_message, response};
pub use process::{
    Proxy, proxy_command, spawn_process, start_with_listener, start_with_little_memory,
};
pub use received::Received;
pub use saturated_backend::{INITIAL_LIMIT, backend_that_holds_initial_limit, saturate};
pub use socket_buffers::SocketBuffers;
use std::net::{SocketAddr, TcpListener, ToSocketAddrs};
use std::time::Duration;

/// The time after which a test fails if an expected event has not occurred.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Binds a listener to a loopback address, with port 0 for any free one, and returns it with its address.
pub fn bind_listener(address: impl ToSocketAddrs) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(address).expect("the loopback address is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    (listener, address)
}

/// Returns an address that refuses connections. Its port stays free only if no other test uses the loopback address
/// `host`.
pub fn address_without_listener(host: &str) -> SocketAddr {
    let (_listener, address) = bind_listener((host, 0));
    address
}
