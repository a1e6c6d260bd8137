//! Errors of proxy processes.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// Why a process could not be started, or what went wrong with it later.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program can't be run.
    #[error("{name}: cannot start {}: {source}", program.display())]
    Spawn {
        /// Name of the process, such as `proxy-3`.
        name: String,
        /// The program.
        program: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The process had ended before it could be observed.
    #[error("{name}: the process ended at once")]
    ExitedImmediately {
        /// Name of the process.
        name: String,
    },
    /// Something went wrong with a process that had been started.
    #[error("{name} (process {pid}) {problem}; its log ends with:\n{log}")]
    Running {
        /// Name of the process.
        name: String,
        /// Its process id.
        pid: u32,
        /// What went wrong.
        #[source]
        problem: ProcessProblem,
        /// The last lines of its log.
        log: String,
    },
}

/// What went wrong with a process. The messages continue a sentence that begins with its name.
#[derive(Debug, thiserror::Error)]
pub enum ProcessProblem {
    /// It did not log the addresses of its listeners in time.
    #[error("did not say where it listens")]
    NoAddresses,
    /// It ended without a signal from the lab.
    #[error("ended by itself, {status}")]
    ExitedUnexpectedly {
        /// How it ended.
        status: ExitStatus,
    },
    /// It did not end in time.
    #[error("still runs after {limit:?}")]
    NotExited {
        /// Time that it had.
        limit: Duration,
    },
    /// A signal can't be sent to it.
    #[error("cannot be signalled: {0}")]
    Signal(#[source] io::Error),
    /// Its process id is outside the range of the operating system's.
    #[error("cannot be signalled: its process id is out of range")]
    InvalidPid,
    /// Its end can't be waited for.
    #[error("cannot be waited for: {0}")]
    Wait(#[source] io::Error),
}
