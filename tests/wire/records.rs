//! Keys and records of the state service.

use super::assert_golden;
use super::users::job_spec;
use serde::{de::DeserializeOwned, Serialize};
use serde_json::json;
use std::fmt::Debug;
use tillercleat::bookkeeping::records::*;
use tillercleat::protocol::users::JobSpec;
use tillercleat::units::*;

/// A record as it is stored, after reading it back.
fn stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(key: &str, record: &T) -> String {
    let value = serde_json::to_value(record).expect("a value");
    assert_eq!(serde_json::from_value::<T>(value.clone()).expect("a record"), *record);
    format!("{key} {value}")
}

#[test]
fn keys_keep_their_form_and_are_read_back() {
    let (job, node, part) = (JobRef::new("wk-000412"), NodeName::new("n1"), PartId(2));
    let keys = [
        (LEADER_KEY.into(), Some(Key::Leader)),
        (CATALOG_KEY.into(), Some(Key::Catalog)),
        (FLEET_KEY.into(), Some(Key::Fleet)),
        (LEVEL_KEY.into(), Some(Key::Level)),
        (node_key(&node), Some(Key::Node(node.clone()))),
        (owner_key(part), Some(Key::Owner(part))),
        (allowance_key(part), Some(Key::Allowance(part))),
        (job_key(&job), Some(Key::Job(job.clone()))),
        (slice_key(&job, 3), Some(Key::Slice(job.clone(), 3))),
        (keep_key(part, &node), Some(Key::Keep(part, node))),
        (past_key(&job), None),
    ];
    for (key, meaning) in &keys {
        assert!(key.starts_with(ROOT) != meaning.is_none(), "{key}");
        assert_eq!(Key::read(key), *meaning, "{key}");
    }
    for odd in ["", "t/", "t/n", "t/o/x", "t/a/-1", "t/s/wk-1", "t/s/wk-1/x", "t/w/2", "t/w/x/n1", "t/q/1", "o/d"] {
        assert_eq!(Key::read(odd), None, "{odd}");
    }
    assert_golden("keys.txt", &keys.map(|(key, _)| key));
}

#[test]
fn names_stay_in_their_parts() {
    let part = |name: &str| format!("{name} {} {} {}", PartId::of(name, 3), PartId::of(name, 5), PartId::of(name, 12));
    assert_golden("parts.txt", &["", "i-000001", "i-000002", "wk-000412", "blue", "é"].map(part));
}

#[test]
fn records_keep_their_stored_form() {
    let lease = LeaseId(7);
    let machine = |name: &str| MachineId::new(name);
    let bare = JobRecord::new(JobSpec { types: None, zone: None, deadline_s: None, ..job_spec() }, 4000);
    let plan = Some(Plan { size: 16, parts: vec![PartId(2), PartId(0), PartId(1)] });
    let awaits = Awaits(vec![JobRef::new("wk-000001"), JobRef::new("wk-abc")]);
    let waiting = JobRecord { plan: Some(Plan { size: 1, parts: vec![] }), awaits: awaits.clone(), ..bare.clone() };
    let full = JobRecord { spec: job_spec(), at: 4000, plan, end: Some(End::Done), awaits, ready: Some(5000) };
    let cancelled = JobRecord { end: Some(End::Cancelled), ..bare.clone() };
    let on = |attempt, name| TaskRecord::On(Attempt(attempt), machine(name));
    let idle = |attempt| TaskRecord::Idle(Attempt(attempt));
    let done = TaskRecord::Done;
    let tasks = vec![done.clone(), done.clone(), idle(0), idle(3), on(1, "i-000012"), on(2, "i-000345"), done, idle(1)];
    let slice = SliceRecord { tasks };
    let dense = slice.dense().expect("a dense form");
    assert_eq!(serde_json::from_value::<SliceRecord>(dense.clone()).expect("a slice"), slice);
    let teams = [("blue".to_string(), (0.0, 0.5)), ("red".to_string(), (16.0, 2.0))].into();
    let fleet = FleetRecord { rentals: 27, drain: vec![machine("i-000009")], gone: vec![machine("i-000005")] };
    let least = json!({"ref": "wk-1", "haul": "h", "crew": "c", "rig": "array", "rank": "idle", "loads": 1, "cores": 1.0,
        "mem_gb": 1.0, "kit": "k", "image_gb": 0.5, "reckon_s": 6.0});
    let least: JobRecord = serde_json::from_value(json!({"spec": least, "at": 3})).expect("a record");
    let lines = [
        stored("t/n", &NodeRecord { lease, level: Level(1) }),
        stored("t/w", &NodeRecord { lease, level: Level::default() }),
        stored("t/v", &LevelRecord { level: Level(1) }),
        stored("t/l", &HolderRecord { node: NodeName::new("n0"), lease }),
        stored("t/o", &HolderRecord { node: NodeName::new("n1"), lease }),
        stored("t/j", &bare),
        stored("t/j", &waiting),
        stored("t/j", &full),
        stored("t/j", &cancelled),
        stored("t/j", &least),
        stored("t/s", &SliceRecord::fresh(3)),
        stored("t/s", &slice),
        format!("t/s {dense}"),
        stored("t/a", &AllowanceRecord { teams }),
        stored("t/f", &fleet),
        stored("f", &PastRecord { end: End::Done, tasks: 4 }),
        stored("f", &PastRecord { end: End::Cancelled, tasks: 53 }),
    ];
    assert_golden("records.txt", &lines);
}
