//! Clients of the experiment: open-loop load generators that send through a proxy or directly to the backends.
//!
//! - [`load_generator`]: sends requests at random times and records their outcomes.
//! - [`outcomes`]: counts and latencies of one load generator.

mod connection_pool;
pub mod load_generator;
pub mod outcomes;

pub use load_generator::LoadGenerator;
pub use outcomes::{RequestCounts, RequestOutcomes};
