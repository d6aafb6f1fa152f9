//! This controller's lease in the store: asks for it, renews it and announces the controller under it. All keys that
//! the controller holds (its node record, its shards, leadership, lease proxies) end with the lease. Driven by
//! [`Core::tick_membership`] and by answers of the store.

use crate::coordination::membership::feature_level::SUPPORTED_LEVEL;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::{encode, node_key, LeaseHolderRecord, NodeRecord};
use crate::units::{LeaseId, Millis, MonotonicTime, NodeName, Revision};

/// How soon a renewal is tried again that got no answer or was refused.
const RENEW_RETRY: Millis = Millis(300);

/// The lease, and what is under way with it.
#[derive(Debug, Default)]
pub(super) struct NodeLease {
    lease: Option<LeaseId>,
    /// A grant was asked for and isn't answered.
    granting: bool,
    /// A renewal was asked for and isn't answered.
    renewing: bool,
    /// When the next renewal is due.
    renew_at: MonotonicTime,
}

/// What is to be asked of the store for the lease.
enum LeaseRequest {
    Grant,
    Renew(LeaseId),
}

impl NodeLease {
    /// The lease, if there is one.
    pub(super) fn id(&self) -> Option<LeaseId> {
        self.lease
    }

    /// The request that is due, if any; it then counts as sent.
    fn next_request(&mut self, now: MonotonicTime) -> Option<LeaseRequest> {
        match self.lease {
            None if !self.granting => {
                self.granting = true;
                Some(LeaseRequest::Grant)
            }
            Some(lease) if !self.renewing && now >= self.renew_at => {
                self.renewing = true;
                Some(LeaseRequest::Renew(lease))
            }
            _ => None,
        }
    }

    fn granted(&mut self, lease: LeaseId, renew_at: MonotonicTime) {
        self.lease = Some(lease);
        self.renew_at = renew_at;
    }
}

impl Core {
    /// Renews the lease, and claims what this controller should hold.
    pub(crate) fn tick_membership(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        self.sync_cache();
        self.request_lease();
        if let (true, Some(lease)) = (self.store.is_loaded(), self.membership.lease()) {
            self.update_shard_release();
            self.announce(lease);
            self.claim_shards(lease);
            self.claim_leadership(lease);
        }
    }

    fn request_lease(&mut self) {
        let Some(request) = self.membership.node_lease.next_request(self.now) else { return };
        self.store.charge_request(self.now);
        match request {
            LeaseRequest::Grant => {
                self.call_store(
                    StoreRequest::GrantLease { ttl_ms: self.timing.node_lease.0 },
                    PendingRequest::GrantLease,
                );
            }
            LeaseRequest::Renew(lease) => {
                self.call_store(StoreRequest::RenewLease { lease }, PendingRequest::RenewLease(lease));
            }
        }
    }

    /// The answer to a request for a lease.
    pub(crate) fn grant_answer(&mut self, answer: StoreResponse) {
        self.membership.node_lease.granting = false;
        match answer {
            StoreResponse::LeaseGranted(lease) => {
                self.membership.node_lease.granted(lease, self.now + self.timing.renewal_interval);
            }
            _ => self.store.back_off(self.now),
        }
    }

    /// The answer to a renewal of `lease`, which may not be the current one any more.
    pub(crate) fn renew_answer(&mut self, lease: LeaseId, answer: StoreResponse) {
        self.membership.node_lease.renewing = false;
        self.membership.node_lease.renew_at = self.now + self.timing.renewal_interval;
        match answer {
            StoreResponse::LeaseRenewed => {}
            StoreResponse::LeaseGone if self.membership.lease() == Some(lease) => self.lease_lost(),
            _ => self.membership.node_lease.renew_at = self.now + RENEW_RETRY,
        }
    }

    /// The lease expired, and with it the ownership of all shards.
    fn lease_lost(&mut self) {
        tracing::info!(shards = self.owned_shards.len(), "lost own lease and all shards");
        self.membership.node_lease.lease = None;
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            self.drop_shard(shard);
        }
    }

    /// A transaction named an expired lease: this controller's, or that of one that a shard was to be handed over to.
    pub(crate) fn transaction_lease_gone(&mut self, transaction: &Transaction) {
        let own_lease = self.membership.lease();
        let under_own_lease =
            |change: &Change| matches!(change, Change::Put { lease, .. } if lease.is_some() && *lease == own_lease);
        if transaction.changes.iter().any(under_own_lease) {
            self.lease_lost();
        }
    }

    /// Writes this controller's node record, by which the others take it to be live.
    fn announce(&mut self, lease: LeaseId) {
        let key = node_key(&self.node_name);
        let held = self.cache.nodes.get(&self.node_name);
        let announced = held.and_then(|held| held.record.as_ref()).is_some_and(|record| record.lease == lease);
        if announced || self.has_released_shards() || self.store.is_key_busy(&key) {
            return;
        }
        let value = encode(&NodeRecord { lease, level: SUPPORTED_LEVEL });
        // The condition keeps a transaction that is carried out late from undoing a later one.
        let conditions = vec![Condition { key: key.clone(), version: held.map_or(Revision(0), |held| held.version) }];
        self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
    }

    /// Makes a controller the holder of a key, under that controller's lease, if the key still has this version.
    pub(super) fn write_lease_holder(&mut self, key: String, version: Revision, node: NodeName, lease: LeaseId) {
        let value = encode(&LeaseHolderRecord { node, lease });
        let conditions = vec![Condition { key: key.clone(), version }];
        self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
    }
}
