//! Simulated proxies: tasks that watch discovery as the real program does and serve no clients.
//!
//! Simulated proxies put the load of a large number of proxies on discovery without as many processes. Their calls
//! follow the schedule of `tillerproxy::proxy::discovery` (waits, timeouts, continued watches), and the balancer
//! decides when a failed call is retried ([`schedule`]). Of a response they parse only the revision.

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

/// Initial state and settings of a simulated proxy.
#[derive(Clone, Debug)]
pub struct SimulatedProxySettings {
    /// Settings of the balancer; the proxy index is also the index in the propagation tracker.
    pub settings: Settings,
    /// Revision of the cached endpoint list; `None` without a cached list.
    pub revision: Option<u64>,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
}

/// A call to discovery returned no revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallError {
    /// The connection failed, or the response holds no revision.
    Failed,
    /// The response did not arrive completely within the call timeout.
    TimedOut,
}

/// Whether the next call opens a watch or continues one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchPhase {
    /// The call opens a watch.
    Opening,
    /// The call continues the watch of the call before it.
    Continued,
}

/// A simulated proxy.
pub struct SimulatedProxy {
    proxy_index: usize,
    /// Current address of discovery.
    discovery_address: watch::Receiver<SocketAddr>,
    traffic: Arc<TrafficCounters>,
    tracker: Arc<PropagationTracker>,
    schedule: CallSchedule,
    connection: Option<Connection>,
    revision: Option<u64>,
    watch_phase: WatchPhase,
}

impl SimulatedProxy {
    /// Creates a proxy that has made no call.
    ///
    /// # Errors
    /// The balancer rejects the settings; the error names the first invalid one.
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

    /// Watches discovery until the sender of the address is dropped. After each change of the address, the first call
    /// fetches the complete list.
    pub async fn run(mut self) {
        if let Some(revision) = self.revision {
            self.tracker.record_revision(self.proxy_index, revision);
        }
        let mut address = self.discovery_address.clone();
        address.mark_unchanged();
        let mut delay = self.schedule.initial_delay();
        loop {
            tokio::select! {
                () = self.make_calls(delay) => {}
                changed = address.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.connection = None;
                    self.revision = None;
                    self.watch_phase = WatchPhase::Opening;
                }
            }
            delay = Duration::ZERO;
        }
    }

    /// Makes one call after another, the first after `initial_delay`. Never returns.
    async fn make_calls(&mut self, initial_delay: Duration) {
        let mut delay = initial_delay;
        loop {
            sleep(delay).await;
            delay = match self.call().await {
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

    /// Drops the connection and the watch, and returns the delay before the next call.
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

    /// Fetches a list on the open connection or on a new one, and returns its revision; `None` if that fails. The
    /// connection is kept if the whole response was read.
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
