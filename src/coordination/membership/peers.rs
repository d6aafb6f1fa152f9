//! The other controllers: when each last sent a status, and what the status said. Updated by `peer_status`; queried by
//! quotas, lease proxies, submissions and the fleet. All of it is advisory and may be out of date.

use crate::protocol::peer::PeerStatus;
use crate::units::{Millis, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// A peer counts as up if its last status arrived less than this time ago.
const MAX_RECENT_STATUS_AGE: Millis = Millis(3000);

/// State of another controller, as known from its statuses.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// When its latest status arrived; `None` if none has.
    pub(crate) last_heard: Option<MonotonicTime>,
    /// Whether the peer can reach the store, according to its latest status.
    pub(crate) state_reachable: bool,
    /// Latest status with shards or machine ages; the first status if none had any.
    pub(crate) status: Option<PeerStatus>,
}

impl Peer {
    fn heard_recently(&self, now: MonotonicTime) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < MAX_RECENT_STATUS_AGE)
    }
}

/// All other configured controllers, by name.
#[derive(Debug)]
pub(crate) struct Peers {
    by_name: BTreeMap<NodeName, Peer>,
}

impl Peers {
    /// Creates the configured peers; none has sent a status yet.
    pub(super) fn new(names: impl Iterator<Item = NodeName>) -> Peers {
        Peers { by_name: names.map(|name| (name, Peer::default())).collect() }
    }

    /// True if no other controller is configured.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the names of all peers, sorted.
    pub(crate) fn names(&self) -> impl Iterator<Item = &NodeName> {
        self.by_name.keys()
    }

    /// Returns when the latest status of a peer arrived.
    pub(crate) fn last_heard(&self, node: &NodeName) -> Option<MonotonicTime> {
        self.by_name.get(node)?.last_heard
    }

    /// Returns the stored status of each peer, regardless of age.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = &PeerStatus> {
        self.by_name.values().filter_map(|peer| peer.status.as_ref())
    }

    /// Returns the stored status of each peer that was heard recently.
    pub(crate) fn recent_statuses(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerStatus> {
        self.by_name.values().filter(move |peer| peer.heard_recently(now)).filter_map(|peer| peer.status.as_ref())
    }

    /// True if no peer reports that it reaches the store: either no peers are configured, or at least one was heard
    /// recently and all such peers fail to reach it. A store outage is then not specific to this controller.
    pub(crate) fn no_peer_reaches_store(&self, now: MonotonicTime) -> bool {
        let mut recent = self.by_name.values().filter(|peer| peer.heard_recently(now)).peekable();
        self.is_empty() || recent.peek().is_some() && recent.all(|peer| !peer.state_reachable)
    }

    /// Records that a status of a peer arrived. Returns false if the peer is not configured.
    pub(super) fn status_arrived(&mut self, node: &NodeName, state_reachable: bool, now: MonotonicTime) -> bool {
        let Some(peer) = self.by_name.get_mut(node) else { return false };
        peer.last_heard = Some(now);
        peer.state_reachable = state_reachable;
        true
    }

    /// Stores a peer's status. A status without shards and machine ages doesn't replace one that has them.
    pub(super) fn store_status(&mut self, node: &NodeName, status: PeerStatus) {
        let Some(peer) = self.by_name.get_mut(node) else { return };
        if !status.machine_ages.is_empty() || !status.shards.is_empty() || peer.status.is_none() {
            peer.status = Some(status);
        }
    }

    /// Shifts the arrival times by `gap`, for which this process was suspended: the peers were not silent meanwhile.
    pub(super) fn handle_clock_jump(&mut self, gap: Millis) {
        for peer in self.by_name.values_mut() {
            peer.last_heard = peer.last_heard.map(|at| at + gap);
        }
    }
}

#[cfg(test)]
mod tests;
