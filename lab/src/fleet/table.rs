//! The result of a run as a table, one column for each policy.

use super::report::{FleetReport, PolicyReport};
use std::fmt;

/// Width of the table's first column and of the others.
const LABEL_WIDTH: usize = 44;
const COLUMN_WIDTH: usize = 20;

impl FleetReport {
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

    fn write_service(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percentage = |count: u64, report: &PolicyReport| {
            let offered = report.calls.offered.max(1);
            format!("{:.3}%", count as f64 * 100.0 / offered as f64)
        };
        self.row(f, "worth in time", |r| {
            format!("{:.4}", r.earned_weight_fraction)
        })?;
        self.row(f, "calls counted", |r| r.calls.offered.to_string())?;
        self.row(f, "  late", |r| percentage(r.calls.late, r))?;
        self.row(f, "  refused", |r| percentage(r.calls.rejected, r))?;
        self.row(f, "  failed", |r| percentage(r.calls.failed, r))?;
        self.row(f, "  without an answer", |r| {
            percentage(r.calls.timed_out, r)
        })?;
        self.row(f, "latency p50, ms", |r| format!("{:.1}", r.latency.p50_ms))?;
        self.row(f, "latency p99, ms", |r| format!("{:.1}", r.latency.p99_ms))?;
        self.row(f, "latency p99.9, ms", |r| {
            format!("{:.1}", r.latency.p999_ms)
        })
    }

    fn write_attempts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "tries of clients", |r| {
            r.attempts.client_attempts.to_string()
        })?;
        self.row(f, "attempts of proxies", |r| {
            r.attempts.proxy_attempts.to_string()
        })?;
        self.row(f, "  across zones", |r| r.attempts.cross_zone.to_string())?;
        self.row(f, "  turned away by a full queue", |r| {
            r.attempts.rejected.to_string()
        })?;
        self.row(f, "  given up / no connection / reset", |r| {
            let counts = &r.attempts;
            format!(
                "{}/{}/{}",
                counts.timeouts, counts.connect_failures, counts.resets
            )
        })?;
        self.row(f, "attempts at a backend p1/p50/p99", |r| {
            let load = &r.backend_load;
            format!("{}/{}/{}", load.p1, load.p50, load.p99)
        })?;
        self.row(f, "  most, backends without any", |r| {
            format!("{}, {}", r.backend_load.max, r.backend_load.idle_backends)
        })
    }

    fn write_control(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time =
            |span: Option<f64>| span.map_or_else(|| "-".to_owned(), |span| format!("{span:.2}"));
        self.row(f, "publications, not known to all", |r| {
            format!(
                "{}, {}",
                r.change_propagation.publications, r.change_propagation.not_known_to_all
            )
        })?;
        self.row(f, "  slowest known to half / 99% / all, s", |r| {
            let propagation = &r.change_propagation;
            let times = [
                propagation.worst_half_s,
                propagation.worst_p99_s,
                propagation.worst_all_s,
            ]
            .map(time);
            format!(" {}", times.join("/"))
        })?;
        self.row(f, "discovery calls, failed", |r| {
            format!("{}, {}", r.discovery.calls, r.discovery.failures)
        })?;
        self.row(f, "  whole lists, entries", |r| {
            format!("{}, {}", r.discovery.full_lists, r.discovery.endpoints)
        })?;
        self.row(f, "  MB in all, MB in the peak second", |r| {
            let discovery = &r.discovery;
            format!(
                "{:.2}, {:.2}",
                discovery.bytes as f64 / 1e6,
                discovery.peak_second_bytes as f64 / 1e6
            )
        })?;
        self.row(f, "  bytes a second for one proxy: mean, peak", |r| {
            let peak = r.discovery.peak_second_bytes as f64 / self.proxies as f64;
            format!("{:.0}, {peak:.0}", r.discovery.bytes_per_proxy_s)
        })
    }

    fn write_rules(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let labels = [
            "1 one final answer",
            "2 effects",
            "3 drains",
            "4 cold backends",
        ];
        for (rule, label) in labels.into_iter().enumerate() {
            self.row(f, &format!("rule {label}"), |r| {
                match r.rule_violations[rule] {
                    0 => "kept".to_owned(),
                    count => format!("broken {count}x"),
                }
            })?;
        }
        self.row(f, "cold starts, fallen", |r| {
            format!(
                "{}, {}",
                r.rules.slow_starts.starts, r.rules.slow_starts.collapses
            )
        })
    }
}

impl fmt::Display for FleetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (proxies, backends) = (self.proxies, self.backends);
        writeln!(
            f,
            "{proxies} proxies, {backends} backends, {:.0} calls a second",
            self.calls_per_s
        )?;
        self.row(f, "", |report| report.policy.clone())?;
        self.write_service(f)?;
        self.write_attempts(f)?;
        self.write_control(f)?;
        self.write_rules(f)
    }
}
