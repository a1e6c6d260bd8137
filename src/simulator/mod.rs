//! The simulator's protocol: how a simulated bench drives the decisions of many proxies in one process.
//!
//! The simulator writes batches of binary records and expects one reply to each. [`frames`] reads the records and
//! writes the replies; [`settings_json`](crate::settings_json) reads the JSON text that configures a proxy, which the
//! real proxy has in its configuration too. Nothing here decides anything or does I/O: the program
//! `tillerproxy-simhost` does the I/O and passes events on to a [`Balancer`](crate::balancer::Balancer).
//!
//! The protocol's own names end here. What it calls `settled` or `vanished` is an attempt that ended and a client that
//! disconnected everywhere else; `docs/GLOSSARY.md` has the pairs.

mod error;
pub mod frames;

pub use crate::settings_json::{ParseSettingsError, parse_settings};
pub use error::{FrameError, FrameErrorKind};
