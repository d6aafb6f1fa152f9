//! A slice of a job in the cache: its durable record, what its owner desires,
//! and counts of its tasks.
//!
//! Scheduling cycles ask for the counts of every slice, so each change keeps
//! them up to date. Slices are changed through [`super::Job`] only, which sums
//! their counts.

use super::versioned::Versioned;
use crate::storage::records::{SliceRecord, TaskRecord};
use crate::units::{Attempt, Revision};

/// Counts of the tasks of a slice, or summed over those of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct TaskCounts {
    /// Tasks that are done, in the durable record.
    pub(super) done: u32,
    /// Tasks that may be on machines, in the durable record.
    pub(super) placed: u32,
    /// Tasks that are desired and wait for a machine.
    pub(super) pending: u32,
    /// Tasks that are desired on a machine.
    pub(super) desired_placed: u32,
    /// Of the latter, those whose durable record does not say so yet.
    pub(super) unwritten_starts: u32,
}

impl TaskCounts {
    /// The sum, with one slice's counts in it replaced.
    pub(super) fn replaced(self, old: TaskCounts, new: TaskCounts) -> TaskCounts {
        TaskCounts {
            done: self.done - old.done + new.done,
            placed: self.placed - old.placed + new.placed,
            pending: self.pending - old.pending + new.pending,
            desired_placed: self.desired_placed - old.desired_placed + new.desired_placed,
            unwritten_starts: self.unwritten_starts - old.unwritten_starts + new.unwritten_starts,
        }
    }
}

/// A slice of a job.
#[derive(Debug, Clone, Default)]
pub struct Slice {
    durable: Versioned<SliceRecord>,
    /// What the shard's owner desires to be durable; none: not taken up.
    desired: Option<SliceRecord>,
    counts: TaskCounts,
}

impl Slice {
    /// A slice whose durable record is known as of a revision.
    pub fn from_durable(at: Revision, record: Option<SliceRecord>) -> Slice {
        let mut slice = Slice::default();
        slice.apply_if_newer(at, record);
        slice
    }

    /// The durable record and its version.
    pub fn durable(&self) -> &Versioned<SliceRecord> {
        &self.durable
    }

    /// What is durable, if anything is.
    pub fn record(&self) -> Option<&SliceRecord> {
        self.durable.record.as_ref()
    }

    /// What the owner desires, if this node is the owner and has taken the slice up.
    pub fn desired(&self) -> Option<&SliceRecord> {
        self.desired.as_ref()
    }

    /// What is desired, or else what is durable.
    pub fn desired_or_durable(&self) -> Option<&SliceRecord> {
        self.desired().or(self.record())
    }

    pub(super) fn counts(&self) -> TaskCounts {
        self.counts
    }

    /// Tasks that are desired and wait for a machine.
    pub fn pending_tasks(&self) -> u32 {
        self.counts.pending
    }

    /// Tasks that take room in the record: those desired on machines, and those
    /// tried before.
    pub fn tried_tasks(&self) -> usize {
        let is_omitted = |task: &&TaskRecord| matches!(task, TaskRecord::Done | TaskRecord::Pending(Attempt(0)));
        self.desired.iter().flat_map(|desired| &desired.tasks).filter(|task| !is_omitted(task)).count()
    }

    /// True if any task is on a machine, as is desired or else as is durable.
    pub fn has_placed_task(&self) -> bool {
        if self.desired.is_some() {
            self.counts.desired_placed > 0
        } else {
            self.counts.placed > 0
        }
    }

    /// True if tasks are desired on machines that the durable record does not name yet.
    pub fn has_unwritten_starts(&self) -> bool {
        self.counts.unwritten_starts > 0
    }

    /// True if all tasks are desired to be done.
    pub fn is_desired_done(&self) -> bool {
        self.desired.is_some() && self.counts.pending == 0 && self.counts.desired_placed == 0
    }

    /// True if all tasks are durably done.
    pub fn is_done(&self) -> bool {
        self.record().is_some_and(|record| record.tasks.len() == self.counts.done as usize)
    }

    /// True if no task of the slice can be on a machine: it may be assigned anew.
    pub fn is_reassignable(&self) -> bool {
        self.counts.placed == 0 && !self.is_done()
    }

    /// True if the owner has changes that are not durable yet.
    pub fn has_unwritten_changes(&self) -> bool {
        match (&self.desired, &self.durable.record) {
            (None, _) => false,
            // An untouched slice needs no record: it may still be assigned elsewhere.
            (Some(desired), None) => desired.tasks.iter().any(|task| *task != TaskRecord::Pending(Attempt(0))),
            (Some(desired), Some(durable)) => desired != durable,
        }
    }

    /// Takes the durable record as of a revision; false if what is known is as new.
    pub(super) fn apply_if_newer(&mut self, at: Revision, record: Option<SliceRecord>) -> bool {
        let is_new = self.durable.apply_if_newer(at, record);
        if is_new {
            self.count_durable();
        }
        is_new
    }

    /// Replaces the durable record by one that was read before the job was.
    pub(super) fn replace_durable(&mut self, durable: Versioned<SliceRecord>) {
        self.durable = durable;
        self.count_durable();
    }

    /// Sets what is desired of the slice; none: the owner has not taken it up.
    pub fn set_desired(&mut self, desired: Option<SliceRecord>) {
        (self.counts.pending, self.counts.desired_placed) = (0, 0);
        for task in desired.iter().flat_map(|record| &record.tasks) {
            match task {
                TaskRecord::Pending(_) => self.counts.pending += 1,
                TaskRecord::Placed(..) => self.counts.desired_placed += 1,
                TaskRecord::Done => {}
            }
        }
        self.desired = desired;
        self.count_unwritten_starts();
    }

    /// Changes what is desired of one task. Returns what was desired before, if
    /// the slice is desired at all and has such a task.
    pub fn set_task(&mut self, at: usize, to: TaskRecord) -> Option<TaskRecord> {
        self.counts.unwritten_starts -= u32::from(self.is_unwritten_start(at));
        let slot = self.desired.as_mut()?.tasks.get_mut(at)?;
        self.counts.pending += u32::from(matches!(to, TaskRecord::Pending(_)));
        self.counts.desired_placed += u32::from(matches!(to, TaskRecord::Placed(..)));
        let from = std::mem::replace(slot, to);
        self.counts.pending -= u32::from(matches!(from, TaskRecord::Pending(_)));
        self.counts.desired_placed -= u32::from(matches!(from, TaskRecord::Placed(..)));
        self.counts.unwritten_starts += u32::from(self.is_unwritten_start(at));
        Some(from)
    }

    /// True if a task is desired on a machine and its durable record differs.
    fn is_unwritten_start(&self, at: usize) -> bool {
        let desired = self.desired.as_ref().and_then(|record| record.tasks.get(at));
        let durable = self.durable.record.as_ref().and_then(|record| record.tasks.get(at));
        matches!(desired, Some(TaskRecord::Placed(..))) && desired != durable
    }

    fn count_unwritten_starts(&mut self) {
        let tasks = self.desired.as_ref().map_or(0, |desired| desired.tasks.len());
        self.counts.unwritten_starts = (0..tasks).filter(|at| self.is_unwritten_start(*at)).count() as u32;
    }

    fn count_durable(&mut self) {
        (self.counts.done, self.counts.placed) = (0, 0);
        for task in self.durable.record.iter().flat_map(|record| &record.tasks) {
            match task {
                TaskRecord::Done => self.counts.done += 1,
                TaskRecord::Placed(..) => self.counts.placed += 1,
                TaskRecord::Pending(_) => {}
            }
        }
        self.count_unwritten_starts();
    }
}
