//! Measurements at one size, and the sweeps that consist of them.

use super::costs::DecisionCosts;
use super::endpoints::{Endpoints, answer_text, entries_of, translator};
use super::membership::{Entrance, MembershipBench, wire_sizes};
use super::memory::heap_of;
use super::quantity::Quantity;
use super::scenario::SlopesScenario;
use super::setup::Setup;
use super::stopwatch::{Stopwatch, Summary};
use super::virtual_proxy::{Counts, VirtualProxy};
use crate::error::LabError;
use indicatif::ProgressBar;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use std::collections::BTreeMap;
use tillerproxy::api::Backend;
use tillerproxy::proxy::discovery::Translator;

/// Backends of the proxy whose open requests are weighed; it is alone, so that each has at least a slot.
const OPEN_REQUEST_BACKENDS: u32 = 2_000;
/// Factors that keep the random sequences of repetitions and of strangers apart.
const REPETITION_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
const STRANGER_SALT: u64 = 0x517c_c1b7_2722_0a95;

/// What is measured at a size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// Requests, and memory.
    Decisions,
    /// Membership changes and bytes as well.
    Everything,
}

/// What is swept.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sweep {
    /// Backends, and proxies in proportion.
    Backends,
    /// Tenants.
    Tenants,
    /// Request classes.
    Classes,
    /// Proxies, with the target's number of backends.
    Proxies,
}

/// The figures at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The size.
    pub setup: Setup,
    /// What happened while requests were measured, over all repetitions.
    pub counts: Counts,
    /// The figures: nanoseconds or bytes, by [`Quantity::unit`].
    pub figures: BTreeMap<Quantity, Summary>,
}

/// Memory with so many requests open.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OpenRequestMemory {
    /// Requests that are open.
    pub open_requests: u32,
    /// Heap of the decisions, bytes.
    pub balancer_memory: f64,
}

/// The target, measured as it is.
#[derive(Clone, Debug, Serialize)]
pub struct TargetPoints {
    /// With the mean rate of requests.
    pub mean: Point,
    /// With the rate of a hot proxy; requests alone are measured.
    pub hot: Point,
}

/// All that was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Measurements {
    /// Load of the machine at the start and at the end: a busy machine makes every figure larger.
    pub load_average: LoadAverage,
    /// Nanoseconds that a reading of the clock takes; they are taken off.
    pub clock_overhead_ns: f64,
    /// The sweeps.
    pub sweeps: BTreeMap<Sweep, Vec<Point>>,
    /// Memory by open requests; empty without the counting allocator.
    pub open_request_memory: Vec<OpenRequestMemory>,
    /// The target.
    pub target: TargetPoints,
}

/// The machine's load averages over one minute; `None` where the system tells none.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LoadAverage {
    /// Before the first measurement.
    pub before: Option<f64>,
    /// After the last one.
    pub after: Option<f64>,
}

/// A size that is measured, with what its repetitions have shown so far.
struct Job {
    setup: Setup,
    extent: Extent,
    counts: Counts,
    values: BTreeMap<Quantity, Vec<f64>>,
}

/// Makes all measurements of a scenario.
pub struct Bench<'a> {
    scenario: &'a SlopesScenario,
    seed: u64,
    stopwatch: Stopwatch,
    progress: &'a ProgressBar,
}

/// A proxy that knows a fleet, with the translator that read it.
struct Subject {
    proxy: VirtualProxy,
    translator: Translator,
    endpoints: Endpoints,
}

impl Sweep {
    /// Every sweep, in the order of reports.
    pub const ALL: [Self; 4] = [Self::Backends, Self::Tenants, Self::Classes, Self::Proxies];

    /// The swept number of a size.
    #[must_use]
    pub fn size(self, setup: &Setup) -> u32 {
        match self {
            Self::Backends => setup.backends,
            Self::Tenants => setup.tenants,
            Self::Classes => setup.classes,
            Self::Proxies => setup.proxies,
        }
    }

    /// The sizes that a scenario wants.
    #[must_use]
    pub fn setups(self, scenario: &SlopesScenario) -> Vec<Setup> {
        let (fleet, sweeps) = (&scenario.fleet, &scenario.sweeps);
        let at = |backends: u32| Setup {
            backends,
            proxies: scenario.proxies_for(backends),
            tenants: fleet.tenants,
            classes: fleet.classes,
            requests_per_second: scenario.load.requests_per_second,
        };
        let base = at(sweeps.backends);
        let at_target = at(scenario.target.backends);
        match self {
            Self::Backends => scenario
                .sizes
                .iter()
                .map(|&backends| at(backends))
                .collect(),
            Self::Tenants => sweeps
                .tenants
                .iter()
                .map(|&tenants| Setup { tenants, ..base })
                .collect(),
            Self::Classes => sweeps
                .classes
                .iter()
                .map(|&classes| Setup { classes, ..base })
                .collect(),
            Self::Proxies => sweeps
                .proxies
                .iter()
                .map(|&proxies| Setup {
                    proxies,
                    ..at_target
                })
                .collect(),
        }
    }

    /// What is measured at each of its sizes.
    fn extent(self) -> Extent {
        if self == Self::Backends {
            Extent::Everything
        } else {
            Extent::Decisions
        }
    }
}

impl Point {
    /// The median of a figure.
    #[must_use]
    pub fn median(&self, quantity: Quantity) -> Option<f64> {
        self.figures.get(&quantity).map(|summary| summary.median)
    }
}

impl Job {
    fn new(setup: Setup, extent: Extent) -> Self {
        Self {
            setup,
            extent,
            counts: Counts::default(),
            values: BTreeMap::new(),
        }
    }

    fn finish(self) -> Point {
        let summaries = self
            .values
            .into_iter()
            .filter_map(|(q, values)| Some((q, Summary::of(values)?)));
        Point {
            setup: self.setup,
            counts: self.counts,
            figures: summaries.collect(),
        }
    }
}

impl<'a> Bench<'a> {
    /// Measurements with this seed; `progress` moves on by one with each repetition.
    #[must_use]
    pub fn new(scenario: &'a SlopesScenario, seed: u64, progress: &'a ProgressBar) -> Self {
        Self {
            scenario,
            seed,
            stopwatch: Stopwatch::calibrated(),
            progress,
        }
    }

    /// Repetitions of all measurements, for a progress bar.
    #[must_use]
    pub fn steps(scenario: &SlopesScenario) -> u64 {
        let sizes: usize = Sweep::ALL
            .iter()
            .map(|sweep| sweep.setups(scenario).len())
            .sum();
        let targets = 2;
        (sizes as u64 + targets) * u64::from(scenario.repetitions)
    }

    /// Makes all measurements. Each repetition goes through all sizes, so that a machine that is busy for a
    /// while does not spoil all repetitions of a few sizes.
    ///
    /// # Errors
    /// [`LabError::Failed`] where the program refuses the settings or a list that the lab made.
    pub fn run(&self) -> Result<Measurements, LabError> {
        let before = load_average();
        let mut sweeps: BTreeMap<Sweep, Vec<Job>> = Sweep::ALL
            .into_iter()
            .map(|sweep| (sweep, self.jobs(sweep)))
            .collect();
        let [mut mean, mut hot] = self.target_jobs();
        for repetition in 0..self.scenario.repetitions {
            let swept = sweeps.values_mut().flatten();
            for job in swept.chain([&mut mean, &mut hot]) {
                self.repeat(job, repetition)?;
            }
        }
        let points = |jobs: Vec<Job>| jobs.into_iter().map(Job::finish).collect();
        Ok(Measurements {
            clock_overhead_ns: self.stopwatch.overhead().as_nanos() as f64,
            sweeps: sweeps
                .into_iter()
                .map(|(sweep, jobs)| (sweep, points(jobs)))
                .collect(),
            open_request_memory: self.open_request_memory()?,
            target: TargetPoints {
                mean: mean.finish(),
                hot: hot.finish(),
            },
            load_average: LoadAverage {
                before,
                after: load_average(),
            },
        })
    }

    fn jobs(&self, sweep: Sweep) -> Vec<Job> {
        let setups = sweep.setups(self.scenario).into_iter();
        setups
            .map(|setup| Job::new(setup, sweep.extent()))
            .collect()
    }

    /// The target at the mean rate and at that of a hot proxy.
    fn target_jobs(&self) -> [Job; 2] {
        let target = &self.scenario.target;
        let mean = Setup {
            backends: target.backends,
            proxies: target.proxies,
            tenants: target.tenants,
            classes: target.classes,
            requests_per_second: target.requests_per_second,
        };
        let hot = Setup {
            requests_per_second: target.requests_per_second * target.hot_factor,
            ..mean
        };
        [
            Job::new(mean, Extent::Everything),
            Job::new(hot, Extent::Decisions),
        ]
    }

    fn repeat(&self, job: &mut Job, repetition: u32) -> Result<(), LabError> {
        let setup = job.setup;
        self.progress.set_message(format!(
            "{} backends, {} proxies",
            setup.backends, setup.proxies
        ));
        let figures = self.repetition(&setup, job.extent, repetition, &mut job.counts)?;
        for (quantity, value) in figures {
            job.values.entry(quantity).or_default().push(value);
        }
        self.progress.inc(1);
        Ok(())
    }

    fn repetition(
        &self,
        setup: &Setup,
        extent: Extent,
        repetition: u32,
        counts: &mut Counts,
    ) -> Result<BTreeMap<Quantity, f64>, LabError> {
        let seed = self
            .seed
            .wrapping_add(u64::from(repetition).wrapping_mul(REPETITION_STRIDE));
        let mut subject = self.subject(setup, seed)?;
        subject.proxy.warm_up(self.scenario.load.warm_up_requests);
        subject.proxy.take_counts();
        let mut costs = DecisionCosts::default();
        subject.proxy.serve(
            self.scenario.load.measured_requests,
            &self.stopwatch,
            &mut costs,
        );
        counts.add(&subject.proxy.take_counts());
        let mut figures = costs.figures();
        if extent == Extent::Everything {
            figures.extend(self.membership(setup, seed, &mut subject)?);
        }
        if repetition == 0 {
            figures.extend(self.memory(setup, seed)?);
        }
        Ok(figures)
    }

    fn membership(
        &self,
        setup: &Setup,
        seed: u64,
        subject: &mut Subject,
    ) -> Result<BTreeMap<Quantity, f64>, LabError> {
        let strangers =
            Endpoints::generate(setup.backends, &self.scenario.fleet, seed ^ STRANGER_SALT);
        let mut random = SmallRng::seed_from_u64(seed);
        let Subject {
            proxy,
            translator,
            endpoints,
        } = subject;
        let mut figures = wire_sizes(endpoints);
        let mut bench = MembershipBench::new(proxy, translator, &self.stopwatch, &mut random);
        for entrance in [Entrance::Decisions, Entrance::Text] {
            let measured = bench.measure(entrance, endpoints, &strangers, &self.scenario.changes);
            figures.extend(measured.map_err(failed)?);
        }
        Ok(figures)
    }

    /// Heap of a proxy that has served for a while, before any change of membership.
    fn memory(&self, setup: &Setup, seed: u64) -> Result<BTreeMap<Quantity, f64>, LabError> {
        let mut subject = self.subject(setup, seed)?;
        subject.proxy.warm_up(self.scenario.load.warm_up_requests);
        let balancer = heap_of(subject.proxy.into_balancer());
        let translator = heap_of(subject.translator);
        let figures = [
            (Quantity::BalancerMemory, balancer),
            (Quantity::TranslatorMemory, translator),
        ];
        Ok(figures
            .into_iter()
            .filter_map(|(quantity, bytes)| Some((quantity, bytes?)))
            .collect())
    }

    fn open_request_memory(&self) -> Result<Vec<OpenRequestMemory>, LabError> {
        let setup = Setup {
            backends: OPEN_REQUEST_BACKENDS,
            proxies: 1,
            tenants: self.scenario.fleet.tenants,
            classes: self.scenario.fleet.classes,
            requests_per_second: self.scenario.load.requests_per_second,
        };
        let mut memory = Vec::new();
        for &open_requests in &self.scenario.sweeps.open_requests {
            let mut subject = self.subject(&setup, self.seed)?;
            subject.proxy.open_requests(open_requests);
            let bytes = heap_of(subject.proxy.into_balancer());
            memory.extend(bytes.map(|balancer_memory| OpenRequestMemory {
                open_requests,
                balancer_memory,
            }));
        }
        Ok(memory)
    }

    fn subject(&self, setup: &Setup, seed: u64) -> Result<Subject, LabError> {
        let (fleet, load) = (&self.scenario.fleet, &self.scenario.load);
        let endpoints = Endpoints::generate(setup.backends, fleet, seed);
        let mut translator = translator(fleet);
        let backends: Vec<Backend> =
            entries_of(&mut translator, &answer_text(1, true, endpoints.all())).map_err(failed)?;
        let proxy = VirtualProxy::new(setup, fleet, load, seed, &backends).map_err(failed)?;
        Ok(Subject {
            proxy,
            translator,
            endpoints,
        })
    }
}

/// The machine's load over the last minute, from `/proc/loadavg`.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

fn failed(error: impl std::error::Error) -> LabError {
    LabError::Failed(error.to_string())
}
