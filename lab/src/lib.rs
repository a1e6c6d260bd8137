//! Scale lab of tillerproxy.
//!
//! Three experiments measure how the proxy behaves at the size that it is built for:
//!
//! - [`slopes`]: what one proxy's decisions, membership and state cost as the fleet grows.
//! - [`fleet`]: a whole fleet in virtual time, with the real decision module in every proxy.
//! - [`live`]: real processes beside emulated ones before one discovery stand-in, over loopback.
//!
//! Every experiment reads a TOML scenario ([`scenario`]) and writes one JSON result ([`results`]).
#![forbid(unsafe_code)]

pub mod cli;
pub mod error;
pub mod fleet;
pub mod live;
pub mod options;
pub mod results;
pub mod scenario;
pub mod slopes;
pub mod units;
