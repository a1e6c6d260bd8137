//! The proxy's program between stand-ins for backends, discovery and clients, all on loopback sockets. Nothing here
//! waits for a fixed time: tests wait for events, and the timeouts only end a test that has failed.

mod backend;
mod client;
mod configuration;
mod discovery;
mod full_queue;
mod message;
mod process;
mod saturated_backend;

pub use backend::{Backend, Reply, closes_on_signal, ok};
pub use client::{Client, UP, request};
pub use configuration::{config, config_at, operated};
pub use discovery::{Discovery, entry};
pub use full_queue::{FullQueue, received_ids};
pub use message::{Message, answer, pattern, read_message};
pub use process::{Proxy, command, heir, launch, start_with_little_memory};
pub use saturated_backend::{INITIAL_LIMIT, fill, full_backend};
use std::time::Duration;

/// Ends a test that waits for an event that never comes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
