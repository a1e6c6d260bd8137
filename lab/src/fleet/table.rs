//! The result of a run as a table, one column for each policy.

use super::report::{FleetReport, PolicyReport};
use crate::units::{BYTES_PER_MEGABYTE, PERCENT_PER_ONE};
use std::fmt;

/// Width of the column of labels, characters.
const LABEL_WIDTH: usize = 44;
/// Width of a policy's column, characters.
const COLUMN_WIDTH: usize = 20;
/// Names of the safety rules, in their order.
const RULE_NAMES: [&str; 4] = ["one final answer", "repeats", "drains", "slow starts"];

impl FleetReport {
    /// Writes one row of the table: a label, and the value of each policy.
    fn row(
        &self,
        f: &mut fmt::Formatter<'_>,
        label: &str,
        value: impl Fn(&PolicyReport) -> String,
    ) -> fmt::Result {
        write!(f, "{label:<LABEL_WIDTH$}")?;
        for report in &self.policies {
            write!(f, " {:>COLUMN_WIDTH$}", value(report))?;
        }
        writeln!(f)
    }

    fn write_calls(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "earned priority weight", |report| {
            format!("{:.4}", report.earned_weight_fraction)
        })?;
        self.row(f, "calls counted", |report| {
            report.calls.offered.to_string()
        })?;
        self.row(f, "  late", |report| percentage(report.calls.late, report))?;
        self.row(f, "  rejected", |report| {
            percentage(report.calls.rejected, report)
        })?;
        self.row(f, "  failed", |report| {
            percentage(report.calls.failed, report)
        })?;
        self.row(f, "  timed out", |report| {
            percentage(report.calls.timed_out, report)
        })
    }

    fn write_latency(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "latency p50, ms", |report| {
            format!("{:.1}", report.latency.p50_ms)
        })?;
        self.row(f, "latency p99, ms", |report| {
            format!("{:.1}", report.latency.p99_ms)
        })?;
        self.row(f, "latency p99.9, ms", |report| {
            format!("{:.1}", report.latency.p999_ms)
        })
    }

    fn write_attempts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "attempts of clients", |report| {
            report.attempts.client_attempts.to_string()
        })?;
        self.row(f, "attempts of proxies", |report| {
            report.attempts.proxy_attempts.to_string()
        })?;
        self.row(f, "  across zones", |report| {
            report.attempts.cross_zone.to_string()
        })?;
        self.row(f, "  rejected by a full queue", |report| {
            report.attempts.rejected.to_string()
        })?;
        self.row(f, "  timed out / no connection / reset", |report| {
            let counts = &report.attempts;
            format!(
                "{}/{}/{}",
                counts.timeouts, counts.connect_failures, counts.resets
            )
        })
    }

    fn write_backend_load(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "attempts at a backend p1/p50/p99", |report| {
            let load = &report.backend_load;
            format!("{}/{}/{}", load.p1, load.p50, load.p99)
        })?;
        self.row(f, "  maximum, idle backends", |report| {
            let load = &report.backend_load;
            format!("{}, {}", load.max, load.idle_backends)
        })
    }

    fn write_propagation(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "publications, not known to all", |report| {
            let propagation = &report.change_propagation;
            format!(
                "{}, {}",
                propagation.publications, propagation.not_known_to_all
            )
        })?;
        self.row(f, "  slowest known to half / 99% / all, s", |report| {
            let propagation = &report.change_propagation;
            format!(
                " {}/{}/{}",
                optional_seconds(propagation.worst_half_s),
                optional_seconds(propagation.worst_p99_s),
                optional_seconds(propagation.worst_all_s)
            )
        })
    }

    fn write_discovery(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "discovery calls, failed", |report| {
            format!("{}, {}", report.discovery.calls, report.discovery.failures)
        })?;
        self.row(f, "  full lists, endpoints", |report| {
            format!(
                "{}, {}",
                report.discovery.full_lists, report.discovery.endpoints
            )
        })?;
        self.row(f, "  MB in all, MB in the peak second", |report| {
            let total_mb = report.discovery.bytes as f64 / BYTES_PER_MEGABYTE;
            let peak_mb = report.discovery.peak_second_bytes as f64 / BYTES_PER_MEGABYTE;
            format!("{total_mb:.2}, {peak_mb:.2}")
        })?;
        self.row(f, "  bytes a second for one proxy: mean, peak", |report| {
            let peak = report.discovery.peak_second_bytes as f64 / self.proxies as f64;
            format!("{:.0}, {peak:.0}", report.discovery.bytes_per_proxy_s)
        })
    }

    fn write_rules(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (rule, name) in RULE_NAMES.into_iter().enumerate() {
            let label = format!("rule {} {name}", rule + 1);
            self.row(f, &label, |report| match report.rule_violations[rule] {
                0 => "kept".to_owned(),
                count => format!("violated {count}x"),
            })?;
        }
        self.row(f, "backend starts, collapses", |report| {
            let slow_starts = &report.rules.slow_starts;
            format!("{}, {}", slow_starts.starts, slow_starts.collapses)
        })
    }
}

/// Formats a number of calls as a percentage of the calls offered.
fn percentage(count: u64, report: &PolicyReport) -> String {
    let offered = report.calls.offered.max(1);
    format!("{:.3}%", count as f64 * PERCENT_PER_ONE / offered as f64)
}

/// Formats a time in seconds, or `-` if there is none.
fn optional_seconds(time_s: Option<f64>) -> String {
    time_s.map_or_else(|| "-".to_owned(), |time_s| format!("{time_s:.2}"))
}

impl fmt::Display for FleetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} proxies, {} backends, {:.0} calls a second",
            self.proxies, self.backends, self.calls_per_s
        )?;
        self.row(f, "", |report| report.policy.clone())?;
        self.write_calls(f)?;
        self.write_latency(f)?;
        self.write_attempts(f)?;
        self.write_backend_load(f)?;
        self.write_propagation(f)?;
        self.write_discovery(f)?;
        self.write_rules(f)
    }
}
