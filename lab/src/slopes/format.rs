//! Formats figures with about three significant digits and a unit chosen by their magnitude.

use super::quantity::{Quantity, Unit};
use crate::units::{
    BYTES_PER_KILOBYTE, BYTES_PER_MEGABYTE, NANOS_PER_MICROSECOND, NANOS_PER_MILLISECOND,
    NANOS_PER_SECOND,
};

/// Smallest size that is printed in kilobytes, bytes.
const MIN_BYTES_IN_KILOBYTES: f64 = 1e4;

/// Formats a value of a quantity with its unit.
pub(super) fn value_text(quantity: Quantity, value: f64) -> String {
    match quantity.unit() {
        Unit::Nanoseconds => time_text(value),
        Unit::Bytes => bytes_text(value),
    }
}

/// Formats nanoseconds as ns, us, ms or s.
fn time_text(nanoseconds: f64) -> String {
    let size = nanoseconds.abs();
    if size < NANOS_PER_MICROSECOND {
        format!("{} ns", number_text(nanoseconds))
    } else if size < NANOS_PER_MILLISECOND {
        format!("{} us", number_text(nanoseconds / NANOS_PER_MICROSECOND))
    } else if size < NANOS_PER_SECOND {
        format!("{} ms", number_text(nanoseconds / NANOS_PER_MILLISECOND))
    } else {
        format!("{} s", number_text(nanoseconds / NANOS_PER_SECOND))
    }
}

/// Formats bytes as B, kB or MB.
pub(super) fn bytes_text(bytes: f64) -> String {
    let size = bytes.abs();
    if size < MIN_BYTES_IN_KILOBYTES {
        format!("{} B", number_text(bytes))
    } else if size < BYTES_PER_MEGABYTE {
        format!("{} kB", number_text(bytes / BYTES_PER_KILOBYTE))
    } else {
        format!("{} MB", number_text(bytes / BYTES_PER_MEGABYTE))
    }
}

/// Formats a number with about three significant digits.
pub(super) fn number_text(value: f64) -> String {
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
