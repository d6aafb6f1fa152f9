//! Heartbeats of workers and the answers to them: their content, the choice of node, and the faults
//! that lose or delay them.

use super::events::{ProcessId, ScheduledEvent};
use super::network::{LinkState, LINK_MS};
use super::requests::PendingRequest;
use super::workers::{HeartbeatInFlight, Worker, WorkerAnswer};
use super::SimulatedCluster;
use tillercleat::coordination::{Input, Response};
use tillercleat::protocol::workers::{Command, Heartbeat, TaskStatus};
use tillercleat::units::{AgentEpoch, FencingToken, HeartbeatNumber, NodeName, ShardId};

/// Time without an answer after which a worker tries the next node (milliseconds).
const HEARTBEAT_TIMEOUT_MS: u64 = 5000;
/// Delay before it tries the next node if a node refuses the connection (milliseconds).
const REFUSED_RETRY_MS: u64 = 1000;
/// Workers ignore answers that arrive later than this after the heartbeat was sent (milliseconds).
const MAX_ANSWER_AGE_MS: u64 = 4000;
/// Minimum delay of a delayed heartbeat and of a duplicated one (milliseconds).
const MIN_DELAY_MS: u64 = 1000;
const MIN_DUPLICATE_DELAY_MS: u64 = 1;
/// Delay of a copied heartbeat after the transaction that names the shard's new owner (milliseconds).
const COPY_DELAY_MS: u64 = 50;
/// Number of workers from which all workers are checked only once a second. Smaller fleets check
/// them at each heartbeat, the cost of which grows with the square of the number of workers.
pub(super) const SMALL_FLEET: usize = 100;

impl Worker {
    /// Creates the next heartbeat, with the state of all tasks, and marks it as in flight.
    fn next_heartbeat(&mut self, zone_name: &str, now: u64) -> Heartbeat {
        self.heartbeat_number += 1;
        self.in_flight = Some(HeartbeatInFlight { number: self.heartbeat_number, sent_at: now });
        let tasks = self.tasks.iter().map(|(name, task)| TaskStatus {
            task: name.clone(),
            attempt: task.attempt,
            state: task.state,
            exit_reason: task.exit_reason,
            checkpoint_saved: None,
        });
        Heartbeat {
            machine: self.name.clone(),
            addr: "127.0.0.1:1".into(),
            machine_type: self.machine_type.clone(),
            zone: zone_name.into(),
            spot: self.spot,
            agent_epoch: AgentEpoch(self.agent_epoch),
            heartbeat_number: HeartbeatNumber(self.heartbeat_number),
            token: FencingToken(self.token),
            termination_notice_s: None,
            tasks: tasks.collect(),
        }
    }
}

impl SimulatedCluster {
    /// Handles a worker's heartbeat timer: resets the timer and sends a heartbeat.
    pub(super) fn handle_heartbeat_due(&mut self, worker: usize) {
        if !self.workers[worker].alive {
            return;
        }
        // Each worker has its own interval: from 75% to 111% of the configured one.
        let (heartbeat_ms, spread) = (self.config.heartbeat_ms, worker as u64 % 7);
        let pause = heartbeat_ms * 3 / 4 + spread * (heartbeat_ms * 3 / 50);
        self.schedule(self.now + pause, ScheduledEvent::HeartbeatDue { worker });
        self.send_heartbeat(worker);
    }

    /// Sends a new heartbeat to the next node after one got no answer.
    pub(super) fn handle_heartbeat_failure(&mut self, index: usize, number: u64) {
        let nodes = self.controllers.len();
        let worker = &mut self.workers[index];
        if worker.alive && worker.in_flight.is_some_and(|in_flight| in_flight.number == number) {
            worker.in_flight = None;
            worker.node = (worker.node + 1) % nodes;
            self.send_heartbeat(index);
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        if self.now < self.workers[index].hung_until {
            return;
        }
        self.advance_worker(index);
        self.check_cancelled_tasks_if_due();
        // At most one heartbeat is in flight.
        if self.workers[index].in_flight.is_some() {
            return;
        }
        let worker = &mut self.workers[index];
        let heartbeat = worker.next_heartbeat(&self.config.zones[worker.zone], self.now);
        self.transmit_heartbeat(index, heartbeat);
    }

    /// Sends a heartbeat, subject to the faults of the network.
    fn transmit_heartbeat(&mut self, index: usize, heartbeat: Heartbeat) {
        let now = self.now;
        let worker = &self.workers[index];
        let (node, zone, uplink_lost) = (worker.node, worker.zone, now < worker.uplink_lost_until);
        let timeout = ScheduledEvent::HeartbeatFailed { worker: index, number: worker.heartbeat_number };
        self.network.copied_heartbeats.record(now, index, &heartbeat);
        if uplink_lost {
            // The connection attempt times out.
            return self.schedule(now + HEARTBEAT_TIMEOUT_MS, timeout);
        }
        let delayed = self.network.delayed_heartbeats;
        if delayed.affects(now, &mut self.random) {
            let delay_ms = MIN_DELAY_MS + delayed.delay(&mut self.random);
            self.schedule(now + delay_ms, ScheduledEvent::DeliverStrayHeartbeat { worker: index, to: None, heartbeat });
            return self.schedule(now + HEARTBEAT_TIMEOUT_MS, timeout);
        }
        let duplicated = self.network.duplicated_heartbeats;
        if duplicated.affects(now, &mut self.random) {
            let delay_ms = MIN_DUPLICATE_DELAY_MS + duplicated.delay(&mut self.random);
            let heartbeat = heartbeat.clone();
            self.schedule(now + delay_ms, ScheduledEvent::DeliverStrayHeartbeat { worker: index, to: None, heartbeat });
        }
        self.schedule(now + HEARTBEAT_TIMEOUT_MS, timeout);
        let (to, delay) = (self.process(node), self.link_delay());
        let arrives_at = match self.network.link_state(node, zone, now) {
            LinkState::HeldUntil(until) => until + 1,
            LinkState::Lost => return,
            LinkState::Open => now + LINK_MS + delay,
        };
        self.schedule(arrives_at, ScheduledEvent::DeliverHeartbeat { to, worker: index, heartbeat });
    }

    pub(super) fn deliver_heartbeat(&mut self, to: ProcessId, worker: usize, heartbeat: Heartbeat) {
        let number = heartbeat.heartbeat_number.0;
        if to != self.process(to.node) || !self.controllers[to.node].is_running() {
            // The connection is refused or reset.
            let retry = ScheduledEvent::HeartbeatFailed { worker, number };
            return self.schedule(self.now + REFUSED_RETRY_MS, retry);
        }
        let id = self.requests.add(to.node, PendingRequest::Heartbeat { worker, number });
        self.handle_input(to.node, Input::Heartbeat(id, heartbeat));
    }

    /// Sends the copies of heartbeats that are kept for the next owner of the shard to that owner.
    pub(super) fn send_copied_heartbeats(&mut self, shard: ShardId, owner: usize) {
        let shards = self.config.nodes as u32;
        let of_shard = |heartbeat: &Heartbeat| ShardId::of(heartbeat.machine.as_str(), shards) == shard;
        let at = self.now + COPY_DELAY_MS;
        for (worker, heartbeat) in self.network.copied_heartbeats.take(self.now, of_shard) {
            self.schedule(at, ScheduledEvent::DeliverStrayHeartbeat { worker, to: Some(owner), heartbeat });
        }
    }

    /// Delivers a delayed, duplicated or copied heartbeat, to a random node unless `to` names one. The
    /// worker ignores the answer.
    pub(super) fn deliver_stray_heartbeat(&mut self, worker: usize, to: Option<usize>, heartbeat: Heartbeat) {
        let node = to.unwrap_or_else(|| self.random_node());
        let id = self.requests.new_id();
        if self.controllers[node].is_running() {
            self.requests.insert(node, id, PendingRequest::Heartbeat { worker, number: 0 });
            self.handle_input(node, Input::Heartbeat(id, heartbeat));
        }
    }

    /// Sends a controller's answer to a worker, subject to the faults of the network.
    pub(super) fn send_answer(&mut self, node: usize, index: usize, number: u64, response: Response) {
        let now = self.now;
        let worker = &self.workers[index];
        if now < worker.downlink_lost_until.max(self.controllers[node].answers_lost_until) {
            self.statistics.undelivered_starts += count_starts(&response);
            return;
        }
        let (zone, delayed) = (worker.zone, worker.delayed_answers);
        let answer = WorkerAnswer { worker: index, number, agent_epoch: worker.agent_epoch, response };
        if delayed.is_active(now) {
            let delay_ms = LINK_MS + delayed.delay(&mut self.random);
            return self.schedule(now + delay_ms, ScheduledEvent::DeliverAnswer(answer));
        }
        let arrives_at = match self.network.link_state(node, zone, now) {
            LinkState::HeldUntil(until) => until + 1,
            LinkState::Lost => return,
            LinkState::Open => now + LINK_MS + self.link_delay(),
        };
        self.schedule(arrives_at, ScheduledEvent::DeliverAnswer(answer));
    }

    pub(super) fn deliver_answer(&mut self, answer: WorkerAnswer) {
        let (now, index) = (self.now, answer.worker);
        let hung_until = self.workers[index].hung_until;
        if now < hung_until {
            // Delivered when the worker resumes; it may be too late by then.
            return self.schedule(hung_until, ScheduledEvent::DeliverAnswer(answer));
        }
        self.advance_worker(index);
        let worker = &mut self.workers[index];
        let Some(in_flight) = worker.in_flight else { return };
        let in_time = in_flight.number == answer.number && now <= in_flight.sent_at + MAX_ANSWER_AGE_MS;
        // Answers that are late or belong to an earlier epoch are dropped.
        if !worker.alive || !in_time || answer.agent_epoch != worker.agent_epoch {
            return;
        }
        worker.in_flight = None;
        self.apply_response(index, in_flight.sent_at, answer.response);
    }

    /// Applies the answer to a heartbeat: renews the lease and executes the commands, or changes the
    /// node that the worker sends to.
    fn apply_response(&mut self, index: usize, sent_at: u64, response: Response) {
        let nodes = self.controllers.len();
        let worker = &mut self.workers[index];
        match response {
            Response::Commands { token, commands } => {
                if token.0 < worker.token {
                    return;
                }
                worker.token = token.0;
                worker.lease_from = sent_at;
                for command in commands {
                    self.execute_command(index, command);
                }
            }
            Response::Redirect(Some(node)) => {
                worker.node = (0..nodes).find(|n| NodeName::new(&format!("n{n}")) == node).unwrap_or(0);
            }
            _ => worker.node = (worker.node + 1) % nodes,
        }
    }
}

/// Counts the start commands in an answer.
fn count_starts(response: &Response) -> usize {
    match response {
        Response::Commands { commands, .. } => {
            commands.iter().filter(|command| matches!(command, Command::Start { .. })).count()
        }
        _ => 0,
    }
}
