//! The durable records, as they stand in the store.
//!
//! Plain data with its stored form: every layer above reads and writes these
//! types. Field names and forms are part of the stored format and must not
//! change; records of other versions are read side by side with these.

mod compact;
mod error;
mod keys;
mod slice;

pub use error::RecordError;
pub use keys::{
    archived_job_key, job_key, lease_proxy_key, node_key, owner_key, quota_key, slice_key, RecordKey, CATALOG_KEY,
    FEATURE_LEVEL_KEY, FLEET_KEY, LEADER_KEY, ROOT,
};
pub use slice::{SliceRecord, TaskRecord};

use crate::protocol::users::{job_id_from_suffix, job_id_suffix, JobSpec};
use crate::units::{ComputeAmount, JobId, LeaseId, MachineId, NodeName, ShardId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// A controller that is alive, or that renews leases for another owner's workers,
/// and the lease that shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The controller's lease in the store; the record ends with it.
    pub lease: LeaseId,
    /// What the controller can do; older versions write nothing here.
    #[serde(default)]
    pub level: FeatureLevel,
}

/// What controllers can do; each level includes those below it. 1: jobs that
/// depend on others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureLevel(pub u32);

/// What is turned on, for good: it only rises.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FeatureLevelRecord {
    /// The level that every controller supported when it was turned on.
    pub level: FeatureLevel,
}

/// Who owns a shard, or leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseHolderRecord {
    /// The owner, or the leader.
    pub node: NodeName,
    /// The lease that keeps the key; a node has a new one after each start.
    pub lease: LeaseId,
}

/// How a job is cut: slices of `size` tasks, each assigned to a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlicePlan {
    /// Tasks in each slice but the last, which may have fewer.
    #[serde(rename = "size")]
    pub tasks_per_slice: u32,
    /// The shard of each slice.
    #[serde(rename = "parts")]
    pub shards: Vec<ShardId>,
}

impl SlicePlan {
    /// The slice that a task of the job is in, and its place there.
    pub fn locate_task(&self, task: u32) -> (usize, usize) {
        ((task / self.tasks_per_slice.max(1)) as usize, (task % self.tasks_per_slice.max(1)) as usize)
    }

    /// Index in the job of a slice's first task.
    pub fn first_task(&self, slice: usize) -> u32 {
        slice as u32 * self.tasks_per_slice
    }

    /// Tasks in a slice of a job with `tasks` in all.
    pub fn slice_len(&self, slice: usize, tasks: u32) -> usize {
        tasks.saturating_sub(self.first_task(slice)).min(self.tasks_per_slice) as usize
    }

    /// True if the plan has no slices: the job waits for others.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All its tasks completed.
    Done,
    /// It was cancelled, by a user or because a job that it depends on was.
    Cancelled,
}

/// A job from its acceptance until it is archived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was submitted.
    pub spec: JobSpec,
    /// Time of day at acceptance in milliseconds; only ever an estimate of age.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// How it is cut into slices; none until the leader has assigned them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<SlicePlan>,
    /// How it ended, if it has.
    #[serde(rename = "end")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<JobOutcome>,
    /// Jobs that have to be done before this one may start. Controllers of a
    /// version without dependencies lose them when they write a job's end, after
    /// which they have no effect; until then the plan without slices keeps the
    /// job from starting.
    #[serde(rename = "awaits", default, skip_serializing_if = "Dependencies::is_empty")]
    pub dependencies: Dependencies,
    /// Time of day in milliseconds when the last job that it depends on was
    /// seen to be done; used to order work, for nothing else.
    #[serde(rename = "ready")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_at_ms: Option<u64>,
}

impl JobRecord {
    /// A job accepted at this time of day in milliseconds, not assigned to any shard.
    pub fn new(spec: JobSpec, accepted_at_ms: u64) -> JobRecord {
        JobRecord {
            spec,
            accepted_at_ms,
            plan: None,
            outcome: None,
            dependencies: Dependencies::default(),
            ready_at_ms: None,
        }
    }

    /// True while the job waits for others: its plan has no slices.
    pub fn waits_for_dependencies(&self) -> bool {
        self.outcome.is_none() && self.plan.as_ref().is_some_and(SlicePlan::is_empty)
    }

    /// Since when the job may start, time of day in milliseconds.
    pub fn eligible_since_ms(&self) -> u64 {
        self.ready_at_ms.unwrap_or(self.accepted_at_ms)
    }
}

/// The jobs that a job depends on. Stored as one text: there may be a hundred,
/// and a job's record has to fit into one value.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Dependencies(pub Vec<JobId>);

impl Dependencies {
    /// True if the job depends on no other.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<String> for Dependencies {
    fn from(text: String) -> Self {
        Dependencies(text.split_whitespace().map(job_id_from_suffix).collect())
    }
}

impl From<Dependencies> for String {
    fn from(dependencies: Dependencies) -> Self {
        dependencies.0.iter().map(job_id_suffix).collect::<Vec<_>>().join(" ")
    }
}

/// What is kept of a job that ended long ago.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ArchivedJob {
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: JobOutcome,
    /// How many tasks it had.
    pub tasks: u32,
}

/// What a shard may use of each team's limit.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// By team.
    pub teams: BTreeMap<String, ComputeAmount>,
}

/// What the leader has begun with machines.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Rental requests so far; the name of the last one holds this number.
    pub rentals: u64,
    /// Machines that take no new tasks and will be returned.
    #[serde(rename = "drain", default)]
    pub draining: Vec<MachineId>,
    /// Machines that were returned.
    #[serde(rename = "gone", default)]
    pub returned: Vec<MachineId>,
}

/// The value that a record is stored as.
pub fn encode<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).expect("a record has text keys and plain fields only, which always serialize")
}
