use super::*;

#[test]
fn a_milestone_records_its_first_time_since_the_first_input() {
    let mut progress = StartupProgress { started_at: Some(MonotonicTime(500)), ..StartupProgress::default() };
    progress.reach(Milestone::RecordsRead, MonotonicTime(900));
    progress.reach(Milestone::RecordsRead, MonotonicTime(5000));
    assert_eq!(progress.reached[&Milestone::RecordsRead], Millis(400));
}
