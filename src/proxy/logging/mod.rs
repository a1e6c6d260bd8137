//! The log: structured lines on standard error, limited to a number of lines per second.
//!
//! Events are emitted with the macros of `tracing`. Events of individual requests have the target [`REQUEST_TARGET`]
//! and the level `debug`, so that they cost almost nothing unless the filter enables them.

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

/// The target of the log events of individual requests.
pub const REQUEST_TARGET: &str = "tillerproxy::request";

/// Handle that changes the log filter of a running process.
pub struct LogControl {
    filter: reload::Handle<Targets, Registry>,
    /// The filter with which the log was initialized. It applies while the configuration names no filter.
    default_filter: Targets,
}

impl LogControl {
    /// Replaces the filter. `None` restores the filter with which the log was initialized.
    pub fn set_filter(&self, filter: Option<Targets>) {
        let filter = filter.unwrap_or_else(|| self.default_filter.clone());
        // Reloading fails only if the subscriber has been dropped, and the subscriber lives as long as the process.
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

/// Initializes the log: installs a subscriber that writes the events of the process to standard error.
///
/// # Errors
/// The process already has a subscriber.
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
