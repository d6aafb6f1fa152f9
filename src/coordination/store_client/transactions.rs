//! Making a shard's changes durable: one transaction at a time, what presses
//! first, and nothing that somebody else has changed meanwhile.

use crate::coordination::shards::owned_shard::Machine;
use crate::coordination::store_client::pending_requests::{change_key, PendingRequest};
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall, Transaction};
use crate::protocol::users::Priority;
use crate::storage::cache::{Job, Slice};
use crate::storage::records;
use crate::storage::records::{job_key, owner_key, slice_key, JobOutcome, JobRecord, SliceRecord, TaskRecord};
use crate::units::{JobId, Millis, MonotonicTime, Revision, ShardId};
use std::collections::BTreeSet;

/// How soon a slice's changes should be durable; less is sooner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Haste {
    /// A machine stands ready for a task that may start once this is written.
    Start,
    /// The end of a slice, perhaps of its job, or what has waited long.
    Soon,
    /// Exits: the machine is free already, and more will come.
    Exit,
    /// Clearing away.
    Whenever,
}

impl Haste {
    /// What has waited for so long must not starve.
    fn after(self, waited: Millis) -> Haste {
        let patience = match self {
            Haste::Start | Haste::Soon => return self,
            Haste::Exit => Millis(2000),
            Haste::Whenever => Millis(20_000),
        };
        if waited >= patience {
            Haste::Soon
        } else {
            self
        }
    }
}

fn haste_of(slice: &Slice, ended: bool) -> Haste {
    if ended || slice.desired().is_none() {
        Haste::Whenever
    } else if slice.has_unwritten_starts() {
        Haste::Start
    } else if slice.is_desired_done() {
        Haste::Soon
    } else {
        Haste::Exit
    }
}

/// How long writes for a job stand back behind those of the highest priority:
/// a swarm of little work must not hold up what presses, nor wait for ever.
fn patience_ms(priority: Priority) -> u64 {
    match priority {
        Priority::Low => 2000,
        Priority::Normal => 500,
        Priority::High | Priority::Critical => 0,
    }
}

/// Tasks that a slice may have on machines, and tried before, so that its dense
/// form fits into one value for certain: bytes a task, at the most.
const DENSE_BYTES: usize = 12;

/// The change that makes a slice of a job as it is wanted, if one is needed.
fn slice_change(job: &Job, id: &JobId, index: usize) -> Option<Change> {
    let slice = &job.slices()[index];
    let want = slice.desired()?;
    let key = slice_key(id, index);
    if job.record.end.is_some() && !want.has_placed_task() {
        // Nothing of an ended job is left here: the slice has served.
        return slice.record().map(|_| Change::delete(key));
    }
    if slice.dirty() {
        return Some(Change::put(key, serde_json::to_value(want).ok()?));
    }
    None
}

impl Core {
    pub(crate) fn write_pending_changes(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            self.write_shard_changes(shard);
        }
    }

    /// Sends one transaction with the shard's oldest changes, each slice's
    /// coalesced; all of it holds only if we still own the shard, no slice was
    /// changed behind our back, and no job was cancelled or dealt anew.
    pub(crate) fn write_shard_changes(&mut self, shard: ShardId) {
        let level = self.store.write_budget(self.now).floor();
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        if !owned_shard.ready
            || owned_shard.inflight.is_some()
            || owned_shard.rereads > 0
            || self.now < owned_shard.retry_at
            || owned_shard.dirty.is_empty()
        {
            return;
        }
        let limit = self.settings.cluster.state.txn_ops.min(level.max(0.0) as usize);
        if limit < 2 {
            return;
        }
        let mut order: Vec<(Haste, MonotonicTime, (JobId, usize))> = vec![];
        for (key, since) in &owned_shard.dirty {
            let job = self.cache.jobs.get(&key.0);
            let slice = job.and_then(|j| Some((j.record.end, j.slices().get(key.1)?)));
            let haste = slice.map_or(Haste::Whenever, |(end, slice)| haste_of(slice, end.is_some()));
            let priority = job.map_or(Priority::Low, |j| j.priority());
            let due = MonotonicTime(since.0 + patience_ms(priority));
            order.push((haste.after(self.now.since(*since)), due, key.clone()));
        }
        order.sort();
        // Writes are scarce: what can wait for more to come to the same slice
        // leaves half of them to starts.
        let thrifty = level < self.store.writes_per_s() / 2.0;
        let mut transaction = Transaction {
            conditions: vec![Condition { key: owner_key(shard), version: Revision(owned_shard.token.0) }],
            changes: vec![],
        };
        let mut sent = vec![];
        let mut jobs = BTreeSet::new();
        let mut bytes = 0;
        for (haste, _, (id, index)) in order {
            if thrifty && haste > Haste::Soon {
                break;
            }
            let Some(job) = self.cache.jobs.get(&id) else {
                sent.push((id, index));
                continue;
            };
            let Some(change) = job.slices().get(index).and_then(|_| slice_change(job, &id, index)) else {
                sent.push((id, index));
                continue;
            };
            // What does not fit waits: as its tasks end, its record shrinks.
            let Some(change) = self.fitted_slice(change, &job.slices()[index]) else { continue };
            // Room for the job's own record, should this slice be its last.
            if transaction.changes.len() + 2 > limit || bytes > 40_000 {
                break;
            }
            bytes += serde_json::to_vec(&change).map_or(0, |b| b.len()) + 200;
            transaction
                .conditions
                .push(Condition { key: slice_key(&id, index), version: job.slices()[index].held().version });
            if jobs.insert(id.clone()) {
                transaction.conditions.push(Condition { key: job_key(&id), version: job.version });
            }
            let last = job.record.end.is_none()
                && job.slices().iter().enumerate().all(|(at, s)| {
                    if at == index {
                        s.desired().is_some_and(SliceRecord::is_done)
                    } else {
                        s.is_done()
                    }
                });
            if last && !self.store.is_key_busy(&job_key(&id)) {
                // Done with its last slice: the slice need not be kept.
                let record = JobRecord { end: Some(JobOutcome::Done), ..job.record.clone() };
                if let Ok(value) = serde_json::to_value(record) {
                    bytes += 800;
                    transaction.changes.push(Change::put(job_key(&id), value));
                    // While writes are scarce, clearing away is left for later.
                    if job.slices()[index].record().is_some() && !thrifty {
                        transaction.changes.push(Change::delete(slice_key(&id, index)));
                    }
                }
            } else {
                transaction.changes.push(change);
            }
            sent.push((id, index));
        }
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        for key in &sent {
            owned_shard.dirty.remove(key);
        }
        if transaction.changes.is_empty() {
            // All of it can wait for writes: not to be weighed at every input.
            owned_shard.retry_at = self.now + Millis(20);
            return;
        }
        self.store.charge_transaction(self.now, transaction.changes.len());
        let id = self.call_state(
            StateCall::Transaction(transaction.clone()),
            PendingRequest::ShardTransaction { shard, transaction },
        );
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.inflight = Some(id);
        }
    }

    /// The change in a form that fits into one value, if any does: slices may
    /// have been cut when values were larger.
    fn fitted_slice(&self, change: Change, slice: &Slice) -> Option<Change> {
        let Change::Put { put, value, lease } = change else { return Some(change) };
        let small = slice.desired().is_some_and(|want| {
            self.fits(want.tasks.len() * crate::coordination::jobs::slice_sizing::TASK_BYTES as usize)
        });
        if small || self.fits_value(&value) {
            return Some(Change::Put { put, value, lease });
        }
        let compact = slice.desired().filter(|_| self.dependencies_enabled()).and_then(SliceRecord::compact);
        compact.filter(|value| self.fits_value(value)).map(|value| Change::Put { put, value, lease })
    }

    /// Tasks of a slice that may be on machines at the same time, so that its
    /// record stays one value. Slices are cut so that this is all of them,
    /// but for those cut when values were larger and those of huge jobs.
    pub(crate) fn most_on(&self) -> usize {
        let bytes = (self.settings.cluster.state.value_kb * 1024.0 * 0.9) as usize;
        bytes
            / if self.dependencies_enabled() {
                DENSE_BYTES
            } else {
                crate::coordination::jobs::slice_sizing::TASK_BYTES as usize
            }
    }

    /// Machines that a committed transaction put tasks on may be told so now:
    /// those that do not list them yet. A slice names all machines that its
    /// tasks are on, and each answer made in vain costs as much as a report.
    fn touch_machines(&mut self, shard: ShardId, transaction: &Transaction) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        for change in &transaction.changes {
            let Some(records::RecordKey::Slice(id, index)) = records::RecordKey::read(change_key(change)) else {
                continue;
            };
            let Some(job) = self.cache.jobs.get(&id) else { continue };
            let Some(first) = job.record.plan.as_ref().map(|plan| plan.first_task(index)) else { continue };
            let slice = job.slices().get(index).and_then(Slice::record);
            for (at, task) in slice.into_iter().flat_map(|record| record.tasks.iter().enumerate()) {
                let TaskRecord::Placed(attempt, machine) = task else { continue };
                let key = (id.clone(), first + at as u32);
                let listed = |m: &Machine| m.listed.get(&key).is_some_and(|known| known.0 == *attempt);
                if !owned_shard.machines.get(machine).is_some_and(listed) {
                    self.deferred_responses.touch(machine);
                }
            }
        }
    }

    pub(crate) fn shard_transaction_answer(&mut self, shard: ShardId, transaction: Transaction, answer: StateAnswer) {
        // The slices of a transaction that failed, or whose outcome is not
        // known, are sent again under the same versions: if it did go
        // through after all, the conflict says so and the records are read.
        let committed = matches!(answer, StateAnswer::Committed(_));
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.inflight = None;
            if !committed {
                for key in transaction.conditions.iter() {
                    if let Some(records::RecordKey::Slice(id, index)) = records::RecordKey::read(&key.key) {
                        owned_shard.dirty.entry((id, index)).or_insert(self.now);
                    }
                }
                owned_shard.retry_at = self.now + Millis(150);
            }
        }
        match answer {
            StateAnswer::Committed(revision) => {
                self.committed(&transaction, revision);
                self.touch_machines(shard, &transaction);
                // Tell others only of what they may have to act on: ends of jobs.
                if transaction.changes.iter().any(|c| change_key(c).starts_with("t/j/")) {
                    self.send_revision_hint(revision);
                }
            }
            StateAnswer::Conflict(failed) => {
                if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                    owned_shard.rereads += failed.len();
                }
                self.reread(failed, Some(shard));
            }
            StateAnswer::Rejected(_) => {
                if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                    owned_shard.retry_at = self.now + Millis(2000);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
