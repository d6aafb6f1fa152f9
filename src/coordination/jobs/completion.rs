//! Records the completion of jobs whose tasks are all done.
//!
//! `shards` reports changed jobs and slices, and housekeeping writes the outcomes. Only the owner of a
//! job's first slice records the completion, and only after all slices are durably done.

use crate::coordination::jobs::put_job_record;
use crate::coordination::Core;
use crate::protocol::state::{Condition, Transaction};
use crate::storage::cache::Slice;
use crate::storage::records::{job_key, JobOutcome, JobRecord};
use crate::units::JobId;
use std::collections::BTreeSet;

/// Completed jobs whose `Done` outcome is not in the cached record yet.
#[derive(Debug, Default)]
pub(crate) struct CompletedJobs {
    unrecorded: BTreeSet<JobId>,
}

impl CompletedJobs {
    fn add(&mut self, id: &JobId) {
        self.unrecorded.insert(id.clone());
    }

    fn remove(&mut self, id: &JobId) {
        self.unrecorded.remove(id);
    }

    fn ids(&self) -> Vec<JobId> {
        self.unrecorded.iter().cloned().collect()
    }
}

impl Core {
    /// Marks a job as completed if all its slices are durably done and this node owns the first one.
    pub(crate) fn check_job_completion(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        if job.record.outcome.is_some() || job.slices().is_empty() {
            return;
        }
        let owned = job.shard_of(0).is_some_and(|shard| self.owned_shards.contains_key(&shard));
        if owned && job.slices().iter().all(Slice::is_done) {
            self.completed_jobs.add(id);
        }
    }

    /// Writes the outcomes of completed jobs, retrying on each call until the cache shows them.
    pub(crate) fn write_job_completions(&mut self) {
        for id in self.completed_jobs.ids() {
            let Some(job) = self.cache.jobs.get(&id).filter(|job| job.record.outcome.is_none()) else {
                self.completed_jobs.remove(&id);
                continue;
            };
            if self.store.is_key_busy(&job_key(&id)) || !self.store.may_send(self.now) {
                continue;
            }
            let record = JobRecord { outcome: Some(JobOutcome::Done), ..job.record.clone() };
            let condition = Condition { key: job_key(&id), version: job.version };
            match put_job_record(&id, &record) {
                Some(change) => {
                    self.submit_transaction(Transaction { conditions: vec![condition], changes: vec![change] });
                }
                None => self.completed_jobs.remove(&id),
            }
        }
    }
}
