//! A run of the experiment: starts discovery, backends and proxies, runs the phases one after another, and measures
//! each.
//!
//! - `setup`: the check of the descriptor limit, the emulated backends, and the endpoint list.
//! - `actions`: the actions of each kind of phase.
//! - `client_load`: the load generators of a phase.
//! - `measurement`: the figures of a phase.

mod actions;
mod client_load;
mod measurement;
mod setup;

use super::discovery::EmulatedDiscovery;
use super::error::LiveError;
use super::figures::{LiveFigures, PhaseFigures};
use super::propagation::PropagationTracker;
use super::proxies::Proxies;
use super::quantiles::Quantiles;
use super::scenario::{LiveScenario, Phase};
use super::timer_lag::TimerLagMonitor;
use super::usage;
use crate::endpoint_list::EndpointState;
use actions::EndpointRestarts;
use indicatif::ProgressBar;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use setup::EmulatedBackends;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// Longest wait for the first endpoint list to reach every proxy.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(180);
/// Longest wait after a phase for its changes to reach every proxy.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of whether a change has propagated, and between two updates of the progress bar.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A run in progress.
pub struct Experiment {
    scenario: LiveScenario,
    backends: EmulatedBackends,
    discovery: EmulatedDiscovery,
    tracker: Arc<PropagationTracker>,
    proxies: Proxies,
    timer_lag: TimerLagMonitor,
    rng: SmallRng,
    endpoint_restarts: EndpointRestarts,
    progress: ProgressBar,
    /// Figures of the start and of the phases that have ended.
    figures: LiveFigures,
}

impl Experiment {
    /// Starts backends, discovery and proxies, and waits until every proxy has the endpoint list or
    /// `FIRST_LIST_TIMEOUT` has passed.
    ///
    /// # Errors
    /// The descriptor limit is too low, a server or a process can't be started, or no health check of a real process
    /// succeeds in time.
    pub async fn start(
        scenario: LiveScenario,
        program: &Path,
        seed: u64,
        progress: ProgressBar,
    ) -> Result<Self, LiveError> {
        setup::check_descriptor_limit(&scenario)?;
        let load_average_before = usage::load_average();
        progress.set_message("starting");
        let backends = EmulatedBackends::start(&scenario.backends).await?;
        let tracker = Arc::new(PropagationTracker::new(scenario.proxy_count() as usize));
        let discovery = start_discovery(&scenario, &backends, &tracker).await?;
        let proxies = Proxies::start(&scenario, program, &discovery, &tracker, seed).await?;
        let figures = LiveFigures {
            load_average_before,
            startup_durations: Quantiles::of(proxies.startup_durations_s().to_vec()),
            start_propagation: None,
            phases: Vec::new(),
        };
        let mut experiment = Self {
            scenario,
            backends,
            discovery,
            tracker,
            proxies,
            timer_lag: TimerLagMonitor::start(),
            rng: SmallRng::seed_from_u64(seed),
            endpoint_restarts: EndpointRestarts::default(),
            progress,
            figures,
        };
        experiment.wait_for_propagation(FIRST_LIST_TIMEOUT).await;
        experiment.figures.start_propagation = experiment.tracker.take();
        Ok(experiment)
    }

    /// Runs all phases and records their figures.
    ///
    /// # Errors
    /// A real process exits unexpectedly, an action of a phase fails, or a measurement fails.
    pub async fn run_phases(&mut self) -> Result<(), LiveError> {
        let phases = self.scenario.phases.clone();
        for (number, phase) in phases.iter().enumerate() {
            self.progress
                .set_message(format!("phase {number}, {}", phase.kind()));
            let phase_figures = self.run_phase(phase).await;
            // Checked first: an unexpected exit of a process is the cause of other errors of the phase.
            self.proxies.check_running()?;
            self.figures.phases.push(phase_figures?);
        }
        self.progress.finish_and_clear();
        Ok(())
    }

    /// Kills all real processes and waits for their exit.
    pub async fn stop(&mut self) {
        self.proxies.kill().await;
    }

    /// Returns the figures of the run.
    #[must_use]
    pub fn into_figures(self) -> LiveFigures {
        self.figures
    }

    async fn run_phase(&mut self, phase: &Phase) -> Result<PhaseFigures, LiveError> {
        let snapshot = self.snapshot()?;
        let clients = if phase.has_clients() {
            Some(self.start_clients())
        } else {
            None
        };
        let results = self.run_actions(phase, snapshot.taken_at).await?;
        if let Some(length) = phase.length() {
            self.wait_until(snapshot.taken_at + length).await;
        }
        let mut figures = self.phase_figures(phase, &snapshot, results)?;
        if let Some(clients) = clients {
            clients.stop(&mut figures).await;
        }
        self.wait_for_propagation(PROPAGATION_TIMEOUT).await;
        figures.propagation = self.tracker.take();
        figures.listed_endpoints = self.listed_endpoints();
        for (process, figures) in self
            .proxies
            .real_processes()
            .iter()
            .zip(&mut figures.processes)
        {
            figures.known_backends = process.known_backends().await;
        }
        Ok(figures)
    }

    /// Returns the number of active and draining endpoints in the endpoint list.
    fn listed_endpoints(&self) -> usize {
        let list = self.discovery.service().endpoint_list();
        let endpoints = list.endpoints().iter();
        endpoints
            .filter(|endpoint| endpoint.state != EndpointState::Removed)
            .count()
    }

    /// Waits until every proxy has the current revision, for at most `limit`.
    async fn wait_for_propagation(&self, limit: Duration) {
        let started_at = Instant::now();
        let proxy_count = self.scenario.proxy_count() as usize;
        // Discovery applies a change, and so raises its revision, only after the notification delay.
        let delay_ms = self.scenario.discovery.notification_delay_ms;
        sleep(Duration::from_millis(delay_ms)).await;
        loop {
            let revision = self.discovery.service().endpoint_list().revision();
            let reached = self.tracker.proxies_with_revision(revision);
            if reached >= proxy_count {
                return;
            }
            if started_at.elapsed() > limit {
                tracing::warn!(
                    revision,
                    reached,
                    proxy_count,
                    ?limit,
                    "endpoint list did not reach all proxies in time"
                );
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until `end` and advances the progress bar meanwhile.
    async fn wait_until(&self, end: Instant) {
        loop {
            let now = Instant::now();
            if now >= end {
                return;
            }
            let next = end.min(now + POLL_INTERVAL);
            sleep_until(next.into()).await;
            let elapsed = next.duration_since(now);
            self.progress.inc(elapsed.as_millis() as u64);
        }
    }
}

async fn start_discovery(
    scenario: &LiveScenario,
    backends: &EmulatedBackends,
    tracker: &Arc<PropagationTracker>,
) -> Result<EmulatedDiscovery, LiveError> {
    let discovery = EmulatedDiscovery::start(
        scenario.discovery.clone(),
        backends.endpoints(&scenario.backends),
        scenario.processes.real as usize,
        Arc::clone(tracker),
    )
    .await
    .map_err(|source| LiveError::Io {
        operation: "start discovery",
        source,
    })?;
    let revision = discovery.service().endpoint_list().revision();
    tracker.record_change(revision, Instant::now());
    Ok(discovery)
}
