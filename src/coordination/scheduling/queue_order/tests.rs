use super::*;

fn job(id: u32, time_left_s: f64, work_cpu_s: f64) -> QueuedJob<u8, u32> {
    QueuedJob { rank: 1, time_left_s, run_s: 10.0, work_cpu_s, accepted_at_ms: u64::from(id), id }
}

#[test]
fn with_cores_for_all_the_least_spare_time_goes_first() {
    let order = serve_order(vec![job(1, 90.0, 100.0), job(2, 40.0, 100.0), job(3, 60.0, 100.0)], 10.0);
    assert_eq!(order, [2, 3, 1]);
}

/// In a burst, all jobs once came to be a little late, one after the other.
#[test]
fn of_too_much_work_the_largest_job_yields() {
    let order = serve_order(vec![job(1, 40.0, 380.0), job(2, 45.0, 100.0), job(3, 50.0, 100.0)], 10.0);
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn late_jobs_yield_but_not_across_ranks() {
    let mut low = job(3, 500.0, 10.0);
    low.rank = 2;
    let order = serve_order(vec![job(1, 2.0, 10.0), job(2, 90.0, 10.0), low], 10.0);
    assert_eq!(order, [2, 1, 3]);
}
