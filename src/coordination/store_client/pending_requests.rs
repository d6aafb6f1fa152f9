//! Calls on the outside: what each answer is for, and what it changes.

use crate::coordination::jobs::status_query::StatusQuery;
use crate::coordination::shards::shard_quota::is_quota_transfer;
use crate::coordination::{CloudCall, Core, JobResponseStatus, Output};
use crate::protocol::state::{Change, StateAnswer, StateCall, Transaction};
use crate::protocol::users::JobSpec;
use crate::storage::cache::CacheChange;
use crate::storage::records;
use crate::units::{CallId, JobId, LeaseId, MachineId, MonotonicTime, RequestId, Revision, ShardId};
use std::collections::BTreeSet;

/// What a call's answer will be used for.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    /// Records in pages: those seen, the first page's revision, and when it was asked for.
    Load {
        seen: BTreeSet<String>,
        first: Option<Revision>,
        since: MonotonicTime,
    },
    Watch,
    /// Whether anybody keeps machines of the shard.
    Compare(ShardId),
    Grant,
    Renew(LeaseId),
    /// A transaction whose outcome the watch or a conflict read shows.
    Simple(Transaction),
    /// A gift of allowance sent once more: the first got no answer.
    QuotaTransferRetry(Transaction),
    ShardTransaction {
        shard: ShardId,
        transaction: Transaction,
    },
    /// Reads a key that a conflict named.
    Reread {
        key: String,
        shard: Option<ShardId>,
    },
    SubmitWrite {
        request: RequestId,
        transaction: Transaction,
        spec: Box<JobSpec>,
    },
    SubmitRead {
        request: RequestId,
        job: JobId,
        /// What the submission is answered with if the job is there.
        status: JobResponseStatus,
    },
    /// How far the records have come; these questions wait for it.
    Probe(Vec<StatusQuery>),
    /// Whether a job that has no record ended long ago; `known` if it was accepted once.
    Archived {
        request: RequestId,
        job: JobId,
        known: bool,
    },
    RefusalLookUp(crate::coordination::jobs::validation::HeldRefusal),
    /// Names of a submission, one after the other.
    DependencyCheck(crate::coordination::jobs::dependency_check::DependencyCheck),
    /// A job that waiting ones name and that was put away.
    DependencyLookUp(JobId),
    CancelRead {
        request: RequestId,
        job: JobId,
        tries: u32,
    },
    CancelWrite {
        request: RequestId,
        job: JobId,
        transaction: Transaction,
        tries: u32,
    },
    RentName {
        rental: crate::coordination::fleet::scale_out::PendingRental,
        transaction: Transaction,
    },
    Rent(crate::coordination::fleet::scale_out::PendingRental),
    Return(Vec<MachineId>),
    List {
        seen: Vec<crate::protocol::cloud::ListedMachine>,
    },
    Catalog,
}

/// Gifts of allowance that got no answer, and reads that are to tell of them.
#[derive(Debug, Default)]
pub(crate) struct UnresolvedTransactions {
    transfers: Vec<Transaction>,
    reads: Vec<(String, Option<ShardId>)>,
}

#[derive(Debug)]
pub(crate) struct SentRequest {
    pub(crate) what: PendingRequest,
    pub(crate) sent: MonotonicTime,
}

pub(crate) fn change_key(change: &Change) -> &str {
    match change {
        Change::Put { put, .. } => put,
        Change::Delete { delete } => delete,
    }
}

impl Core {
    /// Sends a request to the store; `what` says what its answer is for.
    pub(crate) fn call_state(&mut self, call: StateCall, what: PendingRequest) -> CallId {
        let id = self.store.register(what, self.now);
        self.out.push(Output::State(id, call));
        id
    }

    pub(crate) fn call_cloud(&mut self, call: CloudCall, what: PendingRequest) {
        let id = self.store.register(what, self.now);
        self.out.push(Output::Cloud(id, call));
    }

    /// A transaction on keys that nobody else in this node is changing.
    /// What would never be taken is not sent.
    pub(crate) fn submit_transaction(&mut self, transaction: Transaction) {
        let too_large = |c: &&Change| matches!(c, Change::Put { value, .. } if !self.fits_value(value));
        if let Some(key) = transaction.changes.iter().find(too_large).map(change_key) {
            if self.store.too_large.insert(key.to_string()) {
                tracing::error!("record {key} does not fit into one value and is not written");
            }
            return;
        }
        self.store.charge_transaction(self.now, transaction.changes.len());
        for change in &transaction.changes {
            self.store.reserve_key(change_key(change));
        }
        self.call_state(StateCall::Transaction(transaction.clone()), PendingRequest::Simple(transaction));
    }

    pub(crate) fn state_answer(&mut self, id: CallId, answer: StateAnswer) {
        let Some(SentRequest { what, sent }) = self.store.take_request(id) else { return };
        if !matches!(answer, StateAnswer::Unknown | StateAnswer::Refused) {
            self.store.last_answer = Some(self.now);
        }
        if let StateAnswer::Rejected(why) = &answer {
            tracing::error!("the state service rejects {what:?}: {why}");
        }
        match what {
            PendingRequest::Load { seen, first, since } => self.load_answer(seen, first, since, answer),
            PendingRequest::Watch => self.watch_answer(sent, answer),
            PendingRequest::Compare(shard) => self.compared(shard, answer),
            PendingRequest::Grant => self.grant_answer(answer),
            PendingRequest::Renew(lease) => self.renew_answer(lease, answer),
            PendingRequest::Simple(transaction)
                if matches!(answer, StateAnswer::Unknown) && is_quota_transfer(&transaction) =>
            {
                self.store.unresolved.transfers.push(transaction);
            }
            PendingRequest::Simple(transaction) => self.simple_answer(transaction, answer),
            PendingRequest::QuotaTransferRetry(transaction)
                if matches!(answer, StateAnswer::Unknown | StateAnswer::Refused) =>
            {
                self.store.unresolved.transfers.push(transaction);
            }
            PendingRequest::QuotaTransferRetry(transaction) => self.simple_answer(transaction, answer),
            PendingRequest::ShardTransaction { shard, transaction } => {
                self.shard_transaction_answer(shard, transaction, answer)
            }
            PendingRequest::Reread { key, shard } => self.reread_answer(key, shard, answer),
            PendingRequest::SubmitWrite { request, transaction, spec } => {
                self.submit_written(request, transaction, spec, answer)
            }
            PendingRequest::SubmitRead { request, job, status } => self.submit_read(request, job, status, answer),
            PendingRequest::Archived { request, job, known } => self.archived_answer(request, job, known, answer),
            PendingRequest::RefusalLookUp(held) => self.refused_job_read(held, answer),
            PendingRequest::DependencyCheck(check) => self.dependency_read(check, answer),
            PendingRequest::DependencyLookUp(job) => self.dependency_looked_up(job, answer),
            PendingRequest::Probe(queries) => self.probe_answered(queries, answer),
            PendingRequest::CancelRead { request, job, tries } => self.cancel_read(request, job, tries, answer),
            PendingRequest::CancelWrite { request, job, transaction, tries } => {
                self.cancel_written(request, job, transaction, tries, answer)
            }
            PendingRequest::RentName { rental, transaction } => self.rental_recorded(rental, transaction, answer),
            PendingRequest::Rent(_)
            | PendingRequest::Return(_)
            | PendingRequest::List { .. }
            | PendingRequest::Catalog => {}
        }
    }

    fn simple_answer(&mut self, transaction: Transaction, answer: StateAnswer) {
        for change in &transaction.changes {
            self.store.release_key(change_key(change));
        }
        match answer {
            StateAnswer::Committed(revision) => self.committed(&transaction, revision),
            // It counts as given until all that it names has been read.
            StateAnswer::Conflict(_) if is_quota_transfer(&transaction) => {
                return self.reread(transaction.conditions.into_iter().map(|c| c.key).collect(), None);
            }
            StateAnswer::Conflict(failed) => self.reread(failed, None),
            StateAnswer::LeaseGone => self.lease_gone_elsewhere(&transaction),
            _ => {}
        }
        let shards = transaction.changes.iter().filter_map(|c| match records::RecordKey::read(change_key(c)) {
            Some(records::RecordKey::Quota(shard)) => Some(shard),
            _ => None,
        });
        self.end_quota_transfers(&shards.collect::<Vec<_>>());
    }

    /// Asks again what became of gifts. One that got no answer may still be carried
    /// out: it counts as given until its repetition says what became of it, and that
    /// the repetition was refused says nothing about the first.
    pub(crate) fn resolve_quota_transfers(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        for transaction in std::mem::take(&mut self.store.unresolved.transfers) {
            self.store.charge_transaction(self.now, transaction.changes.len());
            self.call_state(
                StateCall::Transaction(transaction.clone()),
                PendingRequest::QuotaTransferRetry(transaction),
            );
        }
        for (key, shard) in std::mem::take(&mut self.store.unresolved.reads) {
            self.store.charge_read(self.now);
            self.call_state(StateCall::Get { key: key.clone() }, PendingRequest::Reread { key, shard });
        }
    }

    /// Takes a committed transaction's changes into the cache.
    pub(crate) fn committed(&mut self, transaction: &Transaction, revision: Revision) {
        for change in &transaction.changes {
            let changed = match change {
                Change::Put { put, value, .. } => self.cache.apply(put, Some(value.clone()), revision),
                Change::Delete { delete } => self.cache.apply(delete, None, revision),
            };
            self.changed(changed);
        }
    }

    pub(crate) fn reread(&mut self, keys: Vec<String>, shard: Option<ShardId>) {
        for key in keys {
            self.store.charge_read(self.now);
            self.call_state(StateCall::Get { key: key.clone() }, PendingRequest::Reread { key, shard });
        }
    }

    pub(crate) fn reread_answer(&mut self, key: String, shard: Option<ShardId>, answer: StateAnswer) {
        if let (Some(records::RecordKey::Quota(_)), true) =
            (records::RecordKey::read(&key), matches!(answer, StateAnswer::Unknown | StateAnswer::Refused))
        {
            // What became of a gift must be known before allowance is used again.
            return self.store.unresolved.reads.push((key, shard));
        }
        let changed = match answer {
            StateAnswer::Found(item) => self.cache.apply(&key, Some(item.value), item.version),
            StateAnswer::Missing(at) => self.cache.apply(&key, None, at),
            _ => CacheChange::Nothing,
        };
        self.changed(changed);
        if let Some(records::RecordKey::Quota(shard)) = records::RecordKey::read(&key) {
            self.end_quota_transfers(&[shard]);
        }
        if let Some(owned_shard) = shard.and_then(|p| self.owned_shards.get_mut(&p)) {
            owned_shard.rereads = owned_shard.rereads.saturating_sub(1);
        }
    }

    /// Acts on news in the cache.
    pub(crate) fn changed(&mut self, what: CacheChange) {
        match what {
            CacheChange::Owner(shard) => self.owner_changed(shard),
            CacheChange::Job(job, news) => self.job_changed(&job, news),
            CacheChange::Slice(job, slice) => self.slice_changed(&job, slice),
            CacheChange::LeaseProxy(shard) => self.lease_proxy_changed(shard),
            CacheChange::Fleet => self.fleet_changed(),
            CacheChange::Other => self.catalog_changed(),
            CacheChange::JobGone(job) => self.dependency_graph.record_removed(&job),
            CacheChange::Node(node) => self.node_changed(&node),
            CacheChange::Leader | CacheChange::Nothing => {}
        }
    }
}
