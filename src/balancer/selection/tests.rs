//! The indexed selection compared with a plain scan of every backend, on random events.

use super::*;
use crate::api::{
    Action, AttemptEnd, Backend, Cell, Class, ClassIndex, DiscoveryMode, Event, KeyScope,
    LoadReportFields, MachineType, MembershipEvent, Outcome, Permissions, Readiness, Request,
    RequestId, SafetyLimits, Settings, TenantIndex, Zone,
};
use crate::balancer::requests::{Attempt, AttemptState, OpenRequest};
use crate::balancer::time::SECOND;
use std::collections::BTreeSet;

const MS: Micros = 1_000;

/// What a scan finds: the backends that tie, or those of which an idle proxy may use one without a slot.
#[derive(Debug, PartialEq)]
enum Found {
    Tied(BTreeSet<BackendKey>),
    WithoutSlot(BTreeSet<BackendKey>),
    Nothing,
}

/// The choice as the design states it, with a look at every server.
fn scan(balancer: &Balancer, now: Micros, request: RequestKey) -> Found {
    let Some(query) = balancer.query(now, request) else {
        return Found::Nothing;
    };
    let tried: Vec<BackendKey> = balancer.requests[request]
        .attempts
        .iter()
        .map(|attempt| attempt.backend)
        .collect();
    let eligible: Vec<BackendKey> = balancer
        .backends
        .keys()
        .filter(|&i| balancer.backends[i].ready && !tried.contains(&i))
        .filter(|&i| query.covers(balancer.backends[i].zone, Some(balancer.backends[i].cell)))
        .filter(|&i| balancer.is_eligible(now, &balancer.backends[i], &query))
        .collect();
    for near in [true, false] {
        let ranks = eligible
            .iter()
            .filter(|&&i| balancer.is_near(balancer.backends[i].zone) == near)
            .filter_map(|&i| {
                let backend = &balancer.backends[i];
                let taken =
                    i64::from(backend.in_flight.count()) - backend.in_flight.overtaken() as i64;
                let is_trial = backend.in_flight.is_unresponsive(now, query.overdue_after);
                let available = if is_trial {
                    1
                } else {
                    balancer.slots(i, query.limit_factor) - taken
                };
                (available > 0).then_some((
                    2 * available + i64::from(backend.recent_latency.value(now) <= 1.0),
                    i,
                ))
            });
        let ranks: Vec<(i64, BackendKey)> = ranks.collect();
        if let Some(&(most, _)) = ranks.iter().max() {
            return Found::Tied(
                ranks
                    .into_iter()
                    .filter(|&(rank, _)| rank == most)
                    .map(|(_, i)| i)
                    .collect(),
            );
        }
    }
    let left = |i: BackendKey| balancer.limit(i) * query.limit_factor + balancer.slot_offset(i);
    let most = eligible.iter().map(|&i| left(i)).max_by(f64::total_cmp);
    match most {
        Some(most) if balancer.in_flight == 0 => {
            Found::WithoutSlot(eligible.into_iter().filter(|&i| left(i) == most).collect())
        }
        _ => Found::Nothing,
    }
}

/// The servers that the indexed choice takes in so many draws that each of those that tie is most likely among them.
fn indexed(
    balancer: &mut Balancer,
    now: Micros,
    request: RequestKey,
    ties: usize,
) -> BTreeSet<BackendKey> {
    let draws = ties * (12 + ties.max(1).ilog2() as usize);
    (0..draws)
        .filter_map(|_| balancer.select_backend(now, request))
        .collect()
}

/// Compares the choice with a scan; tells how many servers tied.
fn compare(
    balancer: &mut Balancer,
    now: Micros,
    request: RequestKey,
) -> Result<usize, (Found, BTreeSet<BackendKey>)> {
    let expected = scan(balancer, now, request);
    let ties = if let Found::Tied(ties) = &expected {
        ties.len()
    } else {
        1
    };
    let found = indexed(balancer, now, request, ties);
    let agree = match &expected {
        Found::Tied(ties) => found == *ties,
        // No draw: any of those with the same limit left will do.
        Found::WithoutSlot(equal) => found.len() == 1 && found.is_subset(equal),
        Found::Nothing => found.is_empty(),
    };
    if agree {
        Ok(ties)
    } else {
        Err((expected, found))
    }
}

fn settings(rng: &mut Rng) -> Settings {
    let class = |effect, aim: Micros| Class {
        latency_objective: aim,
        objective_work_factor: 0.0,
        timeout: 4 * aim,
        priority_weight: 1.0,
        late_weight_factor: 0.0,
        idempotency: effect,
    };
    let keyed = |group| Idempotency::Keyed {
        scope: group,
        ttl: 3 * SECOND,
    };
    let classes = vec![
        class(Idempotency::Idempotent, 500 * MS),
        class(Idempotency::NonIdempotent, 300 * MS),
        class(keyed(KeyScope::Zone), 400 * MS),
        class(keyed(KeyScope::Cell), 2_000 * MS),
        class(keyed(KeyScope::AllBackends), 400 * MS),
    ];
    let balancers = [1, 3, 30, 300][rng.usize(0..4)];
    Settings {
        proxy_index: rng.u32(0..balancers),
        proxy_count: balancers,
        zone: Zone(0),
        zone_count: 3,
        machine_type_count: 2,
        discovery_mode: DiscoveryMode::Pushed,
        key_affinity: false,
        classes,
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

/// A balancer under random events.
struct Play {
    rng: Rng,
    balancer: Balancer,
    now: Micros,
    servers: u32,
    next: RequestId,
    out: Vec<(RequestId, u16, u32, Micros)>,
    sent: Vec<(RequestId, u16)>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let settings = settings(&mut rng);
        let balancer = Balancer::new(settings, seed, SECOND).expect("good settings");
        let servers = [4, 30, 200][rng.usize(0..3)];
        let mut play = Self {
            rng,
            balancer,
            now: SECOND,
            servers,
            next: 0,
            out: Vec::new(),
            sent: Vec::new(),
        };
        let list: Vec<Backend> = (0..servers).map(|id| play.backend(id)).collect();
        play.event(Event::Membership(MembershipEvent::Full(&list)));
        play
    }

    fn backend(&mut self, id: u32) -> Backend {
        let readiness = match self.rng.u8(0..8) {
            0 => Readiness::Draining,
            1 => Readiness::Removed,
            _ => Readiness::Ready,
        };
        let started = (self.rng.u8(0..4) == 0).then(|| self.now - self.rng.u64(0..SECOND));
        Backend {
            id,
            zone: Zone((id % 3) as u16),
            machine_type: MachineType((id / 3 % 2) as u8),
            cell: Cell((id % 7) as u16),
            readiness,
            started_at: started,
        }
    }

    fn event(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send {
                request, backend, ..
            } = action
            {
                let number = self
                    .sent
                    .iter()
                    .filter(|&&(sent, _)| sent == request)
                    .count() as u16;
                self.sent.push((request, number));
                self.out.push((request, number, backend, self.now));
            }
        }
    }

    fn change_list(&mut self) {
        let whole = self.rng.u8(0..6) == 0;
        let count = if whole {
            self.servers
        } else {
            1 + self.rng.u32(0..self.servers / 3)
        };
        let ids: Vec<u32> = (0..count)
            .map(|i| {
                if whole {
                    i
                } else {
                    self.rng.u32(0..self.servers)
                }
            })
            .collect();
        let list: Vec<Backend> = ids.into_iter().map(|id| self.backend(id)).collect();
        let news = if whole {
            MembershipEvent::Full(&list)
        } else {
            MembershipEvent::Delta(&list)
        };
        self.event(Event::Membership(news));
    }

    fn end_one(&mut self) {
        if self.out.is_empty() {
            return;
        }
        let (request, attempt, backend, sent_at) =
            self.out.swap_remove(self.rng.usize(0..self.out.len()));
        let outcome = match self.rng.u8(0..14) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::Timeout,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::CorruptResponse,
            _ => Outcome::Ok,
        };
        let report = [self.rng.f32() * 100.0];
        let elapsed = self.now - sent_at;
        let closed = outcome == Outcome::Ok;
        let settled = AttemptEnd {
            request,
            backend,
            attempt,
            outcome,
            request_answered: closed,
            elapsed,
            load_report: &report,
            body_consumed: false,
        };
        self.event(Event::AttemptEnded(settled));
    }

    fn step(&mut self) {
        self.now += self.rng.u64(0..60) * self.rng.u64(0..2 * MS);
        match self.rng.u8(0..40) {
            0 => self.change_list(),
            1 => self.now += self.rng.u64(0..8 * SECOND),
            2..18 => {
                self.next += 1;
                let class = self.rng.u8(0..5);
                let request = Request {
                    id: self.next,
                    class: ClassIndex(class),
                    tenant: TenantIndex(0),
                    key: None,
                    timeout: 2 * SECOND,
                    expected_work: None,
                    is_retry: false,
                };
                self.event(Event::Request(request));
            }
            _ => self.end_one(),
        }
    }

    /// A request that has failed up to twice, of any class, for which a choice is due.
    fn open_request(&mut self) -> RequestKey {
        let class = ClassIndex(self.rng.usize(0..5) as u8);
        let keys: Vec<BackendKey> = self.balancer.backends.keys().collect();
        let tried = (0..self.rng.usize(0..3)).map(|_| keys[self.rng.usize(0..keys.len())]);
        let tried: BTreeSet<BackendKey> = tried.collect();
        let mut attempt = |backend| Attempt {
            state: if self.rng.bool() {
                AttemptState::NotExecuted
            } else {
                AttemptState::MayHaveExecuted
            },
            ..Attempt::new(backend, self.now)
        };
        let attempts = tried.into_iter().map(&mut attempt).collect();
        let over_quota = self.rng.u8(0..4) == 0;
        let deadline = self.now + SECOND;
        let open = OpenRequest::new(RequestId::MAX, class, over_quota, self.now, deadline);
        let request = self.balancer.requests.insert(open);
        self.balancer.requests[request].attempts = attempts;
        request
    }
}

#[test]
fn the_indexed_selection_samples_from_the_backends_that_a_plain_scan_finds() {
    let mut compared = 0;
    let mut ties = 0;
    for seed in 0..60 {
        let mut play = Play::new(seed);
        for step in 0..400 {
            play.step();
            if step % 4 > 0 {
                continue;
            }
            let now = play.now;
            play.balancer.reindex_due(now);
            let request = play.open_request();
            let tied = compare(&mut play.balancer, now, request).unwrap_or_else(|(scan, index)| {
                panic!("seed {seed}, step {step}: {scan:?}, indexed {index:?}")
            });
            compared += 1;
            ties += usize::from(tied > 1);
            play.balancer.requests.remove(request);
        }
    }
    assert!(
        compared == 6_000 && ties > 1_000,
        "{ties} of {compared} with a draw"
    );
}

#[test]
fn backends_that_tie_are_sampled_equally_often() {
    const DRAWS: usize = 400;
    let mut play = Play::new(11);
    let mut judged = 0;
    for _ in 0..300 {
        play.step();
        let now = play.now;
        play.balancer.reindex_due(now);
        let request = play.open_request();
        if let Found::Tied(ties) = scan(&play.balancer, now, request) {
            let mut drawn: Vec<BackendKey> = (0..DRAWS * ties.len())
                .filter_map(|_| play.balancer.select_backend(now, request))
                .collect();
            drawn.sort_unstable();
            for alike in drawn.chunk_by(|a, b| a == b) {
                // Six standard deviations of a count with this mean.
                let off = alike.len().abs_diff(DRAWS);
                assert!(
                    off * off <= 36 * DRAWS,
                    "{} of {DRAWS} draws among {}",
                    alike.len(),
                    ties.len()
                );
            }
            judged += 1;
        }
        play.balancer.requests.remove(request);
    }
    assert!(judged > 50, "{judged} choices were judged");
}
