//! Evaluation of each backend's position in the selection index and of its slot offset, the fraction from 0 to 1 that
//! is added to its limit before it is rounded down to slots.

use super::Balancer;
use super::backends::{BackendKey, BackendState};
use super::index::{Change, Group, Position};
use super::limits::LimitSource;
use super::outliers::OutlierState;
use crate::api::Micros;
use crate::spread::GOLDEN_RATIO_FRACTION;

impl Balancer {
    /// Evaluates a backend's position and slot offset again. Must be called whenever state that [`position`] reads has
    /// changed.
    pub(super) fn reindex(&mut self, now: Micros, key: BackendKey) {
        if self.backends[key].in_flight.count() == 0 {
            self.refill_slow_start(now, key);
        }
        let slot_offset = self.slot_offset(key);
        let backend = &mut self.backends[key];
        let (position, valid_until) = position(now, backend);
        let group = self.index.group(backend.index_entry.group);
        backend.index_entry.slot_offset = slot_offset;
        backend.index_entry.slot_offset_version = group.map_or(0, Group::version);
        self.index.set_position(key, backend, position, valid_until);
    }

    /// Evaluates the positions whose recheck is due.
    pub(super) fn reindex_due(&mut self, now: Micros) {
        while let Some(key) = self.index.pop_due_recheck(now, &mut self.backends) {
            self.reindex(now, key);
        }
    }

    /// Applies a batch of membership changes to the index and evaluates the positions that may have changed.
    pub(super) fn apply_changes(&mut self, now: Micros, changes: Vec<Change>) {
        let proxy_index = self.settings.proxy_index;
        let offset = |rank, members| unwrapped_slot_offset(proxy_index, rank, members);
        let to_evaluate = self.index.apply(changes, &self.backends, offset);
        for key in to_evaluate {
            self.reindex(now, key);
        }
    }

    /// Returns the slot offset, from 0 to 1, of the member at `rank` in a group.
    pub(super) fn slot_offset_of_rank(&self, group: &Group, rank: usize) -> f64 {
        let members = group.members().len();
        unwrapped_slot_offset(self.settings.proxy_index, rank, members).fract()
    }

    /// Returns a backend's slot offset, from 0 to 1.
    ///
    /// The offset is computed from the present members of the backend's group. A backend that is no longer a member
    /// keeps its last offset.
    pub(super) fn slot_offset(&self, key: BackendKey) -> f64 {
        let backend = &self.backends[key];
        let entry = &backend.index_entry;
        let Some(group) = self.index.group(entry.group) else {
            return entry.slot_offset;
        };
        if group.version() == entry.slot_offset_version {
            return entry.slot_offset;
        }
        match group.members().rank(backend.id) {
            Some(rank) => self.slot_offset_of_rank(group, rank),
            None => entry.slot_offset,
        }
    }
}

/// Returns a backend's position and the time until which it is valid; `None` if it is valid until the state changes.
/// Conditions that depend on the request are checked in `selection`.
fn position(now: Micros, backend: &BackendState) -> (Position, Option<Micros>) {
    if !backend.ready {
        return (Position::Excluded, None);
    }
    if backend.in_flight.count() > 0 {
        return (Position::Compared, None);
    }
    match backend.outlier_detector.state(now) {
        OutlierState::Ejected(until) => return (Position::Excluded, Some(until)),
        OutlierState::HalfOpen => return (Position::Compared, None),
        OutlierState::Healthy => {}
    }
    if now < backend.rejecting_until {
        return (Position::Excluded, Some(backend.rejecting_until));
    }
    if let Some(budget) = &backend.slow_start
        && !budget.has_stored_token()
    {
        return (Position::Excluded, Some(budget.next_token_check_at()));
    }
    if backend.recent_latency.value(now) > 1.0 {
        let expires_at = backend.recent_latency.expires_at();
        return (Position::Compared, Some(expires_at));
    }
    if backend.limit.source() == LimitSource::MachineType {
        return (Position::Indexed, None);
    }
    (Position::Compared, None)
}

/// Returns a slot offset before it is wrapped to 0..1.
///
/// The offsets of one proxy are spaced evenly over the backends of a group, and those of all proxies evenly over each
/// backend. Random offsets would leave some proxies without a slot.
///
/// With proxy index 0, four backends have the offsets 0, 0.25, 0.5 and 0.75. With index 1 each offset is 0.618 higher:
/// 0.618, 0.868, 1.118 and 1.368, which wrap to 0.618, 0.868, 0.118 and 0.368.
fn unwrapped_slot_offset(proxy_index: u32, rank: usize, members: usize) -> f64 {
    rank as f64 / members as f64 + f64::from(proxy_index) * GOLDEN_RATIO_FRACTION
}
