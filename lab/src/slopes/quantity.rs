//! Measured quantities and their units.

use serde::Serialize;

/// A measured quantity. Costs are the processor time of one event unless the description says otherwise.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Arrival of a request (`Event::Request`), mean.
    Request,
    /// End of an attempt (`Event::AttemptEnded`), mean.
    RequestEnd,
    /// All events of a request together: its arrival, the ends of its attempts and its timers; mean.
    WholeRequest,
    /// Processor time of an arrival, median.
    RequestP50,
    /// Processor time of an arrival, 99th percentile.
    RequestP99,
    /// Processor time of the end of an attempt, 99th percentile.
    RequestEndP99,
    /// Wall time of an arrival, median. Wall time includes the time that other processes take on the machine.
    RequestWallP50,
    /// Wall time of an arrival, 99th percentile.
    RequestWallP99,
    /// Wall time of the end of an attempt, 99th percentile.
    RequestEndWallP99,
    /// Membership delta of one endpoint, mean over the five kinds of change below.
    Entry,
    /// Delta of one endpoint that begins to drain.
    EntryDrain,
    /// Delta of one draining endpoint that becomes ready again.
    EntryReady,
    /// Delta of one endpoint whose process has restarted.
    EntryRestart,
    /// Delta of one endpoint that is removed.
    #[serde(rename = "entry_gone")]
    EntryRemove,
    /// Delta of one endpoint that joins.
    EntryJoin,
    /// Delta of all endpoints of a zone, which begin to drain or become ready again.
    ZoneDelta,
    /// Complete list that equals the list before.
    ListUnchanged,
    /// Complete list that has no backend in common with the list before.
    ListReplaced,
    /// [`Quantity::Entry`] including the translation of discovery's JSON response.
    EntryFromText,
    /// [`Quantity::ZoneDelta`] including the translation of the response.
    ZoneDeltaFromText,
    /// [`Quantity::ListUnchanged`] including the translation of the response.
    ListUnchangedFromText,
    /// [`Quantity::ListReplaced`] including the translation of the response.
    ListReplacedFromText,
    /// Bytes of one endpoint in the body of a response.
    EntryBytes,
    /// Bytes of the body of a delta of one endpoint.
    DeltaOfOneBytes,
    /// Bytes of the body of a zone's delta.
    ZoneDeltaBytes,
    /// Bytes of the body of a complete list.
    ListBytes,
    /// Bytes of heap of the balancer under load.
    BalancerMemory,
    /// Bytes of heap of the translator of discovery's responses.
    TranslatorMemory,
}

/// Unit of a [`Quantity`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Nanoseconds.
    Nanoseconds,
    /// Bytes.
    Bytes,
}

impl Quantity {
    /// Every quantity, in the order of reports.
    pub const ALL: [Self; 28] = [
        Self::Request,
        Self::RequestEnd,
        Self::WholeRequest,
        Self::RequestP50,
        Self::RequestP99,
        Self::RequestEndP99,
        Self::RequestWallP50,
        Self::RequestWallP99,
        Self::RequestEndWallP99,
        Self::Entry,
        Self::EntryDrain,
        Self::EntryReady,
        Self::EntryRestart,
        Self::EntryRemove,
        Self::EntryJoin,
        Self::ZoneDelta,
        Self::ListUnchanged,
        Self::ListReplaced,
        Self::EntryFromText,
        Self::ZoneDeltaFromText,
        Self::ListUnchangedFromText,
        Self::ListReplacedFromText,
        Self::EntryBytes,
        Self::DeltaOfOneBytes,
        Self::ZoneDeltaBytes,
        Self::ListBytes,
        Self::BalancerMemory,
        Self::TranslatorMemory,
    ];

    /// Returns the unit of the quantity.
    #[must_use]
    pub fn unit(self) -> Unit {
        match self {
            Self::EntryBytes
            | Self::DeltaOfOneBytes
            | Self::ZoneDeltaBytes
            | Self::ListBytes
            | Self::BalancerMemory
            | Self::TranslatorMemory => Unit::Bytes,
            _ => Unit::Nanoseconds,
        }
    }

    /// Returns the name of the quantity in tables.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Request => "request arrives",
            Self::RequestEnd => "request ends",
            Self::WholeRequest => "request, all events",
            Self::RequestP50 => "arrival, p50",
            Self::RequestP99 => "arrival, p99",
            Self::RequestEndP99 => "end, p99",
            Self::RequestWallP50 => "arrival, wall p50",
            Self::RequestWallP99 => "arrival, wall p99",
            Self::RequestEndWallP99 => "end, wall p99",
            Self::Entry => "one entry changed",
            Self::EntryDrain => "  drains",
            Self::EntryReady => "  ready again",
            Self::EntryRestart => "  new process",
            Self::EntryRemove => "  gone",
            Self::EntryJoin => "  joins",
            Self::ZoneDelta => "zone changed",
            Self::ListUnchanged => "list, unchanged",
            Self::ListReplaced => "list, all replaced",
            Self::EntryFromText => "one entry, from text",
            Self::ZoneDeltaFromText => "zone, from text",
            Self::ListUnchangedFromText => "list unchanged, from text",
            Self::ListReplacedFromText => "list replaced, from text",
            Self::EntryBytes => "bytes of an entry",
            Self::DeltaOfOneBytes => "bytes of a delta of one",
            Self::ZoneDeltaBytes => "bytes of a zone's delta",
            Self::ListBytes => "bytes of a list",
            Self::BalancerMemory => "heap of the decisions",
            Self::TranslatorMemory => "heap of the translator",
        }
    }

    /// Returns the name of the quantity in result files, which is its serialized name.
    #[must_use]
    pub fn key(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|value| value.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}
