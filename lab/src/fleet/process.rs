//! Whether an emulated process runs.

/// Whether the process of a backend or proxy runs, and how its peers notice that it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It runs.
    Running,
    /// It crashed: connections are refused, established ones were reset.
    Crashed,
    /// Its machine is down: nothing answers.
    Unreachable,
}
