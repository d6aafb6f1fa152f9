//! Job cancellation by users.
//!
//! Reads the job's record and writes the `Cancelled` outcome on condition that the record is
//! unchanged, retrying after conflicting changes. The shard owners stop the tasks once they see the
//! changed record.

use crate::coordination::jobs::put_job_record;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, JobResponseStatus, Refusal};
use crate::protocol::state::{Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::{job_key, JobOutcome, JobRecord};
use crate::units::{JobId, RequestId, Revision};

/// Maximum attempts to write a cancellation when concurrent changes of the job conflict with it.
const MAX_CANCEL_ATTEMPTS: u32 = 4;

impl Core {
    /// Handles a user's request to cancel a job. A job that has ended is answered at once.
    pub(crate) fn cancel(&mut self, request: RequestId, job: JobId) {
        if self.final_state(&job).is_some() {
            return self.answer_known_job(request, &job);
        }
        if self.try_charge_request(request) {
            let call = StoreRequest::Get { key: job_key(&job) };
            self.call_store(call, PendingRequest::CancelRead { request, job, tries: MAX_CANCEL_ATTEMPTS });
        }
    }

    /// Handles the response to the read of a job's record: writes the cancellation unless the job has
    /// ended.
    pub(crate) fn handle_cancel_read(&mut self, request: RequestId, job: JobId, tries: u32, answer: StoreResponse) {
        if matches!(answer, StoreResponse::Missing(_)) && !self.cache.jobs.contains_key(&job) {
            return self.look_up_archived(request, job, false);
        }
        let version = match &answer {
            StoreResponse::Found(item) => item.version,
            _ => Revision(0),
        };
        let Some((id, record)) = self.cache_job_record(answer) else {
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
        self.call_store(
            StoreRequest::Transaction(transaction.clone()),
            PendingRequest::CancelWrite { request, job, transaction, tries: tries - 1 },
        );
    }

    /// Handles the response to the cancellation write: answers if it was committed, and reads the
    /// record again after a conflict or an unknown outcome.
    pub(crate) fn handle_cancel_write(
        &mut self,
        request: RequestId,
        job: JobId,
        transaction: Transaction,
        tries: u32,
        answer: StoreResponse,
    ) {
        match answer {
            StoreResponse::Committed(revision) => {
                self.apply_committed(&transaction, revision);
                self.send_revision_hint(revision);
                self.answer_known_job(request, &job);
            }
            StoreResponse::Conflict(_) | StoreResponse::Unknown => {
                self.store.charge_request(self.now);
                self.call_store(
                    StoreRequest::Get { key: job_key(&job) },
                    PendingRequest::CancelRead { request, job, tries },
                );
            }
            _ => self.refuse(request, Refusal::StoreUnavailable),
        }
    }
}
