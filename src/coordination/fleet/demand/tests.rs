use super::*;

/// A flat share of headroom was too little for large jobs with tight
/// deadlines, and too much for many small ones.
#[test]
fn few_large_jobs_swing_more_than_many_small_ones() {
    let large = swing(&[(200.0, 60.0); 10], 100.0);
    let small = swing(&[(20.0, 60.0); 100], 100.0);
    assert!((large - 490.0).abs() < 1.0, "{large}");
    assert!((small - 155.0).abs() < 1.0, "{small}");
}
