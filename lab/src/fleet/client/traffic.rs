//! What clients request: classes, tenants, zones and work.

use super::ClientCall;
use super::weighted::WeightedChoice;
use crate::fleet::scenario::{ClassSettings, FleetScenario, WorkDistribution};
use crate::fleet::topology::Topology;
use crate::units::{MILLISECONDS_PER_SECOND, milliseconds};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1, LogNormal};
use tillerproxy::api::{ClassIndex, Micros, TenantIndex, Zone};

/// The factor by which a request's work differs from its class's mean; its own mean is 1.
#[derive(Clone, Copy, Debug)]
enum WorkFactor {
    Constant,
    Exponential,
    Lognormal(LogNormal<f64>),
}

/// Draws the work of a class's requests.
#[derive(Clone, Copy, Debug)]
struct WorkSampler {
    /// Microseconds on a core of speed 1.
    mean: f64,
    factor: WorkFactor,
}

impl WorkSampler {
    fn new(class: &ClassSettings) -> Self {
        let factor = match class.work_distribution {
            WorkDistribution::Constant => WorkFactor::Constant,
            WorkDistribution::Exponential => WorkFactor::Exponential,
            // The mean is 1 where the logarithm's mean is minus half its variance.
            WorkDistribution::Lognormal { sigma } => LogNormal::new(-sigma * sigma / 2.0, sigma)
                .map_or(WorkFactor::Constant, WorkFactor::Lognormal),
        };
        Self {
            mean: milliseconds(class.work_ms) as f64,
            factor,
        }
    }

    fn draw(&self, random: &mut SmallRng) -> f64 {
        let factor: f64 = match &self.factor {
            WorkFactor::Constant => 1.0,
            WorkFactor::Exponential => random.sample(Exp1),
            WorkFactor::Lognormal(distribution) => distribution.sample(random),
        };
        self.mean * factor
    }
}

/// The mix of requests and their total rate.
#[derive(Clone, Debug)]
pub struct TrafficMix {
    classes: WeightedChoice,
    work: Vec<WorkSampler>,
    tenants: WeightedChoice,
    zone_count: u16,
    /// Calls a second of all clients.
    pub calls_per_s: f64,
}

impl TrafficMix {
    /// Creates the traffic of a scenario, whose load is a part of the capacity of a topology.
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

    /// Returns a tenant's part of the calls.
    #[must_use]
    pub fn tenant_fraction(&self, tenant: TenantIndex) -> f64 {
        self.tenants.probability(tenant.index())
    }

    /// Draws a call, of `tenant` where one is given.
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
