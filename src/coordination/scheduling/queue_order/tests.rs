use super::*;

fn job(id: u32, time_left_s: f64, work_cpu_s: f64) -> QueuedJob<u8, u32> {
    QueuedJob { rank: 1, time_left_s, run_s: 10.0, work_cpu_s, accepted_at_ms: u64::from(id), id }
}

#[test]
fn least_spare_time_goes_first_with_enough_cores() {
    let order = serve_order(vec![job(1, 90.0, 100.0), job(2, 40.0, 100.0), job(3, 60.0, 100.0)], 10.0);
    assert_eq!(order, [2, 3, 1]);
}

/// With more work than the cores can do on time, ordering by time alone makes all jobs a little
/// late.
#[test]
fn largest_job_goes_last_when_not_all_can_be_on_time() {
    let order = serve_order(vec![job(1, 40.0, 380.0), job(2, 45.0, 100.0), job(3, 50.0, 100.0)], 10.0);
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn late_jobs_go_last_within_their_rank() {
    let mut low = job(3, 500.0, 10.0);
    low.rank = 2;
    let order = serve_order(vec![job(1, 2.0, 10.0), job(2, 90.0, 10.0), low], 10.0);
    assert_eq!(order, [2, 1, 3]);
}
