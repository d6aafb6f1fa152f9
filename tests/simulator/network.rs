//! Cuts and delays of links between controllers and workers, and between controllers, and copies of
//! heartbeats that reach later owners.

use super::events::ScheduledEvent;
use super::faults::FaultWindow;
use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::coordination::Input;
use tillercleat::protocol::peer::PeerStatus;
use tillercleat::protocol::workers::Heartbeat;

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

/// Copy of a heartbeat that the network keeps for the next owner of the machine's shard.
struct CopiedHeartbeat {
    heartbeat: Heartbeat,
    /// It is not delivered to owners that took over before this time (milliseconds).
    not_before: u64,
}

/// Copies of heartbeats for the next owners of shards.
#[derive(Default)]
pub(super) struct CopiedHeartbeats {
    /// Heartbeats are copied until this time (milliseconds).
    until: u64,
    min_delay_ms: u64,
    /// Keyed by worker.
    by_worker: BTreeMap<usize, CopiedHeartbeat>,
}

impl CopiedHeartbeats {
    /// Starts to copy the first heartbeat of each worker, until the time `until` (milliseconds).
    pub(super) fn start(&mut self, until: u64, min_delay_ms: u64) {
        *self = CopiedHeartbeats { until, min_delay_ms, by_worker: BTreeMap::new() };
    }

    /// Copies a heartbeat that is sent now if it is the worker's first one during the fault.
    pub(super) fn record(&mut self, now: u64, worker: usize, heartbeat: &Heartbeat) {
        if now < self.until {
            let not_before = now + self.min_delay_ms;
            self.by_worker
                .entry(worker)
                .or_insert_with(|| CopiedHeartbeat { heartbeat: heartbeat.clone(), not_before });
        }
    }

    /// Removes and returns the copies that may be delivered now and match, with their workers.
    pub(super) fn take(&mut self, now: u64, matches: impl Fn(&Heartbeat) -> bool) -> Vec<(usize, Heartbeat)> {
        let is_due = |copy: &CopiedHeartbeat| copy.not_before <= now && matches(&copy.heartbeat);
        let due: Vec<usize> =
            self.by_worker.iter().filter(|(_, copy)| is_due(copy)).map(|(worker, _)| *worker).collect();
        due.into_iter().filter_map(|worker| Some((worker, self.by_worker.remove(&worker)?.heartbeat))).collect()
    }
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
    pub(super) copied_heartbeats: CopiedHeartbeats,
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
