//! The workers of the simulated cluster.

use super::*;

pub(super) struct RunningTask {
    pub(super) attempt: Attempt,
    pub(super) state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
    pub(super) ends_at: u64,
}

pub(super) struct Worker {
    pub(super) name: MachineId,
    pub(super) kind: String,
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) rented_at: u64,
    pub(super) up_at: u64,
    pub(super) alive: bool,
    pub(super) hung_until: u64,
    pub(super) downlink_lost_until: u64,
    /// Until when it reaches no controller.
    pub(super) uplink_lost_until: u64,
    /// Until when its answers are held up, and for how long each at the most.
    pub(super) delayed_answers: (u64, u64),
    pub(super) faulty: bool,
    pub(super) agent_epoch: u64,
    pub(super) heartbeat_number: u64,
    pub(super) token: u64,
    pub(super) node: usize,
    pub(super) lease_from: u64,
    pub(super) tasks: BTreeMap<(JobId, u32), RunningTask>,
    /// The report in in_flight: its number and when it was sent.
    pub(super) in_flight: Option<(u64, u64)>,
}

impl SimulatedCluster {
    pub(super) fn add_worker(&mut self, kind: String, zone: usize, spot: bool, up_at: u64) -> MachineId {
        let index = self.workers.len();
        let name = MachineId::new(&format!("i-{index:06}"));
        let node = self.random_node();
        self.workers.push(Worker {
            name: name.clone(),
            kind,
            zone,
            spot,
            rented_at: self.now,
            up_at,
            alive: true,
            hung_until: 0,
            downlink_lost_until: 0,
            uplink_lost_until: 0,
            delayed_answers: (0, 0),
            faulty: false,
            agent_epoch: 1,
            heartbeat_number: 0,
            token: 0,
            node,
            lease_from: up_at,
            tasks: BTreeMap::new(),
            in_flight: None,
        });
        self.schedule(up_at, ScheduledEvent::ReportTimer(index));
        name
    }

    /// Lets a worker's time pass: its lease, and the tasks that end.
    pub(super) fn advance_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if now > worker.lease_from + self.config.lease_ms {
            worker.agent_epoch += 1;
            worker.lease_from = now;
            worker.tasks.clear();
        }
        if now < worker.hung_until {
            // A hanging machine carries out nothing, but its lease runs out.
            return;
        }
        for (key, task) in &mut worker.tasks {
            if task.state != TaskState::Exited && task.ends_at <= now {
                task.state = TaskState::Exited;
                self.recently_ended.push_back((now, index, key.0.clone()));
                if worker.faulty || self.failing_jobs.contains(&key.0) {
                    task.exit_reason = Some(ExitReason::Error);
                    continue;
                }
                task.exit_reason = Some(ExitReason::Done);
                if let Some(job) = self.jobs.get_mut(&key.0) {
                    job.finished_tasks.insert(key.1);
                    self.statistics.last_completion = now;
                }
            }
        }
    }

    pub(super) fn send_heartbeat(&mut self, index: usize) {
        if self.now < self.workers[index].hung_until {
            return;
        }
        self.advance_worker(index);
        // All of them at every report would cost the square of a large fleet.
        if self.cancellations_checked_s < self.now / 1000 || self.workers.len() < 100 {
            self.cancellations_checked_s = self.now / 1000;
            self.check_cancelled();
        }
        let now = self.now;
        let worker = &mut self.workers[index];
        // One at a time.
        if worker.in_flight.is_some() {
            return;
        }
        worker.heartbeat_number += 1;
        worker.in_flight = Some((worker.heartbeat_number, now));
        let tasks = worker.tasks.iter().map(|(key, task)| TaskStatus {
            task: TaskName { job: key.0.clone(), index: key.1 },
            attempt: task.attempt,
            state: task.state,
            why: task.exit_reason,
            saved: None,
        });
        let heartbeat = Heartbeat {
            machine: worker.name.clone(),
            addr: "127.0.0.1:1".into(),
            kind: worker.kind.clone(),
            zone: self.config.zones[worker.zone].clone(),
            spot: worker.spot,
            agent_epoch: AgentEpoch(worker.agent_epoch),
            heartbeat_number: HeartbeatNumber(worker.heartbeat_number),
            token: FencingToken(worker.token),
            notice_s: None,
            tasks: tasks.collect(),
        };
        let (node, zone, in_flight) = (worker.node, worker.zone, worker.heartbeat_number);
        if now < worker.uplink_lost_until {
            // No connection opens.
            return self.schedule(now + 5000, ScheduledEvent::TryNext(index, in_flight));
        }
        if now < self.delayed_heartbeats.0 && self.random.below(100) < self.delayed_heartbeats.1 {
            let late = 1000 + self.random.below(self.delayed_heartbeats.2);
            self.schedule(now + late, ScheduledEvent::Copy(index, heartbeat));
            return self.schedule(now + 5000, ScheduledEvent::TryNext(index, in_flight));
        }
        if now < self.duplicated_heartbeats.0 && self.random.below(100) < self.duplicated_heartbeats.1 {
            let late = 1 + self.random.below(self.duplicated_heartbeats.2);
            self.schedule(now + late, ScheduledEvent::Copy(index, heartbeat.clone()));
        }
        self.schedule(now + 5000, ScheduledEvent::TryNext(index, in_flight));
        let (incarnation, link) = (self.nodes[node].incarnation, self.link());
        match self.cuts.get(&(node, zone)) {
            Some(&(until, true)) if now < until => {
                self.schedule(until + 1, ScheduledEvent::Heartbeat(node, incarnation, index, heartbeat))
            }
            Some(&(until, false)) if now < until => {}
            _ => self.schedule(now + 2 + link, ScheduledEvent::Heartbeat(node, incarnation, index, heartbeat)),
        }
    }

    pub(super) fn worker_answered(&mut self, index: usize, in_flight: u64, response: Response, agent_epoch: u64) {
        if self.now < self.workers[index].hung_until {
            // Processed when it goes on, if it still is in time then.
            let at = self.workers[index].hung_until;
            return self.schedule(at, ScheduledEvent::Answer(index, in_flight, response, agent_epoch));
        }
        self.advance_worker(index);
        let nodes = self.nodes.len();
        let worker = &mut self.workers[index];
        let Some((current, sent)) = worker.in_flight else { return };
        // Late answers, and those to an earlier session, are dropped.
        if !worker.alive || current != in_flight || self.now > sent + 4000 || agent_epoch != worker.agent_epoch {
            return;
        }
        worker.in_flight = None;
        match response {
            Response::Commands { token, commands } => {
                if token.0 < worker.token {
                    return;
                }
                worker.token = token.0;
                worker.lease_from = sent;
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

    pub(super) fn execute_command(&mut self, index: usize, command: Command) {
        let now = self.now;
        match command {
            Command::Start { task, attempt } => {
                let key = (task.job.clone(), task.index);
                if self.workers[index].tasks.get(&key).is_some_and(|t| t.attempt == attempt) {
                    return;
                }
                self.check_start(index, &key);
                let run = self.jobs.get(&task.job).map_or(1000, |j| (j.spec.estimated_run_s * 1000.0) as u64);
                let ends = now + run * (80 + self.random.below(60)) / 100;
                let fails = self.workers[index].faulty || self.failing_jobs.contains(&task.job);
                let ends = if fails { now + 1000 } else { ends };
                let ends = if run == 0 { u64::MAX } else { ends };
                let task = RunningTask { attempt, state: TaskState::Running, exit_reason: None, ends_at: ends };
                let job = key.0.clone();
                self.workers[index].tasks.insert(key, task);
                if now < self.cancel_at_completion.0 && self.random.below(100) < self.cancel_at_completion.1 {
                    self.cancel_at_completion_of(&job);
                }
            }
            Command::Stop { task, attempt, .. } => {
                if let Some(on) = self.workers[index].tasks.get_mut(&(task.job, task.index)) {
                    if on.attempt == attempt && on.state != TaskState::Exited {
                        on.state = TaskState::Exited;
                        on.exit_reason = Some(ExitReason::Stopped);
                    }
                }
            }
            Command::Forget { task, attempt } => {
                let key = (task.job, task.index);
                if self.workers[index].tasks.get(&key).is_some_and(|t| t.attempt == attempt) {
                    self.workers[index].tasks.remove(&key);
                }
            }
        }
    }
}
