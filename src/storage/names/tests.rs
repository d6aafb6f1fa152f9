use super::*;

#[test]
fn equal_texts_get_one_name_and_unused_names_are_dropped() {
    let mut names = NameInterner::default();
    let kept = names.intern("img-a");
    for n in 0..10_000 {
        assert_ne!(names.intern(&format!("img-{n}")), kept);
    }
    // Dropping unused names must not give one in use a second allocation.
    assert_eq!(names.intern("img-a"), kept);
    assert!(names.known.len() <= 2 * MIN_NAMES + 1, "{}", names.known.len());
}
