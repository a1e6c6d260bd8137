//! The proxy's program between stand-ins for backends, discovery and clients, all on loopback sockets. Nothing here
//! waits for a fixed time: tests wait for events, and the timeouts only end a test that has failed.

mod backend;
mod client;
mod configuration;
mod discovery;
mod full_backlog;
mod message;
mod process;
mod saturated_backend;

pub use backend::{Backend, Reply, closes_on_signal, holds_first_request, ok};
pub use client::{Client, UP, request};
pub use configuration::{config, config_at, config_with_operator};
pub use discovery::{Discovery, active_endpoint, endpoint};
pub use full_backlog::{FullBacklog, received_ids};
pub use message::{Message, pattern, read_message, response};
pub use process::{Proxy, command, launch, start_with_listener, start_with_little_memory};
pub use saturated_backend::{INITIAL_LIMIT, holding_backend, saturate};
use std::time::Duration;

/// Ends a test whose expected event does not occur.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
