//! Responses to users' requests about a job, built from the cache.
//!
//! Used by all modules of `jobs`. A reported state must never be contradicted later, so a job is
//! reported only when it is certain whether a cancelled dependency cancels it too.

use crate::coordination::{Core, JobProgress, JobResponseStatus, Refusal, Response};
use crate::protocol::users::JobState;
use crate::storage::records::{JobOutcome, JobRecord};
use crate::units::{JobId, RequestId};

impl Core {
    /// Answers with the state of a job that was accepted before.
    pub(crate) fn answer_known_job(&mut self, request: RequestId, id: &JobId) {
        self.answer_job(request, JobResponseStatus::Known, id, None);
    }

    /// Answers with the state of a job, taken from `record` if it was just read, or else from the
    /// cache. Refuses the request while a dependency of the job is still being looked up.
    pub(crate) fn answer_job(
        &mut self,
        request: RequestId,
        status: JobResponseStatus,
        id: &JobId,
        record: Option<&JobRecord>,
    ) {
        // A wrong answer cannot be retracted, so the state of all dependencies must be known.
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
        self.respond(request, Response::Job { status, id: id.clone(), state, progress });
    }

    /// Answers from a cache that is at least as recent as the request. Looks up a job without a record
    /// in the archive.
    pub(crate) fn answer_from_cache(&mut self, request: RequestId, job: &JobId) {
        if self.cache.jobs.contains_key(job) {
            self.answer_known_job(request, job);
        } else {
            self.look_up_archived(request, job.clone(), false);
        }
    }

    /// Returns the outcome of a job that has ended, according to its record or because a dependency was
    /// cancelled.
    pub(crate) fn final_state(&self, id: &JobId) -> Option<JobOutcome> {
        let recorded = self.cache.final_state(id);
        recorded.or_else(|| self.dependency_graph.is_cancelled(id).then_some(JobOutcome::Cancelled))
    }

    /// Charges one read for a user's request to this node's share of the store's rate limit. If the
    /// share is exhausted, refuses the request and returns false.
    pub(crate) fn try_charge_request(&mut self, request: RequestId) -> bool {
        if self.store.may_send(self.now) && self.store.try_charge_requests(self.now, 1.0) {
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
