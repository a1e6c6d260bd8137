//! Formats figures with about three significant digits and a unit chosen by their magnitude.

use super::quantity::{Quantity, Unit};
use crate::units::{
    BYTES_PER_KILOBYTE, BYTES_PER_MEGABYTE, NANOS_PER_MICROSECOND, NANOS_PER_MILLISECOND,
    NANOS_PER_SECOND,
};

/// Smallest number of bytes that is printed in kilobytes.
const MIN_BYTES_IN_KILOBYTES: f64 = 1e4;

/// Formats a value of a quantity with its unit.
pub(super) fn format_value(quantity: Quantity, value: f64) -> String {
    match quantity.unit() {
        Unit::Nanoseconds => format_time(value),
        Unit::Bytes => format_bytes(value),
    }
}

/// Formats a time given in nanoseconds in ns, us, ms or s.
fn format_time(nanoseconds: f64) -> String {
    let size = nanoseconds.abs();
    if size < NANOS_PER_MICROSECOND {
        format!("{} ns", format_number(nanoseconds))
    } else if size < NANOS_PER_MILLISECOND {
        format!("{} us", format_number(nanoseconds / NANOS_PER_MICROSECOND))
    } else if size < NANOS_PER_SECOND {
        format!("{} ms", format_number(nanoseconds / NANOS_PER_MILLISECOND))
    } else {
        format!("{} s", format_number(nanoseconds / NANOS_PER_SECOND))
    }
}

/// Formats a number of bytes in B, kB or MB.
pub(super) fn format_bytes(bytes: f64) -> String {
    let size = bytes.abs();
    if size < MIN_BYTES_IN_KILOBYTES {
        format!("{} B", format_number(bytes))
    } else if size < BYTES_PER_MEGABYTE {
        format!("{} kB", format_number(bytes / BYTES_PER_KILOBYTE))
    } else {
        format!("{} MB", format_number(bytes / BYTES_PER_MEGABYTE))
    }
}

/// Formats a number with about three significant digits.
pub(super) fn format_number(value: f64) -> String {
    let size = value.abs();
    if size > 0.0 && size < 0.095 {
        format!("{value:.2e}")
    } else if size < 9.95 {
        format!("{value:.2}")
    } else if size < 99.5 {
        format!("{value:.1}")
    } else {
        format!("{value:.0}")
    }
}
