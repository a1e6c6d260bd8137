//! Figures of a run, and their table.

use super::clients::{Counts, Outcomes};
use super::idle::IdleMemory;
use super::latency::Latency;
use super::spread::{Quantiles, SpreadFigures};
use serde::Serialize;
use std::fmt::Write;

/// All that a run measured.
#[derive(Debug, Serialize)]
pub struct LiveFigures {
    /// Load average of the machine before the run.
    pub load_average_before: Option<f32>,
    /// Seconds from the start of each real process until it answered `/up` with 200.
    pub start_up: Option<Quantiles>,
    /// Seconds until the proxies held the first list.
    pub start_spread: Option<SpreadFigures>,
    /// Each phase.
    pub phases: Vec<PhaseFigures>,
}

/// What was measured in one phase.
#[derive(Debug, Serialize)]
pub struct PhaseFigures {
    /// Kind of the phase.
    pub kind: &'static str,
    /// Whether clients sent requests.
    pub clients: bool,
    /// Its length in seconds.
    pub seconds: f64,
    /// Each real process.
    pub processes: Vec<ProcessFigures>,
    /// The hollow proxies together.
    pub hollow: HollowFigures,
    /// Requests straight to the backends, if there were any.
    pub direct: Option<RequestFigures>,
    /// How changes became known to all proxies, if there were any.
    pub spread: Option<SpreadFigures>,
    /// How the restart went, in that phase.
    pub restart: Option<RestartFigures>,
    /// Active and leaving entries of the list once the phase's changes had settled.
    pub listed: usize,
    /// Processor time of the lab itself, as cores.
    pub lab_cores: f64,
    /// How late the timers of the lab were. What it measures is not exact beyond that.
    pub lab_timers_late: Option<Latency>,
    /// Load average of the machine over one minute, at the end.
    pub load_average: Option<f32>,
}

/// One real process in one phase.
#[derive(Debug, Serialize)]
pub struct ProcessFigures {
    /// Its process id.
    pub pid: u32,
    /// Processor time as a part of one core. Of a process that was started in this phase, since its start.
    pub cores: f64,
    /// Resident memory at the end, in KiB.
    pub resident_kib: u64,
    /// The most resident memory since its start, in KiB.
    pub peak_resident_kib: u64,
    /// Open descriptors at the end.
    pub descriptors: usize,
    /// Bytes a second between it and discovery, both ways.
    pub discovery_bytes_per_s: f64,
    /// Its calls to discovery.
    pub discovery_calls: u64,
    /// `app_known_backends` once the phase's changes had settled.
    pub known_backends: Option<u64>,
    /// Its clients' requests, if there were any.
    pub requests: Option<RequestFigures>,
    /// Memory of idle connections, in that phase.
    pub idle: Option<IdleMemory>,
}

/// The hollow proxies in one phase.
#[derive(Debug, Serialize)]
pub struct HollowFigures {
    /// How many there are.
    pub proxies: usize,
    /// Bytes a second between one and discovery, both ways: the mean.
    pub mean_bytes_per_s: f64,
    /// The most of any.
    pub most_bytes_per_s: f64,
    /// Calls of all.
    pub calls: u64,
}

/// Requests of one source in one phase.
#[derive(Debug, Serialize)]
pub struct RequestFigures {
    /// Requests by how they ended.
    pub counts: Counts,
    /// Latency of those that were served.
    pub latency: Option<Latency>,
    /// The part of it that the backend did not take.
    pub outside: Option<Latency>,
    /// What the proxy added: each quantile of `outside` less that of the direct requests.
    pub added: Option<AddedLatency>,
}

/// Differences of quantiles, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Of the medians.
    pub p50_us: i64,
    /// Of the 99th percentiles.
    pub p99_us: i64,
}

/// A restart of all real processes.
#[derive(Clone, Debug, Serialize)]
pub struct RestartFigures {
    /// Processes restarted.
    pub processes: usize,
    /// Those that ended with exit code 0 on SIGTERM.
    pub ended_cleanly: usize,
    /// Those that answered `/up` with 200 within 10 s of their start.
    pub up_in_time: usize,
    /// Seconds from SIGTERM to the end.
    pub ended_after: Option<Quantiles>,
    /// Seconds from the start until `/up` answered 200, of those in time.
    pub up_after: Option<Quantiles>,
}

impl RequestFigures {
    /// Figures of a source, beside those of the direct requests.
    #[must_use]
    pub fn new(outcomes: &Outcomes, direct: Option<&Outcomes>) -> Self {
        let outside = outcomes.outside.quantiles();
        let beside = direct.and_then(|direct| direct.outside.quantiles());
        let less = |a: u64, b: u64| a as i64 - b as i64;
        let added = outside.zip(beside).map(|(through, direct)| AddedLatency {
            p50_us: less(through.p50_us, direct.p50_us),
            p99_us: less(through.p99_us, direct.p99_us),
        });
        Self {
            counts: outcomes.counts,
            latency: outcomes.latency.quantiles(),
            outside,
            added,
        }
    }
}

/// Median and maximum of a figure over the processes.
fn over(
    processes: &[ProcessFigures],
    of: impl Fn(&ProcessFigures) -> Option<f64>,
) -> Option<(f64, f64)> {
    let quantiles = Quantiles::of(processes.iter().filter_map(of).collect())?;
    Some((quantiles.median, quantiles.max))
}

impl LiveFigures {
    /// A table of the phases, each figure as median and maximum over the real processes.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "Each figure: median and maximum over the real processes."
        );
        if let Some(Quantiles { median, max }) = self.start_up {
            let _ = writeln!(
                text,
                "\nstart: processes were up after {median:.3} s (median), {max:.3} s (maximum)"
            );
        }
        if let Some(Quantiles { max, .. }) =
            self.start_spread.as_ref().and_then(|spread| spread.all)
        {
            let _ = writeln!(text, "  every proxy held the first list after {max:.3} s");
        }
        for (number, phase) in self.phases.iter().enumerate() {
            phase.write(number, &mut text);
        }
        text
    }
}

impl PhaseFigures {
    fn write(&self, number: usize, text: &mut String) {
        let clients = if self.clients { "with" } else { "without" };
        let (kind, seconds) = (self.kind, self.seconds);
        let _ = writeln!(
            text,
            "\nphase {number}: {kind}, {seconds:.1} s, {clients} clients"
        );
        let mut row = |name: &str, unit: &str, digits: usize, figure: Option<(f64, f64)>| {
            if let Some((median, most)) = figure {
                let _ = writeln!(
                    text,
                    "  {name:<28} {median:>12.digits$} {most:>12.digits$}  {unit}"
                );
            }
        };
        let all = &self.processes;
        row(
            "processor time",
            "% of a core",
            2,
            over(all, |p| Some(p.cores * 100.0)),
        );
        row(
            "resident memory",
            "MB",
            1,
            over(all, |p| Some(mb(p.resident_kib))),
        );
        row(
            "peak resident memory",
            "MB",
            1,
            over(all, |p| Some(mb(p.peak_resident_kib))),
        );
        row(
            "descriptors",
            "",
            0,
            over(all, |p| Some(p.descriptors as f64)),
        );
        row(
            "discovery",
            "bytes/s",
            0,
            over(all, |p| Some(p.discovery_bytes_per_s)),
        );
        let added = |p: &ProcessFigures| p.requests.as_ref()?.added;
        row(
            "added to a request, p50",
            "us",
            0,
            over(all, |p| Some(added(p)?.p50_us as f64)),
        );
        row(
            "added to a request, p99",
            "us",
            0,
            over(all, |p| Some(added(p)?.p99_us as f64)),
        );
        let slope = |p: &ProcessFigures| Some(p.idle.as_ref()?.slope_bytes);
        row("an idle connection, slope", "bytes", 0, over(all, slope));
        let steepest = |p: &ProcessFigures| Some(p.idle.as_ref()?.steepest_bytes);
        row(
            "an idle connection, steepest",
            "bytes",
            0,
            over(all, steepest),
        );
        let pair = |quantiles: Quantiles| (quantiles.median, quantiles.max);
        if let Some(restart) = &self.restart {
            row("up after a restart", "s", 3, restart.up_after.map(pair));
        }
        if let Some(spread) = &self.spread {
            row("change known to half *", "s", 3, spread.half.map(pair));
            row("change known to 99 in 100 *", "s", 3, spread.p99.map(pair));
            row("change known to all *", "s", 3, spread.all.map(pair));
        }
        self.write_notes(text);
    }

    fn write_notes(&self, text: &mut String) {
        if let Some(spread) = &self.spread {
            let (changes, known) = (spread.changes, spread.known_to_all);
            let _ = writeln!(
                text,
                "  * over the {changes} changes, of which {known} were known to all"
            );
        }
        if let Some(restart) = &self.restart {
            let RestartFigures {
                processes,
                ended_cleanly,
                up_in_time,
                ..
            } = restart;
            let _ = writeln!(
                text,
                "  of {processes} processes {ended_cleanly} ended cleanly, {up_in_time} were up within 10 s"
            );
        }
        let requests = self
            .processes
            .iter()
            .filter_map(|process| process.requests.as_ref());
        let total = requests.fold(Counts::default(), |sum, requests| sum.plus(requests.counts));
        if total.sent > 0 {
            let Counts {
                sent,
                served,
                refused,
                failed,
                broken,
                late,
            } = total;
            let _ = writeln!(
                text,
                "  requests: {sent} sent, {served} served, {refused} refused, {failed} failed, \
                 {broken} broken, {late} late"
            );
        }
        let HollowFigures {
            proxies,
            mean_bytes_per_s,
            most_bytes_per_s,
            calls,
        } = &self.hollow;
        let _ = writeln!(
            text,
            "  {proxies} hollow proxies: {mean_bytes_per_s:.0} bytes/s in the mean, \
             {most_bytes_per_s:.0} at most, {calls} calls"
        );
        let load = self
            .load_average
            .map_or_else(|| "unknown".to_owned(), |load| format!("{load:.2}"));
        let _ = writeln!(
            text,
            "  lab: {:.2} cores; load average of the machine {load}",
            self.lab_cores
        );
        if let Some(Latency {
            p50_us,
            p99_us,
            max_us,
        }) = self.lab_timers_late
        {
            let _ = writeln!(
                text,
                "  the lab's timers were late by {p50_us} us (p50), {p99_us} (p99), {max_us} (max)"
            );
        }
    }
}

fn mb(kib: u64) -> f64 {
    kib as f64 * 1024.0 / 1e6
}
