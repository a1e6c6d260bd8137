//! Tests of the tokens of timers.

use super::*;
use std::collections::BTreeSet;

/// Indices of table keys of requests, up to the greatest that fits into a token.
const INDICES: [usize; 5] = [0, 1, 2, 1_000_000, (1 << 30) - 1];

fn all_timers() -> Vec<Timer> {
    let queue_timeouts = INDICES.map(|index| Timer::QueueTimeout(RequestKey::from_index(index)));
    let mut timers = vec![Timer::Subscribe];
    timers.extend(queue_timeouts);
    timers
}

#[test]
fn from_token_returns_the_timer_of_a_token() {
    for timer in all_timers() {
        assert_eq!(Timer::from_token(timer.token()), Some(timer));
    }
}

#[test]
fn timers_have_different_tokens() {
    let tokens: BTreeSet<u32> = all_timers().into_iter().map(Timer::token).collect();
    assert_eq!(tokens.len(), all_timers().len());
}

#[test]
fn from_token_returns_none_for_an_unknown_purpose() {
    for unknown_purpose in [2, 3] {
        for index in [0, 1, u32::MAX >> PURPOSE_BITS] {
            let token = index << PURPOSE_BITS | unknown_purpose;
            assert_eq!(Timer::from_token(token), None, "{token}");
        }
    }
}
