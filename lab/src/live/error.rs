//! Errors of the `live` experiment.

use super::idle_connections::IdleConnectionsError;
use super::process::ProcessError;
use crate::error::LabError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tillerproxy::simulator::ParseSettingsError;
use tokio::task::JoinError;

/// A run of `live` could not start or did not finish.
#[derive(Debug, thiserror::Error)]
pub enum LiveError {
    /// No file exists at the path of the proxy program.
    #[error(
        "no proxy program at {}: run `cargo build --release` or pass its path with --proxy",
        program.display()
    )]
    ProgramMissing {
        /// Path at which the program was expected.
        program: PathBuf,
    },
    /// The limit on open file descriptors of the lab is lower than the scenario needs.
    #[error(
        "the scenario needs at least {needed} file descriptors in the lab, but `ulimit -n` is {limit}"
    )]
    DescriptorLimit {
        /// Number of descriptors that the scenario needs.
        needed: u64,
        /// Limit on open file descriptors of the lab's process.
        limit: u64,
    },
    /// A system call failed.
    #[error("cannot {operation}: {source}")]
    Io {
        /// The attempted operation, such as `start discovery`.
        operation: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The configuration file of a proxy, or the directory for it, can't be written.
    #[error("cannot write {}: {source}", path.display())]
    Configuration {
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The balancer rejects the settings of a simulated proxy.
    #[error("invalid settings of simulated proxy {proxy_index}: {source}")]
    Settings {
        /// Index of the proxy among all real and simulated proxies.
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
    /// No health check of a proxy process succeeded in time.
    #[error("no health check of proxy-{proxy_index} succeeded within {limit:?} of its start")]
    NotServing {
        /// Index of the process.
        proxy_index: u32,
        /// Time allowed.
        limit: Duration,
    },
    /// Resource usage can't be read from `/proc`.
    #[error("cannot read the resource usage of {process}: {source}")]
    Usage {
        /// The process, such as `proxy-3 (pid 4711)` or `the lab`.
        process: String,
        /// Error of the read from `/proc`.
        source: procfs::ProcError,
    },
    /// The memory of idle connections can't be measured.
    #[error("cannot measure idle connections: {0}")]
    IdleConnections(#[from] IdleConnectionsError),
    /// A task of the lab panicked.
    #[error("a task of the lab panicked: {0}")]
    Task(#[from] JoinError),
    /// SIGINT or SIGTERM interrupted the run.
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
