//! Units of time in the decisions.

use crate::api::Micros;

/// A second, in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;

/// Microseconds of a second, for rates.
pub(crate) const MICROS_PER_SECOND: f64 = SECOND as f64;

/// Converts a span to seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}
