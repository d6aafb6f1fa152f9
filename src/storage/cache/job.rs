//! A cached job: its record, its slices, and its task counts, which are the sums of
//! the slices' counts.

use super::slice::{Slice, TaskCounts};
use super::versioned::Versioned;
use crate::protocol::users::Priority;
use crate::storage::effective_priority::EffectivePriority;
use crate::storage::names::{InternedName, NameInterner};
use crate::storage::records::{JobOutcome, JobRecord, SliceRecord, TaskRecord};
use crate::units::{Revision, ShardId};

/// A job that has a record in the store.
#[derive(Debug, Clone)]
pub struct Job {
    /// Version of the record; 0 until the first record was applied.
    pub version: Revision,
    /// The durable record.
    pub record: JobRecord,
    slices: Vec<Slice>,
    counts: TaskCounts,
    /// Interned class of the specification.
    pub class: InternedName,
    /// Interned team of the specification.
    pub team: InternedName,
    /// Interned image of the specification.
    pub image: InternedName,
    /// Priority and due time inherited from the jobs that depend on this one; none if
    /// no job does.
    pub effective_priority: Option<EffectivePriority>,
}

/// How a newer job record differs from the cached one. A record that is read for the
/// first time, as at startup, is never reported as [`JobChange::Ended`]: the job may
/// have ended long ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobChange {
    /// The job was not in the cache.
    FirstSeen,
    /// The job has ended since the cached record was read.
    Ended,
    /// Any other change.
    Other,
}

impl Job {
    /// Returns a job to which the record has yet to be applied: its version is 0.
    pub(super) fn unread(record: &JobRecord, names: &mut NameInterner) -> Job {
        Job {
            version: Revision(0),
            slices: vec![],
            counts: TaskCounts::default(),
            class: names.intern(&record.spec.class),
            team: names.intern(&record.spec.team),
            image: names.intern(&record.spec.image),
            record: record.clone(),
            effective_priority: None,
        }
    }

    /// Returns the slices, in the order of the plan.
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Returns the number of tasks that are done and of those that may be on machines,
    /// according to the durable records.
    pub fn done_and_placed(&self) -> (u32, u32) {
        (self.counts.done, self.counts.placed)
    }

    /// Returns the number of desired pending tasks. Counts only slices that this node owns.
    pub fn pending_tasks(&self) -> u32 {
        self.counts.pending
    }

    /// True if any task is placed in the desired record of its slice, or in the durable
    /// record if none is desired.
    pub fn has_placed_tasks(&self) -> bool {
        self.slices.iter().any(|slice| slice.desired_or_durable().is_some_and(|record| record.has_placed_task()))
    }

    /// False once all tasks have completed according to the job's record, even if slice
    /// records that are not deleted yet differ.
    pub fn holds_machines(&self) -> bool {
        self.record.outcome != Some(JobOutcome::Done)
    }

    /// True while the job may run, or while any of its slices still has a record.
    pub(super) fn is_active(&self) -> bool {
        let has_slice_records = self.slices.iter().any(|slice| slice.record().is_some());
        (self.record.outcome.is_none() && !self.record.waits_for_dependencies()) || has_slice_records
    }

    /// Returns the highest priority among the job and the jobs that depend on it.
    pub fn priority(&self) -> Priority {
        let own = self.record.spec.priority;
        self.effective_priority.map_or(own, |effective_priority| effective_priority.priority.max(own))
    }

    /// Returns the shard that a slice is assigned to; none if the plan has no such slice.
    pub fn shard_of(&self, slice: usize) -> Option<ShardId> {
        self.record.plan.as_ref()?.shards.get(slice).copied()
    }

    /// Sets the desired record of a slice; does nothing if there is no such slice.
    pub fn set_desired(&mut self, index: usize, desired: Option<SliceRecord>) {
        self.change_slice(index, |slice| slice.set_desired(desired));
    }

    /// Sets the desired state of the task at an offset in a slice. Returns its former desired
    /// state; none if the slice has no desired record or no such task.
    pub fn set_task(&mut self, index: usize, offset: usize, state: TaskRecord) -> Option<TaskRecord> {
        self.change_slice(index, |slice| slice.set_task(offset, state))?
    }

    /// Applies a record as of revision `at`, and the slice records that arrived before
    /// it, which `early_slice` returns by index. None, and no change, if the cached
    /// record is as new.
    pub(super) fn apply_if_newer(
        &mut self,
        record: JobRecord,
        at: Revision,
        mut early_slice: impl FnMut(usize) -> Option<Versioned<SliceRecord>>,
    ) -> Option<JobChange> {
        if at <= self.version {
            return None;
        }
        let change = match (self.version, self.record.outcome, record.outcome) {
            (Revision(0), ..) => JobChange::FirstSeen,
            (_, None, Some(_)) => JobChange::Ended,
            _ => JobChange::Other,
        };
        self.version = at;
        self.record = record;
        let slice_count = self.record.plan.as_ref().map_or(0, |plan| plan.shards.len());
        self.slices.resize_with(slice_count, Slice::default);
        for (index, slice) in self.slices.iter_mut().enumerate() {
            if let Some(durable) = early_slice(index) {
                slice.replace_durable(durable);
            }
        }
        let zero = TaskCounts::default();
        self.counts = self.slices.iter().fold(zero, |sum, slice| sum.replaced(zero, slice.counts()));
        Some(change)
    }

    /// Changes a slice and updates the job's counts. All changes of cached slices must use this
    /// function.
    pub(super) fn change_slice<R>(&mut self, index: usize, change: impl FnOnce(&mut Slice) -> R) -> Option<R> {
        let slice = self.slices.get_mut(index)?;
        let before = slice.counts();
        let result = change(slice);
        self.counts = self.counts.replaced(before, slice.counts());
        Some(result)
    }
}

#[cfg(test)]
mod tests;
