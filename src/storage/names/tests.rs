use super::*;

#[test]
fn interning_deduplicates_names_and_drops_unused_ones() {
    let mut names = NameInterner::default();
    let kept = names.intern("img-a");
    for n in 0..10_000 {
        assert_ne!(names.intern(&format!("img-{n}")), kept);
    }
    // A name in use must keep its allocation when unused names are dropped.
    assert_eq!(names.intern("img-a"), kept);
    assert!(names.known.len() <= 2 * MIN_NAMES + 1, "{}", names.known.len());
}
