//! Which shards this controller owns: claims those assigned to it, hands over those assigned to others, and takes up
//! or drops a shard as its owner record changes. Called on each membership tick and when an owner record changes in
//! the cache. Never takes a shard from a live owner: that one hands it over.

use crate::coordination::membership::shard_assignment::assign_shards;
use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::Core;
use crate::storage::records::owner_key;
use crate::units::{FencingToken, LeaseId, MachineId, Millis, MonotonicTime, NodeName, Revision, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// A shard is handed over to a controller only after it was assigned to it for so long: one that has just come up
/// may be gone again.
const SETTLING_TIME: Millis = Millis(1500);

/// For so long a hand-over waits for the shard's changes to be written first.
const WRITE_OUT_TIME: Millis = Millis(4000);

/// Shards of ours that are assigned to other controllers, and are to be handed over.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    by_shard: BTreeMap<ShardId, Handover>,
}

/// The controller that a shard is to be handed over to.
#[derive(Debug)]
struct Handover {
    to: NodeName,
    /// When the shard was first seen to be assigned to it.
    since: MonotonicTime,
}

impl Handovers {
    /// Since when the shard is assigned to this controller; none if it is news, and then counted from now.
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
    /// The shard that a machine belongs to.
    pub(crate) fn shard_of(&self, machine: &MachineId) -> ShardId {
        ShardId::of(machine.as_str(), self.shard_count)
    }

    /// Claims the free shards that are assigned to this controller and hands over those that are assigned to others.
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
        // The controller that it was to be handed over to is gone again: it stays, and is served.
        self.membership.handovers.forget(shard);
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.releasing = false;
        }
        let held = self.cache.owners.get(&shard);
        let holder = held.and_then(|held| held.record.as_ref());
        // An earlier process of this controller may hold it still.
        let is_free = holder.is_none_or(|holder| holder.node == self.node_name && holder.lease != lease);
        if is_free {
            let version = held.map_or(Revision(0), |held| held.version);
            self.write_lease_holder(owner_key(shard), version, self.node_name.clone(), lease);
        }
    }

    /// Hands an owned shard over in one transaction, once nothing of it is on its way; the new owner's fencing token
    /// is that transaction's revision.
    fn hand_over(&mut self, shard: ShardId, to: NodeName) {
        let Some(since) = self.membership.handovers.assigned_since(shard, &to, self.now) else { return };
        let assigned_for = self.now.since(since);
        // Workers that we can't reach lose nothing if the new owner goes away again.
        let released = self.has_released_shards();
        if assigned_for < SETTLING_TIME && !released {
            return;
        }
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        owned_shard.releasing = true;
        let waits_for_writes = !owned_shard.dirty.is_empty() && !released && assigned_for < WRITE_OUT_TIME;
        if !owned_shard.is_idle() || waits_for_writes {
            return;
        }
        let token = owned_shard.token;
        let record = self.cache.nodes.get(&to).and_then(|held| held.record.as_ref());
        let Some(lease) = record.map(|record| record.lease) else { return };
        self.membership.handovers.forget(shard);
        self.write_lease_holder(owner_key(shard), Revision(token.0), to, lease);
    }

    /// Takes up or drops a shard according to its owner record in the cache.
    pub(crate) fn owner_changed(&mut self, shard: ShardId) {
        let held = self.cache.owners.get(&shard).cloned().unwrap_or_default();
        let own_lease = self.membership.lease();
        let is_ours =
            held.record.is_some_and(|holder| holder.node == self.node_name && Some(holder.lease) == own_lease);
        let token = FencingToken(held.version.0);
        match self.owned_shards.get(&shard) {
            Some(owned_shard) if is_ours && owned_shard.token == token => {}
            Some(_) if !is_ours => {
                tracing::info!(shard = %shard, "lost shard");
                self.drop_shard(shard);
            }
            _ if is_ours => {
                tracing::info!(shard = %shard, token = %token, "acquired shard");
                self.drop_shard(shard);
                self.owned_shards.insert(shard, OwnedShard::new(token, self.now));
                self.activate_ready_shards();
            }
            _ => {}
        }
    }

    /// Forgets all that an owner knows of a shard, and what it wanted of the shard's slices.
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
