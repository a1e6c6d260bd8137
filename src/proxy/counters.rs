//! What the proxy tells of itself: counters since the start of the process, and their text form (Prometheus).

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Passed,
    /// Refused.
    Dropped,
    /// Failed.
    BadGateway,
}

/// The names of the ends, in the order of their counters.
const OUTCOME_LABELS: [&str; 3] = ["passed", "dropped", "bad_gateway"];

/// The counters of one process.
pub struct Counters {
    classes: Vec<(String, [Cell<u64>; OUTCOME_LABELS.len()])>,
    attempts: Cell<u64>,
    in_progress: Cell<u64>,
}

fn add_one(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Counters {
    /// Nothing has happened yet to requests of these classes.
    #[must_use]
    pub fn new(classes: &[String]) -> Rc<Self> {
        let classes = classes
            .iter()
            .map(|name| (name.clone(), Default::default()))
            .collect();
        Rc::new(Self {
            classes,
            attempts: Cell::new(0),
            in_progress: Cell::new(0),
        })
    }

    /// A request of the class at this position was taken. It is in progress until the ticket is dropped.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>, class: u8) -> RequestTicket {
        add_one(&self.in_progress);
        RequestTicket {
            counters: Rc::clone(self),
            class: usize::from(class),
            outcome: Cell::new(None),
        }
    }

    /// An attempt was written whole to a backend.
    pub fn record_attempt(&self) {
        add_one(&self.attempts);
    }

    /// All figures. `known` backends are in the list, and `skipped` of them are avoided.
    #[must_use]
    pub fn text(&self, known: usize, skipped: usize) -> String {
        let mut text = String::new();
        let mut begin = |name: &str, kind: &str, help: &str| {
            let _ = write!(text, "# HELP app_{name} {help}\n# TYPE app_{name} {kind}\n");
            std::mem::take(&mut text)
        };
        let mut all = begin(
            "handled",
            "counter",
            "Requests that have ended, by class and outcome.",
        );
        for (class, counts) in &self.classes {
            let class = escaped(class);
            for (outcome, count) in OUTCOME_LABELS.iter().zip(counts) {
                let count = count.get();
                let _ = writeln!(
                    all,
                    "app_handled{{category=\"{class}\",outcome=\"{outcome}\"}} {count}"
                );
            }
        }
        let gauge = |n: usize| n as u64;
        let single = [
            (
                "upstream_tries",
                "counter",
                "Attempts written whole to backends.",
                self.attempts.get(),
            ),
            (
                "in_progress",
                "gauge",
                "Requests taken and not ended.",
                self.in_progress.get(),
            ),
            (
                "known_backends",
                "gauge",
                "Backends in the list.",
                gauge(known),
            ),
            (
                "skipped_backends",
                "gauge",
                "Listed backends that are avoided now.",
                gauge(skipped),
            ),
        ];
        for (name, kind, help, value) in single {
            all += &begin(name, kind, help);
            let _ = writeln!(all, "app_{name} {value}");
        }
        all
    }
}

/// A label's value as the text form has it.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

/// A request that was taken. Dropped, it has ended: as was noted, or for a client that had left.
pub struct RequestTicket {
    counters: Rc<Counters>,
    class: usize,
    outcome: Cell<Option<RequestOutcome>>,
}

impl RequestTicket {
    /// Notes how the request ends; the last word counts.
    pub fn set_outcome(&self, outcome: RequestOutcome) {
        self.outcome.set(Some(outcome));
    }
}

impl Drop for RequestTicket {
    fn drop(&mut self) {
        let in_progress = &self.counters.in_progress;
        in_progress.set(in_progress.get().saturating_sub(1));
        if let (Some(outcome), Some((_, counts))) =
            (self.outcome.get(), self.counters.classes.get(self.class))
        {
            add_one(&counts[outcome as usize]);
        }
    }
}

#[cfg(test)]
mod tests;
