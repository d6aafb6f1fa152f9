//! Sets up peers for tests of other modules.

use super::*;
use crate::coordination::membership::Membership;

impl Membership {
    /// Replaces what is known of a peer.
    pub(crate) fn set_peer(&mut self, node: NodeName, peer: Peer) {
        self.peers.by_name.insert(node, peer);
    }

    /// Removes all peers, as if none were configured.
    pub(crate) fn remove_peers(&mut self) {
        self.peers.by_name.clear();
    }
}
