//! The state of an emulated process.

/// Whether the process of a backend or proxy runs, and what peers observe if it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process runs.
    Running,
    /// The process crashed: established connections were reset, and new ones are refused.
    Crashed,
    /// The machine is down: peers get no answer at all.
    Unreachable,
}
