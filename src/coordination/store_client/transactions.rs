//! Transactions on single records and their outcomes: applies committed changes
//! to the cache, rereads the keys of conflicts, and retries quota transfers
//! until their outcome is known.
//!
//! Any module of the core submits these transactions. The slices of a shard are
//! written by [`super::shard_writes`].

use crate::coordination::shards::shard_quota::is_quota_transfer;
use crate::coordination::store_client::pending_requests::{change_key, PendingRequest};
use crate::coordination::Core;
use crate::protocol::state::{Change, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::RecordKey;
use crate::units::{Revision, ShardId};

/// Quota transfers with an unknown outcome, and the reads that will show it.
#[derive(Debug, Default)]
pub(super) struct UnresolvedTransactions {
    transfers: Vec<Transaction>,
    /// Keys to read, each with the shard whose transaction had a conflict on it.
    reads: Vec<(String, Option<ShardId>)>,
}

impl Core {
    /// Sends a transaction and reserves its keys. The caller must ensure
    /// that no other transaction of this node changes them. A transaction with a value that
    /// exceeds the store's size limit is dropped.
    pub(crate) fn submit_transaction(&mut self, transaction: Transaction) {
        let is_too_large = |c: &&Change| matches!(c, Change::Put { value, .. } if !self.fits_value(value));
        if let Some(key) = transaction.changes.iter().find(is_too_large).map(change_key) {
            if self.store.too_large.insert(key.to_string()) {
                tracing::error!(key, "record exceeds the store's value size limit; not written");
            }
            return;
        }
        self.store.charge_transaction(self.now, transaction.changes.len());
        for change in &transaction.changes {
            self.store.reserve_key(change_key(change));
        }
        self.call_store(StoreRequest::Transaction(transaction.clone()), PendingRequest::Transaction(transaction));
    }

    /// Handles the response to the first attempt of a transaction.
    pub(super) fn handle_transaction_response(&mut self, transaction: Transaction, response: StoreResponse) {
        if matches!(response, StoreResponse::Unknown) && is_quota_transfer(&transaction) {
            return self.store.unresolved.transfers.push(transaction);
        }
        self.finish_transaction(transaction, response);
    }

    /// Handles the response to a retried quota transfer.
    pub(super) fn handle_quota_transfer_retry_response(&mut self, transaction: Transaction, response: StoreResponse) {
        if matches!(response, StoreResponse::Unknown | StoreResponse::Unavailable) {
            return self.store.unresolved.transfers.push(transaction);
        }
        self.finish_transaction(transaction, response);
    }

    fn finish_transaction(&mut self, transaction: Transaction, response: StoreResponse) {
        for change in &transaction.changes {
            self.store.release_key(change_key(change));
        }
        match response {
            StoreResponse::Committed(revision) => self.apply_committed(&transaction, revision),
            // The quota counts as transferred until all records of the conditions have been read.
            StoreResponse::Conflict(_) if is_quota_transfer(&transaction) => {
                return self.reread_keys(transaction.conditions.into_iter().map(|c| c.key).collect(), None);
            }
            StoreResponse::Conflict(failed) => self.reread_keys(failed, None),
            StoreResponse::LeaseGone => self.transaction_lease_gone(&transaction),
            _ => {}
        }
        let shards = transaction.changes.iter().filter_map(|c| match RecordKey::parse(change_key(c)) {
            Some(RecordKey::Quota(shard)) => Some(shard),
            _ => None,
        });
        self.end_quota_transfers(&shards.collect::<Vec<_>>());
    }

    /// Retries the quota transfers with an unknown outcome, and the reads that will
    /// show it. The store may still execute a transfer after its response was lost,
    /// so the transfer counts as made until a retry gets a response. A refused retry
    /// does not show the outcome of the first attempt.
    pub(crate) fn resolve_quota_transfers(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        for transaction in std::mem::take(&mut self.store.unresolved.transfers) {
            self.store.charge_transaction(self.now, transaction.changes.len());
            let request = StoreRequest::Transaction(transaction.clone());
            self.call_store(request, PendingRequest::QuotaTransferRetry(transaction));
        }
        for (key, shard) in std::mem::take(&mut self.store.unresolved.reads) {
            self.reread_key(key, shard);
        }
    }

    /// Applies a committed transaction's changes to the cache.
    pub(crate) fn apply_committed(&mut self, transaction: &Transaction, revision: Revision) {
        for change in &transaction.changes {
            match change {
                Change::Put { key, value, .. } => self.apply_record(key, Some(value.clone()), revision),
                Change::Delete { key } => self.apply_record(key, None, revision),
            }
        }
    }

    /// Reads the keys of a conflict again. `shard` is set if a transaction of that shard failed
    /// and the shard waits for the reads.
    pub(crate) fn reread_keys(&mut self, keys: Vec<String>, shard: Option<ShardId>) {
        for key in keys {
            self.reread_key(key, shard);
        }
    }

    fn reread_key(&mut self, key: String, shard: Option<ShardId>) {
        self.store.charge_request(self.now);
        self.call_store(StoreRequest::Get { key: key.clone() }, PendingRequest::Reread { key, shard });
    }

    /// Applies a record that was read again after a conflict.
    pub(super) fn handle_reread_response(&mut self, key: String, shard: Option<ShardId>, response: StoreResponse) {
        let quota_of = match RecordKey::parse(&key) {
            Some(RecordKey::Quota(shard)) => Some(shard),
            _ => None,
        };
        let is_outcome_unknown = matches!(response, StoreResponse::Unknown | StoreResponse::Unavailable);
        if quota_of.is_some() && is_outcome_unknown {
            // The outcome of a transfer must be known before its quota is used again.
            return self.store.unresolved.reads.push((key, shard));
        }
        match response {
            StoreResponse::Found(item) => self.apply_record(&key, Some(item.value), item.version),
            StoreResponse::Missing(at) => self.apply_record(&key, None, at),
            _ => {}
        }
        if let Some(shard) = quota_of {
            self.end_quota_transfers(&[shard]);
        }
        if let Some(owned_shard) = shard.and_then(|shard| self.owned_shards.get_mut(&shard)) {
            owned_shard.pending_rereads = owned_shard.pending_rereads.saturating_sub(1);
        }
    }
}
