//! Shard ownership: claims the shards assigned to this controller, hands over those assigned to others, and acquires or
//! drops a shard when its owner record changes. Called on each membership tick and when an owner record changes in the
//! cache. Never takes a shard from a live owner: the owner hands it over.

use crate::coordination::membership::shard_assignment::assign_shards;
use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::Core;
use crate::storage::records::owner_key;
use crate::units::{FencingToken, LeaseId, MachineId, Millis, MonotonicTime, NodeName, Revision, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// How long a shard must have been assigned to another controller before it is handed over: a controller that has just
/// started may fail again.
const MIN_ASSIGNED_TIME: Millis = Millis(1500);

/// Longest time, from the assignment, that a handover waits for the shard's unwritten changes to be written.
const MAX_WRITE_WAIT: Millis = Millis(4000);

/// Owned shards that are assigned to other controllers and must be handed over.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    by_shard: BTreeMap<ShardId, Handover>,
}

/// A pending handover of one shard.
#[derive(Debug)]
struct Handover {
    to: NodeName,
    /// When this controller first saw the shard assigned to `to`.
    since: MonotonicTime,
}

impl Handovers {
    /// Returns since when the shard has been assigned to `to`. Returns `None` and records `now` if the assignment is
    /// new.
    fn assigned_since(&mut self, shard: ShardId, to: &NodeName, now: MonotonicTime) -> Option<MonotonicTime> {
        match self.by_shard.get(&shard) {
            Some(handover) if handover.to == *to => Some(handover.since),
            _ => {
                self.by_shard.insert(shard, Handover { to: to.clone(), since: now });
                None
            }
        }
    }

    fn forget(&mut self, shard: ShardId) {
        self.by_shard.remove(&shard);
    }
}

impl Core {
    /// Returns the shard that a machine belongs to.
    pub(crate) fn shard_of(&self, machine: &MachineId) -> ShardId {
        ShardId::of(machine.as_str(), self.shard_count)
    }

    /// Claims free shards that are assigned to this controller and hands over owned shards that are assigned to others.
    pub(super) fn claim_shards(&mut self, lease: LeaseId) {
        let announced = self.cache.nodes.get(&self.node_name).is_some_and(|held| held.record.is_some());
        if !announced && !self.has_released_shards() {
            return;
        }
        for (shard, node) in self.assigned_shards() {
            if self.store.is_key_busy(&owner_key(shard)) {
                continue;
            }
            if node == self.node_name {
                self.claim_shard(shard, lease);
            } else if self.cache.owner(shard) == Some(&self.node_name) && self.owned_shards.contains_key(&shard) {
                self.hand_over(shard, node);
            }
        }
    }

    fn assigned_shards(&self) -> BTreeMap<ShardId, NodeName> {
        let live: BTreeSet<&str> = self.cache.live_nodes().map(|(node, _)| node.as_str()).collect();
        let assigned = assign_shards(self.shard_count, &self.settings.node_names(), &live);
        assigned.into_iter().map(|(shard, node)| (shard, NodeName::new(&node))).collect()
    }

    fn claim_shard(&mut self, shard: ShardId, lease: LeaseId) {
        // Cancel a pending handover and keep serving the shard: its new owner is no longer live.
        self.membership.handovers.forget(shard);
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.releasing = false;
        }
        let held = self.cache.owners.get(&shard);
        let holder = held.and_then(|held| held.record.as_ref());
        // An earlier process of this controller may still hold it.
        let is_free = holder.is_none_or(|holder| holder.node == self.node_name && holder.lease != lease);
        if is_free {
            let version = held.map_or(Revision(0), |held| held.version);
            self.write_lease_holder(owner_key(shard), version, self.node_name.clone(), lease);
        }
    }

    /// Hands an owned shard over in one transaction, once no store request of the shard is pending. The revision of
    /// that transaction is the new owner's fencing token.
    fn hand_over(&mut self, shard: ShardId, to: NodeName) {
        let Some(since) = self.membership.handovers.assigned_since(shard, &to, self.now) else { return };
        let assigned_for = self.now.since(since);
        // After a release no worker can use this controller, so there is nothing to lose if the new owner fails.
        let released = self.has_released_shards();
        if assigned_for < MIN_ASSIGNED_TIME && !released {
            return;
        }
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        owned_shard.releasing = true;
        let waits_for_writes = !owned_shard.dirty.is_empty() && !released && assigned_for < MAX_WRITE_WAIT;
        if !owned_shard.is_idle() || waits_for_writes {
            return;
        }
        let token = owned_shard.token;
        let record = self.cache.nodes.get(&to).and_then(|held| held.record.as_ref());
        let Some(lease) = record.map(|record| record.lease) else { return };
        self.membership.handovers.forget(shard);
        self.write_lease_holder(owner_key(shard), Revision(token.0), to, lease);
    }

    /// Acquires or drops a shard according to its owner record in the cache.
    pub(crate) fn owner_changed(&mut self, shard: ShardId) {
        let held = self.cache.owners.get(&shard).cloned().unwrap_or_default();
        let own_lease = self.membership.lease();
        let is_own = held.record.is_some_and(|holder| holder.node == self.node_name && Some(holder.lease) == own_lease);
        let token = FencingToken(held.version.0);
        match self.owned_shards.get(&shard) {
            Some(owned_shard) if is_own && owned_shard.token == token => {}
            Some(_) if !is_own => {
                tracing::info!(shard = %shard, "lost shard");
                self.drop_shard(shard);
            }
            _ if is_own => {
                tracing::info!(shard = %shard, token = %token, "acquired shard");
                self.drop_shard(shard);
                self.owned_shards.insert(shard, OwnedShard::new(token, self.now));
                self.activate_ready_shards();
            }
            _ => {}
        }
    }

    /// Drops the in-memory state of an owned shard and the desired state of its slices.
    pub(super) fn drop_shard(&mut self, shard: ShardId) {
        if self.owned_shards.remove(&shard).is_none() {
            return;
        }
        self.expire_deferred_responses(shard);
        for id in self.cache.active.clone() {
            let Some(job) = self.cache.jobs.get_mut(&id) else { continue };
            for index in 0..job.slices().len() {
                if job.shard_of(index) == Some(shard) {
                    job.set_desired(index, None);
                }
            }
        }
    }
}
