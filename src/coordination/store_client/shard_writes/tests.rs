use super::*;
use crate::units::{Attempt, MachineId, Revision};

fn slice(held: &[TaskRecord], desired: &[TaskRecord]) -> Slice {
    let record = |tasks: &[TaskRecord]| Some(SliceRecord { tasks: tasks.to_vec() });
    let mut slice = Slice::from_durable(Revision(1), record(held));
    slice.set_desired(record(desired));
    slice
}

/// Guards against task starts that wait for seconds behind exits for the shard's share of writes.
#[test]
fn starts_are_written_before_exits_but_nothing_starves() {
    let on = |n: u64| TaskRecord::Placed(Attempt(n), MachineId::new("i-000001"));
    let start = WriteUrgency::of(&slice(&[on(1), TaskRecord::Pending(Attempt(0))], &[TaskRecord::Done, on(1)]), false);
    let exit = WriteUrgency::of(&slice(&[on(1), on(1)], &[TaskRecord::Done, on(1)]), false);
    let last = WriteUrgency::of(&slice(&[TaskRecord::Done, on(1)], &[TaskRecord::Done, TaskRecord::Done]), false);
    assert!(start < last && last < exit, "{start:?} {last:?} {exit:?}");
    assert_eq!(exit.after_wait(Millis(500)), WriteUrgency::Exit);
    assert_eq!(exit.after_wait(Millis(2500)), WriteUrgency::Soon);
    assert_eq!(WriteUrgency::of(&slice(&[on(1)], &[on(1)]), true).after_wait(Millis(22_000)), WriteUrgency::Soon);
}
