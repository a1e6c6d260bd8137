//! Counters since the start of the process, and their Prometheus text format.

use crate::api::ClassIndex;
use std::cell::Cell;
use std::fmt::{self, Write};
use std::rc::Rc;

/// The outcome of a request, by which it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend's response was forwarded completely.
    Served,
    /// The balancer rejected the request: it shed load, or all attempts failed and a retry by the client is harmless.
    Rejected,
    /// The request failed, or its response ended before it was complete.
    Failed,
}

/// The values of the label `outcome`, in the order of [`RequestOutcome`]. A rejected request has the value `dropped`.
const OUTCOME_LABELS: [&str; 3] = ["passed", "dropped", "bad_gateway"];

/// The counters of the requests of one class.
struct ClassCounters {
    class: String,
    /// The number of requests that have ended, by outcome.
    ended: [Cell<u64>; OUTCOME_LABELS.len()],
}

/// All counters of the process.
pub struct Counters {
    classes: Vec<ClassCounters>,
    attempts: Cell<u64>,
    in_progress: Cell<u64>,
    cut_off_responses: Cell<u64>,
}

impl Counters {
    /// Creates counters for requests of the classes with these names, all at 0.
    #[must_use]
    pub fn new(classes: &[String]) -> Rc<Self> {
        let classes = classes
            .iter()
            .map(|class| ClassCounters {
                class: class.clone(),
                ended: Default::default(),
            })
            .collect();
        Rc::new(Self {
            classes,
            attempts: Cell::new(0),
            in_progress: Cell::new(0),
            cut_off_responses: Cell::new(0),
        })
    }

    /// Counts a request of a class as in progress until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>, class: ClassIndex) -> RequestGuard {
        increment(&self.in_progress);
        RequestGuard {
            counters: Rc::clone(self),
            class,
            outcome: Cell::new(None),
        }
    }

    /// Counts an attempt that was written completely to a backend.
    pub fn record_attempt(&self) {
        increment(&self.attempts);
    }

    /// Returns all metrics in the Prometheus text format. The caller supplies the values of the gauges
    /// `listed_backends` and `avoided_backends`.
    #[must_use]
    pub fn render(&self, listed_backends: usize, avoided_backends: usize) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = self.write(&mut text, listed_backends, avoided_backends);
        text
    }

    fn write(
        &self,
        text: &mut String,
        listed_backends: usize,
        avoided_backends: usize,
    ) -> fmt::Result {
        self.write_ended(text)?;
        let attempts = self.attempts.get();
        let in_progress = self.in_progress.get();
        ATTEMPTS.write(text, attempts)?;
        IN_PROGRESS.write(text, in_progress)?;
        CUT_OFF_RESPONSES.write(text, self.cut_off_responses.get())?;
        LISTED_BACKENDS.write(text, listed_backends as u64)?;
        AVOIDED_BACKENDS.write(text, avoided_backends as u64)
    }

    fn write_ended(&self, text: &mut String) -> fmt::Result {
        ENDED.write_header(text)?;
        for ClassCounters { class, ended } in &self.classes {
            let class = escape_label(class);
            for (outcome, count) in OUTCOME_LABELS.iter().zip(ended) {
                writeln!(
                    text,
                    "app_{}{{category=\"{class}\",outcome=\"{outcome}\"}} {}",
                    ENDED.name,
                    count.get()
                )?;
            }
        }
        Ok(())
    }
}

/// The name, type and description of a metric.
struct Metric {
    /// The name without the prefix `app_`.
    name: &'static str,
    kind: &'static str,
    help: &'static str,
}

const ENDED: Metric = Metric {
    name: "handled",
    kind: "counter",
    help: "Requests that have ended, by class and outcome.",
};
const ATTEMPTS: Metric = Metric {
    name: "upstream_tries",
    kind: "counter",
    help: "Attempts written whole to backends.",
};
const IN_PROGRESS: Metric = Metric {
    name: "in_progress",
    kind: "gauge",
    help: "Requests taken and not ended.",
};
const CUT_OFF_RESPONSES: Metric = Metric {
    name: "cut_off_responses",
    kind: "counter",
    help: "Responses of which a part was sent and that ended before they were whole.",
};
const LISTED_BACKENDS: Metric = Metric {
    name: "known_backends",
    kind: "gauge",
    help: "Backends in the list.",
};
const AVOIDED_BACKENDS: Metric = Metric {
    name: "skipped_backends",
    kind: "gauge",
    help: "Listed backends that are avoided now.",
};

impl Metric {
    fn write_header(&self, text: &mut String) -> fmt::Result {
        let Self { name, kind, help } = self;
        write!(text, "# HELP app_{name} {help}\n# TYPE app_{name} {kind}\n")
    }

    /// Writes a metric that has a single value.
    fn write(&self, text: &mut String, value: u64) -> fmt::Result {
        self.write_header(text)?;
        writeln!(text, "app_{} {value}", self.name)
    }
}

/// Escapes a label value for the Prometheus text format.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Counts a request as in progress until the guard is dropped. The request is then counted by the outcome that was set.
/// If none was set, its client disconnected, and the request is not counted.
pub struct RequestGuard {
    counters: Rc<Counters>,
    class: ClassIndex,
    outcome: Cell<Option<RequestOutcome>>,
}

impl RequestGuard {
    /// Sets the outcome of the request, replacing any earlier one.
    pub fn set_outcome(&self, outcome: RequestOutcome) {
        self.outcome.set(Some(outcome));
    }

    /// Returns the outcome that was last set; `None` if the client has disconnected or the request has not ended.
    #[must_use]
    pub fn outcome(&self) -> Option<RequestOutcome> {
        self.outcome.get()
    }

    /// Sets the outcome of a request whose response ends before it is complete, after a part of it was sent.
    pub fn set_cut_off(&self) {
        increment(&self.counters.cut_off_responses);
        self.set_outcome(RequestOutcome::Failed);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let in_progress = &self.counters.in_progress;
        in_progress.set(in_progress.get().saturating_sub(1));
        let Some(outcome) = self.outcome.get() else {
            return;
        };
        if let Some(class) = self.counters.classes.get(self.class.index()) {
            increment(&class.ended[outcome as usize]);
        }
    }
}

#[cfg(test)]
mod tests;
