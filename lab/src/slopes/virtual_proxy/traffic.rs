//! Random requests of a virtual proxy and their service times.

use crate::slopes::error::SlopesError;
use crate::slopes::scenario::Load;
use crate::slopes::setup::Setup;
use crate::units::{MICROS_PER_MILLISECOND, MICROS_PER_SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Poisson, Zipf};
use tillerproxy::api::{ClassIndex, Micros, Request, RequestId, TenantIndex};

/// Timeout of the clients' requests.
const CLIENT_TIMEOUT: Micros = 2 * MICROS_PER_SECOND;
/// Fraction of the mean service time that every request takes; the rest is exponentially distributed.
const CONSTANT_FRACTION: f64 = 0.5;

/// Draws requests and their service times.
pub(super) struct Traffic {
    random: SmallRng,
    /// Distribution of the number of requests in a batch.
    batch: Poisson<f64>,
    /// Distribution of the rank of a request's tenant, from 1.
    tenant: Zipf<f64>,
    /// Number of request classes, drawn with equal probability.
    classes: u8,
    mean_service_micros: f64,
}

impl Traffic {
    /// Creates the traffic of batches that are `batch_interval` apart.
    ///
    /// # Errors
    /// [`SlopesError::MeanBatch`] or [`SlopesError::TenantDistribution`] if a random distribution can't be constructed,
    /// [`SlopesError::TooManyClasses`] if the classes exceed the range of a class index.
    pub(super) fn new(
        setup: &Setup,
        load: &Load,
        batch_interval: Micros,
        seed: u64,
    ) -> Result<Self, SlopesError> {
        let mean_batch =
            setup.requests_per_second * batch_interval as f64 / MICROS_PER_SECOND as f64;
        let tenant = Zipf::new(f64::from(setup.tenants), load.tenant_skew).map_err(|_| {
            SlopesError::TenantDistribution {
                tenants: setup.tenants,
                skew: load.tenant_skew,
            }
        })?;
        Ok(Self {
            random: SmallRng::seed_from_u64(seed),
            batch: Poisson::new(mean_batch).map_err(|_| SlopesError::MeanBatch(mean_batch))?,
            tenant,
            classes: u8::try_from(setup.classes)
                .map_err(|_| SlopesError::TooManyClasses(setup.classes))?,
            mean_service_micros: load.latency_ms * MICROS_PER_MILLISECOND as f64,
        })
    }

    /// Draws the number of requests of a batch.
    pub(super) fn draw_batch_size(&mut self) -> usize {
        self.batch.sample(&mut self.random) as usize
    }

    /// Draws the tenant and the class of a request and returns the request.
    pub(super) fn draw_request(&mut self, id: RequestId) -> Request {
        let tenant_rank = self.tenant.sample(&mut self.random);
        let class = self.random.random_range(0..self.classes);
        Request {
            id,
            class: ClassIndex(class),
            tenant: TenantIndex(tenant_rank as u16 - 1),
            key: None,
            timeout: CLIENT_TIMEOUT,
            expected_work: None,
            is_retry: false,
        }
    }

    /// Draws the service time of an attempt.
    pub(super) fn draw_service_time(&mut self) -> Micros {
        let exponential: f64 = Exp1.sample(&mut self.random);
        let factor = CONSTANT_FRACTION + (1.0 - CONSTANT_FRACTION) * exponential;
        (self.mean_service_micros * factor) as Micros
    }

    /// Returns the mean service time in milliseconds.
    pub(super) fn mean_service_ms(&self) -> f32 {
        (self.mean_service_micros / MICROS_PER_MILLISECOND as f64) as f32
    }
}
