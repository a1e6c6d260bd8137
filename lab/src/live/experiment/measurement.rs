//! Figures of a phase, computed from counters read at its start and at its end.

use super::Experiment;
use super::actions::PhaseResults;
use crate::live::error::LiveError;
use crate::live::figures::{PhaseFigures, ProcessFigures, SimulatedFigures};
use crate::live::idle_connections::IdleConnectionMemory;
use crate::live::scenario::Phase;
use crate::live::traffic::TrafficTotals;
use crate::live::usage::{self, Usage};
use std::time::{Duration, Instant};

/// Values of all counters at one moment.
pub(super) struct CounterSnapshot {
    pub(super) taken_at: Instant,
    /// Resource usage of each real process.
    usage: Vec<Usage>,
    /// Traffic of each real process with discovery.
    real_traffic: Vec<TrafficTotals>,
    /// Traffic of each simulated proxy with discovery.
    simulated_traffic: Vec<TrafficTotals>,
    /// Processor time of the lab itself.
    lab_processor_time: Duration,
}

impl Experiment {
    /// Reads the counters at the start of a phase and discards earlier samples of the timer lag.
    pub(super) fn snapshot(&self) -> Result<CounterSnapshot, LiveError> {
        drop(self.timer_lag.take());
        let simulated_traffic = self.proxies.simulated_traffic();
        let usage = self.process_usage()?;
        let real_traffic = self.discovery.traffic();
        let lab_processor_time = lab_processor_time()?;
        Ok(CounterSnapshot {
            taken_at: Instant::now(),
            usage,
            real_traffic,
            simulated_traffic,
            lab_processor_time,
        })
    }

    fn process_usage(&self) -> Result<Vec<Usage>, LiveError> {
        let mut usage = Vec::new();
        for (proxy_index, process) in self.proxies.real_processes().iter().enumerate() {
            let pid = process.pid();
            usage.push(Usage::read(pid).map_err(|source| LiveError::Usage {
                process: format!("proxy-{proxy_index} (pid {pid})"),
                source,
            })?);
        }
        Ok(usage)
    }

    /// Computes the figures of a phase that began with the snapshot `before` and ends now. The caller fills in the
    /// figures of the clients and those that are read after the changes of the phase have propagated.
    pub(super) fn phase_figures(
        &self,
        phase: &Phase,
        before: &CounterSnapshot,
        results: PhaseResults,
    ) -> Result<PhaseFigures, LiveError> {
        let seconds = before.taken_at.elapsed().as_secs_f64();
        let usage = self.process_usage()?;
        let lab_time = lab_processor_time()?.saturating_sub(before.lab_processor_time);
        let processes = self.process_figures(before, &usage, results.idle_connections, seconds);
        Ok(PhaseFigures {
            kind: phase.kind(),
            clients: phase.has_clients(),
            seconds,
            processes,
            simulated: self.simulated_figures(before, seconds),
            direct: None,
            propagation: None,
            restart: results.restart,
            listed_endpoints: 0,
            lab_cores: lab_time.as_secs_f64() / seconds,
            lab_timer_lag: self.timer_lag.take().quantiles(),
            load_average: usage::load_average(),
        })
    }

    fn process_figures(
        &self,
        before: &CounterSnapshot,
        usage: &[Usage],
        idle_connections: Vec<IdleConnectionMemory>,
        seconds: f64,
    ) -> Vec<ProcessFigures> {
        let traffic = self.discovery.traffic();
        let mut idle_connections = idle_connections.into_iter();
        let mut figures = Vec::new();
        for (index, usage) in usage.iter().enumerate() {
            let traffic_before = before.real_traffic[index];
            let bytes = traffic[index].bytes - traffic_before.bytes;
            let processor_time = processor_time_since(&before.usage[index], usage);
            figures.push(ProcessFigures {
                pid: usage.pid,
                cores: processor_time.as_secs_f64() / seconds,
                resident_kib: usage.resident_kib,
                peak_resident_kib: usage.peak_resident_kib,
                descriptors: usage.descriptors,
                discovery_bytes_per_s: bytes as f64 / seconds,
                discovery_calls: traffic[index].calls - traffic_before.calls,
                known_backends: None,
                requests: None,
                idle_connections: idle_connections.next(),
            });
        }
        figures
    }

    fn simulated_figures(&self, before: &CounterSnapshot, seconds: f64) -> SimulatedFigures {
        let traffic = self.proxies.simulated_traffic();
        let mut rates = Vec::new();
        let mut calls = 0;
        for (now, before) in traffic.iter().zip(&before.simulated_traffic) {
            rates.push((now.bytes - before.bytes) as f64 / seconds);
            calls += now.calls - before.calls;
        }
        SimulatedFigures {
            proxies: traffic.len(),
            mean_bytes_per_s: rates.iter().sum::<f64>() / rates.len().max(1) as f64,
            max_bytes_per_s: rates.iter().copied().fold(0.0, f64::max),
            calls,
        }
    }
}

/// Reads the processor time of the lab itself.
fn lab_processor_time() -> Result<Duration, LiveError> {
    usage::own_processor_time().map_err(|source| LiveError::Usage {
        process: "the lab".to_owned(),
        source,
    })
}

/// Returns the processor time between two readings, or since the start of the process if another process was read
/// before.
fn processor_time_since(before: &Usage, now: &Usage) -> Duration {
    if before.pid == now.pid {
        now.processor_time.saturating_sub(before.processor_time)
    } else {
        now.processor_time
    }
}
