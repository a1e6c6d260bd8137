//! The proxies of a run: real processes and hollow ones, started, reloaded, restarted and ended together.

use super::counted::Traffic;
use super::discovery::{Addresses, StandIn};
use super::hollow::{HollowProxy, HollowSettings};
use super::process::{Launch, RealProcess};
use super::proxy_config;
use super::report::RestartFigures;
use super::scenario::LiveScenario;
use super::spread::{Quantiles, SpreadTracker};
use crate::error::LabError;
use rustix::process::Signal;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tillerproxy::api::SettingsError;
use tillerproxy::simulator::parse_settings;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A process that is to serve has to within this time of its start.
const UP_WITHIN: Duration = Duration::from_secs(10);
/// A process that was told to end has to within this time.
const ENDS_WITHIN: Duration = Duration::from_secs(15);

/// All proxies.
#[derive(Debug)]
pub struct ProxyFleet {
    program: PathBuf,
    /// Holds the configuration files.
    directory: TempDir,
    real: Vec<RealProcess>,
    hollow: HollowFleet,
}

/// The hollow proxies.
#[derive(Debug)]
struct HollowFleet {
    /// Aborts them when it is dropped.
    _tasks: JoinSet<()>,
    traffic: Vec<Arc<Traffic>>,
    address: watch::Sender<std::net::SocketAddr>,
}

/// A process that was restarted.
struct Restarted {
    process: RealProcess,
    ended: ExitStatus,
    ended_after: Duration,
    up_after: Option<Duration>,
}

impl ProxyFleet {
    /// Starts all proxies and waits until the real ones serve; with them, the seconds that each took for it.
    ///
    /// # Errors
    /// Where a process can't be started or does not serve in time.
    pub async fn start(
        scenario: &LiveScenario,
        program: &Path,
        discovery: &StandIn,
        tracker: &Arc<SpreadTracker>,
        seed: u64,
    ) -> Result<(Self, Vec<f64>), LabError> {
        let directory =
            TempDir::with_prefix("tillerproxy-live-").map_err(|source| LabError::Unwritable {
                path: std::env::temp_dir(),
                source,
            })?;
        let hollow = HollowFleet::start(scenario, discovery, tracker, seed)?;
        let mut fleet = Self {
            program: program.to_owned(),
            directory,
            real: Vec::new(),
            hollow,
        };
        fleet.write_configurations(scenario, discovery, discovery.addresses())?;
        let mut starting = JoinSet::new();
        for number in 0..scenario.processes.real {
            let launch = fleet.launch(number);
            starting.spawn(async move { (number, start_one(&launch).await) });
        }
        let mut started = Vec::new();
        while let Some(result) = starting.join_next().await {
            let (number, process) = result.map_err(|error| LabError::Failed(error.to_string()))?;
            let (process, up_after) = process?;
            let up_after = up_after.ok_or_else(|| {
                LabError::Failed(format!(
                    "proxy-{number} did not serve within {UP_WITHIN:?} of its start"
                ))
            })?;
            tracing::info!("proxy-{number} is process {}", process.pid());
            started.push((number, process, up_after.as_secs_f64()));
        }
        started.sort_unstable_by_key(|&(number, ..)| number);
        let times = started.iter().map(|&(.., seconds)| seconds).collect();
        fleet.real = started.into_iter().map(|(_, process, _)| process).collect();
        Ok((fleet, times))
    }

    /// The real processes, in their order.
    #[must_use]
    pub fn real(&self) -> &[RealProcess] {
        &self.real
    }

    /// What each hollow proxy exchanged with discovery.
    #[must_use]
    pub fn hollow_traffic(&self) -> &[Arc<Traffic>] {
        &self.hollow.traffic
    }

    /// Checks that all real processes run.
    ///
    /// # Errors
    /// Where one has ended by itself.
    pub fn check(&mut self) -> Result<(), LabError> {
        self.real.iter_mut().try_for_each(RealProcess::check)
    }

    /// Moves discovery, and tells every proxy: the real ones by a new configuration file and SIGHUP.
    ///
    /// # Errors
    /// Where no port is left, a file can't be written, or a process is gone.
    pub async fn reload(
        &mut self,
        scenario: &LiveScenario,
        discovery: &mut StandIn,
    ) -> Result<(), LabError> {
        let to = discovery
            .prepare_move()
            .await
            .map_err(|error| LabError::Failed(error.to_string()))?;
        self.write_configurations(scenario, discovery, &to.addresses)?;
        discovery.complete_move(to);
        for process in &self.real {
            process.signal(Signal::HUP)?;
        }
        self.hollow
            .address
            .send_replace(discovery.addresses().hollow);
        Ok(())
    }

    /// Ends all real processes by SIGTERM and starts each again as soon as it has ended.
    ///
    /// # Errors
    /// Where a process does not end, or can't be started again.
    pub async fn restart(
        &mut self,
        scenario: &LiveScenario,
        discovery: &StandIn,
    ) -> Result<RestartFigures, LabError> {
        self.write_configurations(scenario, discovery, discovery.addresses())?;
        let mut restarting = JoinSet::new();
        for (number, process) in (0..).zip(std::mem::take(&mut self.real)) {
            let launch = self.launch(number);
            restarting.spawn(async move { (number, restart_one(process, &launch).await) });
        }
        let mut restarted = Vec::new();
        while let Some(result) = restarting.join_next().await {
            let (number, result) = result.map_err(|error| LabError::Failed(error.to_string()))?;
            restarted.push((number, result?));
        }
        restarted.sort_unstable_by_key(|&(number, _)| number);
        let restarted: Vec<Restarted> = restarted
            .into_iter()
            .map(|(_, restarted)| restarted)
            .collect();
        let figures = restart_figures(&restarted);
        self.real = restarted
            .into_iter()
            .map(|restarted| restarted.process)
            .collect();
        Ok(figures)
    }

    /// Kills all real processes and waits for their end.
    pub async fn end(&mut self) {
        for process in &mut self.real {
            process.kill().await;
        }
    }

    fn launch(&self, number: u32) -> Launch {
        let config = self.config_path(number);
        Launch {
            name: format!("proxy-{number}"),
            program: self.program.clone(),
            config,
        }
    }

    fn config_path(&self, number: u32) -> PathBuf {
        self.directory.path().join(format!("proxy-{number}.json"))
    }

    fn write_configurations(
        &self,
        scenario: &LiveScenario,
        discovery: &StandIn,
        addresses: &Addresses,
    ) -> Result<(), LabError> {
        let known = if scenario.processes.start_with_list {
            present_list(discovery)?
        } else {
            proxy_config::empty_list()
        };
        for (number, &address) in (0..).zip(&addresses.real) {
            let config = proxy_config::configuration(scenario, number, address, &known);
            let path = self.config_path(number);
            std::fs::write(&path, config.to_string())
                .map_err(|source| LabError::Unwritable { path, source })?;
        }
        Ok(())
    }
}

impl HollowFleet {
    fn start(
        scenario: &LiveScenario,
        discovery: &StandIn,
        tracker: &Arc<SpreadTracker>,
        seed: u64,
    ) -> Result<Self, LabError> {
        let (address, addresses) = watch::channel(discovery.addresses().hollow);
        let revision = scenario
            .processes
            .start_with_list
            .then(|| discovery.service().board().revision());
        let (mut tasks, mut traffic) = (JoinSet::new(), Vec::new());
        for me in scenario.processes.real..scenario.proxies() {
            let refused =
                |error: SettingsError| LabError::Failed(format!("hollow proxy {me}: {error}"));
            let json = proxy_config::settings(scenario, me).to_string();
            let settings = parse_settings(json.as_bytes()).map_err(refused)?;
            let settings = HollowSettings {
                settings,
                revision,
                seed: seed ^ u64::from(me) << 32,
            };
            let exchanged = Arc::<Traffic>::default();
            traffic.push(Arc::clone(&exchanged));
            let proxy =
                HollowProxy::new(settings, addresses.clone(), exchanged, Arc::clone(tracker));
            tasks.spawn(proxy.map_err(refused)?.run());
        }
        Ok(Self {
            _tasks: tasks,
            traffic,
            address,
        })
    }
}

fn present_list(discovery: &StandIn) -> Result<Value, LabError> {
    let body = discovery.service().board().answer(None);
    let list = body.and_then(|body| serde_json::from_slice(&body));
    list.map_err(|error| LabError::Failed(format!("the list can't be serialized: {error}")))
}

async fn start_one(launch: &Launch) -> Result<(RealProcess, Option<Duration>), LabError> {
    let process = RealProcess::start(launch).await?;
    let up_after = process.wait_until_up(UP_WITHIN).await;
    Ok((process, up_after))
}

async fn restart_one(mut process: RealProcess, launch: &Launch) -> Result<Restarted, LabError> {
    let told = Instant::now();
    process.signal(Signal::TERM)?;
    let ended = process.wait_for_end(ENDS_WITHIN).await?;
    let ended_after = told.elapsed();
    let (process, up_after) = start_one(launch).await?;
    Ok(Restarted {
        process,
        ended,
        ended_after,
        up_after,
    })
}

fn restart_figures(restarted: &[Restarted]) -> RestartFigures {
    let seconds =
        |times: Vec<Duration>| Quantiles::of(times.iter().map(Duration::as_secs_f64).collect());
    let up_after: Vec<Duration> = restarted
        .iter()
        .filter_map(|process| process.up_after)
        .collect();
    RestartFigures {
        processes: restarted.len(),
        ended_cleanly: restarted
            .iter()
            .filter(|process| process.ended.success())
            .count(),
        up_in_time: up_after.len(),
        ended_after: seconds(
            restarted
                .iter()
                .map(|process| process.ended_after)
                .collect(),
        ),
        up_after: seconds(up_after),
    }
}
