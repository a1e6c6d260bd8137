//! Errors of proxy processes.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// A proxy process could not be started, or failed later.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The operating system can't run the program.
    #[error("{name}: cannot start {}: {source}", program.display())]
    Spawn {
        /// Name of the process, such as `proxy-3`.
        name: String,
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process exited before the lab could read its id or its log.
    #[error("{name}: process exited immediately after its start")]
    ExitedImmediately {
        /// Name of the process.
        name: String,
    },
    /// A started process failed.
    #[error("{name} (pid {pid}) {problem}; last lines of its log:\n{log}")]
    Running {
        /// Name of the process.
        name: String,
        /// Process id.
        pid: u32,
        /// Kind of the failure.
        #[source]
        problem: ProcessProblem,
        /// Last lines of the log of the process.
        log: String,
    },
}

/// A failure of a started process. Its message continues a sentence that begins with the name of the process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessProblem {
    /// The process did not log both of its listen addresses in time.
    #[error("did not log its listen addresses within {limit:?} of its start")]
    ListenTimeout {
        /// Time allowed.
        limit: Duration,
    },
    /// The process closed its log, as it does when it exits, before both of its listen addresses were logged.
    #[error("closed its log before it logged its listen addresses")]
    NoListenAddresses,
    /// The process exited without a signal from the lab.
    #[error("exited unexpectedly ({status})")]
    ExitedUnexpectedly {
        /// Exit status.
        status: ExitStatus,
    },
    /// The process did not exit in time.
    #[error("did not exit within {limit:?}")]
    NotExited {
        /// Time allowed.
        limit: Duration,
    },
    /// A signal can't be sent to the process.
    #[error("cannot be signalled: {0}")]
    Signal(#[source] io::Error),
    /// The process id is 0 or above `i32::MAX`, so no signal can be sent.
    #[error(
        "cannot be signalled: its process id is not between 1 and {}",
        i32::MAX
    )]
    InvalidPid,
    /// The exit status of the process can't be read.
    #[error("cannot be waited for: {0}")]
    Wait(#[source] io::Error),
}
