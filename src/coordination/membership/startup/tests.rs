use super::*;

#[test]
fn a_milestone_counts_from_the_first_input_and_once() {
    let mut start = StartupProgress { began: Some(MonotonicTime(500)), ..StartupProgress::default() };
    start.reach(Milestone::RecordsRead, MonotonicTime(900));
    start.reach(Milestone::RecordsRead, MonotonicTime(5000));
    assert_eq!(start.reached[&Milestone::RecordsRead], Millis(400));
}
