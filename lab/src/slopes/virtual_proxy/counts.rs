//! Counts of events in a run of a virtual proxy.

use serde::Serialize;

/// Counts of events in a run; the same seed gives the same counts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EventCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts sent.
    #[serde(rename = "sends")]
    pub attempts: u64,
    /// Requests answered by a backend.
    pub served: u64,
    /// Requests to which the balancer gave the final answer "rejected".
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests to which the balancer gave the final answer "failed".
    pub failed: u64,
    /// Timers that fired.
    pub timers: u64,
    /// Largest number of requests open at the same time.
    #[serde(rename = "most_open")]
    pub max_open: u64,
    /// Backends that received at least one attempt.
    pub backends_used: u64,
}

impl EventCounts {
    /// Adds the counts of another run; `max_open` and `backends_used` become the greater of both runs.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.timers += other.timers;
        self.max_open = self.max_open.max(other.max_open);
        self.backends_used = self.backends_used.max(other.backends_used);
    }
}
