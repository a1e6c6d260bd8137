//! Computes the assessed figures: latency, processor time, memory, traffic, descriptors and cost ratios at the target.

use super::assessment::{Assessment, FigureUnit, TargetFigure};
use super::curve::Curve;
use crate::slopes::measure::{Measurements, Sweep};
use crate::slopes::quantity::Quantity;
use crate::slopes::scenario::SlopesScenario;
use crate::units::{
    BYTES_PER_MEGABYTE, NANOS_PER_MILLISECOND, NANOS_PER_SECOND, PERCENT_PER_ONE, SECONDS_PER_DAY,
};

/// File descriptors of the proxy other than connections to clients and backends.
const RESERVED_DESCRIPTORS: f64 = 24.0;

/// Computes the assessed figures of a run from its measurements and curves.
pub(super) struct Assessor<'a> {
    pub(super) scenario: &'a SlopesScenario,
    pub(super) measurements: &'a Measurements,
    pub(super) curves: &'a [Curve],
}

/// A function that returns the value of a quantity at the target, either measured or fitted.
type Lookup<'a> = &'a dyn Fn(Quantity) -> Option<f64>;

impl Assessor<'_> {
    /// Returns all assessed figures, in the order of the report.
    pub(super) fn assess_all(&self) -> Vec<Assessment> {
        let mut all = self.assess_added_latency();
        all.extend(self.assess_control_work());
        all.extend(self.assess_decision_work());
        all.push(self.assess_memory());
        all.extend(self.assess_control_traffic());
        all.extend(self.assess_descriptors());
        all.extend(self.assess_ratios());
        all
    }

    /// Computes a figure at the target's mean request rate twice: from measured and from fitted quantities.
    fn at_mean_rate(&self, figure: impl Fn(Lookup<'_>) -> Option<f64>) -> TargetFigure {
        let measured = |quantity| self.measurements.target.mean.median(quantity);
        let fitted = |quantity| self.fitted(quantity);
        TargetFigure {
            measured: figure(&measured),
            fitted: figure(&fitted),
        }
    }

    /// Computes a figure of a hot proxy from measured quantities. The request rate is not swept, so there is no fit.
    fn at_hot_proxy(&self, figure: impl Fn(Lookup<'_>) -> Option<f64>) -> TargetFigure {
        let measured = |quantity| self.measurements.target.hot.median(quantity);
        TargetFigure {
            measured: figure(&measured),
            fitted: None,
        }
    }

    /// Returns the curve of a quantity over a sweep, if it was fitted.
    fn curve(&self, sweep: Sweep, quantity: Quantity) -> Option<&Curve> {
        self.curves
            .iter()
            .find(|curve| curve.sweep == sweep && curve.quantity == quantity)
    }

    /// Returns the fitted value of a quantity at the target: the value that the fit of the backend sweep has at the
    /// target's number of backends, plus two corrections. One is for the target's number of tenants and one for its
    /// number of classes, because both numbers differ from those of the backend sweep.
    fn fitted(&self, quantity: Quantity) -> Option<f64> {
        let added = |sweep, base: u32| match self.curve(sweep, quantity) {
            Some(curve) => curve.at_target - curve.fit.cost_at(f64::from(base)),
            None => 0.0,
        };
        let fleet = &self.scenario.fleet;
        let tenants = added(Sweep::Tenants, fleet.tenants);
        let classes = added(Sweep::Classes, fleet.classes);
        let backends = self.curve(Sweep::Backends, quantity)?.at_target;
        Some(backends + tenants + classes)
    }

    /// Assesses the latency that the balancer's decisions add to a request: the sum of the 99th percentiles of the cost
    /// of an arrival and of the cost of the end of an attempt.
    fn assess_added_latency(&self) -> Vec<Assessment> {
        let budget = Some(self.scenario.budgets.added_ms);
        let assess = |name, figure| Assessment::new(name, figure, budget, FigureUnit::Milliseconds);
        let sum = |arrival: Quantity, end: Quantity| {
            move |value: Lookup<'_>| Some((value(arrival)? + value(end)?) / NANOS_PER_MILLISECOND)
        };
        let processor = sum(Quantity::RequestP99, Quantity::RequestEndP99);
        let wall = sum(Quantity::RequestWallP99, Quantity::RequestEndWallP99);
        vec![
            assess(
                "decisions of a request, p99, mean rate",
                self.at_mean_rate(processor),
            ),
            assess(
                "decisions of a request, p99, hot proxy",
                self.at_hot_proxy(processor),
            ),
            assess("the same by wall time, mean rate", self.at_mean_rate(wall)),
            assess("the same by wall time, hot proxy", self.at_hot_proxy(wall)),
        ]
    }

    /// Assesses the processor time that the translator and the balancer take for membership changes. A change of
    /// configuration counts as a delta of one endpoint.
    fn assess_control_work(&self) -> Vec<Assessment> {
        let budget = Some(self.scenario.budgets.control_core_percent);
        let assess = |name, quantity: Quantity, per_second: f64| {
            let figure =
                self.at_mean_rate(|value| Some(core_percent(value(quantity)?, per_second)));
            Assessment::new(name, figure, budget, FigureUnit::PercentOfCore)
        };
        let burst_rate = self.scenario.target.burst_changes_per_second;
        vec![
            assess(
                "control work, mean of a day",
                Quantity::EntryFromText,
                self.changes_per_second(),
            ),
            assess(
                "control work, burst of single changes",
                Quantity::EntryFromText,
                burst_rate,
            ),
            assess(
                "control work, second of a zone's delta",
                Quantity::ZoneDeltaFromText,
                1.0,
            ),
            assess(
                "control work, second of a whole list",
                Quantity::ListUnchangedFromText,
                1.0,
            ),
        ]
    }

    /// Returns the target's changes of configuration and of endpoints per second, mean over a day.
    fn changes_per_second(&self) -> f64 {
        let target = &self.scenario.target;
        (target.configuration_changes_per_day + target.entry_changes_per_day) / SECONDS_PER_DAY
    }

    /// Assesses the processor time of the balancer's decisions on requests.
    fn assess_decision_work(&self) -> Vec<Assessment> {
        let mean_rate = self.scenario.target.requests_per_second;
        let hot_rate = mean_rate * self.scenario.target.hot_factor;
        let mean = self
            .at_mean_rate(|value| Some(core_percent(value(Quantity::WholeRequest)?, mean_rate)));
        let hot =
            self.at_hot_proxy(|value| Some(core_percent(value(Quantity::WholeRequest)?, hot_rate)));
        let unit = FigureUnit::PercentOfCore;
        vec![
            Assessment::new("decisions at the mean rate", mean, None, unit),
            Assessment::new("decisions of a hot proxy", hot, None, unit),
        ]
    }

    /// Assesses the sum of the heap of the balancer and of the translator.
    fn assess_memory(&self) -> Assessment {
        let heap = self.at_mean_rate(|value| {
            let bytes = value(Quantity::BalancerMemory)? + value(Quantity::TranslatorMemory)?;
            Some(bytes / BYTES_PER_MEGABYTE)
        });
        let budget = Some(self.scenario.budgets.memory_mb);
        Assessment::new(
            "heap of decisions and translator",
            heap,
            budget,
            FigureUnit::Megabytes,
        )
    }

    /// Assesses the bytes of discovery's responses, without HTTP heads, and the time until a large response is applied.
    fn assess_control_traffic(&self) -> Vec<Assessment> {
        let budgets = &self.scenario.budgets;
        let byte_rate = budgets.control_bytes_per_second;
        let assess_bytes = |name, changes_per_second: f64| {
            let figure = self
                .at_mean_rate(|value| Some(value(Quantity::DeltaOfOneBytes)? * changes_per_second));
            Assessment::new(name, figure, Some(byte_rate), FigureUnit::BytesPerSecond)
        };
        let assess_delay = |name, bytes: Quantity, cost: Quantity| {
            let figure = self.at_mean_rate(|value| {
                Some(value(bytes)? / byte_rate + value(cost)? / NANOS_PER_SECOND)
            });
            Assessment::new(
                name,
                figure,
                Some(budgets.list_seconds),
                FigureUnit::Seconds,
            )
        };
        vec![
            assess_bytes("control bytes, mean of a day", self.changes_per_second()),
            assess_bytes(
                "control bytes, burst of single changes",
                self.scenario.target.burst_changes_per_second,
            ),
            assess_delay(
                "a zone's delta in force, at that budget",
                Quantity::ZoneDeltaBytes,
                Quantity::ZoneDeltaFromText,
            ),
            assess_delay(
                "a whole list in force, at that budget",
                Quantity::ListBytes,
                Quantity::ListReplacedFromText,
            ),
        ]
    }

    /// Assesses the file descriptors of a hot proxy: one connection for each backend that received a request during the
    /// measurement, one for each open request, and [`RESERVED_DESCRIPTORS`]. A second figure assumes a connection to
    /// every backend of the target.
    fn assess_descriptors(&self) -> Vec<Assessment> {
        let counts = &self.measurements.target.hot.counts;
        let in_use = counts.backends_used as f64 + counts.max_open as f64 + RESERVED_DESCRIPTORS;
        let connected_to_all = f64::from(self.scenario.target.backends) + RESERVED_DESCRIPTORS;
        let budget = Some(self.scenario.budgets.descriptors);
        let unit = FigureUnit::Descriptors;
        let measured = TargetFigure {
            measured: Some(in_use),
            fitted: None,
        };
        let computed = TargetFigure {
            measured: None,
            fitted: Some(connected_to_all),
        };
        vec![
            Assessment::new("descriptors in use, hot proxy", measured, budget, unit),
            Assessment::new(
                "descriptors, connected to every backend",
                computed,
                budget,
                unit,
            ),
        ]
    }

    /// Assesses the growth of costs between the target's two `ratio_sizes`.
    fn assess_ratios(&self) -> Vec<Assessment> {
        let budgets = &self.scenario.budgets;
        let assess = |name, quantity: Quantity, budget: f64| {
            Assessment::new(
                name,
                self.cost_ratio(quantity),
                Some(budget),
                FigureUnit::Times,
            )
        };
        vec![
            assess(
                "request, large over small",
                Quantity::WholeRequest,
                budgets.request_ratio,
            ),
            assess(
                "one entry, large over small",
                Quantity::Entry,
                budgets.entry_ratio,
            ),
        ]
    }

    /// Returns the cost at the larger of the target's two `ratio_sizes`, as a multiple of the cost at the smaller.
    fn cost_ratio(&self, quantity: Quantity) -> TargetFigure {
        let [small, large] = self.scenario.target.ratio_sizes;
        TargetFigure {
            measured: quotient(
                self.measured_at(large, quantity),
                self.measured_at(small, quantity),
            ),
            fitted: quotient(
                self.fitted_at(large, quantity),
                self.fitted_at(small, quantity),
            ),
        }
    }

    /// Returns the median measured at this number of backends; `None` if it is not one of the measured sizes.
    fn measured_at(&self, backends: u32, quantity: Quantity) -> Option<f64> {
        let points = self.measurements.sweeps.get(&Sweep::Backends)?;
        let point = points
            .iter()
            .find(|point| point.setup.backends == backends)?;
        point.median(quantity)
    }

    /// Returns the fitted value at this number of backends; `None` without a fit.
    fn fitted_at(&self, backends: u32, quantity: Quantity) -> Option<f64> {
        let curve = self.curve(Sweep::Backends, quantity)?;
        Some(curve.fit.cost_at(f64::from(backends)))
    }
}

/// Returns the processor time of events with this cost and rate, in percent of a core.
fn core_percent(nanoseconds: f64, events_per_second: f64) -> f64 {
    nanoseconds * events_per_second / NANOS_PER_SECOND * PERCENT_PER_ONE
}

fn quotient(dividend: Option<f64>, divisor: Option<f64>) -> Option<f64> {
    Some(dividend? / divisor?)
}
