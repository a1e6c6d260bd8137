//! The rule checker: it counts the violations of scripted policies that break one rule each.

use super::small_scenario_with_tables;
use indicatif::ProgressBar;
use tillerproxy::api::{
    Action, BackendId, Cell, Class, ClassIndex, Event, Idempotency, KeyScope, MachineType,
    MembershipEvent, Micros, RequestId, Settings, Zone,
};
use tillerproxy_lab::fleet::backend::Collapse;
use tillerproxy_lab::fleet::faults::FaultSchedule;
use tillerproxy_lab::fleet::ids::{ProxyIndex, Rack};
use tillerproxy_lab::fleet::policy::{Policy, TrueLoad};
use tillerproxy_lab::fleet::proxy::KnownBackend;
use tillerproxy_lab::fleet::report::PolicyReport;
use tillerproxy_lab::fleet::request::{
    AttemptKey, AttemptState, CallKey, SentAttempt, TrackedRequest,
};
use tillerproxy_lab::fleet::rules::{PendingSend, RepeatCounts, RuleChecker, RuleLimits};
use tillerproxy_lab::fleet::simulation::Simulation;
use tillerproxy_lab::fleet::topology::{Machine, Topology};

/// A rolling restart of half of the backends, all at the same time.
const RESTART: &str = r#"
[[event]]
kind = "rolling_restart"
at_s = 0.2
over_s = 0.0
fraction = 0.5
drain_s = 0.5
down_s = 0.2
"#;

/// Number of backends of the small scenario.
const BACKENDS: u32 = 24;

/// A timeline without events.
const NO_EVENT: &str = "";

/// Simulates the small scenario with an event of the timeline, under a policy that passes each event to a function, the
/// script of its proxy. `script` creates the script of one proxy.
fn simulate<S>(event: &str, script: fn() -> S) -> PolicyReport
where
    S: FnMut(Micros, Event<'_>, &mut Vec<Action>) + 'static,
{
    struct Scripted<S>(S);
    impl<S: FnMut(Micros, Event<'_>, &mut Vec<Action>)> Policy for Scripted<S> {
        fn handle(
            &mut self,
            now: Micros,
            event: Event<'_>,
            _: &dyn TrueLoad,
            actions: &mut Vec<Action>,
        ) {
            (self.0)(now, event, actions);
        }
    }
    let scenario = small_scenario_with_tables(event);
    let topology = Topology::new(&scenario, 1);
    let schedule = FaultSchedule::new(&scenario, &topology, 1);
    let factory =
        move |_: Settings, _: u64, _: Micros| Ok(Box::new(Scripted(script())) as Box<dyn Policy>);
    let mut simulation = Simulation::new(&scenario, &topology, &schedule, &factory, 1)
        .expect("scripted policies accept all settings");
    simulation.run(&ProgressBar::hidden());
    simulation.report("scripted")
}

fn send(request: RequestId, backend: BackendId, deadline: Micros) -> Action {
    Action::Send {
        request,
        backend,
        deadline,
        write_deadline: None,
    }
}

/// A script that sends each request once, to the backend that the request's id selects, and fails the request if the
/// attempt fails.
fn send_once(now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
    match event {
        Event::Request(request) => {
            let backend = BackendId(request.id.0 % BACKENDS);
            actions.push(send(request.id, backend, now + request.timeout));
        }
        other => fail_unanswered(&other, actions),
    }
}

/// Fails a request whose attempt has ended without an answer to the client.
fn fail_unanswered(event: &Event<'_>, actions: &mut Vec<Action>) {
    if let Event::AttemptEnded(end) = event
        && !end.request_answered
    {
        actions.push(Action::Fail {
            request: end.request,
        });
    }
}

#[test]
fn policy_that_sends_each_request_once_keeps_all_rules() {
    let report = simulate(NO_EVENT, || send_once);
    assert_eq!(report.rule_violations, [0; 4]);
    assert!(report.calls.within_objective > 500, "{:?}", report.calls);
}

#[test]
fn unanswered_requests_are_counted_under_rule_1() {
    let report = simulate(NO_EVENT, || |_, _, _: &mut Vec<Action>| {});
    assert!(report.rules.final_answers.accepted > 500);
    assert_eq!(
        report.rules.final_answers.unanswered,
        report.rules.final_answers.accepted
    );
    assert_eq!(report.calls.within_objective + report.calls.late, 0);
}

#[test]
fn sends_and_answers_after_the_final_answer_are_counted_under_rule_1() {
    let report = simulate(NO_EVENT, || {
        |now, event, actions: &mut Vec<Action>| {
            if let Event::Request(request) = event {
                actions.push(Action::Fail {
                    request: request.id,
                });
                actions.push(send(request.id, BackendId(0), now + request.timeout));
                actions.push(Action::Fail {
                    request: request.id,
                });
            }
        }
    });
    let answers = report.rules.final_answers;
    assert_eq!(
        (answers.unanswered, answers.after_final_answer),
        (0, 2 * answers.accepted)
    );
}

#[test]
fn concurrent_attempts_and_non_idempotent_repeats_are_counted_under_rule_2() {
    let report = simulate(NO_EVENT, || {
        |now, event, actions: &mut Vec<Action>| match event {
            Event::Request(request) => {
                actions.push(send(request.id, BackendId(0), now + request.timeout));
                actions.push(send(request.id, BackendId(1), now + request.timeout));
            }
            other => fail_unanswered(&other, actions),
        }
    });
    let repeats = report.rules.repeats;
    assert_eq!(
        repeats.concurrent_attempts,
        report.rules.final_answers.accepted
    );
    assert!(
        repeats.non_idempotent_repeats > 100
            && repeats.non_idempotent_repeats < repeats.concurrent_attempts
    );
}

#[test]
fn rejections_of_possibly_executed_requests_are_counted_under_rule_2() {
    let report = simulate(NO_EVENT, || {
        |now, event, actions: &mut Vec<Action>| match event {
            // The attempt times out before a response can arrive.
            Event::Request(request) => actions.push(send(
                request.id,
                BackendId(request.id.0 % BACKENDS),
                now + 10,
            )),
            Event::AttemptEnded(end) if !end.request_answered => {
                actions.push(Action::Reject {
                    request: end.request,
                    retry_after: 0,
                });
            }
            _ => {}
        }
    });
    let repeats = report.rules.repeats;
    assert!(repeats.rejected_after_execution > 100, "{repeats:?}");
    assert!(
        repeats.rejected_after_execution < report.rules.final_answers.accepted,
        "idempotent requests may be rejected"
    );
}

#[test]
fn sends_to_unavailable_backends_after_the_grace_period_are_counted_under_rule_3() {
    let event = RESTART.replace("down_s = 0.2", "down_s = 100.0") + "\n";
    let report = simulate(&event, || send_once);
    let drains = report.rules.drains;
    assert!(drains.after_grace > 10, "{drains:?}");
    assert!(
        drains.sends_to_unavailable > drains.after_grace,
        "attempts within the grace period are counted and are no violation"
    );
}

#[test]
fn collapses_caused_by_informed_proxies_are_counted_under_rule_4() {
    let report = simulate(RESTART, || {
        let mut latest_start: Option<(Micros, BackendId)> = None;
        move |now, event: Event<'_>, actions: &mut Vec<Action>| match event {
            Event::Membership(MembershipEvent::Delta(endpoints)) => {
                let starts = endpoints
                    .iter()
                    .filter_map(|endpoint| endpoint.started_at.map(|at| (at, endpoint.id)));
                latest_start = latest_start.max(starts.max());
            }
            Event::Request(request) => {
                let backend = latest_start.map_or(BackendId(request.id.0 % BACKENDS), |(_, id)| id);
                actions.push(send(request.id, backend, now + request.timeout));
            }
            other => fail_unanswered(&other, actions),
        }
    });
    let slow_starts = report.rules.slow_starts;
    assert_eq!(slow_starts.starts, 12);
    assert!(
        slow_starts.collapses >= 1 && slow_starts.collapses_by_informed == slow_starts.collapses,
        "{slow_starts:?}"
    );
    assert!(slow_starts.worst_load > 1.0);
}

#[test]
fn collapse_violates_rule_4_only_if_informed_proxies_sent_two_thirds_of_the_load() {
    let mut checker = RuleChecker::new(strict_limits());
    checker.on_collapse(&Collapse {
        load: 50.0,
        load_limit: 45.0,
        informed_fraction: 0.6,
    });
    assert_eq!(
        (
            checker.counts.slow_starts.collapses,
            checker.counts.violations()[3]
        ),
        (1, 0)
    );
    checker.on_collapse(&Collapse {
        load: 50.0,
        load_limit: 45.0,
        informed_fraction: 0.7,
    });
    assert_eq!(
        (
            checker.counts.slow_starts.collapses,
            checker.counts.violations()[3]
        ),
        (2, 1)
    );
}

/// Returns limits without hedging and without a grace period.
fn strict_limits() -> RuleLimits {
    RuleLimits {
        max_attempts: 3,
        hedging: false,
        drain_grace: 0,
    }
}

fn keyed_class(scope: KeyScope, ttl: Micros) -> Class {
    Class {
        latency_objective: 1,
        objective_work_factor: 0.0,
        timeout: 1,
        priority_weight: 1.0,
        late_weight_factor: 0.0,
        idempotency: Idempotency::Keyed { scope, ttl },
    }
}

/// Returns a machine with one core of speed 1 in this zone and cell.
fn machine_in_zone_and_cell(zone: u16, cell: u16) -> Machine {
    Machine {
        zone: Zone(zone),
        rack: Rack(0),
        machine_type: MachineType(0),
        cell: Cell(cell),
        cores: 1,
        speed: 1.0,
    }
}

/// Returns a request with one attempt, which was sent at time 0.
fn request_with_attempt(state: AttemptState) -> TrackedRequest {
    let mut request = TrackedRequest::new(
        RequestId(1),
        CallKey::default(),
        ClassIndex(0),
        ProxyIndex(0),
        10_000,
    );
    request.add_attempt(SentAttempt {
        backend: BackendId(0),
        sent_at: 0,
        state,
        key: AttemptKey::default(),
    });
    request
}

/// A keyed request that is sent again, after an attempt at time 0 to a backend of zone 0 and cell 0.
struct KeyedRepeat {
    /// Scope of the key; its lifetime is 1,000 microseconds.
    scope: KeyScope,
    /// Time of the repeat.
    now: Micros,
    /// Zone and cell of the backend of the repeat.
    zone: u16,
    cell: u16,
    /// Whether the first attempt was executed.
    earlier: AttemptState,
}

impl KeyedRepeat {
    /// Returns the counts of rule 2 (idempotency) after the repeat.
    fn counts_after_repeat(&self) -> RepeatCounts {
        let mut checker = RuleChecker::new(strict_limits());
        let send = PendingSend {
            now: self.now,
            request: &request_with_attempt(self.earlier),
            class: &keyed_class(self.scope, 1_000),
            target: &machine_in_zone_and_cell(self.zone, self.cell),
            known_backend: &KnownBackend::default(),
        };
        checker.on_send(send, |_| machine_in_zone_and_cell(0, 0));
        checker.counts.repeats
    }
}

#[test]
fn keyed_repeats_violate_rule_2_after_key_expiry_or_outside_the_key_scope() {
    use AttemptState::{MaybeExecuted, NotExecuted};
    // Scope, time, zone, cell, state of the first attempt; repeats after key expiry, repeats outside the key scope.
    let cases = [
        (KeyScope::AllBackends, 1_000, 1, 1, MaybeExecuted, 0, 0),
        (KeyScope::AllBackends, 1_001, 1, 1, MaybeExecuted, 1, 0),
        (KeyScope::Zone, 500, 0, 1, MaybeExecuted, 0, 0),
        (KeyScope::Zone, 500, 1, 1, MaybeExecuted, 0, 1),
        (KeyScope::Cell, 500, 0, 0, MaybeExecuted, 0, 0),
        (KeyScope::Cell, 2_000, 0, 1, MaybeExecuted, 1, 1),
        (KeyScope::Cell, 2_000, 1, 1, NotExecuted, 0, 0),
    ];
    for (scope, now, zone, cell, earlier, after_key_expiry, outside_key_scope) in cases {
        let repeat = KeyedRepeat {
            scope,
            now,
            zone,
            cell,
            earlier,
        };
        let counts = repeat.counts_after_repeat();
        assert_eq!(
            (counts.after_key_expiry, counts.outside_key_scope),
            (after_key_expiry, outside_key_scope),
            "{scope:?} at {now} in zone {zone}, cell {cell}, {earlier:?}"
        );
    }
}
