//! How many tasks go into a slice, and what fits into one value of the store.
//!
//! Pure computations over the settings. Callers: `submission` and `dependency_release` for the plans
//! of small jobs, `leader` for those of arrays, `store_client` and `shards` for the size of records.

use crate::coordination::Core;
use crate::protocol::users::JobSpec;
use crate::storage::records::SlicePlan;
use crate::units::ShardId;

/// Slices that a large job has for each shard: enough to assign them by free room.
const SLICES_PER_SHARD: u32 = 16;

/// Upper estimate of what a running task takes of its slice's record, in bytes.
pub(crate) const TASK_BYTES: u32 = 32;

/// Upper estimate of what a plan takes beside its list of shards, in bytes.
const PLAN_BYTES: usize = 32;

/// Bytes in a kilobyte of the settings.
const BYTES_PER_KB: f64 = 1024.0;

/// Share of a value that a slice or a plan may take when it is cut, so that records can grow.
const USABLE_SHARE: f64 = 0.6;

impl Core {
    /// The plan of a job that has one slice or must stay whole: all of it goes to the shard that its
    /// id hashes to. None for other arrays, which the leader assigns.
    pub(crate) fn first_plan(&self, spec: &JobSpec) -> Option<SlicePlan> {
        let size = self.slice_size(spec.task_count);
        let home = ShardId::of(spec.id.as_str(), self.shard_count);
        let slices = spec.task_count.div_ceil(size) as usize;
        (slices == 1 || spec.whole()).then(|| SlicePlan { tasks_per_slice: size, shards: vec![home; slices] })
    }

    /// Tasks per slice. Larger jobs get larger slices, so that their tasks share writes, as far as a
    /// slice with all of them running stays one value; huge ones even larger, so that the plan does.
    pub(crate) fn slice_size(&self, tasks: u32) -> u32 {
        let usable_bytes = (self.settings.cluster.state.value_kb * BYTES_PER_KB * USABLE_SHARE) as u32;
        let plan_entry_bytes = self.shard_entry_bytes() as u32;
        let slices = self.shard_count.max(1) * SLICES_PER_SHARD;
        let to_share_writes = tasks.div_ceil(slices).min(usable_bytes / TASK_BYTES);
        let to_fit_plan = tasks.div_ceil((usable_bytes / plan_entry_bytes).max(1));
        self.tuning.slice_tasks.max(to_share_writes).max(to_fit_plan)
    }

    /// True if the store takes the value now and when its limits change.
    pub(crate) fn fits_value(&self, value: &serde_json::Value) -> bool {
        serde_json::to_vec(value).is_ok_and(|bytes| self.fits(bytes.len()))
    }

    /// True if the store takes values of so many bytes now and when its limits change.
    pub(crate) fn fits(&self, bytes: usize) -> bool {
        bytes as f64 <= self.settings.cluster.state.value_kb * BYTES_PER_KB
    }

    /// Upper estimate of what the plan of a job with so many tasks takes, in bytes.
    pub(crate) fn plan_bytes(&self, tasks: u32) -> usize {
        tasks.div_ceil(self.slice_size(tasks)) as usize * self.shard_entry_bytes() + PLAN_BYTES
    }

    /// What the number of a shard and a comma take in a plan, in bytes.
    fn shard_entry_bytes(&self) -> usize {
        self.shard_count.to_string().len() + 1
    }
}
