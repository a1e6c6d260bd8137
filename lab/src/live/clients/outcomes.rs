//! Outcomes of the requests of a load generator.

use crate::live::latency::LatencyHistogram;
use serde::Serialize;
use std::time::Duration;

/// Counts and latencies of the requests of one load generator.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcomes {
    /// Latency of the served requests.
    pub latency: LatencyHistogram,
    /// Latency of the served requests without the service time of the backend.
    pub outside_backend: LatencyHistogram,
    /// Number of requests by outcome.
    pub counts: RequestCounts,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with 200.
    pub served: u64,
    /// Requests answered with 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests answered with another status, or with 200 and a body that is not a service time.
    pub failed: u64,
    /// Requests whose connection could not be opened or broke, or whose 200 response is not UTF-8.
    #[serde(rename = "broken")]
    pub disconnected: u64,
    /// Requests not answered within the timeout of the client.
    #[serde(rename = "late")]
    pub timed_out: u64,
}

impl RequestCounts {
    /// Returns the sum of the counts.
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

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestOutcome {
    /// Answered with 200.
    Served {
        /// Time from sending the request to the end of the response.
        latency: Duration,
        /// Service time that the backend reported.
        service_time: Duration,
    },
    /// Answered with 429 or 503.
    Rejected,
    /// Answered with another status, or with 200 and a body that is not a service time.
    Failed,
    /// The connection could not be opened or broke, or the 200 response is not UTF-8.
    Disconnected,
    /// Not answered within the timeout of the client.
    TimedOut,
}

impl RequestOutcomes {
    /// Counts a request, and records the latency of a served one.
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
