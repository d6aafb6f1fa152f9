use super::*;

const ONE: Resources = Resources { cpus: 1.0, gpus: 0.0, mem_gb: 2.0 };
const ALL: Resources = Resources { cpus: 2.0, gpus: 0.0, mem_gb: 8.0 };

fn busy() -> CapacityTimeline {
    let mut timeline = CapacityTimeline::new(ALL);
    timeline.add_task(&ONE, Some(3.0));
    timeline.add_task(&ONE, Some(5.0));
    timeline.sort_changes();
    timeline
}

/// Each core that came free was once promised to any number of waiting tasks: they all
/// waited for it while whole machines stood idle.
#[test]
fn reserved_capacity_is_not_offered_again() {
    let mut timeline = busy();
    assert_eq!(timeline.wait_s(&ONE), Some(3.0));
    timeline.reserve(&ONE, 3.0, 13.0);
    assert_eq!(timeline.wait_s(&ONE), Some(5.0));
    timeline.reserve(&ONE, 5.0, 15.0);
    assert_eq!(timeline.wait_s(&ONE), Some(13.0));
}

#[test]
fn free_capacity_needs_no_wait_and_services_free_nothing() {
    let _timeline = busy();
    assert_eq!(CapacityTimeline::new(ALL).wait_s(&ONE), Some(0.0));
    let mut full = CapacityTimeline::new(ONE);
    full.add_task(&ONE, None);
    assert_eq!(full.wait_s(&ONE), None);
}
