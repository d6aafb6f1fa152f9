//! One transaction with changes of a shard's slices, in the making: what it may
//! hold, on which versions it depends, and when a slice ends its job.
//!
//! [`super::shard_writes`] fills and sends it, most urgent slices first.

use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::{Job, Slice};
use crate::storage::records::{job_key, owner_key, slice_key, JobOutcome, JobRecord, SliceRecord};
use crate::units::{FencingToken, JobId, Revision, ShardId};
use std::collections::BTreeSet;

/// Size of a transaction from which on no more slices are added, in bytes.
const MAX_TRANSACTION_BYTES: usize = 40_000;

/// What the conditions of a slice add to a transaction, in bytes.
const CONDITION_BYTES: usize = 200;

/// What the record of a job that ends adds to a transaction, in bytes.
const JOB_RECORD_BYTES: usize = 800;

/// How much may go into one transaction.
#[derive(Debug, Clone, Copy)]
pub(super) struct BatchLimits {
    /// Changes to keys.
    pub(super) max_changes: usize,
    /// Less than half a second's share of writes is left: what can wait for more
    /// changes to the same slice leaves the rest to starts.
    pub(super) writes_scarce: bool,
}

/// A transaction in the making.
pub(super) struct Batch {
    transaction: Transaction,
    limits: BatchLimits,
    /// Slices that are in it, or that turned out to need no write.
    taken: Vec<(JobId, usize)>,
    /// Jobs whose record's version is a condition already.
    jobs: BTreeSet<JobId>,
    /// Estimated size of the transaction.
    bytes: usize,
}

impl Batch {
    /// A transaction that holds only while the shard is owned with this token.
    pub(super) fn fenced_by(shard: ShardId, token: FencingToken, limits: BatchLimits) -> Batch {
        let conditions = vec![Condition { key: owner_key(shard), version: Revision(token.0) }];
        let transaction = Transaction { conditions, changes: vec![] };
        Batch { transaction, limits, taken: vec![], jobs: BTreeSet::new(), bytes: 0 }
    }

    /// True if there is no room for another slice and the record of its job,
    /// should it be the job's last.
    pub(super) fn is_full(&self) -> bool {
        self.transaction.changes.len() + 2 > self.limits.max_changes || self.bytes > MAX_TRANSACTION_BYTES
    }

    /// Takes a slice off the queue that needs no write.
    pub(super) fn skip_slice(&mut self, id: JobId, index: usize) {
        self.taken.push((id, index));
    }

    /// Adds a slice's change, or the end of its job in the change's place.
    pub(super) fn add_slice(&mut self, id: JobId, job: &Job, index: usize, change: Change, ends_job: bool) {
        self.bytes += serde_json::to_vec(&change).map_or(0, |bytes| bytes.len()) + CONDITION_BYTES;
        self.add_conditions(&id, job, index);
        if ends_job {
            self.add_job_end(&id, job, index);
        } else {
            self.transaction.changes.push(change);
        }
        self.taken.push((id, index));
    }

    /// The transaction, and the slices that it takes off the queue.
    pub(super) fn finish(self) -> (Transaction, Vec<(JobId, usize)>) {
        (self.transaction, self.taken)
    }

    /// Makes the transaction hold only if neither the slice nor its job was
    /// changed by anybody else.
    fn add_conditions(&mut self, id: &JobId, job: &Job, index: usize) {
        let conditions = &mut self.transaction.conditions;
        conditions.push(Condition { key: slice_key(id, index), version: job.slices()[index].durable().version });
        if self.jobs.insert(id.clone()) {
            conditions.push(Condition { key: job_key(id), version: job.version });
        }
    }

    /// Ends the job with its last slice, which need not be kept.
    fn add_job_end(&mut self, id: &JobId, job: &Job, index: usize) {
        let record = JobRecord { outcome: Some(JobOutcome::Done), ..job.record.clone() };
        let Ok(value) = serde_json::to_value(record) else { return };
        self.bytes += JOB_RECORD_BYTES;
        self.transaction.changes.push(Change::put(job_key(id), value));
        // While writes are scarce, the slice's record is deleted later.
        if job.slices()[index].record().is_some() && !self.limits.writes_scarce {
            self.transaction.changes.push(Change::delete(slice_key(id, index)));
        }
    }
}

/// The change that makes a slice of a job durable as it is desired, if one is needed.
pub(super) fn slice_change(job: &Job, id: &JobId, index: usize) -> Option<Change> {
    let slice = job.slices().get(index)?;
    let desired = slice.desired()?;
    let key = slice_key(id, index);
    if job.record.outcome.is_some() && !desired.has_placed_task() {
        // Nothing of an ended job is left here: the record is not needed any more.
        return slice.record().map(|_| Change::delete(key));
    }
    if slice.has_unwritten_changes() {
        return Some(Change::put(key, serde_json::to_value(desired).ok()?));
    }
    None
}

/// True if the job is done once this slice is durable as it is desired.
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
