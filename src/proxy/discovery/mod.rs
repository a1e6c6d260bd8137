//! Discovery of the backends: keeps the proxy's endpoint list current.
//!
//! The [`Watcher`] fetches the complete list once and then follows its changes by long polling:
//! each call names the revision that the proxy holds, and discovery answers once it has a newer one
//! or the call's time is over. Discovery is either an agent on the same machine, on which a watch is always
//! open, or a service that all proxies share, where a watch is opened when the balancer wants one ([`Polling`]).
//!
//! | module | job |
//! | --- | --- |
//! | `watcher` | the watch: when to call, and what each result means |
//! | `intervals` | long-poll timeouts, call timeouts, delays |
//! | `client` | one HTTP call |
//! | `wire` | the JSON form of endpoint lists |
//! | `translator` | endpoint lists in the terms of the decisions |
//! | `backend_ids`, `start_times` | ids for backend names; start times on the proxy's clock |

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
    CallTiming, KNOWN_AFTER_ADDRESS_CHANGE, KNOWN_AFTER_LONG_POLL, KNOWN_AFTER_STALL,
    PUSHED_RETRY_DELAY, polled_long_poll_timeout,
};
pub use translator::{EndpointList, Translator};
pub use watcher::{Polling, Watcher};

#[cfg(test)]
mod tests;
