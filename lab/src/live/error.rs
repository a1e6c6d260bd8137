//! Errors of the `live` experiment.

use super::idle_connections::IdleConnectionsError;
use super::process::ProcessError;
use crate::error::LabError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tillerproxy::simulator::ParseSettingsError;
use tokio::task::JoinError;

/// Why a run of `live` could not start or did not finish.
#[derive(Debug, thiserror::Error)]
pub enum LiveError {
    /// The proxy's program is missing.
    #[error(
        "there is no proxy at {}: run `cargo build --release` or name one by --proxy",
        program.display()
    )]
    ProgramMissing {
        /// Path at which the program was expected.
        program: PathBuf,
    },
    /// The lab may not open as many file descriptors as the scenario needs.
    #[error(
        "the scenario needs {needed} file descriptors of the lab or more, and `ulimit -n` allows {limit}"
    )]
    DescriptorLimit {
        /// Descriptors that the scenario needs.
        needed: u64,
        /// The limit of this process.
        limit: u64,
    },
    /// An operation of the operating system failed.
    #[error("cannot {operation}: {source}")]
    Io {
        /// What was tried, such as `open a listener of discovery`.
        operation: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// A proxy's configuration file, or the directory for it, can't be written.
    #[error("cannot write {}: {source}", path.display())]
    Configuration {
        /// The file or directory.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The decision module rejects the settings of a simulated proxy.
    #[error("simulated proxy {proxy_index}: {source}")]
    Settings {
        /// Index of the proxy among all of them.
        proxy_index: u32,
        /// The invalid setting.
        source: ParseSettingsError,
    },
    /// The endpoint list can't be serialized.
    #[error("cannot serialize the endpoint list: {0}")]
    EndpointList(#[from] serde_json::Error),
    /// A proxy process failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A proxy process did not answer its health check in time.
    #[error("proxy-{proxy_index} did not serve within {limit:?} of its start")]
    NotServing {
        /// Index of the process.
        proxy_index: u32,
        /// Time that it had.
        limit: Duration,
    },
    /// Resource usage can't be read from `/proc`.
    #[error("cannot read the resource usage of a process: {0}")]
    Usage(#[from] procfs::ProcError),
    /// The memory of idle connections can't be measured.
    #[error("cannot measure idle connections: {0}")]
    IdleConnections(#[from] IdleConnectionsError),
    /// A task of the lab panicked.
    #[error("a task of the lab failed: {0}")]
    Task(#[from] JoinError),
    /// The lab was interrupted.
    #[error("interrupted by {signal}")]
    Interrupted {
        /// Name of the signal, such as `SIGTERM`.
        signal: &'static str,
    },
}

impl From<LiveError> for LabError {
    fn from(error: LiveError) -> Self {
        Self::Failed(Box::new(error))
    }
}
