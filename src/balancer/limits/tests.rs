//! Tests of concurrency limits: windows, decreases, increases and their bounds.

mod backend;
mod machine_type;
mod window;

use super::*;
use crate::balancer::tests::assert_close;

const NOW: Micros = 100 * SECOND;
/// A sample above the latency threshold.
const SLOW: f64 = 1.5;
/// A sample below the latency threshold.
const QUICK: f64 = 0.5;

#[test]
fn the_sum_of_limit_and_slot_offset_is_rounded_down_to_slots() {
    for (limit, slot_offset, slots) in [
        (1.5, 0.25, 1),
        (1.5, 0.5, 2),
        (0.25, 0.5, 0),
        (0.25, 0.75, 1),
        (0.0, 0.0, 0),
        (64.0, 0.999, 64),
    ] {
        assert_eq!(whole_slots(limit, slot_offset), slots);
    }
}
