//! The assessed figures: latency, processor time, memory, traffic, descriptors and ratios at the target.

use super::assessment::{Assessment, FigureUnit, TargetFigure};
use super::curve::Curve;
use crate::slopes::measure::{Measurements, Sweep};
use crate::slopes::quantity::Quantity;
use crate::slopes::scenario::SlopesScenario;
use crate::units::{
    BYTES_PER_MEGABYTE, NANOS_PER_MILLISECOND, NANOS_PER_SECOND, PERCENT, SECONDS_PER_DAY,
};

/// Descriptors of the proxy that are neither clients nor backends.
const RESERVED_DESCRIPTORS: f64 = 24.0;

/// Computes the assessed figures of a run.
pub(super) struct Assessor<'a> {
    pub(super) scenario: &'a SlopesScenario,
    pub(super) measurements: &'a Measurements,
    pub(super) curves: &'a [Curve],
}

/// Looks up the value of a quantity, either measured or fitted.
type Lookup<'a> = &'a dyn Fn(Quantity) -> Option<f64>;

impl Assessor<'_> {
    /// Returns all assessed figures, in the order of the report.
    pub(super) fn assessments(&self) -> Vec<Assessment> {
        let mut all = self.added_latency();
        all.extend(self.control_work());
        all.extend(self.decision_work());
        all.push(self.memory());
        all.extend(self.control_traffic());
        all.extend(self.descriptors());
        all.extend(self.ratios());
        all
    }

    /// Computes a figure at the target's mean rate, once of measured and once of fitted quantities.
    fn at_mean_rate(&self, figure: impl Fn(Lookup<'_>) -> Option<f64>) -> TargetFigure {
        let measured = |quantity| self.measurements.target.mean.median(quantity);
        let fitted = |quantity| self.fitted(quantity);
        TargetFigure {
            measured: figure(&measured),
            fitted: figure(&fitted),
        }
    }

    /// Computes a figure of the hot proxy; its rate is not swept, so there is no fit.
    fn at_hot_proxy(&self, figure: impl Fn(Lookup<'_>) -> Option<f64>) -> TargetFigure {
        let measured = |quantity| self.measurements.target.hot.median(quantity);
        TargetFigure {
            measured: figure(&measured),
            fitted: None,
        }
    }

    fn curve(&self, sweep: Sweep, quantity: Quantity) -> Option<&Curve> {
        self.curves
            .iter()
            .find(|curve| curve.sweep == sweep && curve.quantity == quantity)
    }

    /// Returns a quantity at the target's number of backends, plus what the target's further tenants and
    /// classes add to it.
    fn fitted(&self, quantity: Quantity) -> Option<f64> {
        let added = |sweep, base: u32| match self.curve(sweep, quantity) {
            Some(curve) => curve.at_target - curve.fit.at(f64::from(base)),
            None => 0.0,
        };
        let fleet = &self.scenario.fleet;
        let tenants = added(Sweep::Tenants, fleet.tenants);
        let classes = added(Sweep::Classes, fleet.classes);
        let backends = self.curve(Sweep::Backends, quantity)?.at_target;
        Some(backends + tenants + classes)
    }

    /// The decisions' part of the latency that the proxy adds: arrival and end of a request, the 99th
    /// percentile of each.
    fn added_latency(&self) -> Vec<Assessment> {
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

    /// Processor time of membership changes. A change of configuration counts as a delta of one entry.
    fn control_work(&self) -> Vec<Assessment> {
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

    fn changes_per_second(&self) -> f64 {
        let target = &self.scenario.target;
        (target.configuration_changes_per_day + target.entry_changes_per_day) / SECONDS_PER_DAY
    }

    /// Processor time of the decisions of requests.
    fn decision_work(&self) -> Vec<Assessment> {
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

    fn memory(&self) -> Assessment {
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

    /// Bytes of discovery's responses, without heads, and the time until a large one is in force.
    fn control_traffic(&self) -> Vec<Assessment> {
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

    /// A connection to each backend that was sent to during the measurement, one for each open request, and
    /// the reserved ones; beside it, a connection to every backend.
    fn descriptors(&self) -> Vec<Assessment> {
        let counts = &self.measurements.target.hot.counts;
        let used = counts.backends_used as f64 + counts.max_open as f64 + RESERVED_DESCRIPTORS;
        let every = f64::from(self.scenario.target.backends) + RESERVED_DESCRIPTORS;
        let budget = Some(self.scenario.budgets.descriptors);
        let unit = FigureUnit::Descriptors;
        let measured = TargetFigure {
            measured: Some(used),
            fitted: None,
        };
        let computed = TargetFigure {
            measured: None,
            fitted: Some(every),
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

    fn ratios(&self) -> Vec<Assessment> {
        let budgets = &self.scenario.budgets;
        let assess = |name, quantity: Quantity, budget: f64| {
            Assessment::new(name, self.ratio(quantity), Some(budget), FigureUnit::Times)
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

    /// Returns the cost at the larger of the two compared sizes over that at the smaller.
    fn ratio(&self, quantity: Quantity) -> TargetFigure {
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

    /// Returns the median measured with this number of backends, if that is one of the sizes.
    fn measured_at(&self, backends: u32, quantity: Quantity) -> Option<f64> {
        let points = self.measurements.sweeps.get(&Sweep::Backends)?;
        let point = points
            .iter()
            .find(|point| point.setup.backends == backends)?;
        point.median(quantity)
    }

    fn fitted_at(&self, backends: u32, quantity: Quantity) -> Option<f64> {
        let curve = self.curve(Sweep::Backends, quantity)?;
        Some(curve.fit.at(f64::from(backends)))
    }
}

/// Returns the part of a core that events of this cost take at this rate, in percent.
fn core_percent(nanoseconds: f64, per_second: f64) -> f64 {
    nanoseconds * per_second / NANOS_PER_SECOND * PERCENT
}

fn quotient(dividend: Option<f64>, divisor: Option<f64>) -> Option<f64> {
    Some(dividend? / divisor?)
}
