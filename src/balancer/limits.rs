//! Concurrency limits: AIMD on windowed latency, per backend and per kind of machine.

use super::attempts::{LATENCY_WEIGHT, SAMPLE_CAP};
use super::{Balancer, SECOND};
use crate::api::{MachineType, Micros, Zone};
use crate::state::{LimitSource, Server, Stamped, Window};

/// The shortest window: limits follow a load that changes within seconds.
pub(super) const WINDOW: Micros = SECOND / 4;
/// Samples that a window needs; fewer say too little where work varies as much as its mean.
const MIN_REQUESTS: u32 = 6;
/// A window this many times its length without enough samples starts anew.
const WINDOW_AGE_CAP: Micros = 40;
/// The factor on a limit whose window was too slow (0.5 to under 1).
const BACKOFF_RATIO: f64 = 0.7;
/// Departure: the least step up, as a part of the limit; on a large server 1 would be lost beside a back-off.
const LARGE_STEP: f64 = 0.15;
/// A server without a slot and without a judged window for this long takes its kind's limit.
const UNSAMPLED_AFTER: Micros = 2 * SECOND;
/// Limits of all proxies together for one server: the first one, the bounds. The start must not starve large
/// servers; the floor keeps samples coming, so it is a whole slot where a proxy has a server for itself.
pub(super) const INITIAL_LIMIT: f64 = 1.5;
const MIN_LIMIT: f64 = 1.0;
const MAX_LIMIT: f64 = 64.0;
/// The least and the most of its kind's limit that a report gives a server.
const REPORT_FACTORS: (f64, f64) = (0.1, 1.5);
/// How long the factor of a report holds.
const REPORT_TTL: Micros = 5 * SECOND;
/// How long a server that was slow comes after others of the same room.
pub(super) const RECENT_TTL: Micros = 5 * SECOND;

impl Balancer {
    /// Departure: a proxy with few slots meets a server once in many seconds, too seldom for windows. Where
    /// answers tell the server's service time of late, the limit is at once the kind's, scaled by how the
    /// server compares with its kind: servers that are slower, for whatever cause, get less from all proxies
    /// alike. The mark fades when the server has given no answer for a while.
    pub(super) fn follow_report(&mut self, now: Micros, index: usize, report: &[f32]) {
        let reported_ms = self
            .settings
            .load_report
            .service_time_ms
            .and_then(|i| report.get(i))
            .map(|&ms| f64::from(ms));
        let Some(reported_ms) = reported_ms.filter(|ms| ms.is_finite() && *ms > 0.0) else {
            return;
        };
        let share = self.share(self.servers[index].zone);
        let server = &mut self.servers[index];
        let common = &mut self.kinds[server.kind.index()];
        let usual = if common.service > 0.0 {
            common.service
        } else {
            reported_ms
        };
        common.service = usual + (reported_ms.min(usual * SAMPLE_CAP) - usual) * LATENCY_WEIGHT;
        let factor = (usual / reported_ms).clamp(REPORT_FACTORS.0, REPORT_FACTORS.1);
        server.report_factor = Stamped {
            value: factor,
            at: now,
        };
        if server.limit_source != LimitSource::Windows && common.limit * share < 1.0 {
            server.limit_source = LimitSource::Reported;
            server.limit = common.limit * share * factor;
        }
    }

    /// Departure: a limit is also kept for each kind of machine, by the same AIMD on the samples of all its
    /// servers, and doubling until its first back-off. Servers that gave no sample for a while have this
    /// limit: each of many proxies holds a slot on few servers, and the limits of the others would freeze.
    pub(super) fn judge_kind(&mut self, now: Micros, kind: usize, sample: f64) {
        let common = &mut self.kinds[kind];
        common.window.add(sample);
        let age = now - common.window.since;
        if common.window.count < MIN_REQUESTS || (!common.growing && age < WINDOW) {
            return;
        }
        if common.window.mean() > 1.0 {
            common.growing = false;
            common.limit *= BACKOFF_RATIO;
        } else if common.window.filled {
            common.limit *= if common.growing {
                2.0
            } else {
                1.0 + LARGE_STEP
            };
        }
        common.limit = common.limit.clamp(MIN_LIMIT, MAX_LIMIT);
        common.window = Window {
            since: now,
            ..Window::default()
        };
        let of_kind = |&index: &usize| self.servers[index].kind.index() == kind;
        let individual: Vec<usize> = self
            .index
            .individual
            .iter()
            .copied()
            .filter(of_kind)
            .collect();
        individual
            .into_iter()
            .for_each(|index| self.follow_kind(now, index));
    }

    /// Gives a server that has a limit of its own its kind's, where it gave no sample for a while.
    fn follow_kind(&mut self, now: Micros, index: usize) {
        let common = self.common_limit(self.servers[index].zone, self.servers[index].kind);
        let slots = self.slots(index, self.pool.limit_factor);
        let server = &mut self.servers[index];
        let sampled = slots > 0 || now <= server.window.since + UNSAMPLED_AFTER;
        if server.limit_source == LimitSource::Windows && sampled {
            return;
        }
        let reported = common < 1.0 && now < server.report_factor.at + REPORT_TTL;
        server.limit_source = if reported {
            LimitSource::Reported
        } else {
            LimitSource::Kind
        };
        server.limit = common * server.report_factor.value;
        self.reindex(now, index);
    }

    /// The limit that a kind's servers in a zone have from this proxy.
    pub(super) fn common_limit(&self, zone: Zone, kind: MachineType) -> f64 {
        self.kinds[kind.index()].limit * self.share(zone)
    }

    pub(super) fn limit(&self, index: usize) -> f64 {
        let server = &self.servers[index];
        match server.limit_source {
            LimitSource::Kind => self.common_limit(server.zone, server.kind),
            LimitSource::Reported | LimitSource::Windows => server.limit,
        }
    }

    /// The whole-number limit. Departure: below 1 (many proxies, small servers) the slot_offset decides which
    /// proxies hold a slot, so that the admitted sum does not grow with their number.
    pub(super) fn slots(&self, index: usize, factor: f64) -> i64 {
        (self.limit(index) * factor + self.slot_offset(index)).floor() as i64
    }

    /// The AIMD step. Departure: a window stays open until it has enough samples, up to an age cap.
    pub(super) fn judge_window(&mut self, now: Micros, index: usize, sample: f64) {
        let share = self.share(self.servers[index].zone);
        let limit = self.limit(index);
        let server = &mut self.servers[index];
        let window = &mut server.window;
        window.add(sample);
        let age = now - window.since;
        if age < WINDOW || (window.count < MIN_REQUESTS && age < WINDOW * WINDOW_AGE_CAP) {
            return;
        }
        if window.count >= MIN_REQUESTS {
            if window.mean() > 1.0 {
                server.limit = limit * BACKOFF_RATIO;
                server.limit_source = LimitSource::Windows;
            } else if window.filled && server.limit_source == LimitSource::Windows {
                server.limit = limit + share.max(limit * LARGE_STEP);
            }
        }
        server.limit = server.limit.clamp(MIN_LIMIT * share, MAX_LIMIT * share);
        server.window = Window {
            since: now,
            ..Window::default()
        };
    }
}

impl Server {
    /// The mean of its samples of late; 0 where there are none.
    pub(super) fn recent_latency(&self, now: Micros) -> f64 {
        if now < self.recent.at + RECENT_TTL {
            self.recent.value
        } else {
            0.0
        }
    }
}
