//! Transactions on single records, and what becomes of them: commits are taken
//! into the cache, conflicts are read again, and quota transfers that got no
//! answer are repeated until their outcome is known.
//!
//! Any part of the core submits these; the slices of a shard are written by
//! [`super::shard_writes`].

use crate::coordination::shards::shard_quota::is_quota_transfer;
use crate::coordination::store_client::pending_requests::{change_key, PendingRequest};
use crate::coordination::Core;
use crate::protocol::state::{Change, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::RecordKey;
use crate::units::{Revision, ShardId};

/// Quota transfers that got no answer, and reads that are to show their outcome.
#[derive(Debug, Default)]
pub(super) struct UnresolvedTransactions {
    transfers: Vec<Transaction>,
    /// Keys to read, with the shard whose transaction met a conflict there.
    reads: Vec<(String, Option<ShardId>)>,
}

impl Core {
    /// Sends a transaction on keys that nobody else in this node is changing.
    /// One that the store would never take is not sent.
    pub(crate) fn submit_transaction(&mut self, transaction: Transaction) {
        let is_too_large = |c: &&Change| matches!(c, Change::Put { value, .. } if !self.fits_value(value));
        if let Some(key) = transaction.changes.iter().find(is_too_large).map(change_key) {
            if self.store.too_large.insert(key.to_string()) {
                tracing::error!(key, "record does not fit into one value, not written");
            }
            return;
        }
        self.store.charge_transaction(self.now, transaction.changes.len());
        for change in &transaction.changes {
            self.store.reserve_key(change_key(change));
        }
        self.call_state(StoreRequest::Transaction(transaction.clone()), PendingRequest::Transaction(transaction));
    }

    /// Takes the answer to a transaction that was sent for the first time.
    pub(super) fn transaction_answer(&mut self, transaction: Transaction, answer: StoreResponse) {
        if matches!(answer, StoreResponse::Unknown) && is_quota_transfer(&transaction) {
            return self.store.unresolved.transfers.push(transaction);
        }
        self.end_transaction(transaction, answer);
    }

    /// Takes the answer to a quota transfer that was repeated.
    pub(super) fn quota_transfer_retry_answer(&mut self, transaction: Transaction, answer: StoreResponse) {
        if matches!(answer, StoreResponse::Unknown | StoreResponse::Unavailable) {
            return self.store.unresolved.transfers.push(transaction);
        }
        self.end_transaction(transaction, answer);
    }

    fn end_transaction(&mut self, transaction: Transaction, answer: StoreResponse) {
        for change in &transaction.changes {
            self.store.release_key(change_key(change));
        }
        match answer {
            StoreResponse::Committed(revision) => self.committed(&transaction, revision),
            // The quota counts as transferred until all records that are named have been read.
            StoreResponse::Conflict(_) if is_quota_transfer(&transaction) => {
                return self.reread(transaction.conditions.into_iter().map(|c| c.key).collect(), None);
            }
            StoreResponse::Conflict(failed) => self.reread(failed, None),
            StoreResponse::LeaseGone => self.transaction_lease_gone(&transaction),
            _ => {}
        }
        let shards = transaction.changes.iter().filter_map(|c| match RecordKey::parse(change_key(c)) {
            Some(RecordKey::Quota(shard)) => Some(shard),
            _ => None,
        });
        self.end_quota_transfers(&shards.collect::<Vec<_>>());
    }

    /// Sends once more the quota transfers whose outcome is not known, and the
    /// reads that are to show it. A transfer that got no answer may still be
    /// carried out: it counts as made until its repetition is answered, and a
    /// repetition that was refused says nothing about the first one.
    pub(crate) fn resolve_quota_transfers(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        for transaction in std::mem::take(&mut self.store.unresolved.transfers) {
            self.store.charge_transaction(self.now, transaction.changes.len());
            let request = StoreRequest::Transaction(transaction.clone());
            self.call_state(request, PendingRequest::QuotaTransferRetry(transaction));
        }
        for (key, shard) in std::mem::take(&mut self.store.unresolved.reads) {
            self.read_again(key, shard);
        }
    }

    /// Takes a committed transaction's changes into the cache.
    pub(crate) fn committed(&mut self, transaction: &Transaction, revision: Revision) {
        for change in &transaction.changes {
            match change {
                Change::Put { key, value, .. } => self.apply_record(key, Some(value.clone()), revision),
                Change::Delete { key } => self.apply_record(key, None, revision),
            }
        }
    }

    /// Reads keys that a conflict named; `shard` is set if its transaction waits for that.
    pub(crate) fn reread(&mut self, keys: Vec<String>, shard: Option<ShardId>) {
        for key in keys {
            self.read_again(key, shard);
        }
    }

    fn read_again(&mut self, key: String, shard: Option<ShardId>) {
        self.store.charge_read(self.now);
        self.call_state(StoreRequest::Get { key: key.clone() }, PendingRequest::Reread { key, shard });
    }

    /// Takes a record that was read because of a conflict.
    pub(super) fn reread_answer(&mut self, key: String, shard: Option<ShardId>, answer: StoreResponse) {
        let quota_of = match RecordKey::parse(&key) {
            Some(RecordKey::Quota(shard)) => Some(shard),
            _ => None,
        };
        let is_unanswered = matches!(answer, StoreResponse::Unknown | StoreResponse::Unavailable);
        if quota_of.is_some() && is_unanswered {
            // The outcome of a transfer must be known before quota is used again.
            return self.store.unresolved.reads.push((key, shard));
        }
        match answer {
            StoreResponse::Found(item) => self.apply_record(&key, Some(item.value), item.version),
            StoreResponse::Missing(at) => self.apply_record(&key, None, at),
            _ => {}
        }
        if let Some(shard) = quota_of {
            self.end_quota_transfers(&[shard]);
        }
        if let Some(owned_shard) = shard.and_then(|shard| self.owned_shards.get_mut(&shard)) {
            owned_shard.rereads = owned_shard.rereads.saturating_sub(1);
        }
    }
}
