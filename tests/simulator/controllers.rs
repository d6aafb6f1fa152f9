//! The controllers under test: starts their processes, feeds them inputs and routes their outputs.
//! The cores are the production code; only their environment is simulated.

use super::events::{ProcessId, ScheduledEvent};
use super::statistics::input_kind;
use super::SimulatedCluster;
use std::time::Instant;
use tillercleat::coordination::{CloudCall, Core, Input, Output};
use tillercleat::protocol::peer::PeerStatus;
use tillercleat::protocol::state::{Change, StoreRequest};
use tillercleat::settings::Tuning;
use tillercleat::units::{CallId, MonotonicTime, Revision};

/// Interval between two ticks of a controller (milliseconds).
const TICK_MS: u64 = 50;
/// Latency of a call to the cloud and of its answer (milliseconds).
const CLOUD_CALL_MS: u64 = 80;
const CLOUD_ANSWER_MS: u64 = 50;

/// Drift of the nodes' monotonic clocks (milliseconds gained per 100,000 ms).
const CLOCK_DRIFT_MS_PER_100_S: [u64; 3] = [0, 40, 25];
/// Difference between the wall clocks of adjacent nodes (milliseconds).
const WALL_CLOCK_OFFSET_MS: u64 = 500;

/// Fields of stored records that the previous version does not know and therefore does not write.
const FIELDS_ADDED_IN_THIS_VERSION: [&str; 3] = ["level", "awaits", "ready"];

/// A controller and the faults that affect it. Times are in milliseconds.
#[derive(Default)]
pub(super) struct Controller {
    /// None while its process is not running.
    pub(super) core: Option<Core>,
    /// Incremented at each start and at each crash.
    pub(super) incarnation: u32,
    started_at: u64,
    pub(super) paused_until: u64,
    /// Its answers to workers are lost until this time.
    pub(super) answers_lost_until: u64,
    /// It exchanges no messages with other controllers until this time.
    pub(super) isolated_until: u64,
    /// Users cannot reach it until this time.
    pub(super) users_cut_until: u64,
    /// Whether it writes records as the previous version does.
    pub(super) previous_version: bool,
}

impl Controller {
    pub(super) fn is_running(&self) -> bool {
        self.core.is_some()
    }
}

/// Removes the fields that the previous version does not write.
fn strip_to_previous_version(call: &mut StoreRequest) {
    let StoreRequest::Transaction(transaction) = call else { return };
    for change in &mut transaction.changes {
        if let Change::Put { value: serde_json::Value::Object(value), .. } = change {
            for field in FIELDS_ADDED_IN_THIS_VERSION {
                value.remove(field);
            }
        }
    }
}

impl SimulatedCluster {
    /// Makes a controller write records as the previous version does.
    pub fn run_previous_version(&mut self, node: usize) {
        self.controllers[node].previous_version = true;
    }

    /// Adds announced future store limits to the settings. Controllers read them at their next start.
    pub fn announce_limits(&mut self, limits: serde_json::Value) {
        for settings in &mut self.settings {
            settings.cluster.state.next = serde_json::from_value(limits.clone()).expect("valid store limits");
        }
    }

    /// Returns the id of a node's current process.
    pub(super) fn process(&self, node: usize) -> ProcessId {
        ProcessId { node, incarnation: self.controllers[node].incarnation }
    }

    /// Returns a random node, whether it runs or not.
    pub(super) fn random_node(&mut self) -> usize {
        self.random.below(self.config.nodes as u64) as usize
    }

    pub(super) fn start_controller(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        controller.core = Some(Core::new(self.settings[node].clone(), Tuning::default()));
        controller.incarnation += 1;
        controller.started_at = self.now;
        let process = self.process(node);
        self.schedule(self.now + 1, ScheduledEvent::Tick(process));
    }

    pub(super) fn tick(&mut self, process: ProcessId) {
        if process != self.process(process.node) {
            return;
        }
        self.handle_input(process.node, Input::Tick);
        self.schedule(self.now + TICK_MS, ScheduledEvent::Tick(process));
    }

    pub(super) fn deliver_input(&mut self, to: ProcessId, input: Input) {
        if to == self.process(to.node) {
            self.handle_input(to.node, input);
        }
    }

    /// Passes one input to a controller's core and sends the outputs.
    pub(super) fn handle_input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let controller = &mut self.controllers[node];
        let Some(core) = controller.core.as_mut() else { return };
        let drift = CLOCK_DRIFT_MS_PER_100_S[node % CLOCK_DRIFT_MS_PER_100_S.len()];
        let monotonic = MonotonicTime((now - controller.started_at) * (100_000 + drift) / 100_000 + 1);
        let wall_clock = now + WALL_CLOCK_OFFSET_MS * (node % 3) as u64;
        let kind = input_kind(&input);
        let began = Instant::now();
        let outputs = core.handle(monotonic, wall_clock, input);
        self.statistics.add_cost(kind, began.elapsed());
        self.trace.add(now, node, &outputs);
        let process = self.process(node);
        for output in outputs {
            if self.crash_if_planned(node, &output) {
                // The outputs after this one are lost with the process.
                return;
            }
            self.send_output(process, output);
        }
    }

    fn send_output(&mut self, process: ProcessId, output: Output) {
        let node = process.node;
        match output {
            Output::Response(id, response) => self.route_response(node, id, response),
            Output::Store(id, mut call) => {
                if self.controllers[node].previous_version {
                    strip_to_previous_version(&mut call);
                }
                self.send_store_call(process, id, call);
            }
            Output::Cloud(id, call) => {
                self.schedule(self.now + CLOUD_CALL_MS, ScheduledEvent::CloudCall { caller: process, id, call });
            }
            Output::RevisionHint(revision) => self.broadcast_status(node, revision_hint(node, revision)),
            Output::BroadcastStatus(status) => self.broadcast_status(node, status),
        }
    }

    /// Executes a call to the cloud and sends the answer.
    pub(super) fn answer_cloud_call(&mut self, caller: ProcessId, id: CallId, call: CloudCall) {
        let input = Input::Cloud(id, self.call_cloud(call));
        self.schedule(self.now + CLOUD_ANSWER_MS, ScheduledEvent::DeliverInput { to: caller, input });
    }
}

/// Builds a peer status that carries only a new store revision.
fn revision_hint(node: usize, revision: Revision) -> PeerStatus {
    PeerStatus { from: format!("n{node}"), revision: revision.0, state_reachable: true, ..PeerStatus::default() }
}
