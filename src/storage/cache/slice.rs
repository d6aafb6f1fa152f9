//! A cached slice of a job: its durable record, the record that its owner desires,
//! and counts of its tasks.
//!
//! Scheduling cycles read the counts of every slice, so each change updates them.
//! Cached slices are changed only through [`super::Job`], which sums their counts.

use super::versioned::Versioned;
use crate::storage::records::{SliceRecord, TaskRecord};
use crate::units::{Attempt, Revision};

/// Numbers of tasks of a slice, or of all slices of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct TaskCounts {
    /// Tasks that are done in the durable record.
    pub(super) done: u32,
    /// Tasks that are placed in the durable record: they may be on machines.
    pub(super) placed: u32,
    /// Tasks that are pending in the desired record.
    pub(super) pending: u32,
    /// Tasks that are placed in the desired record.
    pub(super) desired_placed: u32,
    /// Those of `desired_placed` that differ in the durable record.
    pub(super) unwritten_starts: u32,
}

impl TaskCounts {
    /// Returns the sum with the counts `old` of one slice replaced by `new`.
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

/// A slice of a job, with its durable and desired records.
#[derive(Debug, Clone, Default)]
pub struct Slice {
    durable: Versioned<SliceRecord>,
    /// The record that the shard's owner wants to be stored; none unless this node is
    /// the owner and has taken over the slice.
    desired: Option<SliceRecord>,
    counts: TaskCounts,
}

impl Slice {
    /// Returns a slice with this durable record, or its absence, as of revision `at`.
    pub fn from_durable(at: Revision, record: Option<SliceRecord>) -> Slice {
        let mut slice = Slice::default();
        slice.apply_if_newer(at, record);
        slice
    }

    /// Returns the durable record with its version.
    pub fn durable(&self) -> &Versioned<SliceRecord> {
        &self.durable
    }

    /// Returns the durable record; none if it is absent.
    pub fn record(&self) -> Option<&SliceRecord> {
        self.durable.record.as_ref()
    }

    /// Returns the desired record; none unless this node owns the slice's shard and has
    /// taken over the slice.
    pub fn desired(&self) -> Option<&SliceRecord> {
        self.desired.as_ref()
    }

    /// Returns the desired record, or else the durable one.
    pub fn desired_or_durable(&self) -> Option<&SliceRecord> {
        self.desired().or(self.record())
    }

    pub(super) fn counts(&self) -> TaskCounts {
        self.counts
    }

    /// Returns the number of pending tasks in the desired record.
    pub fn pending_tasks(&self) -> u32 {
        self.counts.pending
    }

    /// Returns the number of tasks in the desired record that are placed, or pending
    /// after an attempt. These are listed one by one in the stored record.
    pub fn tried_tasks(&self) -> usize {
        let is_omitted = |task: &&TaskRecord| matches!(task, TaskRecord::Done | TaskRecord::Pending(Attempt(0)));
        self.desired.iter().flat_map(|desired| &desired.tasks).filter(|task| !is_omitted(task)).count()
    }

    /// True if any task is placed in the desired record, or in the durable one if there
    /// is no desired record.
    pub fn has_placed_task(&self) -> bool {
        if self.desired.is_some() {
            self.counts.desired_placed > 0
        } else {
            self.counts.placed > 0
        }
    }

    /// True if the desired record places tasks that differ in the durable record.
    pub fn has_unwritten_starts(&self) -> bool {
        self.counts.unwritten_starts > 0
    }

    /// True if there is a desired record in which all tasks are done.
    pub fn is_desired_done(&self) -> bool {
        self.desired.is_some() && self.counts.pending == 0 && self.counts.desired_placed == 0
    }

    /// True if all tasks are done in the durable record.
    pub fn is_done(&self) -> bool {
        self.record().is_some_and(|record| record.tasks.len() == self.counts.done as usize)
    }

    /// True if the slice may be assigned to another shard: no task can be on a machine,
    /// and not all tasks are done.
    pub fn is_reassignable(&self) -> bool {
        self.counts.placed == 0 && !self.is_done()
    }

    /// True if the desired record has changes that must be written.
    pub fn has_unwritten_changes(&self) -> bool {
        match (&self.desired, &self.durable.record) {
            (None, _) => false,
            // A slice without attempts needs no record, so it can still be reassigned.
            (Some(desired), None) => desired.tasks.iter().any(|task| *task != TaskRecord::Pending(Attempt(0))),
            (Some(desired), Some(durable)) => desired != durable,
        }
    }

    /// Applies a read of the durable record, or of its absence, as of revision `at`.
    /// Returns false, and changes nothing, if the cached read is as new.
    pub(super) fn apply_if_newer(&mut self, at: Revision, record: Option<SliceRecord>) -> bool {
        let is_new = self.durable.apply_if_newer(at, record);
        if is_new {
            self.recount_durable();
        }
        is_new
    }

    /// Replaces the durable record by one that was read before the job's record was.
    pub(super) fn replace_durable(&mut self, durable: Versioned<SliceRecord>) {
        self.durable = durable;
        self.recount_durable();
    }

    /// Sets the desired record; none if this node has not taken over the slice.
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
        self.recount_unwritten_starts();
    }

    /// Sets the desired state of the task at an offset. Returns its former desired state; none if
    /// there is no desired record or no such task.
    pub fn set_task(&mut self, offset: usize, state: TaskRecord) -> Option<TaskRecord> {
        self.counts.unwritten_starts -= u32::from(self.is_unwritten_start(offset));
        let slot = self.desired.as_mut()?.tasks.get_mut(offset)?;
        self.counts.pending += u32::from(matches!(state, TaskRecord::Pending(_)));
        self.counts.desired_placed += u32::from(matches!(state, TaskRecord::Placed(..)));
        let previous = std::mem::replace(slot, state);
        self.counts.pending -= u32::from(matches!(previous, TaskRecord::Pending(_)));
        self.counts.desired_placed -= u32::from(matches!(previous, TaskRecord::Placed(..)));
        self.counts.unwritten_starts += u32::from(self.is_unwritten_start(offset));
        Some(previous)
    }

    /// True if a task is placed in the desired record and its durable state differs.
    fn is_unwritten_start(&self, offset: usize) -> bool {
        let desired = self.desired.as_ref().and_then(|record| record.tasks.get(offset));
        let durable = self.durable.record.as_ref().and_then(|record| record.tasks.get(offset));
        matches!(desired, Some(TaskRecord::Placed(..))) && desired != durable
    }

    fn recount_unwritten_starts(&mut self) {
        let tasks = self.desired.as_ref().map_or(0, |desired| desired.tasks.len());
        self.counts.unwritten_starts = (0..tasks).filter(|offset| self.is_unwritten_start(*offset)).count() as u32;
    }

    fn recount_durable(&mut self) {
        (self.counts.done, self.counts.placed) = (0, 0);
        for task in self.durable.record.iter().flat_map(|record| &record.tasks) {
            match task {
                TaskRecord::Done => self.counts.done += 1,
                TaskRecord::Placed(..) => self.counts.placed += 1,
                TaskRecord::Pending(_) => {}
            }
        }
        self.recount_unwritten_starts();
    }
}
