//! A balancer that receives random events.

use crate::api::{
    Action, AttemptEnd, Backend, BackendId, Cell, Class, ClassIndex, DiscoveryMode, Event,
    Idempotency, KeyScope, LoadReportFields, MachineType, MembershipEvent, Micros, Outcome,
    Permissions, Readiness, Request, RequestId, SafetyLimits, Settings, TenantIndex, Zone,
};
use crate::balancer::Balancer;
use crate::balancer::backends::BackendKey;
use crate::balancer::requests::{Attempt, AttemptState, OpenRequest, RequestKey};
use crate::balancer::time::SECOND;
use fastrand::Rng;
use std::collections::BTreeSet;

const MS: Micros = 1_000;
/// Number of classes: one idempotent, one non-idempotent, and one keyed class for each key scope.
const CLASSES: u8 = 5;

fn classes() -> Vec<Class> {
    let class = |idempotency, latency_objective: Micros| Class {
        latency_objective,
        objective_work_factor: 0.0,
        timeout: 4 * latency_objective,
        priority_weight: 1.0,
        late_weight_factor: 0.0,
        idempotency,
    };
    let keyed = |scope| Idempotency::Keyed {
        scope,
        ttl: 3 * SECOND,
    };
    vec![
        class(Idempotency::Idempotent, 500 * MS),
        class(Idempotency::NonIdempotent, 300 * MS),
        class(keyed(KeyScope::Zone), 400 * MS),
        class(keyed(KeyScope::Cell), 2_000 * MS),
        class(keyed(KeyScope::AllBackends), 400 * MS),
    ]
}

fn random_settings(rng: &mut Rng) -> Settings {
    let proxy_count = [1, 3, 30, 300][rng.usize(0..4)];
    Settings {
        proxy_index: rng.u32(0..proxy_count),
        proxy_count,
        zone: Zone(0),
        zone_count: 3,
        machine_type_count: 2,
        discovery_mode: DiscoveryMode::Pushed,
        key_affinity: false,
        classes: classes(),
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        cross_zone_cost: [0.0, 0.05][rng.usize(0..2)],
        health_check_cost: 0.0,
        load_report: LoadReportFields {
            service_time_ms: rng.bool().then_some(0),
            ..LoadReportFields::default()
        },
        load_report_by_health_check: false,
        permissions: Permissions {
            max_attempts: 3,
            hedging: false,
            cancellation: false,
            health_checks: false,
            idle_timeout: 5 * SECOND,
            requests_per_connection: 1,
            max_retry_after: None,
        },
        safety: SafetyLimits {
            poll_interval: SECOND,
            slow_start_initial_capacity: 0.2,
            slow_start_duration: 4 * SECOND,
            collapse_load_factor: 2.5,
            collapse_time: SECOND,
        },
    }
}

/// An attempt that has not ended.
struct InFlightAttempt {
    request: RequestId,
    number: u16,
    backend: BackendId,
    sent_at: Micros,
}

/// A balancer that receives random events, with the state needed to make them consistent.
pub(super) struct RandomProxy {
    rng: Rng,
    pub(super) balancer: Balancer,
    pub(super) now: Micros,
    backend_count: u32,
    last_request: u32,
    in_flight: Vec<InFlightAttempt>,
    /// The request of every attempt sent so far.
    sent: Vec<RequestId>,
}

impl RandomProxy {
    /// Returns a balancer with random settings and a random list of backends.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let settings = random_settings(&mut rng);
        let balancer = Balancer::new(settings, seed, SECOND)
            .expect("random settings are within the allowed ranges");
        let backend_count = [4, 30, 200][rng.usize(0..3)];
        let mut proxy = Self {
            rng,
            balancer,
            now: SECOND,
            backend_count,
            last_request: 0,
            in_flight: Vec::new(),
            sent: Vec::new(),
        };
        let list: Vec<Backend> = (0..backend_count)
            .map(|id| proxy.random_backend(id))
            .collect();
        proxy.handle(Event::Membership(MembershipEvent::Full(&list)));
        proxy
    }

    fn random_backend(&mut self, id: u32) -> Backend {
        let readiness = match self.rng.u8(0..8) {
            0 => Readiness::Draining,
            1 => Readiness::Removed,
            _ => Readiness::Ready,
        };
        let has_restarted = self.rng.u8(0..4) == 0;
        let started_at = has_restarted.then(|| self.now - self.rng.u64(0..SECOND));
        Backend {
            id: BackendId(id),
            zone: Zone((id % 3) as u16),
            machine_type: MachineType((id / 3 % 2) as u8),
            cell: Cell((id % 7) as u16),
            readiness,
            started_at,
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send {
                request, backend, ..
            } = action
            {
                let number = self.sent.iter().filter(|&&sent| sent == request).count() as u16;
                self.sent.push(request);
                self.in_flight.push(InFlightAttempt {
                    request,
                    number,
                    backend,
                    sent_at: self.now,
                });
            }
        }
    }

    fn change_membership(&mut self) {
        let is_full = self.rng.u8(0..6) == 0;
        let ids: Vec<u32> = if is_full {
            (0..self.backend_count).collect()
        } else {
            let count = 1 + self.rng.u32(0..self.backend_count / 3);
            (0..count)
                .map(|_| self.rng.u32(0..self.backend_count))
                .collect()
        };
        let list: Vec<Backend> = ids.into_iter().map(|id| self.random_backend(id)).collect();
        let event = if is_full {
            MembershipEvent::Full(&list)
        } else {
            MembershipEvent::Delta(&list)
        };
        self.handle(Event::Membership(event));
    }

    fn end_one_attempt(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let position = self.rng.usize(0..self.in_flight.len());
        let attempt = self.in_flight.swap_remove(position);
        let outcome = match self.rng.u8(0..14) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::Timeout,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::CorruptResponse,
            _ => Outcome::Ok,
        };
        let load_report = [self.rng.f32() * 100.0];
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: attempt.request,
            backend: attempt.backend,
            attempt: attempt.number,
            outcome,
            request_answered: outcome == Outcome::Ok,
            elapsed: self.now - attempt.sent_at,
            load_report: &load_report,
            body_consumed: false,
        }));
    }

    fn submit_request(&mut self) {
        self.last_request += 1;
        let class = self.rng.u8(0..CLASSES);
        self.handle(Event::Request(Request {
            id: RequestId(self.last_request),
            class: ClassIndex(class),
            tenant: TenantIndex(0),
            key: None,
            timeout: 2 * SECOND,
            expected_work: None,
            is_retry: false,
        }));
    }

    /// Advances the time by a random span and sends one random event.
    pub(super) fn step(&mut self) {
        self.now += self.rng.u64(0..60) * self.rng.u64(0..2 * MS);
        match self.rng.u8(0..40) {
            0 => self.change_membership(),
            1 => self.now += self.rng.u64(0..8 * SECOND),
            2..18 => self.submit_request(),
            _ => self.end_one_attempt(),
        }
    }

    /// Opens a request of a random class with up to two failed attempts, for which a backend can be selected.
    pub(super) fn open_request(&mut self) -> RequestKey {
        let class = ClassIndex(self.rng.usize(0..usize::from(CLASSES)) as u8);
        let keys: Vec<BackendKey> = self.balancer.backends.keys().collect();
        let tried: BTreeSet<BackendKey> = (0..self.rng.usize(0..3))
            .map(|_| keys[self.rng.usize(0..keys.len())])
            .collect();
        let attempts = tried
            .into_iter()
            .map(|backend| self.random_attempt(backend))
            .collect();
        let over_quota = self.rng.u8(0..4) == 0;
        let deadline = self.now + SECOND;
        let open = OpenRequest::new(RequestId(u32::MAX), class, over_quota, self.now, deadline);
        let request = self.balancer.requests.insert(open);
        self.balancer.requests[request].attempts = attempts;
        request
    }

    fn random_attempt(&mut self, backend: BackendKey) -> Attempt {
        let state = if self.rng.bool() {
            AttemptState::NotExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
        Attempt {
            state,
            ..Attempt::new(backend, self.now)
        }
    }
}
