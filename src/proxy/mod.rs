//! The proxy process, which serves clients and calls backends over the network. It executes the actions of the
//! [`Balancer`](crate::balancer::Balancer) and notifies the balancer of the results.
//!
//! Only the balancer selects backends and retries, queues or sheds requests. The proxy itself answers requests that are
//! invalid or still open at their timeout.
//!
//! A request passes from [`clients`] through [`driver`], which consults the balancer, to [`backends`], and its response
//! passes back. [`discovery`] reports the endpoint list to the driver. [`operator`], [`lifecycle`] and [`config`] are
//! for the operation of the process.

pub mod backends;
pub mod bodies;
pub mod budget;
pub mod client_presence;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connections;
pub mod correlation_ids;
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
pub mod memory;
pub mod messages;
pub mod operator;
pub mod process_group;
pub mod read_ahead;
mod request_log;
mod responses;
pub mod shared_ids;
pub mod shutdown;
pub mod size_limits;
pub mod socket;
mod socket_io;
pub mod time_limits;

use dial::connect;
