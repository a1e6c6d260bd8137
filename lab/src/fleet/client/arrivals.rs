//! Arrivals of calls as an open-loop Poisson process.

use super::{ClientCall, TrafficMix};
use crate::fleet::random::{Stream, stream};
use crate::units::MICROS_PER_SECOND;
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::Exp1;
use tillerproxy::api::{Micros, TenantIndex};

/// Parameters of an arrival process.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalSettings {
    /// Mean rate of the calls, per second.
    pub calls_per_s: f64,
    /// Time at which the arrivals begin.
    pub begins_at: Micros,
    /// Time at which the arrivals end.
    pub ends_at: Micros,
    /// Tenant of all calls; `None` if a tenant is drawn for each call.
    pub tenant: Option<TenantIndex>,
}

/// A Poisson process of calls. Calls arrive whether or not earlier ones were answered.
#[derive(Debug)]
pub struct ArrivalProcess {
    settings: ArrivalSettings,
    /// Exact time of the latest arrival, in microseconds with fractions, because intervals may be shorter than a
    /// microsecond.
    latest: f64,
    random: SmallRng,
}

impl ArrivalProcess {
    /// Creates an arrival process. Each process of a run has an `index` of its own, which selects its random stream.
    #[must_use]
    pub fn new(settings: ArrivalSettings, seed: u64, index: u64) -> Self {
        Self {
            settings,
            latest: settings.begins_at as f64,
            random: stream(seed, Stream::Arrivals, index),
        }
    }

    /// Draws the time of the next arrival; `None` if the arrivals have ended.
    pub fn next_arrival(&mut self) -> Option<Micros> {
        let interval: f64 = self.random.sample(Exp1);
        self.latest += interval * MICROS_PER_SECOND as f64 / self.settings.calls_per_s;
        (self.latest < self.settings.ends_at as f64).then_some(self.latest as Micros)
    }

    /// Draws the call that arrives now.
    pub fn draw_call(&mut self, now: Micros, traffic: &TrafficMix) -> ClientCall {
        traffic.draw_call(now, self.settings.tenant, &mut self.random)
    }
}
