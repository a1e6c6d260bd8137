//! Errors of the lab and their exit codes.

use std::error::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use tillerproxy::api::SettingsError;

/// Exit code for input that makes no sense; other failures end with 1.
const BAD_INPUT: u8 = 2;

/// Why an experiment could not run, or its result could not be written.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A scenario is not the TOML that is wanted, or has an unknown key.
    #[error("{}: `{key}`: {problem}", path.display())]
    Scenario {
        /// The scenario file.
        path: PathBuf,
        /// Dotted path of the key, such as `backends.count`.
        key: String,
        /// What is wrong, and what is allowed.
        problem: String,
    },
    /// The result can't be written.
    #[error("cannot write {}: {source}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A balancer rejects its settings.
    #[error("{subject}: {source}")]
    Settings {
        /// Whose settings, such as `policy module`.
        subject: String,
        /// Which setting, and what is wrong with it.
        source: SettingsError,
    },
    /// A thread panicked.
    #[error("the thread of {subject} panicked")]
    Panicked {
        /// What the thread did.
        subject: String,
    },
    /// The experiment failed on the way.
    #[error(transparent)]
    Failed(Box<dyn Error + Send + Sync>),
}

impl LabError {
    /// Returns 2 for input that makes no sense, 1 for the rest.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Unreadable { .. } | Self::Scenario { .. } => ExitCode::from(BAD_INPUT),
            Self::Unwritable { .. }
            | Self::Settings { .. }
            | Self::Panicked { .. }
            | Self::Failed(_) => ExitCode::FAILURE,
        }
    }
}
