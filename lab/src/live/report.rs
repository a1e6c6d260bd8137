//! The report of a run as a table for standard output.

use super::clients::RequestCounts;
use super::figures::{LiveFigures, PhaseFigures, ProcessFigures, RestartFigures};
use super::latency::LatencyQuantiles;
use super::propagation::PropagationFigures;
use super::quantiles::Quantiles;
use crate::units::{BYTES_PER_KIB, BYTES_PER_MEGABYTE, PERCENT_PER_ONE};
use std::fmt::{self, Write};

/// Formats a table of the phases, with the median and the maximum of each figure over the real processes.
#[must_use]
pub fn table(figures: &LiveFigures) -> String {
    let mut text = String::new();
    write_table(&mut text, figures).expect("formatting into a string can't fail");
    text
}

fn write_table(text: &mut String, figures: &LiveFigures) -> fmt::Result {
    writeln!(
        text,
        "Each figure: median and maximum over the real processes."
    )?;
    if let Some(Quantiles { median, max }) = figures.startup_durations {
        writeln!(
            text,
            "\nstart: processes were up after {median:.3} s (median), {max:.3} s (maximum)"
        )?;
    }
    let start_propagation = figures.start_propagation.as_ref();
    if let Some(Quantiles { max, .. }) = start_propagation.and_then(|figures| figures.all) {
        writeln!(text, "  every proxy had the first list after {max:.3} s")?;
    }
    for (number, phase) in figures.phases.iter().enumerate() {
        write_phase(text, number, phase)?;
    }
    Ok(())
}

fn write_phase(text: &mut String, number: usize, phase: &PhaseFigures) -> fmt::Result {
    let clients = if phase.clients { "with" } else { "without" };
    writeln!(
        text,
        "\nphase {number}: {}, {:.1} s, {clients} clients",
        phase.kind, phase.seconds
    )?;
    for row in process_rows(&phase.processes) {
        row.write(text)?;
    }
    if let Some(restart) = &phase.restart {
        Row::new("up after a restart", "s", 3, restart.serving_after).write(text)?;
    }
    if let Some(propagation) = &phase.propagation {
        for row in propagation_rows(propagation) {
            row.write(text)?;
        }
    }
    write_notes(text, phase)
}

/// A row of the table: median and maximum of a figure.
struct Row {
    name: &'static str,
    unit: &'static str,
    digits: usize,
    figure: Option<Quantiles>,
}

impl Row {
    fn new(
        name: &'static str,
        unit: &'static str,
        digits: usize,
        figure: Option<Quantiles>,
    ) -> Self {
        Self {
            name,
            unit,
            digits,
            figure,
        }
    }

    /// Writes the row, or nothing if the figure was not measured.
    fn write(&self, text: &mut String) -> fmt::Result {
        let Some(Quantiles { median, max }) = self.figure else {
            return Ok(());
        };
        let (name, unit, digits) = (self.name, self.unit, self.digits);
        writeln!(
            text,
            "  {name:<28} {median:>12.digits$} {max:>12.digits$}  {unit}"
        )
    }
}

fn process_rows(processes: &[ProcessFigures]) -> Vec<Row> {
    let quantiles = |figure: fn(&ProcessFigures) -> Option<f64>| {
        Quantiles::of(processes.iter().filter_map(figure).collect())
    };
    let row = Row::new;
    vec![
        row("processor time", "% of a core", 2, quantiles(core_percent)),
        row("resident memory", "MB", 1, quantiles(resident_mb)),
        row("peak resident memory", "MB", 1, quantiles(peak_resident_mb)),
        row("descriptors", "", 0, quantiles(descriptors)),
        row("discovery", "bytes/s", 0, quantiles(discovery_rate)),
        row("added to a request, p50", "us", 0, quantiles(added_p50)),
        row("added to a request, p99", "us", 0, quantiles(added_p99)),
        row(
            "an idle connection, slope",
            "bytes",
            0,
            quantiles(idle_slope),
        ),
        row(
            "an idle connection, steepest",
            "bytes",
            0,
            quantiles(idle_steepest),
        ),
    ]
}

fn core_percent(process: &ProcessFigures) -> Option<f64> {
    Some(process.cores * PERCENT_PER_ONE)
}

fn resident_mb(process: &ProcessFigures) -> Option<f64> {
    Some(kib_to_mb(process.resident_kib))
}

fn peak_resident_mb(process: &ProcessFigures) -> Option<f64> {
    Some(kib_to_mb(process.peak_resident_kib))
}

fn descriptors(process: &ProcessFigures) -> Option<f64> {
    Some(process.descriptors as f64)
}

fn discovery_rate(process: &ProcessFigures) -> Option<f64> {
    Some(process.discovery_bytes_per_s)
}

fn added_p50(process: &ProcessFigures) -> Option<f64> {
    let added = process.requests.as_ref()?.added_by_proxy?;
    Some(added.p50_us as f64)
}

fn added_p99(process: &ProcessFigures) -> Option<f64> {
    let added = process.requests.as_ref()?.added_by_proxy?;
    Some(added.p99_us as f64)
}

fn idle_slope(process: &ProcessFigures) -> Option<f64> {
    Some(process.idle_connections.as_ref()?.slope_bytes)
}

fn idle_steepest(process: &ProcessFigures) -> Option<f64> {
    Some(process.idle_connections.as_ref()?.steepest_bytes)
}

fn kib_to_mb(kib: u64) -> f64 {
    kib as f64 * BYTES_PER_KIB / BYTES_PER_MEGABYTE
}

fn propagation_rows(propagation: &PropagationFigures) -> [Row; 3] {
    [
        Row::new("change known to half *", "s", 3, propagation.half),
        Row::new("change known to 99 in 100 *", "s", 3, propagation.p99),
        Row::new("change known to all *", "s", 3, propagation.all),
    ]
}

fn write_notes(text: &mut String, phase: &PhaseFigures) -> fmt::Result {
    if let Some(propagation) = &phase.propagation {
        writeln!(
            text,
            "  * over the {} changes, of which {} were known to all",
            propagation.changes, propagation.reached_all
        )?;
    }
    if let Some(restart) = &phase.restart {
        write_restart(text, restart)?;
    }
    write_requests(text, &phase.processes)?;
    let simulated = &phase.simulated;
    writeln!(
        text,
        "  {} simulated proxies: {:.0} bytes/s on average, {:.0} at most, {} calls",
        simulated.proxies, simulated.mean_bytes_per_s, simulated.max_bytes_per_s, simulated.calls
    )?;
    write_lab(text, phase)
}

fn write_restart(text: &mut String, restart: &RestartFigures) -> fmt::Result {
    writeln!(
        text,
        "  of {} processes {} ended cleanly, {} were up within 10 s",
        restart.processes, restart.ended_cleanly, restart.serving_in_time
    )
}

/// Writes the outcomes of the requests of all processes, or nothing if none was sent.
fn write_requests(text: &mut String, processes: &[ProcessFigures]) -> fmt::Result {
    let mut total = RequestCounts::default();
    for process in processes {
        if let Some(requests) = &process.requests {
            total = total.plus(requests.counts);
        }
    }
    if total.sent == 0 {
        return Ok(());
    }
    let RequestCounts {
        sent,
        served,
        rejected,
        failed,
        disconnected,
        timed_out,
    } = total;
    writeln!(
        text,
        "  requests: {sent} sent, {served} served, {rejected} rejected, {failed} failed, \
         {disconnected} disconnected, {timed_out} timed out"
    )
}

/// Writes processor time and timer lag of the lab, and the load average of the machine.
fn write_lab(text: &mut String, phase: &PhaseFigures) -> fmt::Result {
    let load_average = match phase.load_average {
        Some(load) => format!("{load:.2}"),
        None => "unknown".to_owned(),
    };
    writeln!(
        text,
        "  lab: {:.2} cores; load average of the machine {load_average}",
        phase.lab_cores
    )?;
    let Some(LatencyQuantiles {
        p50_us,
        p99_us,
        max_us,
    }) = phase.lab_timer_lag
    else {
        return Ok(());
    };
    writeln!(
        text,
        "  the lab's timers were late by {p50_us} us (p50), {p99_us} (p99), {max_us} (max)"
    )
}
