//! The rule checker counts violations of each rule, by policies that are scripted to violate it.

use super::small_with;
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
use tillerproxy_lab::fleet::rules::{PendingSend, RuleChecker, RuleLimits};
use tillerproxy_lab::fleet::simulation::Simulation;
use tillerproxy_lab::fleet::topology::{Machine, Topology};

const RESTART: &str = r#"
[[event]]
kind = "rolling_restart"
at_s = 0.2
over_s = 0.0
fraction = 0.5
drain_s = 0.5
down_s = 0.2
"#;

const NOTHING: &str = "";

/// Simulates the small scenario under a policy that `script` decides.
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
    let scenario = small_with(event);
    let topology = Topology::new(&scenario, 1);
    let schedule = FaultSchedule::new(&scenario, &topology, 1);
    let factory =
        move |_: Settings, _: u64, _: Micros| Ok(Box::new(Scripted(script())) as Box<dyn Policy>);
    let mut simulation =
        Simulation::new(&scenario, &topology, &schedule, &factory, 1).expect("good settings");
    simulation.run(&ProgressBar::hidden());
    simulation.report("scripted")
}

fn send(request: RequestId, backend: BackendId, give_up_at: Micros) -> Action {
    Action::Send {
        request,
        backend,
        deadline: give_up_at,
        write_deadline: None,
    }
}

#[test]
fn a_policy_that_sends_once_and_fails_what_fails_keeps_all_rules() {
    let report = simulate(NOTHING, || {
        |now, event, actions: &mut Vec<Action>| match event {
            Event::Request(request) => actions.push(send(
                request.id,
                BackendId(request.id.0 % 24),
                now + request.timeout,
            )),
            Event::AttemptEnded(end) if !end.request_answered => actions.push(Action::Fail {
                request: end.request,
            }),
            _ => {}
        }
    });
    assert_eq!(report.rule_violations, [0; 4]);
    assert!(report.calls.within_objective > 500, "{:?}", report.calls);
}

#[test]
fn requests_without_a_final_answer_are_seen() {
    let report = simulate(NOTHING, || |_, _, _: &mut Vec<Action>| {});
    assert!(report.rules.final_answers.accepted > 500);
    assert_eq!(
        report.rules.final_answers.unanswered,
        report.rules.final_answers.accepted
    );
    assert_eq!(report.calls.within_objective + report.calls.late, 0);
}

#[test]
fn sends_and_answers_after_the_final_answer_are_seen() {
    let report = simulate(NOTHING, || {
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
fn concurrent_attempts_and_repeats_of_what_must_not_run_twice_are_seen() {
    let report = simulate(NOTHING, || {
        |now, event, actions: &mut Vec<Action>| match event {
            Event::Request(request) => {
                actions.push(send(request.id, BackendId(0), now + request.timeout));
                actions.push(send(request.id, BackendId(1), now + request.timeout));
            }
            Event::AttemptEnded(end) if !end.request_answered => actions.push(Action::Fail {
                request: end.request,
            }),
            _ => {}
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
fn rejections_of_what_may_have_been_executed_are_seen() {
    let report = simulate(NOTHING, || {
        |now, event, actions: &mut Vec<Action>| match event {
            // Given up before any answer can come.
            Event::Request(request) => {
                actions.push(send(request.id, BackendId(request.id.0 % 24), now + 10))
            }
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
fn sends_to_drained_backends_after_the_grace_are_seen() {
    let event = RESTART.replace("down_s = 0.2", "down_s = 100.0") + "\n";
    let report = simulate(&event, || {
        |now, event, actions: &mut Vec<Action>| match event {
            Event::Request(request) => actions.push(send(
                request.id,
                BackendId(request.id.0 % 24),
                now + request.timeout,
            )),
            Event::AttemptEnded(end) if !end.request_answered => actions.push(Action::Fail {
                request: end.request,
            }),
            _ => {}
        }
    });
    let drains = report.rules.drains;
    assert!(drains.after_grace > 10, "{drains:?}");
    assert!(
        drains.sends_to_unavailable > drains.after_grace,
        "sends within the grace are no violation"
    );
}

#[test]
fn slow_starts_that_informed_proxies_overload_are_seen() {
    let report = simulate(RESTART, || {
        let mut newest: Option<(Micros, BackendId)> = None;
        move |now, event: Event<'_>, actions: &mut Vec<Action>| match event {
            Event::Membership(MembershipEvent::Delta(entries)) => {
                let starts = entries
                    .iter()
                    .filter_map(|entry| entry.started_at.map(|at| (at, entry.id)));
                newest = newest.max(starts.max());
            }
            Event::Request(request) => {
                let backend = newest.map_or(BackendId(request.id.0 % 24), |(_, id)| id);
                actions.push(send(request.id, backend, now + request.timeout));
            }
            Event::AttemptEnded(end) if !end.request_answered => actions.push(Action::Fail {
                request: end.request,
            }),
            _ => {}
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
fn a_collapse_is_a_violation_only_where_informed_proxies_sent_two_thirds_of_the_load() {
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

/// Returns the limits of a checker that allows no hedging and no grace.
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

fn machine_in(zone: u16, cell: u16) -> Machine {
    Machine {
        zone: Zone(zone),
        rack: Rack(0),
        machine_type: MachineType(0),
        cell: Cell(cell),
        cores: 1,
        speed: 1.0,
    }
}

/// A request with one attempt that was sent at 0.
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

/// Counts violations of rule 2 when a keyed request goes from a backend of zone 0 and cell 0, sent at 0, to
/// another at `now`: after the key expired, outside the scope of the key.
fn keyed_repeat(
    scope: KeyScope,
    now: Micros,
    zone: u16,
    cell: u16,
    state: AttemptState,
) -> (u64, u64) {
    let mut checker = RuleChecker::new(strict_limits());
    let send = PendingSend {
        now,
        request: &request_with_attempt(state),
        class: &keyed_class(scope, 1_000),
        target: &machine_in(zone, cell),
        known_backend: &KnownBackend::default(),
    };
    checker.on_send(send, |_| machine_in(0, 0));
    (
        checker.counts.repeats.after_key_expiry,
        checker.counts.repeats.outside_key_scope,
    )
}

#[test]
fn keyed_repeats_are_held_to_the_lifetime_and_scope_of_the_key() {
    use AttemptState::{MaybeExecuted, NotExecuted};
    assert_eq!(
        keyed_repeat(KeyScope::AllBackends, 1_000, 1, 1, MaybeExecuted),
        (0, 0)
    );
    assert_eq!(
        keyed_repeat(KeyScope::AllBackends, 1_001, 1, 1, MaybeExecuted),
        (1, 0)
    );
    assert_eq!(
        keyed_repeat(KeyScope::Zone, 500, 0, 1, MaybeExecuted),
        (0, 0)
    );
    assert_eq!(
        keyed_repeat(KeyScope::Zone, 500, 1, 1, MaybeExecuted),
        (0, 1)
    );
    assert_eq!(
        keyed_repeat(KeyScope::Cell, 500, 0, 0, MaybeExecuted),
        (0, 0)
    );
    assert_eq!(
        keyed_repeat(KeyScope::Cell, 2_000, 0, 1, MaybeExecuted),
        (1, 1)
    );
    assert_eq!(
        keyed_repeat(KeyScope::Cell, 2_000, 1, 1, NotExecuted),
        (0, 0),
        "it was not executed"
    );
}
