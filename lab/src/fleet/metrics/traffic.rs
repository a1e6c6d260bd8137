//! Traffic of discovery: totals, and the peak of a second.

use crate::fleet::discovery::Traffic;
use crate::fleet::report::DiscoveryReport;
use crate::units::MICROS_PER_SECOND;
use tillerproxy::api::Micros;

/// Traffic of discovery in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondTraffic {
    bytes: u64,
    calls: u64,
}

/// Recorder of the traffic of discovery.
#[derive(Debug, Default)]
pub(super) struct DiscoveryTraffic {
    /// Traffic by second of virtual time.
    seconds: Vec<SecondTraffic>,
    /// Total traffic recorded so far.
    total: Traffic,
}

impl DiscoveryTraffic {
    /// Records the total traffic up to now: adds its increase to the current second.
    pub(super) fn record(&mut self, now: Micros, total: Traffic) {
        let index = (now / MICROS_PER_SECOND) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondTraffic::default());
        }
        let second = &mut self.seconds[index];
        second.bytes += total.bytes - self.total.bytes;
        second.calls += total.calls - self.total.calls;
        self.total = total;
    }

    /// Returns the report of a run that lasted `elapsed`.
    pub(super) fn report(&self, elapsed: Micros, proxies: usize) -> DiscoveryReport {
        let proxy_seconds = proxies as f64 * elapsed as f64 / MICROS_PER_SECOND as f64;
        let peak_bytes = self.seconds.iter().map(|second| second.bytes).max();
        let peak_calls = self.seconds.iter().map(|second| second.calls).max();
        DiscoveryReport {
            calls: self.total.calls,
            failures: self.total.failures,
            full_lists: self.total.full_lists,
            endpoints: self.total.endpoints,
            bytes: self.total.bytes,
            bytes_per_proxy_s: self.total.bytes as f64 / proxy_seconds,
            peak_second_bytes: peak_bytes.unwrap_or_default(),
            peak_second_calls: peak_calls.unwrap_or_default(),
        }
    }
}
