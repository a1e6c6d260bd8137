//! Measures the cost of membership changes: of single endpoints, of a zone, and of complete lists.
//!
//! Each change is measured twice: for the balancer alone, and for the balancer together with tillerproxy's own
//! translator of discovery's JSON responses.

mod change;

use super::endpoints::{Endpoints, parse_backends, serialize_list};
use super::quantity::Quantity;
use super::scenario::Changes;
use super::stopwatch::Stopwatch;
use super::virtual_proxy::VirtualProxy;
use crate::endpoint_list::{Endpoint, EndpointState};
use change::EndpointChange;
use rand::rngs::SmallRng;
use rand::seq::index;
use std::collections::BTreeMap;
use std::time::Duration;
use tillerproxy::api::{Backend, MembershipEvent};
use tillerproxy::proxy::discovery::{DiscoveryError, Translator};

/// Number of requests that arrive between two measured batches of responses and keep the proxy under load.
const REQUESTS_BETWEEN_CHANGES: u32 = 20;
/// Number of backends below which changes of zones and lists are measured more often, because each change then takes
/// little time.
const LARGE_FLEET_BACKENDS: u32 = 1_000;
/// Maximum factor by which changes of zones and lists are measured more often in small fleets.
const MAX_REPEAT_FACTOR: u32 = 25;
/// Zone that changes as a whole; the measured proxy is in zone 0.
const CHANGED_ZONE: u32 = 1;

/// Components of the proxy whose processor time is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasuredComponents {
    /// The balancer alone, which receives backends parsed beforehand.
    Balancer,
    /// The translator, which parses the body of a response, and the balancer.
    TranslatorAndBalancer,
}

/// Quantities that record the cost of changes of a zone and of complete lists.
struct ListQuantities {
    zone_delta: Quantity,
    list_unchanged: Quantity,
    list_replaced: Quantity,
}

impl MeasuredComponents {
    /// Returns the quantities that record the costs of zones and lists for these components.
    fn list_quantities(self) -> ListQuantities {
        match self {
            Self::Balancer => ListQuantities {
                zone_delta: Quantity::ZoneDelta,
                list_unchanged: Quantity::ListUnchanged,
                list_replaced: Quantity::ListReplaced,
            },
            Self::TranslatorAndBalancer => ListQuantities {
                zone_delta: Quantity::ZoneDeltaFromText,
                list_unchanged: Quantity::ListUnchangedFromText,
                list_replaced: Quantity::ListReplacedFromText,
            },
        }
    }
}

/// A response of the discovery service.
struct Response {
    /// Whether the response holds the complete list rather than a delta.
    complete: bool,
    /// JSON body.
    body: Vec<u8>,
}

impl Response {
    /// Returns the membership event that passes the backends parsed from this response to the balancer.
    fn event<'a>(&self, backends: &'a [Backend]) -> MembershipEvent<'a> {
        if self.complete {
            MembershipEvent::Full(backends)
        } else {
            MembershipEvent::Delta(backends)
        }
    }
}

/// Total processor time of a number of membership changes.
#[derive(Clone, Copy, Default)]
struct TotalCost {
    time: Duration,
    changes: u32,
}

impl TotalCost {
    fn add(&mut self, time: Duration, changes: usize) {
        self.time += time;
        self.changes += u32::try_from(changes).unwrap_or(u32::MAX);
    }

    /// Returns the mean processor time of a change in nanoseconds; 0 without changes.
    fn mean_nanoseconds(&self) -> f64 {
        self.time.as_nanos() as f64 / f64::from(self.changes.max(1))
    }
}

/// Measures membership changes of one proxy.
pub struct MembershipBench<'a> {
    proxy: &'a mut VirtualProxy,
    translator: &'a mut Translator,
    stopwatch: &'a Stopwatch,
    random: &'a mut SmallRng,
    /// Revision of the latest response.
    revision: u64,
}

impl<'a> MembershipBench<'a> {
    /// Creates a bench for a proxy that has received the list in revision 1, parsed by `translator`.
    pub fn new(
        proxy: &'a mut VirtualProxy,
        translator: &'a mut Translator,
        stopwatch: &'a Stopwatch,
        random: &'a mut SmallRng,
    ) -> Self {
        Self {
            proxy,
            translator,
            stopwatch,
            random,
            revision: 1,
        }
    }

    /// Measures the mean processor time of each kind of change in nanoseconds. `endpoints` is the list that the proxy
    /// has before and after the measurement; `replacements` is a list of the same length with other endpoints.
    ///
    /// # Errors
    /// Returns an error if the translator rejects a response.
    pub fn measure(
        &mut self,
        components: MeasuredComponents,
        endpoints: &Endpoints,
        replacements: &Endpoints,
        changes: &Changes,
    ) -> Result<BTreeMap<Quantity, f64>, DiscoveryError> {
        let repeat_factor = repeat_factor(endpoints);
        let zone_count = changes.zones * repeat_factor;
        let list_count = changes.lists * repeat_factor;
        let quantities = components.list_quantities();
        let mut figures = self.measure_endpoint_changes(components, endpoints, changes.entries)?;
        let zone_delta = self.measure_zone_changes(components, endpoints, zone_count)?;
        let unchanged = self.measure_unchanged_lists(components, endpoints, list_count)?;
        let replaced =
            self.measure_replaced_lists(components, endpoints, replacements, list_count)?;
        figures.insert(quantities.zone_delta, zone_delta);
        figures.insert(quantities.list_unchanged, unchanged);
        figures.insert(quantities.list_replaced, replaced);
        Ok(figures)
    }

    /// Measures deltas of one endpoint, at least `min_count` of each kind of change, and returns
    /// [`endpoint_figures`].
    fn measure_endpoint_changes(
        &mut self,
        components: MeasuredComponents,
        endpoints: &Endpoints,
        min_count: u32,
    ) -> Result<BTreeMap<Quantity, f64>, DiscoveryError> {
        let all = endpoints.all();
        let per_round = (all.len() / 2).clamp(1, min_count as usize);
        let rounds = min_count.div_ceil(per_round as u32);
        let mut totals = [TotalCost::default(); EndpointChange::ALL.len()];
        for _ in 0..rounds {
            let chosen = index::sample(self.random, all.len(), per_round).into_vec();
            for (change, total) in EndpointChange::ALL.into_iter().zip(&mut totals) {
                let unix_ms = self.proxy.unix_ms();
                let mut responses = Vec::new();
                for &index in &chosen {
                    let changed = change.apply(&all[index], unix_ms);
                    responses.push(self.delta(&[changed]));
                }
                total.add(self.process(components, &responses)?, responses.len());
            }
        }
        Ok(endpoint_figures(components, &totals))
    }

    /// Measures `count` changes of a whole zone, which alternately begins to drain and becomes ready again. Returns the
    /// mean in nanoseconds.
    fn measure_zone_changes(
        &mut self,
        components: MeasuredComponents,
        endpoints: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let mut total = TotalCost::default();
        for number in 0..count {
            let state = if number % 2 == 0 {
                EndpointState::Draining
            } else {
                EndpointState::Active
            };
            let response = self.delta(&endpoints.in_zone(CHANGED_ZONE, state));
            total.add(self.process(components, &[response])?, 1);
        }
        Ok(total.mean_nanoseconds())
    }

    /// Measures `count` complete lists that each equal the previous list. Returns the mean in nanoseconds.
    fn measure_unchanged_lists(
        &mut self,
        components: MeasuredComponents,
        endpoints: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let first = self.complete_list(endpoints);
        self.process(components, &[first])?;
        let responses: Vec<Response> = (0..count).map(|_| self.complete_list(endpoints)).collect();
        let time = self.process(components, &responses)?;
        Ok(time.as_nanos() as f64 / f64::from(count))
    }

    /// Measures at least `count` complete lists that each have no backend in common with the previous list; the last
    /// list is `endpoints`. Returns the mean in nanoseconds.
    fn measure_replaced_lists(
        &mut self,
        components: MeasuredComponents,
        endpoints: &Endpoints,
        replacements: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let mut total = TotalCost::default();
        for _ in 0..count.div_ceil(2) {
            for next in [replacements, endpoints] {
                let response = self.complete_list(next);
                total.add(self.process(components, &[response])?, 1);
            }
        }
        Ok(total.mean_nanoseconds())
    }

    /// Creates the next response, a delta of these endpoints.
    fn delta(&mut self, endpoints: &[Endpoint]) -> Response {
        self.revision += 1;
        Response {
            complete: false,
            body: serialize_list(self.revision, false, endpoints),
        }
    }

    /// Creates the next response, a complete list.
    fn complete_list(&mut self, endpoints: &Endpoints) -> Response {
        self.revision += 1;
        Response {
            complete: true,
            body: serialize_list(self.revision, true, endpoints.all()),
        }
    }

    /// Processes the responses in order and returns the processor time of the measured components. Afterwards the proxy
    /// handles further requests; their cost is not measured.
    fn process(
        &mut self,
        components: MeasuredComponents,
        responses: &[Response],
    ) -> Result<Duration, DiscoveryError> {
        let time = match components {
            MeasuredComponents::Balancer => self.process_parsed(responses)?,
            MeasuredComponents::TranslatorAndBalancer => self.process_bodies(responses)?,
        };
        self.proxy.warm_up(REQUESTS_BETWEEN_CHANGES);
        Ok(time)
    }

    /// Measures the balancer alone; the responses are parsed beforehand.
    fn process_parsed(&mut self, responses: &[Response]) -> Result<Duration, DiscoveryError> {
        let mut parsed = Vec::new();
        for response in responses {
            parsed.push(parse_backends(self.translator, &response.body)?);
        }
        let proxy = &mut *self.proxy;
        let time = self.stopwatch.time(|| {
            for (response, backends) in responses.iter().zip(&parsed) {
                proxy.update_membership(response.event(backends));
            }
        });
        Ok(time)
    }

    /// Measures the translator and the balancer together.
    fn process_bodies(&mut self, responses: &[Response]) -> Result<Duration, DiscoveryError> {
        let proxy = &mut *self.proxy;
        let translator = &mut *self.translator;
        let mut result = Ok(());
        let time = self.stopwatch.time(|| {
            result = parse_and_update(proxy, translator, responses);
        });
        result?;
        Ok(time)
    }
}

/// Parses each response and updates the proxy's membership.
fn parse_and_update(
    proxy: &mut VirtualProxy,
    translator: &mut Translator,
    responses: &[Response],
) -> Result<(), DiscoveryError> {
    for response in responses {
        let backends = parse_backends(translator, &response.body)?;
        proxy.update_membership(response.event(&backends));
    }
    Ok(())
}

/// Returns the mean processor time over all kinds of change and, for the balancer alone, the mean of each kind, in
/// nanoseconds.
fn endpoint_figures(
    components: MeasuredComponents,
    totals: &[TotalCost; EndpointChange::ALL.len()],
) -> BTreeMap<Quantity, f64> {
    let mean = totals.iter().map(TotalCost::mean_nanoseconds).sum::<f64>() / totals.len() as f64;
    let mut figures = BTreeMap::new();
    match components {
        MeasuredComponents::TranslatorAndBalancer => {
            figures.insert(Quantity::EntryFromText, mean);
        }
        MeasuredComponents::Balancer => {
            figures.insert(Quantity::Entry, mean);
            for (change, total) in EndpointChange::ALL.into_iter().zip(totals) {
                figures.insert(change.quantity(), total.mean_nanoseconds());
            }
        }
    }
    figures
}

/// Returns the factor by which the scenario's numbers of zone and list changes are multiplied in a small fleet.
fn repeat_factor(endpoints: &Endpoints) -> u32 {
    let backends = endpoints.all().len().max(1) as u32;
    (LARGE_FLEET_BACKENDS / backends).clamp(1, MAX_REPEAT_FACTOR)
}

/// Returns the body sizes of discovery's responses in bytes: per endpoint, of a delta of one endpoint, of a delta of a
/// zone, and of a complete list. HTTP heads are not included.
#[must_use]
pub fn response_sizes(endpoints: &Endpoints) -> BTreeMap<Quantity, f64> {
    let length = |complete, members: &[Endpoint]| serialize_list(1, complete, members).len() as f64;
    let all = endpoints.all();
    let list = length(true, all);
    let empty_list = length(true, &[]);
    // A JSON array has one comma fewer than elements; adding 1 counts a comma for each endpoint.
    let per_endpoint = (list - empty_list + 1.0) / all.len() as f64;
    let zone = endpoints.in_zone(CHANGED_ZONE, EndpointState::Draining);
    BTreeMap::from([
        (Quantity::EntryBytes, per_endpoint),
        (Quantity::DeltaOfOneBytes, length(false, &all[..1])),
        (Quantity::ZoneDeltaBytes, length(false, &zone)),
        (Quantity::ListBytes, list),
    ])
}
