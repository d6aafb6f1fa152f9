//! The slices of shards that this node owns: taking them up, letting go of
//! them, and changing what is wanted of their tasks.

use crate::coordination::shards::owned_shard::{OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::storage::cache::{Job, JobChange};
use crate::storage::records::{SliceRecord, TaskRecord};
use crate::units::{JobId, MachineId, Revision, ShardId};

impl Core {
    /// Parts whose ownership the cache has caught up with are taken to work.
    pub(crate) fn activate_ready_shards(&mut self) {
        let caught_up =
            |owned_shard: &OwnedShard, revision: Revision| !owned_shard.ready && revision.0 >= owned_shard.token.0;
        let ready: Vec<ShardId> =
            self.owned_shards.iter().filter(|(_, m)| caught_up(m, self.cache.revision)).map(|(p, _)| *p).collect();
        for shard in ready {
            for id in self.cache.active.clone() {
                self.adopt_slices(&id, Some(shard));
            }
            if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                owned_shard.ready = true;
                // What earlier owners left may be cut off behind them: see `keeping`.
                owned_shard.owned_since = self.now;
                owned_shard.last_proxied = self.now;
            }
            // The last slices of a job may have been done while nobody owned
            // its first: no change would ever bring that up again.
            for id in self.cache.active.clone() {
                self.check_finished(&id);
            }
        }
    }

    /// Begins to work on a job's slices that belong to our shards, from their
    /// durable state, and lets go of those that moved away.
    pub(crate) fn adopt_slices(&mut self, id: &JobId, only: Option<ShardId>) {
        let Some(job) = self.cache.jobs.get_mut(id) else { return };
        for index in 0..job.slices().len() {
            let Some(shard) = job.shard_of(index) else { continue };
            let wanted = only.is_none_or(|p| p == shard);
            match self.owned_shards.get_mut(&shard) {
                Some(owned_shard) if wanted && (owned_shard.ready || only.is_some()) => {
                    if job.slices()[index].desired().is_none() {
                        let first = job.record.plan.as_ref().map_or(0, |p| p.first_task(index));
                        if let Some(held) = job.slices()[index].record().cloned() {
                            for (at, task) in held.tasks.iter().enumerate() {
                                if let TaskRecord::Placed(_, machine) = task {
                                    owned_shard.place((id.clone(), first + at as u32), machine, &job.record);
                                }
                            }
                            job.set_desired(index, Some(held));
                        } else if job.record.end.is_none() {
                            let len = job.record.plan.as_ref().map_or(0, |p| p.len(index, job.record.spec.task_count));
                            job.set_desired(index, Some(SliceRecord::fresh(len)));
                        }
                    }
                    owned_shard.dirty.entry((id.clone(), index)).or_insert(self.now);
                }
                None => job.set_desired(index, None),
                _ => {}
            }
        }
    }

    /// Takes back wishes for tasks whose slice was dealt to another shard
    /// before any of them was durable.
    pub(crate) fn release_moved_slices(&mut self, id: &JobId) {
        let shards = self.shard_count;
        let Some(job) = self.cache.jobs.get_mut(id) else { return };
        let Some(plan) = job.record.plan.clone() else { return };
        for index in 0..job.slices().len() {
            let first = plan.first_task(index);
            let mut moved: Vec<(ShardId, MachineId, TaskKey)> = vec![];
            for (at, task) in job.slices()[index].desired().into_iter().flat_map(|w| w.tasks.iter().enumerate()) {
                let TaskRecord::Placed(_, machine) = task else { continue };
                let from = ShardId::of(machine.as_str(), shards);
                if plan.shards.get(index) != Some(&from) {
                    moved.push((from, machine.clone(), (id.clone(), first + at as u32)));
                }
            }
            if !moved.is_empty() {
                job.set_desired(index, None);
            }
            for (from, machine, key) in moved {
                let Some(owned_shard) = self.owned_shards.get_mut(&from) else { continue };
                if owned_shard.placed_tasks.get_mut(&machine).is_some_and(|tasks| tasks.remove(&key)) {
                    owned_shard.subtract_usage(&job.record);
                }
            }
        }
    }

    pub(crate) fn job_changed(&mut self, id: &JobId, news: JobChange) {
        self.track_dependencies(id);
        if let Some(job) = self.cache.jobs.get(id).filter(|j| j.record.end.is_none()) {
            self.assign_soon |= job.record.plan.is_none();
            let spec = &job.record.spec;
            tracing::debug!(
                "job {id}: {} tasks of {} cpus, {} s, plan {:?}",
                spec.task_count,
                spec.cpus,
                spec.estimated_run_s,
                job.record.plan
            );
            // Once a job: its record changes with each deal.
            if news == JobChange::First && self.wants_quick_start(&job.class) {
                let (class, cpus) = (spec.class.clone(), spec.cpus * f64::from(spec.task_count));
                self.estimates.record_quick_start_job(&class, cpus);
            }
        }
        if let Some(job) = self.cache.jobs.get(id).filter(|_| news == JobChange::Ended) {
            let (age, allowed) = (self.age_s(job), self.allowed_s(job));
            tracing::info!("job {id} of {} ended at {age:.0} s of {allowed:.0} s", job.record.spec.class);
        }
        self.release_moved_slices(id);
        self.adopt_slices(id, None);
        self.check_finished(id);
    }

    pub(crate) fn slice_changed(&mut self, id: &JobId, _slice: usize) {
        self.check_finished(id);
    }

    /// The record and wanted state of a task of ours.
    pub(crate) fn task(&self, key: &TaskKey) -> Option<(&Job, ShardId, usize, usize)> {
        let job = self.cache.jobs.get(&key.0)?;
        if key.1 >= job.record.spec.task_count {
            return None;
        }
        let (index, at) = job.record.plan.as_ref()?.slice_of(key.1);
        let shard = job.shard_of(index)?;
        job.slices()[index].desired()?.tasks.get(at)?;
        Some((job, shard, index, at))
    }

    pub(crate) fn desired_task(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let (job, _, index, at) = self.task(key)?;
        job.slices()[index].desired()?.tasks.get(at)
    }

    pub(crate) fn durable_task(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let (job, _, index, at) = self.task(key)?;
        job.slices()[index].record()?.tasks.get(at)
    }

    /// Changes what is wanted of a task, keeping the shard's indexes; the next
    /// transaction makes it durable.
    pub(crate) fn set_task(&mut self, key: &TaskKey, to: TaskRecord) {
        let Some((_, shard, index, at)) = self.task(key) else { return };
        let Some(job) = self.cache.jobs.get_mut(&key.0) else { return };
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let Some(from) = job.set_task(index, at, to.clone()) else { return };
        if let TaskRecord::Placed(_, machine) = &from {
            owned_shard.unplace(key, machine, &job.record);
        }
        if let TaskRecord::Placed(_, machine) = &to {
            owned_shard.place(key.clone(), machine, &job.record);
        }
        owned_shard.dirty.entry((key.0.clone(), index)).or_insert(self.now);
    }
}
