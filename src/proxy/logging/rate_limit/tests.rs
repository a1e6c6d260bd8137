use super::*;
use std::time::Duration;

#[test]
fn a_flood_of_lines_is_cut_off_and_counted() {
    let (lines, began) = (Cell::default(), Instant::now());
    let written = (0..250).filter(|_| admit_line(began, &lines).is_some()).count();
    assert_eq!(written as u32, LOG_LINES_PER_SECOND);
    assert_eq!(admit_line(began + Duration::from_secs(2), &lines), Some(150));
    assert_eq!(admit_line(began + Duration::from_secs(2), &lines), Some(0));
}
