//! The proxy on real sockets. It executes what the [`Balancer`](crate::balancer::Balancer) decides and reports the
//! results. It never selects a backend, retries, queues or sheds a request by itself; requests that are
//! invalid, or still open when their time is over, it answers itself.
//!
//! A request goes from [`clients`] through [`driver`], which asks the balancer, to [`backends`], and its response
//! back; [`discovery`] reports the backends to the driver. [`operator`], [`lifecycle`] and [`config`] serve
//! those who run the proxy.

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
mod header_values;
pub mod inherited;
pub mod lifecycle;
pub mod listener;
pub mod logging;
pub mod messages;
pub mod operator;
pub mod read_ahead;
mod request_log;
mod responses;
pub mod shutdown;
pub mod size_limits;
pub mod socket;
mod socket_io;
pub mod time_limits;

use dial::connect;
