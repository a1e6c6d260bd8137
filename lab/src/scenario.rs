//! Reads scenario files: TOML parsed into typed settings, with errors that name the file and the key.

use crate::error::LabError;
use serde::de::DeserializeOwned;
use std::fmt::Display;
use std::path::Path;

/// A scenario value outside its allowed range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must be {allowed}, found {found}")]
pub struct InvalidValue {
    /// Dotted path of the key, such as `load.latency_ms`.
    pub key: String,
    /// The value found, such as `41`.
    pub found: String,
    /// The values allowed, such as `1 to 40 processes`; completes "must be ...".
    pub allowed: String,
}

impl InvalidValue {
    /// Creates the error for the value `found` at `key`; `allowed` completes "must be ...".
    pub fn new(key: impl Into<String>, found: impl Display, allowed: impl Display) -> Self {
        Self {
            key: key.into(),
            found: found.to_string(),
            allowed: allowed.to_string(),
        }
    }

    /// Returns the error for a value that the file at `path` sets.
    #[must_use]
    pub fn into_error(self, path: &Path) -> LabError {
        LabError::Scenario {
            path: path.to_owned(),
            problem: self.to_string(),
            key: self.key,
        }
    }
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
        .map_err(|invalid_value| invalid_value.into_error(path))?;
    Ok(scenario)
}
