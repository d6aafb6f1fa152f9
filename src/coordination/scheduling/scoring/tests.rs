use super::*;
use crate::coordination::scheduling::lifetimes::Lifetime;

fn history() -> LifetimeHistory {
    let mut history = LifetimeHistory::default();
    for age_s in [10.0, 20.0, 30.0, 40.0] {
        history.add(Lifetime { age_s, lost: true });
    }
    history.rebuild(&[]);
    history
}

#[test]
fn expected_completion_matches_hand_computed_value() {
    // Fresh machine, d = 15: p = 3/4, w = 10; R = 15 + (1/4)/(3/4)·10 = 18.333.
    let r = fresh_machine_completion_s(&history(), 15.0);
    assert!((r - (15.0 + 10.0 / 3.0)).abs() < 1e-9);
    // E = 0 + 0.75·15 + 0.25·(10 + 18.333).
    let e = expected_completion(
        &history(),
        PlacementTiming { age_s: 0.0, wait_s: 0.0, run_s: 15.0, checkpoint_interval_s: 0.0 },
    );
    assert!((e - (11.25 + 0.25 * (10.0 + r))).abs() < 1e-9);
}

#[test]
fn completion_without_history_is_wait_plus_run_time() {
    let e = expected_completion(
        &LifetimeHistory::default(),
        PlacementTiming { age_s: 5.0, wait_s: 3.0, run_s: 7.0, checkpoint_interval_s: 0.0 },
    );
    assert_eq!(e, 10.0);
}

#[test]
fn overdue_task_needs_as_long_as_it_has_run() {
    assert_eq!(remaining_run_s(50.0, 20.0), 30.0);
    assert_eq!(remaining_run_s(50.0, 60.0), 60.0);
}
