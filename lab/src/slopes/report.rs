//! Formats the report on standard output: tables of measurements, fits and budgets.

use super::analysis::Analysis;
use super::analysis::assessment::{Assessment, Verdict};
use super::analysis::curve::Curve;
use super::fit::Model;
use super::format::{format_bytes, format_number, format_value};
use super::measure::{Measurements, Point, Sweep};
use super::quantity::{Quantity, Unit};
use super::setup::Setup;
use super::stopwatch::Summary;
use crate::units::PERCENT_PER_ONE;
use comfy_table::{CellAlignment, Table, presets};
use std::fmt::Write;

/// Quantities in the tables of the sweeps over tenants, classes and proxies.
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

/// Quantities in the table of fits; the JSON result holds the fits of all quantities.
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

/// Formats the report of a run.
#[must_use]
pub fn text(measurements: &Measurements, analysis: &Analysis) -> String {
    let mut report = format_load_average(measurements);
    for (&sweep, points) in &measurements.sweeps {
        let quantities: &[Quantity] = if sweep == Sweep::Backends {
            &Quantity::ALL
        } else {
            &DECISION_QUANTITIES
        };
        add_section(
            &mut report,
            &sweep_title(sweep, points),
            &sweep_table(sweep, points, quantities),
        );
    }
    add_section(
        &mut report,
        "Target, measured as it is",
        &target_table(measurements),
    );
    add_section(
        &mut report,
        "Fits, and their value at the target",
        &fit_table(&analysis.curves),
    );
    if let Some(bytes) = analysis.bytes_per_open_request {
        let _ = writeln!(
            report,
            "Heap of one more open request: {}\n",
            format_bytes(bytes)
        );
    }
    add_section(&mut report, "Budgets", &budget_table(&analysis.assessments));
    report
}

/// Formats the machine's load averages; empty if they are not known.
fn format_load_average(measurements: &Measurements) -> String {
    let load = measurements.load_average;
    let Some((before, after)) = load.before.zip(load.after) else {
        return String::new();
    };
    format!("Load of the machine: {before} at the start, {after} at the end\n\n")
}

/// Appends a title and a table to the report.
fn add_section(report: &mut String, title: &str, table: &Table) {
    let _ = writeln!(report, "{title}\n{table}\n");
}

fn sweep_title(sweep: Sweep, points: &[Point]) -> String {
    let label = sweep_label(sweep);
    let sizes = points
        .first()
        .map_or_else(String::new, |point| fixed_sizes(sweep, point));
    format!("By {label}{sizes}: median of the repetitions, half their range in percent")
}

/// Formats the sizes that are the same at all points of a sweep.
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

/// Creates a table whose columns are right-aligned except for the first.
fn new_table(header: Vec<String>) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::ASCII_MARKDOWN)
        .set_header(header);
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

fn sweep_table(sweep: Sweep, points: &[Point], quantities: &[Quantity]) -> Table {
    let mut header = vec![match sweep {
        Sweep::Backends => "backends (proxies)".to_owned(),
        _ => sweep_label(sweep).to_owned(),
    }];
    for point in points {
        header.push(match sweep {
            Sweep::Backends => format!("{} ({})", point.setup.backends, point.setup.proxies),
            _ => sweep.size(&point.setup).to_string(),
        });
    }
    let mut table = new_table(header);
    add_rows(&mut table, points, quantities);
    add_unserved_row(&mut table, points);
    table
}

fn target_table(measurements: &Measurements) -> Table {
    let points = [
        measurements.target.mean.clone(),
        measurements.target.hot.clone(),
    ];
    let mut table = new_table(["", "mean rate", "hot proxy"].map(str::to_owned).to_vec());
    add_rows(&mut table, &points, &Quantity::ALL);
    add_unserved_row(&mut table, &points);
    table
}

/// Adds the fraction of requests that were rejected or failed, which shows whether the load of a point exceeds its
/// capacity.
fn add_unserved_row(table: &mut Table, points: &[Point]) {
    let mut row = vec!["rejected or failed".to_owned()];
    for point in points {
        let counts = &point.counts;
        let unserved = (counts.rejected + counts.failed) as f64 / counts.requests.max(1) as f64;
        row.push(format!("{:.1}%", unserved * PERCENT_PER_ONE));
    }
    table.add_row(row);
}

/// Adds a row for each quantity that was measured at one or more of the points.
fn add_rows(table: &mut Table, points: &[Point], quantities: &[Quantity]) {
    for &quantity in quantities {
        let is_measured = |point: &Point| point.figures.contains_key(&quantity);
        if !points.iter().any(is_measured) {
            continue;
        }
        let mut row = vec![quantity.label().to_owned()];
        for point in points {
            row.push(format_summary(quantity, point.figures.get(&quantity)));
        }
        table.add_row(row);
    }
}

/// Formats the median of a summary and, for times measured in several repetitions, half the range in percent of the
/// median; `-` without a summary.
fn format_summary(quantity: Quantity, summary: Option<&Summary>) -> String {
    let Some(summary) = summary else {
        return "-".to_owned();
    };
    let median = format_value(quantity, summary.median);
    if quantity.unit() == Unit::Bytes || summary.values.len() < 2 {
        return median;
    }
    format!("{median} ±{:.0}%", summary.spread() * PERCENT_PER_ONE)
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
    for curve in curves {
        if is_shown(curve) {
            table.add_row(fit_row(curve));
        }
    }
    table
}

fn fit_row(curve: &Curve) -> Vec<String> {
    let line = curve.fit.line;
    let power_law = curve.fit.power_law;
    let show = |value| format_value(curve.quantity, value);
    let better = match curve.fit.better {
        Model::Line => "line",
        Model::PowerLaw => "power law",
    };
    vec![
        curve.quantity.label().to_owned(),
        sweep_label(curve.sweep).to_owned(),
        format!(
            "{} + {} n (error {:.0}%)",
            show(line.intercept),
            show(line.slope),
            line.relative_error * PERCENT_PER_ONE
        ),
        format!(
            "n^{:.2} (error {:.0}%)",
            power_law.exponent,
            power_law.relative_error * PERCENT_PER_ONE
        ),
        better.to_owned(),
        format!("{} at {}", show(curve.at_target), curve.target_size),
    ]
}

/// Reports whether a curve is in the table of fits. The translator's heap depends on the number of backends only, so
/// the table has no other curves of that heap.
fn is_shown(curve: &Curve) -> bool {
    let depends_on_sweep =
        curve.sweep == Sweep::Backends || curve.quantity != Quantity::TranslatorMemory;
    depends_on_sweep && FITTED_QUANTITIES.contains(&curve.quantity)
}

fn budget_table(assessments: &[Assessment]) -> Table {
    let header = [
        "at the target",
        "measured",
        "by the fits",
        "budget",
        "verdict",
    ];
    let mut table = new_table(header.map(str::to_owned).to_vec());
    for assessment in assessments {
        let unit = assessment.unit.label();
        let show = |value: Option<f64>| match value {
            Some(value) => format!("{} {unit}", format_number(value)),
            None => "-".to_owned(),
        };
        table.add_row(vec![
            assessment.name.to_owned(),
            show(assessment.measured),
            show(assessment.fitted),
            show(assessment.budget),
            format_verdict(assessment.verdict),
        ]);
    }
    table
}

fn format_verdict(verdict: Verdict) -> String {
    match verdict {
        Verdict::Within => "within".to_owned(),
        Verdict::Over(times) => format!("over, {} times", format_number(times)),
        Verdict::Unlimited => "no budget".to_owned(),
        Verdict::NotMeasured => "not measured".to_owned(),
    }
}
