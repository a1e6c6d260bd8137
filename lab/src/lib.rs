//! Scale lab of tillerproxy.
//!
//! Three experiments measure how the proxy behaves at the size of its target fleet:
//!
//! - [`slopes`]: measures the cost of one proxy's decisions, membership updates and state as the fleet grows.
//! - [`fleet`]: simulates a whole fleet in virtual time, with the real decision module in every proxy.
//! - [`live`]: runs real and emulated processes against one emulated discovery service, over loopback.
//!
//! Each experiment reads a TOML scenario ([`scenario`]) and can write a JSON result ([`results`]). The endpoints that
//! `slopes` and `live` generate are in [`endpoint_list`].
#![forbid(unsafe_code)]

pub mod cli;
pub mod endpoint_list;
pub mod error;
pub mod fleet;
pub mod live;
pub mod options;
pub mod results;
pub mod scenario;
pub mod slopes;
pub mod units;
