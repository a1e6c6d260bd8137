//! Errors of the lab and the exit codes that they end with.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for input that makes no sense; other failures end with 1.
const BAD_INPUT: u8 = 2;

/// Why an experiment could not run or its result could not be kept.
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
    /// The experiment failed on the way.
    #[error("{0}")]
    Failed(String),
}

impl LabError {
    /// 2 for input that makes no sense, 1 for the rest.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Unreadable { .. } | Self::Scenario { .. } => ExitCode::from(BAD_INPUT),
            Self::Unwritable { .. } | Self::Failed(_) => ExitCode::FAILURE,
        }
    }
}
