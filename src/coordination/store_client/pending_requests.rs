//! Requests in flight to the store and the cloud: what each answer is for, and
//! which concern takes it.
//!
//! Every part of the core sends through [`Core::call_store`] and
//! [`Core::call_cloud`]. Answers to requests that are not in flight are ignored.

use crate::coordination::fleet::scale_out::PendingRental;
use crate::coordination::jobs::dependency_check::DependencyCheck;
use crate::coordination::jobs::status_query::StatusQuery;
use crate::coordination::jobs::validation::HeldRefusal;
use crate::coordination::{CloudCall, Core, JobResponseStatus, Output};
use crate::protocol::cloud::ListedMachine;
use crate::protocol::state::{Change, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::JobSpec;
use crate::units::{CallId, JobId, LeaseId, MachineId, MonotonicTime, RequestId, Revision, ShardId};
use std::collections::BTreeSet;

/// What a request was sent for, with what its answer needs.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// A page of all records.
    Load(LoadProgress),
    /// Changes since the cache's revision.
    Watch,
    /// Whether another controller renews worker leases of the shard.
    ExpiryCheck(ShardId),
    /// A lease for this node.
    GrantLease,
    /// The renewal of this node's lease.
    RenewLease(LeaseId),
    /// A transaction on single records; the watch or a read after a conflict
    /// shows its outcome.
    Transaction(Transaction),
    /// A quota transfer sent once more: the first one got no answer.
    QuotaTransferRetry(Transaction),
    /// Changes of a shard's slices.
    ShardTransaction { shard: ShardId, transaction: Transaction },
    /// A record that a conflict named.
    Reread {
        /// The record's key.
        key: String,
        /// The shard whose transaction waits for it.
        shard: Option<ShardId>,
    },
    /// The record of a new job, which a user waits for.
    SubmitWrite { request: RequestId, transaction: Transaction, spec: Box<JobSpec> },
    /// The record of a job that was submitted before, perhaps; `status` is what its submission is
    /// answered with if it is there.
    SubmitRead { request: RequestId, job: JobId, status: JobResponseStatus },
    /// The newest revision; these status queries wait for the cache to reach it.
    RevisionProbe(Vec<StatusQuery>),
    /// Whether a job that has no record ended long ago; `known` if it was accepted once.
    ArchiveLookUp { request: RequestId, job: JobId, known: bool },
    /// The record of a job whose submission is invalid: it may be known all the same.
    RefusalLookUp(HeldRefusal),
    /// A job that a submission depends on; one is read after the other.
    DependencyCheck(DependencyCheck),
    /// The archived record of a job that waiting ones depend on.
    DependencyLookUp(JobId),
    /// The record of a job that is to be cancelled, with the attempts that are left.
    CancelRead { request: RequestId, job: JobId, tries: u32 },
    /// The end of a job that is cancelled, with the attempts that are left.
    CancelWrite { request: RequestId, job: JobId, transaction: Transaction, tries: u32 },
    /// The record that names a rental request before it is made.
    RentalRecord { rental: PendingRental, transaction: Transaction },
    /// A rental request to the cloud.
    Rent(PendingRental),
    /// Machines that are returned to the cloud.
    Return(Vec<MachineId>),
    /// A page of the machines that the cloud lists.
    List {
        /// Machines on the pages so far.
        seen: Vec<ListedMachine>,
    },
    /// The cloud's machine types.
    Catalog,
}

/// How far a read of all records, page by page, has come.
#[derive(Debug)]
pub(crate) struct LoadProgress {
    /// Keys in the pages so far.
    pub(super) keys: BTreeSet<String>,
    /// The first page's revision, once it has come.
    pub(super) revision: Option<Revision>,
    /// When the first page was asked for.
    pub(super) started_at: MonotonicTime,
}

/// A request in flight.
#[derive(Debug)]
pub(crate) struct SentRequest {
    /// What its answer is for.
    pub(crate) pending: PendingRequest,
    /// When it was sent.
    pub(crate) sent_at: MonotonicTime,
}

/// The key that a change puts or deletes.
pub(crate) fn change_key(change: &Change) -> &str {
    match change {
        Change::Put { key, .. } => key,
        Change::Delete { key } => key,
    }
}

impl Core {
    /// Sends a request to the store; `what` says what its answer is for.
    pub(crate) fn call_store(&mut self, call: StoreRequest, pending: PendingRequest) -> CallId {
        let id = self.store.register(pending, self.now);
        self.outputs.push(Output::Store(id, call));
        id
    }

    /// Sends a request to the cloud; `what` says what its answer is for.
    pub(crate) fn call_cloud(&mut self, call: CloudCall, pending: PendingRequest) {
        let id = self.store.register(pending, self.now);
        self.outputs.push(Output::Cloud(id, call));
    }

    /// Takes the store's answer to a request.
    pub(crate) fn handle_store_response(&mut self, id: CallId, response: StoreResponse) {
        let Some(SentRequest { pending, sent_at }) = self.store.take_request(id) else { return };
        if !matches!(response, StoreResponse::Unknown | StoreResponse::Unavailable) {
            self.store.last_response = Some(self.now);
        }
        if let StoreResponse::Invalid(reason) = &response {
            tracing::error!(request = ?pending, reason, "store rejected request as invalid");
        }
        self.route_response(pending, sent_at, response);
    }

    /// Hands an answer to the concern that sent the request at `sent`.
    fn route_response(&mut self, pending: PendingRequest, sent_at: MonotonicTime, response: StoreResponse) {
        match pending {
            PendingRequest::Load(progress) => self.handle_load_response(progress, response),
            PendingRequest::Watch => self.handle_watch_response(sent_at, response),
            PendingRequest::ExpiryCheck(shard) => self.expiry_check_answer(shard, response),
            PendingRequest::GrantLease => self.grant_answer(response),
            PendingRequest::RenewLease(lease) => self.renew_answer(lease, response),
            PendingRequest::Transaction(transaction) => self.handle_transaction_response(transaction, response),
            PendingRequest::QuotaTransferRetry(transaction) => {
                self.handle_quota_transfer_retry_response(transaction, response)
            }
            PendingRequest::ShardTransaction { shard, transaction } => {
                self.handle_shard_transaction_response(shard, transaction, response)
            }
            PendingRequest::Reread { key, shard } => self.handle_reread_response(key, shard, response),
            PendingRequest::SubmitWrite { request, transaction, spec } => {
                self.submit_written(request, transaction, spec, response)
            }
            PendingRequest::SubmitRead { request, job, status } => self.submit_read(request, job, status, response),
            PendingRequest::ArchiveLookUp { request, job, known } => {
                self.archived_answer(request, job, known, response)
            }
            PendingRequest::RefusalLookUp(held) => self.refused_job_read(held, response),
            PendingRequest::DependencyCheck(check) => self.dependency_read(check, response),
            PendingRequest::DependencyLookUp(job) => self.dependency_looked_up(job, response),
            PendingRequest::RevisionProbe(queries) => self.probe_answered(queries, response),
            PendingRequest::CancelRead { request, job, tries } => self.cancel_read(request, job, tries, response),
            PendingRequest::CancelWrite { request, job, transaction, tries } => {
                self.cancel_written(request, job, transaction, tries, response)
            }
            PendingRequest::RentalRecord { rental, transaction } => self.rental_recorded(rental, transaction, response),
            PendingRequest::Rent(_)
            | PendingRequest::Return(_)
            | PendingRequest::List { .. }
            | PendingRequest::Catalog => {}
        }
    }
}
