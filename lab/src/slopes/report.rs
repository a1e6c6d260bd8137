//! The tables on standard output.

use super::analysis::{Analysis, Assessment, Curve, Verdict};
use super::fit::Model;
use super::measure::{Measurements, Point, Sweep};
use super::quantity::{Quantity, Unit};
use super::setup::Setup;
use super::stopwatch::Summary;
use comfy_table::{CellAlignment, Table, presets};
use std::fmt::Write;

/// Quantities of the tables of tenants, classes and proxies.
const DECISION_QUANTITIES: [Quantity; 8] = [
    Quantity::Request,
    Quantity::RequestEnd,
    Quantity::WholeRequest,
    Quantity::RequestP99,
    Quantity::RequestEndP99,
    Quantity::RequestWallP99,
    Quantity::RequestEndWallP99,
    Quantity::BalancerMemory,
];

/// Quantities whose fits are shown; the JSON result has all.
const FITTED_QUANTITIES: [Quantity; 13] = [
    Quantity::Request,
    Quantity::RequestEnd,
    Quantity::WholeRequest,
    Quantity::Entry,
    Quantity::ZoneDelta,
    Quantity::ListUnchanged,
    Quantity::ListReplaced,
    Quantity::EntryFromText,
    Quantity::ZoneDeltaFromText,
    Quantity::ListUnchangedFromText,
    Quantity::ListBytes,
    Quantity::BalancerMemory,
    Quantity::TranslatorMemory,
];

/// The whole report.
#[must_use]
pub fn text(measured: &Measurements, analysis: &Analysis) -> String {
    let mut report = load_text(measured);
    for (&sweep, points) in &measured.sweeps {
        let quantities: &[Quantity] = if sweep == Sweep::Backends {
            &Quantity::ALL
        } else {
            &DECISION_QUANTITIES
        };
        section(
            &mut report,
            &sweep_title(sweep, points),
            &sweep_table(sweep, points, quantities),
        );
    }
    section(
        &mut report,
        "Target, measured as it is",
        &target_table(measured),
    );
    section(
        &mut report,
        "Fits, and their value at the target",
        &fit_table(&analysis.curves),
    );
    if let Some(bytes) = analysis.bytes_per_open_request {
        let _ = writeln!(
            report,
            "Heap of one more open request: {}\n",
            bytes_text(bytes)
        );
    }
    section(&mut report, "Budgets", &budget_table(&analysis.assessments));
    report
}

fn load_text(measured: &Measurements) -> String {
    let load = measured.load_average;
    let Some((before, after)) = load.before.zip(load.after) else {
        return String::new();
    };
    format!("Load of the machine: {before} at the start, {after} at the end\n\n")
}

fn section(report: &mut String, title: &str, table: &Table) {
    let _ = writeln!(report, "{title}\n{table}\n");
}

fn sweep_title(sweep: Sweep, points: &[Point]) -> String {
    let swept = sweep_label(sweep);
    let at = points
        .first()
        .map_or_else(String::new, |point| fixed_sizes(sweep, point));
    format!("By {swept}{at}: median of the repetitions, half their range in percent")
}

/// The sizes that a sweep leaves as they are.
fn fixed_sizes(sweep: Sweep, point: &Point) -> String {
    let Setup {
        backends,
        proxies,
        tenants,
        classes,
        ..
    } = point.setup;
    match sweep {
        Sweep::Backends => format!(", with {tenants} tenants and {classes} classes"),
        Sweep::Tenants => {
            format!(", with {backends} backends, {proxies} proxies and {classes} classes")
        }
        Sweep::Classes => {
            format!(", with {backends} backends, {proxies} proxies and {tenants} tenants")
        }
        Sweep::Proxies => {
            format!(", with {backends} backends, {tenants} tenants and {classes} classes")
        }
    }
}

fn sweep_label(sweep: Sweep) -> &'static str {
    match sweep {
        Sweep::Backends => "backends",
        Sweep::Tenants => "tenants",
        Sweep::Classes => "classes",
        Sweep::Proxies => "proxies",
    }
}

fn new_table(header: Vec<String>) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::ASCII_MARKDOWN)
        .set_header(header);
    table
        .column_iter_mut()
        .skip(1)
        .for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    table
}

fn sweep_table(sweep: Sweep, points: &[Point], quantities: &[Quantity]) -> Table {
    let sizes = points.iter().map(|point| match sweep {
        Sweep::Backends => format!("{} ({})", point.setup.backends, point.setup.proxies),
        _ => sweep.size(&point.setup).to_string(),
    });
    let first = if sweep == Sweep::Backends {
        "backends (proxies)"
    } else {
        sweep_label(sweep)
    };
    let mut table = new_table(std::iter::once(first.to_owned()).chain(sizes).collect());
    add_rows(&mut table, points, quantities);
    add_refusals(&mut table, points);
    table
}

fn target_table(measured: &Measurements) -> Table {
    let points = [measured.target.mean.clone(), measured.target.hot.clone()];
    let mut table = new_table(["", "mean rate", "hot proxy"].map(str::to_owned).to_vec());
    add_rows(&mut table, &points, &Quantity::ALL);
    add_refusals(&mut table, &points);
    table
}

/// Requests that were turned away or failed, so that it shows whether a point's load is one that it can take.
fn add_refusals(table: &mut Table, points: &[Point]) {
    let percent = |point: &Point| {
        let counts = &point.counts;
        let unserved = (counts.refused + counts.failed) as f64 / counts.requests.max(1) as f64;
        format!("{:.1}%", unserved * 100.0)
    };
    let cells = points.iter().map(percent);
    table.add_row(
        std::iter::once("refused or failed".to_owned())
            .chain(cells)
            .collect::<Vec<_>>(),
    );
}

fn add_rows(table: &mut Table, points: &[Point], quantities: &[Quantity]) {
    for &quantity in quantities {
        let figures: Vec<Option<&Summary>> =
            points.iter().map(|p| p.figures.get(&quantity)).collect();
        if figures.iter().all(Option::is_none) {
            continue;
        }
        let cells = figures
            .into_iter()
            .map(|figure| summary_text(quantity, figure));
        table.add_row(
            std::iter::once(quantity.label().to_owned())
                .chain(cells)
                .collect::<Vec<_>>(),
        );
    }
}

fn summary_text(quantity: Quantity, summary: Option<&Summary>) -> String {
    let Some(summary) = summary else {
        return "-".to_owned();
    };
    let median = value_text(quantity, summary.median);
    if quantity.unit() == Unit::Bytes || summary.values.len() < 2 {
        return median;
    }
    format!("{median} ±{:.0}%", summary.spread() * 100.0)
}

fn fit_table(curves: &[Curve]) -> Table {
    let header = [
        "cost",
        "over",
        "line a + b n",
        "power law",
        "better",
        "at the target",
    ];
    let mut table = new_table(header.map(str::to_owned).to_vec());
    for curve in curves.iter().filter(|curve| is_shown(curve)) {
        let (line, power_law) = (curve.fit.line, curve.fit.power_law);
        let show = |value| value_text(curve.quantity, value);
        table.add_row(vec![
            curve.quantity.label().to_owned(),
            sweep_label(curve.sweep).to_owned(),
            format!(
                "{} + {} n (error {:.0}%)",
                show(line.intercept),
                show(line.slope),
                line.relative_error * 100.0
            ),
            format!(
                "n^{:.2} (error {:.0}%)",
                power_law.exponent,
                power_law.relative_error * 100.0
            ),
            if curve.fit.better == Model::Line {
                "line"
            } else {
                "power law"
            }
            .to_owned(),
            format!("{} at {}", show(curve.at_target), curve.target_size),
        ]);
    }
    table
}

/// The translator knows neither tenants nor classes, and proxies are none of its business either.
fn is_shown(curve: &Curve) -> bool {
    let sweeps_translator =
        curve.sweep == Sweep::Backends || curve.quantity != Quantity::TranslatorMemory;
    sweeps_translator && FITTED_QUANTITIES.contains(&curve.quantity)
}

fn budget_table(assessments: &[Assessment]) -> Table {
    let mut table = new_table(
        [
            "at the target",
            "measured",
            "by the fits",
            "budget",
            "verdict",
        ]
        .map(str::to_owned)
        .to_vec(),
    );
    for assessment in assessments {
        let unit = assessment.unit.label();
        let show =
            |value: Option<f64>| value.map_or("-".to_owned(), |v| format!("{} {unit}", digits(v)));
        table.add_row(vec![
            assessment.name.to_owned(),
            show(assessment.measured),
            show(assessment.fitted),
            show(assessment.budget),
            verdict_text(assessment.verdict),
        ]);
    }
    table
}

fn verdict_text(verdict: Verdict) -> String {
    match verdict {
        Verdict::Within => "within".to_owned(),
        Verdict::Over(times) => format!("over, {} times", digits(times)),
        Verdict::Unlimited => "no budget".to_owned(),
        Verdict::NotMeasured => "not measured".to_owned(),
    }
}

fn value_text(quantity: Quantity, value: f64) -> String {
    match quantity.unit() {
        Unit::Nanoseconds => time_text(value),
        Unit::Bytes => bytes_text(value),
    }
}

fn time_text(nanoseconds: f64) -> String {
    match nanoseconds.abs() {
        size if size < 1e3 => format!("{} ns", digits(nanoseconds)),
        size if size < 1e6 => format!("{} us", digits(nanoseconds / 1e3)),
        size if size < 1e9 => format!("{} ms", digits(nanoseconds / 1e6)),
        _ => format!("{} s", digits(nanoseconds / 1e9)),
    }
}

fn bytes_text(bytes: f64) -> String {
    match bytes.abs() {
        size if size < 1e4 => format!("{} B", digits(bytes)),
        size if size < 1e6 => format!("{} kB", digits(bytes / 1e3)),
        _ => format!("{} MB", digits(bytes / 1e6)),
    }
}

/// About three significant digits.
fn digits(value: f64) -> String {
    match value.abs() {
        size if size < 0.095 && size > 0.0 => format!("{value:.2e}"),
        size if size < 9.95 => format!("{value:.2}"),
        size if size < 99.5 => format!("{value:.1}"),
        _ => format!("{value:.0}"),
    }
}
