//! All proxies of a run: starts, reloads, restarts and stops the real processes and the simulated proxies.

mod restart;
mod simulated;

use super::discovery::{DiscoveryAddresses, EmulatedDiscovery};
use super::error::LiveError;
use super::figures::RestartFigures;
use super::process::{ProcessError, ProxyCommand, ProxyProcess};
use super::propagation::PropagationTracker;
use super::proxy_config;
use super::scenario::LiveScenario;
use super::traffic::TrafficTotals;
use restart::RestartedProcess;
use rustix::process::Signal;
use serde_json::Value;
use simulated::SimulatedProxies;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::JoinSet;

/// Time within which a health check of a started process has to succeed.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// All proxies of a run.
#[derive(Debug)]
pub struct Proxies {
    program: PathBuf,
    /// Temporary directory of the configuration files.
    directory: TempDir,
    real: Vec<ProxyProcess>,
    /// Seconds from the first start of each real process until its first successful health check.
    startup_durations_s: Vec<f64>,
    simulated: SimulatedProxies,
}

/// A started process, and the time until its first successful health check.
struct StartedProcess {
    proxy_index: u32,
    process: ProxyProcess,
    /// Time from the start of the process to its first successful health check; `None` if none succeeded within
    /// [`START_TIMEOUT`].
    serving_after: Option<Duration>,
}

impl Proxies {
    /// Starts all proxies and waits until a health check of each real process has succeeded.
    ///
    /// # Errors
    /// A configuration file can't be written, a process can't be started, or no health check of a process succeeds in
    /// time.
    pub async fn start(
        scenario: &LiveScenario,
        program: &Path,
        discovery: &EmulatedDiscovery,
        tracker: &Arc<PropagationTracker>,
        seed: u64,
    ) -> Result<Self, LiveError> {
        let directory = TempDir::with_prefix("tillerproxy-live-").map_err(|source| {
            LiveError::Configuration {
                path: std::env::temp_dir(),
                source,
            }
        })?;
        let simulated = SimulatedProxies::start(scenario, discovery, tracker, seed)?;
        let mut proxies = Self {
            program: program.to_owned(),
            directory,
            real: Vec::new(),
            startup_durations_s: Vec::new(),
            simulated,
        };
        proxies.write_configurations(scenario, discovery, discovery.addresses())?;
        proxies
            .start_real_processes(scenario.processes.real)
            .await?;
        Ok(proxies)
    }

    /// Starts `count` real processes at once and records their start times.
    async fn start_real_processes(&mut self, count: u32) -> Result<(), LiveError> {
        let mut starting = JoinSet::new();
        for proxy_index in 0..count {
            let command = self.proxy_command(proxy_index);
            starting.spawn(async move { start_process(proxy_index, &command).await });
        }
        let mut started = Vec::new();
        while let Some(joined) = starting.join_next().await {
            let started_process: StartedProcess = joined??;
            let proxy_index = started_process.proxy_index;
            if started_process.serving_after.is_none() {
                return Err(LiveError::NotServing {
                    proxy_index,
                    limit: START_TIMEOUT,
                });
            }
            let pid = started_process.process.pid();
            tracing::info!(proxy_index, pid, "proxy started");
            started.push(started_process);
        }
        started.sort_unstable_by_key(|process| process.proxy_index);
        for process in started {
            self.startup_durations_s
                .extend(process.serving_after.map(|time| time.as_secs_f64()));
            self.real.push(process.process);
        }
        Ok(())
    }

    /// Returns the seconds that each real process took from its first start to its first successful health check.
    #[must_use]
    pub fn startup_durations_s(&self) -> &[f64] {
        &self.startup_durations_s
    }

    /// Returns the real processes, in the order of their indices.
    #[must_use]
    pub fn real_processes(&self) -> &[ProxyProcess] {
        &self.real
    }

    /// Returns the traffic of each simulated proxy with discovery so far.
    #[must_use]
    pub fn simulated_traffic(&self) -> Vec<TrafficTotals> {
        self.simulated.traffic()
    }

    /// Checks that all real processes still run.
    ///
    /// # Errors
    /// A process has exited unexpectedly.
    pub fn check_running(&mut self) -> Result<(), ProcessError> {
        for process in &mut self.real {
            process.check_running()?;
        }
        Ok(())
    }

    /// Moves discovery to new addresses and notifies every proxy, the real ones by a new configuration file and SIGHUP.
    ///
    /// # Errors
    /// A listener can't be opened, a configuration file can't be written, or a process has exited.
    pub async fn reload(
        &mut self,
        scenario: &LiveScenario,
        discovery: &mut EmulatedDiscovery,
    ) -> Result<(), LiveError> {
        let successor = discovery
            .prepare_move()
            .await
            .map_err(|source| LiveError::Io {
                operation: "move discovery",
                source,
            })?;
        self.write_configurations(scenario, discovery, &successor.addresses)?;
        discovery.complete_move(successor);
        for process in &self.real {
            process.signal(Signal::HUP)?;
        }
        self.simulated
            .move_discovery(discovery.addresses().simulated);
        Ok(())
    }

    /// Sends SIGTERM to all real processes and starts each again as soon as it has exited.
    ///
    /// # Errors
    /// A process does not exit in time, or can't be started again.
    pub async fn restart(
        &mut self,
        scenario: &LiveScenario,
        discovery: &EmulatedDiscovery,
    ) -> Result<RestartFigures, LiveError> {
        self.write_configurations(scenario, discovery, discovery.addresses())?;
        let mut restarting = JoinSet::new();
        for (proxy_index, process) in (0..).zip(std::mem::take(&mut self.real)) {
            let command = self.proxy_command(proxy_index);
            restarting.spawn(async move {
                restart::restart_process(proxy_index, process, &command).await
            });
        }
        let mut restarted: Vec<RestartedProcess> = Vec::new();
        while let Some(joined) = restarting.join_next().await {
            restarted.push(joined??);
        }
        restarted.sort_unstable_by_key(|restarted| restarted.started.proxy_index);
        let figures = restart::figures(&restarted);
        for process in restarted {
            self.real.push(process.started.process);
        }
        Ok(figures)
    }

    /// Kills all real processes and waits for their exit.
    pub async fn kill(&mut self) {
        for process in &mut self.real {
            process.kill().await;
        }
    }

    fn proxy_command(&self, proxy_index: u32) -> ProxyCommand {
        ProxyCommand {
            name: format!("proxy-{proxy_index}"),
            program: self.program.clone(),
            config: self.config_path(proxy_index),
        }
    }

    fn config_path(&self, proxy_index: u32) -> PathBuf {
        self.directory
            .path()
            .join(format!("proxy-{proxy_index}.json"))
    }

    /// Writes the configuration file of each real process, with its address from `addresses`.
    fn write_configurations(
        &self,
        scenario: &LiveScenario,
        discovery: &EmulatedDiscovery,
        addresses: &DiscoveryAddresses,
    ) -> Result<(), LiveError> {
        let cached_list = if scenario.processes.start_with_list {
            current_list(discovery)?
        } else {
            proxy_config::empty_list()
        };
        for (proxy_index, &address) in (0..).zip(&addresses.real) {
            let config = proxy_config::configuration(scenario, proxy_index, address, &cached_list);
            let path = self.config_path(proxy_index);
            std::fs::write(&path, config.to_string())
                .map_err(|source| LiveError::Configuration { path, source })?;
        }
        Ok(())
    }
}

/// Starts a process and waits until a health check succeeds, for at most [`START_TIMEOUT`].
async fn start_process(
    proxy_index: u32,
    command: &ProxyCommand,
) -> Result<StartedProcess, ProcessError> {
    let process = ProxyProcess::start(command).await?;
    let serving_after = process.wait_until_serving(START_TIMEOUT).await;
    Ok(StartedProcess {
        proxy_index,
        process,
        serving_after,
    })
}

/// Returns the current complete endpoint list as discovery serializes it.
fn current_list(discovery: &EmulatedDiscovery) -> Result<Value, LiveError> {
    let body = discovery.service().endpoint_list().response_body(None)?;
    let list = serde_json::from_slice(&body)?;
    Ok(list)
}
