//! What happened in a run of a virtual proxy.

use serde::Serialize;

/// What happened in a run; the same seed gives the same counts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts sent.
    #[serde(rename = "sends")]
    pub attempts: u64,
    /// Requests that were answered by a backend.
    pub served: u64,
    /// Requests rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Timers that fired.
    pub timers: u64,
    /// Most requests open at a time.
    #[serde(rename = "most_open")]
    pub max_open: u64,
    /// Backends that were sent to at least once.
    pub backends_used: u64,
}

impl Counts {
    /// Adds another run; of figures that are not sums, the greater one is kept.
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
