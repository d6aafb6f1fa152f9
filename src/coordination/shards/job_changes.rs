//! Applies changed jobs to the owned shards: adopts their slices or releases them. Called when records change in the
//! cache. Jobs whose slices are all done are passed on to `jobs::completion`.

use crate::coordination::Core;
use crate::storage::cache::{Job, JobChange};
use crate::units::JobId;

impl Core {
    /// Handles a change of a job's record in the cache.
    pub(crate) fn job_changed(&mut self, id: &JobId, change: JobChange) {
        self.track_dependencies(id);
        if let Some(job) = self.cache.jobs.get(id).filter(|job| job.record.outcome.is_none()) {
            self.assignment_requested |= job.record.plan.is_none();
            log_job(id, job);
            // Count each job once: its record changes again with each assignment of its slices.
            if change == JobChange::FirstSeen && self.needs_quick_start(&job.class) {
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
        self.check_job_completion(id);
    }

    fn log_ended_job(&self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        let (age_s, allowed_s) = (self.age_s(job), self.allowed_s(job));
        tracing::info!(job = %id, class = %job.record.spec.class, age_s, allowed_s, "job ended");
    }

    /// Handles a change of one of the job's slice records in the cache.
    pub(crate) fn slice_changed(&mut self, id: &JobId) {
        self.check_job_completion(id);
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
