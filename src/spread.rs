//! Even spreading of proxies over an interval, without coordination and whatever their number.

/// The fraction of the golden ratio: its multiples fill 0..1 evenly however many are taken.
pub(crate) const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Returns the position of a proxy in 0..1.
pub(crate) fn golden_ratio_position(proxy_index: u32) -> f64 {
    (f64::from(proxy_index) * GOLDEN_RATIO_FRACTION).fract()
}
