//! The measurements: what is measured at each size, and the sweeps over sizes.
//!
//! - [`sweep`]: what is swept, and the sizes of each sweep.
//! - `bench`: makes the measurements.

pub mod bench;
pub mod sweep;

pub use bench::Bench;
pub use sweep::Sweep;

use super::quantity::Quantity;
use super::setup::Setup;
use super::stopwatch::Summary;
use super::virtual_proxy::Counts;
use serde::Serialize;
use std::collections::BTreeMap;

/// The figures at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The size.
    pub setup: Setup,
    /// What happened while requests were measured, over all repetitions.
    pub counts: Counts,
    /// The figures: nanoseconds or bytes, by [`Quantity::unit`].
    pub figures: BTreeMap<Quantity, Summary>,
}

impl Point {
    /// Returns the median of a figure; `None` where it was not measured.
    #[must_use]
    pub fn median(&self, quantity: Quantity) -> Option<f64> {
        let summary = self.figures.get(&quantity)?;
        Some(summary.median)
    }
}

/// Memory with a number of open requests.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OpenRequestMemory {
    /// Requests that are open.
    pub open_requests: u32,
    /// Heap of the decisions, bytes.
    pub balancer_memory: f64,
}

/// The target, measured as it is.
#[derive(Clone, Debug, Serialize)]
pub struct TargetPoints {
    /// With the mean rate of requests.
    pub mean: Point,
    /// With the rate of a hot proxy; requests alone are measured.
    pub hot: Point,
}

/// All measurements of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Measurements {
    /// Load of the machine at the start and at the end: a busy machine makes every figure larger.
    pub load_average: LoadAverage,
    /// Nanoseconds that a reading of the clock takes; they are subtracted.
    pub clock_overhead_ns: f64,
    /// The sweeps.
    pub sweeps: BTreeMap<Sweep, Vec<Point>>,
    /// Memory by open requests; empty without the counting allocator.
    pub open_request_memory: Vec<OpenRequestMemory>,
    /// The target.
    pub target: TargetPoints,
}

/// The machine's load averages over one minute; `None` where the system gives none.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LoadAverage {
    /// Before the first measurement.
    pub before: Option<f64>,
    /// After the last one.
    pub after: Option<f64>,
}
