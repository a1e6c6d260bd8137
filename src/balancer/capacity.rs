//! The capacity that this proxy may use: its part of each backend, its limits and slots, and how many requests it may
//! have in flight in all.

use super::Balancer;
use super::backends::BackendKey;
use super::index::Group;
use super::limits::whole_slots;
use super::slow_start::WarmCapacity;
use super::time::MICROS_PER_SECOND;
use crate::api::{ClassIndex, MachineType, Micros, Settings, Zone};
use crate::spread::golden_ratio_position;

#[cfg(test)]
mod tests;

/// Backends that a proxy spreads its requests over, at the least, where its limits add up to fewer slots.
const MIN_BACKENDS: f64 = 3.0;

/// What a proxy may have in flight in all.
///
/// Departure: where a proxy's limits add up to few slots (many proxies with little traffic each), its slots spread over
/// more backends, and the sum of its limits, with the square root of it for the chance that requests come together,
/// bounds what it has in flight in all.
pub(crate) struct ProxyCapacity {
    /// Sum of the limits of all ready backends, before they are rounded to slots.
    limit_sum: f64,
    /// Factor on every limit when it is rounded to slots.
    limit_factor: f64,
    max_in_flight: u32,
    evaluated_at: Option<Micros>,
}

impl ProxyCapacity {
    /// Returns a capacity without a bound, to be evaluated once backends are known.
    pub(crate) fn unbounded() -> Self {
        Self {
            limit_sum: 0.0,
            limit_factor: 1.0,
            max_in_flight: u32::MAX,
            evaluated_at: None,
        }
    }

    /// Whether the capacity was not evaluated for so long.
    pub(crate) fn is_older_than(&self, now: Micros, age: Micros) -> bool {
        self.evaluated_at.is_none_or(|at| now >= at + age)
    }

    /// Takes the sum of the limits of all ready backends.
    pub(crate) fn evaluate(&mut self, now: Micros, limit_sum: f64, proxy_index: u32) {
        self.evaluated_at = Some(now);
        self.limit_sum = limit_sum;
        self.limit_factor = if limit_sum > 0.0 {
            (MIN_BACKENDS / limit_sum).max(1.0)
        } else {
            1.0
        };
        let max_in_flight = if self.is_below_min_slots() {
            (limit_sum + limit_sum.sqrt() + golden_ratio_position(proxy_index)) as u32
        } else {
            u32::MAX
        };
        self.max_in_flight = max_in_flight.max(1);
    }

    /// Returns the sum of the limits of all ready backends, before they are rounded to slots.
    pub(crate) fn limit_sum(&self) -> f64 {
        self.limit_sum
    }

    /// Returns the factor on every limit when it is rounded to slots.
    pub(crate) fn limit_factor(&self) -> f64 {
        self.limit_factor
    }

    /// Whether the limits add up to so few slots that they are spread over more backends.
    pub(crate) fn is_below_min_slots(&self) -> bool {
        self.limit_factor > 1.0
    }

    /// Returns the most requests in flight, where there is a bound.
    pub(crate) fn max_in_flight(&self) -> Option<u32> {
        (self.max_in_flight < u32::MAX).then_some(self.max_in_flight)
    }
}

/// Returns this proxy's part of a backend: the inverse of how many proxies use it.
///
/// Departure: bounds and steps of a limit are the backend's, so that what all proxies admit does not grow with their
/// number.
pub(crate) fn proxy_fraction(settings: &Settings, zone: Zone) -> f64 {
    let proxies = f64::from(settings.proxy_count);
    let proxies_of_zone = (proxies / f64::from(settings.zone_count)).max(1.0);
    if zone == settings.zone {
        1.0 / proxies_of_zone
    } else {
        1.0 / proxies
    }
}

impl Balancer {
    /// Evaluates the capacity from the present limits.
    pub(super) fn evaluate_capacity(&mut self, now: Micros) {
        let of_group = |group: &Group| {
            let limit = self.machine_type_limit(group.zone(), group.machine_type());
            group.members().len() as f64 * limit
        };
        let beyond_group = |&key: &BackendKey| {
            let backend = &self.backends[key];
            self.limit(key) - self.machine_type_limit(backend.zone, backend.machine_type)
        };
        let groups = self.index.groups().iter().map(of_group).sum::<f64>();
        let individual = self
            .index
            .with_own_limit()
            .iter()
            .map(beyond_group)
            .sum::<f64>();
        let limit_sum = groups + individual;
        self.capacity
            .evaluate(now, limit_sum, self.settings.proxy_index);
    }

    /// Returns the limit that the backends of a machine type in a zone have at this proxy.
    pub(super) fn machine_type_limit(&self, zone: Zone, machine_type: MachineType) -> f64 {
        let limit = self.machine_type_limits[machine_type.index()].limit();
        limit * proxy_fraction(&self.settings, zone)
    }

    /// Returns a backend's limit at this proxy.
    pub(super) fn limit(&self, key: BackendKey) -> f64 {
        let backend = &self.backends[key];
        let machine_type_limit = self.machine_type_limit(backend.zone, backend.machine_type);
        backend.limit.value(machine_type_limit)
    }

    /// Returns a backend's slots at this proxy, `factor` being a factor on its limit.
    pub(super) fn slots(&self, key: BackendKey, factor: f64) -> i64 {
        whole_slots(self.limit(key) * factor, self.slot_offset(key))
    }

    /// Brings the budget of a backend that warms up to now.
    pub(super) fn refill_slow_start(&mut self, now: Micros, key: BackendKey) {
        let Some(mut budget) = self.backends[key].slow_start else {
            return;
        };
        let capacity = self.warm_capacity(key);
        budget.refill(now, &self.settings.safety, &capacity);
        self.backends[key].slow_start = Some(budget);
    }

    /// Returns what the budget of a backend that warms up follows from. Its full capacity is taken to be that of a warm
    /// backend: what this proxy got served in its best seconds, for all proxies, over all backends. Before anything is
    /// measured, the first class stands for all.
    fn warm_capacity(&self, key: BackendKey) -> WarmCapacity {
        let proxies = f64::from(self.settings.proxy_count);
        let ready = self.index.ready_count().max(1) as f64;
        let measured = self.throughput.per_second() * proxies / ready;
        let one_at_a_time = MICROS_PER_SECOND / self.latencies.mean(ClassIndex(0));
        WarmCapacity {
            requests_per_s: measured.max(one_at_a_time),
            proxy_fraction: self.proxy_fraction(key),
            rounding_gain: self.rounding_gain(key),
        }
    }

    /// Returns what rounding a backend's limit to whole slots multiplies this proxy's part by.
    ///
    /// Departure: where the limit is below one slot, only some proxies hold a slot on the backend; the others can't spend
    /// their part of its budget, so those that do get it.
    fn rounding_gain(&self, key: BackendKey) -> f64 {
        let limit_factor = self.capacity.limit_factor();
        let limit = self.limit(key) * limit_factor;
        if limit < 1.0 {
            self.slots(key, limit_factor) as f64 / limit
        } else {
            1.0
        }
    }
}
