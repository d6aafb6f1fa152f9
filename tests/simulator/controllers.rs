//! The controllers under test: their processes, the inputs they are fed and the way of what they
//! send. The cores are the real ones; only their surroundings are simulated.

use super::events::{ProcessId, ScheduledEvent};
use super::statistics::input_kind;
use super::SimulatedCluster;
use std::time::Instant;
use tillercleat::coordination::{CloudCall, Core, Input, Output};
use tillercleat::protocol::peer::PeerStatus;
use tillercleat::protocol::state::{Change, StoreRequest};
use tillercleat::settings::Tuning;
use tillercleat::units::{CallId, MonotonicTime, Revision};

/// Pause between two ticks of a controller's clock (milliseconds).
const TICK_MS: u64 = 50;
/// How long a call to the cloud is on its way, and its answer (milliseconds).
const CLOUD_CALL_MS: u64 = 80;
const CLOUD_ANSWER_MS: u64 = 50;

/// How much the nodes' steady clocks run ahead in 100,000 ms: they drift apart a little.
const CLOCK_DRIFT: [u64; 3] = [0, 40, 25];
/// How far the nodes' times of day are apart (milliseconds).
const TIME_OF_DAY_OFFSET_MS: u64 = 500;

/// Fields of records that the previous version doesn't know, and so doesn't write.
const FIELDS_OF_THIS_VERSION: [&str; 3] = ["level", "awaits", "ready"];

/// A controller and the faults that it meets. Times are in milliseconds.
#[derive(Default)]
pub(super) struct Controller {
    /// None while its process is not running.
    pub(super) core: Option<Core>,
    /// Rises at each start and at each crash.
    pub(super) incarnation: u32,
    started_at: u64,
    pub(super) paused_until: u64,
    /// Until then its answers to workers are lost.
    pub(super) answers_lost_until: u64,
    /// Until then it reaches no other controller.
    pub(super) isolated_until: u64,
    /// Until then no user reaches it.
    pub(super) users_cut_until: u64,
    /// Writes what the previous version would write.
    pub(super) previous_version: bool,
}

impl Controller {
    pub(super) fn is_running(&self) -> bool {
        self.core.is_some()
    }
}

/// Removes what the previous version would not have written.
fn strip_to_previous_version(call: &mut StoreRequest) {
    let StoreRequest::Transaction(transaction) = call else { return };
    for change in &mut transaction.changes {
        if let Change::Put { value: serde_json::Value::Object(value), .. } = change {
            for field in FIELDS_OF_THIS_VERSION {
                value.remove(field);
            }
        }
    }
}

impl SimulatedCluster {
    /// A controller writes as the previous version did, from its start.
    pub fn run_previous_version(&mut self, node: usize) {
        self.controllers[node].previous_version = true;
    }

    /// Gives the settings limits to come, which controllers know from their next start on.
    pub fn announce_limits(&mut self, limits: serde_json::Value) {
        for settings in &mut self.settings {
            settings.cluster.state.next = serde_json::from_value(limits.clone()).expect("limits of the settings' form");
        }
    }

    /// The process that a node runs now.
    pub(super) fn process(&self, node: usize) -> ProcessId {
        ProcessId { node, incarnation: self.controllers[node].incarnation }
    }

    /// Any node, whether it runs or not.
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

    /// Feeds a controller's core one input, and sends what it answers.
    pub(super) fn handle_input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let controller = &mut self.controllers[node];
        let Some(core) = controller.core.as_mut() else { return };
        let drift = CLOCK_DRIFT[node % CLOCK_DRIFT.len()];
        let steady = MonotonicTime((now - controller.started_at) * (100_000 + drift) / 100_000 + 1);
        let time_of_day = now + TIME_OF_DAY_OFFSET_MS * (node % 3) as u64;
        let kind = input_kind(&input);
        let began = Instant::now();
        let outputs = core.handle(steady, time_of_day, input);
        self.statistics.add_cost(kind, began.elapsed());
        self.trace.add(now, node, &outputs);
        let process = self.process(node);
        for output in outputs {
            if self.crash_if_planned(node, &output) {
                // What it was about to send after this is never sent.
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

    /// Carries a call to the cloud out, and sends the answer.
    pub(super) fn answer_cloud_call(&mut self, caller: ProcessId, id: CallId, call: CloudCall) {
        let input = Input::Cloud(id, self.call_cloud(call));
        self.schedule(self.now + CLOUD_ANSWER_MS, ScheduledEvent::DeliverInput { to: caller, input });
    }
}

/// The status that tells peers of a new revision and nothing else.
fn revision_hint(node: usize, revision: Revision) -> PeerStatus {
    PeerStatus { from: format!("n{node}"), revision: revision.0, state_reachable: true, ..PeerStatus::default() }
}
