//! The random requests of a virtual proxy and their service times.

use crate::slopes::scenario::Load;
use crate::slopes::setup::Setup;
use crate::units::{MICROS_PER_MILLISECOND, MICROS_PER_SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Poisson, Zipf};
use tillerproxy::api::{ClassIndex, Micros, Request, RequestId, TenantIndex};

/// Timeout of the clients.
const CLIENT_TIMEOUT: Micros = 2 * MICROS_PER_SECOND;
/// Part of the mean service time that is constant.
const CONSTANT_PART: f64 = 0.5;

/// Draws requests and their service times.
pub(super) struct Traffic {
    random: SmallRng,
    /// Requests of a batch.
    batch: Poisson<f64>,
    /// Rank of a tenant, from 1.
    tenant: Zipf<f64>,
    classes: u8,
    /// Microseconds.
    mean_service_time: f64,
}

impl Traffic {
    /// Makes the traffic of batches that are `step` apart; `None` where the load has no distribution.
    pub(super) fn new(setup: &Setup, load: &Load, step: Micros, seed: u64) -> Option<Self> {
        let batch = setup.requests_per_second * step as f64 / MICROS_PER_SECOND as f64;
        Some(Self {
            random: SmallRng::seed_from_u64(seed),
            batch: Poisson::new(batch).ok()?,
            tenant: Zipf::new(f64::from(setup.tenants), load.tenant_skew).ok()?,
            classes: u8::try_from(setup.classes).ok()?,
            mean_service_time: load.latency_ms * MICROS_PER_MILLISECOND as f64,
        })
    }

    /// Draws the number of requests of a batch.
    pub(super) fn batch_size(&mut self) -> usize {
        self.batch.sample(&mut self.random) as usize
    }

    /// Draws a request.
    pub(super) fn request(&mut self, id: RequestId) -> Request {
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

    /// Draws a service time.
    pub(super) fn service_time(&mut self) -> Micros {
        let exponential: f64 = Exp1.sample(&mut self.random);
        let factor = CONSTANT_PART + (1.0 - CONSTANT_PART) * exponential;
        (self.mean_service_time * factor) as Micros
    }

    /// Returns the mean service time, milliseconds.
    pub(super) fn mean_service_ms(&self) -> f32 {
        (self.mean_service_time / MICROS_PER_MILLISECOND as f64) as f32
    }
}
