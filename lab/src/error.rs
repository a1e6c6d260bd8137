//! Errors of the lab and their exit codes.

use std::error::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use tillerproxy::api::SettingsError;

/// Exit code for a scenario that can't be read or is invalid; other failures exit with 1.
const INVALID_INPUT_EXIT_CODE: u8 = 2;

/// An error that ends an experiment.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A scenario file can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the scenario file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// A scenario is not valid TOML, has an unknown or missing key, or has a value out of range.
    #[error("{}: `{key}`: {problem}", path.display())]
    Scenario {
        /// Path of the scenario file, or `command line` for a value that an option sets.
        path: PathBuf,
        /// Dotted path of the key, such as `backends.count`.
        key: String,
        /// The value found and the values allowed, or the parser's message.
        problem: String,
    },
    /// A result file can't be written.
    #[error("cannot write {}: {source}", path.display())]
    Unwritable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// A balancer rejects the settings that the lab generated.
    #[error("{subject}: {source}")]
    Settings {
        /// Owner of the rejected settings, such as `policy two-choices`; the message begins with it.
        subject: String,
        /// The rejected setting and the reason.
        source: SettingsError,
    },
    /// A thread panicked.
    #[error("the thread of {subject} panicked")]
    Panicked {
        /// Work of the thread, such as `policy two-choices`.
        subject: String,
    },
    /// An error type of one experiment, such as [`SlopesError`](crate::slopes::error::SlopesError).
    #[error(transparent)]
    Failed(Box<dyn Error + Send + Sync>),
}

impl LabError {
    /// Returns exit code 2 for a scenario that can't be read or is invalid, 1 for other errors.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Unreadable { .. } | Self::Scenario { .. } => {
                ExitCode::from(INVALID_INPUT_EXIT_CODE)
            }
            Self::Unwritable { .. }
            | Self::Settings { .. }
            | Self::Panicked { .. }
            | Self::Failed(_) => ExitCode::FAILURE,
        }
    }
}
