//! Decides that a machine is lost: once its worker's lease must have expired, the worker has killed its tasks, so they
//! may start elsewhere. Called in housekeeping and with the store's response to the expiry check. Silence alone is not
//! sufficient evidence of a loss: see the rules of `lease_proxy`.

use crate::coordination::shards::owned_shard::{ExpiryCheck, Machine, OwnedShard};
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records::{lease_proxy_key, owner_key};
use crate::units::{MachineId, MonotonicTime, Revision, ShardId};
use std::collections::BTreeSet;

impl Core {
    /// Removes machines of owned shards whose leases have provably expired or that were returned to the cloud.
    pub(crate) fn expire_machines(&mut self) {
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            let Some(owned_shard) = self.owned_shards.get_mut(&shard).filter(|shard| shard.ready) else { continue };
            match std::mem::take(&mut owned_shard.expiry_check) {
                ExpiryCheck::Confirmed { revision, machines } if self.cache.revision >= revision => {
                    self.remove_expired_machines(shard, &machines);
                }
                pending @ (ExpiryCheck::Confirmed { .. } | ExpiryCheck::Sent(_)) => {
                    owned_shard.expiry_check = pending;
                }
                ExpiryCheck::None => self.send_expiry_check(shard),
            }
            self.remove_returned_machines(shard);
        }
    }

    fn remove_expired_machines(&mut self, shard: ShardId, checked: &[MachineId]) {
        // A proxy that was registered and removed since the check has extended the leases.
        let expired = self.expired_machines(shard);
        for name in checked.iter().filter(|name| expired.contains(*name)) {
            tracing::info!(shard = %shard, machine = %name, "machine lost: its worker's lease has expired");
            self.remove_lost_machine(shard, name);
        }
    }

    fn remove_returned_machines(&mut self, shard: ShardId) {
        let names = self.owned_shards.get(&shard).into_iter().flat_map(OwnedShard::machine_names);
        let returned: BTreeSet<MachineId> = names.filter(|name| self.is_returned(name)).cloned().collect();
        for name in returned {
            tracing::info!(shard = %shard, machine = %name, "machine was returned");
            self.remove_lost_machine(shard, &name);
        }
    }

    /// Returns machines whose leases must have expired, unless a proxy renews them that is not in the cache yet.
    fn expired_machines(&self, shard: ShardId) -> BTreeSet<MachineId> {
        let Some(owned_shard) = self.owned_shards.get(&shard).filter(|_| !self.has_lease_proxy(shard)) else {
            return BTreeSet::new();
        };
        let proxied_until = owned_shard.last_proxied + self.lease_after_proxy();
        let has_expired = |name: &&MachineId| {
            let machine = owned_shard.machines.get(*name);
            self.now > self.leased_until(owned_shard, machine).max(proxied_until)
        };
        owned_shard.machine_names().filter(has_expired).cloned().collect()
    }

    /// Returns the latest time until which owners may have extended a machine's lease. `machine` is `None` if it has
    /// not sent a heartbeat to this owner.
    fn leased_until(&self, owned_shard: &OwnedShard, machine: Option<&Machine>) -> MonotonicTime {
        let lease = self.timing.worker_lease;
        // Until the worker has seen this owner's fencing token, a previous owner that is cut off from the store may
        // have renewed the lease for up to its store isolation limit.
        let leased_by_previous_owner = owned_shard.owned_since + (self.timing.store_isolation_limit + lease);
        match machine {
            Some(machine) if machine.token_acknowledged => machine.last_heartbeat + lease,
            Some(machine) => (machine.last_heartbeat + lease).max(leased_by_previous_owner),
            None => leased_by_previous_owner,
        }
    }

    /// Checks in the store that no proxy is registered for the shard, if leases of machines seem to have expired.
    fn send_expiry_check(&mut self, shard: ShardId) {
        let machines: Vec<MachineId> = self.expired_machines(shard).into_iter().collect();
        if machines.is_empty() || !self.store.may_send(self.now) {
            return;
        }
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        owned_shard.expiry_check = ExpiryCheck::Sent(machines);
        let mut conditions = vec![Condition { key: owner_key(shard), version: Revision(owned_shard.token.0) }];
        let absent = |node| Condition { key: lease_proxy_key(shard, node), version: Revision(0) };
        conditions.extend(self.membership.peers().names().map(absent));
        self.store.charge_request(self.now);
        let check = Transaction { conditions, changes: vec![] };
        self.call_store(StoreRequest::Transaction(check), PendingRequest::ExpiryCheck(shard));
    }

    /// Handles the store's response to the expiry check.
    pub(crate) fn handle_expiry_check_response(&mut self, shard: ShardId, answer: StoreResponse) {
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let ExpiryCheck::Sent(machines) = std::mem::take(&mut owned_shard.expiry_check) else { return };
        match answer {
            StoreResponse::Committed(revision) => {
                owned_shard.expiry_check = ExpiryCheck::Confirmed { revision, machines };
            }
            StoreResponse::Conflict(failed) => self.reread_keys(failed, None),
            // The check is inconclusive; the next housekeeping sends it again.
            _ => {}
        }
    }
}
