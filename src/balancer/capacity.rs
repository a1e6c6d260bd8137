//! The capacity that this proxy may use: its share of each backend's capacity, its limits and slots, and its bound on
//! attempts in flight at all backends together.

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

/// Minimum sum of a proxy's limits, in slots. If the limits add up to less, they are scaled up to this sum, so that the
/// proxy has a slot on each of about three backends.
const MIN_SLOTS: f64 = 3.0;

/// The sum of this proxy's limits, and the scaling and the bound that apply if the sum is small.
///
/// Deviation from plain AIMD: with many proxies that have little traffic each, the limits of a proxy may add up to less
/// than [`MIN_SLOTS`]. Two rules then apply:
/// - Each limit is scaled up before it is rounded to slots, which spreads the slots over more backends.
/// - The attempts in flight at all backends are bounded by the sum of the unscaled limits plus its square root. The
///   square root leaves room for requests that arrive at the same time by chance.
pub(crate) struct ProxyCapacity {
    /// Sum of the limits of all ready backends, before they are rounded to slots.
    limit_sum: f64,
    /// Factor by which every limit is scaled before it is rounded to slots.
    limit_factor: f64,
    /// Maximum number of attempts in flight at all backends together; `None` if there is no bound.
    max_in_flight: Option<u32>,
    /// Time of the last evaluation; `None` if there was none yet.
    evaluated_at: Option<Micros>,
}

impl ProxyCapacity {
    /// Returns an unbounded capacity, which holds until the first evaluation.
    pub(crate) fn unbounded() -> Self {
        Self {
            limit_sum: 0.0,
            limit_factor: 1.0,
            max_in_flight: None,
            evaluated_at: None,
        }
    }

    /// Reports whether the last evaluation was at least `age` ago, or there was none yet.
    pub(crate) fn is_older_than(&self, now: Micros, age: Micros) -> bool {
        self.evaluated_at.is_none_or(|at| now >= at + age)
    }

    /// Updates the factor by which limits are scaled, and the bound on attempts in flight, from the sum of the limits
    /// of all ready backends.
    ///
    /// Whether the bound is rounded up or down depends on the proxy's index, so that its average over all proxies is
    /// about the unrounded bound.
    pub(crate) fn evaluate(&mut self, now: Micros, limit_sum: f64, proxy_index: u32) {
        self.evaluated_at = Some(now);
        self.limit_sum = limit_sum;
        self.limit_factor = if limit_sum > 0.0 {
            (MIN_SLOTS / limit_sum).max(1.0)
        } else {
            1.0
        };
        self.max_in_flight = self.are_limits_scaled_up().then(|| {
            let bound = limit_sum + limit_sum.sqrt() + golden_ratio_position(proxy_index);
            (bound as u32).max(1)
        });
    }

    /// Returns the sum of the limits of all ready backends, before they are rounded to slots.
    pub(crate) fn limit_sum(&self) -> f64 {
        self.limit_sum
    }

    /// Returns the factor by which every limit is scaled before it is rounded to slots.
    pub(crate) fn limit_factor(&self) -> f64 {
        self.limit_factor
    }

    /// Reports whether limits are scaled up, because their sum is positive and below [`MIN_SLOTS`].
    pub(crate) fn are_limits_scaled_up(&self) -> bool {
        self.limit_factor > 1.0
    }

    /// Returns the bound on attempts in flight at all backends, or `None` if there is none.
    pub(crate) fn max_in_flight(&self) -> Option<u32> {
        self.max_in_flight
    }
}

/// Returns this proxy's share of the capacity of a backend in a zone: 1 divided by the number of proxies that use the
/// backend.
///
/// Deviation from plain AIMD: the bounds and steps of a limit apply to the backend as a whole and each proxy has its
/// share of them. Otherwise the load that all proxies admit would grow with their number.
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
    /// Updates the proxy's capacity from the present limits.
    ///
    /// All members of a group are first counted with the limit of their machine type; for backends with a limit of
    /// their own, the difference from that limit is then added.
    pub(super) fn evaluate_capacity(&mut self, now: Micros) {
        let limit_of_group = |group: &Group| {
            let limit = self.machine_type_limit(group.zone(), group.machine_type());
            group.members().len() as f64 * limit
        };
        let difference = |&key: &BackendKey| {
            let backend = &self.backends[key];
            self.limit(key) - self.machine_type_limit(backend.zone, backend.machine_type)
        };
        let of_groups = self.index.groups().iter().map(limit_of_group).sum::<f64>();
        let differences = self
            .index
            .with_own_limit()
            .iter()
            .map(difference)
            .sum::<f64>();
        let limit_sum = of_groups + differences;
        self.capacity
            .evaluate(now, limit_sum, self.settings.proxy_index);
    }

    /// Returns this proxy's share of the limit of a machine type, for the backends of one zone.
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

    /// Returns a backend's slots at this proxy: its limit, multiplied by `factor` and rounded to whole slots.
    pub(super) fn slots(&self, key: BackendKey, factor: f64) -> i64 {
        whole_slots(self.limit(key) * factor, self.slot_offset(key))
    }

    /// Refills the slow-start budget of a backend up to now. Does nothing if the backend is not in slow start.
    pub(super) fn refill_slow_start(&mut self, now: Micros, key: BackendKey) {
        let Some(mut budget) = self.backends[key].slow_start else {
            return;
        };
        let capacity = self.warm_capacity(key);
        budget.refill(now, &self.settings.safety, &capacity);
        self.backends[key].slow_start = Some(budget);
    }

    /// Returns the capacity from which the slow-start budget of a backend is computed.
    ///
    /// A warm backend is estimated to serve the peak rate of this proxy, multiplied by the number of proxies and
    /// divided by the number of ready backends. The estimate is at least one request at a time with the mean latency of
    /// the first class, which stands for all classes before a rate has been measured.
    fn warm_capacity(&self, key: BackendKey) -> WarmCapacity {
        let proxies = f64::from(self.settings.proxy_count);
        let ready = self.index.ready_count().max(1) as f64;
        let measured_per_s = self.throughput.per_second() * proxies / ready;
        let one_at_a_time_per_s = MICROS_PER_SECOND / self.latencies.mean(ClassIndex(0));
        WarmCapacity {
            requests_per_s: measured_per_s.max(one_at_a_time_per_s),
            proxy_fraction: self.proxy_fraction(key),
            rounding_factor: self.rounding_factor(key),
        }
    }

    /// Returns the factor that makes up for rounding the limit to whole slots, applied to this proxy's share of a
    /// slow-start budget.
    ///
    /// Deviation: if the limit is below one slot, only some proxies have a slot on the backend. Proxies without a slot
    /// cannot use their share of its budget, so proxies with a slot receive a greater share.
    fn rounding_factor(&self, key: BackendKey) -> f64 {
        let limit_factor = self.capacity.limit_factor();
        let limit = self.limit(key) * limit_factor;
        if limit < 1.0 {
            self.slots(key, limit_factor) as f64 / limit
        } else {
            1.0
        }
    }
}
