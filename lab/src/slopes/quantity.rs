//! Measured quantities and their units.

use serde::Serialize;

/// A measured quantity: a cost in processor or wall time, or a size in bytes. The costs of membership changes are mean
/// processor times, of the balancer alone unless the translator is named.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Mean processor time to handle the arrival of a request (`Event::Request`).
    Request,
    /// Mean processor time to handle the end of an attempt (`Event::AttemptEnded`).
    RequestEnd,
    /// Mean processor time of all events of a request: its arrival, the ends of its attempts and its timers.
    WholeRequest,
    /// Median processor time to handle the arrival of a request.
    RequestP50,
    /// 99th percentile of the processor time to handle the arrival of a request.
    RequestP99,
    /// 99th percentile of the processor time to handle the end of an attempt.
    RequestEndP99,
    /// Median wall time to handle the arrival of a request. Wall time includes the time for which other processes
    /// occupy the core.
    RequestWallP50,
    /// 99th percentile of the wall time to handle the arrival of a request.
    RequestWallP99,
    /// 99th percentile of the wall time to handle the end of an attempt.
    RequestEndWallP99,
    /// Cost of a membership delta of one endpoint: the mean of [`Self::EntryDrain`], [`Self::EntryReady`],
    /// [`Self::EntryRestart`], [`Self::EntryRemove`] and [`Self::EntryJoin`].
    Entry,
    /// Cost of a delta of one endpoint that begins to drain.
    EntryDrain,
    /// Cost of a delta of one draining endpoint that becomes ready again.
    EntryReady,
    /// Cost of a delta of one endpoint whose process has restarted.
    EntryRestart,
    /// Cost of a delta that removes one endpoint.
    #[serde(rename = "entry_gone")]
    EntryRemove,
    /// Cost of a delta of one removed endpoint that joins again.
    EntryJoin,
    /// Cost of a delta of all endpoints of a zone, which begin to drain or become ready again.
    ZoneDelta,
    /// Cost of a complete list that equals the previous list.
    ListUnchanged,
    /// Cost of a complete list that has no backend in common with the previous list.
    ListReplaced,
    /// Cost of [`Self::Entry`] together with the translation of discovery's JSON response.
    EntryFromText,
    /// Cost of [`Self::ZoneDelta`] together with the translation of the response.
    ZoneDeltaFromText,
    /// Cost of [`Self::ListUnchanged`] together with the translation of the response.
    ListUnchangedFromText,
    /// Cost of [`Self::ListReplaced`] together with the translation of the response.
    ListReplacedFromText,
    /// Bytes of one endpoint in the body of a discovery response.
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
