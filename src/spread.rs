//! Distributes values that differ between proxies, such as their long-poll timeouts, evenly over an interval. The
//! proxies need no coordination, and their number may change.

/// The fractional part of the golden ratio. The fractional parts of its multiples are distributed evenly over 0..1 for
/// any number of multiples.
pub(crate) const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Returns the position of a proxy in the interval 0..1. For any number of proxies with consecutive indices from 0, the
/// positions are distributed evenly. Callers scale the position to the interval of the value that they distribute.
pub(crate) fn golden_ratio_position(proxy_index: u32) -> f64 {
    (f64::from(proxy_index) * GOLDEN_RATIO_FRACTION).fract()
}
