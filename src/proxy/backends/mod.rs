//! Connections to the backends, and the attempts and probes that go out on them.
//!
//! A request is written to a connection once and never again by this side: whether it may be repeated is the
//! balancer's to decide, and it can only decide that if it knows whether the last byte went out, so every
//! connection counts what its socket took.
//!
//! | module | job |
//! | --- | --- |
//! | `fleet` | the endpoints that discovery lists |
//! | `pool` | idle connections: kept, reused, closed |
//! | `connection` | one connection, from dialing on |
//! | `stray_bytes` | bytes that belong to no request, and the delay before a reuse that they call for |
//! | `call` | what an attempt takes and gives |
//! | `attempt`, `probe` | one attempt of a request; one health check |
//! | `request`, `exchange`, `relay` | the HTTP request as written, its answer as read, an answer passed on |
//! | `reply` | an answer in the balancer's terms |

mod attempt;
mod call;
mod connection;
mod exchange;
mod fleet;
mod pool;
mod probe;
mod relay;
mod reply;
mod request;
mod stray_bytes;

pub use call::{AttemptDeadlines, AttemptResult, CORRELATION_ID, Call, CancelSignal, Served};
pub use fleet::{Endpoint, Fleet};

#[cfg(test)]
mod tests;
