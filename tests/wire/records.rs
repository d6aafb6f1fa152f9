//! Golden tests of the keys and records in the state service.

use super::assert_golden;
use super::users::job_spec;
use serde::{de::DeserializeOwned, Serialize};
use serde_json::json;
use std::fmt::Debug;
use tillercleat::protocol::users::JobSpec;
use tillercleat::storage::records::*;
use tillercleat::units::*;

/// Serializes a record and checks that it reads back equal.
fn stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(key: &str, record: &T) -> String {
    let value = serde_json::to_value(record).expect("a value");
    assert_eq!(serde_json::from_value::<T>(value.clone()).expect("a record"), *record);
    format!("{key} {value}")
}

#[test]
fn keys_keep_their_form_and_are_read_back() {
    let (job, node, shard) = (JobId::new("wk-000412"), NodeName::new("n1"), ShardId(2));
    let keys = [
        (LEADER_KEY.into(), Some(RecordKey::Leader)),
        (CATALOG_KEY.into(), Some(RecordKey::Catalog)),
        (FLEET_KEY.into(), Some(RecordKey::Fleet)),
        (FEATURE_LEVEL_KEY.into(), Some(RecordKey::FeatureLevel)),
        (node_key(&node), Some(RecordKey::Node(node.clone()))),
        (owner_key(shard), Some(RecordKey::Owner(shard))),
        (quota_key(shard), Some(RecordKey::Quota(shard))),
        (job_key(&job), Some(RecordKey::Job(job.clone()))),
        (slice_key(&job, 3), Some(RecordKey::Slice(job.clone(), 3))),
        (lease_proxy_key(shard, &node), Some(RecordKey::LeaseProxy(shard, node))),
        (archived_job_key(&job), None),
    ];
    for (key, meaning) in &keys {
        assert!(key.starts_with(ROOT) != meaning.is_none(), "{key}");
        assert_eq!(RecordKey::parse(key), *meaning, "{key}");
    }
    for odd in ["", "t/", "t/n", "t/o/x", "t/a/-1", "t/s/wk-1", "t/s/wk-1/x", "t/w/2", "t/w/x/n1", "t/q/1", "o/d"] {
        assert_eq!(RecordKey::parse(odd), None, "{odd}");
    }
    assert_golden("keys.txt", &keys.map(|(key, _)| key));
}

#[test]
fn names_keep_their_shards() {
    let shard =
        |name: &str| format!("{name} {} {} {}", ShardId::of(name, 3), ShardId::of(name, 5), ShardId::of(name, 12));
    assert_golden("parts.txt", &["", "i-000001", "i-000002", "wk-000412", "blue", "é"].map(shard));
}

#[test]
fn records_keep_their_stored_form() {
    let lease = LeaseId(7);
    let machine = |name: &str| MachineId::new(name);
    let bare = JobRecord::new(JobSpec { types: None, zone: None, deadline_s: None, ..job_spec() }, 4000);
    let plan = Some(SlicePlan { tasks_per_slice: 16, shards: vec![ShardId(2), ShardId(0), ShardId(1)] });
    let dependencies = Dependencies(vec![JobId::new("wk-000001"), JobId::new("wk-abc")]);
    let waiting = JobRecord {
        plan: Some(SlicePlan { tasks_per_slice: 1, shards: vec![] }),
        dependencies: dependencies.clone(),
        ..bare.clone()
    };
    let full = JobRecord {
        spec: job_spec(),
        accepted_at_ms: 4000,
        plan,
        outcome: Some(JobOutcome::Done),
        dependencies,
        ready_at_ms: Some(5000),
    };
    let on = |attempt, name| TaskRecord::Placed(Attempt(attempt), machine(name));
    let idle = |attempt| TaskRecord::Pending(Attempt(attempt));
    let done = TaskRecord::Done;
    let tasks = vec![done.clone(), done.clone(), idle(0), idle(3), on(1, "i-000012"), on(2, "i-000345"), done, idle(1)];
    let slice = SliceRecord { tasks };
    let compact = slice.compact().expect("a dense form");
    assert_eq!(serde_json::from_value::<SliceRecord>(compact.clone()).expect("a slice"), slice);
    let teams = [("blue".to_string(), (0.0, 0.5).into()), ("red".to_string(), (16.0, 2.0).into())].into();
    let fleet = FleetRecord { rentals: 27, draining: vec![machine("i-000009")], returned: vec![machine("i-000005")] };
    let least = json!({"ref": "wk-1", "haul": "h", "crew": "c", "rig": "array", "rank": "idle", "loads": 1, "cores": 1.0,
        "mem_gb": 1.0, "kit": "k", "image_gb": 0.5, "reckon_s": 6.0});
    let least: JobRecord = serde_json::from_value(json!({"spec": least, "at": 3})).expect("a record");
    let lines = [
        stored("t/n", &NodeRecord { lease, level: FeatureLevel(1) }),
        stored("t/w", &NodeRecord { lease, level: FeatureLevel::default() }),
        stored("t/v", &FeatureLevelRecord { level: FeatureLevel(1) }),
        stored("t/l", &LeaseHolderRecord { node: NodeName::new("n0"), lease }),
        stored("t/o", &LeaseHolderRecord { node: NodeName::new("n1"), lease }),
        stored("t/j", &bare),
        stored("t/j", &waiting),
        stored("t/j", &full),
        stored("t/j", &JobRecord { outcome: Some(JobOutcome::Cancelled), ..bare.clone() }),
        stored("t/j", &least),
        stored("t/s", &SliceRecord::all_pending(3)),
        stored("t/s", &slice),
        format!("t/s {compact}"),
        stored("t/a", &QuotaRecord { teams }),
        stored("t/f", &fleet),
        stored("f", &ArchivedJob { outcome: JobOutcome::Done, tasks: 4 }),
        stored("f", &ArchivedJob { outcome: JobOutcome::Cancelled, tasks: 53 }),
    ];
    assert_golden("records.txt", &lines);
}
