//! The JSON result of a run.

use crate::error::LabError;
use serde::Serialize;
use std::path::Path;
use std::process::Command;

/// The run that produced a result.
#[derive(Clone, Debug, Serialize)]
pub struct RunInfo {
    /// Name of the experiment, such as `slopes`.
    pub experiment: &'static str,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Version of the package.
    pub version: &'static str,
    /// Commit of the checkout that the lab ran in, with `-dirty` where files had changed; `unknown` outside one.
    pub commit: String,
}

impl RunInfo {
    /// Describes a run of `experiment`; asks git for the commit.
    #[must_use]
    pub fn new(experiment: &'static str, seed: u64) -> Self {
        Self {
            experiment,
            seed,
            version: env!("CARGO_PKG_VERSION"),
            commit: current_commit().unwrap_or_else(|| "unknown".to_owned()),
        }
    }
}

/// Returns the commit of the checkout; `None` outside one, or without git.
fn current_commit() -> Option<String> {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty", "--abbrev=7"])
        .output()
        .ok()?;
    if !output.status.success() {
        return None;
    }
    Some(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// The result of a run: the run, its scenario, and what it measured.
#[derive(Debug, Serialize)]
pub struct RunResult<'a, S, M> {
    /// The run.
    pub run: RunInfo,
    /// The scenario as it was read, defaults filled in.
    pub scenario: &'a S,
    /// What was measured.
    pub measured: &'a M,
}

impl<S: Serialize, M: Serialize> RunResult<'_, S, M> {
    /// Writes the result as indented JSON.
    ///
    /// # Errors
    /// [`LabError::Unwritable`] where the file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), LabError> {
        let unwritable = |source| LabError::Unwritable {
            path: path.to_owned(),
            source,
        };
        let text = serde_json::to_string_pretty(self).map_err(|error| unwritable(error.into()))?;
        std::fs::write(path, text + "\n").map_err(unwritable)
    }
}
