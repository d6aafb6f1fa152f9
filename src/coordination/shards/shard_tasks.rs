//! Tasks of owned shards: adopts slices from the durable records, releases slices that moved to another shard, and
//! changes the desired state of tasks together with the shard's indexes. Called on ownership changes, job changes and
//! heartbeats. Changes become durable with the shard's next transaction.

use crate::coordination::shards::owned_shard::{OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::storage::cache::Job;
use crate::storage::records::{SliceRecord, TaskRecord};
use crate::units::{JobId, MachineId, MonotonicTime, ShardId};

/// Location of a task in the records.
pub(crate) struct TaskLocation<'a> {
    /// Job that the task belongs to.
    pub job: &'a Job,
    /// Shard that the task's slice is assigned to.
    pub shard: ShardId,
    /// Index of the slice within the job.
    pub slice: usize,
    /// Index of the task within the slice.
    pub offset: usize,
}

/// A task whose desired state places it on a machine outside the shard that its slice is assigned to.
struct MovedTask {
    key: TaskKey,
    machine: MachineId,
    /// Shard that the machine belongs to.
    from: ShardId,
}

impl Core {
    /// Marks owned shards as ready and adopts their slices, once the cache has caught up with their fencing tokens.
    pub(crate) fn activate_ready_shards(&mut self) {
        let revision = self.cache.revision;
        let caught_up = |shard: &OwnedShard| !shard.ready && revision.0 >= shard.token.0;
        let shards = self.owned_shards.iter();
        let ready: Vec<ShardId> = shards.filter(|(_, shard)| caught_up(shard)).map(|(id, _)| *id).collect();
        for shard in ready {
            for id in self.cache.active.clone() {
                self.adopt_slices(&id, Some(shard));
            }
            if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                owned_shard.ready = true;
                // Previous owners and proxies may act until they learn of the change: see `machine_expiry`.
                owned_shard.owned_since = self.now;
                owned_shard.last_proxied = self.now;
            }
            // The last slices of a job may have finished while its first slice had no owner: no later change would
            // trigger this check.
            for id in self.cache.active.clone() {
                self.check_job_completion(&id);
            }
        }
    }

    /// Adopts a job's slices that belong to owned, ready shards, and drops the desired state of slices that belong to
    /// shards of other owners. With `only`, adopts just the slices of that owned shard, which may not be ready yet.
    pub(crate) fn adopt_slices(&mut self, id: &JobId, only: Option<ShardId>) {
        let Some(job) = self.cache.jobs.get_mut(id) else { return };
        for index in 0..job.slices().len() {
            let Some(shard) = job.shard_of(index) else { continue };
            let is_selected = only.is_none_or(|only| only == shard);
            match self.owned_shards.get_mut(&shard) {
                Some(owned_shard) if is_selected && (owned_shard.ready || only.is_some()) => {
                    adopt_slice(owned_shard, job, id, index, self.now);
                }
                None => job.set_desired(index, None),
                _ => {}
            }
        }
    }

    /// Reverts placements in slices that were reassigned to another shard before any of the placements was durable.
    pub(crate) fn release_moved_slices(&mut self, id: &JobId) {
        let shards = self.shard_count;
        let Some(job) = self.cache.jobs.get_mut(id) else { return };
        for index in 0..job.slices().len() {
            let moved = moved_tasks(job, id, index, shards);
            if !moved.is_empty() {
                job.set_desired(index, None);
            }
            for task in moved {
                let Some(owned_shard) = self.owned_shards.get_mut(&task.from) else { continue };
                let tasks = owned_shard.placed_tasks.get_mut(&task.machine);
                if tasks.is_some_and(|tasks| tasks.remove(&task.key)) {
                    owned_shard.subtract_usage(&job.record);
                }
            }
        }
    }

    /// Returns the location of a task of an owned shard, or `None` if there is no such task or its slice has no desired
    /// state here.
    pub(crate) fn locate_task(&self, key: &TaskKey) -> Option<TaskLocation<'_>> {
        let job = self.cache.jobs.get(&key.0)?;
        if key.1 >= job.record.spec.task_count {
            return None;
        }
        let (slice, offset) = job.record.plan.as_ref()?.locate_task(key.1);
        let shard = job.shard_of(slice)?;
        job.slices()[slice].desired()?.tasks.get(offset)?;
        Some(TaskLocation { job, shard, slice, offset })
    }

    /// Returns the desired state of a task of an owned shard.
    pub(crate) fn desired_task(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let location = self.locate_task(key)?;
        location.job.slices()[location.slice].desired()?.tasks.get(location.offset)
    }

    /// Returns the durable state of a task of an owned shard.
    pub(crate) fn durable_task(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let location = self.locate_task(key)?;
        location.job.slices()[location.slice].record()?.tasks.get(location.offset)
    }

    /// Changes the desired state of a task and updates the shard's indexes. The shard's next transaction makes the
    /// change durable.
    pub(crate) fn set_task(&mut self, key: &TaskKey, to: TaskRecord) {
        let Some(TaskLocation { shard, slice, offset, .. }) = self.locate_task(key) else { return };
        let Some(job) = self.cache.jobs.get_mut(&key.0) else { return };
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let Some(from) = job.set_task(slice, offset, to.clone()) else { return };
        if let TaskRecord::Placed(_, machine) = &from {
            owned_shard.unplace(key, machine, &job.record);
        }
        if let TaskRecord::Placed(_, machine) = &to {
            owned_shard.place(key.clone(), machine, &job.record);
        }
        owned_shard.dirty.entry((key.0.clone(), slice)).or_insert(self.now);
    }
}

/// Adopts a slice of an owned shard: initializes its desired state from the durable state or, if there is none, as a
/// new slice.
fn adopt_slice(owned_shard: &mut OwnedShard, job: &mut Job, id: &JobId, index: usize, now: MonotonicTime) {
    if job.slices()[index].desired().is_none() {
        let plan = job.record.plan.as_ref();
        if let Some(durable) = job.slices()[index].record().cloned() {
            let first = plan.map_or(0, |plan| plan.first_task(index));
            for (offset, task) in durable.tasks.iter().enumerate() {
                if let TaskRecord::Placed(_, machine) = task {
                    owned_shard.place((id.clone(), first + offset as u32), machine, &job.record);
                }
            }
            job.set_desired(index, Some(durable));
        } else if job.record.outcome.is_none() {
            let len = plan.map_or(0, |plan| plan.slice_len(index, job.record.spec.task_count));
            job.set_desired(index, Some(SliceRecord::all_pending(len)));
        }
    }
    owned_shard.dirty.entry((id.clone(), index)).or_insert(now);
}

/// Returns the tasks that a slice's desired state places on machines outside the shard that the slice is assigned to.
fn moved_tasks(job: &Job, id: &JobId, index: usize, shards: u32) -> Vec<MovedTask> {
    let Some(plan) = job.record.plan.as_ref() else { return vec![] };
    let Some(desired) = job.slices()[index].desired() else { return vec![] };
    let first = plan.first_task(index);
    let moved = |(offset, task): (usize, &TaskRecord)| {
        let TaskRecord::Placed(_, machine) = task else { return None };
        let from = ShardId::of(machine.as_str(), shards);
        let key = (id.clone(), first + offset as u32);
        (plan.shards.get(index) != Some(&from)).then(|| MovedTask { key, machine: machine.clone(), from })
    };
    desired.tasks.iter().enumerate().filter_map(moved).collect()
}
