//! Which controller leads: the holder of the leader key in the store. The leader scales the fleet, assigns the slices
//! of arrays, archives jobs and raises the feature level. Called on each membership tick; leadership is never taken
//! from a live holder.

use crate::coordination::Core;
use crate::storage::records::LEADER_KEY;
use crate::units::LeaseId;

impl Core {
    /// True if this controller holds the leader key under its current lease, as of the cache.
    pub(crate) fn is_leader(&self) -> bool {
        let holder = self.cache.leader.record.as_ref();
        holder.is_some_and(|holder| holder.node == self.node_name && Some(holder.lease) == self.membership.lease())
    }

    /// Takes the leader key if nobody holds it, or an earlier process of this controller does.
    pub(super) fn claim_leadership(&mut self, lease: LeaseId) {
        let held = &self.cache.leader;
        let is_free = held.record.as_ref().is_none_or(|holder| holder.node == self.node_name && holder.lease != lease);
        if !is_free || self.store.is_key_busy(LEADER_KEY) {
            return;
        }
        // Only the first live controller by name tries, so that they don't all conflict.
        let first = self.cache.live_nodes().map(|(node, _)| node).min();
        if first == Some(&self.node_name) {
            self.write_lease_holder(LEADER_KEY.into(), held.version, self.node_name.clone(), lease);
        }
    }
}
