//! Leader election: the holder of the leader key in the store is the leader. It scales the fleet, assigns the slices of
//! job arrays, archives jobs and raises the feature level. Called on each membership tick. A controller never takes
//! leadership from a live holder.

use crate::coordination::Core;
use crate::storage::records::LEADER_KEY;
use crate::units::LeaseId;

impl Core {
    /// True if the cache shows that this controller holds the leader key under its current lease.
    pub(crate) fn is_leader(&self) -> bool {
        let holder = self.cache.leader.record.as_ref();
        holder.is_some_and(|holder| holder.node == self.node_name && Some(holder.lease) == self.membership.lease())
    }

    /// Claims the leader key if it is free or held by an earlier process of this controller.
    pub(super) fn claim_leadership(&mut self, lease: LeaseId) {
        let held = &self.cache.leader;
        let is_free = held.record.as_ref().is_none_or(|holder| holder.node == self.node_name && holder.lease != lease);
        if !is_free || self.store.is_key_busy(LEADER_KEY) {
            return;
        }
        // Only the first live controller by name tries, which avoids conflicting transactions.
        let first = self.cache.live_nodes().map(|(node, _)| node).min();
        if first == Some(&self.node_name) {
            self.write_lease_holder(LEADER_KEY.into(), held.version, self.node_name.clone(), lease);
        }
    }
}
