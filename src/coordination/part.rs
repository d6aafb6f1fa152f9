//! The slices of parts that this node owns: taking them up, letting go of
//! them, and changing what is wanted of their tasks.

use super::mine::{Mine, TaskKey};
use super::*;
use crate::bookkeeping::records::{job_key, End, JobRecord, SliceRecord, TaskRecord};
use crate::bookkeeping::view::{Job, News, Slice};

impl Core {
    /// Parts whose ownership the view has caught up with are taken to work.
    pub(super) fn ready_parts(&mut self) {
        let caught_up = |mine: &Mine, revision: Revision| !mine.ready && revision.0 >= mine.token.0;
        let ready: Vec<PartId> =
            self.mine.iter().filter(|(_, m)| caught_up(m, self.view.revision)).map(|(p, _)| *p).collect();
        for part in ready {
            for id in self.view.active.clone() {
                self.adopt_slices(&id, Some(part));
            }
            if let Some(mine) = self.mine.get_mut(&part) {
                mine.ready = true;
                // What earlier owners left may be cut off behind them: see `keeping`.
                mine.since = self.now;
                mine.unkept = self.now;
            }
            // The last slices of a job may have been done while nobody owned
            // its first: no change would ever bring that up again.
            for id in self.view.active.clone() {
                self.check_finished(&id);
            }
        }
    }

    /// Begins to work on a job's slices that belong to our parts, from their
    /// durable state, and lets go of those that moved away.
    pub(super) fn adopt_slices(&mut self, id: &JobRef, only: Option<PartId>) {
        let Some(job) = self.view.jobs.get_mut(id) else { return };
        for index in 0..job.slices().len() {
            let Some(part) = job.part_of(index) else { continue };
            let wanted = only.is_none_or(|p| p == part);
            match self.mine.get_mut(&part) {
                Some(mine) if wanted && (mine.ready || only.is_some()) => {
                    if job.slices()[index].want().is_none() {
                        let first = job.record.plan.as_ref().map_or(0, |p| p.first_task(index));
                        if let Some(held) = job.slices()[index].record().cloned() {
                            for (at, task) in held.tasks.iter().enumerate() {
                                if let TaskRecord::On(_, machine) = task {
                                    mine.on.entry(machine.clone()).or_default().insert((id.clone(), first + at as u32));
                                    mine.count(&job.record, 1.0);
                                }
                            }
                            job.set_want(index, Some(held));
                        } else if job.record.end.is_none() {
                            let len = job.record.plan.as_ref().map_or(0, |p| p.len(index, job.record.spec.tasks));
                            job.set_want(index, Some(SliceRecord::fresh(len)));
                        }
                    }
                    mine.dirty.entry((id.clone(), index)).or_insert(self.now);
                }
                None => job.set_want(index, None),
                _ => {}
            }
        }
    }

    /// Takes back wishes for tasks whose slice was dealt to another part
    /// before any of them was durable.
    pub(super) fn let_go_of_moved(&mut self, id: &JobRef) {
        let parts = self.parts;
        let Some(job) = self.view.jobs.get_mut(id) else { return };
        let Some(plan) = job.record.plan.clone() else { return };
        for index in 0..job.slices().len() {
            let first = plan.first_task(index);
            let mut moved: Vec<(PartId, MachineId, TaskKey)> = vec![];
            for (at, task) in job.slices()[index].want().into_iter().flat_map(|w| w.tasks.iter().enumerate()) {
                let TaskRecord::On(_, machine) = task else { continue };
                let from = PartId::of(machine.as_str(), parts);
                if plan.parts.get(index) != Some(&from) {
                    moved.push((from, machine.clone(), (id.clone(), first + at as u32)));
                }
            }
            if !moved.is_empty() {
                job.set_want(index, None);
            }
            for (from, machine, key) in moved {
                let Some(mine) = self.mine.get_mut(&from) else { continue };
                if mine.on.get_mut(&machine).is_some_and(|tasks| tasks.remove(&key)) {
                    mine.count(&job.record, -1.0);
                }
            }
        }
    }

    pub(super) fn job_changed(&mut self, id: &JobRef, news: News) {
        self.follow(id);
        if let Some(job) = self.view.jobs.get(id).filter(|j| j.record.end.is_none()) {
            self.deal_soon |= job.record.plan.is_none();
            let spec = &job.record.spec;
            tracing::debug!(
                "job {id}: {} tasks of {} cpus, {} s, plan {:?}",
                spec.tasks,
                spec.cpus,
                spec.estimate_s,
                job.record.plan
            );
            // Once a job: its record changes with each deal.
            if news == News::First && self.wants_quick_start(&job.class) {
                let (class, cpus) = (spec.class.clone(), spec.cpus * f64::from(spec.tasks));
                self.learned.saw_job(&class, cpus);
            }
        }
        if let Some(job) = self.view.jobs.get(id).filter(|_| news == News::Ended) {
            let (age, allowed) = (self.age_s(job), self.allowed_s(job));
            tracing::info!("job {id} of {} ended at {age:.0} s of {allowed:.0} s", job.record.spec.class);
        }
        self.let_go_of_moved(id);
        self.adopt_slices(id, None);
        self.check_finished(id);
    }

    pub(super) fn slice_changed(&mut self, id: &JobRef, _slice: usize) {
        self.check_finished(id);
    }

    /// A job all of whose slices are durably done is to be called done, by
    /// the owner of its first slice.
    pub(super) fn check_finished(&mut self, id: &JobRef) {
        let Some(job) = self.view.jobs.get(id) else { return };
        if job.record.end.is_some() || job.slices().is_empty() {
            return;
        }
        let ours = job.part_of(0).is_some_and(|p| self.mine.contains_key(&p));
        if ours && job.slices().iter().all(Slice::is_done) {
            self.finish.insert(id.clone());
        }
    }

    pub(super) fn finish_jobs(&mut self) {
        for id in std::mem::take(&mut self.finish) {
            let Some(job) = self.view.jobs.get(&id) else { continue };
            let key = job_key(&id);
            if job.record.end.is_some() {
                continue;
            }
            if self.busy_keys.contains(&key) || self.now < self.retry_state_at {
                self.finish.insert(id);
                continue;
            }
            let record = JobRecord { end: Some(End::Done), ..job.record.clone() };
            let Ok(value) = serde_json::to_value(record) else { continue };
            let conditions = vec![Condition { key: key.clone(), version: job.version }];
            self.simple_txn(Txn { conditions, changes: vec![Change::put(key, value)] });
            self.finish.insert(id);
        }
    }

    /// The record and wanted state of a task of ours.
    pub(super) fn task(&self, key: &TaskKey) -> Option<(&Job, PartId, usize, usize)> {
        let job = self.view.jobs.get(&key.0)?;
        if key.1 >= job.record.spec.tasks {
            return None;
        }
        let (index, at) = job.record.plan.as_ref()?.slice_of(key.1);
        let part = job.part_of(index)?;
        job.slices()[index].want()?.tasks.get(at)?;
        Some((job, part, index, at))
    }

    pub(super) fn wanted(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let (job, _, index, at) = self.task(key)?;
        job.slices()[index].want()?.tasks.get(at)
    }

    pub(super) fn durable(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let (job, _, index, at) = self.task(key)?;
        job.slices()[index].record()?.tasks.get(at)
    }

    /// Changes what is wanted of a task, keeping the part's indexes; the next
    /// transaction makes it durable.
    pub(super) fn set_task(&mut self, key: &TaskKey, to: TaskRecord) {
        let Some((_, part, index, at)) = self.task(key) else { return };
        let Some(job) = self.view.jobs.get_mut(&key.0) else { return };
        let Some(mine) = self.mine.get_mut(&part) else { return };
        let Some(from) = job.set_task(index, at, to.clone()) else { return };
        if let TaskRecord::On(_, machine) = &from {
            if let Some(set) = mine.on.get_mut(machine) {
                set.remove(key);
                if set.is_empty() {
                    mine.on.remove(machine);
                }
            }
            mine.count(&job.record, -1.0);
            mine.stopping.remove(key);
            mine.running_since.remove(key);
            if let Some(m) = mine.machines.get_mut(machine) {
                m.sent.remove(key);
            }
        }
        if let TaskRecord::On(_, machine) = &to {
            mine.on.entry(machine.clone()).or_default().insert(key.clone());
            mine.count(&job.record, 1.0);
        }
        mine.dirty.entry((key.0.clone(), index)).or_insert(self.now);
    }
}
