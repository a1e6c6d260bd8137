//! A run: everything started, the phases played one after another, everything ended.

use super::backends;
use super::clients::{Outcomes, Source};
use super::discovery::StandIn;
use super::discovery::board::{Entry, EntryPhase};
use super::fleet::ProxyFleet;
use super::idle::{self, IdleMemory};
use super::lateness::LatenessProbe;
use super::proxy_config::KIND;
use super::report::{
    HollowFigures, LiveFigures, PhaseFigures, ProcessFigures, RequestFigures, RestartFigures,
};
use super::scenario::{Backends, LiveScenario, OtherBackends, Phase};
use super::spread::{Quantiles, SpreadTracker};
use super::usage::{self, Usage};
use crate::error::LabError;
use indicatif::ProgressBar;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::TcpSocket;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// How long the first list may take to reach every proxy.
const FIRST_LIST_WITHIN: Duration = Duration::from_secs(180);
/// How long the last changes of a phase are waited for, before the next one begins.
const SETTLES_WITHIN: Duration = Duration::from_secs(10);
/// How often that is looked at, and the progress is shown.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Processes whose memory for idle connections is measured at the same time.
const IDLE_AT_A_TIME: usize = 4;
/// Entries of a cell.
const CELL_SIZE: usize = 8;
/// Descriptors of the lab beside those that are counted.
const OTHER_DESCRIPTORS: u64 = 256;

/// A run that is on its way.
pub struct Experiment {
    scenario: LiveScenario,
    backends: Vec<SocketAddr>,
    /// Bound and not listening: connections to it are refused.
    _refusing: TcpSocket,
    discovery: StandIn,
    tracker: Arc<SpreadTracker>,
    fleet: ProxyFleet,
    lateness: LatenessProbe,
    rng: SmallRng,
    /// Single changes made so far.
    changes: usize,
    /// The entry that changes now.
    changing: usize,
    progress: ProgressBar,
}

/// What the counters said at the start of a phase.
struct Before {
    at: Instant,
    usage: Vec<Usage>,
    bytes: Vec<u64>,
    calls: Vec<u64>,
    hollow_bytes: Vec<u64>,
    hollow_calls: u64,
    lab: Duration,
}

/// A step of a backend's restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RestartStep {
    Leaves,
    IsGone,
    Returns,
}

impl RestartStep {
    /// The step of the change with this number: each backend takes all three, one backend after another.
    fn of(change: usize) -> Self {
        match change % 3 {
            0 => Self::Leaves,
            1 => Self::IsGone,
            _ => Self::Returns,
        }
    }
}

/// What a phase gave beside what every phase gives.
#[derive(Default)]
struct Special {
    restart: Option<RestartFigures>,
    idle: Vec<Option<IdleMemory>>,
}

/// Clients of a phase.
struct Sources {
    through: Vec<Source>,
    direct: Option<Source>,
}

fn failed(error: impl std::fmt::Display) -> LabError {
    LabError::Failed(error.to_string())
}

impl Experiment {
    /// Starts everything and waits until every proxy holds the list; with it, the figures so far.
    ///
    /// # Errors
    /// Where something can't be started, or a real process does not serve in time.
    pub async fn start(
        scenario: LiveScenario,
        program: &Path,
        seed: u64,
        progress: ProgressBar,
    ) -> Result<(Self, LiveFigures), LabError> {
        check_descriptors(&scenario)?;
        let load_average_before = usage::load_average();
        progress.set_message("starting");
        let service_time = Duration::from_millis(scenario.backends.service_ms);
        let backends = backends::start(scenario.backends.answering, service_time)
            .await
            .map_err(failed)?;
        let refusing = TcpSocket::new_v4().map_err(failed)?;
        refusing
            .bind((Ipv4Addr::LOCALHOST, 0).into())
            .map_err(failed)?;
        let entries = entries(
            &scenario.backends,
            &backends,
            refusing.local_addr().map_err(failed)?,
        );
        let tracker = Arc::new(SpreadTracker::new(scenario.proxies() as usize));
        let real = scenario.processes.real as usize;
        let discovery = StandIn::start(
            scenario.discovery.clone(),
            entries,
            real,
            Arc::clone(&tracker),
        );
        let discovery = discovery.await.map_err(failed)?;
        tracker.changed(discovery.service().board().revision(), Instant::now());
        let (fleet, up) = ProxyFleet::start(&scenario, program, &discovery, &tracker, seed).await?;
        let rng = SmallRng::seed_from_u64(seed);
        let experiment = Self {
            scenario,
            backends,
            _refusing: refusing,
            discovery,
            tracker,
            fleet,
            lateness: LatenessProbe::start(),
            rng,
            changes: 0,
            changing: 0,
            progress,
        };
        experiment.settle(FIRST_LIST_WITHIN).await;
        let start_spread = experiment.tracker.take();
        let start_up = Quantiles::of(up);
        Ok((
            experiment,
            LiveFigures {
                load_average_before,
                start_up,
                start_spread,
                phases: Vec::new(),
            },
        ))
    }

    /// Plays all phases.
    ///
    /// # Errors
    /// Where a real process ends by itself, or a measurement fails.
    pub async fn play(&mut self, figures: &mut LiveFigures) -> Result<(), LabError> {
        for (number, phase) in self.scenario.phases.clone().iter().enumerate() {
            self.progress
                .set_message(format!("phase {number}, {}", phase.kind()));
            let played = self.play_phase(phase).await;
            // A process that has ended by itself explains whatever else has failed.
            self.fleet.check()?;
            figures.phases.push(played?);
        }
        self.progress.finish_and_clear();
        Ok(())
    }

    /// Ends all real processes.
    pub async fn end(&mut self) {
        self.fleet.end().await;
    }

    async fn play_phase(&mut self, phase: &Phase) -> Result<PhaseFigures, LabError> {
        let before = self.before()?;
        let sources = phase.has_clients().then(|| self.start_clients());
        let special = self.act(phase, before.at).await?;
        if let Some(length) = phase.length() {
            self.wait_until(before.at + length).await;
        }
        let mut figures = self.figures(phase, &before, special)?;
        if let Some(sources) = sources {
            sources.stop(&mut figures).await;
        }
        self.settle(SETTLES_WITHIN).await;
        figures.spread = self.tracker.take();
        figures.listed = self.listed();
        for (process, figures) in self.fleet.real().iter().zip(&mut figures.processes) {
            figures.known_backends = process.known_backends().await;
        }
        Ok(figures)
    }

    /// Does what the phase is for. What is left of its time is waited for by the caller.
    async fn act(&mut self, phase: &Phase, began: Instant) -> Result<Special, LabError> {
        let mut special = Special::default();
        match phase {
            Phase::Rest { .. } => {}
            Phase::Changes { seconds, per_s, .. } => {
                let count = (seconds * per_s).floor() as usize;
                for number in 0..count {
                    self.wait_until(began + Duration::from_secs_f64(number as f64 / per_s))
                        .await;
                    self.change_one_entry();
                }
            }
            Phase::ZoneLoss { zone, absent_s, .. } => {
                self.change_zone(zone, EntryPhase::Left);
                self.wait_until(began + Duration::from_secs_f64(*absent_s))
                    .await;
                self.change_zone(zone, EntryPhase::Active);
            }
            Phase::Reload { .. } => {
                self.fleet
                    .reload(&self.scenario, &mut self.discovery)
                    .await?
            }
            Phase::Outage { down_s, calls, .. } => {
                self.discovery.go_down(*calls);
                self.wait_until(began + Duration::from_secs_f64(*down_s))
                    .await;
                self.discovery.come_back();
            }
            Phase::Restart { .. } => {
                special.restart = Some(self.fleet.restart(&self.scenario, &self.discovery).await?);
            }
            Phase::IdleConnections { connections } => {
                special.idle = self.measure_idle_connections(*connections).await?;
            }
        }
        Ok(special)
    }

    /// One step of a backend's restart: it leaves, is gone, and comes again. Then another one's turn comes.
    fn change_one_entry(&mut self) {
        let entries = self.discovery.service().board().entries().len();
        let step = RestartStep::of(self.changes);
        if step == RestartStep::Leaves {
            self.changing = self.rng.random_range(0..entries);
        }
        self.changes += 1;
        self.discovery
            .change(vec![self.changing], move |entry| match step {
                RestartStep::Leaves => entry.phase = EntryPhase::Leaving,
                RestartStep::IsGone => entry.phase = EntryPhase::Left,
                RestartStep::Returns => {
                    entry.phase = EntryPhase::Active;
                    entry.up_since_ms = unix_ms();
                }
            });
    }

    fn change_zone(&self, zone: &str, phase: EntryPhase) {
        let in_zone = |(index, entry): (usize, &Entry)| (entry.locality == zone).then_some(index);
        let which = self
            .discovery
            .service()
            .board()
            .entries()
            .iter()
            .enumerate()
            .filter_map(in_zone)
            .collect();
        self.discovery
            .change(which, move |entry| entry.phase = phase);
    }

    async fn measure_idle_connections(
        &self,
        connections: u32,
    ) -> Result<Vec<Option<IdleMemory>>, LabError> {
        let mut measured = Vec::new();
        for group in self.fleet.real().chunks(IDLE_AT_A_TIME) {
            let mut tasks = JoinSet::new();
            for (number, process) in group.iter().enumerate() {
                let (address, pid) = (process.address(), process.pid());
                tasks
                    .spawn(async move { (number, idle::measure(address, pid, connections).await) });
            }
            let mut results = tasks.join_all().await;
            results.sort_unstable_by_key(|&(number, _)| number);
            for (_, result) in results {
                measured.push(Some(
                    result.map_err(|error| failed(format!("idle connections: {error}")))?,
                ));
            }
        }
        Ok(measured)
    }

    fn start_clients(&mut self) -> Sources {
        let load = &self.scenario.load;
        let rng = &mut self.rng;
        let mut start = |at: &[SocketAddr], rate: f64| {
            (rate > 0.0).then(|| Source::start(at, rate, rng.random()))
        };
        let real = self.fleet.real().iter();
        let through = real
            .filter_map(|process| start(&[process.address()], load.requests_per_s))
            .collect();
        Sources {
            through,
            direct: start(&self.backends, load.direct_per_s),
        }
    }

    fn before(&self) -> Result<Before, LabError> {
        // What came before the phase is not its own.
        drop(self.lateness.take());
        let hollow = self.fleet.hollow_traffic();
        let real = 0..self.fleet.real().len();
        Ok(Before {
            usage: self.usage()?,
            bytes: real
                .clone()
                .map(|process| self.discovery.traffic(process).bytes())
                .collect(),
            calls: real
                .map(|process| self.discovery.traffic(process).calls())
                .collect(),
            hollow_bytes: hollow.iter().map(|traffic| traffic.bytes()).collect(),
            hollow_calls: hollow.iter().map(|traffic| traffic.calls()).sum(),
            lab: usage::own_processor_time().map_err(failed)?,
            at: Instant::now(),
        })
    }

    fn usage(&self) -> Result<Vec<Usage>, LabError> {
        let usage = self
            .fleet
            .real()
            .iter()
            .map(|process| Usage::of(process.pid()));
        usage.collect::<Result<_, _>>().map_err(failed)
    }

    fn figures(
        &self,
        phase: &Phase,
        before: &Before,
        special: Special,
    ) -> Result<PhaseFigures, LabError> {
        let seconds = before.at.elapsed().as_secs_f64();
        let (after, lab) = (self.usage()?, usage::own_processor_time().map_err(failed)?);
        let mut idle = special.idle;
        idle.resize(after.len(), None);
        let processes = after
            .iter()
            .zip(idle)
            .enumerate()
            .map(|(number, (after, idle))| {
                let earlier = before.usage[number];
                let spent = if earlier.pid == after.pid {
                    earlier.processor_time
                } else {
                    Duration::ZERO
                };
                let traffic = self.discovery.traffic(number);
                ProcessFigures {
                    pid: after.pid,
                    cores: after.processor_time.saturating_sub(spent).as_secs_f64() / seconds,
                    resident_kib: after.resident_kib,
                    peak_resident_kib: after.peak_resident_kib,
                    descriptors: after.descriptors,
                    discovery_bytes_per_s: (traffic.bytes() - before.bytes[number]) as f64
                        / seconds,
                    discovery_calls: traffic.calls() - before.calls[number],
                    known_backends: None,
                    requests: None,
                    idle,
                }
            });
        Ok(PhaseFigures {
            kind: phase.kind(),
            clients: phase.has_clients(),
            seconds,
            processes: processes.collect(),
            hollow: self.hollow_figures(before, seconds),
            direct: None,
            spread: None,
            restart: special.restart,
            listed: 0,
            lab_cores: lab.saturating_sub(before.lab).as_secs_f64() / seconds,
            lab_timers_late: self.lateness.take().quantiles(),
            load_average: usage::load_average(),
        })
    }

    /// Entries of the list, leaving ones too.
    fn listed(&self) -> usize {
        let board = self.discovery.service().board();
        board
            .entries()
            .iter()
            .filter(|entry| entry.phase != EntryPhase::Left)
            .count()
    }

    fn hollow_figures(&self, before: &Before, seconds: f64) -> HollowFigures {
        let traffic = self.fleet.hollow_traffic();
        let rates = traffic.iter().zip(&before.hollow_bytes);
        let rates: Vec<f64> = rates
            .map(|(now, then)| (now.bytes() - then) as f64 / seconds)
            .collect();
        HollowFigures {
            proxies: traffic.len(),
            mean_bytes_per_s: rates.iter().sum::<f64>() / rates.len().max(1) as f64,
            most_bytes_per_s: rates.iter().copied().fold(0.0, f64::max),
            calls: traffic.iter().map(|traffic| traffic.calls()).sum::<u64>() - before.hollow_calls,
        }
    }

    /// Waits until every proxy holds the present revision, for so long.
    async fn settle(&self, limit: Duration) {
        let began = Instant::now();
        let proxies = self.scenario.proxies() as usize;
        // A change that discovery has not noticed yet has no revision.
        sleep(Duration::from_millis(self.scenario.discovery.notice_ms)).await;
        loop {
            let revision = self.discovery.service().board().revision();
            let holders = self.tracker.holders(revision);
            if holders >= proxies {
                return;
            }
            if began.elapsed() > limit {
                return tracing::warn!(
                    "{holders} of {proxies} proxies hold revision {revision} after {limit:?}"
                );
            }
            sleep(LOOK_EVERY).await;
        }
    }

    /// Waits, and shows the progress.
    async fn wait_until(&self, end: Instant) {
        loop {
            let now = Instant::now();
            if now >= end {
                return;
            }
            let next = end.min(now + LOOK_EVERY);
            sleep_until(next.into()).await;
            self.progress
                .inc(next.duration_since(now).as_millis() as u64);
        }
    }
}

impl Sources {
    /// Stops all clients and adds their figures.
    async fn stop(self, figures: &mut PhaseFigures) {
        let direct: Option<Outcomes> = match self.direct {
            Some(source) => Some(source.stop().await),
            None => None,
        };
        for (source, process) in self.through.into_iter().zip(&mut figures.processes) {
            process.requests = Some(RequestFigures::new(&source.stop().await, direct.as_ref()));
        }
        figures.direct = direct.map(|direct| RequestFigures::new(&direct, None));
    }
}

/// The list: backends that answer first, zones dealt in turn.
fn entries(backends: &Backends, answering: &[SocketAddr], refusing: SocketAddr) -> Vec<Entry> {
    let entry = |number: usize| {
        let host_port = match (answering.get(number), backends.others) {
            (Some(&address), _) => address,
            (None, OtherBackends::Shared) => answering[number % answering.len()],
            (None, OtherBackends::Refused) => refusing,
        };
        Entry {
            id: format!("b-{number:08x}"),
            host_port,
            locality: backends.zones[number % backends.zones.len()].clone(),
            flavor: KIND,
            cell: (number / CELL_SIZE) as u16,
            phase: EntryPhase::Active,
            size: 1.0,
            up_since_ms: 0,
        }
    };
    (0..backends.listed as usize).map(entry).collect()
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}

/// Checks that the lab may open what it has to.
fn check_descriptors(scenario: &LiveScenario) -> Result<(), LabError> {
    let idle = scenario.phases.iter().map(|phase| match phase {
        Phase::IdleConnections { connections } => u64::from(*connections) * IDLE_AT_A_TIME as u64,
        _ => 0,
    });
    let discovery = 2 * u64::from(scenario.proxies()) + 2 * u64::from(scenario.processes.real);
    let needed = discovery
        + u64::from(scenario.backends.answering)
        + idle.max().unwrap_or(0)
        + OTHER_DESCRIPTORS;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match limit {
        Some(limit) if limit < needed => Err(failed(format!(
            "the scenario takes {needed} descriptors of the lab or more, and `ulimit -n` allows {limit}"
        ))),
        _ => Ok(()),
    }
}
