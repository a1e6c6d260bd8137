//! Concurrency limits: additive increase, multiplicative decrease (AIMD) on windowed latency.
//!
//! A sample is the latency of one attempt as a multiple of its latency threshold. A [`Window`] collects samples. When
//! it is complete, a mean above 1 lowers the limit, and a mean of at most 1 raises the limit if it was nearly reached.
//!
//! Each proxy keeps a [`MachineTypeLimit`] for every machine type and a [`BackendLimit`] for every backend. A backend
//! has the limit of its machine type until a window lowers its own limit, and again once it has too few samples.

mod backend;
mod machine_type;
mod window;

pub(crate) use backend::{BackendLimit, LimitSource};
pub(crate) use machine_type::MachineTypeLimit;
pub(crate) use window::Window;

use super::time::SECOND;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// Minimum duration of a window, short enough for limits to adapt to a load that changes within seconds.
pub(crate) const MIN_WINDOW_DURATION: Micros = SECOND / 4;
/// Maximum value of a sample, as a multiple of the latency threshold; greater samples are reduced to it.
pub(crate) const MAX_SAMPLE: f64 = 3.0;

/// Minimum number of samples for which a window is evaluated. The mean of fewer samples says too little if the work of
/// requests has a standard deviation as great as its mean.
const MIN_WINDOW_SAMPLES: u32 = 6;
/// Age at which a window without enough samples is discarded and a new one starts.
const MAX_WINDOW_AGE: Micros = 40 * MIN_WINDOW_DURATION;
/// Factor on a limit whose window had a mean above 1.
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum increase as a fraction of the limit.
///
/// Deviation from plain AIMD: on a large backend, an increase by 1 would be negligible beside a decrease.
const MIN_INCREASE_FRACTION: f64 = 0.15;
/// Initial limit of one backend for all proxies together. A lower limit would starve large backends.
const INITIAL_LIMIT: f64 = 1.5;
/// Minimum limit of one backend for all proxies together. A lower limit could leave the backend without samples.
const MIN_LIMIT: f64 = 1.0;
/// Maximum limit of one backend for all proxies together.
const MAX_LIMIT: f64 = 64.0;

/// Returns a limit in slots, the number of attempts that may be in flight: the sum of limit and slot offset, rounded
/// down.
///
/// Deviation from plain AIMD: with many proxies and small backends, limits are below 1. The slot offset then decides
/// which proxies have a slot, so that the load that all proxies admit does not grow with their number.
pub(crate) fn whole_slots(limit: f64, slot_offset: f64) -> i64 {
    (limit + slot_offset).floor() as i64
}
