use super::*;

const LINES_PER_SECOND: u32 = 100;

#[test]
fn a_flood_of_lines_is_cut_off_and_counted() {
    let (mut lines, began) = (LineCount::new(LINES_PER_SECOND), Instant::now());
    let written = (0..250)
        .filter(|_| lines.admit(began) != Admission::Refused)
        .count();
    assert_eq!(written as u32, LINES_PER_SECOND);
    let later = began + Duration::from_secs(2);
    assert_eq!(lines.admit(later), Admission::Admitted { left_out: 150 });
    assert_eq!(lines.admit(later), Admission::Admitted { left_out: 0 });
}
