//! Reading of scenario files: TOML into typed settings, with errors that name the file and the key.

use crate::error::LabError;
use serde::de::DeserializeOwned;
use std::path::Path;

/// A figure of a scenario that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Dotted path of the key.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub problem: String,
}

/// A scenario that can check its own figures.
pub trait Scenario: DeserializeOwned {
    /// Checks that the figures make sense.
    ///
    /// # Errors
    /// The first figure that makes no sense.
    fn validate(&self) -> Result<(), InvalidValue>;
}

/// Reads and checks a scenario file.
///
/// # Errors
/// [`LabError::Unreadable`] for a file that can't be read; [`LabError::Scenario`] for text that is no TOML, an
/// unknown or missing key, a value of the wrong type, or a figure that makes no sense.
pub fn read<S: Scenario>(path: &Path) -> Result<S, LabError> {
    let text = std::fs::read_to_string(path).map_err(|source| LabError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&text, path)
}

/// Reads and checks a scenario's text; `path` is named in errors.
///
/// # Errors
/// As [`read`], but for the file itself.
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
