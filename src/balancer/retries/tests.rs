//! Tests of the retry budget, and of rule 2 (idempotency) for every idempotency and key scope.

use super::*;
use crate::api::{BackendId, ClassIndex, RequestId};
use crate::balancer::backends::{BackendKey, BackendState};
use crate::balancer::requests::{Attempt, AttemptState};
use crate::balancer::time::SECOND;

const SENT_AT: Micros = 3 * SECOND;
const TTL: Micros = SECOND;
/// Last time at which every backend in the scope still knows the key.
const BEFORE_EXPIRY: Micros = SENT_AT + TTL - 1;
const AT_EXPIRY: Micros = SENT_AT + TTL;

const PERMISSIONS: Permissions = Permissions {
    max_attempts: 3,
    hedging: false,
    cancellation: false,
    health_checks: false,
    idle_timeout: SECOND,
    requests_per_connection: 1,
    max_retry_after: None,
};

const fn keyed(scope: KeyScope) -> Idempotency {
    Idempotency::Keyed { scope, ttl: TTL }
}

/// Every idempotency, with every key scope.
const ALL: [Idempotency; 5] = [
    Idempotency::Idempotent,
    Idempotency::NonIdempotent,
    keyed(KeyScope::AllBackends),
    keyed(KeyScope::Zone),
    keyed(KeyScope::Cell),
];

/// A table with two backends in different zones and cells.
struct Backends {
    table: BackendTable,
    first: BackendKey,
    second: BackendKey,
}

impl Backends {
    fn new() -> Self {
        let mut table = BackendTable::default();
        let mut insert = |id, zone, cell| {
            table.insert(BackendState {
                id: BackendId(id),
                zone: Zone(zone),
                cell: Cell(cell),
                ..BackendState::default()
            })
        };
        let first = insert(1, 2, 5);
        let second = insert(2, 3, 7);
        Self {
            table,
            first,
            second,
        }
    }

    fn scope(&self, now: Micros, request: &OpenRequest, idempotency: Idempotency) -> RetryScope {
        next_attempt_scope(now, request, idempotency, &PERMISSIONS, &self.table)
    }
}

fn open_request(attempts: Vec<Attempt>) -> OpenRequest {
    let deadline = 60 * SECOND;
    OpenRequest {
        attempts,
        ..OpenRequest::new(RequestId(1), ClassIndex(0), false, 0, deadline)
    }
}

fn attempt(backend: BackendKey, sent_at: Micros, state: AttemptState) -> Attempt {
    Attempt {
        state,
        ..Attempt::new(backend, sent_at)
    }
}

#[test]
fn a_request_that_was_not_executed_may_be_sent_to_any_backend() {
    let backends = Backends::new();
    let not_executed = attempt(backends.first, SENT_AT, AttemptState::NotExecuted);
    for attempts in [vec![], vec![not_executed], vec![not_executed; 2]] {
        let request = open_request(attempts);
        for idempotency in ALL {
            for now in [BEFORE_EXPIRY, AT_EXPIRY] {
                let scope = backends.scope(now, &request, idempotency);
                assert_eq!(scope, RetryScope::Anywhere, "{idempotency:?}");
                assert!(may_client_retry(now, &request, idempotency));
                assert_eq!(key_expires_at(&request, idempotency), None);
            }
        }
    }
}

#[test]
fn the_scope_after_a_possible_execution_depends_on_idempotency_and_key_expiry() {
    let backends = Backends::new();
    let executed = attempt(backends.first, SENT_AT, AttemptState::MayHaveExecuted);
    let request = open_request(vec![executed]);
    let zone = RetryScope::Zone(Zone(2));
    let cell = RetryScope::Cell(Cell(5));
    // Scopes before the key expires, and at or after its expiry.
    let expected = [
        (RetryScope::Anywhere, RetryScope::Anywhere),
        (RetryScope::Nowhere, RetryScope::Nowhere),
        (RetryScope::Anywhere, RetryScope::Nowhere),
        (zone, RetryScope::Nowhere),
        (cell, RetryScope::Nowhere),
    ];
    for (idempotency, (before, after)) in ALL.into_iter().zip(expected) {
        let scope_at = |now| backends.scope(now, &request, idempotency);
        assert_eq!(scope_at(BEFORE_EXPIRY), before, "{idempotency:?}");
        assert_eq!(scope_at(AT_EXPIRY), after, "{idempotency:?}");
    }
}

#[test]
fn a_client_may_retry_after_a_possible_execution_if_the_request_is_idempotent_or_all_backends_know_its_key()
 {
    let backends = Backends::new();
    // Whether the client may retry before the key expires, and at or after its expiry.
    let expected = [
        (true, true),
        (false, false),
        (true, false),
        (false, false),
        (false, false),
    ];
    for state in [AttemptState::MayHaveExecuted, AttemptState::InFlight] {
        let request = open_request(vec![attempt(backends.first, SENT_AT, state)]);
        for (idempotency, (before, after)) in ALL.into_iter().zip(expected) {
            let may_retry_at = |now| may_client_retry(now, &request, idempotency);
            assert_eq!(may_retry_at(BEFORE_EXPIRY), before, "{idempotency:?}");
            assert_eq!(may_retry_at(AT_EXPIRY), after, "{idempotency:?}");
        }
    }
}

#[test]
fn scope_and_key_expiry_depend_on_the_first_attempt_that_may_have_been_executed() {
    let backends = Backends::new();
    let request = open_request(vec![
        attempt(backends.second, SENT_AT - SECOND, AttemptState::NotExecuted),
        attempt(backends.first, SENT_AT, AttemptState::MayHaveExecuted),
    ]);
    let zone = keyed(KeyScope::Zone);
    let cell = keyed(KeyScope::Cell);
    assert_eq!(
        backends.scope(BEFORE_EXPIRY, &request, zone),
        RetryScope::Zone(Zone(2))
    );
    assert_eq!(
        backends.scope(BEFORE_EXPIRY, &request, cell),
        RetryScope::Cell(Cell(5))
    );
    assert_eq!(key_expires_at(&request, cell), Some(AT_EXPIRY));
    let later = attempt(backends.second, SENT_AT + 1, AttemptState::MayHaveExecuted);
    let first = attempt(backends.first, SENT_AT, AttemptState::MayHaveExecuted);
    let retried = open_request(vec![first, later]);
    assert_eq!(
        backends.scope(BEFORE_EXPIRY, &retried, zone),
        RetryScope::Zone(Zone(2))
    );
    assert_eq!(key_expires_at(&retried, zone), Some(AT_EXPIRY));
}

#[test]
fn key_expires_at_is_none_for_requests_without_a_key() {
    let backends = Backends::new();
    let executed = attempt(backends.first, SENT_AT, AttemptState::MayHaveExecuted);
    let request = open_request(vec![executed]);
    let expected = [
        None,
        None,
        Some(AT_EXPIRY),
        Some(AT_EXPIRY),
        Some(AT_EXPIRY),
    ];
    for (idempotency, expires_at) in ALL.into_iter().zip(expected) {
        assert_eq!(key_expires_at(&request, idempotency), expires_at);
    }
}

#[test]
fn the_expiry_of_a_key_with_the_maximum_ttl_does_not_overflow() {
    let backends = Backends::new();
    let executed = attempt(backends.first, SENT_AT, AttemptState::MayHaveExecuted);
    let request = open_request(vec![executed]);
    let endless = Idempotency::Keyed {
        scope: KeyScope::AllBackends,
        ttl: Micros::MAX,
    };
    assert_eq!(key_expires_at(&request, endless), Some(Micros::MAX));
    assert_eq!(
        backends.scope(AT_EXPIRY, &request, endless),
        RetryScope::Anywhere
    );
    assert!(may_client_retry(AT_EXPIRY, &request, endless));
}

#[test]
fn a_second_attempt_in_flight_requires_the_hedging_permission() {
    let backends = Backends::new();
    let in_flight = attempt(backends.first, SENT_AT, AttemptState::InFlight);
    let request = open_request(vec![in_flight]);
    let hedging = Permissions {
        hedging: true,
        ..PERMISSIONS
    };
    let with_hedging = [
        RetryScope::Anywhere,
        RetryScope::Nowhere,
        RetryScope::Anywhere,
        RetryScope::Zone(Zone(2)),
        RetryScope::Cell(Cell(5)),
    ];
    for (idempotency, hedged) in ALL.into_iter().zip(with_hedging) {
        let scope = backends.scope(BEFORE_EXPIRY, &request, idempotency);
        assert_eq!(scope, RetryScope::Nowhere, "{idempotency:?}");
        let scope = next_attempt_scope(
            BEFORE_EXPIRY,
            &request,
            idempotency,
            &hedging,
            &backends.table,
        );
        assert_eq!(scope, hedged, "{idempotency:?}");
    }
}

#[test]
fn a_request_that_is_closed_or_streaming_or_has_no_body_left_gets_no_further_attempt() {
    let backends = Backends::new();
    let closed_request = OpenRequest {
        closed: true,
        ..open_request(vec![])
    };
    let streaming = OpenRequest {
        streaming: true,
        ..open_request(vec![])
    };
    let without_body = OpenRequest {
        body_consumed: true,
        ..open_request(vec![])
    };
    for request in [closed_request, streaming, without_body] {
        for idempotency in ALL {
            let scope = backends.scope(SENT_AT, &request, idempotency);
            assert_eq!(scope, RetryScope::Nowhere);
        }
    }
}

#[test]
fn a_request_gets_at_most_the_permitted_number_of_attempts() {
    let backends = Backends::new();
    let not_executed = attempt(backends.first, SENT_AT, AttemptState::NotExecuted);
    for (attempts, expected) in [(2, RetryScope::Anywhere), (3, RetryScope::Nowhere)] {
        let request = open_request(vec![not_executed; attempts]);
        for idempotency in ALL {
            let scope = backends.scope(SENT_AT, &request, idempotency);
            assert_eq!(scope, expected, "after {attempts} attempts");
        }
    }
}

/// Withdraws all tokens of the budget and returns their number.
fn withdraw_all(budget: &mut RetryBudget) -> u32 {
    let mut withdrawals = 0;
    while budget.has_token() {
        budget.withdraw();
        withdrawals += 1;
    }
    withdrawals
}

#[test]
fn a_full_budget_permits_a_burst_of_ten_retries() {
    assert_eq!(withdraw_all(&mut RetryBudget::new()), 10);
}

#[test]
fn ten_requests_add_one_token() {
    let mut budget = RetryBudget::new();
    withdraw_all(&mut budget);
    for _ in 0..9 {
        budget.deposit();
    }
    assert!(!budget.has_token());
    // Ten deposits of 0.1 may add up to slightly less than one token because of rounding, so an eleventh is made.
    budget.deposit();
    budget.deposit();
    assert_eq!(withdraw_all(&mut budget), 1);
    for _ in 0..50 {
        budget.deposit();
    }
    assert_eq!(withdraw_all(&mut budget), 5);
}

#[test]
fn deposits_do_not_exceed_the_burst() {
    let mut budget = RetryBudget::new();
    for _ in 0..1_000 {
        budget.deposit();
    }
    assert_eq!(withdraw_all(&mut budget), 10);
}
