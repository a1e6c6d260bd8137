//! Arrivals of calls: an open-loop Poisson process.

use super::{ClientCall, TrafficMix};
use crate::fleet::random::{Stream, stream};
use crate::units::MICROS_PER_SECOND;
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::Exp1;
use tillerproxy::api::{Micros, TenantIndex};

/// Calls that arrive at random, whether or not earlier ones were answered.
#[derive(Debug)]
pub struct ArrivalProcess {
    calls_per_s: f64,
    /// When it ends.
    until: Micros,
    /// Whose calls they are; drawn for each where it is missing.
    tenant: Option<TenantIndex>,
    /// The exact time of the latest arrival, microseconds: intervals may be shorter than a microsecond.
    latest: f64,
    random: SmallRng,
}

impl ArrivalProcess {
    /// Creates a process that begins at `from`; `index` tells the processes of a run apart.
    #[must_use]
    pub fn new(
        calls_per_s: f64,
        from: Micros,
        until: Micros,
        tenant: Option<TenantIndex>,
        seed: u64,
        index: u64,
    ) -> Self {
        Self {
            calls_per_s,
            until,
            tenant,
            latest: from as f64,
            random: stream(seed, Stream::Arrivals, index),
        }
    }

    /// Draws the time of the next arrival; `None` after the end.
    pub fn next_arrival(&mut self) -> Option<Micros> {
        let interval: f64 = self.random.sample(Exp1);
        self.latest += interval * MICROS_PER_SECOND as f64 / self.calls_per_s;
        (self.latest < self.until as f64).then_some(self.latest as Micros)
    }

    /// Draws the call that arrives now.
    pub fn draw_call(&mut self, now: Micros, traffic: &TrafficMix) -> ClientCall {
        traffic.draw_call(now, self.tenant, &mut self.random)
    }
}
