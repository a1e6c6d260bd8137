//! The measurements of a run.

mod propagation;
mod traffic;

use super::backend::EmulatedBackend;
use super::client::ClientCall;
use super::discovery::{Revision, Traffic};
use super::ids::ProxyIndex;
use super::report::{
    AttemptCounts, BackendLoad, CallCounts, ClassMetrics, NamedClass, Percentiles, PolicyReport,
    TimeSeriesSecond,
};
use super::rules::RuleCounts;
use crate::units::{MICROS_PER_SECOND, as_milliseconds};
use hdrhistogram::Histogram;
use propagation::PropagationTracker;
use tillerproxy::api::Micros;
use traffic::DiscoveryTraffic;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Significant decimal digits of latencies in the time series. Fewer are kept because each second has a histogram of
/// its own.
const SECOND_LATENCY_DIGITS: u8 = 2;
/// Greatest latency that is recorded; longer ones are recorded as this value.
const MAX_LATENCY: Micros = 120 * MICROS_PER_SECOND;

/// End of a client's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A backend's response reached the client.
    Served {
        /// Time since the client made the call.
        latency: Micros,
        /// Whether the latency is within the latency objective of the class.
        within_objective: bool,
    },
    /// The last attempt was rejected.
    Rejected,
    /// The last attempt failed, or no proxy accepted it.
    Failed,
    /// The last attempt timed out.
    TimedOut,
    /// The client disconnected.
    Disconnected,
}

impl CallCounts {
    /// Counts the end of a call.
    fn add(&mut self, end: CallEnd) {
        self.offered += 1;
        match end {
            CallEnd::Served {
                within_objective: true,
                ..
            } => self.within_objective += 1,
            CallEnd::Served {
                within_objective: false,
                ..
            } => self.late += 1,
            CallEnd::Rejected => self.rejected += 1,
            CallEnd::Failed => self.failed += 1,
            CallEnd::TimedOut => self.timed_out += 1,
            CallEnd::Disconnected => self.disconnected += 1,
        }
    }

    /// Adds the counts of `other`.
    fn add_all(&mut self, other: &Self) {
        self.offered += other.offered;
        self.within_objective += other.within_objective;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.timed_out += other.timed_out;
        self.disconnected += other.disconnected;
    }
}

/// The calls that clients made in one second.
#[derive(Clone, Debug)]
struct SecondMetrics {
    calls: CallCounts,
    latency: Histogram<u64>,
}

impl SecondMetrics {
    fn report(&self, second: usize) -> TimeSeriesSecond {
        let p99 = self.latency.value_at_quantile(0.99);
        TimeSeriesSecond {
            second,
            calls: self.calls,
            p99_ms: as_milliseconds(p99),
        }
    }
}

impl Percentiles {
    /// Returns the percentiles of the recorded latencies.
    fn of(latency: &Histogram<u64>) -> Self {
        let at = |quantile: f64| as_milliseconds(latency.value_at_quantile(quantile));
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
        }
    }
}

impl BackendLoad {
    /// Summarizes the numbers of attempts that reached the backends.
    ///
    /// # Panics
    /// If there is no backend.
    #[must_use]
    pub fn of(backends: &[EmulatedBackend]) -> Self {
        let mut arrivals: Vec<u64> = backends.iter().map(|backend| backend.arrivals).collect();
        arrivals.sort_unstable();
        let last = arrivals.len() - 1;
        let at = |quantile: f64| arrivals[(last as f64 * quantile).round() as usize];
        Self {
            p1: at(0.01),
            p50: at(0.5),
            p99: at(0.99),
            max: at(1.0),
            idle_backends: arrivals.iter().filter(|&&count| count == 0).count() as u64,
        }
    }
}

/// The measurements of a run.
#[derive(Debug)]
pub struct Metrics {
    /// End of the warm-up.
    warmup: Micros,
    /// Latencies of the served calls after the warm-up.
    latency: Histogram<u64>,
    /// The time series: metrics by the second in which a call was made.
    seconds: Vec<SecondMetrics>,
    /// Metrics by class, after the warm-up.
    classes: Vec<ClassMetrics>,
    propagation: PropagationTracker,
    discovery: DiscoveryTraffic,
    /// Attempts of clients and proxies.
    pub attempts: AttemptCounts,
}

fn latency_histogram(digits: u8) -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY, digits)
        .expect("the bounds and the number of significant digits of the histogram are valid")
}

impl Metrics {
    /// Creates the metrics of a run in which clients send requests for `duration`. Calls made during the warm-up are
    /// recorded in the time series only.
    #[must_use]
    pub fn new(duration: Micros, warmup: Micros, classes: usize, proxies: usize) -> Self {
        let empty = SecondMetrics {
            calls: CallCounts::default(),
            latency: latency_histogram(SECOND_LATENCY_DIGITS),
        };
        Self {
            warmup,
            latency: latency_histogram(LATENCY_DIGITS),
            seconds: vec![empty; duration.div_ceil(MICROS_PER_SECOND) as usize],
            classes: vec![ClassMetrics::default(); classes],
            propagation: PropagationTracker::new(proxies),
            discovery: DiscoveryTraffic::default(),
            attempts: AttemptCounts::default(),
        }
    }

    /// Records the end of a call. A response past the latency objective earns `late_weight_factor` of the call's
    /// priority weight. A call whose client disconnected is left out of the weights.
    pub fn on_call_end(&mut self, call: &ClientCall, late_weight_factor: f64, end: CallEnd) {
        self.record_in_time_series(call, end);
        if call.started_at < self.warmup {
            return;
        }
        let class = &mut self.classes[call.class.index()];
        class.calls.add(end);
        if end == CallEnd::Disconnected {
            return;
        }
        class.offered_weight += call.priority_weight;
        if let CallEnd::Served {
            latency,
            within_objective,
        } = end
        {
            self.latency.saturating_record(latency);
            let factor = if within_objective {
                1.0
            } else {
                late_weight_factor
            };
            class.earned_weight += call.priority_weight * factor;
        }
    }

    fn record_in_time_series(&mut self, call: &ClientCall, end: CallEnd) {
        let last = self.seconds.len() - 1;
        let index = (call.started_at / MICROS_PER_SECOND) as usize;
        let second = &mut self.seconds[index.min(last)];
        second.calls.add(end);
        if let CallEnd::Served { latency, .. } = end {
            second.latency.saturating_record(latency);
        }
    }

    /// Records a publication of changes, the first of which happened at `changed_at`.
    pub fn on_publication(
        &mut self,
        revision: Revision,
        changed_at: Micros,
        running_proxies: usize,
    ) {
        self.propagation
            .on_publication(revision, changed_at, running_proxies);
    }

    /// Records that the endpoint list of a proxy has reached a revision.
    pub fn on_update(&mut self, now: Micros, proxy: ProxyIndex, revision: Revision) {
        self.propagation.on_update(now, proxy, revision);
    }

    /// Records the traffic of discovery up to now.
    pub fn on_discovery_traffic(&mut self, now: Micros, traffic: Traffic) {
        self.discovery.record(now, traffic);
    }

    /// Returns the counts of all classes together.
    fn total_calls(&self) -> CallCounts {
        let mut total = CallCounts::default();
        for class in &self.classes {
            total.add_all(&class.calls);
        }
        total
    }

    /// Returns the earned weight as a fraction of the offered weight.
    fn earned_weight_fraction(&self) -> f64 {
        let offered: f64 = self.classes.iter().map(|class| class.offered_weight).sum();
        let earned: f64 = self.classes.iter().map(|class| class.earned_weight).sum();
        if offered > 0.0 { earned / offered } else { 0.0 }
    }

    fn class_reports(&self, names: Vec<String>) -> Vec<NamedClass> {
        names
            .into_iter()
            .zip(&self.classes)
            .map(|(name, &metrics)| NamedClass { name, metrics })
            .collect()
    }

    fn time_series(&self) -> Vec<TimeSeriesSecond> {
        self.seconds
            .iter()
            .enumerate()
            .map(|(second, metrics)| metrics.report(second))
            .collect()
    }

    /// Returns the report of a run.
    #[must_use]
    pub fn report(&self, run: RunSummary) -> PolicyReport {
        PolicyReport {
            policy: run.policy,
            earned_weight_fraction: self.earned_weight_fraction(),
            calls: self.total_calls(),
            classes: self.class_reports(run.class_names),
            latency: Percentiles::of(&self.latency),
            attempts: self.attempts,
            backend_load: run.backend_load,
            change_propagation: self.propagation.report(),
            discovery: self
                .discovery
                .report(run.elapsed, self.propagation.proxies()),
            rules: run.rules,
            rule_violations: run.rules.violations(),
            events: run.events,
            seconds: self.time_series(),
        }
    }
}

/// Values of a run that the report takes from the simulation.
#[derive(Clone, Debug)]
pub struct RunSummary {
    /// Name of the policy.
    pub policy: String,
    /// Names of the classes.
    pub class_names: Vec<String>,
    /// Distribution of the attempts over the backends.
    pub backend_load: BackendLoad,
    /// Counts of the rule checker.
    pub rules: RuleCounts,
    /// Number of events of the simulation.
    pub events: u64,
    /// Virtual time that passed.
    pub elapsed: Micros,
}
