//! What the measurements say: fitted curves with their value at the target, and each figure beside its
//! budget.

use super::fit::Fit;
use super::measure::{Measurements, Point, Sweep};
use super::quantity::Quantity;
use super::scenario::SlopesScenario;
use serde::Serialize;

/// Seconds of a day.
const DAY: f64 = 86_400.0;
/// Nanoseconds of a millisecond and a second.
const NANOS_PER_MILLI: f64 = 1e6;
const NANOS_PER_SECOND: f64 = 1e9;
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;
/// Descriptors of the proxy that are neither clients nor backends.
const RESERVED_DESCRIPTORS: f64 = 24.0;

/// A quantity fitted over a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    /// What was swept.
    pub sweep: Sweep,
    /// What was measured.
    pub quantity: Quantity,
    /// Both models.
    pub fit: Fit,
    /// The swept number at the target.
    pub target_size: u32,
    /// The value there, by the better model.
    pub at_target: f64,
}

/// Unit of an assessed figure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureUnit {
    /// Milliseconds.
    Milliseconds,
    /// Percent of a core.
    PercentOfCore,
    /// Megabytes.
    Megabytes,
    /// Bytes a second.
    BytesPerSecond,
    /// Seconds.
    Seconds,
    /// A number of descriptors.
    Descriptors,
    /// A ratio of two costs.
    Times,
}

/// Whether a figure keeps its budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It does.
    Within,
    /// It is so many times the budget.
    Over(f64),
    /// It has no budget.
    Unlimited,
    /// It was not measured.
    NotMeasured,
}

/// A figure at the target beside its budget.
#[derive(Clone, Debug, Serialize)]
pub struct Assessment {
    /// What it is.
    pub name: &'static str,
    /// The figure measured at the target; `None` where it was not.
    pub measured: Option<f64>,
    /// The same figure by the fits over the sweeps; `None` where it has none.
    pub fitted: Option<f64>,
    /// Its budget, if it has one.
    pub budget: Option<f64>,
    /// The unit of all three.
    pub unit: FigureUnit,
    /// How the measured figure, or the fitted one where there is none, compares with the budget.
    pub verdict: Verdict,
}

/// A figure at the target, twice.
#[derive(Clone, Copy, Default)]
struct TargetFigure {
    measured: Option<f64>,
    fitted: Option<f64>,
}

/// Where the figures at the target come from.
struct Assessor<'a> {
    scenario: &'a SlopesScenario,
    measured: &'a Measurements,
    curves: &'a [Curve],
}

/// The analysis of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Analysis {
    /// Fitted curves.
    pub curves: Vec<Curve>,
    /// Bytes of heap of one more open request, by a straight line.
    pub bytes_per_open_request: Option<f64>,
    /// Figures at the target beside their budgets.
    pub assessments: Vec<Assessment>,
}

impl FigureUnit {
    /// Its abbreviation.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Milliseconds => "ms",
            Self::PercentOfCore => "% of a core",
            Self::Megabytes => "MB",
            Self::BytesPerSecond => "B/s",
            Self::Seconds => "s",
            Self::Descriptors => "descriptors",
            Self::Times => "times",
        }
    }
}

impl Assessment {
    fn new(
        name: &'static str,
        figure: TargetFigure,
        budget: Option<f64>,
        unit: FigureUnit,
    ) -> Self {
        let TargetFigure { measured, fitted } = figure;
        let verdict = match (measured.or(fitted), budget) {
            (None, _) => Verdict::NotMeasured,
            (Some(_), None) => Verdict::Unlimited,
            (Some(value), Some(budget)) if value <= budget => Verdict::Within,
            (Some(value), Some(budget)) => Verdict::Over(value / budget),
        };
        Self {
            name,
            measured,
            fitted,
            budget,
            unit,
            verdict,
        }
    }
}

impl Analysis {
    /// Analyses the measurements of a scenario.
    #[must_use]
    pub fn of(scenario: &SlopesScenario, measured: &Measurements) -> Self {
        let curves = curves(scenario, measured);
        let assessments = Assessor {
            scenario,
            measured,
            curves: &curves,
        }
        .assessments();
        Self {
            curves,
            bytes_per_open_request: bytes_per_open_request(measured),
            assessments,
        }
    }
}

fn curves(scenario: &SlopesScenario, measured: &Measurements) -> Vec<Curve> {
    let mut curves = Vec::new();
    for (&sweep, points) in &measured.sweeps {
        let target_size = target_size(sweep, scenario);
        for quantity in Quantity::ALL {
            let Some(fit) = Fit::of(&series(sweep, points, quantity)) else {
                continue;
            };
            let at_target = fit.at(f64::from(target_size));
            curves.push(Curve {
                sweep,
                quantity,
                fit,
                target_size,
                at_target,
            });
        }
    }
    curves
}

/// The medians of a quantity over a sweep, as points of (size, median).
#[must_use]
pub fn series(sweep: Sweep, points: &[Point], quantity: Quantity) -> Vec<(f64, f64)> {
    let medians = points.iter().filter_map(|point| {
        let median = point.median(quantity)?;
        Some((f64::from(sweep.size(&point.setup)), median))
    });
    medians.collect()
}

fn target_size(sweep: Sweep, scenario: &SlopesScenario) -> u32 {
    match sweep {
        Sweep::Backends => scenario.target.backends,
        Sweep::Tenants => scenario.target.tenants,
        Sweep::Classes => scenario.target.classes,
        Sweep::Proxies => scenario.target.proxies,
    }
}

fn bytes_per_open_request(measured: &Measurements) -> Option<f64> {
    let memory = measured.open_request_memory.iter();
    let points: Vec<(f64, f64)> = memory
        .map(|point| (f64::from(point.open_requests), point.balancer_memory))
        .collect();
    Fit::of(&points).map(|fit| fit.line.slope)
}

impl Assessor<'_> {
    fn assessments(&self) -> Vec<Assessment> {
        let mut all = self.added_time();
        all.extend(self.control_work());
        all.extend(self.decision_work());
        all.extend(self.memory());
        all.extend(self.traffic());
        all.extend(self.descriptors());
        all.extend(self.ratios());
        all
    }

    /// A figure at the target's mean rate, made of quantities: once of those measured there, once of fitted
    /// ones.
    fn at_mean(
        &self,
        figure: impl Fn(&dyn Fn(Quantity) -> Option<f64>) -> Option<f64>,
    ) -> TargetFigure {
        let measured = |quantity| self.measured.target.mean.median(quantity);
        let fitted = |quantity| self.fitted(quantity);
        TargetFigure {
            measured: figure(&measured),
            fitted: figure(&fitted),
        }
    }

    /// A figure of the hot proxy; its rate is not swept, so there is no fit.
    fn at_hot(
        &self,
        figure: impl Fn(&dyn Fn(Quantity) -> Option<f64>) -> Option<f64>,
    ) -> TargetFigure {
        let measured = |quantity| self.measured.target.hot.median(quantity);
        TargetFigure {
            measured: figure(&measured),
            fitted: None,
        }
    }

    /// A quantity at the target's number of backends, and what the target's further tenants and classes add
    /// to it.
    fn fitted(&self, quantity: Quantity) -> Option<f64> {
        let curve = |sweep| {
            self.curves
                .iter()
                .find(|c| c.sweep == sweep && c.quantity == quantity)
        };
        let added = |sweep, base: u32| {
            curve(sweep).map_or(0.0, |curve| curve.at_target - curve.fit.at(f64::from(base)))
        };
        let fleet = &self.scenario.fleet;
        let tenants = added(Sweep::Tenants, fleet.tenants);
        let classes = added(Sweep::Classes, fleet.classes);
        Some(curve(Sweep::Backends)?.at_target + tenants + classes)
    }

    /// The decisions' part of the time that a request takes longer: its arrival and its end, the 99th
    /// percentile of each.
    fn added_time(&self) -> Vec<Assessment> {
        let budget = Some(self.scenario.budgets.added_ms);
        let added = |name, figure| Assessment::new(name, figure, budget, FigureUnit::Milliseconds);
        let sum = |arrival: Quantity, end: Quantity| {
            move |of: &dyn Fn(Quantity) -> Option<f64>| {
                Some((of(arrival)? + of(end)?) / NANOS_PER_MILLI)
            }
        };
        let processor = sum(Quantity::RequestP99, Quantity::RequestEndP99);
        let wall = sum(Quantity::RequestWallP99, Quantity::RequestEndWallP99);
        vec![
            added(
                "decisions of a request, p99, mean rate",
                self.at_mean(processor),
            ),
            added(
                "decisions of a request, p99, hot proxy",
                self.at_hot(processor),
            ),
            added("the same by wall time, mean rate", self.at_mean(wall)),
            added("the same by wall time, hot proxy", self.at_hot(wall)),
        ]
    }

    /// A change of configuration has no path of its own yet: it is counted as a delta of one.
    fn control_work(&self) -> Vec<Assessment> {
        let of_core = |quantity: Quantity, per_second: f64| {
            self.at_mean(|of| Some(of(quantity)? * per_second / NANOS_PER_SECOND * 100.0))
        };
        let burst_rate = self.scenario.target.burst_changes_per_second;
        let mean = of_core(Quantity::EntryFromText, self.changes_per_second());
        let burst = of_core(Quantity::EntryFromText, burst_rate);
        let zone = of_core(Quantity::ZoneDeltaFromText, 1.0);
        let list = of_core(Quantity::ListUnchangedFromText, 1.0);
        let budget = Some(self.scenario.budgets.control_core_percent);
        let unit = FigureUnit::PercentOfCore;
        vec![
            Assessment::new("control work, mean of a day", mean, budget, unit),
            Assessment::new("control work, burst of single changes", burst, budget, unit),
            Assessment::new("control work, second of a zone's delta", zone, budget, unit),
            Assessment::new("control work, second of a whole list", list, budget, unit),
        ]
    }

    fn changes_per_second(&self) -> f64 {
        let target = &self.scenario.target;
        (target.configuration_changes_per_day + target.entry_changes_per_day) / DAY
    }

    fn decision_work(&self) -> Vec<Assessment> {
        let rate = self.scenario.target.requests_per_second;
        let hot_rate = rate * self.scenario.target.hot_factor;
        let work = |rate: f64| {
            move |of: &dyn Fn(Quantity) -> Option<f64>| {
                Some(of(Quantity::WholeRequest)? * rate / NANOS_PER_SECOND * 100.0)
            }
        };
        let (mean, hot) = (self.at_mean(work(rate)), self.at_hot(work(hot_rate)));
        let unit = FigureUnit::PercentOfCore;
        vec![
            Assessment::new("decisions at the mean rate", mean, None, unit),
            Assessment::new("decisions of a hot proxy", hot, None, unit),
        ]
    }

    fn memory(&self) -> Vec<Assessment> {
        let heap = self.at_mean(|of| {
            Some((of(Quantity::BalancerMemory)? + of(Quantity::TranslatorMemory)?) / MEGABYTE)
        });
        let budget = Some(self.scenario.budgets.memory_mb);
        vec![Assessment::new(
            "heap of decisions and translator",
            heap,
            budget,
            FigureUnit::Megabytes,
        )]
    }

    /// Bodies of discovery's answers alone.
    fn traffic(&self) -> Vec<Assessment> {
        let budgets = &self.scenario.budgets;
        let rate = budgets.control_bytes_per_second;
        let bytes =
            |per_second: f64| self.at_mean(|of| Some(of(Quantity::DeltaOfOneBytes)? * per_second));
        let in_force = |bytes: Quantity, cost: Quantity| {
            self.at_mean(|of| Some(of(bytes)? / rate + of(cost)? / NANOS_PER_SECOND))
        };
        let mean = bytes(self.changes_per_second());
        let burst = bytes(self.scenario.target.burst_changes_per_second);
        let zone = in_force(Quantity::ZoneDeltaBytes, Quantity::ZoneDeltaFromText);
        let list = in_force(Quantity::ListBytes, Quantity::ListReplacedFromText);
        let (rate, limit) = (Some(rate), Some(budgets.list_seconds));
        vec![
            Assessment::new(
                "control bytes, mean of a day",
                mean,
                rate,
                FigureUnit::BytesPerSecond,
            ),
            Assessment::new(
                "control bytes, burst of single changes",
                burst,
                rate,
                FigureUnit::BytesPerSecond,
            ),
            Assessment::new(
                "a zone's delta in force, at that budget",
                zone,
                limit,
                FigureUnit::Seconds,
            ),
            Assessment::new(
                "a whole list in force, at that budget",
                list,
                limit,
                FigureUnit::Seconds,
            ),
        ]
    }

    /// A connection to each backend that was sent to during the measurement, one for each open request, and
    /// what the process keeps for itself; beside it, a connection to every backend.
    fn descriptors(&self) -> Vec<Assessment> {
        let counts = &self.measured.target.hot.counts;
        let used = counts.backends_used as f64 + counts.most_open as f64 + RESERVED_DESCRIPTORS;
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
        let request = self.ratio(Quantity::WholeRequest);
        let entry = self.ratio(Quantity::Entry);
        let unit = FigureUnit::Times;
        vec![
            Assessment::new(
                "request, large over small",
                request,
                Some(budgets.request_ratio),
                unit,
            ),
            Assessment::new(
                "one entry, large over small",
                entry,
                Some(budgets.entry_ratio),
                unit,
            ),
        ]
    }

    /// The cost at the larger of the two compared sizes over that at the smaller.
    fn ratio(&self, quantity: Quantity) -> TargetFigure {
        let [small, large] = self.scenario.target.ratio_sizes;
        let points = self
            .measured
            .sweeps
            .get(&Sweep::Backends)
            .map_or(&[][..], Vec::as_slice);
        let measured = |backends| {
            points
                .iter()
                .find(|p| p.setup.backends == backends)?
                .median(quantity)
        };
        let curve = self
            .curves
            .iter()
            .find(|c| c.sweep == Sweep::Backends && c.quantity == quantity);
        let fitted = |backends: u32| curve.map(|curve| curve.fit.at(f64::from(backends)));
        let quotient = |over: Option<f64>, under: Option<f64>| Some(over? / under?);
        TargetFigure {
            measured: quotient(measured(large), measured(small)),
            fitted: quotient(fitted(large), fitted(small)),
        }
    }
}
