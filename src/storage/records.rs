//! The durable records, as they are kept in the store.
//!
//! Plain data types with their stored form, which all layers above read and write.
//! The stored field names and forms must not change: controllers of different
//! versions read each other's records.

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

/// Shows that a controller is alive, or that it renews worker leases of a shard for
/// the shard's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The controller's lease in the store; the record is deleted when it expires.
    pub lease: LeaseId,
    /// The feature level that the controller supports; 0 if the field is absent, as
    /// older versions do not write it.
    #[serde(default)]
    pub level: FeatureLevel,
}

/// A set of features that controllers support; each level includes those below it.
/// Level 1: jobs that depend on other jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureLevel(pub u32);

/// The feature level that is enabled in the cluster; it never decreases.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FeatureLevelRecord {
    /// The enabled level; every controller supported it when it was enabled.
    pub level: FeatureLevel,
}

/// The controller that owns a shard, or that is the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseHolderRecord {
    /// Name of the owner or leader.
    pub node: NodeName,
    /// The lease that the key is bound to; a controller gets a new one at each start.
    pub lease: LeaseId,
}

/// How a job's tasks are split into slices, and the shard that each slice is assigned to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlicePlan {
    /// Number of tasks in each slice except the last, which may have fewer.
    #[serde(rename = "size")]
    pub tasks_per_slice: u32,
    /// The shard of each slice; empty while the job waits for its dependencies.
    #[serde(rename = "parts")]
    pub shards: Vec<ShardId>,
}

impl SlicePlan {
    /// Returns the index of the slice that holds a task of the job, and the task's
    /// offset in that slice.
    pub fn locate_task(&self, task: u32) -> (usize, usize) {
        ((task / self.tasks_per_slice.max(1)) as usize, (task % self.tasks_per_slice.max(1)) as usize)
    }

    /// Returns the index within the job of a slice's first task.
    pub fn first_task(&self, slice: usize) -> u32 {
        slice as u32 * self.tasks_per_slice
    }

    /// Returns the number of tasks in a slice of a job that has `tasks` tasks.
    pub fn slice_len(&self, slice: usize, tasks: u32) -> usize {
        tasks.saturating_sub(self.first_task(slice)).min(self.tasks_per_slice) as usize
    }

    /// True if the plan has no slices because the job waits for its dependencies.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    /// All tasks completed.
    Done,
    /// A user cancelled the job, or a job that it depends on was cancelled.
    Cancelled,
}

/// An accepted job; the record exists until the job is archived.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The specification, as submitted.
    pub spec: JobSpec,
    /// Time of day in milliseconds when the job was accepted. The age derived from it
    /// is only an estimate.
    #[serde(rename = "at")]
    pub accepted_at_ms: u64,
    /// The job's slices and their shards; none until the slices are assigned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<SlicePlan>,
    /// How the job ended; none until then.
    #[serde(rename = "end")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<JobOutcome>,
    /// Jobs that must be done before this one may start. Controllers of a version
    /// without dependencies drop this field when they record a job's outcome; it has
    /// no effect after that. Until then the plan without slices keeps those
    /// controllers from starting the job.
    #[serde(rename = "awaits", default, skip_serializing_if = "Dependencies::is_empty")]
    pub dependencies: Dependencies,
    /// Time of day in milliseconds when a controller saw that the last dependency
    /// was done; none while the job waits or if it has no dependencies. Only used to
    /// order work.
    #[serde(rename = "ready")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_at_ms: Option<u64>,
}

impl JobRecord {
    /// Returns the record of a newly accepted job without a plan, dependencies or outcome.
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

    /// True while the job waits for its dependencies: it has a plan without slices.
    pub fn waits_for_dependencies(&self) -> bool {
        self.outcome.is_none() && self.plan.as_ref().is_some_and(SlicePlan::is_empty)
    }

    /// Time of day in milliseconds from which the job was allowed to start.
    pub fn eligible_since_ms(&self) -> u64 {
        self.ready_at_ms.unwrap_or(self.accepted_at_ms)
    }
}

/// The jobs that a job depends on. Stored as one string of id suffixes separated by
/// spaces: there may be a hundred, and a job's record must fit into one value.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Dependencies(pub Vec<JobId>);

impl Dependencies {
    /// True if the job has no dependencies.
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

/// What the store keeps of a job that ended long ago.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ArchivedJob {
    /// How the job ended.
    #[serde(rename = "end")]
    pub outcome: JobOutcome,
    /// Number of tasks of the job.
    pub tasks: u32,
}

/// The part of each team's limit that a shard may use.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    /// The shard's part of the limit, by name of the team.
    pub teams: BTreeMap<String, ComputeAmount>,
}

/// The leader's count of rental requests, and the machines that it drains or has returned.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Number of rental requests so far; it is part of the id of the latest request.
    pub rentals: u64,
    /// Machines that take no new tasks and will be returned to the cloud.
    #[serde(rename = "drain", default)]
    pub draining: Vec<MachineId>,
    /// Machines that were returned to the cloud.
    #[serde(rename = "gone", default)]
    pub returned: Vec<MachineId>,
}

/// Returns the value that a record is stored as.
pub fn encode<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).expect("records have only string keys and plain fields, which always serialize")
}
