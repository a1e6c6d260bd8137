//! The propagation time of changes: from a change of an endpoint until the proxies are informed.

use crate::fleet::discovery::Revision;
use crate::fleet::ids::ProxyIndex;
use crate::fleet::report::ChangePropagation;
use crate::units::as_seconds;
use tillerproxy::api::Micros;

/// A publication of changes on its way to the proxies.
#[derive(Debug)]
struct Publication {
    revision: Revision,
    /// Time of the first change of the publication.
    changed_at: Micros,
    /// Number of proxies that ran at the time of the publication.
    running_proxies: usize,
    /// Times at which proxies were informed, in increasing order.
    informed_at: Vec<Micros>,
}

impl Publication {
    /// Returns the time from the change until this fraction of the running proxies was informed, in seconds; `None` if
    /// fewer were informed.
    fn propagation_s(&self, fraction: f64) -> Option<f64> {
        let needed = ((self.running_proxies as f64 * fraction).ceil() as usize).max(1);
        let informed_at = self.informed_at.get(needed - 1)?;
        Some(as_seconds(informed_at - self.changed_at))
    }
}

/// Tracker of all publications of a run.
#[derive(Debug)]
pub(super) struct PropagationTracker {
    /// Publications in the order of their revisions.
    publications: Vec<Publication>,
    /// Number of publications that each proxy knows, by proxy index.
    known_counts: Vec<usize>,
}

impl PropagationTracker {
    pub(super) fn new(proxies: usize) -> Self {
        Self {
            publications: Vec::new(),
            known_counts: vec![0; proxies],
        }
    }

    /// Returns the number of proxies.
    pub(super) fn proxies(&self) -> usize {
        self.known_counts.len()
    }

    /// Records a publication whose first change happened at `changed_at`.
    pub(super) fn on_publication(
        &mut self,
        revision: Revision,
        changed_at: Micros,
        running_proxies: usize,
    ) {
        self.publications.push(Publication {
            revision,
            changed_at,
            running_proxies,
            informed_at: Vec::with_capacity(running_proxies),
        });
    }

    /// Records that the endpoint list of a proxy has reached a revision.
    pub(super) fn on_update(&mut self, now: Micros, proxy: ProxyIndex, revision: Revision) {
        let known_count = &mut self.known_counts[proxy.index()];
        while let Some(publication) = self.publications.get_mut(*known_count)
            && publication.revision <= revision
        {
            publication.informed_at.push(now);
            *known_count += 1;
        }
    }

    /// Returns the propagation times of all publications to this fraction of the proxies, sorted.
    fn sorted_times(&self, fraction: f64) -> Vec<f64> {
        let mut times: Vec<f64> = self
            .publications
            .iter()
            .filter_map(|publication| publication.propagation_s(fraction))
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        times
    }

    /// Returns the summary of all publications.
    pub(super) fn report(&self) -> ChangePropagation {
        let half = self.sorted_times(0.5);
        let p99 = self.sorted_times(0.99);
        let all = self.sorted_times(1.0);
        ChangePropagation {
            publications: self.publications.len(),
            median_half_s: median(&half),
            median_p99_s: median(&p99),
            median_all_s: median(&all),
            worst_half_s: half.last().copied(),
            worst_p99_s: p99.last().copied(),
            worst_all_s: all.last().copied(),
            not_known_to_all: self.publications.len() - all.len(),
        }
    }
}

/// Returns the median of sorted values; the upper one of an even number.
fn median(sorted: &[f64]) -> Option<f64> {
    sorted.get(sorted.len() / 2).copied()
}
