//! Reads scenario files: TOML parsed into typed settings, with errors that name the file and the key.

use crate::error::LabError;
use serde::de::DeserializeOwned;
use std::path::Path;

/// A scenario value outside its allowed range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Dotted path of the key, such as `load.latency_ms`.
    pub key: String,
    /// Description of the value found and the values allowed, such as `must be 1 to 40 processes, found 41`.
    pub problem: String,
}

/// A scenario type that checks the ranges of its values.
pub trait Scenario: DeserializeOwned {
    /// Checks that every value of the scenario is in its allowed range.
    ///
    /// # Errors
    /// Returns the first value that is out of range.
    fn validate(&self) -> Result<(), InvalidValue>;
}

/// Reads, parses and validates a scenario file.
///
/// # Errors
/// [`LabError::Unreadable`] if the file can't be read; [`LabError::Scenario`] for invalid TOML, an unknown or missing
/// key, a value of the wrong type, or a value out of range.
pub fn read<S: Scenario>(path: &Path) -> Result<S, LabError> {
    let text = std::fs::read_to_string(path).map_err(|source| LabError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&text, path)
}

/// Parses and validates the text of a scenario; errors name `path` as its file.
///
/// # Errors
/// [`LabError::Scenario`], as for [`read`].
pub fn parse<S: Scenario>(text: &str, path: &Path) -> Result<S, LabError> {
    let invalid = |key: String, problem: String| LabError::Scenario {
        path: path.to_owned(),
        key,
        problem,
    };
    let deserializer = toml::Deserializer::parse(text).map_err(|error| {
        invalid(
            "(syntax)".to_owned(),
            error.to_string().trim_end().to_owned(),
        )
    })?;
    let scenario: S = serde_path_to_error::deserialize(deserializer)
        .map_err(|error| invalid(error.path().to_string(), error.inner().message().to_owned()))?;
    scenario
        .validate()
        .map_err(|InvalidValue { key, problem }| invalid(key, problem))?;
    Ok(scenario)
}
