//! JSON result files.

use crate::error::LabError;
use serde::Serialize;
use std::path::Path;
use std::process::Command;

/// Describes the run that produced a result.
#[derive(Clone, Debug, Serialize)]
pub struct RunInfo {
    /// Name of the experiment, such as `slopes`.
    pub experiment: &'static str,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Version of the lab's package.
    pub version: &'static str,
    /// Commit of the git checkout that the lab ran in, with `-dirty` if it had modified files; `unknown` without a
    /// checkout.
    pub commit: String,
}

impl RunInfo {
    /// Creates the description of a run of `experiment` with `seed`; runs `git describe` to read the commit.
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

/// Returns the commit of the checkout; `None` without a checkout or without git.
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

/// Result of a run, as written to its JSON file.
#[derive(Debug, Serialize)]
pub struct RunResult<'a, S, M> {
    /// Experiment, seed, version and commit.
    pub run: RunInfo,
    /// Scenario of the run, with defaults filled in.
    pub scenario: &'a S,
    /// Measured figures.
    pub measured: &'a M,
}

impl<S: Serialize, M: Serialize> RunResult<'_, S, M> {
    /// Writes the result as indented JSON.
    ///
    /// # Errors
    /// [`LabError::Unwritable`] if the file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), LabError> {
        let unwritable = |source| LabError::Unwritable {
            path: path.to_owned(),
            source,
        };
        let text = serde_json::to_string_pretty(self).map_err(|error| unwritable(error.into()))?;
        std::fs::write(path, text + "\n").map_err(unwritable)
    }
}
