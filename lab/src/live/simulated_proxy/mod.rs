//! Simulated proxies: tasks that watch discovery as the real program does and serve no clients.
//!
//! They put the load of a large number of proxies on discovery without as many processes. They follow the
//! schedule of `tillerproxy::proxy::discovery` (waits, timeouts, continued watches); the decision module says
//! when a failed call is retried ([`schedule`]). They read no more than the revision of a response.

mod connection;
pub mod schedule;

pub use connection::parse_revision;

use super::propagation::PropagationTracker;
use super::traffic::TrafficCounters;
use connection::Connection;
use schedule::CallSchedule;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tillerproxy::api::{Settings, SettingsError};
use tillerproxy::proxy::discovery::CallTiming;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// What a simulated proxy starts with.
#[derive(Clone, Debug)]
pub struct SimulatedProxySettings {
    /// Settings of its decision module; the proxy index is also its index in the propagation tracker.
    pub settings: Settings,
    /// Revision of its cached endpoint list.
    pub revision: Option<u64>,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// Why a call brought no revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallError {
    /// The call failed.
    Failed,
    /// No response came in time.
    TimedOut,
}

/// Whether the next call opens a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchPhase {
    /// The call opens a watch.
    Opening,
    /// The call continues the watch of the call before it.
    Continued,
}

/// One simulated proxy.
pub struct SimulatedProxy {
    proxy_index: usize,
    /// Address of discovery.
    discovery_address: watch::Receiver<SocketAddr>,
    traffic: Arc<TrafficCounters>,
    tracker: Arc<PropagationTracker>,
    schedule: CallSchedule,
    connection: Option<Connection>,
    revision: Option<u64>,
    watch_phase: WatchPhase,
}

impl SimulatedProxy {
    /// Makes a proxy that has made no call.
    ///
    /// # Errors
    /// The first of its settings that makes no sense.
    pub fn new(
        start: SimulatedProxySettings,
        discovery_address: watch::Receiver<SocketAddr>,
        traffic: Arc<TrafficCounters>,
        tracker: Arc<PropagationTracker>,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            proxy_index: start.settings.proxy_index as usize,
            discovery_address,
            traffic,
            tracker,
            schedule: CallSchedule::new(start.settings, start.seed)?,
            connection: None,
            revision: start.revision,
            watch_phase: WatchPhase::Opening,
        })
    }

    /// Watches discovery until the task is aborted. Each new address begins with a complete list.
    pub async fn run(mut self) {
        if let Some(revision) = self.revision {
            self.tracker.record_revision(self.proxy_index, revision);
        }
        let mut address = self.discovery_address.clone();
        address.mark_unchanged();
        let mut pause = self.schedule.initial_delay();
        loop {
            tokio::select! {
                () = self.make_calls(pause) => {}
                changed = address.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.connection = None;
                    self.revision = None;
                    self.watch_phase = WatchPhase::Opening;
                }
            }
            pause = Duration::ZERO;
        }
    }

    /// Makes one call after another, the first after a pause. Never returns.
    async fn make_calls(&mut self, initial_delay: Duration) {
        let mut pause = initial_delay;
        loop {
            sleep(pause).await;
            pause = match self.call().await {
                Ok(revision) => {
                    self.handle_revision(revision);
                    Duration::ZERO
                }
                Err(error) => self.handle_error(error),
            };
        }
    }

    fn handle_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.watch_phase = WatchPhase::Continued;
        self.schedule.record_success();
        self.tracker.record_revision(self.proxy_index, revision);
    }

    /// Returns the pause before the next call.
    fn handle_error(&mut self, error: CallError) -> Duration {
        self.connection = None;
        self.watch_phase = WatchPhase::Opening;
        match error {
            CallError::Failed => self.schedule.retry_delay(),
            CallError::TimedOut => Duration::ZERO,
        }
    }

    async fn call(&mut self) -> Result<u64, CallError> {
        let (target, timing) = match self.revision {
            None => ("/discovery/hosts".to_owned(), CallTiming::COMPLETE_LIST),
            Some(after) => {
                let timing = self.schedule.watch_timing(self.watch_phase);
                let wait_ms = timing.long_poll_timeout.as_millis();
                let target = format!("/discovery/hosts?after={after}&wait_ms={wait_ms}");
                (target, timing)
            }
        };
        self.traffic.record_call();
        match timeout(timing.call_timeout, self.fetch(&target)).await {
            Ok(Some(revision)) => Ok(revision),
            Ok(None) => Err(CallError::Failed),
            Err(_) => Err(CallError::TimedOut),
        }
    }

    /// Fetches a list on the open connection or a new one; `None` where that fails. The connection is kept
    /// if the whole response was read.
    async fn fetch(&mut self, target: &str) -> Option<u64> {
        let address = *self.discovery_address.borrow();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(address, Arc::clone(&self.traffic)).await?,
        };
        let response = connection.get(address, target).await?;
        self.connection = Some(connection);
        response.revision()
    }
}
