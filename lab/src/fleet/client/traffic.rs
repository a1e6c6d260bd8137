//! The mix of calls: their classes, tenants, zones and work.

use super::ClientCall;
use super::weighted::WeightedChoice;
use crate::fleet::scenario::{ClassSettings, FleetScenario, WorkDistribution};
use crate::fleet::topology::Topology;
use crate::units::{MILLISECONDS_PER_SECOND, micros_from_milliseconds};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1, LogNormal};
use tillerproxy::api::{ClassIndex, Micros, TenantIndex, Zone};

/// Distribution of the work of a class's requests, as a factor of the class's mean work. The mean of the factor is 1.
#[derive(Clone, Copy, Debug)]
enum WorkFactor {
    Constant,
    Exponential,
    Lognormal(LogNormal<f64>),
}

/// A sampler of the work of a class's requests.
#[derive(Clone, Copy, Debug)]
struct WorkSampler {
    /// Mean work, microseconds on a core of speed 1.
    mean: f64,
    factor: WorkFactor,
}

impl WorkSampler {
    fn new(class: &ClassSettings) -> Self {
        let factor = match class.work_distribution {
            WorkDistribution::Constant => WorkFactor::Constant,
            WorkDistribution::Exponential => WorkFactor::Exponential,
            // A mean of 1 requires that the mean of the logarithm is minus half its variance.
            WorkDistribution::Lognormal { sigma } => LogNormal::new(-sigma * sigma / 2.0, sigma)
                .map_or(WorkFactor::Constant, WorkFactor::Lognormal),
        };
        Self {
            mean: micros_from_milliseconds(class.work_ms) as f64,
            factor,
        }
    }

    /// Draws the work of one request, microseconds on a core of speed 1.
    fn draw(&self, random: &mut SmallRng) -> f64 {
        let factor: f64 = match &self.factor {
            WorkFactor::Constant => 1.0,
            WorkFactor::Exponential => random.sample(Exp1),
            WorkFactor::Lognormal(distribution) => distribution.sample(random),
        };
        self.mean * factor
    }
}

/// The mix of calls and their total rate.
#[derive(Clone, Debug)]
pub struct TrafficMix {
    classes: WeightedChoice,
    work: Vec<WorkSampler>,
    tenants: WeightedChoice,
    zone_count: u16,
    /// Mean rate of the calls of all clients, per second.
    pub calls_per_s: f64,
}

impl TrafficMix {
    /// Creates the traffic of a scenario. The rate follows from the capacity of the topology and the utilization.
    #[must_use]
    pub fn new(scenario: &FleetScenario, topology: &Topology) -> Self {
        let (tenant_count, skew) = scenario
            .tenants
            .as_ref()
            .map_or((1, 0.0), |tenants| (tenants.count, tenants.skew));
        let tenant_weights = (1..=tenant_count).map(|rank| f64::from(rank).powf(-skew));
        let class_weights = scenario.classes.iter().map(|class| class.traffic_weight);
        let offered_work = scenario.load.utilization * topology.capacity();
        Self {
            classes: WeightedChoice::new(class_weights),
            work: scenario.classes.iter().map(WorkSampler::new).collect(),
            tenants: WeightedChoice::new(tenant_weights),
            zone_count: topology.zone_count,
            calls_per_s: offered_work / scenario.mean_work_ms() * MILLISECONDS_PER_SECOND,
        }
    }

    /// Returns the fraction of the calls that a tenant makes.
    #[must_use]
    pub fn tenant_fraction(&self, tenant: TenantIndex) -> f64 {
        self.tenants.probability(tenant.index())
    }

    /// Draws a call of `tenant`, or of a random tenant if `tenant` is `None`.
    pub(super) fn draw_call(
        &self,
        now: Micros,
        tenant: Option<TenantIndex>,
        random: &mut SmallRng,
    ) -> ClientCall {
        let class = self.classes.choose(random.random()).unwrap_or_default();
        let drawn_tenant = self.tenants.choose(random.random()).unwrap_or_default();
        ClientCall {
            class: ClassIndex(class as u8),
            tenant: tenant.unwrap_or(TenantIndex(drawn_tenant as u16)),
            zone: Zone(random.random_range(0..self.zone_count)),
            key: random.random(),
            work: self.work[class].draw(random),
            priority_weight: 0.0,
            started_at: now,
            attempts: 0,
            proxy_draw: random.random(),
            shift_draw: random.random(),
            disconnect_draw: random.random(),
            ended: false,
        }
    }
}
