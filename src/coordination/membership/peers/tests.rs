//! Test helpers that set up peers for the tests of other modules.

use super::*;
use crate::coordination::membership::Membership;

impl Membership {
    /// Adds a peer or replaces its state.
    pub(crate) fn set_peer(&mut self, node: NodeName, peer: Peer) {
        self.peers.by_name.insert(node, peer);
    }

    /// Removes all peers, as if none were configured.
    pub(crate) fn remove_peers(&mut self) {
        self.peers.by_name.clear();
    }
}
