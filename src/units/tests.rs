use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(14), failure_persistence: None, ..Default::default() })]
    /// All versions of the program rely on ids having the same order as strings.
    #[test]
    fn text_ids_compare_and_hash_like_strings(a in "[a-c\\x00é]{0,18}", b in "[a-c\\x00é]{0,18}", tail in "[ab]{0,3}") {
        for (a, b) in [(a.clone(), b.clone()), (a.clone(), format!("{a}{tail}")), (format!("{a}{b}"), a.clone())] {
            let (x, y) = (JobId::new(&a), JobId::new(&b));
            prop_assert_eq!(x.cmp(&y), a.cmp(&b));
            prop_assert_eq!(x == y, a == b);
            let hash = |name: &JobId| {
                let mut hasher = std::hash::DefaultHasher::new();
                name.hash(&mut hasher);
                hasher.finish()
            };
            prop_assert!(x != y || hash(&x) == hash(&y));
        }
    }
}
