//! The controllers of the simulated cluster.

use super::statistics::kind_of;
use super::*;

pub(super) struct Node {
    pub(super) core: Option<Core>,
    pub(super) incarnation: u32,
    pub(super) started: u64,
    pub(super) paused_until: u64,
    pub(super) answers_lost_until: u64,
    pub(super) isolated_until: u64,
    /// Until when no user reaches it.
    pub(super) users_cut_until: u64,
    /// Announces itself as the version before did.
    pub(super) previous_version: bool,
}

/// What the version before would have written: it knows of no levels, and drops
/// what it does not know of a job's record.
pub(super) fn strip_to_previous_version(call: &mut StateCall) {
    let StateCall::Transaction(transaction) = call else { return };
    for change in &mut transaction.changes {
        if let Change::Put { value: serde_json::Value::Object(value), .. } = change {
            for field in ["level", "awaits", "ready"] {
                value.remove(field);
            }
        }
    }
}

impl SimulatedCluster {
    pub(super) fn handle_input(&mut self, node: usize, input: Input) {
        let n = &mut self.nodes[node];
        let Some(core) = n.core.as_mut() else { return };
        // Steady clocks drift apart a little, and the time of day is off.
        let steady = (self.now - n.started) * (100_000 + [0, 40, 25][node % 3]) / 100_000 + 1;
        let kind = kind_of(&input);
        let began = std::time::Instant::now();
        let outputs = core.handle(MonotonicTime(steady), self.now + 500 * (node % 3) as u64, input);
        self.statistics.costs.entry(kind).or_default().add(began.elapsed().as_nanos() as u64);
        let incarnation = n.incarnation;
        self.trace.add(self.now, node, &outputs);
        for output in outputs {
            if self.crash_if_reached(node, &output) {
                // What it was about to send after this is never sent.
                return;
            }
            match output {
                Output::Response(id, response) => self.route_response(node, id, response),
                Output::State(id, mut call) => {
                    if self.nodes[node].previous_version {
                        strip_to_previous_version(&mut call);
                    }
                    let wait = if let StateCall::Watch { wait_ms, .. } = call { wait_ms } else { 0 };
                    let mut delay = 3 + self.random.below(6);
                    if self.now < self.slow_store.0 {
                        delay += self.random.below(self.slow_store.1);
                    }
                    // The caller waits no longer; the call is carried out all the same.
                    if delay + 10 > STORE_TIMEOUT_MS {
                        let unknown = Input::State(id, StateAnswer::Unknown);
                        self.schedule(self.now + STORE_TIMEOUT_MS, ScheduledEvent::ToNode(node, incarnation, unknown));
                        self.schedule(self.now + delay, ScheduledEvent::State(node, u32::MAX, id, call, 0));
                        continue;
                    }
                    self.schedule(
                        self.now + delay,
                        ScheduledEvent::State(node, incarnation, id, call, self.now + wait),
                    );
                }
                Output::Cloud(id, call) => {
                    self.schedule(self.now + 80, ScheduledEvent::Cloud(node, incarnation, id, call))
                }
                Output::RevisionHint(revision) => {
                    let status = PeerStatus { from: format!("n{node}"), revision: revision.0, ..PeerStatus::default() };
                    let status = PeerStatus { state_reachable: true, ..status };
                    self.send_peer_status(node, status);
                }
                Output::BroadcastStatus(status) => self.send_peer_status(node, status),
            }
        }
    }

    /// A node is of the version before from the start.
    pub fn run_previous_version(&mut self, node: usize) {
        self.nodes[node].previous_version = true;
    }

    /// What controllers are told of limits to come, from their next lives on.
    pub fn announce_limits(&mut self, next: serde_json::Value) {
        for settings in &mut self.settings {
            settings.cluster.state.next = serde_json::from_value(next.clone()).expect("limits");
        }
    }
}
