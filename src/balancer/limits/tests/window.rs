//! Tests of windows of samples.

use super::*;

#[test]
fn a_window_has_enough_samples_once_it_has_six() {
    let mut window = Window::new(NOW);
    for _ in 0..5 {
        window.add(QUICK);
        assert!(!window.has_enough_samples());
    }
    window.add(QUICK);
    assert!(window.has_enough_samples());
}

#[test]
fn a_window_returns_the_mean_of_its_samples_and_its_age() {
    let mut window = Window::new(NOW);
    assert_eq!(window.mean(), 0.0);
    for sample in [0.5, 1.0, 3.0] {
        window.add(sample);
    }
    assert_close(window.mean(), 1.5);
    assert_eq!(window.started_at(), NOW);
    assert_eq!(window.age(NOW + 7), 7);
}

#[test]
fn a_window_stays_marked_once_the_limit_was_nearly_reached() {
    let mut window = Window::new(NOW);
    assert!(!window.was_near_limit());
    window.mark_near_limit();
    window.add(QUICK);
    assert!(window.was_near_limit());
}
