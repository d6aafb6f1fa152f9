use super::*;
use crate::storage::cache::StateCache;
use crate::units::{Attempt, JobId, MachineId};
use proptest::prelude::*;

fn task() -> impl Strategy<Value = TaskRecord> {
    prop_oneof![
        (0u64..3).prop_map(|a| TaskRecord::Pending(Attempt(a))),
        (1u64..3, 0u32..2).prop_map(|(a, m)| TaskRecord::Placed(Attempt(a), MachineId::new(&format!("i-{m}")))),
        Just(TaskRecord::Done),
    ]
}

#[derive(Debug, Clone)]
enum Step {
    Durable(Option<Vec<TaskRecord>>),
    Desired(Option<Vec<TaskRecord>>),
    DesiredTask(usize, TaskRecord),
}

fn step() -> impl Strategy<Value = Step> {
    let tasks = || proptest::option::of(proptest::collection::vec(task(), 5));
    prop_oneof![
        1 => tasks().prop_map(Step::Durable),
        1 => tasks().prop_map(Step::Desired),
        4 => (0usize..6, task()).prop_map(|(offset, state)| Step::DesiredTask(offset, state)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..Default::default() })]
    /// Writes and scheduling cycles rely on the counts: a stale count would leave a placed
    /// task unwritten or a pending task unscheduled.
    #[test]
    fn task_counts_match_slices_after_each_change(steps in proptest::collection::vec((0usize..2, step()), 1..40)) {
        let text = serde_json::json!({
            "spec": {"ref": "wk-1", "haul": "c", "crew": "t", "rig": "array", "rank": "normal", "loads": 10,
                "cores": 1.0, "mem_gb": 1.0, "kit": "i", "image_gb": 1.0, "reckon_s": 1.0},
            "at": 0, "plan": {"size": 5, "parts": [0, 1]}
        });
        let mut cache = StateCache::default();
        cache.apply("t/j/wk-1", Some(text), Revision(1));
        let id = JobId::new("wk-1");
        for (n, (index, step)) in steps.into_iter().enumerate() {
            let revision = Revision(2 + n as u64);
            match step {
                Step::Durable(tasks) => {
                    let value = tasks.map(|tasks| serde_json::to_value(SliceRecord { tasks }).unwrap());
                    cache.apply(&format!("t/s/wk-1/{index}"), value, revision);
                }
                Step::Desired(tasks) => {
                    cache.jobs[&id].set_desired(index, tasks.map(|tasks| SliceRecord { tasks }));
                }
                Step::DesiredTask(offset, state) => {
                    cache.jobs[&id].set_task(index, offset, state);
                }
            }
            let mut counts = TaskCounts::default();
            for slice in cache.jobs[&id].slices() {
                let mut recounted = Slice::from_durable(revision, slice.record().cloned());
                recounted.set_desired(slice.desired().cloned());
                prop_assert_eq!(slice.counts(), recounted.counts());
                counts = counts.replaced(TaskCounts::default(), recounted.counts());
            }
            prop_assert_eq!(cache.jobs[&id].counts, counts);
        }
    }
}
