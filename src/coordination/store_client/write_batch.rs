//! Builder of one transaction with changes of a shard's slices: its size limits,
//! its conditions on versions, and the end of a job with its last slice.
//!
//! [`super::shard_writes`] adds slices, the most urgent first, and sends the
//! transaction.

use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::{Job, Slice};
use crate::storage::records::{job_key, owner_key, slice_key, JobOutcome, JobRecord, SliceRecord};
use crate::units::{FencingToken, JobId, Revision, ShardId};
use std::collections::BTreeSet;

/// No more slices are added to a transaction above this size.
const MAX_TRANSACTION_BYTES: usize = 40_000;

/// Estimated size of a slice's conditions in a transaction.
const CONDITION_BYTES: usize = 200;

/// Estimated size of the record of an ended job in a transaction.
const JOB_RECORD_BYTES: usize = 800;

/// Limits on the contents of one transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchLimits {
    /// Maximum number of changed keys.
    pub(super) max_changes: usize,
    /// Less than half a second's share of writes is left. Changes that can wait, and
    /// may be coalesced with later changes to the same slice, then yield to starts.
    pub(super) writes_scarce: bool,
}

/// A transaction that is being built.
pub(super) struct Batch {
    transaction: Transaction,
    limits: BatchLimits,
    /// Slices that are in the transaction or need no write; the caller removes them from the queue.
    dequeued: Vec<(JobId, usize)>,
    /// Jobs whose record version is already a condition.
    jobs_with_condition: BTreeSet<JobId>,
    /// Estimated size of the transaction, in bytes.
    bytes: usize,
}

impl Batch {
    /// Creates an empty transaction that commits only while the shard is owned with this token.
    pub(super) fn fenced_by(shard: ShardId, token: FencingToken, limits: BatchLimits) -> Batch {
        let conditions = vec![Condition { key: owner_key(shard), version: Revision(token.0) }];
        let transaction = Transaction { conditions, changes: vec![] };
        Batch { transaction, limits, dequeued: vec![], jobs_with_condition: BTreeSet::new(), bytes: 0 }
    }

    /// True if there is no room for another slice together with its job's record,
    /// which is written if the slice is the job's last.
    pub(super) fn is_full(&self) -> bool {
        self.transaction.changes.len() + 2 > self.limits.max_changes || self.bytes > MAX_TRANSACTION_BYTES
    }

    /// Removes a slice that needs no write from the queue.
    pub(super) fn skip_slice(&mut self, id: JobId, index: usize) {
        self.dequeued.push((id, index));
    }

    /// Adds a slice's change, or the end of its job instead of the change.
    pub(super) fn add_slice(&mut self, id: JobId, job: &Job, index: usize, change: Change, ends_job: bool) {
        self.bytes += serde_json::to_vec(&change).map_or(0, |bytes| bytes.len()) + CONDITION_BYTES;
        self.add_conditions(&id, job, index);
        if ends_job {
            self.add_job_end(&id, job, index);
        } else {
            self.transaction.changes.push(change);
        }
        self.dequeued.push((id, index));
    }

    /// Returns the transaction and the slices to remove from the queue.
    pub(super) fn finish(self) -> (Transaction, Vec<(JobId, usize)>) {
        (self.transaction, self.dequeued)
    }

    /// Makes the transaction fail if another controller has changed the slice or its
    /// job.
    fn add_conditions(&mut self, id: &JobId, job: &Job, index: usize) {
        let conditions = &mut self.transaction.conditions;
        conditions.push(Condition { key: slice_key(id, index), version: job.slices()[index].durable().version });
        if self.jobs_with_condition.insert(id.clone()) {
            conditions.push(Condition { key: job_key(id), version: job.version });
        }
    }

    /// Ends the job along with its last slice, whose record is no longer needed.
    fn add_job_end(&mut self, id: &JobId, job: &Job, index: usize) {
        let record = JobRecord { outcome: Some(JobOutcome::Done), ..job.record.clone() };
        let Ok(value) = serde_json::to_value(record) else { return };
        self.bytes += JOB_RECORD_BYTES;
        self.transaction.changes.push(Change::put(job_key(id), value));
        // If writes are scarce, the slice's record is deleted later.
        if job.slices()[index].record().is_some() && !self.limits.writes_scarce {
            self.transaction.changes.push(Change::delete(slice_key(id, index)));
        }
    }
}

/// Returns the change that writes a slice's desired state; `None` if no change is needed.
pub(super) fn slice_change(job: &Job, id: &JobId, index: usize) -> Option<Change> {
    let slice = job.slices().get(index)?;
    let desired = slice.desired()?;
    let key = slice_key(id, index);
    if job.record.outcome.is_some() && !desired.has_placed_task() {
        // The job has ended and no task of the slice is placed: its record is no longer needed.
        return slice.record().map(|_| Change::delete(key));
    }
    if slice.has_unwritten_changes() {
        return Some(Change::put(key, serde_json::to_value(desired).ok()?));
    }
    None
}

/// True if the job is done once this slice's desired state is durable.
pub(super) fn completes_job(job: &Job, index: usize) -> bool {
    let is_done = |(at, slice): (usize, &Slice)| {
        if at == index {
            slice.desired().is_some_and(SliceRecord::is_done)
        } else {
            slice.is_done()
        }
    };
    job.record.outcome.is_none() && job.slices().iter().enumerate().all(is_done)
}
