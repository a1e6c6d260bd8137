use super::*;

const LINES_PER_SECOND: u32 = 100;

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let mut limit = LineLimit::new(LINES_PER_SECOND);
    let start = Instant::now();
    let written = (0..250)
        .filter(|_| limit.admit(start) != Admission::Suppressed)
        .count();
    assert_eq!(written as u32, LINES_PER_SECOND);
    let later = start + Duration::from_secs(2);
    assert_eq!(limit.admit(later), Admission::Admitted { suppressed: 150 });
    assert_eq!(limit.admit(later), Admission::Admitted { suppressed: 0 });
}
