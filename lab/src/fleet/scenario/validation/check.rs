//! Collection of the checks of a scenario.

use crate::scenario::InvalidValue;

/// Collects checks; the first one that fails is the error. Keys are those of the scenario file.
pub(super) struct Check(Result<(), InvalidValue>);

impl Check {
    /// Begins with nothing checked.
    pub(super) fn new() -> Self {
        Self(Ok(()))
    }

    /// Checks a condition.
    pub(super) fn that(&mut self, holds: bool, key: impl Into<String>, problem: impl Into<String>) {
        if !holds && self.0.is_ok() {
            self.0 = Err(InvalidValue {
                key: key.into(),
                problem: problem.into(),
            });
        }
    }

    /// Checks that a value is finite and above 0.
    pub(super) fn positive(&mut self, value: f64, key: impl Into<String>) {
        let holds = value.is_finite() && value > 0.0;
        self.that(holds, key, format!("{value} must be above 0"));
    }

    /// Checks that a value is finite and 0 or more.
    pub(super) fn not_negative(&mut self, value: f64, key: impl Into<String>) {
        let holds = value.is_finite() && value >= 0.0;
        self.that(holds, key, format!("{value} must be 0 or more"));
    }

    /// Checks that a value lies in 0 to 1.
    pub(super) fn fraction(&mut self, value: f64, key: impl Into<String>) {
        let holds = (0.0..=1.0).contains(&value);
        self.that(holds, key, format!("{value} must lie in 0..=1"));
    }

    /// Returns the first failure.
    pub(super) fn finish(self) -> Result<(), InvalidValue> {
        self.0
    }
}
