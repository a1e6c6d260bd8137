//! What the proxy tells of itself: counters since the start of the process, and their text form (Prometheus).

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Passed,
    /// Refused.
    Dropped,
    /// Failed.
    BadGateway,
}

/// The names of the ends, in the order of their counters.
const ENDS: [&str; 3] = ["passed", "dropped", "bad_gateway"];

/// The counters of one process.
pub struct Counters {
    classes: Vec<(String, [Cell<u64>; ENDS.len()])>,
    tries: Cell<u64>,
    in_progress: Cell<u64>,
}

fn add_one(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl Counters {
    /// Nothing has happened yet to requests of these classes.
    #[must_use]
    pub fn new(classes: &[String]) -> Rc<Self> {
        let classes = classes.iter().map(|name| (name.clone(), Default::default())).collect();
        Rc::new(Self { classes, tries: Cell::new(0), in_progress: Cell::new(0) })
    }

    /// A request of the class at this position was taken. It is in progress until the ticket is dropped.
    #[must_use]
    pub fn take(self: &Rc<Self>, class: u8) -> Ticket {
        add_one(&self.in_progress);
        Ticket { counters: Rc::clone(self), class: usize::from(class), end: Cell::new(None) }
    }

    /// An attempt was written whole to a backend.
    pub fn tried(&self) {
        add_one(&self.tries);
    }

    /// All figures. `known` backends are in the list, and `skipped` of them are avoided.
    #[must_use]
    pub fn text(&self, known: usize, skipped: usize) -> String {
        let mut text = String::new();
        let mut begin = |name: &str, kind: &str, help: &str| {
            let _ = write!(text, "# HELP app_{name} {help}\n# TYPE app_{name} {kind}\n");
            std::mem::take(&mut text)
        };
        let mut all = begin("handled", "counter", "Requests that have ended, by class and outcome.");
        for (class, counts) in &self.classes {
            let class = escaped(class);
            for (end, count) in ENDS.iter().zip(counts) {
                let count = count.get();
                let _ = writeln!(all, "app_handled{{category=\"{class}\",outcome=\"{end}\"}} {count}");
            }
        }
        let gauge = |n: usize| n as u64;
        let single = [
            ("upstream_tries", "counter", "Attempts written whole to backends.", self.tries.get()),
            ("in_progress", "gauge", "Requests taken and not ended.", self.in_progress.get()),
            ("known_backends", "gauge", "Backends in the list.", gauge(known)),
            ("skipped_backends", "gauge", "Listed backends that are avoided now.", gauge(skipped)),
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
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// A request that was taken. Dropped, it has ended: as was noted, or for a client that had left.
pub struct Ticket {
    counters: Rc<Counters>,
    class: usize,
    end: Cell<Option<End>>,
}

impl Ticket {
    /// Notes how the request ends; the last word counts.
    pub fn note(&self, end: End) {
        self.end.set(Some(end));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let in_progress = &self.counters.in_progress;
        in_progress.set(in_progress.get().saturating_sub(1));
        if let (Some(end), Some((_, counts))) = (self.end.get(), self.counters.classes.get(self.class)) {
            add_one(&counts[end as usize]);
        }
    }
}

#[cfg(test)]
mod tests;
