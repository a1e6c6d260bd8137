use super::*;

#[test]
fn margins_are_a_fraction_of_a_short_remaining_time() {
    assert_eq!(
        balancer_timeout(15_000_000),
        15_000_000 - BALANCER_MARGIN.max
    );
    assert_eq!(
        final_answer_timeout(15_000_000),
        15_000_000 - FINAL_ANSWER_MARGIN.max
    );
    assert_eq!(balancer_timeout(8_000), 4_000);
    assert_eq!(final_answer_timeout(8_000), 6_000);
    assert_eq!((balancer_timeout(0), final_answer_timeout(0)), (0, 0));
}

#[test]
fn the_balancer_times_out_no_later_than_the_final_answer() {
    for remaining in [1, 1_000, 10_000, 30_000, 60_000, 15_000_000] {
        assert!(balancer_timeout(remaining) <= final_answer_timeout(remaining));
        assert!(final_answer_timeout(remaining) <= remaining);
    }
}

/// Guards against margins that take most of a short timeout: of 53 ms the balancer had 33 ms.
#[test]
fn a_short_timeout_loses_no_more_than_a_fifth_to_the_margins() {
    for remaining in [25_000, 53_000, 80_000, 100_000] {
        assert!(balancer_timeout(remaining) >= remaining * 4 / 5);
        assert!(final_answer_timeout(remaining) >= remaining * 9 / 10);
    }
}
