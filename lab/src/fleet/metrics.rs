//! What a run is measured by.

use super::client::ClientCall;
use super::discovery::{ProxyNumber, Revision, Traffic};
use super::report::{
    AttemptCounts, BackendLoad, CallCounts, ChangeSpread, ClassMetrics, DiscoveryReport,
    NamedClass, Percentiles, PolicyReport, SecondReport,
};
use super::rules::RuleCounts;
use hdrhistogram::Histogram;
use tillerproxy::api::Micros;

/// Latencies are kept to this many significant digits; those of single seconds to fewer.
const DIGITS: u8 = 3;
const DIGITS_OF_A_SECOND: u8 = 2;
/// The longest latency that is told apart.
const LONGEST_LATENCY: u64 = 120_000_000;
const SECOND: Micros = 1_000_000;

/// How a client's call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Answered after this span.
    Served {
        /// Since the call was first made.
        latency: Micros,
        /// Within its class's aim.
        in_time: bool,
    },
    /// The last try was refused.
    Refused,
    /// The last try failed, or no proxy took it.
    Failed,
    /// The last try had no answer in time.
    TimedOut,
    /// The client left.
    Left,
}

impl CallCounts {
    fn add(&mut self, end: CallEnd) {
        self.offered += 1;
        match end {
            CallEnd::Served { in_time: true, .. } => self.in_time += 1,
            CallEnd::Served { in_time: false, .. } => self.late += 1,
            CallEnd::Refused => self.refused += 1,
            CallEnd::Failed => self.failed += 1,
            CallEnd::TimedOut => self.timed_out += 1,
            CallEnd::Left => self.left += 1,
        }
    }
}

/// The calls that were made in one second.
#[derive(Clone, Debug)]
struct SecondMetrics {
    calls: CallCounts,
    latency: Histogram<u64>,
}

impl Percentiles {
    fn of(latency: &Histogram<u64>) -> Self {
        let at = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
        }
    }
}

impl BackendLoad {
    /// Of the attempts that each backend took.
    #[must_use]
    pub fn of(mut taken: Vec<u64>) -> Self {
        taken.sort_unstable();
        let at = |quantile: f64| taken[((taken.len() - 1) as f64 * quantile).round() as usize];
        let without_any = taken.iter().take_while(|&&count| count == 0).count() as u64;
        Self {
            p1: at(0.01),
            p50: at(0.5),
            p99: at(0.99),
            max: at(1.0),
            without_any,
        }
    }
}

/// A publication of changes on its way to the proxies.
#[derive(Debug)]
struct Publication {
    revision: Revision,
    happened: Micros,
    /// Proxies that lived at the publication.
    expected: usize,
    /// When proxies were informed, in their order in time.
    informed: Vec<Micros>,
}

impl Publication {
    /// When this fraction of the proxies knew, in seconds since it happened.
    fn known_to(&self, fraction: f64) -> Option<f64> {
        let needed = ((self.expected as f64 * fraction).ceil() as usize).max(1);
        let at = self.informed.get(needed - 1)?;
        Some((at - self.happened) as f64 / 1e6)
    }
}

/// Measures a run.
#[derive(Debug)]
pub struct Metrics {
    warmup: Micros,
    latency: Histogram<u64>,
    seconds: Vec<SecondMetrics>,
    classes: Vec<ClassMetrics>,
    publications: Vec<Publication>,
    /// The publications that each proxy knows.
    known: Vec<usize>,
    /// Bytes and calls by second.
    discovery_seconds: Vec<(u64, u64)>,
    discovery_before: Traffic,
    /// Tries and attempts.
    pub attempts: AttemptCounts,
}

fn histogram(digits: u8) -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_LATENCY, digits).expect("bounds and digits are in range")
}

impl Metrics {
    /// Measures nothing so far.
    #[must_use]
    pub fn new(duration: Micros, warmup: Micros, classes: usize, proxies: usize) -> Self {
        let empty = SecondMetrics {
            calls: CallCounts::default(),
            latency: histogram(DIGITS_OF_A_SECOND),
        };
        Self {
            warmup,
            latency: histogram(DIGITS),
            seconds: vec![empty; duration.div_ceil(SECOND) as usize],
            classes: vec![ClassMetrics::default(); classes],
            publications: Vec::new(),
            known: vec![0; proxies],
            discovery_seconds: Vec::new(),
            discovery_before: Traffic::default(),
            attempts: AttemptCounts::default(),
        }
    }

    /// A call has ended; after its aim `late_worth` of its worth is left.
    pub fn on_call_end(&mut self, call: &ClientCall, late_worth: f64, end: CallEnd) {
        let last = self.seconds.len() - 1;
        let second = &mut self.seconds[((call.born / SECOND) as usize).min(last)];
        second.calls.add(end);
        if let CallEnd::Served { latency, .. } = end {
            second.latency.saturating_record(latency);
        }
        if call.born < self.warmup {
            return;
        }
        let class = &mut self.classes[usize::from(call.class)];
        class.calls.add(end);
        if end == CallEnd::Left {
            return;
        }
        class.offered_worth += call.worth;
        if let CallEnd::Served { latency, in_time } = end {
            self.latency.saturating_record(latency);
            class.earned_worth += call.worth * if in_time { 1.0 } else { late_worth };
        }
    }

    /// Changes that happened at `happened` were published.
    pub fn on_publication(&mut self, revision: Revision, happened: Micros, living: usize) {
        let informed = Vec::with_capacity(living);
        self.publications.push(Publication {
            revision,
            happened,
            expected: living,
            informed,
        });
    }

    /// A proxy's list is now of this revision.
    pub fn on_informed(&mut self, now: Micros, proxy: ProxyNumber, revision: Revision) {
        let known = &mut self.known[usize::from(proxy)];
        while let Some(publication) = self.publications.get_mut(*known)
            && publication.revision <= revision
        {
            publication.informed.push(now);
            *known += 1;
        }
    }

    /// Books what discovery has done since the last time to the present second.
    pub fn on_discovery(&mut self, now: Micros, traffic: Traffic) {
        let second = (now / SECOND) as usize;
        if self.discovery_seconds.len() <= second {
            self.discovery_seconds.resize(second + 1, (0, 0));
        }
        let (bytes, calls) = &mut self.discovery_seconds[second];
        *bytes += traffic.bytes - self.discovery_before.bytes;
        *calls += traffic.calls - self.discovery_before.calls;
        self.discovery_before = traffic;
    }

    fn spread(&self) -> ChangeSpread {
        let known = |fraction: f64| {
            let mut times: Vec<f64> = self
                .publications
                .iter()
                .filter_map(|p| p.known_to(fraction))
                .collect();
            times.sort_unstable_by(f64::total_cmp);
            times
        };
        let (half, most, all) = (known(0.5), known(0.99), known(1.0));
        let median = |times: &[f64]| times.get(times.len() / 2).copied();
        ChangeSpread {
            publications: self.publications.len(),
            median_half_s: median(&half),
            median_p99_s: median(&most),
            median_all_s: median(&all),
            worst_half_s: half.last().copied(),
            worst_p99_s: most.last().copied(),
            worst_all_s: all.last().copied(),
            not_known_to_all: self.publications.len() - all.len(),
        }
    }

    fn discovery(&self, elapsed: Micros) -> DiscoveryReport {
        let traffic = self.discovery_before;
        let proxy_seconds = self.known.len() as f64 * elapsed as f64 / 1e6;
        DiscoveryReport {
            calls: traffic.calls,
            failures: traffic.failures,
            whole_lists: traffic.lists,
            entries: traffic.entries,
            bytes: traffic.bytes,
            bytes_per_proxy_s: traffic.bytes as f64 / proxy_seconds,
            peak_second_bytes: self
                .discovery_seconds
                .iter()
                .map(|second| second.0)
                .max()
                .unwrap_or_default(),
            peak_second_calls: self
                .discovery_seconds
                .iter()
                .map(|second| second.1)
                .max()
                .unwrap_or_default(),
        }
    }

    fn total(&self) -> (CallCounts, f64) {
        let mut calls = CallCounts::default();
        for class in &self.classes {
            calls.offered += class.calls.offered;
            calls.in_time += class.calls.in_time;
            calls.late += class.calls.late;
            calls.refused += class.calls.refused;
            calls.failed += class.calls.failed;
            calls.timed_out += class.calls.timed_out;
            calls.left += class.calls.left;
        }
        let offered: f64 = self.classes.iter().map(|class| class.offered_worth).sum();
        let earned: f64 = self.classes.iter().map(|class| class.earned_worth).sum();
        (calls, if offered > 0.0 { earned / offered } else { 0.0 })
    }

    fn second(number: usize, second: &SecondMetrics) -> SecondReport {
        let p99_ms = second.latency.value_at_quantile(0.99) as f64 / 1e3;
        SecondReport {
            second: number,
            calls: second.calls,
            p99_ms,
        }
    }

    /// The figures of a run that took `elapsed` of virtual time.
    #[must_use]
    pub fn report(&self, run: RunFigures) -> PolicyReport {
        let (calls, worth_in_time) = self.total();
        let named = |(name, &metrics): (String, &ClassMetrics)| NamedClass { name, metrics };
        PolicyReport {
            policy: run.policy,
            worth_in_time,
            calls,
            classes: run
                .class_names
                .into_iter()
                .zip(&self.classes)
                .map(named)
                .collect(),
            latency: Percentiles::of(&self.latency),
            attempts: self.attempts,
            backend_load: BackendLoad::of(run.taken),
            change_spread: self.spread(),
            discovery: self.discovery(run.elapsed),
            rules: run.rules,
            rules_broken: run.rules.broken(),
            events: run.events,
            seconds: self
                .seconds
                .iter()
                .enumerate()
                .map(|(at, second)| Self::second(at, second))
                .collect(),
        }
    }
}

/// What the simulation adds to the metrics for a report.
#[derive(Clone, Debug)]
pub struct RunFigures {
    /// Name of the policy.
    pub policy: String,
    /// Names of the classes.
    pub class_names: Vec<String>,
    /// Attempts that each backend took.
    pub taken: Vec<u64>,
    /// How the rules were kept.
    pub rules: RuleCounts,
    /// Events of the simulation.
    pub events: u64,
    /// Virtual time that passed.
    pub elapsed: Micros,
}
