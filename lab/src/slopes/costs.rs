//! Measures the cost of the balancer's events: processor time of batches of events, and histograms of the processor
//! time and the wall time of single events.

use super::quantity::Quantity;
use super::stopwatch::Stopwatch;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tillerproxy::api::Event;

/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// The median as a quantile.
const P50: f64 = 0.5;
/// The 99th percentile as a quantile.
const P99: f64 = 0.99;

/// Method of measuring the cost of a batch of events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timing {
    /// The batch is not measured.
    None,
    /// Processor time of the batch as a whole.
    Batch,
    /// Processor time of each event separately.
    Processor,
    /// Wall time of each event separately.
    Wall,
}

/// Kinds of event whose costs are recorded separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// A request arrives.
    Arrival,
    /// An attempt ends.
    End,
    /// A timer fires.
    Timer,
}

/// Recorded costs of one kind of event.
pub struct EventCosts {
    /// Processor time of all batches that were measured as a whole.
    batch_time: Duration,
    /// Number of events in all batches that were measured as a whole.
    batch_events: u64,
    /// Processor times of separately measured events, nanoseconds.
    processor: Histogram<u64>,
    /// Wall times of separately measured events, nanoseconds.
    wall: Histogram<u64>,
}

/// Recorded costs of the balancer's decisions on requests, by kind of event.
#[derive(Default)]
pub struct DecisionCosts {
    arrivals: EventCosts,
    ends: EventCosts,
    timers: EventCosts,
}

/// Measures batches of events and records their costs.
pub struct Meter<'a> {
    /// Method of measuring the next batch.
    pub timing: Timing,
    /// Clock of processor time.
    pub stopwatch: Stopwatch,
    /// Costs recorded so far.
    pub costs: &'a mut DecisionCosts,
}

impl Meter<'_> {
    /// Passes each event to `handle` and records its cost among those of events of `kind`.
    pub fn measure(
        &mut self,
        kind: EventKind,
        events: &[Event<'_>],
        handle: impl FnMut(&Event<'_>),
    ) {
        let costs = self.costs.costs_of(kind);
        costs.measure(events, self.timing, &self.stopwatch, handle);
    }
}

impl Timing {
    /// Timings that successive measured batches use in rotation.
    pub const ROTATION: [Self; 3] = [Self::Batch, Self::Processor, Self::Wall];
}

impl Default for EventCosts {
    fn default() -> Self {
        let empty = || {
            Histogram::new(HISTOGRAM_DIGITS)
                .expect("a histogram allows up to five significant digits")
        };
        Self {
            batch_time: Duration::ZERO,
            batch_events: 0,
            processor: empty(),
            wall: empty(),
        }
    }
}

impl EventCosts {
    /// Passes each event to `handle` and records the cost measured by the method `timing`.
    fn measure(
        &mut self,
        events: &[Event<'_>],
        timing: Timing,
        stopwatch: &Stopwatch,
        mut handle: impl FnMut(&Event<'_>),
    ) {
        match timing {
            Timing::None => {
                for event in events {
                    handle(event);
                }
            }
            Timing::Batch if events.is_empty() => {}
            Timing::Batch => {
                self.batch_time += stopwatch.time(|| {
                    for event in events {
                        handle(event);
                    }
                });
                self.batch_events += events.len() as u64;
            }
            Timing::Processor => {
                for event in events {
                    let time = stopwatch.time(|| handle(event));
                    record(&mut self.processor, time);
                }
            }
            Timing::Wall => {
                for event in events {
                    let start = Instant::now();
                    handle(event);
                    record(&mut self.wall, start.elapsed());
                }
            }
        }
    }

    /// Returns the mean processor time of an event in nanoseconds; `None` without events.
    fn mean(&self) -> Option<f64> {
        mean_nanoseconds(self.batch_time, self.batch_events)
    }
}

impl DecisionCosts {
    fn costs_of(&mut self, kind: EventKind) -> &mut EventCosts {
        match kind {
            EventKind::Arrival => &mut self.arrivals,
            EventKind::End => &mut self.ends,
            EventKind::Timer => &mut self.timers,
        }
    }

    /// Returns the recorded costs by quantity, in nanoseconds; quantities without a recorded event are left out.
    #[must_use]
    pub fn figures(&self) -> BTreeMap<Quantity, f64> {
        let Self { arrivals, ends, .. } = self;
        let figures = [
            (Quantity::Request, arrivals.mean()),
            (Quantity::RequestEnd, ends.mean()),
            (Quantity::WholeRequest, self.mean_per_request()),
            (Quantity::RequestP50, quantile(&arrivals.processor, P50)),
            (Quantity::RequestP99, quantile(&arrivals.processor, P99)),
            (Quantity::RequestEndP99, quantile(&ends.processor, P99)),
            (Quantity::RequestWallP50, quantile(&arrivals.wall, P50)),
            (Quantity::RequestWallP99, quantile(&arrivals.wall, P99)),
            (Quantity::RequestEndWallP99, quantile(&ends.wall, P99)),
        ];
        let mut measured = BTreeMap::new();
        for (quantity, figure) in figures {
            if let Some(figure) = figure {
                measured.insert(quantity, figure);
            }
        }
        measured
    }

    /// Returns the processor time of all events per request that arrived, in nanoseconds; `None` without arrivals.
    fn mean_per_request(&self) -> Option<f64> {
        let total = self.arrivals.batch_time + self.ends.batch_time + self.timers.batch_time;
        mean_nanoseconds(total, self.arrivals.batch_events)
    }
}

fn mean_nanoseconds(time: Duration, events: u64) -> Option<f64> {
    if events == 0 {
        return None;
    }
    Some(time.as_nanos() as f64 / events as f64)
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let nanoseconds = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    histogram
        .record(nanoseconds)
        .expect("an auto-resizing histogram accepts every value");
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Option<f64> {
    if histogram.is_empty() {
        return None;
    }
    Some(histogram.value_at_quantile(quantile) as f64)
}
