//! Measurements of a scenario: the figures at each size, and the sweeps over sizes.
//!
//! - [`sweep`]: the sweeps and the sizes of each.
//! - [`mod@bench`]: runs the measurements.

pub mod bench;
pub mod sweep;

pub use bench::Bench;
pub use sweep::Sweep;

use super::quantity::Quantity;
use super::setup::Setup;
use super::stopwatch::Summary;
use super::virtual_proxy::EventCounts;
use serde::Serialize;
use std::collections::BTreeMap;

/// Figures measured at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Size of the fleet and request rate of the measurement.
    pub setup: Setup,
    /// Counts of events, over all repetitions, while the costs of requests were measured.
    pub counts: EventCounts,
    /// Figures by quantity, in nanoseconds or bytes ([`Quantity::unit`]).
    pub figures: BTreeMap<Quantity, Summary>,
}

impl Point {
    /// Returns the median of a quantity over the repetitions; `None` if it was not measured.
    #[must_use]
    pub fn median(&self, quantity: Quantity) -> Option<f64> {
        let summary = self.figures.get(&quantity)?;
        Some(summary.median)
    }
}

/// Heap of a balancer with a number of open requests.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OpenRequestMemory {
    /// Number of requests submitted to the balancer. It includes rejected requests, which are not replaced.
    pub open_requests: u32,
    /// Bytes of heap of the balancer.
    pub balancer_memory: f64,
}

/// Figures measured at the target size.
#[derive(Clone, Debug, Serialize)]
pub struct TargetPoints {
    /// Figures at the mean request rate.
    pub mean: Point,
    /// Figures at the request rate of a hot proxy, without those of membership changes.
    pub hot: Point,
}

/// All measurements of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Measurements {
    /// Load averages of the machine at the start and at the end of the run. Load from other processes makes
    /// every figure larger.
    pub load_average: LoadAverage,
    /// Cost of a clock reading in nanoseconds, which is subtracted from every measured processor time.
    pub clock_overhead_ns: f64,
    /// Measured points of each sweep.
    pub sweeps: BTreeMap<Sweep, Vec<Point>>,
    /// Heap of the balancer at each number of open requests; empty without the counting allocator.
    pub open_request_memory: Vec<OpenRequestMemory>,
    /// Figures at the target size.
    pub target: TargetPoints,
}

/// The machine's load averages over one minute; `None` if `/proc/loadavg` can't be read.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LoadAverage {
    /// Load average before the first measurement.
    pub before: Option<f64>,
    /// Load average after the last measurement.
    pub after: Option<f64>,
}
