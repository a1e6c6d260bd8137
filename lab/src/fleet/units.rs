//! Conversion between microseconds and the seconds and milliseconds of scenarios and reports.

use tillerproxy::api::Micros;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Milliseconds in a second.
pub const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Converts seconds to microseconds.
#[must_use]
pub fn seconds(value: f64) -> Micros {
    (value * MICROS_PER_SECOND as f64).round() as Micros
}

/// Converts milliseconds to microseconds.
#[must_use]
pub fn milliseconds(value: f64) -> Micros {
    (value * MICROS_PER_MILLISECOND as f64).round() as Micros
}

/// Converts microseconds to seconds.
#[must_use]
pub fn as_seconds(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_SECOND as f64
}

/// Converts microseconds to milliseconds.
#[must_use]
pub fn as_milliseconds(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLISECOND as f64
}
