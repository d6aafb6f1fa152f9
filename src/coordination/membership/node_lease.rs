//! This controller's lease in the store: requests and renews it, and writes the node record under it. All keys that the
//! controller holds (node record, shard ownership, leadership, lease proxies) expire with the lease. Driven by
//! [`Core::tick_membership`] and by responses of the store.

use crate::coordination::membership::feature_level::SUPPORTED_LEVEL;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::{encode, node_key, LeaseHolderRecord, NodeRecord};
use crate::units::{LeaseId, Millis, MonotonicTime, NodeName, Revision};

/// Delay before retrying a renewal that failed or got no response.
const RENEW_RETRY_DELAY: Millis = Millis(300);

/// The lease and its pending requests.
#[derive(Debug, Default)]
pub(super) struct NodeLease {
    lease: Option<LeaseId>,
    /// True while a grant request is pending.
    granting: bool,
    /// True while a renewal request is pending.
    renewing: bool,
    /// Earliest time of the next renewal.
    next_renewal_at: MonotonicTime,
}

/// A lease request to send to the store.
enum LeaseRequest {
    Grant,
    Renew(LeaseId),
}

impl NodeLease {
    /// Returns the lease, or `None` if none is held.
    pub(super) fn id(&self) -> Option<LeaseId> {
        self.lease
    }

    /// Returns the request that is due, if any, and marks it as pending.
    fn next_request(&mut self, now: MonotonicTime) -> Option<LeaseRequest> {
        match self.lease {
            None if !self.granting => {
                self.granting = true;
                Some(LeaseRequest::Grant)
            }
            Some(lease) if !self.renewing && now >= self.next_renewal_at => {
                self.renewing = true;
                Some(LeaseRequest::Renew(lease))
            }
            _ => None,
        }
    }

    fn granted(&mut self, lease: LeaseId, next_renewal_at: MonotonicTime) {
        self.lease = Some(lease);
        self.next_renewal_at = next_renewal_at;
    }
}

impl Core {
    /// Renews the lease, announces this controller, and claims the shards and the leadership that it should hold.
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

    /// Handles the response to a lease grant request.
    pub(crate) fn handle_grant_response(&mut self, answer: StoreResponse) {
        self.membership.node_lease.granting = false;
        match answer {
            StoreResponse::LeaseGranted(lease) => {
                self.membership.node_lease.granted(lease, self.now + self.timing.renewal_interval);
            }
            _ => self.store.back_off(self.now),
        }
    }

    /// Handles the response to a renewal of `lease`, which may no longer be the current lease.
    pub(crate) fn handle_renewal_response(&mut self, lease: LeaseId, answer: StoreResponse) {
        self.membership.node_lease.renewing = false;
        self.membership.node_lease.next_renewal_at = self.now + self.timing.renewal_interval;
        match answer {
            StoreResponse::LeaseRenewed => {}
            StoreResponse::LeaseGone if self.membership.lease() == Some(lease) => self.lease_lost(),
            _ => self.membership.node_lease.next_renewal_at = self.now + RENEW_RETRY_DELAY,
        }
    }

    /// Drops all shards after the lease expired: their ownership expired with it.
    fn lease_lost(&mut self) {
        tracing::info!(shards = self.owned_shards.len(), "own lease expired; lost all shards");
        self.membership.node_lease.lease = None;
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            self.drop_shard(shard);
        }
    }

    /// Handles a transaction that failed on an expired lease: either this controller's or that of the controller that
    /// should have received a shard.
    pub(crate) fn transaction_lease_gone(&mut self, transaction: &Transaction) {
        let own_lease = self.membership.lease();
        let under_own_lease =
            |change: &Change| matches!(change, Change::Put { lease, .. } if lease.is_some() && *lease == own_lease);
        if transaction.changes.iter().any(under_own_lease) {
            self.lease_lost();
        }
    }

    /// Writes this controller's node record, which marks it as live for the other controllers.
    fn announce(&mut self, lease: LeaseId) {
        let key = node_key(&self.node_name);
        let held = self.cache.nodes.get(&self.node_name);
        let announced = held.and_then(|held| held.record.as_ref()).is_some_and(|record| record.lease == lease);
        if announced || self.has_released_shards() || self.store.is_key_busy(&key) {
            return;
        }
        let value = encode(&NodeRecord { lease, level: SUPPORTED_LEVEL });
        // The condition stops a delayed transaction from overwriting a later one.
        let conditions = vec![Condition { key: key.clone(), version: held.map_or(Revision(0), |held| held.version) }];
        self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
    }

    /// Makes `node` the holder of the key under `lease`, its own lease, if the key still has this version.
    pub(super) fn write_lease_holder(&mut self, key: String, version: Revision, node: NodeName, lease: LeaseId) {
        let value = encode(&LeaseHolderRecord { node, lease });
        let conditions = vec![Condition { key: key.clone(), version }];
        self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
    }
}
