//! Acceptance of jobs, and the way of users' requests to the modules that serve them.
//!
//! A submission is idempotent: it stores a record under the condition that none of the job exists,
//! and a repeated one gets the state of the job. A job counts as accepted only once its record is
//! durable. Called by the core for users' requests and for the answers of the store to them.

use crate::coordination::jobs::put_job_record;
use crate::coordination::membership::startup::Milestone;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{ClientRequest, Core, InfeasibleJob, JobResponseStatus, Refusal};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::JobSpec;
use crate::storage::records::{archived_job_key, job_key, JobRecord};
use crate::units::{JobId, RequestId, Revision};

/// Upper estimate of what a job's record grows by when the job becomes ready and ends, in bytes.
const END_BYTES: usize = 64;

/// Submissions are accepted on credit, until this share of a second's requests is owed.
const CREDIT_S: f64 = 0.5;

impl Core {
    /// Serves a user's request.
    pub(crate) fn handle_client_request(&mut self, request: RequestId, client_request: ClientRequest) {
        match client_request {
            ClientRequest::Health => self.check_health(request),
            ClientRequest::Submit(spec) => self.submit(request, spec),
            ClientRequest::Malformed { id, reason } => {
                self.refuse_unless_known(request, id, Refusal::Malformed(reason))
            }
            ClientRequest::Query(job) => self.query(request, job),
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
        // Acceptance goes before other requests to the store.
        if !self.store.may_send(self.now) || self.store.request_budget_below(self.now, -CREDIT_S) {
            return self.refuse(request, Refusal::Busy);
        }
        if !spec.dependencies.is_empty() {
            return self.submit_with_dependencies(request, spec);
        }
        let record = self.independent_job_record(&spec);
        self.write_submission(request, spec, record);
    }

    /// Answers a submission of a job that the cache shows; false if it shows none of this id.
    pub(crate) fn answer_if_known(&mut self, request: RequestId, job: &JobId) -> bool {
        if self.final_state(job).is_some() {
            self.answer_known_job(request, job);
            return true;
        }
        if self.cache.jobs.contains_key(job) {
            self.query_status(request, job.clone());
            return true;
        }
        false
    }

    /// The first record of a job that may start at once.
    pub(crate) fn independent_job_record(&self, spec: &JobSpec) -> JobRecord {
        JobRecord { plan: self.first_plan(spec), ..JobRecord::new(spec.clone(), self.time_of_day_ms) }
    }

    /// Stores the first record of a job.
    pub(crate) fn write_submission(&mut self, request: RequestId, spec: Box<JobSpec>, record: JobRecord) {
        let Some(change) = put_job_record(&spec.id, &record) else {
            return self.refuse(request, Refusal::NotSerializable);
        };
        if !self.fits(self.largest_size(&change, &record)) {
            return self.refuse_unless_known(request, spec.id, InfeasibleJob::RecordTooLarge.into());
        }
        self.store.charge_transaction(self.now, 1);
        let transaction = Transaction {
            // A repeated submission may come when the job is long over and archived.
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

    /// What a job's record may grow to once it has its plan and its end, in bytes.
    fn largest_size(&self, first: &Change, record: &JobRecord) -> usize {
        let now = match first {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        };
        let plan = if record.plan.is_none() { self.plan_bytes(record.spec.task_count) } else { 0 };
        now + plan + END_BYTES
    }

    /// Answers a submission whose record was to be stored, or reads what became of it.
    pub(crate) fn submit_written(
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
            // Another submission came before.
            StoreResponse::Conflict(_) => self.read_submitted(request, spec.id, JobResponseStatus::Known),
            // If the record is there, it is taken to be ours.
            StoreResponse::Unknown => self.read_submitted(request, spec.id, JobResponseStatus::Accepted),
            StoreResponse::Invalid(_) => self.refuse(request, Refusal::RejectedByStore),
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    fn read_submitted(&mut self, request: RequestId, job: JobId, status: JobResponseStatus) {
        self.store.charge_request(self.now);
        let call = StoreRequest::Get { key: job_key(&job) };
        self.call_store(call, PendingRequest::SubmitRead { request, job, status });
    }

    /// Answers a submission from the record that was read, with this status.
    pub(crate) fn submit_read(
        &mut self,
        request: RequestId,
        job: JobId,
        status: JobResponseStatus,
        answer: StoreResponse,
    ) {
        if matches!(answer, StoreResponse::Missing(_)) {
            return self.look_up_archived(request, job, true);
        }
        match self.take_job(answer) {
            Some((id, record)) => self.answer_job(request, status, &id, Some(&record)),
            None => self.refuse(request, Refusal::StoreUnavailable),
        }
    }

    /// Takes a job's record that was read into the cache. None if the answer holds no record.
    pub(crate) fn take_job(&mut self, answer: StoreResponse) -> Option<(JobId, JobRecord)> {
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
