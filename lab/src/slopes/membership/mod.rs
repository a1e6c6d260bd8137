//! Cost of membership changes: of single endpoints, of a zone, and of whole lists.
//!
//! Each is measured twice: for the decisions alone, and from the JSON text of discovery's response through the
//! program's own translator.

mod change;

use super::endpoints::{Endpoint, EndpointState, Endpoints, list_text, parse_backends};
use super::quantity::Quantity;
use super::scenario::Changes;
use super::stopwatch::Stopwatch;
use super::virtual_proxy::VirtualProxy;
use change::EndpointChange;
use rand::rngs::SmallRng;
use rand::seq::index;
use std::collections::BTreeMap;
use std::time::Duration;
use tillerproxy::api::{Backend, MembershipEvent};
use tillerproxy::proxy::discovery::{DiscoveryError, Translator};

/// Requests between two changes, so that the load stays typical.
const REQUESTS_BETWEEN: u32 = 20;
/// Fleets smaller than this have their zones and lists measured more often, as that takes little time.
const FULL_FLEET: u32 = 1_000;
/// How many times as often at most.
const MAX_REPEATS: u32 = 25;
/// The zone that changes as a whole; the measured proxy is in zone 0.
const CHANGED_ZONE: u32 = 1;

/// The form in which a change is handed to the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Input {
    /// Backends, for the decisions.
    Backends,
    /// The text of a response, for the translator.
    Text,
}

/// The quantities that changes of a zone and of whole lists are the cost of.
struct ListQuantities {
    zone_delta: Quantity,
    list_unchanged: Quantity,
    list_replaced: Quantity,
}

impl Input {
    fn list_quantities(self) -> ListQuantities {
        match self {
            Self::Backends => ListQuantities {
                zone_delta: Quantity::ZoneDelta,
                list_unchanged: Quantity::ListUnchanged,
                list_replaced: Quantity::ListReplaced,
            },
            Self::Text => ListQuantities {
                zone_delta: Quantity::ZoneDeltaFromText,
                list_unchanged: Quantity::ListUnchangedFromText,
                list_replaced: Quantity::ListReplacedFromText,
            },
        }
    }
}

/// The body of one response of discovery.
struct Response {
    complete: bool,
    text: Vec<u8>,
}

impl Response {
    fn event<'a>(&self, backends: &'a [Backend]) -> MembershipEvent<'a> {
        if self.complete {
            MembershipEvent::Full(backends)
        } else {
            MembershipEvent::Delta(backends)
        }
    }
}

/// Processor time summed over changes.
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

    /// Returns the nanoseconds of one change on average.
    fn mean(&self) -> f64 {
        self.time.as_nanos() as f64 / f64::from(self.changes.max(1))
    }
}

/// A measured proxy together with the state of discovery.
pub struct MembershipBench<'a> {
    proxy: &'a mut VirtualProxy,
    translator: &'a mut Translator,
    stopwatch: &'a Stopwatch,
    random: &'a mut SmallRng,
    revision: u64,
}

impl<'a> MembershipBench<'a> {
    /// Makes a bench for a proxy that has read the list that `translator` has parsed, in revision 1.
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

    /// Measures the nanoseconds of processor time of each kind of change. `endpoints` are those that the proxy
    /// has; `replacements` are as many others. Afterwards the proxy has `endpoints` again.
    ///
    /// # Errors
    /// Where the translator rejects a response.
    pub fn measure(
        &mut self,
        input: Input,
        endpoints: &Endpoints,
        replacements: &Endpoints,
        changes: &Changes,
    ) -> Result<BTreeMap<Quantity, f64>, DiscoveryError> {
        let repeats = repeats(endpoints);
        let zone_count = changes.zones * repeats;
        let list_count = changes.lists * repeats;
        let quantities = input.list_quantities();
        let mut figures = self.endpoint_changes(input, endpoints, changes.entries)?;
        let zone_delta = self.zone_changes(input, endpoints, zone_count)?;
        let unchanged = self.unchanged_lists(input, endpoints, list_count)?;
        let replaced = self.replaced_lists(input, endpoints, replacements, list_count)?;
        figures.insert(quantities.zone_delta, zone_delta);
        figures.insert(quantities.list_unchanged, unchanged);
        figures.insert(quantities.list_replaced, replaced);
        Ok(figures)
    }

    /// Measures deltas of one endpoint, at least `min_count` of each kind. From text only the mean over the
    /// kinds is returned.
    fn endpoint_changes(
        &mut self,
        input: Input,
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
                total.add(self.process(input, &responses)?, responses.len());
            }
        }
        Ok(endpoint_figures(input, &totals))
    }

    /// Measures changes of a whole zone, which drains and is ready again in turn.
    fn zone_changes(
        &mut self,
        input: Input,
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
            let response = self.delta(&endpoints.of_zone(CHANGED_ZONE, state));
            total.add(self.process(input, &[response])?, 1);
        }
        Ok(total.mean())
    }

    /// Measures a whole list after the same list.
    fn unchanged_lists(
        &mut self,
        input: Input,
        endpoints: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let first = self.complete_list(endpoints);
        self.process(input, &[first])?;
        let responses: Vec<Response> = (0..count).map(|_| self.complete_list(endpoints)).collect();
        let time = self.process(input, &responses)?;
        Ok(time.as_nanos() as f64 / f64::from(count))
    }

    /// Measures a whole list after one that has no backend in common with it. Ends with `endpoints`.
    fn replaced_lists(
        &mut self,
        input: Input,
        endpoints: &Endpoints,
        replacements: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let mut total = TotalCost::default();
        for _ in 0..count.div_ceil(2) {
            for next in [replacements, endpoints] {
                let response = self.complete_list(next);
                total.add(self.process(input, &[response])?, 1);
            }
        }
        Ok(total.mean())
    }

    fn delta(&mut self, endpoints: &[Endpoint]) -> Response {
        self.revision += 1;
        Response {
            complete: false,
            text: list_text(self.revision, false, endpoints),
        }
    }

    fn complete_list(&mut self, endpoints: &Endpoints) -> Response {
        self.revision += 1;
        Response {
            complete: true,
            text: list_text(self.revision, true, endpoints.all()),
        }
    }

    /// Hands these responses to the proxy, one after another, and returns the processor time that it takes.
    /// Lets requests arrive afterwards.
    fn process(
        &mut self,
        input: Input,
        responses: &[Response],
    ) -> Result<Duration, DiscoveryError> {
        let time = match input {
            Input::Backends => self.process_backends(responses)?,
            Input::Text => self.process_text(responses)?,
        };
        self.proxy.warm_up(REQUESTS_BETWEEN);
        Ok(time)
    }

    /// Measures the decisions alone; the responses are parsed before.
    fn process_backends(&mut self, responses: &[Response]) -> Result<Duration, DiscoveryError> {
        let mut parsed = Vec::new();
        for response in responses {
            parsed.push(parse_backends(self.translator, &response.text)?);
        }
        let proxy = &mut *self.proxy;
        let time = self.stopwatch.time(|| {
            for (response, backends) in responses.iter().zip(&parsed) {
                proxy.update(response.event(backends));
            }
        });
        Ok(time)
    }

    /// Measures the translator and the decisions together.
    fn process_text(&mut self, responses: &[Response]) -> Result<Duration, DiscoveryError> {
        let proxy = &mut *self.proxy;
        let translator = &mut *self.translator;
        let mut outcome = Ok(());
        let time = self.stopwatch.time(|| {
            outcome = process_texts(proxy, translator, responses);
        });
        outcome?;
        Ok(time)
    }
}

fn process_texts(
    proxy: &mut VirtualProxy,
    translator: &mut Translator,
    responses: &[Response],
) -> Result<(), DiscoveryError> {
    for response in responses {
        let backends = parse_backends(translator, &response.text)?;
        proxy.update(response.event(&backends));
    }
    Ok(())
}

/// Returns the mean cost of each kind of change, and that over the kinds.
fn endpoint_figures(
    input: Input,
    totals: &[TotalCost; EndpointChange::ALL.len()],
) -> BTreeMap<Quantity, f64> {
    let mean = totals.iter().map(TotalCost::mean).sum::<f64>() / totals.len() as f64;
    let mut figures = BTreeMap::new();
    match input {
        Input::Text => {
            figures.insert(Quantity::EntryFromText, mean);
        }
        Input::Backends => {
            figures.insert(Quantity::Entry, mean);
            for (change, total) in EndpointChange::ALL.into_iter().zip(totals) {
                figures.insert(change.quantity(), total.mean());
            }
        }
    }
    figures
}

/// Returns how many times as often as the scenario says zones and lists of a fleet are measured.
fn repeats(endpoints: &Endpoints) -> u32 {
    let backends = endpoints.all().len().max(1) as u32;
    (FULL_FLEET / backends).clamp(1, MAX_REPEATS)
}

/// Returns the bytes of discovery's responses, without heads: an endpoint, a delta of one, a zone's delta, and
/// a whole list.
#[must_use]
pub fn wire_sizes(endpoints: &Endpoints) -> BTreeMap<Quantity, f64> {
    let length = |complete, members: &[Endpoint]| list_text(1, complete, members).len() as f64;
    let all = endpoints.all();
    let list = length(true, all);
    let empty_list = length(true, &[]);
    // One more comma than the list has makes one for each endpoint.
    let per_endpoint = (list - empty_list + 1.0) / all.len() as f64;
    let zone = endpoints.of_zone(CHANGED_ZONE, EndpointState::Draining);
    BTreeMap::from([
        (Quantity::EntryBytes, per_endpoint),
        (Quantity::DeltaOfOneBytes, length(false, &all[..1])),
        (Quantity::ZoneDeltaBytes, length(false, &zone)),
        (Quantity::ListBytes, list),
    ])
}
