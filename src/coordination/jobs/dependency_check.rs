//! Validation of submissions with dependencies: each dependency must be a known job that can end.
//!
//! Dependencies are looked up one at a time, in the cache or in the store. Then `submission` stores the
//! record. If the job has to wait, its plan has no slices, so that controllers of any version start
//! none of its tasks. If all dependencies are done, the record is that of an independent job.

use crate::coordination::jobs::dependency_graph::DependencyState;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, InfeasibleJob, Refusal};
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::protocol::users::{JobKind, JobSpec};
use crate::storage::cache::StateCache;
use crate::storage::records::{archived_job_key, job_key, Dependencies, JobOutcome, JobRecord, SlicePlan};
use crate::units::{JobId, RequestId};

/// A submission whose dependencies are being looked up.
#[derive(Debug)]
pub(crate) struct DependencyCheck {
    request: RequestId,
    spec: Box<JobSpec>,
    /// Dependencies that have not ended.
    open: Vec<JobId>,
    /// Dependencies still to be looked up, the next one last.
    unchecked: Vec<JobId>,
    /// True if a dependency was cancelled, which cancels the job as well.
    cancelled: bool,
    /// True if the next dependency has no job record and is being looked up in the archive.
    in_archive: bool,
}

impl Core {
    /// Handles a submission with dependencies. Refuses it while the cluster does not support them.
    pub(crate) fn submit_with_dependencies(&mut self, request: RequestId, spec: Box<JobSpec>) {
        if !self.dependencies_enabled() {
            return self.refuse(request, Refusal::DependenciesNotEnabled);
        }
        let unchecked = spec.dependencies.clone();
        if unchecked.contains(&spec.id) {
            return self.refuse_unless_known(request, spec.id, InfeasibleJob::DependsOnItself.into());
        }
        let (open, cancelled, in_archive) = (vec![], false, false);
        self.check_dependencies(DependencyCheck { request, spec, open, unchecked, cancelled, in_archive });
    }

    /// Checks the remaining dependencies against the cache. Reads the first one that is not cached from
    /// the store, or writes the submission if none remain.
    fn check_dependencies(&mut self, mut check: DependencyCheck) {
        check.in_archive = false;
        while let Some(dependency) = check.unchecked.pop() {
            if self.is_service(&dependency) {
                let reason = InfeasibleJob::DependsOnService(dependency);
                return self.refuse_unless_known(check.request, check.spec.id, reason.into());
            }
            match dependency_state(&self.cache, &dependency) {
                DependencyState::Unknown => {
                    check.unchecked.push(dependency);
                    return self.read_dependency(check);
                }
                DependencyState::Ended(JobOutcome::Done) => {}
                DependencyState::Ended(JobOutcome::Cancelled) => check.cancelled = true,
                DependencyState::Open => check.open.push(dependency),
            }
        }
        let record = self.checked_job_record(&check);
        self.write_submission(check.request, check.spec, record);
    }

    fn is_service(&self, id: &JobId) -> bool {
        self.cache.jobs.get(id).is_some_and(|job| job.record.spec.kind == JobKind::Service)
    }

    /// Returns the initial record of a job after all its dependencies were looked up.
    fn checked_job_record(&self, check: &DependencyCheck) -> JobRecord {
        if !check.cancelled && check.open.is_empty() {
            return self.independent_job_record(&check.spec);
        }
        JobRecord {
            plan: Some(SlicePlan { tasks_per_slice: 1, shards: vec![] }),
            outcome: check.cancelled.then_some(JobOutcome::Cancelled),
            dependencies: Dependencies(if check.cancelled { vec![] } else { check.open.clone() }),
            ..JobRecord::new((*check.spec).clone(), self.time_of_day_ms)
        }
    }

    /// Reads the next dependency's job record or archive record from the store.
    fn read_dependency(&mut self, check: DependencyCheck) {
        let Some(id) = check.unchecked.last() else { return self.check_dependencies(check) };
        let key = if check.in_archive { archived_job_key(id) } else { job_key(id) };
        if self.try_charge_request(check.request) {
            self.call_store(StoreRequest::Get { key }, PendingRequest::DependencyCheck(check));
        }
    }

    /// Handles the response to a dependency read and continues the check. A dependency without a job
    /// record is then read from the archive.
    pub(crate) fn handle_dependency_read(&mut self, mut check: DependencyCheck, answer: StoreResponse) {
        let Some(id) = check.unchecked.last().cloned() else { return self.check_dependencies(check) };
        match answer {
            StoreResponse::Missing(_) if !check.in_archive => {
                check.in_archive = true;
                self.read_dependency(check);
            }
            StoreResponse::Missing(_) => {
                let reason = InfeasibleJob::DependencyNotFound(id);
                self.refuse_unless_known(check.request, check.spec.id, reason.into());
            }
            StoreResponse::Found(_) => {
                if self.cache_job_or_archived(&id, check.in_archive, answer) {
                    self.check_dependencies(check);
                } else {
                    self.refuse(check.request, Refusal::DependencyUnreadable);
                }
            }
            _ => self.refuse(check.request, Refusal::StoreUnavailable),
        }
    }
}

/// Returns the state of a dependency according to the cache.
pub(crate) fn dependency_state(cache: &StateCache, id: &JobId) -> DependencyState {
    match cache.final_state(id) {
        Some(end) => DependencyState::Ended(end),
        None if cache.jobs.contains_key(id) => DependencyState::Open,
        None => DependencyState::Unknown,
    }
}
