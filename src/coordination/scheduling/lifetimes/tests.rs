use super::*;

fn history(lost: &[f64], up: &[f64]) -> LifetimeHistory {
    let mut history = LifetimeHistory::default();
    for &age_s in lost {
        history.add(Lifetime { age_s, lost: true });
    }
    history.rebuild(up);
    history
}

#[test]
fn survival_and_loss_match_hand_computed_values() {
    let history = history(&[10.0, 20.0, 30.0, 40.0], &[]);
    assert!((history.survival_probability(0.0, 25.0) - 0.5).abs() < 1e-9);
    // Of the three that reach 10, two outlast 25.
    assert!((history.survival_probability(10.0, 15.0) - 2.0 / 3.0).abs() < 1e-9);
    // Losses at 10 and 20 waste 15 on average.
    assert!((history.expected_loss_s(0.0, 25.0) - 15.0).abs() < 1e-9);
}

#[test]
fn survival_is_certain_without_history_or_past_every_lifetime() {
    assert_eq!(LifetimeHistory::default().survival_probability(5.0, 100.0), 1.0);
    assert_eq!(history(&[10.0], &[]).survival_probability(11.0, 5.0), 1.0);
}

#[test]
fn machines_still_up_raise_the_survival_probability() {
    let without = history(&[10.0, 20.0], &[]).survival_probability(0.0, 15.0);
    let with = history(&[10.0, 20.0], &[50.0, 60.0]).survival_probability(0.0, 15.0);
    assert!(with > without);
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..Default::default() })]
    #[test]
    fn survival_is_a_probability_and_does_not_rise_with_run_time(
        lost in proptest::collection::vec(0.1f64..500.0, 0..300),
        up in proptest::collection::vec(0.1f64..500.0, 0..40),
        e in 0.0f64..600.0, d in 0.0f64..300.0, more in 0.0f64..100.0,
    ) {
        let history = history(&lost, &up);
        let p = history.survival_probability(e, d);
        proptest::prop_assert!((0.0..=1.0).contains(&p));
        proptest::prop_assert!(history.survival_probability(e, d + more) <= p + 1e-12);
        proptest::prop_assert!(history.expected_loss_s(e, d) <= d + 1e-9);
    }
}
