//! What a changed job means for the owned shards: its slices are taken up or released, and once all are durably done
//! the owner of its first slice writes the job's end. Called as records change in the cache, and in housekeeping.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::{Job, JobChange, Slice};
use crate::storage::records::{job_key, JobOutcome, JobRecord};
use crate::units::JobId;

impl Core {
    /// A job's record changed in the cache.
    pub(crate) fn job_changed(&mut self, id: &JobId, change: JobChange) {
        self.track_dependencies(id);
        if let Some(job) = self.cache.jobs.get(id).filter(|job| job.record.end.is_none()) {
            self.assign_soon |= job.record.plan.is_none();
            log_job(id, job);
            // Once a job: its record changes with each assignment of its slices.
            if change == JobChange::First && self.needs_quick_start(&job.class) {
                let spec = &job.record.spec;
                let (class, cpus) = (spec.class.clone(), spec.cpus * f64::from(spec.task_count));
                self.estimates.record_quick_start_job(&class, cpus);
            }
        }
        if change == JobChange::Ended {
            self.log_ended_job(id);
        }
        self.release_moved_slices(id);
        self.adopt_slices(id, None);
        self.check_finished(id);
    }

    fn log_ended_job(&self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        let (age_s, allowed_s) = (self.age_s(job), self.allowed_s(job));
        tracing::info!(job = %id, class = %job.record.spec.class, age_s, allowed_s, "job ended");
    }

    /// A slice's record of a job changed in the cache.
    pub(crate) fn slice_changed(&mut self, id: &JobId) {
        self.check_finished(id);
    }

    /// Enters a job all of whose slices are durably done to be ended, if its first slice belongs to an owned shard.
    pub(crate) fn check_finished(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        if job.record.end.is_some() || job.slices().is_empty() {
            return;
        }
        let is_ours = job.shard_of(0).is_some_and(|shard| self.owned_shards.contains_key(&shard));
        if is_ours && job.slices().iter().all(Slice::is_done) {
            self.finish.insert(id.clone());
        }
    }

    /// Writes the end of finished jobs, and again until the cache shows it.
    pub(crate) fn finish_jobs(&mut self) {
        for id in std::mem::take(&mut self.finish) {
            let Some(job) = self.cache.jobs.get(&id) else { continue };
            let key = job_key(&id);
            if job.record.end.is_some() {
                continue;
            }
            if !self.store.is_key_busy(&key) && self.store.may_send(self.now) {
                let record = JobRecord { end: Some(JobOutcome::Done), ..job.record.clone() };
                let Ok(value) = serde_json::to_value(record) else { continue };
                let conditions = vec![Condition { key: key.clone(), version: job.version }];
                self.submit_transaction(Transaction { conditions, changes: vec![Change::put(key, value)] });
            }
            self.finish.insert(id);
        }
    }
}

fn log_job(id: &JobId, job: &Job) {
    let spec = &job.record.spec;
    tracing::debug!(
        job = %id,
        tasks = spec.task_count,
        cpus = spec.cpus,
        estimated_run_s = spec.estimated_run_s,
        plan = ?job.record.plan,
        "job changed"
    );
}
