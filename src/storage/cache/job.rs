//! A job in the cache: its record, its slices, and the sums of their counts.

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
    /// Version of the record.
    pub version: Revision,
    /// The record.
    pub record: JobRecord,
    slices: Vec<Slice>,
    counts: TaskCounts,
    /// The specification's class, as the core compares it.
    pub class: InternedName,
    /// The specification's team, as the core compares it.
    pub team: InternedName,
    /// The specification's image, as the core compares it.
    pub image: InternedName,
    /// What the jobs that depend on this one make of its priority; none if none do.
    pub effective_priority: Option<EffectivePriority>,
}

/// What a job's newer record says that was not known before. What a node reads
/// when it starts is no event: the job ended whenever it did, not now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobChange {
    /// The job was not known.
    FirstSeen,
    /// It has ended since its record was last seen.
    Ended,
    /// Anything else.
    Other,
}

impl Job {
    /// A job whose record has not been taken in yet: its version is zero.
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

    /// The slices, in the order of the plan.
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Tasks that are done and tasks that may be on machines, by the durable records.
    pub fn done_and_placed(&self) -> (u32, u32) {
        (self.counts.done, self.counts.placed)
    }

    /// Tasks in slices that this node owns that wait for a machine.
    pub fn pending_tasks(&self) -> u32 {
        self.counts.pending
    }

    /// True if any task is, or is desired, on a machine.
    pub fn has_placed_tasks(&self) -> bool {
        self.slices.iter().any(|slice| slice.desired_or_durable().is_some_and(|record| record.has_placed_task()))
    }

    /// False once all tasks are known to have completed, whatever slices whose
    /// records are not deleted yet say.
    pub fn holds_machines(&self) -> bool {
        self.record.outcome != Some(JobOutcome::Done)
    }

    /// True while the job may run, or a slice of it still has a record.
    pub(super) fn is_active(&self) -> bool {
        let has_slice_records = self.slices.iter().any(|slice| slice.record().is_some());
        (self.record.outcome.is_none() && !self.record.waits_for_dependencies()) || has_slice_records
    }

    /// The job's priority, or that of any job that depends on it, if higher.
    pub fn priority(&self) -> Priority {
        let own = self.record.spec.priority;
        self.effective_priority.map_or(own, |effective_priority| effective_priority.priority.max(own))
    }

    /// The shard that a slice is assigned to.
    pub fn shard_of(&self, slice: usize) -> Option<ShardId> {
        self.record.plan.as_ref()?.shards.get(slice).copied()
    }

    /// Sets what is desired of a slice.
    pub fn set_desired(&mut self, index: usize, desired: Option<SliceRecord>) {
        self.change_slice(index, |slice| slice.set_desired(desired));
    }

    /// Changes what is desired of one task of a slice. Returns what was desired
    /// before, if the slice is desired at all and has such a task.
    pub fn set_task(&mut self, index: usize, at: usize, to: TaskRecord) -> Option<TaskRecord> {
        self.change_slice(index, |slice| slice.set_task(at, to))?
    }

    /// Takes a newer record; slices that came before it are taken out of
    /// `early_slice` by their index. None if what is known is as new.
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
        let none = TaskCounts::default();
        self.counts = self.slices.iter().fold(none, |sum, slice| sum.replaced(none, slice.counts()));
        Some(change)
    }

    /// Changes a slice, and the sums with it: all changes of slices go through here.
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
