//! Load generators of a phase: one for each real process, and one that sends directly to the backends.

use super::Experiment;
use crate::live::clients::LoadGenerator;
use crate::live::figures::{PhaseFigures, RequestFigures};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// The running load generators of a phase.
pub(super) struct ClientLoad {
    /// One load generator for each real process; empty if their rate is 0.
    through_proxies: Vec<LoadGenerator>,
    /// Load generator that sends directly to the backends. Its latency is the baseline for the latency through the
    /// proxies.
    direct: Option<LoadGenerator>,
}

impl Experiment {
    /// Starts the load generators of a phase.
    pub(super) fn start_clients(&mut self) -> ClientLoad {
        let load = &self.scenario.load;
        let mut through_proxies = Vec::new();
        for process in self.proxies.real_processes() {
            let address = [process.address()];
            through_proxies.extend(start_generator(
                &address,
                load.requests_per_s,
                &mut self.rng,
            ));
        }
        let direct = start_generator(&self.backends.answering, load.direct_per_s, &mut self.rng);
        ClientLoad {
            through_proxies,
            direct,
        }
    }
}

/// Starts a load generator with a random seed; `None` if the rate is 0.
fn start_generator(
    addresses: &[SocketAddr],
    requests_per_s: f64,
    rng: &mut SmallRng,
) -> Option<LoadGenerator> {
    if requests_per_s > 0.0 {
        Some(LoadGenerator::start(
            addresses,
            requests_per_s,
            rng.random(),
        ))
    } else {
        None
    }
}

impl ClientLoad {
    /// Stops all load generators and adds their figures to those of the phase.
    pub(super) async fn stop(self, figures: &mut PhaseFigures) {
        let direct = match self.direct {
            Some(generator) => Some(generator.stop().await),
            None => None,
        };
        for (generator, process) in self.through_proxies.into_iter().zip(&mut figures.processes) {
            let outcomes = generator.stop().await;
            process.requests = Some(RequestFigures::new(&outcomes, direct.as_ref()));
        }
        figures.direct = direct.map(|outcomes| RequestFigures::new(&outcomes, None));
    }
}
