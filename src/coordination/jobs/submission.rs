//! Job submission, and the dispatch of users' requests to the modules that serve them.
//!
//! Submission is idempotent: it stores a record on condition that the job has none, and a repeated
//! submission is answered with the state of the job. A job is accepted only once its record is
//! durable. The core calls this module for users' requests and for the store's answers to them.

use crate::coordination::jobs::put_job_record;
use crate::coordination::membership::startup::Milestone;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{ClientRequest, Core, InfeasibleJob, JobResponseStatus, Refusal};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::JobSpec;
use crate::storage::records::{archived_job_key, job_key, JobRecord};
use crate::units::{JobId, RequestId, Revision};

/// Upper estimate of the growth of a job's record when the job becomes ready and ends, in bytes.
const MAX_RECORD_GROWTH_BYTES: usize = 64;

/// Maximum overdraft of the request budget for accepting submissions, in seconds' worth of requests.
const MAX_CREDIT_S: f64 = 0.5;

impl Core {
    /// Dispatches a user's request to the module that serves it.
    pub(crate) fn handle_client_request(&mut self, request: RequestId, client_request: ClientRequest) {
        match client_request {
            ClientRequest::Health => self.check_health(request),
            ClientRequest::Submit(spec) => self.submit(request, spec),
            ClientRequest::Malformed { id, reason } => {
                self.refuse_unless_known(request, id, Refusal::Malformed(reason))
            }
            ClientRequest::Query(job) => self.handle_status_query(request, job),
            ClientRequest::Cancel(job) => self.cancel(request, job),
        }
    }

    fn submit(&mut self, request: RequestId, spec: Box<JobSpec>) {
        if self.answer_if_known(request, &spec.id) {
            return;
        }
        if !self.store.is_loaded() || self.catalog.is_empty() {
            return self.refuse(request, Refusal::Starting);
        }
        if let Err(reason) = self.check_feasible(&spec) {
            return self.refuse_unless_known(request, spec.id, reason.into());
        }
        // Submissions take precedence over other requests to the store.
        if !self.store.may_send(self.now) || self.store.request_budget_below(self.now, -MAX_CREDIT_S) {
            return self.refuse(request, Refusal::Busy);
        }
        if !spec.dependencies.is_empty() {
            return self.submit_with_dependencies(request, spec);
        }
        let record = self.independent_job_record(&spec);
        self.write_submission(request, spec, record);
    }

    /// Answers a submission of a job that is in the cache. Returns false if the cache has no job with
    /// this id.
    pub(crate) fn answer_if_known(&mut self, request: RequestId, job: &JobId) -> bool {
        if self.final_state(job).is_some() {
            self.answer_known_job(request, job);
            return true;
        }
        if self.cache.jobs.contains_key(job) {
            self.enqueue_status_query(request, job.clone());
            return true;
        }
        false
    }

    /// Returns the initial record of a job that may start at once.
    pub(crate) fn independent_job_record(&self, spec: &JobSpec) -> JobRecord {
        JobRecord { plan: self.initial_plan(spec), ..JobRecord::new(spec.clone(), self.time_of_day_ms) }
    }

    /// Stores the initial record of a job. Refuses the submission if the record could outgrow a value of
    /// the store.
    pub(crate) fn write_submission(&mut self, request: RequestId, spec: Box<JobSpec>, record: JobRecord) {
        let Some(change) = put_job_record(&spec.id, &record) else {
            return self.refuse(request, Refusal::NotSerializable);
        };
        if !self.fits(self.max_record_bytes(&change, &record)) {
            return self.refuse_unless_known(request, spec.id, InfeasibleJob::RecordTooLarge.into());
        }
        self.store.charge_transaction(self.now, 1);
        let transaction = Transaction {
            // A submission may be repeated after the job has ended and was archived.
            conditions: vec![
                Condition { key: job_key(&spec.id), version: Revision(0) },
                Condition { key: archived_job_key(&spec.id), version: Revision(0) },
            ],
            changes: vec![change],
        };
        self.call_store(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::SubmitWrite { request, transaction, spec },
        );
    }

    /// Returns an upper estimate of the size of a job's record including its plan and outcome, in bytes.
    fn max_record_bytes(&self, initial: &Change, record: &JobRecord) -> usize {
        let initial_bytes = match initial {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        };
        let plan_bytes = if record.plan.is_none() { self.plan_bytes(record.spec.task_count) } else { 0 };
        initial_bytes + plan_bytes + MAX_RECORD_GROWTH_BYTES
    }

    /// Handles the response to the write of a submission: answers it, or reads the record if the write
    /// conflicted or its outcome is unknown.
    pub(crate) fn handle_submit_write(
        &mut self,
        request: RequestId,
        transaction: Transaction,
        spec: Box<JobSpec>,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Committed(revision) => {
                self.apply_committed(&transaction, revision);
                self.send_revision_hint(revision);
                self.milestone_reached(Milestone::SubmissionAccepted);
                self.answer_job(request, JobResponseStatus::Accepted, &spec.id, None);
            }
            // Another submission of the job was committed first, or may have been: its user may know already that
            // the job was accepted.
            StoreResponse::Conflict(_) | StoreResponse::Unknown => self.read_submitted(request, spec.id),
            StoreResponse::Invalid(_) => self.refuse(request, Refusal::RejectedByStore),
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    fn read_submitted(&mut self, request: RequestId, job: JobId) {
        self.store.charge_request(self.now);
        let call = StoreRequest::Get { key: job_key(&job) };
        self.call_store(call, PendingRequest::SubmitRead { request, job });
    }

    /// Handles the response to the read of a submitted job's record and answers that the job is known.
    /// A job without a record is looked up in the archive.
    pub(crate) fn handle_submit_read(&mut self, request: RequestId, job: JobId, answer: StoreResponse) {
        if matches!(answer, StoreResponse::Missing(_)) {
            return self.look_up_archived(request, job, true);
        }
        match self.cache_job_record(answer) {
            Some((id, record)) => self.answer_job(request, JobResponseStatus::Known, &id, Some(&record)),
            None => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    /// Caches a job's record that was read from the store. Returns `None` if the answer contains no
    /// readable record.
    pub(crate) fn cache_job_record(&mut self, answer: StoreResponse) -> Option<(JobId, JobRecord)> {
        let StoreResponse::Found(item) = answer else { return None };
        let record: JobRecord = match serde_json::from_value(item.value.clone()) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(key = %item.key, %error, "failed to read job record");
                return None;
            }
        };
        let changed = self.cache.apply(&item.key, Some(item.value), item.version);
        self.handle_cache_change(changed);
        Some((record.spec.id.clone(), record))
    }
}
