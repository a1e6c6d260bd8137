//! The log: structured lines on standard error, at most so many a second.
//!
//! Events are written with the macros of `tracing`. Those of single requests have the target
//! [`REQUEST_TARGET`] and the level `debug`, so that they cost next to nothing unless the filter
//! asks for them.

mod options;
mod rate_limit;

pub use options::{InvalidLogOption, LogFormat, LogOptions, LogOptionsError, parse_filter};

use rate_limit::RateLimitedWriter;
use std::fmt;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::Registry;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, fmt as lines, reload};

/// The target of events that belong to one request.
pub const REQUEST_TARGET: &str = "tillerproxy::request";

/// Changes the log of a running process.
pub struct LogControl {
    filter: reload::Handle<Targets, Registry>,
    /// Applies while the configuration names no filter.
    default_filter: Targets,
}

impl LogControl {
    /// Logs only what passes `filter` from now on; `None` restores the filter of the start.
    pub fn set_filter(&self, filter: Option<Targets>) {
        let filter = filter.unwrap_or_else(|| self.default_filter.clone());
        // This fails only without a subscriber, and that lives as long as the process.
        let _ = self.filter.reload(filter);
    }
}

impl fmt::Debug for LogControl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogControl")
            .field("default_filter", &self.default_filter)
            .finish_non_exhaustive()
    }
}

/// Starts the log: all events of the process go to standard error, as the options say.
///
/// # Errors
/// The process has a subscriber already.
pub fn init(options: LogOptions) -> Result<LogControl, TryInitError> {
    let writer = RateLimitedWriter::new(options.lines_per_second);
    let layer = match options.format {
        LogFormat::Text => lines::layer().with_ansi(false).with_writer(writer).boxed(),
        LogFormat::Json => lines::layer()
            .json()
            .flatten_event(true)
            .with_writer(writer)
            .boxed(),
    };
    let (filter, handle) = reload::Layer::new(options.filter.clone());
    tracing_subscriber::registry()
        .with(layer.with_filter(filter))
        .try_init()?;
    Ok(LogControl {
        filter: handle,
        default_filter: options.filter,
    })
}
