//! The other controllers: when each was heard last and what it said. Filled by `peer_status`; asked by quotas,
//! lease proxies, submissions and the fleet. All of it is a hint and proves nothing.

use crate::protocol::peer::PeerStatus;
use crate::units::{Millis, MonotonicTime, NodeName};
use std::collections::BTreeMap;

/// A peer heard within this time is taken to be up.
const RECENT_LIMIT: Millis = Millis(3000);

/// Another controller.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// When its last status arrived.
    pub(crate) last_heard: Option<MonotonicTime>,
    /// Whether it said that it reaches the store.
    pub(crate) state_reachable: bool,
    /// Its last status that named shards or machine ages; else its first.
    pub(crate) status: Option<PeerStatus>,
}

impl Peer {
    fn heard_recently(&self, now: MonotonicTime) -> bool {
        self.last_heard.is_some_and(|at| now.since(at) < RECENT_LIMIT)
    }
}

/// All other configured controllers, by name.
#[derive(Debug)]
pub(crate) struct Peers {
    by_name: BTreeMap<NodeName, Peer>,
}

impl Peers {
    /// Peers of which none was heard yet.
    pub(super) fn new(names: impl Iterator<Item = NodeName>) -> Peers {
        Peers { by_name: names.map(|name| (name, Peer::default())).collect() }
    }

    /// True if no other controller is configured.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The names of all peers, in order.
    pub(crate) fn names(&self) -> impl Iterator<Item = &NodeName> {
        self.by_name.keys()
    }

    /// When a peer was heard last.
    pub(crate) fn last_heard(&self, node: &NodeName) -> Option<MonotonicTime> {
        self.by_name.get(node)?.last_heard
    }

    /// The kept status of each peer, however old.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = &PeerStatus> {
        self.by_name.values().filter_map(|peer| peer.status.as_ref())
    }

    /// The kept status of each peer that was heard recently.
    pub(crate) fn recent_statuses(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerStatus> {
        self.by_name.values().filter(move |peer| peer.heard_recently(now)).filter_map(|peer| peer.status.as_ref())
    }

    /// True if this controller alone can't be to blame for not reaching the store: there are no peers, or some were
    /// heard recently and none of these reaches it either.
    pub(crate) fn no_peer_reaches_store(&self, now: MonotonicTime) -> bool {
        let mut recent = self.by_name.values().filter(|peer| peer.heard_recently(now)).peekable();
        self.is_empty() || recent.peek().is_some() && recent.all(|peer| !peer.state_reachable)
    }

    /// Records that a status of a peer arrived; false if no such peer is configured.
    pub(super) fn status_arrived(&mut self, node: &NodeName, state_reachable: bool, now: MonotonicTime) -> bool {
        let Some(peer) = self.by_name.get_mut(node) else { return false };
        peer.last_heard = Some(now);
        peer.state_reachable = state_reachable;
        true
    }

    /// Keeps a status for later questions. One without shards and machine ages doesn't replace one that has them.
    pub(super) fn keep_status(&mut self, node: &NodeName, status: PeerStatus) {
        let Some(peer) = self.by_name.get_mut(node) else { return };
        if !status.machine_ages.is_empty() || !status.shards.is_empty() || peer.status.is_none() {
            peer.status = Some(status);
        }
    }

    /// This process was suspended for `gap`: its peers were not silent for that time.
    pub(super) fn clock_jumped(&mut self, gap: Millis) {
        for peer in self.by_name.values_mut() {
            peer.last_heard = peer.last_heard.map(|at| at + gap);
        }
    }
}

#[cfg(test)]
mod tests;
