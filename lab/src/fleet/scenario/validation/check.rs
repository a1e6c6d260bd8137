//! Checks the values of a scenario and keeps the first failure.

use crate::scenario::InvalidValue;
use std::fmt::Display;

/// The result of all checks so far: the first failure, if there is one. Keys are those of the scenario file.
pub(super) struct Check(Result<(), InvalidValue>);

impl Check {
    /// Creates the result before the first check, without a failure.
    pub(super) fn new() -> Self {
        Self(Ok(()))
    }

    /// Checks that a condition holds for the value `found` at `key`; `allowed` completes the error "must be ...".
    pub(super) fn require(
        &mut self,
        holds: bool,
        key: impl Into<String>,
        found: impl Display,
        allowed: impl Display,
    ) {
        if !holds && self.0.is_ok() {
            self.0 = Err(InvalidValue::new(key, found, allowed));
        }
    }

    /// Checks that a value is finite and above 0.
    pub(super) fn positive(&mut self, value: f64, key: impl Into<String>) {
        let holds = value.is_finite() && value > 0.0;
        self.require(holds, key, value, "finite and above 0");
    }

    /// Checks that a value is finite and 0 or more.
    pub(super) fn not_negative(&mut self, value: f64, key: impl Into<String>) {
        let holds = value.is_finite() && value >= 0.0;
        self.require(holds, key, value, "finite and 0 or more");
    }

    /// Checks that a count is 1 or more.
    pub(super) fn at_least_one(&mut self, count: impl Into<u64>, key: impl Into<String>) {
        let count = count.into();
        self.require(count > 0, key, count, "1 or more");
    }

    /// Checks that a value is from 0 to 1.
    pub(super) fn fraction(&mut self, value: f64, key: impl Into<String>) {
        let holds = (0.0..=1.0).contains(&value);
        self.require(holds, key, value, "0 to 1");
    }

    /// Returns the first failure.
    pub(super) fn finish(self) -> Result<(), InvalidValue> {
        self.0
    }
}
