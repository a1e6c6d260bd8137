//! Factors between the units of the `slopes` experiment.

use tillerproxy::api::Micros;

/// Virtual time is in microseconds.
pub const MICROS_PER_SECOND: Micros = 1_000_000;
/// Microseconds in a millisecond.
pub const MICROS_PER_MILLI: Micros = 1_000;
/// Nanoseconds, the unit of measured times, in a microsecond.
pub const NANOS_PER_MICRO: f64 = 1e3;
/// Nanoseconds in a millisecond.
pub const NANOS_PER_MILLI: f64 = 1e6;
/// Nanoseconds in a second.
pub const NANOS_PER_SECOND: f64 = 1e9;
/// Bytes in a kilobyte.
pub const BYTES_PER_KB: f64 = 1e3;
/// Bytes in a megabyte.
pub const BYTES_PER_MB: f64 = 1e6;
/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// Percent in the whole.
pub const PERCENT: f64 = 100.0;
