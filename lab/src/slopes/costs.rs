//! What events cost: processor time by batch, and by histogram processor time and wall time of each event.

use super::quantity::Quantity;
use super::stopwatch::Stopwatch;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tillerproxy::api::Event;

/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

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

/// Kinds of event whose costs are told apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// A request comes in.
    Arrival,
    /// An attempt ends.
    End,
    /// A timer falls due.
    Timer,
}

/// Costs of one kind of event.
pub struct EventCosts {
    batches: Duration,
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
        self.costs
            .of(kind)
            .measure(events, self.timing, &self.stopwatch, handle);
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
            Timing::None => events.iter().for_each(handle),
            Timing::Batch if events.is_empty() => {}
            Timing::Batch => {
                self.batches += stopwatch.time(|| events.iter().for_each(&mut handle));
                self.events += events.len() as u64;
            }
            Timing::Processor => events.iter().for_each(|event| {
                record(&mut self.processor, stopwatch.time(|| handle(event)));
            }),
            Timing::Wall => events.iter().for_each(|event| {
                let start = Instant::now();
                handle(event);
                record(&mut self.wall, start.elapsed());
            }),
        }
    }

    /// Nanoseconds of processor time of one event, in the mean.
    fn mean(&self) -> Option<f64> {
        (self.events > 0).then(|| self.batches.as_nanos() as f64 / self.events as f64)
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

    /// The figures in nanoseconds, those without an event left out.
    #[must_use]
    pub fn figures(&self) -> BTreeMap<Quantity, f64> {
        let figures = [
            (Quantity::Request, self.arrivals.mean()),
            (Quantity::RequestEnd, self.ends.mean()),
            (Quantity::WholeRequest, self.whole_request()),
            (
                Quantity::RequestP50,
                quantile(&self.arrivals.processor, 0.5),
            ),
            (
                Quantity::RequestP99,
                quantile(&self.arrivals.processor, 0.99),
            ),
            (
                Quantity::RequestEndP99,
                quantile(&self.ends.processor, 0.99),
            ),
            (Quantity::RequestWallP50, quantile(&self.arrivals.wall, 0.5)),
            (
                Quantity::RequestWallP99,
                quantile(&self.arrivals.wall, 0.99),
            ),
            (Quantity::RequestEndWallP99, quantile(&self.ends.wall, 0.99)),
        ];
        figures
            .into_iter()
            .filter_map(|(quantity, figure)| Some((quantity, figure?)))
            .collect()
    }

    fn whole_request(&self) -> Option<f64> {
        let processor = self.arrivals.batches + self.ends.batches + self.timers.batches;
        (self.arrivals.events > 0)
            .then(|| processor.as_nanos() as f64 / self.arrivals.events as f64)
    }
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let nanoseconds = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
    histogram
        .record(nanoseconds)
        .expect("the histogram grows with its values");
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> Option<f64> {
    (!histogram.is_empty()).then(|| histogram.value_at_quantile(quantile) as f64)
}
