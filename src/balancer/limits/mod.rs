//! Concurrency limits: additive increase, multiplicative decrease (AIMD) on windowed latency.
//!
//! A sample is the latency of one attempt as a multiple of its latency threshold. A [`Window`] collects samples; when it
//! is complete, a mean above 1 lowers the limit, and a mean up to 1 raises it if the limit was nearly reached (a backend's
//! only once it has been lowered: until then it has that of its machine type). Each proxy
//! keeps a [`BackendLimit`] for every backend and a [`MachineTypeLimit`] for every machine type, which backends follow
//! that gave too few samples.

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

/// The shortest window: limits follow a load that changes within seconds.
pub(crate) const MIN_WINDOW: Micros = SECOND / 4;
/// The most that a sample counts, as a multiple of the latency threshold.
pub(crate) const MAX_SAMPLE: f64 = 3.0;

/// Samples that a window needs; fewer say too little where work varies as much as its mean.
const MIN_WINDOW_SAMPLES: u32 = 6;
/// A window without enough samples for this many times the shortest one starts anew.
const MAX_WINDOW_AGE: Micros = 40 * MIN_WINDOW;
/// Factor on a limit whose window was too slow.
const DECREASE_FACTOR: f64 = 0.7;
/// Departure: the least increase, as a part of the limit; on a large backend 1 would be lost beside a decrease.
const MIN_INCREASE: f64 = 0.15;
/// First limit of one backend for all proxies together; it must not starve large backends.
const INITIAL_LIMIT: f64 = 1.5;
/// Least limit of one backend for all proxies together, which keeps samples coming.
const MIN_LIMIT: f64 = 1.0;
/// Greatest limit of one backend for all proxies together.
const MAX_LIMIT: f64 = 64.0;

/// Rounds a limit to slots, the attempts that may be in flight.
///
/// Departure: the slot offset decides which proxies hold a slot where limits are below 1 (many proxies, small backends),
/// so that what all proxies admit does not grow with their number.
pub(crate) fn whole_slots(limit: f64, slot_offset: f64) -> i64 {
    (limit + slot_offset).floor() as i64
}
