use super::*;
use crate::protocol::peer::PeerStatus;
use crate::storage::records;
use crate::units::MachineId;

pub(crate) fn core() -> Core {
    Core::new(crate::settings::tests::example_settings(40.0), Tuning::default())
}

/// Returns the record of job wk-000002, which has one task, with additional fields.
pub(crate) fn record(mut fields: serde_json::Value) -> serde_json::Value {
    fields["at"] = 0.into();
    fields["spec"] = serde_json::json!({
        "ref": "wk-000002", "haul": "c", "crew": "t", "rig": "array", "rank": "normal", "loads": 1,
        "cores": 1.0, "mem_gb": 1.0, "kit": "i", "image_gb": 1.0, "reckon_s": 1.0
    });
    fields
}

/// A process that was suspended must not count its peers as silent or its machines as idle, nor add the suspension to
/// the run times of tasks that exited during it.
#[test]
fn a_clock_jump_does_not_make_peers_silent() {
    let mut core = core();
    core.handle(MonotonicTime(900), 0, Input::Tick);
    core.handle(MonotonicTime(1000), 0, Input::PeerStatus(PeerStatus { from: "n1".into(), ..PeerStatus::default() }));
    core.handle(MonotonicTime(1050), 0, Input::Tick);
    assert_eq!(core.resumed_at, MonotonicTime(0));
    core.handle(MonotonicTime(21_050), 20_000, Input::Tick);
    assert_eq!(core.resumed_at, MonotonicTime(21_050));
    let heard = core.membership.peers().last_heard(&NodeName::new("n1"));
    assert_eq!(heard, Some(MonotonicTime(21_000)));
}

/// With slices of 16 tasks, an array of 25,000 tasks took thousands of writes. A larger slice must still fit into one
/// value with all of its tasks running.
#[test]
fn large_arrays_share_writes_within_one_value() {
    let core = core();
    assert_eq!(core.slice_size(300), 16);
    let size = core.slice_size(25_000);
    assert!((100..200).contains(&size), "{size}");
    let task = |n: u32| records::TaskRecord::Placed(crate::units::Attempt(99), MachineId::new(&format!("i-{n:07}")));
    for tasks in [25_000, 100_000] {
        let record = records::SliceRecord { tasks: (0..core.slice_size(tasks)).map(task).collect() };
        let plan = records::SlicePlan {
            tasks_per_slice: size,
            shards: vec![ShardId(1); tasks.div_ceil(core.slice_size(tasks)) as usize],
        };
        assert!(serde_json::to_vec(&record).unwrap().len() < 8 * 1024);
        assert!(serde_json::to_vec(&plan).unwrap().len() < 6 * 1024);
    }
}
