use super::*;

const ONE: Resources = Resources { cpus: 1.0, gpus: 0.0, mem_gb: 2.0 };
const ALL: Resources = Resources { cpus: 2.0, gpus: 0.0, mem_gb: 8.0 };

fn busy_timeline() -> CapacityTimeline {
    let mut timeline = CapacityTimeline::new(ALL);
    timeline.add_task(&ONE, Some(3.0));
    timeline.add_task(&ONE, Some(5.0));
    timeline.sort_changes();
    timeline
}

/// Counting reserved capacity as free promised each released core to any number of waiting tasks,
/// which then waited while whole machines were idle.
#[test]
fn wait_excludes_reserved_capacity() {
    let mut timeline = busy_timeline();
    assert_eq!(timeline.wait_s(&ONE), Some(3.0));
    timeline.reserve(&ONE, 3.0, 13.0);
    assert_eq!(timeline.wait_s(&ONE), Some(5.0));
    timeline.reserve(&ONE, 5.0, 15.0);
    assert_eq!(timeline.wait_s(&ONE), Some(13.0));
}

#[test]
fn wait_is_zero_when_free_and_none_when_held_indefinitely() {
    let _busy = busy_timeline();
    assert_eq!(CapacityTimeline::new(ALL).wait_s(&ONE), Some(0.0));
    let mut full = CapacityTimeline::new(ONE);
    full.add_task(&ONE, None);
    assert_eq!(full.wait_s(&ONE), None);
}
