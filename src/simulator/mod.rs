//! The simulator's protocol, through which a simulation runs the balancers of many proxies in one process.
//!
//! The simulator writes batches of binary records and expects one reply to each. [`frames`] reads the records and
//! writes the replies; [`settings_json`](crate::settings_json) reads the JSON text that configures a proxy, which has
//! the same form as in the configuration of the proxy process. This module does no I/O and has no balancer: the program
//! `tillerproxy-simhost` does the I/O and passes the events to a [`Balancer`](crate::balancer::Balancer).
//!
//! The protocol's own names are used only in this module. For example, `settled` is an attempt that ended, and
//! `vanished` is a client that disconnected; `docs/GLOSSARY.md` lists all names.

mod error;
pub mod frames;

pub use crate::settings_json::{ParseSettingsError, parse_settings};
pub use error::{FrameError, FrameErrorKind};
