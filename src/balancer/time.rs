//! Units of time, in microseconds.

use crate::api::Micros;

/// One second as a duration, in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;

/// [`SECOND`] as a floating-point number, for conversions between microseconds and rates per second.
pub(crate) const MICROS_PER_SECOND: f64 = SECOND as f64;

/// Converts a duration to seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}
