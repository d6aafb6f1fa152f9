//! Compatibility tests with the version in production: this version reads its records and messages,
//! and writes records that it can read. The files under `tests/production` were written by the
//! commit named in `deploy/service.toml`.

use prost::Message;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tillercleat::protocol::peer;
use tillercleat::storage::cache::StateCache;
use tillercleat::storage::records as new;
use tillercleat::units::{JobId, LeaseId, Revision};

/// A job's record as the version in production defines it. That version ignores other fields and
/// drops them when it rewrites the record.
#[derive(Serialize, Deserialize)]
struct OldJob {
    spec: Value,
    at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    plan: Option<OldPlan>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    end: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct OldPlan {
    size: u32,
    parts: Vec<u32>,
}

/// Deserializes a record and serializes it again with this version.
fn round_trip_json<T: Serialize + serde::de::DeserializeOwned>(value: &Value) -> Value {
    let record: T = serde_json::from_value(value.clone()).expect("a record that this version reads");
    serde_json::to_value(record).expect("a value")
}

#[test]
fn records_of_the_version_in_production_are_read_and_written_as_they_were() {
    let mut families = std::collections::BTreeSet::new();
    let mut cache = StateCache::default();
    for (at, line) in include_str!("production/records.txt").lines().enumerate() {
        let (key, text) = line.split_once(' ').expect("a key and a value");
        let value: Value = serde_json::from_str(text).expect("json");
        let family = key.split('/').take(2).collect::<Vec<_>>().join("/");
        let written = match family.as_str() {
            "t/a" => round_trip_json::<new::QuotaRecord>(&value),
            "t/f" => round_trip_json::<new::FleetRecord>(&value),
            "t/k" => round_trip_json::<tillercleat::protocol::cloud::Catalog>(&value),
            "t/l" | "t/o" => round_trip_json::<new::LeaseHolderRecord>(&value),
            "t/j" => round_trip_json::<new::JobRecord>(&value),
            "t/s" => round_trip_json::<new::SliceRecord>(&value),
            // This version adds its feature level, which the previous version ignores.
            "t/n" | "t/w" => {
                let mut node = round_trip_json::<new::NodeRecord>(&value);
                assert_eq!(node.as_object_mut().expect("an object").remove("level"), Some(json!(0)));
                node
            }
            _ => round_trip_json::<new::ArchivedJob>(&value),
        };
        assert_eq!(written, value, "{key}");
        cache.apply(key, Some(value), Revision(at as u64 + 1));
        families.insert(if key.starts_with("f/") { "f".into() } else { family });
    }
    assert_eq!(families.len(), 10, "{families:?}");
    assert!(cache.jobs.values().all(|job| !job.record.waits_for_dependencies()));
}

#[test]
fn messages_of_the_version_in_production_are_read_and_written_as_they_were() {
    fn same<T: Message + Default>(bytes: &[u8]) -> Vec<u8> {
        T::decode(bytes).expect("a message").encode_to_vec()
    }
    for line in include_str!("production/messages.txt").lines() {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        let again = match name {
            "note" => same::<peer::PeerStatus>(&bytes),
            "heard" => same::<peer::PeerStatusAck>(&bytes),
            "replicas-ask" => same::<peer::ReplicasRequest>(&bytes),
            "replicas-told" => same::<peer::ReplicasResponse>(&bytes),
            "reach-ask" => same::<peer::ReachRequest>(&bytes),
            "reach-told" => same::<peer::ReachResponse>(&bytes),
            other => panic!("{other}"),
        };
        assert_eq!(again, bytes, "{name}");
    }
}

/// The previous version reads a waiting job as an assigned job without slices: it assigns none,
/// starts no task and does not report the job as done. A cancellation that it writes ends the job
/// for both versions.
#[test]
fn the_version_in_production_reads_a_waiting_job_as_one_without_work() {
    let jobs = include_str!("production/records.txt").lines().filter(|line| line.starts_with("t/j/"));
    let open = jobs.filter(|line| !line.contains("\"end\"")).map(|line| line.split_once(' ').expect("two").1);
    for text in open {
        let open: new::JobRecord = serde_json::from_str(text).expect("a record");
        let waiting = new::JobRecord {
            plan: Some(new::SlicePlan { tasks_per_slice: 1, shards: vec![] }),
            dependencies: new::Dependencies(vec![JobId::new("wk-000001"), JobId::new("wk-abc")]),
            ..open.clone()
        };
        let value = serde_json::to_value(&waiting).expect("a value");
        assert_eq!(serde_json::from_value::<new::JobRecord>(value.clone()).expect("a record"), waiting);
        let old: OldJob = serde_json::from_value(value).expect("what the previous version reads");
        // `plan` is set, so the job counts as assigned; without slices, no task starts or finishes.
        assert_eq!(old.plan.as_ref().map(|plan| plan.parts.len()), Some(0));
        assert_eq!(old.end, None);
        let cancelled = OldJob { end: Some("cancelled".into()), ..old };
        let read: new::JobRecord =
            serde_json::from_value(serde_json::to_value(cancelled).expect("a value")).expect("a record");
        assert_eq!(
            (read.outcome, read.waits_for_dependencies(), read.dependencies.is_empty()),
            (Some(new::JobOutcome::Cancelled), false, true)
        );
        // Once released, it is an ordinary job, even if the record lacks the release time.
        let ready = new::JobRecord { ready_at_ms: Some(open.accepted_at_ms + 5), ..open.clone() };
        let old: OldJob = serde_json::from_value(serde_json::to_value(ready).expect("a value"))
            .expect("what the previous version reads");
        let read: new::JobRecord =
            serde_json::from_value(serde_json::to_value(old).expect("a value")).expect("a record");
        assert_eq!(read, open);
    }
    let node =
        serde_json::to_value(new::NodeRecord { lease: LeaseId(7), level: new::FeatureLevel(1) }).expect("a value");
    assert_eq!(node["lease"], 7);
}
