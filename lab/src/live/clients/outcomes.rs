//! How the requests of a load generator ended.

use crate::live::latency::LatencyHistogram;
use serde::Serialize;
use std::time::Duration;

/// Counts and latencies of the requests of one load generator.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcomes {
    /// Latency of the served requests.
    pub latency: LatencyHistogram,
    /// The part of it that the backend did not take.
    pub outside_backend: LatencyHistogram,
    /// Requests by how they ended.
    pub counts: RequestCounts,
}

/// Requests by how they ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestCounts {
    /// Sent.
    pub sent: u64,
    /// Answered with 200.
    pub served: u64,
    /// Rejected: answered with 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// The connection failed or broke.
    #[serde(rename = "broken")]
    pub disconnected: u64,
    /// Not answered within the timeout.
    #[serde(rename = "late")]
    pub timed_out: u64,
}

impl RequestCounts {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
            disconnected: self.disconnected + other.disconnected,
            timed_out: self.timed_out + other.timed_out,
        }
    }
}

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestOutcome {
    /// Answered with 200.
    Served {
        /// Time from the request to the end of the response.
        latency: Duration,
        /// Time that the backend took.
        service_time: Duration,
    },
    /// Answered with 429 or 503.
    Rejected,
    /// Answered otherwise.
    Failed,
    /// The connection failed or broke.
    Disconnected,
    /// Not answered within the timeout.
    TimedOut,
}

impl RequestOutcomes {
    pub(super) fn record(&mut self, outcome: RequestOutcome) {
        self.counts.sent += 1;
        match outcome {
            RequestOutcome::Served {
                latency,
                service_time,
            } => {
                self.counts.served += 1;
                self.latency.record(latency);
                self.outside_backend
                    .record(latency.saturating_sub(service_time));
            }
            RequestOutcome::Rejected => self.counts.rejected += 1,
            RequestOutcome::Failed => self.counts.failed += 1,
            RequestOutcome::Disconnected => self.counts.disconnected += 1,
            RequestOutcome::TimedOut => self.counts.timed_out += 1,
        }
    }
}
