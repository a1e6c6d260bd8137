//! The slow-start budget by itself: its rate, its burst, withdrawals and deposits.

use super::*;

const MS: Micros = SECOND / 1_000;
const STARTED_AT: Micros = 100 * SECOND;
const DURATION: Micros = 10 * SECOND;
const HOUR: Micros = 3_600 * SECOND;

/// A quarter of the capacity at first; the load factor is so high that all of the present capacity is safe.
const SAFETY: SafetyLimits = SafetyLimits {
    poll_interval: SECOND,
    slow_start_initial_capacity: 0.25,
    slow_start_duration: DURATION,
    collapse_load_factor: 4.0,
    collapse_time: SECOND,
};

/// This proxy's part of a warm backend is 8 requests a second.
const CAPACITY: WarmCapacity = WarmCapacity {
    requests_per_s: 64.0,
    proxy_fraction: 0.125,
    rounding_gain: 1.0,
};

/// Returns an empty budget that was last refilled at `now`.
fn empty_budget(now: Micros, safety: &SafetyLimits) -> SlowStartBudget {
    let mut budget = SlowStartBudget::new(now, STARTED_AT, 0.0);
    budget.refill(now, safety, &CAPACITY);
    budget
}

/// Asserts that an empty budget of `now` has its first token after exactly this time.
fn assert_first_token_after(now: Micros, safety: &SafetyLimits, wait: Micros) {
    let budget = empty_budget(now, safety);
    assert!(!budget.has_token(now + wait - 1), "before {wait} us");
    assert!(budget.has_token(now + wait), "after {wait} us");
}

#[test]
fn tokens_come_at_the_rate_of_the_present_capacity() {
    // A quarter of 8 requests a second at first, five eighths of them halfway, all in the end and later.
    assert_first_token_after(STARTED_AT, &SAFETY, 500 * MS);
    assert_first_token_after(STARTED_AT + DURATION / 2, &SAFETY, 200 * MS);
    assert_first_token_after(STARTED_AT + DURATION, &SAFETY, 125 * MS);
    assert_first_token_after(STARTED_AT + HOUR, &SAFETY, 125 * MS);
}

#[test]
fn a_backend_that_starts_in_the_future_has_its_initial_capacity() {
    assert_first_token_after(STARTED_AT - 5 * SECOND, &SAFETY, 500 * MS);
}

#[test]
fn only_a_safe_part_of_the_load_at_which_a_backend_collapses_is_sent() {
    // 0.3 of 1.25 times the capacity: 0.375 of 2 requests a second.
    let fragile = SafetyLimits {
        collapse_load_factor: 1.25,
        ..SAFETY
    };
    assert_first_token_after(STARTED_AT, &fragile, 1_333_334);
}

#[test]
fn a_proxy_with_more_slots_than_its_part_of_the_limit_may_send_more() {
    let capacity = WarmCapacity {
        rounding_gain: 2.0,
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
fn a_token_is_withdrawn_and_deposited() {
    let mut budget = SlowStartBudget::new(STARTED_AT, STARTED_AT, 1.0);
    assert!(budget.had_token() && budget.has_token(STARTED_AT));
    budget.withdraw();
    assert!(!budget.had_token() && !budget.has_token(STARTED_AT));
    budget.deposit();
    assert!(budget.had_token() && budget.has_token(STARTED_AT));
}

#[test]
fn a_refill_keeps_what_came_at_the_rate_before_it() {
    let mut budget = empty_budget(STARTED_AT, &SAFETY);
    budget.refill(STARTED_AT + 250 * MS, &SAFETY, &CAPACITY);
    assert!(!budget.had_token(), "half a token");
    budget.refill(STARTED_AT + 500 * MS, &SAFETY, &CAPACITY);
    assert!(budget.had_token());
}

/// Returns how many tokens a budget holds an hour after its refill, when this proxy's part of the warm backend is so many
/// requests a second.
fn tokens_after_an_hour(requests_per_s: f64) -> u32 {
    let warm = STARTED_AT + DURATION;
    let capacity = WarmCapacity {
        requests_per_s,
        proxy_fraction: 1.0,
        rounding_gain: 1.0,
    };
    let mut budget = SlowStartBudget::new(warm, STARTED_AT, 0.0);
    budget.refill(warm, &SAFETY, &capacity);
    budget.refill(warm + HOUR, &SAFETY, &capacity);
    let mut tokens = 0;
    while budget.had_token() {
        budget.withdraw();
        tokens += 1;
    }
    tokens
}

#[test]
fn a_budget_holds_the_tokens_of_a_quarter_of_a_second_and_one_at_least() {
    for (requests_per_s, tokens) in [(1.0, 1), (2.0, 1), (7.9, 1), (8.0, 2), (40.0, 10)] {
        assert_eq!(
            tokens_after_an_hour(requests_per_s),
            tokens,
            "{requests_per_s} requests a second"
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
fn a_budget_is_checked_when_it_holds_a_token_and_at_least_once_a_window() {
    let check_after = |tokens| {
        let mut budget = SlowStartBudget::new(STARTED_AT, STARTED_AT, tokens);
        budget.refill(STARTED_AT, &SAFETY, &CAPACITY);
        budget.next_check_at() - STARTED_AT
    };
    assert_eq!(check_after(0.0), MIN_WINDOW, "the token is due later");
    assert_eq!(check_after(0.75), 125 * MS);
    assert_eq!(check_after(1.0), 1, "at once, but not in the same moment");
    let without_rate = SlowStartBudget::new(STARTED_AT, STARTED_AT, 0.0);
    assert_eq!(without_rate.next_check_at(), STARTED_AT + MIN_WINDOW);
}
