//! Conversion factors between units, and conversions between microseconds, the unit of virtual time, and the seconds
//! and milliseconds of scenarios and reports.

use tillerproxy::api::Micros;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// Microseconds in a millisecond.
pub const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Milliseconds in a second.
pub const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Nanoseconds in a microsecond.
pub const NANOS_PER_MICROSECOND: f64 = 1e3;

/// Nanoseconds in a millisecond.
pub const NANOS_PER_MILLISECOND: f64 = 1e6;

/// Nanoseconds in a second.
pub const NANOS_PER_SECOND: f64 = 1e9;

/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Bytes in a KiB, the unit of memory sizes in `/proc`.
pub const BYTES_PER_KIB: f64 = 1024.0;

/// Bytes in a kilobyte.
pub const BYTES_PER_KILOBYTE: f64 = 1e3;

/// Bytes in a megabyte.
pub const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Percent in a fraction of one.
pub const PERCENT_PER_ONE: f64 = 100.0;

/// Converts seconds to microseconds, rounded to a whole number.
#[must_use]
pub fn micros_from_seconds(value: f64) -> Micros {
    (value * MICROS_PER_SECOND as f64).round() as Micros
}

/// Converts milliseconds to microseconds, rounded to a whole number.
#[must_use]
pub fn micros_from_milliseconds(value: f64) -> Micros {
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
