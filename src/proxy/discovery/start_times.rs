//! Start times of the backends on the proxy's clock.

use crate::api::{BackendId, Micros};
use crate::proxy::clock::Clock;
use rustc_hash::{FxHashMap, FxHashSet};

/// Converts start times to the proxy's clock, and keeps the results.
///
/// A start time ahead of the proxy's clock is converted to the current time. A second conversion would give a later
/// time, which would look like a restart of the backend.
#[derive(Debug)]
pub(super) struct StartTimes {
    clock: Clock,
    converted: FxHashMap<BackendId, StartTime>,
}

#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// Start time as discovery lists it, in Unix milliseconds.
    unix_ms: u64,
    /// Start time on the proxy's clock; `None` if the backend started long ago.
    started_at: Option<Micros>,
}

impl StartTimes {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            converted: FxHashMap::default(),
        }
    }

    /// Returns the start time of a backend on the proxy's clock; `None` if the backend started long ago. The time is
    /// converted again only if discovery lists another one than before, since the backend has restarted; otherwise the
    /// earlier result is returned.
    pub(super) fn convert(&mut self, id: BackendId, unix_ms: u64) -> Option<Micros> {
        if let Some(known) = self.converted.get(&id)
            && known.unix_ms == unix_ms
        {
            return known.started_at;
        }
        let started_at = self.clock.start_time(unix_ms);
        let start_time = StartTime {
            unix_ms,
            started_at,
        };
        self.converted.insert(id, start_time);
        started_at
    }

    /// Removes the start time of a backend.
    pub(super) fn remove(&mut self, id: BackendId) {
        self.converted.remove(&id);
    }

    /// Removes the start times of all backends that are not in `listed`.
    pub(super) fn retain(&mut self, listed: &FxHashSet<BackendId>) {
        self.converted.retain(|id, _| listed.contains(id));
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.converted.len()
    }
}
