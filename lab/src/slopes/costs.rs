//! Costs of the balancer's events: processor time of batches, and histograms of the processor time and of the
//! wall time of single events.

use super::quantity::Quantity;
use super::stopwatch::Stopwatch;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tillerproxy::api::Event;

/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// The median.
const P50: f64 = 0.5;
/// The 99th percentile.
const P99: f64 = 0.99;

/// How a batch is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timing {
    /// Not at all.
    None,
    /// Processor time of the batch as a whole.
    Batch,
    /// Processor time of each event.
    Processor,
    /// Wall time of each event.
    Wall,
}

/// Kinds of event whose costs are kept apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// A request arrives.
    Arrival,
    /// An attempt ends.
    End,
    /// A timer fires.
    Timer,
}

/// Costs of one kind of event.
pub struct EventCosts {
    /// Processor time of all batches measured as a whole.
    batches: Duration,
    /// Events of these batches.
    events: u64,
    processor: Histogram<u64>,
    wall: Histogram<u64>,
}

/// Costs of the events of requests.
#[derive(Default)]
pub struct DecisionCosts {
    arrivals: EventCosts,
    ends: EventCosts,
    timers: EventCosts,
}

/// Where the costs of a batch go, and how they are measured.
pub struct Meter<'a> {
    /// How this batch is measured.
    pub timing: Timing,
    /// The clock.
    pub stopwatch: Stopwatch,
    /// The costs so far.
    pub costs: &'a mut DecisionCosts,
}

impl Meter<'_> {
    /// Hands each event to `handle` and measures that.
    pub fn measure(
        &mut self,
        kind: EventKind,
        events: &[Event<'_>],
        handle: impl FnMut(&Event<'_>),
    ) {
        let costs = self.costs.of(kind);
        costs.measure(events, self.timing, &self.stopwatch, handle);
    }
}

impl Timing {
    /// The ways to measure, which batches take in turn.
    pub const MEASURED: [Self; 3] = [Self::Batch, Self::Processor, Self::Wall];
}

impl Default for EventCosts {
    fn default() -> Self {
        let empty = || Histogram::new(HISTOGRAM_DIGITS).expect("up to five digits are allowed");
        Self {
            batches: Duration::ZERO,
            events: 0,
            processor: empty(),
            wall: empty(),
        }
    }
}

impl EventCosts {
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
                self.batches += stopwatch.time(|| {
                    for event in events {
                        handle(event);
                    }
                });
                self.events += events.len() as u64;
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

    /// Returns the nanoseconds of processor time of one event on average.
    fn mean(&self) -> Option<f64> {
        nanoseconds_per(self.batches, self.events)
    }
}

impl DecisionCosts {
    fn of(&mut self, kind: EventKind) -> &mut EventCosts {
        match kind {
            EventKind::Arrival => &mut self.arrivals,
            EventKind::End => &mut self.ends,
            EventKind::Timer => &mut self.timers,
        }
    }

    /// Returns the figures in nanoseconds, without those that have no event.
    #[must_use]
    pub fn figures(&self) -> BTreeMap<Quantity, f64> {
        let Self { arrivals, ends, .. } = self;
        let figures = [
            (Quantity::Request, arrivals.mean()),
            (Quantity::RequestEnd, ends.mean()),
            (Quantity::WholeRequest, self.whole_request()),
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

    /// Returns the nanoseconds of all events of a request together.
    fn whole_request(&self) -> Option<f64> {
        let processor = self.arrivals.batches + self.ends.batches + self.timers.batches;
        nanoseconds_per(processor, self.arrivals.events)
    }
}

fn nanoseconds_per(time: Duration, events: u64) -> Option<f64> {
    if events == 0 {
        return None;
    }
    Some(time.as_nanos() as f64 / events as f64)
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let nanoseconds = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    histogram
        .record(nanoseconds)
        .expect("the histogram grows with its values");
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Option<f64> {
    if histogram.is_empty() {
        return None;
    }
    Some(histogram.value_at_quantile(quantile) as f64)
}
