//! Requests in flight to the store and the cloud, and the dispatch of the
//! store's responses to the modules that sent the requests.
//!
//! All modules of the core send through [`Core::call_store`] and
//! [`Core::call_cloud`]. Responses to requests that are not in flight are ignored.

use crate::coordination::fleet::scale_out::PendingRental;
use crate::coordination::jobs::dependency_check::DependencyCheck;
use crate::coordination::jobs::status_query::StatusQuery;
use crate::coordination::jobs::validation::HeldRefusal;
use crate::coordination::{CloudCall, Core, Output};
use crate::protocol::cloud::ListedMachine;
use crate::protocol::state::{Change, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::JobSpec;
use crate::units::{CallId, JobId, LeaseId, MachineId, MonotonicTime, RequestId, Revision, ShardId};
use std::collections::BTreeSet;

/// Purpose of a request in flight, with the context that is needed to handle its response.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// Reads one page of all records.
    Load(LoadProgress),
    /// Watches for changes after the cache's revision.
    Watch,
    /// Checks whether another controller renews worker leases of the shard.
    ExpiryCheck(ShardId),
    /// Requests a lease for this node.
    GrantLease,
    /// Renews this node's lease.
    RenewLease(LeaseId),
    /// Changes single records. If the response does not show the outcome, the watch
    /// or a read after a conflict does.
    Transaction(Transaction),
    /// Retries a quota transfer whose outcome is unknown.
    QuotaTransferRetry(Transaction),
    /// Writes changes of a shard's slices.
    ShardTransaction { shard: ShardId, transaction: Transaction },
    /// Reads a record again after a conflict.
    Reread {
        /// Key of the record to read.
        key: String,
        /// Shard whose transaction failed on this key; `None` for other transactions.
        shard: Option<ShardId>,
    },
    /// Writes the record of a submitted job before the user gets a response.
    SubmitWrite { request: RequestId, transaction: Transaction, spec: Box<JobSpec> },
    /// Reads the record of a job that may have been submitted before, by this request or by another.
    SubmitRead { request: RequestId, job: JobId },
    /// Asks for the store's newest revision. These status queries wait until the cache reaches it.
    RevisionProbe(Vec<StatusQuery>),
    /// Looks up a job without a record in the archive; `known` if the job has been accepted before.
    ArchiveLookUp { request: RequestId, job: JobId, known: bool },
    /// Looks up the job of an invalid submission, which an earlier valid one may have created.
    RefusalLookUp(HeldRefusal),
    /// Reads a job that a submission depends on. Dependencies are read one after another.
    DependencyCheck(DependencyCheck),
    /// Reads the archived record of a job that waiting jobs depend on.
    DependencyLookUp(JobId),
    /// Reads the record of a job to cancel; `tries` is the number of attempts left.
    CancelRead { request: RequestId, job: JobId, tries: u32 },
    /// Writes the cancellation of a job; `tries` is the number of attempts left.
    CancelWrite { request: RequestId, job: JobId, transaction: Transaction, tries: u32 },
    /// Records the id of a rental request before the request is sent to the cloud.
    RentalRecord { rental: PendingRental, transaction: Transaction },
    /// Rents machines from the cloud.
    Rent(PendingRental),
    /// Returns machines to the cloud.
    Return(Vec<MachineId>),
    /// Lists one page of the rented machines.
    List {
        /// Machines listed on the pages read so far.
        seen: Vec<ListedMachine>,
    },
    /// Reads the cloud's machine types.
    Catalog,
}

/// Progress of a paged read of all records.
#[derive(Debug)]
pub(crate) struct LoadProgress {
    /// Keys on the pages read so far.
    pub(super) keys: BTreeSet<String>,
    /// Revision of the first page; `None` before it arrives.
    pub(super) revision: Option<Revision>,
    /// When the first page was requested.
    pub(super) started_at: MonotonicTime,
}

/// A request in flight.
#[derive(Debug)]
pub(crate) struct SentRequest {
    /// Purpose and context of the request.
    pub(crate) pending: PendingRequest,
    /// When the request was sent.
    pub(crate) sent_at: MonotonicTime,
}

/// Returns the key that a change puts or deletes.
pub(crate) fn change_key(change: &Change) -> &str {
    match change {
        Change::Put { key, .. } => key,
        Change::Delete { key } => key,
    }
}

impl Core {
    /// Sends a request to the store and keeps `pending` until the response arrives.
    pub(crate) fn call_store(&mut self, call: StoreRequest, pending: PendingRequest) -> CallId {
        let id = self.store.register(pending, self.now);
        self.outputs.push(Output::Store(id, call));
        id
    }

    /// Sends a request to the cloud and keeps `pending` until the response arrives.
    pub(crate) fn call_cloud(&mut self, call: CloudCall, pending: PendingRequest) {
        let id = self.store.register(pending, self.now);
        self.outputs.push(Output::Cloud(id, call));
    }

    /// Handles the store's response to a request.
    pub(crate) fn handle_store_response(&mut self, id: CallId, response: StoreResponse) {
        let Some(SentRequest { pending, sent_at }) = self.store.take_request(id) else { return };
        if !matches!(response, StoreResponse::Unknown | StoreResponse::Unavailable) {
            self.store.last_response = Some(self.now);
        }
        if let StoreResponse::Invalid(reason) = &response {
            tracing::error!(request = ?pending, reason, "store rejected a request as invalid");
        }
        self.route_response(pending, sent_at, response);
    }

    /// Dispatches a response to the module that sent the request.
    fn route_response(&mut self, pending: PendingRequest, sent_at: MonotonicTime, response: StoreResponse) {
        match pending {
            PendingRequest::Load(progress) => self.handle_load_response(progress, response),
            PendingRequest::Watch => self.handle_watch_response(sent_at, response),
            PendingRequest::ExpiryCheck(shard) => self.handle_expiry_check_response(shard, response),
            PendingRequest::GrantLease => self.handle_grant_response(response),
            PendingRequest::RenewLease(lease) => self.handle_renewal_response(lease, response),
            PendingRequest::Transaction(transaction) => self.handle_transaction_response(transaction, response),
            PendingRequest::QuotaTransferRetry(transaction) => {
                self.handle_quota_transfer_retry_response(transaction, response)
            }
            PendingRequest::ShardTransaction { shard, transaction } => {
                self.handle_shard_transaction_response(shard, transaction, response)
            }
            PendingRequest::Reread { key, shard } => self.handle_reread_response(key, shard, response),
            PendingRequest::SubmitWrite { request, transaction, spec } => {
                self.handle_submit_write(request, transaction, spec, response)
            }
            PendingRequest::SubmitRead { request, job } => self.handle_submit_read(request, job, response),
            PendingRequest::ArchiveLookUp { request, job, known } => {
                self.handle_archive_read(request, job, known, response)
            }
            PendingRequest::RefusalLookUp(held) => self.handle_refusal_lookup(held, response),
            PendingRequest::DependencyCheck(check) => self.handle_dependency_read(check, response),
            PendingRequest::DependencyLookUp(job) => self.handle_dependency_lookup(job, response),
            PendingRequest::RevisionProbe(queries) => self.handle_probe(queries, response),
            PendingRequest::CancelRead { request, job, tries } => {
                self.handle_cancel_read(request, job, tries, response)
            }
            PendingRequest::CancelWrite { request, job, transaction, tries } => {
                self.handle_cancel_write(request, job, transaction, tries, response)
            }
            PendingRequest::RentalRecord { rental, transaction } => {
                self.handle_rental_record_response(rental, transaction, response)
            }
            PendingRequest::Rent(_)
            | PendingRequest::Return(_)
            | PendingRequest::List { .. }
            | PendingRequest::Catalog => {}
        }
    }
}
