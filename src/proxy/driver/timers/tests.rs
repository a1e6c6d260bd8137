use super::*;

#[test]
fn timers_fire_in_the_order_of_their_due_times_and_not_before() {
    let mut timers = DriverTimers::default();
    assert_eq!((timers.next_due(), timers.pop_due(1_000)), (None, None));
    timers.set(30, DriverTimer::FinalAnswer(RequestId(1)));
    timers.set(10, DriverTimer::Balancer(7));
    timers.set(20, DriverTimer::Balancer(8));
    assert_eq!(timers.next_due(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    assert_eq!(timers.pop_due(20), Some(DriverTimer::Balancer(7)));
    assert_eq!(timers.pop_due(20), Some(DriverTimer::Balancer(8)));
    assert_eq!(timers.pop_due(20), None);
    assert_eq!(
        timers.pop_due(30),
        Some(DriverTimer::FinalAnswer(RequestId(1)))
    );
}
