//! Where each backend stands in the index of the choice. An idle one with its kind's limit and nothing
//! against it is found by its rank; what is busy, slow or has a limit of its own is compared one by one; what
//! gets nothing for a time is left out until that time is over.

use super::Balancer;
use super::limits::RECENT_TTL;
use crate::api::Micros;
use crate::index::{Change, Group, Position};
use crate::spread::GOLDEN_RATIO_FRACTION;
use crate::state::{LimitSource, Server};

impl Balancer {
    /// How the choice finds a server, and until when.
    fn position(&self, now: Micros, index: usize) -> (Position, Option<Micros>) {
        match &self.servers[index] {
            server if !server.ready => (Position::Barred, None),
            server if server.in_flight > 0 => (Position::Scanned, None),
            &Server {
                ejected_until: Some(until),
                ..
            } if now < until => (Position::Barred, Some(until)),
            Server {
                ejected_until: Some(_),
                ..
            } => (Position::Scanned, None),
            server if now < server.full_until => (Position::Barred, Some(server.full_until)),
            Server {
                cold: Some(cold), ..
            } if cold.tokens < 1.0 => (Position::Barred, Some(cold.recheck_at())),
            server if server.recent_latency(now) > 1.0 => {
                (Position::Scanned, Some(server.recent.at + RECENT_TTL))
            }
            server if server.limit_source == LimitSource::Kind => (Position::Indexed, None),
            _ => (Position::Scanned, None),
        }
    }

    /// Works out a server's position anew. Called after whatever changes something that `position` reads.
    pub(super) fn reindex(&mut self, now: Micros, index: usize) {
        if self.servers[index].in_flight == 0 {
            self.refill_cold(now, index);
        }
        let slot_offset = self.slot_offset(index);
        let (position, until) = self.position(now, index);
        let server = &mut self.servers[index];
        let version = self
            .index
            .groups
            .get(server.group)
            .map_or(0, |group| group.version);
        (server.slot_offset, server.slot_offset_version) = (slot_offset, version);
        self.index.set(index, server, position, until);
    }

    /// Reindexes the servers whose time has come.
    pub(super) fn recheck_due(&mut self, now: Micros) {
        while let Some(index) = self.index.next_due(now, &mut self.servers) {
            self.reindex(now, index);
        }
    }

    /// The list has changed: `changed` are the servers that came, left, or started anew.
    pub(super) fn regroup(&mut self, now: Micros, changed: Vec<Change>) {
        let me = self.settings.proxy_index;
        let offset = |rank, members| unwrapped_offset(me, rank, members);
        let places = self.index.apply(changed, &self.servers, offset);
        places
            .into_iter()
            .for_each(|place| self.reindex(now, place));
    }

    pub(super) fn slot_offset_of(&self, group: &Group, rank: usize) -> f64 {
        unwrapped_offset(self.settings.proxy_index, rank, group.members.len()).fract()
    }

    /// Its part of a turn, as of the present members of its group.
    pub(super) fn slot_offset(&self, index: usize) -> f64 {
        let server = &self.servers[index];
        let group = self.index.groups.get(server.group);
        let group = group.filter(|group| group.version != server.slot_offset_version);
        let rank = group.and_then(|group| Some((group, group.members.rank(server.id)?)));
        rank.map_or(server.slot_offset, |(group, rank)| {
            self.slot_offset_of(group, rank)
        })
    }
}

/// Spaces a proxy's slot offsets evenly over the servers of a zone and kind, and the proxies' over each
/// server; whole turns don't count. Drawn by chance for each server, they left some proxies without a slot.
fn unwrapped_offset(me: u32, rank: usize, members: usize) -> f64 {
    rank as f64 / members as f64 + f64::from(me) * GOLDEN_RATIO_FRACTION
}
