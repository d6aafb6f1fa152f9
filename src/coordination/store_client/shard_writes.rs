//! Making the changes of owned shards durable: one transaction at a time a
//! shard, the most urgent slices first, and nothing that somebody else has
//! changed meanwhile.
//!
//! Called at the end of every step of the core. Effects follow the record: a
//! task is started only after the transaction that places it was committed.

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

/// Most that a task takes in the compact form of a slice, in bytes.
const COMPACT_TASK_BYTES: usize = 12;

/// How long changes that can wait are left alone while writes are scarce.
const SCARCE_PAUSE: Millis = Millis(20);

/// How long a shard does not write after a transaction that was not committed.
const RETRY_PAUSE: Millis = Millis(150);

/// The same after one that the store rejected as invalid.
const INVALID_PAUSE: Millis = Millis(2000);

/// How soon a slice's changes should be durable; the more urgent are less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WriteUrgency {
    /// A machine stands ready for a task that may start once this is written.
    Start,
    /// The end of a slice, perhaps of its job, or what has waited long.
    Soon,
    /// Exits of tasks: the machine is free already, and more exits will come.
    Exit,
    /// Deleting records that nobody needs any more.
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

    /// The urgency after a wait: what has waited for long must not starve.
    fn after(self, waited: Millis) -> WriteUrgency {
        let longest_wait = match self {
            WriteUrgency::Start | WriteUrgency::Soon => return self,
            WriteUrgency::Exit => Millis(2000),
            WriteUrgency::Cleanup => Millis(20_000),
        };
        if waited >= longest_wait {
            WriteUrgency::Soon
        } else {
            self
        }
    }
}

/// A slice with changes to write. The order is that in which they are written.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedSlice {
    urgency: WriteUrgency,
    /// When it stops giving way to jobs of higher priority.
    due: MonotonicTime,
    job: JobId,
    index: usize,
}

/// How long writes for a job give way to those of the highest priority: many
/// small jobs must not hold up what is urgent, nor wait for ever.
fn priority_delay_ms(priority: Priority) -> u64 {
    match priority {
        Priority::Low => 2000,
        Priority::Normal => 500,
        Priority::High | Priority::Critical => 0,
    }
}

/// True if the shard has changes and no transaction of it is unfinished.
fn can_write(owned_shard: &OwnedShard, now: MonotonicTime) -> bool {
    owned_shard.ready
        && owned_shard.inflight.is_none()
        && owned_shard.rereads == 0
        && now >= owned_shard.retry_at
        && !owned_shard.dirty.is_empty()
}

impl Core {
    /// Writes what is to be written of all owned shards.
    pub(crate) fn write_pending_changes(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            self.write_shard_changes(shard);
        }
    }

    /// Sends one transaction with the shard's most urgent changes, each slice's
    /// coalesced. All of it holds only if this node still owns the shard, and
    /// nobody else has changed a slice, or cancelled or reassigned a job.
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

    /// The slices of a shard with changes to write, in the order of writing.
    fn write_queue(&self, owned_shard: &OwnedShard) -> Vec<QueuedSlice> {
        let queued = owned_shard.dirty.iter().map(|((id, index), since)| {
            let job = self.cache.jobs.get(id);
            let slice = job.and_then(|job| Some((job, job.slices().get(*index)?)));
            let urgency = slice
                .map_or(WriteUrgency::Cleanup, |(job, slice)| WriteUrgency::of(slice, job.record.outcome.is_some()));
            let priority = job.map_or(Priority::Low, |job| job.priority());
            QueuedSlice {
                urgency: urgency.after(self.now.since(*since)),
                due: MonotonicTime(since.0 + priority_delay_ms(priority)),
                job: id.clone(),
                index: *index,
            }
        });
        let mut queue: Vec<QueuedSlice> = queued.collect();
        queue.sort();
        queue
    }

    /// Adds slices in the order of the queue until the transaction is full.
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
            // What does not fit waits: as its tasks end, its record shrinks.
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
        let (transaction, taken) = batch.finish();
        for slice in &taken {
            owned_shard.dirty.remove(slice);
        }
        if transaction.changes.is_empty() {
            // All of it can wait for writes: it need not be weighed at every input.
            owned_shard.retry_at = self.now + SCARCE_PAUSE;
            return;
        }
        self.store.charge_transaction(self.now, transaction.changes.len());
        let request = StoreRequest::Transaction(transaction.clone());
        let call = self.call_state(request, PendingRequest::ShardTransaction { shard, transaction });
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.inflight = Some(call);
        }
    }

    /// The change in a form that fits into one value, if any does: slices may
    /// have been cut when values were larger.
    fn fit_into_value(&self, change: Change, slice: &Slice) -> Option<Change> {
        let Change::Put { key, value, lease } = change else { return Some(change) };
        let always_fits = slice.desired().is_some_and(|record| self.fits(record.tasks.len() * TASK_BYTES as usize));
        if always_fits || self.fits_value(&value) {
            return Some(Change::Put { key, value, lease });
        }
        let compact = slice.desired().filter(|_| self.dependencies_enabled()).and_then(SliceRecord::compact);
        compact.filter(|value| self.fits_value(value)).map(|value| Change::Put { key, value, lease })
    }

    /// Started tasks that a slice may have so that its record certainly fits into
    /// one value. Slices are cut so that this is all of their tasks, but for those
    /// cut when values were larger and those of huge jobs.
    pub(crate) fn max_started_tasks(&self) -> usize {
        let bytes = (self.settings.cluster.state.value_kb * 1024.0 * 0.9) as usize;
        bytes / if self.dependencies_enabled() { COMPACT_TASK_BYTES } else { TASK_BYTES as usize }
    }

    /// Lets machines that a committed transaction placed tasks on be answered
    /// now: those that do not report these tasks yet. A slice names all machines
    /// that its tasks are on, and each needless answer costs as much as a heartbeat.
    fn wake_placed_machines(&mut self, shard: ShardId, transaction: &Transaction) {
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

    /// Takes the answer to a transaction of a shard's slices.
    pub(super) fn shard_transaction_answer(&mut self, shard: ShardId, transaction: Transaction, answer: StoreResponse) {
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.inflight = None;
        }
        if !matches!(answer, StoreResponse::Committed(_)) {
            self.queue_again(shard, &transaction);
        }
        match answer {
            StoreResponse::Committed(revision) => {
                self.committed(&transaction, revision);
                self.wake_placed_machines(shard, &transaction);
                // Other controllers need to know at once of ends of jobs only.
                let is_job = |change| matches!(RecordKey::parse(change_key(change)), Some(RecordKey::Job(_)));
                if transaction.changes.iter().any(is_job) {
                    self.send_revision_hint(revision);
                }
            }
            StoreResponse::Conflict(failed) => {
                if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                    owned_shard.rereads += failed.len();
                }
                self.reread(failed, Some(shard));
            }
            StoreResponse::Invalid(_) => {
                if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                    owned_shard.retry_at = self.now + INVALID_PAUSE;
                }
            }
            _ => {}
        }
    }

    /// Queues the slices of a transaction that failed, or whose outcome is not
    /// known, under the same versions: if it did go through after all, the next
    /// one conflicts and the records are read.
    fn queue_again(&mut self, shard: ShardId, transaction: &Transaction) {
        let now = self.now;
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        for condition in &transaction.conditions {
            if let Some(RecordKey::Slice(id, index)) = RecordKey::parse(&condition.key) {
                owned_shard.dirty.entry((id, index)).or_insert(now);
            }
        }
        owned_shard.retry_at = now + RETRY_PAUSE;
    }
}

#[cfg(test)]
mod tests;
