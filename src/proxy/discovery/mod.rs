//! Discovery of the backends, which keeps the proxy's endpoint list up to date.
//!
//! The [`Watcher`] fetches the complete list once and then follows its changes by long polling: each call states the
//! revision that the proxy holds, and discovery answers once it has a newer one or the long-poll timeout expires.
//! Discovery is either an agent on the same machine, on which a watch is always open, or a service that all proxies
//! share, on which a watch is opened when the balancer requests one ([`Polling`]).
//!
//! | module | job |
//! | --- | --- |
//! | `watcher` | the watch: when to call, and how to handle each result |
//! | `intervals` | long-poll timeouts, call timeouts, delays |
//! | `client` | one HTTP call |
//! | `wire` | the JSON form of endpoint lists |
//! | `translator` | conversion of endpoint lists to the types of the balancer |
//! | `backend_ids` | ids for backend names |
//! | `start_times` | start times of backends on the proxy's clock |

mod backend_ids;
mod client;
mod error;
mod intervals;
mod start_times;
mod translator;
mod watcher;
mod wire;

pub use error::DiscoveryError;
pub use intervals::{
    CallTiming, MAX_CHANGE_DELAY_AFTER_ADDRESS_CHANGE, MAX_CHANGE_DELAY_AFTER_LONG_POLL,
    MAX_CHANGE_DELAY_AFTER_STALL, PUSHED_RETRY_DELAY, polled_long_poll_timeout,
};
pub use translator::{EndpointList, Translator};
pub use watcher::{Polling, Watcher};

#[cfg(test)]
mod tests;
