//! The proxy on real sockets. It carries out what the [`Balancer`](crate::balancer::Balancer) decides and
//! reports what came of it; it never picks a backend, retries, holds or refuses by itself.

pub mod backends;
pub mod bodies;
pub mod budget;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connections;
pub mod counters;
mod dial;
pub mod discovery;
pub mod driver;
pub mod framing;
pub mod inherited;
pub mod lifecycle;
pub mod limits;
pub mod logging;
pub mod messages;
pub mod operator;
pub mod read_ahead;
mod request_log;
mod responses;
pub mod socket;
mod socket_io;

use dial::connect;
