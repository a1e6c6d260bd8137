//! Formats figures with about three significant digits and a unit that suits their size.

use super::quantity::{Quantity, Unit};
use crate::units::{
    BYTES_PER_KILOBYTE, BYTES_PER_MEGABYTE, NANOS_PER_MICROSECOND, NANOS_PER_MILLISECOND,
    NANOS_PER_SECOND,
};

/// Bytes from which sizes are shown in kilobytes.
const KB_SHOWN_FROM: f64 = 1e4;

/// Formats a value of a quantity with its unit.
pub(super) fn value_text(quantity: Quantity, value: f64) -> String {
    match quantity.unit() {
        Unit::Nanoseconds => time_text(value),
        Unit::Bytes => bytes_text(value),
    }
}

/// Formats nanoseconds in the unit that suits their size.
fn time_text(nanoseconds: f64) -> String {
    let size = nanoseconds.abs();
    if size < NANOS_PER_MICROSECOND {
        format!("{} ns", digits(nanoseconds))
    } else if size < NANOS_PER_MILLISECOND {
        format!("{} us", digits(nanoseconds / NANOS_PER_MICROSECOND))
    } else if size < NANOS_PER_SECOND {
        format!("{} ms", digits(nanoseconds / NANOS_PER_MILLISECOND))
    } else {
        format!("{} s", digits(nanoseconds / NANOS_PER_SECOND))
    }
}

/// Formats bytes in the unit that suits their size.
pub(super) fn bytes_text(bytes: f64) -> String {
    let size = bytes.abs();
    if size < KB_SHOWN_FROM {
        format!("{} B", digits(bytes))
    } else if size < BYTES_PER_MEGABYTE {
        format!("{} kB", digits(bytes / BYTES_PER_KILOBYTE))
    } else {
        format!("{} MB", digits(bytes / BYTES_PER_MEGABYTE))
    }
}

/// Formats about three significant digits.
pub(super) fn digits(value: f64) -> String {
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
