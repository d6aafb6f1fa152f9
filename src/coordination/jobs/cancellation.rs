//! Cancellation of a job by its user.
//!
//! Reads the job's record and writes its end under the condition that the record is unchanged,
//! several times if other changes come between. Stopping the tasks follows from the record and is
//! done elsewhere.

use crate::coordination::jobs::put_job_record;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, JobResponseStatus, Refusal};
use crate::protocol::state::{Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::{job_key, JobOutcome, JobRecord};
use crate::units::{JobId, RequestId, Revision};

/// Attempts to write a cancellation while other changes of the job come between.
const CANCEL_TRIES: u32 = 4;

impl Core {
    /// Cancels a job for its user.
    pub(crate) fn cancel(&mut self, request: RequestId, job: JobId) {
        if self.final_state(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        if self.try_charge_request(request) {
            let call = StoreRequest::Get { key: job_key(&job) };
            self.call_state(call, PendingRequest::CancelRead { request, job, tries: CANCEL_TRIES });
        }
    }

    /// Writes the cancellation of a job whose record was read, unless it has ended.
    pub(crate) fn cancel_read(&mut self, request: RequestId, job: JobId, tries: u32, answer: StoreResponse) {
        if matches!(answer, StoreResponse::Missing(_)) && !self.cache.jobs.contains_key(&job) {
            return self.look_up_archived(request, job, false);
        }
        let version = match &answer {
            StoreResponse::Found(item) => item.version,
            _ => Revision(0),
        };
        let Some((id, record)) = self.take_job(answer) else {
            return self.refuse(request, Refusal::StoreUnavailable);
        };
        if self.final_state(&id).is_some() {
            return self.answer_known_job(request, &id);
        }
        if record.outcome.is_some() {
            return self.answer_job(request, JobResponseStatus::Known, &id, Some(&record));
        }
        if tries == 0 {
            return self.refuse(request, Refusal::JobChanging);
        }
        let record = JobRecord { outcome: Some(JobOutcome::Cancelled), ..record };
        let Some(change) = put_job_record(&id, &record) else {
            return self.refuse(request, Refusal::NotSerializable);
        };
        let condition = Condition { key: job_key(&id), version };
        let transaction = Transaction { conditions: vec![condition], changes: vec![change] };
        self.store.charge_transaction(self.now, 1);
        self.call_state(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::CancelWrite { request, job, transaction, tries: tries - 1 },
        );
    }

    /// Answers once the cancellation is durable, or reads the record again.
    pub(crate) fn cancel_written(
        &mut self,
        request: RequestId,
        job: JobId,
        transaction: Transaction,
        tries: u32,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Committed(revision) => {
                self.committed(&transaction, revision);
                self.send_revision_hint(revision);
                self.answer_known_job(request, &job);
            }
            StoreResponse::Conflict(_) | StoreResponse::Unknown => {
                self.store.charge_read(self.now);
                self.call_state(
                    StoreRequest::Get { key: job_key(&job) },
                    PendingRequest::CancelRead { request, job, tries },
                );
            }
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }
}
