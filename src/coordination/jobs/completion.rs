//! Writes the end of jobs all of whose tasks are done.
//!
//! `shards` reports changed jobs and slices here; housekeeping writes. Only the owner of a job's
//! first slice does so, and only once all slices are durably done.

use crate::coordination::jobs::put_job_record;
use crate::coordination::Core;
use crate::protocol::state::{Condition, Transaction};
use crate::storage::cache::Slice;
use crate::storage::records::{job_key, JobOutcome, JobRecord};
use crate::units::JobId;
use std::collections::BTreeSet;

/// Jobs that are done and whose records don't say so yet.
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
    /// Notes a job as completed if all its slices are durably done and this node owns the first.
    pub(crate) fn check_finished(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        if job.record.outcome.is_some() || job.slices().is_empty() {
            return;
        }
        let owned = job.shard_of(0).is_some_and(|shard| self.owned_shards.contains_key(&shard));
        if owned && job.slices().iter().all(Slice::is_done) {
            self.completed_jobs.add(id);
        }
    }

    /// Writes the ends of completed jobs, again each time until the cache shows them.
    pub(crate) fn finish_jobs(&mut self) {
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
