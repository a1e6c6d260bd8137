//! Runs the measurements of a scenario, in repetitions over all sizes.

use super::sweep::MeasurementScope;
use super::{LoadAverage, Measurements, OpenRequestMemory, Point, Sweep, TargetPoints};
use crate::slopes::costs::DecisionCosts;
use crate::slopes::endpoints::{Endpoints, new_translator, parse_backends, serialize_list};
use crate::slopes::error::SlopesError;
use crate::slopes::membership::{MeasuredComponents, MembershipBench, response_sizes};
use crate::slopes::memory::heap_bytes;
use crate::slopes::quantity::Quantity;
use crate::slopes::scenario::SlopesScenario;
use crate::slopes::setup::Setup;
use crate::slopes::stopwatch::{Stopwatch, Summary};
use crate::slopes::virtual_proxy::{EventCounts, VirtualProxy};
use indicatif::ProgressBar;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use tillerproxy::proxy::discovery::Translator;

/// Number of backends for measuring memory by open requests. The measured proxy is the only one of the fleet, so that
/// it has at least one slot of each backend.
const OPEN_REQUEST_BACKENDS: u32 = 2_000;
/// Difference between the seeds of successive repetitions.
const REPETITION_SEED_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// Salt that turns the fleet's seed into the seed of the replacement endpoints, by exclusive or.
const REPLACEMENT_SEED_SALT: u64 = 0x517c_c1b7_2722_0a95;
/// Revision of the first endpoint list.
const FIRST_REVISION: u64 = 1;
/// Number of jobs at the target size: one at the mean request rate, one at the rate of a hot proxy.
const TARGET_JOB_COUNT: u64 = 2;

/// Runs all measurements of a scenario.
pub struct Bench<'a> {
    scenario: &'a SlopesScenario,
    seed: u64,
    stopwatch: Stopwatch,
    progress: &'a ProgressBar,
}

/// The measurement of one size, with the results of its repetitions so far.
struct Job {
    setup: Setup,
    scope: MeasurementScope,
    counts: EventCounts,
    values: BTreeMap<Quantity, Vec<f64>>,
}

/// A proxy that has received the endpoint list of a fleet, and the translator that parsed the list.
struct MeasuredProxy {
    proxy: VirtualProxy,
    translator: Translator,
    endpoints: Endpoints,
}

impl Job {
    fn new(setup: Setup, scope: MeasurementScope) -> Self {
        Self {
            setup,
            scope,
            counts: EventCounts::default(),
            values: BTreeMap::new(),
        }
    }

    /// Summarises the values of each quantity over the repetitions.
    fn finish(self) -> Point {
        let mut figures = BTreeMap::new();
        for (quantity, values) in self.values {
            if let Some(summary) = Summary::of(values) {
                figures.insert(quantity, summary);
            }
        }
        Point {
            setup: self.setup,
            counts: self.counts,
            figures,
        }
    }
}

impl<'a> Bench<'a> {
    /// Creates a bench with a calibrated stopwatch; `progress` advances by one for each repetition of a size.
    #[must_use]
    pub fn new(scenario: &'a SlopesScenario, seed: u64, progress: &'a ProgressBar) -> Self {
        Self {
            scenario,
            seed,
            stopwatch: Stopwatch::calibrated(),
            progress,
        }
    }

    /// Returns the number of steps of the progress bar: the repetitions of all sizes together.
    #[must_use]
    pub fn step_count(scenario: &SlopesScenario) -> u64 {
        let mut jobs = TARGET_JOB_COUNT;
        for sweep in Sweep::ALL {
            jobs += sweep.setups(scenario).len() as u64;
        }
        jobs * u64::from(scenario.repetitions)
    }

    /// Runs all measurements. Each repetition measures all sizes in turn, so that a temporary load on the machine does
    /// not affect all repetitions of a few sizes.
    ///
    /// # Errors
    /// Returns an error if the proxy rejects the settings or an endpoint list that the lab generated.
    pub fn run(&self) -> Result<Measurements, SlopesError> {
        let load_before = load_average();
        let mut sweeps = self.sweep_jobs();
        let [mut mean, mut hot] = self.target_jobs();
        for repetition in 0..self.scenario.repetitions {
            let sweep_jobs = sweeps.values_mut().flatten();
            for job in sweep_jobs.chain([&mut mean, &mut hot]) {
                self.run_repetition(job, repetition)?;
            }
        }
        let open_request_memory = self.measure_open_request_memory()?;
        Ok(Measurements {
            clock_overhead_ns: self.stopwatch.overhead().as_nanos() as f64,
            sweeps: finish_sweeps(sweeps),
            open_request_memory,
            target: TargetPoints {
                mean: mean.finish(),
                hot: hot.finish(),
            },
            load_average: LoadAverage {
                before: load_before,
                after: load_average(),
            },
        })
    }

    /// Creates a job for each size of each sweep.
    fn sweep_jobs(&self) -> BTreeMap<Sweep, Vec<Job>> {
        let mut sweeps = BTreeMap::new();
        for sweep in Sweep::ALL {
            let setups = sweep.setups(self.scenario).into_iter();
            let jobs = setups.map(|setup| Job::new(setup, sweep.scope()));
            sweeps.insert(sweep, jobs.collect());
        }
        sweeps
    }

    /// Creates the two jobs at the target size: at the mean request rate, and at the rate of a hot proxy.
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
            Job::new(mean, MeasurementScope::Everything),
            Job::new(hot, MeasurementScope::Decisions),
        ]
    }

    /// Runs one repetition of a job and records its figures.
    fn run_repetition(&self, job: &mut Job, repetition: u32) -> Result<(), SlopesError> {
        let Setup {
            backends, proxies, ..
        } = job.setup;
        self.progress
            .set_message(format!("{backends} backends, {proxies} proxies"));
        for (quantity, value) in self.measure(job, repetition)? {
            job.values.entry(quantity).or_default().push(value);
        }
        self.progress.inc(1);
        Ok(())
    }

    /// Measures one repetition of a job: adds its counts to the job and returns its figures. Memory is measured in the
    /// first repetition only.
    fn measure(
        &self,
        job: &mut Job,
        repetition: u32,
    ) -> Result<BTreeMap<Quantity, f64>, SlopesError> {
        let offset = u64::from(repetition).wrapping_mul(REPETITION_SEED_STRIDE);
        let seed = self.seed.wrapping_add(offset);
        let load = &self.scenario.load;
        let mut measured = self.start_proxy(&job.setup, seed)?;
        measured.proxy.warm_up(load.warm_up_requests);
        measured.proxy.take_counts();
        let mut costs = DecisionCosts::default();
        measured
            .proxy
            .serve(load.measured_requests, &self.stopwatch, &mut costs);
        job.counts.add(&measured.proxy.take_counts());
        let mut figures = costs.figures();
        if job.scope == MeasurementScope::Everything {
            figures.extend(self.measure_membership(&job.setup, seed, &mut measured)?);
        }
        if repetition == 0 {
            figures.extend(self.measure_memory(&job.setup, seed)?);
        }
        Ok(figures)
    }

    /// Measures the cost of membership changes and the bytes of discovery's responses.
    fn measure_membership(
        &self,
        setup: &Setup,
        seed: u64,
        measured: &mut MeasuredProxy,
    ) -> Result<BTreeMap<Quantity, f64>, SlopesError> {
        let replacement_seed = seed ^ REPLACEMENT_SEED_SALT;
        let replacements =
            Endpoints::generate(setup.backends, &self.scenario.fleet, replacement_seed);
        let mut random = SmallRng::seed_from_u64(seed);
        let MeasuredProxy {
            proxy,
            translator,
            endpoints,
        } = measured;
        let mut figures = response_sizes(endpoints);
        let mut bench = MembershipBench::new(proxy, translator, &self.stopwatch, &mut random);
        for components in [
            MeasuredComponents::Balancer,
            MeasuredComponents::TranslatorAndBalancer,
        ] {
            let costs =
                bench.measure(components, endpoints, &replacements, &self.scenario.changes)?;
            figures.extend(costs);
        }
        Ok(figures)
    }

    /// Measures the heap of the balancer and of the translator after a warm-up, before any change of membership.
    fn measure_memory(
        &self,
        setup: &Setup,
        seed: u64,
    ) -> Result<BTreeMap<Quantity, f64>, SlopesError> {
        let mut measured = self.start_proxy(setup, seed)?;
        measured.proxy.warm_up(self.scenario.load.warm_up_requests);
        let balancer = heap_bytes(measured.proxy.into_balancer());
        let translator = heap_bytes(measured.translator);
        let mut figures = BTreeMap::new();
        if let (Some(balancer), Some(translator)) = (balancer, translator) {
            figures.insert(Quantity::BalancerMemory, balancer);
            figures.insert(Quantity::TranslatorMemory, translator);
        }
        Ok(figures)
    }

    /// Measures the heap of the balancer at each of the scenario's numbers of open requests.
    fn measure_open_request_memory(&self) -> Result<Vec<OpenRequestMemory>, SlopesError> {
        let setup = Setup {
            backends: OPEN_REQUEST_BACKENDS,
            proxies: 1,
            tenants: self.scenario.fleet.tenants,
            classes: self.scenario.fleet.classes,
            requests_per_second: self.scenario.load.requests_per_second,
        };
        let mut memory = Vec::new();
        for &open_requests in &self.scenario.sweeps.open_requests {
            let mut measured = self.start_proxy(&setup, self.seed)?;
            measured.proxy.submit_requests(open_requests);
            if let Some(balancer_memory) = heap_bytes(measured.proxy.into_balancer()) {
                memory.push(OpenRequestMemory {
                    open_requests,
                    balancer_memory,
                });
            }
        }
        Ok(memory)
    }

    /// Generates a fleet and creates a proxy that has received its endpoint list.
    fn start_proxy(&self, setup: &Setup, seed: u64) -> Result<MeasuredProxy, SlopesError> {
        let fleet = &self.scenario.fleet;
        let endpoints = Endpoints::generate(setup.backends, fleet, seed);
        let mut translator = new_translator(fleet);
        let body = serialize_list(FIRST_REVISION, true, endpoints.all());
        let backends = parse_backends(&mut translator, &body)?;
        let proxy = VirtualProxy::new(setup, fleet, &self.scenario.load, seed, &backends)?;
        Ok(MeasuredProxy {
            proxy,
            translator,
            endpoints,
        })
    }
}

/// Returns the points of all sweeps from their finished jobs.
fn finish_sweeps(sweeps: BTreeMap<Sweep, Vec<Job>>) -> BTreeMap<Sweep, Vec<Point>> {
    let mut finished = BTreeMap::new();
    for (sweep, jobs) in sweeps {
        let points = jobs.into_iter().map(Job::finish).collect();
        finished.insert(sweep, points);
    }
    finished
}

/// Reads the machine's load average over the last minute from `/proc/loadavg`; `None` if that fails.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
