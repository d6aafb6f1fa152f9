use super::*;

#[test]
fn retries_of_a_job_that_always_fails_back_off() {
    let job = JobId::new("wk-1");
    let mut failures = FailureHistory::default();
    let (mut now, mut tries) = (MonotonicTime(0), 0);
    while now.0 < 600_000 {
        if !failures.in_backoff(&job, now) {
            tries += 1;
            failures.record(&job, &MachineId::new(&format!("i-{}", tries % 7)), now);
        }
        now = now + Millis(100);
    }
    assert!((10..20).contains(&tries), "{tries} tries");
    failures.prune(now + FAILURE_RETENTION, |_| false);
    assert!(!failures.failed_on_several(&job));
}
