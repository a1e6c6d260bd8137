//! Tests of the slow-start budget: its rate and capacity, withdrawals and deposits.

use super::*;
use crate::balancer::time::SECOND;

const MS: Micros = SECOND / 1_000;
const STARTED_AT: Micros = 100 * SECOND;
const DURATION: Micros = 10 * SECOND;
const HOUR: Micros = 3_600 * SECOND;

/// Safety limits with an initial capacity of a quarter. The collapse load factor is so high that a load of the whole
/// present capacity is safe.
const SAFETY: SafetyLimits = SafetyLimits {
    poll_interval: SECOND,
    slow_start_initial_capacity: 0.25,
    slow_start_duration: DURATION,
    collapse_load_factor: 4.0,
    collapse_time: SECOND,
};

/// Capacity of a warm backend. This proxy's share of it is 8 requests per second.
const CAPACITY: WarmCapacity = WarmCapacity {
    requests_per_s: 64.0,
    proxy_fraction: 0.125,
    rounding_factor: 1.0,
};

/// Returns an empty budget that was last refilled at `now`.
fn empty_budget(now: Micros, safety: &SafetyLimits) -> SlowStartBudget {
    let mut budget = SlowStartBudget::new(now, STARTED_AT, 0.0);
    budget.refill(now, safety, &CAPACITY);
    budget
}

/// Asserts that a budget that is empty at `now` holds its first token after exactly `wait`.
fn assert_first_token_after(now: Micros, safety: &SafetyLimits, wait: Micros) {
    let budget = empty_budget(now, safety);
    assert!(!budget.has_token(now + wait - 1), "before {wait} us");
    assert!(budget.has_token(now + wait), "after {wait} us");
}

#[test]
fn tokens_accrue_at_a_rate_that_grows_with_the_backends_age() {
    // The rate is a quarter of 8 requests per second at the start, five eighths of it halfway and all of it from the
    // end on.
    assert_first_token_after(STARTED_AT, &SAFETY, 500 * MS);
    assert_first_token_after(STARTED_AT + DURATION / 2, &SAFETY, 200 * MS);
    assert_first_token_after(STARTED_AT + DURATION, &SAFETY, 125 * MS);
    assert_first_token_after(STARTED_AT + HOUR, &SAFETY, 125 * MS);
}

#[test]
fn a_backend_with_a_start_time_in_the_future_has_the_initial_capacity() {
    assert_first_token_after(STARTED_AT - 5 * SECOND, &SAFETY, 500 * MS);
}

#[test]
fn the_rate_is_at_most_30_percent_of_the_collapse_load() {
    // 0.3 * 1.25 = 0.375 of the initial 2 requests per second.
    let fragile = SafetyLimits {
        collapse_load_factor: 1.25,
        ..SAFETY
    };
    assert_first_token_after(STARTED_AT, &fragile, 1_333_334);
}

#[test]
fn the_rounding_factor_multiplies_the_rate() {
    let capacity = WarmCapacity {
        rounding_factor: 2.0,
        ..CAPACITY
    };
    let mut budget = SlowStartBudget::new(STARTED_AT, STARTED_AT, 0.0);
    budget.refill(STARTED_AT, &SAFETY, &capacity);
    assert!(!budget.has_token(STARTED_AT + 250 * MS - 1));
    assert!(budget.has_token(STARTED_AT + 250 * MS));
}

#[test]
fn a_budget_does_not_grow_before_its_first_refill() {
    let budget = SlowStartBudget::new(STARTED_AT, STARTED_AT, 0.75);
    assert!(!budget.has_token(STARTED_AT + HOUR));
    assert_eq!(budget.started_at(), STARTED_AT);
}

#[test]
fn withdraw_removes_one_token_and_deposit_adds_one() {
    let mut budget = SlowStartBudget::new(STARTED_AT, STARTED_AT, 1.0);
    assert!(budget.has_stored_token() && budget.has_token(STARTED_AT));
    budget.withdraw();
    assert!(!budget.has_stored_token() && !budget.has_token(STARTED_AT));
    budget.deposit();
    assert!(budget.has_stored_token() && budget.has_token(STARTED_AT));
}

#[test]
fn a_refill_adds_the_tokens_accrued_at_the_previous_rate() {
    let mut budget = empty_budget(STARTED_AT, &SAFETY);
    budget.refill(STARTED_AT + 250 * MS, &SAFETY, &CAPACITY);
    assert!(!budget.has_stored_token(), "half a token");
    budget.refill(STARTED_AT + 500 * MS, &SAFETY, &CAPACITY);
    assert!(budget.has_stored_token());
}

/// Returns the number of whole tokens that a budget holds one hour after it was empty, if this proxy's share of the
/// capacity of the warm backend is `requests_per_s`.
fn tokens_after_an_hour(requests_per_s: f64) -> u32 {
    let warm = STARTED_AT + DURATION;
    let capacity = WarmCapacity {
        requests_per_s,
        proxy_fraction: 1.0,
        rounding_factor: 1.0,
    };
    let mut budget = SlowStartBudget::new(warm, STARTED_AT, 0.0);
    budget.refill(warm, &SAFETY, &capacity);
    budget.refill(warm + HOUR, &SAFETY, &capacity);
    let mut tokens = 0;
    while budget.has_stored_token() {
        budget.withdraw();
        tokens += 1;
    }
    tokens
}

#[test]
fn a_budget_holds_at_most_the_tokens_of_250_ms_and_at_least_one() {
    for (requests_per_s, tokens) in [(1.0, 1), (2.0, 1), (7.9, 1), (8.0, 2), (40.0, 10)] {
        assert_eq!(
            tokens_after_an_hour(requests_per_s),
            tokens,
            "{requests_per_s} requests per second"
        );
    }
}

#[test]
fn slow_start_is_over_after_its_duration() {
    let budget = empty_budget(STARTED_AT, &SAFETY);
    assert!(!budget.is_over(STARTED_AT + DURATION - 1, &SAFETY));
    assert!(budget.is_over(STARTED_AT + DURATION, &SAFETY));
    let never_warm = SlowStartBudget::new(STARTED_AT, Micros::MAX, 0.0);
    assert!(!never_warm.is_over(Micros::MAX - 1, &SAFETY));
}

#[test]
fn the_next_token_check_is_when_a_token_is_due_or_after_the_minimum_window_if_earlier() {
    let check_after = |tokens| {
        let mut budget = SlowStartBudget::new(STARTED_AT, STARTED_AT, tokens);
        budget.refill(STARTED_AT, &SAFETY, &CAPACITY);
        budget.next_token_check_at() - STARTED_AT
    };
    assert_eq!(
        check_after(0.0),
        MIN_WINDOW_DURATION,
        "the token is due later"
    );
    assert_eq!(check_after(0.75), 125 * MS);
    assert_eq!(
        check_after(1.0),
        1,
        "the check must be later than the refill"
    );
    let without_rate = SlowStartBudget::new(STARTED_AT, STARTED_AT, 0.0);
    assert_eq!(
        without_rate.next_token_check_at(),
        STARTED_AT + MIN_WINDOW_DURATION
    );
}
