//! The policies that decide for a proxy: the decision module, and two baselines to compare it with.

mod baseline;

use super::backend::EmulatedBackend;
use baseline::Baseline;
use serde::Serialize;
use std::fmt;
use tillerproxy::api::{Action, BackendId, Event, Micros, Settings, SettingsError};
use tillerproxy::balancer::Balancer;

/// Name of a policy on the command line and in results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The decision module.
    Module,
    /// Random choice among the ready backends.
    Random,
    /// The less loaded of two random ready backends, by their true load, which no real proxy knows.
    TwoChoices,
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Module => "module",
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
        })
    }
}

/// Access to the true load of the backends. Baselines use it; a real proxy has no such access.
pub trait TrueLoad {
    /// Returns the number of attempts that a backend holds, running or queued.
    fn in_flight(&self, backend: BackendId) -> u32;
}

impl TrueLoad for Vec<EmulatedBackend> {
    fn in_flight(&self, backend: BackendId) -> u32 {
        self[backend.index()].in_flight()
    }
}

/// The decisions of one proxy: turns events into actions.
pub trait Policy {
    /// Handles one event at time `now` and appends the resulting actions to `actions`.
    fn handle(
        &mut self,
        now: Micros,
        event: Event<'_>,
        true_load: &dyn TrueLoad,
        actions: &mut Vec<Action>,
    );
}

/// Creates the policy of a proxy from its settings, its seed and the time of its start. Fails if the policy rejects
/// the settings.
pub type PolicyFactory =
    dyn Fn(Settings, u64, Micros) -> Result<Box<dyn Policy>, SettingsError> + Sync;

/// Returns the factory of a policy.
#[must_use]
pub fn factory(kind: PolicyKind) -> Box<PolicyFactory> {
    match kind {
        PolicyKind::Module => Box::new(|settings, seed, now| {
            let balancer = Balancer::new(settings, seed, now)?;
            Ok(Box::new(DecisionModule(balancer)) as Box<dyn Policy>)
        }),
        PolicyKind::Random => Box::new(|settings, seed, _| baseline(settings, seed, 1)),
        PolicyKind::TwoChoices => Box::new(|settings, seed, _| baseline(settings, seed, 2)),
    }
}

/// Creates a baseline that draws `choices` backends for each attempt.
fn baseline(settings: Settings, seed: u64, choices: u32) -> Result<Box<dyn Policy>, SettingsError> {
    settings.validate()?;
    Ok(Box::new(Baseline::new(settings, seed, choices)))
}

/// The decision module as a policy; it does not use the true load.
struct DecisionModule(Balancer);

impl Policy for DecisionModule {
    fn handle(
        &mut self,
        now: Micros,
        event: Event<'_>,
        _: &dyn TrueLoad,
        actions: &mut Vec<Action>,
    ) {
        self.0.handle(now, event, actions);
    }
}
