//! Actions of each kind of phase: changes of the endpoint list, reloads, outages, restarts and idle connections.

use super::Experiment;
use crate::endpoint_list::{Endpoint, EndpointState};
use crate::live::error::LiveError;
use crate::live::figures::RestartFigures;
use crate::live::idle_connections::{self, IdleConnectionMemory, IdleConnectionsError};
use crate::live::process::ProxyProcess;
use crate::live::scenario::Phase;
use rand::Rng;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant, SystemTime};
use tokio::task::JoinSet;

/// Maximum number of processes whose memory for idle connections is measured at the same time.
pub(super) const MAX_CONCURRENT_IDLE_CONNECTION_MEASUREMENTS: usize = 4;

/// Results that only some kinds of phase have.
#[derive(Default)]
pub(super) struct PhaseResults {
    pub(super) restart: Option<RestartFigures>,
    /// One entry for each real process in an `idle_connections` phase, otherwise empty.
    pub(super) idle_connections: Vec<IdleConnectionMemory>,
}

/// Sequence of single changes: randomly drawn endpoints restart one after another, each in three changes.
#[derive(Debug, Default)]
pub(super) struct EndpointRestarts {
    /// Index of the endpoint that is restarting.
    index: usize,
    next_step: RestartStep,
}

/// A step of the restart of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum RestartStep {
    #[default]
    Drain,
    Remove,
    Reactivate,
}

impl RestartStep {
    fn next(self) -> Self {
        match self {
            Self::Drain => Self::Remove,
            Self::Remove => Self::Reactivate,
            Self::Reactivate => Self::Drain,
        }
    }

    fn apply(self, endpoint: &mut Endpoint) {
        match self {
            Self::Drain => endpoint.state = EndpointState::Draining,
            Self::Remove => endpoint.state = EndpointState::Removed,
            Self::Reactivate => {
                endpoint.state = EndpointState::Active;
                endpoint.started_at_ms = unix_time_ms();
            }
        }
    }
}

impl EndpointRestarts {
    /// Returns the index of the endpoint to change next and the step to apply. Draws another endpoint at the start
    /// of each restart.
    fn advance(&mut self, endpoint_count: usize, rng: &mut SmallRng) -> (usize, RestartStep) {
        let step = self.next_step;
        if step == RestartStep::Drain {
            self.index = rng.random_range(0..endpoint_count);
        }
        self.next_step = step.next();
        (self.index, step)
    }
}

impl Experiment {
    /// Runs the actions of a phase that began at `began_at`. The caller waits for the remaining time of the phase.
    pub(super) async fn run_actions(
        &mut self,
        phase: &Phase,
        began_at: Instant,
    ) -> Result<PhaseResults, LiveError> {
        let mut results = PhaseResults::default();
        match phase {
            Phase::Rest { .. } => {}
            Phase::Changes { seconds, per_s, .. } => {
                self.change_endpoints(began_at, *seconds, *per_s).await;
            }
            Phase::ZoneLoss { zone, absent_s, .. } => {
                self.change_zone(zone, EndpointState::Removed);
                self.wait_until(began_at + Duration::from_secs_f64(*absent_s))
                    .await;
                self.change_zone(zone, EndpointState::Active);
            }
            Phase::Reload { .. } => {
                self.proxies
                    .reload(&self.scenario, &mut self.discovery)
                    .await?;
            }
            Phase::Outage {
                down_s, behavior, ..
            } => {
                self.discovery.begin_outage(*behavior);
                self.wait_until(began_at + Duration::from_secs_f64(*down_s))
                    .await;
                self.discovery.end_outage();
            }
            Phase::Restart { .. } => {
                let restart = self.proxies.restart(&self.scenario, &self.discovery);
                results.restart = Some(restart.await?);
            }
            Phase::IdleConnections { connections } => {
                results.idle_connections = self.measure_idle_connections(*connections).await?;
            }
        }
        Ok(results)
    }

    /// Changes single endpoints at a constant rate.
    async fn change_endpoints(&mut self, began_at: Instant, seconds: f64, changes_per_s: f64) {
        let count = (seconds * changes_per_s).floor() as usize;
        for number in 0..count {
            let offset = Duration::from_secs_f64(number as f64 / changes_per_s);
            self.wait_until(began_at + offset).await;
            self.change_one_endpoint();
        }
    }

    fn change_one_endpoint(&mut self) {
        let endpoint_count = self.discovery.service().endpoint_list().endpoints().len();
        let (index, step) = self
            .endpoint_restarts
            .advance(endpoint_count, &mut self.rng);
        self.discovery
            .change(vec![index], move |endpoint| step.apply(endpoint));
    }

    /// Sets the state of all endpoints of a zone in one change.
    fn change_zone(&self, zone: &str, state: EndpointState) {
        let mut indices = Vec::new();
        let list = self.discovery.service().endpoint_list();
        for (index, endpoint) in list.endpoints().iter().enumerate() {
            if endpoint.zone == zone {
                indices.push(index);
            }
        }
        drop(list);
        self.discovery
            .change(indices, move |endpoint| endpoint.state = state);
    }

    async fn measure_idle_connections(
        &self,
        connections: u32,
    ) -> Result<Vec<IdleConnectionMemory>, LiveError> {
        let mut measured = Vec::new();
        for batch in self
            .proxies
            .real_processes()
            .chunks(MAX_CONCURRENT_IDLE_CONNECTION_MEASUREMENTS)
        {
            for result in measure_batch(batch, connections).await {
                measured.push(result?);
            }
        }
        Ok(measured)
    }
}

/// Measures the processes of a batch at the same time and returns the results in their order.
async fn measure_batch(
    batch: &[ProxyProcess],
    connections: u32,
) -> Vec<Result<IdleConnectionMemory, IdleConnectionsError>> {
    let mut tasks = JoinSet::new();
    for (position, process) in batch.iter().enumerate() {
        let address = process.address();
        let pid = process.pid();
        tasks.spawn(async move {
            let result = idle_connections::measure(address, pid, connections).await;
            (position, result)
        });
    }
    let mut results = tasks.join_all().await;
    results.sort_unstable_by_key(|&(position, _)| position);
    results.into_iter().map(|(_, result)| result).collect()
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or_default()
}
