//! Slice sizes, and size limits of the values in the store.
//!
//! Pure computations over the settings. `submission` and `dependency_release` use them for the plans
//! of small jobs, `leader` for the plans of arrays, `store_client` and `shards` for record sizes.

use crate::coordination::Core;
use crate::protocol::users::JobSpec;
use crate::storage::records::SlicePlan;
use crate::units::ShardId;

/// Number of slices per shard in a large job, enough to assign slices to shards by free capacity.
const SLICES_PER_SHARD: u32 = 16;

/// Upper estimate of the size of a running task in its slice's record, in bytes.
pub(crate) const TASK_BYTES: u32 = 32;

/// Upper estimate of the size of a plan without its list of shards, in bytes.
const PLAN_OVERHEAD_BYTES: usize = 32;

/// Number of bytes in a kilobyte, the unit of the value limit in the settings.
const BYTES_PER_KB: f64 = 1024.0;

/// Share of the value limit that a new slice or plan may use, which leaves room for records to grow.
const USABLE_SHARE: f64 = 0.6;

impl Core {
    /// Returns the plan of a job that has a single slice or must not be split over shards: all slices go
    /// to the shard that the job's id hashes to. Returns `None` for other arrays, whose slices the leader
    /// assigns.
    pub(crate) fn initial_plan(&self, spec: &JobSpec) -> Option<SlicePlan> {
        let size = self.slice_size(spec.task_count);
        let home_shard = ShardId::of(spec.id.as_str(), self.shard_count);
        let slices = spec.task_count.div_ceil(size) as usize;
        (slices == 1 || spec.requires_single_shard())
            .then(|| SlicePlan { tasks_per_slice: size, shards: vec![home_shard; slices] })
    }

    /// Returns the number of tasks per slice. Larger jobs get larger slices, so that their tasks share
    /// writes, up to the size at which a slice with all tasks running still fits into one value. Very
    /// large jobs exceed that size, so that the plan fits into one value.
    pub(crate) fn slice_size(&self, tasks: u32) -> u32 {
        let usable_bytes = (self.settings.cluster.state.value_kb * BYTES_PER_KB * USABLE_SHARE) as u32;
        let plan_entry_bytes = self.shard_entry_bytes() as u32;
        let slices = self.shard_count.max(1) * SLICES_PER_SHARD;
        let to_share_writes = tasks.div_ceil(slices).min(usable_bytes / TASK_BYTES);
        let to_fit_plan = tasks.div_ceil((usable_bytes / plan_entry_bytes).max(1));
        self.tuning.slice_tasks.max(to_share_writes).max(to_fit_plan)
    }

    /// True if the value is within the store's size limit, both now and after a coming change of the
    /// limit.
    pub(crate) fn fits_value(&self, value: &serde_json::Value) -> bool {
        serde_json::to_vec(value).is_ok_and(|bytes| self.fits(bytes.len()))
    }

    /// True if a value of this size is within the store's size limit, both now and after a coming
    /// change of the limit.
    pub(crate) fn fits(&self, bytes: usize) -> bool {
        bytes as f64 <= self.settings.cluster.state.value_kb * BYTES_PER_KB
    }

    /// Returns an upper estimate of the size of the plan of a job with this many tasks, in bytes.
    pub(crate) fn plan_bytes(&self, tasks: u32) -> usize {
        tasks.div_ceil(self.slice_size(tasks)) as usize * self.shard_entry_bytes() + PLAN_OVERHEAD_BYTES
    }

    /// Returns the maximum size of a shard number and its comma in a plan, in bytes.
    fn shard_entry_bytes(&self) -> usize {
        self.shard_count.to_string().len() + 1
    }
}
