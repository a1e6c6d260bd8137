//! Units of time of the balancer.

use crate::api::Micros;

/// One second, in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;

/// Microseconds per second, for rates.
pub(crate) const MICROS_PER_SECOND: f64 = SECOND as f64;

/// Converts a duration to seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}
