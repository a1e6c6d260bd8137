//! Conversion of a scenario's seconds and milliseconds to microseconds.

use tillerproxy::api::Micros;

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLISECOND: f64 = 1e3;

/// Converts seconds to microseconds.
#[must_use]
pub fn seconds(value: f64) -> Micros {
    (value * MICROS_PER_SECOND).round() as Micros
}

/// Converts milliseconds to microseconds.
#[must_use]
pub fn milliseconds(value: f64) -> Micros {
    (value * MICROS_PER_MILLISECOND).round() as Micros
}
