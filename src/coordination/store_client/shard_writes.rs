//! Writes the changes of owned shards to the store: one transaction at a time per
//! shard, the most urgent slices first. A transaction fails if another controller
//! has changed one of its records in the meantime.
//!
//! Called at the end of every step of the core. Records are written before their
//! effects: a task is started only after the transaction that places it has been
//! committed.

use crate::coordination::jobs::slice_sizing::TASK_BYTES;
use crate::coordination::shards::owned_shard::{Machine, OwnedShard};
use crate::coordination::store_client::pending_requests::{change_key, PendingRequest};
use crate::coordination::store_client::write_batch::{completes_job, slice_change, Batch, BatchLimits};
use crate::coordination::Core;
use crate::protocol::state::{Change, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::Priority;
use crate::storage::cache::Slice;
use crate::storage::records::{job_key, RecordKey, SliceRecord, TaskRecord};
use crate::units::{JobId, Millis, MonotonicTime, ShardId};

/// Upper bound on the size of a task in the compact form of a slice.
const COMPACT_TASK_BYTES: usize = 12;

/// Delay before a shard whose changes can all wait is checked again while writes are scarce.
const SCARCE_WRITES_DELAY: Millis = Millis(20);

/// Delay before a shard writes again after a transaction that was not committed.
const RETRY_DELAY: Millis = Millis(150);

/// Delay before a shard writes again after a transaction that the store rejected as invalid.
const INVALID_RETRY_DELAY: Millis = Millis(2000);

/// How soon a slice's changes should be durable. More urgent values order first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WriteUrgency {
    /// A task start: a machine is idle until the placement is written.
    Start,
    /// The end of a slice, which may also end its job, or a change that has waited for long.
    Soon,
    /// Task exits: the machine is free already, and later exits can share the write.
    Exit,
    /// Deletion of records that are no longer needed.
    Cleanup,
}

impl WriteUrgency {
    fn of(slice: &Slice, job_ended: bool) -> WriteUrgency {
        if job_ended || slice.desired().is_none() {
            WriteUrgency::Cleanup
        } else if slice.has_unwritten_starts() {
            WriteUrgency::Start
        } else if slice.is_desired_done() {
            WriteUrgency::Soon
        } else {
            WriteUrgency::Exit
        }
    }

    /// Returns the urgency after a wait. Changes that have waited for long become `Soon`, so that
    /// they do not starve.
    fn after_wait(self, waited: Millis) -> WriteUrgency {
        let max_wait = match self {
            WriteUrgency::Start | WriteUrgency::Soon => return self,
            WriteUrgency::Exit => Millis(2000),
            WriteUrgency::Cleanup => Millis(20_000),
        };
        if waited >= max_wait {
            WriteUrgency::Soon
        } else {
            self
        }
    }
}

/// A slice with changes to write. Slices are written in ascending order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedSlice {
    urgency: WriteUrgency,
    /// When the slice stops yielding to jobs of higher priority.
    delayed_until: MonotonicTime,
    job: JobId,
    index: usize,
}

/// How long writes for a job yield to writes for jobs of higher priority. Many
/// small jobs must not delay urgent writes, but their own delay has to be bounded.
fn priority_delay_ms(priority: Priority) -> u64 {
    match priority {
        Priority::Low => 2000,
        Priority::Normal => 500,
        Priority::High | Priority::Critical => 0,
    }
}

/// True if the shard has changes to write, and neither a transaction, a reread nor a retry delay
/// is pending.
fn can_write(owned_shard: &OwnedShard, now: MonotonicTime) -> bool {
    owned_shard.ready
        && owned_shard.inflight.is_none()
        && owned_shard.pending_rereads == 0
        && now >= owned_shard.retry_at
        && !owned_shard.dirty.is_empty()
}

impl Core {
    /// Writes pending changes of all owned shards.
    pub(crate) fn write_pending_changes(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            self.write_shard_changes(shard);
        }
    }

    /// Sends one transaction with the shard's most urgent changes, coalesced per
    /// slice. It commits only if this node still owns the shard and no other
    /// controller has changed one of the slices, or cancelled or reassigned one of
    /// their jobs.
    fn write_shard_changes(&mut self, shard: ShardId) {
        let budget = self.store.write_budget(self.now).floor();
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        if !can_write(owned_shard, self.now) {
            return;
        }
        let limits = BatchLimits {
            max_changes: self.settings.cluster.state.txn_ops.min(budget.max(0.0) as usize),
            writes_scarce: budget < self.store.writes_per_s() / 2.0,
        };
        if limits.max_changes < 2 {
            return;
        }
        let empty = Batch::fenced_by(shard, owned_shard.token, limits);
        let batch = self.fill_batch(empty, self.write_queue(owned_shard), limits);
        self.send_batch(shard, batch);
    }

    /// Returns the shard's slices with changes to write, sorted in write order.
    fn write_queue(&self, owned_shard: &OwnedShard) -> Vec<QueuedSlice> {
        let queued = owned_shard.dirty.iter().map(|((id, index), since)| {
            let job = self.cache.jobs.get(id);
            let slice = job.and_then(|job| Some((job, job.slices().get(*index)?)));
            let urgency = slice
                .map_or(WriteUrgency::Cleanup, |(job, slice)| WriteUrgency::of(slice, job.record.outcome.is_some()));
            let priority = job.map_or(Priority::Low, |job| job.priority());
            QueuedSlice {
                urgency: urgency.after_wait(self.now.since(*since)),
                delayed_until: MonotonicTime(since.0 + priority_delay_ms(priority)),
                job: id.clone(),
                index: *index,
            }
        });
        let mut queue: Vec<QueuedSlice> = queued.collect();
        queue.sort();
        queue
    }

    /// Adds slices in queue order until the transaction is full.
    fn fill_batch(&self, mut batch: Batch, queue: Vec<QueuedSlice>, limits: BatchLimits) -> Batch {
        for QueuedSlice { urgency, job: id, index, .. } in queue {
            if limits.writes_scarce && urgency > WriteUrgency::Soon {
                break;
            }
            let job = self.cache.jobs.get(&id);
            let Some((job, change)) = job.and_then(|job| Some((job, slice_change(job, &id, index)?))) else {
                batch.skip_slice(id, index);
                continue;
            };
            // A slice that does not fit stays queued. Its record shrinks as its tasks end.
            let Some(change) = self.fit_into_value(change, &job.slices()[index]) else { continue };
            if batch.is_full() {
                break;
            }
            let ends_job = completes_job(job, index) && !self.store.is_key_busy(&job_key(&id));
            batch.add_slice(id, job, index, change, ends_job);
        }
        batch
    }

    fn send_batch(&mut self, shard: ShardId, batch: Batch) {
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let (transaction, dequeued) = batch.finish();
        for slice in &dequeued {
            owned_shard.dirty.remove(slice);
        }
        if transaction.changes.is_empty() {
            // All remaining changes can wait: avoids sorting the queue again at every input.
            owned_shard.retry_at = self.now + SCARCE_WRITES_DELAY;
            return;
        }
        self.store.charge_transaction(self.now, transaction.changes.len());
        let request = StoreRequest::Transaction(transaction.clone());
        let call = self.call_store(request, PendingRequest::ShardTransaction { shard, transaction });
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.inflight = Some(call);
        }
    }

    /// Returns the change in a form that fits into one value: as it is, or compact.
    /// `None` if neither fits, which is possible for slices that were cut when the
    /// store's value size limit was larger.
    fn fit_into_value(&self, change: Change, slice: &Slice) -> Option<Change> {
        let Change::Put { key, value, lease } = change else { return Some(change) };
        let always_fits = slice.desired().is_some_and(|record| self.fits(record.tasks.len() * TASK_BYTES as usize));
        if always_fits || self.fits_value(&value) {
            return Some(Change::Put { key, value, lease });
        }
        let compact = slice.desired().filter(|_| self.dependencies_enabled()).and_then(SliceRecord::compact);
        compact.filter(|value| self.fits_value(value)).map(|value| Change::Put { key, value, lease })
    }

    /// Maximum number of started tasks with which a slice's record still fits into one
    /// value. Slices are cut so that all of their tasks may be started. Exceptions are
    /// slices cut when the value size limit was larger, and slices of huge jobs.
    pub(crate) fn max_started_tasks(&self) -> usize {
        let bytes = (self.settings.cluster.state.value_kb * 1024.0 * 0.9) as usize;
        bytes / if self.dependencies_enabled() { COMPACT_TASK_BYTES } else { TASK_BYTES as usize }
    }

    /// Marks deferred responses as ready for machines on which a committed
    /// transaction placed tasks. Skips machines that report these tasks already: a
    /// slice names all machines of its tasks, and a needless response costs as much
    /// as a heartbeat.
    fn mark_placed_machines_ready(&mut self, shard: ShardId, transaction: &Transaction) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        for change in &transaction.changes {
            let Some(RecordKey::Slice(id, index)) = RecordKey::parse(change_key(change)) else {
                continue;
            };
            let Some(job) = self.cache.jobs.get(&id) else { continue };
            let Some(first) = job.record.plan.as_ref().map(|plan| plan.first_task(index)) else { continue };
            let slice = job.slices().get(index).and_then(Slice::record);
            for (at, task) in slice.into_iter().flat_map(|record| record.tasks.iter().enumerate()) {
                let TaskRecord::Placed(attempt, machine) = task else { continue };
                let key = (id.clone(), first + at as u32);
                let is_reported =
                    |machine: &Machine| machine.reported_tasks.get(&key).is_some_and(|task| task.attempt == *attempt);
                if !owned_shard.machines.get(machine).is_some_and(is_reported) {
                    self.deferred_responses.mark_ready(machine);
                }
            }
        }
    }

    /// Handles the response to a transaction of a shard's slices.
    pub(super) fn handle_shard_transaction_response(
        &mut self,
        shard: ShardId,
        transaction: Transaction,
        response: StoreResponse,
    ) {
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.inflight = None;
        }
        if !matches!(response, StoreResponse::Committed(_)) {
            self.requeue_slices(shard, &transaction);
        }
        match response {
            StoreResponse::Committed(revision) => {
                self.apply_committed(&transaction, revision);
                self.mark_placed_machines_ready(shard, &transaction);
                // Of these changes, other controllers need only ends of jobs immediately.
                let is_job = |change| matches!(RecordKey::parse(change_key(change)), Some(RecordKey::Job(_)));
                if transaction.changes.iter().any(is_job) {
                    self.send_revision_hint(revision);
                }
            }
            StoreResponse::Conflict(failed) => {
                if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                    owned_shard.pending_rereads += failed.len();
                }
                self.reread_keys(failed, Some(shard));
            }
            StoreResponse::Invalid(_) => {
                if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                    owned_shard.retry_at = self.now + INVALID_RETRY_DELAY;
                }
            }
            _ => {}
        }
    }

    /// Requeues the slices of a transaction that failed or has an unknown outcome,
    /// without changing the expected versions. If it was committed after all, the
    /// next transaction conflicts and the records are read again.
    fn requeue_slices(&mut self, shard: ShardId, transaction: &Transaction) {
        let now = self.now;
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        for condition in &transaction.conditions {
            if let Some(RecordKey::Slice(id, index)) = RecordKey::parse(&condition.key) {
                owned_shard.dirty.entry((id, index)).or_insert(now);
            }
        }
        owned_shard.retry_at = now + RETRY_DELAY;
    }
}

#[cfg(test)]
mod tests;
