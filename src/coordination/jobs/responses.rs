//! Answers to users' requests about a job, from the cache.
//!
//! Used by all modules of `jobs`. An answer given once must stay true: nothing here answers before
//! it is certain whether the job is cancelled through its dependencies.

use crate::coordination::{Core, JobProgress, JobResponseStatus, Refusal, Response};
use crate::protocol::users::JobState;
use crate::storage::records::{JobOutcome, JobRecord};
use crate::units::{JobId, RequestId};

impl Core {
    /// Answers with the state of a job that was accepted before.
    pub(crate) fn answer_known_job(&mut self, request: RequestId, id: &JobId) {
        self.answer_job(request, JobResponseStatus::Known, id, None);
    }

    /// Answers with the state of a job: that of the record, if one was just read, or of the cache.
    pub(crate) fn answer_job(
        &mut self,
        request: RequestId,
        status: JobResponseStatus,
        id: &JobId,
        record: Option<&JobRecord>,
    ) {
        // A wrong answer could not be taken back, so the dependencies must be known.
        if self.dependency_graph.is_unresolved(id) {
            return self.refuse(request, Refusal::DependencyUnresolved);
        }
        let outcome = record.and_then(|record| record.outcome).or_else(|| self.final_state(id));
        let (done, running) = self.cache.jobs.get(id).map_or((0, 0), |job| job.done_and_placed());
        let (state, progress) = match outcome {
            Some(JobOutcome::Done) => {
                let all_done = |tasks| JobProgress { done: tasks, running: 0 };
                (JobState::Done, self.task_count(id, record).map(all_done))
            }
            Some(JobOutcome::Cancelled) => (JobState::Cancelled, Some(JobProgress { done, running: 0 })),
            None if running > 0 => (JobState::Running, Some(JobProgress { done, running })),
            None => (JobState::Queued, Some(JobProgress { done, running })),
        };
        self.response(request, Response::Job { status, id: id.clone(), state, progress });
    }

    /// Answers from a cache that is as new as the request. A job without a record may be archived.
    pub(crate) fn answer_from_cache(&mut self, request: RequestId, job: &JobId) {
        if self.cache.jobs.contains_key(job) {
            self.answer_known_job(request, job);
        } else {
            self.look_up_archived(request, job.clone(), false);
        }
    }

    /// How a job ended, if it did: by its own record, or because a dependency was cancelled.
    pub(crate) fn final_state(&self, id: &JobId) -> Option<JobOutcome> {
        let recorded = self.cache.final_state(id);
        recorded.or_else(|| self.dependency_graph.is_cancelled(id).then_some(JobOutcome::Cancelled))
    }

    /// Charges what a user's request needs to this node's share of requests to the store. False, with
    /// the request refused, if the share does not allow it now.
    pub(crate) fn try_charge_request(&mut self, request: RequestId) -> bool {
        if self.store.may_send(self.now) && self.store.try_charge_reads(self.now, 1.0) {
            return true;
        }
        self.refuse(request, Refusal::Busy);
        false
    }

    fn task_count(&self, id: &JobId, record: Option<&JobRecord>) -> Option<u32> {
        let recorded = record.or(self.cache.jobs.get(id).map(|job| &job.record));
        recorded.map(|record| record.spec.task_count).or(self.cache.archived(id).map(|archived| archived.tasks))
    }
}
