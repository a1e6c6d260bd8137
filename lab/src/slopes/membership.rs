//! Cost of membership changes: of single entries, of a zone, of whole lists; for the decisions alone, and
//! from the JSON text of discovery's answer through the program's own translator.

use super::endpoints::{Endpoint, Endpoints, Phase, answer_text, entries_of};
use super::quantity::Quantity;
use super::scenario::Changes;
use super::stopwatch::Stopwatch;
use super::virtual_proxy::VirtualProxy;
use rand::rngs::SmallRng;
use rand::seq::index;
use std::collections::BTreeMap;
use std::time::Duration;
use tillerproxy::api::{Backend, MembershipEvent};
use tillerproxy::proxy::discovery::{DiscoveryError, Translator};

/// Requests between two kinds of change, so that the load stays typical.
const REQUESTS_BETWEEN: u32 = 20;
/// Fleets smaller than this have their zones and lists measured more often, for they take little time ...
const FULL_FLEET: u32 = 1_000;
/// ... up to so many times.
const MOST_REPEATS: u32 = 25;
/// The zone that changes as a whole; the measured proxy stands in zone 0.
const CHANGED_ZONE: u32 = 1;

/// Where a change enters the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entrance {
    /// The decisions, with entries ready made.
    Decisions,
    /// The translator, with the text of an answer.
    Text,
}

/// A change of one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryChange {
    Drain,
    Ready,
    Restart,
    Gone,
    Join,
}

/// The body of one answer of discovery.
struct Answer {
    complete: bool,
    text: Vec<u8>,
}

/// A measured proxy together with the state of discovery.
pub struct MembershipBench<'a> {
    proxy: &'a mut VirtualProxy,
    translator: &'a mut Translator,
    stopwatch: &'a Stopwatch,
    random: &'a mut SmallRng,
    revision: u64,
}

/// Processor time summed over events.
#[derive(Clone, Copy, Default)]
struct Total {
    time: Duration,
    events: u32,
}

impl Total {
    fn add(&mut self, time: Duration, events: usize) {
        self.time += time;
        self.events += u32::try_from(events).unwrap_or(u32::MAX);
    }

    fn mean(&self) -> f64 {
        self.time.as_nanos() as f64 / f64::from(self.events.max(1))
    }
}

impl EntryChange {
    /// In the order of a backend's life; after all of them it is listed again.
    const ALL: [Self; 5] = [
        Self::Drain,
        Self::Ready,
        Self::Restart,
        Self::Gone,
        Self::Join,
    ];

    fn quantity(self) -> Quantity {
        match self {
            Self::Drain => Quantity::EntryDrain,
            Self::Ready => Quantity::EntryReady,
            Self::Restart => Quantity::EntryRestart,
            Self::Gone => Quantity::EntryGone,
            Self::Join => Quantity::EntryJoin,
        }
    }

    fn apply(self, endpoint: &Endpoint, unix_ms: u64) -> Endpoint {
        match self {
            Self::Drain => endpoint.in_phase(Phase::Leaving),
            Self::Ready => endpoint.in_phase(Phase::Active),
            Self::Gone => endpoint.in_phase(Phase::Left),
            Self::Restart | Self::Join => endpoint.restarted_at(unix_ms).in_phase(Phase::Active),
        }
    }
}

impl Answer {
    fn membership<'a>(&self, entries: &'a [Backend]) -> MembershipEvent<'a> {
        if self.complete {
            MembershipEvent::Full(entries)
        } else {
            MembershipEvent::Delta(entries)
        }
    }
}

impl<'a> MembershipBench<'a> {
    /// Changes what `proxy` knows, which is what `translator` has read.
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

    /// Nanoseconds of processor time of each kind of change. `endpoints` are what the proxy knows;
    /// `strangers` are as many others. Afterwards the proxy knows `endpoints` again.
    ///
    /// # Errors
    /// Where the translator refuses an answer.
    pub fn measure(
        &mut self,
        entrance: Entrance,
        endpoints: &Endpoints,
        strangers: &Endpoints,
        changes: &Changes,
    ) -> Result<BTreeMap<Quantity, f64>, DiscoveryError> {
        let repeats = repeats(endpoints);
        let (zones, lists) = (changes.zones * repeats, changes.lists * repeats);
        let mut figures = self.entry_changes(entrance, endpoints, changes.entries)?;
        let zone = self.zone_changes(entrance, endpoints, zones)?;
        let unchanged = self.unchanged_lists(entrance, endpoints, lists)?;
        let replaced = self.replaced_lists(entrance, endpoints, strangers, lists)?;
        let (zone_name, unchanged_name, replaced_name) = match entrance {
            Entrance::Decisions => (
                Quantity::ZoneDelta,
                Quantity::ListUnchanged,
                Quantity::ListReplaced,
            ),
            Entrance::Text => (
                Quantity::ZoneDeltaFromText,
                Quantity::ListUnchangedFromText,
                Quantity::ListReplacedFromText,
            ),
        };
        figures.insert(zone_name, zone);
        figures.insert(unchanged_name, unchanged);
        figures.insert(replaced_name, replaced);
        Ok(figures)
    }

    /// Deltas of one. From text only the mean over their kinds is told.
    fn entry_changes(
        &mut self,
        entrance: Entrance,
        endpoints: &Endpoints,
        least: u32,
    ) -> Result<BTreeMap<Quantity, f64>, DiscoveryError> {
        let all = endpoints.all();
        let at_once = (all.len() / 2).clamp(1, least as usize);
        let rounds = least.div_ceil(at_once as u32);
        let mut totals = [Total::default(); EntryChange::ALL.len()];
        for _ in 0..rounds {
            let chosen = index::sample(self.random, all.len(), at_once).into_vec();
            for (change, total) in EntryChange::ALL.into_iter().zip(&mut totals) {
                let unix_ms = self.proxy.unix_ms();
                let answers: Vec<Answer> = chosen
                    .iter()
                    .map(|&i| self.delta(&[change.apply(&all[i], unix_ms)]))
                    .collect();
                total.add(self.tell(entrance, &answers)?, answers.len());
            }
        }
        let mean = totals.iter().map(Total::mean).sum::<f64>() / totals.len() as f64;
        let mut figures = BTreeMap::new();
        if entrance == Entrance::Text {
            figures.insert(Quantity::EntryFromText, mean);
            return Ok(figures);
        }
        figures.insert(Quantity::Entry, mean);
        let kinds = EntryChange::ALL.into_iter().map(EntryChange::quantity);
        figures.extend(kinds.zip(totals.iter().map(Total::mean)));
        Ok(figures)
    }

    /// One zone drains and is ready again.
    fn zone_changes(
        &mut self,
        entrance: Entrance,
        endpoints: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let mut total = Total::default();
        for turn in 0..count {
            let phase = if turn % 2 == 0 {
                Phase::Leaving
            } else {
                Phase::Active
            };
            let answer = self.delta(&endpoints.of_zone(CHANGED_ZONE, phase));
            total.add(self.tell(entrance, &[answer])?, 1);
        }
        Ok(total.mean())
    }

    /// A whole list after the same list.
    fn unchanged_lists(
        &mut self,
        entrance: Entrance,
        endpoints: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let first = self.list(endpoints);
        self.tell(entrance, &[first])?;
        let answers: Vec<Answer> = (0..count).map(|_| self.list(endpoints)).collect();
        let time = self.tell(entrance, &answers)?;
        Ok(time.as_nanos() as f64 / f64::from(count))
    }

    /// A whole list after one that has no backend in common with it. Ends with `endpoints`.
    fn replaced_lists(
        &mut self,
        entrance: Entrance,
        endpoints: &Endpoints,
        strangers: &Endpoints,
        count: u32,
    ) -> Result<f64, DiscoveryError> {
        let mut total = Total::default();
        for _ in 0..count.div_ceil(2) {
            for next in [strangers, endpoints] {
                let answer = self.list(next);
                total.add(self.tell(entrance, &[answer])?, 1);
            }
        }
        Ok(total.mean())
    }

    fn delta(&mut self, members: &[Endpoint]) -> Answer {
        self.revision += 1;
        Answer {
            complete: false,
            text: answer_text(self.revision, false, members),
        }
    }

    fn list(&mut self, endpoints: &Endpoints) -> Answer {
        self.revision += 1;
        Answer {
            complete: true,
            text: answer_text(self.revision, true, endpoints.all()),
        }
    }

    /// Tells the proxy of these answers, one after another; the processor time that it takes. Requests come
    /// in afterwards.
    fn tell(&mut self, entrance: Entrance, answers: &[Answer]) -> Result<Duration, DiscoveryError> {
        let time = match entrance {
            Entrance::Decisions => self.tell_entries(answers)?,
            Entrance::Text => self.tell_text(answers)?,
        };
        self.proxy.warm_up(REQUESTS_BETWEEN);
        Ok(time)
    }

    fn tell_entries(&mut self, answers: &[Answer]) -> Result<Duration, DiscoveryError> {
        let mut prepared = Vec::new();
        for answer in answers {
            prepared.push(entries_of(self.translator, &answer.text)?);
        }
        let proxy = &mut *self.proxy;
        let updates = answers.iter().zip(&prepared);
        Ok(self.stopwatch.time(|| {
            updates.for_each(|(answer, entries)| proxy.update(answer.membership(entries)));
        }))
    }

    fn tell_text(&mut self, answers: &[Answer]) -> Result<Duration, DiscoveryError> {
        let (proxy, translator) = (&mut *self.proxy, &mut *self.translator);
        let mut outcome = Ok(());
        let time = self.stopwatch.time(|| {
            outcome = answers.iter().try_for_each(|answer| {
                let entries = entries_of(translator, &answer.text)?;
                proxy.update(answer.membership(&entries));
                Ok(())
            });
        });
        outcome.map(|()| time)
    }
}

/// How many times as often as the scenario says zones and lists of a fleet are measured.
fn repeats(endpoints: &Endpoints) -> u32 {
    let backends = endpoints.all().len().max(1) as u32;
    (FULL_FLEET / backends).clamp(1, MOST_REPEATS)
}

/// Bytes of discovery's answers: an entry, a delta of one, a zone's delta, a whole list. Heads are not
/// counted.
#[must_use]
pub fn wire_sizes(endpoints: &Endpoints) -> BTreeMap<Quantity, f64> {
    let length = |complete, members: &[Endpoint]| answer_text(1, complete, members).len() as f64;
    let all = endpoints.all();
    let list = length(true, all);
    let without_entries = length(true, &[]);
    BTreeMap::from([
        // Entries are parted by a comma.
        (
            Quantity::EntryBytes,
            (list - without_entries + 1.0) / all.len() as f64,
        ),
        (Quantity::DeltaOfOneBytes, length(false, &all[..1])),
        (
            Quantity::ZoneDeltaBytes,
            length(false, &endpoints.of_zone(CHANGED_ZONE, Phase::Leaving)),
        ),
        (Quantity::ListBytes, list),
    ])
}
