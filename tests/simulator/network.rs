//! Cuts and delays of links between controllers and workers, and between controllers.

use super::events::ScheduledEvent;
use super::faults::FaultWindow;
use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::coordination::Input;
use tillercleat::protocol::peer::PeerStatus;

/// Minimum latency of a message between two processes (milliseconds).
pub(super) const LINK_MS: u64 = 2;

/// A cut between a node and the workers of a zone.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cut {
    pub(super) until: u64,
    /// Whether messages sent during the cut are delivered after it; otherwise they are lost.
    pub(super) hold: bool,
}

/// State of a link, which decides what happens to a message that is sent now.
pub(super) enum LinkState {
    Open,
    /// The message is delivered after this time (milliseconds).
    HeldUntil(u64),
    Lost,
}

/// The state of all links.
#[derive(Default)]
pub(super) struct Network {
    /// Keyed by node and zone.
    cuts: BTreeMap<(usize, usize), Cut>,
    pub(super) peer_links_cut_until: u64,
    pub(super) slow_links: FaultWindow,
    pub(super) delayed_heartbeats: FaultWindow,
    pub(super) duplicated_heartbeats: FaultWindow,
}

impl Network {
    pub(super) fn cut(&mut self, node: usize, zone: usize, cut: Cut) {
        self.cuts.insert((node, zone), cut);
    }

    /// Returns the state of the link between a node and the workers of a zone.
    pub(super) fn link_state(&self, node: usize, zone: usize, now: u64) -> LinkState {
        match self.cuts.get(&(node, zone)) {
            Some(cut) if now < cut.until && cut.hold => LinkState::HeldUntil(cut.until),
            Some(cut) if now < cut.until => LinkState::Lost,
            _ => LinkState::Open,
        }
    }
}

impl SimulatedCluster {
    /// Returns the additional latency of a message sent now (milliseconds).
    pub(super) fn link_delay(&mut self) -> u64 {
        self.network.slow_links.delay_at(self.now, &mut self.random)
    }

    /// Sends a controller's status to all other controllers that run and are reachable.
    pub(super) fn broadcast_status(&mut self, node: usize, status: PeerStatus) {
        for peer in (0..self.controllers.len()).filter(|peer| *peer != node) {
            let isolated_until = self.controllers[node].isolated_until.max(self.controllers[peer].isolated_until);
            let cut = self.now < self.network.peer_links_cut_until.max(isolated_until);
            if cut || !self.controllers[peer].is_running() {
                continue;
            }
            let (to, delay) = (self.process(peer), self.link_delay());
            let input = Input::PeerStatus(status.clone());
            self.schedule(self.now + LINK_MS + delay, ScheduledEvent::DeliverInput { to, input });
        }
    }
}
