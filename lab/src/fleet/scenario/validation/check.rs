//! The checks of a scenario's values and their first failure.

use crate::scenario::InvalidValue;

/// A series of checks that keeps the first failure. Keys are those of the scenario file.
pub(super) struct Check(Result<(), InvalidValue>);

impl Check {
    /// Creates a series without a failure.
    pub(super) fn new() -> Self {
        Self(Ok(()))
    }

    /// Checks that a condition holds; otherwise `problem` names the value found and the values allowed.
    pub(super) fn require(
        &mut self,
        holds: bool,
        key: impl Into<String>,
        problem: impl Into<String>,
    ) {
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
        self.require(holds, key, format!("{value} must be finite and above 0"));
    }

    /// Checks that a value is finite and 0 or more.
    pub(super) fn not_negative(&mut self, value: f64, key: impl Into<String>) {
        let holds = value.is_finite() && value >= 0.0;
        self.require(holds, key, format!("{value} must be finite and 0 or more"));
    }

    /// Checks that a count is 1 or more.
    pub(super) fn at_least_one(&mut self, count: impl Into<u64>, key: impl Into<String>) {
        let count = count.into();
        self.require(count > 0, key, format!("{count} must be 1 or more"));
    }

    /// Checks that a value is from 0 to 1.
    pub(super) fn fraction(&mut self, value: f64, key: impl Into<String>) {
        let holds = (0.0..=1.0).contains(&value);
        self.require(holds, key, format!("{value} must be from 0 to 1"));
    }

    /// Returns the first failure.
    pub(super) fn finish(self) -> Result<(), InvalidValue> {
        self.0
    }
}
