//! The durable records, as they stand in the state service.

use crate::protocol::users::{job_id_from_suffix, job_id_suffix, JobSpec};
use crate::units::{Attempt, ComputeAmount, JobId, LeaseId, MachineId, NodeName, ShardId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Everything the service keeps begins with this.
pub const ROOT: &str = "t/";
pub const LEADER_KEY: &str = "t/l";
pub const CATALOG_KEY: &str = "t/k";
pub const FLEET_KEY: &str = "t/f";
pub const FEATURE_LEVEL_KEY: &str = "t/v";

pub fn node_key(node: &NodeName) -> String {
    format!("t/n/{node}")
}
pub fn owner_key(shard: ShardId) -> String {
    format!("t/o/{shard}")
}
pub fn quota_key(shard: ShardId) -> String {
    format!("t/a/{shard}")
}
pub fn job_key(job: &JobId) -> String {
    format!("t/j/{job}")
}
/// What is kept of a job for ever. Not under the root that every node reads
/// and watches: start-up and memory must not grow with all jobs there ever were.
pub fn archived_job_key(job: &JobId) -> String {
    format!("f/{job}")
}
/// A node's note that it answers workers of a shard in its owner's name.
pub fn lease_proxy_key(shard: ShardId, node: &NodeName) -> String {
    format!("t/w/{shard}/{node}")
}
pub fn slice_key(job: &JobId, slice: usize) -> String {
    format!("t/s/{job}/{slice}")
}

/// What a key stands for.
#[derive(Debug, PartialEq)]
pub enum RecordKey {
    Leader,
    Catalog,
    Fleet,
    FeatureLevel,
    Node(NodeName),
    Owner(ShardId),
    Quota(ShardId),
    Job(JobId),
    Slice(JobId, usize),
    LeaseProxy(ShardId, NodeName),
}

impl RecordKey {
    pub fn read(key: &str) -> Option<RecordKey> {
        match key {
            LEADER_KEY => return Some(RecordKey::Leader),
            CATALOG_KEY => return Some(RecordKey::Catalog),
            FLEET_KEY => return Some(RecordKey::Fleet),
            FEATURE_LEVEL_KEY => return Some(RecordKey::FeatureLevel),
            _ => {}
        }
        let (family, rest) = key.strip_prefix(ROOT)?.split_once('/')?;
        Some(match family {
            "n" => RecordKey::Node(NodeName::new(rest)),
            "o" => RecordKey::Owner(ShardId(rest.parse().ok()?)),
            "a" => RecordKey::Quota(ShardId(rest.parse().ok()?)),
            "j" => RecordKey::Job(JobId::new(rest)),
            "w" => {
                let (shard, node) = rest.split_once('/')?;
                RecordKey::LeaseProxy(ShardId(shard.parse().ok()?), NodeName::new(node))
            }
            "s" => {
                let (job, slice) = rest.rsplit_once('/')?;
                RecordKey::Slice(JobId::new(job), slice.parse().ok()?)
            }
            _ => return None,
        })
    }
}

/// A controller that is alive, and the lease that shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub lease: LeaseId,
    /// What the controller can do; older ones say nothing.
    #[serde(default)]
    pub level: FeatureLevel,
}

/// What controllers can do, each level all that is below it as well. 1: jobs
/// that name others which have to be done first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FeatureLevel(pub u32);

/// What is turned on, for good.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FeatureLevelRecord {
    pub level: FeatureLevel,
}

/// Who owns a shard, or leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseHolderRecord {
    pub node: NodeName,
    /// The lease that keeps the key; tells a node's lives apart.
    pub lease: LeaseId,
}

/// How a job is cut: slices of `size` tasks, each dealt to a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlicePlan {
    pub size: u32,
    #[serde(rename = "parts")]
    pub shards: Vec<ShardId>,
}

impl SlicePlan {
    pub fn slice_of(&self, task: u32) -> (usize, usize) {
        ((task / self.size.max(1)) as usize, (task % self.size.max(1)) as usize)
    }
    pub fn first_task(&self, slice: usize) -> u32 {
        slice as u32 * self.size
    }
    /// Tasks in a slice of a job with `tasks` in all.
    pub fn len(&self, slice: usize, tasks: u32) -> usize {
        tasks.saturating_sub(self.first_task(slice)).min(self.size) as usize
    }
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobOutcome {
    Done,
    Cancelled,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day at acceptance in milliseconds; only ever an estimate of age.
    pub at: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<SlicePlan>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<JobOutcome>,
    /// Jobs that have to be done before this one may start. Controllers that
    /// do not know of them drop them when they write a job's end, after which
    /// nobody asks; until then the plan without slices keeps it from starting.
    #[serde(rename = "awaits", default, skip_serializing_if = "Dependencies::is_empty")]
    pub dependencies: Dependencies,
    /// Time of day in milliseconds when the last job that it waited for was
    /// seen to be done; orders work, nothing else.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<u64>,
}

impl JobRecord {
    /// A job accepted at this time of day, not dealt to any shard.
    pub fn new(spec: JobSpec, at: u64) -> JobRecord {
        JobRecord { spec, at, plan: None, end: None, dependencies: Dependencies::default(), ready: None }
    }

    /// True while the job waits for others: its plan has no slices.
    pub fn waits(&self) -> bool {
        self.end.is_none() && self.plan.as_ref().is_some_and(SlicePlan::is_empty)
    }

    /// Since when the job may start, time of day in milliseconds.
    pub fn since(&self) -> u64 {
        self.ready.unwrap_or(self.at)
    }
}

/// Names of jobs, as one text: a job may name a hundred others, and its record
/// is one value.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Dependencies(pub Vec<JobId>);

impl Dependencies {
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

/// A job that ended long ago.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ArchivedJob {
    pub end: JobOutcome,
    pub tasks: u32,
}

/// Where one task stands.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskRecord {
    /// On no machine for certain, after so many attempts.
    Pending(Attempt),
    /// Possibly on this machine until proof of the contrary.
    Placed(Attempt, MachineId),
    Done,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PackedSlice", into = "PackedSlice")]
pub struct SliceRecord {
    pub tasks: Vec<TaskRecord>,
}

impl SliceRecord {
    pub fn fresh(len: usize) -> Self {
        SliceRecord { tasks: vec![TaskRecord::Pending(Attempt(0)); len] }
    }
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| *t == TaskRecord::Done)
    }
    pub fn has_placed_task(&self) -> bool {
        self.tasks.iter().any(|t| matches!(t, TaskRecord::Placed(..)))
    }
    /// The dense form: for slices whose plain form does not fit into one value,
    /// once all controllers can read it. None if machines' names are too odd.
    pub fn compact(&self) -> Option<Value> {
        let plain = PackedSlice::from(self.clone());
        let packed = PackedSlice { t: vec![], z: Some(super::compact::write(&plain.t)?), ..plain };
        serde_json::to_value(packed).ok()
    }

    pub fn count_done(&self) -> usize {
        self.tasks.iter().filter(|t| **t == TaskRecord::Done).count()
    }
}

/// A task that was ever tried and is not done: its index, attempt, and machine
/// unless it is on none.
pub(super) type StartedTask = (usize, Attempt, Option<MachineId>);

/// The packed form: the number of tasks, those done as ranges, and the rest
/// that were ever tried as `[index, attempt, machine or null]`.
#[derive(Serialize, Deserialize)]
struct PackedSlice {
    n: usize,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    d: Vec<(usize, usize)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    t: Vec<StartedTask>,
    /// The same in less room.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    z: Option<String>,
}

impl From<SliceRecord> for PackedSlice {
    fn from(slice: SliceRecord) -> Self {
        let mut packed = PackedSlice { n: slice.tasks.len(), d: vec![], t: vec![], z: None };
        for (index, task) in slice.tasks.into_iter().enumerate() {
            match task {
                TaskRecord::Pending(Attempt(0)) => {}
                TaskRecord::Pending(attempt) => packed.t.push((index, attempt, None)),
                TaskRecord::Placed(attempt, machine) => packed.t.push((index, attempt, Some(machine))),
                TaskRecord::Done => match packed.d.last_mut() {
                    Some(range) if range.1 + 1 == index => range.1 = index,
                    _ => packed.d.push((index, index)),
                },
            }
        }
        packed
    }
}

impl TryFrom<PackedSlice> for SliceRecord {
    type Error = String;
    fn try_from(packed: PackedSlice) -> Result<Self, String> {
        if packed.n > crate::protocol::users::MAX_TASKS as usize {
            return Err("too many tasks".into());
        }
        let mut slice = SliceRecord::fresh(packed.n);
        for (first, last) in packed.d {
            let range = slice.tasks.get_mut(first..=last).ok_or("a range out of bounds")?;
            range.fill(TaskRecord::Done);
        }
        let compact = packed.z.map(|text| super::compact::read(&text).ok_or("a dense form that makes no sense"));
        for (index, attempt, machine) in packed.t.into_iter().chain(compact.transpose()?.into_iter().flatten()) {
            *slice.tasks.get_mut(index).ok_or("an index out of bounds")? = match machine {
                Some(machine) => TaskRecord::Placed(attempt, machine),
                None => TaskRecord::Pending(attempt),
            };
        }
        Ok(slice)
    }
}

/// What a shard may use of each team's limit.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct QuotaRecord {
    pub teams: BTreeMap<String, ComputeAmount>,
}

/// What the leader has begun with machines: the last rental request named
/// (its name holds `rentals`), and machines on their way out or gone.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    pub rentals: u64,
    #[serde(default)]
    pub drain: Vec<MachineId>,
    #[serde(default)]
    pub gone: Vec<MachineId>,
}

#[cfg(test)]
mod tests;
