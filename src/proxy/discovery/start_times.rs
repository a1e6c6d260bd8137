//! Start times of the backends on the proxy's clock.

use crate::api::{BackendId, Micros};
use crate::proxy::clock::Clock;
use rustc_hash::{FxHashMap, FxHashSet};

/// Converts start times, and remembers each result.
///
/// A start ahead of the proxy's clock is taken as now. Converted anew from each list, it would look
/// like a restart.
#[derive(Debug)]
pub(super) struct StartTimes {
    clock: Clock,
    converted: FxHashMap<BackendId, StartTime>,
}

#[derive(Clone, Copy, Debug)]
struct StartTime {
    /// As discovery lists it.
    unix_ms: u64,
    /// On the proxy's clock; `None`: long ago.
    started_at: Option<Micros>,
}

impl StartTimes {
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            converted: FxHashMap::default(),
        }
    }

    /// Converts the start time of a backend, which may have restarted since it was last listed.
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

    /// Forgets a backend.
    pub(super) fn remove(&mut self, id: BackendId) {
        self.converted.remove(&id);
    }

    /// Forgets all backends but those given.
    pub(super) fn retain(&mut self, listed: &FxHashSet<BackendId>) {
        self.converted.retain(|id, _| listed.contains(id));
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.converted.len()
    }
}
