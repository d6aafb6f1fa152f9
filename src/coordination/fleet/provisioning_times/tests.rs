use super::*;

fn under_way(ages: &[f64]) -> BTreeMap<TypeInZone, Vec<f64>> {
    BTreeMap::from([(TypeInZone::new("big", "a"), ages.to_vec())])
}

/// With a limit at a fixed multiple of the catalog's time, every machine was returned and rented again
/// while all boots were slow.
#[test]
fn slow_boots_are_awaited_and_stuck_boots_given_up() {
    let mut provisioning_times = ProvisioningTimes::default();
    assert!(!provisioning_times.should_give_up("big", "a", 20.0, 80.0, false));
    assert!(provisioning_times.should_give_up("big", "a", 20.0, 80.0, true), "a later rental is up already");
    assert!(provisioning_times.should_give_up("big", "a", 20.0, 250.0, false), "the boot is stuck");
    for after in [70.0, 80.0, 90.0] {
        provisioning_times.record_ready("big", "a", after);
    }
    provisioning_times.learn(&under_way(&[60.0, 61.0]));
    assert_eq!(provisioning_times.typical_s("big", "a", 20.0), 80.0);
    assert!(!provisioning_times.should_give_up("big", "a", 20.0, 200.0, true));
    assert_eq!(provisioning_times.typical_s("big", "b", 20.0), 20.0);
}

/// Boots under way count as lasting at least their age, and late boots count for part of their cores.
#[test]
fn unfinished_boots_are_censored() {
    let mut provisioning_times = ProvisioningTimes::default();
    provisioning_times.record_ready("big", "a", 10.0);
    provisioning_times.record_ready("big", "a", 90.0);
    provisioning_times.learn(&under_way(&[60.0; 3]));
    assert_eq!(provisioning_times.typical_s("big", "a", 20.0), 90.0);
    provisioning_times = ProvisioningTimes::default();
    provisioning_times.record_given_up("big", "a", 300.0);
    provisioning_times.learn(&under_way(&[500.0]));
    assert!(provisioning_times.should_give_up("big", "a", 20.0, 500.0, false), "its own age does not extend the limit");
    assert_eq!(ProvisioningTimes::default().expected_share("big", "a", 20.0, 30.0), 1.0);
    assert_eq!(ProvisioningTimes::default().expected_share("big", "a", 20.0, 55.0), LATE_BOOT_SHARE);
}
