//! The quantities that are measured, with their units.

use serde::Serialize;

/// What a figure is. Costs are the processor time of one event unless the name says otherwise.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// `Event::Request`: the arrival of a request.
    Request,
    /// `Event::AttemptEnded`: the end of an attempt.
    RequestEnd,
    /// All events of a request together: its arrival, its ends and its timers.
    WholeRequest,
    /// Processor time of an arrival, median.
    RequestP50,
    /// Processor time of an arrival, 99th percentile.
    RequestP99,
    /// Processor time of an end, 99th percentile.
    RequestEndP99,
    /// Wall time of an arrival, median. Wall time includes what other processes of the machine take.
    RequestWallP50,
    /// Wall time of an arrival, 99th percentile.
    RequestWallP99,
    /// Wall time of an end, 99th percentile.
    RequestEndWallP99,
    /// A delta of one endpoint, mean over the kinds of change below.
    Entry,
    /// A delta of one: a backend begins to drain.
    EntryDrain,
    /// A delta of one: a draining backend is ready again.
    EntryReady,
    /// A delta of one: a backend has a new process.
    EntryRestart,
    /// A delta of one: a backend is removed.
    #[serde(rename = "entry_gone")]
    EntryRemove,
    /// A delta of one: a backend joins.
    EntryJoin,
    /// A delta of all endpoints of a zone, draining or ready again.
    ZoneDelta,
    /// A complete list without a change.
    ListUnchanged,
    /// A complete list without any of the backends of the one before.
    ListReplaced,
    /// As [`Quantity::Entry`], from the JSON text of discovery's response.
    EntryFromText,
    /// As [`Quantity::ZoneDelta`], from text.
    ZoneDeltaFromText,
    /// As [`Quantity::ListUnchanged`], from text.
    ListUnchangedFromText,
    /// As [`Quantity::ListReplaced`], from text.
    ListReplacedFromText,
    /// Bytes of one endpoint in a list.
    EntryBytes,
    /// Bytes of the body of a delta of one.
    DeltaOfOneBytes,
    /// Bytes of the body of a zone's delta.
    ZoneDeltaBytes,
    /// Bytes of the body of a complete list.
    ListBytes,
    /// Heap of the decisions under load.
    BalancerMemory,
    /// Heap of the translator of discovery's responses.
    TranslatorMemory,
}

/// Unit of a quantity.
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

    /// Returns its unit.
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

    /// Returns its name in tables.
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

    /// Returns its name in files, as in the JSON result.
    #[must_use]
    pub fn key(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|value| value.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}
