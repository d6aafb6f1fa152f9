use super::*;

/// Headroom as a fixed share of the load was too small for large jobs with tight deadlines, and too
/// large for many small ones.
#[test]
fn load_of_few_large_jobs_deviates_more_than_of_many_small_ones() {
    let large = load_deviation(&[JobLoad { cpus: 200.0, run_s: 60.0 }; 10], 100.0);
    let small = load_deviation(&[JobLoad { cpus: 20.0, run_s: 60.0 }; 100], 100.0);
    assert!((large - 490.0).abs() < 1.0, "{large}");
    assert!((small - 155.0).abs() < 1.0, "{small}");
}
